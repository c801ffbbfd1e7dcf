// Package storesync keeps a local copy of all objects of one kind in the platform's
// store and an upper bound of the copy's age. The copy is updated from the store
// itself or from the copy of another instance.
package storesync

import (
	"context"
	"errors"
	"time"
)

// Errors of a Source.
var (
	// ErrCompacted means that the history after the given revision is no longer kept.
	ErrCompacted = errors.New("the history after the revision was compacted")
	// ErrConflict means that the object already exists, has another revision or is gone.
	ErrConflict = errors.New("the object already exists, has another revision or is gone")
	// ErrEraChanged means that the store has returned from an older copy since the
	// revision of a condition, or the first page of a list, was read.
	ErrEraChanged = errors.New("the store has returned from an older copy in between")
	// errEarlierEra means that the store has answered from before a return that it has
	// already shown.
	errEarlierEra = errors.New("the store has answered in an earlier era")
)

// Position is a state of the store. The era rises each time that the store returns from
// an older copy of itself. It then gives out revisions again, so that revisions of
// different eras say nothing about each other. The era of a store that names none is 0.
type Position struct {
	Era      uint64
	Revision uint64
}

// Before reports whether the position precedes another one.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// Object is one object of a kind. Spec is empty if the object could not be decoded.
type Object struct {
	Name     string
	Revision uint64
	Spec     []byte
	// Status is empty if the object has none.
	Status []byte
}

// Listing holds all objects of a kind at a position.
type Listing struct {
	Position
	Objects []Object
	Freshness
}

// Freshness describes how current the answer of a source is.
type Freshness struct {
	// Age is the age of the source's copy at the time of the answer; 0 for the store.
	Age time.Duration
	// Waited is the time between the arrival of the call and the answer; the answer is
	// newer than the call by this time.
	Waited time.Duration
	// StoreFailing is true while the source cannot read the store.
	StoreFailing bool
	// SinceRecovery is the time since the source could read the store again after an
	// outage; 0 if there was no outage.
	SinceRecovery time.Duration
}

// Event is the creation, change or deletion of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Changes holds the events after the requested position, up to Position. If the eras of
// the two differ, the events are of no use.
type Changes struct {
	Position
	Events []Event
	Freshness
}

// Source is the store or the copy of another instance. It never retries a call.
type Source interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Watch returns the events after a position as soon as there are any, or no events
	// once wait has passed.
	Watch(ctx context.Context, kind string, after Position, wait time.Duration) (Changes, error)
	// CloseIdleConnections closes idle connections, since one of them may no longer
	// respond.
	CloseIdleConnections()
}

// Store is the platform's store, which can also be written to.
type Store interface {
	Source
	// ListStale is a cheaper List whose result may be seconds old.
	ListStale(ctx context.Context, kind string) (Listing, error)
	// Put creates an object if the revision of condition is 0, and otherwise replaces the
	// one that has the revision. It returns the object as written. If the condition does
	// not hold, it returns ErrConflict and the object as it is; revision 0 then means that
	// there is none. A call that fails otherwise may take effect later if its condition
	// still holds. The store compares revisions only, so that a condition of an earlier era
	// may hold by accident: see Fenced.
	Put(ctx context.Context, kind, name string, spec any, condition Position) (Written, error)
	// PutStatus replaces the status of the object that has the revision, with the errors of
	// Put.
	PutStatus(ctx context.Context, kind, name string, status any, condition Position) (Written, error)
}

// Written is the answer to a write: the object, and the era in which the store answered.
type Written struct {
	Object
	Era uint64
}

// Position returns the position of the object's last change.
func (w Written) Position() Position { return Position{Era: w.Era, Revision: w.Revision} }

// Update is the result of a successful call, delivered by a Syncer.
type Update struct {
	Kind string
	// Position is that of the copy after the update.
	Position
	// Changed holds the writes of objects in the order of the store, of which one object
	// may have several, and Deleted the names of the objects that are deleted after them.
	Changed []Object
	Deleted []string
	// AsOf is the time at which the copy is known to have been current: the time
	// before the call was sent, plus the wait at the source, minus the age of the
	// answer.
	AsOf time.Duration
	// Returned is true for the first update after the store has returned from an older
	// copy. Changed then holds all objects.
	Returned bool
	// Recovered is true for the first update from the store after failed calls.
	Recovered bool
	// ignored is true if the answer was of an earlier era than the copy.
	ignored bool
}
