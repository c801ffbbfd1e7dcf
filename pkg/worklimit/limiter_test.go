package worklimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/worklimit"
)

const (
	tick           = 10 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// reportDelay is the age of the loads that instances see of each other.
	reportDelay = 200 * time.Millisecond
	slots       = 16
	ceiling     = slots + 1
)

// healthy is the step time of an engine that takes all of its slots well.
func healthy(load float64) float64 { return 2.89 + 0.101*load }

// slowFrom returns the step time of an engine that does no more work above a load.
func slowFrom(knee float64) func(load float64) float64 {
	return func(load float64) float64 {
		return healthy(math.Min(load, knee)) * math.Max(1, math.Pow(load/knee, 1.6))
	}
}

// simulation runs requests at one upstream for some instances, which see each other's
// load and evidence late.
type simulation struct {
	*GomegaWithT
	random   *rand.Rand
	now      time.Duration
	step     func(load float64) float64
	speed    float64
	noise    float64
	tokens   float64
	limiters []*worklimit.Limiter
	loads    []*worklimit.LoadHistory
	// share is the part of the requests that arrive at the first instance; the others
	// get equal parts. A negative value gives all the same.
	share float64
	// offered is the load that the callers would use without a limit. varying lets it
	// change slowly between a quarter and all of it.
	offered float64
	varying bool
	running []runningAnswer
	// decider is the instance whose limit the others follow; below 0 if each decides.
	decider int
	// past holds the load at the last ticks.
	past []int
	// reports are the evidence on its way.
	reports []report
	// moves are those of the instance that decides, with their times.
	moves []timedMove
	// work is the sum over time of load divided by step time; peak is the highest load.
	work float64
	peak int
}

type runningAnswer struct {
	instance  int
	started   time.Duration
	remaining float64
	worked    float64
}

type timedMove struct {
	at time.Duration
	worklimit.Move
}

type report struct {
	arrives  time.Duration
	sender   int
	evidence worklimit.Evidence
	limit    int
}

func newSimulation(t *testing.T, instances int) *simulation {
	t.Helper()
	s := &simulation{GomegaWithT: NewWithT(t), random: rand.New(rand.NewPCG(41, 7)), step: healthy, speed: 1, noise: 0.08, tokens: 150, share: -1, offered: 30, varying: true}
	for range instances {
		s.limiters = append(s.limiters, worklimit.New(ceiling))
		s.loads = append(s.loads, &worklimit.LoadHistory{})
	}
	return s
}

// run advances the simulation and returns the lowest and highest limit of any instance
// in that time.
func (s *simulation) run(d time.Duration) (lowest, highest int) {
	lowest, highest = ceiling, 0
	for end := s.now + d; s.now < end; s.now += tick {
		s.runTick()
		for _, l := range s.limiters {
			lowest, highest = min(lowest, l.Limit()), max(highest, l.Limit())
		}
	}
	return lowest, highest
}

func (s *simulation) runTick() {
	load := len(s.running)
	s.past = append(s.past, load)
	seen := s.past[max(0, len(s.past)-1-int(reportDelay/tick))]
	stepMs := s.step(float64(max(1, load))) / s.speed
	s.work += float64(load) / stepMs
	s.peak = max(s.peak, load)
	kept := s.running[:0]
	for _, a := range s.running {
		a.remaining -= 10 / stepMs
		a.worked += 10 * math.Log(stepMs)
		if a.remaining > 0 {
			kept = append(kept, a)
			continue
		}
		s.finish(a)
	}
	s.running = kept
	for i, l := range s.limiters {
		s.loads[i].Record(s.now, seen)
		if move, moved := l.Evaluate(s.now); moved {
			s.moves = append(s.moves, timedMove{s.now, move})
		}
	}
	offered := s.offered
	if s.varying {
		offered *= 0.625 + 0.375*math.Sin(2*math.Pi*s.now.Seconds()/7)
	}
	for len(s.running) < int(offered) {
		instance := s.pickInstance()
		if len(s.running) >= s.limiters[instance].Limit() {
			break
		}
		s.running = append(s.running, runningAnswer{instance: instance, started: s.now, remaining: s.tokens * (0.5 + s.random.Float64())})
	}
	s.exchangeReports()
}

func (s *simulation) pickInstance() int {
	n := len(s.limiters)
	switch {
	case s.share < 0:
		return s.random.IntN(n)
	case s.random.Float64() < s.share:
		return 0
	}
	return 1 + s.random.IntN(n-1)
}

func (s *simulation) finish(a runningAnswer) {
	mean, ok := s.loads[a.instance].Mean(a.started, s.now)
	if !ok {
		return
	}
	duration := float64(s.now-a.started)/float64(time.Millisecond) + 10
	observed := math.Exp(a.worked/duration) * math.Exp(s.noise*s.random.NormFloat64())
	s.limiters[a.instance].Observe(s.now, mean, time.Duration(observed*float64(time.Millisecond)), s.now-a.started)
}

func (s *simulation) exchangeReports() {
	if s.now%reportInterval == 0 {
		for i, l := range s.limiters {
			s.reports = append(s.reports, report{arrives: s.now + reportDelay, sender: i, evidence: l.Own(), limit: l.Limit()})
		}
	}
	for len(s.reports) > 0 && s.reports[0].arrives <= s.now {
		r := s.reports[0]
		s.reports = s.reports[1:]
		for i, l := range s.limiters {
			if i == r.sender {
				continue
			}
			l.Merge(s.now, fmt.Sprint(r.sender), true, reported(r.evidence))
			if r.sender == s.decider {
				l.Follow(s.now, r.limit)
			}
		}
	}
}

func reported(evidence worklimit.Evidence) []worklimit.Reported {
	var cells []worklimit.Reported
	for cell, counts := range evidence {
		if counts.Answers > 0 {
			cells = append(cells, worklimit.Reported{Cell: cell, Counts: counts})
		}
	}
	return cells
}

// meanLimit advances the simulation and returns the mean limit at an instance.
func (s *simulation) meanLimit(instance int, d time.Duration) float64 {
	sum, samples := 0.0, 0
	for end := s.now + d; s.now < end; samples++ {
		s.run(tick)
		sum += float64(s.limiters[instance].Limit())
	}
	return sum / float64(samples)
}

// workOver returns the work per millisecond done in the given time.
func (s *simulation) workOver(d time.Duration) float64 {
	before := s.work
	s.run(d)
	return (s.work - before) * float64(tick) / float64(d)
}

// Guards against a change for services whose upstreams take all their slots well.
func TestLimitOfAHealthyUpstreamStaysAtTheCeiling(t *testing.T) {
	for _, speed := range []float64{0.55, 1, 2.8} {
		for _, noise := range []float64{0, 0.08, 0.2} {
			s := newSimulation(t, 8)
			s.speed, s.noise = speed, noise
			atCeiling, ticks := 0, 0
			for range 1200 {
				s.run(100 * time.Millisecond)
				ticks++
				if s.limiters[0].Limit() == ceiling {
					atCeiling++
				}
			}
			s.Expect(float64(atCeiling)/float64(ticks)).To(BeNumerically(">", 0.9), "speed %v, noise %v: %v", speed, noise, s.moves)
		}
	}
}

// Guards against requests at an upstream that only slow each other down.
func TestLimitFindsTheLoadFromWhichAnUpstreamSlowsDown(t *testing.T) {
	for _, speed := range []float64{0.55, 1, 2.8} {
		for _, knee := range []float64{4, 8} {
			if speed < 1 && knee < 8 {
				// An answer takes 9 s there, and the limit a minute.
				continue
			}
			s := newSimulation(t, 8)
			s.speed, s.step = speed, slowFrom(knee)
			s.run(20 * time.Second)
			s.Expect(s.meanLimit(3, 30*time.Second)).To(BeNumerically("~", knee+1, 3), "speed %v, knee %v: %v", speed, knee, s.moves)
		}
	}
}

// Guards against a limit that costs work. Ranges of two requests and the trials keep the
// work below that of the best fixed limit; without a limit it is a third less.
func TestLimitRaisesTheWorkDone(t *testing.T) {
	best := 0.0
	for load := 1.0; load <= ceiling; load++ {
		best = math.Max(best, load/slowFrom(8)(load))
	}
	full := ceiling / slowFrom(8)(ceiling)
	s := newSimulation(t, 8)
	s.step, s.varying = slowFrom(8), false
	// The load reaches the ceiling over some seconds, as it does after a start.
	for s.offered = 2; s.offered < 30; s.offered++ {
		s.run(time.Second / 2)
	}
	s.run(20 * time.Second)
	work := s.workOver(30 * time.Second)
	s.Expect(work).To(BeNumerically(">", 0.8*best), "%v", s.moves)
	s.Expect(work).To(BeNumerically(">", 1.2*full))
}

// Guards against a change of speed that is taken for an effect of the load: the answers at
// low loads are from before the change, those at high loads from after it.
func TestLimitFollowsAStepChangeOfSpeed(t *testing.T) {
	for _, factor := range []float64{0.4, 0.7, 1.5, 2.5} {
		s := newSimulation(t, 8)
		s.run(20 * time.Second)
		s.speed = factor
		s.run(6 * time.Second)
		atCeiling := 0
		for range 200 {
			s.run(100 * time.Millisecond)
			if s.limiters[2].Limit() == ceiling {
				atCeiling++
			}
		}
		s.Expect(atCeiling).To(BeNumerically(">", 160), "one trial of a lower load in 20 s; factor %v: %v", factor, s.moves)
	}
}

// Guards against a limit that stays when its cause has gone, and one that comes late.
func TestLimitFollowsAnUpstreamThatTurnsSlowAndRecovers(t *testing.T) {
	s := newSimulation(t, 8)
	s.run(20 * time.Second)
	s.step = slowFrom(6)
	s.run(10 * time.Second)
	s.Expect(s.meanLimit(0, 10*time.Second)).To(BeNumerically("<=", 13), "%v", s.moves)
	s.run(20 * time.Second)
	s.step = healthy
	s.run(30 * time.Second)
	s.Expect(s.limiters[0].Limit()).To(Equal(ceiling), "%v", s.moves)
}

// Guards against limits that depend on the length of answers, which is no load.
func TestLimitIgnoresTheLengthOfAnswers(t *testing.T) {
	s := newSimulation(t, 8)
	s.run(20 * time.Second)
	for _, tokens := range []float64{900, 40, 400} {
		s.tokens = tokens
		s.Expect(s.meanLimit(0, 25*time.Second)).To(BeNumerically(">", 0.85*ceiling), "tokens %v: %v", tokens, s.moves)
	}
	for _, move := range s.moves {
		s.Expect(move.Reason).NotTo(Equal(worklimit.NoGain), "%v", s.moves)
	}
}

// Guards against instances with few requests of their own that keep the ceiling while all
// others know better: one that follows another, and one that decides for all.
func TestInstanceWithFewRequestsUsesThePooledEvidence(t *testing.T) {
	for _, decider := range []int{0, 1} {
		s := newSimulation(t, 8)
		s.step, s.share, s.decider = slowFrom(8), 0.002, decider
		s.run(30 * time.Second)
		s.Expect(s.meanLimit(0, 30*time.Second)).To(BeNumerically("~", 9, 3), "%v", s.moves)
		own := uint32(0)
		for _, counts := range s.limiters[0].Own() {
			own += counts.Answers
		}
		s.Expect(own).To(BeNumerically("<", 12), "the instance has few answers of its own")
	}
}

// Guards against callers who pay for the loss of the instance that decides: each one then
// decides by the evidence of all.
func TestLimitsHoldWhenTheDecidingInstanceIsLost(t *testing.T) {
	s := newSimulation(t, 8)
	s.step = slowFrom(8)
	s.run(30 * time.Second)
	s.decider = -1
	s.run(5 * time.Second)
	s.Expect(s.meanLimit(3, 30*time.Second)).To(BeNumerically("<=", 13), "%v", s.moves)
}

// Guards against instances that lower and raise their limits together, again and again.
func TestLimitsDoNotOscillateWhenAllFollowTheSameEvidence(t *testing.T) {
	s := newSimulation(t, 40)
	s.step = slowFrom(8)
	s.run(60 * time.Second)
	s.moves = nil
	within, samples := 0, 0
	for ; samples < 600; samples++ {
		lowest, highest := s.run(100 * time.Millisecond)
		if lowest >= 7 && highest <= 11 {
			within++
		}
	}
	s.Expect(within).To(BeNumerically(">", samples*3/4), "%v", s.moves)
	perInstance := float64(len(s.moves)) / float64(len(s.limiters))
	s.Expect(perInstance).To(BeNumerically("<=", 16), "a trial and its end every 8 s at most: %v", s.moves)
}

// Guards against trials of a higher load that cost callers much.
func TestTrialsCostLittleWork(t *testing.T) {
	s := newSimulation(t, 8)
	s.step, s.varying = slowFrom(8), true
	s.run(60 * time.Second)
	s.peak = 0
	s.run(60 * time.Second)
	s.Expect(s.peak).To(BeNumerically("<=", 13))
}

// Guards against an instance that starts at the ceiling while the others have a limit.
func TestLimitOfAPeerIsAdoptedWithoutEvidenceOnly(t *testing.T) {
	g := NewWithT(t)
	started := worklimit.New(ceiling)
	started.Adopt(0, 7)
	move, moved := started.Evaluate(time.Second)
	g.Expect(moved).To(BeTrue())
	g.Expect(move.Reason).To(Equal(worklimit.Adopted))
	g.Expect(started.Limit()).To(BeNumerically("~", 7, 2))
	experienced := worklimit.New(ceiling)
	experienced.Observe(0, 3, 3*time.Millisecond, time.Second)
	experienced.Adopt(0, 7)
	g.Expect(experienced.Limit()).To(Equal(ceiling))
}

// Guards against an old limit of a relay that is gone.
func TestFollowedLimitHoldsWhileItIsRenewed(t *testing.T) {
	g := NewWithT(t)
	l := worklimit.New(ceiling)
	l.Follow(0, 7)
	for i := range 40 {
		l.Observe(time.Duration(i)*100*time.Millisecond, float64(4+i%2*2), 3*time.Millisecond, time.Second)
	}
	_, moved := l.Evaluate(2 * time.Second)
	g.Expect(moved).To(BeFalse())
	move, moved := l.Evaluate(4 * time.Second)
	g.Expect(moved).To(BeTrue())
	g.Expect(move.Reason).To(Equal(worklimit.Probe))
}

// Guards against reports that are lost, late, doubled, or of a peer that has restarted.
func TestMergeCountsEachAnswerOnce(t *testing.T) {
	g := NewWithT(t)
	l := worklimit.New(ceiling)
	merge := func(peer string, local bool, cell int, answers uint32) {
		l.Merge(0, peer, local, []worklimit.Reported{{Cell: cell, Counts: worklimit.Counts{Answers: answers, Load: 4 * float64(answers), LogStep: float64(answers)}}})
	}
	for _, answers := range []uint32{100, 103, 103, 110, 2, 5} {
		merge("a", true, 1, answers)
	}
	g.Expect(l.Domain()[1].Answers).To(Equal(uint32(3 + 7 + 3)))
	merge("b", false, 1, 1)
	merge("b", false, 1, 9)
	g.Expect(l.Domain()[1].Answers).To(Equal(uint32(13)), "peers of other domains are not reported on")
	merge("a", true, 2, 4)
	g.Expect(l.Domain()[2].Answers).To(Equal(uint32(4)), "a new load at a known peer")
	merge("a", true, 3, 4000)
	g.Expect(l.Domain()[3].Answers).To(BeZero(), "an old load at a known peer")
	for _, cell := range []int{-1, worklimit.MaxCells, 1000} {
		merge("a", true, cell, 7)
	}
	l.Merge(0, "a", true, []worklimit.Reported{{Cell: 1, Counts: worklimit.Counts{Answers: 50, Load: math.NaN(), LogStep: math.Inf(1)}}})
	g.Expect(l.Domain()[1].Answers).To(Equal(uint32(13)))
}

// Guards against ceilings below the number of cells, and senseless observations.
func TestLimitIsWithinItsBounds(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, top := range []int{0, 1, 2, 5, 8, 9, 65, 4000} {
		l := worklimit.New(top)
		g.Expect(l.Limit()).To(Equal(max(1, top)))
		for i := range 3000 {
			now := time.Duration(i) * 50 * time.Millisecond
			l.Observe(now, float64(top)*random.Float64()*1.5-0.1, time.Duration((random.Float64()-0.1)*float64(5*time.Millisecond)), time.Duration(random.IntN(1e10)))
			l.Evaluate(now)
			g.Expect(l.Limit()).To(And(BeNumerically(">=", 1), BeNumerically("<=", max(1, top))))
		}
	}
}

// Guards against the load at the end of an answer being taken for that during it.
func TestLoadHistoryAveragesOverAnAnswer(t *testing.T) {
	g := NewWithT(t)
	var h worklimit.LoadHistory
	_, ok := h.Mean(0, time.Second)
	g.Expect(ok).To(BeFalse())
	h.Record(0, 10)
	h.Record(time.Second, 2)
	mean, ok := h.Mean(0, 1900*time.Millisecond)
	g.Expect(ok).To(BeTrue())
	g.Expect(mean).To(BeNumerically("~", 6, 0.01))
	h.Record(time.Hour, 4)
	mean, ok = h.Mean(time.Hour-time.Second, time.Hour-100*time.Millisecond)
	g.Expect(ok).To(BeTrue())
	g.Expect(mean).To(BeNumerically("~", 2, 0.01))
	_, ok = h.Mean(time.Hour-time.Minute, time.Hour)
	g.Expect(ok).To(BeFalse(), "the history is 12.8 s long")
}

// Guards against forecasts for engines with other figures than those of the defaults.
func TestCalibrationFindsThePrefillRate(t *testing.T) {
	for _, rate := range []float64{55, 112} {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(5, 5))
		var c worklimit.Calibration
		_, _, ok := c.Figures()
		g.Expect(ok).To(BeFalse())
		for range 400 {
			tokens := 200 + random.IntN(8000)
			ms := (20 + float64(tokens)/rate) * math.Exp(0.1*random.NormFloat64())
			if random.Float64() < 0.01 {
				ms *= 20
			}
			c.Observe(tokens, time.Duration(ms*float64(time.Millisecond)))
		}
		perToken, _, ok := c.Figures()
		g.Expect(ok).To(BeTrue())
		g.Expect(1 / perToken).To(BeNumerically("~", rate, 0.2*rate))
		var sameLength worklimit.Calibration
		for range 400 {
			sameLength.Observe(1000, 40*time.Millisecond)
		}
		_, _, ok = sameLength.Figures()
		g.Expect(ok).To(BeFalse(), "prompts of one length do not show the rate")
	}
}
