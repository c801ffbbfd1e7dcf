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

// Guards against results that depend on anything but the configuration, such as
// map iteration order, and against requests without an outcome.
func TestRunIsDeterministicAndAccountsForEveryRequest(t *testing.T) {
	for _, policy := range sched.Policies() {
		t.Run(policy, func(t *testing.T) {
			g := NewWithT(t)
			var encoded [2][]byte
			for i := range encoded {
				result, err := Run(RunConfig{"domain-lost", "flottakert", policy, 3, 0})
				g.Expect(err).NotTo(HaveOccurred())
				encoded[i], err = json.Marshal(result)
				g.Expect(err).NotTo(HaveOccurred())
				for tier, r := range result.Tiers {
					accountedFor := r.Good + r.Late + r.Failed
					for _, count := range r.Refused {
						accountedFor += count
					}
					g.Expect(accountedFor).To(Equal(r.Offered), "tier %d", tier)
					g.Expect(r.Offered).To(BeNumerically(">", 100), "tier %d", tier)
				}
			}
			g.Expect(encoded[0]).To(Equal(encoded[1]))
		})
	}
}

// Guards against scenarios that fail to run and against errors in the report.
func TestEveryScenarioRuns(t *testing.T) {
	g := NewWithT(t)
	results, err := RunAll(Options{
		Scenarios: Scenarios(), Workloads: Workloads()[:1], Policies: sched.Policies()[:2], SeedCount: 1, Parallelism: 2,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results).To(HaveLen(2 * len(scenarios)))
	var out bytes.Buffer
	g.Expect(WriteTable(&out, results)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("against the best baseline"))
	_, err = Run(RunConfig{"none", "flottakert", sched.PolicyRandom, 1, 0})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a count of priority inversions that misses a request overtaken
// by a lower tier, or includes one that the engine could not have served.
func TestMarkOvertakenOnlyRequestsTheEngineCouldServe(t *testing.T) {
	cases := []struct {
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
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := &engine{prefillRate: 1000, slowdown: 1, models: []string{"m"}}
			e.cache = prefixCache{entries: map[string]*list.Element{}, onChange: func(string, int, bool) {}}
			e.cache.store("prefix", c.cached)
			class := &requestClass{tier: c.tier, model: c.model, firstTokenTimeout: 2 * time.Second}
			queued := &simulatedRequest{arrival: &arrival{class: class, prefixID: "prefix", prefixTokens: c.cached, promptTokens: c.prompt}}
			s := &simulation{queued: map[*simulatedRequest]struct{}{queued: {}}}
			s.loop.now = c.now
			s.markOvertaken(&simulatedRequest{arrival: &arrival{class: &requestClass{tier: tierLow}}}, e)
			g.Expect(queued.overtaken).To(Equal(c.overtaken))
		})
	}
}

// Guards against requests with long prompts that are queued until their deadline while
// lower tiers are granted engines that could serve these long prompts, which breaks the
// tier order (label G2 in test/failure). After half of the engines have crashed, long
// prompts nearly always take up their whole share of the token limits
// (sched.Config.LongPromptShare), so that another long prompt does not fit on an engine
// that still has room for requests of lower tiers.
func TestLongPromptsAreNotShedBeforeLowerTiers(t *testing.T) {
	g := NewWithT(t)
	result, err := Run(RunConfig{"domain-lost", "kifaru", sched.PolicyRosemarywing, 1, 0})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Tiers[tierNormal].Refused).NotTo(BeEmpty())
	for tier, r := range result.Tiers {
		g.Expect(r.PriorityInversions).To(BeZero(), "tier %d", tier)
	}
}

// Guards against an engine model that is faster than its rates allow, or that
// prefills a short prompt before a long one that arrived earlier.
func TestEngineModelsContinuousBatching(t *testing.T) {
	g := NewWithT(t)
	var loop eventLoop
	e := &engine{loop: &loop, prefillRate: 1000, decodeRate: 10, slowdown: 1, onPrefillCompleted: func(*job) {}}
	e.cache = prefixCache{entries: map[string]*list.Element{}, onChange: func(string, int, bool) {}}
	var firstOutputs, completions []time.Duration
	submit := func(prefix string, prompt int) {
		e.submit(&job{
			arrival:       &arrival{index: len(firstOutputs), prefixID: prefix, prefixTokens: 500, promptTokens: prompt, outputTokens: 2},
			onFirstOutput: func() { firstOutputs = append(firstOutputs, loop.now) },
			onCompleted:   func() { completions = append(completions, loop.now) },
		})
	}
	submit("a", 5000)
	submit("b", 600)
	loop.run(func() bool { return false })
	// The short prompt is completed in the same step as the long one.
	g.Expect(firstOutputs).To(Equal([]time.Duration{5600 * time.Millisecond, 5600 * time.Millisecond}))
	g.Expect(completions).To(HaveLen(2))
	g.Expect(completions[1] - firstOutputs[1]).To(BeNumerically("~", 106*time.Millisecond, time.Microsecond))
	resubmittedAt := loop.now
	submit("a", 1000)
	loop.run(func() bool { return false })
	g.Expect(firstOutputs[2] - resubmittedAt).To(Equal(500 * time.Millisecond))
}
