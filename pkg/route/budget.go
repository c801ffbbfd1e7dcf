package route

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// LinkBytesPerSecond is the capacity of the link between regions in one
	// direction: 30 Mbit/s.
	LinkBytesPerSecond = 30_000_000 / 8
	// usableLinkFraction is the part of the link that requests may use; the rest is
	// left to other traffic of the platform and its users.
	usableLinkFraction = 0.5
	// burstSeconds is the time for which unused budget accumulates. A prompt of
	// 100,000 tokens is about 400 KB, more than the share of one instance for one
	// second.
	burstSeconds = 30
	// EventBytes is the size of one token's event on a stream.
	EventBytes = 200
)

// Budget limits the bytes that this instance sends between regions. Each instance
// has an equal share, which needs no coordination; the sum over all instances stays
// below the usable part of the link.
type Budget struct {
	mu        sync.Mutex
	clock     clockwork.Clock
	instances func() int
	available float64
	refilled  time.Time
}

// NewBudget returns an empty budget. instances returns the number of instances that
// share the link.
func NewBudget(clock clockwork.Clock, instances func() int) *Budget {
	return &Budget{clock: clock, instances: instances, refilled: clock.Now()}
}

// RequestBytes estimates the bytes that a request moves between regions. Each
// direction has its own capacity, so the larger one counts.
func RequestBytes(promptBytes, outputTokens int) int {
	return max(promptBytes, outputTokens*EventBytes)
}

// Take reserves bytes and reports whether the budget allowed it.
func (b *Budget) Take(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if float64(bytes) > b.available {
		return false
	}
	b.available -= float64(bytes)
	return true
}

// Return gives back bytes of a request that was not dispatched.
func (b *Budget) Return(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += float64(bytes)
}

func (b *Budget) refill() {
	now := b.clock.Now()
	rate := LinkBytesPerSecond * usableLinkFraction / float64(max(1, b.instances()))
	b.available += rate * now.Sub(b.refilled).Seconds()
	b.available = min(b.available, rate*burstSeconds)
	b.refilled = now
}
