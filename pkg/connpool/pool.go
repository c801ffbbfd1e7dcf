package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does
	// not announce a timeout.
	defaultIdleTimeout = time.Second
	// idleTimeoutShare is the share of the announced timeout that is used, so that no
	// request is sent while the upstream closes the connection.
	idleTimeoutShare = 0.5
	// maxIdleTimeout bounds the idle timeout regardless of the announced one.
	maxIdleTimeout = 15 * time.Second
)

// Options configure a Pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// AckTimeout is the time without an acknowledgement after which the kernel closes a
	// connection.
	AckTimeout time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	Clock   clockwork.Clock
	// Dial opens connections. If nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool opens connections to upstreams and keeps idle ones for reuse. It is safe for
// concurrent use.
type Pool struct {
	opts      Options
	mu        sync.Mutex
	idle      map[string][]*Conn
	openCount map[string]int
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		dialer := &net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: opts.AckTimeout / 3, Interval: opts.AckTimeout / 3, Count: 2},
			Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, opts.AckTimeout) },
		}
		opts.Dial = dialer.DialContext
	}
	return &Pool{opts: opts, idle: map[string][]*Conn{}, openCount: map[string]int{}}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// ErrTooManyConnections means that the pool has as many connections to the
// address as allowed.
var ErrTooManyConnections = errors.New("too many connections to the upstream")

// Get returns an idle or new connection to an upstream, and whether it was used before.
// limit bounds the open connections of this pool to the address.
func (p *Pool) Get(ctx context.Context, address, upstream string, limit int) (conn *Conn, reused bool, err error) {
	if conn := p.takeIdle(address, upstream); conn != nil {
		return conn, true, nil
	}
	if !p.reserveConn(address, limit) {
		return nil, false, fmt.Errorf("%s: %w", address, ErrTooManyConnections)
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, "tcp", address)
	if err != nil {
		p.unreserveConn(address)
		return nil, false, fmt.Errorf("dial: %w", err)
	}
	return newConn(raw, address, upstream, func() { p.unreserveConn(address) }), false, nil
}

func (p *Pool) reserveConn(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[address] >= limit {
		return false
	}
	p.openCount[address]++
	return true
}

func (p *Pool) unreserveConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount[address]--
	if p.openCount[address] <= 0 {
		delete(p.openCount, address)
	}
}

// takeIdle returns the most recently used idle connection that can be reused. It closes
// those that are expired, lead to another upstream that had the same address, were
// closed by the peer, or hold unread data.
func (p *Pool) takeIdle(address, upstream string) *Conn {
	for {
		conn := p.popIdle(address)
		if conn == nil {
			return nil
		}
		if conn.upstream == upstream && p.opts.Clock.Since(conn.idleSince) < conn.idleTimeout && isOpenAndEmpty(conn.conn) {
			return conn
		}
		conn.Close()
	}
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return conn
}

// isOpenAndEmpty reports whether an idle connection is open and has no data to read.
// It returns true for a connection without a file descriptor, which it cannot check.
func isOpenAndEmpty(conn net.Conn) bool {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Release returns a connection to the pool after the body of the response was read to
// its end. It closes the connection if it cannot be reused.
func (p *Pool) Release(conn *Conn, response *Response) {
	if !conn.detachContext() || !conn.reusable(response) {
		conn.Close()
		return
	}
	conn.idleTimeout = defaultIdleTimeout
	if announced, ok := keepAliveTimeout(response.Header); ok {
		conn.idleTimeout = min(maxIdleTimeout, time.Duration(float64(announced)*idleTimeoutShare))
	}
	conn.idleSince = p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[conn.address]) >= p.opts.MaxIdle {
		go conn.Close()
		return
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// Prune closes expired idle connections.
func (p *Pool) Prune() {
	p.mu.Lock()
	var expired []*Conn
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if p.opts.Clock.Since(conn.idleSince) < conn.idleTimeout {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}
