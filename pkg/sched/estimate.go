package sched

import (
	"math"
	"time"
)

// Parameters of the moving averages, and bounds on the change that a single
// observation can make.
const (
	smoothingFactor = 0.1
	maxRateStep     = 4.0
	// deadlineDeviations is the number of mean deviations by which the expected
	// time to the first token must be ahead of the deadline.
	deadlineDeviations = 1.0
	// prefillDoneDeviations is the number of mean deviations after the expected
	// end at which prefill work counts as done.
	prefillDoneDeviations = 2.0
	// minPrefillSampleTokens is the prefill size from which the time to the
	// first token reflects the prefill rate rather than the step time of the
	// running batch.
	minPrefillSampleTokens = 1024
)

// recentPrefillDecay is the time constant with which estimate.recentPrefill
// decays.
const recentPrefillDecay = time.Minute

// estimate predicts the time to the first token on an upstream from completed
// requests and the work granted since. It models the upstream as a
// single-server queue: prefill work is done in order at prefillRate, and
// backlogUntil is when the granted work will be done. Each request also waits
// for the engine's current step, whatever the prompt length; that is the
// overhead. Without it, short prompts would make the prefill rate appear
// several times too low.
type estimate struct {
	// prefillRate is in tokens per second, secondsPerToken is the decode time
	// per output token, and overhead is in seconds.
	prefillRate     float64
	secondsPerToken float64
	overhead        float64
	// meanDeviation is the mean absolute error of the expected time to the
	// first token, in seconds.
	meanDeviation float64
	// cacheHitRate is the share of the tokens predicted to be cached that were
	// cached.
	cacheHitRate float64
	// recentPrefill is the number of tokens prefilled in about the last minute;
	// they evicted older cache entries.
	recentPrefill   float64
	recentPrefillAt int64
	// backlogUntil is in nanoseconds since the epoch.
	backlogUntil int64
}

func newEstimate(prefillRate, decodeRate int) estimate {
	if prefillRate <= 0 {
		prefillRate = defaultPrefillRate
	}
	if decodeRate <= 0 {
		decodeRate = defaultDecodeRate
	}
	return estimate{prefillRate: float64(prefillRate), secondsPerToken: 1 / float64(decodeRate), cacheHitRate: 1}
}

// prefillWait returns the expected time in seconds until the prefill of a new
// request starts.
func (e *estimate) prefillWait(now int64) float64 {
	return e.overhead + float64(max(0, e.backlogUntil-now))*time.Nanosecond.Seconds()
}

// addPrefill adds granted prefill work to the backlog.
func (e *estimate) addPrefill(now int64, uncached int) {
	e.backlogUntil = max(now, e.backlogUntil) + e.prefillTime(uncached)
}

// decayedRecentPrefill returns the prefill of about the last minute, in tokens.
func (e *estimate) decayedRecentPrefill(now int64) float64 {
	return e.recentPrefill / (1 + float64(now-e.recentPrefillAt)/float64(recentPrefillDecay))
}

func (e *estimate) addRecentPrefill(now int64, tokens int) {
	e.recentPrefill = e.decayedRecentPrefill(now) + float64(tokens)
	e.recentPrefillAt = now
}

// prefillDoneBy returns a time by which the granted prefill work is likely to
// be done, in nanoseconds since the epoch.
func (e *estimate) prefillDoneBy() int64 {
	return e.backlogUntil + int64((e.overhead+prefillDoneDeviations*e.meanDeviation)*float64(time.Second))
}

// removePrefill removes granted prefill work that was not dispatched from the
// backlog.
func (e *estimate) removePrefill(uncached int) { e.backlogUntil -= e.prefillTime(uncached) }

func (e *estimate) prefillTime(uncached int) int64 {
	return int64(float64(uncached) / e.prefillRate * float64(time.Second))
}

// observeCancelled updates the estimate with a request cancelled before its
// first token, whose time to the first token was at least the elapsed time.
// Otherwise requests that were too slow would never affect the estimate.
func (e *estimate) observeCancelled(g *grant, result Result) {
	if result.FirstToken == 0 && g.expectedFirstToken > 0 && result.Total > g.expectedFirstToken {
		e.observeFirstToken(g, result.Total.Seconds())
	}
}

// observe updates the estimate with a completed request. It ignores a
// non-streamed answer, which shows neither the time to the first token nor the
// time per token.
func (e *estimate) observe(g *grant, result Result) {
	if result.FirstToken == 0 {
		return
	}
	if g.expectedFirstToken > 0 {
		e.observeFirstToken(g, result.FirstToken.Seconds())
	}
	if perToken, ok := decodeSecondsPerToken(result); ok {
		perToken = min(max(perToken, e.secondsPerToken/maxRateStep), e.secondsPerToken*maxRateStep)
		e.secondsPerToken += smoothingFactor * (perToken - e.secondsPerToken)
	}
}

// observeCache updates the hit rate with the cached tokens that the prefix
// index predicted and those that the upstream reported.
func (e *estimate) observeCache(predicted, cached int) {
	if predicted >= minPrefillSampleTokens {
		e.cacheHitRate += smoothingFactor * (min(1, float64(cached)/float64(predicted)) - e.cacheHitRate)
	}
}

// observeFirstToken attributes the time to the first token to the prefill rate
// for long prompts, and to the overhead for short ones.
func (e *estimate) observeFirstToken(g *grant, observed float64) {
	expected := g.expectedFirstToken.Seconds()
	e.meanDeviation += smoothingFactor * (math.Abs(observed-expected) - e.meanDeviation)
	if g.uncachedTokens < minPrefillSampleTokens {
		e.overhead = max(0, e.overhead+smoothingFactor*(observed-expected))
		return
	}
	ratio := max(observed-e.overhead, observed/maxRateStep) / max(expected-e.overhead, expected/maxRateStep)
	ratio = min(max(ratio, 1/maxRateStep), maxRateStep)
	e.prefillRate *= math.Pow(ratio, -smoothingFactor)
}

// decodeSecondsPerToken returns the observed time per output token in seconds.
// For a non-streamed answer it includes the time to the first token.
func decodeSecondsPerToken(result Result) (float64, bool) {
	decode := result.Total - result.FirstToken
	if result.OutputTokens < 2 || decode <= 0 {
		return 0, false
	}
	return decode.Seconds() / float64(result.OutputTokens-1), true
}
