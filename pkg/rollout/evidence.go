package rollout

import (
	"fmt"
	"math"
	"time"
)

// Cell names results that may be compared: those of one route at upstreams under similar
// load. A version may be faulty on one route only, or only when it is busy.
type Cell struct {
	Route string
	// Busy is true for results of upstreams whose slots were mostly in use.
	Busy bool
	// Period separates the results of times in which unlike parts of the requests went to
	// the candidate. Added up, an outage of all upstreams would look like a fault of the
	// version that got most of its requests during it.
	Period Period
}

// Period is a time in which a constant part of the requests goes to the candidate, or
// nearly so.
type Period uint8

// Periods.
const (
	// TrialPeriod is the stage Trial.
	TrialPeriod Period = iota
	// RampPeriod is the stages Ramp and Full. In Full only the candidate gets requests, so
	// that it is compared with the others as they were in Ramp.
	RampPeriod
)

// Period returns the period of a stage, and false if its results say nothing about the
// candidate.
func (s Stage) Period() (Period, bool) {
	switch s {
	case Trial:
		return TrialPeriod, true
	case Ramp, Full:
		return RampPeriod, true
	case Waiting, Succeeded, RolledBack:
	}
	return TrialPeriod, false
}

// Counts are the results in a cell, summed up since the order was given. They can be added.
type Counts struct {
	// Results is the number of requests that an upstream took, and Failures the part of
	// them that failed.
	Results, Failures uint32
	// Timed is the number of results with a time to the first output. LogSum and
	// LogSquares are the sums of its natural logarithm in ms, and of the squares.
	Timed              uint32
	LogSum, LogSquares float64
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Results: c.Results + other.Results, Failures: c.Failures + other.Failures, Timed: c.Timed + other.Timed,
		LogSum: c.LogSum + other.LogSum, LogSquares: c.LogSquares + other.LogSquares,
	}
}

// Result returns the counts of one request that an upstream has ended.
func Result(failed bool) Counts {
	if failed {
		return Counts{Results: 1, Failures: 1}
	}
	return Counts{Results: 1}
}

// FirstOutput returns the counts of one first output. It is recorded when it arrives, since
// a slow version takes long to end an answer.
func FirstOutput(after time.Duration) Counts {
	ms := math.Log(math.Max(1, float64(after)/float64(time.Millisecond)))
	return Counts{Timed: 1, LogSum: ms, LogSquares: ms * ms}
}

// Evidence holds the results of the candidate version and of the incumbent versions of a
// service, over all instances that reported them.
type Evidence struct {
	Candidate, Incumbent map[Cell]Counts
}

// NewEvidence returns evidence without results.
func NewEvidence() Evidence {
	return Evidence{Candidate: map[Cell]Counts{}, Incumbent: map[Cell]Counts{}}
}

// Add adds counts to those of a cell.
func (e Evidence) Add(candidate bool, cell Cell, counts Counts) {
	side := e.Incumbent
	if candidate {
		side = e.Candidate
	}
	side[cell] = side[cell].Add(counts)
}

// Merge adds all counts of other.
func (e Evidence) Merge(other Evidence) {
	for cell, counts := range other.Candidate {
		e.Add(true, cell, counts)
	}
	for cell, counts := range other.Incumbent {
		e.Add(false, cell, counts)
	}
}

// Results returns the number of results of the candidate, or of the incumbents.
func (e Evidence) Results(candidate bool) int {
	side := e.Incumbent
	if candidate {
		side = e.Candidate
	}
	total := 0
	for _, counts := range side {
		total += int(counts.Results)
	}
	return total
}

// Bounds above which a difference between two versions counts as a fault. A version is
// rolled back rather too early than too late: it can be ordered again.
const (
	// minFailures is the number of failures without which a version is not faulty. Single
	// upstreams fail, too.
	minFailures = 15
	// minExcessFailures is the difference of the failure rates from which on a version is
	// faulty, if it is significant by failureSigmas standard errors.
	minExcessFailures = 0.12
	failureSigmas     = 4.0
	// minTimed is the number of times to the first output that are compared at least.
	minTimed = 25
	// minSlowdown is the ratio of the mean times from which on a version is faulty, if it
	// is significant by slowdownSigmas standard errors. Upstreams of one version differ
	// by a factor of two to five in speed.
	minSlowdown    = 1.7
	slowdownSigmas = 4.0
	// assumedFailureRate and its weight, in results, stand for the incumbents where they
	// have few results.
	assumedFailureRate   = 0.02
	assumedFailureWeight = 10
)

// Fault returns a description of the difference if the candidate is worse than the
// incumbents: in one cell, in one route, or over all.
func (e Evidence) Fault() (string, bool) {
	for cell := range e.Candidate {
		if fault, found := e.compare(func(c Cell) bool { return c.Route == cell.Route && c.Busy == cell.Busy }); found {
			return fmt.Sprintf("route %s, busy %t: %s", cell.Route, cell.Busy, fault), true
		}
		if fault, found := e.compare(func(c Cell) bool { return c.Route == cell.Route }); found {
			return fmt.Sprintf("route %s: %s", cell.Route, fault), true
		}
	}
	return e.compare(func(Cell) bool { return true })
}

// compare compares the sums over the included cells. The incumbents are weighted like the
// candidate, since the share of a cell differs between the two.
func (e Evidence) compare(included func(Cell) bool) (string, bool) {
	var results, failures, expected, variance float64
	var timed, logSum, expectedLog, logVariance float64
	for cell, candidate := range e.Candidate {
		if !included(cell) {
			continue
		}
		incumbent := e.Incumbent[cell]
		n := float64(candidate.Results)
		rate := (float64(incumbent.Failures) + assumedFailureRate*assumedFailureWeight) / (float64(incumbent.Results) + assumedFailureWeight)
		results += n
		failures += float64(candidate.Failures)
		expected += n * rate
		variance += n * rate * (1 - rate) * (1 + n/(float64(incumbent.Results)+assumedFailureWeight))
		if incumbent.Timed == 0 || candidate.Timed == 0 {
			continue
		}
		n = float64(candidate.Timed)
		mean := incumbent.LogSum / float64(incumbent.Timed)
		timed += n
		logSum += candidate.LogSum
		expectedLog += n * mean
		logVariance += n*candidate.logVariance() + n*n*incumbent.logVariance()/float64(incumbent.Timed)
	}
	if excess := failures - expected; failures >= minFailures && excess > minExcessFailures*results && excess > failureSigmas*math.Sqrt(variance) {
		return fmt.Sprintf("%.0f of %.0f requests failed, %.1f expected", failures, results, expected), true
	}
	if excess := logSum - expectedLog; timed >= minTimed && excess > timed*math.Log(minSlowdown) && excess > slowdownSigmas*math.Sqrt(logVariance) {
		return fmt.Sprintf("the first output took %.1f times as long, over %.0f requests", math.Exp(excess/timed), timed), true
	}
	return "", false
}

// logVariance returns the variance of the logarithm of the times.
func (c Counts) logVariance() float64 {
	if c.Timed < 2 {
		return 1
	}
	n := float64(c.Timed)
	mean := c.LogSum / n
	// A few similar times say little about the others.
	return math.Max(0.05, (c.LogSquares/n-mean*mean)*n/(n-1))
}
