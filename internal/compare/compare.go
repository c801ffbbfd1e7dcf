// Package compare measures placement policies on real entry daemons: for each
// workload and policy it starts the workload's deployment with stand-in engines
// on the loopback interface, runs the same arrivals and reports one row.
package compare

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/load"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/internal/workload"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

const (
	// modelVersion is the only version of each model.
	modelVersion = "1"
	// engineRequests and engineTokens are the limits of the stand-in's batch.
	engineRequests = 32
	engineTokens   = 200_000
	// serviceRequests is the limit of a service.
	serviceRequests = 16
)

// Options configure a comparison.
type Options struct {
	// Bin is the directory with the programs; Dir is one for settings files.
	Bin, Dir  string
	Workloads []string
	Policies  []string
	Seed      uint64
	// Duration is the modelled duration of the arrivals.
	Duration time.Duration
	// Rate and Burst are the factors of workload.Options.
	Rate, Burst float64
	// Speed is modelled seconds per second.
	Speed float64
	// Entries is the number of entry daemons per failure domain.
	Entries int
	// Settle is the time between the readiness of all daemons and the first
	// arrival, in which the daemons learn of each other and of the load.
	Settle time.Duration
	// Progress receives one line per run.
	Progress io.Writer
}

// Row is the result of one run.
type Row struct {
	Policy string
	load.Report
}

// Run measures every policy under every workload, one after the other, and
// returns the rows that it has when it fails.
func Run(ctx context.Context, options Options) ([]Row, error) {
	var rows []Row
	for _, name := range options.Workloads {
		profile, err := workload.Named(name)
		if err != nil {
			return rows, err
		}
		for _, policy := range options.Policies {
			report, err := measure(ctx, options, profile, policy)
			if err != nil {
				return rows, fmt.Errorf("%s with %s: %w", name, policy, err)
			}
			rows = append(rows, Row{Policy: policy, Report: report})
			_, _ = fmt.Fprintf(options.Progress, "%s with %s:\n", name, policy)
			if err := report.WriteTable(options.Progress); err != nil {
				return rows, err
			}
		}
	}
	return rows, nil
}

// measure runs one workload with one policy on a deployment of its own.
func measure(ctx context.Context, options Options, profile workload.Profile, policy string) (load.Report, error) {
	dir, err := os.MkdirTemp(options.Dir, "run-")
	if err != nil {
		return load.Report{}, err
	}
	spec, err := Deployment(profile, policy, options.Speed, options.Entries)
	if err != nil {
		return load.Report{}, err
	}
	spec.Bin, spec.Dir = options.Bin, dir
	cluster, err := testbed.StartCluster(spec)
	if err != nil {
		return load.Report{}, err
	}
	defer cluster.Stop()
	select {
	case <-ctx.Done():
		return load.Report{}, ctx.Err()
	case <-time.After(options.Settle):
	}
	arrivals := workload.Generate(profile, workload.Options{
		Seed: options.Seed, Duration: options.Duration, Rate: options.Rate, BurstFactor: options.Burst,
	})
	return drive(ctx, options, profile, cluster, arrivals)
}

func drive(ctx context.Context, options Options, profile workload.Profile, cluster *testbed.Cluster, arrivals []workload.Arrival) (load.Report, error) {
	var entries, engines []string
	for _, entry := range cluster.Entries {
		entries = append(entries, entry.Ready["callers"])
	}
	for _, engine := range profile.Engines {
		engines = append(engines, cluster.Upstreams[engine.Name].Ready["address"])
	}
	before, err := load.Logs(ctx, engines)
	if err != nil {
		return load.Report{}, err
	}
	results, err := load.Run(ctx, load.Config{Entries: entries, Seed: options.Seed, Speed: options.Speed}, arrivals)
	if err != nil {
		return load.Report{}, err
	}
	after, err := load.Logs(ctx, engines)
	if err != nil {
		return load.Report{}, err
	}
	return load.Report{
		Workload: profile.Name, Seed: options.Seed, Speed: options.Speed, Seconds: options.Duration.Seconds(),
		Tiers: load.Tiers(profile.Tiers, results), Prefill: load.Prefill(before, after, results),
	}, nil
}

// Deployment returns the deployment of a profile. The engines' rates in the
// records are multiplied by the speed, as the engines' own are.
func Deployment(profile workload.Profile, policy string, speed float64, entries int) (testbed.Spec, error) {
	spec := testbed.Spec{
		Entries: entries, Regions: map[string]string{},
		Settings: map[string][]string{"scheduler": {"policy = " + policy}},
	}
	service := ""
	models := map[string]bool{}
	for _, class := range profile.Classes {
		if class.Service != "" {
			service = class.Service
			continue
		}
		models[class.Model] = true
	}
	for _, domain := range profile.Domains {
		spec.Domains = append(spec.Domains, domain.Name)
		spec.Regions[domain.Name] = domain.Region
		for number := range domain.ServiceUpstreams {
			spec.Services = append(spec.Services, testbed.Engine{
				Name: fmt.Sprintf("%s-%s-%d", service, domain.Name, number), Domain: domain.Name,
				Record: record.Upstream{Type: record.TypeService, Service: service, MaxRequests: serviceRequests, EchoesRequestID: true},
			})
		}
	}
	for _, engine := range profile.Engines {
		spec.Engines = append(spec.Engines, engineOf(engine, speed))
	}
	var err error
	spec.Records, err = records(profile, models)
	return spec, err
}

func engineOf(engine workload.EngineSpec, speed float64) testbed.Engine {
	args := []string{
		"--speed", fmt.Sprint(speed),
		"--prefill", fmt.Sprint(engine.PrefillTokensPerSecond), "--decode", fmt.Sprint(engine.DecodeTokensPerSecond),
		"--max-running", fmt.Sprint(engineRequests), "--max-tokens", fmt.Sprint(engineTokens),
	}
	var versions []string
	for _, model := range engine.Models {
		versions = append(versions, model+"@"+modelVersion)
		args = append(args, "--model", model+"@"+modelVersion)
	}
	return testbed.Engine{Name: engine.Name, Domain: engine.Domain, Args: args, Record: record.Upstream{
		Type: record.TypeEngine, Models: versions, MaxRequests: engineRequests, MaxTokens: engineTokens,
		PrefillTokensPerSecond: int(engine.PrefillTokensPerSecond * speed),
		DecodeTokensPerSecond:  int(engine.DecodeTokensPerSecond * speed),
		EchoesRequestID:        true,
	}}
}

// records returns the records of the tiers, teams and models.
func records(profile workload.Profile, models map[string]bool) ([]record.Envelope, error) {
	var list []record.Envelope
	add := func(kind record.Kind, name string, spec any) error {
		body, err := json.Marshal(spec)
		list = append(list, record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: body})
		return err
	}
	byPriority := func(a, b workload.Tier) int { return a.Priority - b.Priority }
	lowest := slices.MinFunc(profile.Tiers, byPriority)
	highest := slices.MaxFunc(profile.Tiers, byPriority)
	for _, tier := range profile.Tiers {
		if err := add(record.KindTier, tier.Name, record.Tier{Priority: tier.Priority, DeadlineMs: int(tier.Deadline.Milliseconds())}); err != nil {
			return nil, err
		}
	}
	for _, team := range profile.Teams {
		if err := add(record.KindTeam, team.Name, record.Team{Weight: 1, DefaultTier: lowest.Name, HighestTier: highest.Name}); err != nil {
			return nil, err
		}
	}
	for model := range models {
		if err := add(record.KindModel, model, record.Model{Versions: []string{modelVersion}}); err != nil {
			return nil, err
		}
	}
	return list, nil
}
