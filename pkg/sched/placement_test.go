package sched

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// newTestPool returns a pool with one engine limited to 10 requests and 10,000
// tokens that prefills 1,000 tokens per second, and a candidate with a short
// prompt whose deadline is in one second.
func newTestPool() (*Pool, *upstream, *candidate) {
	p := New(Config{LongPromptTokens: 4000, MaxPrefillBacklog: 2 * time.Second})
	now := time.Unix(1_700_000_000, 0)
	p.SetUpstreams(now, []record.Upstream{{
		Name: "u", Models: []string{"m@1", "n@1"}, MaxRequests: 10, MaxTokens: 10_000,
		PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 50,
	}})
	c := &candidate{
		now:      now.UnixNano(),
		work:     &Work{Tier: 1, Model: "m", PromptTokens: 500, OutputTokens: 100},
		priority: 1,
		deadline: now.Add(time.Second).UnixNano(),
	}
	return p, p.upstreams["u"], c
}

func enqueueWaiting(p *Pool, tier int, modelName string, waitingClass requestClass) {
	t := p.queue.tierFor(tier)
	mt := p.models[modelName].tierFor(t)
	p.queue.push(&queuedRequest{
		request: Request{ID: "w", Work: Work{Fingerprint: 7}}, key: requestKey{"h", "w"}, tier: t, modelTier: mt,
		group: &mt.groups[waitingClass], flow: t.flowFor("team", 1), holder: p.holderFor("h"),
	})
}

// Each filter must reject the condition that it covers, and no filter may
// reject an upstream in normal condition.
func TestFilters(t *testing.T) {
	type setup = func(p *Pool, u *upstream, c *candidate)
	rows := []struct {
		name   string
		filter string
		setup  setup
		passes bool
	}{
		{"idle upstream", "", func(*Pool, *upstream, *candidate) {}, true},
		{"withdrawn upstream", "open", func(_ *Pool, u *upstream, _ *candidate) { u.lifecycle.fire(eventWithdraw) }, false},
		{"leaving upstream", "open", func(_ *Pool, u *upstream, _ *candidate) { u.lifecycle.fire(eventLeave) }, false},
		{"within backoff", "avoided", func(_ *Pool, u *upstream, c *candidate) { u.backOff(time.Unix(0, c.now)) }, false},
		{"backoff elapsed", "", func(_ *Pool, u *upstream, c *candidate) {
			u.backOff(time.Unix(0, c.now).Add(-minBackoff))
		}, true},
		{"second probe after backoff", "avoided", func(_ *Pool, u *upstream, c *candidate) {
			u.backOff(time.Unix(0, c.now).Add(-minBackoff))
			u.requests = 1
		}, false},
		{"slow upstream", "slow", func(_ *Pool, u *upstream, c *candidate) {
			u.detector.slow = true
			u.detector.nextProbe = c.now + 1
		}, false},
		{"slow upstream, probe due", "", func(_ *Pool, u *upstream, c *candidate) {
			u.detector.slow = true
			u.detector.nextProbe = c.now
		}, true},
		{"second suspect on upstream", "suspect", func(_ *Pool, u *upstream, c *candidate) {
			u.suspects = 1
			c.suspect = true
		}, false},
		{"normal request beside a suspect", "", func(_ *Pool, u *upstream, _ *candidate) { u.suspects = 1 }, true},
		{"backlog beyond the deadline", "deadline", func(_ *Pool, u *upstream, c *candidate) {
			u.estimate.addPrefill(c.now, 501)
		}, false},
		{"backlog up to the deadline", "", func(_ *Pool, u *upstream, c *candidate) {
			u.estimate.addPrefill(c.now, 499)
		}, true},
		{"backlog beyond the bound", "backlog", func(_ *Pool, u *upstream, c *candidate) {
			u.estimate.addPrefill(c.now, 2001)
			c.deadline += int64(time.Minute)
		}, false},
		{"backlog offset by a cached prefix", "", func(p *Pool, u *upstream, c *candidate) {
			u.estimate.addPrefill(c.now, 2400)
			c.deadline += int64(time.Minute)
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{400}
			p.prefixes.add(u.index, 1)
		}, true},
		{"recently reported queue", "congested", func(_ *Pool, u *upstream, c *candidate) {
			u.requests = 1
			u.load.Waiting = 3
			u.congestedUntil = c.now + 1
		}, false},
		{"expired queue report", "", func(_ *Pool, u *upstream, c *candidate) {
			u.requests = 1
			u.load.Waiting = 3
			u.congestedUntil = c.now
		}, true},
		{"request limit reached", "limits", func(_ *Pool, u *upstream, _ *candidate) { u.requests = 10 }, false},
		{"request limit reached with external requests", "limits", func(_ *Pool, u *upstream, _ *candidate) {
			u.requests = 5
			u.externalRequests = 5
		}, false},
		{"token limit exceeded", "limits", func(_ *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			u.tokens = 9401
		}, false},
		{"token limit reached exactly", "", func(_ *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			u.tokens = 9400
		}, true},
		{"cached prefix reduces needed tokens", "", func(p *Pool, u *upstream, c *candidate) {
			u.requests = 1
			u.tokens = 9800
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{400}
			p.prefixes.add(u.index, 1)
		}, true},
		{"oversized request on idle upstream", "", func(_ *Pool, _ *upstream, c *candidate) {
			c.work.OutputTokens = 20_000
		}, true},
		{"oversized request beside another", "limits", func(_ *Pool, u *upstream, c *candidate) {
			u.requests = 1
			c.work.OutputTokens = 20_000
		}, false},
		{"limit share of a quarter", "limits", func(p *Pool, u *upstream, _ *candidate) {
			p.limitShare = 0.25
			u.requests = 2
		}, false},
		{"long prompt beyond its share", "limits", func(_ *Pool, u *upstream, c *candidate) {
			c.longPrompt = true
			c.work.PromptTokens = 4000
			c.deadline += int64(time.Minute)
			u.requests = 1
			u.longPrompts = 1
			u.longPromptTokens = 901
		}, false},
		{"long prompt within its share", "", func(_ *Pool, u *upstream, c *candidate) {
			c.longPrompt = true
			c.work.PromptTokens = 4000
			c.deadline += int64(time.Minute)
			u.requests = 1
			u.longPrompts = 1
			u.longPromptTokens = 900
		}, true},
		{"cached long prompt", "", func(p *Pool, u *upstream, c *candidate) {
			c.longPrompt = true
			c.work.PromptTokens = 4000
			c.deadline += int64(time.Minute)
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{1}
			p.prefixes.add(u.index, 1)
			u.requests = 1
			u.longPrompts = 1
			u.longPromptTokens = 5000
		}, true},
		{"tokens reserved for a higher tier", "limits", func(p *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			p.models["n"].tierFor(p.queue.tierFor(2)).peakTokens = 9500
		}, false},
		{"no reservation for a lower tier", "", func(p *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			p.models["n"].tierFor(p.queue.tierFor(0)).peakTokens = 9500
		}, true},
		{"short prompt of higher tier waits", "outranked", func(p *Pool, _ *upstream, _ *candidate) {
			enqueueWaiting(p, 2, "n", classNormal)
		}, false},
		{"short prompt of lower tier waits", "", func(p *Pool, _ *upstream, _ *candidate) { enqueueWaiting(p, 0, "n", classNormal) }, true},
		{"long prompt of higher tier waits for its share", "outranked", func(p *Pool, u *upstream, _ *candidate) {
			enqueueWaiting(p, 2, "n", classLongPrompt)
			u.longPrompts = 1
			u.longPromptTokens = 4000
		}, false},
		{"long prompt of higher tier waits for room", "outranked", func(p *Pool, _ *upstream, _ *candidate) {
			enqueueWaiting(p, 2, "n", classLongPrompt)
		}, false},
		{"suspect of higher tier waits for its running copy", "", func(p *Pool, _ *upstream, _ *candidate) {
			enqueueWaiting(p, 2, "n", classSuspect)
			p.strikes.add(time.Unix(0, 0), 7, 1)
			p.strikes.addInFlight(7, 0)
		}, true},
		{"suspect of higher tier waits", "outranked", func(p *Pool, _ *upstream, _ *candidate) {
			enqueueWaiting(p, 2, "n", classSuspect)
		}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p, u, c := newTestPool()
			row.setup(p, u, c)
			c.decision = 1
			c.outranked = p.hasWaitingAbove(c.priority)
			p.prefixes.match(c.work)
			c.setUpstream(p, u)
			rejectedBy := ""
			for _, f := range p.filters {
				if !f.passes(p, c, u) {
					rejectedBy = f.name
				}
			}
			g.Expect(rejectedBy).To(Equal(row.filter))
			g.Expect(p.passes(c, u)).To(Equal(row.passes))
		})
	}
}

// Placement must take account of prefill speed, backlog, cached prefixes,
// recent prefill and decode speed.
func TestScoresPreferLowerCost(t *testing.T) {
	rows := []struct {
		name    string
		improve func(p *Pool, u *upstream, c *candidate)
	}{
		{"faster prefill", func(_ *Pool, u *upstream, _ *candidate) { u.estimate.prefillRate *= 2 }},
		{"faster decoding", func(_ *Pool, u *upstream, _ *candidate) { u.estimate.secondsPerToken /= 2 }},
		{"less backlog", func(p *Pool, _ *upstream, c *candidate) { p.upstreams["a"].estimate.addPrefill(c.now, 100) }},
		{"cached prefix that outweighs backlog", func(p *Pool, u *upstream, c *candidate) {
			u.estimate.addPrefill(c.now, 600)
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{400}
			p.prefixes.add(u.index, 1)
		}},
		{"less recent prefill", func(p *Pool, _ *upstream, c *candidate) { p.upstreams["a"].estimate.addRecentPrefill(c.now, 20_000) }},
		{"older recent prefill", func(p *Pool, u *upstream, c *candidate) {
			p.upstreams["a"].estimate.addRecentPrefill(c.now, 20_000)
			u.estimate.addRecentPrefill(c.now-int64(5*time.Minute), 20_000)
		}},
		{"cached prefix", func(p *Pool, u *upstream, c *candidate) {
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{400}
			p.prefixes.add(u.index, 1)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p, _, c := newTestPool()
			r := p.upstreams["u"].record
			a, b := r, r
			a.Name, b.Name = "a", "b"
			p.SetUpstreams(time.Unix(0, c.now), []record.Upstream{a, b})
			row.improve(p, p.upstreams["b"], c)
			p.prefixes.match(c.work)
			// Ties are broken at random, so a single draw would not show a
			// preference.
			for range 20 {
				g.Expect(p.choose(c, p.models["m"].upstreams).best.name).To(Equal("b"))
			}
		})
	}
}

// In a pool of more than maxComparedUpstreams upstreams, the only eligible upstream and
// the one that holds the prefix must still be found.
func TestLargePoolFindsOnlyEligibleAndPrefixUpstream(t *testing.T) {
	g := NewWithT(t)
	p, _, c := newTestPool()
	var records []record.Upstream
	for i := range 5 * maxComparedUpstreams {
		r := p.upstreams["u"].record
		r.Name = fmt.Sprintf("u%04d", i)
		records = append(records, r)
	}
	p.SetUpstreams(time.Unix(0, c.now), records)
	m := p.models["m"]
	holder := m.upstreams[400]
	c.work.PrefixHashes = []uint64{1}
	c.work.PrefixTokens = []int{400}
	p.prefixes.add(holder.index, 1)
	for range 10 {
		p.prefixes.match(c.work)
		g.Expect(p.choose(c, m.upstreams).best).To(Equal(holder))
	}
	for _, u := range m.upstreams {
		u.lifecycle.setLeaving(u.name != "u0300")
	}
	for range 10 {
		g.Expect(p.choose(c, m.upstreams).best.name).To(Equal("u0300"))
	}
}

// Requests in a lagging load report that were the pool's own and have ended
// must not count as external, and external requests must be counted.
func TestExternalRequestsExceedRecentPeak(t *testing.T) {
	rows := []struct {
		name             string
		elapsed          time.Duration
		reported         int
		externalRequests int
	}{
		{"own requests that have ended", 10 * time.Second, 5, 0},
		{"external requests in addition", 10 * time.Second, 8, 3},
		{"after the peak window", (peakWindowSeconds + 1) * time.Second, 5, 5},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p, u, c := newTestPool()
			now := time.Unix(0, c.now)
			for i := range 5 {
				p.startGrant(now, &grant{upstream: u, modelTier: &modelTier{tier: &tier{}}, key: requestKey{"h", string(rune('a' + i))}}, "h")
			}
			p.DropHolder(now, "h")
			p.ReportLoad(now.Add(time.Second), "u", Load{})
			now = now.Add(row.elapsed)
			p.ReportLoad(now, "u", Load{Running: row.reported, ReportedAt: now})
			g.Expect(u.externalRequests).To(Equal(row.externalRequests))
		})
	}
}

// The prefix index must stay bounded, and must keep the right entries when cache
// events arrive late or twice.
func TestPrefixIndexBoundsAndCorrections(t *testing.T) {
	g := NewWithT(t)
	index := newPrefixIndex(3)
	index.grow(2)
	for hash := uint64(1); hash <= 5; hash++ {
		index.add(0, hash)
		index.add(1, 1)
	}
	index.add(0, 3)
	index.add(0, 6)
	g.Expect(index.caches[0].slots).To(HaveLen(3))
	index.limitPerUpstream = 2
	index.add(1, 7)
	index.add(1, 1)
	index.add(1, 8)
	g.Expect(index.caches[1].slots).To(HaveLen(2))
	index.remove(1, 8)
	index.limitPerUpstream = 3
	work := &Work{PromptTokens: 90, PrefixHashes: []uint64{1, 3, 4}, PrefixTokens: []int{10, 20, 100}}
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{20, 10}))
	g.Expect(index.upstreamsByPrefix).To(HaveLen(4))
	index.applyResult(0, work, 10, false)
	index.remove(0, 3)
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{10, 10}))
	index.applyResult(1, work, 0, true)
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{10, 90}))
	index.reset(0)
	index.reset(1)
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{0, 0}))
	g.Expect(index.upstreamsByPrefix).To(BeEmpty())
}
