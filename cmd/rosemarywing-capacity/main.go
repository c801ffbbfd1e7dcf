// Command rosemarywing-capacity measures the resource usage of an entry instance
// and how it grows with the size of the deployment. docs/CAPACITY.md is based on
// its results.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/capacity"
	"github.com/rosemarywing/rosemarywing/internal/command"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

type options struct {
	Root     string        `long:"root" default:"." description:"root of the repository, from which the programs are built"`
	Bin      string        `long:"bin" description:"directory with the programs; empty builds them"`
	Sizes    []int         `long:"size" description:"number of instances in the series over instances; repeatable; 3, 6, 12 and 24 if not set"`
	Duration time.Duration `long:"duration" default:"20s" description:"duration of each measurement of a series"`
	Settle   time.Duration `long:"settle" default:"25s" description:"time after the start that a series does not measure; members join and the order lease of the first instance expires in it"`
	Runs     int           `long:"runs" default:"3" description:"number of times that everything is measured"`
	Teams    int           `long:"teams" default:"6300" description:"team records in the measurements of spread, joining and latency"`
	JSON     string        `long:"json" description:"file for the report as JSON"`
	Args     struct {
		Parts []string `positional-arg-name:"PART" description:"what to measure: spread, joining, latency, or the name of a series; nothing measures all"`
	} `positional-args:"yes"`
}

func main() { os.Exit(command.Main(run)) }

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if len(opts.Sizes) == 0 {
		opts.Sizes = []int{3, 6, 12, 24}
	}
	dir, err := os.MkdirTemp("", "rosemarywing-capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if opts.Bin == "" {
		opts.Bin = filepath.Join(dir, "bin")
		if err := os.Mkdir(opts.Bin, 0o700); err != nil {
			return err
		}
		if err := testbed.Build(opts.Root, opts.Bin, "rosemarywing-entry", "standin-engine", "standin-platform"); err != nil {
			return err
		}
	}
	report, err := measure(ctx, opts, dir)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil || opts.JSON == "" {
		return err
	}
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(opts.JSON, body, 0o644)
}

// measure runs the selected measurements one after the other.
func measure(ctx context.Context, opts options, dir string) (capacity.Report, error) {
	var report capacity.Report
	var err error
	selected := func(part string) bool { return len(opts.Args.Parts) == 0 || slices.Contains(opts.Args.Parts, part) }
	capacityOptions := capacity.Options{BinDir: opts.Bin, SettingsDir: dir, Sizes: opts.Sizes, Runs: opts.Runs, Teams: opts.Teams}
	if selected("latency") {
		if report.Latencies, err = capacity.MeasureLatencies(ctx, capacityOptions); err != nil {
			return report, err
		}
	}
	if selected("spread") {
		if report.Propagations, err = capacity.MeasurePropagations(ctx, capacityOptions); err != nil {
			return report, err
		}
	}
	if selected("joining") {
		if report.Startups, err = capacity.MeasureStartups(ctx, capacityOptions); err != nil {
			return report, err
		}
	}
	for _, series := range capacity.AllSeries(opts.Sizes) {
		if !selected(series.Name) {
			continue
		}
		fits, err := series.Run(ctx, opts.Bin, dir, opts.Settle, opts.Duration, opts.Runs)
		if err != nil {
			return report, err
		}
		report.Series = append(report.Series, fits)
	}
	return report, nil
}
