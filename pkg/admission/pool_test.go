package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

const second = time.Second

var location = admission.Location{Domain: "north", Regions: map[string]string{"north": "r1", "south": "r1", "east": "r2"}}

type fixture struct {
	*GomegaWithT
	pool    *admission.Pool
	nextKey uint64
}

// newFixture returns a pool of engines in the instance's own failure domain.
func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	pool := admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: 8, TokensPerEvent: 6}, location, exactTuning(), seeded())
	for i := range engines {
		pool.SetUpstream(admission.UpstreamInfo{ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("a%d", i), Domain: "north", Slots: 8})
	}
	return &fixture{GomegaWithT: NewWithT(t), pool: pool}
}

// exactTuning disables the cost jitter.
func exactTuning() admission.Tuning {
	tuning := admission.DefaultTuning()
	tuning.CostJitter = 0
	return tuning
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// submit adds a request of the given tier and prompt length that may take 15 s.
func (f *fixture) submit(now time.Duration, tier, prompt int) uint64 {
	f.nextKey++
	f.pool.Submit(&admission.Request{
		Key: f.nextKey, Service: "llm", Tier: tier, PromptTokens: prompt,
		Arrived: now, SoftDeadline: now + second, Deadline: now + 15*second,
	})
	return f.nextKey
}

func placed(decisions []admission.Decision) map[string][]uint64 {
	at := map[string][]uint64{}
	for _, d := range decisions {
		if d.Action == admission.Place {
			at[d.Upstream.ID] = append(at[d.Upstream.ID], d.Key)
		}
	}
	return at
}

func count(at map[string][]uint64) int {
	n := 0
	for _, keys := range at {
		n += len(keys)
	}
	return n
}

// slots is the number of requests that an engine runs at once, and capacity the
// number that the pool places there.
const (
	slots    = 8
	capacity = slots + 1
)

// Burst of twice the total capacity. Guards against placing many more requests at
// an engine than it has slots, which makes all of them late, and against idle slots
// while requests wait.
func TestBurstIsPlacedUpToCapacity(t *testing.T) {
	f := newFixture(t, 2)
	for range 4 * capacity {
		f.submit(0, 1, 200)
	}
	at := placed(f.pool.Schedule(0))
	f.Expect(at["e0"]).To(HaveLen(capacity))
	f.Expect(at["e1"]).To(HaveLen(capacity))
	f.Expect(f.pool.QueueLength()).To(Equal(2 * capacity))
	f.pool.Finish(second/10, "e0", at["e0"][0], admission.Result{Outcome: admission.Answered})
	f.Expect(count(placed(f.pool.Schedule(second / 10)))).To(Equal(1))
}

// Load pattern: nine instances place on the same engines at once. Guards against counting only
// the instance's own requests.
func TestPeerRequestsUseCapacity(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity - 2}}})
	for range 4 {
		f.submit(0, 1, 200)
	}
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(2))
	// The load of a peer that crashed or is partitioned expires.
	f.Expect(count(placed(f.pool.Schedule(2 * second)))).To(Equal(2))
}

// Full queue of mixed tiers. Guards against serving a lower tier first, and against
// serving the oldest requests first, which makes all later ones late as well.
func TestQueueOrderIsTierThenNewest(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
	low := f.submit(0, 2, 100)
	older := f.submit(-second/4, 0, 500)
	newer := f.submit(0, 0, 5000)
	// A caller that has returned after a refusal.
	f.nextKey++
	late := f.nextKey
	f.pool.Submit(&admission.Request{Key: late, Service: "llm", PromptTokens: 100, SoftDeadline: -second / 10, Deadline: 14 * second})
	f.Expect(f.pool.Schedule(0)).To(BeEmpty())
	for _, want := range []uint64{newer, older, low, late} {
		free := capacity - 1
		if want == late {
			// Late requests get no capacity beyond the slots.
			free = slots - 1
		}
		f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: free}}})
		at := placed(f.pool.Schedule(0))
		f.Expect(at["e0"]).To(Equal([]uint64{want}))
		f.pool.Finish(0, "e0", want, admission.Result{Outcome: admission.Answered})
		f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
	}
}

// Sustained overload. Guards against requests that are queued until their deadline.
// Retry-After must lie within the time until the deadline, and must be spread over
// many callers.
func TestQueuedRequestsAreRefusedWithRetryAfter(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
	for range 50 {
		f.submit(0, 1, 100)
	}
	f.Expect(f.pool.Schedule(second / 2)).To(BeEmpty())
	f.pool.SetPeer(second, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
	decisions := f.pool.Schedule(second)
	f.Expect(decisions).To(HaveLen(50))
	least, most := time.Hour, time.Duration(0)
	for _, d := range decisions {
		f.Expect(d.Action).To(Equal(admission.Refuse))
		f.Expect(d.RetryAfter).To(BeNumerically("<=", 14*second/3))
		least, most = min(least, d.RetryAfter), max(most, d.RetryAfter)
	}
	f.Expect(most - least).To(BeNumerically(">", second/2))
}

// An engine has crashed, its record is still in the store, and it refuses
// connections. Guards against sending all requests to this engine because it looks
// idle: until it answers, it gets one request at a time.
func TestFailedUpstreamGetsOneRequestAtATime(t *testing.T) {
	f := newFixture(t, 2)
	first := f.submit(0, 1, 100)
	at := placed(f.pool.Schedule(0))
	f.Expect(at["e0"]).To(Equal([]uint64{first}))
	f.pool.Finish(0, "e0", first, admission.Result{Outcome: admission.Unreachable})
	for range 12 {
		f.submit(second, 1, 100)
	}
	at = placed(f.pool.Schedule(second))
	f.Expect(at["e0"]).To(HaveLen(1))
	f.Expect(at["e1"]).To(HaveLen(capacity))
	f.pool.Finish(second, "e0", at["e0"][0], admission.Result{Outcome: admission.Answered})
	f.Expect(count(placed(f.pool.Schedule(second)))).To(Equal(12 - 1 - capacity))
}

// Half of the engines are up but fail part of their requests. Guards against a
// placement that ignores the failure rate.
func TestPlacementAvoidsHighFailureRate(t *testing.T) {
	f := newFixture(t, 2)
	for range 6 {
		key := f.submit(0, 1, 100)
		for id, keys := range placed(f.pool.Schedule(0)) {
			outcome := admission.Answered
			if id == "e0" {
				outcome = admission.Failed
			}
			f.Expect(keys).To(Equal([]uint64{key}))
			f.pool.Finish(0, id, key, admission.Result{Outcome: outcome})
		}
	}
	f.submit(0, 1, 100)
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKey("e1"))
}

// Engines of one service differ in speed by a factor of five. Guards against
// placement by the number of requests alone.
func TestPlacementUsesObservedSpeed(t *testing.T) {
	f := newFixture(t, 2)
	for range 4 {
		key := f.submit(0, 1, 100)
		for id, keys := range placed(f.pool.Schedule(0)) {
			gap := 8 * time.Millisecond
			if id == "e0" {
				gap = 40 * time.Millisecond
			}
			f.Expect(keys).To(Equal([]uint64{key}))
			f.pool.Finish(0, id, key, admission.Result{Outcome: admission.Answered, EventInterval: gap})
		}
	}
	for range 4 {
		f.submit(0, 1, 3000)
	}
	at := placed(f.pool.Schedule(0))
	f.Expect(len(at["e1"])).To(BeNumerically(">", len(at["e0"])))
}

// Two of three idle upstreams are known to be twice as fast as the default. Guards against a
// third one, of which nothing is known yet, that gets no request although it is as fast.
func TestUpstreamWithoutObservationsIsTried(t *testing.T) {
	tuning := admission.DefaultTuning()
	f := newFixture(t, 0)
	f.pool = admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: slots, TokensPerEvent: 6}, location, tuning, seeded())
	known := map[string]admission.Load{"e0": {Speed: 4, Samples: 8}, "e1": {Speed: 4, Samples: 8}}
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: known})
	for _, id := range []string{"e0", "e1", "e2"} {
		f.pool.SetUpstream(admission.UpstreamInfo{ID: id, Service: "llm", Address: id, Domain: "north", Slots: slots})
	}
	tried := 0
	for now := second / 2; now < 10*second; now += second / 10 {
		f.pool.SetPeer(now, "peer", admission.PeerState{Loads: known})
		key := f.submit(now, 1, 1000)
		for id := range placed(f.pool.Schedule(now)) {
			if id == "e2" {
				tried++
			}
			f.pool.Finish(now, id, key, admission.Result{Outcome: admission.NotSent})
		}
	}
	f.Expect(tried).To(BeNumerically(">", 15), "of 95")
}

// Answers differ in length by a factor of a hundred, and some engines are too slow
// to end the longest before the deadline. Guards against comparing only the time to
// the first output.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	f := newFixture(t, 2)
	for id, interval := range map[string]time.Duration{"e0": 70 * time.Millisecond, "e1": 20 * time.Millisecond} {
		f.pool.SetPeer(0, "peer of "+id, admission.PeerState{Loads: map[string]admission.Load{id: {Speed: 20.0 / float64(interval.Milliseconds()), Samples: 8}}})
	}
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e1": {InFlight: 6, PendingPrefillTokens: 8000}}})
	submit := func(key uint64, output int) {
		f.pool.Submit(&admission.Request{Key: key, Service: "llm", PromptTokens: 100, OutputTokens: output, SoftDeadline: second, Deadline: 12 * second})
	}
	submit(1, 50)
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKey("e0"))
	submit(2, 1500)
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKey("e1"))
}

// An engine becomes slow while it runs requests. Guards against detecting this only
// when they end.
func TestOverdueFirstOutputLowersSpeed(t *testing.T) {
	f := newFixture(t, 2)
	f.submit(0, 1, 3000)
	at := placed(f.pool.Schedule(0))
	f.Expect(at).To(HaveKey("e0"))
	f.pool.Schedule(second)
	f.submit(second, 1, 100)
	f.Expect(placed(f.pool.Schedule(second))).To(HaveKey("e1"))
}

func TestOtherRegionIsUsedOnlyWhenLocalUpstreamIsBusy(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "remote", Service: "llm", Address: "b", Domain: "east", Slots: 8})
	f.submit(0, 1, 300)
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKey("e0"))
	for range 4 {
		f.submit(0, 1, 6000)
	}
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKey("remote"))
}

func TestLeavingAndExcludedUpstreamsAreSkipped(t *testing.T) {
	f := newFixture(t, 2)
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8, Leaving: true})
	f.pool.Submit(&admission.Request{Key: 99, Service: "llm", Deadline: 15 * second, SoftDeadline: second, ExcludedUpstreams: []string{"e1"}})
	f.Expect(f.pool.Schedule(0)).To(BeEmpty())
	f.Expect(f.pool.Dequeue(99)).To(BeTrue())
	f.Expect(f.pool.Dequeue(99)).To(BeFalse())
}

func TestRequestWithoutUpstreamIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 0)
	f.submit(0, 1, 100)
	decisions := f.pool.Schedule(0)
	f.Expect(decisions).To(HaveLen(1))
	f.Expect(decisions[0].Action).To(Equal(admission.Refuse))
}

// An upstream restarts under the same ID while requests of its former process are
// still counted. Guards against slots that never become free.
func TestNewIncarnationHasNoRequests(t *testing.T) {
	f := newFixture(t, 1)
	for range capacity {
		f.submit(0, 1, 100)
	}
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(capacity))
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8, Incarnation: 2})
	f.pool.Finish(0, "e0", 1, admission.Result{Outcome: admission.Broken})
	f.submit(0, 1, 100)
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(1))
}

// Load pattern: 16 instances place on 23 engines and report each change at once.
// Guards against a partial report that replaces the loads of the upstreams it does
// not name, and against loads that are counted twice.
func TestPartialReportKeepsOtherLoads(t *testing.T) {
	f := newFixture(t, 2)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity - 1}, "e1": {InFlight: capacity}}})
	f.pool.UpdatePeer(second/10, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
	f.submit(second/10, 1, 200)
	f.Expect(placed(f.pool.Schedule(second / 10))).To(BeEmpty())
	f.pool.UpdatePeer(second/5, "peer", admission.PeerState{Loads: map[string]admission.Load{"e1": {InFlight: capacity - 1}}})
	f.Expect(placed(f.pool.Schedule(second / 5))).To(HaveKey("e1"))
}

// 16 instances place two requests each on 23 engines with five slots before they
// receive each other's reports. Guards against instances that all choose the engine
// with the lowest cost, where most requests then wait.
func TestInstancesWithSameViewSpreadRequests(t *testing.T) {
	f := newFixture(t, 0)
	at := map[string]int{}
	random := seeded()
	for instance := range 16 {
		pool := admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: 5, TokensPerEvent: 6}, location, admission.DefaultTuning(), random)
		for i := range 23 {
			pool.SetUpstream(admission.UpstreamInfo{ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("a%d", i), Domain: "north", Slots: 5})
		}
		for range 2 {
			pool.Submit(&admission.Request{Key: uint64(instance), Service: "llm", PromptTokens: 600, SoftDeadline: second, Deadline: 12 * second})
			for id, keys := range placed(pool.Schedule(0)) {
				at[id] += len(keys)
			}
		}
	}
	for id, placed := range at {
		f.Expect(placed).To(BeNumerically("<=", 5), id)
	}
}

// Refused callers retry during sustained overload. Guards against late requests
// that use the capacity beyond the slots, where they delay requests that can still
// be in time, and against idle slots.
func TestLateRequestsGetNoCapacityBeyondSlots(t *testing.T) {
	f := newFixture(t, 1)
	for range capacity {
		f.submit(-second, 1, 200)
	}
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(slots))
	f.submit(0, 1, 200)
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(1))
}

// Requests wait at this instance and at others when an engine comes back with all
// its slots free. Guards against one instance that uses all of them before it
// receives the reports of the others, and against slots that stay idle after this
// instance's own requests have released them.
func TestFreeCapacityIsSharedByDemand(t *testing.T) {
	f := newFixture(t, 0)
	for range 2 * capacity {
		f.submit(0, 0, 200)
	}
	f.pool.SetPeer(0, "peer", admission.PeerState{Demand: 4 * capacity})
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: slots})
	at := placed(f.pool.Schedule(0))
	f.Expect(at["e0"]).To(HaveLen(capacity/3), "a third of the total demand is here")
	f.pool.Finish(second/100, "e0", at["e0"][0], admission.Result{Outcome: admission.Answered})
	f.Expect(count(placed(f.pool.Schedule(second/100)))).To(Equal(1), "capacity released by an own request")
	f.Expect(count(placed(f.pool.Schedule(second / 50)))).To(BeZero())
	f.Expect(count(placed(f.pool.Schedule(second/10)))).To(BeNumerically(">=", 1), "share of the capacity released by others")
	f.pool.SetPeer(second/5, "peer", admission.PeerState{})
	f.Expect(count(placed(f.pool.Schedule(second / 5)))).To(BeNumerically(">=", 1))
	f.Expect(count(placed(f.pool.Schedule(second/4)))).To(BeZero(), "no free capacity")
}

// Load pattern: a hundred instances send short requests to a few servers that answer faster than
// reports arrive. Guards against queueing requests although capacity is free again
// at once (grown load pattern scale-1 from the users' site kifaru: 1,193 of 7,391
// bookings late and 1,146 refused, up from 276 and 275).
func TestShortRequestsAreNotLimited(t *testing.T) {
	f := newFixture(t, 0)
	f.pool.SetService(admission.Service{Name: "desk", Slots: slots})
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "s0", Service: "desk", Address: "a0", Domain: "north", Slots: slots})
	f.pool.SetPeer(0, "peer", admission.PeerState{Demand: 100})
	for range 3 {
		f.submit(0, 0, 0)
	}
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(3))
}
