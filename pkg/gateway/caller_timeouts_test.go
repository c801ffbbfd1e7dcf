package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: refused callers retry while new ones arrive. Guards against taking
// a first attempt for a retry because another route has longer timeouts.
func TestCallerTimeoutsDetectRetries(t *testing.T) {
	g := NewWithT(t)
	var timeouts callerTimeouts
	g.Expect(timeouts.elapsedBefore("report", 15*time.Second)).To(BeZero())
	g.Expect(timeouts.elapsedBefore("report", 14900*time.Millisecond)).To(BeZero())
	g.Expect(timeouts.elapsedBefore("report", 11*time.Second)).To(Equal(4 * time.Second))
	g.Expect(timeouts.elapsedBefore("tag", 3*time.Second)).To(BeZero())
	g.Expect(timeouts.elapsedBefore("tag", 2*time.Second)).To(Equal(time.Second))
	g.Expect(timeouts.elapsedBefore("tag", 0)).To(BeZero())
}

// Load pattern: the timeouts of a route's callers differ by 15 in 100. Guards
// against ranking most first attempts wrongly, as if they were retries.
func TestShorterFirstTimeoutIsNotARetry(t *testing.T) {
	g := NewWithT(t)
	var timeouts callerTimeouts
	for _, remaining := range []time.Duration{12 * time.Second, 11500 * time.Millisecond, 10300 * time.Millisecond} {
		g.Expect(timeouts.elapsedBefore("query", remaining)).To(BeZero(), remaining.String())
	}
	// A refused caller waits for at least a sixth of its timeout.
	g.Expect(timeouts.elapsedBefore("query", 9*time.Second)).NotTo(BeZero())
}
