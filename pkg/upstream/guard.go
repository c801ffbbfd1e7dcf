package upstream

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("the connection is sealed")

// guard is a connection that knows whether a byte may have been written, and
// that can be sealed as long as none was.
type guard struct {
	net.Conn

	mutex   sync.Mutex
	started bool
	sealed  bool
}

// Write passes to the connection unless it was sealed.
func (g *guard) Write(data []byte) (int, error) {
	if !g.start() {
		return 0, errSealed
	}
	return g.Conn.Write(data)
}

// start records that bytes may be written from now on. The flag is set before
// the write, so that a write in progress counts as written.
func (g *guard) start() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.sealed {
		return false
	}
	g.started = true
	return true
}

// seal forbids writes and returns true if none has started. The transport's
// writing goroutine may outlive the call; the seal keeps it from writing after
// the call was reported as not dispatched.
func (g *guard) seal() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.started {
		return false
	}
	g.sealed = true
	return true
}
