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
	pool *admission.Pool
	next uint64
}

// newFixture returns a pool of engines in the instance's own failure domain.
func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	pool := admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: 8, EventTokens: 6}, location, exactTuning(), seeded())
	for i := range engines {
		pool.SetUpstream(admission.Info{ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("a%d", i), Domain: "north", Slots: 8})
	}
	return &fixture{GomegaWithT: NewWithT(t), pool: pool}
}

// exactTuning compares upstreams by their expected time alone.
func exactTuning() admission.Tuning {
	tuning := admission.DefaultTuning()
	tuning.Spread = 0
	return tuning
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// submit adds a request of the given tier and prompt that waits up to 15 s.
func (f *fixture) submit(now time.Duration, tier, prompt int) uint64 {
	f.next++
	f.pool.Submit(&admission.Request{
		Key: f.next, Service: "llm", Tier: tier, PromptTokens: prompt,
		Arrived: now, Due: now + second, Until: now + 15*second,
	})
	return f.next
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

// slots is what an engine runs at once, and room what it is given.
const (
	slots = 8
	room  = slots + 1
)

// Load pattern: a burst of twice what the engines hold. Guards against engines
// that are given much more than their slots, behind which nothing is in time,
// and against slots that stay idle while requests wait.
func TestABurstFillsTheSlotsAndOneMore(t *testing.T) {
	f := newFixture(t, 2)
	for range 4 * room {
		f.submit(0, 1, 200)
	}
	at := placed(f.pool.Advance(0))
	f.Expect(at["e0"]).To(HaveLen(room))
	f.Expect(at["e1"]).To(HaveLen(room))
	f.Expect(f.pool.Waiting()).To(Equal(2 * room))
	f.pool.Finish(second/10, "e0", at["e0"][0], admission.Result{Outcome: admission.Answered})
	f.Expect(count(placed(f.pool.Advance(second / 10)))).To(Equal(1))
}

// Load pattern: nine instances place on the same engines at once. Guards
// against counting only the own requests.
func TestRequestsOfPeersTakeSlots(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: room - 2}}})
	for range 4 {
		f.submit(0, 1, 200)
	}
	f.Expect(count(placed(f.pool.Advance(0)))).To(Equal(2))
	// A peer that has died or was cut off keeps no slots.
	f.Expect(count(placed(f.pool.Advance(2 * second)))).To(Equal(2))
}

// Load pattern: a full queue of mixed tiers. Guards against a lower tier that
// goes before a higher one, and against serving those first that are about to be
// late, which makes all late that come after them.
func TestTheQueueIsServedByTierAndThenTheNewest(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: room}}})
	low := f.submit(0, 2, 100)
	old := f.submit(-second/4, 0, 500)
	young := f.submit(0, 0, 5000)
	late := f.submit(-second-second/10, 0, 100)
	f.Expect(f.pool.Advance(0)).To(BeEmpty())
	for _, want := range []uint64{young, old, low, late} {
		free := room - 1
		if want == late {
			// The place beyond the slots is not for late requests.
			free = slots - 1
		}
		f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: free}}})
		at := placed(f.pool.Advance(0))
		f.Expect(at["e0"]).To(Equal([]uint64{want}))
		f.pool.Finish(0, "e0", want, admission.Result{Outcome: admission.Answered})
		f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: room}}})
	}
}

// Load pattern: overload that does not end. Guards against requests that are
// held until their time limit; a refusal names a time within the caller's
// patience, and the times of many callers are spread.
func TestHeldRequestsAreRefusedWithATimeToReturn(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: room}}})
	for range 50 {
		f.submit(0, 1, 100)
	}
	f.Expect(f.pool.Advance(second)).To(BeEmpty())
	f.pool.SetPeer(3*second, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: room}}})
	decisions := f.pool.Advance(3 * second)
	f.Expect(decisions).To(HaveLen(50))
	least, most := time.Hour, time.Duration(0)
	for _, d := range decisions {
		f.Expect(d.Action).To(Equal(admission.Refuse))
		f.Expect(d.RetryAfter).To(BeNumerically("<=", 4*second))
		least, most = min(least, d.RetryAfter), max(most, d.RetryAfter)
	}
	f.Expect(most - least).To(BeNumerically(">", second/2))
}

// Failure: an engine has crashed, its entry is still in the store, and its
// connections are refused. Guards against sending it all that comes because it
// looks idle: until it has answered, it gets one request at a time.
func TestAnUpstreamThatFailedIsTriedOneRequestAtATime(t *testing.T) {
	f := newFixture(t, 2)
	first := f.submit(0, 1, 100)
	at := placed(f.pool.Advance(0))
	f.Expect(at["e0"]).To(Equal([]uint64{first}))
	f.pool.Finish(0, "e0", first, admission.Result{Outcome: admission.Unreachable})
	for range 12 {
		f.submit(second, 1, 100)
	}
	at = placed(f.pool.Advance(second))
	f.Expect(at["e0"]).To(HaveLen(1))
	f.Expect(at["e1"]).To(HaveLen(room))
	f.pool.Finish(second, "e0", at["e0"][0], admission.Result{Outcome: admission.Answered})
	f.Expect(count(placed(f.pool.Advance(second)))).To(Equal(12 - 1 - room))
}

// Failure: half of the engines fail part of their requests although they are
// up. Guards against placing there as if nothing had happened.
func TestUpstreamsThatFailRequestsAreAvoided(t *testing.T) {
	f := newFixture(t, 2)
	for range 6 {
		key := f.submit(0, 1, 100)
		for id, keys := range placed(f.pool.Advance(0)) {
			outcome := admission.Answered
			if id == "e0" {
				outcome = admission.Failed
			}
			f.Expect(keys).To(Equal([]uint64{key}))
			f.pool.Finish(0, id, key, admission.Result{Outcome: outcome})
		}
	}
	f.submit(0, 1, 100)
	f.Expect(placed(f.pool.Advance(0))).To(HaveKey("e1"))
}

// Load pattern: engines of one service differ in speed fivefold. Guards against
// placement by count alone.
func TestPlacementLearnsTheSpeedOfEngines(t *testing.T) {
	f := newFixture(t, 2)
	for range 4 {
		key := f.submit(0, 1, 100)
		for id, keys := range placed(f.pool.Advance(0)) {
			gap := 8 * time.Millisecond
			if id == "e0" {
				gap = 40 * time.Millisecond
			}
			f.Expect(keys).To(Equal([]uint64{key}))
			f.pool.Finish(0, id, key, admission.Result{Outcome: admission.Answered, EventGap: gap})
		}
	}
	for range 4 {
		f.submit(0, 1, 3000)
	}
	at := placed(f.pool.Advance(0))
	f.Expect(len(at["e1"])).To(BeNumerically(">", len(at["e0"])))
}

// Load pattern: answers differ a hundredfold in length, and some engines are so
// slow that the longest do not end there before the caller gives up. Guards
// against looking only at the first output.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	f := newFixture(t, 2)
	for id, gap := range map[string]time.Duration{"e0": 70 * time.Millisecond, "e1": 20 * time.Millisecond} {
		f.pool.SetPeer(0, "peer of "+id, admission.PeerState{Loads: map[string]admission.Load{id: {Speed: 20.0 / float64(gap.Milliseconds()), Samples: 8}}})
	}
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e1": {InFlight: 6, AwaitedTokens: 8000}}})
	submit := func(key uint64, output int) {
		f.pool.Submit(&admission.Request{Key: key, Service: "llm", PromptTokens: 100, OutputTokens: output, Due: second, Until: 12 * second})
	}
	submit(1, 50)
	f.Expect(placed(f.pool.Advance(0))).To(HaveKey("e0"))
	submit(2, 1500)
	f.Expect(placed(f.pool.Advance(0))).To(HaveKey("e1"))
}

// Failure: an engine turns slow in the middle of its requests. Guards against
// finding out only when they end.
func TestOverdueOutputShowsASlowEngine(t *testing.T) {
	f := newFixture(t, 2)
	f.submit(0, 1, 3000)
	at := placed(f.pool.Advance(0))
	f.Expect(at).To(HaveKey("e0"))
	f.pool.Advance(second)
	f.submit(second, 1, 100)
	f.Expect(placed(f.pool.Advance(second))).To(HaveKey("e1"))
}

func TestDistanceCountsUnlessTheNearUpstreamIsBusy(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetUpstream(admission.Info{ID: "far", Service: "llm", Address: "b", Domain: "east", Slots: 8})
	f.submit(0, 1, 300)
	f.Expect(placed(f.pool.Advance(0))).To(HaveKey("e0"))
	for range 4 {
		f.submit(0, 1, 6000)
	}
	f.Expect(placed(f.pool.Advance(0))).To(HaveKey("far"))
}

func TestLeavingAndExcludedUpstreamsGetNothing(t *testing.T) {
	f := newFixture(t, 2)
	f.pool.SetUpstream(admission.Info{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8, Leaving: true})
	f.pool.Submit(&admission.Request{Key: 99, Service: "llm", Until: 15 * second, Due: second, Tried: []string{"e1"}})
	f.Expect(f.pool.Advance(0)).To(BeEmpty())
	f.Expect(f.pool.Withdraw(99)).To(BeTrue())
	f.Expect(f.pool.Withdraw(99)).To(BeFalse())
}

func TestAServiceWithoutUpstreamsRefusesAtOnce(t *testing.T) {
	f := newFixture(t, 0)
	f.submit(0, 1, 100)
	decisions := f.pool.Advance(0)
	f.Expect(decisions).To(HaveLen(1))
	f.Expect(decisions[0].Action).To(Equal(admission.Refuse))
}

// Failure: an upstream starts again under its ID while requests of the former
// process are still counted. Guards against slots that never become free.
func TestANewIncarnationStartsEmpty(t *testing.T) {
	f := newFixture(t, 1)
	for range room {
		f.submit(0, 1, 100)
	}
	f.Expect(count(placed(f.pool.Advance(0)))).To(Equal(room))
	f.pool.SetUpstream(admission.Info{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8, Incarnation: 2})
	f.pool.Finish(0, "e0", 1, admission.Result{Outcome: admission.Broken})
	f.submit(0, 1, 100)
	f.Expect(count(placed(f.pool.Advance(0)))).To(Equal(1))
}

// Load pattern: 16 instances place on 23 engines, and tell each change at once.
// Guards against changes that replace what was told before, and against loads
// that are counted twice.
func TestChangesOfAPeersLoadAreAddedToWhatItTold(t *testing.T) {
	f := newFixture(t, 2)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: room - 1}, "e1": {InFlight: room}}})
	f.pool.UpdatePeer(second/10, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: room}}})
	f.submit(second/10, 1, 200)
	f.Expect(placed(f.pool.Advance(second / 10))).To(BeEmpty())
	f.pool.UpdatePeer(second/5, "peer", admission.PeerState{Loads: map[string]admission.Load{"e1": {InFlight: room - 1}}})
	f.Expect(placed(f.pool.Advance(second / 5))).To(HaveKey("e1"))
}

// Load pattern: 16 instances place two requests each before they hear of each
// other, on 23 engines with five slots. Guards against instances that all choose
// the engine that looks best, where most of the requests then wait.
func TestInstancesWithTheSamePictureChooseDifferentEngines(t *testing.T) {
	f := newFixture(t, 0)
	at := map[string]int{}
	random := seeded()
	for instance := range 16 {
		pool := admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: 5, EventTokens: 6}, location, admission.DefaultTuning(), random)
		for i := range 23 {
			pool.SetUpstream(admission.Info{ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("a%d", i), Domain: "north", Slots: 5})
		}
		for range 2 {
			pool.Submit(&admission.Request{Key: uint64(instance), Service: "llm", PromptTokens: 600, Due: second, Until: 12 * second})
			for id, keys := range placed(pool.Advance(0)) {
				at[id] += len(keys)
			}
		}
	}
	for id, placed := range at {
		f.Expect(placed).To(BeNumerically("<=", 5), id)
	}
}

// Load pattern: callers that were refused come back in an overload that goes on.
// Guards against late requests that take the places beyond the slots, where they
// make those wait that could be in time, and against slots that stay free.
func TestLateRequestsGetSlotsButNoPlaceBeyondThem(t *testing.T) {
	f := newFixture(t, 1)
	for range room {
		f.submit(-second, 1, 200)
	}
	f.Expect(count(placed(f.pool.Advance(0)))).To(Equal(slots))
	f.submit(0, 1, 200)
	f.Expect(count(placed(f.pool.Advance(0)))).To(Equal(1))
}

// Load pattern: requests wait at this instance and at others, and an engine comes
// back with all of its slots. Guards against one instance that takes all of them
// before it hears of the others, and against slots that stay idle although this
// instance's own requests have left them.
func TestFreePlacesAreSharedByWhatWaits(t *testing.T) {
	f := newFixture(t, 0)
	for range 2 * room {
		f.submit(0, 0, 200)
	}
	f.pool.SetPeer(0, "peer", admission.PeerState{Demand: 4 * room})
	f.pool.SetUpstream(admission.Info{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: slots})
	at := placed(f.pool.Advance(0))
	f.Expect(at["e0"]).To(HaveLen(room/3), "a third of all that waits is here")
	f.pool.Finish(second/100, "e0", at["e0"][0], admission.Result{Outcome: admission.Answered})
	f.Expect(count(placed(f.pool.Advance(second/100)))).To(Equal(1), "the place that an own request has left")
	f.Expect(count(placed(f.pool.Advance(second / 50)))).To(BeZero())
	f.Expect(count(placed(f.pool.Advance(second/10)))).To(BeNumerically(">=", 1), "the share of what the others have left")
	f.pool.SetPeer(second/5, "peer", admission.PeerState{})
	f.Expect(count(placed(f.pool.Advance(second / 5)))).To(BeNumerically(">=", 1))
	f.Expect(count(placed(f.pool.Advance(second/4)))).To(BeZero(), "all places are taken")
}

// Load pattern: a hundred instances send short requests to a few servers that answer
// in less time than reports take. Guards against requests that are held although a
// place is free again at once (kifaru grown scale-1: 1,193 of 7,391 bookings late and
// 1,146 refused, after 276 and 275).
func TestPlacesOfShortRequestsAreNotShared(t *testing.T) {
	f := newFixture(t, 0)
	f.pool.SetService(admission.Service{Name: "desk", Slots: slots})
	f.pool.SetUpstream(admission.Info{ID: "s0", Service: "desk", Address: "a0", Domain: "north", Slots: slots})
	f.pool.SetPeer(0, "peer", admission.PeerState{Demand: 100})
	for range 3 {
		f.submit(0, 0, 0)
	}
	f.Expect(count(placed(f.pool.Advance(0)))).To(Equal(3))
}
