package sched

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// An engine must not prefill the same prefix for several requests at the same
// time, and a request must not be deferred for a short prefix or for longer
// than maxDeferral.
func TestRequestDeferredWhilePrefixIsPrefilled(t *testing.T) {
	rows := []struct {
		name     string
		prefix   int
		prompt   int
		deferred bool
	}{
		{"long prefix", 1500, 1510, true},
		{"short prefix", 500, 1510, false},
		{"prefix that takes longer than the maximum deferral", 3000, 3010, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p := New(Config{LongPromptTokens: 10_000, MaxPrefillBacklog: time.Minute})
			now := time.Unix(1_700_000_000, 0)
			p.SetUpstreams(now, []record.Upstream{
				{Name: "a", Models: []string{"m@1"}, PrefillTokensPerSecond: 1000},
				{Name: "b", Models: []string{"m@1"}, PrefillTokensPerSecond: 1000},
			})
			acquire := func(id string) []Grant {
				work := Work{Model: "m", PromptTokens: row.prompt, OutputTokens: 10, PrefixHashes: []uint64{1}, PrefixTokens: []int{row.prefix}}
				return p.Acquire(now, Request{ID: id, Holder: "h", Work: work, Deadline: now.Add(time.Minute)}).Grants
			}
			first := acquire("1")
			g.Expect(first).To(HaveLen(1))
			second := acquire("2")
			if !row.deferred {
				g.Expect(second).To(HaveLen(1))
				return
			}
			g.Expect(second).To(BeEmpty())
			ready := now.Add(time.Duration(row.prompt) * time.Millisecond)
			for now.Before(ready) {
				g.Expect(p.Tick(now).Grants).To(BeEmpty())
				now = p.NextTick()
			}
			now = ready
			g.Expect(p.Tick(now).Grants).To(ConsistOf(HaveField("Upstream", first[0].Upstream)))
			g.Expect(p.deferred).To(BeEmpty())
		})
	}
}

// Cancelling a deferred request must also end its deferral.
func TestCancelDeferredRequest(t *testing.T) {
	g := NewWithT(t)
	p, _, c := newTestPool()
	now := time.Unix(0, c.now)
	work := Work{Model: "m", PromptTokens: 1510, OutputTokens: 10, PrefixHashes: []uint64{1}, PrefixTokens: []int{1500}}
	for _, id := range []string{"1", "2"} {
		p.Acquire(now, Request{ID: id, Holder: "h", Work: work, Deadline: now.Add(time.Minute)})
	}
	g.Expect(p.deferred).To(HaveLen(1))
	p.Cancel(now, "h", "2")
	g.Expect(p.deferred).To(BeEmpty())
	g.Expect(p.Tick(now.Add(time.Hour)).Grants).To(BeEmpty())
}
