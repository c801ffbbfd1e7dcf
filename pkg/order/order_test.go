package order_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/order"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const leaseDuration = 10 * time.Second

// fakeStore is a platform with one object, its write preconditions, and
// injected faults.
type fakeStore struct {
	platform.Store
	object      *platform.Object
	version     uint64
	unavailable bool
	loseAnswer  bool
}

func (s *fakeStore) Get(context.Context, string, string) (platform.Object, error) {
	switch {
	case s.unavailable:
		return platform.Object{}, errkind.New(errkind.PlatformUnavailable, "platform is down")
	case s.object == nil:
		return platform.Object{}, errkind.New(errkind.NotFound, "absent")
	}
	return *s.object, nil
}

func (s *fakeStore) Put(_ context.Context, object platform.Object, pre platform.Precondition) (uint64, error) {
	if s.unavailable {
		return 0, errkind.New(errkind.PlatformUnavailable, "platform is down")
	}
	present := s.object != nil
	if pre.Absent && present || pre.Version != 0 && (!present || s.object.Version != pre.Version) {
		return 0, errkind.New(errkind.Conflict, "precondition")
	}
	s.version++
	object.Version = s.version
	s.object = &object
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, errkind.New(errkind.PlatformUnavailable, "answer lost")
	}
	return s.version, nil
}

// fakeEngine applies orders. It refuses old fencing numbers if checksFence is
// set.
type fakeEngine struct {
	checksFence bool
	load        upstream.Load
	orders      int
	// beforeOrder runs after the holder checked its lease and before the order
	// takes effect.
	beforeOrder func()
}

func (e *fakeEngine) Load(context.Context, string) (upstream.Load, error) { return e.load, nil }

func (e *fakeEngine) GiveOrder(_ context.Context, _ string, o upstream.Order) error {
	if hook := e.beforeOrder; hook != nil {
		e.beforeOrder = nil
		hook()
	}
	if e.checksFence && o.Fence < e.load.Fence {
		return errkind.New(errkind.Conflict, "old fencing number")
	}
	e.orders++
	e.load.Fence = o.Fence
	e.load.LoadedModels = o.Models
	e.load.Role = o.Role
	return nil
}

type fixedSource struct{ snapshot *conf.Snapshot }

func (s fixedSource) Snapshot() *conf.Snapshot { return s.snapshot }
func (s fixedSource) Changed() <-chan struct{} { return nil }

func sourceWithModel(model string) fixedSource {
	up := &record.Upstream{Name: "engine-1", Type: record.TypeEngine, Domain: "north", Models: []string{model}}
	return fixedSource{&conf.Snapshot{Upstreams: map[string]*record.Upstream{up.Name: up}}}
}

func newLease(store platform.Store, clock clockwork.Clock, holder string) *order.Lease {
	lease, err := order.NewLease(order.LeaseConfig{
		Store: store, Clock: clock, Name: "orders-north", Holder: holder, Incarnation: 1, Duration: leaseDuration,
	})
	Expect(err).NotTo(HaveOccurred())
	return lease
}

func newManager(store platform.Store, clock clockwork.Clock, holder, model string, engine order.EngineClient) *order.Manager {
	return order.NewManager(order.ManagerConfig{
		Domain: "north", Lease: newLease(store, clock, holder), Source: sourceWithModel(model), Engines: engine,
		Refresh: func(context.Context) error { return nil }, Clock: clock, Log: logr.Discard(),
		RoundInterval: time.Second, CallTimeout: time.Second, MaxOrdersPerRound: 4,
	})
}

// Guards against two valid leases at the same time after any order of renewals,
// pauses, outages and lost answers.
func TestLeaseHasOneHolder(t *testing.T) {
	RegisterTestingT(t)
	type step struct {
		advance time.Duration
		fault   string
		renew   string
		heldA   bool
		heldB   bool
	}
	cases := map[string][]step{
		"other instance waits for a whole lease duration": {
			{renew: "a", heldA: true},
			{renew: "b", heldA: true},
			{advance: leaseDuration / 2, renew: "a", heldA: true},
			{advance: leaseDuration * 3 / 4, renew: "b", heldA: true},
			{advance: leaseDuration / 4, renew: "b"},
			{advance: leaseDuration, renew: "b", heldB: true},
			{renew: "a", heldB: true},
		},
		"answer to the first write lost": {
			{fault: "lose answer", renew: "a", heldA: true},
			{renew: "b", heldA: true},
		},
		"lease expires during an outage": {
			{renew: "a", heldA: true},
			{advance: leaseDuration / 2, fault: "outage", renew: "a", heldA: true},
			{advance: leaseDuration / 2, renew: "a"},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store, clock := &fakeStore{}, clockwork.NewFakeClock()
			leases := map[string]*order.Lease{"a": newLease(store, clock, "a"), "b": newLease(store, clock, "b")}
			for i, s := range steps {
				clock.Advance(s.advance)
				store.loseAnswer = s.fault == "lose answer"
				store.unavailable = store.unavailable || s.fault == "outage"
				_ = leases[s.renew].Renew(t.Context())
				g.Expect(leases["a"].Held()).To(Equal(s.heldA), "step %d, a", i)
				g.Expect(leases["b"].Held()).To(Equal(s.heldB), "step %d, b", i)
			}
		})
	}
}

// Guards against an order of a paused holder that stays in effect after its
// lease expired, on engines that check the fencing number and on those that do
// not.
func TestOrderOfPausedHolderIsOverwritten(t *testing.T) {
	RegisterTestingT(t)
	for name, checks := range map[string]bool{"engine checks the fencing number": true, "engine ignores the fencing number": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store, clock := &fakeStore{}, clockwork.NewFakeClock()
			engine := &fakeEngine{checksFence: checks}
			paused := newManager(store, clock, "a", "plan@1", engine)
			next := newManager(store, clock, "b", "plan@2", engine)
			// Holder a pauses after it checked its lease; b takes over and sends
			// its own order meanwhile.
			engine.beforeOrder = func() {
				next.RunOnce(t.Context())
				clock.Advance(leaseDuration)
				next.RunOnce(t.Context())
				g.Expect(engine.load.LoadedModels).To(Equal([]string{"plan@2"}))
			}
			paused.RunOnce(t.Context())
			if checks {
				g.Expect(engine.load.LoadedModels).To(Equal([]string{"plan@2"}), "the late order was accepted")
			}
			next.RunOnce(t.Context())
			g.Expect(engine.load.LoadedModels).To(Equal([]string{"plan@2"}))
			ordersBefore := engine.orders
			paused.RunOnce(t.Context())
			next.RunOnce(t.Context())
			g.Expect(engine.orders).To(Equal(ordersBefore), "two holders send alternating orders")
		})
	}
}

// Guards against a new holder that sends orders from an older configuration
// than that of the previous holder.
func TestNoOrderBeforeRefresh(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	store, clock, engine := &fakeStore{}, clockwork.NewFakeClock(), &fakeEngine{}
	refreshErr := error(errkind.New(errkind.PlatformUnavailable, "platform is down"))
	manager := order.NewManager(order.ManagerConfig{
		Domain: "north", Lease: newLease(store, clock, "a"), Source: sourceWithModel("plan@1"), Engines: engine,
		Refresh: func(context.Context) error { return refreshErr }, Clock: clock, Log: logr.Discard(),
		RoundInterval: time.Second, CallTimeout: time.Second, MaxOrdersPerRound: 4,
	})
	manager.RunOnce(t.Context())
	g.Expect(engine.orders).To(BeZero())
	refreshErr = nil
	manager.RunOnce(t.Context())
	g.Expect(engine.orders).To(Equal(1))
}

// Guards against engines that are never read when a round reads only some of
// them.
func TestRoundsReadEnginesRoundRobin(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	snapshot := &conf.Snapshot{Upstreams: map[string]*record.Upstream{}}
	for _, name := range []string{"a", "b", "c"} {
		snapshot.Upstreams[name] = &record.Upstream{Name: name, Address: name, Type: record.TypeEngine, Domain: "north"}
	}
	var read recordingEngines
	clock := clockwork.NewFakeClock()
	manager := order.NewManager(order.ManagerConfig{
		Domain: "north", Lease: newLease(&fakeStore{}, clock, "a"), Source: fixedSource{snapshot}, Engines: &read,
		Refresh: func(context.Context) error { return nil }, Clock: clock, Log: logr.Discard(),
		RoundInterval: time.Second, CallTimeout: time.Second, MaxReadsPerRound: 2, MaxOrdersPerRound: 4,
	})
	manager.RunOnce(t.Context())
	g.Expect(read).To(Equal(recordingEngines{"a", "b"}))
	manager.RunOnce(t.Context())
	g.Expect(read).To(Equal(recordingEngines{"a", "b", "c", "a"}))
}

// recordingEngines records the addresses of the engines whose state is read.
type recordingEngines []string

func (e *recordingEngines) Load(_ context.Context, address string) (upstream.Load, error) {
	*e = append(*e, address)
	return upstream.Load{}, nil
}

func (e *recordingEngines) GiveOrder(context.Context, string, upstream.Order) error { return nil }

// Guards against immediate takeover of a lease whose content this version
// cannot decode.
func TestUnreadableLeaseIsNotTakenOverAtOnce(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	body, err := json.Marshal([]int{1})
	g.Expect(err).NotTo(HaveOccurred())
	store := &fakeStore{object: &platform.Object{Version: 1, Body: body}, version: 1}
	lease := newLease(store, clockwork.NewFakeClock(), "a")
	g.Expect(errkind.KindOf(lease.Renew(t.Context()))).To(Equal(errkind.Conflict))
}
