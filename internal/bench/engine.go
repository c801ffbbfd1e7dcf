package bench

import (
	"container/list"
	"slices"
	"strconv"
	"time"
)

// Parameters of the modelled stand-in engines.
const (
	// maxBatchRequests is the number of requests that an engine runs at once.
	maxBatchRequests = 32
	// maxBatchTokens is the number of KV cache tokens for running requests.
	maxBatchTokens = 120_000
	// maxCacheTokens is the capacity of the prefix cache.
	maxCacheTokens = 60_000
	// prefillChunkTokens is the number of prompt tokens processed per step.
	prefillChunkTokens = 2048
	// stepSlowdownPerRequest is the relative growth of the duration of a step per
	// decoding request.
	stepSlowdownPerRequest = 0.03
)

// hardwareGenerations holds prefill tokens per second, and decode tokens per
// second of a request that runs alone, for each of three hardware generations.
var hardwareGenerations = [][2]float64{{4000, 30}, {8000, 50}, {12000, 70}}

// batchingModel describes the batching of an engine.
type batchingModel struct {
	// maxRequests is the number of requests that run at once, maxTokens the number
	// of KV cache tokens that they may reserve, and chunkTokens the number of
	// prompt tokens processed per step.
	maxRequests, maxTokens, chunkTokens int
	// stepSeconds returns the duration of a step.
	stepSeconds func(e *engine, decodingRequests, prefillTokens int) float64
}

// standinBatching models the stand-in engines (internal/standin/engine).
var standinBatching = batchingModel{maxRequests: maxBatchRequests, maxTokens: maxBatchTokens, chunkTokens: prefillChunkTokens, stepSeconds: func(e *engine, decodingRequests, prefillTokens int) float64 {
	seconds := float64(prefillTokens) / e.prefillRate
	if decodingRequests > 0 {
		seconds += (1 + stepSlowdownPerRequest*float64(decodingRequests)) / e.decodeRate
	}
	return seconds
}}

// job is a request at an engine.
type job struct {
	arrival *arrival
	// remainingPrefill is the number of prompt tokens still to be processed.
	remainingPrefill int
	// cachedTokens is the number of prompt tokens found in the prefix cache.
	cachedTokens int
	// reservedTokens is the number of KV cache tokens reserved for the request.
	reservedTokens int
	// prefilledTokens is the number of prompt tokens processed so far, and
	// repeatedTokens the part that some engine had already processed before.
	prefilledTokens int
	repeatedTokens  int
	producedTokens  int
	cancelled       bool
	// firstOutputTokens is the number of tokens in the first output; 0 means 1.
	firstOutputTokens int
	onFirstOutput     func()
	onCompleted       func()
	onFailed          func()
}

// engine models an inference engine with continuous batching: in each step, every
// decoding request produces one token, and one chunk of prompt tokens is
// processed. Requests are admitted and prefilled in order of arrival, without
// priorities.
type engine struct {
	loop           *eventLoop
	name           string
	prefillRate    float64 // tokens per second
	decodeRate     float64 // tokens per second, or relative speed with gatewayBatching
	slowdown       float64 // factor of the duration of each step
	crashed        bool
	waiting        []*job
	running        []*job
	reservedTokens int
	stepRunning    bool
	batching       *batchingModel
	models         []string
	cache          prefixCache
	// onPrefillCompleted is called for each job whose prompt has been processed.
	onPrefillCompleted func(j *job)
}

// batchingOrDefault returns the batching model; standinBatching is the default.
func (e *engine) batchingOrDefault() *batchingModel {
	if e.batching == nil {
		return &standinBatching
	}
	return e.batching
}

func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	e.startStep()
}

// crash stops the engine and fails its waiting and running jobs.
func (e *engine) crash() {
	e.crashed = true
	jobs := slices.Concat(e.waiting, e.running)
	e.waiting, e.running = nil, nil
	for _, j := range jobs {
		if !j.cancelled {
			j.onFailed()
		}
	}
}

// admit moves waiting jobs into the batch in order of arrival, as far as there
// are slots and KV cache tokens. A job is always admitted to an empty batch.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.batchingOrDefault().maxRequests {
		j := e.waiting[0]
		// Requests share the KV cache of a cached prefix, so only the remaining
		// tokens are reserved.
		cached := e.cache.lookup(j.arrival.prefixID, j.arrival.prefixTokens)
		j.reservedTokens = j.arrival.promptTokens - cached + j.arrival.outputTokens
		if !j.cancelled && e.reservedTokens+j.reservedTokens > e.batchingOrDefault().maxTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		if j.cancelled {
			continue
		}
		j.cachedTokens = cached
		j.remainingPrefill = j.arrival.promptTokens - cached
		e.reservedTokens += j.reservedTokens
		e.running = append(e.running, j)
	}
}

// removeEnded removes completed and cancelled jobs from the batch.
func (e *engine) removeEnded() {
	kept := e.running[:0]
	for _, j := range e.running {
		if j.cancelled || j.producedTokens >= j.arrival.outputTokens {
			e.reservedTokens -= j.reservedTokens
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
}

// startStep starts the next step, unless one is running or there are no jobs.
func (e *engine) startStep() {
	if e.stepRunning || e.crashed {
		return
	}
	e.removeEnded()
	e.admit()
	if len(e.running) == 0 {
		return
	}
	decodingRequests, prefillTokens := e.planStep()
	seconds := e.batchingOrDefault().stepSeconds(e, decodingRequests, prefillTokens)
	e.stepRunning = true
	e.loop.scheduleAfter(time.Duration(seconds*e.slowdown*float64(time.Second)), func() { e.finishStep(prefillTokens) })
}

// planStep returns the number of decoding requests and of prompt tokens to be
// processed in the next step.
func (e *engine) planStep() (decodingRequests, prefillTokens int) {
	for _, j := range e.running {
		if j.remainingPrefill == 0 {
			decodingRequests++
			continue
		}
		prefillTokens += min(j.remainingPrefill, e.batchingOrDefault().chunkTokens-prefillTokens)
	}
	return decodingRequests, prefillTokens
}

// finishStep applies the effects of the step that has ended and starts the next.
func (e *engine) finishStep(prefillTokens int) {
	e.stepRunning = false
	if e.crashed {
		return
	}
	for _, j := range e.running {
		if j.remainingPrefill == 0 {
			e.produceToken(j)
			continue
		}
		prefilled := min(j.remainingPrefill, prefillTokens)
		prefillTokens -= prefilled
		j.remainingPrefill -= prefilled
		j.prefilledTokens += prefilled
		if j.remainingPrefill == 0 && prefilled > 0 {
			e.cache.store(j.arrival.prefixID, j.arrival.prefixTokens)
			e.cache.store(suffixID(j.arrival), j.arrival.promptTokens-j.arrival.prefixTokens)
			e.onPrefillCompleted(j)
			e.produceToken(j)
		}
	}
	e.startStep()
}

// minTimeToFirstToken returns the time to the first token of a request if the
// engine were idle.
func (e *engine) minTimeToFirstToken(a *arrival) time.Duration {
	uncached := a.promptTokens - e.cache.peek(a.prefixID, a.prefixTokens)
	return time.Duration(float64(uncached) / e.prefillRate * e.slowdown * float64(time.Second))
}

func (e *engine) produceToken(j *job) {
	if j.cancelled {
		return
	}
	j.producedTokens++
	if j.producedTokens == max(1, j.firstOutputTokens) {
		j.onFirstOutput()
	}
	if j.producedTokens == j.arrival.outputTokens {
		j.onCompleted()
	}
}

// prefixCache models the prefix cache of an engine. Its size is limited in tokens;
// the least recently used entries are evicted first.
type prefixCache struct {
	tokens  int
	lru     list.List
	entries map[string]*list.Element
	// onChange is called for each stored (stored is true) or evicted entry.
	onChange func(id string, tokens int, stored bool)
}

type cacheEntry struct {
	id     string
	tokens int
}

// lookup returns the number of cached tokens, at most maxTokens, and marks the
// entry as used.
func (c *prefixCache) lookup(id string, maxTokens int) int {
	if element := c.entries[id]; element != nil {
		c.lru.MoveToFront(element)
	}
	return c.peek(id, maxTokens)
}

// peek returns the same as lookup without marking the entry as used.
func (c *prefixCache) peek(id string, maxTokens int) int {
	element := c.entries[id]
	if element == nil {
		return 0
	}
	return min(maxTokens, element.Value.(*cacheEntry).tokens)
}

func (c *prefixCache) store(id string, tokens int) {
	if element := c.entries[id]; element != nil {
		entry := element.Value.(*cacheEntry)
		c.tokens += max(0, tokens-entry.tokens)
		entry.tokens = max(tokens, entry.tokens)
		c.lru.MoveToFront(element)
	} else {
		c.entries[id] = c.lru.PushFront(&cacheEntry{id, tokens})
		c.tokens += tokens
		c.onChange(id, tokens, true)
	}
	for c.tokens > maxCacheTokens {
		entry := c.lru.Remove(c.lru.Back()).(*cacheEntry)
		delete(c.entries, entry.id)
		c.tokens -= entry.tokens
		c.onChange(entry.id, entry.tokens, false)
	}
}

// suffixID returns the cache key of the part of a prompt after the shared prefix.
func suffixID(a *arrival) string { return a.prefixID + "#" + strconv.Itoa(a.index) }
