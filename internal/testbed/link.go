package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Cut says which direction of a link is cut.
type Cut int

// Cuts of a link. Bytes of a cut direction are held back until the link is
// restored, as on a network that drops and retransmits.
const (
	Open Cut = iota
	// ToServer holds back what clients send.
	ToServer
	// ToClient holds back what the server answers.
	ToClient
	// Both holds back everything, new connections included.
	Both
)

// Link forwards TCP connections to a server and can be cut.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	cut     Cut
	closed  bool
	conns   map[net.Conn]struct{}

	toServer atomic.Int64
	toClient atomic.Int64
	delay    atomic.Int64
}

// SetDelay holds back each chunk of bytes for a time, in both directions.
func (l *Link) SetDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

// NewLink listens on a free loopback port and forwards to target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Address is the host and port that clients use.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget changes the server of new connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Set cuts or restores the link.
func (l *Link) Set(cut Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.changed.Broadcast()
}

// Carried returns the bytes that the link has carried in each direction, TCP
// and IP headers excluded.
func (l *Link) Carried() (toServer, toClient int64) {
	return l.toServer.Load(), l.toClient.Load()
}

// Reset closes every connection that is open.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	l.Reset()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	defer l.forget(client)
	if !l.pass(Both) {
		return
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer l.forget(server)
	l.remember(client, server)
	done := make(chan struct{}, 2)
	go l.copy(server, client, ToServer, done)
	go l.copy(client, server, ToClient, done)
	<-done
	<-done
}

func (l *Link) copy(to, from net.Conn, direction Cut, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	carried := &l.toServer
	if direction == ToClient {
		carried = &l.toClient
	}
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(l.delay.Load()))
			if !l.pass(direction) {
				return
			}
			carried.Add(int64(n))
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			l.endCopy(to, err)
			return
		}
	}
}

// endCopy passes the end of a stream on: a clean end as a half close, a
// broken connection as a closed one.
func (l *Link) endCopy(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}

// pass blocks while the direction is cut and reports whether the link still exists.
func (l *Link) pass(direction Cut) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.cut != Open && (l.cut == Both || l.cut == direction) {
		l.changed.Wait()
	}
	return !l.closed
}

func (l *Link) remember(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = struct{}{}
	}
}

func (l *Link) forget(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
