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

// awaitEndOfNotice waits until a stopping instance has closed its listener.
func (c *testCluster) awaitEndOfNotice(in *instance) {
	c.t.Helper()
	c.Eventually(func() error {
		probe, err := net.Dial("tcp4", in.callers)
		if err == nil {
			_ = probe.Close()
		}
		return err
	}, eventuallyTimeout).ShouldNot(Succeed())
}

// Planned stop: a stream that began before it breaks off after the notice, long before the
// end of the grace time, and another upstream has its rest. Guards against cutting the stream
// off instead of resuming it: the refusal cannot reach the caller any more.
func TestStreamThatBreaksAfterTheNoticeIsResumed(t *testing.T) {
	cluster := newTestCluster(t, 1)
	begun, breakOff := make(chan struct{}), make(chan struct{})
	var broken atomic.Bool
	for _, id := range []string{"u1", "u2"} {
		cluster.startUpstream(id, func(w http.ResponseWriter, r *http.Request) {
			if broken.CompareAndSwap(false, true) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, eventText(1, 2))
				_ = http.NewResponseController(w).Flush()
				close(begun)
				<-breakOff
				panic(http.ErrAbortHandler)
			}
			streamEvents(3, 4, false)(w, r)
		})
	}
	got := make(chan answer, 1)
	go func() { got <- cluster.send(context.Background(), cluster.instances[0], "/resume/", nil) }()
	<-begun
	cluster.instances[0].stop()
	cluster.awaitEndOfNotice(cluster.instances[0])
	close(breakOff)
	result := <-got
	cluster.Expect(result.err).NotTo(HaveOccurred())
	cluster.Expect(result.body).To(Equal(eventText(1, 4)))
}

// Planned stop: the same for a request that may be repeated, whose upstream breaks off
// without an answer. Guards against a 502 although another upstream could answer at once.
func TestRepeatableRequestIsRetriedAfterTheNotice(t *testing.T) {
	cluster := newTestCluster(t, 1)
	begun, breakOff := make(chan struct{}), make(chan struct{})
	var broken atomic.Bool
	for _, id := range []string{"u1", "u2"} {
		cluster.startUpstream(id, func(w http.ResponseWriter, r *http.Request) {
			if broken.CompareAndSwap(false, true) {
				close(begun)
				<-breakOff
				panic(http.ErrAbortHandler)
			}
			answerWith("ok")(w, r)
		})
	}
	got := make(chan answer, 1)
	go func() { got <- cluster.send(context.Background(), cluster.instances[0], "/safe/", nil) }()
	<-begun
	cluster.instances[0].stop()
	cluster.awaitEndOfNotice(cluster.instances[0])
	close(breakOff)
	result := <-got
	cluster.Expect(result.status).To(Equal(http.StatusOK), "%s", result.body)
}

// Planned stop: the body of a request that was sent before SIGTERM ends after the notice,
// 7 s before the end of the grace time; requests of the route take a millisecond. Guards
// against refusing a request that was admitted.
func TestRequestBeforeTheStopWhoseBodyOutlastsTheNoticeIsServed(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.startUpstream("u1", answerWith("ok"))
	for range 10 {
		cluster.Expect(cluster.post("/once/", nil).status).To(Equal(http.StatusOK))
	}
	conn, err := net.Dial("tcp4", cluster.instances[0].callers)
	cluster.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.Replace(rawStream("slow", "/once/"), "Content-Length: 0", "Content-Length: 10", 1)+"01234")
	cluster.Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	cluster.instances[0].stop()
	cluster.awaitEndOfNotice(cluster.instances[0])
	_, err = io.WriteString(conn, "56789")
	cluster.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	cluster.Expect(err).NotTo(HaveOccurred())
	cluster.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// Planned stop: a body is still being sent, and the caller goes on sending, when the grace
// time ends. Guards against a reset of the connection that destroys the answer.
func TestAnswerAtTheEndOfTheGraceTimeReachesACallerThatIsStillSending(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			cluster := newTestCluster(t, 0)
			cluster.stopGraceSeconds = 2
			stopped := cluster.startInstance("edge-0")
			cluster.startUpstream("u1", answerWith("ok"))
			conn, err := net.Dial("tcp4", stopped.callers)
			cluster.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			head, part := "Content-Length: 1000000", strings.Repeat("x", 100)
			if chunked {
				head, part = "Transfer-Encoding: chunked", "64\r\n"+strings.Repeat("x", 100)+"\r\n"
			}
			_, err = io.WriteString(conn, strings.Replace(rawStream("held", "/once/"), "Content-Length: 0", head, 1))
			cluster.Expect(err).NotTo(HaveOccurred())
			sent := make(chan error, 1)
			go func() {
				for {
					if _, err := io.WriteString(conn, part); err != nil {
						sent <- err
						return
					}
					time.Sleep(time.Millisecond)
				}
			}()
			time.Sleep(100 * time.Millisecond)
			stopped.stop()
			t.Log("sending ended with", <-sent)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			cluster.Expect(err).NotTo(HaveOccurred(), "the answer is still readable")
			cluster.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		})
	}
}
