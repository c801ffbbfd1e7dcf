// Command rosemarywing-bench compares the placement policies on virtual time
// and prints a table, and optionally JSON.
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
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Detectors {
		return bench.CompareDetectors(os.Stdout, o.Seeds)
	}
	results, err := bench.RunAll(bench.Options{
		Scenarios: orAll(o.Scenarios, bench.Scenarios()),
		Workloads: orAll(o.Workloads, bench.Workloads()),
		Policies:  orAll(o.Policies, sched.Policies()),
		Seeds:     o.Seeds,
		Queue:     o.Queue,
		Parallel:  max(1, runtime.GOMAXPROCS(0)/2),
	})
	if err != nil {
		return err
	}
	if err := writeJSON(o.JSON, results); err != nil {
		return err
	}
	return bench.WriteTable(os.Stdout, results)
}

func orAll(chosen, all []string) []string {
	if len(chosen) == 0 {
		return all
	}
	return chosen
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
