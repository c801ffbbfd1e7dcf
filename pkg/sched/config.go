package sched

import (
	"math/rand/v2"
	"time"
)

// Names of the placement policies.
const (
	PolicyRosemarywing = "rosemarywing"
	PolicyRandom       = "random"
	PolicyRoundRobin   = "round-robin"
	PolicyLeastLoad    = "least-load"
	PolicyPowerOfTwo   = "power-of-two"
)

// Policies lists the placement policies, the product's own first.
func Policies() []string {
	return []string{PolicyRosemarywing, PolicyRandom, PolicyRoundRobin, PolicyLeastLoad, PolicyPowerOfTwo}
}

// Defaults of Config.
const (
	defaultQueueRequests = 2000
	defaultQueueTokens   = 4_000_000
	defaultGrantValidity = 2 * time.Second
	defaultMaxRequests   = 64
	defaultLongTokens    = 4096
	defaultLongShare     = 0.5
	defaultMaxBacklog    = 200 * time.Millisecond
	defaultPrefixEntries = 4096
	// At about 140 bytes per entry the whole index takes up to 28 MB.
	defaultPrefixTotal   = 200_000
	defaultStrikeEntries = 10_000
	defaultStrikeLife    = time.Hour
	defaultReserveDecay  = 20 * time.Second
	defaultPrefillRate   = 5000
	defaultDecodeRate    = 30
	defaultSweepInterval = 50 * time.Millisecond
)

// Config holds the parameters of a Pool. Zero values are replaced by defaults.
type Config struct {
	// Policy is one of Policies; an empty or unknown name means rosemarywing.
	Policy string
	// Random breaks ties and drives the random baselines. It must be seeded by
	// the caller; nil means a fixed seed.
	Random *rand.Rand
	// Weight gives the share of a team within a tier; nil means equal shares.
	Weight func(team string) int
	// QueueRequests and QueueTokens bound what waits in the pool. A request
	// larger than QueueTokens may wait alone.
	QueueRequests int
	QueueTokens   int
	// GrantValidity is the time in which a holder may dispatch.
	GrantValidity time.Duration
	// MaxRequests is the limit of an upstream whose record has none.
	MaxRequests int
	// LongTokens is the prompt length from which a request is a long read.
	LongTokens int
	// LongShare is the share of an upstream's tokens that long reads may use.
	LongShare float64
	// MaxBacklog bounds the prefill work granted to an upstream ahead of a
	// request.
	MaxBacklog time.Duration
	// PrefixEntries bounds the prefix index of one upstream.
	PrefixEntries int
	// PrefixTotal bounds the prefix index of the pool.
	PrefixTotal int
	// StrikeEntries bounds the table of crash strikes.
	StrikeEntries int
	// StrikeLife is the time after which a strike is forgotten.
	StrikeLife time.Duration
	// ReserveDecay is the time constant with which the remembered peak use of
	// a tier falls.
	ReserveDecay time.Duration
	// SweepInterval is the time between passes while requests wait.
	SweepInterval time.Duration
}

func (c Config) withDefaults() Config {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 2))
	}
	if c.Weight == nil {
		c.Weight = func(string) int { return 1 }
	}
	orDefault(&c.QueueRequests, defaultQueueRequests)
	orDefault(&c.QueueTokens, defaultQueueTokens)
	orDefault(&c.GrantValidity, defaultGrantValidity)
	orDefault(&c.MaxRequests, defaultMaxRequests)
	orDefault(&c.LongTokens, defaultLongTokens)
	orDefault(&c.LongShare, defaultLongShare)
	orDefault(&c.MaxBacklog, defaultMaxBacklog)
	orDefault(&c.PrefixEntries, defaultPrefixEntries)
	orDefault(&c.PrefixTotal, defaultPrefixTotal)
	orDefault(&c.StrikeEntries, defaultStrikeEntries)
	orDefault(&c.StrikeLife, defaultStrikeLife)
	orDefault(&c.ReserveDecay, defaultReserveDecay)
	orDefault(&c.SweepInterval, defaultSweepInterval)
	return c
}

// orDefault replaces the zero value.
func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
