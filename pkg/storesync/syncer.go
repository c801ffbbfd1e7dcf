package storesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// Options configure a Syncer.
type Options struct {
	Store Store
	Kind  string
	// Wait is how long a watch waits for events. A longer wait saves calls; a
	// shorter one proves more often that the copy is current.
	Wait time.Duration
	// Margin is added to Wait before a watch counts as lost.
	Margin time.Duration
	// ListTimeout bounds a list.
	ListTimeout time.Duration
	// Deliver receives the updates, in order.
	Deliver func(Update)
	// Lost is called when calls start to fail.
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
}

// New returns a Syncer.
func New(opts Options) *Syncer { return &Syncer{opts: opts, backoff: minBackoff} }

// Run delivers updates until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		update, err := s.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			s.opts.Log.Info("store history is gone, listing again", "kind", s.opts.Kind, "revision", s.revision)
			s.listed = false
		case err != nil:
			s.failed(ctx, err)
		default:
			update.Regained = s.failing
			s.failing = false
			s.backoff = minBackoff
			s.opts.Deliver(update)
		}
	}
}

func (s *Syncer) failed(ctx context.Context, err error) {
	if !s.failing {
		s.opts.Lost(s.opts.Kind, err)
	}
	s.failing = true
	// A list is answered at once, also while the store delivers no events.
	s.listed = false
	// A connection that has gone silent must not be used for the next call.
	s.opts.Store.Reset()
	pause := s.backoff/2 + rand.N(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	select {
	case <-ctx.Done():
	case <-s.opts.Clock.After(pause):
	}
}

func (s *Syncer) next(ctx context.Context) (Update, error) {
	if !s.listed {
		return s.list(ctx)
	}
	return s.watch(ctx)
}

func (s *Syncer) list(ctx context.Context) (Update, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, s.opts.ListTimeout)
	defer cancel()
	asOf := s.opts.Now()
	listing, err := s.opts.Store.List(ctx, s.opts.Kind, false)
	if err != nil {
		return Update{}, err
	}
	s.listed, s.revision = true, listing.Revision
	return Update{Kind: s.opts.Kind, Complete: true, Objects: listing.Objects, AsOf: asOf}, nil
}

func (s *Syncer) watch(ctx context.Context) (Update, error) {
	wait := s.opts.Wait
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, wait+s.opts.Margin)
	defer cancel()
	asOf := s.opts.Now()
	changes, err := s.opts.Store.Watch(ctx, s.opts.Kind, s.revision, wait)
	if err != nil {
		return Update{}, err
	}
	s.revision = max(s.revision, changes.Revision)
	update := Update{Kind: s.opts.Kind, AsOf: asOf}
	latest := make(map[string]int, len(changes.Events))
	for i, event := range changes.Events {
		latest[event.Object.Name] = i
	}
	for i, event := range changes.Events {
		switch {
		case latest[event.Object.Name] != i:
		case event.Deleted:
			update.Deleted = append(update.Deleted, event.Object.Name)
		default:
			update.Objects = append(update.Objects, event.Object)
		}
	}
	return update, nil
}
