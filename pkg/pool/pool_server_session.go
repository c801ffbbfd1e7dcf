package pool

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// handleHello opens a session and reconciles the entry's state with Hello. The
// entry acquires its waiting requests again, so those are cancelled here. Grants
// that Hello does not list were lost in transit or returned; they end as not
// dispatched.
func (p *poolServer) handleHello(now time.Time, m helloReceived) {
	ref := m.hello.Instance
	for holder, e := range p.entries {
		if e.id == ref.Id && e.incarnation < ref.Incarnation {
			p.closeSession(e.session)
			delete(p.entries, holder)
			p.apply(now, p.scheduler.DropHolder(now, holder))
		}
	}
	if len(p.entries) == 0 {
		// Load reports are not polled while no entry is known; read them now.
		p.nextLoadPoll = now
	}
	holder := m.session.holder
	e := p.entries[holder]
	if e == nil {
		e = &entryState{id: ref.Id, incarnation: ref.Incarnation, waiting: map[string]sched.Work{}, grants: map[string]sched.Holding{}}
		p.entries[holder] = e
	}
	// apply grants nothing to an entry without a session, and so not before its
	// state is reconciled.
	p.closeSession(e.session)
	e.session, e.lastReceived = nil, now
	held := map[string]bool{}
	var unknown []sched.Holding
	for _, h := range m.hello.Holdings {
		held[h.RequestId] = true
		if _, known := e.grants[h.RequestId]; !known {
			holding := sched.Holding{RequestID: h.RequestId, Upstream: h.Upstream, Work: workFromWire(h.Work)}
			unknown = append(unknown, holding)
		}
	}
	p.cancelWaiting(now, holder, e)
	for id := range e.grants {
		if !held[id] {
			p.cancelRequest(now, holder, e, id)
		}
	}
	for _, holding := range unknown {
		e.grants[holding.RequestID] = holding
	}
	e.session = m.session
	p.send(m.session, &peer.SchedulerMessage{Body: &peer.SchedulerMessage_Welcome{Welcome: &peer.Welcome{
		Instance: &peer.InstanceRef{Id: p.parent.options.View.Self().ID, Incarnation: p.parent.options.View.Self().Incarnation},
		Owner:    p.owner,
	}}})
	p.scheduler.AddStrikes(now, strikesFromWire(m.hello.Strikes))
	p.apply(now, p.scheduler.AddHoldings(now, holder, unknown))
}

func (p *poolServer) cancelWaiting(now time.Time, holder string, e *entryState) {
	for id := range e.waiting {
		p.cancelRequest(now, holder, e, id)
	}
}

// cancelRequest ends a waiting request, or a grant as not dispatched.
func (p *poolServer) cancelRequest(now time.Time, holder string, e *entryState, id string) {
	delete(e.waiting, id)
	delete(e.grants, id)
	p.earlyRequests = slices.DeleteFunc(p.earlyRequests, func(r sched.Request) bool { return r.Holder == holder && r.ID == id })
	p.apply(now, p.scheduler.Cancel(now, holder, id))
}

// handleSessionClosed cancels the entry's waiting requests. Its grants may be in
// use and stay until the lease expires.
func (p *poolServer) handleSessionClosed(now time.Time, session *serverSession) {
	p.closeSession(session)
	if e := p.entries[session.holder]; e != nil && e.session == session {
		e.session = nil
		p.cancelWaiting(now, session.holder, e)
	}
}

func (p *poolServer) closeSession(session *serverSession) {
	if session != nil && !session.closed {
		session.closed = true
		close(session.done)
	}
}

func (p *poolServer) handleEntryMessage(ctx context.Context, now time.Time, m entryMessageReceived) {
	e := p.entries[m.session.holder]
	if e == nil || e.session != m.session {
		// The session was replaced or its lease expired; its messages are stale.
		return
	}
	e.lastReceived = now
	switch body := m.message.Body.(type) {
	case *peer.EntryMessage_Acquire:
		p.handleAcquire(now, m.session.holder, e, body.Acquire)
	case *peer.EntryMessage_Cancel:
		p.cancelRequest(now, m.session.holder, e, body.Cancel.GetRequestId())
	case *peer.EntryMessage_Release:
		p.handleRelease(ctx, now, m.session, e, body.Release)
	case *peer.EntryMessage_Heartbeat:
		p.send(m.session, schedulerHeartbeat())
	}
}

func (p *poolServer) handleAcquire(now time.Time, holder string, e *entryState, acquire *peer.Acquire) {
	if _, waiting := e.waiting[acquire.GetRequestId()]; waiting {
		return
	}
	request := sched.Request{
		ID: acquire.GetRequestId(), Holder: holder, Region: acquire.GetRegion(), Work: workFromWire(acquire.GetWork()),
		Deadline: now.Add(time.Duration(acquire.GetDeadlineMs()) * time.Millisecond),
	}
	e.waiting[request.ID] = request.Work
	if p.granting {
		p.apply(now, p.scheduler.Acquire(now, request))
		return
	}
	if len(p.earlyRequests) >= maxEarlyRequests {
		refused := sched.Refusal{RequestID: request.ID, Holder: holder, Kind: errkind.Overloaded, Message: "too many requests wait for a new scheduler"}
		p.apply(now, sched.Decisions{Refusals: []sched.Refusal{refused}})
		return
	}
	p.earlyRequests = append(p.earlyRequests, request)
}

// handleRelease ends a grant. If the upstream broke, the release is acknowledged
// only after the crash strikes are recorded here and sendStrikes has returned.
func (p *poolServer) handleRelease(ctx context.Context, now time.Time, session *serverSession, e *entryState, release *peer.Release) {
	broken := release.GetOutcome() == peer.Outcome_OUTCOME_UPSTREAM_BROKEN
	holding, granted := e.grants[release.GetRequestId()]
	if !granted {
		if broken {
			p.send(session, schedulerAck(&peer.ReleaseAck{RequestId: release.GetRequestId()}))
		}
		return
	}
	delete(e.grants, release.GetRequestId())
	var before map[uint64]int
	if broken {
		before = p.scheduler.Strikes()
	}
	p.apply(now, p.scheduler.Release(now, resultFromWire(session.holder, release)))
	if !broken {
		return
	}
	byModel := p.addedStrikes(before, holding.Work.Model)
	ack := &peer.ReleaseAck{RequestId: release.GetRequestId()}
	for _, strikes := range byModel {
		ack.Strikes = append(ack.Strikes, strikesToWire(strikes)...)
	}
	p.tasks.Go(func() {
		p.parent.sendStrikes(ctx, byModel)
		p.post(ctx, ackReady{session, ack})
	})
}

// addedStrikes returns the request fingerprints whose strike counts have risen above
// those in before, with the new counts. They are grouped by the model of the request
// with the fingerprint, or by fallbackModel if no grant has the fingerprint.
func (p *poolServer) addedStrikes(before map[uint64]int, fallbackModel string) map[string]map[uint64]int {
	models := map[uint64]string{}
	for _, e := range p.entries {
		for _, holding := range e.grants {
			models[holding.Work.Fingerprint] = holding.Work.Model
		}
	}
	byModel := map[string]map[uint64]int{}
	for fingerprint, count := range p.scheduler.Strikes() {
		if count <= before[fingerprint] {
			continue
		}
		model, known := models[fingerprint]
		if !known {
			model = fallbackModel
		}
		if byModel[model] == nil {
			byModel[model] = map[uint64]int{}
		}
		byModel[model][fingerprint] = count
	}
	return byModel
}

// apply logs the scheduler's decisions and sends them to the entries. A grant
// for a request that no longer waits, or for an entry without a session, is
// cancelled, which may lead to further grants.
func (p *poolServer) apply(now time.Time, decisions sched.Decisions) {
	for _, g := range decisions.Grants {
		e := p.entries[g.Holder]
		var work sched.Work
		waits := false
		if e != nil {
			work, waits = e.waiting[g.RequestID]
		}
		if !waits || e.session == nil {
			p.apply(now, p.scheduler.Cancel(now, g.Holder, g.RequestID))
			continue
		}
		delete(e.waiting, g.RequestID)
		e.grants[g.RequestID] = sched.Holding{RequestID: g.RequestID, Upstream: g.Upstream, Work: work}
		p.parent.options.Log.Info("request was placed", "request", g.RequestID, "team", work.Team, "tier", work.Tier,
			"upstream", g.Upstream, "reason", g.Reason, "preferred_to", g.PreferredTo)
		p.send(e.session, schedulerGrant(now, g))
	}
	for _, r := range decisions.Refusals {
		e := p.entries[r.Holder]
		if e == nil {
			continue
		}
		work := e.waiting[r.RequestID]
		delete(e.waiting, r.RequestID)
		p.parent.options.Log.Info("request was refused", "request", r.RequestID, "team", work.Team, "tier", work.Tier,
			"upstream", "", "reason", string(r.Kind)+": "+r.Message, "preferred_to", "")
		if e.session != nil {
			p.send(e.session, schedulerRefuse(r))
		}
	}
}

// send queues a message for an entry. The poolServer must not block on an entry
// that does not read, so a full queue closes the session.
func (p *poolServer) send(session *serverSession, m *peer.SchedulerMessage) {
	if session.closed {
		return
	}
	select {
	case session.outbox <- m:
	default:
		p.closeSession(session)
	}
}
