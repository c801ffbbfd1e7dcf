// Package traffic holds the operator's configuration of a gateway: routes,
// services, teams and limits, decoded and indexed. A Table is immutable.
package traffic

import (
	"time"
)

// RequestKind tells how often a request may run, and whether its answer is a stream.
type RequestKind int

// Kinds of requests.
const (
	// Once marks requests that may run at most once.
	Once RequestKind = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Stream marks event streams that may run at most once.
	Stream
	// ResumableStream marks event streams that another upstream may continue after
	// the last event that was delivered.
	ResumableStream
)

// String returns the name of the kind as it is logged.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	case ResumableStream:
		return "resumable_stream"
	default:
		return "once"
	}
}

// Repeatable reports whether a request may be sent again although an earlier
// attempt may have run.
func (k RequestKind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streams reports whether the answer is a stream of events.
func (k RequestKind) Streams() bool { return k == Stream || k == ResumableStream }

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route tells where requests with a host and a path prefix are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Targets is never empty.
	Targets []Target
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// LatencyTarget is the time within which the answer, or the first event of a
	// stream, should arrive. A later answer is worth less.
	LatencyTarget time.Duration
	// Tier is the priority class; 0 is the highest.
	Tier int
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Serves reports whether the route sends requests to the service.
func (r *Route) Serves(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one upstream, from all instances
	// together.
	MaxConnections int
	// Slots is the number of requests that one engine runs at once; 0 for services
	// without engines, whose upstreams announce their own number.
	Slots int
	// KVCacheTokens is the size of an engine's KV cache; 0 for services without
	// engines.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of an engine's stream.
	TokensPerEvent int
}

// Engine reports whether the service's upstreams are model engines.
func (s *Service) Engine() bool { return s.KVCacheTokens > 0 }

// Team is a customer with keys and a quota.
type Team struct {
	Name string
	Keys []string
	// Tier goes before the tier of the route if it is not nil; see Rank.
	Tier *int
	// TokensPerSecond and BurstTokens are the quota over all instances, in requests
	// instead of tokens if ChargesPerRequest is set; no quota if both are 0.
	TokensPerSecond float64
	BurstTokens     float64
	// DefaultTokens is charged for a request without a token count.
	DefaultTokens int
	// ChargesPerRequest charges 1 for each request, whatever its tokens.
	ChargesPerRequest bool
}

const (
	// routeTiers is the number of tiers of routes that are told apart within one of a team.
	routeTiers = 16
	maxTier    = 1<<11 - 1
)

// Rank returns the place of a request in the order of priority; 0 is the highest. The tier of
// the team goes first, and within it that of the route. Requests of no team, or of one
// without a tier, have that of the route for both.
func Rank(team *Team, route *Route) int {
	tier := route.Tier
	if team != nil && team.Tier != nil {
		tier = *team.Tier
	}
	return min(max(0, tier), maxTier)*routeTiers + min(max(0, route.Tier), routeTiers-1)
}

// Limited reports whether the team has a quota.
func (t *Team) Limited() bool { return t.TokensPerSecond > 0 || t.BurstTokens > 0 }

// Charge returns the amount of the team's quota that a request with the given token
// count uses.
func (t *Team) Charge(tokens int) int {
	switch {
	case t.ChargesPerRequest:
		return 1
	case tokens > 0:
		return tokens
	default:
		return t.DefaultTokens
	}
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}
