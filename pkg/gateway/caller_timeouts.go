package gateway

import (
	"sync"
	"time"
)

const (
	// firstAttemptThreshold is the fraction of the longest timeout seen on a route
	// from which a request counts as a caller's first attempt. The timeouts of one
	// route's callers differ by 15 in 100. Callers that were refused have lost more
	// than that, since the Retry-After that package admission sets lets none
	// return sooner.
	firstAttemptThreshold = 0.84
	// maxRoutes bounds the memory used for routes that no longer exist.
	maxRoutes = 4096
)

// callerTimeouts keeps the longest timeout that callers of each route have sent. A
// caller that retries after a refusal sends a shorter one, namely the rest of its
// time. callerTimeouts is safe for concurrent use.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// elapsedBefore estimates, from the timeout that a caller sent, how long ago its
// first attempt was. It returns 0 for a first attempt and if the caller sent no
// timeout.
func (t *callerTimeouts) elapsedBefore(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longest == nil || len(t.longest) > maxRoutes {
		t.longest = map[string]time.Duration{}
	}
	longest := t.longest[route]
	if remaining > longest {
		t.longest[route] = remaining
		return 0
	}
	if float64(remaining) >= firstAttemptThreshold*float64(longest) {
		return 0
	}
	return longest - remaining
}
