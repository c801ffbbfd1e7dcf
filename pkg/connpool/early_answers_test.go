package connpool_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
)

// An upstream answers a long request before it has read it, and resets the connection
// before, within or after the head, or within the body. Guards against part of an answer that
// looks complete, on a new connection and on a kept one.
func TestResetAtAnyPointOfEarlyAnswerIsNoEnd(t *testing.T) {
	longBody := strings.Repeat("x", 16<<20)
	for name, text := range map[string]string{
		"nothing":                   "",
		"part of a line":            "HTTP/1.1 200 O",
		"part of a head":            "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n",
		"head":                      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n",
		"until close":               "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\npart of ",
		"HTTP/1.0":                  "HTTP/1.0 200 OK\r\nRequest-Id: ID\r\n\r\npart of ",
		"failure, until close":      "HTTP/1.1 500 No\r\nRequest-Id: ID\r\n\r\npart of ",
		"refusal, until close":      "HTTP/1.1 404 No\r\nRequest-Id: ID\r\n\r\npart of ",
		"length":                    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 100\r\n\r\npart of ",
		"one byte short":            "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\npart of ",
		"chunks":                    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart of \r\n",
		"chunks, without trailers":  "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart of \r\n0\r\n",
		"events, until close":       "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n" + eventsBody,
		"events, chunks":            fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(eventsBody), eventsBody),
		"interim, then until close": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\npart of ",
	} {
		t.Run(name, func(t *testing.T) {
			for _, kept := range []bool{false, true} {
				f := newFixture(t)
				u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
					id := "r1"
					if kept {
						_, _ = readRequest(reader)
						write(conn, formatResponse(id, "first"))
						id = "r2"
					}
					if _, err := reader.ReadString('\n'); err != nil {
						return
					}
					write(conn, strings.Replace(text, "ID", id, 1))
					time.Sleep(2 * time.Millisecond)
					reset(conn)
				})
				if kept {
					_, _, err := f.exchange(u, "x")
					f.Expect(err).NotTo(HaveOccurred())
				}
				body, reused, err := f.exchange(u, longBody)
				f.Expect(reused).To(Equal(kept))
				f.Expect(err).To(HaveOccurred(), "kept %t, body %q", kept, body)
				f.Expect(f.pool.IdleCount(u.address())).To(BeZero())
			}
		})
	}
}

// scriptedConn is a connection whose writes block until the test lets them fail.
type scriptedConn struct {
	net.Conn
	answer io.Reader
	// end is what reads return after the answer, once beforeEnd is closed. ended is closed then.
	end              error
	beforeEnd, ended chan struct{}
	// writeErr is what writes return once failWrite is closed. writeFailed is closed then.
	writeErr               error
	failWrite, writeFailed chan struct{}
	endOnce, writeOnce     sync.Once
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	<-c.beforeEnd
	c.endOnce.Do(func() { close(c.ended) })
	return n, c.end
}

func (c *scriptedConn) Write([]byte) (int, error) {
	<-c.failWrite
	c.writeOnce.Do(func() { close(c.writeFailed) })
	return 0, c.writeErr
}

func (c *scriptedConn) Close() error { return nil }

// The failure of the write of a request is noticed before or after the end of the answer is
// read, and the reset is reported to the write or to the read. Guards against an answer
// without a length that looks complete in one of these orders. EPIPE means that the upstream
// had closed the connection before it was reset.
func TestOrderOfFailedWriteAndEndOfAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		writeErr, end error
		complete      bool
	}{
		"reset reported to the write": {syscall.ECONNRESET, io.EOF, false},
		"reset reported to the read":  {syscall.EPIPE, syscall.ECONNRESET, false},
		"closed, then reset":          {syscall.EPIPE, io.EOF, true},
		"connection timed out":        {syscall.ETIMEDOUT, io.EOF, false},
	} {
		for _, writeFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/write first %t", name, writeFirst), func(t *testing.T) {
				g := NewWithT(t)
				conn := &scriptedConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart"), end: test.end, writeErr: test.writeErr,
					beforeEnd: make(chan struct{}), ended: make(chan struct{}), failWrite: make(chan struct{}), writeFailed: make(chan struct{})}
				pool := connpool.NewPool(connpool.Options{DialTimeout: time.Second, MaxIdle: 1, Clock: clockwork.NewFakeClock(),
					Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
				go func() {
					first, second, done := conn.beforeEnd, conn.failWrite, conn.ended
					if writeFirst {
						first, second, done = conn.failWrite, conn.beforeEnd, conn.writeFailed
					}
					close(first)
					<-done
					time.Sleep(10 * time.Millisecond)
					close(second)
				}()
				got, _, err := pool.Get(context.Background(), "h:1", "u", 1)
				g.Expect(err).NotTo(HaveOccurred())
				defer got.Close()
				response, err := got.RoundTrip(context.Background(), connpool.Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 8<<10)}, idHeader, "r1")
				g.Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				g.Expect(err == nil).To(Equal(test.complete), "body %q, %v", body, err)
			})
		}
	}
}

// An upstream answers a long request before it has read it, keeps the connection and reads
// on. Guards against bytes other than the rest of the body there.
func TestRestOfBodyFollowsSoundEarlyAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nKeep-Alive: timeout=10\r\nContent-Length: 5\r\n\r\nearly",
		"chunks": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const length = 32 << 20
			f := newFixture(t)
			answered, received := make(chan struct{}), make(chan string, 1)
			u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if request.ContentLength != length {
					write(conn, formatResponse("r2", "next"))
					return
				}
				write(conn, answer)
				<-answered
				rest, _ := io.ReadAll(reader)
				received <- string(rest)
			})
			body, _, err := f.exchange(u, strings.Repeat("x", length))
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(body).To(Equal("early"))
			body, reused, err := f.exchange(u, "")
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(reused).To(BeFalse())
			f.Expect(body).To(Equal("next"))
			close(answered)
			rest := <-received
			f.Expect(len(rest)).To(BeNumerically("<=", length))
			f.Expect(strings.Trim(rest, "x")).To(BeEmpty())
		})
	}
}
