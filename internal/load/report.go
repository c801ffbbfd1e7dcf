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

// Range of the latency histograms, in microseconds, and their precision.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Report is the result of a run.
type Report struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Speed    float64 `json:"speed"`
	// Seconds is the duration of the arrivals in modelled time.
	Seconds float64 `json:"seconds"`
	// Tiers are ordered from the highest to the lowest; the last is the total.
	Tiers   []TierReport  `json:"tiers"`
	Prefill PrefillReport `json:"prefill"`
}

// TierReport summarizes the results of the requests of a tier, or of all tiers.
type TierReport struct {
	Tier    string `json:"tier"`
	Offered int    `json:"offered"`
	// Good counts requests that were answered correctly and in time, Late those
	// that were answered correctly after their deadline.
	Good int `json:"good"`
	Late int `json:"late"`
	// Goodput is Good as a share of Offered.
	Goodput float64 `json:"goodput"`
	// Refused counts requests, by error kind, that did not run according to the
	// error answer. Failed counts all others without a correct answer.
	Refused map[string]int `json:"refused"`
	Failed  map[string]int `json:"failed"`
	// FirstToken is the time to first token and InterToken the time between tokens
	// of streams; ResponseTime is the time to the complete answer of other requests.
	FirstToken   Percentiles `json:"firstTokenMs"`
	InterToken   Percentiles `json:"interTokenMs"`
	ResponseTime Percentiles `json:"wholeMs"`
}

// Percentiles summarizes a latency in milliseconds of modelled time.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// tierCollector collects the results of a tier.
type tierCollector struct {
	report       TierReport
	firstToken   *hdrhistogram.Histogram
	interToken   *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram
}

func newTierCollector(tier string) *tierCollector {
	return &tierCollector{
		report:       TierReport{Tier: tier, Refused: map[string]int{}, Failed: map[string]int{}},
		firstToken:   newHistogram(),
		interToken:   newHistogram(),
		responseTime: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// SummarizeTiers summarizes results by tier, and in total as the last element.
func SummarizeTiers(tiers []workload.Tier, results []Result) []TierReport {
	sortedTiers := slices.SortedFunc(slices.Values(tiers), func(a, b workload.Tier) int {
		return cmp.Compare(b.Priority, a.Priority)
	})
	total := newTierCollector("total")
	var reports []TierReport
	for _, tier := range sortedTiers {
		collector := newTierCollector(tier.Name)
		for _, result := range results {
			if result.Arrival.Tier == tier.Name {
				collector.add(result)
				total.add(result)
			}
		}
		reports = append(reports, collector.finish())
	}
	return append(reports, total.finish())
}

func (t *tierCollector) add(result Result) {
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
		recordLatency(t.responseTime, result.TotalTime)
		return
	}
	recordLatency(t.firstToken, result.FirstToken)
	for _, gap := range result.InterToken {
		recordLatency(t.interToken, gap)
	}
}

func (t *tierCollector) addFailure(result Result) {
	if result.Refused {
		t.report.Refused[result.Kind]++
		return
	}
	t.report.Failed[result.Kind]++
}

// recordLatency adds a latency to a histogram. Latencies outside of the range are
// recorded as the limit of the range.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 0), maxLatencyMicros)
	_ = histogram.RecordValue(micros)
}

func (t *tierCollector) finish() TierReport {
	if t.report.Offered > 0 {
		t.report.Goodput = float64(t.report.Good) / float64(t.report.Offered)
	}
	t.report.FirstToken = newPercentiles(t.firstToken)
	t.report.InterToken = newPercentiles(t.interToken)
	t.report.ResponseTime = newPercentiles(t.responseTime)
	return t.report
}

func newPercentiles(histogram *hdrhistogram.Histogram) Percentiles {
	const microsPerMilli = 1000
	millisAt := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / microsPerMilli
	}
	return Percentiles{
		Count: histogram.TotalCount(),
		P50:   millisAt(50),
		P95:   millisAt(95),
		P99:   millisAt(99),
		Max:   float64(histogram.Max()) / microsPerMilli,
	}
}

// WriteTable prints the report as a table.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "tier\toffered\tgood\tlate\tgoodput\tfirst token p50/p95/p99 ms\tinter-token p50/p95/p99 ms\tresponse time p50/p95/p99 ms\t\n")
	for _, tier := range r.Tiers {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t\n", tier.Tier, tier.Offered, tier.Good, tier.Late,
			tier.Goodput, tier.FirstToken, tier.InterToken, tier.ResponseTime)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, tier := range r.Tiers {
		_, _ = fmt.Fprintf(w, "%s: refused %s; failed %s\n", tier.Tier, formatCounts(tier.Refused), formatCounts(tier.Failed))
	}
	_, err := fmt.Fprintf(w, "prefill: %d tokens processed, %d from the cache, %d wasted (%.1f%%), of which %d discarded; %d requests received more than once; %d engine logs unreadable\n",
		r.Prefill.ProcessedTokens, r.Prefill.CachedTokens, r.Prefill.WastedTokens, 100*r.Prefill.WastedShare, r.Prefill.DiscardedTokens,
		r.Prefill.RepeatedReceipts, r.Prefill.UnreadableLogs)
	return err
}

// String returns the 50th, 95th and 99th percentile, or "-" without values.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", p.P50, p.P95, p.P99)
}

// formatCounts lists the counts by error kind.
func formatCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
