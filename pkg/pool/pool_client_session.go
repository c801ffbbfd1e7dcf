package pool

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// openSession opens a session with the first candidate that answers. Hello lists
// the grants held now; until the session is open, no grant can be added.
func (c *poolClient) openSession(ctx context.Context) {
	if c.opening {
		return
	}
	c.opening = true
	self := c.parent.options.View.Self()
	hello := &peer.Hello{
		Instance: &peer.InstanceRef{Id: self.ID, Incarnation: self.Incarnation},
		Pool:     c.pool,
		Strikes:  strikesToWire(c.strikes),
	}
	for _, holding := range c.holdings {
		hello.Holdings = append(hello.Holdings, holding)
	}
	slices.SortFunc(hello.Holdings, func(x, y *peer.Holding) int {
		if x.RequestId < y.RequestId {
			return -1
		}
		return 1
	})
	candidates := c.parent.candidates(c.pool)
	c.tasks.Go(func() {
		err := error(errkind.New(errkind.SchedulerUnreachable, "no scheduler is known for pool %s", c.pool))
		for _, scheduler := range candidates {
			var session *clientSession
			if session, err = c.openSessionWith(ctx, scheduler, hello); err == nil {
				if !c.post(ctx, sessionOpened{session}) {
					session.cancel()
				}
				return
			}
			c.parent.options.Log.Info("scheduler was not reached", "pool", c.pool, "address", scheduler.address, "error", err.Error())
		}
		c.post(ctx, openFailed{err})
	})
}

// openSessionWith opens a session and waits for Welcome, so that a scheduler
// that accepts connections but does not answer is skipped.
func (c *poolClient) openSessionWith(ctx context.Context, scheduler candidate, hello *peer.Hello) (*clientSession, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := c.parent.options.Clock.AfterFunc(sessionOpenTimeout, cancel)
	stream, err := c.parent.openStream(ctx, scheduler)
	if err == nil {
		err = stream.Send(&peer.EntryMessage{Body: &peer.EntryMessage_Hello{Hello: hello}})
	}
	var first *peer.SchedulerMessage
	if err == nil {
		first, err = stream.Recv()
	}
	if err == nil && first.GetWelcome() == nil {
		err = errkind.New(errkind.SchedulerUnreachable, "the first message of the scheduler is not Welcome")
	}
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &clientSession{stream, scheduler, make(chan *peer.EntryMessage, sessionQueueSize), cancel}, nil
}

// useSession makes an opened session the current one. It sends the releases that
// were not sent or not acknowledged, and acquires again for the waiting requests.
func (c *poolClient) useSession(ctx context.Context, now time.Time, session *clientSession) {
	c.opening = false
	c.session = session
	c.lastReceived, c.nextHeartbeat = now, now.Add(heartbeatInterval)
	c.ownerRetryAt = now.Add(c.ownerRetryDelay)
	if session.scheduler == c.owner {
		c.ownerRetryDelay = minOwnerRetryDelay
	}
	c.tasks.Go(func() { c.readMessages(ctx, session) })
	c.tasks.Go(func() { c.writeMessages(ctx, session) })
	// Releases go first: a request whose grant expired in transit is both
	// released and acquired again under the same ID.
	for _, r := range c.pendingReleases {
		c.sendRelease(r)
	}
	for _, acquire := range c.pendingAcquires {
		c.sendAcquire(now, acquire)
	}
}

func (c *poolClient) readMessages(ctx context.Context, session *clientSession) {
	for {
		m, err := session.stream.Recv()
		if err != nil {
			c.post(ctx, sessionBroken{session, err})
			return
		}
		if !c.post(ctx, schedulerMessageReceived{session, m}) {
			return
		}
	}
}

func (c *poolClient) writeMessages(ctx context.Context, session *clientSession) {
	for {
		select {
		case <-ctx.Done():
			return
		case m, ok := <-session.outbox:
			if !ok {
				return
			}
			if err := session.stream.Send(m); err != nil {
				c.post(ctx, sessionBroken{session, err})
				return
			}
		}
	}
}
