package pool

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// Stream is the entry's end of a session; peer.DRPCPeer_SessionClient
// implements it. The context it was opened with ends it.
type Stream interface {
	Send(*peer.EntryMessage) error
	Recv() (*peer.SchedulerMessage, error)
}

// pipeSize is the number of messages that wait between an entry and the
// scheduler in the same process.
const pipeSize = 64

// pipe is a session within the process.
type pipe struct {
	ctx  context.Context
	up   chan *peer.EntryMessage
	down chan *peer.SchedulerMessage
}

// Connect opens a session with this server without the network.
func (s *Server) Connect(ctx context.Context) Stream {
	ctx, cancel := context.WithCancel(ctx)
	p := &pipe{ctx, make(chan *peer.EntryMessage, pipeSize), make(chan *peer.SchedulerMessage, pipeSize)}
	go func() {
		defer cancel()
		if err := s.ServeSession(serverEnd{p}); err != nil {
			s.options.Log.V(1).Info("session within the process ended", "error", err.Error())
		}
	}()
	return p
}

func (p *pipe) Send(m *peer.EntryMessage) error { return push(p.ctx, p.up, m) }

func (p *pipe) Recv() (*peer.SchedulerMessage, error) { return pull(p.ctx, p.down) }

type serverEnd struct{ p *pipe }

func (e serverEnd) Context() context.Context { return e.p.ctx }

func (e serverEnd) Send(m *peer.SchedulerMessage) error { return push(e.p.ctx, e.p.down, m) }

func (e serverEnd) Recv() (*peer.EntryMessage, error) { return pull(e.p.ctx, e.p.up) }

// push sends a message. It fails once ctx has ended, even if there is room:
// nobody reads any more.
func push[M any](ctx context.Context, to chan<- M, m M) error {
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

func pull[M any](ctx context.Context, from <-chan M) (M, error) {
	select {
	case m := <-from:
		return m, nil
	case <-ctx.Done():
		var none M
		return none, ctx.Err()
	}
}
