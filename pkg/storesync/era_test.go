package storesync_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

func at(era, revision uint64) storesync.Position {
	return storesync.Position{Era: era, Revision: revision}
}

func listed(position storesync.Position, objects ...storesync.Object) response {
	return response{listing: storesync.Listing{Position: position, Objects: objects}}
}

func changed(position storesync.Position, objects ...storesync.Object) response {
	changes := storesync.Changes{Position: position}
	for _, object := range objects {
		changes.Events = append(changes.Events, storesync.Event{Object: object})
	}
	return response{changes: changes}
}

// Guards against an order by revision across a return of the store.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	g := NewWithT(t)
	g.Expect(at(1, 9).Before(at(2, 3))).To(BeTrue())
	g.Expect(at(2, 3).Before(at(1, 9))).To(BeFalse())
	g.Expect(at(2, 3).Before(at(2, 4))).To(BeTrue())
	g.Expect(at(2, 3).Before(at(2, 3))).To(BeFalse())
}

// Failure: the store returns from an older copy while it is watched, and gives out the same
// revisions again. Guards against applying the events of a watch that was sent before,
// against taking another state of an object for the known one because of its revision,
// against ignoring what is written after at lower revisions, and against dropping objects
// that are written again shortly after.
func TestWatchAnsweredInALaterEraListsAgain(t *testing.T) {
	again := storesync.Object{Name: "a", Revision: 3, Spec: []byte("another")}
	f := startSyncer(t, nil,
		listed(at(1, 50), object("a", 3), object("lost", 48)),
		changed(at(2, 51), object("stray", 51)),
		listed(at(2, 40), again),
		changed(at(2, 41), object("b", 41)),
		changed(at(2, 42), object("lost", 42)))
	f.nextUpdate()
	update := f.nextUpdate()
	f.Expect(update.Returned).To(BeTrue())
	f.Expect(update.Position).To(Equal(at(2, 40)))
	f.Expect(update.Changed).To(Equal([]storesync.Object{again}))
	f.Expect(update.Deleted).To(BeEmpty())
	update = f.nextUpdate()
	f.Expect(update.Returned).To(BeFalse())
	f.Expect(update.Changed).To(Equal([]storesync.Object{object("b", 41)}))
	f.Expect(f.nextUpdate().Changed).To(Equal([]storesync.Object{object("lost", 42)}))
	f.clock.set(time.Minute + 3*time.Second)
	listing, _ := f.copied.List(context.Background())
	f.Expect(listing.Position).To(Equal(at(2, 42)))
	f.Expect(listing.Objects).To(ConsistOf(again, object("b", 41), object("lost", 42)))
	f.Expect(f.store.recordedCalls()[:4]).To(Equal([]string{"list", "watch", "list", "watch"}))
}

// Failure: objects that the store has lost are not written again. Guards against keeping
// them for ever.
func TestObjectsLostInAReturnAreRemovedAfterTheGracePeriod(t *testing.T) {
	f := startSyncer(t, nil,
		listed(at(1, 50), object("a", 3), object("lost", 48)),
		response{err: storesync.ErrCompacted},
		listed(at(2, 40), object("a", 3)),
		response{changes: storesync.Changes{Position: at(2, 41)}, at: time.Minute + 2*time.Second})
	f.nextUpdate()
	f.Expect(f.nextUpdate().Deleted).To(BeEmpty())
	f.Expect(f.nextUpdate().Deleted).To(Equal([]string{"lost"}))
}

// Failure: the store returns from an older copy twice, the second time during the grace
// period of the first, and to a higher revision. Guards against a second return that is
// taken for progress, and against a grace period that ends with that of the first.
func TestTwoReturnsInARow(t *testing.T) {
	f := startSyncer(t, nil,
		listed(at(1, 50), object("a", 3), object("lost", 48)),
		response{err: storesync.ErrCompacted},
		listed(at(2, 40), object("a", 3)),
		response{changes: storesync.Changes{Position: at(3, 45)}, at: time.Minute + time.Second},
		listed(at(3, 45), object("a", 3)),
		response{changes: storesync.Changes{Position: at(3, 46)}, at: time.Minute + 2*time.Second},
		response{changes: storesync.Changes{Position: at(3, 47)}, at: time.Minute + 3*time.Second})
	f.nextUpdate()
	f.Expect(f.nextUpdate().Returned).To(BeTrue())
	second := f.nextUpdate()
	f.Expect(second.Returned).To(BeTrue())
	f.Expect(second.Position).To(Equal(at(3, 45)))
	f.Expect(f.nextUpdate().Deleted).To(BeEmpty())
	f.Expect(f.nextUpdate().Deleted).To(Equal([]string{"lost"}))
}

// Failure: the relay still serves its copy from before the return, to a list and to a watch.
// Guards against a relay that takes a follower back, and against an old copy that confirms
// that the follower's is current, so that the relay is never bypassed.
func TestRelayInAnEarlierEraDoesNotTakeAFollowerBack(t *testing.T) {
	stale := storesync.Listing{Position: at(1, 90), Objects: []storesync.Object{object("gone", 80)}}
	relay := &scriptedSource{responses: []response{
		listed(at(2, 40), object("a", 3)),
		changed(at(1, 90), object("gone", 80)),
		{err: storesync.ErrCompacted, at: time.Minute + time.Second},
		{listing: stale, at: time.Minute + 2*time.Second},
		{listing: stale, at: time.Minute + 4*time.Second},
	}}
	f := startSyncer(t, relay, listed(at(2, 41), object("a", 3), object("b", 41)))
	f.Expect(f.nextUpdate().AsOf).To(Equal(time.Minute))
	for range 3 {
		update := f.nextUpdate()
		f.Expect(update.Changed).To(BeEmpty())
		f.Expect(update.Position).To(Equal(at(2, 40)))
		f.Expect(update.AsOf).To(Equal(time.Minute))
	}
	// The relay is bypassed, as one whose copy is too old.
	update := f.nextUpdate()
	f.Expect(update.Changed).To(Equal([]storesync.Object{object("b", 41)}))
	f.Expect(update.Returned).To(BeFalse())
	f.Expect(f.store.recordedCalls()[0]).To(Equal("list"))
}

// Failure: a follower notices a return of the store by its relay. Guards against followers
// that do not list again, and against one that asks with a position of the earlier era and
// gets events of the later one.
func TestRelayedCopyAcrossAReturn(t *testing.T) {
	relay := startSyncer(t, nil,
		listed(at(1, 50), object("a", 3), object("lost", 48)),
		response{err: storesync.ErrCompacted},
		listed(at(2, 40), object("a", 3)),
		changed(at(2, 60), object("b", 60)))
	for range 3 {
		relay.nextUpdate()
	}
	_, err := relay.copied.Watch(context.Background(), at(1, 50))
	relay.Expect(err).To(MatchError(storesync.ErrCompacted))
	changes, err := relay.copied.Watch(context.Background(), at(2, 40))
	relay.Expect(err).NotTo(HaveOccurred())
	relay.Expect(changes.Position).To(Equal(at(2, 60)))
	relay.Expect(changes.Events).To(Equal([]storesync.Event{{Object: object("b", 60)}}))
	// A follower that is in a later era waits, and gets nothing of the earlier one.
	ended, end := context.WithCancel(context.Background())
	end()
	changes, err = relay.copied.Watch(ended, at(3, 10))
	relay.Expect(err).NotTo(HaveOccurred())
	relay.Expect(changes.Events).To(BeEmpty())
	relay.Expect(changes.Position).To(Equal(at(2, 60)))

	source := &scriptedSource{responses: []response{
		listed(at(1, 50), object("a", 3), object("lost", 48)),
		{err: storesync.ErrCompacted},
		listed(at(2, 60), object("a", 3), object("b", 60)),
	}}
	follower := startSyncer(t, source)
	follower.nextUpdate()
	update := follower.nextUpdate()
	follower.Expect(update.Returned).To(BeTrue())
	follower.Expect(update.Deleted).To(BeEmpty(), "the lost object may be written again")
	follower.Expect(follower.store.recordedCalls()).To(BeEmpty())
}

// Failure: the store itself answers a list from before a return that it has shown already.
// Guards against applying the answer, and against an age of the copy that it lowers.
func TestSlowListFromBeforeTheReturnIsDropped(t *testing.T) {
	f := startSyncer(t, nil,
		listed(at(2, 40), object("a", 3)),
		response{err: storesync.ErrCompacted, at: time.Minute + time.Second},
		listed(at(1, 90), object("gone", 80)),
		listed(at(2, 41), object("a", 3)))
	f.nextUpdate()
	f.Eventually(f.storeFailures, "20s").Should(Receive())
	update := f.nextUpdate()
	f.Expect(update.Position).To(Equal(at(2, 41)))
	f.Expect(update.Changed).To(BeEmpty())
	listing, _ := f.copied.List(context.Background())
	f.Expect(listing.Objects).To(Equal([]storesync.Object{object("a", 3)}))
}

// writeStore answers writes in an era, under any condition.
type writeStore struct {
	storesync.Store
	era    uint64
	writes int
}

func (s *writeStore) Put(_ context.Context, _, name string, _ any, _ storesync.Position) (storesync.Written, error) {
	s.writes++
	return storesync.Written{Object: storesync.Object{Name: name, Revision: 7}, Era: s.era}, nil
}

func (s *writeStore) PutStatus(ctx context.Context, kind, name string, status any, condition storesync.Position) (storesync.Written, error) {
	return s.Put(ctx, kind, name, status, condition)
}

// Failure: the store returns from an older copy between the read of a revision and the write
// under its condition, which holds by accident since the revision was given out again. Guards
// against taking the write for one that replaced what its writer knew, and against sending it
// once the return is known.
func TestWriteUnderAConditionOfAnEarlierEraIsNotDone(t *testing.T) {
	ctx := context.Background()
	for name, put := range map[string]func(*storesync.Fenced, storesync.Position) (storesync.Written, error){
		"put": func(f *storesync.Fenced, p storesync.Position) (storesync.Written, error) {
			return f.Put(ctx, "k", "n", 1, p)
		},
		"status": func(f *storesync.Fenced, p storesync.Position) (storesync.Written, error) {
			return f.PutStatus(ctx, "k", "n", 1, p)
		},
	} {
		g := NewWithT(t)
		store := &writeStore{era: 1}
		fenced := storesync.NewFenced(store)
		written, err := put(fenced, at(1, 5))
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(written.Position()).To(Equal(at(1, 7)))

		store.era = 2
		_, err = put(fenced, at(1, 7))
		g.Expect(errors.Is(err, storesync.ErrEraChanged)).To(BeTrue(), name)
		g.Expect(store.writes).To(Equal(2))
		_, err = put(fenced, at(1, 7))
		g.Expect(errors.Is(err, storesync.ErrEraChanged)).To(BeTrue(), name)
		g.Expect(store.writes).To(Equal(2), "the return is known")
		_, err = put(fenced, at(2, 7))
		g.Expect(err).NotTo(HaveOccurred(), name)
		// That an object does not exist is known in no era.
		_, err = put(fenced, storesync.Position{})
		g.Expect(err).NotTo(HaveOccurred(), name)

		fenced.Observe(5)
		fenced.Observe(4)
		_, err = put(fenced, at(2, 7))
		g.Expect(errors.Is(err, storesync.ErrEraChanged)).To(BeTrue(), name)
		g.Expect(fenced.Era()).To(BeEquivalentTo(5))
	}
}
