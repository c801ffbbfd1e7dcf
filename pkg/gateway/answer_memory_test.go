package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/boottime"
)

// discardAnswer sends a request and drops the answer, so that the memory that the answer
// takes is the instance's.
func (c *testCluster) discardAnswer(ctx context.Context, path, id string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.instances[0].callers+path, http.NoBody)
	if err != nil {
		return
	}
	request.Host = "h.example"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "15000", "Authorization": "Token key-a"} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
}

// shortLines returns a head's lines, all with different names, of the given length.
func shortLines(length int) string {
	var lines strings.Builder
	for n := 0; lines.Len() < length; n++ {
		fmt.Fprintf(&lines, "%x:\n", n)
	}
	return lines.String()
}

// Load pattern: on an instance of 64 MiB, a faulty upstream sends as much of an answer to
// each of 300 requests as the instance reads, and neither ends nor goes on. Guards
// against memory that grows by the bytes of all of them beyond the instance's limit, and
// against sound answers that are not forwarded meanwhile.
func TestMemoryForAnswersIsSharedByAllRequests(t *testing.T) {
	const (
		callers, memoryMiB = 300, 64
		// minAnswers is enough for bodies or events to exceed maxGrowth if they do not
		// share memory.
		minAnswers = 150
		// A quarter of the limit: the rest of the requests' half is for their own bodies.
		maxGrowth = memoryMiB << 20 / 4
	)
	block := strings.Repeat("x", 4<<10)
	for name, test := range map[string]struct {
		path string
		// head may hold the request's ID; text is what comes after it.
		head, text string
	}{
		"head, short lines":      {"/once/", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", shortLines(60 << 10)},
		"head, one line":         {"/once/", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Pad: ", strings.Repeat(block, 15)},
		"head, lines that fit":   {"/once/", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", shortLines(800)},
		"head, a line that fits": {"/once/", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Pad: ", strings.Repeat("x", 15<<10) + "\r\n"},
		"head, interim answers":  {"/once/", "HTTP/1.1 103 Early\r\nX-Pad: %s\r\n\r\n", strings.Repeat("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", 1900)},
		"body, with a length":    {"/once/", signedHead + "Content-Length: 1000000\r\n\r\n", strings.Repeat(block, 63)},
		"body, without a length": {"/once/", signedHead + "\r\n", strings.Repeat(block, 63)},
		"body, one chunk":        {"/once/", signedHead + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n", strings.Repeat(block, 63)},
		"body, many chunks":      {"/once/", signedHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1000\r\n"+block+"\r\n", 63)},
		"body of a failure":      {"/once/", "HTTP/1.1 400 No\r\nRequest-Id: %s\r\nContent-Length: 1000000\r\n\r\n", strings.Repeat(block, 63)},
		"event":                  {"/stream/", signedHead + "\r\n", "data: " + strings.Repeat(block, 31)},
		"event, many lines":      {"/stream/", signedHead + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n", strings.Repeat("data: x\n", 124<<7)},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 0)
			cluster.memoryMiB = memoryMiB
			cluster.startInstance("edge-0")
			var asked, sent atomic.Int64
			var askedIDs sync.Map
			begin, release := make(chan struct{}), make(chan struct{})
			sound := answerWith("id: 1\ndata: sound\n\n")
			cluster.startUpstreamWithSlots("u1", callers+1, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Request-Id") == "sound" {
					sound(w, r)
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				askedIDs.Store(r.Header.Get("Request-Id"), true)
				asked.Add(1)
				<-begin
				_, _ = fmt.Fprintf(conn, test.head, r.Header.Get("Request-Id"))
				// A failed write means that the instance has closed the connection.
				_, _ = io.WriteString(conn, test.text)
				sent.Add(1)
				<-release
			})
			// The clock stands still, since on a busy machine the first requests are overdue
			// before the last ones arrive, which are refused then. A few are refused if the
			// machine is too busy to open their connections in time.
			cluster.clockStoppedAt.Store(int64(boottime.Now()))
			ctx, cancel := context.WithCancel(context.Background())
			var senders sync.WaitGroup
			// A request may also end after it has reached the upstream, at its deadline.
			var refused atomic.Int64
			for n := range callers {
				senders.Go(func() {
					id := fmt.Sprint("r", n)
					cluster.discardAnswer(ctx, test.path, id)
					if _, reached := askedIDs.Load(id); !reached {
						refused.Add(1)
					}
				})
			}
			cluster.Eventually(func() int64 { return asked.Load() + refused.Load() }, eventuallyTimeout).Should(BeNumerically("==", callers))
			answers := asked.Load()
			cluster.Expect(answers).To(BeNumerically(">=", minAnswers))
			cluster.clockStoppedAt.Store(0)
			// The instance may stop using an upstream whose answers fail.
			cluster.startUpstream("u2", sound)
			before := heapBytes()
			close(begin)
			cluster.Eventually(sent.Load, eventuallyTimeout).Should(BeNumerically("==", answers))
			// The instance reads what is in the connections' buffers.
			grown := int64(0)
			for range 5 {
				time.Sleep(100 * time.Millisecond)
				grown = max(grown, heapBytes()-before)
			}
			// The clock has moved on, and the configuration is stale until the store has answered.
			var got answer
			cluster.Eventually(func() string {
				got = cluster.post(test.path, func(r *http.Request) { r.Header.Set("Request-Id", "sound") })
				return got.body
			}, eventuallyTimeout).ShouldNot(HavePrefix("configuration_stale"))
			cancel()
			close(release)
			senders.Wait()
			t.Logf("%d KiB for %d answers", grown>>10, answers)
			cluster.Expect(got.err).NotTo(HaveOccurred())
			cluster.Expect(got.body).To(Equal("id: 1\ndata: sound\n\n"))
			cluster.Expect(grown).To(BeNumerically("<", maxGrowth))
		})
	}
}
