package storesync

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func fixedNow() time.Duration { return time.Minute }

// Failure: the store can no longer be read. Guards against a waiting watch that does
// not return when the store starts to fail, and against a watch that begins during
// the failure and returns at once.
func TestWatchReturnsWhenStoreFails(t *testing.T) {
	g := NewWithT(t)
	kept := NewCopy(fixedNow)
	kept.apply(Update{Position: Position{Revision: 5}, Changed: []Object{{Name: "a", Revision: 1}}}, 0)
	answers := make(chan Changes)
	watch := func(ctx context.Context) {
		changes, err := kept.Watch(ctx, Position{Revision: 5})
		if err == nil {
			answers <- changes
		}
	}
	go watch(context.Background())
	g.Consistently(answers, "20ms").ShouldNot(Receive())
	kept.setStoreFailing()
	var changes Changes
	g.Eventually(answers, "20s").Should(Receive(&changes))
	g.Expect(changes.StoreFailing).To(BeTrue())

	ended, end := context.WithCancel(context.Background())
	go watch(ended)
	g.Consistently(answers, "20ms").ShouldNot(Receive())
	end()
	g.Eventually(answers, "20s").Should(Receive(&changes))
	kept.apply(Update{Position: Position{Revision: 6}}, 0)
	changes, _, _ = kept.changesSince(Position{Revision: 5})
	g.Expect(changes.StoreFailing).To(BeFalse())
}

// Failure: all instances restart, and followers call the relay before it has read the
// store. Guards against each of them reading the store instead.
func TestListWaitsForFirstUpdate(t *testing.T) {
	g := NewWithT(t)
	kept := NewCopy(fixedNow)
	ended, end := context.WithCancel(context.Background())
	end()
	_, known := kept.List(ended)
	g.Expect(known).To(BeFalse())
	go kept.apply(Update{Position: Position{Revision: 5}}, 0)
	listing, known := kept.List(context.Background())
	g.Expect(known).To(BeTrue())
	g.Expect(listing.Revision).To(BeEquivalentTo(5))
}

// Load pattern: a configuration of nearly 1 MB changes at each update. Guards against a
// history whose memory grows with the size of the objects, and against followers that miss
// what was dropped from it.
func TestHistoryIsBoundedByBytes(t *testing.T) {
	g := NewWithT(t)
	kept := NewCopy(fixedNow)
	const updates, objectBytes = 240, 870_000
	for revision := range uint64(updates) {
		kept.apply(Update{Position: Position{Revision: revision + 1}, Changed: []Object{{Name: "main", Revision: revision + 1, Spec: make([]byte, objectBytes)}}}, 0)
	}
	heldBytes := 0
	for _, e := range kept.history[:cap(kept.history)] {
		heldBytes += len(e.event.Object.Spec)
	}
	g.Expect(heldBytes).To(BeNumerically("<=", maxHistoryBytes), "dropped events are not referenced any more")
	changes, _, err := kept.changesSince(Position{Revision: updates - 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Events).To(HaveLen(1))
	_, _, err = kept.changesSince(Position{Revision: updates / 2})
	g.Expect(err).To(MatchError(ErrCompacted))
	listing, _, _ := kept.snapshot()
	g.Expect(listing.Objects).To(HaveLen(1))
}

// Guards against a bound that drops an object larger than itself before any follower has it,
// and against one that shortens the history of small objects.
func TestHistoryKeepsLargestAndManySmallObjects(t *testing.T) {
	g := NewWithT(t)
	kept := NewCopy(fixedNow)
	kept.apply(Update{Position: Position{Revision: 1}}, 0)
	kept.apply(Update{Position: Position{Revision: 2}, Changed: []Object{{Name: "main", Revision: 2, Status: make([]byte, 2*maxHistoryBytes)}}}, 0)
	changes, _, err := kept.changesSince(Position{Revision: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Events).To(HaveLen(1))
	for revision := range uint64(maxHistoryEvents) {
		kept.apply(Update{Position: Position{Revision: revision + 3}, Changed: []Object{{Name: "s", Revision: revision + 3, Spec: make([]byte, 300)}}}, 0)
	}
	changes, _, err = kept.changesSince(Position{Revision: 2})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Events).To(HaveLen(maxHistoryEvents))
}
