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

// prefillTokensPerStep limits the prefill work of one step. Prefill is chunked so
// that other requests keep decoding while a long prompt is processed.
const prefillTokensPerStep = 512

// maxLoadHistory limits the load history, from which delayed load reports are
// taken.
const maxLoadHistory = 256

// Engine simulates one engine. Requests make progress only while Run is running.
type Engine struct {
	config Config
	clock  clockwork.Clock
	// wake tells Run that a request was queued.
	wake chan struct{}

	mutex       sync.Mutex
	incarnation string
	// streams holds the streams that can be fetched, by request ID.
	streams map[string]*stream
	waiting []*stream
	running []*stream
	// tokensInUse is the number of prompt and output tokens of running requests.
	tokensInUse int
	prefixCache *blockCache
	// prefilledBlocks holds the hashes of all blocks processed so far.
	prefilledBlocks map[uint64]bool
	faults          Faults
	answersCut      int
	log             Log
	// recordIndexes maps request IDs to indexes in Log.Requests.
	recordIndexes map[string]int
	// loadHistory holds past load reports, oldest first.
	loadHistory []upstream.Load
	models      []string
	role        string
	lastFence   uint64
	orders      []OrderRecord
}

// stream is a request and its output, whether the answer is streamed or not.
type stream struct {
	id          string
	model       string
	blockHashes []uint64
	// crashesEngine is set if the body contains the crash marker.
	crashesEngine bool
	promptTokens  int
	// outputTokens is the number of output tokens to produce.
	outputTokens int
	// cachedTokens is the number of prompt tokens taken from the prefix cache.
	cachedTokens int
	// prefillRemaining is the number of prompt tokens still to be processed,
	// stepPrefill the part of it that the current step processes.
	prefillRemaining int
	stepPrefill      int
	// produced is the number of output tokens produced so far. Their text depends
	// only on the request and the sequence number, so that the output need not be
	// stored for a replay.
	produced int
	state    State
	endedAt  time.Time
	// changed is closed and replaced at each change of produced or state.
	changed chan struct{}
	// recordIndex is the index of the request in Log.Requests.
	recordIndex int
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
		config:          config,
		clock:           config.Clock,
		wake:            make(chan struct{}, 1),
		incarnation:     uuid.NewString(),
		streams:         map[string]*stream{},
		prefixCache:     newBlockCache(config.CacheTokens),
		prefilledBlocks: map[uint64]bool{},
		faults:          config.Faults,
		recordIndexes:   map[string]int{},
		models:          config.Models,
	}
	engine.recordLoad()
	return engine
}

// Run executes steps of the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	stepEnd := e.clock.Now()
	for {
		duration, busy := e.planStep()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			stepEnd = e.clock.Now()
			continue
		}
		// Each step is timed from the planned end of the previous one, so that the
		// errors of timers do not add up when steps are shorter than the timer
		// resolution.
		stepEnd = stepEnd.Add(duration)
		if !e.sleepUntil(ctx, stepEnd) {
			return
		}
		e.applyStep()
	}
}

// sleepUntil sleeps until the deadline. It returns false if ctx ends first.
func (e *Engine) sleepUntil(ctx context.Context, deadline time.Time) bool {
	wait := deadline.Sub(e.clock.Now())
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

// submit queues a request. Like an engine without a check for duplicates, it runs
// a request again whose ID is already in use; the log then has several receipts.
func (e *Engine) submit(id string, request chatRequest, body []byte) *stream {
	text := upstream.PromptText(request.Messages)
	s := &stream{
		id:           id,
		model:        request.Model,
		blockHashes:  upstream.PrefixHashes(text),
		promptTokens: max(1, len(text)/upstream.BytesPerToken),
		outputTokens: request.outputTokens(),
		state:        Waiting,
		changed:      make(chan struct{}),
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.crashesEngine = containsMarker(body, e.faults.CrashMarker)
	s.recordIndex = e.recordIndexes[id]
	e.streams[id] = s
	e.waiting = append(e.waiting, s)
	e.updateRecord(s)
	e.removeExpired()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

func containsMarker(body []byte, marker string) bool {
	return marker != "" && bytes.Contains(body, []byte(marker))
}

// planStep admits waiting requests, assigns the prefill work of one step, and
// returns the duration of the step, or false if no request is running.
func (e *Engine) planStep() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.admitWaiting()
	if len(e.running) == 0 {
		return 0, false
	}
	budget := prefillTokensPerStep
	decoding := 0
	for _, s := range e.running {
		if s.prefillRemaining == 0 {
			decoding++
			continue
		}
		s.stepPrefill = min(budget, s.prefillRemaining)
		budget -= s.stepPrefill
	}
	return e.stepDuration(prefillTokensPerStep-budget, decoding), true
}

// stepDuration returns the duration of a step that processes the given number of
// prompt tokens while the given number of requests decode.
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

func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && e.fitsBatch(e.waiting[0]) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(s)
	}
}

// fitsBatch reports whether a request can join the batch now.
func (e *Engine) fitsBatch(s *stream) bool {
	if len(e.running) == 0 {
		return true
	}
	tokensFit := e.tokensInUse+s.promptTokens+s.outputTokens <= e.config.MaxTokens
	return tokensFit && len(e.running) < e.config.MaxRunning
}

// start adds a request to the batch. Prompt tokens in the prefix cache need no
// prefill.
func (e *Engine) start(s *stream) {
	if s.crashesEngine {
		e.config.Exit(crashExitCode)
	}
	s.state = Running
	// The last token of a prompt is always processed, since it yields the first output
	// token.
	s.cachedTokens = min(e.prefixCache.matchPrefix(s.blockHashes)*blockTokens, s.promptTokens-1)
	s.prefillRemaining = s.promptTokens - s.cachedTokens
	e.tokensInUse += s.promptTokens + s.outputTokens
	e.running = append(e.running, s)
	e.log.CachedTokens += s.cachedTokens
	e.updateRecord(s)
	e.recordLoad()
}

// applyStep completes the planned step: it accounts for the prefill work and
// produces the output tokens.
func (e *Engine) applyStep() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, s := range e.running {
		e.advance(s)
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.state.ended() })
	e.recordLoad()
}

func (e *Engine) advance(s *stream) {
	if s.state.ended() {
		return
	}
	if s.prefillRemaining > 0 {
		e.prefill(s)
		if s.prefillRemaining > 0 {
			return
		}
	}
	s.produced++
	if s.produced >= s.outputTokens {
		e.end(s, Finished)
	}
	s.notifyChanged()
}

// prefill accounts for the prefill work of a step, and stores the blocks of the
// prompt in the prefix cache once the whole prompt is processed.
func (e *Engine) prefill(s *stream) {
	s.prefillRemaining -= s.stepPrefill
	e.log.PrefillTokens += s.stepPrefill
	e.log.Requests[s.recordIndex].PrefillTokens += s.stepPrefill
	s.stepPrefill = 0
	if s.prefillRemaining > 0 {
		return
	}
	for _, hash := range s.blockHashes[s.cachedTokens/blockTokens:] {
		if e.prefilledBlocks[hash] {
			e.log.RepeatedPrefillTokens += blockTokens
		}
		e.prefilledBlocks[hash] = true
	}
	e.prefixCache.store(e.clock.Now(), s.blockHashes)
}

// end marks a stream as finished or cancelled; the caller removes it from the batch.
func (e *Engine) end(s *stream, state State) {
	if s.state == Running {
		e.tokensInUse -= s.promptTokens + s.outputTokens
	}
	s.state = state
	s.endedAt = e.clock.Now()
	e.updateRecord(s)
}

func (s *stream) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// cancel cancels a request unless it has ended, and reports whether its ID is known.
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
	s.notifyChanged()
	return true
}

// removeExpired removes streams that ended longer ago than Retention.
func (e *Engine) removeExpired() {
	cutoff := e.clock.Now().Add(-e.config.Retention)
	for id, s := range e.streams {
		if s.state.ended() && s.endedAt.Before(cutoff) {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) findStream(id string) *stream {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.removeExpired()
	return e.streams[id]
}

// recordLoad adds the current load to the history, unless the newest report there
// is younger than an eighth of LoadReportLag.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	if count := len(e.loadHistory); count > 0 {
		if now.Sub(e.loadHistory[count-1].At) < e.config.LoadReportLag/8 {
			return
		}
	}
	e.loadHistory = append(e.loadHistory, e.currentLoad(now))
	if len(e.loadHistory) > maxLoadHistory {
		e.loadHistory = e.loadHistory[len(e.loadHistory)-maxLoadHistory:]
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
		Fence:        e.lastFence,
		At:           now,
	}
}

// delayedLoad returns the newest load report that is at least LoadReportLag old, or the
// oldest one in the history.
func (e *Engine) delayedLoad() upstream.Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	if e.config.LoadReportLag == 0 {
		return e.currentLoad(now)
	}
	e.recordLoad()
	latest := now.Add(-e.config.LoadReportLag)
	report := e.loadHistory[0]
	for _, load := range e.loadHistory {
		if load.At.After(latest) {
			break
		}
		report = load
	}
	return report
}

// applyOrder records an order, applies it unless its fencing number is too low, and
// reports whether it was applied.
func (e *Engine) applyOrder(order upstream.Order) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	accepted := !e.config.ChecksFencing || order.Fence >= e.lastFence
	record := OrderRecord{Order: order, At: e.clock.Now(), Accepted: accepted}
	e.orders = append(e.orders, record)
	if accepted {
		e.lastFence = order.Fence
		e.models = order.Models
		e.role = order.Role
		e.recordLoad()
	}
	return accepted
}
