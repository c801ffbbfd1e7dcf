package connpool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
)

const idHeader = "Request-Id"

// upstream is a server that runs a script on each accepted connection.
type upstream struct {
	listener net.Listener
	accepted chan net.Conn
}

func newUpstream(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: listener, accepted: make(chan net.Conn, 64)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.accepted <- conn
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return u
}

func (u *upstream) address() string { return u.listener.Addr().String() }

// readRequest reads a request with its body and returns its ID.
func readRequest(reader *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return "", false
	}
	return request.Header.Get(idHeader), true
}

func formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

type fixture struct {
	*GomegaWithT
	pool  *connpool.Pool
	clock *clockwork.FakeClock
	next  int
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	return &fixture{GomegaWithT: NewWithT(t), clock: clock, pool: connpool.NewPool(connpool.Options{
		DialTimeout: 10 * time.Second, AckTimeout: 10 * time.Second, MaxIdle: 4, Clock: clock,
	})}
}

// exchange sends a request and reads the whole response.
func (f *fixture) exchange(u *upstream, body string) (responseBody string, reused bool, err error) {
	f.next++
	id := fmt.Sprintf("r%d", f.next)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	conn, reused, err := f.pool.Get(ctx, u.address(), "i-1", 10)
	if err != nil {
		return "", false, err
	}
	request := connpool.Request{Method: "POST", Target: "/a", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte(body)}
	response, err := conn.RoundTrip(ctx, request, idHeader, id)
	if err != nil {
		conn.Close()
		return "", reused, err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Close()
		return "", reused, err
	}
	f.pool.Release(conn, response)
	return string(content), reused, nil
}

func TestConnectionsAreReused(t *testing.T) {
	f := newFixture(t)
	u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			write(conn, formatResponse(id, "for "+id))
		}
	})
	for i := range 3 {
		body, reused, err := f.exchange(u, "x")
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(body).To(Equal(fmt.Sprintf("for r%d", i+1)))
		f.Expect(reused).To(Equal(i > 0))
	}
	// The upstream announced 10 s, half of which is used.
	f.clock.Advance(6 * time.Second)
	_, reused, err := f.exchange(u, "x")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(reused).To(BeFalse())
}

// Failure: the upstream repeats its response to the previous request when the next one
// arrives. Guards against delivering it as the response to the next request.
func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	f := newFixture(t)
	u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		first, _ := readRequest(reader)
		write(conn, formatResponse(first, "first"))
		second, _ := readRequest(reader)
		write(conn, formatResponse(first, "first again"))
		write(conn, formatResponse(second, "second"))
		_, _ = readRequest(reader)
	})
	_, _, err := f.exchange(u, "x")
	f.Expect(err).NotTo(HaveOccurred())
	body, reused, err := f.exchange(u, "x")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(reused).To(BeTrue())
	f.Expect(body).To(Equal("second"))
}

// Failure: extra bytes follow a complete response. Guards against reading them as the
// beginning of the next response.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	f := newFixture(t)
	sent := make(chan struct{})
	u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			write(conn, formatResponse(id, "right"))
			write(conn, formatResponse(id, "extra"))
			sent <- struct{}{}
		}
	})
	for range 2 {
		go func() { <-sent }()
		body, reused, err := f.exchange(u, "x")
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(reused).To(BeFalse())
		f.Expect(body).To(Equal("right"))
		// Wait until the extra bytes have arrived.
		f.Eventually(func() bool { return f.pool.IdleOpenAndEmpty(u.address()) }, "10s").Should(BeFalse())
	}
}

// Failure: an upstream closes the connection early or sends a malformed response.
// Guards against a response that looks complete, and against a retry.
func TestBrokenResponseFailsWithoutRetry(t *testing.T) {
	cases := map[string]string{
		"closed without response":   "",
		"not HTTP":                  "hello\r\n\r\n",
		"truncated head":            "HTTP/1.1 200 OK\r\nContent-",
		"truncated body":            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nabc",
		"truncated chunk":           "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\na\r\nabc",
		"endless head":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: "+strings.Repeat("x", 1000)+"\r\n", 200),
		"response to other request": "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 1\r\n\r\nx",
		"unframed, other request":   "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\nx",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				write(conn, text)
			})
			_, _, err := f.exchange(u, "x")
			f.Expect(err).To(HaveOccurred())
			f.Expect(u.accepted).To(HaveLen(1))
		})
	}
}

// Failure: the upstream answers a long request before it has read all of the body, and
// continues to read. Guards against sending the next request in place of the rest of
// the body.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		line, err := reader.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "POST") {
			return
		}
		write(conn, formatResponse("r1", "early"))
		<-release
	})
	body, _, err := f.exchange(u, strings.Repeat("x", 32<<20))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(body).To(Equal("early"))
	f.Expect(f.pool.IdleCount(u.address())).To(Equal(0))
	close(release)
}

func TestResponseWithoutLengthEndsAtConnectionClose(t *testing.T) {
	f := newFixture(t)
	u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		id, _ := readRequest(reader)
		write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n\r\nall of it")
	})
	body, _, err := f.exchange(u, "x")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(body).To(Equal("all of it"))
	f.Expect(f.pool.IdleCount(u.address())).To(Equal(0))
}

// Guards against a request that continues at the upstream after its caller has gone.
func TestContextCancellationClosesConnection(t *testing.T) {
	f := newFixture(t)
	closed := make(chan struct{})
	got := make(chan struct{})
	u := newUpstream(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		close(got)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	conn, _, err := f.pool.Get(ctx, u.address(), "i-1", 10)
	f.Expect(err).NotTo(HaveOccurred())
	go func() {
		<-got
		cancel()
	}()
	_, err = conn.RoundTrip(ctx, connpool.Request{Method: "GET", Target: "/", Host: "h"}, idHeader, "r1")
	f.Expect(err).To(HaveOccurred())
	f.Eventually(closed, "10s").Should(BeClosed())
}

func TestConnectionLimit(t *testing.T) {
	f := newFixture(t)
	u := newUpstream(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() })
	ctx := context.Background()
	first, _, err := f.pool.Get(ctx, u.address(), "i-1", 1)
	f.Expect(err).NotTo(HaveOccurred())
	_, _, err = f.pool.Get(ctx, u.address(), "i-1", 1)
	f.Expect(err).To(MatchError(connpool.ErrTooManyConnections))
	first.Close()
	second, _, err := f.pool.Get(ctx, u.address(), "i-1", 1)
	f.Expect(err).NotTo(HaveOccurred())
	second.Close()
}
