package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Events, states and flags of the request chart that the code uses.
const (
	eventClaim      chart.Event = "claim"
	eventClaimed    chart.Event = "claimed"
	eventAttach     chart.Event = "attach"
	eventGrant      chart.Event = "grant"
	eventDial       chart.Event = "dial"
	eventReturn     chart.Event = "return"
	eventDialFailed chart.Event = "dial_failed"
	eventDispatch   chart.Event = "dispatch"
	eventAnswer     chart.Event = "answer"
	eventLinger     chart.Event = "linger"
	eventComplete   chart.Event = "complete"
	eventBreak      chart.Event = "break"
	eventCancel     chart.Event = "cancel"
	eventRefuse     chart.Event = "refuse"

	stateRefused   chart.State = "refused"
	stateCancelled chart.State = "cancelled"

	flagDispatched = "dispatched"
	flagWaiting    = "waiting"
)

var requestEvents = []chart.Event{
	eventClaim, eventClaimed, eventAttach, eventGrant, eventDial, eventReturn, eventDialFailed,
	eventDispatch, eventAnswer, eventLinger, eventComplete, eventBreak, eventCancel, eventRefuse,
}

// target is what a request asks for.
type target struct {
	// name is "model:NAME" or "service:NAME".
	name    string
	model   string
	service string
	// stream is true when the caller asked for server-sent events.
	stream bool
	// path is the path and query at the upstream.
	path string
}

func (t target) engine() bool { return t.model != "" }

// request is one request that this instance holds.
type request struct {
	id       string
	identity string
	// names are the keys in the table of requests; its mutex guards them.
	names  []string
	team   *record.Team
	tier   *record.Tier
	target target
	// idempotent is false when the request must not be cancelled midway.
	idempotent bool
	method     string
	header     http.Header
	body       []byte
	work       sched.Work
	received   time.Time
	deadline   time.Time

	machine *chart.Machine
	// ctx ends the work for the request. It does not end with the caller's
	// connection, because a dispatched request goes on without its caller.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// refusal is set by the event that refused the request.
	refusal atomic.Pointer[errkind.Error]
	// gone is closed when the caller's connection has ended.
	gone chan struct{}
	// resumed is set when the answer continues on another connection, so that
	// the end of this caller's connection does not cancel the request.
	resumed atomic.Bool
	// upstream is the name of the upstream that runs the request.
	upstream atomic.Pointer[string]

	// attempt counts dispatches that were tried, so that a late call of a
	// dispatch that was given up cannot pass for the one in progress.
	attempt atomic.Int64
	// cut is true when the body was not received whole.
	cut bool
	// early is true when the caller understands a 103 response.
	early bool
	// granted is set once the claim was granted to this attempt.
	granted atomic.Bool

	// The goroutine that serves the request owns what follows.
	pool    string
	address string
	// holdsGrant is true from a grant until its release.
	holdsGrant bool
	// linkBytes is what the grant reserved of the budget between regions.
	linkBytes    int
	dispatched   time.Time
	firstToken   time.Time
	outputTokens int
	cachedTokens int
}

// refuse ends a request that was not dispatched. Of all events that would end
// or dispatch the request exactly one succeeds.
func (q *request) refuse(reason *errkind.Error) bool {
	err := q.machine.FireIf(eventRefuse, func() error {
		q.refusal.Store(reason)
		return nil
	})
	if err == nil {
		q.cancel(reason)
	}
	return err == nil
}

// refused refuses the request and returns the reason that counts: another
// event may have refused it before.
func (q *request) refused(reason *errkind.Error) *errkind.Error {
	q.refuse(reason)
	if first := q.refusal.Load(); first != nil {
		return first
	}
	return reason
}

func (q *request) upstreamName() string {
	if name := q.upstream.Load(); name != nil {
		return *name
	}
	return ""
}

func (q *request) callerGone() bool {
	select {
	case <-q.gone:
		return true
	default:
		return false
	}
}

// runState is what is certain about the request.
func (q *request) runState() errkind.RunState {
	switch {
	case !q.machine.Is(flagDispatched) && q.decided():
		return errkind.NotRun
	case q.machine.State() == "completed":
		return errkind.Ran
	default:
		return errkind.Unknown
	}
}

// decided reports whether it is known that no earlier attempt with the same
// identity was dispatched: there can be none, or the claim was granted.
func (q *request) decided() bool { return q.identity == "" || q.granted.Load() }

// refusalState is the run state of a request that was refused with the kind. A
// refusal before the claim was decided says nothing about earlier attempts
// with the same identity, unless none of them can have run either.
func (q *request) refusalState(kind errkind.Kind) errkind.RunState {
	told := errkind.AnswerFor(kind).RunState
	if told != errkind.NotRun || q.decided() {
		return told
	}
	switch {
	case kind == errkind.BadRequest && q.tier != nil && !q.cut:
		// Malformed requests are refused by every instance. An unknown tier
		// may have been known before, and a cut body may have been whole.
		return errkind.NotRun
	case kind == errkind.Unauthorized && q.team != nil:
		// The request ID is another team's, so no instance ran it for this one.
		return errkind.NotRun
	}
	return errkind.Unknown
}

// onCallerGone runs when the caller's connection ends while the request is held.
func (e *Entry) onCallerGone(q *request) {
	close(q.gone)
	reason := errkind.New(errkind.CallerGone, "the caller closed its connection")
	if q.refuse(reason) {
		return
	}
	switch {
	case !q.target.engine() && !q.idempotent:
		// The call must run to its end: cut midway, nobody knows what it did.
	case !q.target.engine():
		q.machine.Fire(eventCancel)
		q.cancel(reason)
	case q.machine.Fire(eventLinger):
		e.linger(q, reason)
	case q.machine.Fire(eventCancel):
		// An attached request only follows what another one runs.
		q.cancel(reason)
	}
}

// linger keeps a dispatched request running for a while, since its caller may
// resume it through any instance. A cancellation at once would discard the
// prefill whenever a caller's connection breaks.
func (e *Entry) linger(q *request, reason *errkind.Error) {
	if e.NotifyResumed == nil {
		return
	}
	e.Clock.AfterFunc(e.Settings.Timeouts.Linger, func() {
		err := q.machine.FireIf(eventCancel, func() error {
			if q.resumed.Load() {
				return errors.New("resumed")
			}
			return nil
		})
		if err != nil {
			return
		}
		ctx, done := e.shortContext()
		defer done()
		if err := e.Engine.CancelStream(ctx, q.address, q.id); err != nil {
			e.Log.V(1).Info("cancellation at the engine failed", "request", q.id, "upstream", q.upstreamName(), "error", err.Error())
		}
		q.cancel(reason)
	})
}

// Resumed tells the entry that the stream of a request whose caller is gone
// continues on another connection or instance; the request is not cancelled.
// It may come before the end of the caller's first connection is noticed.
func (e *Entry) Resumed(requestID string) {
	if q := e.find(requestID); q != nil {
		q.resumed.Store(true)
	}
}

// Status returns the phase of a request that this instance holds or held, for
// claims by other instances.
func (e *Entry) Status(requestID string) (phase claim.Phase, upstreamName string, known bool) {
	q := e.find(requestID)
	if q == nil {
		return 0, "", false
	}
	switch state := q.machine.State(); {
	case state == stateRefused && !q.granted.Load():
		// The claim may have been granted to an attempt before this one.
		return 0, "", false
	case state == stateRefused:
		phase = claim.Abandoned
	case !q.machine.Is(flagDispatched):
		phase = claim.Held
	case q.machine.Final():
		phase = claim.Finished
	default:
		phase = claim.Dispatched
	}
	return phase, q.upstreamName(), true
}

func (e *Entry) find(requestID string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[requestID]
}

// highestTierShare is the share of the limit of requests that is kept for the
// highest tier, so that no lower tier is admitted when it is refused.
const highestTierShare = 10

// admit counts the request among those held.
func (e *Entry) admit(q *request, highest bool) *errkind.Error {
	limit := e.Settings.Limits.Requests
	if !highest {
		limit -= limit / highestTierShare
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// Under the lock, so that a drain sees every request that was admitted.
	if !e.instance.Is(flagAccepts) {
		return errkind.New(errkind.ShuttingDown, "the instance is leaving")
	}
	if len(e.held) >= limit {
		return errkind.New(errkind.Overloaded, "the instance holds %d requests", len(e.held))
	}
	e.held[q] = struct{}{}
	return nil
}

// register makes the request known by its identity or its ID. If an earlier attempt at
// this instance is in progress or was dispatched, it returns what is known of
// it, and the request takes its ID.
func (e *Entry) register(q *request, key string) (claim.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if other := e.requests[key]; other != nil {
		switch state := other.machine.State(); {
		case state == stateRefused:
		case !other.machine.Is(flagDispatched):
			return claim.Reply{Result: claim.InProgress}, true
		case other.machine.Final():
			q.id = other.id
			return claim.Reply{Result: claim.AlreadyFinished, Upstream: other.upstreamName()}, true
		default:
			q.id = other.id
			return claim.Reply{Result: claim.InProgress, Upstream: other.upstreamName()}, true
		}
	}
	e.requests[key] = q
	q.names = append(q.names, key)
	return claim.Reply{}, false
}

// drop ends the hold on a request; its run state is kept for a while.
func (e *Entry) drop(q *request) {
	q.cancel(nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	q.body, q.header = nil, nil
	delete(e.held, q)
	if len(q.names) > 0 {
		e.ended = append(e.ended, q)
	}
	for len(e.ended) > e.Settings.Limits.KeptRequests {
		old := e.ended[0]
		for _, name := range old.names {
			if e.requests[name] == old {
				delete(e.requests, name)
			}
		}
		e.ended = e.ended[1:]
	}
	if len(e.held) == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// isHighest reports whether no tier has a higher priority.
func isHighest(snapshot *conf.Snapshot, tier *record.Tier) bool {
	for _, other := range snapshot.Tiers {
		if other.Priority > tier.Priority {
			return false
		}
	}
	return true
}
