package sched

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// completeOnePerUpstream grants and completes one request per upstream, with
// the given seconds per output token.
func completeOnePerUpstream(p *Pool, now time.Time, perToken map[string]float64) {
	const output = 21
	for i := range len(p.upstreams) {
		work := Work{Model: "m", PromptTokens: 100, OutputTokens: output}
		p.Acquire(now, Request{ID: fmt.Sprint(i), Holder: "h", Work: work, Deadline: now.Add(time.Minute)})
	}
	for key, g := range p.grants {
		total := time.Duration((output - 1) * perToken[g.upstream.name] * float64(time.Second))
		p.Release(now, Result{RequestID: key.id, Holder: "h", Outcome: Completed, OutputTokens: output, Total: total})
	}
}

// A slow upstream must leave rotation and return once it recovers, and a load
// increase on the whole pool must not mark an upstream as slow.
func TestSlowDetector(t *testing.T) {
	rows := []struct {
		name   string
		factor func(upstream string, round int) float64
		slow   []string
	}{
		{"steady service times", func(string, int) float64 { return 1 }, nil},
		{"one upstream slow", func(name string, round int) float64 {
			return map[bool]float64{true: 5, false: 1}[name == "a" && round >= 60]
		}, []string{"a"}},
		{"one upstream slow, then recovered", func(name string, round int) float64 {
			return map[bool]float64{true: 5, false: 1}[name == "a" && round >= 60 && round < 90]
		}, nil},
		{"all upstreams slower under load", func(_ string, round int) float64 {
			return 1 + 4*min(1, max(0, float64(round-60)/30))
		}, nil},
		{"most upstreams slow", func(name string, round int) float64 {
			return map[bool]float64{true: 5, false: 1}[name != "d" && round >= 60]
		}, []string{"any one"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p := New(Config{})
			now := time.Unix(1_700_000_000, 0)
			var records []record.Upstream
			for _, name := range []string{"a", "b", "c", "d"} {
				records = append(records, record.Upstream{Name: name, Models: []string{"m@1"}, MaxRequests: 1})
			}
			p.SetUpstreams(now, records)
			for round := range 140 {
				now = now.Add(probeInterval)
				secondsPerToken := map[string]float64{}
				for _, r := range records {
					secondsPerToken[r.Name] = 0.03 * row.factor(r.Name, round)
				}
				completeOnePerUpstream(p, now, secondsPerToken)
			}
			var slow []string
			for _, r := range records {
				if p.upstreams[r.Name].detector.slow {
					slow = append(slow, r.Name)
				}
			}
			if len(row.slow) == 1 && row.slow[0] == "any one" {
				g.Expect(slow).To(HaveLen(1))
				return
			}
			g.Expect(slow).To(Equal(row.slow))
		})
	}
}

// A slow upstream must get no requests other than probes.
func TestSlowUpstreamReceivesOnlyProbes(t *testing.T) {
	g := NewWithT(t)
	p, u, c := newTestPool()
	u.detector.slow = true
	now := time.Unix(0, c.now)
	grants := 0
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		request := Request{ID: fmt.Sprint(i), Holder: "h", Work: *c.work, Deadline: now.Add(50 * time.Millisecond)}
		request.Work.PromptTokens = 1
		grants += len(p.Acquire(now, request).Grants)
	}
	g.Expect(grants).To(Equal(2))
}
