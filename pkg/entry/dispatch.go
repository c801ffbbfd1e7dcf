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
	// maxDials limits the dials for one request; each goes to a new grant.
	maxDials = 3
	// maxGrants limits the grants for one request, so that a grant that is
	// never usable does not keep a request in a loop.
	maxGrants = 16
)

// serveRequest serves chat completions and calls to services.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	snapshot := e.Config.Snapshot()
	if !snapshot.Usable {
		e.rejectUnread(w, r, errkind.New(errkind.NotReady, "the configuration is not known yet"))
		return
	}
	if !e.instanceMachine.Is(flagAccepts) {
		e.rejectUnread(w, r, errkind.New(errkind.ShuttingDown, "the instance is leaving"))
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
		// After the dispatch a late answer is worth more than none.
		req.refuse(errkind.New(errkind.DeadlineExceeded, "the deadline passed before the dispatch"))
	})
	defer deadlineTimer.Stop()
	stopDisconnectHook := context.AfterFunc(r.Context(), func() { e.onCallerGone(req) })
	defer stopDisconnectHook()
	e.process(w, req)
}

// endOnPanic ends a request whose handler panics, so that neither its grant nor
// its claim stays held, and lets the panic go on to the handler's recovery.
func (e *Entry) endOnPanic(req *request) {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	reason := errkind.New(errkind.Internal, "panic in the request handler")
	outcome := sched.NotDispatched
	req.refuse(reason)
	phase := claim.Abandoned
	if req.stateMachine.Is(flagDispatched) {
		// The panic is the entry's own and no sign of a broken upstream.
		outcome, phase = sched.Cancelled, claim.Finished
		req.stateMachine.Fire(eventBreak)
	}
	if req.claimGranted.Load() {
		e.Claimer.Update(req.id, phase, req.upstreamName())
	}
	if req.holdsGrant {
		e.releaseGrant(req, outcome)
	}
	e.logEnd(req, reason)
	panic(panicValue)
}

// inTime checks what may have happened while the request was read. The timers
// that are set afterwards run in goroutines of their own and may come too late.
func (e *Entry) checkAfterRead(r *http.Request, req *request) *errkind.Error {
	if r.Context().Err() != nil {
		return errkind.New(errkind.CallerGone, "the caller closed its connection")
	}
	if !e.Clock.Now().Before(req.deadline) {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed while the request was read")
	}
	return nil
}

// run takes an admitted request to its end.
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
	case req.stateMachine.Is(flagDispatched):
		e.recoverAnswer(w, req, err)
	default:
		err = req.refuseOrKeepFirst(err)
		e.Claimer.Update(req.id, claim.Abandoned, "")
		e.finishRefused(w, req, err)
	}
}

// claim gets the right to dispatch the request. An ID that this entry issues
// is claimed in the same way, which takes no message.
func (e *Entry) claim(w http.ResponseWriter, req *request) (claim.Reply, *errkind.Error) {
	idempotencyKey := req.idempotencyKey
	if idempotencyKey == "" {
		idempotencyKey = e.Claimer.NewID(req.team.Name)
	}
	req.stateMachine.Fire(eventClaim)
	// One attempt per identity claims at a time: after a claim is granted, no
	// other attempt at this instance can have been dispatched under it.
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

// followKind is the kind of an attempt that only knows of an earlier one.
func earlierAttemptKind(reply claim.Reply) errkind.Kind {
	if reply.Result == claim.AlreadyFinished {
		return errkind.AlreadyRan
	}
	return errkind.InProgress
}

// granted makes the request known by its ID.
func (e *Entry) onClaimGranted(w http.ResponseWriter, req *request) *errkind.Error {
	req.claimGranted.Store(true)
	// A key and an issued ID can lead to the same request.
	if earlier, found := e.registerKey(req, req.id); found {
		return errkind.New(earlierAttemptKind(earlier), "the request is held or was run by this instance")
	}
	if !req.stateMachine.Fire(eventClaimed) {
		e.Claimer.Update(req.id, claim.Abandoned, "")
		return errkind.New(errkind.Internal, "refused while claiming")
	}
	if req.idempotencyKey == "" && req.acceptsEarlyHints {
		// A caller that loses its connection can ask for the request by its ID.
		w.WriteHeader(http.StatusEarlyHints)
	}
	return nil
}

// claimedID returns the ID under which the claimer and the upstreams know the
// request. It is the same at every instance, so that a second attempt finds
// the first at the engine.
func (e *Entry) requestIDFor(reply claim.Reply, team, idempotencyKey string) string {
	if e.RequestIDOf != nil {
		return e.RequestIDOf(reply)
	}
	if e.IsIssued != nil && e.IsIssued(idempotencyKey) {
		return idempotencyKey
	}
	sum := sha256.Sum256([]byte(team + "\x00" + idempotencyKey))
	return "key-" + hex.EncodeToString(sum[:16])
}

// typed returns err as an error of a kind.
func asKindError(err error, message string) *errkind.Error {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		return kindErr
	}
	return errkind.Wrap(errkind.Internal, err, "%s", message)
}

// place gets a grant and dispatches the request, again with a new grant as
// long as nothing was dispatched.
func (e *Entry) dispatchUnderGrant(req *request) (*upstream.Answer, *errkind.Error) {
	dialFailures := 0
	for range maxGrants {
		grant, err := e.acquireGrant(req)
		if err != nil {
			return nil, err
		}
		answer, err := e.dispatch(req, grant)
		if err == nil || req.stateMachine.Is(flagDispatched) {
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
		if dialFailures++; dialFailures == maxDials {
			return nil, err
		}
	}
	return nil, errkind.New(errkind.NoUpstream, "no grant of %d could be used", maxGrants)
}

// accept records the grant. If the request was refused meanwhile, the grant is
// returned.
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
	return errkind.New(errkind.Internal, "refused while granted")
}

// dispatch sends the request to the granted upstream. The state after it tells
// whether a byte may have been sent.
func (e *Entry) dispatch(req *request, grant sched.Grant) (*upstream.Answer, *errkind.Error) {
	snapshot := e.Config.Snapshot()
	version, found := selectModelVersion(snapshot, grant.Upstream, req.target.model)
	if req.target.isEngine() && !found {
		return nil, errkind.New(errkind.NoUpstream, "the upstream serves no version of the model that may be used")
	}
	if err := e.checkGrant(snapshot, grant, version); err != nil {
		return nil, asKindError(err, "the grant is not usable")
	}
	if !req.stateMachine.Fire(eventDial) {
		return nil, errkind.New(errkind.Internal, "refused before the dial")
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

// onDispatch is the last check before the first byte. The check and the change
// of state are one step, so that no refusal as not run comes in between.
func (e *Entry) onDispatch(req *request, grant sched.Grant, version string, attempt int64) error {
	err := req.stateMachine.FireIf(eventDispatch, func() error {
		if req.dispatchAttempt.Load() != attempt {
			return errkind.New(errkind.DialFailed, "the dispatch was given up")
		}
		if !e.instanceMachine.Is(flagAccepts) {
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
	e.Claimer.Update(req.id, claim.Dispatched, grant.Upstream)
	return nil
}

// usable checks a grant against the clock and the configuration in force. The
// expiry is compared on the monotonic clock, which both times carry.
func (e *Entry) checkGrant(snapshot *conf.Snapshot, grant sched.Grant, version string) error {
	if !e.Clock.Now().Before(grant.Expiry) {
		return errkind.New(errkind.NoUpstream, "the grant has expired")
	}
	if !snapshot.Servable(grant.Upstream, version) {
		return errkind.New(errkind.NoUpstream, "the upstream or the model version is withdrawn")
	}
	return nil
}

// release reports the end of the grant to its scheduler.
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

// shortContext bounds calls that must not hold up a request that has ended.
func (e *Entry) releaseContext() (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(context.Background(), e.Clock, e.Settings.Timeouts.Release)
}
