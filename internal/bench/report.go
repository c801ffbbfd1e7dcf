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

// Options select the runs.
type Options struct {
	Scenarios []string
	Workloads []string
	Policies  []string
	Seeds     int
	Queue     int
	// Parallel is the number of runs at a time.
	Parallel int
}

// RunAll makes all selected runs, in a stable order.
func RunAll(o Options) ([]*Result, error) {
	var tasks []Task
	for _, s := range o.Scenarios {
		for _, w := range o.Workloads {
			for _, p := range o.Policies {
				for seed := 1; seed <= o.Seeds; seed++ {
					tasks = append(tasks, Task{s, w, p, uint64(seed), o.Queue})
				}
			}
		}
	}
	out := make([]*Result, len(tasks))
	errs := make([]error, len(tasks))
	slots := make(chan struct{}, max(1, o.Parallel))
	var group sync.WaitGroup
	for i, t := range tasks {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			out[i], errs[i] = Run(t)
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// summary is a figure over the seeds.
type summary struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// String shows the mean and the spread.
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

// columns are the figures of the table.
var columns = []struct {
	name  string
	value func(*Result) float64
}{
	{"top", func(r *Result) float64 { return r.Tiers[tierTop].Goodput }},
	{"normal", func(r *Result) float64 { return r.Tiers[tierNormal].Goodput }},
	{"top lost", func(r *Result) float64 { return ratio(r.Tiers[tierTop].Failed, r.Tiers[tierTop].Offered) }},
	{"low", func(r *Result) float64 { return r.Tiers[tierLow].Goodput }},
	{"total", func(r *Result) float64 { return r.Goodput }},
	{"small teams", func(r *Result) float64 { return r.SmallTeams }},
	{"top p99 s", func(r *Result) float64 { return r.Tiers[tierTop].P99 }},
	{"short p99 s", func(r *Result) float64 { return r.ShortP99 }},
	{"wasted", func(r *Result) float64 { return r.Wasted }},
	{"discarded", func(r *Result) float64 { return r.Discarded }},
	{"repeated", func(r *Result) float64 { return r.Repeated }},
	{"inverted", func(r *Result) float64 { return float64(r.Tiers[tierTop].Inverted + r.Tiers[tierNormal].Inverted) }},
}

// group collects the runs of a scenario and workload by policy.
type group struct {
	scenario, workload string
	byPolicy           map[string][]*Result
	policies           []string
}

func groups(results []*Result) []*group {
	var all []*group
	for _, r := range results {
		at := slices.IndexFunc(all, func(g *group) bool { return g.scenario == r.Scenario && g.workload == r.Workload })
		if at < 0 {
			at = len(all)
			all = append(all, &group{scenario: r.Scenario, workload: r.Workload, byPolicy: map[string][]*Result{}})
		}
		g := all[at]
		if g.byPolicy[r.Policy] == nil {
			g.policies = append(g.policies, r.Policy)
		}
		g.byPolicy[r.Policy] = append(g.byPolicy[r.Policy], r)
	}
	return all
}

// WriteTable prints the figures per scenario, workload and policy as the mean
// and the spread over the seeds, and the ratios against the best baseline.
func WriteTable(out io.Writer, results []*Result) error {
	for _, g := range groups(results) {
		if err := g.write(out); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) write(out io.Writer) error {
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
	_, err := fmt.Fprintf(out, "%s%s\n", g.ratios(), g.refusals())
	return err
}

// ratios compares the product's policy with the best baseline of each figure.
func (g *group) ratios() string {
	own := g.byPolicy[sched.PolicyRosemarywing]
	if own == nil || len(g.policies) < 2 {
		return ""
	}
	ratio := func(value func(*Result) float64, better func(a, b float64) float64) float64 {
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
		return summarize(own, value).Mean / best
	}
	higher := func(a, b float64) float64 { return max(a, b) }
	lower := func(a, b float64) float64 { return min(a, b) }
	return fmt.Sprintf("against the best baseline: total goodput x%.2f, wasted prefill x%.2f, short p99 x%.2f\n",
		ratio(func(r *Result) float64 { return r.Goodput }, higher),
		ratio(func(r *Result) float64 { return r.Wasted }, lower),
		ratio(func(r *Result) float64 { return r.ShortP99 }, lower))
}

// refusals lists the refusals of the product's policy by tier and kind, summed
// over the seeds.
func (g *group) refusals() string {
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

// WriteJSON prints all results.
func WriteJSON(out io.Writer, results []*Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}
