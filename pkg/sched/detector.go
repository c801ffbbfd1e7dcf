package sched

import (
	"math"
	"time"
)

// Parameters of the detector of slow upstreams. They were chosen by the
// comparison in docs/policy.md, which rosemarywing-bench --detectors repeats.
const (
	slownessWindow = 10
	slownessRatio  = 3.0
	// recoveredRatio is the average below which a slow upstream is taken back.
	recoveredRatio = 1.5
	// referenceCount is the number of observations before the first verdict.
	referenceCount  = 20
	referenceWeight = 0.02
	commonWeight    = 0.02
	// leastOutput is the answer length from which the time per token is
	// observed; one step beside a chunk of prefill dominates shorter ones.
	leastOutput = 16
	// probeInterval is the time between requests to a slow upstream.
	probeInterval = 2 * time.Second
	// largestSlowPart bounds the slow upstreams of a pool to one in so many: a
	// pool that is slow as a whole must not be taken out of rotation.
	largestSlowPart = 3
)

// Reference learns the usual service time of an upstream, as the mean of its
// logarithm, and the spread of that.
type Reference struct {
	count    int
	mean     float64
	variance float64
}

// Ready reports whether enough was observed to judge.
func (r *Reference) Ready() bool { return r.count >= referenceCount }

// Excess is the logarithm of the ratio of the observed to the usual service
// time.
func (r *Reference) Excess(seconds float64) float64 { return math.Log(seconds) - r.mean }

// Spread is the standard deviation of the excess.
func (r *Reference) Spread() float64 { return math.Sqrt(r.variance) }

// Learn adds an observation. Callers leave out those made while the upstream
// is slow, so that slowness does not become the reference.
func (r *Reference) Learn(seconds float64) {
	r.count++
	weight := max(referenceWeight, 1/float64(r.count))
	excess := math.Log(seconds) - r.mean
	r.mean += weight * excess
	r.variance = (1 - weight) * (r.variance + weight*excess*excess)
}

// Common is the moving average of the excess over all upstreams of a pool. It is
// subtracted, because a load that makes every batch larger makes no upstream
// slow.
type Common struct{ excess float64 }

// Remove subtracts the common part, and then learns from the observation, whose
// weight is bounded so that one slow upstream does not hide itself.
func (c *Common) Remove(excess float64) float64 {
	own := excess - c.excess
	c.excess += commonWeight * min(max(own, -1), 1)
	return own
}

// slowness is the detector of one upstream: a moving average of the ratio of
// observed to expected service times against a threshold.
type slowness struct {
	slow      bool
	nextProbe int64
	reference Reference
	ratios    [slownessWindow]float64
	count     int
}

// average is the mean of the last ratios, or 1 before there are enough.
func (s *slowness) average() float64 {
	if s.count < slownessWindow {
		return 1
	}
	sum := 0.0
	for _, ratio := range s.ratios {
		sum += ratio
	}
	return sum / slownessWindow
}

// observe judges a completed request; mayBeSlow is false when too many
// upstreams are slow already.
func (s *slowness) observe(common *Common, result Result, mayBeSlow bool) {
	seconds, ok := serviceTime(result)
	if !ok {
		return
	}
	if s.reference.Ready() {
		s.ratios[s.count%slownessWindow] = math.Exp(common.Remove(s.reference.Excess(seconds)))
		s.count++
	}
	average := s.average()
	switch {
	case s.slow && average < recoveredRatio:
		s.slow = false
	case !s.slow && mayBeSlow && average > slownessRatio:
		s.slow = true
	}
	if !s.slow {
		s.reference.Learn(seconds)
	}
}

// serviceTime is the time per token, or for plain services, which produce no
// tokens, the whole time, in seconds.
func serviceTime(result Result) (float64, bool) {
	if result.OutputTokens == 0 {
		return result.Total.Seconds(), result.Total > 0
	}
	seconds, ok := tokenTime(result)
	return seconds, ok && result.OutputTokens >= leastOutput
}

// mayBeSlow reports whether one more upstream may be taken out of rotation.
func (p *Pool) mayBeSlow() bool {
	slow := 0
	for _, u := range p.byIndex {
		if u != nil && u.detector.slow {
			slow++
		}
	}
	return (slow+1)*largestSlowPart <= len(p.upstreams)
}
