package workload

import (
	"fmt"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Profile is a named workload and the deployment that it runs on.
type Profile struct {
	Name    string
	Tiers   []Tier
	Teams   []Team
	Classes []Class
	Domains []Domain
	Engines []EngineSpec
}

// Tier is a priority class with its deadline and its bursts.
type Tier struct {
	Name string
	// Priority is higher for requests that are served first.
	Priority int
	Deadline time.Duration
	// BurstEvery and BurstLength are mean durations; the rate is multiplied by
	// BurstFactor during a burst. A factor of zero means no bursts.
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
}

// Team sends a share of the requests.
type Team struct {
	Name  string
	Share float64
}

// Range bounds a length in tokens, which is drawn uniformly on a logarithmic scale.
type Range struct {
	Low, High int
}

// Class is a kind of requests.
type Class struct {
	Name          string
	Tier          string
	Model         string
	Service       string
	RatePerSecond float64
	// Prefix is the length of the shared part; Prompt of the part after it.
	Prefix Range
	Prompt Range
	Output Range
	// Prefixes is the number of different prefixes per team.
	Prefixes int
	Stream   bool
}

// Domain is a failure domain of the deployment.
type Domain struct {
	Name     string
	Region   string
	Services int
}

// EngineSpec is one engine of the deployment.
type EngineSpec struct {
	Name                   string
	Domain                 string
	Models                 []string
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
}

// Names of the tiers, highest first.
const (
	TierHigh   = "high"
	TierNormal = "normal"
	TierLow    = "low"
)

const lowestPriority = 1

// generations are the speeds of three hardware generations, in prefill tokens
// per second and decode tokens per second of a stream that runs alone.
var generations = [][2]float64{{4000, 30}, {8000, 50}, {12000, 70}}

// Named returns the profile with the given name: flottakert or kifaru.
func Named(name string) (Profile, error) {
	switch name {
	case "flottakert":
		return flottakert(), nil
	case "kifaru":
		return kifaru(), nil
	}
	return Profile{}, errkind.New(errkind.BadSettings, "there is no workload %q; there are flottakert and kifaru", name)
}

func (p Profile) tier(name string) Tier {
	for _, tier := range p.Tiers {
		if tier.Name == name {
			return tier
		}
	}
	panic(fmt.Sprintf("profile %s has no tier %s", p.Name, name))
}

// teams returns five teams, of which two send seven tenths of the requests.
func teams(names ...string) []Team {
	shares := []float64{0.35, 0.35, 0.12, 0.10, 0.08}
	list := make([]Team, len(shares))
	for index, share := range shares {
		list[index] = Team{Name: names[index], Share: share}
	}
	return list
}

// engines spreads engines of all generations over the domains. Every third
// engine serves all models, the others one model each.
func engines(count int, domains []Domain, models []string) []EngineSpec {
	specs := make([]EngineSpec, count)
	for index := range specs {
		generation := generations[(index/len(domains))%len(generations)]
		served := models
		if (index/len(domains))%3 != 0 {
			served = []string{models[(index/len(domains))%len(models)]}
		}
		specs[index] = EngineSpec{
			Name:                   fmt.Sprintf("engine-%02d", index+1),
			Domain:                 domains[index%len(domains)].Name,
			Models:                 served,
			PrefillTokensPerSecond: generation[0],
			DecodeTokensPerSecond:  generation[1],
		}
	}
	return specs
}

// flottakert has many short answers with tight deadlines beside long reads.
func flottakert() Profile {
	domains := []Domain{
		{Name: "balaton-north", Region: "balaton", Services: 1},
		{Name: "balaton-south", Region: "balaton", Services: 1},
		{Name: "matra-east", Region: "matra", Services: 1},
	}
	return Profile{
		Name: "flottakert",
		Tiers: []Tier{
			{Name: TierHigh, Priority: 3, Deadline: 2 * time.Second, BurstEvery: 60 * time.Second, BurstLength: 5 * time.Second, BurstFactor: 1.5},
			{Name: TierNormal, Priority: 2, Deadline: 8 * time.Second, BurstEvery: 60 * time.Second, BurstLength: 8 * time.Second, BurstFactor: 2},
			{Name: TierLow, Priority: 1, Deadline: 4 * time.Second, BurstEvery: 40 * time.Second, BurstLength: 10 * time.Second, BurstFactor: 8},
		},
		Teams: teams("fairway", "clubhouse", "marshals", "greens", "events"),
		Classes: []Class{
			{Name: "lock", Tier: TierHigh, Service: "booking", RatePerSecond: 2},
			{Name: "answer", Tier: TierHigh, Model: "assistant", RatePerSecond: 4, Prefix: Range{256, 512}, Prompt: Range{40, 400}, Output: Range{20, 150}, Prefixes: 2, Stream: true},
			{Name: "question", Tier: TierNormal, Model: "assistant", RatePerSecond: 4, Prefix: Range{256, 1024}, Prompt: Range{100, 2000}, Output: Range{60, 500}, Prefixes: 4, Stream: true},
			{Name: "summary", Tier: TierNormal, Model: "reader", RatePerSecond: 0.8, Prefix: Range{2000, 12000}, Prompt: Range{1000, 12000}, Output: Range{200, 1200}, Prefixes: 8, Stream: true},
			{Name: "status", Tier: TierLow, Model: "assistant", RatePerSecond: 6, Prefix: Range{64, 128}, Prompt: Range{40, 300}, Output: Range{12, 60}, Prefixes: 1},
		},
		Domains: domains,
		Engines: engines(12, domains, []string{"assistant", "reader"}),
	}
}

// kifaru has long surveys that share long prefixes, and plans built on them.
func kifaru() Profile {
	domains := []Domain{
		{Name: "nbo-industrial", Region: "nairobi", Services: 1},
		{Name: "nbo-ruaraka", Region: "nairobi", Services: 1},
		{Name: "mba-changamwe", Region: "mombasa", Services: 1},
	}
	return Profile{
		Name: "kifaru",
		Tiers: []Tier{
			{Name: TierHigh, Priority: 3, Deadline: 5 * time.Second, BurstEvery: 90 * time.Second, BurstLength: 5 * time.Second, BurstFactor: 1.5},
			{Name: TierNormal, Priority: 2, Deadline: 15 * time.Second, BurstEvery: 60 * time.Second, BurstLength: 10 * time.Second, BurstFactor: 2},
			{Name: TierLow, Priority: 1, Deadline: 6 * time.Second, BurstEvery: 45 * time.Second, BurstLength: 10 * time.Second, BurstFactor: 8},
		},
		Teams: teams("workshop", "surveyors", "fabric", "delivery", "office"),
		Classes: []Class{
			{Name: "order", Tier: TierHigh, Service: "cutting", RatePerSecond: 1},
			{Name: "plan", Tier: TierHigh, Model: "planner", RatePerSecond: 2, Prefix: Range{1000, 4000}, Prompt: Range{100, 1000}, Output: Range{100, 600}, Prefixes: 6, Stream: true},
			{Name: "survey", Tier: TierNormal, Model: "surveyor", RatePerSecond: 2, Prefix: Range{4000, 16000}, Prompt: Range{200, 4000}, Output: Range{200, 1500}, Prefixes: 12, Stream: true},
			{Name: "chat", Tier: TierNormal, Model: "planner", RatePerSecond: 3, Prefix: Range{256, 1024}, Prompt: Range{60, 1500}, Output: Range{60, 400}, Prefixes: 4, Stream: true},
			{Name: "tag", Tier: TierLow, Model: "planner", RatePerSecond: 6, Prefix: Range{64, 128}, Prompt: Range{40, 300}, Output: Range{12, 60}, Prefixes: 1},
		},
		Domains: domains,
		Engines: engines(18, domains, []string{"planner", "surveyor"}),
	}
}
