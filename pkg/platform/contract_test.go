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
	// setupClient has a long timeout; tests prepare and inspect the store with it.
	setupClient *platform.Client
	clock       *clockwork.FakeClock
	registry    metrics.Registry
}

// newFixture starts a stand-in and its clients. The stand-in's clock does not
// advance, so that a delayed response always exceeds the client's timeout.
func newFixture(t *testing.T, timeout time.Duration) *fixture {
	t.Helper()
	server := standin.NewServer(clockwork.NewFakeClock())
	listener := httptest.NewServer(server)
	clock := clockwork.NewFakeClock()
	registry := metrics.NewRegistry()
	opts := platform.Options{
		BaseURL: listener.URL, Timeout: timeout, WatchIdleTimeout: 3 * time.Second,
		Registry: registry, Clock: clock,
	}
	client := platform.NewClient(opts)
	opts.Timeout = longTimeout
	setupClient := platform.NewClient(opts)
	t.Cleanup(func() {
		client.Close()
		setupClient.Close()
		listener.CloseClientConnections()
		listener.Close()
	})
	return &fixture{server: server, client: client, setupClient: setupClient, clock: clock, registry: registry}
}

const longTimeout = 30 * time.Second

func object(name, body string) platform.Object {
	return platform.Object{Kind: "Tier", Name: name, Body: []byte(body)}
}

// Guards against writes that ignore their precondition, so that concurrent
// operators overwrite each other, and against versions that do not increase.
func TestWritePreconditions(t *testing.T) {
	absent, unconditional := platform.Precondition{Absent: true}, platform.Precondition{}
	atVersion := func(version uint64) platform.Precondition { return platform.Precondition{Version: version} }
	steps := []struct {
		name    string
		write   func(platform.Store) (uint64, error)
		version uint64
		kind    errkind.Kind
	}{
		{"create", putObject("a", "1", absent), 1, ""},
		{"create again", putObject("a", "2", absent), 0, errkind.Conflict},
		{"replace the version read", putObject("a", "2", atVersion(1)), 2, ""},
		{"replace an old version", putObject("a", "3", atVersion(1)), 0, errkind.Conflict},
		{"replace what does not exist", putObject("b", "1", atVersion(1)), 0, errkind.Conflict},
		{"write without precondition", putObject("a", "4", unconditional), 3, ""},
		{"delete an old version", deleteObject("a", atVersion(2)), 0, errkind.Conflict},
		{"delete the version read", deleteObject("a", atVersion(3)), 4, ""},
		{"delete again", deleteObject("a", atVersion(3)), 0, errkind.Conflict},
		{"delete what does not exist", deleteObject("a", unconditional), 0, errkind.NotFound},
		{"create after the deletion", putObject("a", "5", absent), 5, ""},
		{"value above the limit", putObject("a", string(make([]byte, 1<<20+1)), unconditional), 0, errkind.BadRequest},
	}
	f := newFixture(t, longTimeout)
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			g := NewWithT(t)
			version, err := step.write(f.client)
			g.Expect(version).To(Equal(step.version))
			expectKind(g, err, step.kind)
		})
	}
}

// Guards against a list without its version, against a watch that drops,
// reorders or adds events, and against a watch that starts at a compacted
// version.
func TestListAndWatch(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	f := newFixture(t, longTimeout)
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

// Guards against a fault that is reported as success or as a rejected write
// although the write may have taken effect, and against a client that retries.
func TestFaultsReturnPlatformUnavailable(t *testing.T) {
	operations := map[string]func(platform.Store) (uint64, error){
		"put":    putObject("a", "1", platform.Precondition{}),
		"delete": deleteObject("old", platform.Precondition{}),
	}
	table := []struct {
		name        string
		faults      standin.Faults
		timeout     time.Duration
		takesEffect bool
	}{
		{"outage with status 503", standin.Faults{Outage: standin.Outage503}, longTimeout, false},
		{"outage that closes connections", standin.Faults{Outage: standin.OutageClose}, longTimeout, false},
		{"slow responses", standin.Faults{DelayMs: 1000}, 50 * time.Millisecond, false},
		{"lost response", standin.Faults{LoseAnswers: 1}, longTimeout, true},
	}
	for _, row := range table {
		for operation, write := range operations {
			t.Run(row.name+", "+operation, func(t *testing.T) {
				g := NewWithT(t)
				f := newFixture(t, row.timeout)
				_, err := f.setupClient.Put(context.Background(), object("old", ""), platform.Precondition{})
				g.Expect(err).NotTo(HaveOccurred())
				before := f.server.Calls()[operation]
				f.server.SetFaults(row.faults)
				_, err = write(f.client)
				expectKind(g, err, errkind.PlatformUnavailable)
				g.Expect(f.server.Calls()[operation]).To(Equal(before + 1))

				f.server.SetFaults(standin.Faults{})
				list, err := f.setupClient.List(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(list.Version == 2).To(Equal(row.takesEffect))
			})
		}
	}
}

// Guards against a watch that blocks forever after the platform has closed it,
// has become unreachable or has had an outage.
func TestBrokenWatchReturnsError(t *testing.T) {
	table := map[string]func(*fixture){
		"ended by the platform": func(f *fixture) { f.server.SetFaults(standin.Faults{EndWatches: true}) },
		"outage":                func(f *fixture) { f.server.SetFaults(standin.Faults{Outage: standin.OutageClose}) },
		"idle connection":       func(f *fixture) { f.clock.Advance(4 * time.Second) },
	}
	for name, fault := range table {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t, longTimeout)
			watch, err := f.client.Watch(context.Background(), 0)
			g.Expect(err).NotTo(HaveOccurred())
			defer watch.Close()
			fault(f)
			_, err = watch.Next()
			expectKind(g, err, errkind.PlatformUnavailable)
		})
	}
}

// Guards against stand-in faults without effect, with which the tests of recovery
// from skipped events and from an outdated instance list would always pass.
func TestStandinSkipsEventsAndFreezesInstances(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	f := newFixture(t, longTimeout)
	f.server.SetInstance(platform.ListedInstance{Name: "entry-1", Role: "entry"})
	f.server.SetFaults(standin.Faults{SkipEvents: 1, FreezeInstances: true})
	f.server.RemoveInstance("entry-1")
	_, err := putObject("a", "1", platform.Precondition{})(f.client)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = putObject("b", "1", platform.Precondition{})(f.client)
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

// Guards against a lost response after which a successful write is reported as
// failed, another operator's write is reported as this one, or that write is
// overwritten.
func TestWritesWithReadback(t *testing.T) {
	table := []struct {
		name string
		// concurrentBody, if not empty, is written before the object is read back.
		concurrentBody string
		faults         standin.Faults
		remove         bool
		kind           errkind.Kind
		wantBody       string
	}{
		{"write, no fault", "", standin.Faults{}, false, "", "new"},
		{"write, lost response", "", standin.Faults{LoseAnswers: 1}, false, "", "new"},
		{"write, lost response and a concurrent write", "other", standin.Faults{LoseAnswers: 1}, false, errkind.Conflict, "other"},
		{"write, outage", "", standin.Faults{Outage: standin.Outage503}, false, errkind.PlatformUnavailable, "old"},
		{"deletion, lost response", "", standin.Faults{LoseAnswers: 1}, true, "", ""},
		{"deletion, lost response and a concurrent write", "other", standin.Faults{LoseAnswers: 1}, true, errkind.Conflict, "other"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx := context.Background()
			f := newFixture(t, longTimeout)
			version, err := putObject("a", "old", platform.Precondition{Absent: true})(f.client)
			g.Expect(err).NotTo(HaveOccurred())
			f.server.SetFaults(row.faults)
			store := &racingStore{Store: f.client, concurrentBody: row.concurrentBody}
			if row.remove {
				_, err = platform.DeleteWithReadback(ctx, store, "Tier", "a", version)
			} else {
				_, err = platform.PutWithReadback(ctx, store, object("a", "new"), platform.Precondition{Version: version})
			}
			expectKind(g, err, row.kind)
			f.server.SetFaults(standin.Faults{})
			current, _ := f.client.Get(ctx, "Tier", "a")
			g.Expect(string(current.Body)).To(Equal(row.wantBody))
		})
	}
}

// racingStore writes concurrentBody before each Get, as another operator would.
type racingStore struct {
	platform.Store
	concurrentBody string
}

func (s *racingStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if s.concurrentBody != "" {
		if _, err := s.Put(ctx, object(name, s.concurrentBody), platform.Precondition{}); err != nil {
			return platform.Object{}, err
		}
	}
	return s.Store.Get(ctx, kind, name)
}

func putObject(name, body string, precondition platform.Precondition) func(platform.Store) (uint64, error) {
	return func(store platform.Store) (uint64, error) {
		return store.Put(context.Background(), object(name, body), precondition)
	}
}

func deleteObject(name string, precondition platform.Precondition) func(platform.Store) (uint64, error) {
	return func(store platform.Store) (uint64, error) {
		return store.Delete(context.Background(), "Tier", name, precondition)
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
