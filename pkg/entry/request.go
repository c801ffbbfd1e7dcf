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

func (t target) isEngine() bool { return t.model != "" }

// request is one request that this instance holds.
type request struct {
	id             string
	idempotencyKey string
	// names are the keys in the table of requests; its mutex guards them.
	lookupKeys []string
	team       *record.Team
	tier       *record.Tier
	target     target
	// idempotent is false when the request must not be cancelled midway.
	idempotent bool
	method     string
	header     http.Header
	body       []byte
	work       sched.Work
	receivedAt time.Time
	deadline   time.Time

	stateMachine *chart.Machine
	// ctx ends the work for the request. It does not end with the caller's
	// connection, because a dispatched request goes on without its caller.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// refusal is set by the event that refused the request.
	refusal atomic.Pointer[errkind.Error]
	// gone is closed when the caller's connection has ended.
	connectionClosed chan struct{}
	// resumed is set when the answer continues on another connection, so that
	// the end of this caller's connection does not cancel the request.
	resumedElsewhere atomic.Bool
	// upstream is the name of the upstream that runs the request.
	assignedUpstream atomic.Pointer[string]

	// attempt counts dispatches that were tried, so that a late call of a
	// dispatch that was given up cannot pass for the one in progress.
	dispatchAttempt atomic.Int64
	// cut is true when the body was not received whole.
	bodyIncomplete bool
	// early is true when the caller understands a 103 response.
	acceptsEarlyHints bool
	// granted is set once the claim was granted to this attempt.
	claimGranted atomic.Bool

	// The goroutine that serves the request owns what follows.
	poolName        string
	upstreamAddress string
	// holdsGrant is true from a grant until its release.
	holdsGrant bool
	// linkBytes is what the grant reserved of the budget between regions.
	crossRegionBytes int
	dispatchedAt     time.Time
	firstTokenAt     time.Time
	outputTokens     int
	cachedTokens     int
}

// refuse ends a request that was not dispatched. Of all events that would end
// or dispatch the request exactly one succeeds.
func (req *request) refuse(reason *errkind.Error) bool {
	err := req.stateMachine.FireIf(eventRefuse, func() error {
		req.refusal.Store(reason)
		return nil
	})
	if err == nil {
		req.cancel(reason)
	}
	return err == nil
}

// refused refuses the request and returns the reason that counts: another
// event may have refused it before.
func (req *request) refuseOrKeepFirst(reason *errkind.Error) *errkind.Error {
	req.refuse(reason)
	if earlier := req.refusal.Load(); earlier != nil {
		return earlier
	}
	return reason
}

func (req *request) upstreamName() string {
	if name := req.assignedUpstream.Load(); name != nil {
		return *name
	}
	return ""
}

func (req *request) callerGone() bool {
	select {
	case <-req.connectionClosed:
		return true
	default:
		return false
	}
}

// runState is what is certain about the request.
func (req *request) runState() errkind.RunState {
	switch {
	case !req.stateMachine.Is(flagDispatched) && req.claimDecided():
		return errkind.NotRun
	case req.stateMachine.State() == "completed":
		return errkind.Ran
	default:
		return errkind.Unknown
	}
}

// decided reports whether it is known that no earlier attempt with the same
// identity was dispatched: there can be none, or the claim was granted.
func (req *request) claimDecided() bool { return req.idempotencyKey == "" || req.claimGranted.Load() }

// refusalState is the run state of a request that was refused with the kind. A
// refusal before the claim was decided says nothing about earlier attempts
// with the same identity, unless none of them can have run either.
func (req *request) refusalRunState(kind errkind.Kind) errkind.RunState {
	runState := errkind.AnswerFor(kind).RunState
	if runState != errkind.NotRun || req.claimDecided() {
		return runState
	}
	switch {
	case kind == errkind.BadRequest && req.tier != nil && !req.bodyIncomplete:
		// Malformed requests are refused by every instance. An unknown tier
		// may have been known before, and a cut body may have been whole.
		return errkind.NotRun
	case kind == errkind.Unauthorized && req.team != nil:
		// The request ID is another team's, so no instance ran it for this one.
		return errkind.NotRun
	}
	return errkind.Unknown
}

// onCallerGone runs when the caller's connection ends while the request is held.
func (e *Entry) onCallerGone(req *request) {
	close(req.connectionClosed)
	reason := errkind.New(errkind.CallerGone, "the caller closed its connection")
	if req.refuse(reason) {
		return
	}
	switch {
	case !req.target.isEngine() && !req.idempotent:
		// The call must run to its end: cut midway, nobody knows what it did.
	case !req.target.isEngine():
		req.stateMachine.Fire(eventCancel)
		req.cancel(reason)
	case req.stateMachine.Fire(eventLinger):
		e.cancelAfterLinger(req, reason)
	case req.stateMachine.Fire(eventCancel):
		// An attached request only follows what another one runs.
		req.cancel(reason)
	}
}

// linger keeps a dispatched request running for a while, since its caller may
// resume it through any instance. A cancellation at once would discard the
// prefill whenever a caller's connection breaks.
func (e *Entry) cancelAfterLinger(req *request, reason *errkind.Error) {
	if e.NotifyResumed == nil {
		return
	}
	e.Clock.AfterFunc(e.Settings.Timeouts.Linger, func() {
		err := req.stateMachine.FireIf(eventCancel, func() error {
			if req.resumedElsewhere.Load() {
				return errors.New("resumed")
			}
			return nil
		})
		if err != nil {
			return
		}
		ctx, cancel := e.releaseContext()
		defer cancel()
		if err := e.Engine.CancelStream(ctx, req.upstreamAddress, req.id); err != nil {
			e.Log.V(1).Info("cancellation at the engine failed", "request", req.id, "upstream", req.upstreamName(), "error", err.Error())
		}
		req.cancel(reason)
	})
}

// Resumed tells the entry that the stream of a request whose caller is gone
// continues on another connection or instance; the request is not cancelled.
// It may come before the end of the caller's first connection is noticed.
func (e *Entry) Resumed(requestID string) {
	if req := e.lookup(requestID); req != nil {
		req.resumedElsewhere.Store(true)
	}
}

// Status returns the phase of a request that this instance holds or held, for
// claims by other instances.
func (e *Entry) Status(requestID string) (phase claim.Phase, upstreamName string, known bool) {
	req := e.lookup(requestID)
	if req == nil {
		return 0, "", false
	}
	switch state := req.stateMachine.State(); {
	case state == stateRefused && !req.claimGranted.Load():
		// The claim may have been granted to an attempt before this one.
		return 0, "", false
	case state == stateRefused:
		phase = claim.Abandoned
	case !req.stateMachine.Is(flagDispatched):
		phase = claim.Held
	case req.stateMachine.Final():
		phase = claim.Finished
	default:
		phase = claim.Dispatched
	}
	return phase, req.upstreamName(), true
}

func (e *Entry) lookup(requestID string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestsByKey[requestID]
}

// highestTierShare is the share of the limit of requests that is kept for the
// highest tier, so that no lower tier is admitted when it is refused.
const highestTierReserveDivisor = 10

// admit counts the request among those held.
func (e *Entry) admit(req *request, isHighest bool) *errkind.Error {
	limit := e.Settings.Limits.Requests
	if !isHighest {
		limit -= limit / highestTierReserveDivisor
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// Under the lock, so that a drain sees every request that was admitted.
	if !e.instanceMachine.Is(flagAccepts) {
		return errkind.New(errkind.ShuttingDown, "the instance is leaving")
	}
	if len(e.inFlight) >= limit {
		return errkind.New(errkind.Overloaded, "the instance holds %d requests", len(e.inFlight))
	}
	e.inFlight[req] = struct{}{}
	return nil
}

// register makes the request known by its identity or its ID. If an earlier attempt at
// this instance is in progress or was dispatched, it returns what is known of
// it, and the request takes its ID.
func (e *Entry) registerKey(req *request, key string) (claim.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if earlier := e.requestsByKey[key]; earlier != nil {
		switch state := earlier.stateMachine.State(); {
		case state == stateRefused:
		case !earlier.stateMachine.Is(flagDispatched):
			return claim.Reply{Result: claim.InProgress}, true
		case earlier.stateMachine.Final():
			req.id = earlier.id
			return claim.Reply{Result: claim.AlreadyFinished, Upstream: earlier.upstreamName()}, true
		default:
			req.id = earlier.id
			return claim.Reply{Result: claim.InProgress, Upstream: earlier.upstreamName()}, true
		}
	}
	e.requestsByKey[key] = req
	req.lookupKeys = append(req.lookupKeys, key)
	return claim.Reply{}, false
}

// drop ends the hold on a request; its run state is kept for a while.
func (e *Entry) retire(req *request) {
	req.cancel(nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	req.body, req.header = nil, nil
	delete(e.inFlight, req)
	if len(req.lookupKeys) > 0 {
		e.retained = append(e.retained, req)
	}
	for len(e.retained) > e.Settings.Limits.KeptRequests {
		oldest := e.retained[0]
		for _, key := range oldest.lookupKeys {
			if e.requestsByKey[key] == oldest {
				delete(e.requestsByKey, key)
			}
		}
		e.retained = e.retained[1:]
	}
	if len(e.inFlight) == 0 && e.drained != nil {
		close(e.drained)
		e.drained = nil
	}
}

// isHighest reports whether no tier has a higher priority.
func isHighestTier(snapshot *conf.Snapshot, tier *record.Tier) bool {
	for _, other := range snapshot.Tiers {
		if other.Priority > tier.Priority {
			return false
		}
	}
	return true
}
