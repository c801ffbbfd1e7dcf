package sched

import (
	"math"
	"time"
)

// Parameters of the slow-upstream detector. docs/policy.md compares
// alternatives; rosemarywing-bench --detectors repeats the comparison.
const (
	slowWindow = 10
	slowRatio  = 3.0
	// recoveryRatio is the average ratio below which a slow upstream returns to
	// rotation.
	recoveryRatio = 1.5
	// minReferenceSamples is the number of observations from which the usual
	// service time of an upstream is used as reference.
	minReferenceSamples = 20
	referenceWeight     = 0.02
	poolTrendWeight     = 0.02
	// minOutputTokens is the shortest output from which the time per token is
	// observed. In shorter ones, a single step that shares its batch with a
	// prefill chunk dominates.
	minOutputTokens = 16
	// probeInterval is the time between requests sent to a slow upstream.
	probeInterval = 2 * time.Second
	// minUpstreamsPerSlow limits slow upstreams to one in this many: a pool
	// that is slow as a whole must stay in rotation.
	minUpstreamsPerSlow = 3
)

// ServiceTimeStats estimates the usual service time of an upstream: the moving
// mean and variance of its logarithm.
type ServiceTimeStats struct {
	count    int
	mean     float64
	variance float64
}

// Ready reports whether there are enough observations to compare with.
func (s *ServiceTimeStats) Ready() bool { return s.count >= minReferenceSamples }

// LogRatio returns the logarithm of the ratio of a service time to the usual
// one.
func (s *ServiceTimeStats) LogRatio(seconds float64) float64 { return math.Log(seconds) - s.mean }

// StdDev returns the standard deviation of the logarithm of the service time.
func (s *ServiceTimeStats) StdDev() float64 { return math.Sqrt(s.variance) }

// Add adds an observation. Callers must leave out observations of a slow
// upstream, or its slowness would become the reference.
func (s *ServiceTimeStats) Add(seconds float64) {
	s.count++
	weight := max(referenceWeight, 1/float64(s.count))
	logRatio := math.Log(seconds) - s.mean
	s.mean += weight * logRatio
	s.variance = (1 - weight) * (s.variance + weight*logRatio*logRatio)
}

// PoolTrend is the moving average of the log ratios of all upstreams of a pool.
// It is subtracted from each observation, because a rise in load that enlarges
// every batch must not mark single upstreams as slow.
type PoolTrend struct{ logRatio float64 }

// Detrend returns a log ratio without the pool average, and then updates the
// average. The contribution of one observation is bounded, so that a slow
// upstream does not mask itself.
func (t *PoolTrend) Detrend(logRatio float64) float64 {
	residual := logRatio - t.logRatio
	t.logRatio += poolTrendWeight * min(max(residual, -1), 1)
	return residual
}

// slowDetector detects whether one upstream is slow: it compares the mean of the
// last slowWindow ratios of observed to usual service time with slowRatio.
type slowDetector struct {
	slow      bool
	nextProbe int64
	reference ServiceTimeStats
	ratios    [slowWindow]float64
	count     int
}

// averageRatio is the mean of the last slowWindow ratios, or 1 if there are
// fewer.
func (d *slowDetector) averageRatio() float64 {
	if d.count < slowWindow {
		return 1
	}
	sum := 0.0
	for _, ratio := range d.ratios {
		sum += ratio
	}
	return sum / slowWindow
}

// observe updates the detector with a completed request. It marks the upstream
// as slow only if canMarkSlow is set.
func (d *slowDetector) observe(poolTrend *PoolTrend, result Result, canMarkSlow bool) {
	seconds, ok := serviceTime(result)
	if !ok {
		return
	}
	if d.reference.Ready() {
		d.ratios[d.count%slowWindow] = math.Exp(poolTrend.Detrend(d.reference.LogRatio(seconds)))
		d.count++
	}
	average := d.averageRatio()
	switch {
	case d.slow && average < recoveryRatio:
		d.slow = false
	case !d.slow && canMarkSlow && average > slowRatio:
		d.slow = true
	}
	if !d.slow {
		d.reference.Add(seconds)
	}
}

// serviceTime returns the time per output token in seconds, or the total time
// for services that produce no tokens.
func serviceTime(result Result) (float64, bool) {
	if result.OutputTokens == 0 {
		return result.Total.Seconds(), result.Total > 0
	}
	seconds, ok := decodeSecondsPerToken(result)
	return seconds, ok && result.OutputTokens >= minOutputTokens
}

// canMarkSlow reports whether one more upstream may be marked as slow.
func (p *Pool) canMarkSlow() bool {
	slow := 0
	for _, u := range p.upstreamByIndex {
		if u != nil && u.detector.slow {
			slow++
		}
	}
	return (slow+1)*minUpstreamsPerSlow <= len(p.upstreams)
}
