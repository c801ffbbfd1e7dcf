// Command rosemarywing-compare measures the placement policies with real entry
// daemons and stand-in engines, and prints a table for docs/load.md. It is run
// from the root of the repository.
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

type flagSet struct {
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

func run(chosen flagSet) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The statistics lines of the HTTP library would end up in the table.
	logx.DisableStat()
	dir, err := os.MkdirTemp("", "rosemarywing-compare-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := testbed.Build(".", dir, "rosemarywing-entry", "standin-platform", "standin-engine", "standin-service"); err != nil {
		return err
	}
	if len(chosen.Workloads) == 0 {
		chosen.Workloads = []string{"flottakert", "kifaru"}
	}
	if len(chosen.Policies) == 0 {
		chosen.Policies = sched.Policies()
	}
	rows, err := compare.Run(ctx, compare.Options{
		Bin: dir, Dir: dir, Workloads: chosen.Workloads, Policies: chosen.Policies, Seed: chosen.Seed,
		Duration: chosen.Duration, Rate: chosen.Rate, Burst: chosen.Burst, Speed: chosen.Speed,
		Entries: chosen.Entries, Settle: chosen.Settle, Progress: os.Stderr,
	})
	if tableErr := compare.WriteTable(os.Stdout, rows); tableErr != nil {
		return tableErr
	}
	return err
}
