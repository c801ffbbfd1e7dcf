package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/boottime"
)

// rawUpstream answers each request by writing to its connection.
func rawUpstream(write func(conn net.Conn, id string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		write(conn, r.Header.Get("Request-Id"))
	}
}

const signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\n"

// sendRaw sends a request on a connection of its own, in the given version of HTTP, and
// returns all that comes until the connection ends, and the error with which it ends.
func (c *testCluster) sendRaw(path, version string) (string, error) {
	conn, err := net.Dial("tcp4", c.instances[0].callers)
	c.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h.example\r\nRequest-Id: raw\r\nDeadline-Ms: 3000\r\nAuthorization: Token key-a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, version)
	c.Expect(err).NotTo(HaveOccurred())
	content, err := io.ReadAll(bufio.NewReader(conn))
	return string(content), err
}

// An answer breaks off, in each of the ways in which its end may be marked. Guards against
// an answer that looks complete to the caller: for callers of HTTP/1.0, whose answers may
// end with the connection, it must be reset.
func TestIncompleteAnswerNeverLooksComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, test := range map[string]struct {
		path, answer string
	}{
		"by length":                    {"/once/", "Content-Length: 100\r\n\r\nabc"},
		"by length, beyond the buffer": {"/once/", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long)+1, long)},
		"one byte short":               {"/once/", "Content-Length: 4\r\n\r\nabc"},
		"by chunks":                    {"/once/", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		"within a chunk":               {"/once/", "Transfer-Encoding: chunked\r\n\r\n64\r\nabc"},
		"by chunks, beyond the buffer": {"/once/", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long)},
		"gzip":                         {"/once/", "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc"},
		"stream, by chunks":            {"/stream/", "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n"},
		"stream, by length":            {"/stream/", "Content-Length: 100\r\n\r\nid: 1\ndata: a\n\nid: 2"},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			cluster.startUpstream("u1", rawUpstream(func(conn net.Conn, id string) { _, _ = fmt.Fprintf(conn, signedHead+"%s", id, test.answer) }))
			for _, version := range []string{"1.0", "1.1"} {
				got, err := cluster.sendRaw(test.path, version)
				if status := strings.SplitN(got, " ", 3); len(status) > 1 && status[1] == "502" {
					continue
				}
				response, parseErr := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
				if err == nil && parseErr == nil {
					_, err = io.ReadAll(response.Body)
				}
				cluster.Expect(err).To(HaveOccurred(), "HTTP/%s: %.60q", version, got)
			}
		})
	}
}

// Guards against a long answer whose length the caller does not learn, so that a caller of
// HTTP/1.0 cannot tell whether it is complete.
func TestLengthOfLongAnswerIsForwarded(t *testing.T) {
	cluster := newTestCluster(t, 1)
	long := strings.Repeat("x", 300<<10)
	cluster.startUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(long)))
		_, _ = io.WriteString(w, long)
	})
	got := cluster.post("/once/", nil)
	cluster.Expect(got.err).NotTo(HaveOccurred())
	cluster.Expect(got.body).To(Equal(long))
	cluster.Expect(got.header.Get("Content-Length")).To(Equal(fmt.Sprint(len(long))))
}

// An upstream sends bytes without end, or stalls, after an answer has begun. Guards
// against callers without a truthful end in time, against connections that stay open or
// are used again, and against other callers that notice it.
func TestEndlessAnswersEndInTime(t *testing.T) {
	endless := func(conn net.Conn, text string) {
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
	trickle := func(conn net.Conn) {
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for name, test := range map[string]struct {
		path  string
		write func(conn net.Conn, id string)
		// status is the expected status; 0 means that the answer is aborted.
		status int
	}{
		"head": {"/once/", func(conn net.Conn, _ string) { endless(conn, "HTTP/1.1 200 OK\r\nX-Pad: x\r\n") }, http.StatusBadGateway},
		"refusal's body": {"/once/", func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n", id)
			endless(conn, strings.Repeat("x", 4<<10))
		}, http.StatusTooManyRequests},
		"failure's body": {"/once/", func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 No\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\n", id)
			endless(conn, strings.Repeat("x", 4<<10))
		}, http.StatusBadGateway},
		"answer's body": {"/short/", func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, signedHead+"\r\n", id)
			endless(conn, strings.Repeat("x", 4<<10))
		}, 0},
		"head that trickles": {"/short/", func(conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Pad: ")
			trickle(conn)
		}, http.StatusGatewayTimeout},
		"body that trickles": {"/short/", func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, signedHead+"Content-Length: 1000000\r\n\r\n", id)
			trickle(conn)
		}, http.StatusGatewayTimeout},
		"event that trickles": {"/stream/", func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, signedHead+"\r\ndata: ", id)
			trickle(conn)
		}, http.StatusGatewayTimeout},
		"event": {"/stream/", func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, signedHead+"\r\nid: 1\ndata: a\n\nid: 2\ndata: ", id)
			endless(conn, strings.Repeat("x", 4<<10))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			ended := make(chan struct{}, 8)
			cluster.startUpstream("u1", rawUpstream(func(conn net.Conn, id string) {
				test.write(conn, id)
				ended <- struct{}{}
			}))
			started := time.Now()
			got := cluster.send(context.Background(), cluster.instances[0], test.path, func(r *http.Request) { r.Header.Set("Deadline-Ms", "3000") })
			if test.status > 0 {
				cluster.Expect(got.err).NotTo(HaveOccurred())
				cluster.Expect(got.status).To(Equal(test.status))
			} else {
				cluster.Expect(got.err).To(HaveOccurred(), "status %d, %d bytes", got.status, len(got.body))
			}
			cluster.Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
			cluster.Eventually(ended, "10s").Should(Receive())
		})
	}
}

// Load pattern: 200 upstream connections send as many bytes as an event may have, at once,
// and do not end the event. Guards against memory that grows with them beyond what a small instance has
// (184 MiB on the users' largest site, of which half may be used by requests).
func TestEndlessAnswersUseBoundedMemory(t *testing.T) {
	const callers, memoryLimit = 200, 92 << 20
	cluster := newTestCluster(t, 1)
	var held atomic.Int64
	release := make(chan struct{})
	cluster.config["services"] = []map[string]any{{"name": "desk", "max_connections": 10_000}}
	cluster.publish()
	cluster.startUpstreamWithSlots("u1", callers, rawUpstream(func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, signedHead+"\r\ndata: ", id)
		block := strings.Repeat("x", 4<<10)
		for range 31 {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
		held.Add(1)
		<-release
	}))
	// The clock stands still, since on a busy machine the first requests are overdue before
	// the last ones arrive, which are refused then.
	cluster.clockStoppedAt.Store(int64(boottime.Now()))
	before := heapBytes()
	var senders sync.WaitGroup
	for n := range callers {
		senders.Go(func() {
			cluster.send(context.Background(), cluster.instances[0], "/stream/", func(r *http.Request) { r.Header.Set("Request-Id", fmt.Sprint("r", n)) })
		})
		// Dials of more than 400 ms fail, as they are when all are made at once on a busy machine.
		cluster.Eventually(held.Load, eventuallyTimeout).Should(BeNumerically(">=", n-callers/10))
	}
	cluster.Eventually(held.Load, eventuallyTimeout).Should(BeNumerically(">=", callers*9/10))
	grown := heapBytes() - before
	close(release)
	senders.Wait()
	t.Logf("%d MiB for %d answers", grown>>20, callers)
	cluster.Expect(grown).To(BeNumerically("<", memoryLimit))
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A caller sends its body a byte now and then. Guards against a request that is held for
// longer than its deadline, and against a wrong statement that it may have run.
func TestSlowBodyEndsAtDeadline(t *testing.T) {
	cluster := newTestCluster(t, 1)
	upstream := cluster.startUpstream("u1", answerWith("no"))
	conn, err := net.Dial("tcp4", cluster.instances[0].callers)
	cluster.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\nDeadline-Ms: 700\r\nAuthorization: Token key-a\r\nContent-Length: 1000\r\n\r\n")
	cluster.Expect(err).NotTo(HaveOccurred())
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	cluster.Expect(err).NotTo(HaveOccurred())
	cluster.Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
	cluster.Expect(upstream.requests()).To(BeEmpty())
}
