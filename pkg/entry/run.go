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
		e.refuseUnread(w, r, errkind.New(errkind.NotReady, "the configuration is not known yet"))
		return
	}
	if !e.instance.Is(flagAccepts) {
		e.refuseUnread(w, r, errkind.New(errkind.ShuttingDown, "the instance is leaving"))
		return
	}
	q, err := e.parse(snapshot, w, r)
	if err == nil {
		err = e.inTime(r, q)
	}
	if err == nil {
		err = e.admit(q, isHighest(snapshot, q.tier))
	}
	if err != nil {
		e.finishRefused(w, q, err)
		return
	}
	defer e.drop(q)
	defer e.endOnPanic(q)
	deadline := e.Clock.AfterFunc(q.deadline.Sub(e.Clock.Now()), func() {
		// After the dispatch a late answer is worth more than none.
		q.refuse(errkind.New(errkind.DeadlineExceeded, "the deadline passed before the dispatch"))
	})
	defer deadline.Stop()
	stop := context.AfterFunc(r.Context(), func() { e.onCallerGone(q) })
	defer stop()
	e.run(w, q)
}

// endOnPanic ends a request whose handler panics, so that neither its grant nor
// its claim stays held, and lets the panic go on to the handler's recovery.
func (e *Entry) endOnPanic(q *request) {
	cause := recover()
	if cause == nil {
		return
	}
	reason := errkind.New(errkind.Internal, "panic in the request handler")
	outcome := sched.NotDispatched
	q.refuse(reason)
	phase := claim.Abandoned
	if q.machine.Is(flagDispatched) {
		// The panic is the entry's own and no sign of a broken upstream.
		outcome, phase = sched.Cancelled, claim.Finished
		q.machine.Fire(eventBreak)
	}
	if q.granted.Load() {
		e.Claimer.Update(q.id, phase, q.upstreamName())
	}
	if q.holdsGrant {
		e.release(q, outcome)
	}
	e.logEnd(q, reason)
	panic(cause)
}

// inTime checks what may have happened while the request was read. The timers
// that are set afterwards run in goroutines of their own and may come too late.
func (e *Entry) inTime(r *http.Request, q *request) *errkind.Error {
	if r.Context().Err() != nil {
		return errkind.New(errkind.CallerGone, "the caller closed its connection")
	}
	if !e.Clock.Now().Before(q.deadline) {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed while the request was read")
	}
	return nil
}

// run takes an admitted request to its end.
func (e *Entry) run(w http.ResponseWriter, q *request) {
	reply, err := e.claim(w, q)
	if err != nil {
		e.finishRefused(w, q, q.refused(err))
		return
	}
	if reply.Result != claim.Granted {
		e.follow(w, q, reply)
		return
	}
	answer, err := e.place(q)
	switch {
	case err == nil:
		e.deliver(w, q, answer)
	case q.machine.Is(flagDispatched):
		e.afterBreak(w, q, err)
	default:
		err = q.refused(err)
		e.Claimer.Update(q.id, claim.Abandoned, "")
		e.finishRefused(w, q, err)
	}
}

// claim gets the right to dispatch the request. An ID that this entry issues
// is claimed in the same way, which takes no message.
func (e *Entry) claim(w http.ResponseWriter, q *request) (claim.Reply, *errkind.Error) {
	identity := q.identity
	if identity == "" {
		identity = e.Claimer.NewID(q.team.Name)
	}
	q.machine.Fire(eventClaim)
	// One attempt per identity claims at a time: after a claim is granted, no
	// other attempt at this instance can have been dispatched under it.
	if local, found := e.register(q, q.team.Name+"\x00"+identity); found {
		w.Header().Set(headerRequestID, q.id)
		return local, nil
	}
	reply, err := e.Claimer.Claim(q.ctx, q.team.Name, identity)
	if err != nil {
		return reply, typed(err, "the claim failed")
	}
	q.id = e.claimedID(reply, q.team.Name, identity)
	w.Header().Set(headerRequestID, q.id)
	switch reply.Result {
	case claim.Granted:
		return reply, e.granted(w, q)
	case claim.Lost:
		return reply, errkind.New(errkind.IssuerLost, "the issuer of the request ID is gone")
	}
	return reply, nil
}

// followKind is the kind of an attempt that only knows of an earlier one.
func followKind(reply claim.Reply) errkind.Kind {
	if reply.Result == claim.AlreadyFinished {
		return errkind.AlreadyRan
	}
	return errkind.InProgress
}

// granted makes the request known by its ID.
func (e *Entry) granted(w http.ResponseWriter, q *request) *errkind.Error {
	q.granted.Store(true)
	// A key and an issued ID can lead to the same request.
	if local, found := e.register(q, q.id); found {
		return errkind.New(followKind(local), "the request is held or was run by this instance")
	}
	if !q.machine.Fire(eventClaimed) {
		e.Claimer.Update(q.id, claim.Abandoned, "")
		return errkind.New(errkind.Internal, "refused while claiming")
	}
	if q.identity == "" && q.early {
		// A caller that loses its connection can ask for the request by its ID.
		w.WriteHeader(http.StatusEarlyHints)
	}
	return nil
}

// claimedID returns the ID under which the claimer and the upstreams know the
// request. It is the same at every instance, so that a second attempt finds
// the first at the engine.
func (e *Entry) claimedID(reply claim.Reply, team, identity string) string {
	if e.RequestIDOf != nil {
		return e.RequestIDOf(reply)
	}
	if e.IsIssued != nil && e.IsIssued(identity) {
		return identity
	}
	sum := sha256.Sum256([]byte(team + "\x00" + identity))
	return "key-" + hex.EncodeToString(sum[:16])
}

// typed returns err as an error of a kind.
func typed(err error, message string) *errkind.Error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	return errkind.Wrap(errkind.Internal, err, "%s", message)
}

// place gets a grant and dispatches the request, again with a new grant as
// long as nothing was dispatched.
func (e *Entry) place(q *request) (*upstream.Answer, *errkind.Error) {
	dials := 0
	for range maxGrants {
		grant, err := e.acquire(q)
		if err != nil {
			return nil, err
		}
		answer, err := e.dispatch(q, grant)
		if err == nil || q.machine.Is(flagDispatched) {
			return answer, err
		}
		if first := q.refusal.Load(); first != nil {
			e.release(q, sched.NotDispatched)
			return nil, first
		}
		if err.Kind != errkind.DialFailed {
			q.machine.Fire(eventReturn)
			e.release(q, sched.NotDispatched)
			e.Log.V(1).Info("grant returned", "request", q.id, "upstream", grant.Upstream, "error", err.Error())
			continue
		}
		q.machine.Fire(eventDialFailed)
		e.release(q, sched.DialFailed)
		if dials++; dials == maxDials {
			return nil, err
		}
	}
	return nil, errkind.New(errkind.NoUpstream, "no grant of %d could be used", maxGrants)
}

// accept records the grant. If the request was refused meanwhile, the grant is
// returned.
func (e *Entry) accept(q *request, poolName string, grant sched.Grant) *errkind.Error {
	q.pool = poolName
	q.holdsGrant = true
	q.upstream.Store(&grant.Upstream)
	e.Log.Info("granted", "request", q.id, "team", q.team.Name, "tier", q.tier.Name, "target", q.target.name,
		"pool", poolName, "upstream", grant.Upstream, "reason", grant.Reason, "preferred_to", grant.PreferredTo)
	if q.machine.Fire(eventGrant) {
		return nil
	}
	e.release(q, sched.NotDispatched)
	return errkind.New(errkind.Internal, "refused while granted")
}

// dispatch sends the request to the granted upstream. The state after it tells
// whether a byte may have been sent.
func (e *Entry) dispatch(q *request, grant sched.Grant) (*upstream.Answer, *errkind.Error) {
	snapshot := e.Config.Snapshot()
	version, found := modelVersion(snapshot, grant.Upstream, q.target.model)
	if q.target.engine() && !found {
		return nil, errkind.New(errkind.NoUpstream, "the upstream serves no version of the model that may be used")
	}
	if err := e.usable(snapshot, grant, version); err != nil {
		return nil, typed(err, "the grant is not usable")
	}
	if !q.machine.Fire(eventDial) {
		return nil, errkind.New(errkind.Internal, "refused before the dial")
	}
	target := snapshot.Upstreams[grant.Upstream]
	q.address = target.Address
	attempt := q.attempt.Add(1)
	call := upstream.Call{
		Address:         target.Address,
		RequestID:       q.id,
		Method:          q.method,
		Path:            q.target.path,
		Header:          q.upstreamHeader(),
		Body:            q.body,
		EchoesRequestID: target.EchoesRequestID,
		OnDispatch:      func() error { return e.onDispatch(q, grant, version, attempt) },
	}
	if version != "" {
		call.Header.Set(headerModelVersion, version)
	}
	client := upstream.Dispatcher(e.Engine)
	if !q.target.engine() {
		client = e.Service
	}
	answer, failure := client.Dispatch(q.ctx, call)
	if failure != nil {
		return nil, typed(failure, "the dispatch failed")
	}
	return answer, nil
}

// onDispatch is the last check before the first byte. The check and the change
// of state are one step, so that no refusal as not run comes in between.
func (e *Entry) onDispatch(q *request, grant sched.Grant, version string, attempt int64) error {
	err := q.machine.FireIf(eventDispatch, func() error {
		if q.attempt.Load() != attempt {
			return errkind.New(errkind.DialFailed, "the dispatch was given up")
		}
		if !e.instance.Is(flagAccepts) {
			return errkind.New(errkind.ShuttingDown, "the instance is leaving")
		}
		snapshot := e.Config.Snapshot()
		if err := e.usable(snapshot, grant, version); err != nil {
			return err
		}
		if snapshot.Upstreams[grant.Upstream].Address != q.address {
			return errkind.New(errkind.NoUpstream, "the upstream's address has changed")
		}
		q.dispatched = e.Clock.Now()
		return nil
	})
	if err != nil {
		return err
	}
	e.Claimer.Update(q.id, claim.Dispatched, grant.Upstream)
	return nil
}

// usable checks a grant against the clock and the configuration in force. The
// expiry is compared on the monotonic clock, which both times carry.
func (e *Entry) usable(snapshot *conf.Snapshot, grant sched.Grant, version string) error {
	if !e.Clock.Now().Before(grant.Expiry) {
		return errkind.New(errkind.NoUpstream, "the grant has expired")
	}
	if !snapshot.Servable(grant.Upstream, version) {
		return errkind.New(errkind.NoUpstream, "the upstream or the model version is withdrawn")
	}
	return nil
}

// release reports the end of the grant to its scheduler.
func (e *Entry) release(q *request, outcome sched.Outcome) {
	q.holdsGrant = false
	ctx, done := e.shortContext()
	defer done()
	if outcome == sched.NotDispatched || outcome == sched.DialFailed {
		e.returnBytes(q)
	}
	result := sched.Result{
		RequestID:    q.id,
		Outcome:      outcome,
		CachedTokens: q.cachedTokens,
		OutputTokens: q.outputTokens,
	}
	if !q.dispatched.IsZero() {
		result.Total = e.Clock.Since(q.dispatched)
		if !q.firstToken.IsZero() {
			result.FirstToken = q.firstToken.Sub(q.dispatched)
		}
	}
	e.Pool.Release(ctx, q.pool, q.work, result)
}

// shortContext bounds calls that must not hold up a request that has ended.
func (e *Entry) shortContext() (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(context.Background(), e.Clock, e.Settings.Timeouts.Release)
}
