package sched

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// A non-streamed answer only shows the total time, which must not be taken for
// the time to the first token.
func TestNonStreamedAnswersLeaveEstimateUnchanged(t *testing.T) {
	g := NewWithT(t)
	p := New(Config{})
	now := time.Unix(1_700_000_000, 0)
	p.SetUpstreams(now, []record.Upstream{{Name: "a", Models: []string{"m@1"}, MaxRequests: 1}})
	before := p.upstreams["a"].estimate
	for range 50 {
		work := Work{Tier: 1, Team: "t", Model: "m", PromptTokens: 100, OutputTokens: 200}
		d := p.Acquire(now, Request{ID: "r", Holder: "h", Work: work, Deadline: now.Add(time.Minute)})
		g.Expect(d.Grants).To(HaveLen(1))
		now = now.Add(4 * time.Second)
		p.Release(now, Result{RequestID: "r", Holder: "h", Outcome: Completed, OutputTokens: 200, Total: 4 * time.Second})
	}
	after := p.upstreams["a"].estimate
	g.Expect(after.overhead).To(Equal(before.overhead))
	g.Expect(after.secondsPerToken).To(Equal(before.secondsPerToken))
	g.Expect(after.prefillRate).To(Equal(before.prefillRate))
}

// An upstream is faster than its record says, so its requests end before the
// estimated end of their prefill. Guards against an idle upstream that gets no new
// requests because of that prefill.
func TestIdleUpstreamHasNoPrefillBacklog(t *testing.T) {
	g := NewWithT(t)
	p := New(Config{})
	now := time.Unix(1_700_000_000, 0)
	p.SetUpstreams(now, []record.Upstream{{Name: "a", Models: []string{"m@1"}, MaxRequests: 4, PrefillTokensPerSecond: 100}})
	work := Work{Tier: 1, Team: "t", Model: "m", PromptTokens: 1000, OutputTokens: 1}
	d := p.Acquire(now, Request{ID: "r", Holder: "h", Work: work, Deadline: now.Add(time.Minute)})
	g.Expect(d.Grants).To(HaveLen(1))
	now = now.Add(10 * time.Millisecond)
	p.Release(now, Result{RequestID: "r", Holder: "h", Outcome: Completed, OutputTokens: 1, Total: 10 * time.Millisecond})
	g.Expect(p.upstreams["a"].estimate.backlogUntil).To(BeNumerically("<=", now.UnixNano()))
}
