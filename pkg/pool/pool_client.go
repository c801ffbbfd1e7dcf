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
	// maxCandidates is the number of schedulers tried before requests are refused.
	maxCandidates = 3
	// sessionOpenTimeout bounds the time until a scheduler answers Hello with Welcome.
	sessionOpenTimeout = time.Second
	// heartbeatInterval allows two heartbeats to be lost within the 10 s lease.
	heartbeatInterval = 3 * time.Second
	// receiveTimeout is the time without a message after which a session is
	// replaced.
	receiveTimeout = 8 * time.Second
	// minOwnerRetryDelay is the time until an entry whose session is not with the
	// owner of the pool first tries the owner again. The delay doubles up to maxOwnerRetryDelay,
	// because each try costs the waiting requests their place in the queue.
	minOwnerRetryDelay = 5 * time.Second
	maxOwnerRetryDelay = time.Minute
	// reopenDelay is the time until the candidates are tried again after none
	// of them answered.
	reopenDelay = time.Second
	// maxKeptStrikes bounds the request fingerprints with crash strikes that an entry
	// lists in Hello, the first message of a session.
	maxKeptStrikes = 1000
)

// acquireResult is the grant or the error that ends a pendingAcquire.
type acquireResult struct {
	grant sched.Grant
	err   error
}

// pendingAcquire is a call of Acquire that waits for its result.
type pendingAcquire struct {
	request Request
	result  chan acquireResult
	granted bool
}

// pendingRelease is a release that was not yet sent, or, for a broken upstream,
// not yet acknowledged.
type pendingRelease struct {
	work    sched.Work
	message *peer.Release
	broken  bool
	done    chan struct{}
}

// The commands and events that the goroutine of a poolClient handles.
type (
	acquireCommand           struct{ acquire *pendingAcquire }
	abandonCommand           struct{ acquire *pendingAcquire }
	releaseCommand           struct{ release *pendingRelease }
	sessionOpened            struct{ session *clientSession }
	openFailed               struct{ err error }
	schedulerMessageReceived struct {
		session *clientSession
		message *peer.SchedulerMessage
	}
	sessionBroken struct {
		session *clientSession
		err     error
	}
)

// clientSession is the entry's side of a session with a scheduler.
type clientSession struct {
	stream    Stream
	scheduler candidate
	outbox    chan *peer.EntryMessage
	cancel    context.CancelFunc
}

// poolClient is the client for one pool. Its goroutine, run, owns all fields:
// the entry's waiting requests, its grants in use and the session.
type poolClient struct {
	parent *EntryClient
	pool   string
	inbox  chan any
	tasks  sync.WaitGroup

	// The maps are keyed by request ID, strikes by request fingerprint. holdings
	// are the grants in use.
	pendingAcquires map[string]*pendingAcquire
	holdings        map[string]*peer.Holding
	pendingReleases map[string]*pendingRelease
	strikes         map[uint64]int

	// session is nil while none is open; opening is true while one is being opened.
	session       *clientSession
	opening       bool
	lastReceived  time.Time
	nextHeartbeat time.Time
	// ownerRetryAt is when the owner is tried again while another candidate is used.
	ownerRetryAt    time.Time
	ownerRetryDelay time.Duration
	reopenAt        time.Time
	// owner is the first candidate in the current view of the members.
	owner candidate
}

func newPoolClient(parent *EntryClient, pool string) *poolClient {
	return &poolClient{
		parent:          parent,
		pool:            pool,
		inbox:           make(chan any, inboxSize),
		pendingAcquires: map[string]*pendingAcquire{},
		holdings:        map[string]*peer.Holding{},
		pendingReleases: map[string]*pendingRelease{},
		strikes:         map[uint64]int{},
		ownerRetryDelay: minOwnerRetryDelay,
	}
}

func (c *poolClient) post(ctx context.Context, message any) bool {
	return sendContext(ctx, c.inbox, message) == nil
}

func (c *poolClient) run(ctx context.Context) {
	defer c.tasks.Wait()
	clock := c.parent.options.Clock
	ticker := clock.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		changed := c.parent.options.View.Changed()
		c.switchToNewOwner(ctx)
		select {
		case <-ctx.Done():
			c.shutDown()
			return
		case <-changed:
		case <-ticker.Chan():
			c.tick(ctx, clock.Now())
		case message := <-c.inbox:
			c.handle(ctx, clock.Now(), message)
		}
	}
}

// switchToNewOwner moves the session to the new owner when the first candidate has
// changed.
func (c *poolClient) switchToNewOwner(ctx context.Context) {
	candidates := c.parent.candidates(c.pool)
	if len(candidates) == 0 || candidates[0] == c.owner {
		return
	}
	c.owner = candidates[0]
	c.ownerRetryDelay = minOwnerRetryDelay
	if c.session != nil && c.session.scheduler != c.owner {
		c.closeSession()
		c.openSession(ctx)
	}
}

func (c *poolClient) tick(ctx context.Context, now time.Time) {
	if c.session == nil {
		if c.needsSession() && !now.Before(c.reopenAt) {
			c.openSession(ctx)
		}
		return
	}
	if now.Sub(c.lastReceived) >= receiveTimeout {
		c.parent.options.Log.Info("scheduler is silent", "pool", c.pool, "address", c.session.scheduler.address)
		c.closeSession()
		c.openSession(ctx)
		return
	}
	if c.session.scheduler != c.owner && !now.Before(c.ownerRetryAt) {
		c.ownerRetryDelay = min(2*c.ownerRetryDelay, maxOwnerRetryDelay)
		c.closeSession()
		c.openSession(ctx)
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.nextHeartbeat = now.Add(heartbeatInterval)
		c.send(entryHeartbeat())
	}
}

// needsSession reports whether requests wait, grants are in use, or releases
// are still to be delivered.
func (c *poolClient) needsSession() bool {
	return len(c.pendingAcquires) > 0 || len(c.holdings) > 0 || len(c.pendingReleases) > 0
}

func (c *poolClient) handle(ctx context.Context, now time.Time, message any) {
	switch m := message.(type) {
	case acquireCommand:
		c.pendingAcquires[m.acquire.request.ID] = m.acquire
		if c.session == nil {
			c.openSession(ctx)
			return
		}
		c.sendAcquire(now, m.acquire)
	case abandonCommand:
		c.handleAbandon(now, m.acquire)
	case releaseCommand:
		c.handleRelease(m.release)
	case sessionOpened:
		c.useSession(ctx, now, m.session)
	case openFailed:
		c.opening = false
		c.reopenAt = now.Add(reopenDelay)
		c.refuseAll(m.err)
	case schedulerMessageReceived:
		if m.session == c.session {
			c.lastReceived = now
			c.handleSchedulerMessage(now, m.message)
		}
	case sessionBroken:
		if m.session == c.session {
			c.parent.options.Log.V(1).Info("session broke", "pool", c.pool, "address", m.session.scheduler.address, "error", m.err.Error())
			c.closeSession()
			if c.needsSession() {
				c.openSession(ctx)
			}
		}
	}
}

// closeSession ends the session. Messages that still arrive on it are ignored;
// the scheduler takes back all grants that the next Hello does not list.
func (c *poolClient) closeSession() {
	if c.session == nil {
		return
	}
	c.session.cancel()
	close(c.session.outbox)
	c.session = nil
}

// shutDown closes the session and refuses the waiting requests.
func (c *poolClient) shutDown() {
	c.closeSession()
	c.refuseAll(errkind.New(errkind.ShuttingDown, "the client shuts down"))
}

// send queues a message. If the queue is full, the scheduler does not read, and
// the next tick replaces the session.
func (c *poolClient) send(m *peer.EntryMessage) {
	if c.session == nil {
		return
	}
	select {
	case c.session.outbox <- m:
	default:
		c.lastReceived = time.Time{}
	}
}

func (c *poolClient) sendAcquire(now time.Time, acquire *pendingAcquire) {
	c.send(entryAcquire(&peer.Acquire{
		RequestId:  acquire.request.ID,
		Work:       workToWire(acquire.request.Work),
		DeadlineMs: millisecondsLeft(now, acquire.request.Deadline),
		Region:     c.parent.options.Region,
	}))
}

func (c *poolClient) handleSchedulerMessage(now time.Time, m *peer.SchedulerMessage) {
	switch body := m.Body.(type) {
	case *peer.SchedulerMessage_Grant:
		c.handleGrant(now, body.Grant)
	case *peer.SchedulerMessage_Refuse:
		r := body.Refuse
		if acquire := c.pendingAcquires[r.GetRequestId()]; acquire != nil {
			delete(c.pendingAcquires, r.GetRequestId())
			acquire.result <- acquireResult{err: refusalError(errkind.Kind(r.GetKind()), r.GetMessage())}
		}
	case *peer.SchedulerMessage_ReleaseAck:
		c.keepStrikes(strikesFromWire(body.ReleaseAck.GetStrikes()))
		if r := c.pendingReleases[body.ReleaseAck.GetRequestId()]; r != nil {
			delete(c.pendingReleases, r.message.RequestId)
			delete(c.holdings, r.message.RequestId)
			close(r.done)
		}
	}
}

// handleGrant passes a grant to the waiting call, or returns it as not
// dispatched if no call waits for it.
func (c *poolClient) handleGrant(now time.Time, g *peer.Grant) {
	id := g.GetRequestId()
	acquire := c.pendingAcquires[id]
	if acquire == nil {
		if _, held := c.holdings[id]; !held {
			c.send(entryRelease(&peer.Release{RequestId: id, Outcome: peer.Outcome_OUTCOME_NOT_DISPATCHED}))
		}
		return
	}
	delete(c.pendingAcquires, id)
	acquire.granted = true
	c.holdings[id] = &peer.Holding{RequestId: id, Upstream: g.Upstream, Work: workToWire(acquire.request.Work)}
	acquire.result <- acquireResult{grant: sched.Grant{
		RequestID: id, Upstream: g.Upstream, Expiry: now.Add(time.Duration(g.ExpiryMs) * time.Millisecond),
		UncachedTokens: int(g.UncachedTokens), Reason: g.Reason, PreferredTo: g.PreferredTo,
	}}
}

// handleAbandon ends a request whose caller has stopped waiting. The request is
// cancelled; if it was already granted, the grant is returned as not dispatched.
func (c *poolClient) handleAbandon(_ time.Time, acquire *pendingAcquire) {
	id := acquire.request.ID
	if c.pendingAcquires[id] == acquire {
		delete(c.pendingAcquires, id)
		c.send(entryCancel(id))
		return
	}
	if acquire.granted && c.holdings[id] != nil {
		c.handleRelease(&pendingRelease{message: &peer.Release{RequestId: id, Outcome: peer.Outcome_OUTCOME_NOT_DISPATCHED}})
	}
}

// handleRelease ends a grant. Until the release is sent, or acknowledged for a
// broken upstream, the grant stays in holdings, the grants in use, which the
// Hello to a new scheduler lists.
func (c *poolClient) handleRelease(r *pendingRelease) {
	switch {
	case r.broken && c.strikes[r.work.Fingerprint] == 0:
		c.keepStrikes(map[uint64]int{r.work.Fingerprint: 1})
	case r.message.Outcome == peer.Outcome_OUTCOME_COMPLETED:
		delete(c.strikes, r.work.Fingerprint)
	}
	c.pendingReleases[r.message.RequestId] = r
	if c.session != nil {
		c.sendRelease(r)
	}
}

// keepStrikes merges crash strikes, counted per request fingerprint, into those that
// Hello lists. Above maxKeptStrikes it deletes arbitrary fingerprints that are not in added.
func (c *poolClient) keepStrikes(added map[uint64]int) {
	for fingerprint, count := range added {
		c.strikes[fingerprint] = max(c.strikes[fingerprint], count)
	}
	for fingerprint := range c.strikes {
		if len(c.strikes) <= maxKeptStrikes {
			return
		}
		if _, fresh := added[fingerprint]; !fresh {
			delete(c.strikes, fingerprint)
		}
	}
}

func (c *poolClient) sendRelease(r *pendingRelease) {
	c.send(entryRelease(r.message))
	if r.broken {
		return
	}
	delete(c.pendingReleases, r.message.RequestId)
	delete(c.holdings, r.message.RequestId)
}

// refuseAll refuses the waiting requests. They have no grant and did not run, so
// the error kind has the run state not_run.
func (c *poolClient) refuseAll(cause error) {
	kind := errkind.KindOf(cause)
	if kind != errkind.ShuttingDown && kind != errkind.NoUpstream {
		kind = errkind.SchedulerUnreachable
	}
	for id, acquire := range c.pendingAcquires {
		delete(c.pendingAcquires, id)
		acquire.result <- acquireResult{err: errkind.Wrap(kind, cause, "no scheduler of pool %s was reached", c.pool)}
	}
}
