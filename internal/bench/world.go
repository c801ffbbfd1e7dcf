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

// Parameters of the modelled network and entries.
const (
	networkDelay = time.Millisecond
	// dialTimeout is how long an entry waits for an upstream that is gone.
	dialTimeout = time.Second
	// redialDelay is the pause before a request that was not dispatched asks
	// for another grant.
	redialDelay = 10 * time.Millisecond
	entries     = 6
)

// epoch is the wall-clock time of the start of a run.
var epoch = time.Unix(1_700_000_000, 0)

// world is one run.
type world struct {
	loop     loop
	scenario scenario
	workload workload
	pool     *sched.Pool
	engines  []*engine
	byName   map[string]*engine
	random   *rand.Rand
	requests map[string]*inFlight
	// waiting holds the requests that wait in the queue of the pool.
	waiting map[*inFlight]struct{}
	// known holds the longest part of each shared prefix that any engine has
	// processed; processing it again is repeated work.
	known   map[string]int
	results *results
	open    int
	tickAt  time.Duration
	ticking uint64
	// completed, if set, is called with each completed request.
	completed func(engine string, result sched.Result)
}

// inFlight is a request between its arrival and its end.
type inFlight struct {
	arrival  *arrival
	work     sched.Work
	job      *job
	engine   *engine
	granted  time.Duration
	firstAt  time.Duration
	finished bool
	// overtaken is set when, since the request began to wait, a lower tier was
	// granted an engine that could have served the request in time.
	overtaken bool
	prefill   int
	repeated  int
}

// Task selects one run.
type Task struct {
	Scenario string
	Workload string
	Policy   string
	Seed     uint64
	// Queue bounds the queue of the product's policy and, on top of the
	// request limits, what a baseline lets pass; zero means the default.
	Queue int
}

// Run makes one run and returns its results.
func Run(t Task) (*Result, error) {
	w, err := newWorld(t)
	if err != nil {
		return nil, err
	}
	w.loop.run(func() bool { return w.open == 0 && w.loop.now > Duration })
	return w.results.finish(t), nil
}

func newWorld(t Task) (*world, error) {
	base, ok := workloads[t.Workload]
	if !ok {
		return nil, errkind.New(errkind.BadSettings, "there is no workload %q", t.Workload)
	}
	for i := range scenarios {
		if scenarios[i].name != t.Scenario {
			continue
		}
		s := scenarios[i].withDefaults()
		w := &world{
			scenario: s,
			workload: s.shape(base),
			byName:   map[string]*engine{},
			random:   rand.New(rand.NewPCG(t.Seed, 1)),
			requests: map[string]*inFlight{},
			waiting:  map[*inFlight]struct{}{},
			known:    map[string]int{},
			results:  newResults(),
		}
		w.pool = sched.New(sched.Config{
			Policy:            t.Policy,
			Random:            rand.New(rand.NewPCG(t.Seed, 2)),
			MaxQueuedRequests: t.Queue,
		})
		w.build()
		w.arrive(t.Seed)
		w.disturb()
		return w, nil
	}
	return nil, errkind.New(errkind.BadSettings, "there is no scenario %q", t.Scenario)
}

func (w *world) now() time.Time { return epoch.Add(w.loop.now) }

// build makes the engines. Every third serves all models, the others one each.
func (w *world) build() {
	var records []record.Upstream
	for i := range w.workload.engines {
		generation := generations[i%len(generations)]
		e := &engine{
			loop:     &w.loop,
			name:     fmt.Sprintf("engine-%02d", i),
			prefill:  generation[0],
			decode:   generation[1],
			slowdown: 1,
		}
		e.cache.entries = map[string]*list.Element{}
		e.cache.changed = func(id string, tokens int, stored bool) { w.cacheEvent(e, id, tokens, stored) }
		e.prefillDone = w.countPrefill
		w.engines = append(w.engines, e)
		w.byName[e.name] = e
		served := w.workload.models
		if (i/len(generations))%3 != 0 {
			at := (i / len(generations)) % len(served)
			served = served[at : at+1]
		}
		e.models = served
		records = append(records, recordOf(e, served, generation))
		w.reportLoad(e, time.Duration(i)*w.scenario.reportGap/time.Duration(w.workload.engines))
	}
	w.pool.SetUpstreams(w.now(), records)
}

func recordOf(e *engine, models []string, generation [2]float64) record.Upstream {
	r := record.Upstream{
		Name:                   e.name,
		Type:                   record.TypeEngine,
		MaxRequests:            maxBatch,
		MaxTokens:              memoryTokens,
		PrefillTokensPerSecond: int(generation[0]),
		DecodeTokensPerSecond:  int(generation[1]),
	}
	for _, m := range models {
		r.Models = append(r.Models, m+"@1")
	}
	return r
}

// reportLoad takes a report and delivers it later, over and over.
func (w *world) reportLoad(e *engine, delay time.Duration) {
	w.loop.after(delay, func() {
		if e.dead {
			return
		}
		load := sched.Load{
			Running:     len(e.running),
			Waiting:     len(e.waiting),
			TokensInUse: e.memory,
			Incarnation: "1",
			ReportedAt:  w.now(),
		}
		w.loop.after(w.scenario.reportLag, func() {
			w.apply(w.pool.ReportLoad(w.now(), e.name, load))
		})
		w.reportLoad(e, w.scenario.reportGap)
	})
}

// cacheEvent delivers an event about a shared prefix late, or not at all. Parts
// of prompts that nothing shares are left out: no other request asks for them.
func (w *world) cacheEvent(e *engine, id string, tokens int, stored bool) {
	if w.random.Float64() < cacheEventLoss {
		return
	}
	hashes, _ := prefixHashes(id, tokens, tokens, 0)
	delay := time.Duration(w.random.ExpFloat64() * float64(w.scenario.cacheLag))
	w.loop.after(delay, func() {
		if stored {
			w.pool.ReportCache(w.now(), e.name, hashes, nil)
			return
		}
		w.pool.ReportCache(w.now(), e.name, nil, hashes)
	})
}

// countPrefill accounts for the shared prefix that a job processed again.
func (w *world) countPrefill(j *job) {
	a := j.arrival
	known := w.known[a.prefixID]
	j.repeated = max(0, min(known, a.prefixTokens)-j.cached)
	w.known[a.prefixID] = max(known, a.prefixTokens)
}

// arrive schedules the arrivals.
func (w *world) arrive(seed uint64) {
	arrivals := w.scenario.arrivalsOf(&w.workload, seed)
	for i := range arrivals {
		a := &arrivals[i]
		w.open++
		w.loop.at(a.at, func() { w.start(a) })
	}
}

// disturb schedules the faults of the scenario.
func (w *world) disturb() {
	if w.scenario.slowEngine {
		w.loop.at(Duration/4, func() { w.engines[len(generations)-1].slowdown = 5 })
	}
	if w.scenario.loseDomain {
		w.loop.at(Duration/3, func() {
			for i := 0; i < len(w.engines); i += 2 {
				w.engines[i].kill()
			}
		})
	}
}

func (w *world) start(a *arrival) {
	w.results.offered(a)
	r := &inFlight{arrival: a, work: sched.Work{
		Tier:         a.class.tier,
		Team:         a.team,
		Model:        a.class.model,
		PromptTokens: a.promptTokens,
		OutputTokens: a.outputTokens,
		Fingerprint:  uint64(a.index) + 1,
	}}
	r.work.PrefixHashes, r.work.PrefixTokens = prefixHashes(a.prefixID, a.prefixTokens, a.promptTokens, a.index)
	w.requests[strconv.Itoa(a.index)] = r
	w.loop.at(a.at+a.class.deadline, func() { w.giveUp(r) })
	w.acquire(r)
}

func (r *inFlight) id() string     { return strconv.Itoa(r.arrival.index) }
func (r *inFlight) holder() string { return "entry-" + strconv.Itoa(r.arrival.index%entries) }

func (w *world) acquire(r *inFlight) {
	if r.finished {
		return
	}
	w.waiting[r] = struct{}{}
	r.overtaken = false
	w.apply(w.pool.Acquire(w.now(), sched.Request{
		ID:       r.id(),
		Holder:   r.holder(),
		Work:     r.work,
		Deadline: epoch.Add(r.arrival.at + r.arrival.class.deadline),
	}))
}

// giveUp is the caller's reaction to a deadline without a first token.
func (w *world) giveUp(r *inFlight) {
	if r.finished || r.firstAt > 0 {
		return
	}
	// A request whose caller leaves while it is queued was shed, too: the
	// scheduler would refuse it at the same moment.
	_, queued := w.waiting[r]
	w.end(r, ended{outcome: late, inverted: queued && r.overtaken})
	if r.job == nil {
		w.apply(w.pool.Cancel(w.now(), r.holder(), r.id()))
		return
	}
	r.job.dropped = true
	w.release(r, sched.Cancelled)
}

// apply carries out decisions.
func (w *world) apply(d sched.Decisions) {
	for _, refusal := range d.Refusals {
		r := w.requests[refusal.RequestID]
		w.end(r, ended{outcome: refused, kind: refusal.Kind, inverted: r.overtaken})
	}
	for _, grant := range d.Grants {
		w.dispatch(w.requests[grant.RequestID], w.byName[grant.Upstream])
	}
	w.planTick()
}

func (w *world) planTick() {
	due := w.pool.NextTick()
	if due.IsZero() {
		return
	}
	at := max(due.Sub(epoch), w.loop.now+time.Millisecond)
	if w.tickAt > w.loop.now && w.tickAt <= at {
		return
	}
	w.tickAt = at
	w.ticking++
	current := w.ticking
	w.loop.at(at, func() {
		if current == w.ticking {
			w.apply(w.pool.Tick(w.now()))
		}
	})
}

func (w *world) dispatch(r *inFlight, e *engine) {
	delete(w.waiting, r)
	w.overtake(r, e)
	r.granted = w.loop.now
	if e.dead {
		w.loop.after(dialTimeout, func() { w.redial(r) })
		return
	}
	r.engine = e
	j := &job{arrival: r.arrival}
	j.first = func() { r.firstAt = w.loop.now }
	j.done = func() {
		w.end(r, ended{outcome: good, firstToken: r.firstAt - r.arrival.at})
		w.release(r, sched.Completed)
	}
	j.failed = func() {
		w.end(r, ended{outcome: failed})
		w.release(r, sched.UpstreamBroken)
	}
	r.job = j
	w.loop.after(networkDelay, func() {
		if e.dead {
			j.failed()
			return
		}
		e.submit(j)
	})
}

// overtake marks the waiting requests of higher tiers that compete with a
// granted request: those whose model the engine serves, and whose first token
// the engine could still produce in time if it were idle. An engine that could
// not is of no use to them, whoever else it serves.
func (w *world) overtake(granted *inFlight, e *engine) {
	for r := range w.waiting {
		a := r.arrival
		if a.class.tier <= granted.arrival.class.tier || !slices.Contains(e.models, a.class.model) {
			continue
		}
		if w.loop.now+e.shortest(a) < a.at+a.class.deadline {
			r.overtaken = true
		}
	}
}

// redial gives back a grant whose upstream could not be reached, and asks for
// another: the request did not run.
func (w *world) redial(r *inFlight) {
	w.apply(w.pool.Release(w.now(), sched.Result{RequestID: r.id(), Holder: r.holder(), Outcome: sched.DialFailed}))
	w.loop.after(redialDelay, func() { w.acquire(r) })
}

func (w *world) release(r *inFlight, outcome sched.Outcome) {
	result := sched.Result{
		RequestID:    r.id(),
		Holder:       r.holder(),
		Outcome:      outcome,
		CachedTokens: r.job.cached,
		OutputTokens: r.job.produced,
		Total:        w.loop.now - r.granted,
	}
	if r.firstAt > 0 {
		result.FirstToken = r.firstAt - r.granted
	}
	if w.completed != nil && outcome == sched.Completed {
		w.completed(r.engine.name, result)
	}
	w.loop.after(networkDelay, func() { w.apply(w.pool.Release(w.now(), result)) })
}

// end records the end of a request, once.
func (w *world) end(r *inFlight, e ended) {
	if r.finished {
		return
	}
	r.finished = true
	delete(w.waiting, r)
	w.open--
	if r.job != nil {
		r.prefill = r.job.prefilled
		r.repeated = r.job.repeated
	}
	w.results.ended(r, e)
}
