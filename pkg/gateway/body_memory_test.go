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

// answerWait bounds the waits for answers.
const answerWait = 20 * time.Second

// openRequest is a request whose body is sent in parts.
type openRequest struct {
	net.Conn
	answers *bufio.Reader
}

// begin sends the head of a request, and no body.
func (c *testCluster) begin(id, framing string) openRequest {
	conn, err := (&net.Dialer{}).DialContext(c.t.Context(), "tcp", c.instances[0].callers)
	c.Expect(err).NotTo(HaveOccurred())
	c.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /once/%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Token key-a\r\n%s\r\n\r\n", id, id, framing)
	c.Expect(err).NotTo(HaveOccurred())
	return openRequest{Conn: conn, answers: bufio.NewReader(conn)}
}

// status returns the status of the answer, or 0 if there is none within a time.
func (r openRequest) status(within time.Duration) int {
	_ = r.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(r.answers, nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// metricsPage returns the metrics of the first instance.
func (c *testCluster) metricsPage() string {
	response, err := http.Get("http://" + c.instances[0].admin + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	c.Expect(err).NotTo(HaveOccurred())
	return string(page)
}

// newSmallCluster returns an instance of 32 MiB, whose budget for bodies is 4 MiB.
func newSmallCluster(t *testing.T) *testCluster {
	cluster := newTestCluster(t, 0)
	cluster.memoryMiB = 32
	cluster.startInstance("edge-0")
	cluster.startUpstream("engine-0", answerWith("done"))
	cluster.Eventually(func() int { return cluster.post("/once/ready", nil).status }, eventuallyTimeout).Should(Equal(http.StatusOK))
	return cluster
}

// Load pattern: 40 callers send bodies of the allowed length at once, more than fit in the
// memory of the instance. Guards against an instance that is killed, with the requests of
// all others, and against refusing small requests meanwhile.
func TestLargeBodiesShareMemory(t *testing.T) {
	cluster := newSmallCluster(t)
	const callers, bodyBytes = 40, 1 << 20
	var open []openRequest
	refused := 0
	for i := range callers {
		request := cluster.begin(fmt.Sprintf("large-%d", i), fmt.Sprintf("Content-Length: %d", bodyBytes))
		// Refused before any of the body was sent.
		if i >= 4 {
			cluster.Expect(request.status(answerWait)).To(Equal(http.StatusTooManyRequests))
			refused++
			continue
		}
		open = append(open, request)
		cluster.Eventually(cluster.metricsPage, eventuallyTimeout).Should(ContainSubstring(fmt.Sprintf("rosemarywing_bodies_held_bytes %d\n", (i+1)*(bodyBytes-32<<10))))
	}
	cluster.Expect(cluster.metricsPage()).To(ContainSubstring(fmt.Sprintf("rosemarywing_bodies_refused %d\n", refused)))
	// The server would read a body of this length before it answers.
	cluster.Expect(cluster.begin("medium", fmt.Sprintf("Content-Length: %d", 200<<10)).status(answerWait)).To(Equal(http.StatusTooManyRequests))
	cluster.Expect(cluster.post("/once/small", nil).status).To(Equal(http.StatusOK))
	for _, request := range open {
		_, err := io.WriteString(request, strings.Repeat("x", bodyBytes))
		cluster.Expect(err).NotTo(HaveOccurred())
		cluster.Expect(request.status(answerWait)).To(Equal(http.StatusOK))
	}
	cluster.Eventually(cluster.metricsPage, eventuallyTimeout).Should(ContainSubstring("rosemarywing_bodies_held_bytes 0\n"))
	last := cluster.begin("large-last", fmt.Sprintf("Content-Length: %d", bodyBytes))
	_, err := io.WriteString(last, strings.Repeat("x", bodyBytes))
	cluster.Expect(err).NotTo(HaveOccurred())
	cluster.Expect(last.status(answerWait)).To(Equal(http.StatusOK))
}

// Load pattern: as above, with bodies whose length is not stated. Guards against counting
// only stated lengths.
func TestBodiesWithoutLengthShareMemory(t *testing.T) {
	cluster := newSmallCluster(t)
	const chunk = 512 << 10
	for i := range 12 {
		request := cluster.begin(fmt.Sprintf("chunked-%d", i), "Transfer-Encoding: chunked")
		_, err := fmt.Fprintf(request, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		cluster.Expect(err).NotTo(HaveOccurred())
	}
	// Eight bodies of 512 KiB fill the budget. Some more are refused, since a buffer doubles.
	cluster.Eventually(cluster.metricsPage, eventuallyTimeout).Should(MatchRegexp(`rosemarywing_bodies_refused ([4-9]|1[01])\n`))
	cluster.Expect(cluster.post("/once/small", nil).status).To(Equal(http.StatusOK))
}

// Guards against reading a body that states more bytes than the limit, and against a budget
// that makes a body of exactly the limit too large.
func TestBodyLimitIsCheckedByStatedLength(t *testing.T) {
	cluster := newSmallCluster(t)
	cluster.Expect(cluster.begin("over", fmt.Sprintf("Content-Length: %d", 1<<20+1)).status(answerWait)).To(Equal(http.StatusRequestEntityTooLarge))
	body := strings.Repeat("x", 1<<20)
	for framing, content := range map[string]string{fmt.Sprintf("Content-Length: %d", len(body)): body, "Transfer-Encoding: chunked": fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)} {
		request := cluster.begin("whole", framing)
		_, err := io.WriteString(request, content)
		cluster.Expect(err).NotTo(HaveOccurred())
		cluster.Expect(request.status(answerWait)).To(Equal(http.StatusOK), framing)
	}
	over := cluster.begin("over-chunked", "Transfer-Encoding: chunked")
	go func() { _, _ = fmt.Fprintf(over, "%x\r\n%sx", 2<<20, body) }()
	cluster.Expect(over.status(answerWait)).To(Equal(http.StatusRequestEntityTooLarge))
}

// Guards against a connection that is reset before the caller, which still sends its body,
// has read that its request was refused.
func TestRefusalReachesCallerThatSendsItsBody(t *testing.T) {
	cluster := newSmallCluster(t)
	large := func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), 2<<20
	}
	for range 20 {
		got := cluster.post("/once/over", large)
		cluster.Expect(got.err).NotTo(HaveOccurred())
		cluster.Expect(got.status).To(Equal(http.StatusRequestEntityTooLarge))
	}
}
