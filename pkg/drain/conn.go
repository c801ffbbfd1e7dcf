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
	// state is what the server reported last, at since.
	state http.ConnState
	since time.Time
	// received is true if bytes of the next request were read.
	received bool
	// ending is true while an expired read deadline tells the server to close the connection.
	ending bool
}

// closeIfSilent has the server close a connection that is silent. It doesn't close the
// connection itself, since the server may have read a request that is not reported yet: an
// expired read deadline ends only a wait for bytes that have not arrived.
func (c *conn) closeIfSilent(drainStarted time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.since
	switch {
	case c.state == http.StateNew && since.Before(drainStarted):
		since = drainStarted
	case c.state != http.StateNew && c.state != http.StateIdle:
		return
	}
	if c.received || time.Since(since) < SilenceTime || hasUnreadBytes(c.TCPConn) {
		return
	}
	// The server may set its own deadline right after this one, so that the next look has
	// to repeat it.
	c.ending = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) == nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if !c.continueReading(n, err) {
			return n, err
		}
	}
}

// continueReading notes the result of a read, and reports whether bytes arrived when the
// server was told to close the connection.
func (c *conn) continueReading(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.received = true
		return false
	}
	if !c.ending || !errors.Is(err, os.ErrDeadlineExceeded) || !hasUnreadBytes(c.TCPConn) {
		return false
	}
	return c.resume()
}

// resume takes back that the server was told to close the connection.
func (c *conn) resume() bool {
	c.ending = false
	return c.TCPConn.SetReadDeadline(time.Time{}) == nil
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
		c.received = false
	case http.StateActive:
		if c.ending {
			// The request was read ahead, together with the one before it.
			c.resume()
		}
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
