package admission

import (
	"math"
	"time"
)

// Bounds and weights of the estimates of an upstream.
const (
	// speedWeight is the weight of a new observation in the speed estimate.
	speedWeight = 0.25
	minSpeed    = 0.05
	maxSpeed    = 8.0
	// maxSamples bounds the weight of the speed estimate, so that a change shows
	// after a few new observations.
	maxSamples = 8.0
	// A first output is overdue after overdueFactor times the expected time plus
	// overdueSlack. The speed estimate of the upstream is then multiplied by
	// overdueSpeedFactor.
	overdueFactor      = 3.0
	overdueSlack       = 200 * time.Millisecond
	overdueSpeedFactor = 0.6
	// failureWeight is the weight of one result in the failure rate. Without new
	// results the rate halves in failureHalfLife.
	failureWeight   = 0.2
	failureHalfLife = 3 * time.Second
	// failureCostMs is added to the cost of an upstream with a failure rate of 1,
	// and in proportion for lower rates.
	failureCostMs = 1500.0
	// missedDeadlineCostMs is added to the cost of an upstream at which the answer
	// is not expected to end before the request's deadline.
	missedDeadlineCostMs = 1000.0
	// minBackoff and maxBackoff bound the time for which an upstream gets no
	// request after it was unreachable or broke a connection.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// rejectionBackoff is the time for which an upstream that rejected a request
	// counts as full.
	rejectionBackoff = 40 * time.Millisecond
	// slotTimeWeight is the weight of one request in the average slot time, and
	// initialSlotTimeMs the value before the first request: about 250 output tokens
	// at the rate of an engine whose slots are all in use.
	slotTimeWeight    = 0.03
	initialSlotTimeMs = 1000
	// defaultSpeed is assumed before there are observations at any upstream of the service.
	defaultSpeed = 1.0
	// speedScanInterval is the time between two passes over the speeds of all upstreams.
	speedScanInterval = 100 * time.Millisecond
)

// runningRequest is a request of this instance at an upstream.
type runningRequest struct {
	key                 uint64
	promptTokens        int
	placedAt            time.Duration
	expectedFirstOutput time.Duration
	hasOutput           bool
	overdue             bool
	basis               firstOutputBasis
}

// upstream holds the state of one upstream.
type upstream struct {
	info           UpstreamInfo
	engine         bool
	slots          int
	tokensPerEvent int
	speed          float64
	samples        float64
	// assumedSpeed is used before there are observations: the mean of the service.
	assumedSpeed float64
	requests     []runningRequest
	// grants are the placements of other instances' requests that their reports do not
	// include yet.
	grants []grant
	// peerLoad is the sum of the loads that the peers report, and domainLoad the part
	// of it from peers of the instance's own failure domain.
	peerLoad, domainLoad loadSum
	// releases holds the times at which requests of this instance have ended.
	releases []time.Duration
	// After failures the upstream gets no request before backoffUntil.
	// failedAttempts counts the failures in a row.
	backoffUntil   time.Duration
	failedAttempts int
	// failuresInRow counts the failed answers since the last other one, and
	// lastFailedAnswer is the time of the last one since the upstream was ejected.
	failuresInRow    int
	lastFailedAnswer time.Duration
	fullUntil        time.Duration
	// answered is true once the upstream has answered a request, last at lastAnswer.
	// lossSinceAnswer is true if a connection has broken since.
	answered, lossSinceAnswer bool
	lastAnswer                time.Duration
	// avoided is true if peers have ejected the upstream and this instance leaves it alone.
	avoided bool
	// leaving is true once the upstream itself has said that it leaves. quietUntil is the
	// end of the time for which it wants no request of this instance.
	leaving            bool
	quietUntil         time.Duration
	failureRate        float64
	failureRateUpdated time.Duration
	learned            learning
}

// loadSum is the sum of loads at one upstream. Each speed is weighted by its
// samples.
type loadSum struct {
	inFlight, pendingPrefillTokens int
	speed, samples                 float64
	// ejections is the number of summands that have ejected the upstream.
	ejections int
}

func (s *loadSum) add(load Load) {
	s.inFlight += load.InFlight
	s.pendingPrefillTokens += load.PendingPrefillTokens
	s.speed += load.Speed * load.Samples
	s.samples += load.Samples
	if load.Ejected {
		s.ejections++
	}
}

func (s *loadSum) merge(other loadSum) {
	s.inFlight += other.inFlight
	s.pendingPrefillTokens += other.pendingPrefillTokens
	s.speed += other.speed
	s.samples += other.samples
	s.ejections += other.ejections
}

func (s *loadSum) remove(load Load) {
	s.inFlight -= load.InFlight
	s.pendingPrefillTokens -= load.PendingPrefillTokens
	s.speed -= load.Speed * load.Samples
	s.samples -= load.Samples
	if load.Ejected {
		s.ejections--
	}
}

func (u *upstream) addPeerLoad(report peerRecord, id string) {
	u.peerLoad.add(report.loads[id])
	if !report.remoteDomain {
		u.domainLoad.add(report.loads[id])
	}
}

func (u *upstream) removePeerLoad(report peerRecord, id string) {
	u.peerLoad.remove(report.loads[id])
	if !report.remoteDomain {
		u.domainLoad.remove(report.loads[id])
	}
}

// load returns the load of this instance and all peers at the upstream.
func (u *upstream) load() (inFlight, pendingPrefillTokens int) {
	granted, grantedTokens := u.grantedLoad()
	return len(u.requests) + granted + u.peerLoad.inFlight, u.pendingPrefillTokens() + grantedTokens + u.peerLoad.pendingPrefillTokens
}

func (u *upstream) pendingPrefillTokens() int {
	tokens := 0
	for _, r := range u.requests {
		if !r.hasOutput {
			tokens += r.promptTokens
		}
	}
	return tokens
}

// estimatedSpeed returns the average of the estimates of this instance and its
// peers, weighted by the number of observations behind each.
func (u *upstream) estimatedSpeed() float64 {
	sum, weight := u.speed*u.samples+u.peerLoad.speed, u.samples+u.peerLoad.samples
	if weight < 1 {
		return u.assumedSpeed
	}
	return sum / weight
}

// assumeSpeeds gives upstreams without observations the mean speed of the others. With a
// fixed speed, a new upstream of a fast service would look slow and never be tried.
func (p *Pool) assumeSpeeds(now time.Duration) {
	if now-p.speedsAveragedAt < speedScanInterval {
		return
	}
	p.speedsAveragedAt = now
	sum, known := 0.0, 0
	for _, u := range p.sorted {
		if u.samples+u.peerLoad.samples >= 1 {
			sum += u.estimatedSpeed()
			known++
		}
	}
	p.meanSpeed = defaultSpeed
	if known > 0 {
		p.meanSpeed = sum / float64(known)
	}
	for _, u := range p.sorted {
		u.assumedSpeed = p.meanSpeed
	}
}

// observeSpeed adds the speed that one request showed to the estimate.
func (u *upstream) observeSpeed(observed float64) {
	observed = math.Min(maxSpeed, math.Max(minSpeed, observed))
	if u.samples < 1 {
		u.speed = observed
	} else {
		weight := math.Max(speedWeight, 1/(u.samples+1))
		u.speed += weight * (observed - u.speed)
	}
	u.samples = math.Min(maxSamples, u.samples+1)
}

// observeOverdue lowers the speed estimate by a request whose first output is overdue.
func (u *upstream) observeOverdue() { u.observeSpeed(u.estimatedSpeed() * overdueSpeedFactor) }

func (u *upstream) currentFailureRate(now time.Duration) float64 {
	return u.failureRate * math.Exp2(-float64(now-u.failureRateUpdated)/float64(failureHalfLife))
}

func (u *upstream) observeFailure(now time.Duration, failed bool) {
	rate := u.currentFailureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	u.failureRate, u.failureRateUpdated = rate, now
}

// isolatedLossTime is the time since the last answer of an upstream within which a single
// broken connection says nothing about its other requests. A relay learns of those of all
// its followers; without this it would stop the upstream for all of them at each lost answer.
const isolatedLossTime = 250 * time.Millisecond

// isolatedLoss reports whether a broken connection is the first since an answer of a moment
// ago. When an upstream ends, the connections of its other requests break as well.
func (u *upstream) isolatedLoss(now time.Duration) bool {
	isolated := u.answered && !u.lossSinceAnswer && now-u.lastAnswer < isolatedLossTime
	u.lossSinceAnswer = true
	return isolated
}

// backOff blocks new requests for a time that doubles with each failure in a row.
func (u *upstream) backOff(now time.Duration) {
	u.backoffUntil = now + min(maxBackoff, minBackoff<<min(u.failedAttempts, 6))
	u.failedAttempts++
}

// usable reports whether a request may be placed at the upstream. After a failure,
// requests are sent there one at a time until one is answered: an upstream that is
// down looks idle and would otherwise attract all requests.
func (u *upstream) usable(now time.Duration) bool {
	if u.info.Leaving || u.leaving || now < u.backoffUntil || now < u.fullUntil {
		return false
	}
	if u.avoided {
		// The instances that have ejected it also try it again.
		return false
	}
	return u.failedAttempts == 0 || len(u.requests) == 0
}

// expectFirstOutput predicts the time from placement to the first output.
// slotTimeMs is how long a request occupies a slot of an upstream of speed 1.
func (u *upstream) expectFirstOutput(t *Tuning, promptTokens, inFlight, pendingPrefillTokens int, slotTimeMs float64) time.Duration {
	speed := u.estimatedSpeed()
	if !u.engine {
		rounds := 1 + float64(inFlight)/float64(max(1, u.slots))
		return fromMs(t.PlainServiceMs / speed * rounds)
	}
	step := t.DecodeStepMs + t.DecodeStepMsPerRequest*float64(inFlight+1)
	prefill := float64(pendingPrefillTokens+promptTokens) / t.PrefillTokensPerMs
	// The engine runs decoding steps of other requests between two chunks of a
	// prefill.
	prefill *= 1 + step*t.PrefillTokensPerMs/prefillChunkTokens
	// A request beyond the slots waits until others have finished.
	slotWait := slotTimeMs / float64(u.slots) * float64(max(0, inFlight+1-u.slots))
	return fromMs(t.FirstOutputOverheadMs + (prefill+step*float64(max(1, u.tokensPerEvent))+slotWait)/speed)
}

// expectDecoding predicts the time from the first output to the end of the answer.
func (u *upstream) expectDecoding(t *Tuning, outputTokens int) time.Duration {
	if !u.engine {
		return 0
	}
	step := t.DecodeStepMs + t.DecodeStepMsPerRequest*float64(u.slots)
	return fromMs(float64(outputTokens) * step * prefillSlowdown / u.estimatedSpeed())
}

// prefillSlowdown is the factor by which decoding is slower because prefill of
// other requests runs between its steps.
const prefillSlowdown = 1.3

// prefillChunkTokens is the number of prompt tokens that an engine reads between
// two decoding steps.
const prefillChunkTokens = 1024

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
func toMs(d time.Duration) float64    { return float64(d) / float64(time.Millisecond) }
