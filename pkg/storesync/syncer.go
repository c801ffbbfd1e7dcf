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
	// Relay returns another instance whose copy is to be followed, or nil.
	Relay func() Source
	Kind  string
	// Wait is how long a watch of the store waits for events, and RelayWait one
	// of a relay. A longer wait saves calls; a shorter one proves more often
	// that the copy is current.
	Wait      time.Duration
	RelayWait time.Duration
	// Margin is added to the wait before a watch counts as lost.
	Margin time.Duration
	// ListTimeout bounds a list.
	ListTimeout time.Duration
	// MaxRelayAge is the age of a relay's copy from which the store is asked
	// instead. While the store fails it is asked once in DirectEvery, and then in
	// twice the time, up to MaxDirectEvery.
	MaxRelayAge    func() time.Duration
	DirectEvery    time.Duration
	MaxDirectEvery time.Duration
	// ReturnGrace is the time after the store's return within which objects are
	// back that lapsed while it was away; until then they are kept.
	ReturnGrace time.Duration
	// Copy, if not nil, is kept up to date for other instances.
	Copy *Copy
	// Deliver receives the updates, in order.
	Deliver func(Update)
	// Reached is called after each call to the store, with its error.
	Reached func(err error)
	// Lost is called when calls to the store start to fail.
	Lost  func(kind string, err error)
	Now   func() time.Duration
	Clock clockwork.Clock
	Log   logr.Logger
}

// Bounds of the pause after failed calls. The first is a few times the usual
// answer time of the store; the second keeps a short outage from adding a
// noticeable delay.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Syncer lists a kind once and then watches it.
type Syncer struct {
	opts     Options
	revision uint64
	listed   bool
	failing  bool
	backoff  time.Duration
	// known holds the objects of the copy, and missing those that are kept only
	// until the given time.
	known   map[string]uint64
	missing map[string]time.Duration
	// regained is when the store answered again after failures.
	regained time.Duration
	// asOf is the newest proof that the copy was current.
	asOf time.Duration
	// directUntil is the time until which the relay is not asked, and relayUntil
	// the time until which the store is not asked although the relay is old.
	directUntil time.Duration
	relayUntil  time.Duration
	directPause time.Duration
	// relayFails is since when the relay has said that it cannot read the store;
	// 0 if it can.
	relayFails time.Duration
}

// New returns a Syncer.
func New(opts Options) *Syncer {
	return &Syncer{opts: opts, backoff: minBackoff, directPause: opts.DirectEvery, known: map[string]uint64{}, missing: map[string]time.Duration{}}
}

// Run delivers updates until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		source, isRelay := s.choose()
		update, err := s.pull(ctx, source, isRelay)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			s.opts.Log.Info("store history is gone, listing again", "kind", s.opts.Kind, "revision", s.revision, "relay", isRelay)
			s.listed = false
		case err != nil && isRelay:
			s.opts.Log.Info("dependency lost", "dependency", "relay", "kind", s.opts.Kind, "error", err.Error())
			source.Reset()
			s.directUntil = s.opts.Now() + s.opts.DirectEvery
		case err != nil:
			s.failed(ctx, err)
		default:
			s.succeeded(update, isRelay)
		}
	}
}

// choose returns the relay, if there is one and it is not known to be behind.
func (s *Syncer) choose() (source Source, isRelay bool) {
	if s.opts.Relay == nil || s.opts.Now() < s.directUntil {
		return s.opts.Store, false
	}
	relay := s.opts.Relay()
	if relay == nil {
		return s.opts.Store, false
	}
	return relay, true
}

func (s *Syncer) succeeded(update Update, isRelay bool) {
	now := s.opts.Now()
	if isRelay && now >= s.relayUntil && (s.unable(now) || now-update.AsOf > s.opts.MaxRelayAge()) {
		// The relay may be cut off from the store alone.
		s.directUntil = now + s.opts.DirectEvery
		s.opts.Log.Info("dependency lost", "dependency", "copy of the relay", "kind", s.opts.Kind,
			"age_ms", (now - update.AsOf).Milliseconds(), "relay_fails", s.relayFails > 0)
	}
	if !isRelay {
		s.opts.Reached(nil)
		update.Regained = s.failing
		s.failing, s.backoff, s.relayUntil, s.directPause = false, minBackoff, 0, s.opts.DirectEvery
		if update.Regained {
			s.regained = now
		}
	}
	s.asOf = max(s.asOf, update.AsOf)
	update.AsOf, update.Revision = s.asOf, s.revision
	if s.opts.Copy != nil {
		s.opts.Copy.apply(update, s.regained)
	}
	update.Deleted = s.remove(now, update)
	s.opts.Deliver(update)
}

// unable reports whether the relay has been without the store for longer than
// another one needs to take its place.
func (s *Syncer) unable(now time.Duration) bool {
	return s.relayFails > 0 && now-s.relayFails >= s.opts.RelayWait/2
}

// remove returns the names of the objects that count as gone now, and takes
// them out of the copy.
func (s *Syncer) remove(now time.Duration, update Update) []string {
	for _, object := range update.Changed {
		s.known[object.Name] = object.Revision
		delete(s.missing, object.Name)
	}
	for _, name := range update.Deleted {
		if _, found := s.known[name]; !found {
			continue
		}
		due := now
		if s.regained > 0 && now-s.regained < s.opts.ReturnGrace {
			due = s.regained + s.opts.ReturnGrace
		}
		if _, noted := s.missing[name]; !noted {
			s.missing[name] = due
		}
	}
	var gone []string
	for name, due := range s.missing {
		if now >= due {
			gone = append(gone, name)
			delete(s.missing, name)
			delete(s.known, name)
		}
	}
	slices.Sort(gone)
	return gone
}

func (s *Syncer) failed(ctx context.Context, err error) {
	s.opts.Reached(err)
	if !s.failing {
		s.opts.Lost(s.opts.Kind, err)
	}
	s.failing = true
	if s.opts.Copy != nil {
		s.opts.Copy.fail()
	}
	// A list is answered at once, also while the store delivers no events.
	s.listed = false
	// A connection that has gone silent must not be used for the next call.
	s.opts.Store.Reset()
	if s.opts.Relay != nil && s.opts.Relay() != nil {
		// The relay asks the store more often; it is followed until the store
		// is tried again.
		s.directUntil, s.relayUntil = 0, s.opts.Now()+s.directPause
		s.directPause = min(2*s.directPause, s.opts.MaxDirectEvery)
	}
	pause := s.backoff/2 + rand.N(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	select {
	case <-ctx.Done():
	case <-s.opts.Clock.After(pause):
	}
}

// pull gets the next state from a source.
func (s *Syncer) pull(ctx context.Context, source Source, isRelay bool) (Update, error) {
	if !s.listed {
		return s.list(ctx, source)
	}
	wait := s.opts.Wait
	if isRelay {
		wait = s.opts.RelayWait
	}
	for _, due := range s.missing {
		wait = max(time.Millisecond, min(wait, due-s.opts.Now()))
	}
	return s.watch(ctx, source, wait)
}

func (s *Syncer) list(ctx context.Context, source Source) (Update, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, s.opts.ListTimeout)
	defer cancel()
	sent := s.opts.Now()
	listing, err := source.List(ctx, s.opts.Kind)
	if err != nil {
		return Update{}, err
	}
	s.noteFreshness(listing.Freshness)
	update := Update{Kind: s.opts.Kind, AsOf: s.asOfCall(sent, listing.Freshness)}
	if listing.Revision < s.revision {
		// A relay that is behind must not bring back what was removed.
		return update, nil
	}
	s.listed, s.revision = true, listing.Revision
	listed := make(map[string]bool, len(listing.Objects))
	for _, object := range listing.Objects {
		listed[object.Name] = true
		if known, found := s.known[object.Name]; !found || known != object.Revision || s.isMissing(object.Name) {
			update.Changed = append(update.Changed, object)
		}
	}
	for name := range s.known {
		if !listed[name] {
			update.Deleted = append(update.Deleted, name)
		}
	}
	return update, nil
}

func (s *Syncer) isMissing(name string) bool {
	_, found := s.missing[name]
	return found
}

func (s *Syncer) watch(ctx context.Context, source Source, wait time.Duration) (Update, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, wait+s.opts.Margin)
	defer cancel()
	sent := s.opts.Now()
	changes, err := source.Watch(ctx, s.opts.Kind, s.revision, wait)
	if err != nil {
		return Update{}, err
	}
	s.noteFreshness(changes.Freshness)
	s.revision = max(s.revision, changes.Revision)
	update := Update{Kind: s.opts.Kind, AsOf: s.asOfCall(sent, changes.Freshness)}
	last := make(map[string]int, len(changes.Events))
	for i, event := range changes.Events {
		last[event.Object.Name] = i
	}
	for i, event := range changes.Events {
		switch {
		case last[event.Object.Name] != i:
		case event.Deleted:
			update.Deleted = append(update.Deleted, event.Object.Name)
		default:
			update.Changed = append(update.Changed, event.Object)
		}
	}
	return update, nil
}

// asOfCall is the time at which the store had the state of an answer. The call
// arrived after it was sent, and was answered after it had waited there.
func (s *Syncer) asOfCall(sent time.Duration, freshness Freshness) time.Duration {
	return min(s.opts.Now(), sent+freshness.Waited) - freshness.Age
}

// noteFreshness takes in when a relay could read the store again.
func (s *Syncer) noteFreshness(freshness Freshness) {
	if !freshness.Failing {
		s.relayFails = 0
	} else if s.relayFails == 0 {
		s.relayFails = s.opts.Now()
	}
	if freshness.SinceReturn > 0 {
		s.regained = max(s.regained, s.opts.Now()-freshness.SinceReturn)
	}
}
