package delegation

import (
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

const (
	// replyInterval is the time between two replies to a follower with requests that
	// wait.
	replyInterval = 40 * time.Millisecond
	// followerTimeout is the time without a report after which the requests of a
	// follower are dropped.
	followerTimeout = 600 * time.Millisecond
)

// Relay is the state of an instance that places the requests of its followers.
type Relay struct {
	followers map[string]*followerState
	// requests holds the requests that were submitted and not decided, by their key at
	// the relay.
	requests map[uint64]delegatedRequest
	// newKey returns a key that no other request at the relay has.
	newKey func() uint64
}

type delegatedRequest struct {
	follower string
	key      uint64
	service  string
}

// followerState is what the relay knows of a follower.
type followerState struct {
	startTime  int64
	reportSeen uint64
	lastReport time.Duration
	repliedAt  time.Duration
	// replyDue is true if the follower must get a reply at once.
	replyDue bool
	// submitted maps the keys of the requests that wait for a decision to their keys at
	// the relay.
	submitted map[uint64]uint64
	// undelivered holds the decisions that the follower has not confirmed.
	undelivered  []undelivered
	lastSequence uint64
}

type undelivered struct {
	Decision
	relayKey uint64
	service  string
	// report is the sequence number of the last report that had been received when the
	// decision was made.
	report uint64
}

// NewRelay returns a relay without followers.
func NewRelay(newKey func() uint64) *Relay {
	return &Relay{followers: map[string]*followerState{}, requests: map[uint64]delegatedRequest{}, newKey: newKey}
}

// FollowerReport is the part of a follower's report that concerns delegation.
type FollowerReport struct {
	Follower  string
	StartTime int64
	Sequence  uint64
	// DecisionSeen is the sequence number of the last decision received from this
	// process of the relay.
	DecisionSeen uint64
	// Waiting holds all requests for which the follower waits, with its own keys.
	Waiting []*admission.Request
}

// Cancellation names a request or a grant at the relay that no longer counts.
type Cancellation struct {
	Service  string
	RelayKey uint64
	// Upstream is the upstream of a grant; empty for a request in the queue.
	Upstream string
}

// HandleReport compares a report with what is known of the follower. It returns the
// requests to submit to the pools, with keys of the relay, and the requests and grants to
// remove.
func (r *Relay) HandleReport(now time.Duration, report FollowerReport) (submit []*admission.Request, remove []Cancellation) {
	state := r.followers[report.Follower]
	if state != nil && state.startTime != report.StartTime {
		remove = r.drop(report.Follower)
		state = nil
	}
	if state == nil {
		state = &followerState{startTime: report.StartTime, submitted: map[uint64]uint64{}}
		r.followers[report.Follower] = state
	}
	state.lastReport, state.reportSeen = now, report.Sequence
	waiting := make(map[uint64]bool, len(report.Waiting))
	for _, request := range report.Waiting {
		waiting[request.Key] = true
	}
	remove = append(remove, r.confirm(state, report, waiting)...)
	remove = append(remove, r.cancelMissing(state, waiting)...)
	for _, request := range report.Waiting {
		if !state.knows(request.Key) {
			submit = append(submit, r.submit(report.Follower, state, *request))
		}
	}
	state.replyDue = state.replyDue || len(waiting) > 0
	return submit, remove
}

// confirm removes the decisions that the follower has received, or whose requests it has
// taken back, and returns their grants.
func (r *Relay) confirm(state *followerState, report FollowerReport, waiting map[uint64]bool) []Cancellation {
	var released []Cancellation
	state.undelivered = slices.DeleteFunc(state.undelivered, func(d undelivered) bool {
		if d.Sequence > report.DecisionSeen && (waiting[d.Key] || report.Sequence <= d.report) {
			return false
		}
		if d.Action == admission.Place {
			released = append(released, Cancellation{Service: d.service, RelayKey: d.relayKey, Upstream: d.Upstream.ID})
		}
		return true
	})
	return released
}

// cancelMissing removes the submitted requests that the follower no longer lists.
func (r *Relay) cancelMissing(state *followerState, waiting map[uint64]bool) []Cancellation {
	var cancelled []Cancellation
	for key, relayKey := range state.submitted {
		if !waiting[key] {
			cancelled = append(cancelled, Cancellation{Service: r.requests[relayKey].service, RelayKey: relayKey})
			delete(state.submitted, key)
			delete(r.requests, relayKey)
		}
	}
	return cancelled
}

func (r *Relay) submit(follower string, state *followerState, request admission.Request) *admission.Request {
	key := request.Key
	request.Key, request.Delegated = r.newKey(), true
	state.submitted[key] = request.Key
	r.requests[request.Key] = delegatedRequest{follower: follower, key: key, service: request.Service}
	return &request
}

func (s *followerState) knows(key uint64) bool {
	if _, found := s.submitted[key]; found {
		return true
	}
	return slices.ContainsFunc(s.undelivered, func(d undelivered) bool { return d.Key == key })
}

// Decide records a decision of a pool for the request's follower. It returns false if the
// request is not a follower's.
func (r *Relay) Decide(decision admission.Decision) bool {
	request, found := r.requests[decision.Key]
	if !found {
		return false
	}
	relayKey := decision.Key
	delete(r.requests, relayKey)
	state := r.followers[request.follower]
	delete(state.submitted, request.key)
	state.lastSequence++
	decision.Key = request.key
	state.undelivered = append(state.undelivered, undelivered{
		Decision: Decision{Decision: decision, Sequence: state.lastSequence},
		relayKey: relayKey, service: request.service, report: state.reportSeen,
	})
	state.replyDue = true
	return true
}

// Due returns the followers that must get a reply now: because of a new report or
// decision, or because replyInterval has passed since the last reply while a request
// waits or a decision is unconfirmed.
func (r *Relay) Due(now time.Duration) []string {
	var due []string
	for name, state := range r.followers {
		open := len(state.submitted) + len(state.undelivered)
		if state.replyDue || (open > 0 && now-state.repliedAt >= replyInterval) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Followers returns the instances whose reports name this one as their relay.
func (r *Relay) Followers() []string {
	names := make([]string, 0, len(r.followers))
	for name := range r.followers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Reply returns the content of a reply to an instance, which is sent now: the sequence
// number of its last report, and the decisions that it has not confirmed.
func (r *Relay) Reply(now time.Duration, follower string) (reportSeen uint64, decisions []Decision) {
	state := r.followers[follower]
	if state == nil {
		return 0, nil
	}
	state.repliedAt, state.replyDue = now, false
	for _, d := range state.undelivered {
		decisions = append(decisions, d.Decision)
	}
	return state.reportSeen, decisions
}

// Expire drops the followers that have sent no report for followerTimeout, and returns
// their requests and grants.
func (r *Relay) Expire(now time.Duration) []Cancellation {
	var removed []Cancellation
	for name, state := range r.followers {
		if now-state.lastReport > followerTimeout {
			removed = append(removed, r.drop(name)...)
		}
	}
	return removed
}

// Drop removes a follower that has stopped or follows another instance now, and returns
// its requests and grants.
func (r *Relay) Drop(follower string) []Cancellation {
	if r.followers[follower] == nil {
		return nil
	}
	return r.drop(follower)
}

func (r *Relay) drop(follower string) []Cancellation {
	state := r.followers[follower]
	delete(r.followers, follower)
	removed := r.cancelMissing(state, nil)
	for _, d := range state.undelivered {
		if d.Action == admission.Place {
			removed = append(removed, Cancellation{Service: d.service, RelayKey: d.relayKey, Upstream: d.Upstream.ID})
		}
	}
	return removed
}

// Waiting returns the number of requests of followers that wait for a decision.
func (r *Relay) Waiting() int { return len(r.requests) }
