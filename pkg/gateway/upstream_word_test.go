package gateway_test

import (
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

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
)

// leavingAnswers are the kinds of answers by which an upstream says that it leaves.
func leavingAnswers() map[string]http.HandlerFunc {
	answer := func(status int, body string, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			for i := 0; i+1 < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	return map[string]http.HandlerFunc{
		"success":            answer(200, "done"),
		"refusal":            answer(503, "full", "Not-Executed", "1"),
		"refusal, misplaced": answer(421, "no"),
		"failure":            answer(500, "failed"),
		"not found":          answer(404, "none"),
		"stream": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			streamEvents(1, 2, false)(w, r)
		},
		"broken stream": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			streamEvents(1, 2, true)(w, r)
		},
		"broken answer": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			abortConnection(w, r)
		},
		"head only": rawUpstream(func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Leaving: 1\r\n\r\n", id)
		}),
	}
}

// Failure: an upstream says in an answer that it leaves, while its record in the store says
// that it is ready, since the store is silent, refuses, or has old data. Guards against
// requests that reach it afterwards, and against passing the word on to callers.
func TestUpstreamThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for kind, handle := range leavingAnswers() {
		t.Run(kind, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			leaving := cluster.startUpstream("u1", handle)
			path := "/stream/"
			if !strings.Contains(kind, "stream") {
				path = "/once/"
			}
			told := cluster.post(path, nil)
			cluster.Expect(told.header.Get("Server-Leaving")).To(BeEmpty())
			cluster.Eventually(func() bool { return cluster.logged("upstream leaves by its own word", "u1") }, eventuallyTimeout).Should(BeTrue())
			reached := len(leaving.requests())
			other := cluster.startUpstream("u2", answerWith("x"))

			// The record is written again, and the store fails, comes back and has lost its
			// history.
			for _, disturb := range []func(){
				func() { cluster.registerUpstream(leaving, "ready") },
				func() { cluster.store.SetFaults(objectstore.Faults{HoldCalls: true}) },
				func() { cluster.store.SetFaults(objectstore.Faults{Status: http.StatusServiceUnavailable}) },
				func() { cluster.store.SetFaults(objectstore.Faults{}) },
				cluster.store.Compact,
			} {
				disturb()
				for range 3 {
					cluster.Expect(cluster.post("/once/", nil).status).To(Equal(http.StatusOK))
				}
			}
			cluster.Expect(leaving.requests()).To(HaveLen(reached))
			cluster.Expect(len(other.requests())).To(Equal(15))
		})
	}
}

// The same ID starts again, and another upstream gets the address. Guards against holding
// back a process that did not say that it leaves.
func TestNextProcessAfterALeavingOneIsUsed(t *testing.T) {
	cluster := newTestCluster(t, 1)
	var leaving atomic.Bool
	leaving.Store(true)
	upstream := cluster.startUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
		if leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		_, _ = io.WriteString(w, "x")
	})
	cluster.Expect(cluster.post("/once/", nil).status).To(Equal(http.StatusOK))
	cluster.Eventually(func() bool { return cluster.logged("upstream leaves by its own word") }, eventuallyTimeout).Should(BeTrue())
	refused := cluster.send(context.Background(), cluster.instances[0], "/once/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "1000") })
	cluster.Expect(refused.status).To(Equal(http.StatusTooManyRequests))
	leaving.Store(false)
	address := strings.TrimPrefix(upstream.server.URL, "http://")
	for _, entry := range []struct {
		id   string
		born int64
	}{{"u1", time.Now().UnixMilli()}, {"u9", 1}} {
		cluster.store.Put("servers", entry.id, map[string]any{"service": "desk", "address": address, "zone": "north", "slots": 8, "state": "ready", "born": entry.born})
		cluster.Eventually(func() int { return cluster.post("/once/", nil).status }, eventuallyTimeout).Should(Equal(http.StatusOK))
		cluster.store.Delete("servers", entry.id)
		cluster.Eventually(func() bool { return cluster.logged("upstream removed", entry.id) }, eventuallyTimeout).Should(BeTrue())
	}
}

// One instance is told that an upstream leaves. Guards against the others sending requests
// there until each was told. In a large failure domain the word comes from the relay.
func TestInstancesTellEachOtherWhoLeaves(t *testing.T) {
	for _, instances := range []int{3, 18} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			cluster := newTestCluster(t, instances)
			leaving := cluster.startUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Server-Leaving", "1")
				_, _ = io.WriteString(w, "x")
			})
			cluster.Expect(cluster.post("/once/", nil).status).To(Equal(http.StatusOK))
			for i := range instances {
				cluster.Eventually(func() bool {
					return cluster.logged("upstream leaves by its own word", fmt.Sprintf(`"instance":"edge-%d"`, i))
				}, eventuallyTimeout).Should(BeTrue(), "instance %d", i)
			}
			cluster.startUpstream("u2", answerWith("x"))
			for _, in := range cluster.instances {
				cluster.Eventually(func() int { return cluster.send(context.Background(), in, "/once/", nil).status }, eventuallyTimeout).Should(Equal(http.StatusOK))
			}
			cluster.Expect(leaving.requests()).To(HaveLen(1))
		})
	}
}

// Failure: an upstream turns requests away and asks for a quiet time. Guards against more
// than two requests of an instance from half a second after it to its end, with an
// alternative, without one, and in a large failure domain whose relay was not told.
func TestQuietTimeOfUpstreamIsHeeded(t *testing.T) {
	for name, test := range map[string]struct {
		instances, others int
		retryAfter        string
		quiet             time.Duration
	}{
		"1 s":             {1, 1, "1", time.Second},
		"3 s":             {1, 1, "3", 3 * time.Second},
		"without another": {1, 0, "2", 2 * time.Second},
		"large domain":    {18, 1, "2", 2 * time.Second},
		"0 s":             {1, 1, "0", 0},
		"date":            {1, 1, "Sat, 05 Dec 2026 12:00:00 GMT", 0},
		"garbage":         {1, 1, "\x01soon", 0},
		"2^63 s":          {1, 1, "9223372036854775808", 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, test.instances)
			var toldAt, late atomic.Int64
			cluster.startUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
				now := time.Now().UnixNano()
				if toldAt.CompareAndSwap(0, now) {
					w.Header().Set("Not-Executed", "1")
					w.Header().Set("Retry-After", test.retryAfter)
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				if since := time.Duration(now - toldAt.Load()); since > 500*time.Millisecond && since < test.quiet {
					late.Add(1)
				}
				_, _ = io.WriteString(w, "x")
			})
			cluster.Expect(cluster.send(context.Background(), cluster.instances[0], "/safe/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "500") }).err).NotTo(HaveOccurred())
			for i := range test.others {
				cluster.startUpstream(fmt.Sprint("other", i), answerWith("x"))
			}
			served := 0
			for time.Since(time.Unix(0, toldAt.Load())) < test.quiet+200*time.Millisecond {
				if cluster.send(context.Background(), cluster.instances[0], "/safe/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "500") }).status == http.StatusOK {
					served++
				}
				time.Sleep(5 * time.Millisecond)
			}
			cluster.Expect(late.Load()).To(BeNumerically("<=", 2))
			if test.others > 0 && test.quiet > 0 {
				cluster.Expect(served).To(BeNumerically(">", 10))
			}
		})
	}
}

// All upstreams ask for an hour of quiet. Guards against a Retry-After at which the caller
// is refused again.
func TestCallerLearnsTheEndOfTheQuietTime(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.startUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "3600")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	cluster.post("/once/", nil)
	got := cluster.post("/once/", nil)
	cluster.Expect(got.status).To(Equal(http.StatusTooManyRequests))
	cluster.Expect(got.header.Get("Retry-After")).To(HavePrefix("3600."))
	cluster.Expect(cluster.logged("not answered", "all upstreams have asked for no requests")).To(BeTrue())
}
