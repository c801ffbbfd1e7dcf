package workload

import (
	"fmt"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Profile describes a named workload and the deployment that serves it.
type Profile struct {
	Name    string
	Tiers   []Tier
	Teams   []Team
	Classes []RequestClass
	Domains []Domain
	Engines []EngineSpec
}

// Tier is a priority class of requests.
type Tier struct {
	Name string
	// Priority is higher for more important tiers.
	Priority int
	Deadline time.Duration
	// BurstInterval is the mean time from the end of a burst to the start of the
	// next, and BurstDuration the mean length of a burst. The arrival rate is
	// multiplied by BurstFactor during a burst; zero means no bursts.
	BurstInterval time.Duration
	BurstDuration time.Duration
	BurstFactor   float64
}

// Team is a team and its relative share of the requests.
type Team struct {
	Name  string
	Share float64
}

// TokenRange holds the bounds of a log-uniformly distributed number of tokens.
type TokenRange struct {
	Min, Max int
}

// RequestClass describes requests with the same tier, target and size distribution.
type RequestClass struct {
	Name          string
	Tier          string
	Model         string
	Service       string
	RatePerSecond float64
	// A prompt consists of a shared prefix and a suffix of its own.
	PrefixTokens TokenRange
	SuffixTokens TokenRange
	OutputTokens TokenRange
	// PrefixCount is the number of different prefixes per team.
	PrefixCount int
	Stream      bool
}

// Domain is a failure domain and its number of plain service upstreams.
type Domain struct {
	Name             string
	Region           string
	ServiceUpstreams int
}

// EngineSpec describes an inference engine of the deployment.
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

// hardwareGenerations holds prefill tokens per second and decode tokens per
// second of a single stream for each of three hardware generations.
var hardwareGenerations = [][2]float64{{4000, 30}, {8000, 50}, {12000, 70}}

// ProfileByName returns the profile with the given name, flottakert or kifaru.
func ProfileByName(name string) (Profile, error) {
	switch name {
	case "flottakert":
		return flottakert(), nil
	case "kifaru":
		return kifaru(), nil
	}
	return Profile{}, errkind.New(errkind.BadSettings, "unknown workload %q; expected flottakert or kifaru", name)
}

func (p Profile) mustFindTier(name string) Tier {
	for _, tier := range p.Tiers {
		if tier.Name == name {
			return tier
		}
	}
	panic(fmt.Sprintf("profile %s has no tier %s", p.Name, name))
}

// newTeams returns five teams, two of which send 70 % of the requests.
func newTeams(names ...string) []Team {
	shares := []float64{0.35, 0.35, 0.12, 0.10, 0.08}
	teams := make([]Team, len(shares))
	for index, share := range shares {
		teams[index] = Team{Name: names[index], Share: share}
	}
	return teams
}

// newEngineSpecs distributes engines of all hardware generations over the
// domains. In each domain, every third engine serves all models, the others one
// model each.
func newEngineSpecs(count int, domains []Domain, allModels []string) []EngineSpec {
	specs := make([]EngineSpec, count)
	for index := range specs {
		generation := hardwareGenerations[(index/len(domains))%len(hardwareGenerations)]
		models := allModels
		if (index/len(domains))%3 != 0 {
			models = []string{allModels[(index/len(domains))%len(allModels)]}
		}
		specs[index] = EngineSpec{
			Name:                   fmt.Sprintf("engine-%02d", index+1),
			Domain:                 domains[index%len(domains)].Name,
			Models:                 models,
			PrefillTokensPerSecond: generation[0],
			DecodeTokensPerSecond:  generation[1],
		}
	}
	return specs
}

// flottakert mixes many short requests that have tight deadlines with requests
// that have long prompts.
func flottakert() Profile {
	domains := []Domain{
		{Name: "balaton-north", Region: "balaton", ServiceUpstreams: 1},
		{Name: "balaton-south", Region: "balaton", ServiceUpstreams: 1},
		{Name: "matra-east", Region: "matra", ServiceUpstreams: 1},
	}
	return Profile{
		Name: "flottakert",
		Tiers: []Tier{
			{Name: TierHigh, Priority: 3, Deadline: 2 * time.Second, BurstInterval: 60 * time.Second, BurstDuration: 5 * time.Second, BurstFactor: 1.5},
			{Name: TierNormal, Priority: 2, Deadline: 8 * time.Second, BurstInterval: 60 * time.Second, BurstDuration: 8 * time.Second, BurstFactor: 2},
			{Name: TierLow, Priority: 1, Deadline: 4 * time.Second, BurstInterval: 40 * time.Second, BurstDuration: 10 * time.Second, BurstFactor: 8},
		},
		Teams: newTeams("fairway", "clubhouse", "marshals", "greens", "events"),
		Classes: []RequestClass{
			{Name: "lock", Tier: TierHigh, Service: "booking", RatePerSecond: 2},
			{Name: "answer", Tier: TierHigh, Model: "assistant", RatePerSecond: 4, PrefixTokens: TokenRange{256, 512}, SuffixTokens: TokenRange{40, 400}, OutputTokens: TokenRange{20, 150}, PrefixCount: 2, Stream: true},
			{Name: "question", Tier: TierNormal, Model: "assistant", RatePerSecond: 4, PrefixTokens: TokenRange{256, 1024}, SuffixTokens: TokenRange{100, 2000}, OutputTokens: TokenRange{60, 500}, PrefixCount: 4, Stream: true},
			{Name: "summary", Tier: TierNormal, Model: "reader", RatePerSecond: 0.8, PrefixTokens: TokenRange{2000, 12000}, SuffixTokens: TokenRange{1000, 12000}, OutputTokens: TokenRange{200, 1200}, PrefixCount: 8, Stream: true},
			{Name: "status", Tier: TierLow, Model: "assistant", RatePerSecond: 6, PrefixTokens: TokenRange{64, 128}, SuffixTokens: TokenRange{40, 300}, OutputTokens: TokenRange{12, 60}, PrefixCount: 1},
		},
		Domains: domains,
		Engines: newEngineSpecs(12, domains, []string{"assistant", "reader"}),
	}
}

// kifaru mixes requests that share long prefixes with short and with high-priority
// requests.
func kifaru() Profile {
	domains := []Domain{
		{Name: "nbo-industrial", Region: "nairobi", ServiceUpstreams: 1},
		{Name: "nbo-ruaraka", Region: "nairobi", ServiceUpstreams: 1},
		{Name: "mba-changamwe", Region: "mombasa", ServiceUpstreams: 1},
	}
	return Profile{
		Name: "kifaru",
		Tiers: []Tier{
			{Name: TierHigh, Priority: 3, Deadline: 5 * time.Second, BurstInterval: 90 * time.Second, BurstDuration: 5 * time.Second, BurstFactor: 1.5},
			{Name: TierNormal, Priority: 2, Deadline: 15 * time.Second, BurstInterval: 60 * time.Second, BurstDuration: 10 * time.Second, BurstFactor: 2},
			{Name: TierLow, Priority: 1, Deadline: 6 * time.Second, BurstInterval: 45 * time.Second, BurstDuration: 10 * time.Second, BurstFactor: 8},
		},
		Teams: newTeams("workshop", "surveyors", "fabric", "delivery", "office"),
		Classes: []RequestClass{
			{Name: "order", Tier: TierHigh, Service: "cutting", RatePerSecond: 1},
			{Name: "plan", Tier: TierHigh, Model: "planner", RatePerSecond: 2, PrefixTokens: TokenRange{1000, 4000}, SuffixTokens: TokenRange{100, 1000}, OutputTokens: TokenRange{100, 600}, PrefixCount: 6, Stream: true},
			{Name: "survey", Tier: TierNormal, Model: "surveyor", RatePerSecond: 2, PrefixTokens: TokenRange{4000, 16000}, SuffixTokens: TokenRange{200, 4000}, OutputTokens: TokenRange{200, 1500}, PrefixCount: 12, Stream: true},
			{Name: "chat", Tier: TierNormal, Model: "planner", RatePerSecond: 3, PrefixTokens: TokenRange{256, 1024}, SuffixTokens: TokenRange{60, 1500}, OutputTokens: TokenRange{60, 400}, PrefixCount: 4, Stream: true},
			{Name: "tag", Tier: TierLow, Model: "planner", RatePerSecond: 6, PrefixTokens: TokenRange{64, 128}, SuffixTokens: TokenRange{40, 300}, OutputTokens: TokenRange{12, 60}, PrefixCount: 1},
		},
		Domains: domains,
		Engines: newEngineSpecs(18, domains, []string{"planner", "surveyor"}),
	}
}
