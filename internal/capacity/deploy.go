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
	domainName = "domain-0"
	senderTeam = "desk"
	// tierCount is the number of tiers of a deployment of the target size.
	tierCount = 3
	// unlimitedTokensPerSecond is the rate of an engine that generates without delay.
	// With a lower rate in the engine's record, the scheduler would limit requests to
	// that rate.
	unlimitedTokensPerSecond = 10_000_000
)

// Scenario is the size of a deployment and the load on it.
type Scenario struct {
	Instances int `json:"instances"`
	// Engines is the number of engines that run. Each is a pool of its own
	// unless OnePool is set.
	Engines int  `json:"engines"`
	OnePool bool `json:"onePool,omitempty"`
	// Teams is the number of team records, without that of the team that sends requests.
	Teams int `json:"teams,omitempty"`
	// Rate is the number of requests per second over all instances. Tokens is the
	// number of tokens, and of events, of each streamed response.
	Rate   float64 `json:"rate,omitempty"`
	Tokens int     `json:"tokens,omitempty"`
	// Keyed sends each request with an idempotency key, which is claimed in the platform.
	Keyed bool `json:"keyed,omitempty"`
	// Changes is the number of configuration changes per second.
	Changes float64 `json:"changes,omitempty"`
}

func modelName(pool int) string { return fmt.Sprintf("model-%d", pool) }

func (s Scenario) poolOf(engine int) int {
	if s.OnePool {
		return 0
	}
	return engine
}

func (s Scenario) poolCount() int {
	if s.OnePool {
		return min(1, s.Engines)
	}
	return s.Engines
}

// Start starts the deployment of the scenario with the programs in bin.
func Start(bin, dir string, scenario Scenario) (*testbed.Cluster, error) {
	dir, err := os.MkdirTemp(dir, "capacity")
	if err != nil {
		return nil, err
	}
	spec := testbed.ClusterSpec{BinDir: bin, SettingsDir: dir, Domains: []string{domainName}, EntriesPerDomain: scenario.Instances}
	for i := range scenario.Engines {
		version := modelName(scenario.poolOf(i)) + "@1"
		spec.Engines = append(spec.Engines, testbed.UpstreamSpec{
			Name: fmt.Sprintf("engine-%d", i), Domain: domainName, Args: []string{"--model", version, "--speed", "0"},
			Record: record.Upstream{
				Type: record.TypeEngine, Models: []string{version}, MaxRequests: 32, MaxTokens: 200_000,
				PrefillTokensPerSecond: unlimitedTokensPerSecond, DecodeTokensPerSecond: unlimitedTokensPerSecond, EchoesRequestID: true,
			},
		})
	}
	spec.Records, err = configRecords(scenario)
	if err != nil {
		return nil, err
	}
	return testbed.StartCluster(spec)
}

func configRecords(scenario Scenario) ([]record.Envelope, error) {
	var envelopes []record.Envelope
	var marshalErr error
	add := func(kind record.Kind, name string, spec any) {
		raw, err := json.Marshal(spec)
		if err != nil {
			marshalErr = err
		}
		envelopes = append(envelopes, record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw})
	}
	for priority := 1; priority <= tierCount; priority++ {
		add(record.KindTier, fmt.Sprintf("tier-%d", priority), record.Tier{Priority: priority, DeadlineMs: 30_000})
	}
	add(record.KindTeam, senderTeam, record.Team{Weight: 1, DefaultTier: "tier-1", HighestTier: "tier-3"})
	for i := range scenario.Teams {
		add(record.KindTeam, fmt.Sprintf("team-%d", i), teamRecord(i))
	}
	for i := range scenario.poolCount() {
		add(record.KindModel, modelName(i), record.Model{Versions: []string{"1"}})
	}
	return envelopes, marshalErr
}

// teamRecord returns a team with one key, as teams of a deployment of the target size
// have.
func teamRecord(number int) record.Team {
	sum := sha256.Sum256(fmt.Append(nil, "key-", number))
	return record.Team{
		KeySHA256: []string{hex.EncodeToString(sum[:])}, Weight: 1,
		DefaultTier: "tier-1", HighestTier: "tier-3",
	}
}
