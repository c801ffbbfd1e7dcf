package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

const (
	// lease is the time without a message after which an entry's requests and
	// grants are dropped.
	lease = 10 * time.Second
	// helloWait bounds the wait for the sessions of all live members before
	// the first grant. Idle members open no session.
	helloWait = time.Second
	// loadInterval is the time between two reads of an upstream's load report.
	loadInterval = time.Second
	// inboxSize is the number of messages that wait for a pool's goroutine.
	inboxSize = 256
	// maxEarly bounds the requests that wait for the first grant.
	maxEarly = 10_000
)

// The messages to the goroutine of a pool.
type (
	opened struct {
		session *serverSession
		hello   *peer.Hello
	}
	closed   struct{ session *serverSession }
	incoming struct {
		session *serverSession
		message *peer.EntryMessage
	}
	struck struct{ strikes map[uint64]int }
	loaded struct {
		upstream string
		load     sched.Load
		err      error
	}
	reported struct {
		session *serverSession
		ack     *peer.ReleaseAck
	}
)

// serverSession is one session of an entry. Only the loop closes done.
type serverSession struct {
	holder string
	out    chan *peer.SchedulerMessage
	done   chan struct{}
	ended  bool
}

// entryState is what the loop knows of one incarnation of an entry.
type entryState struct {
	id          string
	incarnation uint64
	// session is nil while the entry is not connected.
	session *serverSession
	heard   time.Time
	waiting map[string]sched.Work
	grants  map[string]sched.Holding
}

// loop is the goroutine of one pool; it owns the scheduler.
type loop struct {
	server    *Server
	name      string
	scheduler sched.Scheduler
	inbox     chan any
	tasks     sync.WaitGroup

	entries map[string]*entryState
	owner   bool
	// openAt is when the first grant may be made; early holds the requests
	// that arrived before.
	openAt   time.Time
	open     bool
	early    []sched.Request
	nextLoad time.Time
	polling  map[string]bool
	// silent holds the upstreams whose last poll failed.
	silent  map[string]bool
	inForce []record.Upstream
}

func newLoop(server *Server, name string) *loop {
	now := server.options.Clock.Now()
	return &loop{
		server:    server,
		name:      name,
		scheduler: server.options.NewScheduler(name),
		inbox:     make(chan any, inboxSize),
		entries:   map[string]*entryState{},
		polling:   map[string]bool{},
		silent:    map[string]bool{},
		openAt:    now.Add(helloWait),
		nextLoad:  now,
	}
}

// post hands a message to the loop and reports whether it still runs.
func (l *loop) post(ctx context.Context, message any) bool {
	return push(ctx, l.inbox, message) == nil
}

// read passes the messages of a session to the loop.
func (l *loop) read(ctx context.Context, session *serverSession, stream peer.ServerStream) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if !l.post(ctx, incoming{session, m}) {
			return ctx.Err()
		}
	}
}

func (l *loop) run(ctx context.Context) {
	defer l.tasks.Wait()
	clock := l.server.options.Clock
	l.configure(clock.Now())
	timer := clock.NewTimer(0)
	defer timer.Stop()
	for {
		changedConfig := l.server.options.Config.Changed()
		changedView := l.server.options.View.Changed()
		l.configureIfOwnerChanged(clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-changedConfig:
			l.configure(clock.Now())
		case <-changedView:
		case <-timer.Chan():
		case message := <-l.inbox:
			l.handle(ctx, clock.Now(), message)
		}
		now := clock.Now()
		l.tick(ctx, now)
		timer.Reset(max(l.next().Sub(now), time.Millisecond))
	}
}

// next returns when tick has work.
func (l *loop) next() time.Time {
	due := l.nextLoad
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	earlier(l.scheduler.NextTick())
	if !l.open {
		earlier(l.openAt)
	}
	return due
}

// tick does what is due: it makes the first grants, drops entries whose lease
// has ended, and reads load reports.
func (l *loop) tick(ctx context.Context, now time.Time) {
	l.openGate(now)
	for holder, e := range l.entries {
		if now.Sub(e.heard) < lease {
			continue
		}
		l.end(e.session)
		delete(l.entries, holder)
		l.apply(now, l.scheduler.DropHolder(now, holder))
	}
	l.apply(now, l.scheduler.Tick(now))
	if now.Before(l.nextLoad) {
		return
	}
	l.nextLoad = now.Add(loadInterval)
	if len(l.entries) > 0 {
		l.readLoads(ctx)
	}
}

func (l *loop) isOwner() bool {
	owners := l.server.options.View.Owners(l.name)
	return len(owners) > 0 && owners[0].ID == l.server.options.View.Self().ID
}

func (l *loop) configure(now time.Time) {
	l.owner = l.isOwner()
	l.inForce = l.server.upstreams(l.name, l.owner)
	l.apply(now, l.scheduler.SetUpstreams(now, l.inForce))
}

func (l *loop) configureIfOwnerChanged(now time.Time) {
	if l.isOwner() != l.owner {
		l.configure(now)
	}
}

// openGate lets the waiting requests in once all live members have said what
// they hold, highest tier first, because all of them arrived at the same time
// as far as this scheduler is concerned.
func (l *loop) openGate(now time.Time) {
	if l.open || now.Before(l.openAt) && !l.allSaidHello() {
		return
	}
	l.open = true
	slices.SortStableFunc(l.early, func(a, b sched.Request) int { return b.Work.Tier - a.Work.Tier })
	for _, request := range l.early {
		l.apply(now, l.scheduler.Acquire(now, request))
	}
	l.early = nil
}

func (l *loop) allSaidHello() bool {
	said := map[string]bool{}
	for _, e := range l.entries {
		said[e.id] = true
	}
	for _, m := range l.server.options.View.Live() {
		if !said[m.ID] {
			return false
		}
	}
	return true
}

// reportFailure logs the first failed report in a row; the scheduler holds work
// back from an upstream that stays silent.
func (l *loop) reportFailure(m loaded) {
	level := 1
	if !l.silent[m.upstream] {
		l.silent[m.upstream] = true
		level = 0
	}
	l.server.options.Log.V(level).Info("load report was not read", "pool", l.name, "upstream", m.upstream, "error", m.err.Error())
}

func (l *loop) readLoads(ctx context.Context) {
	for _, upstream := range l.inForce {
		if l.polling[upstream.Name] {
			continue
		}
		l.polling[upstream.Name] = true
		l.tasks.Go(func() {
			call, cancel := clockwork.WithTimeout(ctx, l.server.options.Clock, loadInterval)
			defer cancel()
			load, err := l.server.options.ReadLoad(call, upstream)
			l.post(ctx, loaded{upstream.Name, load, err})
		})
	}
}

func (l *loop) handle(ctx context.Context, now time.Time, message any) {
	switch m := message.(type) {
	case opened:
		l.hello(now, m)
	case closed:
		l.disconnect(now, m.session)
	case incoming:
		l.receive(ctx, now, m)
	case struck:
		l.scheduler.AddStrikes(now, m.strikes)
	case loaded:
		delete(l.polling, m.upstream)
		if m.err != nil {
			l.reportFailure(m)
			return
		}
		before := l.scheduler.Strikes()
		delete(l.silent, m.upstream)
		l.apply(now, l.scheduler.ReportLoad(now, m.upstream, m.load))
		// A report of a new incarnation shows a crash that no entry reported yet.
		if byModel := l.newStrikes(before, ""); len(byModel) > 0 {
			l.tasks.Go(func() { l.server.sendStrikes(ctx, byModel) })
		}
	case reported:
		l.send(m.session, schedulerAck(m.ack))
	}
}

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
