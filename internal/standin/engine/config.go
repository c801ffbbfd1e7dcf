// Package engine is a stand-in for an LLM inference engine with an HTTP interface.
// It simulates the timing of continuous batching with chunked prefill, a prefix
// cache of limited size and a FIFO queue, and it can inject faults.
package engine

import (
	"os"
	"time"

	"github.com/jonboulle/clockwork"
)

// Config configures an engine. Zero values get the defaults of withDefaults.
type Config struct {
	// Name is the upstream's name in event IDs.
	Name string
	// Models are the loaded model versions; an engine without any serves every model.
	Models []string
	// PrefillTokensPerSecond is the prefill rate, shared by all requests of the batch.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the decode rate of a request that runs alone.
	DecodeTokensPerSecond float64
	// BatchSlowdown is the relative increase in the duration of a decode step per
	// additional request that decodes.
	BatchSlowdown float64
	// MaxRunning and MaxTokens limit the requests and tokens of the batch; other
	// requests wait. A request larger than MaxTokens runs alone.
	MaxRunning int
	MaxTokens  int
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// Speed is the number of simulated seconds per second of Clock. It scales
	// prefill and decode only, not LoadReportLag and CacheEventLag. With zero,
	// prefill and decode take no time.
	Speed float64
	// Retention is the retention period of ended requests. Until it has passed, clients
	// can fetch the answer of a finished request again.
	Retention time.Duration
	// LoadReportLag is the minimum age of load reports, CacheEventLag that of cache events.
	LoadReportLag time.Duration
	CacheEventLag time.Duration
	// DropCacheEventEvery drops every n-th cache event. Zero drops none.
	DropCacheEventEvery int
	// ChecksFencing makes the engine refuse orders whose fencing number is below
	// that of the last accepted one.
	ChecksFencing bool
	Faults        Faults
	Clock         clockwork.Clock
	// Exit ends the process when a request with the crash marker starts; tests
	// replace it.
	Exit func(code int)
}

// Faults are the faults that an engine injects. The zero value injects none.
type Faults struct {
	// SlowFactor multiplies the duration of each step. Zero means one.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// CrashMarker ends the process when a request whose body contains it starts to
	// run.
	CrashMarker string `json:"crashMarker,omitempty"`
	// ResetMarker resets the connection of a request whose body contains it, after
	// the body was read. The request still runs.
	ResetMarker string `json:"resetMarker,omitempty"`
	// CutAfter closes the connection of a streamed answer after that many events.
	// Answers that are not streamed are cut off halfway. CutTimes limits the number
	// of answers that are cut; zero means no limit.
	CutAfter int `json:"cutAfter,omitempty"`
	CutTimes int `json:"cutTimes,omitempty"`
	// WrongRequestID replaces the request ID in answers.
	WrongRequestID string `json:"wrongRequestID,omitempty"`
	// DuplicateEvery sends every n-th event twice.
	DuplicateEvery int `json:"duplicateEvery,omitempty"`
	// SkipEvery omits every n-th event.
	SkipEvery int `json:"skipEvery,omitempty"`
	// DelayMs delays the header of each answer, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// Leaving sets the field "leaving" of load reports: the engine is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}

// Default values of Config.
const (
	defaultPrefillTokensPerSecond = 8000
	defaultDecodeTokensPerSecond  = 50
	defaultBatchSlowdown          = 0.03
	defaultMaxRunning             = 32
	defaultMaxTokens              = 200_000
	defaultCacheTokens            = 200_000
	defaultRetention              = 2 * time.Minute
)

func (c Config) withDefaults() Config {
	setIfZero(&c.Name, "engine")
	setIfZero(&c.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	setIfZero(&c.DecodeTokensPerSecond, defaultDecodeTokensPerSecond)
	setIfZero(&c.BatchSlowdown, defaultBatchSlowdown)
	setIfZero(&c.MaxRunning, defaultMaxRunning)
	setIfZero(&c.MaxTokens, defaultMaxTokens)
	setIfZero(&c.CacheTokens, defaultCacheTokens)
	setIfZero(&c.Retention, defaultRetention)
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Exit == nil {
		c.Exit = os.Exit
	}
	return c
}

func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
