package pool

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// Stream is the entry's end of a session. It ends with the context that it was
// opened with. peer.DRPCPeer_SessionClient implements it.
type Stream interface {
	Send(*peer.EntryMessage) error
	Recv() (*peer.SchedulerMessage, error)
}

// localQueueSize is the number of messages queued in each direction of a
// localSession.
const localQueueSize = 64

// localSession is a session between an entry and a scheduler in one process. It
// is the entry's Stream.
type localSession struct {
	ctx         context.Context
	toScheduler chan *peer.EntryMessage
	toEntry     chan *peer.SchedulerMessage
}

// ConnectLocal opens a session with this server within the process.
func (s *Server) ConnectLocal(ctx context.Context) Stream {
	ctx, cancel := context.WithCancel(ctx)
	session := &localSession{ctx, make(chan *peer.EntryMessage, localQueueSize), make(chan *peer.SchedulerMessage, localQueueSize)}
	go func() {
		defer cancel()
		if err := s.ServeSession(localServerStream{session}); err != nil {
			s.options.Log.V(1).Info("session within the process ended", "error", err.Error())
		}
	}()
	return session
}

func (s *localSession) Send(m *peer.EntryMessage) error { return sendContext(s.ctx, s.toScheduler, m) }

func (s *localSession) Recv() (*peer.SchedulerMessage, error) {
	return receiveContext(s.ctx, s.toEntry)
}

// localServerStream is the scheduler's end of a localSession.
type localServerStream struct{ session *localSession }

func (s localServerStream) Context() context.Context { return s.session.ctx }

func (s localServerStream) Send(m *peer.SchedulerMessage) error {
	return sendContext(s.session.ctx, s.session.toEntry, m)
}

func (s localServerStream) Recv() (*peer.EntryMessage, error) {
	return receiveContext(s.session.ctx, s.session.toScheduler)
}

// sendContext sends a message to a channel. It fails once ctx has ended, even if
// the channel has room, because no goroutine receives from it any more.
func sendContext[M any](ctx context.Context, to chan<- M, m M) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case to <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func receiveContext[M any](ctx context.Context, from <-chan M) (M, error) {
	select {
	case m := <-from:
		return m, nil
	case <-ctx.Done():
		var none M
		return none, ctx.Err()
	}
}
