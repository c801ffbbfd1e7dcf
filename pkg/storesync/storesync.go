// Package storesync keeps a local copy of one kind of objects in the
// platform's store, and knows how old that copy can be.
package storesync

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrCompacted means that the history after the revision is gone.
	ErrCompacted = errors.New("the revision is compacted")
	// ErrConflict means that the object exists or has another revision.
	ErrConflict = errors.New("the object has another revision")
)

// Object is one object of a kind. Spec is empty if it could not be read.
type Object struct {
	Name     string
	Revision uint64
	Spec     []byte
}

// Listing holds all objects of a kind as of a revision.
type Listing struct {
	Revision uint64
	Objects  []Object
}

// Event is one change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Changes are the events up to a revision.
type Changes struct {
	Revision uint64
	Events   []Event
}

// Store is the part of the platform's store that is used here. Calls are never
// repeated by the store's client.
type Store interface {
	// List returns all objects; stale ones are cheaper and may be seconds old.
	List(ctx context.Context, kind string, stale bool) (Listing, error)
	// Watch returns the events after a revision, or none after the wait.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
	// Put creates or replaces an object.
	Put(ctx context.Context, kind, name string, spec any) error
	// Reset closes idle connections.
	Reset()
}

// Update is what a Syncer delivers after each successful call.
type Update struct {
	Kind string
	// Complete updates hold all objects, others only those that have changed.
	Complete bool
	Objects  []Object
	// Deleted names the objects that were removed; only in updates that are
	// not complete.
	Deleted []string
	// AsOf is a time at or before which the store had the state that results:
	// the moment before the call was sent.
	AsOf time.Duration
	// Regained is true for the first update after failed calls.
	Regained bool
}
