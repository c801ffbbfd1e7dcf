package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const (
	// maxDialFailures limits the failed dials of one request; each dial needs a new
	// grant.
	maxDialFailures = 3
	// maxGrants limits the grants of one request, so that it does not loop over
	// grants that cannot be used.
	maxGrants = 16
)

// serveRequest serves chat completions and calls to services.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	snapshot := e.Config.Snapshot()
	if !snapshot.Usable {
		e.refuseUnread(w, r, errkind.New(errkind.NotReady, "the configuration is not known yet"))
		return
	}
	if !e.instanceMachine.HasFlag(flagAccepts) {
		e.refuseUnread(w, r, errkind.New(errkind.ShuttingDown, "the instance is leaving"))
		return
	}
	req, err := e.parseRequest(snapshot, w, r)
	if err == nil {
		err = e.checkAfterRead(r, req)
	}
	if err == nil {
		err = e.admit(req, isHighestTier(snapshot, req.tier))
	}
	if err != nil {
		e.finishRefused(w, req, err)
		return
	}
	defer e.retire(req)
	defer e.endOnPanic(req)
	deadlineTimer := e.Clock.AfterFunc(req.deadline.Sub(e.Clock.Now()), func() {
		// A refusal has no effect after the dispatch: a late answer is still delivered.
		req.refuse(errkind.New(errkind.DeadlineExceeded, "the deadline passed before the dispatch"))
	})
	defer deadlineTimer.Stop()
	stopDisconnectHook := context.AfterFunc(r.Context(), func() { e.onCallerGone(req) })
	defer stopDisconnectHook()
	e.process(w, req)
}

// endOnPanic releases the grant and the claim of a request whose handler
// panics, and panics again for recoverPanics.
func (e *Entry) endOnPanic(req *request) {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	reason := errkind.New(errkind.Internal, "panic in the request handler")
	outcome := sched.NotDispatched
	req.refuse(reason)
	phase := claim.Abandoned
	if req.stateMachine.HasFlag(flagDispatched) {
		// The panic is a fault of the entry, not of the upstream.
		outcome, phase = sched.Cancelled, claim.Finished
		req.stateMachine.Fire(eventBreak)
	}
	if req.claimGranted.Load() {
		e.Claimer.UpdatePhase(req.id, phase, req.upstreamName())
	}
	if req.holdsGrant {
		e.releaseGrant(req, outcome)
	}
	e.logEnd(req, reason)
	panic(panicValue)
}

// checkAfterRead refuses a request whose caller disconnected or whose deadline
// passed while it was read. The hooks on these two events are set later, run in
// goroutines of their own and may take effect too late.
func (e *Entry) checkAfterRead(r *http.Request, req *request) *errkind.Error {
	if r.Context().Err() != nil {
		return errkind.New(errkind.CallerGone, "the caller closed its connection")
	}
	if !e.Clock.Now().Before(req.deadline) {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed while the request was read")
	}
	return nil
}

// process claims, dispatches and answers an admitted request.
func (e *Entry) process(w http.ResponseWriter, req *request) {
	reply, err := e.claim(w, req)
	if err != nil {
		e.finishRefused(w, req, req.refuseOrKeepFirst(err))
		return
	}
	if reply.Result != claim.Granted {
		e.followEarlierAttempt(w, req, reply)
		return
	}
	answer, err := e.dispatchUnderGrant(req)
	switch {
	case err == nil:
		e.deliverAnswer(w, req, answer)
	case req.stateMachine.HasFlag(flagDispatched):
		e.recoverAnswer(w, req, err)
	default:
		err = req.refuseOrKeepFirst(err)
		e.Claimer.UpdatePhase(req.id, claim.Abandoned, "")
		e.finishRefused(w, req, err)
	}
}

// claim gets the right to dispatch the request. Without an idempotency key, an ID
// is issued here and claimed in the same way; as this instance is the issuer, that
// claim needs no message.
func (e *Entry) claim(w http.ResponseWriter, req *request) (claim.Reply, *errkind.Error) {
	idempotencyKey := req.idempotencyKey
	if idempotencyKey == "" {
		idempotencyKey = e.Claimer.NewID(req.team.Name)
	}
	req.stateMachine.Fire(eventClaim)
	// Only one attempt per key claims at a time. Once its claim is granted, no
	// other attempt at this instance can have been dispatched under the key.
	if earlier, found := e.registerKey(req, req.team.Name+"\x00"+idempotencyKey); found {
		w.Header().Set(headerRequestID, req.id)
		return earlier, nil
	}
	reply, err := e.Claimer.Claim(req.ctx, req.team.Name, idempotencyKey)
	if err != nil {
		return reply, asKindError(err, "the claim failed")
	}
	req.id = e.requestIDFor(reply, req.team.Name, idempotencyKey)
	w.Header().Set(headerRequestID, req.id)
	switch reply.Result {
	case claim.Granted:
		return reply, e.onClaimGranted(w, req)
	case claim.Lost:
		return reply, errkind.New(errkind.IssuerLost, "the issuer of the request ID is gone")
	}
	return reply, nil
}

// earlierAttemptKind returns the error kind for an attempt whose idempotency
// key was used by an earlier attempt.
func earlierAttemptKind(reply claim.Reply) errkind.Kind {
	if reply.Result == claim.AlreadyFinished {
		return errkind.AlreadyRan
	}
	return errkind.InProgress
}

// onClaimGranted registers the request by its ID and sends the ID to the
// caller.
func (e *Entry) onClaimGranted(w http.ResponseWriter, req *request) *errkind.Error {
	req.claimGranted.Store(true)
	// A caller's key and an issued ID can denote the same request.
	if earlier, found := e.registerKey(req, req.id); found {
		return errkind.New(earlierAttemptKind(earlier), "the request is in progress or has run at this instance")
	}
	if !req.stateMachine.Fire(eventClaimed) {
		e.Claimer.UpdatePhase(req.id, claim.Abandoned, "")
		return errkind.New(errkind.Internal, "the request was refused during the claim")
	}
	if req.idempotencyKey == "" && req.acceptsEarlyHints {
		// A caller that loses its connection can query the request by its ID.
		w.WriteHeader(http.StatusEarlyHints)
	}
	return nil
}

// requestIDFor returns the ID under which the claimer and the upstreams know
// the request. It is the same at every instance, so that a second attempt finds
// the answer of the first at the engine.
func (e *Entry) requestIDFor(reply claim.Reply, team, idempotencyKey string) string {
	if e.RequestIDOf != nil {
		return e.RequestIDOf(reply)
	}
	if e.IsIssuedID != nil && e.IsIssuedID(idempotencyKey) {
		return idempotencyKey
	}
	sum := sha256.Sum256([]byte(team + "\x00" + idempotencyKey))
	return "key-" + hex.EncodeToString(sum[:16])
}

// asKindError returns the *errkind.Error in err, or wraps err as an internal
// error with the message.
func asKindError(err error, message string) *errkind.Error {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		return kindErr
	}
	return errkind.Wrap(errkind.Internal, err, "%s", message)
}

// dispatchUnderGrant gets a grant and dispatches the request, and tries again
// with a new grant while nothing has been dispatched.
func (e *Entry) dispatchUnderGrant(req *request) (*upstream.Answer, *errkind.Error) {
	dialFailures := 0
	for range maxGrants {
		grant, err := e.acquireGrant(req)
		if err != nil {
			return nil, err
		}
		answer, err := e.dispatch(req, grant)
		if err == nil || req.stateMachine.HasFlag(flagDispatched) {
			return answer, err
		}
		if refusal := req.refusal.Load(); refusal != nil {
			e.releaseGrant(req, sched.NotDispatched)
			return nil, refusal
		}
		if err.Kind != errkind.DialFailed {
			req.stateMachine.Fire(eventReturn)
			e.releaseGrant(req, sched.NotDispatched)
			e.Log.V(1).Info("grant returned", "request", req.id, "upstream", grant.Upstream, "error", err.Error())
			continue
		}
		req.stateMachine.Fire(eventDialFailed)
		e.releaseGrant(req, sched.DialFailed)
		if dialFailures++; dialFailures == maxDialFailures {
			return nil, err
		}
	}
	return nil, errkind.New(errkind.NoUpstream, "none of %d grants could be used", maxGrants)
}

// acceptGrant records the grant, or releases it if the request was refused
// meanwhile.
func (e *Entry) acceptGrant(req *request, poolName string, grant sched.Grant) *errkind.Error {
	req.poolName = poolName
	req.holdsGrant = true
	req.assignedUpstream.Store(&grant.Upstream)
	e.Log.Info("granted", "request", req.id, "team", req.team.Name, "tier", req.tier.Name, "target", req.target.name,
		"pool", poolName, "upstream", grant.Upstream, "reason", grant.Reason, "preferred_to", grant.PreferredTo)
	if req.stateMachine.Fire(eventGrant) {
		return nil
	}
	e.releaseGrant(req, sched.NotDispatched)
	return errkind.New(errkind.Internal, "the request was refused before the grant arrived")
}

// dispatch sends the request to the granted upstream. After an error, the state
// of the request tells whether a byte may have been sent.
func (e *Entry) dispatch(req *request, grant sched.Grant) (*upstream.Answer, *errkind.Error) {
	snapshot := e.Config.Snapshot()
	version, found := selectModelVersion(snapshot, grant.Upstream, req.target.model)
	if req.target.isEngine() && !found {
		return nil, errkind.New(errkind.NoUpstream, "the upstream serves no usable version of the model")
	}
	if err := e.checkGrant(snapshot, grant, version); err != nil {
		return nil, asKindError(err, "the grant is not usable")
	}
	if !req.stateMachine.Fire(eventDial) {
		return nil, errkind.New(errkind.Internal, "the request was refused before the dial")
	}
	destination := snapshot.Upstreams[grant.Upstream]
	req.upstreamAddress = destination.Address
	attempt := req.dispatchAttempt.Add(1)
	call := upstream.Call{
		Address:         destination.Address,
		RequestID:       req.id,
		Method:          req.method,
		Path:            req.target.path,
		Header:          req.upstreamHeader(),
		Body:            req.body,
		EchoesRequestID: destination.EchoesRequestID,
		OnDispatch:      func() error { return e.onDispatch(req, grant, version, attempt) },
	}
	if version != "" {
		call.Header.Set(headerModelVersion, version)
	}
	dispatcher := upstream.Dispatcher(e.Engine)
	if !req.target.isEngine() {
		dispatcher = e.Service
	}
	answer, dispatchErr := dispatcher.Dispatch(req.ctx, call)
	if dispatchErr != nil {
		return nil, asKindError(dispatchErr, "the dispatch failed")
	}
	return answer, nil
}

// onDispatch makes the last checks before the first byte is sent. They are
// atomic with the change of state, so that the request cannot be refused as not
// run in between.
func (e *Entry) onDispatch(req *request, grant sched.Grant, version string, attempt int64) error {
	err := req.stateMachine.FireIf(eventDispatch, func() error {
		if req.dispatchAttempt.Load() != attempt {
			return errkind.New(errkind.DialFailed, "the dispatch was abandoned")
		}
		if !e.instanceMachine.HasFlag(flagAccepts) {
			return errkind.New(errkind.ShuttingDown, "the instance is leaving")
		}
		snapshot := e.Config.Snapshot()
		if err := e.checkGrant(snapshot, grant, version); err != nil {
			return err
		}
		if snapshot.Upstreams[grant.Upstream].Address != req.upstreamAddress {
			return errkind.New(errkind.NoUpstream, "the upstream's address has changed")
		}
		req.dispatchedAt = e.Clock.Now()
		return nil
	})
	if err != nil {
		return err
	}
	e.Claimer.UpdatePhase(req.id, claim.Dispatched, grant.Upstream)
	return nil
}

// checkGrant returns an error if the grant has expired, or its upstream or
// model version is withdrawn. Both times carry the monotonic clock, which the
// comparison uses.
func (e *Entry) checkGrant(snapshot *conf.Snapshot, grant sched.Grant, version string) error {
	if !e.Clock.Now().Before(grant.Expiry) {
		return errkind.New(errkind.NoUpstream, "the grant has expired")
	}
	if !snapshot.IsServable(grant.Upstream, version) {
		return errkind.New(errkind.NoUpstream, "the upstream or the model version is withdrawn")
	}
	return nil
}

// releaseGrant reports the outcome of the grant to its scheduler.
func (e *Entry) releaseGrant(req *request, outcome sched.Outcome) {
	req.holdsGrant = false
	ctx, cancel := e.releaseContext()
	defer cancel()
	if outcome == sched.NotDispatched || outcome == sched.DialFailed {
		e.returnCrossRegionBytes(req)
	}
	result := sched.Result{
		RequestID:    req.id,
		Outcome:      outcome,
		CachedTokens: req.cachedTokens,
		OutputTokens: req.outputTokens,
	}
	if !req.dispatchedAt.IsZero() {
		result.Total = e.Clock.Since(req.dispatchedAt)
		if !req.firstTokenAt.IsZero() {
			result.FirstToken = req.firstTokenAt.Sub(req.dispatchedAt)
		}
	}
	e.Pool.Release(ctx, req.poolName, req.work, result)
}

// releaseContext returns a context with the release timeout, for calls that
// must not delay the end of a request.
func (e *Entry) releaseContext() (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(context.Background(), e.Clock, e.Settings.Timeouts.Release)
}
