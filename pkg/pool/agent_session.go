package pool

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// open opens a session with the first candidate that answers. The Hello lists
// what this entry holds now; without a session that can only shrink.
func (a *agent) open(ctx context.Context) {
	if a.opening {
		return
	}
	a.opening = true
	self := a.client.options.View.Self()
	hello := &peer.Hello{
		Instance: &peer.InstanceRef{Id: self.ID, Incarnation: self.Incarnation},
		Pool:     a.pool,
		Strikes:  strikesToWire(a.strikes),
	}
	for _, holding := range a.holdings {
		hello.Holdings = append(hello.Holdings, holding)
	}
	slices.SortFunc(hello.Holdings, func(x, y *peer.Holding) int {
		if x.RequestId < y.RequestId {
			return -1
		}
		return 1
	})
	candidates := a.client.candidates(a.pool)
	a.tasks.Go(func() {
		err := error(errkind.New(errkind.SchedulerUnreachable, "no scheduler is known for pool %s", a.pool))
		for _, to := range candidates {
			var session *entrySession
			if session, err = a.greet(ctx, to, hello); err == nil {
				if !a.post(ctx, welcomed{session}) {
					session.cancel()
				}
				return
			}
			a.client.options.Log.Info("scheduler was not reached", "pool", a.pool, "address", to.address, "error", err.Error())
		}
		a.post(ctx, failed{err})
	})
}

// greet opens a session and waits for the welcome, so that a scheduler that is
// frozen is passed over.
func (a *agent) greet(ctx context.Context, to candidate, hello *peer.Hello) (*entrySession, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := a.client.options.Clock.AfterFunc(openTimeout, cancel)
	stream, err := a.client.open(ctx, to)
	if err == nil {
		err = stream.Send(&peer.EntryMessage{Body: &peer.EntryMessage_Hello{Hello: hello}})
	}
	var first *peer.SchedulerMessage
	if err == nil {
		first, err = stream.Recv()
	}
	if err == nil && first.GetWelcome() == nil {
		err = errkind.New(errkind.SchedulerUnreachable, "the session did not begin with Welcome")
	}
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &entrySession{stream, to, make(chan *peer.EntryMessage, sessionQueue), cancel}, nil
}

// welcome starts to use a session: what was waiting is acquired again, and
// releases that were not sent or not acknowledged are sent.
func (a *agent) welcome(ctx context.Context, now time.Time, session *entrySession) {
	a.opening = false
	a.session = session
	a.heard, a.beatAt = now, now.Add(heartbeatInterval)
	a.returnAt = now.Add(a.backoff)
	if session.to == a.owner {
		a.backoff = firstReturn
	}
	a.tasks.Go(func() { a.read(ctx, session) })
	a.tasks.Go(func() { a.write(ctx, session) })
	// A request whose grant had expired is both released and acquired again.
	for _, r := range a.pending {
		a.sendRelease(r)
	}
	for _, w := range a.waiters {
		a.sendAcquire(now, w)
	}
}

func (a *agent) read(ctx context.Context, session *entrySession) {
	for {
		m, err := session.stream.Recv()
		if err != nil {
			a.post(ctx, broke{session, err})
			return
		}
		if !a.post(ctx, arrived{session, m}) {
			return
		}
	}
}

func (a *agent) write(ctx context.Context, session *entrySession) {
	for {
		select {
		case <-ctx.Done():
			return
		case m, ok := <-session.out:
			if !ok {
				return
			}
			if err := session.stream.Send(m); err != nil {
				a.post(ctx, broke{session, err})
				return
			}
		}
	}
}
