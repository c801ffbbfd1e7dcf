package bench

import (
	"bytes"
	"container/list"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Guards against a result that depends on anything but the seed, such as the
// order of a map, and against requests that are lost.
func TestRunsAreDeterministicAndLoseNothing(t *testing.T) {
	for _, policy := range sched.Policies() {
		t.Run(policy, func(t *testing.T) {
			g := NewWithT(t)
			var texts [2][]byte
			for i := range texts {
				result, err := Run(Task{"domain-lost", "flottakert", policy, 3, 0})
				g.Expect(err).NotTo(HaveOccurred())
				texts[i], err = json.Marshal(result)
				g.Expect(err).NotTo(HaveOccurred())
				for tier, r := range result.Tiers {
					ends := r.Good + r.Late + r.Failed
					for _, count := range r.Refused {
						ends += count
					}
					g.Expect(ends).To(Equal(r.Offered), "tier %d", tier)
					g.Expect(r.Offered).To(BeNumerically(">", 100), "tier %d", tier)
				}
			}
			g.Expect(texts[0]).To(Equal(texts[1]))
		})
	}
}

// Guards against scenarios that do not run, and against a report that fails.
func TestEveryScenarioRuns(t *testing.T) {
	g := NewWithT(t)
	results, err := RunAll(Options{
		Scenarios: Scenarios(), Workloads: Workloads()[:1], Policies: sched.Policies()[:2], Seeds: 1, Parallel: 2,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results).To(HaveLen(2 * len(scenarios)))
	var out bytes.Buffer
	g.Expect(WriteTable(&out, results)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("against the best baseline"))
	_, err = Run(Task{"none", "flottakert", sched.PolicyRandom, 1, 0})
	g.Expect(err).To(HaveOccurred())
}

// Guards against an account of inverted tiers that misses a request overtaken
// by a lower tier, or counts one that the engine could not have served.
func TestOvertakenRequestsAreThoseThatTheEngineCouldServe(t *testing.T) {
	rows := []struct {
		name      string
		model     string
		tier      int
		prompt    int
		cached    int
		now       time.Duration
		overtaken bool
	}{
		{"in time", "m", tierNormal, 1000, 0, 0, true},
		{"other model", "n", tierNormal, 1000, 0, 0, false},
		{"same tier", "m", tierLow, 1000, 0, 0, false},
		{"too long for the engine", "m", tierNormal, 5000, 0, 0, false},
		{"too late for the engine", "m", tierNormal, 1000, 0, 1500 * time.Millisecond, false},
		{"long, but cached", "m", tierNormal, 5000, 4500, 0, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			e := &engine{prefill: 1000, slowdown: 1, models: []string{"m"}}
			e.cache = promptCache{entries: map[string]*list.Element{}, changed: func(string, int, bool) {}}
			e.cache.store("prefix", row.cached)
			class := &requestClass{tier: row.tier, model: row.model, deadline: 2 * time.Second}
			high := &inFlight{arrival: &arrival{class: class, prefixID: "prefix", prefixTokens: row.cached, promptTokens: row.prompt}}
			w := &world{waiting: map[*inFlight]struct{}{high: {}}}
			w.loop.now = row.now
			w.overtake(&inFlight{arrival: &arrival{class: &requestClass{tier: tierLow}}}, e)
			g.Expect(high.overtaken).To(Equal(row.overtaken))
		})
	}
}

// Guards against long reads that end at their deadline while lower tiers are
// granted the engines that they wait for (G2). The share of long reads is full
// throughout this run after half of the engines are lost.
func TestLongReadsAreNotShedBeforeLowerTiers(t *testing.T) {
	g := NewWithT(t)
	result, err := Run(Task{"domain-lost", "kifaru", sched.PolicyRosemarywing, 1, 0})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Tiers[tierNormal].Refused).NotTo(BeEmpty())
	for tier, r := range result.Tiers {
		g.Expect(r.Inverted).To(BeZero(), "tier %d", tier)
	}
}

// Guards against an engine model that serves faster than its speed allows, or
// that gives short requests priority over a long read that came first.
func TestEngineModelsContinuousBatching(t *testing.T) {
	g := NewWithT(t)
	var l loop
	e := &engine{loop: &l, prefill: 1000, decode: 10, slowdown: 1, prefillDone: func(*job) {}}
	e.cache = promptCache{entries: map[string]*list.Element{}, changed: func(string, int, bool) {}}
	var firsts, ends []time.Duration
	submit := func(prefix string, prompt int) {
		e.submit(&job{
			arrival: &arrival{index: len(firsts), prefixID: prefix, prefixTokens: 500, promptTokens: prompt, outputTokens: 2},
			first:   func() { firsts = append(firsts, l.now) },
			done:    func() { ends = append(ends, l.now) },
		})
	}
	submit("a", 5000)
	submit("b", 600)
	l.run(func() bool { return false })
	// The short request's prefill ends with the long one's last chunk.
	g.Expect(firsts).To(Equal([]time.Duration{5600 * time.Millisecond, 5600 * time.Millisecond}))
	g.Expect(ends).To(HaveLen(2))
	g.Expect(ends[1] - firsts[1]).To(BeNumerically("~", 106*time.Millisecond, time.Microsecond))
	started := l.now
	submit("a", 1000)
	l.run(func() bool { return false })
	g.Expect(firsts[2] - started).To(Equal(500 * time.Millisecond))
}
