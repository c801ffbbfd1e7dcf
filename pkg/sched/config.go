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

// Policies lists the placement policies, the default first.
func Policies() []string {
	return []string{PolicyRosemarywing, PolicyRandom, PolicyRoundRobin, PolicyLeastLoad, PolicyPowerOfTwo}
}

// Defaults of Config.
const (
	defaultMaxQueuedRequests      = 2000
	defaultMaxQueuedTokens        = 4_000_000
	defaultGrantValidity          = 2 * time.Second
	defaultMaxRequests            = 64
	defaultLongPromptTokens       = 4096
	defaultLongPromptShare        = 0.5
	defaultMaxPrefillBacklog      = 200 * time.Millisecond
	defaultMaxPrefixesPerUpstream = 4096
	// At about 140 bytes per entry, the whole prefix index takes up to 28 MB.
	defaultMaxPrefixes      = 200_000
	defaultMaxStrikes       = 10_000
	defaultStrikeTTL        = time.Hour
	defaultReservationDecay = 20 * time.Second
	defaultPrefillRate      = 5000
	defaultDecodeRate       = 30
	defaultTickInterval     = 50 * time.Millisecond
)

// Config holds the parameters of a Pool. Zero values are replaced by defaults.
type Config struct {
	// Policy is one of Policies; an empty or unknown name selects
	// PolicyRosemarywing.
	Policy string
	// Random breaks ties and drives the random baseline policies. The caller
	// must seed it; nil selects a fixed seed.
	Random *rand.Rand
	// Weight returns the weight of a team within a tier; nil means equal
	// weights.
	Weight func(team string) int
	// The queue is bounded by a number of requests and of tokens. A single
	// request larger than MaxQueuedTokens may wait alone.
	MaxQueuedRequests int
	MaxQueuedTokens   int
	// GrantValidity is the time within which a holder may dispatch a granted
	// request.
	GrantValidity time.Duration
	// MaxRequests is the request limit of an upstream whose record sets none.
	MaxRequests int
	// LongPromptTokens is the prompt length in tokens from which a request
	// counts as a long prompt.
	LongPromptTokens int
	// LongPromptShare is the share of an upstream's token limit available to
	// long prompts.
	LongPromptShare float64
	// MaxPrefillBacklog is the time of granted, unfinished prefill work above
	// which an upstream gets no new request.
	MaxPrefillBacklog time.Duration
	// MaxPrefixesPerUpstream bounds the prefix index entries of one upstream.
	MaxPrefixesPerUpstream int
	// MaxPrefixes bounds the prefix index entries of the pool.
	MaxPrefixes int
	// MaxStrikes bounds the number of request fingerprints with crash strikes.
	MaxStrikes int
	// StrikeTTL is the time after which a crash strike expires.
	StrikeTTL time.Duration
	// ReservationDecay is the time constant with which the recent peak of a
	// tier's tokens in flight decays. Tokens up to this peak are reserved for
	// the tier.
	ReservationDecay time.Duration
	// TickInterval is the time between ticks while requests wait.
	TickInterval time.Duration
}

func (c Config) withDefaults() Config {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 2))
	}
	if c.Weight == nil {
		c.Weight = func(string) int { return 1 }
	}
	setDefault(&c.MaxQueuedRequests, defaultMaxQueuedRequests)
	setDefault(&c.MaxQueuedTokens, defaultMaxQueuedTokens)
	setDefault(&c.GrantValidity, defaultGrantValidity)
	setDefault(&c.MaxRequests, defaultMaxRequests)
	setDefault(&c.LongPromptTokens, defaultLongPromptTokens)
	setDefault(&c.LongPromptShare, defaultLongPromptShare)
	setDefault(&c.MaxPrefillBacklog, defaultMaxPrefillBacklog)
	setDefault(&c.MaxPrefixesPerUpstream, defaultMaxPrefixesPerUpstream)
	setDefault(&c.MaxPrefixes, defaultMaxPrefixes)
	setDefault(&c.MaxStrikes, defaultMaxStrikes)
	setDefault(&c.StrikeTTL, defaultStrikeTTL)
	setDefault(&c.ReservationDecay, defaultReservationDecay)
	setDefault(&c.TickInterval, defaultTickInterval)
	return c
}

// setDefault replaces a zero value by fallback.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
