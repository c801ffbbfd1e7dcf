package capacity

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// Report holds the results of one run of the command.
type Report struct {
	Series       []SeriesResult `json:"series,omitempty"`
	Propagations []Propagation  `json:"spreads,omitempty"`
	Startups     []Startup      `json:"joinings,omitempty"`
	Latencies    []Latency      `json:"latencies,omitempty"`
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Options are the parameters of the measurements.
type Options struct {
	// BinDir is the directory of the compiled programs, and SettingsDir the directory
	// to which the settings files of the entries are written.
	BinDir, SettingsDir string
	// Sizes holds the numbers of instances to measure with.
	Sizes []int
	Runs  int
	// Teams is the number of team records in the propagation, startup and latency
	// measurements.
	Teams int
}

const (
	propagationChanges = 20
	// disconnectedChanges is smaller than propagationChanges, because each change may
	// take the full waitLimit.
	disconnectedChanges = 2
	startupsPerRun      = 7
	latencyRequests     = 600
	latencyConcurrency  = 32
)

// MeasurePropagations measures how long configuration changes take to reach all
// instances of the largest deployment, first without faults, then while both watchers
// are cut off from the platform.
func MeasurePropagations(ctx context.Context, opts Options) ([]Propagation, error) {
	var results []Propagation
	for range opts.Runs {
		scenario := Scenario{Instances: slices.Max(opts.Sizes), Engines: 1, Teams: opts.Teams}
		c, err := Start(opts.BinDir, opts.SettingsDir, scenario)
		if err != nil {
			return results, err
		}
		propagations, err := measureClusterPropagation(ctx, c, opts.Teams)
		c.Stop()
		results = append(results, propagations...)
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

func measureClusterPropagation(ctx context.Context, c *testbed.Cluster, teams int) ([]Propagation, error) {
	if err := sleep(ctx, membershipSettleTime); err != nil {
		return nil, err
	}
	idle, err := MeasurePropagation(ctx, c, "idle", teams, propagationChanges)
	if err != nil {
		return nil, err
	}
	watcherEntries := Watchers(c)
	setPlatformLinks(watcherEntries, testbed.CutBoth)
	defer setPlatformLinks(watcherEntries, testbed.CutNone)
	name := fmt.Sprintf("%d watchers cut", len(watcherEntries))
	disconnected, err := MeasurePropagation(ctx, c, name, teams, disconnectedChanges)
	return []Propagation{idle, disconnected}, err
}

// MeasureStartups measures the startup time of an instance without and with team
// records.
func MeasureStartups(ctx context.Context, opts Options) ([]Startup, error) {
	var results []Startup
	for range opts.Runs {
		for _, teams := range []int{0, opts.Teams} {
			c, err := Start(opts.BinDir, opts.SettingsDir, Scenario{Instances: 6, Engines: 1, Teams: teams})
			if err != nil {
				return results, err
			}
			startup, err := MeasureStartup(ctx, c, teams, startupsPerRun)
			c.Stop()
			if err != nil {
				return results, err
			}
			results = append(results, startup)
		}
	}
	return results, nil
}

// MeasureLatencies measures the latency that an entry adds to a request.
func MeasureLatencies(ctx context.Context, opts Options) ([]Latency, error) {
	c, err := Start(opts.BinDir, opts.SettingsDir, Scenario{Instances: 6, Engines: 1, Teams: opts.Teams})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	if err := sleep(ctx, membershipSettleTime); err != nil {
		return nil, err
	}
	var results []Latency
	for range opts.Runs {
		for _, parallel := range []int{1, latencyConcurrency} {
			latency, err := MeasureLatency(ctx, c.Entries[0], c.Upstreams["engine-0"], latencyRequests, parallel)
			if err != nil {
				return results, err
			}
			results = append(results, latency)
		}
	}
	return results, nil
}

// WriteTable writes one line for each measurement, then the tables of the series.
func (r Report) WriteTable(out io.Writer) error {
	for _, s := range r.Propagations {
		_, _ = fmt.Fprintf(out, "propagation %q, %d instances, %d teams: %d changes, median %.1f ms, max %.1f ms, %d late; burst of %d changes written in %.0f ms, in effect %.1f ms after the last write\n",
			s.Name, s.Instances, s.Teams, s.Changes, s.MedianMs, s.WorstMs, s.Late, burstChanges, s.BurstWriteMs, s.BurstMs)
	}
	for _, j := range r.Startups {
		_, _ = fmt.Fprintf(out, "startup with %d teams, %d starts: ready median %.0f ms, max %.0f ms; first response median %.0f ms, max %.0f ms\n",
			j.Teams, j.Starts, j.ReadyMedianMs, j.ReadyWorstMs, j.ServedMedianMs, j.ServedWorstMs)
	}
	for _, l := range r.Latencies {
		_, _ = fmt.Fprintf(out, "latency, %d in parallel, %d requests, %d failed: direct p50 %.2f ms, p99 %.2f ms; through an entry p50 %.2f ms, p99 %.2f ms\n",
			l.Parallel, l.Requests, l.Failed, l.DirectP50Ms, l.DirectP99Ms, l.EntryP50Ms, l.EntryP99Ms)
	}
	for _, result := range r.Series {
		if err := result.WriteTable(out); err != nil {
			return err
		}
	}
	return nil
}
