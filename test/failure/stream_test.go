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

func engineCluster(args ...string) (*testbed.Cluster, *testbed.Upstream) {
	GinkgoHelper()
	c := cluster(testbed.Spec{
		Domains: []string{"north"}, Entries: 3,
		Engines: []testbed.Engine{engineSpec("engine-1", "north", args...)},
	})
	return c, c.Upstreams["engine-1"]
}

// wholeText is the text of an undisturbed answer to the same request.
func wholeText(e *testbed.Entry, text string) string {
	GinkgoHelper()
	s := openStream(context.Background(), e, chat(text, streamTokens, true))
	s.readAll()
	Expect(s.done).To(BeTrue(), "the undisturbed stream is not complete: "+s.failure)
	return s.text.String()
}

var _ = Describe("Whole answers", Label("G3"), func() {
	// Guards against a stream that is lost, repeated or cut when the instance
	// that carries it dies.
	It("continues a stream through another instance after its entry was killed", func() {
		c, up := engineCluster("--speed", "4")
		want := wholeText(c.Entries[0], "question")
		s := openStream(context.Background(), c.Entries[1], chat("question", streamTokens, true))
		for range 10 {
			Expect(s.next()).To(BeTrue())
		}
		c.Entries[1].Kill()
		for s.next() {
		}
		Expect(s.done).To(BeFalse(), "the stream ended before the kill; the case tests nothing")
		rest := openStream(context.Background(), c.Entries[2], call{
			method: http.MethodGet, path: "/v1/streams", header: map[string]string{"Last-Event-ID": s.lastID},
		})
		rest.readAll()
		Expect(rest.done).To(BeTrue(), rest.failure)
		Expect(wordCount(s.text.String() + rest.text.String())).To(Equal(wordCount(want)))
		Expect(receipts(up)).To(Equal(2), "one request for each of the two streams")
	})

	// Guards against answers that are cut, doubled, gapped or another
	// request's, and that reach the caller as if they were whole.
	DescribeTable("passes on the whole answer or says that it is not whole",
		func(faults engine.Faults, complete bool) {
			c, up := engineCluster("--speed", "0")
			want := wholeText(c.Entries[0], "question")
			setEngineFaults(up, faults)
			s := openOrRefused(c.Entries[1], chat("question", streamTokens, true))
			if s == nil {
				Expect(complete).To(BeFalse(), "the request was refused")
				return
			}
			s.readAll()
			Expect(s.done).To(Equal(complete), s.failure)
			if complete {
				Expect(wordCount(s.text.String())).To(Equal(wordCount(want)))
				return
			}
			Expect(s.failure).NotTo(BeEmpty(), "the stream ended early and silently")
		},
		Entry("connection cut once", engine.Faults{CutAfter: 7, CutTimes: 1}, true),
		Entry("connection cut again and again", engine.Faults{CutAfter: 20}, true),
		Entry("events doubled", engine.Faults{DuplicateEvery: 3}, true),
		Entry("another request's answer", engine.Faults{WrongRequestID: "other"}, false),
		Entry("events missing", engine.Faults{SkipEvery: 5}, false),
		Entry("late answer", engine.Faults{DelayMs: 300}, true),
	)

	// Guards against a whole answer (not streamed) that is cut and reported as complete.
	It("returns a whole answer that was cut on its way", func() {
		c, up := engineCluster("--speed", "0")
		setEngineFaults(up, engine.Faults{CutAfter: 1, CutTimes: 1})
		a := chat("question", streamTokens, false).do(c.Entries[0])
		Expect(a.status).To(Equal(http.StatusOK), a.String())
		var body struct {
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			} `json:"usage"`
		}
		Expect(json.Unmarshal([]byte(a.body), &body)).To(Succeed(), a.body)
		Expect(body.Usage.CompletionTokens).To(Equal(streamTokens))
		Expect(receipts(up)).To(Equal(1))
	})

	// Guards against a cut link between entry and engine that ends the stream.
	It("resumes a stream whose connection to the engine was reset", func() {
		c, up := engineCluster("--speed", "4")
		want := wholeText(c.Entries[0], "question")
		s := openStream(context.Background(), c.Entries[1], chat("question", streamTokens, true))
		for range 10 {
			Expect(s.next()).To(BeTrue())
		}
		up.Link.Reset()
		s.readAll()
		Expect(s.done).To(BeTrue(), s.failure)
		Expect(wordCount(s.text.String())).To(Equal(wordCount(want)))
		Expect(receipts(up)).To(Equal(2))
	})
})

// wordCount compares texts that name their request: each token is one word.
func wordCount(text string) int { return len(strings.Fields(text)) }

// openOrRefused opens a stream, or returns nil when the entry refused it.
func openOrRefused(e *testbed.Entry, c call) *stream {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	DeferCleanup(cancel)
	response, err := c.send(ctx, e)
	Expect(err).NotTo(HaveOccurred())
	if response.StatusCode != http.StatusOK {
		Expect(response.Header.Get("Rosemarywing-Run-State")).NotTo(Equal("not_run"))
		_ = response.Body.Close()
		return nil
	}
	return newStream(response)
}
