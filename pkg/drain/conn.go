package drain

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// conn is a connection of a Listener.
type conn struct {
	*net.TCPConn
	listener *Listener

	mu sync.Mutex
	// state is what the server reported last, and since is the time of that, or of the last
	// byte that was read after it.
	state http.ConnState
	since time.Time
	// received is true if bytes of the next request were read.
	received bool
	// expired is true while an expired read deadline tells the server to close the
	// connection.
	expired bool
}

// expireIfSilent has the server close a connection that is silent. It doesn't close the
// connection itself, since the server may have read a request that is not reported yet: an
// expired read deadline ends only a wait for bytes that have not arrived.
func (c *conn) expireIfSilent(drainStarted time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateNew && c.state != http.StateIdle {
		return
	}
	since, limit := c.since, SilenceTime
	if c.state == http.StateNew && since.Before(drainStarted) {
		since = drainStarted
	}
	if c.received {
		limit = stallTime
	}
	if time.Since(since) < limit || hasUnreadBytes(c.TCPConn) {
		return
	}
	// The server may set its own deadline right after this one, so that the next look has
	// to repeat it.
	c.expired = c.SetReadDeadline(time.Unix(1, 0)) == nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if !c.readAgain(n, err) {
			return n, err
		}
	}
}

// readAgain notes the result of a read, and reports whether it failed only by the expired
// deadline although bytes have arrived since.
func (c *conn) readAgain(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.received, c.since = true, time.Now()
		c.clearExpired()
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded) && hasUnreadBytes(c.TCPConn) && c.clearExpired()
}

// clearExpired replaces an expired deadline by the time in which a header must arrive. It
// reports whether there was one.
func (c *conn) clearExpired() bool {
	if !c.expired {
		return false
	}
	c.expired = false
	var deadline time.Time
	if timeout := c.listener.headerTimeout; timeout > 0 && c.state != http.StateActive {
		deadline = time.Now().Add(timeout)
	}
	return c.SetReadDeadline(deadline) == nil
}

// trackState is a http.Server.ConnState.
func trackState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = state, time.Now()
	switch state {
	case http.StateIdle:
		// Bytes of the next request that were read together with the last one are no
		// longer known, but the server reports the request at once if it is whole.
		c.received = false
	case http.StateActive:
		c.clearExpired()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.forget(c)
	return c.TCPConn.Close()
}

// hasInput reports whether connections wait in the queue of a listener.
func hasInput(listener syscall.Conn) bool {
	waiting := false
	err := control(listener, func(fd int) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		waiting = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}

// hasUnreadBytes reports whether a connection has bytes to read.
func hasUnreadBytes(tcp syscall.Conn) bool {
	unread := false
	err := control(tcp, func(fd int) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

func control(c syscall.Conn, f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// maxLogLines bounds the log lines of LogOpen.
const maxLogLines = 20

// LogOpen logs the open connections when they are about to be aborted. unread is true if
// bytes have arrived that the server has not read.
func (l *Listener) LogOpen(log logr.Logger) {
	open := l.connections()
	for _, c := range open[:min(len(open), maxLogLines)] {
		log.Info("connection open at the end of the grace time", c.logValues()...)
	}
	if omitted := len(open) - maxLogLines; omitted > 0 {
		log.Info("further connections open at the end of the grace time", "count", omitted)
	}
}

func (c *conn) logValues() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []any{"caller", c.RemoteAddr().String(), "state", c.state.String(), "state_ms", time.Since(c.since).Milliseconds(),
		"received", c.received, "unread", hasUnreadBytes(c.TCPConn)}
}
