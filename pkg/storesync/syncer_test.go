package storesync_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// response is what a scripted source answers to one call.
type response struct {
	listing storesync.Listing
	changes storesync.Changes
	err     error
	// at is the time to set the clock to before the response, if not 0.
	at time.Duration
}

// scriptedSource returns its responses in turn; later calls block until their context
// ends.
type scriptedSource struct {
	mu        sync.Mutex
	clock     *manualClock
	responses []response
	calls     []string
}

func (s *scriptedSource) next(ctx context.Context, call string) (response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.responses) > 0 {
		first := s.responses[0]
		s.responses = s.responses[1:]
		s.mu.Unlock()
		if first.at > 0 {
			s.clock.set(first.at)
		}
		return first, first.err
	}
	s.mu.Unlock()
	<-ctx.Done()
	return response{}, ctx.Err()
}

func (s *scriptedSource) List(ctx context.Context, _ string) (storesync.Listing, error) {
	next, err := s.next(ctx, "list")
	return next.listing, err
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, _ storesync.Position, _ time.Duration) (storesync.Changes, error) {
	next, err := s.next(ctx, "watch")
	return next.changes, err
}

func (s *scriptedSource) CloseIdleConnections() {}

func (s *scriptedSource) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.calls...)
}

// manualClock is a clock whose time is set by the test.
type manualClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (m *manualClock) Now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manualClock) set(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}

type fixture struct {
	*GomegaWithT
	clock         *manualClock
	store         *scriptedSource
	copied        *storesync.Copy
	updates       chan storesync.Update
	storeFailures chan error
}

func startSyncer(t *testing.T, relay *scriptedSource, responses ...response) *fixture {
	t.Helper()
	f := &fixture{GomegaWithT: NewWithT(t), clock: &manualClock{now: time.Minute}, store: &scriptedSource{responses: responses},
		updates: make(chan storesync.Update, 16), storeFailures: make(chan error, 16)}
	f.store.clock = f.clock
	f.copied = storesync.NewCopy(f.clock.Now)
	opts := storesync.Options{
		Store: f.store, Kind: "servers", StoreWatchWait: time.Hour, RelayWatchWait: time.Hour, WatchMargin: time.Hour, ListTimeout: time.Hour,
		MaxRelayAge: func() time.Duration { return 3 * time.Second }, DirectRetryInterval: 3 * time.Second, MaxDirectRetryInterval: 12 * time.Second, DeletionGrace: 2 * time.Second, ReturnGrace: 2 * time.Second,
		Copy: f.copied, Now: f.clock.Now, Clock: clockwork.NewRealClock(), Log: logr.Discard(),
		OnUpdate:       func(update storesync.Update) { f.updates <- update },
		OnStoreCall:    func(error) {},
		OnStoreFailure: func(_ string, err error) { f.storeFailures <- err },
	}
	if relay != nil {
		relay.clock = f.clock
		opts.Relay = func() storesync.Source { return relay }
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		storesync.New(opts).Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *fixture) nextUpdate() storesync.Update {
	var update storesync.Update
	f.Eventually(f.updates, "20s").Should(Receive(&update))
	return update
}

func object(name string, revision uint64) storesync.Object {
	return storesync.Object{Name: name, Revision: revision, Spec: []byte(name)}
}

var errUnavailable = errors.New("unavailable")

// Failure: the store's history was compacted and objects were deleted in between.
// Guards against keeping the deleted objects, and against delivering unchanged
// objects again.
func TestListAfterCompactionDeliversDifference(t *testing.T) {
	f := startSyncer(t, nil,
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 5}, Objects: []storesync.Object{object("a", 1), object("b", 2), object("c", 3)}}},
		response{err: storesync.ErrCompacted},
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 9}, Objects: []storesync.Object{object("a", 1), object("b", 8)}}})
	f.Expect(f.nextUpdate().Changed).To(HaveLen(3))
	update := f.nextUpdate()
	f.Expect(update.Changed).To(Equal([]storesync.Object{object("b", 8)}))
	f.Expect(update.Deleted).To(Equal([]string{"c"}))
	f.Expect(update.Revision).To(BeEquivalentTo(9))
	f.Eventually(f.store.recordedCalls, "20s").Should(Equal([]string{"list", "watch", "list", "watch"}))
}

// Failure: a watch is not answered. Guards against another watch, which may also hang,
// and against an age measured from the arrival of the answer.
func TestListAfterFailedWatch(t *testing.T) {
	f := startSyncer(t, nil,
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 5}, Objects: []storesync.Object{object("a", 1)}}},
		response{err: errUnavailable},
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 5}, Objects: []storesync.Object{object("a", 1)}}})
	f.Expect(f.nextUpdate().AsOf).To(Equal(time.Minute))
	f.Eventually(f.storeFailures, "20s").Should(Receive())
	update := f.nextUpdate()
	f.Expect(update.Recovered).To(BeTrue())
	f.Expect(update.Changed).To(BeEmpty())
	f.Eventually(f.store.recordedCalls, "20s").Should(Equal([]string{"list", "watch", "list", "watch"}))
}

// Failure: the events of a watch hold several writes of an object, of which the last one may
// be a late write of what was known before. Guards against a reader that sees the last write
// only, and against a deletion that is undone by an earlier event, or not undone by a later
// one.
func TestWatchDeliversEachWriteOfAnObjectInOrder(t *testing.T) {
	deleted := func(name string, revision uint64) storesync.Event {
		return storesync.Event{Object: object(name, revision), Deleted: true}
	}
	changed := func(name string, revision uint64) storesync.Event {
		return storesync.Event{Object: object(name, revision)}
	}
	f := startSyncer(t, nil,
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 5}, Objects: []storesync.Object{object("a", 1), object("b", 2), object("c", 3)}}},
		response{changes: storesync.Changes{Position: storesync.Position{Revision: 20}, Events: []storesync.Event{
			changed("a", 6), changed("a", 7),
			changed("b", 8), deleted("b", 9),
			changed("c", 10), deleted("c", 11), changed("c", 12),
		}}})
	f.nextUpdate()
	update := f.nextUpdate()
	f.Expect(update.Changed).To(Equal([]storesync.Object{object("a", 6), object("a", 7), object("b", 8), object("c", 10), object("c", 12)}))
	f.Expect(update.Deleted).To(Equal([]string{"b"}))
	listing, _ := f.copied.List(context.Background())
	f.Expect(listing.Objects).To(ConsistOf(object("a", 7), object("c", 12)))
	// Followers of the copy get the same events.
	followed, err := f.copied.Watch(context.Background(), storesync.Position{Revision: 5})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(followed.Events).To(Equal([]storesync.Event{
		changed("a", 6), changed("a", 7), changed("b", 8), changed("c", 10), changed("c", 12),
		{Object: storesync.Object{Name: "b"}, Deleted: true},
	}))
}

// Failure: objects expire during an outage of the store. Guards against dropping
// upstreams that are registered again shortly after, and against keeping those that
// are not.
func TestObjectsExpiredDuringOutageAreKeptForGracePeriod(t *testing.T) {
	f := startSyncer(t, nil,
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 5}, Objects: []storesync.Object{object("a", 1), object("b", 2)}}},
		response{err: errUnavailable},
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 7}}},
		response{changes: storesync.Changes{Position: storesync.Position{Revision: 8}, Events: []storesync.Event{{Object: object("a", 8)}}}})
	f.nextUpdate()
	f.Expect(f.nextUpdate().Deleted).To(BeEmpty())
	f.Expect(f.nextUpdate().Deleted).To(BeEmpty())
	f.clock.set(time.Minute + 2*time.Second)
	// The copy tells followers how long ago the store recovered.
	listing, known := f.copied.List(context.Background())
	f.Expect(known).To(BeTrue())
	f.Expect(listing.Objects).To(Equal([]storesync.Object{object("a", 8)}))
	f.Expect(listing.SinceRecovery).To(Equal(2 * time.Second))
}

// Guards against a relay with an older revision restoring deleted objects, and against
// an age that is too small.
func TestStaleRelayListIsIgnored(t *testing.T) {
	relay := &scriptedSource{responses: []response{
		{listing: storesync.Listing{Position: storesync.Position{Revision: 9}, Objects: []storesync.Object{object("a", 1)}, Freshness: storesync.Freshness{Age: time.Second}}},
		{err: storesync.ErrCompacted},
		{listing: storesync.Listing{Position: storesync.Position{Revision: 4}, Objects: []storesync.Object{object("a", 1), object("gone", 2)}, Freshness: storesync.Freshness{Age: 2 * time.Second}}},
	}}
	f := startSyncer(t, relay)
	f.Expect(f.nextUpdate().AsOf).To(Equal(time.Minute - time.Second))
	update := f.nextUpdate()
	f.Expect(update.Changed).To(BeEmpty())
	f.Expect(update.Revision).To(BeEquivalentTo(9))
	f.Expect(update.AsOf).To(Equal(time.Minute - time.Second))
	f.Expect(f.store.recordedCalls()).To(BeEmpty())
}

// Failure: only the relay loses its connection to the store. Guards against followers
// keeping its outdated copy.
func TestRelayWithOldCopyIsBypassed(t *testing.T) {
	relay := &scriptedSource{responses: []response{
		{listing: storesync.Listing{Position: storesync.Position{Revision: 9}, Freshness: storesync.Freshness{Age: 4 * time.Second}}},
	}}
	f := startSyncer(t, relay, response{changes: storesync.Changes{Position: storesync.Position{Revision: 10}, Events: []storesync.Event{{Object: object("a", 10)}}}})
	f.nextUpdate()
	f.Expect(f.nextUpdate().Changed).To(HaveLen(1))
	f.Expect(f.store.recordedCalls()[0]).To(Equal("watch"))
}

func TestCopyWatchReturnsChangesAfterRevision(t *testing.T) {
	f := startSyncer(t, nil,
		response{listing: storesync.Listing{Position: storesync.Position{Revision: 5}, Objects: []storesync.Object{object("a", 1), object("b", 2)}}},
		response{changes: storesync.Changes{Position: storesync.Position{Revision: 8}, Events: []storesync.Event{{Object: object("a", 7)}, {Object: object("b", 8), Deleted: true}}}})
	f.nextUpdate()
	f.nextUpdate()
	changes, err := f.copied.Watch(context.Background(), storesync.Position{Revision: 5})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(changes.Events).To(HaveLen(2))
	f.Expect(changes.Revision).To(BeEquivalentTo(8))
	_, err = f.copied.Watch(context.Background(), storesync.Position{Revision: 3})
	f.Expect(err).To(MatchError(storesync.ErrCompacted))
}

// Failure: only the relay can no longer read the store, and no other instance replaces
// it. Guards against followers waiting until its copy is too old, and against all of
// them reading the store before another relay could have replaced it.
func TestRelayWithFailingStoreIsBypassed(t *testing.T) {
	failing := storesync.Freshness{StoreFailing: true}
	relay := &scriptedSource{responses: []response{
		{listing: storesync.Listing{Position: storesync.Position{Revision: 9}}},
		{changes: storesync.Changes{Position: storesync.Position{Revision: 9}, Freshness: failing}},
		{changes: storesync.Changes{Position: storesync.Position{Revision: 9}, Freshness: failing}, at: time.Minute + time.Hour/2},
	}}
	f := startSyncer(t, relay, response{changes: storesync.Changes{Position: storesync.Position{Revision: 10}, Events: []storesync.Event{{Object: object("a", 10)}}}})
	f.nextUpdate()
	f.nextUpdate()
	f.nextUpdate()
	f.Expect(f.nextUpdate().Changed).To(HaveLen(1))
	f.Expect(relay.recordedCalls()).To(Equal([]string{"list", "watch", "watch"}))
	f.Expect(f.store.recordedCalls()[0]).To(Equal("watch"))
}

// Guards against an answer that counts as too old because its watch waited for
// events.
func TestWatchWaitDoesNotAgeTheAnswer(t *testing.T) {
	relay := &scriptedSource{responses: []response{
		{listing: storesync.Listing{Position: storesync.Position{Revision: 9}, Freshness: storesync.Freshness{Age: 700 * time.Millisecond, Waited: 400 * time.Millisecond}}},
	}}
	f := startSyncer(t, relay)
	// The test clock does not advance, so that the wait cannot make the answer newer.
	f.Expect(f.nextUpdate().AsOf).To(Equal(time.Minute - 700*time.Millisecond))
}
