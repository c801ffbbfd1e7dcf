package gateway

import (
	"sync"
	"time"
)

const (
	// firstAttemptShare is the part of the longest patience seen on a route from
	// which a request counts as a caller's first attempt. Callers of one route
	// differ by 15 in 100; those that were refused have lost more than that, since
	// retryShare and retrySpread let none return sooner.
	firstAttemptThreshold = 0.84
	// routesKept bounds the memory for routes that come and go.
	maxRoutes = 4096
)

// patience learns how long the callers of each route usually wait. A caller that
// comes back after a refusal has less time left than that. It is safe for
// concurrent use.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// spent returns how long a caller has tried before, as far as its patience
// shows it; 0 for a first attempt.
func (p *callerTimeouts) elapsedBefore(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil || len(p.longest) > maxRoutes {
		p.longest = map[string]time.Duration{}
	}
	longest := p.longest[route]
	if remaining > longest {
		p.longest[route] = remaining
		return 0
	}
	if float64(remaining) >= firstAttemptThreshold*float64(longest) {
		return 0
	}
	return longest - remaining
}
