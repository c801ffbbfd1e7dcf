package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Cut is the direction of a link in which bytes are held back.
type Cut int

// Cuts of a link. Bytes of a cut direction are held back until the link is
// restored, as on a network that drops packets which TCP then retransmits.
const (
	// CutNone holds back nothing.
	CutNone Cut = iota
	// CutToServer holds back bytes from clients.
	CutToServer
	// CutToClient holds back bytes from the server.
	CutToClient
	// CutBoth holds back bytes in both directions. New connections are accepted, but
	// not forwarded to the server.
	CutBoth
)

// Link is a TCP proxy in front of a server. It can hold back bytes in either
// direction, delay them, and close connections.
type Link struct {
	listener net.Listener
	target   string

	mu           sync.Mutex
	stateChanged *sync.Cond
	cut          Cut
	closed       bool
	// connections holds for each open connection whether the link has closed its write side.
	connections map[net.Conn]bool

	bytesToServer atomic.Int64
	bytesToClient atomic.Int64
	delay         atomic.Int64
	sendBuffer    atomic.Int64
}

// SetDelay delays each chunk of bytes in both directions.
func (l *Link) SetDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

// SetSendBuffer bounds the bytes that the kernel holds for the server, on each connection
// that is opened later. On loopback it holds some 4 MB otherwise.
func (l *Link) SetSendBuffer(bytes int) { l.sendBuffer.Store(int64(bytes)) }

// NewLink listens on a free loopback port and forwards connections to target, a
// host and port.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, connections: map[net.Conn]bool{}}
	l.stateChanged = sync.NewCond(&l.mu)
	go l.acceptConnections()
	return l, nil
}

// Address returns the host and port on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget sets the host and port to which new connections are forwarded.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// SetCut cuts the link in the given directions, or restores it.
func (l *Link) SetCut(cut Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.stateChanged.Broadcast()
}

// ForwardedBytes returns the number of bytes forwarded in each direction, without TCP and
// IP headers.
func (l *Link) ForwardedBytes() (toServer, toClient int64) {
	return l.bytesToServer.Load(), l.bytesToClient.Load()
}

// CloseConnections resets all open connections.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		resetConn(conn)
	}
}

// Close stops listening and closes all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.stateChanged.Broadcast()
	l.mu.Unlock()
	l.CloseConnections()
}

func (l *Link) acceptConnections() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	defer l.closeAndUntrack(client)
	if !l.waitUntilOpen(CutBoth) {
		return
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer l.closeAndUntrack(server)
	if bytes := l.sendBuffer.Load(); bytes > 0 {
		_ = server.(*net.TCPConn).SetWriteBuffer(int(bytes))
	}
	l.track(client, server)
	done := make(chan struct{}, 2)
	go l.copyDirection(server, client, CutToServer, done)
	go l.copyDirection(client, server, CutToClient, done)
	<-done
	<-done
}

func (l *Link) copyDirection(to, from net.Conn, direction Cut, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	counter := &l.bytesToServer
	if direction == CutToClient {
		counter = &l.bytesToClient
	}
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(l.delay.Load()))
			if !l.waitUntilOpen(direction) {
				return
			}
			counter.Add(int64(n))
			if _, err := to.Write(buffer[:n]); err != nil {
				// The other direction reads what came before the end of the connection, then
				// passes the end on.
				return
			}
		}
		if err != nil {
			l.propagateEnd(to, from, err)
			return
		}
	}
}

// propagateEnd ends the write side of a connection after its source has ended: on
// EOF it half-closes the connection, on a reset or any other error it resets it.
func (l *Link) propagateEnd(to, from net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && !l.wasReset(from) {
		l.mu.Lock()
		l.connections[to] = true
		l.mu.Unlock()
		_ = tcp.CloseWrite()
		return
	}
	resetConn(to)
}

// wasReset reports whether a connection whose reads return EOF was reset. The kernel reports
// a reset only once; if a write gets the report, reads return EOF. The state of a connection
// that the peer has closed properly is TCP_CLOSE only after its write side was closed too.
func (l *Link) wasReset(conn net.Conn) bool {
	l.mu.Lock()
	writeClosed := l.connections[conn]
	l.mu.Unlock()
	tcp, isTCP := conn.(*net.TCPConn)
	if writeClosed || !isTCP {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && reset
}

// resetConn resets a connection, which must not look like its end.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// waitUntilOpen blocks while the direction is cut. It returns false once the link
// is closed.
func (l *Link) waitUntilOpen(direction Cut) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.cut != CutNone && (l.cut == CutBoth || l.cut == direction) {
		l.stateChanged.Wait()
	}
	return !l.closed
}

func (l *Link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.connections[conn] = false
	}
}

func (l *Link) closeAndUntrack(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
}
