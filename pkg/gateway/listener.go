package gateway

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// queueDrainTime is how long the listener must have no new connection, after it was told
// to close, before it closes. Connections in its queue would otherwise be reset.
const queueDrainTime = 5 * time.Millisecond

// Times of the shutdown of a callerListener.
const (
	// drainPollInterval is the time between two looks at the connections that are open.
	drainPollInterval = 5 * time.Millisecond
	// firstRequestTime is the time after the closing of the listener in which the first
	// request of a connection must arrive.
	firstRequestTime = 500 * time.Millisecond
)

// callerListener accepts the connections of callers. http.Server.Shutdown drops requests
// that have arrived, but that it has not read when it is called, and connections in the
// queue of the listener. shutDown serves both.
type callerListener struct {
	*net.TCPListener
	closed chan struct{}

	mu       sync.Mutex
	draining bool
	// open holds the connections that are not closed.
	open map[*callerConn]struct{}
}

func listenForCallers(address string) (*callerListener, error) {
	local, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenTCP("tcp4", local)
	if err != nil {
		return nil, err
	}
	return &callerListener{TCPListener: listener, closed: make(chan struct{}), open: map[*callerConn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err == nil {
			return l.track(conn), nil
		}
		if !l.isDraining() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !hasInput(l.TCPListener) {
			err = errors.Join(net.ErrClosed, l.TCPListener.Close())
			close(l.closed)
			return nil, err
		}
		// The deadline passed before this goroutine ran, and connections wait.
		if err := l.SetDeadline(time.Now().Add(queueDrainTime)); err != nil {
			return nil, err
		}
	}
}

// hasInput reports whether connections wait in the queue of a listener.
func hasInput(listener syscall.Conn) bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		waiting = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}

func (l *callerListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// Close implements net.Listener. Accept continues until the queue is empty.
func (l *callerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil
	}
	l.draining = true
	return l.SetDeadline(time.Now().Add(queueDrainTime))
}

func (l *callerListener) track(conn *net.TCPConn) *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := &callerConn{TCPConn: conn, listener: l, stateSince: time.Now()}
	l.open[tracked] = struct{}{}
	return tracked
}

// shutDown stops accepting connections and waits until all requests that have arrived on
// open ones are answered, or ctx ends.
func (l *callerListener) shutDown(ctx context.Context, server *http.Server) error {
	if err := l.Close(); err != nil {
		return err
	}
	<-l.closed
	// Closes idle connections, and each other one after its next answer.
	server.SetKeepAlivesEnabled(false)
	started := time.Now()
	for l.closeSilent(time.Since(started) > firstRequestTime) > 0 {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeSilent closes the connections on which no request has ever arrived, if late is set,
// and returns the number of open ones.
func (l *callerListener) closeSilent(late bool) int {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, conn := range open {
		if late && conn.silent() {
			_ = conn.Close()
		}
	}
	return len(open)
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	listener *callerListener

	mu sync.Mutex
	// idle is true between two requests, and received is true if bytes of the next request
	// were read in that time.
	idle, received bool
	// kept is true after a Close that was ignored.
	kept bool
	// state is what http.Server reported last, at stateSince.
	state      http.ConnState
	stateSince time.Time
}

// silent reports whether no byte has arrived on a connection.
func (c *callerConn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idle && !c.received && !hasUnreadBytes(c.TCPConn)
}

// maxOpenConnLines bounds the log lines about connections that are open at the end of a
// shutdown.
const maxOpenConnLines = 20

// logOpen logs the open connections, which end with the process. unread_bytes of a
// connection without a running request are a request that nobody serves.
func (l *callerListener) logOpen(log logr.Logger) {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, conn := range open[:min(len(open), maxOpenConnLines)] {
		log.Info("connection open at the end of the grace time", conn.logValues()...)
	}
	if omitted := len(open) - maxOpenConnLines; omitted > 0 {
		log.Info("further connections open at the end of the grace time", "count", omitted)
	}
}

func (c *callerConn) logValues() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []any{"caller", c.RemoteAddr().String(), "state", c.state.String(), "state_ms", time.Since(c.stateSince).Milliseconds(),
		"received", c.received, "unread_bytes", unreadBytes(c.TCPConn), "close_ignored", c.kept}
}

// unreadBytes returns the number of bytes in the receive queue of a connection; -1 if it
// is unknown.
func unreadBytes(conn syscall.Conn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return -1
	}
	unread := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	if err != nil {
		return -1
	}
	return unread
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.received = true
		c.mu.Unlock()
	}
	return n, err
}

// trackCallerConn is a http.Server.ConnState.
func trackCallerConn(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.stateSince = state, time.Now()
	c.idle = state == http.StateIdle
	if c.idle {
		c.received = false
	}
}

// Close implements net.Conn. The server's first attempt to close an idle connection while
// it shuts down is ignored if a request has arrived: the server answers it and closes the
// connection then.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.kept && c.listener.isDraining() && (c.received || hasUnreadBytes(c.TCPConn)) {
		c.kept = true
		return nil
	}
	c.listener.forget(c)
	return c.TCPConn.Close()
}

func (l *callerListener) forget(conn *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// hasUnreadBytes reports whether a connection has bytes to read.
func hasUnreadBytes(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
