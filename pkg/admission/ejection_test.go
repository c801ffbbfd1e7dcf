package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

// Ten of a hundred engines answer each request with a failure at once, while requests wait
// for the others, which are full. Guards against failing engines that get most requests
// since they are always free.
func TestFailingUpstreamsDoNotAttractRequestsUnderOverload(t *testing.T) {
	const engines, failing = 100, 10
	f := newFixture(t, engines)
	atFailing, placements := 0, 0
	running := map[string][]uint64{}
	for now := time.Duration(0); now < 10*second; now += 20 * time.Millisecond {
		for i := range 16 {
			f.submit(now, i%3, 1000)
		}
		for id, keys := range placed(f.pool.Schedule(now)) {
			running[id] = append(running[id], keys...)
			placements += len(keys)
			if isFailing(id, failing) {
				atFailing += len(keys)
			}
		}
		for id, keys := range running {
			switch {
			case isFailing(id, failing):
				for _, key := range keys {
					f.pool.Finish(now, id, key, admission.Result{Outcome: admission.Failed})
				}
				running[id] = nil
			case len(keys) > 0 && now%(160*time.Millisecond) == 0:
				f.pool.Finish(now, id, keys[0], admission.Result{Outcome: admission.Answered, EventInterval: 30 * time.Millisecond, TotalTime: second})
				running[id] = keys[1:]
			}
		}
	}
	f.Expect(float64(atFailing)).To(BeNumerically("<", 0.05*float64(placements)), "%d of %d", atFailing, placements)
}

func isFailing(id string, failing int) bool {
	for i := range failing {
		if id == fmt.Sprintf("e%d", i) {
			return true
		}
	}
	return false
}

// failUntilEjected lets e0 fail until it is ejected.
func (f *fixture) failUntilEjected(now time.Duration) {
	for range 3 {
		f.Expect(f.pool.Ejected(now)).To(BeEmpty())
		f.pool.ObservePeerResult(now, "e0", admission.Result{Outcome: admission.Failed})
	}
	f.Expect(f.pool.Ejected(now)).To(Equal([]string{"e0"}))
}

// Guards against an upstream that stays ejected although it works again, and against one
// that gets many requests before that is known.
func TestEjectedUpstreamReturnsAfterOneAnswer(t *testing.T) {
	f := newFixture(t, 4)
	f.failUntilEjected(0)
	f.submit(0, 1, 100)
	f.Expect(placed(f.pool.Schedule(0))).NotTo(HaveKey("e0"))
	now := 400 * time.Millisecond
	for range 40 {
		f.submit(now, 1, 100)
	}
	at := placed(f.pool.Schedule(now))
	f.Expect(at["e0"]).To(HaveLen(1))
	f.pool.Finish(now, "e0", at["e0"][0], admission.Result{Outcome: admission.Answered})
	f.Expect(f.pool.Ejected(now)).To(BeEmpty())
	f.submit(now, 1, 100)
	f.Expect(placed(f.pool.Schedule(now))).To(HaveKey("e0"))
}

// Guards against instances that each have to find out by themselves, and against one
// without requests of its own that keeps all others away for good.
func TestEjectionOfPeerHoldsWhileItIsReported(t *testing.T) {
	f := newFixture(t, 4)
	f.failUntilEjected(0)
	f.pool.ObservePeerResult(0, "e1", admission.Result{Outcome: admission.Answered})
	loads := map[string]admission.Load{}
	f.pool.CollectLoads(0, loads, admission.OwnLoad)
	f.Expect(loads).To(HaveKeyWithValue("e0", HaveField("Ejected", true)))

	other := newFixture(t, 4)
	other.pool.SetPeer(0, "peer", admission.PeerState{Loads: loads})
	for range 12 {
		other.submit(0, 1, 100)
	}
	other.Expect(placed(other.pool.Schedule(0))).NotTo(HaveKey("e0"))

	loads = map[string]admission.Load{}
	f.pool.CollectLoads(4*second, loads, admission.OwnLoad)
	f.Expect(loads).NotTo(HaveKey("e0"))
	other.pool.SetPeer(4*second, "peer", admission.PeerState{Loads: loads})
	other.submit(4*second, 1, 100)
	other.Expect(placed(other.pool.Schedule(4 * second))).To(HaveKey("e0"))
}

// An instance has only requests that no upstream answers. Guards against peers that leave
// upstreams alone which answer their own requests.
func TestRequestsThatFailEverywhereEjectNothingForPeers(t *testing.T) {
	f := newFixture(t, 4)
	f.pool.ObservePeerResult(0, "e1", admission.Result{Outcome: admission.Answered})
	for now := 4 * second; now < 8*second; now += second / 5 {
		for i := range 4 {
			f.pool.ObservePeerResult(now, fmt.Sprint("e", i), admission.Result{Outcome: admission.Failed})
		}
		loads := map[string]admission.Load{}
		f.pool.CollectLoads(now, loads, admission.OwnLoad)
		for id, load := range loads {
			f.Expect(load.Ejected).To(BeFalse(), id)
		}
	}
}

// Guards against ejecting a whole service whose requests are the cause of the failures.
func TestMostUpstreamsStayWhenAllFail(t *testing.T) {
	f := newFixture(t, 4)
	for range 10 {
		for i := range 4 {
			f.pool.ObservePeerResult(0, fmt.Sprintf("e%d", i), admission.Result{Outcome: admission.Failed})
		}
	}
	f.Expect(f.pool.Ejected(0)).To(HaveLen(2))
}

// Guards against a service without usable upstreams: each of two peers has ejected another
// half before it knew of the other's ejections.
func TestEjectionsOfPeersLeaveHalfOfTheUpstreams(t *testing.T) {
	f := newFixture(t, 4)
	ejected := admission.Load{Ejected: true}
	f.pool.SetPeer(0, "a", admission.PeerState{Loads: map[string]admission.Load{"e0": ejected, "e1": ejected}})
	f.pool.SetPeer(0, "b", admission.PeerState{Loads: map[string]admission.Load{"e1": ejected, "e2": ejected, "e3": ejected}})
	for range 8 {
		f.submit(0, 1, 100)
	}
	at := placed(f.pool.Schedule(0))
	f.Expect(count(at)).To(Equal(8))
	f.Expect(at).To(HaveLen(2))
	f.Expect(at).NotTo(HaveKey("e1"), "both peers have ejected it")
}

// Guards against the same by the view of one peer of a service with one upstream.
func TestOnlyUpstreamIsNotAvoided(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "a", admission.PeerState{Loads: map[string]admission.Load{"e0": {Ejected: true}}})
	f.submit(0, 1, 100)
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(1))
}

// Guards against counting upstreams that ordinary requests may not use as room: while four
// of eight upstreams are of a new version, or leave, only two of the others are ejected.
func TestEjectionsCountOnlyUpstreamsInUse(t *testing.T) {
	for name, change := range map[string]func(f *fixture, info admission.UpstreamInfo){
		"new version": func(f *fixture, info admission.UpstreamInfo) {
			info.Version = "v2"
			f.pool.SetUpstream(info)
			f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2"})
		},
		"leaving": func(f *fixture, info admission.UpstreamInfo) {
			info.Leaving = true
			f.pool.SetUpstream(info)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 8)
			for i := 4; i < 8; i++ {
				change(f, admission.UpstreamInfo{ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("a%d", i), Domain: "north", Slots: 8})
			}
			for range 10 {
				for i := range 4 {
					f.pool.ObservePeerResult(0, fmt.Sprintf("e%d", i), admission.Result{Outcome: admission.Failed})
				}
			}
			f.Expect(f.pool.Ejected(0)).To(HaveLen(2))
		})
	}
}

// Guards against ejecting an upstream for single failures between answers.
func TestOccasionalFailuresDoNotEject(t *testing.T) {
	f := newFixture(t, 4)
	for range 20 {
		f.pool.ObservePeerResult(0, "e0", admission.Result{Outcome: admission.Failed})
		f.pool.ObservePeerResult(0, "e0", admission.Result{Outcome: admission.Failed})
		f.pool.ObservePeerResult(0, "e0", admission.Result{Outcome: admission.Answered})
	}
	f.Expect(f.pool.Ejected(0)).To(BeEmpty())
}

// Upstreams lose a few answers while they answer all others. Guards against a relay that stops
// an upstream for all instances at each lost answer, and against one that goes on sending
// requests to an upstream that has ended.
func TestIsolatedLossDoesNotStopUpstream(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.ObservePeerResult(0, "e0", admission.Result{Outcome: admission.Answered})
	f.pool.ObservePeerResult(100*time.Millisecond, "e0", admission.Result{Outcome: admission.Broken})
	for range 3 {
		f.submit(100*time.Millisecond, 1, 100)
	}
	f.Expect(placed(f.pool.Schedule(100 * time.Millisecond))["e0"]).To(HaveLen(3))
	f.pool.ObservePeerResult(110*time.Millisecond, "e0", admission.Result{Outcome: admission.Broken})
	f.submit(110*time.Millisecond, 1, 100)
	f.Expect(placed(f.pool.Schedule(110 * time.Millisecond))).To(BeEmpty())
}

// The only upstream of a version on trial fails each request. Guards against ejecting it, so
// that the roll-out learns nothing more about the version.
func TestOnlyUpstreamOnTrialIsNotEjected(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.RemoveUpstream("c1")
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2"})
	for range 10 {
		f.pool.ObservePeerResult(0, "c0", admission.Result{Outcome: admission.Failed})
	}
	f.Expect(f.pool.Ejected(0)).To(BeEmpty())
}
