// Package worklimit finds how many concurrent requests an upstream takes well, from the
// pace of its own answers. It has no I/O and reads no clock.
//
// The evidence is the time of one output step, by the number of requests that ran at the
// upstream meanwhile. Requests divided by step time is the work that the engine does per
// time. The limit is the load above which further requests hardly raise that rate. Only
// ratios count, so that the speed of an upstream and the unit of its steps do not matter.
package worklimit

import (
	"math"
	"time"
)

// MaxCells is the number of ranges of load for which evidence is kept.
const MaxCells = 8

// Weights and bounds of the evidence.
const (
	// minGain is the least part of the gain of a perfectly parallel engine that further
	// requests must bring: with the figures of the known engines, filling the second half
	// of 64 slots brings a third.
	minGain = 0.2
	// minWeight is the number of answers at a load before it can be found to be too high.
	minWeight = 6.0
	// maxWeight bounds the weight of a cell, so that a change of shape shows within
	// some tens of answers. Weights halve in halfLife.
	maxWeight = 40.0
	halfLife  = 20 * time.Second
	// minCompared is the weight below which a cell is not compared with others.
	minCompared = 0.5
	// outdatedWeight is the weight of a cell's step time once the speed has changed, or once it
	// is to be found anew.
	outdatedWeight = 0.9
	// significance is the number of standard errors by which a gain must be too small.
	// Each cell is compared with up to seven others.
	significance = 2.5
	// levelGain is the part of a deviation that is taken for a change of the upstream's
	// speed at all loads. The remainder is taken for a change at the present load.
	levelGain = 0.1
	// driftPerSecond is the variance, per second since its last answer, by which the
	// logarithm of the step time of a cell becomes uncertain.
	driftPerSecond = 0.0004
	// cellVariance is the variance of the logarithm of the step time within a cell, by its
	// load, and by errors of the load. Answers of one time share them.
	cellVariance = 0.01
	// minDeviation is the least standard deviation of the logarithm of a step time.
	minDeviation = 0.03
	// deviationWeight is the weight of an answer in the estimated variance, and
	// initialVariance the value before the first.
	deviationWeight = 0.02
	initialVariance = 0.01
	// evaluationInterval is the shortest time between two evaluations.
	evaluationInterval = 100 * time.Millisecond
	// A load that was found to be too high is tried again after minHold. The time
	// doubles, up to maxHold, each time it is found to be too high again.
	// It is at least holdDurations times the duration of an answer.
	minHold       = 3 * time.Second
	maxHold       = 24 * time.Second
	holdDurations = 2
	// Under a load that is always at the limit, there is no lower one to compare with. The
	// limit is then lowered to dipShare of itself until answers at the lower load are
	// known, for dipDurations times the duration of an answer at most, and not again
	// within dipInterval unless it has to stay lower. saturatedWeight is the weight of the
	// evidence at the limit before that.
	dipShare        = 0.6
	dipDurations    = 3
	minDip          = 2 * time.Second
	maxDip          = 12 * time.Second
	dipInterval     = 30 * time.Second
	saturatedWeight = 8.0
	// comparedAge is the age up to which an answer at a lower load serves as comparison,
	// if it is between minComparedShare and maxComparedShare of the load at the limit.
	comparedAge      = 15 * time.Second
	minComparedShare = 0.25
	maxComparedShare = 0.8
	// durationWeight is the weight of an answer in the mean duration.
	durationWeight = 0.1
	// followTimeout is several times the interval of the views that hold the limits.
	followTimeout = 3 * time.Second
	// maxPeers bounds the peers whose counts are kept.
	maxPeers = 256
	// maxCountedAnswers bounds the weight of what one report of a peer adds. More answers
	// in the first report on a cell are older than that report.
	maxCountedAnswers = 64
	// minStepMs and maxStepMs bound the step times that are taken for evidence.
	minStepMs = 0.01
	maxStepMs = 10_000
)

// Counts are sums over answers since the start of the process that counted them.
type Counts struct {
	Answers uint32
	// Load is the sum of the concurrent requests, and LogStep that of the natural
	// logarithms of the step times in milliseconds.
	Load, LogStep float64
}

// Evidence holds counts by range of load.
type Evidence [MaxCells]Counts

// cell is the evidence at a range of load.
type cell struct {
	weight, load, logStep float64
	updated               time.Duration
}

func (c *cell) weightAt(now time.Duration) float64 {
	return c.weight * math.Exp2(-float64(max(0, now-c.updated))/float64(halfLife))
}

// Reason states why a limit has moved.
type Reason string

// Reasons.
const (
	// NoGain means that the upstream does hardly more work at a higher load.
	NoGain Reason = "more requests hardly raise the work done"
	// Probe means that a load that was too high before is tried again.
	Probe Reason = "a higher load is tried again"
	// Gain means that the upstream takes the load that was tried.
	Gain Reason = "the load that was tried is taken well"
	// Adopted means that the limit is that of a peer, for want of evidence.
	Adopted Reason = "limit of a peer adopted"
	// Dip means that a lower load is tried, for want of a comparison.
	Dip Reason = "a lower load is tried for comparison"
	// DipOver means that the limit is as before that.
	DipOver Reason = "the trial of a lower load has ended"
	// Changed means that the speed has changed, so that a higher load is tried at once.
	Changed Reason = "the speed has changed"
)

// Move is a change of the limit.
type Move struct {
	From, To int
	Reason   Reason
	// Load and Step are the mean load and step time at which the limit was found; 0 if
	// it was not found from answers.
	Load float64
	Step time.Duration
}

// Limiter finds the limit of one process of an upstream.
type Limiter struct {
	ceiling, count int
	cells          [MaxCells]cell
	variance       float64
	duration       time.Duration
	// settledAt is the time from which answers do not span a change of speed any more.
	settledAt time.Duration
	chart     chart
	own       Evidence
	domain    Evidence
	peers     map[string]*Evidence
	// allowed is the number of cells up to the limit. Those above are not used before
	// blockedUntil; hold is how long they are not used when the load is too high again.
	allowed      int
	blockedUntil time.Duration
	hold         time.Duration
	// climbing is true while loads above the limit are tried one after the other.
	climbing bool
	// Before dipUntil, the limit is lowered to dip cells; nextDip is the time of the next.
	dip      int
	dipUntil time.Duration
	nextDip  time.Duration
	// followedUntil is the time until which the limit of another instance holds.
	followedUntil time.Duration
	evaluatedAt   time.Duration
	// seen is true once there was an answer; pending is the reason of the next move.
	seen    bool
	pending Reason
}

// New returns a limiter without evidence. Its limit is ceiling, which it never exceeds.
func New(ceiling int) *Limiter {
	count := max(1, min(MaxCells, ceiling))
	return &Limiter{ceiling: max(1, ceiling), count: count, allowed: count, variance: initialVariance, hold: minHold, peers: map[string]*Evidence{}}
}

// Ceiling returns the limit without evidence.
func (l *Limiter) Ceiling() int { return l.ceiling }

// Limit returns the number of concurrent requests, of all instances, that the upstream
// takes well.
func (l *Limiter) Limit() int {
	if l.dip > 0 {
		return l.edge(l.dip)
	}
	return l.edge(l.allowed)
}

// edge returns the highest load of the first n cells.
func (l *Limiter) edge(n int) int { return max(1, (n*l.ceiling+l.count-1)/l.count) }

// cellOf returns the cell of a load.
func (l *Limiter) cellOf(load float64) int {
	for i := range l.count {
		if load <= float64(l.edge(i+1)) {
			return i
		}
	}
	return l.count - 1
}

// Observe adds an answer. load is the mean number of concurrent requests, of all
// instances, while its output was generated, step the time of one output step, and
// duration that of the whole answer.
func (l *Limiter) Observe(now time.Duration, load float64, step, duration time.Duration) {
	stepMs := float64(step) / float64(time.Millisecond)
	if load <= 0 || stepMs < minStepMs || stepMs > maxStepMs {
		return
	}
	if l.duration == 0 {
		l.duration = duration
	}
	l.duration += time.Duration(durationWeight * float64(duration-l.duration))
	i := l.cellOf(load)
	added := Counts{Answers: 1, Load: load, LogStep: math.Log(stepMs)}
	l.own[i] = l.own[i].plus(added)
	l.domain[i] = l.domain[i].plus(added)
	l.add(now, i, added)
}

// Reported are the counts of a peer at one cell.
type Reported struct {
	Cell   int
	Counts Counts
}

// Merge adds what a peer has counted since its last report, which may omit cells without
// new answers. The first report of a peer only shows where its counts begin. local is true
// for a peer of the own failure domain, whose answers are then part of Domain.
func (l *Limiter) Merge(now time.Duration, peer string, local bool, reported []Reported) {
	last, known := l.peers[peer]
	if !known {
		if len(l.peers) >= maxPeers {
			clear(l.peers)
		}
		last = &Evidence{}
		l.peers[peer] = last
	}
	for _, r := range reported {
		if r.Cell < 0 || r.Cell >= l.count || r.Counts.Answers == 0 {
			continue
		}
		begun := last[r.Cell].Answers > 0 || r.Counts.Answers <= maxCountedAnswers
		added, ok := r.Counts.minus(last[r.Cell])
		last[r.Cell] = r.Counts
		if !known || !begun || !ok {
			continue
		}
		l.add(now, r.Cell, added)
		if local {
			l.domain[r.Cell] = l.domain[r.Cell].plus(added)
		}
	}
}

// Forget drops the counts of a peer that is lost. Its evidence stays.
func (l *Limiter) Forget(peer string) { delete(l.peers, peer) }

// Adopt takes the limit of a peer if there is no evidence here.
func (l *Limiter) Adopt(now time.Duration, limit int) {
	if l.seen || limit <= 0 || limit >= l.ceiling || l.allowed < l.count {
		return
	}
	l.allowed = l.cellOf(float64(limit)) + 1
	l.blockedUntil, l.pending = now+l.hold, Adopted
}

// Follow takes the limit of the instance that decides for this one, which knows more
// answers. The evidence here decides again followTimeout after the last call.
func (l *Limiter) Follow(now time.Duration, limit int) {
	if limit <= 0 {
		return
	}
	l.allowed = l.cellOf(float64(limit)) + 1
	l.followedUntil = now + followTimeout
	l.blockedUntil, l.climbing, l.dip = l.followedUntil, false, 0
}

// Own returns the counts of the answers that were passed to Observe, and Domain those
// together with the ones of the peers of the own failure domain.
func (l *Limiter) Own() Evidence { return l.own }

// Domain returns the counts of the whole failure domain.
func (l *Limiter) Domain() Evidence { return l.domain }

func (c Counts) plus(other Counts) Counts {
	return Counts{Answers: c.Answers + other.Answers, Load: c.Load + other.Load, LogStep: c.LogStep + other.LogStep}
}

// minus returns the difference to earlier counts, and false if they are not earlier or
// the difference is no evidence.
func (c Counts) minus(earlier Counts) (Counts, bool) {
	if c.Answers <= earlier.Answers {
		return Counts{}, false
	}
	added := Counts{Answers: c.Answers - earlier.Answers, Load: c.Load - earlier.Load, LogStep: c.LogStep - earlier.LogStep}
	n := float64(added.Answers)
	mean := added.LogStep / n
	return added, added.Load > 0 && mean >= math.Log(minStepMs) && mean <= math.Log(maxStepMs)
}

// add updates the evidence of a cell by the mean of some answers.
func (l *Limiter) add(now time.Duration, i int, added Counts) {
	l.seen = true
	n := float64(added.Answers)
	load, logStep := added.Load/n, added.LogStep/n
	n = min(n, maxCountedAnswers)
	c := &l.cells[i]
	weight := c.weightAt(now)
	if weight >= minCompared {
		deviation := logStep - c.logStep
		expected := l.variance*(1/n+1/weight) + driftPerSecond*max(0, (now-c.updated).Seconds())
		shift, changed := l.chart.add(deviation, math.Sqrt(expected+cellVariance))
		if changed {
			l.changeLevel(now, shift)
		} else {
			// A cell with little evidence says little about the level of all.
			shift = deviation * levelGain * weight / (weight + minWeight)
			l.shiftLevel(shift)
		}
		deviation -= shift
		// A single outlier raises the variance to no more than four times its value.
		squared := min(deviation*deviation/(1/n+1/weight), outlier*outlier*l.variance)
		l.variance = max(minDeviation*minDeviation, l.variance+deviationWeight*(squared-l.variance))
		c.logStep += deviation * n / (n + weight)
		c.load += (load - c.load) * n / (n + weight)
	} else {
		c.logStep, c.load, weight = logStep, load, 0
	}
	c.weight, c.updated = min(maxWeight, weight+n), now
	if now < l.settledAt {
		c.weight = min(c.weight, outdatedWeight)
	}
}

// shiftLevel changes the expected step time at all loads.
func (l *Limiter) shiftLevel(logFactor float64) {
	for i := range l.cells {
		l.cells[i].logStep += logFactor
	}
}

// changeLevel follows a sudden change of the upstream's speed. The shape of the curve is
// kept with little weight, and a load that was too high is tried again soon.
func (l *Limiter) changeLevel(now time.Duration, logFactor float64) {
	l.shiftLevel(logFactor)
	for i := range l.cells {
		l.cells[i].weight = min(l.cells[i].weightAt(now), outdatedWeight)
		l.cells[i].updated = now
	}
	l.nextDip, l.settledAt = now, now+l.duration
	l.hold = minHold
	if l.allowed < l.count && l.blockedUntil > now+minHold {
		l.blockedUntil, l.pending = now+minHold, Changed
	}
}

// Evaluate moves the limit. It returns the move, and true if the limit has changed.
func (l *Limiter) Evaluate(now time.Duration) (Move, bool) {
	if now-l.evaluatedAt < evaluationInterval || now < l.followedUntil {
		return Move{}, false
	}
	l.evaluatedAt = now
	from := l.Limit()
	if l.pending == Adopted {
		l.pending = ""
		return Move{From: l.ceiling, To: from, Reason: Adopted}, from != l.ceiling
	}
	bad, last := l.firstTooHigh(now)
	if bad >= l.allowed {
		// Answers that began before the limit was lowered, or a trial by another instance,
		// which makes one by this instance unnecessary.
		l.forgetFrom(bad)
		if now < l.blockedUntil {
			l.blockedUntil = now + l.hold
		}
		bad = 0
	}
	move := Move{From: from}
	switch {
	case bad > 0:
		c := &l.cells[bad]
		move.Reason, move.Load, move.Step = NoGain, c.load, fromMs(math.Exp(c.logStep))
		l.block(now, bad, last)
	case l.dip > 0:
		if now < l.dipUntil && l.cells[l.dip-1].weightAt(now) < minWeight {
			return Move{}, false
		}
		l.dip, move.Reason = 0, DipOver
	case l.needsDip(now):
		l.dip = max(1, int(float64(l.allowed)*dipShare))
		l.dipUntil, l.nextDip = now+max(minDip, min(maxDip, dipDurations*l.duration)), now+dipInterval
		l.cells[l.dip-1].weight = min(l.cells[l.dip-1].weight, outdatedWeight)
		move.Reason = Dip
	case l.mayTryMore(now):
		move.Reason = l.tryMore()
	default:
		return Move{}, false
	}
	move.To = l.Limit()
	return move, move.From != move.To
}

// block lowers the limit below cell bad. last is the highest cell below it with
// much evidence.
func (l *Limiter) block(now time.Duration, bad, last int) {
	if bad == l.allowed-1 && l.blockedUntil > 0 {
		l.hold = min(maxHold, 2*l.hold)
	} else {
		l.hold = minHold
	}
	// If the loads in between are unknown, the limit is in the middle of them.
	l.allowed = last + 1 + (bad-last-1)/2
	// Answers that began at the higher load are still to come.
	l.blockedUntil, l.climbing, l.pending = now+max(l.hold, holdDurations*l.duration), false, ""
	l.dip, l.nextDip = 0, now
	l.forgetFrom(bad)
}

// needsDip reports whether the load has long been at the limit, so that no answers at a
// lower load are known.
func (l *Limiter) needsDip(now time.Duration) bool {
	top := &l.cells[l.allowed-1]
	if l.allowed < 2 || now < l.nextDip || top.weightAt(now) < saturatedWeight {
		return false
	}
	for i := range l.allowed - 1 {
		c := &l.cells[i]
		if c.weightAt(now) >= 1 && now-c.updated < comparedAge && c.load >= top.load*minComparedShare && c.load <= top.load*maxComparedShare {
			return false
		}
	}
	return true
}

// mayTryMore reports whether the next cell may be used: the load has reached the limit,
// is taken well, and no higher one was found to be too high recently.
func (l *Limiter) mayTryMore(now time.Duration) bool {
	top := &l.cells[l.allowed-1]
	if l.allowed == l.count || now < l.blockedUntil || top.weightAt(now) < minWeight {
		return false
	}
	for i := range l.allowed - 1 {
		if margin, _, ok := l.margin(now, &l.cells[i], top); ok && margin < 0 {
			return false
		}
	}
	return true
}

func (l *Limiter) tryMore() Reason {
	reason := Gain
	if !l.climbing {
		reason = Probe
	}
	if l.pending != "" {
		reason, l.pending = l.pending, ""
	}
	l.climbing = true
	l.cells[l.allowed].weight = 0
	l.allowed++
	return reason
}

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// forgetFrom drops the evidence from a cell on, so that only answers of the next trial
// count there.
func (l *Limiter) forgetFrom(first int) {
	for i := first; i < l.count; i++ {
		l.cells[i].weight = 0
	}
}

// firstTooHigh returns the lowest cell at which the upstream does hardly more work than
// at a lower load, and the highest cell below it with much evidence. It returns 0 if there is
// none, since the first cell is never too high.
func (l *Limiter) firstTooHigh(now time.Duration) (bad, last int) {
	for i := range l.count {
		c := &l.cells[i]
		weight := c.weightAt(now)
		if weight < minCompared {
			continue
		}
		if weight >= minWeight {
			for j := range i {
				if l.gainTooSmall(now, &l.cells[j], c) {
					return i, last
				}
			}
		}
		if weight >= minWeight {
			last = i
		}
	}
	return 0, last
}

// gainTooSmall reports whether the work done at the load of high is less than minGain of
// the possible gain above that at the load of low, by several standard errors.
func (l *Limiter) gainTooSmall(now time.Duration, low, high *cell) bool {
	margin, standardError, ok := l.margin(now, low, high)
	return ok && margin < -significance*standardError
}

// margin returns by how much the logarithm of the work done at the load of high exceeds
// the least that is asked for, with its standard error, and false if there is nothing to
// compare.
func (l *Limiter) margin(now time.Duration, low, high *cell) (margin, standardError float64, ok bool) {
	lowWeight, highWeight := low.weightAt(now), high.weightAt(now)
	if lowWeight < minCompared || highWeight < minCompared || high.load <= low.load {
		return 0, 0, false
	}
	ratio := high.load / low.load
	margin = math.Log(ratio) - (high.logStep - low.logStep) - math.Log(1+minGain*(ratio-1))
	drift := driftPerSecond * (max(0, (now-low.updated).Seconds()) + max(0, (now-high.updated).Seconds()))
	return margin, math.Sqrt(l.variance*(1/lowWeight+1/highWeight) + drift), true
}
