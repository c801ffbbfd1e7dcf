package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// rawStream is a request whose caller waits longer than the grace time of a stop.
func rawStream(id, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Token key-a\r\nContent-Length: 0\r\n\r\n", path, id)
}

// Planned stop: a request arrives after the notice, on a connection that an earlier stream
// kept open. Its answer would take longer than what is left of the grace time. Guards
// against passing it on and cutting its answer off.
func TestLateRequestThatCannotEndInTimeIsRefusedAsNotRun(t *testing.T) {
	cluster := newTestCluster(t, 1)
	first := make(chan struct{})
	upstream := cluster.startUpstream("u1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		if r.Header.Get("Request-Id") == "first" {
			<-first
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
	})
	stopped := cluster.instances[0]
	conn, err := net.Dial("tcp4", stopped.callers)
	cluster.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, rawStream("first", "/stream/"))
	cluster.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	cluster.Expect(err).NotTo(HaveOccurred())
	stopped.stop()
	cluster.Eventually(func() error {
		probe, err := net.Dial("tcp4", stopped.callers)
		if err == nil {
			_ = probe.Close()
		}
		return err
	}, eventuallyTimeout).ShouldNot(Succeed(), "the notice has passed")
	_, err = io.WriteString(conn, rawStream("late", "/stream/"))
	cluster.Expect(err).NotTo(HaveOccurred())
	close(first)
	_, err = io.Copy(io.Discard, response.Body)
	cluster.Expect(err).NotTo(HaveOccurred())
	response, err = http.ReadResponse(reader, nil)
	cluster.Expect(err).NotTo(HaveOccurred(), "the late request gets an answer")
	cluster.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	cluster.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	cluster.Expect(response.Close).To(BeTrue(), "the caller must go to another instance")
	cluster.Expect(upstream.requests()).To(HaveLen(1), "the late request was not passed on")
}

// Planned stop: the grace time ends while a request is still unanswered or its body is
// still arriving. Guards against ending the connection without an answer, by which the
// caller cannot know whether the request may have run.
func TestRequestHeldAtTheEndOfTheGraceTimeIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		status  int
		body    string
		arrives int
	}{
		"unanswered":         {rawStream("held", "/once/"), http.StatusBadGateway, "upstream_broken", 1},
		"body still arrives": {strings.Replace(rawStream("held", "/once/"), "Content-Length: 0", "Content-Length: 10", 1) + "part", http.StatusServiceUnavailable, "shutting_down", 0},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 0)
			cluster.stopGraceSeconds = 2
			stopped := cluster.startInstance("edge-0")
			upstream := cluster.startUpstream("u1", func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
				case <-time.After(time.Minute):
				}
			})
			conn, err := net.Dial("tcp4", stopped.callers)
			cluster.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.request)
			cluster.Expect(err).NotTo(HaveOccurred())
			cluster.Eventually(func() int { return len(upstream.requests()) }, eventuallyTimeout).Should(BeNumerically(">=", test.arrives))
			stopped.stop()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			cluster.Expect(err).NotTo(HaveOccurred())
			cluster.Expect(response.StatusCode).To(Equal(test.status))
			body, err := io.ReadAll(response.Body)
			cluster.Expect(err).NotTo(HaveOccurred())
			cluster.Expect(string(body)).To(ContainSubstring(test.body))
			cluster.Expect(upstream.requests()).To(HaveLen(test.arrives))
		})
	}
}
