// Package engine is a stand-in of a model engine over HTTP. It models
// continuous batching with chunked prefill, a prefix cache of limited size and
// a first-in first-out queue, and it can inject faults.
package engine

import (
	"os"
	"time"

	"github.com/jonboulle/clockwork"
)

// Config configures an engine. Zero values get the defaults of withDefaults.
type Config struct {
	// Name is the upstream's name in event IDs.
	Name   string
	Models []string
	// PrefillTokensPerSecond is shared by all requests of the batch.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the rate of one stream that runs alone.
	DecodeTokensPerSecond float64
	// BatchSlowdown is the relative growth of a decode step per further stream.
	BatchSlowdown float64
	// MaxRunning and MaxTokens limit the batch; further requests wait. A
	// request larger than MaxTokens runs alone.
	MaxRunning int
	MaxTokens  int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// Speed is modelled seconds per second of Clock. It scales prefill and
	// decode only, not lags. Zero makes prefill and decode take no time.
	Speed float64
	// Keep is how long finished, cancelled and cut streams can be fetched again.
	Keep time.Duration
	// LoadLag is the age of load reports; CacheLag that of cache events.
	LoadLag  time.Duration
	CacheLag time.Duration
	// LoseCacheEvery drops every n-th cache event; zero drops none.
	LoseCacheEvery int
	// ChecksFencing refuses an order whose fencing number is below the last.
	ChecksFencing bool
	Faults        Faults
	Clock         clockwork.Clock
	// Exit ends the process on a crash marker; tests replace it.
	Exit func(code int)
}

// Faults are the faults that an engine injects.
type Faults struct {
	// SlowFactor multiplies the duration of each step; zero means one.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// CrashMarker in a body ends the process when the request starts to run.
	CrashMarker string `json:"crashMarker,omitempty"`
	// ResetMarker in a body resets the connection after the body was read; the
	// request still runs.
	ResetMarker string `json:"resetMarker,omitempty"`
	// CutAfter cuts each stream's connection after that many events, and each
	// whole answer halfway. CutTimes limits how many answers are cut; zero does not.
	CutAfter int `json:"cutAfter,omitempty"`
	CutTimes int `json:"cutTimes,omitempty"`
	// WrongRequestID replaces the request ID on answers.
	WrongRequestID string `json:"wrongRequestID,omitempty"`
	// DuplicateEvery sends every n-th event twice.
	DuplicateEvery int `json:"duplicateEvery,omitempty"`
	// SkipEvery leaves out every n-th event.
	SkipEvery int `json:"skipEvery,omitempty"`
	// DelayMs delays the head of each answer, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// Leaving is shown in load reports.
	Leaving bool `json:"leaving,omitempty"`
}

// Defaults of Config.
const (
	defaultPrefillTokensPerSecond = 8000
	defaultDecodeTokensPerSecond  = 50
	defaultBatchSlowdown          = 0.03
	defaultMaxRunning             = 32
	defaultMaxTokens              = 200_000
	defaultCacheTokens            = 200_000
	defaultKeep                   = 2 * time.Minute
)

func (c Config) withDefaults() Config {
	setIfZero(&c.Name, "engine")
	setIfZero(&c.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	setIfZero(&c.DecodeTokensPerSecond, defaultDecodeTokensPerSecond)
	setIfZero(&c.BatchSlowdown, defaultBatchSlowdown)
	setIfZero(&c.MaxRunning, defaultMaxRunning)
	setIfZero(&c.MaxTokens, defaultMaxTokens)
	setIfZero(&c.CacheTokens, defaultCacheTokens)
	setIfZero(&c.Keep, defaultKeep)
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
