package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// The timeout only bounds failing tests.
func init() { SetDefaultEventuallyTimeout(time.Minute) }

func newChatRequest(prompt string, output int) chatRequest {
	return chatRequest{Messages: []upstream.Message{{Role: "user", Content: prompt}}, MaxTokens: output}
}

// runUntilIdle executes steps until the engine is idle and returns the simulated time
// at which each request finished.
func runUntilIdle(e *Engine, streams ...*stream) []time.Duration {
	var now time.Duration
	ended := make([]time.Duration, len(streams))
	for {
		duration, busy := e.planStep()
		if !busy {
			return ended
		}
		now += duration
		e.applyStep()
		for index, s := range streams {
			if s.state == Finished && ended[index] == 0 {
				ended[index] = now
			}
		}
	}
}

func receiveAndSubmit(e *Engine, id string, r chatRequest) *stream {
	e.recordReceipt(id)
	return e.submit(id, r, []byte(r.Messages[0].Content))
}

// Guards against simulated durations that ignore the other requests of the batch, the
// limits of the batch, or the prefix cache.
func TestBatchTiming(t *testing.T) {
	g := NewWithT(t)
	config := Config{
		Speed: 1, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 10, BatchSlowdown: 0.5,
		MaxRunning: 2, Clock: clockwork.NewFakeClock(),
	}
	prompt := strings.Repeat("x", 4000)

	e := New(config)
	uncachedDuration := runUntilIdle(e, receiveAndSubmit(e, "a", newChatRequest(prompt, 10)))[0]
	g.Expect(uncachedDuration.Seconds()).To(BeNumerically("~", 1.0+0.9, 0.01), "prefill and nine decode steps")
	cachedDuration := runUntilIdle(e, receiveAndSubmit(e, "b", newChatRequest(prompt, 10)))[0]
	g.Expect(cachedDuration.Seconds()).To(BeNumerically("<", 1.1), "all but one block cached")
	g.Expect(e.Log().CachedTokens).To(Equal(15 * blockTokens))

	e = New(config)
	ended := runUntilIdle(e, receiveAndSubmit(e, "a", newChatRequest("x", 10)), receiveAndSubmit(e, "b", newChatRequest("y", 10)), receiveAndSubmit(e, "c", newChatRequest("z", 1)))
	g.Expect(ended[0].Seconds()).To(BeNumerically("~", 9*0.15, 0.05), "decode steps of two streams take 1.5 times as long")
	g.Expect(ended[2]).To(BeNumerically(">", ended[1]), "the third waits for a free slot")

	config.MaxTokens = 1000
	e = New(config)
	ended = runUntilIdle(e, receiveAndSubmit(e, "a", newChatRequest(prompt, 10)), receiveAndSubmit(e, "b", newChatRequest("y", 1)), receiveAndSubmit(e, "c", newChatRequest("z", 1)))
	g.Expect(ended[1]).To(BeNumerically(">", ended[0]), "a request above the token limit runs alone")
	g.Expect(ended[2]).To(Equal(ended[1]), "both small ones fit")
}

// Guards against a prefix cache that exceeds its capacity, repeated prefill that is
// not logged, and cache events that are neither dropped nor delayed as configured.
func TestCacheEviction(t *testing.T) {
	g := NewWithT(t)
	e := New(Config{CacheTokens: 20 * blockTokens, Clock: clockwork.NewFakeClock()})
	prompts := []string{strings.Repeat("a", 4000), strings.Repeat("b", 4000)}
	for turn := range 4 {
		runUntilIdle(e, receiveAndSubmit(e, fmt.Sprint(turn), newChatRequest(prompts[turn%2], 1)))
	}
	log := e.Log()
	g.Expect(log.RepeatedPrefillTokens).To(BeNumerically(">", 20*blockTokens))
	var stored, removed int
	for _, event := range e.prefixCache.eventsAfter(0, e.clock.Now(), 0) {
		stored += len(event.Stored)
		removed += len(event.Removed)
	}
	g.Expect(stored - removed).To(Equal(20))
	g.Expect(e.prefixCache.eventsAfter(0, e.clock.Now(), 2)).To(HaveLen(2), "every second event is dropped")
	g.Expect(e.prefixCache.eventsAfter(0, e.clock.Now().Add(-time.Second), 0)).To(BeEmpty(), "events are delayed")
}

func startServer(t *testing.T, config Config) (*Engine, string) {
	t.Helper()
	e := New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() { server.Close(); cancel(); <-done })
	return e, server.URL
}

func sendRequest(t *testing.T, method, url, id, body string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(headerRequestID, id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

func chatBody(content string, output int, stream bool) string {
	r := newChatRequest(content, output)
	r.Stream = stream
	body, _ := json.Marshal(r)
	return string(body)
}

// Guards against a cut stream that cannot be resumed, a resumed stream that differs
// from the original, and repeated receipts that are not logged.
func TestResumeCutStream(t *testing.T) {
	g := NewWithT(t)
	e, url := startServer(t, Config{Name: "e1", Faults: Faults{CutAfter: 3, CutTimes: 1}})
	response, head, err := sendRequest(t, "POST", url+"/v1/chat/completions", "r1", chatBody("hi", 5, true))
	g.Expect(err).To(HaveOccurred(), "the stream is cut")
	g.Expect(response.Header.Get(headerRequestID)).To(Equal("r1"))
	_, tail, err := sendRequest(t, "GET", url+"/v1/streams/r1?from=4", "r1", "")
	g.Expect(err).NotTo(HaveOccurred())
	_, all, err := sendRequest(t, "GET", url+"/v1/streams/r1?from=1", "r1", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(head + tail).To(Equal(all))
	g.Expect(all).To(HavePrefix("id: e1/r1/1\ndata: {"))
	g.Expect(all).To(HaveSuffix("id: e1/r1/6\ndata: [DONE]\n\n"))
	g.Expect(e.Log().Requests[0].Receipts).To(Equal(1))
	_, _, _ = sendRequest(t, "POST", url+"/v1/chat/completions", "r1", chatBody("hi", 5, false))
	g.Expect(e.Log().Requests[0].Receipts).To(Equal(2))
}

// Guards against injected faults without effect, on streamed and other answers.
func TestInjectedFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		stream bool
		check  func(g Gomega, response *http.Response, content string, err error)
	}{
		{"none", Faults{}, false, func(g Gomega, r *http.Response, content string, err error) {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(content).To(ContainSubstring("r1:3 "))
		}},
		{"answer cut", Faults{CutAfter: 1}, false, func(g Gomega, _ *http.Response, _ string, err error) {
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		}},
		{"connection reset", Faults{ResetMarker: "poison"}, true, func(g Gomega, r *http.Response, _ string, err error) {
			g.Expect(err).To(HaveOccurred())
			g.Expect(r).To(BeNil())
		}},
		{"wrong request ID", Faults{WrongRequestID: "r2"}, true, func(g Gomega, r *http.Response, content string, _ error) {
			g.Expect(r.Header.Get(headerRequestID)).To(Equal("r2"))
			g.Expect(content).To(ContainSubstring("engine/r2/1"))
		}},
		{"duplicate events", Faults{DuplicateEvery: 2}, true, func(g Gomega, _ *http.Response, content string, _ error) {
			g.Expect(strings.Count(content, "engine/r1/2\n")).To(Equal(2))
		}},
		{"missing events", Faults{SkipEvery: 2}, true, func(g Gomega, _ *http.Response, content string, _ error) {
			g.Expect(content).NotTo(ContainSubstring("engine/r1/2\n"))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, url := startServer(t, Config{Faults: c.faults})
			response, content, err := sendRequest(t, "POST", url+"/v1/chat/completions", "r1", chatBody("poison", 3, c.stream))
			c.check(NewWithT(t), response, content, err)
			NewWithT(t).Expect(e.Log().Requests[0].Receipts).To(Equal(1))
		})
	}
}

// Guards against a crash marker without effect, and against crashes without it.
func TestCrashMarker(t *testing.T) {
	g := NewWithT(t)
	code := 0
	e := New(Config{Faults: Faults{CrashMarker: "boom"}, Exit: func(c int) { code = c }, Clock: clockwork.NewFakeClock()})
	runUntilIdle(e, receiveAndSubmit(e, "a", newChatRequest("fine", 1)))
	g.Expect(code).To(BeZero())
	runUntilIdle(e, receiveAndSubmit(e, "b", newChatRequest("boom", 1)))
	g.Expect(code).To(Equal(crashExitCode))
}

// Guards against an answer that is sent before the injected delay has passed, or
// never.
func TestDelayedAnswer(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	e, url := startServer(t, Config{Clock: clock, Faults: Faults{DelayMs: 100}})
	answered := make(chan error, 1)
	go func() {
		_, _, err := sendRequest(t, "POST", url+"/v1/chat/completions", "r1", chatBody("hi", 1, false))
		answered <- err
	}()
	g.Expect(clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	g.Eventually(func() State { return e.Log().Requests[0].State }).Should(Equal(Finished))
	g.Expect(answered).To(BeEmpty())
	clock.Advance(100 * time.Millisecond)
	g.Eventually(answered).Should(Receive(BeNil()))
}

// Guards against load reports that are younger than LoadReportLag, against an engine with
// ChecksFencing that accepts an order with a lower fencing number, and against one
// without it that refuses such an order.
func TestLoadReportLagAndOrderFencing(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	e := New(Config{LoadReportLag: time.Second, ChecksFencing: true, Clock: clock})
	g.Expect(e.applyOrder(upstream.Order{Fence: 5, Models: []string{"m@1"}})).To(BeTrue())
	g.Expect(e.applyOrder(upstream.Order{Fence: 4})).To(BeFalse())
	clock.Advance(time.Second / 2)
	e.SetFaults(Faults{Leaving: true})
	g.Expect(e.delayedLoad().Leaving).To(BeFalse())
	clock.Advance(time.Second)
	g.Expect(e.delayedLoad().Leaving).To(BeTrue())
	g.Expect(e.delayedLoad().LoadedModels).To(Equal([]string{"m@1"}))
	unfenced := New(Config{Clock: clock})
	g.Expect(unfenced.applyOrder(upstream.Order{Fence: 5})).To(BeTrue())
	g.Expect(unfenced.applyOrder(upstream.Order{Fence: 4})).To(BeTrue())
}

// Guards against a cancelled request that stays in the batch, and against an imported
// KV cache that does not reduce prefill.
func TestCancelAndKVTransfer(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	e, url := startServer(t, Config{Speed: 1, Clock: clock})
	s := receiveAndSubmit(e, "a", newChatRequest(strings.Repeat("k", 1024), 100))
	g.Eventually(func() State { _, state, _ := e.snapshot(s); return state }).Should(Equal(Running))
	_, kvBody, _ := sendRequest(t, "GET", url+"/kv/a", "a", "")
	response, _, _ := sendRequest(t, "DELETE", url+"/v1/streams/a", "a", "")
	g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(e.delayedLoad().TokensInUse).To(BeZero())
	response, _, _ = sendRequest(t, "GET", url+"/v1/streams/a?from=1", "a", "")
	g.Expect(response.StatusCode).To(Equal(http.StatusGone))
	other, otherURL := startServer(t, Config{})
	_, _, err := sendRequest(t, "PUT", otherURL+"/kv/a", "a", kvBody)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = sendRequest(t, "POST", otherURL+"/v1/chat/completions", "b", chatBody(strings.Repeat("k", 1024), 1, false))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.Log().CachedTokens).To(Equal(4 * blockTokens))
}
