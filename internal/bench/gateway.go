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

// GatewayTask selects one run of the gateway's admission: instances that each
// decide for themselves, tell each other their loads, and share engines made to
// the users' sheet.
type GatewayTask struct {
	Instances int
	Engines   int
	// Load multiplies the sheet's rates, and Bursts multiply them further.
	Load   float64
	Bursts []Burst
	// ReportEvery is the shortest time between two reports of an instance.
	ReportEvery time.Duration
	Tuning      admission.Tuning
	// Tiers is the number of tiers, to which callers belong at random.
	Tiers int
	// Returning is the number of engines that become known only at ReturnAt.
	Returning int
	ReturnAt  time.Duration
	Seed      uint64
}

// Burst multiplies the traffic for some time.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// GatewayKind is what became of the requests of one kind.
type GatewayKind struct {
	Asked, InTime, Late, Refused int
	// Owed is the worth of all requests in time, and Earned what was reached.
	Owed, Earned float64
}

// Share is the part of the worth that was reached.
func (k GatewayKind) Share() float64 { return k.Earned / max(k.Owed, 1) }

// GatewayResult is the outcome of a run: in all, by kind, by tier, and by the
// two seconds in which requests came first.
type GatewayResult struct {
	All     GatewayKind
	Kinds   map[string]*GatewayKind
	Tiers   []GatewayKind
	Windows []GatewayKind
	// Bound is the part of the worth that the engines could have reached at most:
	// all of their time, at full batches, spent on the requests that are worth
	// most for it.
	Bound float64
	// Deepest is the most requests that an engine has had at once, running and
	// waiting.
	Deepest int
}

// count adds to all the sums that a call belongs to.
func (r *GatewayResult) count(c *call, add func(*GatewayKind)) {
	add(&r.All)
	add(r.Kinds[c.kind.name])
	add(&r.Tiers[c.tier])
	add(&r.Windows[int(c.first/gatewayWindow)])
}

const (
	// gatewayDuration is the length of the arrivals of a run.
	gatewayDuration = 30 * time.Second
	// gatewayWindow is the length of a window of the result.
	gatewayWindow = 2 * time.Second
	// gatewayTick is how often waiting requests are looked at without news.
	gatewayTick = 10 * time.Millisecond
	// callerDelay is the way of a caller that returns.
	callerDelay = 6 * time.Millisecond
	llm         = "llm"
)

type gatewayWorld struct {
	loop      loop
	task      GatewayTask
	random    *rand.Rand
	engines   []*engine
	instances []*gatewayInstance
	result    *GatewayResult
	calls     []*call
	nextKey   uint64
}

type gatewayInstance struct {
	world   *gatewayWorld
	name    string
	pool    *admission.Pool
	waiting map[uint64]*call
	ticking bool
	// reporting is true while a report is due; reported is when the last left.
	reporting bool
	reported  time.Duration
	// told is the length of the queue in the last report.
	told int
}

// call is a caller's request, over all its attempts.
type call struct {
	kind           *sheetKind
	prompt, output int
	first, until   time.Duration
	tier           int
	attempts       int
	ended          bool
}

// RunGateway makes one run; it is a pure function of the task.
func RunGateway(task GatewayTask) *GatewayResult {
	task.Tiers = max(1, task.Tiers)
	w := &gatewayWorld{task: task, random: rand.New(rand.NewPCG(task.Seed, 3)), result: &GatewayResult{
		Kinds: map[string]*GatewayKind{}, Tiers: make([]GatewayKind, task.Tiers),
		Windows: make([]GatewayKind, gatewayDuration/gatewayWindow+1),
	}}
	for i := range task.Engines {
		e := &engine{loop: &w.loop, name: fmt.Sprintf("engine-%02d", i), decode: sheetSpeeds[i%len(sheetSpeeds)], slowdown: 1,
			spec: &sheetSpec, prefillDone: func(*job) {}}
		e.cache = promptCache{entries: map[string]*list.Element{}, changed: func(string, int, bool) {}}
		w.engines = append(w.engines, e)
	}
	for i := range task.Instances {
		w.instances = append(w.instances, w.newInstance(i))
	}
	for i := range sheetKinds {
		w.arrive(&sheetKinds[i])
	}
	w.loop.run(func() bool { return false })
	w.result.Bound = w.bound()
	return w.result
}

// bound is the part of the worth that the engines could have reached at most.
func (w *gatewayWorld) bound() float64 {
	slices.SortFunc(w.calls, func(a, b *call) int { return cmp.Compare(b.worth()/b.engineMs(), a.worth()/a.engineMs()) })
	left := 0.0
	for _, e := range w.engines {
		left += e.decode * gatewayDuration.Seconds() * msPerS
	}
	reached := 0.0
	for _, c := range w.calls {
		if left -= c.engineMs(); left < 0 {
			break
		}
		reached += c.worth()
	}
	return reached / w.result.All.Owed
}

func (c *call) worth() float64 { return c.kind.worthOf(c.prompt, c.output, true) }

// engineMs is the time of an engine of speed 1 that the call takes if the
// engine's batch is full.
func (c *call) engineMs() float64 {
	step := stepMs + stepMsPerSlot*float64(sheetSpec.batch)
	return float64(c.prompt)/prefillPerMs + float64(c.output)*step/float64(sheetSpec.batch)
}

func (w *gatewayWorld) newInstance(i int) *gatewayInstance {
	location := admission.Location{Domain: "north", Regions: map[string]string{"north": "r1"}}
	service := admission.Service{Name: llm, Engine: true, Slots: sheetSpec.batch, TokensPerEvent: sheetStride}
	instance := &gatewayInstance{world: w, name: fmt.Sprintf("edge-%02d", i), waiting: map[uint64]*call{},
		pool: admission.NewPool(service, location, w.task.Tuning, rand.New(rand.NewPCG(w.task.Seed, uint64(i))))}
	for n, e := range w.engines {
		know := func() {
			instance.pool.SetUpstream(admission.UpstreamInfo{ID: e.name, Service: llm, Address: e.name, Domain: "north", Slots: sheetSpec.batch})
			instance.advance()
		}
		if n < w.task.Returning {
			w.loop.at(w.task.ReturnAt, know)
		} else {
			know()
		}
	}
	return instance
}

// arrive draws the arrivals of a kind: Poisson, thinned to the bursts.
func (w *gatewayWorld) arrive(kind *sheetKind) {
	w.result.Kinds[kind.name] = &GatewayKind{}
	highest := 1.0
	for _, b := range w.task.Bursts {
		highest = max(highest, b.Factor)
	}
	mean := float64(time.Second) / (kind.rate * w.task.Load * highest)
	for at := time.Duration(0); at < gatewayDuration; at += time.Duration(w.random.ExpFloat64() * mean) {
		if w.random.Float64()*highest > w.factor(at) {
			continue
		}
		c := &call{kind: kind, tier: w.random.IntN(w.task.Tiers), prompt: kind.prompt.draw(w.random), output: sheetStride * kind.events.draw(w.random)}
		w.calls = append(w.calls, c)
		patience := time.Duration(float64(kind.patience) * (1 - patienceSpread*w.random.Float64()))
		w.loop.at(at, func() {
			c.first, c.until = at, at+patience
			w.result.count(c, func(k *GatewayKind) {
				k.Asked++
				k.Owed += c.worth()
			})
			w.attempt(c)
		})
	}
}

func (w *gatewayWorld) factor(at time.Duration) float64 {
	for _, b := range w.task.Bursts {
		if at >= b.From && at < b.To {
			return b.Factor
		}
	}
	return 1
}

// attempt sends a call to some instance.
func (w *gatewayWorld) attempt(c *call) {
	c.attempts++
	w.nextKey++
	in := w.instances[w.random.IntN(len(w.instances))]
	in.waiting[w.nextKey] = c
	in.pool.Submit(&admission.Request{
		Key: w.nextKey, Service: llm, Tier: c.tier, PromptTokens: c.prompt, OutputTokens: c.output,
		Arrived: w.loop.now, SoftDeadline: c.first + c.kind.objective, Deadline: c.until,
	})
	in.advance()
}

func (in *gatewayInstance) advance() {
	for _, decision := range in.pool.Schedule(in.world.loop.now) {
		c := in.waiting[decision.Key]
		delete(in.waiting, decision.Key)
		if decision.Action == admission.Place {
			in.send(c, decision)
			continue
		}
		in.world.refused(c, decision.RetryAfter)
	}
	if in.pool.QueueLength() != in.told {
		in.report()
	}
	if len(in.waiting) > 0 && !in.ticking {
		in.ticking = true
		in.world.loop.after(gatewayTick, func() {
			in.ticking = false
			in.advance()
		})
	}
}

// refused lets a caller return once, within its patience.
func (w *gatewayWorld) refused(c *call, after time.Duration) {
	if c.attempts > 1 || w.loop.now+after >= c.until {
		w.result.count(c, func(k *GatewayKind) { k.Refused++ })
		return
	}
	w.loop.after(after+callerDelay, func() { w.attempt(c) })
}

// send runs a call at an engine.
func (in *gatewayInstance) send(c *call, decision admission.Decision) {
	w := in.world
	var target *engine
	for _, e := range w.engines {
		if e.name == decision.Upstream.ID {
			target = e
		}
	}
	sent, firstAt := w.loop.now, time.Duration(0)
	j := &job{firstTokens: sheetStride, arrival: &arrival{promptTokens: c.prompt, outputTokens: c.output}}
	end := func(result admission.Result) {
		in.pool.Finish(w.loop.now, target.name, decision.Key, result)
		in.report()
		in.advance()
	}
	j.first = func() {
		firstAt = w.loop.now
		in.pool.RecordFirstOutput(target.name, decision.Key)
		in.report()
	}
	j.done = func() {
		c.ended = true
		inTime := firstAt+networkDelay-c.first <= c.kind.objective
		w.result.count(c, func(k *GatewayKind) {
			if inTime {
				k.InTime++
			} else {
				k.Late++
			}
			k.Earned += c.kind.worthOf(c.prompt, c.output, inTime)
		})
		step := sheetSpec.step(target, len(target.running)-1, 0)
		end(admission.Result{Outcome: admission.Answered, TotalTime: w.loop.now - sent, EventInterval: time.Duration(step * sheetStride * float64(time.Second))})
	}
	j.failed = func() {}
	w.loop.after(networkDelay, func() {
		target.submit(j)
		w.result.Deepest = max(w.result.Deepest, len(target.running)+len(target.waiting))
	})
	w.loop.at(c.until, func() {
		if !c.ended {
			c.ended, j.dropped = true, true
			end(admission.Result{Outcome: admission.Cancelled})
		}
	})
	in.report()
}

// report tells the other instances what this one has, at most once in the time
// between two reports.
func (in *gatewayInstance) report() {
	if in.reporting {
		return
	}
	in.reporting = true
	w := in.world
	w.loop.at(max(w.loop.now, in.reported+w.task.ReportEvery), func() {
		in.reporting, in.reported, in.told = false, w.loop.now, in.pool.QueueLength()
		state := admission.PeerState{Demand: in.pool.Demand(false), Loads: map[string]admission.Load{}}
		in.pool.CollectLoads(state.Loads, false)
		for _, other := range w.instances {
			if other != in {
				w.loop.after(networkDelay, func() {
					other.pool.SetPeer(w.loop.now, in.name, state)
					other.advance()
				})
			}
		}
	})
}
