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
