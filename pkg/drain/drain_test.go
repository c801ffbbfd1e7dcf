package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const rawRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// readAnswer reads an answer and expects the status 200.
func readAnswer(g *GomegaWithT, reader *bufio.Reader) {
	g.THelper()
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
}

func newCallerServer(g *GomegaWithT, handler http.HandlerFunc) (*Listener, *http.Server) {
	listener, err := Listen("tcp4", "127.0.0.1:0", 0)
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener.Attach(server)
	return listener, server
}

// acceptedConn returns both ends of a connection that a listener has accepted before it was
// closed.
func acceptedConn(g *GomegaWithT, listener *Listener) (client net.Conn, accepted *conn) {
	g.THelper()
	client, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	return client, raw.(*conn)
}

// Planned stop while connections wait in the queue of the listener. Guards against
// resetting them although their requests have arrived.
func TestConnectionsInQueueAreServedAtShutdown(t *testing.T) {
	g := NewWithT(t)
	listener, server := newCallerServer(g, func(http.ResponseWriter, *http.Request) {})
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, rawRequest)
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, conn)
	}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.Expect(listener.Drain(ctx)).To(Succeed())
	for _, conn := range conns {
		readAnswer(g, bufio.NewReader(conn))
	}
	_, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).To(HaveOccurred(), "the listener is closed")
}

// Planned stop while requests arrive on idle connections. Guards against closing a
// connection whose next request is in its receive queue or was read already.
func TestRequestOnIdleConnectionIsServedAtShutdown(t *testing.T) {
	for range 50 {
		g := NewWithT(t)
		listener, server := newCallerServer(g, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) })
		go func() { _ = server.Serve(listener) }()
		conn, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		_, err = io.WriteString(conn, rawRequest)
		g.Expect(err).NotTo(HaveOccurred())
		readAnswer(g, reader)
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = io.WriteString(conn, rawRequest)
		}()
		<-written
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		g.Expect(listener.Drain(ctx)).To(Succeed())
		cancel()
		readAnswer(g, reader)
		g.Expect(conn.Close()).To(Succeed())
	}
}

// Planned stop during a stream whose caller sends its next request right at the stream's
// end. Guards against keeping the connection open without reading that request.
func TestRequestAfterStreamThatOutlastsTheNoticeIsAnswered(t *testing.T) {
	g := NewWithT(t)
	begun, end := make(chan struct{}), make(chan struct{})
	listener, server := newCallerServer(g, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-end
		}
	})
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- listener.Drain(ctx) }()
	g.Eventually(listener.closed, "10s").Should(BeClosed())
	_, err = io.WriteString(conn, rawRequest)
	g.Expect(err).NotTo(HaveOccurred())
	close(end)
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	reader := bufio.NewReader(conn)
	readAnswer(g, reader)
	readAnswer(g, reader)
	g.Expect(<-stopped).To(Succeed(), "no connection keeps the shutdown waiting")
}

// Planned stop at the moment at which a request arrives on a connection that has been idle:
// the server is told to close it. Guards against closing a connection whose next request is
// in its receive queue, was read but not parsed, or arrives when the wait for it has just
// been ended, and against keeping it for ever.
func TestIdleConnectionWithRequestIsNotClosed(t *testing.T) {
	const inQueue, read, afterTheEnd = "in the receive queue", "read", "arrives after the wait was ended"
	for _, name := range []string{inQueue, read, afterTheEnd} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, _ := newCallerServer(g, nil)
			client, c := acceptedConn(g, listener)
			defer func() { _ = client.Close() }()
			trackState(c, http.StateIdle)
			c.since = c.since.Add(-2 * SilenceTime)
			if name == afterTheEnd {
				g.Expect(listener.expireSilent(time.Now())).To(Equal(1))
				g.Expect(c.expired).To(BeTrue())
			}
			_, err := io.WriteString(client, rawRequest)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(func() bool { return hasUnreadBytes(c.TCPConn) }, "10s").Should(BeTrue())
			buffer := make([]byte, len(rawRequest))
			if name != inQueue {
				n, err := c.Read(buffer)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(buffer[:n])).To(Equal(rawRequest))
			}
			g.Expect(listener.expireSilent(time.Now())).To(Equal(1))
			g.Expect(c.expired).To(BeFalse(), "the connection is not closed")
			if name == inQueue {
				n, err := c.Read(buffer)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(buffer[:n])).To(Equal(rawRequest))
			}
			_, err = io.WriteString(c, "answer")
			g.Expect(err).NotTo(HaveOccurred(), "the connection is still open")
			trackState(c, http.StateIdle)
			c.since = c.since.Add(-2 * SilenceTime)
			g.Expect(listener.expireSilent(time.Now())).To(Equal(1))
			_, err = c.Read(buffer)
			g.Expect(err).To(MatchError(os.ErrDeadlineExceeded), "the server closes the silent connection")
			g.Expect(c.Close()).To(Succeed())
			_, err = io.WriteString(c, "answer")
			g.Expect(err).To(MatchError(net.ErrClosed))
			g.Expect(listener.expireSilent(time.Now())).To(BeZero(), "no connection keeps the shutdown waiting")
		})
	}
}

// All connections that the limit allows are idle, and one more waits in the queue. Guards
// against a shutdown that waits for a free slot before it closes idle connections.
func TestIdleConnectionsAtTheLimitAreClosedAtShutdown(t *testing.T) {
	g := NewWithT(t)
	listener, err := Listen("tcp4", "127.0.0.1:0", 1)
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	listener.Attach(server)
	go func() { _ = server.Serve(listener) }()
	var readers []*bufio.Reader
	for range 2 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, rawRequest)
		g.Expect(err).NotTo(HaveOccurred())
		readers = append(readers, bufio.NewReader(conn))
	}
	readAnswer(g, readers[0])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.Expect(listener.Drain(ctx)).To(Succeed())
	readAnswer(g, readers[1])
}

// Guards against a limit on connections that counts closed ones.
func TestClosedConnectionFreesItsSlot(t *testing.T) {
	g := NewWithT(t)
	listener, err := Listen("tcp4", "127.0.0.1:0", 1)
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	listener.Attach(server)
	go func() { _ = server.Serve(listener) }()
	for range 3 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, rawRequest)
		g.Expect(err).NotTo(HaveOccurred())
		readAnswer(g, bufio.NewReader(conn))
		g.Expect(conn.Close()).To(Succeed())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.Expect(listener.Drain(ctx)).To(Succeed())
}

// Guards against an idle connection that keeps a shutdown waiting.
func TestIdleConnectionsAreClosedAtShutdown(t *testing.T) {
	g := NewWithT(t)
	listener, server := newCallerServer(g, func(http.ResponseWriter, *http.Request) {})
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, rawRequest)
	g.Expect(err).NotTo(HaveOccurred())
	readAnswer(g, reader)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.Expect(listener.Drain(ctx)).To(Succeed())
	_, err = reader.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}

// The goroutine that accepts connections does not run before the time for the queue has
// passed, as beside other busy processes. Guards against resetting the queued connections.
func TestQueueIsServedWhenTheAcceptingGoroutineIsLate(t *testing.T) {
	g := NewWithT(t)
	listener, server := newCallerServer(g, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, rawRequest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	time.Sleep(2 * queueDrainTime)
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.Expect(listener.Drain(ctx)).To(Succeed())
	readAnswer(g, bufio.NewReader(conn))
}
