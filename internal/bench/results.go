package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// outcome is the outcome of a request as its caller sees it.
type outcome int

const (
	good outcome = iota + 1
	late
	refused
	failed
)

// requestEnd describes the end of a request.
type requestEnd struct {
	outcome    outcome
	kind       errkind.Kind
	firstToken time.Duration
	// priorityInversion is set when a request was not served because of load
	// although a lower tier was granted an engine that could have served it in time.
	priorityInversion bool
}

// TierResult is the outcome of one tier.
type TierResult struct {
	Offered            int            `json:"offered"`
	Good               int            `json:"good"`
	Late               int            `json:"late"`
	Failed             int            `json:"failed"`
	Refused            map[string]int `json:"refused"`
	PriorityInversions int            `json:"inverted"`
	Goodput            float64        `json:"goodput"`
	// Percentiles of the time to first token, in seconds. A request that was not served
	// in time counts with its class's firstTokenTimeout.
	FirstTokenP50 float64 `json:"firstTokenP50"`
	FirstTokenP95 float64 `json:"firstTokenP95"`
	FirstTokenP99 float64 `json:"firstTokenP99"`
}

// Result is the outcome of one run.
type Result struct {
	Scenario string              `json:"scenario"`
	Workload string              `json:"workload"`
	Policy   string              `json:"policy"`
	Seed     uint64              `json:"seed"`
	Tiers    map[int]*TierResult `json:"tiers"`
	// Goodput is the share of all requests that were completed and whose first
	// token met the deadline.
	Goodput float64 `json:"goodput"`
	// SmallTeamsGoodput is the goodput of all teams but the two large ones.
	SmallTeamsGoodput float64 `json:"smallTeamsGoodput"`
	// ShortFirstTokenP99 is the 99th percentile of the time to first token of
	// requests with short prompts, in seconds.
	ShortFirstTokenP99 float64 `json:"shortFirstTokenP99"`
	// WastedPrefill is the share of all processed prompt tokens that was wasted. It
	// is the sum of DiscardedPrefill, for requests that were not served, and
	// RepeatedPrefill, for prefixes that some engine had already processed.
	WastedPrefill    float64 `json:"wastedPrefill"`
	DiscardedPrefill float64 `json:"discardedPrefill"`
	RepeatedPrefill  float64 `json:"repeatedPrefill"`
}

// resultCollector collects the outcomes of the requests of a run.
type resultCollector struct {
	tiers             map[int]*TierResult
	firstToken        map[int]*hdrhistogram.Histogram
	shortFirstToken   *hdrhistogram.Histogram
	smallTeamRequests [2]int // all, and those with outcome good
	prefillTokens     int
	discardedTokens   int
	repeatedTokens    int
}

// newHistogram returns a histogram of durations from one microsecond to two
// minutes, in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	const digits = 3
	return hdrhistogram.New(1, (2 * time.Minute).Microseconds(), digits)
}

func newResultCollector() *resultCollector {
	c := &resultCollector{
		tiers:           map[int]*TierResult{},
		firstToken:      map[int]*hdrhistogram.Histogram{},
		shortFirstToken: newHistogram(),
	}
	for _, tier := range []int{tierLow, tierNormal, tierTop} {
		c.tiers[tier] = &TierResult{Refused: map[string]int{}}
		c.firstToken[tier] = newHistogram()
	}
	return c
}

func (c *resultCollector) recordArrival(a *arrival) { c.tiers[a.class.tier].Offered++ }

func (c *resultCollector) recordEnd(request *simulatedRequest, end requestEnd) {
	a := request.arrival
	tier := c.tiers[a.class.tier]
	firstToken := a.class.firstTokenTimeout
	switch end.outcome {
	case good:
		tier.Good++
		firstToken = end.firstToken
	case late:
		tier.Late++
	case failed:
		tier.Failed++
	case refused:
		tier.Refused[string(end.kind)]++
	}
	if end.priorityInversion {
		tier.PriorityInversions++
	}
	_ = c.firstToken[a.class.tier].RecordValue(firstToken.Microseconds())
	if a.class.shortPrompt {
		_ = c.shortFirstToken.RecordValue(firstToken.Microseconds())
	}
	if a.team != "team-0" && a.team != "team-1" {
		c.smallTeamRequests[0]++
		if end.outcome == good {
			c.smallTeamRequests[1]++
		}
	}
	c.prefillTokens += request.prefillTokens
	if end.outcome != good {
		c.discardedTokens += request.prefillTokens
		return
	}
	c.repeatedTokens += request.repeatedTokens
}

func (c *resultCollector) result(config RunConfig) *Result {
	result := &Result{Scenario: config.Scenario, Workload: config.Workload, Policy: config.Policy, Seed: config.Seed, Tiers: c.tiers}
	offered, inTime := 0, 0
	for tier, tierResult := range c.tiers {
		tierResult.Goodput = ratio(tierResult.Good, tierResult.Offered)
		tierResult.FirstTokenP50 = percentileSeconds(c.firstToken[tier], 50)
		tierResult.FirstTokenP95 = percentileSeconds(c.firstToken[tier], 95)
		tierResult.FirstTokenP99 = percentileSeconds(c.firstToken[tier], 99)
		offered += tierResult.Offered
		inTime += tierResult.Good
	}
	result.Goodput = ratio(inTime, offered)
	result.SmallTeamsGoodput = ratio(c.smallTeamRequests[1], c.smallTeamRequests[0])
	result.ShortFirstTokenP99 = percentileSeconds(c.shortFirstToken, 99)
	result.DiscardedPrefill = ratio(c.discardedTokens, c.prefillTokens)
	result.RepeatedPrefill = ratio(c.repeatedTokens, c.prefillTokens)
	result.WastedPrefill = result.DiscardedPrefill + result.RepeatedPrefill
	return result
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func percentileSeconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / float64(time.Second.Microseconds())
}
