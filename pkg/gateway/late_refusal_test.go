package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refusal is an upstream's statement that it did not run a request. Without an ID it does
// not say which one.
func refusal(id string) string {
	head := "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRetry-After: 0\r\nContent-Length: 4\r\n"
	if id != "" {
		head += "Request-Id: " + id + "\r\n"
	}
	return head + "\r\nfull"
}

// Failure: an upstream writes an earlier refusal once more on a kept connection, while it
// runs the next request. Guards against telling its caller that it has not run, and
// against running it at a second upstream.
func TestLateRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	for name, copies := range map[string]func(first string) []string{
		"with the ID":           func(first string) []string { return []string{refusal(first)} },
		"twice":                 func(first string) []string { return []string{refusal(first), refusal(first)} },
		"three times":           func(first string) []string { return []string{refusal(first) + refusal(first) + refusal(first)} },
		"in two parts":          func(first string) []string { return strings.SplitAfterN(refusal(first), "\n", 2) },
		"without an ID":         func(string) []string { return []string{refusal("")} },
		"without an ID, parted": func(string) []string { return strings.SplitAfterN(refusal(""), "503", 2) },
		"without a length": func(first string) []string {
			return []string{"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: " + first + "\r\n\r\nfull"}
		},
		"misdirected": func(string) []string { return []string{"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"} },
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			var runs atomic.Int64
			cluster.startUpstream("u1", func(w http.ResponseWriter, r *http.Request) {
				conn, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				refuseOneThenRun(conn, buffered.Reader, r.Header.Get("Request-Id"), &runs, copies)
			})
			send := func(id string) answer {
				return cluster.send(context.Background(), cluster.instances[0], "/once/", func(r *http.Request) {
					r.Header.Set("Request-Id", id)
					// Refused requests wait for a part of this time, in which the kept connection must not expire.
					r.Header.Set("Deadline-Ms", "2000")
				})
			}
			cluster.Expect(send("first").status).To(Equal(http.StatusTooManyRequests))
			time.Sleep(100 * time.Millisecond) // the upstream counts as full for some time
			got := send("second")
			cluster.Expect(got.status).To(BeElementOf(http.StatusOK, http.StatusBadGateway), got.body)
			if got.status == http.StatusOK {
				cluster.Expect(got.body).To(Equal("answer to second"))
			}
			cluster.Expect(runs.Load()).To(BeNumerically("==", 1), "the kept connection is used for the second request")
		})
	}
}

// refuseOneThenRun refuses the request with the given ID, runs the next one of the
// connection, and writes copies of the refusal before its answer.
func refuseOneThenRun(conn net.Conn, reader *bufio.Reader, first string, runs *atomic.Int64, copies func(first string) []string) {
	_, _ = io.WriteString(conn, refusal(first))
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	runs.Add(1)
	for _, part := range copies(first) {
		_, _ = io.WriteString(conn, part)
		time.Sleep(2 * time.Millisecond)
	}
	id := request.Header.Get("Request-Id")
	body := "answer to " + id
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	_, _ = http.ReadRequest(reader)
}
