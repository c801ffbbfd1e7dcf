// Package sched schedules the requests of one pool of upstreams. It queues
// requests by tier and team, chooses an upstream for each, and limits what runs
// on an upstream. It starts no goroutines and reads no clock: callers pass the
// current time.
//
// An entry, which is an instance that received requests, asks for a grant: the
// permission to send one request to one upstream. The entry's session with the
// scheduler is the holder of the grant. The scheduler counts the crashes of
// upstreams against the requests that were in flight there: each crash is a
// strike for the fingerprint, a hash of the request content. A request whose
// fingerprint has strikes is a suspect and runs only while no other copy of it
// does. From blockThreshold on it is refused as a poison request, one that is
// assumed to crash the upstreams that run it.
package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// Work describes a request to the scheduler: its tier, team and model, and its
// estimated cost.
type Work struct {
	// Tier is the priority of the request's tier; higher is served first.
	Tier  int
	Team  string
	Model string
	// PromptTokens and OutputTokens are estimated by the entry, the instance
	// that received the request.
	PromptTokens int
	OutputTokens int
	// PrefixHashes are the hashes of increasingly long prompt prefixes,
	// shortest first; PrefixTokens are the lengths of these prefixes.
	PrefixHashes []uint64
	PrefixTokens []int
	// Fingerprint is a hash of the request content without the request ID, by
	// which copies of a request are recognized; 0 means unknown.
	Fingerprint uint64
	// PromptBytes is the size of the request body.
	PromptBytes int
}

// Request asks the scheduler for a grant.
type Request struct {
	ID string
	// Holder is the session in which the entry asks.
	Holder string
	// Region is the region of the entry.
	Region   string
	Work     Work
	Deadline time.Time
}

// Grant allows a holder to dispatch one request to one upstream until Expiry.
type Grant struct {
	RequestID string
	Holder    string
	Upstream  string
	Expiry    time.Time
	// UncachedTokens is the number of prompt tokens expected to be missing from
	// the upstream's cache.
	UncachedTokens int
	// Reason and PreferredTo are logged: how the upstream was chosen, and which
	// upstream it was preferred to.
	Reason      string
	PreferredTo string
}

// Refusal ends a request that was not dispatched.
type Refusal struct {
	RequestID string
	Holder    string
	Kind      errkind.Kind
	Message   string
}

// Decisions holds the grants and refusals that result from one Scheduler call.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Outcome tells how a grant ended.
type Outcome int

// Outcomes of a grant.
const (
	Completed Outcome = iota + 1
	// NotDispatched and DialFailed mean that nothing was sent to the upstream.
	NotDispatched
	DialFailed
	// UpstreamBroken means that the connection broke after the dispatch.
	UpstreamBroken
	// UpstreamRefused means that the upstream answered with an error, or that its
	// answer was not usable.
	UpstreamRefused
	Cancelled
)

// Result reports how a granted request ended, as observed by its holder.
type Result struct {
	RequestID    string
	Holder       string
	Outcome      Outcome
	CachedTokens int
	OutputTokens int
	// FirstToken is the time from the dispatch to the first token; zero if it
	// is not known.
	FirstToken time.Duration
	// Total is the time from the dispatch to the end.
	Total time.Duration
}

// Holding is an active grant that an entry reports when it opens a session.
type Holding struct {
	RequestID string
	Upstream  string
	Work      Work
}

// Load is a load report from an upstream. Reports arrive with a delay.
type Load struct {
	Running       int
	Waiting       int
	TokensInUse   int
	Leaving       bool
	Incarnation   string
	LoadedModels  []string
	ReportedAt    time.Time
	CachedPrompts int
}

// Scheduler makes the decisions for one pool. It is not safe for concurrent
// use: one goroutine must own it. Methods take the current time and return the
// resulting decisions.
type Scheduler interface {
	// SetUpstreams replaces the set of upstreams; those not in upstreams get no
	// new requests.
	SetUpstreams(now time.Time, upstreams []record.Upstream) Decisions
	// Acquire queues a request for a grant.
	Acquire(now time.Time, request Request) Decisions
	// Cancel removes a waiting request, or ends its grant as not dispatched.
	Cancel(now time.Time, holder, requestID string) Decisions
	// Release ends a grant.
	Release(now time.Time, result Result) Decisions
	// AddHoldings restores grants that another scheduler issued and that an
	// entry reports when it opens a session.
	AddHoldings(now time.Time, holder string, holdings []Holding) Decisions
	// DropHolder removes a holder whose session lease has expired.
	DropHolder(now time.Time, holder string) Decisions
	// ReportLoad applies an upstream's load report.
	ReportLoad(now time.Time, upstream string, load Load) Decisions
	// ReportCache applies a cache event: the prefixes that an upstream stored
	// or evicted.
	ReportCache(now time.Time, upstream string, stored, removed []uint64)
	// AddStrikes merges crash strikes reported by another scheduler. A
	// fingerprint gets one strike for each upstream crash while a request with
	// that fingerprint was in flight there.
	AddStrikes(now time.Time, strikes map[uint64]int)
	// Strikes returns the current number of crash strikes of each fingerprint.
	Strikes() map[uint64]int
	// Tick refuses requests whose deadline can no longer be met, removes old
	// crash strikes, and tries to place the waiting requests. NextTick returns
	// when Tick is due.
	Tick(now time.Time) Decisions
	NextTick() time.Time
}
