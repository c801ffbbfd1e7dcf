package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemarywing/rosemarywing/internal/workload"
)

// Bounds of the histograms, in microseconds, and their precision.
const (
	lowestMicros     = 1
	highestMicros    = int64(time.Hour / time.Microsecond)
	significantDigit = 3
)

// Report summarizes a run.
type Report struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Speed    float64 `json:"speed"`
	// Seconds is the modelled duration of the arrivals.
	Seconds float64 `json:"seconds"`
	// Tiers are ordered from the highest to the lowest; the last is the total.
	Tiers   []TierReport  `json:"tiers"`
	Prefill PrefillReport `json:"prefill"`
}

// TierReport summarizes the requests of a tier.
type TierReport struct {
	Tier    string `json:"tier"`
	Offered int    `json:"offered"`
	// Good requests were answered correctly and in time; late ones correctly.
	Good int `json:"good"`
	Late int `json:"late"`
	// Goodput is Good as a share of Offered.
	Goodput float64 `json:"goodput"`
	// Refused counts requests by kind whose callers were told that they did
	// not run; Failed counts all others that were not answered.
	Refused map[string]int `json:"refused"`
	Failed  map[string]int `json:"failed"`
	// FirstToken and InterToken cover streams, Whole all other answers.
	FirstToken Percentiles `json:"firstTokenMs"`
	InterToken Percentiles `json:"interTokenMs"`
	Whole      Percentiles `json:"wholeMs"`
}

// Percentiles of a latency, in milliseconds of modelled time.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// tally collects the results of a tier.
type tally struct {
	report     TierReport
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

func newTally(tier string) *tally {
	return &tally{
		report:     TierReport{Tier: tier, Refused: map[string]int{}, Failed: map[string]int{}},
		firstToken: newHistogram(),
		interToken: newHistogram(),
		whole:      newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigit)
}

// Tiers summarizes results by tier, and in total.
func Tiers(tiers []workload.Tier, results []Result) []TierReport {
	sorted := slices.SortedFunc(slices.Values(tiers), func(a, b workload.Tier) int {
		return cmp.Compare(b.Priority, a.Priority)
	})
	total := newTally("total")
	var reports []TierReport
	for _, tier := range sorted {
		own := newTally(tier.Name)
		for _, result := range results {
			if result.Arrival.Tier == tier.Name {
				own.add(result)
				total.add(result)
			}
		}
		reports = append(reports, own.finish())
	}
	return append(reports, total.finish())
}

func (t *tally) add(result Result) {
	t.report.Offered++
	if !result.Complete {
		t.addFailure(result)
		return
	}
	if result.InTime() {
		t.report.Good++
	} else {
		t.report.Late++
	}
	if !result.Arrival.Stream {
		record(t.whole, result.Total)
		return
	}
	record(t.firstToken, result.FirstToken)
	for _, gap := range result.InterToken {
		record(t.interToken, gap)
	}
}

func (t *tally) addFailure(result Result) {
	if result.Refused {
		t.report.Refused[result.Kind]++
		return
	}
	t.report.Failed[result.Kind]++
}

// record adds a latency; one beyond the bounds counts as the bound.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 0), highestMicros)
	_ = histogram.RecordValue(micros)
}

func (t *tally) finish() TierReport {
	if t.report.Offered > 0 {
		t.report.Goodput = float64(t.report.Good) / float64(t.report.Offered)
	}
	t.report.FirstToken = percentiles(t.firstToken)
	t.report.InterToken = percentiles(t.interToken)
	t.report.Whole = percentiles(t.whole)
	return t.report
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	const microsPerMilli = 1000
	at := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / microsPerMilli
	}
	return Percentiles{
		Count: histogram.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   float64(histogram.Max()) / microsPerMilli,
	}
}

// WriteTable prints the report for people.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "tier\toffered\tgood\tlate\tgoodput\tfirst token p50/p95/p99 ms\tinter-token p50/p95/p99 ms\twhole p50/p95/p99 ms\t\n")
	for _, tier := range r.Tiers {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t\n", tier.Tier, tier.Offered, tier.Good, tier.Late,
			tier.Goodput, tier.FirstToken, tier.InterToken, tier.Whole)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, tier := range r.Tiers {
		_, _ = fmt.Fprintf(w, "%s: refused %s; failed %s\n", tier.Tier, kinds(tier.Refused), kinds(tier.Failed))
	}
	_, err := fmt.Fprintf(w, "prefill: %d tokens done, %d from the cache, %d wasted (%.1f%%), of which %d discarded; %d requests received again; %d engines unread\n",
		r.Prefill.Done, r.Prefill.Cached, r.Prefill.Wasted, 100*r.Prefill.WastedShare, r.Prefill.Discarded,
		r.Prefill.ReceivedAgain, r.Prefill.Unread)
	return err
}

// String returns the percentiles 50, 95 and 99.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", p.P50, p.P95, p.P99)
}

func kinds(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
