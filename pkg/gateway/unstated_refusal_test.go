package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Failure: an upstream runs a request and answers it with a status that callers take as a
// promise that it has not run, without stating so. Guards against that promise, and against a
// repeat, for requests that may run only once.
func TestUnstatedRefusalPromisesNothing(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"503":                  failWith(503),
		"503 with Retry-After": failWith(503, "Retry-After", "1"),
		"429":                  failWith(429),
		"429 with Retry-After": failWith(429, "Retry-After", "1"),
		"408":                  failWith(408),
		"denied":               failWith(503, "Not-Executed", "0"),
		"denied in words":      failWith(503, "Not-Executed", "false"),
		"empty statement":      failWith(503, "Not-Executed", ""),
		"contradictory values": failWith(503, "Not-Executed", "1", "Not-Executed", "0"),
		"unsigned": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Del("Response-Signature")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"statement of a failure":   failWith(500, "Not-Executed", "1"),
		"statement of an answer":   failWith(200, "Not-Executed", "1"),
		"statement in the trailer": failWith(503, "Trailer", "Not-Executed", http.TrailerPrefix+"Not-Executed", "1"),
		"statement before the answer": rawUpstream(func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\nHTTP/1.1 503 No\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		}),
		"without a length": rawUpstream(func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nRequest-Id: %s\r\n\r\nno", id)
		}),
		"cut": rawUpstream(func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nRequest-Id: %s\r\nContent-Length: 9\r\n\r\nno", id)
		}),
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			upstreams := []*fakeUpstream{cluster.startUpstream("u1", fail), cluster.startUpstream("u2", fail)}
			for n, path := range []string{"/once/", "/stream/"} {
				got := cluster.post(path, nil)
				cluster.Expect(got.err).NotTo(HaveOccurred())
				cluster.Expect(got.status).To(BeElementOf(http.StatusBadGateway, http.StatusInternalServerError), path)
				cluster.Expect(got.header).NotTo(HaveKey("Not-Executed"), path)
				if got.status == http.StatusBadGateway {
					cluster.Expect(got.header).NotTo(HaveKey("Response-Signature"), path)
					cluster.Expect(got.header).NotTo(HaveKey("Retry-After"), path)
				}
				cluster.Expect(len(upstreams[0].requests())+len(upstreams[1].requests())).To(Equal(n+1), "sent once")
			}
		})
	}
}

// failWith answers with a status and headers, which are given as names and values.
func failWith(status int, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Add(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "the order is stored\n")
	}
}

// Guards against a stated refusal that loses its promise, and is not sent to another upstream.
func TestStatedRefusalIsRepeatedAndPromised(t *testing.T) {
	for status, headers := range map[int][]string{503: {"Not-Executed", "1"}, 429: {"Not-Executed", "true"}, 400: {"Not-Executed", "1"}, 421: nil} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			refusing := cluster.startUpstream("u1", failWith(status, headers...))
			cluster.Expect(cluster.post("/short/", nil).status).To(BeElementOf(http.StatusTooManyRequests, http.StatusServiceUnavailable))
			cluster.startUpstream("u2", answerWith("done"))
			cluster.Expect(cluster.post("/once/", nil).status).To(Equal(http.StatusOK))
			cluster.Expect(refusing.requests()).NotTo(BeEmpty())
		})
	}
}

// Requests that may be repeated are sent to another upstream after an unstated refusal, and
// get the answer of the last one if all of them refuse.
func TestUnstatedRefusalOfRepeatableRequest(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, path := range []string{"/safe/", "/resume/"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				cluster := newTestCluster(t, 1)
				var failures atomic.Int64
				for i := range 3 {
					cluster.startUpstream(fmt.Sprint("u", i), func(w http.ResponseWriter, r *http.Request) {
						if failures.Add(-1) >= 0 {
							failWith(status)(w, r)
							return
						}
						streamEvents(1, 2, false)(w, r)
					})
				}
				failures.Store(1)
				cluster.Expect(cluster.post(path, nil).status).To(Equal(http.StatusOK))
				failures.Store(10)
				got := cluster.post(path, nil)
				cluster.Expect(got.status).To(Equal(status))
				cluster.Expect(got.header).To(HaveKey("Response-Signature"))
			})
		}
	}
}

// Guards against an upstream that fails with a status of refusals and is taken for a full
// one: it has to be left alone like any that fails, and the log has to show its answers.
func TestUpstreamWithUnstatedRefusalsIsFailing(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			cluster.startUpstream("failing", failWith(status))
			for _, id := range []string{"u1", "u2"} {
				cluster.startUpstreamWithSlots(id, 1, func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(w, "sound")
				})
			}
			stop := cluster.load(cluster.instances[0])
			cluster.Eventually(func() bool { return cluster.logged("upstream ejected for failed answers", `"upstream":"failing"`) }, eventuallyTimeout).Should(BeTrue())
			stop()
			cluster.Expect(cluster.logged("not answered", `"kind":"upstream_refused"`, `"status":502`, fmt.Sprintf(`"upstream_status":%d`, status),
				fmt.Sprintf("upstream failing answered %d without stating that it has not run the request", status), `"may_have_run":true`)).To(BeTrue())
			page := cluster.metricsPage()
			cluster.Expect(page).To(MatchRegexp(`rosemarywing_upstreams_refusals_unstated [1-9]`))
			cluster.Expect(page).To(MatchRegexp(`rosemarywing_upstreams_rejected 0\b`))
		})
	}
}

// Guards against a version that is rolled out although it answers all requests with an
// unstated refusal.
func TestVersionWithUnstatedRefusalsIsRolledBack(t *testing.T) {
	cluster := newRolloutCluster(t, 1)
	cluster.order("v2", 30*time.Second)
	cluster.startVersion("new-0", "v2", failWith(429))
	stop := cluster.load(cluster.instances...)
	defer stop()
	cluster.Eventually(cluster.rolloutState, eventuallyTimeout).Should(Equal("rolled_back"))
}
