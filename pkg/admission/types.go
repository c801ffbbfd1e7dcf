// Package admission decides which requests wait, which are refused, and which
// upstream runs them. It is plain code: the time is an argument, and decisions
// are returned. Load patterns that a rule answers are named where it stands.
package admission

import "time"

// Info is what an upstream says of itself.
type Info struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving upstreams get no new requests.
	Leaving bool
	// Incarnation differs between two starts of the same upstream.
	Incarnation int64
}

// Request is a request that waits for an upstream. Times are on the clock that
// all calls use.
type Request struct {
	// Key identifies the request at this instance.
	Key     uint64
	Service string
	// Tier is the rank; 0 is the highest.
	Tier         int
	PromptTokens int
	// OutputTokens is the expected length of the answer; 0 if nobody said.
	OutputTokens int
	Arrived      time.Duration
	// Due is when the answer, or the first event, loses part of its value.
	Due time.Duration
	// Until is when the caller or the route's timeout gives up.
	Until time.Duration
	// Tried names the upstreams that must not be chosen again.
	Tried []string
}

// Action is what a decision asks for.
type Action int

// Actions.
const (
	// Place sends the request to an upstream.
	Place Action = iota
	// Refuse answers that the request has not run.
	Refuse
)

// Decision is the end of a request's wait.
type Decision struct {
	Key    uint64
	Action Action
	// Upstream is set for Place.
	Upstream Info
	// RetryAfter is set for Refuse: when there may be room.
	RetryAfter time.Duration
	// Reason is a short phrase for the log.
	Reason string
	// Expected is the predicted time to the first output at the upstream.
	Expected time.Duration
	// Waited is the time spent in the queue, and Queue the requests that still
	// wait for the service.
	Waited time.Duration
	Queue  int
	// Free is the number of free places as known here when all that waits was
	// looked at.
	Free int
	// InFlight is the number of requests at the upstream, as known here, and
	// Age the age of the oldest report of a peer that counts in it.
	InFlight int
	Age      time.Duration
}

// Outcome is how a request ended at an upstream.
type Outcome int

// Outcomes.
const (
	// Answered means a complete answer that is no failure of the upstream.
	Answered Outcome = iota
	// Failed means an answer with a failure status; the request has run.
	Failed
	// Rejected means that the upstream did not run the request.
	Rejected
	// Unreachable means that no byte was sent.
	Unreachable
	// Broken means that the connection broke after the request was sent.
	Broken
	// Cancelled means that the caller left or its time was over.
	Cancelled
	// Withdrawn means that the request was not sent, for a reason of its own.
	Withdrawn
)

// Load is what one instance has at an upstream, as it tells the others.
type Load struct {
	// InFlight is the number of requests, and AwaitedTokens the prompt tokens
	// of those that have had no output yet.
	InFlight      int
	AwaitedTokens int
	// Speed is the observed speed relative to the nominal one; Samples is the
	// number of recent observations behind it.
	Speed   float64
	Samples float64
}

// Tuning holds the constants of the policy.
type Tuning struct {
	// PrefillPerMs is the prompt tokens that an engine of speed 1 reads in a
	// millisecond, StepMs the time of a decoding step for one request, and
	// StepMsPerRequest what each further request adds. Source: the users'
	// sheets of their engines.
	PrefillPerMs     float64
	StepMs           float64
	StepMsPerRequest float64
	// FirstMs is the fixed time before an engine's first output.
	FirstMs float64
	// PlainMs is the work of a request at a plain service of speed 1.
	PlainMs float64
	// SameRegionMs and OtherRegionMs are added to the expected time at
	// upstreams outside the own failure domain: the way there and back, the
	// weight of bytes that are paid by volume, and the work that arrives there
	// before it is known here.
	SameRegionMs  float64
	OtherRegionMs float64
	// ExtraSlots is the number of requests beyond its slots that an upstream
	// is given, so that the next one is there when a slot becomes free.
	ExtraSlots int
	// FarReserve is the number of slots at upstreams of other failure domains
	// that are left to the instances there.
	FarReserve int
	// HoldShare is the part of a request's patience for which it may wait.
	HoldShare float64
	// Spread is the part by which the cost of an upstream is raised at random, at
	// most, before upstreams are compared.
	Spread float64
	// ShortestRound and LongestRound bound the time in which a placement counts as
	// unknown to the other instances: the pause between two sums of a failure domain
	// with the way between regions, and the time between two reports of an instance
	// with nothing to tell. Without LongestRound nothing is shared.
	ShortestRound time.Duration
	LongestRound  time.Duration
	// PeerTimeout is the age at which the report of a peer no longer counts.
	PeerTimeout time.Duration
}

// DefaultTuning returns the constants for the users' engines.
func DefaultTuning() Tuning {
	return Tuning{
		PrefillPerMs: 55, StepMs: 2.89, StepMsPerRequest: 0.101, FirstMs: 15, PlainMs: 30,
		SameRegionMs: 100, OtherRegionMs: 250,
		ExtraSlots: 1, HoldShare: 0.08, Spread: 1,
		ShortestRound: 60 * time.Millisecond, LongestRound: 200 * time.Millisecond,
		PeerTimeout: time.Second,
	}
}
