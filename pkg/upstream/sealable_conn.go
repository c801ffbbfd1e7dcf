package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// errSealed is the error of a write on a sealed connection.
var errSealed = errors.New("write on a sealed connection")

// sealableConn is a connection that records whether a write has started. Until
// then, it can be sealed against writes. Only one write may be in progress at a time.
type sealableConn struct {
	net.Conn

	mutex        sync.Mutex
	writeStarted bool
	sealed       bool
	// writeEnd is closed when the last write that started has ended.
	writeEnd chan struct{}
	// writeErr is the error of the last write that ended.
	writeErr error
}

// Write writes to the connection unless it is sealed.
func (c *sealableConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	c.endWrite(err)
	return n, err
}

// Read returns io.EOF only if the upstream closed the connection. The kernel reports a
// reset only once. If a write gets the report, reads return io.EOF.
func (c *sealableConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// EPIPE means that the upstream had closed the connection before it was reset.
	if writeErr := c.lastWriteError(); writeErr != nil && !errors.Is(writeErr, syscall.EPIPE) {
		return n, errors.Join(io.ErrUnexpectedEOF, writeErr)
	}
	return n, err
}

// lastWriteError waits for the end of a write in progress, which is when the connection is
// closed, at the latest. It returns the error of the last write.
func (c *sealableConn) lastWriteError() error {
	c.mutex.Lock()
	writeEnd := c.writeEnd
	c.mutex.Unlock()
	if writeEnd != nil {
		<-writeEnd
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writeErr
}

// beginWrite records that a write starts, and returns false if the connection is
// sealed. The flag is set before the write, so that a write in progress counts.
func (c *sealableConn) beginWrite() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return false
	}
	c.writeStarted = true
	c.writeEnd = make(chan struct{})
	return true
}

func (c *sealableConn) endWrite(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writeErr = err
	close(c.writeEnd)
}

// seal makes later writes fail and returns true, unless a write has started. The
// transport's write goroutine may outlive the call; after sealing it can no
// longer write, so a call that was reported as not dispatched stays so.
func (c *sealableConn) seal() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writeStarted {
		return false
	}
	c.sealed = true
	return true
}
