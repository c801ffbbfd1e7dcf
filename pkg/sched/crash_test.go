package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// A crashed engine must not be probed with client requests: each would end in
// an unknown state and get a crash strike, as if it had crashed the engine.
func TestCrashedUpstreamProbedByLoadReport(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
	report := func(at time.Time) sched.Decisions {
		return p.ReportLoad(at, "a", sched.Load{Incarnation: "1", ReportedAt: at})
	}
	report(start)
	g.Expect(p.Acquire(start, request("1", 1, 100)).Grants).To(HaveLen(1))
	crashedAt := start.Add(time.Second)
	p.Release(crashedAt, sched.Result{RequestID: "1", Holder: "entry", Outcome: sched.UpstreamBroken})
	next := request("2", 1, 100)
	next.Work.Fingerprint = 2
	// A report that was under way when the engine crashed does not show that the
	// engine responds again.
	g.Expect(p.Acquire(crashedAt, next).Grants).To(BeEmpty())
	g.Expect(report(crashedAt.Add(500 * time.Millisecond)).Grants).To(BeEmpty())
	g.Expect(p.Tick(crashedAt.Add(20 * time.Second)).Grants).To(BeEmpty())
	g.Expect(report(crashedAt.Add(21 * time.Second)).Grants).To(HaveLen(1))
}

// Requests with the same fingerprint must not be granted on more than two
// upstreams before the first crash is known, and must not block other requests
// while they wait.
func TestCopiesRunOnAtMostTwoUpstreams(t *testing.T) {
	rows := []struct {
		name string
		// fingerprints are those of the requests, in order of arrival.
		fingerprints []uint64
		maxRequests  int
		grants       int
		upstreams    int
	}{
		{"one request per upstream", []uint64{7, 7, 7, 7}, 1, 2, 2},
		{"two requests per upstream", []uint64{7, 7, 7, 7, 7}, 2, 4, 2},
		{"unknown fingerprint", []uint64{0, 0, 0, 0}, 1, 4, 4},
		{"different fingerprints", []uint64{1, 2, 3, 4}, 1, 4, 4},
		{"other fingerprints after copies", []uint64{7, 7, 7, 8, 9}, 1, 4, 4},
		{"copies of two fingerprints", []uint64{7, 7, 7, 8, 8, 8}, 1, 4, 4},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New(sched.Config{})
			var records []record.Upstream
			for _, name := range []string{"a", "b", "c", "d"} {
				records = append(records, engine(name, row.maxRequests, 0))
			}
			p.SetUpstreams(start, records)
			var grants []sched.Grant
			for i, fingerprint := range row.fingerprints {
				// Later requests have lower tiers. A waiting copy must not keep
				// them from upstreams on which it may not run.
				r := request(fmt.Sprint(i), 10-i, 10)
				r.Work.Fingerprint = fingerprint
				grants = append(grants, p.Acquire(start, r).Grants...)
			}
			grants = append(grants, p.Tick(start).Grants...)
			upstreams := map[string]bool{}
			for _, grant := range grants {
				upstreams[grant.Upstream] = true
			}
			g.Expect(grants).To(HaveLen(row.grants))
			g.Expect(len(upstreams)).To(BeNumerically("<=", row.upstreams))
		})
	}
}

// Waiting copies must be granted once running copies complete, and a poison
// request sent many times at once must not crash a third upstream.
func TestWaitingCopiesAfterRunningCopiesEnd(t *testing.T) {
	rows := []struct {
		name    string
		outcome sched.Outcome
		granted int
		refused int
	}{
		{"completed", sched.Completed, 2, 0},
		{"poison", sched.UpstreamBroken, 0, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New(sched.Config{})
			p.SetUpstreams(start, []record.Upstream{engine("a", 1, 0), engine("b", 1, 0), engine("c", 1, 0), engine("d", 1, 0)})
			var grants []sched.Grant
			for i := range 4 {
				r := request(fmt.Sprint(i), 1, 10)
				r.Work.Fingerprint = 7
				grants = append(grants, p.Acquire(start, r).Grants...)
			}
			g.Expect(grants).To(HaveLen(2))
			granted, refused := 0, 0
			count := func(d sched.Decisions) {
				granted += len(d.Grants)
				for _, refusal := range d.Refusals {
					g.Expect(refusal.Kind).To(Equal(errkind.PoisonRequest))
					refused++
				}
			}
			for _, grant := range grants {
				count(p.Release(start, sched.Result{RequestID: grant.RequestID, Holder: "entry", Outcome: row.outcome}))
			}
			count(p.Tick(start.Add(time.Second)))
			g.Expect(granted).To(Equal(row.granted))
			g.Expect(refused).To(Equal(row.refused))
		})
	}
}

// A strike must stay if any copy was dispatched to the crashed upstream,
// although another copy never reached it.
func TestStrikeWithdrawnOnlyIfNoCopyDispatched(t *testing.T) {
	rows := []struct {
		name     string
		outcomes []sched.Outcome
		strikes  int
	}{
		{"neither copy dispatched", []sched.Outcome{sched.NotDispatched, sched.DialFailed}, 0},
		{"second copy dispatched", []sched.Outcome{sched.NotDispatched, sched.UpstreamBroken}, 1},
		{"first copy dispatched", []sched.Outcome{sched.UpstreamBroken, sched.NotDispatched}, 1},
		{"both copies dispatched", []sched.Outcome{sched.UpstreamBroken, sched.UpstreamBroken}, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New(sched.Config{})
			p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
			for id, fingerprint := range []uint64{5, 5, 6} {
				r := request(fmt.Sprint(id), 1, 10)
				r.Work.Fingerprint = fingerprint
				g.Expect(p.Acquire(start, r).Grants).To(HaveLen(1))
			}
			p.Release(start, sched.Result{RequestID: "2", Holder: "entry", Outcome: sched.UpstreamBroken})
			g.Expect(p.Strikes()).To(HaveKeyWithValue(uint64(5), 1))
			for id, outcome := range row.outcomes {
				p.Release(start, sched.Result{RequestID: fmt.Sprint(id), Holder: "entry", Outcome: outcome})
			}
			g.Expect(p.Strikes()[5]).To(Equal(row.strikes))
		})
	}
}

// An idle pool must schedule a tick for the expiry of strikes, not remove
// strikes early, and not keep ticks due without strikes.
func TestIdlePoolExpiresStrikes(t *testing.T) {
	rows := []struct {
		name string
		// strikeTimes are the times at which the fingerprints 1, 2 and so on
		// get a strike.
		strikeTimes []time.Duration
		// remaining are the numbers of strikes after each due tick.
		remaining []int
	}{
		{"no strikes", nil, nil},
		{"one strike", []time.Duration{0}, []int{0}},
		{"two strikes at different times", []time.Duration{0, time.Minute}, []int{1, 0}},
		{"two strikes at once", []time.Duration{0, 0}, []int{0}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New(sched.Config{StrikeTTL: time.Hour})
			p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
			for i, at := range row.strikeTimes {
				p.AddStrikes(start.Add(at), map[uint64]int{uint64(i + 1): 1})
			}
			g.Expect(p.Strikes()).To(HaveLen(len(row.strikeTimes)))
			now := start
			for _, remaining := range row.remaining {
				due := p.NextTick()
				g.Expect(due).To(BeTemporally(">", now))
				p.Tick(due.Add(-time.Nanosecond))
				g.Expect(p.Strikes()).NotTo(HaveLen(remaining))
				g.Expect(p.NextTick()).To(Equal(due))
				now = due
				p.Tick(now)
				g.Expect(p.Strikes()).To(HaveLen(remaining))
			}
			g.Expect(p.NextTick()).To(BeZero())
		})
	}
}

// An engine that accepts requests and never answers must not be granted requests
// up to its limit, where they would all hang.
func TestUnresponsiveUpstreamRunsOneRequestAtATime(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 8, 0)})
	p.ReportLoad(start, "a", sched.Load{Incarnation: "1", ReportedAt: start})
	later := start.Add(10 * time.Second)
	first, second := request("1", 1, 100), request("2", 1, 100)
	second.Work.Fingerprint = 2
	g.Expect(p.Acquire(later, first).Grants).To(HaveLen(1))
	g.Expect(p.Acquire(later, second).Grants).To(BeEmpty())
	d := p.ReportLoad(later.Add(time.Second), "a", sched.Load{Incarnation: "1", ReportedAt: later})
	g.Expect(d.Grants).To(HaveLen(1))
}

// Requests whose prompts share a prefix, but that are not copies, crash one upstream after
// another. Guards against strikes that never add up, and against refusing requests that
// share only the beginning of the prefix.
func TestPromptPrefixThatCrashesUpstreamsIsRefused(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	var records []record.Upstream
	for i := range 8 {
		records = append(records, engine(fmt.Sprint("engine", i), 4, 0))
	}
	p.SetUpstreams(start, records)
	sent := 0
	acquire := func(at time.Time, prefixes ...uint64) (string, sched.Decisions) {
		sent++
		r := request(fmt.Sprint(sent), 1, 100)
		r.Deadline = at.Add(time.Minute)
		r.Work.Fingerprint = uint64(1000 + sent)
		own := uint64(5000 + sent)
		r.Work.PrefixHashes, r.Work.PrefixTokens = append(slices.Clone(prefixes), own), []int{20, 60, 90}[:len(prefixes)+1]
		return r.ID, p.Acquire(at, r)
	}
	crashes := 0
	for second := range 6 {
		at := start.Add(time.Duration(second) * time.Second)
		if id, poisonous := acquire(at, 1, 66); len(poisonous.Grants) == 1 {
			crashes++
			p.Release(at.Add(200*time.Millisecond), sched.Result{RequestID: id, Holder: "entry", Outcome: sched.UpstreamBroken})
		} else {
			g.Expect(poisonous.Refusals).To(HaveLen(1))
			g.Expect(poisonous.Refusals[0].Kind).To(Equal(errkind.PoisonRequest))
		}
		for range 2 {
			id, sound := acquire(at.Add(500*time.Millisecond), 1)
			g.Expect(sound.Grants).To(HaveLen(1))
			p.Release(at.Add(900*time.Millisecond), sched.Result{RequestID: id, Holder: "entry", Outcome: sched.Completed})
		}
	}
	g.Expect(crashes).To(Equal(3))
}
