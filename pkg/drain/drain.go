// Package drain ends an HTTP server without losing a request that has arrived.
//
// http.Server.Shutdown closes connections whose next request has arrived but was not read
// yet, and so does a server whose keep-alives are switched off after a response that did
// not announce the closing. Listener keeps such connections open until the request was
// answered: the server's own goroutine reads each connection to its end, and Listener only
// ends the wait for a request on connections that are silent.
//
// A server is prepared by Listen and Attach. Its shutdown begins with Announce, which may
// come well before the end, and ends with Drain. http.Server calls Close; Abort is for a
// server that never served.
package drain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueDrainTime is how long the listener must have no new connection, after it was told
	// to close, before it closes. Connections in its queue would otherwise be reset.
	queueDrainTime = 5 * time.Millisecond
	// pollInterval is the time between two looks at the connections that are open.
	pollInterval = 5 * time.Millisecond
	// SilenceTime is how long a connection must be without a byte before it is closed: the
	// caller may be sending a request, since its last response did not announce the closing.
	SilenceTime = 500 * time.Millisecond
	// stallTime is the same limit for a connection with a part of a request's header.
	stallTime = 2 * time.Second
)

// Listener accepts the connections of a http.Server and ends them without losing requests.
type Listener struct {
	tcp *net.TCPListener
	// slots holds a token for each open connection; nil without a limit.
	slots  chan struct{}
	closed chan struct{}
	// headerTimeout is the server's ReadHeaderTimeout.
	headerTimeout time.Duration

	// announcing is true if responses announce that their connection closes.
	announcing atomic.Bool

	mu       sync.Mutex
	draining bool
	// open holds the connections that are not closed.
	open map[*conn]struct{}
}

// Listen returns a listener on a TCP address. maxConns bounds the open connections, further
// ones wait in the queue of the listener; 0 means no limit.
func Listen(network, address string, maxConns int) (*Listener, error) {
	local, err := net.ResolveTCPAddr(network, address)
	if err != nil {
		return nil, err
	}
	tcp, err := net.ListenTCP(network, local)
	if err != nil {
		return nil, err
	}
	l := &Listener{tcp: tcp, closed: make(chan struct{}), open: map[*conn]struct{}{}}
	if maxConns > 0 {
		l.slots = make(chan struct{}, maxConns)
	}
	return l, nil
}

// Attach prepares a server for this listener. It must be called before the server serves,
// and once its Handler is set.
func (l *Listener) Attach(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announcing := &announcingWriter{ResponseWriter: w, listener: l}
		handler.ServeHTTP(announcing, r)
		announcing.finish()
	})
	l.headerTimeout = server.ReadHeaderTimeout
	server.ConnState = trackState
}

// Announce lets all responses whose header is not written yet announce that their
// connection closes. The listener still accepts connections.
func (l *Listener) Announce() { l.announcing.Store(true) }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if l.slots != nil {
		l.slots <- struct{}{}
	}
	for {
		tcp, err := l.tcp.AcceptTCP()
		if err == nil {
			return l.track(tcp), nil
		}
		if l.isDraining() && errors.Is(err, os.ErrDeadlineExceeded) {
			if hasInput(l.tcp) {
				// The deadline passed before this goroutine ran, and connections wait.
				if err = l.tcp.SetDeadline(time.Now().Add(queueDrainTime)); err == nil {
					continue
				}
			} else {
				err = errors.Join(net.ErrClosed, l.tcp.Close())
				close(l.closed)
			}
		}
		l.release()
		return nil, err
	}
}

// Close implements net.Listener. Accept continues until the queue is empty.
func (l *Listener) Close() error {
	l.Announce()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil
	}
	l.draining = true
	return l.tcp.SetDeadline(time.Now().Add(queueDrainTime))
}

// Abort closes the listener at once. Connections in its queue are reset.
func (l *Listener) Abort() error {
	l.Announce()
	if err := l.tcp.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Drain stops accepting connections and waits until all requests that have arrived on open
// ones are answered, or ctx ends.
func (l *Listener) Drain(ctx context.Context) error {
	if err := l.Close(); err != nil {
		return err
	}
	started := time.Now()
	for {
		// A connection may be accepted until the listener is closed, so that the
		// connections are counted after that.
		closed := l.isClosed()
		if l.expireSilent(started) == 0 && closed {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// expireSilent ends the wait for a request on connections that are silent, and returns the
// number of open ones. A connection on which no request has ever arrived counts as silent
// since the draining started at the earliest.
func (l *Listener) expireSilent(started time.Time) int {
	open := l.connections()
	for _, c := range open {
		c.expireIfSilent(started)
	}
	return len(open)
}

func (l *Listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *Listener) track(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, listener: l, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	_, found := l.open[c]
	delete(l.open, c)
	l.mu.Unlock()
	if found {
		l.release()
	}
}

func (l *Listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}
