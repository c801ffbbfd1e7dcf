// Package sched schedules the requests of one pool of upstreams: it queues
// them by tier and team, chooses an upstream for each, and limits what runs.
// The decision logic is plain code: time comes in as an argument.
package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// Work describes what a request costs.
type Work struct {
	// Tier is the priority of the request's tier; higher is served first.
	Tier  int
	Team  string
	Model string
	// PromptTokens and OutputTokens are estimates made by the entry.
	PromptTokens int
	OutputTokens int
	// PrefixHashes are hashes of growing prefixes, shortest first;
	// PrefixTokens are the lengths that belong to them.
	PrefixHashes []uint64
	PrefixTokens []int
	// Fingerprint is a hash of the content without the request's identity.
	Fingerprint uint64
	// PromptBytes is the size of the request body.
	PromptBytes int
}

// Request is one request that waits for an upstream.
type Request struct {
	ID string
	// Holder is the session of the entry that holds the request.
	Holder string
	// Region is the region of the entry.
	Region   string
	Work     Work
	Deadline time.Time
}

// Grant allows a holder to dispatch one request to one upstream.
type Grant struct {
	RequestID string
	Holder    string
	Upstream  string
	Expiry    time.Time
	// UncachedTokens is the expected prefill work.
	UncachedTokens int
	// Reason and PreferredTo are for the decision's log line.
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

// Decisions is what one call to the scheduler decided.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Outcome tells how a grant ended.
type Outcome int

// Outcomes of a grant.
const (
	Completed Outcome = iota + 1
	NotDispatched
	DialFailed
	UpstreamBroken
	UpstreamRefused
	Cancelled
)

// Result is what the holder observed of a granted request.
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

// Holding is a grant in use, reported by an entry that opens a session.
type Holding struct {
	RequestID string
	Upstream  string
	Work      Work
}

// Load is an upstream's own report, which lags.
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

// Scheduler is the decision logic of one pool. It is not safe for concurrent
// use: one goroutine owns it. Every method takes the current time and returns
// what was decided by it.
type Scheduler interface {
	// SetUpstreams applies the upstreams in force; those absent get no new work.
	SetUpstreams(now time.Time, upstreams []record.Upstream) Decisions
	// Acquire queues a request.
	Acquire(now time.Time, request Request) Decisions
	// Cancel removes a waiting request, or ends its grant as not dispatched.
	Cancel(now time.Time, holder, requestID string) Decisions
	// Release ends a grant.
	Release(now time.Time, result Result) Decisions
	// AddHoldings accounts for grants that another scheduler made.
	AddHoldings(now time.Time, holder string, holdings []Holding) Decisions
	// DropHolder forgets a holder whose session lease has ended.
	DropHolder(now time.Time, holder string) Decisions
	// ReportLoad applies an upstream's load report.
	ReportLoad(now time.Time, upstream string, load Load) Decisions
	// ReportCache applies a cache event: prefixes that an upstream holds or dropped.
	ReportCache(now time.Time, upstream string, stored, removed []uint64)
	// AddStrikes applies crash strikes reported by another scheduler.
	AddStrikes(now time.Time, strikes map[uint64]int)
	// Strikes returns the crash strikes in force.
	Strikes() map[uint64]int
	// Tick expires deadlines and grants. NextTick tells when it is due.
	Tick(now time.Time) Decisions
	NextTick() time.Time
}
