package failure_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

const streamTokens = 60

func startEngineCluster(args ...string) (*testbed.Cluster, *testbed.Upstream) {
	GinkgoHelper()
	c := startCluster(testbed.ClusterSpec{
		Domains: []string{"north"}, EntriesPerDomain: 3,
		Engines: []testbed.UpstreamSpec{engineSpec("engine-1", "north", args...)},
	})
	return c, c.Upstreams["engine-1"]
}

// referenceText sends a streamed request with the text, without faults, and returns the
// text of the complete response.
func referenceText(e *testbed.Entry, text string) string {
	GinkgoHelper()
	s := openStream(context.Background(), e, chatRequest(text, streamTokens, true))
	s.readAll()
	Expect(s.complete).To(BeTrue(), "the stream without faults is incomplete: "+s.errorEvent)
	return s.text.String()
}

var _ = Describe("Whole answers", Label("G3"), func() {
	// Guards against a stream with lost or repeated tokens when the entry that
	// carries it dies and the caller resumes it through another one.
	It("resumes a stream through another instance after its entry was killed", func() {
		c, upstream := startEngineCluster("--speed", "4")
		want := referenceText(c.Entries[0], "question")
		s := openStream(context.Background(), c.Entries[1], chatRequest("question", streamTokens, true))
		for range 10 {
			Expect(s.readEvent()).To(BeTrue())
		}
		c.Entries[1].Kill()
		for s.readEvent() {
		}
		Expect(s.complete).To(BeFalse(), "the stream ended before the kill, so the test checks nothing")
		rest := openStream(context.Background(), c.Entries[2], clientRequest{
			method: http.MethodGet, path: "/v1/streams", header: map[string]string{"Last-Event-ID": s.lastEventID},
		})
		rest.readAll()
		Expect(rest.complete).To(BeTrue(), rest.errorEvent)
		Expect(tokenCount(s.text.String() + rest.text.String())).To(Equal(tokenCount(want)))
		Expect(receivedRequests(upstream)).To(Equal(2), "one request for each of the two streams")
	})

	// Guards against responses that are truncated, have repeated or missing events
	// or belong to another request, and reach the caller as complete.
	DescribeTable("delivers the complete response or reports that it is incomplete",
		func(faults engine.Faults, complete bool) {
			c, upstream := startEngineCluster("--speed", "0")
			want := referenceText(c.Entries[0], "question")
			setEngineFaults(upstream, faults)
			s := tryOpenStream(c.Entries[1], chatRequest("question", streamTokens, true))
			if s == nil {
				Expect(complete).To(BeFalse(), "the request was refused")
				return
			}
			s.readAll()
			Expect(s.complete).To(Equal(complete), s.errorEvent)
			if complete {
				Expect(tokenCount(s.text.String())).To(Equal(tokenCount(want)))
				return
			}
			Expect(s.errorEvent).NotTo(BeEmpty(), "the stream ended early without an error event")
		},
		Entry("connection cut once", engine.Faults{CutAfter: 7, CutTimes: 1}, true),
		Entry("connection cut repeatedly", engine.Faults{CutAfter: 20}, true),
		Entry("events duplicated", engine.Faults{DuplicateEvery: 3}, true),
		Entry("response to another request", engine.Faults{WrongRequestID: "other"}, false),
		Entry("events missing", engine.Faults{SkipEvery: 5}, false),
		Entry("late response", engine.Faults{DelayMs: 300}, true),
	)

	// Guards against a response without streaming that is truncated between engine
	// and entry and reaches the caller as complete.
	It("returns the complete response without streaming after a cut connection", func() {
		c, upstream := startEngineCluster("--speed", "0")
		setEngineFaults(upstream, engine.Faults{CutAfter: 1, CutTimes: 1})
		result := chatRequest("question", streamTokens, false).sendAndRead(c.Entries[0])
		Expect(result.status).To(Equal(http.StatusOK), result.String())
		var body struct {
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			} `json:"usage"`
		}
		Expect(json.Unmarshal([]byte(result.body), &body)).To(Succeed(), result.body)
		Expect(body.Usage.CompletionTokens).To(Equal(streamTokens))
		Expect(receivedRequests(upstream)).To(Equal(1))
	})

	// Guards against a reset connection between entry and engine that ends the
	// stream of the caller.
	It("resumes a stream whose connection to the engine was reset", func() {
		c, upstream := startEngineCluster("--speed", "4")
		want := referenceText(c.Entries[0], "question")
		s := openStream(context.Background(), c.Entries[1], chatRequest("question", streamTokens, true))
		for range 10 {
			Expect(s.readEvent()).To(BeTrue())
		}
		upstream.Link.CloseConnections()
		s.readAll()
		Expect(s.complete).To(BeTrue(), s.errorEvent)
		Expect(tokenCount(s.text.String())).To(Equal(tokenCount(want)))
		Expect(receivedRequests(upstream)).To(Equal(2))
	})
})

// tokenCount returns the number of generated tokens, each of which is one word. Tests
// compare counts, because the words contain the ID of their request.
func tokenCount(text string) int { return len(strings.Fields(text)) }

// tryOpenStream opens a stream. It returns nil if the entry refused the request.
func tryOpenStream(e *testbed.Entry, c clientRequest) *eventStream {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	DeferCleanup(cancel)
	response, err := c.send(ctx, e)
	Expect(err).NotTo(HaveOccurred())
	if response.StatusCode != http.StatusOK {
		Expect(response.Header.Get("Rosemarywing-Run-State")).NotTo(Equal("not_run"))
		_ = response.Body.Close()
		return nil
	}
	return newEventStream(response)
}
