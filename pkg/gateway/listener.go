package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// queueDrainTime is how long the listener must have no new connection, after it was told
// to close, before it closes. Connections in its queue would otherwise be reset.
const queueDrainTime = 5 * time.Millisecond

// callerListener accepts the connections of callers. A http.Server that shuts down closes
// the listener and the connections that are idle. With this listener, connections that
// wait in the queue are accepted before, and a connection on which a request has arrived
// is served before it is closed.
type callerListener struct {
	*net.TCPListener
	closed chan struct{}
	// open counts the connections that were not closed because a request had arrived.
	open sync.WaitGroup

	mu       sync.Mutex
	draining bool
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
	return &callerListener{TCPListener: listener, closed: make(chan struct{})}, nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err == nil {
		return &callerConn{TCPConn: conn, listener: l}, nil
	}
	if l.isDraining() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.Join(net.ErrClosed, l.TCPListener.Close())
		close(l.closed)
	}
	return nil, err
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

// shutDown stops accepting connections and waits until all requests that have arrived on
// open ones are answered, or ctx ends.
func (l *callerListener) shutDown(ctx context.Context, server *http.Server) error {
	if err := l.Close(); err != nil {
		return err
	}
	<-l.closed
	err := server.Shutdown(ctx)
	done := make(chan struct{})
	go func() {
		l.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return err
	case <-ctx.Done():
		return errors.Join(err, ctx.Err())
	}
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
	kept, closed bool
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
	if c.idle && !c.kept && !c.closed && c.listener.isDraining() && (c.received || hasUnreadBytes(c.TCPConn)) {
		c.kept = true
		c.listener.open.Add(1)
		return nil
	}
	if c.kept && !c.closed {
		c.listener.open.Done()
	}
	c.closed = true
	return c.TCPConn.Close()
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
