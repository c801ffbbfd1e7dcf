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
	// defaultKeep is how long an idle connection is reused when the upstream
	// does not announce its own limit.
	defaultKeep = time.Second
	// keepShare is the part of the announced limit that is used, so that a
	// request does not cross the upstream's close.
	keepShare = 0.5
	// maxKeep bounds the age of idle connections whatever is announced.
	maxKeep = 15 * time.Second
)

// Options configure a Pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Silence is the time after which a peer that acknowledges nothing counts
	// as gone.
	Silence time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	Clock   clockwork.Clock
	// Dial opens connections; a net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps idle connections to upstreams.
type Pool struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		dialer := &net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: opts.Silence / 3, Interval: opts.Silence / 3, Count: 2},
			Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, opts.Silence) },
		}
		opts.Dial = dialer.DialContext
	}
	return &Pool{opts: opts, idle: map[string][]*Conn{}, open: map[string]int{}}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// ErrTooMany means that the connections to an address are at their limit.
var ErrTooMany = errors.New("too many connections to the upstream")

// Get returns a connection to an upstream, and whether it was used before.
// limit bounds the connections of this pool to the address.
func (p *Pool) Get(ctx context.Context, address, upstream string, limit int) (conn *Conn, reused bool, err error) {
	if conn := p.takeIdle(address, upstream); conn != nil {
		return conn, true, nil
	}
	if !p.reserve(address, limit) {
		return nil, false, fmt.Errorf("%s: %w", address, ErrTooMany)
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, "tcp", address)
	if err != nil {
		p.unreserve(address)
		return nil, false, fmt.Errorf("dial: %w", err)
	}
	return newConn(raw, address, upstream, func() { p.unreserve(address) }), false, nil
}

func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

func (p *Pool) unreserve(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// takeIdle returns the idle connection that was used last, and closes those
// that are too old, closed by the peer, or hold bytes that nobody asked for.
func (p *Pool) takeIdle(address, upstream string) *Conn {
	for {
		conn := p.pop(address)
		if conn == nil {
			return nil
		}
		if conn.upstream == upstream && p.opts.Clock.Since(conn.idleSince) < conn.keep && quiet(conn.conn) {
			return conn
		}
		conn.Close()
	}
}

func (p *Pool) pop(address string) *Conn {
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

// quiet reports whether an idle connection is open and has nothing to read.
func quiet(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}

// Release takes a connection back after an answer whose body was read to its
// end, and keeps it if another request may be sent on it.
func (p *Pool) Release(conn *Conn, response *Response) {
	if !conn.detach() || !conn.reusable(response) {
		conn.Close()
		return
	}
	conn.keep = defaultKeep
	if announced, ok := keepAlive(response.Header); ok {
		conn.keep = min(maxKeep, time.Duration(float64(announced)*keepShare))
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

// Prune closes idle connections that are too old.
func (p *Pool) Prune() {
	p.mu.Lock()
	var old []*Conn
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if p.opts.Clock.Since(conn.idleSince) < conn.keep {
				kept = append(kept, conn)
			} else {
				old = append(old, conn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}
