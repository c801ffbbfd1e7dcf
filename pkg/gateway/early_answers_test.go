package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startRawUpstream starts an upstream that answers each request before it has read the body,
// by writing to its connection, which is closed then.
func (c *testCluster) startRawUpstream(id string, answer func(conn net.Conn, requestID string)) *fakeUpstream {
	upstream := &fakeUpstream{id: id, slots: 8}
	upstream.server = httptest.NewServer(rawUpstream(func(conn net.Conn, requestID string) {
		upstream.mu.Lock()
		upstream.received = append(upstream.received, receivedRequest{requestID: requestID})
		upstream.mu.Unlock()
		answer(conn, requestID)
	}))
	c.t.Cleanup(upstream.server.Close)
	c.registerUpstream(upstream, "ready")
	return upstream
}

// An upstream answers a long request before it has read it, sends part of its answer and
// resets the connection. Guards against a caller that gets that part as a whole answer.
func TestResetDuringLongRequestReachesTheCaller(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, test := range map[string]struct{ path, answer string }{
		"until close":          {"/once/", signedHead + "\r\npart of "},
		"HTTP/1.0":             {"/once/", strings.Replace(signedHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\npart of "},
		"failure, until close": {"/once/", "HTTP/1.1 500 No\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\n\r\npart of "},
		"refusal, until close": {"/once/", "HTTP/1.1 404 No\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\n\r\npart of "},
		"length":               {"/once/", signedHead + "Content-Length: 100\r\n\r\npart of "},
		"chunks":               {"/once/", signedHead + "Transfer-Encoding: chunked\r\n\r\n8\r\npart of \r\n"},
		"events, until close":  {"/stream/", signedHead + "Content-Type: text/event-stream\r\n\r\n" + events},
		"events, chunks":       {"/stream/", signedHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(events), events)},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			upstream := cluster.startRawUpstream("u1", func(conn net.Conn, id string) {
				_, _ = fmt.Fprintf(conn, test.answer, id)
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			for range 3 {
				got := cluster.send(context.Background(), cluster.instances[0], test.path, func(r *http.Request) {
					const length = 1 << 20
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", length))), length
				})
				cluster.Expect(got.err != nil || got.status == http.StatusBadGateway).To(BeTrue(), "status %d, body %q", got.status, got.body)
			}
			cluster.Expect(upstream.requests()).NotTo(BeEmpty())
		})
	}
}

// An upstream answers with a status that is none. Guards against a caller that gets it as an
// answer, or as a success of another status.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 ", "099": "HTTP/1.1 099 Odd", "0200": "HTTP/1.1 0200 OK", "600": "HTTP/1.1 600 Odd", "999": "HTTP/1.1 999 Odd",
		"letters": "HTTP/1.1 abc OK", "none": "HTTP/1.1 ", "other protocol": "HTTP/1.1 101 Switching Protocols", "interim": "HTTP/1.1 103 Early Hints",
		"second head": "HTTP/1.1 200 OHTTP/1.1 500 No",
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			upstream := cluster.startRawUpstream("u1", func(conn net.Conn, id string) {
				_, _ = fmt.Fprintf(conn, "%s\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\nContent-Length: 3\r\n\r\nabc", line, id)
			})
			for _, path := range []string{"/once/", "/stream/"} {
				got := cluster.post(path, nil)
				cluster.Expect(got.err).NotTo(HaveOccurred())
				cluster.Expect(got.status).To(Equal(http.StatusBadGateway))
				cluster.Expect(got.header.Get("Response-Signature")).To(BeEmpty())
			}
			cluster.Expect(upstream.requests()).To(HaveLen(2))
		})
	}
}

// An upstream states no reason phrase, which it need not. Guards against a sound answer that
// is refused.
func TestStatusWithoutReasonIsAnAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200", "HTTP/1.1 200 "} {
		cluster := newTestCluster(t, 1)
		cluster.startRawUpstream("u1", func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "%s\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\nContent-Length: 3\r\n\r\nabc", line, id)
		})
		got := cluster.post("/once/", nil)
		cluster.Expect(got.err).NotTo(HaveOccurred())
		cluster.Expect(got.status).To(Equal(http.StatusOK))
		cluster.Expect(got.body).To(Equal("abc"))
	}
}

// The body of an upstream's refusal is as long as is read of it, or longer. Guards against
// the next request on a connection that still holds the rest.
func TestConnectionWithUnreadRefusalIsNotKept(t *testing.T) {
	for _, length := range []int{16<<10 - 1, 16 << 10, 16<<10 + 1, 64 << 10} {
		cluster := newTestCluster(t, 1)
		upstream := cluster.startUpstream("u1", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/once/refused" {
				w.Header().Set("Not-Executed", "1")
				w.Header().Set("Content-Length", fmt.Sprint(length))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, strings.Repeat("x", length))
				return
			}
			_, _ = io.WriteString(w, "whole")
		})
		cluster.Expect(cluster.post("/once/refused", nil).status).To(Equal(http.StatusTooManyRequests))
		got := cluster.post("/once/next", nil)
		cluster.Expect(got.err).NotTo(HaveOccurred())
		cluster.Expect(got.status).To(Equal(http.StatusOK), "length %d", length)
		cluster.Expect(got.body).To(Equal("whole"))
		cluster.Expect(upstream.requests()).To(HaveLen(2))
	}
}
