package engine

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// chunkTokens is the prefill work of one step. Prefill is chunked so that
// running streams keep decoding while a long prompt is processed.
const chunkTokens = 512

// maxLoadReports bounds the load history from which lagging reports are taken.
const maxLoadReports = 256

// Engine models one engine. Run must be running for requests to progress.
type Engine struct {
	config Config
	clock  clockwork.Clock
	wake   chan struct{}

	mutex       sync.Mutex
	incarnation string
	streams     map[string]*stream
	waiting     []*stream
	running     []*stream
	tokensInUse int
	cache       *blockCache
	prefilled   map[uint64]bool
	faults      Faults
	cuts        int
	log         Log
	logIndex    map[string]int
	loads       []upstream.Load
	models      []string
	role        string
	fence       uint64
	orders      []OrderRecord
}

// stream is one request and its output.
type stream struct {
	id     string
	model  string
	hashes []uint64
	marker bool
	// promptTokens and outputTokens are the request's size.
	promptTokens int
	outputTokens int
	cachedTokens int
	// prefillLeft is the prefill work that remains; chunk is the part done in
	// the current step.
	prefillLeft int
	chunk       int
	// produced counts output tokens. Their text is a function of request and
	// sequence, so that a stream is replayed without keeping it.
	produced   int
	state      State
	finishedAt time.Time
	// changed is closed and replaced at every progress.
	changed chan struct{}
	record  int
}

// State is the state of a request in an engine.
type State string

// States of a request.
const (
	Waiting   State = "waiting"
	Running   State = "running"
	Finished  State = "finished"
	Cancelled State = "cancelled"
)

func (s State) ended() bool { return s == Finished || s == Cancelled }

// New returns an engine with the given configuration.
func New(config Config) *Engine {
	config = config.withDefaults()
	engine := &Engine{
		config:      config,
		clock:       config.Clock,
		wake:        make(chan struct{}, 1),
		incarnation: uuid.NewString(),
		streams:     map[string]*stream{},
		cache:       newBlockCache(config.CacheTokens),
		prefilled:   map[uint64]bool{},
		faults:      config.Faults,
		logIndex:    map[string]int{},
		models:      config.Models,
	}
	engine.recordLoad()
	return engine
}

// Run executes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	next := e.clock.Now()
	for {
		duration, busy := e.plan()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			next = e.clock.Now()
			continue
		}
		// Steps are timed from the end of the previous one, so that a late
		// timer does not accumulate when steps are shorter than its resolution.
		next = next.Add(duration)
		if !e.sleepUntil(ctx, next) {
			return
		}
		e.apply()
	}
}

func (e *Engine) sleepUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(e.clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := e.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// submit queues a request. A request ID that is in use is run again, as an
// engine without a check for duplicates does; the log shows it.
func (e *Engine) submit(id string, request chatRequest, body []byte) *stream {
	text := upstream.PromptText(request.Messages)
	s := &stream{
		id:           id,
		model:        request.Model,
		hashes:       upstream.PrefixHashes(text),
		promptTokens: max(1, len(text)/upstream.BytesPerToken),
		outputTokens: request.outputTokens(),
		state:        Waiting,
		changed:      make(chan struct{}),
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.marker = contains(body, e.faults.CrashMarker)
	s.record = e.logIndex[id]
	e.streams[id] = s
	e.waiting = append(e.waiting, s)
	e.note(s)
	e.sweep()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

func contains(body []byte, marker string) bool {
	return marker != "" && bytes.Contains(body, []byte(marker))
}

// plan admits waiting requests, assigns prefill work for one step, and returns
// the duration of the step.
func (e *Engine) plan() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	budget := chunkTokens
	decoding := 0
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding++
			continue
		}
		s.chunk = min(budget, s.prefillLeft)
		budget -= s.chunk
	}
	return e.stepDuration(chunkTokens-budget, decoding), true
}

func (e *Engine) stepDuration(prefill, decoding int) time.Duration {
	if e.config.Speed == 0 {
		return 0
	}
	seconds := float64(prefill) / e.config.PrefillTokensPerSecond
	if decoding > 0 {
		slowdown := 1 + e.config.BatchSlowdown*float64(decoding-1)
		seconds += slowdown / e.config.DecodeTokensPerSecond
	}
	if e.faults.SlowFactor > 0 {
		seconds *= e.faults.SlowFactor
	}
	return time.Duration(seconds / e.config.Speed * float64(time.Second))
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && e.fits(e.waiting[0]) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(s)
	}
}

func (e *Engine) fits(s *stream) bool {
	if len(e.running) == 0 {
		return true
	}
	fitsTokens := e.tokensInUse+s.promptTokens+s.outputTokens <= e.config.MaxTokens
	return fitsTokens && len(e.running) < e.config.MaxRunning
}

func (e *Engine) start(s *stream) {
	if s.marker {
		e.config.Exit(crashExitCode)
	}
	s.state = Running
	// The last token of a prompt is always processed, as it yields the first output.
	s.cachedTokens = min(e.cache.match(s.hashes)*blockTokens, s.promptTokens-1)
	s.prefillLeft = s.promptTokens - s.cachedTokens
	e.tokensInUse += s.promptTokens + s.outputTokens
	e.running = append(e.running, s)
	e.log.CachedTokens += s.cachedTokens
	e.note(s)
	e.recordLoad()
}

// apply accounts for the work of the planned step and emits its tokens.
func (e *Engine) apply() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, s := range e.running {
		e.progress(s)
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.state.ended() })
	e.recordLoad()
}

func (e *Engine) progress(s *stream) {
	if s.state.ended() {
		return
	}
	if s.prefillLeft > 0 {
		e.prefill(s)
		if s.prefillLeft > 0 {
			return
		}
	}
	s.produced++
	if s.produced >= s.outputTokens {
		e.end(s, Finished)
	}
	s.announce()
}

func (e *Engine) prefill(s *stream) {
	s.prefillLeft -= s.chunk
	e.log.PrefillTokens += s.chunk
	e.log.Requests[s.record].PrefillTokens += s.chunk
	s.chunk = 0
	if s.prefillLeft > 0 {
		return
	}
	for _, hash := range s.hashes[s.cachedTokens/blockTokens:] {
		if e.prefilled[hash] {
			e.log.RepeatedPrefillTokens += blockTokens
		}
		e.prefilled[hash] = true
	}
	e.cache.store(e.clock.Now(), s.hashes)
}

// end finishes or cancels a stream; the caller removes it from the batch.
func (e *Engine) end(s *stream, state State) {
	if s.state == Running {
		e.tokensInUse -= s.promptTokens + s.outputTokens
	}
	s.state = state
	s.finishedAt = e.clock.Now()
	e.note(s)
}

func (s *stream) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// cancel stops a stream that has not ended.
func (e *Engine) cancel(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return false
	}
	if s.state.ended() {
		return true
	}
	e.end(s, Cancelled)
	e.waiting = slices.DeleteFunc(e.waiting, func(other *stream) bool { return other == s })
	e.running = slices.DeleteFunc(e.running, func(other *stream) bool { return other == s })
	s.announce()
	return true
}

// sweep forgets streams that ended longer ago than Keep.
func (e *Engine) sweep() {
	oldest := e.clock.Now().Add(-e.config.Keep)
	for id, s := range e.streams {
		if s.state.ended() && s.finishedAt.Before(oldest) {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) find(id string) *stream {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sweep()
	return e.streams[id]
}

// recordLoad adds the current load to the history, at most once per eighth
// of the lag.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	if count := len(e.loads); count > 0 {
		if now.Sub(e.loads[count-1].At) < e.config.LoadLag/8 {
			return
		}
	}
	e.loads = append(e.loads, e.currentLoad(now))
	if len(e.loads) > maxLoadReports {
		e.loads = e.loads[len(e.loads)-maxLoadReports:]
	}
}

func (e *Engine) currentLoad(now time.Time) upstream.Load {
	return upstream.Load{
		Incarnation:  e.incarnation,
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		TokensInUse:  e.tokensInUse,
		Leaving:      e.faults.Leaving,
		LoadedModels: slices.Clone(e.models),
		Role:         e.role,
		Fence:        e.fence,
		At:           now,
	}
}

// laggingLoad returns the newest report that is at least LoadLag old, or the
// oldest one that is kept.
func (e *Engine) laggingLoad() upstream.Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	if e.config.LoadLag == 0 {
		return e.currentLoad(now)
	}
	e.recordLoad()
	limit := now.Add(-e.config.LoadLag)
	report := e.loads[0]
	for _, load := range e.loads {
		if load.At.After(limit) {
			break
		}
		report = load
	}
	return report
}

// order applies an order and reports whether it was accepted.
func (e *Engine) order(order upstream.Order) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	accepted := !e.config.ChecksFencing || order.Fence >= e.fence
	record := OrderRecord{Order: order, At: e.clock.Now(), Accepted: accepted}
	e.orders = append(e.orders, record)
	if accepted {
		e.fence = order.Fence
		e.models = order.Models
		e.role = order.Role
		e.recordLoad()
	}
	return accepted
}
