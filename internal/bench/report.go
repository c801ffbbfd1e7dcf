package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Options selects the runs: every combination of scenario, workload and policy,
// with the seeds 1 to SeedCount.
type Options struct {
	Scenarios []string
	Workloads []string
	Policies  []string
	SeedCount int
	// MaxQueuedRequests bounds the queue in requests; zero means the default.
	MaxQueuedRequests int
	// Parallelism is the number of concurrent runs.
	Parallelism int
}

// RunAll executes the selected runs and returns their results in a fixed order.
func RunAll(o Options) ([]*Result, error) {
	var configs []RunConfig
	for _, scenario := range o.Scenarios {
		for _, workload := range o.Workloads {
			for _, policy := range o.Policies {
				for seed := 1; seed <= o.SeedCount; seed++ {
					configs = append(configs, RunConfig{scenario, workload, policy, uint64(seed), o.MaxQueuedRequests})
				}
			}
		}
	}
	results := make([]*Result, len(configs))
	errs := make([]error, len(configs))
	running := make(chan struct{}, max(1, o.Parallelism))
	var group sync.WaitGroup
	for i, config := range configs {
		running <- struct{}{}
		group.Go(func() {
			defer func() { <-running }()
			results[i], errs[i] = Run(config)
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// summary holds the mean and the range of a metric over the seeds.
type summary struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// String returns the mean and the range.
func (s summary) String() string { return fmt.Sprintf("%.3f (%.3f..%.3f)", s.Mean, s.Min, s.Max) }

func summarize(results []*Result, value func(*Result) float64) summary {
	s := summary{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, r := range results {
		v := value(r)
		s.Mean += v / float64(len(results))
		s.Min = min(s.Min, v)
		s.Max = max(s.Max, v)
	}
	return s
}

// columns holds the columns of the table.
var columns = []struct {
	name  string
	value func(*Result) float64
}{
	{"top", func(r *Result) float64 { return r.Tiers[tierTop].Goodput }},
	{"normal", func(r *Result) float64 { return r.Tiers[tierNormal].Goodput }},
	{"top lost", func(r *Result) float64 { return ratio(r.Tiers[tierTop].Failed, r.Tiers[tierTop].Offered) }},
	{"low", func(r *Result) float64 { return r.Tiers[tierLow].Goodput }},
	{"total", func(r *Result) float64 { return r.Goodput }},
	{"small teams", func(r *Result) float64 { return r.SmallTeamsGoodput }},
	{"top p99 s", func(r *Result) float64 { return r.Tiers[tierTop].FirstTokenP99 }},
	{"short p99 s", func(r *Result) float64 { return r.ShortFirstTokenP99 }},
	{"wasted", func(r *Result) float64 { return r.WastedPrefill }},
	{"discarded", func(r *Result) float64 { return r.DiscardedPrefill }},
	{"repeated", func(r *Result) float64 { return r.RepeatedPrefill }},
	{"inverted", func(r *Result) float64 {
		return float64(r.Tiers[tierTop].PriorityInversions + r.Tiers[tierNormal].PriorityInversions)
	}},
}

// runGroup holds the runs of a scenario and workload by policy, and the policies
// in order of their first run.
type runGroup struct {
	scenario, workload string
	byPolicy           map[string][]*Result
	policies           []string
}

func groupRuns(results []*Result) []*runGroup {
	var groups []*runGroup
	for _, r := range results {
		index := slices.IndexFunc(groups, func(g *runGroup) bool { return g.scenario == r.Scenario && g.workload == r.Workload })
		if index < 0 {
			index = len(groups)
			groups = append(groups, &runGroup{scenario: r.Scenario, workload: r.Workload, byPolicy: map[string][]*Result{}})
		}
		g := groups[index]
		if g.byPolicy[r.Policy] == nil {
			g.policies = append(g.policies, r.Policy)
		}
		g.byPolicy[r.Policy] = append(g.byPolicy[r.Policy], r)
	}
	return groups
}

// WriteTable prints the metrics per scenario, workload and policy as the mean and
// the range over the seeds, and their ratios to the best baseline policy.
func WriteTable(out io.Writer, results []*Result) error {
	for _, g := range groupRuns(results) {
		if err := g.write(out); err != nil {
			return err
		}
	}
	return nil
}

func (g *runGroup) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	_, _ = fmt.Fprintf(table, "%s / %s\t%s\n", g.scenario, g.workload, strings.Join(names, "\t"))
	for _, policy := range g.policies {
		_, _ = fmt.Fprintf(table, "%s", policy)
		for _, c := range columns {
			_, _ = fmt.Fprintf(table, "\t%s", summarize(g.byPolicy[policy], c.value))
		}
		_, _ = fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s%s\n", g.formatRatios(), g.formatUnserved())
	return err
}

// formatRatios compares the rosemarywing policy with the best baseline policy for
// each of three metrics.
func (g *runGroup) formatRatios() string {
	rosemarywing := g.byPolicy[sched.PolicyRosemarywing]
	if rosemarywing == nil || len(g.policies) < 2 {
		return ""
	}
	relativeToBest := func(value func(*Result) float64, better func(a, b float64) float64) float64 {
		best := math.NaN()
		for _, policy := range g.policies {
			if policy == sched.PolicyRosemarywing {
				continue
			}
			mean := summarize(g.byPolicy[policy], value).Mean
			if math.IsNaN(best) {
				best = mean
			}
			best = better(best, mean)
		}
		return summarize(rosemarywing, value).Mean / best
	}
	higher := func(a, b float64) float64 { return max(a, b) }
	lower := func(a, b float64) float64 { return min(a, b) }
	return fmt.Sprintf("against the best baseline: total goodput x%.2f, wasted prefill x%.2f, short p99 x%.2f\n",
		relativeToBest(func(r *Result) float64 { return r.Goodput }, higher),
		relativeToBest(func(r *Result) float64 { return r.WastedPrefill }, lower),
		relativeToBest(func(r *Result) float64 { return r.ShortFirstTokenP99 }, lower))
}

// formatUnserved lists, for each policy, the refused requests by tier and error
// kind and the late requests by tier, summed over the seeds.
func (g *runGroup) formatUnserved() string {
	var lines []string
	for _, policy := range g.policies {
		counts := map[string]int{}
		for _, r := range g.byPolicy[policy] {
			for tier, t := range r.Tiers {
				for kind, count := range t.Refused {
					counts[fmt.Sprintf("tier %d %s", tier, kind)] += count
				}
				counts[fmt.Sprintf("tier %d late", tier)] += t.Late
			}
		}
		var parts []string
		for name, count := range counts {
			if count > 0 {
				parts = append(parts, fmt.Sprintf("%s %d", name, count))
			}
		}
		sort.Strings(parts)
		lines = append(lines, fmt.Sprintf("not served by %s: %s\n", policy, strings.Join(parts, ", ")))
	}
	return strings.Join(lines, "")
}

// WriteJSON writes all results as JSON.
func WriteJSON(out io.Writer, results []*Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}
