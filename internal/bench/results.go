package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// outcome is how a request ended, as its caller sees it.
type outcome int

const (
	good outcome = iota + 1
	late
	refused
	failed
)

type ended struct {
	outcome    outcome
	kind       errkind.Kind
	firstToken time.Duration
	// inverted is set when a request was not served because of load although a
	// lower tier was granted an engine that could have served it in time.
	inverted bool
}

// TierResult is the outcome of one tier.
type TierResult struct {
	Offered  int            `json:"offered"`
	Good     int            `json:"good"`
	Late     int            `json:"late"`
	Failed   int            `json:"failed"`
	Refused  map[string]int `json:"refused"`
	Inverted int            `json:"inverted"`
	Goodput  float64        `json:"goodput"`
	// FirstToken percentiles in seconds; a request that was not served in time
	// counts with its deadline.
	P50 float64 `json:"firstTokenP50"`
	P95 float64 `json:"firstTokenP95"`
	P99 float64 `json:"firstTokenP99"`
}

// Result is the outcome of one run.
type Result struct {
	Scenario string              `json:"scenario"`
	Workload string              `json:"workload"`
	Policy   string              `json:"policy"`
	Seed     uint64              `json:"seed"`
	Tiers    map[int]*TierResult `json:"tiers"`
	// Goodput is the share of all requests that ended well and in time.
	Goodput float64 `json:"goodput"`
	// SmallTeams is the goodput of the teams other than the two large ones.
	SmallTeams float64 `json:"smallTeamsGoodput"`
	// ShortP99 is the 99th percentile of the time to the first token of short
	// requests, in seconds.
	ShortP99 float64 `json:"shortFirstTokenP99"`
	// Wasted is the prefill that was discarded or repeated, as a share of all;
	// Discarded and Repeated are its parts.
	Wasted    float64 `json:"wastedPrefill"`
	Discarded float64 `json:"discardedPrefill"`
	Repeated  float64 `json:"repeatedPrefill"`
}

type results struct {
	tiers      map[int]*TierResult
	firstToken map[int]*hdrhistogram.Histogram
	short      *hdrhistogram.Histogram
	smallTeams [2]int
	prefill    int
	discarded  int
	repeated   int
}

// histogram covers a millisecond to two minutes in microseconds.
func histogram() *hdrhistogram.Histogram {
	const digits = 3
	return hdrhistogram.New(1, (2 * time.Minute).Microseconds(), digits)
}

func newResults() *results {
	r := &results{
		tiers:      map[int]*TierResult{},
		firstToken: map[int]*hdrhistogram.Histogram{},
		short:      histogram(),
	}
	for _, tier := range []int{tierLow, tierNormal, tierTop} {
		r.tiers[tier] = &TierResult{Refused: map[string]int{}}
		r.firstToken[tier] = histogram()
	}
	return r
}

func (r *results) offered(a *arrival) { r.tiers[a.class.tier].Offered++ }

func (r *results) ended(request *inFlight, e ended) {
	a := request.arrival
	tier := r.tiers[a.class.tier]
	first := a.class.deadline
	switch e.outcome {
	case good:
		tier.Good++
		first = e.firstToken
	case late:
		tier.Late++
	case failed:
		tier.Failed++
	case refused:
		tier.Refused[string(e.kind)]++
	}
	if e.inverted {
		tier.Inverted++
	}
	_ = r.firstToken[a.class.tier].RecordValue(first.Microseconds())
	if a.class.short {
		_ = r.short.RecordValue(first.Microseconds())
	}
	if a.team != "team-0" && a.team != "team-1" {
		r.smallTeams[0]++
		if e.outcome == good {
			r.smallTeams[1]++
		}
	}
	r.prefill += request.prefill
	if e.outcome != good {
		r.discarded += request.prefill
		return
	}
	r.repeated += request.repeated
}

func (r *results) finish(t Task) *Result {
	out := &Result{Scenario: t.Scenario, Workload: t.Workload, Policy: t.Policy, Seed: t.Seed, Tiers: r.tiers}
	offered, served := 0, 0
	for tier, t := range r.tiers {
		t.Goodput = ratio(t.Good, t.Offered)
		t.P50 = seconds(r.firstToken[tier], 50)
		t.P95 = seconds(r.firstToken[tier], 95)
		t.P99 = seconds(r.firstToken[tier], 99)
		offered += t.Offered
		served += t.Good
	}
	out.Goodput = ratio(served, offered)
	out.SmallTeams = ratio(r.smallTeams[1], r.smallTeams[0])
	out.ShortP99 = seconds(r.short, 99)
	out.Discarded = ratio(r.discarded, r.prefill)
	out.Repeated = ratio(r.repeated, r.prefill)
	out.Wasted = out.Discarded + out.Repeated
	return out
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func seconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / float64(time.Second.Microseconds())
}
