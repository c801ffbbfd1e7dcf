package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/worklimit"
)

// slowEngine is an engine with 16 slots that does no more work with more than 6 requests.
const (
	slowEngineSlots = 16
	slowEngineKnee  = 6.0
	stepsPerAnswer  = 150
	tokensPerEvent  = 6
)

func slowStepMs(load float64) float64 {
	return (2.89 + 0.101*math.Min(load, slowEngineKnee)) * math.Max(1, math.Pow(load/slowEngineKnee, 1.6))
}

// slowEnginePool is a pool with one slow engine and more requests than it takes.
type slowEnginePool struct {
	*admission.Pool
	now     time.Duration
	nextKey uint64
	running map[uint64]*slowAnswer
	random  *rand.Rand
	highest int
	moves   []admission.LimitMove
	work    float64
}

type slowAnswer struct {
	started           time.Duration
	remaining, stepMs float64
	ticks             int
}

func newSlowEnginePool(learn bool, incarnation int64) *slowEnginePool {
	tuning := exactTuning()
	tuning.LearnLimits = learn
	p := &slowEnginePool{
		Pool:    admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: slowEngineSlots, TokensPerEvent: tokensPerEvent}, location, tuning, seeded()),
		running: map[uint64]*slowAnswer{}, random: rand.New(rand.NewPCG(3, 4)),
	}
	p.SetUpstream(slowEngineInfo(incarnation))
	return p
}

func slowEngineInfo(incarnation int64) admission.UpstreamInfo {
	return admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: slowEngineSlots, Incarnation: incarnation}
}

// run keeps requests waiting for the given time. offered bounds the requests in progress.
func (p *slowEnginePool) run(d time.Duration, offered func(now time.Duration) int) {
	const tick = 10 * time.Millisecond
	p.highest = 0
	for end := p.now + d; p.now < end; p.now += tick {
		load := len(p.running)
		p.highest = max(p.highest, load)
		step := slowStepMs(float64(max(1, load)))
		p.work += float64(load) / step
		for key, answer := range p.running {
			answer.remaining -= 10 / step
			answer.stepMs += math.Log(step)
			answer.ticks++
			if answer.remaining > 0 {
				continue
			}
			delete(p.running, key)
			observed := math.Exp(answer.stepMs/float64(answer.ticks)) * tokensPerEvent * math.Exp(0.05*p.random.NormFloat64())
			p.Finish(p.now, "e0", key, admission.Result{
				Outcome: admission.Answered, EventInterval: time.Duration(observed * float64(time.Millisecond)), TotalTime: p.now - answer.started,
			})
		}
		for range offered(p.now) - len(p.running) - p.QueueLength() {
			p.nextKey++
			p.Submit(&admission.Request{Key: p.nextKey, Service: "llm", PromptTokens: 500, Arrived: p.now, SoftDeadline: p.now + time.Minute, Deadline: p.now + 2*time.Minute})
		}
		for _, decision := range p.Schedule(p.now) {
			if decision.Action == admission.Place {
				p.running[decision.Key] = &slowAnswer{started: p.now, remaining: stepsPerAnswer * (0.5 + p.random.Float64())}
			}
		}
		p.moves = append(p.moves, p.TakeLimitMoves()...)
	}
}

// rising is a load that rises over ten seconds.
func rising(now time.Duration) int { return min(25, 2+int(now/(400*time.Millisecond))) }

// Load pattern: an engine slows down from 6 of its 16 slots on. Guards against filling all
// slots of it, which makes every answer late and raises the work done by nothing.
func TestLearnedLimitKeepsRequestsFromASlowEngine(t *testing.T) {
	g := NewWithT(t)
	learned, fixed := newSlowEnginePool(true, 1), newSlowEnginePool(false, 1)
	for _, p := range []*slowEnginePool{learned, fixed} {
		p.run(30*time.Second, rising)
		p.work = 0
		p.run(30*time.Second, rising)
	}
	g.Expect(fixed.highest).To(Equal(slowEngineSlots+1), "without learning nothing changes")
	g.Expect(fixed.moves).To(BeEmpty())
	g.Expect(learned.highest).To(BeNumerically("<=", 11), "%v", learned.moves)
	g.Expect(learned.work).To(BeNumerically(">", 1.15*fixed.work))
}

// Guards against a limit that outlives the process it was learned of.
func TestLearnedLimitEndsWithTheProcess(t *testing.T) {
	g := NewWithT(t)
	p := newSlowEnginePool(true, 1)
	p.run(30*time.Second, rising)
	limit := func() int {
		limit := 0
		p.CollectLimitEvidence(false, func(_ admission.UpstreamInfo, evidence admission.LimitEvidence) { limit = evidence.Limit })
		return limit
	}
	g.Expect(limit()).To(BeNumerically("<", slowEngineSlots))
	p.SetUpstream(slowEngineInfo(2))
	g.Expect(limit()).To(Equal(slowEngineSlots + 1))
}

// Guards against limits of plain services, whose answer times depend on the request.
func TestLimitsAreLearnedOfEnginesOnly(t *testing.T) {
	g := NewWithT(t)
	tuning := exactTuning()
	tuning.LearnLimits = true
	pool := admission.NewPool(admission.Service{Name: "desk", Slots: 8}, location, tuning, seeded())
	pool.SetUpstream(admission.UpstreamInfo{ID: "s0", Service: "desk", Domain: "north", Slots: 8})
	pool.CollectLimitEvidence(false, func(admission.UpstreamInfo, admission.LimitEvidence) { t.Error("a limit of a plain service") })
	pool.ApplyLimitEvidence(0, "b", true, true, "s0", admission.LimitEvidence{Limit: 1})
	for key := range uint64(8) {
		pool.Submit(&admission.Request{Key: key, Service: "desk", SoftDeadline: second, Deadline: 15 * second})
	}
	g.Expect(count(placed(pool.Schedule(0)))).To(Equal(8))
}

// Guards against an instance that exceeds the limit that the deciding instance has found,
// and against one that keeps it when that instance is gone.
func TestLearnedLimitOfTheDecidingInstanceIsFollowed(t *testing.T) {
	g := NewWithT(t)
	p := newSlowEnginePool(true, 1)
	p.ApplyLimitEvidence(0, "b", true, true, "e0", admission.LimitEvidence{Limit: 5})
	for key := range uint64(17) {
		p.Submit(&admission.Request{Key: key, Service: "llm", SoftDeadline: second, Deadline: 15 * second})
	}
	g.Expect(count(placed(p.Schedule(0)))).To(Equal(5))
	counts := worklimit.Counts{Answers: 10, Load: 40, LogStep: 10}
	p.ApplyLimitEvidence(0, "b", true, false, "unknown", admission.LimitEvidence{Limit: 5, Cells: []worklimit.Reported{{Cell: 1, Counts: counts}}})
}

// Guards against forecasts by the figures of other engines: twice the prefill rate.
func TestPrefillRateIsLearned(t *testing.T) {
	g := NewWithT(t)
	tuning := exactTuning()
	tuning.LearnLimits = true
	pool := admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: 8, TokensPerEvent: 6}, location, tuning, seeded())
	pool.SetUpstream(admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8})
	random := rand.New(rand.NewPCG(8, 8))
	now := time.Duration(0)
	for key := range uint64(300) {
		tokens := 500 + random.IntN(6000)
		pool.Submit(&admission.Request{Key: key, Service: "llm", PromptTokens: tokens, Arrived: now, SoftDeadline: now + second, Deadline: now + 15*second})
		g.Expect(placed(pool.Schedule(now))).To(HaveLen(1))
		// Between two chunks of 1024 tokens runs a step of 3.3 ms.
		ms := 40 + float64(tokens)/112 + float64(tokens)/1024*3.3
		now += time.Duration(ms * float64(time.Millisecond))
		pool.LearnFirstOutput(now, "e0", key)
		pool.RecordFirstOutput("e0", key)
		now += second
		pool.Finish(now, "e0", key, admission.Result{Outcome: admission.Answered})
	}
	g.Expect(pool.PrefillTokensPerMs()).To(BeNumerically("~", 112, 15))
}
