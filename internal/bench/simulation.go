package bench

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Parameters of the simulated network and entry daemons.
const (
	networkDelay = time.Millisecond
	// dialTimeout is how long an entry daemon waits for a crashed upstream.
	dialTimeout = time.Second
	// dialRetryDelay is the delay before another grant is requested after a dial
	// time-out.
	dialRetryDelay = 10 * time.Millisecond
	entryCount     = 6
)

// startTime is the simulated wall-clock time of the start of a run.
var startTime = time.Unix(1_700_000_000, 0)

// simulation is a run of the scheduler simulation.
type simulation struct {
	loop         eventLoop
	scenario     scenario
	workload     workload
	pool         *sched.Pool
	engines      []*engine
	engineByName map[string]*engine
	random       *rand.Rand
	requestByID  map[string]*simulatedRequest
	// queued holds the requests that wait in the queue of the pool.
	queued map[*simulatedRequest]struct{}
	// processedPrefixes holds, for each shared prefix, the number of its tokens that
	// some engine has processed; processing these tokens again counts as repeated
	// prefill.
	processedPrefixes map[string]int
	collector         *resultCollector
	openRequests      int
	nextTick          time.Duration
	tickGeneration    uint64
	// onCompleted, if set, is called for each completed request.
	onCompleted func(engine string, result sched.Result)
}

// simulatedRequest is the state of a request that has arrived.
type simulatedRequest struct {
	arrival      *arrival
	work         sched.Work
	job          *job
	engine       *engine
	grantedAt    time.Duration
	firstTokenAt time.Duration
	ended        bool
	// overtaken is set when, since the request was queued, a lower tier was granted
	// an engine that could have served the request in time.
	overtaken      bool
	prefillTokens  int
	repeatedTokens int
}

// RunConfig selects the scenario, workload and policy of a run.
type RunConfig struct {
	Scenario string
	Workload string
	Policy   string
	Seed     uint64
	// MaxQueuedRequests bounds the queue of the rosemarywing policy and, for a
	// baseline policy, the number of requests that are passed to the engines beyond
	// their request limits. Zero means the default.
	MaxQueuedRequests int
}

// Run executes one run and returns its result.
func Run(config RunConfig) (*Result, error) {
	sim, err := newSimulation(config)
	if err != nil {
		return nil, err
	}
	sim.loop.run(func() bool { return sim.openRequests == 0 && sim.loop.now > ArrivalDuration })
	return sim.collector.result(config), nil
}

func newSimulation(config RunConfig) (*simulation, error) {
	base, ok := workloads[config.Workload]
	if !ok {
		return nil, errkind.New(errkind.BadSettings, "unknown workload %q", config.Workload)
	}
	for i := range scenarios {
		if scenarios[i].name != config.Scenario {
			continue
		}
		scenario := scenarios[i].withDefaults()
		sim := &simulation{
			scenario:          scenario,
			workload:          scenario.applyTo(base),
			engineByName:      map[string]*engine{},
			random:            rand.New(rand.NewPCG(config.Seed, 1)),
			requestByID:       map[string]*simulatedRequest{},
			queued:            map[*simulatedRequest]struct{}{},
			processedPrefixes: map[string]int{},
			collector:         newResultCollector(),
		}
		sim.pool = sched.New(sched.Config{
			Policy:            config.Policy,
			Random:            rand.New(rand.NewPCG(config.Seed, 2)),
			MaxQueuedRequests: config.MaxQueuedRequests,
		})
		sim.createEngines()
		sim.scheduleArrivals(config.Seed)
		sim.scheduleFaults()
		return sim, nil
	}
	return nil, errkind.New(errkind.BadSettings, "unknown scenario %q", config.Scenario)
}

// wallTime returns the simulated wall-clock time.
func (s *simulation) wallTime() time.Time { return startTime.Add(s.loop.now) }

// createEngines creates the engines with their records and load reports. Every
// third engine of each hardware generation serves all models, the others one each.
func (s *simulation) createEngines() {
	var records []record.Upstream
	for i := range s.workload.engineCount {
		generation := hardwareGenerations[i%len(hardwareGenerations)]
		e := &engine{
			loop:        &s.loop,
			name:        fmt.Sprintf("engine-%02d", i),
			prefillRate: generation[0],
			decodeRate:  generation[1],
			slowdown:    1,
		}
		e.cache.entries = map[string]*list.Element{}
		e.cache.onChange = func(id string, tokens int, stored bool) { s.scheduleCacheEvent(e, id, tokens, stored) }
		e.onPrefillCompleted = s.recordRepeatedPrefill
		s.engines = append(s.engines, e)
		s.engineByName[e.name] = e
		models := s.workload.models
		if (i/len(hardwareGenerations))%3 != 0 {
			modelIndex := (i / len(hardwareGenerations)) % len(models)
			models = models[modelIndex : modelIndex+1]
		}
		e.models = models
		records = append(records, newUpstreamRecord(e, models, generation))
		s.scheduleLoadReports(e, time.Duration(i)*s.scenario.reportInterval/time.Duration(s.workload.engineCount))
	}
	s.pool.SetUpstreams(s.wallTime(), records)
}

func newUpstreamRecord(e *engine, models []string, generation [2]float64) record.Upstream {
	upstream := record.Upstream{
		Name:                   e.name,
		Type:                   record.TypeEngine,
		MaxRequests:            maxBatchRequests,
		MaxTokens:              maxBatchTokens,
		PrefillTokensPerSecond: int(generation[0]),
		DecodeTokensPerSecond:  int(generation[1]),
	}
	for _, model := range models {
		upstream.Models = append(upstream.Models, model+"@1")
	}
	return upstream
}

// scheduleLoadReports takes a load report of an engine after the given delay, and then
// at the reportInterval of the scenario. Each report reaches the scheduler after
// reportDelay.
func (s *simulation) scheduleLoadReports(e *engine, delay time.Duration) {
	s.loop.scheduleAfter(delay, func() {
		if e.crashed {
			return
		}
		load := sched.Load{
			Running:     len(e.running),
			Waiting:     len(e.waiting),
			TokensInUse: e.reservedTokens,
			Incarnation: "1",
			ReportedAt:  s.wallTime(),
		}
		s.loop.scheduleAfter(s.scenario.reportDelay, func() {
			s.applyDecisions(s.pool.ReportLoad(s.wallTime(), e.name, load))
		})
		s.scheduleLoadReports(e, s.scenario.reportInterval)
	})
}

// scheduleCacheEvent reports a stored or evicted cache entry to the scheduler after
// a random delay, or drops the report with the probability cacheEventLoss.
func (s *simulation) scheduleCacheEvent(e *engine, id string, tokens int, stored bool) {
	if s.random.Float64() < cacheEventLoss {
		return
	}
	hashes, _ := prefixHashes(id, tokens, tokens, 0)
	delay := time.Duration(s.random.ExpFloat64() * float64(s.scenario.meanCacheEventDelay))
	s.loop.scheduleAfter(delay, func() {
		if stored {
			s.pool.ReportCache(s.wallTime(), e.name, hashes, nil)
			return
		}
		s.pool.ReportCache(s.wallTime(), e.name, nil, hashes)
	})
}

// recordRepeatedPrefill records how much of the shared prefix a job processed
// although some engine had already processed it.
func (s *simulation) recordRepeatedPrefill(j *job) {
	a := j.arrival
	processed := s.processedPrefixes[a.prefixID]
	j.repeatedTokens = max(0, min(processed, a.prefixTokens)-j.cachedTokens)
	s.processedPrefixes[a.prefixID] = max(processed, a.prefixTokens)
}

// scheduleArrivals schedules the start of all requests of the run.
func (s *simulation) scheduleArrivals(seed uint64) {
	arrivals := s.scenario.arrivals(&s.workload, seed)
	for i := range arrivals {
		a := &arrivals[i]
		s.openRequests++
		s.loop.scheduleAt(a.at, func() { s.startRequest(a) })
	}
}

// scheduleFaults schedules the faults of the scenario.
func (s *simulation) scheduleFaults() {
	if s.scenario.slowEngine {
		s.loop.scheduleAt(ArrivalDuration/4, func() { s.engines[len(hardwareGenerations)-1].slowdown = 5 })
	}
	if s.scenario.loseDomain {
		s.loop.scheduleAt(ArrivalDuration/3, func() {
			for i := 0; i < len(s.engines); i += 2 {
				s.engines[i].crash()
			}
		})
	}
}

func (s *simulation) startRequest(a *arrival) {
	s.collector.recordArrival(a)
	r := &simulatedRequest{arrival: a, work: sched.Work{
		Tier:         a.class.tier,
		Team:         a.team,
		Model:        a.class.model,
		PromptTokens: a.promptTokens,
		OutputTokens: a.outputTokens,
		Fingerprint:  uint64(a.index) + 1,
	}}
	r.work.PrefixHashes, r.work.PrefixTokens = prefixHashes(a.prefixID, a.prefixTokens, a.promptTokens, a.index)
	s.requestByID[strconv.Itoa(a.index)] = r
	s.loop.scheduleAt(a.at+a.class.firstTokenTimeout, func() { s.handleDeadline(r) })
	s.acquireGrant(r)
}

func (r *simulatedRequest) id() string { return strconv.Itoa(r.arrival.index) }
func (r *simulatedRequest) holder() string {
	return "entry-" + strconv.Itoa(r.arrival.index%entryCount)
}

func (s *simulation) acquireGrant(r *simulatedRequest) {
	if r.ended {
		return
	}
	s.queued[r] = struct{}{}
	r.overtaken = false
	s.applyDecisions(s.pool.Acquire(s.wallTime(), sched.Request{
		ID:       r.id(),
		Holder:   r.holder(),
		Work:     r.work,
		Deadline: startTime.Add(r.arrival.at + r.arrival.class.firstTokenTimeout),
	}))
}

// handleDeadline cancels a request that has no first token at its deadline.
func (s *simulation) handleDeadline(r *simulatedRequest) {
	if r.ended || r.firstTokenAt > 0 {
		return
	}
	// A queued request that was overtaken counts as a priority inversion, like one that
	// the scheduler refuses: the scheduler would refuse it at the same time.
	_, queued := s.queued[r]
	s.endRequest(r, requestEnd{outcome: late, priorityInversion: queued && r.overtaken})
	if r.job == nil {
		s.applyDecisions(s.pool.Cancel(s.wallTime(), r.holder(), r.id()))
		return
	}
	r.job.cancelled = true
	s.releaseGrant(r, sched.Cancelled)
}

// applyDecisions ends refused requests and dispatches granted ones.
func (s *simulation) applyDecisions(d sched.Decisions) {
	for _, refusal := range d.Refusals {
		r := s.requestByID[refusal.RequestID]
		s.endRequest(r, requestEnd{outcome: refused, kind: refusal.Kind, priorityInversion: r.overtaken})
	}
	for _, grant := range d.Grants {
		s.dispatch(s.requestByID[grant.RequestID], s.engineByName[grant.Upstream])
	}
	s.scheduleTick()
}

// scheduleTick schedules the next tick that the pool asks for, at least one
// millisecond ahead, unless an earlier tick is already scheduled.
func (s *simulation) scheduleTick() {
	due := s.pool.NextTick()
	if due.IsZero() {
		return
	}
	at := max(due.Sub(startTime), s.loop.now+time.Millisecond)
	if s.nextTick > s.loop.now && s.nextTick <= at {
		return
	}
	s.nextTick = at
	s.tickGeneration++
	current := s.tickGeneration
	s.loop.scheduleAt(at, func() {
		if current == s.tickGeneration {
			s.applyDecisions(s.pool.Tick(s.wallTime()))
		}
	})
}

func (s *simulation) dispatch(r *simulatedRequest, e *engine) {
	delete(s.queued, r)
	s.markOvertaken(r, e)
	r.grantedAt = s.loop.now
	if e.crashed {
		s.loop.scheduleAfter(dialTimeout, func() { s.retryAfterDialTimeout(r) })
		return
	}
	r.engine = e
	j := &job{arrival: r.arrival}
	j.onFirstOutput = func() { r.firstTokenAt = s.loop.now }
	j.onCompleted = func() {
		s.endRequest(r, requestEnd{outcome: good, firstToken: r.firstTokenAt - r.arrival.at})
		s.releaseGrant(r, sched.Completed)
	}
	j.onFailed = func() {
		s.endRequest(r, requestEnd{outcome: failed})
		s.releaseGrant(r, sched.UpstreamBroken)
	}
	r.job = j
	s.loop.scheduleAfter(networkDelay, func() {
		if e.crashed {
			j.onFailed()
			return
		}
		e.submit(j)
	})
}

// markOvertaken marks the queued requests of higher tiers that the engine could
// have served instead of the granted request: those whose model it serves and
// whose first token it could produce in time if it were idle.
func (s *simulation) markOvertaken(granted *simulatedRequest, e *engine) {
	for r := range s.queued {
		a := r.arrival
		if a.class.tier <= granted.arrival.class.tier || !slices.Contains(e.models, a.class.model) {
			continue
		}
		if s.loop.now+e.minTimeToFirstToken(a) < a.at+a.class.firstTokenTimeout {
			r.overtaken = true
		}
	}
}

// retryAfterDialTimeout releases a grant whose upstream could not be reached and asks
// the pool for another grant, since the request did not run.
func (s *simulation) retryAfterDialTimeout(r *simulatedRequest) {
	s.applyDecisions(s.pool.Release(s.wallTime(), sched.Result{RequestID: r.id(), Holder: r.holder(), Outcome: sched.DialFailed}))
	s.loop.scheduleAfter(dialRetryDelay, func() { s.acquireGrant(r) })
}

// releaseGrant reports the outcome of a dispatched request to the pool.
func (s *simulation) releaseGrant(r *simulatedRequest, outcome sched.Outcome) {
	result := sched.Result{
		RequestID:    r.id(),
		Holder:       r.holder(),
		Outcome:      outcome,
		CachedTokens: r.job.cachedTokens,
		OutputTokens: r.job.producedTokens,
		Total:        s.loop.now - r.grantedAt,
	}
	if r.firstTokenAt > 0 {
		result.FirstToken = r.firstTokenAt - r.grantedAt
	}
	if s.onCompleted != nil && outcome == sched.Completed {
		s.onCompleted(r.engine.name, result)
	}
	s.loop.scheduleAfter(networkDelay, func() { s.applyDecisions(s.pool.Release(s.wallTime(), result)) })
}

// endRequest records the end of a request. Further calls have no effect.
func (s *simulation) endRequest(r *simulatedRequest, end requestEnd) {
	if r.ended {
		return
	}
	r.ended = true
	delete(s.queued, r)
	s.openRequests--
	if r.job != nil {
		r.prefillTokens = r.job.prefilledTokens
		r.repeatedTokens = r.job.repeatedTokens
	}
	s.collector.recordEnd(r, end)
}
