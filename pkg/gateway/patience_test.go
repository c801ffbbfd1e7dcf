package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: refused callers come back while new ones arrive. Guards against
// taking a caller with little patience on another route for one that came back.
func TestCallerTimeoutsDetectRetries(t *testing.T) {
	g := NewWithT(t)
	var p callerTimeouts
	g.Expect(p.elapsedBefore("report", 15*time.Second)).To(BeZero())
	g.Expect(p.elapsedBefore("report", 14900*time.Millisecond)).To(BeZero())
	g.Expect(p.elapsedBefore("report", 11*time.Second)).To(Equal(4 * time.Second))
	g.Expect(p.elapsedBefore("tag", 3*time.Second)).To(BeZero())
	g.Expect(p.elapsedBefore("tag", 2*time.Second)).To(Equal(time.Second))
	g.Expect(p.elapsedBefore("tag", 0)).To(BeZero())
}

// Load pattern: the callers of a route differ by 15 in 100 in how long they
// wait. Guards against ranking most first attempts behind all others, as if
// their callers had been refused before.
func TestShorterFirstTimeoutIsNotARetry(t *testing.T) {
	g := NewWithT(t)
	var p callerTimeouts
	for _, left := range []time.Duration{12 * time.Second, 11500 * time.Millisecond, 10300 * time.Millisecond} {
		g.Expect(p.elapsedBefore("query", left)).To(BeZero(), left.String())
	}
	// A refused caller waits for a sixth of its patience at least.
	g.Expect(p.elapsedBefore("query", 9*time.Second)).NotTo(BeZero())
}
