package drain

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

// The first bytes of a request are read while the wait for them is being ended, and the rest
// arrives a moment later. Guards against a read deadline that stays expired after bytes have
// arrived, so that the server drops the request.
func TestRestOfRequestIsReadWhenItsBeginningArrivesAtTheEndOfTheWait(t *testing.T) {
	g := NewWithT(t)
	listener, _ := newCallerServer(g, nil)
	client, c := acceptedConn(g, listener)
	defer func() { _ = client.Close() }()
	c.since = c.since.Add(-2 * SilenceTime)
	_, err := io.WriteString(client, rawRequest[:10])
	g.Expect(err).NotTo(HaveOccurred())
	// Read as in conn.Read, but another goroutine looks between its two steps.
	buffer := make([]byte, len(rawRequest))
	n, err := c.TCPConn.Read(buffer)
	g.Expect(listener.expireSilent(time.Now().Add(-2 * SilenceTime))).To(Equal(1))
	g.Expect(c.readAgain(n, err)).To(BeFalse())
	g.Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(client, rawRequest[10:]) })
	_, err = c.Read(buffer)
	g.Expect(err).NotTo(HaveOccurred(), "the rest of the request is read")
}

// A request is in progress when the stop begins, and its answer begins after that. Guards
// against an answer that does not announce the closing, although it still could: the caller
// would send its next request on the connection to an instance that refuses it.
func TestAnswerThatBeginsAfterTheStopAnnouncesTheClosing(t *testing.T) {
	g := NewWithT(t)
	begun, end := make(chan struct{}), make(chan struct{})
	listener, server := newCallerServer(g, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-end
	})
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, rawRequest)
	g.Expect(err).NotTo(HaveOccurred())
	<-begun
	listener.Announce()
	close(end)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Close).To(BeTrue(), "the answer announces the closing")
	_ = server.Close()
}

// Callers that keep their connection open although nothing more of a request will arrive.
// Guards against a stop that lasts until its end for such a connection.
func TestShutdownDoesNotWaitForUnfinishedCallers(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"
	for name, sent := range map[string][]string{
		"refused body with 100-continue":  {head + "Expect: 100-continue\r\n\r\n"},
		"refused body that never arrives": {head + "\r\npart"},
		"empty line after a request":      {head + "\r\n0123456789", "\r\n"},
		"http/1.0 keep-alive":             {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		"part of a header":                {"GET / HT"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, server := newCallerServer(g, func(w http.ResponseWriter, r *http.Request) {
				if name == "empty line after a request" {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			go func() { _ = server.Serve(listener) }()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			if name != "empty line after a request" && name != "http/1.0 keep-alive" {
				listener.Announce()
			}
			for _, part := range sent {
				_, err = io.WriteString(conn, part)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(100 * time.Millisecond)
			}
			started := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			err = listener.Drain(ctx)
			t.Log("drain took", time.Since(started), err)
			listener.mu.Lock()
			for c := range listener.open {
				t.Log(c.logValues()...)
			}
			listener.mu.Unlock()
			_ = server.Close()
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}
