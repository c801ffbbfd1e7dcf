package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// breakFirst lets the first request to any upstream get two events and half of a third,
// and answers all later ones by next.
func (c *testCluster) breakFirst(next http.HandlerFunc) {
	var broken atomic.Bool
	for _, id := range []string{"u1", "u2"} {
		c.startUpstream(id, func(w http.ResponseWriter, r *http.Request) {
			if broken.CompareAndSwap(false, true) {
				streamEvents(1, 2, true)(w, r)
				return
			}
			next(w, r)
		})
	}
}

// Failure: a stream has begun and breaks off, and the next upstream answers with something
// other than its rest. Guards against the text or the head of that answer within the
// stream, and against a stream that ends as if it were complete.
func TestErrorInsteadOfRestOfStreamIsNotForwarded(t *testing.T) {
	status := func(code int, contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		}
	}
	raw := func(format string) http.HandlerFunc {
		return rawUpstream(func(conn net.Conn, id string) { _, _ = fmt.Fprintf(conn, format, id) })
	}
	for name, next := range map[string]http.HandlerFunc{
		"500":         status(500, "text/plain", "internal error"),
		"500, events": status(500, "text/event-stream", "id: 3\ndata: error\n\n"),
		"404":         status(404, "text/plain", "no such page\n\n"),
		"302":         status(302, "text/plain", "moved\n\n"),
		"503, not run": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "full\n\n")
		},
		"204":                          func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
		"200 with an error":            status(200, "application/json", `{"error":"no memory"}`),
		"200 with an error, two lines": status(200, "text/plain", "error: no memory\n\n"),
		"200 with half an event":       status(200, "text/event-stream", "id: 3\ndata: pie"),
		"200 without a signature":      raw("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 7\r\n\r\nerror\n\n"),
		"two heads":                    raw("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nerror"),
		"no HTTP":                      raw("error %s\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			cluster.breakFirst(next)
			got := cluster.post("/resume/", nil)
			cluster.Expect(got.status).To(Equal(http.StatusOK))
			cluster.Expect(got.err).To(HaveOccurred(), "the stream is incomplete: %q", got.body)
			cluster.Expect(got.body).To(Equal(eventText(1, 2)))
		})
	}
}

// Failure: an answer has neither a length nor chunks, and its connection ends within an
// event. Guards against a stream that looks complete, also at the first upstream.
func TestStreamThatEndsWithinAnEventIsIncomplete(t *testing.T) {
	head := signedHead + "Content-Type: text/event-stream\r\n"
	events := eventText(1, 2) + "id: 3\ndata: pie"
	for name, format := range map[string]string{
		"by the connection": head + "\r\n" + events,
		"by chunks":         head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(events)) + events + "\r\n0\r\n\r\n",
		"by length":         head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events,
		"after one newline": head + "\r\n" + events + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			cluster.startUpstream("u1", rawUpstream(func(conn net.Conn, id string) { _, _ = fmt.Fprintf(conn, format, id) }))
			got := cluster.post("/stream/", nil)
			cluster.Expect(got.err).To(HaveOccurred(), "status %d, %q", got.status, got.body)
			cluster.Expect(got.body).To(Equal(eventText(1, 2)))
		})
	}
}

// An answer without a length that ends with its connection is complete, in streams and
// others, and an answer on a streaming route that is no event stream is forwarded whole.
func TestAnswersThatEndWithTheConnectionAreComplete(t *testing.T) {
	for name, test := range map[string]struct{ path, head, body string }{
		"stream":          {"/stream/", "Content-Type: text/event-stream\r\n", eventText(1, 3)},
		"resumable":       {"/resume/", "Content-Type: text/event-stream\r\n", eventText(1, 3)},
		"without a type":  {"/stream/", "", eventText(1, 3)},
		"plain":           {"/once/", "", "an answer"},
		"long":            {"/once/", "", strings.Repeat("x", 300<<10)},
		"no event stream": {"/stream/", "Content-Type: application/json\r\n", `{"choices":[]}`},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			cluster.startUpstream("u1", rawUpstream(func(conn net.Conn, id string) {
				_, _ = fmt.Fprintf(conn, signedHead+"%s\r\n%s", id, test.head, test.body)
			}))
			got := cluster.post(test.path, nil)
			cluster.Expect(got.err).NotTo(HaveOccurred())
			cluster.Expect(got.status).To(Equal(http.StatusOK))
			cluster.Expect(got.body).To(Equal(test.body))
		})
	}
}
