package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	standin "github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

type fixture struct {
	server *standin.Server
	client *platform.Client
	// patient has an ample time-out; it prepares and inspects the store.
	patient  *platform.Client
	clock    *clockwork.FakeClock
	registry metrics.Registry
}

// newFixture starts a stand-in and a client. The stand-in's clock stands
// still, so a delayed answer never comes and the client's time-out decides.
func newFixture(t *testing.T, timeout time.Duration) *fixture {
	t.Helper()
	server := standin.NewServer(clockwork.NewFakeClock())
	listener := httptest.NewServer(server)
	clock := clockwork.NewFakeClock()
	registry := metrics.NewRegistry()
	opts := platform.Options{
		BaseURL: listener.URL, Timeout: timeout, WatchIdle: 3 * time.Second,
		Registry: registry, Clock: clock,
	}
	client := platform.NewClient(opts)
	opts.Timeout = ample
	patient := platform.NewClient(opts)
	t.Cleanup(func() {
		client.Close()
		patient.Close()
		listener.CloseClientConnections()
		listener.Close()
	})
	return &fixture{server: server, client: client, patient: patient, clock: clock, registry: registry}
}

const ample = 30 * time.Second

func object(name, body string) platform.Object {
	return platform.Object{Kind: "Tier", Name: name, Body: []byte(body)}
}

// Guards against writes that ignore their precondition (two operators racing
// would overwrite each other), and against versions that do not grow.
func TestContractOfWrites(t *testing.T) {
	absent, any := platform.Precondition{Absent: true}, platform.Precondition{}
	at := func(version uint64) platform.Precondition { return platform.Precondition{Version: version} }
	steps := []struct {
		name    string
		write   func(platform.Store) (uint64, error)
		version uint64
		kind    errkind.Kind
	}{
		{"create", put("a", "1", absent), 1, ""},
		{"create again", put("a", "2", absent), 0, errkind.Conflict},
		{"replace the version read", put("a", "2", at(1)), 2, ""},
		{"replace an old version", put("a", "3", at(1)), 0, errkind.Conflict},
		{"replace what does not exist", put("b", "1", at(1)), 0, errkind.Conflict},
		{"write without precondition", put("a", "4", any), 3, ""},
		{"delete an old version", del("a", at(2)), 0, errkind.Conflict},
		{"delete the version read", del("a", at(3)), 4, ""},
		{"delete again", del("a", at(3)), 0, errkind.Conflict},
		{"delete what does not exist", del("a", any), 0, errkind.NotFound},
		{"create after the deletion", put("a", "5", absent), 5, ""},
		{"value above the limit", put("a", string(make([]byte, 1<<20+1)), any), 0, errkind.BadRequest},
	}
	f := newFixture(t, ample)
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			g := NewWithT(t)
			version, err := step.write(f.client)
			g.Expect(version).To(Equal(step.version))
			expectKind(g, err, step.kind)
		})
	}
}

// Guards against a list without its version, and a watch that drops, reorders
// or invents events, or starts after a compacted version.
func TestContractOfListAndWatch(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	f := newFixture(t, ample)
	for _, name := range []string{"a", "b", "c"} {
		_, err := f.client.Put(ctx, object(name, name), platform.Precondition{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := f.client.Put(ctx, platform.Object{Kind: "Lease", Name: "x"}, platform.Precondition{})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.client.Delete(ctx, "Tier", "b", platform.Precondition{})
	g.Expect(err).NotTo(HaveOccurred())

	list, err := f.client.List(ctx, "Tier", "Team")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Version).To(BeEquivalentTo(5))
	g.Expect(list.Objects).To(HaveLen(2))

	watch, err := f.client.Watch(ctx, 1, "Tier")
	g.Expect(err).NotTo(HaveOccurred())
	defer watch.Close()
	for _, want := range []struct {
		version uint64
		event   platform.EventType
	}{{2, platform.EventPut}, {3, platform.EventPut}, {5, platform.EventDelete}} {
		event, err := watch.Next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(event.Object.Version).To(Equal(want.version))
		g.Expect(event.Type).To(Equal(want.event))
	}

	f.server.Compact()
	_, err = f.client.Watch(ctx, 1, "Tier")
	expectKind(g, err, errkind.Conflict)
	g.Expect(f.server.Calls()).To(HaveKeyWithValue("watch", 2))
	counter, _ := f.registry.Get("platform.calls.watch").(metrics.Counter)
	g.Expect(counter.Count()).To(BeEquivalentTo(2))
}

// Guards against a fault that is reported as success, as a refusal although
// the write may have taken effect, or that makes the client repeat a call.
func TestFaultsAreReportedAsUnavailable(t *testing.T) {
	operations := map[string]func(platform.Store) (uint64, error){
		"put":    put("a", "1", platform.Precondition{}),
		"delete": del("old", platform.Precondition{}),
	}
	table := []struct {
		name        string
		faults      standin.Faults
		timeout     time.Duration
		takesEffect bool
	}{
		{"outage with status 503", standin.Faults{Outage: standin.Outage503}, ample, false},
		{"outage that closes connections", standin.Faults{Outage: standin.OutageClose}, ample, false},
		{"slow answers", standin.Faults{DelayMs: 1000}, 50 * time.Millisecond, false},
		{"lost answer", standin.Faults{LoseAnswers: 1}, ample, true},
	}
	for _, row := range table {
		for operation, write := range operations {
			t.Run(row.name+", "+operation, func(t *testing.T) {
				g := NewWithT(t)
				f := newFixture(t, row.timeout)
				_, err := f.patient.Put(context.Background(), object("old", ""), platform.Precondition{})
				g.Expect(err).NotTo(HaveOccurred())
				before := f.server.Calls()[operation]
				f.server.SetFaults(row.faults)
				_, err = write(f.client)
				expectKind(g, err, errkind.PlatformUnavailable)
				g.Expect(f.server.Calls()[operation]).To(Equal(before + 1))

				f.server.SetFaults(standin.Faults{})
				list, err := f.patient.List(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(list.Version == 2).To(Equal(row.takesEffect))
			})
		}
	}
}

// Guards against a watch that hangs or goes on silently after the platform
// ended it, left the network, or had an outage.
func TestBrokenWatchEnds(t *testing.T) {
	table := map[string]func(*fixture){
		"ended by the platform": func(f *fixture) { f.server.SetFaults(standin.Faults{EndWatches: true}) },
		"outage":                func(f *fixture) { f.server.SetFaults(standin.Faults{Outage: standin.OutageClose}) },
		"silent connection":     func(f *fixture) { f.clock.Advance(4 * time.Second) },
	}
	for name, fault := range table {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t, ample)
			watch, err := f.client.Watch(context.Background(), 0)
			g.Expect(err).NotTo(HaveOccurred())
			defer watch.Close()
			fault(f)
			_, err = watch.Next()
			expectKind(g, err, errkind.PlatformUnavailable)
		})
	}
}

// Guards against a stand-in whose faults do nothing: tests of recovery from
// skipped events and from a lagging instance list would pass without it.
func TestSkippedEventsAndLaggingInstances(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	f := newFixture(t, ample)
	f.server.SetInstance(platform.ListedInstance{Name: "entry-1", Role: "entry"})
	f.server.SetFaults(standin.Faults{SkipEvents: 1, FreezeInstances: true})
	f.server.RemoveInstance("entry-1")
	_, err := put("a", "1", platform.Precondition{})(f.client)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = put("b", "1", platform.Precondition{})(f.client)
	g.Expect(err).NotTo(HaveOccurred())

	watch, err := f.client.Watch(ctx, 0)
	g.Expect(err).NotTo(HaveOccurred())
	defer watch.Close()
	event, err := watch.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(event.Object.Name).To(Equal("b"))
	instances, err := f.client.Instances(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(instances).To(HaveLen(1))
	f.server.SetFaults(standin.Faults{})
	instances, err = f.client.Instances(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(instances).To(BeEmpty())
}

// Guards against a lost answer that is taken for a failure, for a success of
// another operator's write, or that overwrites that write.
func TestResolvedWrites(t *testing.T) {
	table := []struct {
		name string
		// rival is written at the moment at which the answer is lost.
		rival  string
		faults standin.Faults
		remove bool
		kind   errkind.Kind
		left   string
	}{
		{"write, no fault", "", standin.Faults{}, false, "", "new"},
		{"write, lost answer", "", standin.Faults{LoseAnswers: 1}, false, "", "new"},
		{"write, lost answer and a race", "rival", standin.Faults{LoseAnswers: 1}, false, errkind.Conflict, "rival"},
		{"write, outage", "", standin.Faults{Outage: standin.Outage503}, false, errkind.PlatformUnavailable, "old"},
		{"deletion, lost answer", "", standin.Faults{LoseAnswers: 1}, true, "", ""},
		{"deletion, lost answer and a race", "rival", standin.Faults{LoseAnswers: 1}, true, errkind.Conflict, "rival"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx := context.Background()
			f := newFixture(t, ample)
			version, err := put("a", "old", platform.Precondition{Absent: true})(f.client)
			g.Expect(err).NotTo(HaveOccurred())
			f.server.SetFaults(row.faults)
			store := &rivalStore{Store: f.client, rival: row.rival}
			if row.remove {
				_, err = platform.DeleteResolved(ctx, store, "Tier", "a", version)
			} else {
				_, err = platform.PutResolved(ctx, store, object("a", "new"), platform.Precondition{Version: version})
			}
			expectKind(g, err, row.kind)
			f.server.SetFaults(standin.Faults{})
			current, _ := f.client.Get(ctx, "Tier", "a")
			g.Expect(string(current.Body)).To(Equal(row.left))
		})
	}
}

// rivalStore writes as another operator would, before each read back.
type rivalStore struct {
	platform.Store
	rival string
}

func (s *rivalStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if s.rival != "" {
		if _, err := s.Put(ctx, object(name, s.rival), platform.Precondition{}); err != nil {
			return platform.Object{}, err
		}
	}
	return s.Store.Get(ctx, kind, name)
}

func put(name, body string, pre platform.Precondition) func(platform.Store) (uint64, error) {
	return func(store platform.Store) (uint64, error) {
		return store.Put(context.Background(), object(name, body), pre)
	}
}

func del(name string, pre platform.Precondition) func(platform.Store) (uint64, error) {
	return func(store platform.Store) (uint64, error) {
		return store.Delete(context.Background(), "Tier", name, pre)
	}
}

func expectKind(g Gomega, err error, kind errkind.Kind) {
	if kind == "" {
		g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return
	}
	g.ExpectWithOffset(1, err).To(HaveOccurred())
	g.ExpectWithOffset(1, errkind.KindOf(err)).To(Equal(kind))
}
