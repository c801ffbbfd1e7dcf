// Command rosemarywing-bench simulates the placement policies in virtual time
// and prints a table of the results. It can also write them as JSON.
package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarywing/rosemarywing/internal/bench"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

type options struct {
	Scenarios []string `long:"scenario" description:"scenario to run; may be repeated (default: all)"`
	Workloads []string `long:"workload" description:"workload to run; may be repeated (default: all)"`
	Policies  []string `long:"policy" description:"policy to run; may be repeated (default: all)"`
	Seeds     int      `long:"seeds" default:"5" description:"number of seeds"`
	Queue     int      `long:"queue" description:"bound of the queue in requests (default: the scheduler's)"`
	Detectors bool     `long:"detectors" description:"compare the detectors of slow upstreams instead"`
	JSON      string   `long:"json" description:"file for the results as JSON"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	if opts.Detectors {
		return bench.CompareDetectors(os.Stdout, opts.Seeds)
	}
	results, err := bench.RunAll(bench.Options{
		Scenarios:         orDefault(opts.Scenarios, bench.Scenarios()),
		Workloads:         orDefault(opts.Workloads, bench.Workloads()),
		Policies:          orDefault(opts.Policies, sched.Policies()),
		SeedCount:         opts.Seeds,
		MaxQueuedRequests: opts.Queue,
		Parallelism:       max(1, runtime.GOMAXPROCS(0)/2),
	})
	if err != nil {
		return err
	}
	if err := writeJSON(opts.JSON, results); err != nil {
		return err
	}
	return bench.WriteTable(os.Stdout, results)
}

func orDefault(selected, defaults []string) []string {
	if len(selected) == 0 {
		return defaults
	}
	return selected
}

func writeJSON(path string, results []*bench.Result) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the JSON file: %w", err)
	}
	if err := bench.WriteJSON(file, results); err != nil {
		return fmt.Errorf("write the JSON file: %w", err)
	}
	return file.Close()
}
