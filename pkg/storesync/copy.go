package storesync

import (
	"context"
	"sync"
	"time"
)

// keptEvents bounds the history of a Copy. Followers that are further behind
// list again.
const keptEvents = 1024

// Copy is what an instance knows of one kind, for the instances that follow it.
// It is safe for concurrent use.
type Copy struct {
	now func() time.Duration

	mu       sync.Mutex
	objects  map[string]Object
	history  []revisedEvent
	revision uint64
	// oldest is the revision up to which the history is gone.
	oldest uint64
	asOf   time.Duration
	// regained is when the store could be read again after an outage.
	regained time.Duration
	// failing is true while the store cannot be read.
	failing bool
	// changed is closed when something changes that a watch reports.
	changed chan struct{}
}

// revisedEvent is an event with the revision at which it was known.
type revisedEvent struct {
	event    Event
	revision uint64
}

// NewCopy returns an empty copy.
func NewCopy(now func() time.Duration) *Copy {
	return &Copy{now: now, objects: map[string]Object{}, changed: make(chan struct{})}
}

// apply takes in what a source has answered, without regard to any grace.
func (c *Copy) apply(update Update, regained time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.revision == 0
	if first {
		c.oldest = update.Revision
	}
	for _, object := range update.Changed {
		c.objects[object.Name] = object
		c.note(Event{Object: object}, update.Revision)
	}
	for _, name := range update.Deleted {
		delete(c.objects, name)
		c.note(Event{Object: Object{Name: name}, Deleted: true}, update.Revision)
	}
	c.revision = max(c.revision, update.Revision)
	c.asOf, c.regained = max(c.asOf, update.AsOf), regained
	c.failing = false
	if first || len(update.Changed)+len(update.Deleted) > 0 {
		c.wake()
	}
}

// wake ends the waits of all watches.
func (c *Copy) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// fail notes that the store cannot be read, so that followers can try themselves
// before the copy is too old.
func (c *Copy) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failing {
		c.failing = true
		c.wake()
	}
}

func (c *Copy) note(event Event, revision uint64) {
	c.history = append(c.history, revisedEvent{event: event, revision: revision})
	for len(c.history) > keptEvents {
		c.oldest = c.history[0].revision
		c.history = c.history[1:]
	}
}

// List returns all objects. While nothing is known yet it waits until the context
// ends; it returns false if nothing is known then.
func (c *Copy) List(ctx context.Context) (Listing, bool) {
	for {
		listing, known, changed := c.list()
		if known {
			return listing, true
		}
		select {
		case <-ctx.Done():
			return listing, false
		case <-changed:
		}
	}
}

func (c *Copy) list() (Listing, bool, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listing := Listing{Revision: c.revision, Freshness: c.freshness()}
	for _, object := range c.objects {
		listing.Objects = append(listing.Objects, object)
	}
	return listing, c.revision > 0, c.changed
}

func (c *Copy) freshness() Freshness {
	f := Freshness{Age: c.now() - c.asOf, Failing: c.failing}
	if c.regained > 0 {
		f.SinceReturn = max(1, c.now()-c.regained)
	}
	return f
}

// Watch returns the changes after a revision, or none when the context ends or the
// store can no longer be read.
func (c *Copy) Watch(ctx context.Context, after uint64) (Changes, error) {
	failing := true
	for {
		changes, changed, err := c.since(after)
		if err != nil || len(changes.Events) > 0 || changes.Failing && !failing {
			return changes, err
		}
		failing = changes.Failing
		select {
		case <-ctx.Done():
			changes, _, err = c.since(after)
			return changes, err
		case <-changed:
		}
	}
}

func (c *Copy) since(after uint64) (Changes, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == 0 || after < c.oldest {
		return Changes{}, nil, ErrCompacted
	}
	changes := Changes{Revision: c.revision, Freshness: c.freshness()}
	for _, e := range c.history {
		if e.revision > after {
			changes.Events = append(changes.Events, e.event)
		}
	}
	return changes, c.changed, nil
}
