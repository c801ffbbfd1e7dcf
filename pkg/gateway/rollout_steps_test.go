package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// rolloutCodecStub stores orders and progress as they are.
type rolloutCodecStub struct{}

func (rolloutCodecStub) Rollout(_ string, object storesync.Object) (order rollout.Order, progress rollout.Progress, err error) {
	if err = json.Unmarshal(object.Spec, &order); err == nil && len(object.Status) > 0 {
		err = json.Unmarshal(object.Status, &progress)
	}
	return order, progress, err
}

func (rolloutCodecStub) RolloutStatus(progress rollout.Progress) any { return progress }

// statusStore holds the order of service desk. While loseAnswers is true, writes take
// effect and return an error.
type statusStore struct {
	storesync.Store
	object      storesync.Object
	written     []rollout.Progress
	loseAnswers bool
}

func (s *statusStore) PutStatus(_ context.Context, _, _ string, status any, condition storesync.Position) (storesync.Written, error) {
	if condition.Revision != s.object.Revision {
		return storesync.Written{Object: s.object}, storesync.ErrConflict
	}
	progress, _ := status.(rollout.Progress)
	s.written = append(s.written, progress)
	s.object.Status, _ = json.Marshal(status)
	s.object.Revision++
	if s.loseAnswers {
		return storesync.Written{}, errors.New("connection lost")
	}
	return storesync.Written{Object: s.object}, nil
}

// rolloutFixture is the control loop of an instance that advances the roll-out of service
// desk to v2, without goroutines of its own.
type rolloutFixture struct {
	*WithT
	loop  *controlLoop
	store *statusStore
	clock *clockwork.FakeClock
	now   time.Duration
}

func newRolloutFixture(t *testing.T, progress rollout.Progress) *rolloutFixture {
	f := &rolloutFixture{WithT: NewWithT(t), store: &statusStore{}, now: time.Second}
	f.loop = newTestControlLoop(t, &f.now, true)
	f.clock, _ = f.loop.g.clock.(*clockwork.FakeClock)
	f.loop.g.settings.Bounds.ExposureShare = 0.1
	f.loop.g.store, f.loop.g.rolloutCodec = storesync.NewFenced(f.store), rolloutCodecStub{}
	f.loop.rollouts = newRollouts(rollout.Limits{ExposureShare: 0.1})
	for id, version := range map[string]string{"old": "v1", "new": "v2"} {
		f.loop.pool("desk").SetUpstream(admission.UpstreamInfo{ID: id, Service: "desk", Slots: 8, Version: version})
	}
	f.order("v2", progress)
	return f
}

// order replaces the object with the order to move to a version in 10 s.
func (f *rolloutFixture) order(version string, progress rollout.Progress) {
	spec, err := json.Marshal(rollout.Order{Service: "desk", Version: version, Duration: 10 * time.Second, ID: version})
	f.Expect(err).NotTo(HaveOccurred())
	f.store.object = storesync.Object{Name: "desk", Revision: f.store.object.Revision + 1, Spec: spec}
	if progress != (rollout.Progress{}) {
		f.store.object.Status, err = json.Marshal(progress)
		f.Expect(err).NotTo(HaveOccurred())
	}
	f.deliver()
}

// deliver delivers the object as a watch does.
func (f *rolloutFixture) deliver() {
	f.loop.applyRolloutUpdate(storesync.Update{Changed: []storesync.Object{f.store.object}, Position: storesync.Position{Revision: f.store.object.Revision}, AsOf: f.now})
}

// step advances both clocks, lets the instance decide, and applies the result of a write.
func (f *rolloutFixture) step(after time.Duration) {
	f.now += after
	f.clock.Advance(after)
	f.loop.stepRollouts(f.now)
	if f.state().writing {
		(<-f.loop.inbox).apply(f.loop)
	}
}

func (f *rolloutFixture) state() *rolloutState { return f.loop.rollouts.states["desk"] }

// place submits requests and returns how many are placed at each upstream. They then end.
func (f *rolloutFixture) place(count int) map[string]int {
	pool, at := f.loop.pool("desk"), map[string]int{}
	for i := range count {
		pool.Submit(&admission.Request{Key: uint64(i + 1), Service: "desk", SoftDeadline: f.now + time.Second, Deadline: f.now + 10*time.Second})
	}
	for _, decision := range pool.Schedule(f.now) {
		if decision.Action == admission.Place {
			at[decision.Upstream.ID]++
			pool.Finish(f.now, decision.Upstream.ID, decision.Key, admission.Result{Outcome: admission.NotSent})
		}
	}
	for i := range count {
		pool.Dequeue(uint64(i + 1))
	}
	return at
}

// stage returns the stage in force.
func (f *rolloutFixture) stage() rollout.Stage { return f.state().progress.Stage }

func (f *rolloutFixture) lastWritten() rollout.Stage {
	return f.store.written[len(f.store.written)-1].Stage
}

// Failure: the response to a write of the holder is lost, and the watch delivers what was
// written. Guards against a holder that continues from the stage before: it rolled back a
// version in full use at the end of the order.
func TestHolderContinuesFromItsWriteWithoutResponse(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Ramp, Share: 0.4, Holder: "a", Epoch: 1})
	f.step(0)
	f.store.loseAnswers = true
	f.step(time.Second)
	f.Expect(f.lastWritten()).To(Equal(rollout.Full))
	f.deliver()
	f.store.loseAnswers = false
	f.step(8100 * time.Millisecond)
	f.Expect(f.lastWritten()).To(Equal(rollout.Succeeded))
}

// Failure: the wall clock of the holder is set forward by an hour. Guards against an order
// whose time seems to have ended, so that a version on trial is rolled back.
func TestSteppedWallClockDoesNotEndOrder(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{})
	f.step(0)
	f.step(200 * time.Millisecond)
	f.Expect(f.lastWritten()).To(Equal(rollout.Trial))
	f.clock.Advance(time.Hour)
	f.step(time.Second)
	f.Expect(f.lastWritten()).To(Equal(rollout.Trial))
	f.Expect(f.state().elapsed(f.loop.g, f.now)).To(Equal(1200 * time.Millisecond))
}

// Guards against a holder that starts late and takes the order for a new one.
func TestElapsedTimeOfRecordedOrderIsKnownAfterStart(t *testing.T) {
	recorded := rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Trial, Share: 0.05, Holder: "b", StartedUnixMs: 1}
	f := newRolloutFixture(t, recorded)
	f.Expect(f.state().elapsed(f.loop.g, f.now)).To(Equal(10 * time.Second))
}

// Guards against a holder that takes an order which was withdrawn and given again, before
// this instance saw that it was withdrawn, for the one that has ended: it got no status.
func TestOrderGivenAgainStartsAnew(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.RolledBack, Holder: "a", Epoch: 1})
	f.step(time.Second)
	f.Expect(f.store.written).To(BeEmpty())
	f.order("v2", rollout.Progress{})
	f.Expect(f.state().progress).To(Equal(rollout.Progress{}))
	f.step(time.Second)
	f.Expect(f.store.written).NotTo(BeEmpty())
}

// Failure: the result of a write arrives after the order was withdrawn and given again.
// Guards against taking its stage for one of the new order.
func TestResultOfWriteForEarlierOrderIsIgnored(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Full, Holder: "a", Epoch: 1})
	f.now += 8500 * time.Millisecond
	f.loop.stepRollouts(f.now)
	f.now += time.Second
	f.loop.stepRollouts(f.now)
	f.Expect(f.state().writing).To(BeTrue())
	late := <-f.loop.inbox
	f.loop.applyRolloutUpdate(storesync.Update{Deleted: []string{"desk"}, Position: storesync.Position{Revision: f.store.object.Revision + 1}, AsOf: f.now})
	f.store.object.Revision++
	f.order("v2", rollout.Progress{})
	late.apply(f.loop)
	f.Expect(f.state().progress).To(Equal(rollout.Progress{}))
}

// Failure: all upstreams fail while the version is not yet on trial, or only in the ramp.
// Guards against comparing results of unlike times.
func TestEvidenceIsKeptByPeriod(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{})
	record := func(version string) {
		rolloutResultMsg{service: "desk", version: version, cell: rollout.Cell{Route: "once"}, counts: rollout.Result(true)}.apply(f.loop)
	}
	record("v1")
	f.Expect(f.state().own.Results(false)).To(BeZero(), "no version is on trial")
	for stage, period := range map[rollout.Stage]rollout.Period{rollout.Trial: rollout.TrialPeriod, rollout.Ramp: rollout.RampPeriod, rollout.Full: rollout.RampPeriod} {
		f.state().progress.Stage = stage
		before := f.state().own.Candidate[rollout.Cell{Route: "once", Period: period}].Results
		record("v2")
		f.Expect(f.state().own.Candidate[rollout.Cell{Route: "once", Period: period}].Results).To(Equal(before + 1))
	}
	exported := f.loop.exportRollouts(f.now, &reportState{}, false)
	f.loop.applyRollouts("b", exported)
	f.Expect(f.state().reported["b"]).To(Equal(f.state().own))
}

// Failure: a service has more routes than a report may name. Guards against a report with
// results of the version on trial only, which are then compared with assumed ones, and
// against one that names other routes each time.
func TestReportKeepsBothVersionsOfManyRoutes(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Trial, Share: 0.05, Holder: "b"})
	for i := range uint32(100) {
		cell := rollout.Cell{Route: strings.Repeat("r", 20) + strconv.Itoa(int(i))}
		f.state().own.Add(true, cell, rollout.Counts{Results: i + 1})
		f.state().own.Add(false, cell, rollout.Counts{Results: i + 1})
	}
	exported := f.loop.exportRollouts(f.now, &reportState{}, false)
	f.loop.applyRollouts("b", exported)
	reported := f.state().reported["b"]
	f.Expect(reported.Candidate).To(HaveLen(maxReportedCells))
	f.Expect(reported.Incumbent).To(Equal(reported.Candidate))
	for _, counts := range reported.Candidate {
		f.Expect(counts.Results).To(BeNumerically(">", 100-maxReportedCells), "routes with the most results are named")
	}
}

// Failure: an order to another version replaces one whose version was faulty, while the
// faulty upstreams still run. Guards against requests at these, which are of another version
// than the new candidate.
func TestFaultyVersionOfFormerOrderGetsNothing(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.RolledBack, Holder: "b"})
	place := f.place
	f.order("v3", rollout.Progress{})
	f.Expect(place(6)).To(Equal(map[string]int{"old": 6}))
	f.loop.applyRolloutUpdate(storesync.Update{Deleted: []string{"desk"}, Position: storesync.Position{Revision: f.store.object.Revision + 1}, AsOf: f.now})
	f.Expect(place(6)).To(Equal(map[string]int{"old": 6}))
	// Without another version it is better than nothing, unless it was just rolled back.
	f.loop.pool("desk").RemoveUpstream("old")
	f.Expect(place(6)).To(Equal(map[string]int{"new": 6}))
	// Ordered again, it is tried again.
	f.order("v2", rollout.Progress{})
	f.Expect(f.loop.rollouts.faulty["desk"]).To(BeEmpty())
}

// Failure: the service is overloaded, so that most requests are refused. Guards against
// selecting a part of all requests for the version on trial instead of a part of those that
// reach the service, and against counting a request twice, before the order or although
// nothing came back.
func TestTrialShareIsOneOfRequestsThatReachTheService(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Trial, Share: 0.05, Holder: "b"})
	selected := func(count int) (trials int) {
		for range count {
			if f.loop.selectTrial(f.now, &admission.Request{Service: "desk"}) {
				trials++
			}
		}
		return trials
	}
	result := func(reached bool, sentAt time.Duration) {
		rolloutResultMsg{service: "desk", version: "v1", cell: rollout.Cell{Route: "once"}, counts: rollout.Result(false), reached: reached, sentAt: sentAt}.apply(f.loop)
	}
	f.Expect(selected(1000)).To(BeZero(), "all of them may be refused")
	for range 100 {
		result(false, f.now)
		result(true, f.now-time.Millisecond)
	}
	f.Expect(selected(1000)).To(BeZero())
	total := 0
	for range 1000 {
		result(true, f.now)
		total += selected(5)
	}
	f.Expect(total).To(BeNumerically("~", 50, 1))
}

// Failure: a third of the instances is lost for good soon after the order. Guards against a
// sound version that is not used more and rolled back at the end, since the reports of the
// lost instances are waited for.
func TestLostInstancesDoNotStopTheRamp(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Trial, Share: 0.05, Holder: "a", Epoch: 1})
	report := func(peers int) {
		for i := range peers {
			f.loop.quotas.ApplyReport(f.now, "p"+strconv.Itoa(i), quota.UsageReport{StartTime: 1, CoveredInstances: 1, ExpectedInstances: 1})
		}
	}
	report(5)
	f.step(0)
	for range 50 {
		report(3)
		f.step(100 * time.Millisecond)
	}
	reachable, lost := f.loop.quotas.InstanceCounts(f.now)
	f.Expect([]int{reachable, lost}).To(Equal([]int{4, 2}))
	f.Expect(f.store.written).To(BeEmpty())
	for f.state().progress.Stage != rollout.Full && f.now < 9*time.Second {
		report(3)
		f.step(100 * time.Millisecond)
	}
	f.Expect(f.state().progress.Stage).To(Equal(rollout.Full))
}

// Failure: the store does not answer for 2.5 s in the ramp, so that the holder's write of the
// second step takes effect late. Guards against a holder that counts the time of the ramp
// from then and rolls a sound version back.
func TestRampThatTheStoreHasDelayedEndsInTime(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Trial, Share: 0.05, Holder: "a", Epoch: 1})
	f.state().own.Add(true, rollout.Cell{Route: "once"}, rollout.Counts{Results: 60})
	for f.stage() != rollout.Ramp {
		f.step(100 * time.Millisecond)
	}
	started := f.now
	for f.now < started+2500*time.Millisecond {
		f.now += 100 * time.Millisecond
		f.clock.Advance(100 * time.Millisecond)
		f.loop.stepRollouts(f.now)
	}
	f.Expect(f.state().writing).To(BeTrue())
	(<-f.loop.inbox).apply(f.loop)
	f.Expect(f.state().progress.Share).To(Equal(0.4))
	f.step(100 * time.Millisecond)
	f.Expect(f.lastWritten()).To(Equal(rollout.Full))
}

// Failure: an instance starts during a roll-out, and its copy of the orders is older than the
// records of the incumbents, but not than those of the version on trial. Guards against using
// the version for all requests until the incumbents may be used, and against an older record
// that replaces a newer one then.
func TestCandidateIsNoReplacementForHeldIncumbents(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Trial, Share: 0.05, Holder: "b"})
	for _, id := range []string{"old", "new"} {
		f.loop.pool("desk").RemoveUpstream(id)
	}
	position := storesync.Position{Revision: f.store.object.Revision}
	later := storesync.Position{Revision: position.Revision + 5}
	record := func(id, version string) admission.UpstreamInfo {
		return admission.UpstreamInfo{ID: id, Service: "desk", Slots: 8, Version: version}
	}
	f.loop.useUpstream(record("new", "v2"), position)
	f.Expect(f.place(6)).To(Equal(map[string]int{"new": 6}), "there is no other")
	f.loop.useUpstream(record("old", "v1"), later)
	f.Expect(f.place(6)).To(BeEmpty())
	// The records of a version that was rolled back are not used instead either.
	f.loop.useUpstream(record("former", "v0"), position)
	f.loop.rollouts.setFaulty("desk", "v0", true)
	f.loop.applyVersionRule(f.state())
	f.Expect(f.place(6)).To(BeEmpty())
	f.loop.removeUpstream("old", "its entry was removed")
	f.Expect(f.place(6)).To(Equal(map[string]int{"new": 6}), "there is no other")
	f.loop.useUpstream(record("old", "v1"), later)
	f.loop.rollouts.position = later
	newer := record("old", "v1")
	newer.Sequence = 7
	f.loop.useUpstream(newer, later)
	f.Expect(f.place(6)).To(Equal(map[string]int{"old": 6}))
	f.deliver()
	f.Expect(f.loop.upstreams["old"]).To(Equal(newer))
	f.Expect(f.place(6)).To(Equal(map[string]int{"old": 6}))
}

// Failure: the pools are rebuilt after an internal error. Guards against forgetting which
// versions requests may be sent to: a version on trial, or one that was rolled back, would get
// all of them.
func TestRebuiltPoolsKeepVersionRules(t *testing.T) {
	f := newRolloutFixture(t, rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Trial, Share: 0.05, Holder: "b"})
	position := storesync.Position{Revision: f.store.object.Revision}
	f.loop.useUpstream(admission.UpstreamInfo{ID: "old", Service: "desk", Slots: 8, Version: "v1"}, position)
	f.loop.useUpstream(admission.UpstreamInfo{ID: "new", Service: "desk", Slots: 8, Version: "v2"}, position)
	for range 2 {
		f.loop.rebuild()
		f.Expect(f.place(6)).To(Equal(map[string]int{"old": 6}))
		// The second time, the version is rolled back and the order withdrawn.
		f.order("v2", rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.RolledBack, Holder: "b"})
		f.loop.applyRolloutUpdate(storesync.Update{Deleted: []string{"desk"}, Position: storesync.Position{Revision: f.store.object.Revision + 1}, AsOf: f.now})
	}
	f.loop.removeUpstream("old", "its entry was removed")
	f.loop.useUpstream(admission.UpstreamInfo{ID: "later", Service: "desk", Slots: 8, Version: "v1.1"}, storesync.Position{Revision: f.store.object.Revision + 5})
	f.loop.rebuild()
	f.Expect(f.place(6)).To(BeEmpty(), "the upstream of another version is held back")
}
