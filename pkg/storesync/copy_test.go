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
