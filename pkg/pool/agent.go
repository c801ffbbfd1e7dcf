package pool

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

const (
	// maxCandidates bounds the schedulers tried before requests are refused.
	maxCandidates = 3
	// openTimeout bounds the time until a scheduler welcomes the session.
	openTimeout = time.Second
	// heartbeatInterval keeps the lease of 10 s with two heartbeats to spare.
	heartbeatInterval = 3 * time.Second
	// silenceLimit is the silence after which a session counts as broken.
	silenceLimit = 8 * time.Second
	// firstReturn is when an entry that fell back to another scheduler first
	// tries the owner again; the time doubles up to lastReturn, because each
	// try costs the waiting requests their place in the queue.
	firstReturn = 5 * time.Second
	lastReturn  = time.Minute
	// reopenPause is the time between two rounds when no scheduler answers.
	reopenPause = time.Second
	// maxOwnStrikes bounds the strikes that an entry repeats to new schedulers.
	maxOwnStrikes = 1000
)

// outcome is the answer to a waiter.
type outcome struct {
	grant sched.Grant
	err   error
}

// waiter is one call of Acquire.
type waiter struct {
	request Request
	result  chan outcome
	granted bool
}

// pendingRelease is a release that was not sent, or not yet acknowledged.
type pendingRelease struct {
	work    sched.Work
	message *peer.Release
	broken  bool
	done    chan struct{}
}

// The messages to the goroutine of an agent.
type (
	acquire  struct{ waiter *waiter }
	abandon  struct{ waiter *waiter }
	release  struct{ release *pendingRelease }
	welcomed struct{ session *entrySession }
	failed   struct{ err error }
	arrived  struct {
		session *entrySession
		message *peer.SchedulerMessage
	}
	broke struct {
		session *entrySession
		err     error
	}
)

// entrySession is a session with a scheduler.
type entrySession struct {
	stream Stream
	to     candidate
	out    chan *peer.EntryMessage
	cancel context.CancelFunc
}

// agent is the goroutine of an entry for one pool. It owns what the entry
// waits for and holds there.
type agent struct {
	client *EntryClient
	pool   string
	inbox  chan any
	tasks  sync.WaitGroup

	waiters  map[string]*waiter
	holdings map[string]*peer.Holding
	pending  map[string]*pendingRelease
	strikes  map[uint64]int

	// session is nil while there is none; opening is true while one is opened.
	session *entrySession
	opening bool
	heard   time.Time
	beatAt  time.Time
	// returnAt is when the owner is tried again after a fallback.
	returnAt time.Time
	backoff  time.Duration
	reopenAt time.Time
	// owner is the first candidate as of the last change of the members.
	owner candidate
}

func newAgent(client *EntryClient, pool string) *agent {
	return &agent{
		client:   client,
		pool:     pool,
		inbox:    make(chan any, inboxSize),
		waiters:  map[string]*waiter{},
		holdings: map[string]*peer.Holding{},
		pending:  map[string]*pendingRelease{},
		strikes:  map[uint64]int{},
		backoff:  firstReturn,
	}
}

func (a *agent) post(ctx context.Context, message any) bool {
	return push(ctx, a.inbox, message) == nil
}

func (a *agent) run(ctx context.Context) {
	defer a.tasks.Wait()
	clock := a.client.options.Clock
	ticker := clock.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		changed := a.client.options.View.Changed()
		a.followOwner(ctx)
		select {
		case <-ctx.Done():
			a.leave()
			return
		case <-changed:
		case <-ticker.Chan():
			a.tick(ctx, clock.Now())
		case message := <-a.inbox:
			a.handle(ctx, clock.Now(), message)
		}
	}
}

// followOwner moves the session when the members agree on another scheduler.
func (a *agent) followOwner(ctx context.Context) {
	candidates := a.client.candidates(a.pool)
	if len(candidates) == 0 || candidates[0] == a.owner {
		return
	}
	a.owner = candidates[0]
	a.backoff = firstReturn
	if a.session != nil && a.session.to != a.owner {
		a.close()
		a.open(ctx)
	}
}

func (a *agent) tick(ctx context.Context, now time.Time) {
	if a.session == nil {
		if a.needed() && !now.Before(a.reopenAt) {
			a.open(ctx)
		}
		return
	}
	if now.Sub(a.heard) >= silenceLimit {
		a.client.options.Log.Info("scheduler is silent", "pool", a.pool, "address", a.session.to.address)
		a.close()
		a.open(ctx)
		return
	}
	if a.session.to != a.owner && !now.Before(a.returnAt) {
		a.backoff = min(2*a.backoff, lastReturn)
		a.close()
		a.open(ctx)
		return
	}
	if !now.Before(a.beatAt) {
		a.beatAt = now.Add(heartbeatInterval)
		a.send(entryHeartbeat())
	}
}

// needed reports whether a session is of use.
func (a *agent) needed() bool {
	return len(a.waiters) > 0 || len(a.holdings) > 0 || len(a.pending) > 0
}

func (a *agent) handle(ctx context.Context, now time.Time, message any) {
	switch m := message.(type) {
	case acquire:
		a.waiters[m.waiter.request.ID] = m.waiter
		if a.session == nil {
			a.open(ctx)
			return
		}
		a.sendAcquire(now, m.waiter)
	case abandon:
		a.abandon(now, m.waiter)
	case release:
		a.release(m.release)
	case welcomed:
		a.welcome(ctx, now, m.session)
	case failed:
		a.opening = false
		a.reopenAt = now.Add(reopenPause)
		a.refuseAll(m.err)
	case arrived:
		if m.session == a.session {
			a.heard = now
			a.receive(now, m.message)
		}
	case broke:
		if m.session == a.session {
			a.client.options.Log.V(1).Info("session broke", "pool", a.pool, "address", m.session.to.address, "error", m.err.Error())
			a.close()
			if a.needed() {
				a.open(ctx)
			}
		}
	}
}

// close gives the session up. What still arrives on it is ignored: the
// scheduler takes back what the next Hello does not list.
func (a *agent) close() {
	if a.session == nil {
		return
	}
	a.session.cancel()
	close(a.session.out)
	a.session = nil
}

// leave ends the session and the waiting requests when the client shuts down.
func (a *agent) leave() {
	a.close()
	a.refuseAll(errkind.New(errkind.ShuttingDown, "the client shuts down"))
}

// send queues a message. A scheduler that does not read is given up.
func (a *agent) send(m *peer.EntryMessage) {
	if a.session == nil {
		return
	}
	select {
	case a.session.out <- m:
	default:
		a.heard = time.Time{}
	}
}

func (a *agent) sendAcquire(now time.Time, w *waiter) {
	a.send(entryAcquire(&peer.Acquire{
		RequestId:  w.request.ID,
		Work:       workToWire(w.request.Work),
		DeadlineMs: millisecondsLeft(now, w.request.Deadline),
		Region:     a.client.options.Region,
	}))
}

func (a *agent) receive(now time.Time, m *peer.SchedulerMessage) {
	switch body := m.Body.(type) {
	case *peer.SchedulerMessage_Grant:
		a.grant(now, body.Grant)
	case *peer.SchedulerMessage_Refuse:
		r := body.Refuse
		if w := a.waiters[r.GetRequestId()]; w != nil {
			delete(a.waiters, r.GetRequestId())
			w.result <- outcome{err: refusal(errkind.Kind(r.GetKind()), r.GetMessage())}
		}
	case *peer.SchedulerMessage_ReleaseAck:
		a.remember(strikesFromWire(body.ReleaseAck.GetStrikes()))
		if r := a.pending[body.ReleaseAck.GetRequestId()]; r != nil {
			delete(a.pending, r.message.RequestId)
			delete(a.holdings, r.message.RequestId)
			close(r.done)
		}
	}
}

// grant passes a grant to its waiter, or returns it if nobody waits.
func (a *agent) grant(now time.Time, g *peer.Grant) {
	id := g.GetRequestId()
	w := a.waiters[id]
	if w == nil {
		if _, held := a.holdings[id]; !held {
			a.send(entryRelease(&peer.Release{RequestId: id, Outcome: peer.Outcome_OUTCOME_NOT_DISPATCHED}))
		}
		return
	}
	delete(a.waiters, id)
	w.granted = true
	a.holdings[id] = &peer.Holding{RequestId: id, Upstream: g.Upstream, Work: workToWire(w.request.Work)}
	w.result <- outcome{grant: sched.Grant{
		RequestID: id, Upstream: g.Upstream, Expiry: now.Add(time.Duration(g.ExpiryMs) * time.Millisecond),
		UncachedTokens: int(g.UncachedTokens), Reason: g.Reason, PreferredTo: g.PreferredTo,
	}}
}

// abandon ends a request that no longer waits: a waiting one is cancelled, and
// a grant that came first is returned as not dispatched.
func (a *agent) abandon(_ time.Time, w *waiter) {
	id := w.request.ID
	if a.waiters[id] == w {
		delete(a.waiters, id)
		a.send(entryCancel(id))
		return
	}
	if w.granted && a.holdings[id] != nil {
		a.release(&pendingRelease{message: &peer.Release{RequestId: id, Outcome: peer.Outcome_OUTCOME_NOT_DISPATCHED}})
	}
}

// release ends a grant. Until the release was sent, or acknowledged for a
// broken upstream, the grant stays among the holdings, so that a new scheduler
// learns of it first.
func (a *agent) release(r *pendingRelease) {
	switch {
	case r.broken && a.strikes[r.work.Fingerprint] == 0:
		a.remember(map[uint64]int{r.work.Fingerprint: 1})
	case r.message.Outcome == peer.Outcome_OUTCOME_COMPLETED:
		delete(a.strikes, r.work.Fingerprint)
	}
	a.pending[r.message.RequestId] = r
	if a.session != nil {
		a.sendRelease(r)
	}
}

// remember keeps strikes to repeat them to the next scheduler. Beyond the bound
// any other one is forgotten.
func (a *agent) remember(strikes map[uint64]int) {
	for fingerprint, count := range strikes {
		a.strikes[fingerprint] = max(a.strikes[fingerprint], count)
	}
	for fingerprint := range a.strikes {
		if len(a.strikes) <= maxOwnStrikes {
			return
		}
		if _, fresh := strikes[fingerprint]; !fresh {
			delete(a.strikes, fingerprint)
		}
	}
}

func (a *agent) sendRelease(r *pendingRelease) {
	a.send(entryRelease(r.message))
	if r.broken {
		return
	}
	delete(a.pending, r.message.RequestId)
	delete(a.holdings, r.message.RequestId)
}

// refuseAll refuses the waiting requests: they were not granted, so they did
// not run.
func (a *agent) refuseAll(cause error) {
	kind := errkind.KindOf(cause)
	if kind != errkind.ShuttingDown && kind != errkind.NoUpstream {
		kind = errkind.SchedulerUnreachable
	}
	for id, w := range a.waiters {
		delete(a.waiters, id)
		w.result <- outcome{err: errkind.Wrap(kind, cause, "no scheduler of pool %s was reached", a.pool)}
	}
}
