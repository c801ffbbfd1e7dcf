package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: refused callers come back while new ones arrive. Guards against
// taking a caller with little patience on another route for one that came back.
func TestPatienceTellsReturningCallers(t *testing.T) {
	g := NewWithT(t)
	var p patience
	g.Expect(p.spent("report", 15*time.Second)).To(BeZero())
	g.Expect(p.spent("report", 14900*time.Millisecond)).To(BeZero())
	g.Expect(p.spent("report", 11*time.Second)).To(Equal(4 * time.Second))
	g.Expect(p.spent("tag", 3*time.Second)).To(BeZero())
	g.Expect(p.spent("tag", 2*time.Second)).To(Equal(time.Second))
	g.Expect(p.spent("tag", 0)).To(BeZero())
}

// Load pattern: the callers of a route differ by 15 in 100 in how long they
// wait. Guards against ranking most first attempts behind all others, as if
// their callers had been refused before.
func TestCallersWithLessPatienceThanOthersAreNoReturningOnes(t *testing.T) {
	g := NewWithT(t)
	var p patience
	for _, left := range []time.Duration{12 * time.Second, 11500 * time.Millisecond, 10300 * time.Millisecond} {
		g.Expect(p.spent("query", left)).To(BeZero(), left.String())
	}
	// A refused caller waits for a sixth of its patience at least.
	g.Expect(p.spent("query", 9*time.Second)).NotTo(BeZero())
}
