package storesync

import (
	"context"
	"sync/atomic"
	"time"
)

// Fenced is a Store that knows the highest era of all answers. It sends no write whose
// condition was read in an earlier era, and does not take a write for done that was
// answered in another era than that of its condition: the revision may have been given out
// again to another state of the object. It is safe for concurrent use.
type Fenced struct {
	Store
	era atomic.Uint64
}

// NewFenced returns a fenced store.
func NewFenced(store Store) *Fenced { return &Fenced{Store: store} }

// Observe records an era that was learned in another way, such as from a relay.
func (f *Fenced) Observe(era uint64) {
	for {
		known := f.era.Load()
		if era <= known || f.era.CompareAndSwap(known, era) {
			return
		}
	}
}

// Era returns the highest era that was observed.
func (f *Fenced) Era() uint64 { return f.era.Load() }

// List implements Source.
func (f *Fenced) List(ctx context.Context, kind string) (Listing, error) {
	listing, err := f.Store.List(ctx, kind)
	f.Observe(listing.Era)
	return listing, err
}

// ListStale implements Store.
func (f *Fenced) ListStale(ctx context.Context, kind string) (Listing, error) {
	listing, err := f.Store.ListStale(ctx, kind)
	f.Observe(listing.Era)
	return listing, err
}

// Watch implements Source.
func (f *Fenced) Watch(ctx context.Context, kind string, after Position, wait time.Duration) (Changes, error) {
	changes, err := f.Store.Watch(ctx, kind, after, wait)
	f.Observe(changes.Era)
	return changes, err
}

// Put implements Store, with the additional error ErrEraChanged.
func (f *Fenced) Put(ctx context.Context, kind, name string, spec any, condition Position) (Written, error) {
	return f.write(condition, func() (Written, error) { return f.Store.Put(ctx, kind, name, spec, condition) })
}

// PutStatus implements Store, with the additional error ErrEraChanged.
func (f *Fenced) PutStatus(ctx context.Context, kind, name string, status any, condition Position) (Written, error) {
	return f.write(condition, func() (Written, error) { return f.Store.PutStatus(ctx, kind, name, status, condition) })
}

func (f *Fenced) write(condition Position, send func() (Written, error)) (Written, error) {
	// That an object does not exist is no knowledge of an era.
	conditional := condition.Revision != 0
	if conditional && condition.Era < f.Era() {
		return Written{Era: f.Era()}, ErrEraChanged
	}
	written, err := send()
	f.Observe(written.Era)
	if err == nil && conditional && written.Era != condition.Era {
		return written, ErrEraChanged
	}
	return written, err
}
