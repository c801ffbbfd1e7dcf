package bench

import (
	"cmp"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

// GatewayConfig configures a simulation of the gateway's admission: several
// instances place requests on shared engines. Each instance decides on its own,
// with the load reports of the others. Traffic and engines are those of the
// reference deployment (see trafficKinds).
type GatewayConfig struct {
	Instances int
	Engines   int
	// RateFactor multiplies the arrival rates of the reference deployment; Bursts
	// multiply them further.
	RateFactor float64
	Bursts     []Burst
	// MinReportInterval is the minimum time between two load reports of an instance.
	MinReportInterval time.Duration
	Tuning            admission.Tuning
	// Tiers is the number of tiers; the tier of each request is drawn at random.
	// Tier 0 is the highest. Zero means one tier.
	Tiers int
	// Delegated makes the first instance the relay that places the requests of all. The
	// second one replaces it if it is lost at RelayLostAt. MessageLoss is the share of
	// the messages between instances that are lost; it applies to delegation only.
	Delegated   bool
	RelayLostAt time.Duration
	MessageLoss float64
	// ReturningEngines is the number of engines that the instances learn of only
	// at ReturnAt.
	ReturningEngines int
	ReturnAt         time.Duration
	Seed             uint64
}

// Burst multiplies the arrival rates by Factor from Start to End.
type Burst struct {
	Start, End time.Duration
	Factor     float64
}

// GatewayStats counts a set of requests by outcome and sums up their value.
type GatewayStats struct {
	Offered, InTime, Late, Refused int
	// OfferedValue is the value of the requests if all of them were answered in
	// time, and Value that of the answers given.
	OfferedValue, Value float64
}

// ValueShare returns Value as a share of OfferedValue.
func (s GatewayStats) ValueShare() float64 { return s.Value / max(s.OfferedValue, 1) }

// GatewayResult is the outcome of a run: in total, by kind of request, by tier,
// and by the two-second window in which requests first arrived.
type GatewayResult struct {
	Total    GatewayStats
	ByKind   map[string]*GatewayStats
	ByTier   []GatewayStats
	ByWindow []GatewayStats
	// MaxValueShare is an upper bound of the total ValueShare, reached if the
	// engines spent all of their time, with full batches, on the requests with the
	// highest value per engine time.
	MaxValueShare float64
	// MaxEngineRequests is the maximum number of requests that an engine had at
	// once, running and waiting.
	MaxEngineRequests int
}

// update applies a change to all statistics that a request belongs to.
func (r *GatewayResult) update(request *callerRequest, apply func(*GatewayStats)) {
	apply(&r.Total)
	apply(r.ByKind[request.kind.name])
	apply(&r.ByTier[request.tier])
	apply(&r.ByWindow[int(request.arrivedAt/gatewayWindowLength)])
}

const (
	// gatewayArrivalDuration is the time during which requests arrive.
	gatewayArrivalDuration = 30 * time.Second
	// gatewayWindowLength is the length of the windows of GatewayResult.ByWindow.
	gatewayWindowLength = 2 * time.Second
	// gatewayScheduleInterval is the interval at which an instance with queued
	// requests runs its scheduling when nothing else triggers it.
	gatewayScheduleInterval = 10 * time.Millisecond
	// callerNetworkDelay is the network delay of a caller's retry.
	callerNetworkDelay = 6 * time.Millisecond
	llmService         = "llm"
)

// gatewaySimulation is a run of the gateway simulation.
type gatewaySimulation struct {
	loop      eventLoop
	config    GatewayConfig
	random    *rand.Rand
	engines   []*engine
	instances []*gatewayInstance
	result    *GatewayResult
	requests  []*callerRequest
	nextKey   uint64
}

// gatewayInstance is a simulated gateway instance.
type gatewayInstance struct {
	sim        *gatewaySimulation
	name       string
	pool       *admission.Pool
	waiting    map[uint64]*callerRequest
	timerArmed bool
	// reportScheduled is true while a load report is scheduled, and lastReport is
	// the time of the previous one.
	reportScheduled bool
	lastReport      time.Duration
	// reportedQueueLength is the queue length at the time of the last report.
	reportedQueueLength int
	// delegation is nil if instances decide independently.
	delegation *instanceDelegation
}

// callerRequest is a request of a caller, with all its attempts.
type callerRequest struct {
	kind                       *trafficKind
	promptTokens, outputTokens int
	arrivedAt, deadline        time.Duration
	tier                       int
	attempts                   int
	ended                      bool
}

// RunGateway runs a simulation of the gateway's admission. The result is a pure
// function of the configuration.
func RunGateway(config GatewayConfig) *GatewayResult {
	config.Tiers = max(1, config.Tiers)
	s := &gatewaySimulation{config: config, random: rand.New(rand.NewPCG(config.Seed, 3)), result: &GatewayResult{
		ByKind: map[string]*GatewayStats{}, ByTier: make([]GatewayStats, config.Tiers),
		ByWindow: make([]GatewayStats, gatewayArrivalDuration/gatewayWindowLength+1),
	}}
	for i := range config.Engines {
		e := &engine{loop: &s.loop, name: fmt.Sprintf("engine-%02d", i), decodeRate: gatewayEngineSpeeds[i%len(gatewayEngineSpeeds)], slowdown: 1,
			batching: &gatewayBatching, onPrefillCompleted: func(*job) {}}
		e.cache = prefixCache{entries: map[string]*list.Element{}, onChange: func(string, int, bool) {}}
		s.engines = append(s.engines, e)
	}
	for i := range config.Instances {
		s.instances = append(s.instances, s.newInstance(i))
	}
	if config.Delegated {
		s.startDelegation()
	}
	for i := range trafficKinds {
		s.scheduleArrivals(&trafficKinds[i])
	}
	s.loop.run(func() bool { return false })
	s.result.MaxValueShare = s.maxValueShare()
	return s.result
}

// maxValueShare returns GatewayResult.MaxValueShare. It sorts the requests by
// value per engine time.
func (s *gatewaySimulation) maxValueShare() float64 {
	slices.SortFunc(s.requests, func(a, b *callerRequest) int { return cmp.Compare(b.value()/b.engineMs(), a.value()/a.engineMs()) })
	remainingMs := 0.0
	for _, e := range s.engines {
		remainingMs += e.decodeRate * gatewayArrivalDuration.Seconds() * msPerSecond
	}
	value := 0.0
	for _, r := range s.requests {
		if remainingMs -= r.engineMs(); remainingMs < 0 {
			break
		}
		value += r.value()
	}
	return value / s.result.Total.OfferedValue
}

func (r *callerRequest) value() float64 { return r.kind.valueOf(r.promptTokens, r.outputTokens, true) }

// engineMs returns the share of the time of an engine of speed 1 that the request
// takes if the engine's batch is full.
func (r *callerRequest) engineMs() float64 {
	step := decodeStepMs + decodeStepMsPerRequest*float64(gatewayBatching.maxRequests)
	return float64(r.promptTokens)/prefillTokensPerMs + float64(r.outputTokens)*step/float64(gatewayBatching.maxRequests)
}

func (s *gatewaySimulation) newInstance(number int) *gatewayInstance {
	location := admission.Location{Domain: "north", Regions: map[string]string{"north": "r1"}}
	service := admission.Service{Name: llmService, Engine: true, Slots: gatewayBatching.maxRequests, TokensPerEvent: tokensPerEvent}
	instance := &gatewayInstance{sim: s, name: fmt.Sprintf("edge-%02d", number), waiting: map[uint64]*callerRequest{},
		pool: admission.NewPool(service, location, s.config.Tuning, rand.New(rand.NewPCG(s.config.Seed, uint64(number))))}
	for engineIndex, e := range s.engines {
		addUpstream := func() {
			instance.pool.SetUpstream(admission.UpstreamInfo{ID: e.name, Service: llmService, Address: e.name, Domain: "north", Slots: gatewayBatching.maxRequests})
			instance.schedule()
		}
		if engineIndex < s.config.ReturningEngines {
			s.loop.scheduleAt(s.config.ReturnAt, addUpstream)
		} else {
			addUpstream()
		}
	}
	return instance
}

// scheduleArrivals draws and schedules the arrivals of a kind of request: a
// Poisson process at the peak rate, thinned outside the strongest burst.
func (s *gatewaySimulation) scheduleArrivals(kind *trafficKind) {
	s.result.ByKind[kind.name] = &GatewayStats{}
	peakFactor := 1.0
	for _, b := range s.config.Bursts {
		peakFactor = max(peakFactor, b.Factor)
	}
	meanInterval := float64(time.Second) / (kind.requestsPerSecond * s.config.RateFactor * peakFactor)
	for at := time.Duration(0); at < gatewayArrivalDuration; at += time.Duration(s.random.ExpFloat64() * meanInterval) {
		if s.random.Float64()*peakFactor > s.rateFactorAt(at) {
			continue
		}
		r := &callerRequest{kind: kind, tier: s.random.IntN(s.config.Tiers), promptTokens: kind.promptTokens.draw(s.random), outputTokens: tokensPerEvent * kind.outputEvents.draw(s.random)}
		s.requests = append(s.requests, r)
		timeout := time.Duration(float64(kind.timeout) * (1 - timeoutJitter*s.random.Float64()))
		s.loop.scheduleAt(at, func() {
			r.arrivedAt, r.deadline = at, at+timeout
			s.result.update(r, func(stats *GatewayStats) {
				stats.Offered++
				stats.OfferedValue += r.value()
			})
			s.submit(r)
		})
	}
}

func (s *gatewaySimulation) rateFactorAt(at time.Duration) float64 {
	for _, b := range s.config.Bursts {
		if at >= b.Start && at < b.End {
			return b.Factor
		}
	}
	return 1
}

// submit sends a request to a random instance.
func (s *gatewaySimulation) submit(r *callerRequest) {
	r.attempts++
	s.nextKey++
	instance := s.instances[s.random.IntN(len(s.instances))]
	if instance.lost() {
		// The balancer sends callers to instances that are there.
		instance = s.instances[1+s.random.IntN(len(s.instances)-1)]
	}
	instance.waiting[s.nextKey] = r
	request := &admission.Request{
		Key: s.nextKey, Service: llmService, Tier: r.tier, PromptTokens: r.promptTokens, OutputTokens: r.outputTokens,
		Arrived: s.loop.now, SoftDeadline: r.arrivedAt + r.kind.latencyTarget, Deadline: r.deadline,
	}
	if instance.delegate(request) {
		return
	}
	instance.pool.Submit(request)
	instance.schedule()
}

// schedule places or refuses queued requests as decided by the admission pool.
func (i *gatewayInstance) schedule() {
	for _, decision := range i.pool.Schedule(i.sim.loop.now) {
		if i.delegation == nil || !i.delegation.relay.Decide(decision) {
			i.carryOut(decision)
		}
	}
	if i.delegation != nil {
		i.sendReplies()
		return
	}
	if i.pool.QueueLength() != i.reportedQueueLength {
		i.scheduleReport()
	}
	if len(i.waiting) > 0 && !i.timerArmed {
		i.timerArmed = true
		i.sim.loop.scheduleAfter(gatewayScheduleInterval, func() {
			i.timerArmed = false
			i.schedule()
		})
	}
}

// carryOut dispatches or refuses a request of this instance.
func (i *gatewayInstance) carryOut(decision admission.Decision) {
	r := i.waiting[decision.Key]
	delete(i.waiting, decision.Key)
	if decision.Action == admission.Place {
		i.dispatch(r, decision)
		return
	}
	i.sim.handleRefusal(r, decision.RetryAfter)
}

// handleRefusal retries a refused request once, if the retry is within the
// caller's timeout.
func (s *gatewaySimulation) handleRefusal(r *callerRequest, retryAfter time.Duration) {
	if r.attempts > 1 || s.loop.now+retryAfter >= r.deadline {
		s.result.update(r, func(stats *GatewayStats) { stats.Refused++ })
		return
	}
	s.loop.scheduleAfter(retryAfter+callerNetworkDelay, func() { s.submit(r) })
}

// dispatch sends a request to the engine that the decision names. The request is
// cancelled there at the caller's timeout.
func (i *gatewayInstance) dispatch(r *callerRequest, decision admission.Decision) {
	s := i.sim
	var target *engine
	for _, e := range s.engines {
		if e.name == decision.Upstream.ID {
			target = e
		}
	}
	dispatchedAt, firstOutputAt := s.loop.now, time.Duration(0)
	j := &job{firstOutputTokens: tokensPerEvent, arrival: &arrival{promptTokens: r.promptTokens, outputTokens: r.outputTokens}}
	finish := func(result admission.Result) {
		i.pool.Finish(s.loop.now, target.name, decision.Key, result)
		i.addResult(target.name, result)
		i.scheduleReport()
		i.schedule()
	}
	j.onFirstOutput = func() {
		firstOutputAt = s.loop.now
		i.pool.RecordFirstOutput(target.name, decision.Key)
		i.scheduleReport()
	}
	j.onCompleted = func() {
		r.ended = true
		inTime := firstOutputAt+networkDelay-r.arrivedAt <= r.kind.latencyTarget
		s.result.update(r, func(stats *GatewayStats) {
			if inTime {
				stats.InTime++
			} else {
				stats.Late++
			}
			stats.Value += r.kind.valueOf(r.promptTokens, r.outputTokens, inTime)
		})
		step := gatewayBatching.stepSeconds(target, len(target.running)-1, 0)
		finish(admission.Result{Outcome: admission.Answered, TotalTime: s.loop.now - dispatchedAt, EventInterval: time.Duration(step * tokensPerEvent * float64(time.Second))})
	}
	j.onFailed = func() {}
	s.loop.scheduleAfter(networkDelay, func() {
		target.submit(j)
		s.result.MaxEngineRequests = max(s.result.MaxEngineRequests, len(target.running)+len(target.waiting))
	})
	s.loop.scheduleAt(r.deadline, func() {
		if !r.ended {
			r.ended, j.cancelled = true, true
			finish(admission.Result{Outcome: admission.Cancelled})
		}
	})
	i.scheduleReport()
}

// scheduleReport schedules a load report to the other instances, at the earliest
// MinReportInterval after the previous one.
func (i *gatewayInstance) scheduleReport() {
	if i.delegation != nil {
		i.reportToRelay()
		return
	}
	if i.reportScheduled {
		return
	}
	i.reportScheduled = true
	s := i.sim
	s.loop.scheduleAt(max(s.loop.now, i.lastReport+s.config.MinReportInterval), func() {
		i.reportScheduled, i.lastReport, i.reportedQueueLength = false, s.loop.now, i.pool.QueueLength()
		state := admission.PeerState{Demand: i.pool.Demand(false), Loads: map[string]admission.Load{}}
		i.pool.CollectLoads(s.loop.now, state.Loads, admission.OwnLoad)
		for _, other := range s.instances {
			if other != i {
				s.loop.scheduleAfter(networkDelay, func() {
					other.pool.SetPeer(s.loop.now, i.name, state)
					other.schedule()
				})
			}
		}
	})
}
