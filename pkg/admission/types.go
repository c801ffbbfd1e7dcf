// Package admission decides for each request of a service whether it is queued,
// refused or placed at an upstream. It has no I/O and reads no clock: callers pass
// the time and carry out the decisions.
package admission

import "time"

// UpstreamInfo is the announced description of an upstream.
type UpstreamInfo struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Version is the version of the software of the upstream; empty if unknown.
	Version string
	// Warmup is how long the upstream is slower than usual after its start, as of its last
	// report.
	Warmup time.Duration
	// Leaving upstreams get no new requests.
	Leaving bool
	// Incarnation is the start time of the upstream's process in Unix milliseconds; 0 if
	// unknown.
	Incarnation int64
	// Sequence grows with each report of the process; 0 if unknown.
	Sequence uint64
}

// Process identifies a process of an upstream: its ID may start again, and its address may
// be given to another upstream.
type Process struct {
	ID          string
	Incarnation int64
}

// Process returns the process that the description is of.
func (i UpstreamInfo) Process() Process { return Process{ID: i.ID, Incarnation: i.Incarnation} }

// Request is a queued request. Its times are on the clock that callers of Pool pass as
// now.
type Request struct {
	// Key identifies the request at this instance.
	Key     uint64
	Service string
	// Delegated is true for a request of another instance, for which this one decides.
	Delegated bool
	// Trial is true for a request that goes to the version on trial. If that has no room,
	// the request becomes an ordinary one.
	Trial bool
	// Team is the team whose request it is; empty if unknown.
	Team string
	// Tier is the priority class; 0 is the highest. It may combine the priorities of a team
	// and of a kind of request.
	Tier         int
	PromptTokens int
	// PromptBytes is the size of the body; 0 if unknown.
	PromptBytes int
	// OutputTokens is the expected length of the answer; 0 if unknown.
	OutputTokens int
	Arrived      time.Duration
	// SoftDeadline is the time after which the answer, or the first event of a
	// stream, has lost part of its value.
	SoftDeadline time.Duration
	// Deadline is the time at which the timeout of the caller or the route expires.
	Deadline time.Duration
	// ExcludedUpstreams lists the upstreams that must not be chosen again.
	ExcludedUpstreams []string
	// keptHome is true once the request was counted by Pool.noteKept.
	keptHome bool
}

// Action is the kind of a decision.
type Action int

// Actions.
const (
	// Place means that the request is sent to an upstream.
	Place Action = iota
	// Refuse means that the caller is told that the request was not run.
	Refuse
	// Decline means that this instance cannot decide on a delegated request, since it
	// knows no upstream of the service; the instance that has the request decides.
	Decline
)

// Decision tells what to do with one request that has left the queue: to send it to
// the chosen upstream, or to refuse it.
type Decision struct {
	Key    uint64
	Action Action
	// Upstream is set for Place.
	Upstream UpstreamInfo
	// RetryAfter is set for Refuse: the time after which the caller should retry.
	RetryAfter time.Duration
	// Reason is a short phrase for the log.
	Reason string
	// ExpectedFirstOutput is the predicted time from placement to the first output.
	ExpectedFirstOutput time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
	// QueueLength is the number of requests that remain queued.
	QueueLength int
	// FreeCapacity is the number of further requests that the usable upstreams accepted
	// before this pass placed any.
	FreeCapacity int
	// InFlight is the number of requests at the upstream before this one.
	InFlight int
	// OldestReportAge is the age of the oldest peer report that has not expired.
	OldestReportAge time.Duration
	// DecidedBy is the instance that decided; empty for this one.
	DecidedBy string
}

// Outcome is the result of an attempt at an upstream.
type Outcome int

// Outcomes.
const (
	// Answered means a complete answer that does not indicate a failure of the
	// upstream.
	Answered Outcome = iota
	// Failed means an answer with a failure status; the request has run.
	Failed
	// Rejected means that the upstream answered that it did not run the request.
	Rejected
	// Unreachable means that there was no connection to the upstream, so that no
	// byte was sent.
	Unreachable
	// Broken means that the connection broke after the request was sent.
	Broken
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
	// NotSent means that the request was not sent, for a reason unrelated to the
	// upstream.
	NotSent
)

// Load is the load of one instance at an upstream, and its estimate of the
// upstream's speed, as reported to its peers.
type Load struct {
	// InFlight is the number of running requests.
	InFlight int
	// PendingPrefillTokens is the number of prompt tokens of the requests that
	// have had no output yet.
	PendingPrefillTokens int
	// Speed is the observed speed relative to the nominal one; Samples is the
	// weight of the estimate, in recent observations.
	Speed   float64
	Samples float64
	// Ejected is true if the instance has ejected the upstream for failed answers.
	Ejected bool
}

// Tuning holds the parameters of the scheduling policy.
type Tuning struct {
	// PrefillTokensPerMs is the prefill rate of an engine of speed 1, DecodeStepMs
	// the time of a decoding step with one request, and DecodeStepMsPerRequest what
	// each further request adds. The values are from the users' data sheets of
	// their engines.
	PrefillTokensPerMs     float64
	DecodeStepMs           float64
	DecodeStepMsPerRequest float64
	// FirstOutputOverheadMs is the fixed part of the time to an engine's first
	// output.
	FirstOutputOverheadMs float64
	// PlainServiceMs is the processing time of a request at an upstream of speed 1
	// that is not a model engine.
	PlainServiceMs float64
	// SameRegionPenaltyMs and OtherRegionPenaltyMs are added to the expected time
	// at upstreams outside the instance's failure domain. They stand for the
	// network round trip, the cost of traffic that is paid by volume, and requests
	// that other instances place there before their reports arrive.
	SameRegionPenaltyMs  float64
	OtherRegionPenaltyMs float64
	// ExtraSlots is the number of requests that may wait at an upstream beyond its
	// slots, so that the next request is there when a slot becomes free.
	ExtraSlots int
	// RemoteDomainReservedSlots is the number of slots of each upstream in another
	// failure domain that are left to the instances of that domain.
	RemoteDomainReservedSlots int
	// MaxQueueFraction is the part of the time between arrival and deadline that
	// a request may spend in the queue.
	MaxQueueFraction float64
	// CostJitter is the largest part by which the cost of an upstream is raised at
	// random before upstreams are compared.
	CostJitter float64
	// MinAllocationInterval is the lower bound of the allocation interval, that is,
	// of the time until all instances know of a placement: the interval between two
	// reports of a failure domain plus the network delay between regions.
	MinAllocationInterval time.Duration
	// MaxAllocationInterval is the upper bound of the allocation interval: the
	// time between two reports of an idle instance. 0 disables the limit on the
	// capacity that an instance uses.
	MaxAllocationInterval time.Duration
	// ReportTimeout is the age above which the report of a peer is ignored.
	ReportTimeout time.Duration
	// LearnLimits lowers the number of requests at an engine to what it takes well, as
	// found from its answers, and replaces PrefillTokensPerMs and FirstOutputOverheadMs by
	// learned values.
	LearnLimits bool
	// EjectFailing, ShareTeams and RefuseEarly switch on the rules of ejection.go,
	// fairness.go and maxWait.
	EjectFailing bool
	ShareTeams   bool
	RefuseEarly  bool
}

// DefaultTuning returns the parameters for the users' engines.
func DefaultTuning() Tuning {
	return Tuning{
		PrefillTokensPerMs: 55, DecodeStepMs: 2.89, DecodeStepMsPerRequest: 0.101, FirstOutputOverheadMs: 15, PlainServiceMs: 30,
		SameRegionPenaltyMs: 100, OtherRegionPenaltyMs: 250,
		ExtraSlots: 1, MaxQueueFraction: 0.08, CostJitter: 1,
		MinAllocationInterval: 60 * time.Millisecond, MaxAllocationInterval: 200 * time.Millisecond,
		ReportTimeout: time.Second,
		EjectFailing:  true, ShareTeams: true, RefuseEarly: true,
	}
}
