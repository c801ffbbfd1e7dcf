package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// longBody does not fit in the buffers of a connection.
var longBody = []byte(strings.Repeat("x", 32<<20))

// readServiceEvents reads a stream of a service to its end and returns the number of events and the
// error that ended it, io.EOF for a complete stream.
func readServiceEvents(answer *upstream.Answer) (count int, err error) {
	defer func() { _ = answer.Body.Close() }()
	reader := upstream.NewSSEReader(answer.Body, 0)
	for {
		if _, err = reader.Next(); err != nil {
			return count, err
		}
		count++
	}
}

// A service answers before it has read a long request, sends part of its answer and resets
// the connection. The kernel reports the reset once, and a write may get the report. Guards
// against an answer that looks complete then.
func TestResetDuringLongRequestIsNoEnd(t *testing.T) {
	const events = "data: a\n\ndata: b\n\n"
	for name, text := range map[string]string{
		"until close":         "HTTP/1.1 200 OK\r\n\r\npart of ",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n\r\npart of ",
		"failure":             "HTTP/1.1 500 No\r\n\r\npart of ",
		"refusal":             "HTTP/1.1 404 No\r\n\r\npart of ",
		"length":              "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of ",
		"chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart of \r\n",
		"events, until close": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events,
		"events, HTTP/1.0":    "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events,
		"events, chunks":      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n" + events + "\r\n",
		"events, length":      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\n" + events,
		"head":                "HTTP/1.1 200 OK\r\n",
		"nothing":             "",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = bufio.NewReader(conn).ReadString('\n')
					_, _ = io.WriteString(conn, text)
					time.Sleep(5 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}
			}()
			client := newClient(t, upstream.Options{})
			for range 20 {
				answer, err := client.Dispatch(context.Background(), upstream.Call{Address: listener.Addr().String(), RequestID: "r1", Method: http.MethodPost, Path: "/", Body: longBody})
				if err != nil {
					continue
				}
				if strings.HasPrefix(name, "events") {
					_, err = readServiceEvents(answer)
				} else {
					_, err = io.ReadAll(answer.Body)
				}
				g.Expect(err).To(HaveOccurred())
				g.Expect(errors.Is(err, io.EOF)).To(BeFalse(), "the stream looks complete")
			}
		})
	}
}

// resetConn is a connection that is reset while a request is written. Only the write gets
// the report, and reads return the end of the connection before the write returns.
type resetConn struct {
	net.Conn
	answer   io.Reader
	writeErr error
	// written is the number of bytes written. Writes block from the first MiB on.
	written int
	// writeBlocks is closed when a write blocks, readEnded when a read returned the end of
	// the connection, and closed by Close.
	writeBlocks, readEnded, closed            chan struct{}
	writeBlocksOnce, readEndedOnce, closeOnce sync.Once
}

func newResetConn(answer string, writeErr error) *resetConn {
	return &resetConn{answer: strings.NewReader(answer), writeErr: writeErr,
		writeBlocks: make(chan struct{}), readEnded: make(chan struct{}), closed: make(chan struct{})}
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.writeBlocks
	n, err := c.answer.Read(p)
	if errors.Is(err, io.EOF) {
		c.readEndedOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.written += len(p); c.written < 1<<20 {
		return len(p), nil
	}
	c.writeBlocksOnce.Do(func() { close(c.writeBlocks) })
	select {
	case <-c.readEnded:
		// Without waiting for the write, the answer is read to its end meanwhile.
		time.Sleep(10 * time.Millisecond)
		return 0, c.writeErr
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *resetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *resetConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *resetConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// The write of a request fails after reads of the answer have returned the end of the
// connection. Guards against a stream that looks complete, unless the service had ended the
// connection before the reset, which EPIPE means.
func TestResetReportedToTheWriteIsNoEnd(t *testing.T) {
	for name, test := range map[string]struct {
		writeErr error
		complete bool
	}{
		"reset":           {syscall.ECONNRESET, false},
		"end, then reset": {syscall.EPIPE, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn := newResetConn("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n", test.writeErr)
			client := newClient(t, upstream.Options{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
			answer, err := client.Dispatch(context.Background(), upstream.Call{Address: "h:1", RequestID: "r1", Method: http.MethodPost, Path: "/", Body: longBody})
			g.Expect(err).NotTo(HaveOccurred())
			count, err := readServiceEvents(answer)
			g.Expect(errors.Is(err, io.EOF)).To(Equal(test.complete), "%d events, %v", count, err)
		})
	}
}
