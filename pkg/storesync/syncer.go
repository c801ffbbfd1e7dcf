package storesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// Options configure a Syncer.
type Options struct {
	Store Source
	// Relay returns the relay, which is the instance whose copy is followed, or nil to
	// use the store. The function may be nil.
	Relay func() Source
	Kind  string
	// StoreWatchWait is how long a watch waits for events at the store, and
	// RelayWatchWait at a relay. A longer wait saves calls; a shorter one
	// confirms more often that the copy is current.
	StoreWatchWait time.Duration
	RelayWatchWait time.Duration
	// WatchMargin is added to the wait to give the timeout of a watch.
	WatchMargin time.Duration
	// ListTimeout is the timeout of a list call.
	ListTimeout time.Duration
	// MaxRelayAge returns the maximum age of a relay's copy; while the copy is
	// older, the store is used instead. While the store fails, calls to it are tried
	// after DirectRetryInterval, and then at intervals that double up to
	// MaxDirectRetryInterval.
	MaxRelayAge            func() time.Duration
	DirectRetryInterval    time.Duration
	MaxDirectRetryInterval time.Duration
	// DeletionGrace is the time after an outage of the store for which deletions are
	// held back. Objects that expired during the outage are usually written again
	// within this time.
	DeletionGrace time.Duration
	// ReturnGrace is the time for which objects are kept that are missing when the store has
	// returned from an older copy, since they are written again.
	ReturnGrace time.Duration
	// Copy, if not nil, is updated and serves other instances.
	Copy *Copy
	// OnUpdate is called with each update, in order.
	OnUpdate func(Update)
	// OnStoreCall is called after each call to the store, with its error or nil.
	OnStoreCall func(err error)
	// OnStoreFailure is called with Kind when calls to the store start to fail.
	OnStoreFailure func(objectKind string, err error)
	Now            func() time.Duration
	Clock          clockwork.Clock
	Log            logr.Logger
}

// Bounds of the backoff after failed calls. The minimum is a few times the usual
// latency of the store; the maximum keeps the delay after a short outage small.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Syncer keeps a copy of one kind current: it lists the objects once and then watches
// for changes.
type Syncer struct {
	opts Options
	// position is that of the copy, and known is true once there is one.
	position     Position
	known        bool
	listed       bool
	storeFailing bool
	backoff      time.Duration
	// revisions holds the revisions of the copied objects by name, and
	// pendingDeletions the times at which deleted objects are removed from the copy.
	revisions        map[string]uint64
	pendingDeletions map[string]time.Duration
	// recoveredAt is when the store answered again after failures, or was seen to have
	// returned from an older copy; 0 if neither has happened.
	recoveredAt time.Duration
	// asOf is the latest time at which the copy is known to have been current.
	asOf time.Duration
	// bypassRelayUntil is the time until which the store is used instead of the
	// relay, and followRelayUntil the time until which the relay is used although
	// its copy is too old or it cannot read the store. directRetryInterval is the
	// time for which the relay is used after the next failed attempt to read the store.
	bypassRelayUntil    time.Duration
	followRelayUntil    time.Duration
	directRetryInterval time.Duration
	// relayFailingSince is the time since which the relay has reported that it cannot
	// read the store; 0 if it can.
	relayFailingSince time.Duration
}

// New returns a Syncer; Run starts it.
func New(opts Options) *Syncer {
	return &Syncer{opts: opts, backoff: minBackoff, directRetryInterval: opts.DirectRetryInterval, revisions: map[string]uint64{}, pendingDeletions: map[string]time.Duration{}}
}

// Run synchronises the copy until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		source, isRelay := s.chooseSource()
		update, err := s.fetch(ctx, source, isRelay)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			s.opts.Log.Info("store history was compacted, listing again", "kind", s.opts.Kind, "era", s.position.Era, "revision", s.position.Revision, "relay", isRelay)
			s.listed = false
		case errors.Is(err, ErrEraChanged):
			s.opts.Log.Info("store era changed, listing again", "kind", s.opts.Kind, "era", s.position.Era, "revision", s.position.Revision, "relay", isRelay)
			s.listed = false
		case err != nil && isRelay:
			s.opts.Log.Info("dependency lost", "dependency", "relay", "kind", s.opts.Kind, "error", err.Error())
			source.CloseIdleConnections()
			s.bypassRelayUntil = s.opts.Now() + s.opts.DirectRetryInterval
		case err != nil:
			s.handleStoreFailure(ctx, err)
		default:
			s.handleSuccess(update, isRelay)
			if !s.listed || update.ignored {
				s.pause(ctx, minBackoff)
			}
		}
	}
}

// chooseSource returns the relay, or the store if there is no relay or the relay is
// bypassed.
func (s *Syncer) chooseSource() (source Source, isRelay bool) {
	if s.opts.Relay == nil || s.opts.Now() < s.bypassRelayUntil {
		return s.opts.Store, false
	}
	relay := s.opts.Relay()
	if relay == nil {
		return s.opts.Store, false
	}
	return relay, true
}

func (s *Syncer) handleSuccess(update Update, isRelay bool) {
	now := s.opts.Now()
	if isRelay && now >= s.followRelayUntil && (s.relayLostStore(now) || now-update.AsOf > s.opts.MaxRelayAge()) {
		// Possibly only the relay has lost its connection to the store.
		s.bypassRelayUntil = now + s.opts.DirectRetryInterval
		s.opts.Log.Info("dependency lost", "dependency", "copy of the relay", "kind", s.opts.Kind,
			"age_ms", (now - update.AsOf).Milliseconds(), "relay_fails", s.relayFailingSince > 0)
	}
	if !isRelay {
		s.opts.OnStoreCall(nil)
		update.Recovered = s.storeFailing
		s.storeFailing, s.backoff, s.followRelayUntil, s.directRetryInterval = false, minBackoff, 0, s.opts.DirectRetryInterval
		if update.Recovered {
			s.recoveredAt = now
		}
	}
	if update.Returned {
		s.recoveredAt = now
	}
	s.asOf = max(s.asOf, update.AsOf)
	update.AsOf, update.Position = s.asOf, s.position
	if s.opts.Copy != nil {
		s.opts.Copy.apply(update, s.recoveredAt)
	}
	update.Deleted = s.applyDeletions(now, update)
	s.opts.OnUpdate(update)
}

// relayLostStore reports whether the relay has been unable to read the store for
// longer than another instance needs to replace it.
func (s *Syncer) relayLostStore(now time.Duration) bool {
	return s.relayFailingSince > 0 && now-s.relayFailingSince >= s.opts.RelayWatchWait/2
}

// applyDeletions records the changes of an update, removes the objects whose deletion
// is due and returns their names.
func (s *Syncer) applyDeletions(now time.Duration, update Update) []string {
	for _, object := range update.Changed {
		s.revisions[object.Name] = object.Revision
		delete(s.pendingDeletions, object.Name)
	}
	for _, name := range update.Deleted {
		if _, found := s.revisions[name]; !found {
			continue
		}
		deleteAt := now
		if s.recoveredAt > 0 && now-s.recoveredAt < s.opts.DeletionGrace {
			deleteAt = s.recoveredAt + s.opts.DeletionGrace
		}
		if update.Returned {
			deleteAt = now + s.opts.ReturnGrace
		}
		if _, pending := s.pendingDeletions[name]; !pending || update.Returned {
			s.pendingDeletions[name] = deleteAt
		}
	}
	var deleted []string
	for name, deleteAt := range s.pendingDeletions {
		if now >= deleteAt {
			deleted = append(deleted, name)
			delete(s.pendingDeletions, name)
			delete(s.revisions, name)
		}
	}
	slices.Sort(deleted)
	return deleted
}

func (s *Syncer) handleStoreFailure(ctx context.Context, err error) {
	s.opts.OnStoreCall(err)
	if !s.storeFailing {
		s.opts.OnStoreFailure(s.opts.Kind, err)
	}
	s.storeFailing = true
	if s.opts.Copy != nil {
		s.opts.Copy.setStoreFailing()
	}
	// The next call is a list, which is answered at once even if there are no events.
	s.listed = false
	// The next call must not use a connection that no longer responds.
	s.opts.Store.CloseIdleConnections()
	if s.opts.Relay != nil && s.opts.Relay() != nil {
		// The relay tries the store more often than this instance, so use the relay
		// until the next attempt.
		s.bypassRelayUntil, s.followRelayUntil = 0, s.opts.Now()+s.directRetryInterval
		s.directRetryInterval = min(2*s.directRetryInterval, s.opts.MaxDirectRetryInterval)
	}
	pause := s.backoff/2 + rand.N(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	s.pause(ctx, pause)
}

func (s *Syncer) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.opts.Clock.After(pause):
	}
}

// fetch lists or watches a source.
func (s *Syncer) fetch(ctx context.Context, source Source, isRelay bool) (Update, error) {
	if !s.listed {
		return s.list(ctx, source, isRelay)
	}
	wait := s.opts.StoreWatchWait
	if isRelay {
		wait = s.opts.RelayWatchWait
	}
	for _, deleteAt := range s.pendingDeletions {
		wait = max(time.Millisecond, min(wait, deleteAt-s.opts.Now()))
	}
	return s.watch(ctx, source, isRelay, wait)
}

func (s *Syncer) list(ctx context.Context, source Source, isRelay bool) (Update, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, s.opts.ListTimeout)
	defer cancel()
	sentAt := s.opts.Now()
	listing, err := source.List(ctx, s.opts.Kind)
	if err != nil {
		return Update{}, err
	}
	s.recordFreshness(listing.Freshness)
	if s.known && listing.Era < s.position.Era {
		return s.ignoreEarlierEra(listing.Position, isRelay)
	}
	update := Update{Kind: s.opts.Kind, AsOf: s.answerAsOf(sentAt, listing.Freshness)}
	if listing.Before(s.position) {
		// A relay with an older copy must not restore deleted objects.
		return update, nil
	}
	update.Returned = s.known && listing.Era > s.position.Era
	s.known, s.listed, s.position = true, true, listing.Position
	listed := make(map[string]bool, len(listing.Objects))
	for _, object := range listing.Objects {
		listed[object.Name] = true
		// After a return the store gives out revisions again.
		if knownRevision, found := s.revisions[object.Name]; update.Returned || !found || knownRevision != object.Revision || s.isPendingDeletion(object.Name) {
			update.Changed = append(update.Changed, object)
		}
	}
	for name := range s.revisions {
		if !listed[name] {
			update.Deleted = append(update.Deleted, name)
		}
	}
	return update, nil
}

// ignoreEarlierEra drops an answer from before the last return of the store. That of a
// relay does not confirm that the copy is current, so that the relay is bypassed if it
// does not reach the era in time. The store itself has no reason to give such an answer.
func (s *Syncer) ignoreEarlierEra(position Position, isRelay bool) (Update, error) {
	s.opts.Log.V(1).Info("answer of an earlier store era ignored", "kind", s.opts.Kind, "era", s.position.Era, "answered_era", position.Era, "relay", isRelay)
	if !isRelay {
		return Update{}, errEarlierEra
	}
	return Update{Kind: s.opts.Kind, AsOf: s.asOf, ignored: true}, nil
}

func (s *Syncer) isPendingDeletion(name string) bool {
	_, found := s.pendingDeletions[name]
	return found
}

func (s *Syncer) watch(ctx context.Context, source Source, isRelay bool, wait time.Duration) (Update, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, wait+s.opts.WatchMargin)
	defer cancel()
	sentAt := s.opts.Now()
	changes, err := source.Watch(ctx, s.opts.Kind, s.position, wait)
	if err != nil {
		return Update{}, err
	}
	s.recordFreshness(changes.Freshness)
	switch {
	case changes.Era > s.position.Era:
		return Update{}, ErrEraChanged
	case changes.Era < s.position.Era:
		return s.ignoreEarlierEra(changes.Position, isRelay)
	case s.position.Before(changes.Position):
		s.position = changes.Position
	}
	update := Update{Kind: s.opts.Kind, AsOf: s.answerAsOf(sentAt, changes.Freshness)}
	lastEvent := make(map[string]int, len(changes.Events))
	for i, event := range changes.Events {
		lastEvent[event.Object.Name] = i
	}
	for i, event := range changes.Events {
		switch {
		case !event.Deleted:
			// Also if it is not the last write, which may be a late one of older content.
			update.Changed = append(update.Changed, event.Object)
		case lastEvent[event.Object.Name] == i:
			update.Deleted = append(update.Deleted, event.Object.Name)
		}
	}
	return update, nil
}

// answerAsOf returns the time at which an answer is known to have been current. The
// call arrived after sentAt, and its answer was created freshness.Waited later.
func (s *Syncer) answerAsOf(sentAt time.Duration, freshness Freshness) time.Duration {
	return min(s.opts.Now(), sentAt+freshness.Waited) - freshness.Age
}

// recordFreshness records since when the source fails to read the store, and when the
// store recovered.
func (s *Syncer) recordFreshness(freshness Freshness) {
	if !freshness.StoreFailing {
		s.relayFailingSince = 0
	} else if s.relayFailingSince == 0 {
		s.relayFailingSince = s.opts.Now()
	}
	if freshness.SinceRecovery > 0 {
		s.recoveredAt = max(s.recoveredAt, s.opts.Now()-freshness.SinceRecovery)
	}
}
