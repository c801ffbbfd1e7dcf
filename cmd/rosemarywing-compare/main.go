// Command rosemarywing-compare measures the placement policies with real entry
// daemons and stand-in engines, and prints a table for docs/load.md. It must be
// run from the root of the repository, since it builds the programs that it uses.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"github.com/rosemarywing/rosemarywing/internal/command"
	"github.com/rosemarywing/rosemarywing/internal/compare"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

type options struct {
	Workloads []string      `long:"workload" description:"workload; repeatable; flottakert and kifaru if not set"`
	Policies  []string      `long:"policy" description:"policy; repeatable; all if not set"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the workload"`
	Duration  time.Duration `long:"duration" default:"90s" description:"modelled duration of the arrivals"`
	Rate      float64       `long:"rate" default:"1" description:"factor of all arrival rates"`
	Burst     float64       `long:"burst" default:"1" description:"factor of the lowest tier's bursts"`
	Speed     float64       `long:"speed" default:"4" description:"modelled seconds per second"`
	Entries   int           `long:"entries" default:"2" description:"entry daemons per failure domain"`
	Settle    time.Duration `long:"settle" default:"3s" description:"time between readiness and the first arrival"`
}

func main() { os.Exit(command.Main(run)) }

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// go-zero would log its statistics to standard output, between the lines of the
	// result table.
	logx.DisableStat()
	dir, err := os.MkdirTemp("", "rosemarywing-compare-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := testbed.Build(".", dir, "rosemarywing-entry", "standin-platform", "standin-engine", "standin-service"); err != nil {
		return err
	}
	if len(opts.Workloads) == 0 {
		opts.Workloads = []string{"flottakert", "kifaru"}
	}
	if len(opts.Policies) == 0 {
		opts.Policies = sched.Policies()
	}
	rows, err := compare.Run(ctx, compare.Options{
		BinDir: dir, SettingsDir: dir, Workloads: opts.Workloads, Policies: opts.Policies, Seed: opts.Seed,
		Duration: opts.Duration, RateFactor: opts.Rate, BurstFactor: opts.Burst, Speed: opts.Speed,
		EntriesPerDomain: opts.Entries, SettleTime: opts.Settle, Progress: os.Stderr,
	})
	if tableErr := compare.WriteTable(os.Stdout, rows); tableErr != nil {
		return tableErr
	}
	return err
}
