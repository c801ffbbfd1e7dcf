package upstream

import (
	"errors"
	"net"
	"sync"
)

// errSealed is the error of a write on a sealed connection.
var errSealed = errors.New("write on a sealed connection")

// sealableConn is a connection that records whether a write has started. Until
// then, it can be sealed against writes.
type sealableConn struct {
	net.Conn

	mutex        sync.Mutex
	writeStarted bool
	sealed       bool
}

// Write writes to the connection unless it is sealed.
func (c *sealableConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(data)
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
	return true
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
