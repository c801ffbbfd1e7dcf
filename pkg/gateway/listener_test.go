package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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

func newCallerServer(g *GomegaWithT, handler http.HandlerFunc) (*callerListener, *http.Server) {
	listener, err := listenForCallers("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return listener, &http.Server{Handler: handler, ConnState: trackCallerConn, ReadHeaderTimeout: time.Minute}
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
	g.Expect(listener.shutDown(ctx, server)).To(Succeed())
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
		g.Expect(listener.shutDown(ctx, server)).To(Succeed())
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
	go func() { stopped <- listener.shutDown(ctx, server) }()
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

// Planned stop at the moment at which a request arrives on an idle connection: the server
// closes all idle connections. Guards against closing one whose next request is in its
// receive queue, or was read but not parsed, and against keeping it for ever.
func TestIdleConnectionWithRequestIsNotClosed(t *testing.T) {
	for name, read := range map[string]bool{"in the receive queue": false, "read": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, _ := newCallerServer(g, nil)
			client, err := net.Dial("tcp4", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = client.Close() }()
			accepted, err := listener.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(listener.Close()).To(Succeed())
			conn := accepted.(*callerConn)
			trackCallerConn(conn, http.StateIdle)
			_, err = io.WriteString(client, rawRequest)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(func() bool { return hasUnreadBytes(conn.TCPConn) }, "10s").Should(BeTrue())
			if read {
				_, err = conn.Read(make([]byte, len(rawRequest)))
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(conn.Close()).To(Succeed())
			_, err = io.WriteString(conn, "answer")
			g.Expect(err).NotTo(HaveOccurred(), "the connection is still open")
			g.Expect(conn.Close()).To(Succeed())
			_, err = io.WriteString(conn, "answer")
			g.Expect(err).To(MatchError(net.ErrClosed))
			g.Expect(listener.closeSilent(false)).To(BeZero(), "no connection keeps the shutdown waiting")
		})
	}
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
	g.Expect(listener.shutDown(ctx, server)).To(Succeed())
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
	g.Expect(listener.shutDown(ctx, server)).To(Succeed())
	readAnswer(g, bufio.NewReader(conn))
}
