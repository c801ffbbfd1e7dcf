package pool

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// hello opens a session. What the entry does not list was not dispatched: its
// waiting requests will be acquired again, and a grant that it does not hold
// was lost on its way or returned.
func (l *loop) hello(now time.Time, m opened) {
	ref := m.hello.Instance
	for holder, e := range l.entries {
		if e.id == ref.Id && e.incarnation < ref.Incarnation {
			l.end(e.session)
			delete(l.entries, holder)
			l.apply(now, l.scheduler.DropHolder(now, holder))
		}
	}
	if len(l.entries) == 0 {
		// Loads were not read while nobody asked for grants.
		l.nextLoad = now
	}
	holder := m.session.holder
	e := l.entries[holder]
	if e == nil {
		e = &entryState{id: ref.Id, incarnation: ref.Incarnation, waiting: map[string]sched.Work{}, grants: map[string]sched.Holding{}}
		l.entries[holder] = e
	}
	// Without a session nothing is granted to this entry until the accounts agree.
	l.end(e.session)
	e.session, e.heard = nil, now
	held := map[string]bool{}
	var unknown []sched.Holding
	for _, h := range m.hello.Holdings {
		held[h.RequestId] = true
		if _, known := e.grants[h.RequestId]; !known {
			holding := sched.Holding{RequestID: h.RequestId, Upstream: h.Upstream, Work: workFromWire(h.Work)}
			unknown = append(unknown, holding)
		}
	}
	l.cancelWaiting(now, holder, e)
	for id := range e.grants {
		if !held[id] {
			l.drop(now, holder, e, id)
		}
	}
	for _, holding := range unknown {
		e.grants[holding.RequestID] = holding
	}
	e.session = m.session
	l.send(m.session, &peer.SchedulerMessage{Body: &peer.SchedulerMessage_Welcome{Welcome: &peer.Welcome{
		Instance: &peer.InstanceRef{Id: l.server.options.View.Self().ID, Incarnation: l.server.options.View.Self().Incarnation},
		Owner:    l.owner,
	}}})
	l.scheduler.AddStrikes(now, strikesFromWire(m.hello.Strikes))
	l.apply(now, l.scheduler.AddHoldings(now, holder, unknown))
}

func (l *loop) cancelWaiting(now time.Time, holder string, e *entryState) {
	for id := range e.waiting {
		l.drop(now, holder, e, id)
	}
}

// drop ends a waiting request or a grant as not dispatched.
func (l *loop) drop(now time.Time, holder string, e *entryState, id string) {
	delete(e.waiting, id)
	delete(e.grants, id)
	l.early = slices.DeleteFunc(l.early, func(r sched.Request) bool { return r.Holder == holder && r.ID == id })
	l.apply(now, l.scheduler.Cancel(now, holder, id))
}

// disconnect ends a session. The entry's waiting requests are dropped at once;
// its grants may be in use and stay until the lease ends.
func (l *loop) disconnect(now time.Time, session *serverSession) {
	l.end(session)
	if e := l.entries[session.holder]; e != nil && e.session == session {
		e.session = nil
		l.cancelWaiting(now, session.holder, e)
	}
}

func (l *loop) end(session *serverSession) {
	if session != nil && !session.ended {
		session.ended = true
		close(session.done)
	}
}

func (l *loop) receive(ctx context.Context, now time.Time, m incoming) {
	e := l.entries[m.session.holder]
	if e == nil || e.session != m.session {
		// The session was replaced or its lease ended; its messages are stale.
		return
	}
	e.heard = now
	switch body := m.message.Body.(type) {
	case *peer.EntryMessage_Acquire:
		l.acquire(now, m.session.holder, e, body.Acquire)
	case *peer.EntryMessage_Cancel:
		l.drop(now, m.session.holder, e, body.Cancel.GetRequestId())
	case *peer.EntryMessage_Release:
		l.release(ctx, now, m.session, e, body.Release)
	case *peer.EntryMessage_Heartbeat:
		l.send(m.session, schedulerHeartbeat())
	}
}

func (l *loop) acquire(now time.Time, holder string, e *entryState, a *peer.Acquire) {
	if _, waiting := e.waiting[a.GetRequestId()]; waiting {
		return
	}
	request := sched.Request{
		ID: a.GetRequestId(), Holder: holder, Region: a.GetRegion(), Work: workFromWire(a.GetWork()),
		Deadline: now.Add(time.Duration(a.GetDeadlineMs()) * time.Millisecond),
	}
	e.waiting[request.ID] = request.Work
	if l.open {
		l.apply(now, l.scheduler.Acquire(now, request))
		return
	}
	if len(l.early) >= maxEarly {
		refused := sched.Refusal{RequestID: request.ID, Holder: holder, Kind: errkind.Overloaded, Message: "too many requests wait for a new scheduler"}
		l.apply(now, sched.Decisions{Refusals: []sched.Refusal{refused}})
		return
	}
	l.early = append(l.early, request)
}

// release ends a grant. The release of a broken upstream is acknowledged once
// the strikes are recorded here and were sent to the other domains.
func (l *loop) release(ctx context.Context, now time.Time, session *serverSession, e *entryState, r *peer.Release) {
	broken := r.GetOutcome() == peer.Outcome_OUTCOME_UPSTREAM_BROKEN
	holding, granted := e.grants[r.GetRequestId()]
	if !granted {
		if broken {
			l.send(session, schedulerAck(&peer.ReleaseAck{RequestId: r.GetRequestId()}))
		}
		return
	}
	delete(e.grants, r.GetRequestId())
	var before map[uint64]int
	if broken {
		before = l.scheduler.Strikes()
	}
	l.apply(now, l.scheduler.Release(now, resultFromWire(session.holder, r)))
	if !broken {
		return
	}
	byModel := l.newStrikes(before, holding.Work.Model)
	ack := &peer.ReleaseAck{RequestId: r.GetRequestId()}
	for _, strikes := range byModel {
		ack.Strikes = append(ack.Strikes, strikesToWire(strikes)...)
	}
	l.tasks.Go(func() {
		l.server.sendStrikes(ctx, byModel)
		l.post(ctx, reported{session, ack})
	})
}

// newStrikes returns the strikes that were added, by the model of the request
// that got them, or the given one where the request is not known.
func (l *loop) newStrikes(before map[uint64]int, broken string) map[string]map[uint64]int {
	models := map[uint64]string{}
	for _, e := range l.entries {
		for _, holding := range e.grants {
			models[holding.Work.Fingerprint] = holding.Work.Model
		}
	}
	byModel := map[string]map[uint64]int{}
	for fingerprint, count := range l.scheduler.Strikes() {
		if count <= before[fingerprint] {
			continue
		}
		model, known := models[fingerprint]
		if !known {
			model = broken
		}
		if byModel[model] == nil {
			byModel[model] = map[uint64]int{}
		}
		byModel[model][fingerprint] = count
	}
	return byModel
}

// apply logs decisions and sends them. A grant for an entry that is gone is
// ended as not dispatched, which may lead to further grants.
func (l *loop) apply(now time.Time, decisions sched.Decisions) {
	for _, g := range decisions.Grants {
		e := l.entries[g.Holder]
		var work sched.Work
		waits := false
		if e != nil {
			work, waits = e.waiting[g.RequestID]
		}
		if !waits || e.session == nil {
			l.apply(now, l.scheduler.Cancel(now, g.Holder, g.RequestID))
			continue
		}
		delete(e.waiting, g.RequestID)
		e.grants[g.RequestID] = sched.Holding{RequestID: g.RequestID, Upstream: g.Upstream, Work: work}
		l.server.options.Log.Info("request was placed", "request", g.RequestID, "team", work.Team, "tier", work.Tier,
			"upstream", g.Upstream, "reason", g.Reason, "preferred_to", g.PreferredTo)
		l.send(e.session, schedulerGrant(now, g))
	}
	for _, r := range decisions.Refusals {
		e := l.entries[r.Holder]
		if e == nil {
			continue
		}
		work := e.waiting[r.RequestID]
		delete(e.waiting, r.RequestID)
		l.server.options.Log.Info("request was refused", "request", r.RequestID, "team", work.Team, "tier", work.Tier,
			"upstream", "", "reason", string(r.Kind)+": "+r.Message, "preferred_to", "")
		if e.session != nil {
			l.send(e.session, schedulerRefuse(r))
		}
	}
}

// send queues a message for an entry. The loop must not wait for an entry that
// does not read, so a full queue ends the session.
func (l *loop) send(session *serverSession, m *peer.SchedulerMessage) {
	if session.ended {
		return
	}
	select {
	case session.out <- m:
	default:
		l.end(session)
	}
}
