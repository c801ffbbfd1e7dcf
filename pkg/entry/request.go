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
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Events, states and flags of the request state chart, which explains them.
// eventReturn returns a grant unused, after which the request waits for another one.
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

// target is the model or service that a request is for.
type target struct {
	// name is "model:NAME" or "service:NAME".
	name    string
	model   string
	service string
	// stream is true if the caller asked for server-sent events.
	stream bool
	// path is the path and query sent to the upstream.
	path string
}

// isEngine reports whether the target is a model, which engines serve.
func (t target) isEngine() bool { return t.model != "" }

// request is the state of one request at this instance.
type request struct {
	// id is the request ID sent to upstreams; empty until the claim is answered.
	id string
	// idempotencyKey is the Idempotency-Key header: an issued request ID or a key
	// of the caller's choice. It is empty if the caller sent none.
	idempotencyKey string
	// lookupKeys are the keys under which Entry.requestsByKey holds this request,
	// guarded by Entry.mu.
	lookupKeys []string
	team       *record.Team
	tier       *record.Tier
	target     target
	// answerBuffer holds the body of an answer that is not streamed; nil before.
	answerBuffer *membudget.Buffer
	// idempotent is false if the request must not be cancelled while it runs.
	idempotent bool
	method     string
	header     http.Header
	body       []byte
	// work describes the request to the scheduler.
	work       sched.Work
	receivedAt time.Time
	deadline   time.Time

	stateMachine *chart.Machine
	// ctx bounds all work for the request. It outlives the caller's connection,
	// since a dispatched request continues without its caller.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// refusal is the reason stored by the event that refused the request.
	refusal atomic.Pointer[errkind.Error]
	// connectionClosed is closed when the caller's connection ends.
	connectionClosed chan struct{}
	// resumedElsewhere is set when the stream continues on another connection
	// or instance, so that the end of this connection does not cancel the
	// request.
	resumedElsewhere atomic.Bool
	// assignedUpstream is the name of the upstream of the last grant, or of the
	// earlier attempt or stream that the request follows.
	assignedUpstream atomic.Pointer[string]

	// dispatchAttempt counts calls of the dispatcher. A late callback of an
	// abandoned call is recognized by its old number.
	dispatchAttempt atomic.Int64
	// bodyIncomplete is true if the body could not be read to its end.
	bodyIncomplete bool
	// acceptsEarlyHints is true if the caller may be sent a 103 response.
	acceptsEarlyHints bool
	// claimGranted is set once the claimer granted this attempt the right to
	// dispatch.
	claimGranted atomic.Bool

	// The fields below are used only by the goroutine that serves the request.

	// poolName is the pool of the last grant.
	poolName        string
	upstreamAddress string
	// holdsGrant is true from a grant until its release.
	holdsGrant bool
	// crossRegionBytes is the reservation in the byte budget between regions.
	crossRegionBytes int
	dispatchedAt     time.Time
	firstTokenAt     time.Time
	outputTokens     int
	cachedTokens     int
}

// refuse ends a request that was not dispatched. Of the events that refuse,
// dispatch or end a request only one succeeds; refuse returns false if another
// event came first.
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

// refuseOrKeepFirst refuses the request and returns the reason to report: that
// of an earlier refusal if there is one.
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

// runState returns whether the request ran, as far as this instance is certain.
func (req *request) runState() errkind.RunState {
	switch {
	case !req.stateMachine.HasFlag(flagDispatched) && req.claimDecided():
		return errkind.NotRun
	case req.stateMachine.State() == "completed":
		return errkind.Ran
	default:
		return errkind.Unknown
	}
}

// claimDecided reports whether it is certain that no earlier attempt with the
// same idempotency key was dispatched: the request has no key, or its claim was
// granted.
func (req *request) claimDecided() bool { return req.idempotencyKey == "" || req.claimGranted.Load() }

// refusalRunState returns the run state to report with a refusal. Before the
// claim is decided, an earlier attempt with the same idempotency key may have
// run, unless the kind rules that out.
func (req *request) refusalRunState(kind errkind.Kind) errkind.RunState {
	runState := errkind.ResponseFor(kind).RunState
	if runState != errkind.NotRun || req.claimDecided() {
		return runState
	}
	switch {
	case kind == errkind.BadRequest && req.tier != nil && !req.bodyIncomplete:
		// Every instance refuses a malformed request. Excluded are an unknown
		// tier, which may have existed before, and an incomplete body, which an
		// earlier attempt may have sent whole.
		return errkind.NotRun
	case kind == errkind.Unauthorized && req.team != nil:
		// The request ID was issued to another team, so no attempt of this team ran.
		return errkind.NotRun
	}
	return errkind.Unknown
}

// onCallerGone handles the end of the caller's connection during a request.
func (e *Entry) onCallerGone(req *request) {
	close(req.connectionClosed)
	reason := errkind.New(errkind.CallerGone, "the caller closed its connection")
	if req.refuse(reason) {
		return
	}
	switch {
	case !req.target.isEngine() && !req.idempotent:
		// The service call runs to its end: what a cancelled call has done would
		// be unknown.
	case !req.target.isEngine():
		req.stateMachine.Fire(eventCancel)
		req.cancel(reason)
	case req.stateMachine.Fire(eventLinger):
		e.cancelAfterLinger(req, reason)
	case req.stateMachine.Fire(eventCancel):
		// An attached request only reads the answer of an earlier attempt.
		req.cancel(reason)
	}
}

// cancelAfterLinger cancels a dispatched engine request after the linger
// timeout unless its stream is resumed. The caller may resume it through any
// instance; cancelling at once would discard the prefill whenever a connection
// breaks.
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

// MarkResumed records that the stream of a request continues on another
// connection or instance, so that the request is not cancelled. It may be
// called before the end of the first connection is noticed.
func (e *Entry) MarkResumed(requestID string) {
	if req := e.lookup(requestID); req != nil {
		req.resumedElsewhere.Store(true)
	}
}

// ClaimPhase returns the claim phase of a request in flight or retained at this
// instance, for claims by other instances.
func (e *Entry) ClaimPhase(requestID string) (phase claim.Phase, upstreamName string, known bool) {
	req := e.lookup(requestID)
	if req == nil {
		return 0, "", false
	}
	switch state := req.stateMachine.State(); {
	case state == stateRefused && !req.claimGranted.Load():
		// The claim may have been granted to an earlier attempt.
		return 0, "", false
	case state == stateRefused:
		phase = claim.Abandoned
	case !req.stateMachine.HasFlag(flagDispatched):
		phase = claim.Held
	case req.stateMachine.Final():
		phase = claim.Finished
	default:
		phase = claim.Dispatched
	}
	return phase, req.upstreamName(), true
}

// lookup finds a request by its ID, or by its team and idempotency key.
func (e *Entry) lookup(key string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestsByKey[key]
}

// highestTierReserveDivisor is the divisor of the request limit that gives the
// slots reserved for the highest tier, so that no lower tier is admitted while
// the highest is refused.
const highestTierReserveDivisor = 10

// admit adds the request to those in flight, or refuses it at the limit.
func (e *Entry) admit(req *request, isHighest bool) *errkind.Error {
	limit := e.Settings.Limits.Requests
	if !isHighest {
		limit -= limit / highestTierReserveDivisor
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// Checked under the lock, so that a drain sees every admitted request.
	if !e.instanceMachine.HasFlag(flagAccepts) {
		return errkind.New(errkind.ShuttingDown, "the instance is leaving")
	}
	if len(e.inFlight) >= limit {
		return errkind.New(errkind.Overloaded, "the instance has %d requests in flight", len(e.inFlight))
	}
	e.inFlight[req] = struct{}{}
	return nil
}

// registerKey makes the request findable by key. If an earlier attempt under
// the key is in progress or was dispatched at this instance, it returns what is
// known of that attempt instead; if that attempt was dispatched, the request
// takes its ID.
func (e *Entry) registerKey(req *request, key string) (claim.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if earlier := e.requestsByKey[key]; earlier != nil {
		switch state := earlier.stateMachine.State(); {
		case state == stateRefused:
		case !earlier.stateMachine.HasFlag(flagDispatched):
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

// retire moves a request from those in flight to the retained ones, and evicts
// the oldest above the limit.
func (e *Entry) retire(req *request) {
	req.cancel(nil)
	req.releaseAnswer()
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

// isHighestTier reports whether no tier has a higher priority.
func isHighestTier(snapshot *conf.Snapshot, tier *record.Tier) bool {
	for _, other := range snapshot.Tiers {
		if other.Priority > tier.Priority {
			return false
		}
	}
	return true
}
