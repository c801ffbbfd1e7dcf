package sched

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// fixture returns a pool with one engine of 10 requests and 10,000 tokens, that
// prefills 1,000 tokens per second, and a short request with a second left.
func fixture() (*Pool, *upstream, *candidate) {
	p := New(Config{LongTokens: 4000, MaxBacklog: 2 * time.Second})
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

func wait(p *Pool, tier int, modelName string, group class) {
	t := p.queue.tierFor(tier)
	scope := p.models[modelName].tierOf(t)
	p.queue.push(&waiting{
		request: Request{ID: "w", Work: Work{Fingerprint: 7}}, key: requestKey{"h", "w"}, tier: t, scope: scope,
		group: &scope.groups[group], account: t.accountFor("team", 1), holder: p.holderFor("h"),
	})
}

// Guards against a filter that lets through what it is there to reject, and
// against one that rejects an upstream in ordinary condition.
func TestFilters(t *testing.T) {
	type setup = func(p *Pool, u *upstream, c *candidate)
	rows := []struct {
		name   string
		filter string
		setup  setup
		passes bool
	}{
		{"ordinary", "", func(*Pool, *upstream, *candidate) {}, true},
		{"withdrawn", "open", func(_ *Pool, u *upstream, _ *candidate) { u.life.fire(eventWithdraw) }, false},
		{"leaving", "open", func(_ *Pool, u *upstream, _ *candidate) { u.life.fire(eventLeave) }, false},
		{"failed now", "avoided", func(_ *Pool, u *upstream, c *candidate) { u.avoid(time.Unix(0, c.now)) }, false},
		{"failed before", "", func(_ *Pool, u *upstream, c *candidate) {
			u.avoid(time.Unix(0, c.now).Add(-firstBackoff))
		}, true},
		{"second probe after a failure", "avoided", func(_ *Pool, u *upstream, c *candidate) {
			u.avoid(time.Unix(0, c.now).Add(-firstBackoff))
			u.requests = 1
		}, false},
		{"slow", "slow", func(_ *Pool, u *upstream, c *candidate) {
			u.detector.slow = true
			u.detector.nextProbe = c.now + 1
		}, false},
		{"slow, probe due", "", func(_ *Pool, u *upstream, c *candidate) {
			u.detector.slow = true
			u.detector.nextProbe = c.now
		}, true},
		{"second suspect", "suspect", func(_ *Pool, u *upstream, c *candidate) {
			u.suspects = 1
			c.suspect = true
		}, false},
		{"beside a suspect", "", func(_ *Pool, u *upstream, _ *candidate) { u.suspects = 1 }, true},
		{"backlog beyond the deadline", "deadline", func(_ *Pool, u *upstream, c *candidate) {
			u.estimate.start(c.now, 501)
		}, false},
		{"backlog up to the deadline", "", func(_ *Pool, u *upstream, c *candidate) {
			u.estimate.start(c.now, 499)
		}, true},
		{"backlog beyond the bound", "backlog", func(_ *Pool, u *upstream, c *candidate) {
			u.estimate.start(c.now, 2001)
			c.deadline += int64(time.Minute)
		}, false},
		{"backlog that a cached prefix makes up for", "", func(p *Pool, u *upstream, c *candidate) {
			u.estimate.start(c.now, 2400)
			c.deadline += int64(time.Minute)
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{400}
			p.prefixes.add(u.index, 1)
		}, true},
		{"queue reported", "congested", func(_ *Pool, u *upstream, c *candidate) {
			u.requests = 1
			u.load.Waiting = 3
			u.congestedUntil = c.now + 1
		}, false},
		{"queue reported before", "", func(_ *Pool, u *upstream, c *candidate) {
			u.requests = 1
			u.load.Waiting = 3
			u.congestedUntil = c.now
		}, true},
		{"no request left", "limits", func(_ *Pool, u *upstream, _ *candidate) { u.requests = 10 }, false},
		{"reported surplus", "limits", func(_ *Pool, u *upstream, _ *candidate) {
			u.requests = 5
			u.foreign = 5
		}, false},
		{"no tokens left", "limits", func(_ *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			u.tokens = 9401
		}, false},
		{"just enough tokens", "", func(_ *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			u.tokens = 9400
		}, true},
		{"cached prompt needs fewer", "", func(p *Pool, u *upstream, c *candidate) {
			u.requests = 1
			u.tokens = 9800
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{400}
			p.prefixes.add(u.index, 1)
		}, true},
		{"oversized alone", "", func(_ *Pool, _ *upstream, c *candidate) {
			c.work.OutputTokens = 20_000
		}, true},
		{"oversized beside another", "limits", func(_ *Pool, u *upstream, c *candidate) {
			u.requests = 1
			c.work.OutputTokens = 20_000
		}, false},
		{"quarter share", "limits", func(p *Pool, u *upstream, _ *candidate) {
			p.share = 0.25
			u.requests = 2
		}, false},
		{"long beyond its share", "limits", func(_ *Pool, u *upstream, c *candidate) {
			c.long = true
			c.work.PromptTokens = 4000
			c.deadline += int64(time.Minute)
			u.requests = 1
			u.longs = 1
			u.longTokens = 901
		}, false},
		{"long within its share", "", func(_ *Pool, u *upstream, c *candidate) {
			c.long = true
			c.work.PromptTokens = 4000
			c.deadline += int64(time.Minute)
			u.requests = 1
			u.longs = 1
			u.longTokens = 900
		}, true},
		{"long, but cached", "", func(p *Pool, u *upstream, c *candidate) {
			c.long = true
			c.work.PromptTokens = 4000
			c.deadline += int64(time.Minute)
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{1}
			p.prefixes.add(u.index, 1)
			u.requests = 1
			u.longs = 1
			u.longTokens = 5000
		}, true},
		{"reserved for a higher tier", "limits", func(p *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			p.models["n"].tierOf(p.queue.tierFor(2)).peak = 9500
		}, false},
		{"lower tier reserves nothing", "", func(p *Pool, u *upstream, _ *candidate) {
			u.requests = 1
			p.models["n"].tierOf(p.queue.tierFor(0)).peak = 9500
		}, true},
		{"higher short waits", "outranked", func(p *Pool, _ *upstream, _ *candidate) {
			wait(p, 2, "n", classShort)
		}, false},
		{"lower waits", "", func(p *Pool, _ *upstream, _ *candidate) { wait(p, 0, "n", classShort) }, true},
		{"higher long waits for its share", "outranked", func(p *Pool, u *upstream, _ *candidate) {
			wait(p, 2, "n", classLong)
			u.longs = 1
			u.longTokens = 4000
		}, false},
		{"higher long waits for room", "outranked", func(p *Pool, _ *upstream, _ *candidate) {
			wait(p, 2, "n", classLong)
		}, false},
		{"higher suspect waits for its copy", "", func(p *Pool, _ *upstream, _ *candidate) {
			wait(p, 2, "n", classSuspect)
			p.strikes.add(time.Unix(0, 0), 7, 1)
			p.strikes.start(7, 0)
		}, true},
		{"higher suspect waits", "outranked", func(p *Pool, _ *upstream, _ *candidate) {
			wait(p, 2, "n", classSuspect)
		}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p, u, c := fixture()
			row.setup(p, u, c)
			c.decision = 1
			c.outranked = p.waitsAbove(c.priority)
			p.prefixes.match(c.work)
			c.consider(p, u)
			rejecting := ""
			for _, f := range p.filters {
				if !f.passes(p, c, u) {
					rejecting = f.name
				}
			}
			g.Expect(rejecting).To(Equal(row.filter))
			g.Expect(p.passes(c, u)).To(Equal(row.passes))
		})
	}
}

// Guards against a placement that ignores speed, queued prefill, cached
// prefixes or decode speed.
func TestScoresPreferTheCheaperUpstream(t *testing.T) {
	rows := []struct {
		name    string
		improve func(p *Pool, u *upstream, c *candidate)
	}{
		{"faster prefill", func(_ *Pool, u *upstream, _ *candidate) { u.estimate.prefillRate *= 2 }},
		{"faster decoding", func(_ *Pool, u *upstream, _ *candidate) { u.estimate.tokenTime /= 2 }},
		{"less backlog", func(p *Pool, _ *upstream, c *candidate) { p.upstreams["a"].estimate.start(c.now, 100) }},
		{"cached prefix worth a wait", func(p *Pool, u *upstream, c *candidate) {
			u.estimate.start(c.now, 600)
			c.work.PrefixHashes = []uint64{1}
			c.work.PrefixTokens = []int{400}
			p.prefixes.add(u.index, 1)
		}},
		{"less stored lately", func(p *Pool, _ *upstream, c *candidate) { p.upstreams["a"].estimate.store(c.now, 20_000) }},
		{"stored longer ago", func(p *Pool, u *upstream, c *candidate) {
			p.upstreams["a"].estimate.store(c.now, 20_000)
			u.estimate.store(c.now-int64(5*time.Minute), 20_000)
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
			p, _, c := fixture()
			r := p.upstreams["u"].record
			a, b := r, r
			a.Name, b.Name = "a", "b"
			p.SetUpstreams(time.Unix(0, c.now), []record.Upstream{a, b})
			row.improve(p, p.upstreams["b"], c)
			p.prefixes.match(c.work)
			// Ties are broken at random, so one draw would prove nothing.
			for range 20 {
				g.Expect(p.choose(c, p.models["m"].upstreams).best.name).To(Equal("b"))
			}
		})
	}
}

// Guards against a bound on the comparison that misses the only upstream with
// room, or the one that holds the prefix.
func TestALargePoolIsSearchedFarEnough(t *testing.T) {
	g := NewWithT(t)
	p, _, c := fixture()
	var records []record.Upstream
	for i := range 5 * comparedUpstreams {
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
		u.life.report(u.name != "u0300")
	}
	for range 10 {
		g.Expect(p.choose(c, m.upstreams).best.name).To(Equal("u0300"))
	}
}

// Guards against a lagging load report whose requests are our own and have
// ended since, and against one that hides the requests of others.
func TestOnlyASurplusOverOurRecentPeakIsForeign(t *testing.T) {
	rows := []struct {
		name     string
		elapsed  time.Duration
		reported int
		foreign  int
	}{
		{"own requests, ended since", 10 * time.Second, 5, 0},
		{"others beside them", 10 * time.Second, 8, 3},
		{"long after", (peakSeconds + 1) * time.Second, 5, 5},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p, u, c := fixture()
			now := time.Unix(0, c.now)
			for i := range 5 {
				p.begin(now, &grant{upstream: u, use: &modelTier{tier: &tier{}}, key: requestKey{"h", string(rune('a' + i))}}, "h")
			}
			p.DropHolder(now, "h")
			p.ReportLoad(now.Add(time.Second), "u", Load{})
			now = now.Add(row.elapsed)
			p.ReportLoad(now, "u", Load{Running: row.reported, ReportedAt: now})
			g.Expect(u.foreign).To(Equal(row.foreign))
		})
	}
}

// Guards against an index that grows without bound, and against one that keeps
// or forgets the wrong entries when events come late or twice.
func TestPrefixIndexIsBoundedAndCorrected(t *testing.T) {
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
	index.limit = 2
	index.add(1, 7)
	index.add(1, 1)
	index.add(1, 8)
	g.Expect(index.caches[1].slots).To(HaveLen(2))
	index.remove(1, 8)
	index.limit = 3
	work := &Work{PromptTokens: 90, PrefixHashes: []uint64{1, 3, 4}, PrefixTokens: []int{10, 20, 100}}
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{20, 10}))
	g.Expect(index.holders).To(HaveLen(4))
	index.learn(0, work, 10, false)
	index.remove(0, 3)
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{10, 10}))
	index.learn(1, work, 0, true)
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{10, 90}))
	index.reset(0)
	index.reset(1)
	index.match(work)
	g.Expect(index.cached).To(Equal([]int{0, 0}))
	g.Expect(index.holders).To(BeEmpty())
}
