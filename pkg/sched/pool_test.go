package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

var start = time.Unix(1_700_000_000, 0)

func engine(name string, maxRequests, maxTokens int) record.Upstream {
	return record.Upstream{
		Name: name, Type: record.TypeEngine, Models: []string{"m@1"},
		MaxRequests: maxRequests, MaxTokens: maxTokens,
		PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 50,
	}
}

func request(id string, tier, prompt int) sched.Request {
	return sched.Request{
		ID: id, Holder: "entry", Deadline: start.Add(time.Minute),
		Work: sched.Work{Tier: tier, Team: "team", Model: "m", PromptTokens: prompt, OutputTokens: 10},
	}
}

// Every policy name must be selectable, and every policy must grant a request
// on an idle pool.
func TestEveryPolicyGrantsOnIdlePool(t *testing.T) {
	for _, policy := range sched.Policies() {
		t.Run(policy, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New(sched.Config{Policy: policy})
			p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0), engine("b", 4, 0)})
			d := p.Acquire(start, request("1", 1, 100))
			g.Expect(d.Refusals).To(BeEmpty())
			g.Expect(d.Grants).To(HaveLen(1))
			g.Expect(d.Grants[0].Upstream).To(BeElementOf("a", "b"))
		})
	}
}

// A request that crashes every upstream that runs it must be refused after two
// crashes, also when it is sent again under new IDs. Requests that were in
// flight beside it must not be blocked.
func TestPoisonRequestRunsAtMostTwice(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 8, 0), engine("b", 8, 0), engine("c", 8, 0), engine("d", 8, 0)})
	crashes, concurrentCount := 0, 0
	now := start
	for attempt := range 6 {
		now = now.Add(5 * time.Second)
		poison := request(fmt.Sprint("poison", attempt), 1, 100)
		poison.Work.Fingerprint = 13
		d := p.Acquire(now, poison)
		if len(d.Grants) == 0 {
			g.Expect(d.Refusals).To(HaveLen(1))
			g.Expect(d.Refusals[0].Kind).To(Equal(errkind.PoisonRequest))
			continue
		}
		poisoned := d.Grants[0].Upstream
		concurrent := acquireConcurrent(p, now, poisoned, attempt)
		concurrentCount += len(concurrent)
		crashes++
		for _, id := range append(concurrent, poison.ID) {
			p.Release(now, sched.Result{RequestID: id, Holder: "entry", Outcome: sched.UpstreamBroken})
		}
	}
	g.Expect(crashes).To(Equal(2))
	g.Expect(concurrentCount).To(BeNumerically(">", 0))
	for fingerprint, count := range p.Strikes() {
		g.Expect(count).To(Equal(map[bool]int{true: 2, false: 1}[fingerprint == 13]), "fingerprint %d", fingerprint)
	}
}

// acquireConcurrent acquires grants for further requests, each with a
// fingerprint of its own. It returns the IDs of those granted on the given
// upstream and cancels those granted on others.
func acquireConcurrent(p *sched.Pool, now time.Time, upstream string, attempt int) []string {
	var onUpstream, elsewhere []string
	for i := range 12 {
		r := request(fmt.Sprint("r", attempt, "-", i), 1, 100)
		r.Work.Fingerprint = uint64(1000*attempt + 100 + i)
		for _, grant := range p.Acquire(now, r).Grants {
			if grant.Upstream == upstream {
				onUpstream = append(onUpstream, r.ID)
				continue
			}
			elsewhere = append(elsewhere, r.ID)
		}
	}
	for _, id := range elsewhere {
		p.Cancel(now, "entry", id)
	}
	return onUpstream
}

// One team must not starve the others of its tier, and weights must be
// respected.
func TestWeightedFairShareWithinTier(t *testing.T) {
	g := NewWithT(t)
	weights := map[string]int{"greedy": 1, "light": 1, "heavy": 2}
	p := sched.New(sched.Config{Weight: func(team string) int { return weights[team] }})
	p.SetUpstreams(start, []record.Upstream{engine("a", 1, 0)})
	running := p.Acquire(start, request("first", 1, 100)).Grants[0].RequestID
	add := func(team string, count int) {
		for i := range count {
			r := request(fmt.Sprint(team, i), 1, 100)
			r.Work.Team = team
			p.Acquire(start, r)
		}
	}
	add("greedy", 200)
	add("light", 40)
	add("heavy", 40)
	served := map[string]int{}
	for range 40 {
		d := p.Release(start, sched.Result{RequestID: running, Holder: "entry", Outcome: sched.NotDispatched})
		g.Expect(d.Grants).To(HaveLen(1))
		running = d.Grants[0].RequestID
		served[strings.TrimRight(running, "0123456789")]++
	}
	g.Expect(served).To(Equal(map[string]int{"greedy": 10, "light": 10, "heavy": 20}))
}

// Under overload, requests must not all be served just before their deadlines;
// without overload they must be served in order of arrival.
func TestTeamQueueOrderUnderOverload(t *testing.T) {
	rows := []struct {
		waited time.Duration
		newest int
		served string
	}{
		{40 * time.Second, 100, "oldest"},
		{50 * time.Second, 100, "newest"},
		{50 * time.Second, 101, "middle"},
	}
	for _, row := range rows {
		t.Run(row.served, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New(sched.Config{})
			p.SetUpstreams(start, []record.Upstream{engine("a", 1, 0)})
			p.Acquire(start, request("running", 1, 100))
			p.Acquire(start, request("oldest", 1, 100))
			p.Acquire(start.Add(time.Second), request("middle", 1, 100))
			p.Acquire(start.Add(2*time.Second), request("newest", 1, row.newest))
			d := p.Cancel(start.Add(row.waited), "entry", "running")
			g.Expect(d.Grants).To(ConsistOf(HaveField("RequestID", row.served)))
		})
	}
}

// Requests that miss their deadline are cancelled, not completed. Cancelled
// requests must correct the estimate, too.
func TestCancelledRequestsCorrectEstimate(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
	now := start
	for i := range 20 {
		r := request(fmt.Sprint(i), 1, 100)
		r.Deadline = now.Add(time.Second)
		if d := p.Acquire(now, r); len(d.Refusals) > 0 {
			g.Expect(d.Refusals[0].Kind).To(Equal(errkind.DeadlineUnmeetable))
			return
		}
		now = now.Add(time.Second)
		p.Release(now, sched.Result{RequestID: r.ID, Holder: "entry", Outcome: sched.Cancelled, Total: time.Second})
	}
	t.Error("request still granted after 20 requests missed the same deadline")
}

// Prefixes that the prefix index lists but the upstream has evicted must lower the
// cache hit rate, or prefill work would be underestimated.
func TestMispredictedPrefixesLowerCacheHitRate(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
	uncached := 0
	for i := range 30 {
		r := request(fmt.Sprint(i), 1, 3000)
		r.Work.PrefixHashes = []uint64{9}
		r.Work.PrefixTokens = []int{2000}
		now := start.Add(time.Duration(i) * time.Second)
		uncached = p.Acquire(now, r).Grants[0].UncachedTokens
		if i == 1 {
			g.Expect(uncached).To(Equal(1000))
		}
		p.Release(now, sched.Result{RequestID: r.ID, Holder: "entry", Outcome: sched.Completed})
	}
	g.Expect(uncached).To(BeNumerically(">", 2800))
}

// A full queue must refuse the newest request of the heaviest team in the
// lowest tier.
func TestFullQueueShedsLowestTierAndHeaviestTeam(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{MaxQueuedRequests: 3})
	p.SetUpstreams(start, []record.Upstream{engine("a", 1, 0)})
	p.Acquire(start, request("running", 1, 100))
	acquire := func(id string, tier int, team string) []string {
		r := request(id, tier, 100)
		r.Work.Team = team
		var refused []string
		for _, refusal := range p.Acquire(start, r).Refusals {
			g.Expect(refusal.Kind).To(Equal(errkind.Overloaded))
			refused = append(refused, refusal.RequestID)
		}
		return refused
	}
	g.Expect(acquire("low1", 1, "big")).To(BeEmpty())
	g.Expect(acquire("low2", 1, "big")).To(BeEmpty())
	g.Expect(acquire("low3", 1, "small")).To(BeEmpty())
	g.Expect(acquire("low4", 1, "small")).To(ConsistOf("low2"))
	g.Expect(acquire("high1", 2, "big")).To(ConsistOf("low4"))
	g.Expect(acquire("high2", 2, "big")).To(ConsistOf("low1"))
	g.Expect(acquire("high3", 2, "big")).To(ConsistOf("low3"))
	g.Expect(acquire("low5", 1, "tiny")).To(ConsistOf("low5"))
	g.Expect(acquire("high4", 2, "small")).To(ConsistOf("high3"))
}

// A request of a higher tier that cannot meet its deadline must not be refused
// early while a lower tier waits, and must be refused at its deadline.
func TestUnmeetableRequestKeptWhileLowerTierWaits(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{MaxPrefillBacklog: time.Minute})
	p.SetUpstreams(start, []record.Upstream{engine("a", 2, 0)})
	p.Acquire(start, request("running", 1, 20_000))
	p.Acquire(start, request("running too", 1, 20_000))
	p.Acquire(start, request("low", 1, 100))
	unmeetable := request("high", 2, 100)
	unmeetable.Deadline = start.Add(time.Second)
	g.Expect(p.Acquire(start, unmeetable).Refusals).To(BeEmpty())
	g.Expect(p.Tick(start.Add(995 * time.Millisecond)).Refusals).To(BeEmpty())
	g.Expect(p.Tick(start.Add(time.Second)).Refusals).To(ConsistOf(HaveField("Kind", errkind.DeadlineExceeded)))
	p.Cancel(start, "entry", "low")
	unmeetable.ID = "high again"
	unmeetable.Deadline = start.Add(2 * time.Second)
	refused := p.Acquire(start.Add(time.Second), unmeetable).Refusals
	g.Expect(refused).To(ConsistOf(HaveField("Kind", errkind.DeadlineUnmeetable)))
}

// Two copies of a request whose fingerprint has a crash strike must not run at
// once, as they could crash two upstreams, and a request that never reached the
// crashed upstream must not keep its strike.
func TestSuspectRunsOneCopyAtATime(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
	first, second := request("1", 1, 100), request("2", 1, 100)
	first.Work.Fingerprint = 5
	second.Work.Fingerprint = 6
	p.Acquire(start, first)
	p.Acquire(start, second)
	p.Release(start, sched.Result{RequestID: "2", Holder: "entry", Outcome: sched.UpstreamBroken})
	g.Expect(p.Strikes()).To(Equal(map[uint64]int{5: 1, 6: 1}))
	p.Release(start, sched.Result{RequestID: "1", Holder: "entry", Outcome: sched.NotDispatched})
	g.Expect(p.Strikes()).To(Equal(map[uint64]int{6: 1}))

	p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0), engine("b", 4, 0), engine("c", 4, 0)})
	first.Work.Fingerprint = 6
	g.Expect(p.Acquire(start, first).Grants).To(HaveLen(1))
	g.Expect(p.Acquire(start, second).Grants).To(BeEmpty())
	d := p.Release(start, sched.Result{RequestID: "1", Holder: "entry", Outcome: sched.Completed})
	g.Expect(p.Strikes()).To(BeEmpty())
	g.Expect(append(d.Grants, p.Tick(start).Grants...)).To(HaveLen(1))
}

// A restart must add strikes to the requests that were in flight, and none to
// those granted after it.
func TestRestartStrikesInFlightRequests(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
	report := func(at time.Duration, incarnation string) {
		p.ReportLoad(start.Add(at), "a", sched.Load{Incarnation: incarnation, ReportedAt: start.Add(at)})
	}
	acquire := func(at time.Duration, fingerprint uint64) {
		r := request(fmt.Sprint(fingerprint), 1, 100)
		r.Work.Fingerprint = fingerprint
		p.Acquire(start.Add(at), r)
	}
	report(0, "1")
	acquire(time.Second, 5)
	report(2*time.Second, "1")
	acquire(3*time.Second, 6)
	report(4*time.Second, "2")
	report(3*time.Second, "1")
	g.Expect(p.Strikes()).To(Equal(map[uint64]int{5: 1}))
}
