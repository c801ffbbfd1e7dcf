package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

// setVersion gives the engine with the given ID a version.
func (f *fixture) setVersion(id, version string) {
	f.pool.SetUpstream(admission.UpstreamInfo{ID: id, Service: "llm", Address: "a" + id, Domain: "north", Slots: 8, Version: version})
}

// newVersionFixture returns a pool with engines e0 and e1 of v1, and c0 and c1 of v2.
func newVersionFixture(t *testing.T) *fixture {
	f := newFixture(t, 0)
	for id, version := range map[string]string{"e0": "v1", "e1": "v1", "c0": "v2", "c1": "v2"} {
		f.setVersion(id, version)
	}
	return f
}

func (f *fixture) submitTrial() uint64 {
	f.nextKey++
	f.pool.Submit(&admission.Request{Key: f.nextKey, Service: "llm", Trial: true, PromptTokens: 100, SoftDeadline: second, Deadline: 15 * second})
	return f.nextKey
}

// Guards against ordinary requests at a version on trial, whose idle upstreams have the
// lowest expected times, and against trial requests elsewhere.
func TestOnlyTrialRequestsGoToCandidate(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2", Concentrate: true})
	for range 12 {
		f.submit(0, 1, 1000)
	}
	trial := f.submitTrial()
	at := placed(f.pool.Schedule(0))
	f.Expect(len(at["e0"]) + len(at["e1"])).To(Equal(12))
	f.Expect(append(at["c0"], at["c1"]...)).To(ConsistOf(trial))
}

// Guards against trial requests that are spread so thinly that a fault under load does not
// show.
func TestTrialRequestsFillOneUpstreamFirst(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2", Concentrate: true})
	for range 8 {
		f.submitTrial()
		f.pool.Schedule(0)
	}
	loads := map[string]admission.Load{}
	f.pool.CollectLoads(0, loads, admission.OwnLoad)
	f.Expect([]int{loads["c0"].InFlight, loads["c1"].InFlight}).To(ConsistOf(8, 0))
}

// Guards against refusing a trial request although other versions have room.
func TestTrialRequestWithoutRoomGoesElsewhere(t *testing.T) {
	f := newFixture(t, 0)
	f.setVersion("e0", "v1")
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2"})
	trial := f.submitTrial()
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKeyWithValue("e0", []uint64{trial}))
}

// Guards against requests at upstreams that may be stopped at any time, and against an
// outage if the upstreams of the candidate are gone.
func TestMovedServiceUsesCandidate(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2", Moved: true})
	for range 6 {
		f.submit(0, 1, 1000)
	}
	at := placed(f.pool.Schedule(0))
	f.Expect(len(at["c0"]) + len(at["c1"])).To(Equal(6))
	f.pool.RemoveUpstream("c0")
	f.pool.RemoveUpstream("c1")
	f.submit(0, 1, 1000)
	f.Expect(placed(f.pool.Schedule(0))).To(HaveLen(1))
}

// Guards against requests at a version that was found to be faulty, also if no other
// upstream is left.
func TestFaultyVersionGetsNothing(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2", Strict: true})
	f.pool.RemoveUpstream("e0")
	f.pool.RemoveUpstream("e1")
	f.submit(0, 1, 1000)
	f.submitTrial()
	f.Expect(placed(f.pool.Schedule(0))).To(BeEmpty())
}

// Guards against a follower that sends a request to a version that its relay, which has an
// older copy of the orders, still chooses.
func TestPlacementAtExcludedVersionIsNotAdopted(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2"})
	_, adopted := f.pool.Adopt(0, "c0", &admission.Request{Key: 1}, 0)
	f.Expect(adopted).To(BeFalse())
	_, adopted = f.pool.Adopt(0, "c0", &admission.Request{Key: 1, Trial: true}, 0)
	f.Expect(adopted).To(BeTrue())
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2", Strict: true})
	_, adopted = f.pool.Adopt(0, "c0", &admission.Request{Key: 2, Trial: true}, 0)
	f.Expect(adopted).To(BeFalse())
}

// Guards against idle upstreams on trial that count as room for ordinary requests, so that
// all instances fill the same free slots.
func TestUpstreamsOnTrialAreNoFreeCapacity(t *testing.T) {
	f := newVersionFixture(t)
	f.submit(0, 1, 1000)
	without := f.pool.Schedule(0)[0].FreeCapacity
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2"})
	f.submit(0, 1, 1000)
	f.Expect(f.pool.Schedule(0)[0].FreeCapacity).To(BeNumerically("<=", without/2))
	candidate, incumbent := f.pool.VersionSlots()
	f.Expect([]int{candidate, incumbent}).To(Equal([]int{16, 16}))
}

// Failure: one of the candidate's upstreams fails half of its requests while it is healthy
// otherwise. Guards against a trial in which it gets all requests, so that a sound version
// looks faulty.
func TestTrialRequestsLeaveFailingUpstream(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2", Concentrate: true})
	at := map[string]int{}
	for i := range 60 {
		now := time.Duration(i) * 20 * time.Millisecond
		f.submitTrial()
		for _, decision := range f.pool.Schedule(now) {
			at[decision.Upstream.ID]++
			outcome := admission.Answered
			if decision.Upstream.ID == "c0" && at["c0"]%2 == 0 {
				outcome = admission.Failed
			}
			f.pool.Finish(now, decision.Upstream.ID, decision.Key, admission.Result{Outcome: outcome})
		}
	}
	f.Expect(at["c0"]).To(BeNumerically("<", at["c1"]), "%v", at)
}

// Failure: an instance may not use the upstreams of other versions yet, or those that are left
// are of a faulty version. Guards against ordinary requests at the candidate meanwhile.
func TestHeldUpstreamsAreNotReplacedByCandidate(t *testing.T) {
	f := newVersionFixture(t)
	f.pool.SetVersionRule(admission.VersionRule{Candidate: "v2", Faulty: []string{"v0"}})
	f.pool.RemoveUpstream("e0")
	f.pool.RemoveUpstream("e1")
	f.pool.SetHeldVersions([]string{"v1"})
	f.submit(0, 1, 1000)
	f.Expect(placed(f.pool.Schedule(0))).To(BeEmpty())
	trial := f.submitTrial()
	at := placed(f.pool.Schedule(0))
	f.Expect(append(at["c0"], at["c1"]...)).To(ConsistOf(trial))
	f.pool.SetHeldVersions([]string{"v0", "v2"})
	f.Expect(placed(f.pool.Schedule(0))).To(HaveLen(1), "no other version is left")
}
