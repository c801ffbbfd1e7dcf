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
