package membudget_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/membudget"
)

// fill adds bytes until the buffer takes no more, and returns how many it took.
func fill(b *membudget.Buffer) int {
	total := 0
	for space := b.Space(); space != nil; space = b.Space() {
		b.Extend(len(space))
		total += len(space)
	}
	return total
}

// Guards against buffers that together hold more than the budget and their first sizes,
// and against a buffer that gets nothing once others have used up the budget.
func TestBuffersShareABudget(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(40)
	first, second := membudget.NewBuffer(budget, 8, 64), membudget.NewBuffer(budget, 8, 64)
	g.Expect(fill(first)).To(Equal(32))
	g.Expect(first.Full()).To(BeFalse())
	g.Expect(fill(second)).To(Equal(16))
	g.Expect(fill(membudget.NewBuffer(budget, 8, 64))).To(Equal(16))
	g.Expect(budget.FreeBytes()).To(BeZero())
	g.Expect(fill(membudget.NewBuffer(budget, 8, 64))).To(Equal(8))
}

// Guards against a budget that shrinks or grows as buffers are used.
func TestReleasedMemoryReturnsToTheBudget(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(100)
	buffer := membudget.NewBuffer(budget, 8, 64)
	g.Expect(fill(buffer)).To(Equal(64))
	g.Expect(buffer.Full()).To(BeTrue())
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(44))
	copy(buffer.Bytes()[60:], "rest")
	buffer.Discard(40)
	g.Expect(buffer.Bytes()).To(HaveLen(24))
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(44))
	buffer.Discard(20)
	g.Expect(string(buffer.Bytes())).To(Equal("rest"))
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(100))
	g.Expect(fill(buffer)).To(Equal(60))
	g.Expect(string(buffer.Bytes()[:4])).To(Equal("rest"))
	buffer.Release()
	buffer.Release()
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(100))
}

// Guards against a share that changes although it does not get what it needs, and against
// a reader without a budget that is limited.
func TestShares(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(100)
	share := membudget.NewShare(budget, 10)
	g.Expect(share.Resize(10)).To(BeTrue())
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(100))
	g.Expect(share.Resize(110)).To(BeTrue())
	g.Expect(budget.FreeBytes()).To(BeZero())
	g.Expect(share.Resize(111)).To(BeFalse())
	g.Expect(share.Resize(60)).To(BeTrue())
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(50))
	share.Release()
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(100))
	g.Expect(membudget.NewShare(nil, 0).Resize(1 << 40)).To(BeTrue())
}
