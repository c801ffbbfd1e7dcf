// Package rollout decides how the requests of a service move to upstreams of another
// version: whether the version is tried, gets a larger part of the requests, gets all of
// them, or none any more. It has no I/O and reads no clock.
//
// Load pattern: a version that fails, or is slow, at once or after some seconds, under load
// or on one route only, while all instances send requests to it. Few of these may reach
// it before it is found out, and the instances that send them may be cut off at any time.
package rollout

import (
	"math"
	"time"
)

// Order is an operator's request to move a service to upstreams of a version.
type Order struct {
	Service string
	Version string
	// Duration is the time after which the move should have ended.
	Duration time.Duration
	// ID differs between two orders for one service.
	ID string
}

// Stage is a step of a roll-out. A roll-out never returns to an earlier stage.
type Stage int

// Stages.
const (
	// Waiting means that no request goes to the version.
	Waiting Stage = iota
	// Trial means that a small part of the requests goes to the version.
	Trial
	// Ramp means that a larger part goes to it, since the trial has shown no fault.
	Ramp
	// Full means that all new requests go to the version, while those in progress at
	// upstreams of other versions end.
	Full
	// Succeeded means that upstreams of other versions may be stopped.
	Succeeded
	// RolledBack means that no request goes to the version any more.
	RolledBack
)

// Final reports whether the stage ends the roll-out.
func (s Stage) Final() bool { return s == Succeeded || s == RolledBack }

var stageNames = [...]string{"waiting", "trial", "ramp", "full", "succeeded", "rolled_back"}

// String returns the name of the stage as it is stored and logged.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return "unknown"
	}
	return stageNames[s]
}

// ParseStage returns the stage of a name, and false if there is none.
func ParseStage(name string) (Stage, bool) {
	for i, known := range stageNames {
		if known == name {
			return Stage(i), true
		}
	}
	return Waiting, false
}

// Progress is the state of a roll-out as stored. Only the instance named by Holder
// advances it; another one that takes over raises Epoch.
type Progress struct {
	OrderID string
	Version string
	Stage   Stage
	// Share is the part of the requests that goes to the version in Trial and Ramp.
	Share float64
	// StartedUnixMs is the wall clock time at which the order was first seen.
	StartedUnixMs int64
	Holder        string
	Epoch         uint64
}

// Before reports whether a progress of the same order precedes another one: its stage is
// earlier, or the share is smaller in the same stage.
func (p Progress) Before(other Progress) bool {
	return p.Stage < other.Stage || p.Stage == other.Stage && p.Share < other.Share
}

// Limits bound what a version may be sent before it is found to be good.
type Limits struct {
	// ExposureShare is the part of a service's requests, over the duration of the order,
	// that a faulty version may get. 0 turns roll-outs off.
	ExposureShare float64
}

const (
	// trialShareOfExposure is the part of the exposure that the trial may use up; the
	// rest is for the ramp and for the time until a fault has been found.
	trialShareOfExposure = 0.5
	// trialEnd is the part of the duration after which the trial ends, if it has shown
	// enough. Faults that appear later than that after the start are found in the ramp
	// only.
	trialEnd = 0.5
	// lateTrialEnd is the part of the duration after which a trial with few results ends.
	lateTrialEnd = 0.6
	// minTrialResults is the number of results of the version that a trial should have.
	minTrialResults = 60
	// rampStep is the part of the duration for which each step of the ramp lasts at
	// least. It covers the way of a step to all instances and of the results back.
	rampStep    = 0.06
	minRampStep = 600 * time.Millisecond
	// lateRamp is the part of the duration after which the ramp may end before its last step.
	// An outage of the store of 2 s to 3 s delays a step so much that no time is left for the
	// next one, while results go on arriving at the smaller share.
	lateRamp = 0.75
	// maxFinishMargin and finishMargin, a part of the duration, bound how long before the
	// end of the duration the final stage is written, so that a slow or repeated write
	// is still in time.
	maxFinishMargin = 1200 * time.Millisecond
	finishMargin    = 0.1
	// emptySettleTime is how long no request may be in progress at upstreams of other
	// versions before they may be stopped: the age of the reports of other instances.
	emptySettleTime = 600 * time.Millisecond
	// minFullTime is how long the stage Full is in force before the other upstreams may be
	// stopped with requests in progress. It covers the way of the stage to all instances and
	// the time of short requests. Close to the end of the duration it is emptySettleTime, as
	// far as finalWriteTime, for the last write, is then left.
	minFullTime    = time.Second
	finalWriteTime = 300 * time.Millisecond
	// minCapacity is the number of slots of the version, as a part of those of the
	// upstreams that it replaces, from which it can take over all requests.
	minCapacity = 0.75
)

// rampShares are the parts of the requests that the version gets in the steps of the ramp.
var rampShares = [...]float64{0.2, 0.4}

// Observation is what the holder knows when it decides.
type Observation struct {
	// Elapsed is the time since the order was given.
	Elapsed time.Duration
	// CandidateSlots and IncumbentSlots are the slots of the usable upstreams of the
	// version and of all others.
	CandidateSlots, IncumbentSlots int
	// IncumbentInFlight is the number of requests in progress at upstreams of other
	// versions, over all instances.
	IncumbentInFlight int
	// Complete is true if the counts and the evidence include most of the instances. A
	// holder that is cut off does not send a version more requests.
	Complete bool
	// Minority is true if most instances have been without reports for so long that they
	// don't count for Complete: they have stopped, or the holder is cut off from them. In
	// the first case it gets all requests, in the second it has few results of its own.
	Minority bool
	// ReaderFor is the time for which the instance has been the one that decides. A new one
	// does not have all reports yet.
	ReaderFor time.Duration
	// StageFor is the time for which the instance has known the stage to be in force.
	StageFor time.Duration
	// RampLoad is the sum, over the time of the ramp, of the share that was in force: 0.2 for
	// 3 s is 0.6 s.
	RampLoad time.Duration
	Evidence Evidence
}

// Leader advances the roll-out of one order at the instance that holds it.
type Leader struct {
	order  Order
	limits Limits
	// stage and share are as last written, and stageSince the time since which.
	stage      Stage
	share      float64
	stageSince time.Duration
	// emptySince is the time since which no request is in progress at upstreams of other
	// versions; valid while empty is true.
	empty      bool
	emptySince time.Duration
}

// NewLeader returns a leader that continues at a stored progress.
func NewLeader(order Order, limits Limits, progress Progress, elapsed time.Duration) *Leader {
	return &Leader{order: order, limits: limits, stage: progress.Stage, share: progress.Share, stageSince: elapsed}
}

// Step is a decision of a leader.
type Step struct {
	Stage  Stage
	Share  float64
	Reason string
}

// Next returns the next step, and false if there is none now. The caller reports with
// Written once the step is stored; until then Next may be called again.
func (l *Leader) Next(o Observation) (Step, bool) {
	if l.stage.Final() {
		return Step{}, false
	}
	if fault, found := o.Evidence.Fault(); found {
		return Step{Stage: RolledBack, Reason: fault}, true
	}
	margin := min(maxFinishMargin, l.fraction(finishMargin))
	overdue := o.Elapsed >= l.order.Duration-margin
	switch l.stage {
	case Waiting:
		if o.CandidateSlots > 0 && !overdue {
			return Step{Stage: Trial, Share: l.limits.ExposureShare * trialShareOfExposure, Reason: "upstreams of the version are ready"}, true
		}
	case Trial:
		if l.trialDone(o) && !overdue {
			return Step{Stage: Ramp, Share: rampShares[0], Reason: "the trial has shown no fault"}, true
		}
	case Ramp:
		switch {
		case !l.mayTakeMore(o):
		case l.lateRampDone(o) && o.Elapsed < l.order.Duration-finalWriteTime-emptySettleTime:
			return Step{Stage: Full, Share: 1, Reason: "the ramp has shown no fault in fewer and longer steps"}, true
		case overdue:
		case o.Elapsed-l.stageSince >= l.rampStep():
			return l.afterRampStep(), true
		}
	case Full:
		return l.finish(o, overdue)
	case Succeeded, RolledBack:
	}
	if overdue {
		return Step{Stage: RolledBack, Reason: "the version was not shown to be good in time"}, true
	}
	return Step{}, false
}

func (l *Leader) fraction(part float64) time.Duration {
	return time.Duration(float64(l.order.Duration) * part)
}

func (l *Leader) trialDone(o Observation) bool {
	if !l.mayTakeMore(o) || o.Elapsed < l.fraction(trialEnd) {
		return false
	}
	return o.Evidence.Results(true) >= minTrialResults || o.Elapsed >= l.fraction(lateTrialEnd) && !o.Minority
}

// mayTakeMore reports whether the version may get more requests.
func (l *Leader) mayTakeMore(o Observation) bool {
	return o.Complete && float64(o.CandidateSlots) >= minCapacity*float64(o.IncumbentSlots)
}

// rampStep returns the shortest time of a step of the ramp.
func (l *Leader) rampStep() time.Duration { return max(minRampStep, l.fraction(rampStep)) }

// lateRampDone reports whether the ramp is late and has sent the version as many requests as
// all of its steps would have.
func (l *Leader) lateRampDone(o Observation) bool {
	wanted := 0.0
	for _, share := range rampShares {
		wanted += share * float64(l.rampStep())
	}
	return o.Elapsed >= l.fraction(lateRamp) && float64(o.RampLoad) >= wanted && o.ReaderFor >= minRampStep && o.Evidence.Results(true) >= minTrialResults
}

func (l *Leader) afterRampStep() Step {
	for _, share := range rampShares {
		if share > l.share {
			return Step{Stage: Ramp, Share: share, Reason: "the ramp has shown no fault"}
		}
	}
	return Step{Stage: Full, Share: 1, Reason: "the ramp has shown no fault"}
}

// finish ends the roll-out once the upstreams of other versions are empty, or in time for
// the operator although some are not.
func (l *Leader) finish(o Observation, overdue bool) (Step, bool) {
	if o.IncumbentInFlight > 0 || !o.Complete || o.Minority {
		l.empty = false
	} else if !l.empty {
		l.empty, l.emptySince = true, o.Elapsed
	}
	settled := l.empty && o.Elapsed-max(l.emptySince, l.stageSince) >= emptySettleTime
	switch {
	case settled:
		return Step{Stage: Succeeded, Share: 1, Reason: "the upstreams of other versions are empty"}, true
	case overdue && o.Elapsed >= l.earliestStop(o):
		return Step{Stage: Succeeded, Share: 1, Reason: "the time of the order ends"}, true
	}
	return Step{}, false
}

// earliestStop returns the time before which upstreams with requests are not stopped.
func (l *Leader) earliestStop(o Observation) time.Duration {
	since := min(l.stageSince, o.Elapsed-o.StageFor)
	return min(since+minFullTime, max(l.order.Duration-finalWriteTime, since+emptySettleTime))
}

// Written states that a step was stored.
func (l *Leader) Written(step Step, elapsed time.Duration) {
	l.stage, l.share, l.stageSince = step.Stage, step.Share, elapsed
}

// IsAt reports whether a stored progress is what the leader has written last.
func (l *Leader) IsAt(progress Progress) bool {
	return l.stage == progress.Stage && l.share == progress.Share
}

// Selector selects the requests of one instance that go to a version on trial. Each
// instance keeps to its share by itself, so that the bound for all of them holds whatever
// they know of each other. The share is one of the requests that have reached the service:
// requests that are refused under overload allow no trial requests.
type Selector struct{ credit float64 }

// maxCredit bounds the selected requests of one instance that may follow each other without
// a pause, for instance after the copy of the orders was outdated.
const maxCredit = 2

// NewSelector returns a selector. offset is uniform in [0, 1), so that the first selected
// requests of many instances are spread.
func NewSelector(offset float64) *Selector { return &Selector{credit: offset} }

// Reached counts a request that has reached the service, of which share go to the version.
func (s *Selector) Reached(share float64) { s.credit = math.Min(s.credit+share, maxCredit) }

// Select reports whether the next request goes to the version.
func (s *Selector) Select() bool {
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}
