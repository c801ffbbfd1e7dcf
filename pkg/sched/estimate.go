package sched

import (
	"math"
	"time"
)

// Weights of one observation in the moving averages, and the bounds within
// which one observation may change an estimate.
const (
	rateWeight      = 0.1
	largestRateStep = 4.0
	// deviations is the number of mean deviations that a deadline must leave.
	deviations = 1.0
	// doneDeviations is the number of mean deviations after which prefill work
	// counts as done.
	doneDeviations = 2.0
	// minRateTokens is the prefill from which the time to the first token says
	// more about the prefill rate than about the steps of the running batch.
	minRateTokens = 1024
)

// storedDecay is the time constant with which stored prefill is forgotten.
const storedDecay = time.Minute

// estimate predicts an upstream from observed releases and from the work
// granted since. It is a single-server queue: prefill work is done in order at
// prefillRate, and backlogUntil is when the granted work will be done. Each
// request also waits for the step that the engine is in, whatever its length;
// that is the overhead. Without it, short prompts would make the prefill rate
// look several times too low.
type estimate struct {
	// prefillRate is in tokens per second, tokenTime in seconds per token, and
	// overhead in seconds.
	prefillRate float64
	tokenTime   float64
	overhead    float64
	// deviation is the mean absolute error of the expected time to the first
	// token, in seconds.
	deviation float64
	// hitRate is the part of the tokens believed to be cached that were cached.
	hitRate float64
	// stored is the prefill of about the last minute, in tokens, which pushed
	// out what was cached before.
	stored   float64
	storedAt int64
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
	return estimate{prefillRate: float64(prefillRate), tokenTime: 1 / float64(decodeRate), hitRate: 1}
}

// wait returns the expected time until the prefill of a new request starts, in
// seconds.
func (e *estimate) wait(now int64) float64 {
	return e.overhead + float64(max(0, e.backlogUntil-now))*time.Nanosecond.Seconds()
}

// start adds granted prefill work.
func (e *estimate) start(now int64, uncached int) {
	e.backlogUntil = max(now, e.backlogUntil) + e.prefillTime(uncached)
}

// recentlyStored is the prefill of about the last minute, in tokens.
func (e *estimate) recentlyStored(now int64) float64 {
	return e.stored / (1 + float64(now-e.storedAt)/float64(storedDecay))
}

func (e *estimate) store(now int64, tokens int) {
	e.stored = e.recentlyStored(now) + float64(tokens)
	e.storedAt = now
}

// likelyDone returns a time by which the granted prefill work is likely to be
// done, in nanoseconds since the epoch.
func (e *estimate) likelyDone() int64 {
	return e.backlogUntil + int64((e.overhead+doneDeviations*e.deviation)*float64(time.Second))
}

// undo takes back prefill work that was granted but not dispatched.
func (e *estimate) undo(uncached int) { e.backlogUntil -= e.prefillTime(uncached) }

func (e *estimate) prefillTime(uncached int) int64 {
	return int64(float64(uncached) / e.prefillRate * float64(time.Second))
}

// observeGivenUp learns from a request that was cancelled before its first
// token, which therefore would have taken at least that long. Without it the
// estimates would never learn of the requests that were too late.
func (e *estimate) observeGivenUp(g *grant, result Result) {
	if result.FirstToken == 0 && g.expectedFirst > 0 && result.Total > g.expectedFirst {
		e.observeFirst(g, result.Total.Seconds())
	}
}

// observe learns from a completed request. Of an answer that was not streamed
// neither the time to the first token nor the time per token is known.
func (e *estimate) observe(g *grant, result Result) {
	if result.FirstToken == 0 {
		return
	}
	if g.expectedFirst > 0 {
		e.observeFirst(g, result.FirstToken.Seconds())
	}
	if perToken, ok := tokenTime(result); ok {
		perToken = min(max(perToken, e.tokenTime/largestRateStep), e.tokenTime*largestRateStep)
		e.tokenTime += rateWeight * (perToken - e.tokenTime)
	}
}

// observeCache compares the cached tokens with those that the index promised.
func (e *estimate) observeCache(promised, cached int) {
	if promised >= minRateTokens {
		e.hitRate += rateWeight * (min(1, float64(cached)/float64(promised)) - e.hitRate)
	}
}

// observeFirst attributes the time to the first token to the prefill rate for
// long prompts, and to the overhead for short ones.
func (e *estimate) observeFirst(g *grant, first float64) {
	expected := g.expectedFirst.Seconds()
	e.deviation += rateWeight * (math.Abs(first-expected) - e.deviation)
	if g.uncached < minRateTokens {
		e.overhead = max(0, e.overhead+rateWeight*(first-expected))
		return
	}
	ratio := max(first-e.overhead, first/largestRateStep) / max(expected-e.overhead, expected/largestRateStep)
	ratio = min(max(ratio, 1/largestRateStep), largestRateStep)
	e.prefillRate *= math.Pow(ratio, -rateWeight)
}

// tokenTime returns the observed time per output token, in seconds. For an
// answer that was not streamed it includes the time to the first token.
func tokenTime(result Result) (float64, bool) {
	decode := result.Total - result.FirstToken
	if result.OutputTokens < 2 || decode <= 0 {
		return 0, false
	}
	return decode.Seconds() / float64(result.OutputTokens-1), true
}
