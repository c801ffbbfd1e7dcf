// Command rosemarywing-load sends a generated workload to entry daemons and
// reports the results by tier.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/command"
	"github.com/rosemarywing/rosemarywing/internal/load"
	"github.com/rosemarywing/rosemarywing/internal/workload"
)

type options struct {
	Workload string        `long:"workload" default:"flottakert" description:"flottakert or kifaru"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the workload"`
	Duration time.Duration `long:"duration" default:"1m" description:"modelled duration of the arrivals"`
	Rate     float64       `long:"rate" default:"1" description:"factor of all arrival rates"`
	Burst    float64       `long:"burst" default:"1" description:"factor of the lowest tier's bursts"`
	Speed    float64       `long:"speed" default:"1" description:"modelled seconds per second, as given to the engines"`
	Drain    time.Duration `long:"drain" default:"2m" description:"longest wait for answers after the last arrival"`
	Engines  []string      `long:"engine" description:"address of an engine whose log is read; repeatable"`
	JSON     string        `long:"json" description:"file for the report as JSON; - is standard output, in place of the table"`
	Args     struct {
		Entries []string `positional-arg-name:"ENTRY" required:"1" description:"addresses of entry daemons"`
	} `positional-args:"yes"`
}

func main() { os.Exit(command.Main(run)) }

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	profile, err := workload.ProfileByName(opts.Workload)
	if err != nil {
		return err
	}
	arrivals := workload.Generate(profile, workload.Options{
		Seed:        opts.Seed,
		Duration:    opts.Duration,
		RateFactor:  opts.Rate,
		BurstFactor: opts.Burst,
	})
	before, err := load.FetchLogs(ctx, opts.Engines)
	if err != nil {
		return err
	}
	config := load.Config{EntryAddresses: opts.Args.Entries, Seed: opts.Seed, Speed: opts.Speed, DrainTimeout: opts.Drain}
	results, err := load.Run(ctx, config, arrivals)
	if err != nil {
		return err
	}
	// An engine may have crashed during the run; the report is then written
	// without the log of that engine.
	after, err := load.FetchLogs(context.WithoutCancel(ctx), opts.Engines)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	report := load.Report{
		Workload: opts.Workload,
		Seed:     opts.Seed,
		Speed:    opts.Speed,
		Seconds:  opts.Duration.Seconds(),
		Tiers:    load.SummarizeTiers(profile.Tiers, results),
		Prefill:  load.NewPrefillReport(before, after, results),
	}
	return write(opts.JSON, report)
}

func write(path string, report load.Report) error {
	if path == "-" {
		return encode(os.Stdout, report)
	}
	if err := report.WriteTable(os.Stdout); err != nil || path == "" {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := encode(file, report); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func encode(file *os.File, report load.Report) error {
	encoder := json.NewEncoder(file)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
