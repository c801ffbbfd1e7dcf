package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

const (
	// leaseDuration is the time without a message after which an entry's
	// requests and grants are dropped.
	leaseDuration = 10 * time.Second
	// helloTimeout bounds how long the first grant waits for the Hello of all
	// live members, because members without requests open no session.
	helloTimeout = time.Second
	// loadPollInterval is the interval at which load reports are read, and the
	// time limit of each read.
	loadPollInterval = time.Second
	// inboxSize is the capacity of the inbox of a poolServer or poolClient.
	inboxSize = 256
	// maxEarlyRequests bounds the requests that are queued before the first grant.
	maxEarlyRequests = 10_000
)

// The events that the goroutine of a poolServer handles.
type (
	helloReceived struct {
		session *serverSession
		hello   *peer.Hello
	}
	sessionClosed        struct{ session *serverSession }
	entryMessageReceived struct {
		session *serverSession
		message *peer.EntryMessage
	}
	strikesReceived struct{ strikes map[uint64]int }
	loadReportRead  struct {
		upstream string
		load     sched.Load
		err      error
	}
	ackReady struct {
		session *serverSession
		ack     *peer.ReleaseAck
	}
)

// serverSession is the scheduler's side of a session with an entry. Only the
// goroutine of the poolServer closes done.
type serverSession struct {
	holder string
	outbox chan *peer.SchedulerMessage
	done   chan struct{}
	closed bool
}

// entryState holds the session of one incarnation of an entry, and its waiting
// requests and grants by request ID.
type entryState struct {
	id          string
	incarnation uint64
	// session is nil while the entry is not connected.
	session      *serverSession
	lastReceived time.Time
	waiting      map[string]sched.Work
	grants       map[string]sched.Holding
}

// poolServer runs the scheduler of one pool. Its goroutine, run, owns all fields.
type poolServer struct {
	parent    *Server
	name      string
	scheduler sched.Scheduler
	inbox     chan any
	tasks     sync.WaitGroup

	entries map[string]*entryState
	// owner is true if this instance was the owner of the pool, the one that should
	// run its scheduler, at the last updateUpstreams.
	owner bool
	// granting is false until all live members have sent Hello, or until
	// helloDeadline. earlyRequests holds the requests that arrive until then.
	helloDeadline time.Time
	granting      bool
	earlyRequests []sched.Request
	nextLoadPoll  time.Time
	// pollRunning holds the upstreams whose load report is being read.
	pollRunning map[string]bool
	// pollFailed holds the upstreams whose last load report could not be read.
	pollFailed map[string]bool
	upstreams  []record.Upstream
}

func newPoolServer(parent *Server, name string) *poolServer {
	now := parent.options.Clock.Now()
	return &poolServer{
		parent:        parent,
		name:          name,
		scheduler:     parent.options.NewScheduler(name),
		inbox:         make(chan any, inboxSize),
		entries:       map[string]*entryState{},
		pollRunning:   map[string]bool{},
		pollFailed:    map[string]bool{},
		helloDeadline: now.Add(helloTimeout),
		nextLoadPoll:  now,
	}
}

// post sends an event to the goroutine. It returns false if ctx has ended.
func (p *poolServer) post(ctx context.Context, message any) bool {
	return sendContext(ctx, p.inbox, message) == nil
}

// readMessages posts the messages of a session until the session or ctx ends.
func (p *poolServer) readMessages(ctx context.Context, session *serverSession, stream peer.ServerStream) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if !p.post(ctx, entryMessageReceived{session, m}) {
			return ctx.Err()
		}
	}
}

func (p *poolServer) run(ctx context.Context) {
	defer p.tasks.Wait()
	clock := p.parent.options.Clock
	p.updateUpstreams(clock.Now())
	timer := clock.NewTimer(0)
	defer timer.Stop()
	for {
		changedConfig := p.parent.options.Config.Changed()
		changedView := p.parent.options.View.Changed()
		p.updateIfOwnerChanged(clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-changedConfig:
			p.updateUpstreams(clock.Now())
		case <-changedView:
		case <-timer.Chan():
		case message := <-p.inbox:
			p.handle(ctx, clock.Now(), message)
		}
		now := clock.Now()
		p.tick(ctx, now)
		timer.Reset(max(p.nextTick().Sub(now), time.Millisecond))
	}
}

// nextTick returns the next time at which tick has work to do.
func (p *poolServer) nextTick() time.Time {
	due := p.nextLoadPoll
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	earlier(p.scheduler.NextTick())
	if !p.granting {
		earlier(p.helloDeadline)
	}
	return due
}

// tick does the work that is due: it begins to grant, drops entries whose lease
// has expired, runs the scheduler's timers, and polls load reports.
func (p *poolServer) tick(ctx context.Context, now time.Time) {
	p.startGranting(now)
	for holder, e := range p.entries {
		if now.Sub(e.lastReceived) < leaseDuration {
			continue
		}
		p.closeSession(e.session)
		delete(p.entries, holder)
		p.apply(now, p.scheduler.DropHolder(now, holder))
	}
	p.apply(now, p.scheduler.Tick(now))
	if now.Before(p.nextLoadPoll) {
		return
	}
	p.nextLoadPoll = now.Add(loadPollInterval)
	if len(p.entries) > 0 {
		p.pollLoads(ctx)
	}
}

func (p *poolServer) isOwner() bool {
	owners := p.parent.options.View.Owners(p.name)
	return len(owners) > 0 && owners[0].ID == p.parent.options.View.Self().ID
}

func (p *poolServer) updateUpstreams(now time.Time) {
	p.owner = p.isOwner()
	p.upstreams = p.parent.grantableUpstreams(p.name, p.owner)
	p.apply(now, p.scheduler.SetUpstreams(now, p.upstreams))
}

func (p *poolServer) updateIfOwnerChanged(now time.Time) {
	if p.isOwner() != p.owner {
		p.updateUpstreams(now)
	}
}

// startGranting passes the queued requests to the scheduler once all live
// members have listed their grants, or helloTimeout has passed. The highest tier
// goes first, because the order in which entries reconnect is arbitrary.
func (p *poolServer) startGranting(now time.Time) {
	if p.granting || now.Before(p.helloDeadline) && !p.allMembersConnected() {
		return
	}
	p.granting = true
	slices.SortStableFunc(p.earlyRequests, func(a, b sched.Request) int { return b.Work.Tier - a.Work.Tier })
	for _, request := range p.earlyRequests {
		p.apply(now, p.scheduler.Acquire(now, request))
	}
	p.earlyRequests = nil
}

func (p *poolServer) allMembersConnected() bool {
	connected := map[string]bool{}
	for _, e := range p.entries {
		connected[e.id] = true
	}
	for _, m := range p.parent.options.View.Live() {
		if !connected[m.ID] {
			return false
		}
	}
	return true
}

// logPollFailure logs a failed read of a load report, the first one in a row at
// the default level and later ones at V(1). The scheduler grants an
// upstream without recent reports one request at a time.
func (p *poolServer) logPollFailure(m loadReportRead) {
	level := 1
	if !p.pollFailed[m.upstream] {
		p.pollFailed[m.upstream] = true
		level = 0
	}
	p.parent.options.Log.V(level).Info("load report was not read", "pool", p.name, "upstream", m.upstream, "error", m.err.Error())
}

func (p *poolServer) pollLoads(ctx context.Context) {
	for _, upstream := range p.upstreams {
		if p.pollRunning[upstream.Name] {
			continue
		}
		p.pollRunning[upstream.Name] = true
		p.tasks.Go(func() {
			pollCtx, cancel := clockwork.WithTimeout(ctx, p.parent.options.Clock, loadPollInterval)
			defer cancel()
			load, err := p.parent.options.ReadLoad(pollCtx, upstream)
			p.post(ctx, loadReportRead{upstream.Name, load, err})
		})
	}
}

func (p *poolServer) handle(ctx context.Context, now time.Time, message any) {
	switch m := message.(type) {
	case helloReceived:
		p.handleHello(now, m)
	case sessionClosed:
		p.handleSessionClosed(now, m.session)
	case entryMessageReceived:
		p.handleEntryMessage(ctx, now, m)
	case strikesReceived:
		p.scheduler.AddStrikes(now, m.strikes)
	case loadReportRead:
		delete(p.pollRunning, m.upstream)
		if m.err != nil {
			p.logPollFailure(m)
			return
		}
		before := p.scheduler.Strikes()
		delete(p.pollFailed, m.upstream)
		p.apply(now, p.scheduler.ReportLoad(now, m.upstream, m.load))
		// A new incarnation in the report shows a crash that no entry has reported yet.
		if byModel := p.addedStrikes(before, ""); len(byModel) > 0 {
			p.tasks.Go(func() { p.parent.sendStrikes(ctx, byModel) })
		}
	case ackReady:
		p.send(m.session, schedulerAck(m.ack))
	}
}
