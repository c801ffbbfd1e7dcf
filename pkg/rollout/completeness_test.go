package rollout_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/rollout"
)

// observeFor observes the same numbers every 100 ms until a time, and returns when they were
// first complete; until if they were not.
func observeFor(c *rollout.Completeness, from, until time.Duration, reachable, lost int) (completeAt time.Duration, minority bool) {
	completeAt = until
	for now := from; now < until; now += 100 * time.Millisecond {
		var complete bool
		if complete, minority = c.Observe(now, reachable, lost); complete {
			completeAt = min(completeAt, now)
		}
	}
	return completeAt, minority
}

// Failure: a part of the instances is lost for good. Guards against a roll-out that waits for
// their reports until its time has ended, as long as they may come back.
func TestLostInstancesDoNotStopRollout(t *testing.T) {
	for _, test := range []struct {
		lost         int
		completeFrom time.Duration
		minority     bool
	}{{0, 0, false}, {20, 0, false}, {29, 0, false}, {30, 4 * time.Second, true}, {45, 4 * time.Second, true}, {59, 4 * time.Second, true}} {
		g := NewWithT(t)
		var c rollout.Completeness
		g.Expect(observeFor(&c, 0, 10*time.Second, 60, 0)).To(Equal(time.Duration(0)))
		completeAt, minority := observeFor(&c, 10*time.Second, 20*time.Second, 60-test.lost, test.lost)
		g.Expect(completeAt-10*time.Second).To(Equal(test.completeFrom), "%d lost", test.lost)
		g.Expect(minority).To(Equal(test.minority), "%d lost", test.lost)
	}
}

// Failure: half of the instances are lost, then one more in each second. Guards against taking
// those that were lost a moment ago for some that were lost a while ago.
func TestRecentlyLostInstancesCount(t *testing.T) {
	g := NewWithT(t)
	var c rollout.Completeness
	observeFor(&c, 0, time.Second, 60, 0)
	observeFor(&c, time.Second, 11*time.Second, 30, 30)
	complete, _ := c.Observe(11*time.Second, 15, 45)
	g.Expect(complete).To(BeFalse(), "15 of 30")
	complete, _ = c.Observe(11*time.Second+100*time.Millisecond, 16, 44)
	g.Expect(complete).To(BeTrue(), "16 of 30")
	// All come back, and others are lost: nothing was lost for long.
	c.Observe(12*time.Second, 60, 0)
	completeAt, _ := observeFor(&c, 12*time.Second+100*time.Millisecond, 20*time.Second, 30, 30)
	g.Expect(completeAt).To(Equal(16*time.Second + 100*time.Millisecond))
}

// Failure: the holder is cut off from the other instances for long, and still reads the store.
// Guards against more requests to a version after few results, and against stopping upstreams
// at which the others may have requests.
func TestHolderInMinorityNeedsResults(t *testing.T) {
	g := NewWithT(t)
	o := rollout.Observation{Elapsed: 10 * time.Second, CandidateSlots: 70, IncumbentSlots: 70, Evidence: rollout.NewEvidence(), Complete: true, Minority: true}
	trial := newLeader(rollout.Progress{Stage: rollout.Trial, Share: 0.05}, 8*time.Second)
	_, due := trial.Next(o)
	g.Expect(due).To(BeFalse())
	o.Evidence.Add(true, rollout.Cell{Route: "draft"}, rollout.Counts{Results: 60})
	step, due := trial.Next(o)
	g.Expect(due).To(BeTrue())
	g.Expect(step.Stage).To(Equal(rollout.Ramp))
	full := newLeader(rollout.Progress{Stage: rollout.Full}, 8*time.Second)
	for ; o.Elapsed < orderDuration-1300*time.Millisecond; o.Elapsed += 100 * time.Millisecond {
		_, due = full.Next(o)
		g.Expect(due).To(BeFalse(), "at %s", o.Elapsed)
	}
	o.Elapsed = orderDuration - time.Second
	step, due = full.Next(o)
	g.Expect(due).To(BeTrue())
	g.Expect(step.Stage).To(Equal(rollout.Succeeded))
}

// Failure: the holder has no reports of nearly half of the instances. Guards against a faulty
// version that gets more requests than the operator allows, since it is found out later.
func TestFaultIsFoundWithHalfOfTheResults(t *testing.T) {
	cases := map[string]version{
		"fails at once":           {share: 0.5},
		"fails late in the trial": {share: 0.41, from: 6 * time.Second},
		"fails on one route":      {share: 0.5, route: "draft"},
		"fails at busy upstreams": {share: 0.5, busyOnly: true},
		"is slow later":           {share: 0.5, slow: 8, from: 3 * time.Second},
	}
	for name, candidate := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(10) {
				result := playOutage(seed, candidate, 0.45, time.Second, outage{unreported: 0.49})
				g.Expect(result.stage).To(Equal(rollout.RolledBack), "seed %d", seed)
				g.Expect(result.exposed).To(BeNumerically("<=", exposureShare*float64(result.total)+exposureSlack), "seed %d: %s", seed, result.reason)
				g.Expect(result.sentTooLate).To(BeZero(), "seed %d: %s", seed, result.reason)
			}
		})
	}
}
