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
	// minObservedTokens is the prefill below which the first token's time says
	// more about the network than about the prefill rate.
	minObservedTokens = 64
)

// estimate predicts an upstream from observed releases and from the work
// granted since. It is a single-server queue: prefill work is done in order at
// prefillRate, and backlogUntil is when the granted work will be done.
type estimate struct {
	// prefillRate is in tokens per second, tokenTime in seconds per token.
	prefillRate float64
	tokenTime   float64
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
	return estimate{prefillRate: float64(prefillRate), tokenTime: 1 / float64(decodeRate)}
}

// first returns the expected time to the first token, in seconds.
func (e *estimate) first(now int64, uncached int) float64 {
	backlog := float64(max(0, e.backlogUntil-now)) / float64(time.Second)
	return backlog + float64(uncached)/e.prefillRate
}

// start adds granted prefill work.
func (e *estimate) start(now int64, uncached int) {
	e.backlogUntil = max(now, e.backlogUntil) + e.prefillTime(uncached)
}

// undo takes back prefill work that was granted but not dispatched.
func (e *estimate) undo(uncached int) { e.backlogUntil -= e.prefillTime(uncached) }

func (e *estimate) prefillTime(uncached int) int64 {
	return int64(float64(uncached) / e.prefillRate * float64(time.Second))
}

// observe learns from a completed request.
func (e *estimate) observe(g *grant, result Result) {
	if g.uncached >= minObservedTokens && g.expectedFirst > 0 && result.FirstToken > 0 {
		ratio := float64(result.FirstToken) / float64(g.expectedFirst)
		ratio = min(max(ratio, 1/largestRateStep), largestRateStep)
		e.prefillRate *= math.Pow(ratio, -rateWeight)
	}
	if perToken, ok := tokenTime(result); ok {
		perToken = min(max(perToken, e.tokenTime/largestRateStep), e.tokenTime*largestRateStep)
		e.tokenTime += rateWeight * (perToken - e.tokenTime)
	}
}

// tokenTime returns the observed time per output token, in seconds.
func tokenTime(result Result) (float64, bool) {
	decode := result.Total - result.FirstToken
	if result.OutputTokens < 2 || decode <= 0 {
		return 0, false
	}
	return decode.Seconds() / float64(result.OutputTokens-1), true
}
