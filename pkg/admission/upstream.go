package admission

import (
	"math"
	"time"
)

// Bounds and weights of what is learnt of an upstream.
const (
	// speedWeight is the weight of a new observation of an upstream's speed.
	speedWeight = 0.25
	minSpeed    = 0.05
	maxSpeed    = 8.0
	// samplesKept bounds the observations that an estimate stands for, so that
	// a change shows after a few new ones.
	samplesKept = 8.0
	// overdueFactor and overdueSlack say when a request without output shows
	// that its upstream is slower than believed.
	overdueFactor = 3.0
	overdueSlack  = 200 * time.Millisecond
	overdueSlower = 0.6
	// failureWeight is the weight of one answer in the failure rate, which
	// halves in failureHalfLife without news.
	failureWeight   = 0.2
	failureHalfLife = 3 * time.Second
	// failureCost is the expected time that a certain failure adds when
	// upstreams are compared.
	failureCost = 1500.0
	// endlessCost is the time added at an upstream where the answer is not
	// expected to end before its caller gives up.
	endlessCost = 1000.0
	// minPause and maxPause bound the time for which an upstream gets no
	// request after it could not be reached or broke a connection.
	minPause = 150 * time.Millisecond
	maxPause = 2 * time.Second
	// fullPause is the time for which an upstream that rejected a request
	// counts as full.
	fullPause = 40 * time.Millisecond
	// stayWeight is the weight of one request in the usual time that requests
	// occupy a slot, and firstStayMs its value before the first: about 250 output
	// tokens at the pace of an engine with full slots.
	stayWeight  = 0.03
	firstStayMs = 1000
	// coldSpeed is assumed of an upstream that nothing is known of.
	coldSpeed = 1.0
)

// flight is a request of this instance at an upstream.
type flight struct {
	key      uint64
	prompt   int
	placed   time.Duration
	expected time.Duration
	output   bool
	overdue  bool
}

// upstream is what is known of one upstream.
type upstream struct {
	info    Info
	engine  bool
	slots   int
	stride  int
	speed   float64
	samples float64
	flights []flight
	// others sums what the peers report.
	others peerSum
	// vacancies are the times at which own requests have left the upstream.
	vacancies []time.Duration
	// pausedUntil and pauses belong to the back-off after failures.
	pausedUntil time.Duration
	pauses      int
	fullUntil   time.Duration
	failureRate float64
	failureAt   time.Duration
}

// peerSum adds up the reports of peers about one upstream. Speed is weighted by
// the samples.
type peerSum struct {
	inFlight, awaited int
	speed, samples    float64
}

func (s *peerSum) add(load Load) {
	s.inFlight += load.InFlight
	s.awaited += load.AwaitedTokens
	s.speed += load.Speed * load.Samples
	s.samples += load.Samples
}

func (s *peerSum) remove(load Load) {
	s.inFlight -= load.InFlight
	s.awaited -= load.AwaitedTokens
	s.speed -= load.Speed * load.Samples
	s.samples -= load.Samples
}

// load is this instance's and the peers' requests at the upstream.
func (u *upstream) load() (inFlight, awaited int) {
	return len(u.flights) + u.others.inFlight, u.awaited() + u.others.awaited
}

func (u *upstream) awaited() int {
	tokens := 0
	for _, f := range u.flights {
		if !f.output {
			tokens += f.prompt
		}
	}
	return tokens
}

// believedSpeed merges the own estimate with those of the peers, by the number
// of observations behind each.
func (u *upstream) believedSpeed() float64 {
	sum, weight := u.speed*u.samples+u.others.speed, u.samples+u.others.samples
	if weight < 1 {
		return coldSpeed
	}
	return sum / weight
}

// observeSpeed takes in the speed that one request showed.
func (u *upstream) observeSpeed(observed float64) {
	observed = math.Min(maxSpeed, math.Max(minSpeed, observed))
	if u.samples < 1 {
		u.speed = observed
	} else {
		weight := math.Max(speedWeight, 1/(u.samples+1))
		u.speed += weight * (observed - u.speed)
	}
	u.samples = math.Min(samplesKept, u.samples+1)
}

func (u *upstream) failures(now time.Duration) float64 {
	return u.failureRate * math.Exp2(-float64(now-u.failureAt)/float64(failureHalfLife))
}

func (u *upstream) observeFailure(now time.Duration, failed bool) {
	rate := u.failures(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	u.failureRate, u.failureAt = rate, now
}

// pause keeps new requests away for a time that doubles with each failure in a
// row.
func (u *upstream) pause(now time.Duration) {
	u.pausedUntil = now + min(maxPause, minPause<<min(u.pauses, 6))
	u.pauses++
}

// usable reports whether a request may be placed. An upstream that has failed
// and not answered since is tried one request at a time: one that is down looks
// idle, and would otherwise be given all that comes.
func (u *upstream) usable(now time.Duration) bool {
	if u.info.Leaving || now < u.pausedUntil || now < u.fullUntil {
		return false
	}
	return u.pauses == 0 || len(u.flights) == 0
}

// expect predicts the time from the dispatch to the first output. stayMs is how
// long a request occupies a slot of an upstream of speed 1.
func (u *upstream) expect(t *Tuning, prompt, inFlight, awaited int, stayMs float64) time.Duration {
	speed := u.believedSpeed()
	if !u.engine {
		rounds := 1 + float64(inFlight)/float64(max(1, u.slots))
		return fromMs(t.PlainMs / speed * rounds)
	}
	step := t.StepMs + t.StepMsPerRequest*float64(inFlight+1)
	read := float64(awaited+prompt) / t.PrefillPerMs
	// Decoding steps of the running requests are taken between the chunks.
	read *= 1 + step*t.PrefillPerMs/chunkTokens
	// A request beyond the slots waits until others have left.
	leave := stayMs / float64(u.slots) * float64(max(0, inFlight+1-u.slots))
	return fromMs(t.FirstMs + (read+step*float64(max(1, u.stride))+leave)/speed)
}

// expectRest predicts the time from the first output to the end of the answer.
func (u *upstream) expectRest(t *Tuning, output int) time.Duration {
	if !u.engine {
		return 0
	}
	step := t.StepMs + t.StepMsPerRequest*float64(u.slots)
	return fromMs(float64(output) * step * decodeDelay / u.believedSpeed())
}

// decodeDelay is how much longer the steps of an answer take because prompts of
// others are read between them.
const decodeDelay = 1.3

// chunkTokens is the prompt tokens that an engine reads between two decoding
// steps.
const chunkTokens = 1024

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
func toMs(d time.Duration) float64    { return float64(d) / float64(time.Millisecond) }
