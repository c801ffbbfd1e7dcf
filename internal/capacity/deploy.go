package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

const (
	domain = "domain-0"
	team   = "desk"
	// tiers is the number of tiers at the target size.
	tiers = 3
	// unlimited is the rate in tokens/s of an engine that takes no time. With a
	// lower rate in its record the scheduler would pace requests to that rate.
	unlimited = 10_000_000
)

// Shape is the size of a deployment and the work that it is given.
type Shape struct {
	Instances int `json:"instances"`
	// Engines is the number of engines that run. Each is a pool of its own
	// unless OnePool is set.
	Engines int  `json:"engines"`
	OnePool bool `json:"onePool,omitempty"`
	// Teams is the number of team records beyond the one that sends requests.
	Teams int `json:"teams,omitempty"`
	// Rate is requests per second over all instances, Tokens the length of each
	// streamed answer, which is the number of its events.
	Rate   float64 `json:"rate,omitempty"`
	Tokens int     `json:"tokens,omitempty"`
	// Keyed gives each request a key of the caller, which is claimed in the platform.
	Keyed bool `json:"keyed,omitempty"`
	// Changes is the number of configuration changes per second.
	Changes float64 `json:"changes,omitempty"`
}

func model(pool int) string { return fmt.Sprintf("model-%d", pool) }

func (s Shape) pool(engine int) int {
	if s.OnePool {
		return 0
	}
	return engine
}

func (s Shape) pools() int {
	if s.OnePool {
		return min(1, s.Engines)
	}
	return s.Engines
}

// Start starts the deployment with programs from bin.
func Start(bin, dir string, shape Shape) (*testbed.Cluster, error) {
	dir, err := os.MkdirTemp(dir, "capacity")
	if err != nil {
		return nil, err
	}
	spec := testbed.Spec{Bin: bin, Dir: dir, Domains: []string{domain}, Entries: shape.Instances}
	for i := range shape.Engines {
		version := model(shape.pool(i)) + "@1"
		spec.Engines = append(spec.Engines, testbed.Engine{
			Name: fmt.Sprintf("engine-%d", i), Domain: domain, Args: []string{"--model", version, "--speed", "0"},
			Record: record.Upstream{
				Type: record.TypeEngine, Models: []string{version}, MaxRequests: 32, MaxTokens: 200_000,
				PrefillTokensPerSecond: unlimited, DecodeTokensPerSecond: unlimited, EchoesRequestID: true,
			},
		})
	}
	spec.Records, err = records(shape)
	if err != nil {
		return nil, err
	}
	return testbed.StartCluster(spec)
}

func records(shape Shape) ([]record.Envelope, error) {
	var out []record.Envelope
	var failed error
	add := func(kind record.Kind, name string, spec any) {
		raw, err := json.Marshal(spec)
		if err != nil {
			failed = err
		}
		out = append(out, record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw})
	}
	for priority := 1; priority <= tiers; priority++ {
		add(record.KindTier, fmt.Sprintf("tier-%d", priority), record.Tier{Priority: priority, DeadlineMs: 30_000})
	}
	add(record.KindTeam, team, record.Team{Weight: 1, DefaultTier: "tier-1", HighestTier: "tier-3"})
	for i := range shape.Teams {
		add(record.KindTeam, fmt.Sprintf("team-%d", i), teamRecord(i))
	}
	for i := range shape.pools() {
		add(record.KindModel, model(i), record.Model{Versions: []string{"1"}})
	}
	return out, failed
}

// teamRecord has one key, as a team at the target size has.
func teamRecord(number int) record.Team {
	sum := sha256.Sum256(fmt.Append(nil, "key-", number))
	return record.Team{
		KeySHA256: []string{hex.EncodeToString(sum[:])}, Weight: 1,
		DefaultTier: "tier-1", HighestTier: "tier-3",
	}
}
