// Package compare compares placement policies with real entry daemons. For each
// workload and policy, it starts a deployment with stand-in engines on the loopback
// interface, sends the requests of the workload, and reports the results as a table
// row.
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
	// engineMaxRequests and engineMaxTokens are the batch limits of each engine.
	engineMaxRequests = 32
	engineMaxTokens   = 200_000
	// serviceMaxRequests is the request limit of each plain service upstream.
	serviceMaxRequests = 16
)

// Options configures a comparison.
type Options struct {
	// BinDir is the directory with the programs. SettingsDir is the directory in
	// which each run creates a directory for its settings files.
	BinDir, SettingsDir string
	Workloads           []string
	Policies            []string
	Seed                uint64
	// Duration is the duration of the arrivals in modelled time.
	Duration time.Duration
	// RateFactor and BurstFactor are the factors of the arrival rates and of the
	// lowest tier's bursts; see workload.Options.
	RateFactor, BurstFactor float64
	// Speed is the number of modelled seconds per second of real time.
	Speed float64
	// EntriesPerDomain is the number of entry daemons per failure domain.
	EntriesPerDomain int
	// SettleTime is the time from the readiness of all daemons to the first arrival,
	// so that the daemons can discover each other and receive load reports.
	SettleTime time.Duration
	// Progress receives the report of each run.
	Progress io.Writer
}

// Row is the result of one run: the report of a workload with a policy.
type Row struct {
	Policy string
	load.Report
}

// Run runs every workload with every policy, one after the other. If it fails, it
// returns the error and the rows of the completed runs.
func Run(ctx context.Context, options Options) ([]Row, error) {
	var rows []Row
	for _, name := range options.Workloads {
		profile, err := workload.ProfileByName(name)
		if err != nil {
			return rows, err
		}
		for _, policy := range options.Policies {
			report, err := runPolicy(ctx, options, profile, policy)
			if err != nil {
				return rows, fmt.Errorf("workload %s with policy %s: %w", name, policy, err)
			}
			rows = append(rows, Row{Policy: policy, Report: report})
			_, _ = fmt.Fprintf(options.Progress, "workload %s with policy %s:\n", name, policy)
			if err := report.WriteTable(options.Progress); err != nil {
				return rows, err
			}
		}
	}
	return rows, nil
}

// runPolicy starts a deployment for one workload and policy, sends the workload
// and stops the deployment.
func runPolicy(ctx context.Context, options Options, profile workload.Profile, policy string) (load.Report, error) {
	dir, err := os.MkdirTemp(options.SettingsDir, "run-")
	if err != nil {
		return load.Report{}, err
	}
	spec, err := NewDeploymentSpec(profile, policy, options.Speed, options.EntriesPerDomain)
	if err != nil {
		return load.Report{}, err
	}
	spec.BinDir, spec.SettingsDir = options.BinDir, dir
	cluster, err := testbed.StartCluster(spec)
	if err != nil {
		return load.Report{}, err
	}
	defer cluster.Stop()
	select {
	case <-ctx.Done():
		return load.Report{}, ctx.Err()
	case <-time.After(options.SettleTime):
	}
	arrivals := workload.Generate(profile, workload.Options{
		Seed: options.Seed, Duration: options.Duration, RateFactor: options.RateFactor, BurstFactor: options.BurstFactor,
	})
	return sendWorkload(ctx, options, profile, cluster, arrivals)
}

// sendWorkload sends the requests to the deployment and returns the report. The prefill
// part of the report covers the growth of the engines' logs during the run.
func sendWorkload(ctx context.Context, options Options, profile workload.Profile, cluster *testbed.Cluster, arrivals []workload.Arrival) (load.Report, error) {
	var entries, engines []string
	for _, entry := range cluster.Entries {
		entries = append(entries, entry.Ready["callers"])
	}
	for _, engine := range profile.Engines {
		engines = append(engines, cluster.Upstreams[engine.Name].Ready["address"])
	}
	before, err := load.FetchLogs(ctx, engines)
	if err != nil {
		return load.Report{}, err
	}
	results, err := load.Run(ctx, load.Config{EntryAddresses: entries, Seed: options.Seed, Speed: options.Speed}, arrivals)
	if err != nil {
		return load.Report{}, err
	}
	after, err := load.FetchLogs(ctx, engines)
	if err != nil {
		return load.Report{}, err
	}
	return load.Report{
		Workload: profile.Name, Seed: options.Seed, Speed: options.Speed, Seconds: options.Duration.Seconds(),
		Tiers: load.SummarizeTiers(profile.Tiers, results), Prefill: load.NewPrefillReport(before, after, results),
	}, nil
}

// NewDeploymentSpec returns the specification of a deployment that serves the
// profile. The rates in the engines' records are multiplied by speed, as the rates
// of the engines themselves are.
func NewDeploymentSpec(profile workload.Profile, policy string, speed float64, entriesPerDomain int) (testbed.ClusterSpec, error) {
	spec := testbed.ClusterSpec{
		EntriesPerDomain: entriesPerDomain, Regions: map[string]string{},
		ExtraSettings: map[string][]string{"scheduler": {"policy = " + policy}},
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
			spec.Services = append(spec.Services, testbed.UpstreamSpec{
				Name: fmt.Sprintf("%s-%s-%d", service, domain.Name, number), Domain: domain.Name,
				Record: record.Upstream{Type: record.TypeService, Service: service, MaxRequests: serviceMaxRequests, EchoesRequestID: true},
			})
		}
	}
	for _, engine := range profile.Engines {
		spec.Engines = append(spec.Engines, newEngineSpec(engine, speed))
	}
	var err error
	spec.Records, err = newRecords(profile, models)
	return spec, err
}

func newEngineSpec(engine workload.EngineSpec, speed float64) testbed.UpstreamSpec {
	args := []string{
		"--speed", fmt.Sprint(speed),
		"--prefill", fmt.Sprint(engine.PrefillTokensPerSecond), "--decode", fmt.Sprint(engine.DecodeTokensPerSecond),
		"--max-running", fmt.Sprint(engineMaxRequests), "--max-tokens", fmt.Sprint(engineMaxTokens),
	}
	var versions []string
	for _, model := range engine.Models {
		versions = append(versions, model+"@"+modelVersion)
		args = append(args, "--model", model+"@"+modelVersion)
	}
	return testbed.UpstreamSpec{Name: engine.Name, Domain: engine.Domain, Args: args, Record: record.Upstream{
		Type: record.TypeEngine, Models: versions, MaxRequests: engineMaxRequests, MaxTokens: engineMaxTokens,
		PrefillTokensPerSecond: int(engine.PrefillTokensPerSecond * speed),
		DecodeTokensPerSecond:  int(engine.DecodeTokensPerSecond * speed),
		EchoesRequestID:        true,
	}}
}

// newRecords returns the records of the tiers, teams and models.
func newRecords(profile workload.Profile, models map[string]bool) ([]record.Envelope, error) {
	var envelopes []record.Envelope
	add := func(kind record.Kind, name string, spec any) error {
		body, err := json.Marshal(spec)
		envelopes = append(envelopes, record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: body})
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
	return envelopes, nil
}
