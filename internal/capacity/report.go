package capacity

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// Report is what a run of the command measured.
type Report struct {
	Series    []Fits    `json:"series,omitempty"`
	Spreads   []Spread  `json:"spreads,omitempty"`
	Joinings  []Joining `json:"joinings,omitempty"`
	Latencies []Latency `json:"latencies,omitempty"`
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Options choose what is measured.
type Options struct {
	Bin, Dir string
	Sizes    []int
	Duration time.Duration
	Runs     int
	// Teams is the number of team records in the spread and joining measurements.
	Teams int
}

const (
	spreadChanges = 20
	// cutChanges is smaller, because each change may cost the whole limit.
	cutChanges      = 2
	joins           = 7
	latencyRequests = 600
	latencyParallel = 32
)

// Spreads measures single changes and a burst on the largest deployment, then
// a few changes while both watchers are cut from the platform.
func Spreads(ctx context.Context, opts Options) ([]Spread, error) {
	var out []Spread
	for range opts.Runs {
		shape := Shape{Instances: slices.Max(opts.Sizes), Engines: 1, Teams: opts.Teams}
		c, err := Start(opts.Bin, opts.Dir, shape)
		if err != nil {
			return out, err
		}
		spreads, err := spreadsOf(ctx, c, opts.Teams)
		c.Stop()
		out = append(out, spreads...)
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

func spreadsOf(ctx context.Context, c *testbed.Cluster, teams int) ([]Spread, error) {
	if err := wait(ctx, settle); err != nil {
		return nil, err
	}
	idle, err := MeasureSpread(ctx, c, "idle", teams, spreadChanges)
	if err != nil {
		return nil, err
	}
	watching := Watchers(c)
	cut(watching, testbed.Both)
	defer cut(watching, testbed.Open)
	name := fmt.Sprintf("%d watchers cut", len(watching))
	alone, err := MeasureSpread(ctx, c, name, teams, cutChanges)
	return []Spread{idle, alone}, err
}

// Joinings measures the start of an instance without and with team records.
func Joinings(ctx context.Context, opts Options) ([]Joining, error) {
	var out []Joining
	for range opts.Runs {
		for _, teams := range []int{0, opts.Teams} {
			c, err := Start(opts.Bin, opts.Dir, Shape{Instances: 6, Engines: 1, Teams: teams})
			if err != nil {
				return out, err
			}
			j, err := MeasureJoining(ctx, c, teams, joins)
			c.Stop()
			if err != nil {
				return out, err
			}
			out = append(out, j)
		}
	}
	return out, nil
}

// Latencies measures what an entry adds to a request.
func Latencies(ctx context.Context, opts Options) ([]Latency, error) {
	c, err := Start(opts.Bin, opts.Dir, Shape{Instances: 6, Engines: 1, Teams: opts.Teams})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	if err := wait(ctx, settle); err != nil {
		return nil, err
	}
	var out []Latency
	for range opts.Runs {
		for _, parallel := range []int{1, latencyParallel} {
			l, err := MeasureLatency(ctx, c.Entries[0], c.Upstreams["engine-0"], latencyRequests, parallel)
			if err != nil {
				return out, err
			}
			out = append(out, l)
		}
	}
	return out, nil
}

// WriteTable writes everything but the series as tables.
func (r Report) WriteTable(out io.Writer) error {
	for _, s := range r.Spreads {
		_, _ = fmt.Fprintf(out, "spread %q, %d instances, %d teams: %d changes, median %.1f ms, worst %.1f ms, late %d; burst of %d written in %.0f ms, shown %.1f ms after the last write\n",
			s.Name, s.Instances, s.Teams, s.Changes, s.MedianMs, s.WorstMs, s.Late, burst, s.BurstWriteMs, s.BurstMs)
	}
	for _, j := range r.Joinings {
		_, _ = fmt.Fprintf(out, "joining with %d teams, %d starts: ready median %.0f ms, worst %.0f ms; served median %.0f ms, worst %.0f ms\n",
			j.Teams, j.Starts, j.ReadyMedianMs, j.ReadyWorstMs, j.ServedMedianMs, j.ServedWorstMs)
	}
	for _, l := range r.Latencies {
		_, _ = fmt.Fprintf(out, "latency, %d at a time, %d requests, %d failed: direct p50 %.2f ms, p99 %.2f ms; through an entry p50 %.2f ms, p99 %.2f ms\n",
			l.Parallel, l.Requests, l.Failed, l.DirectP50Ms, l.DirectP99Ms, l.EntryP50Ms, l.EntryP99Ms)
	}
	for _, fits := range r.Series {
		if err := fits.WriteTable(out); err != nil {
			return err
		}
	}
	return nil
}
