// Package storesync keeps a local copy of one kind of objects in the platform's
// store, and knows how old that copy can be. Copies are filled from the store
// itself or from the copy of another instance.
package storesync

import (
	"context"
	"errors"
	"time"
)

// Errors of a Source.
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
	Freshness
}

// Freshness says how far an answer can be trusted.
type Freshness struct {
	// Age is how old the newest state was when it was answered; 0 for the store.
	Age time.Duration
	// Waited is the time between the arrival of the call and the answer, by which
	// the answer is newer than the call.
	Waited time.Duration
	// Failing is true while the source cannot read the store.
	Failing bool
	// SinceReturn is the time since the source could read the store again after
	// an outage; 0 if there was none.
	SinceReturn time.Duration
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
	Freshness
}

// Source is where a copy is filled from. Calls are never repeated by it.
type Source interface {
	// List returns all objects.
	List(ctx context.Context, kind string) (Listing, error)
	// Watch returns the events after a revision, or none after the wait.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
	// Reset closes idle connections.
	Reset()
}

// Store is the part of the platform's store that is used here.
type Store interface {
	Source
	// ListStale is a cheaper List that may be seconds old.
	ListStale(ctx context.Context, kind string) (Listing, error)
	// Put creates or replaces an object.
	Put(ctx context.Context, kind, name string, spec any) error
}

// Update is what a Syncer delivers after each successful call.
type Update struct {
	Kind string
	// Revision is the revision of the store up to which the copy goes.
	Revision uint64
	// Changed are the objects that are new or have changed, and Deleted names
	// those that were removed.
	Changed []Object
	Deleted []string
	// AsOf is a time at or after which the store had the state that results: the
	// moment before the call was sent, plus the wait for the answer, less its age.
	AsOf time.Duration
	// Regained is true for the first update after failed calls.
	Regained bool
}
