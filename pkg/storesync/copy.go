package storesync

import (
	"context"
	"sync"
	"time"
)

// maxHistoryEvents and maxHistoryBytes bound the history of a Copy. Followers that are
// further behind have to list again. The latest event is kept whatever its size.
const (
	maxHistoryEvents = 1024
	maxHistoryBytes  = 4 << 20
)

// Copy is an instance's copy of one kind of objects. It serves List and Watch calls of
// the instances that follow it, and is safe for concurrent use.
type Copy struct {
	now func() time.Duration

	mu      sync.Mutex
	objects map[string]Object
	history []historyEvent
	// historyBytes is the size of the objects in history.
	historyBytes int
	position     Position
	// known is true once there was an update.
	known bool
	// compactedRevision is the revision up to which the history was dropped. The history
	// holds events of the era of position only.
	compactedRevision uint64
	asOf              time.Duration
	// recoveredAt is when the store could be read again after an outage; 0 if there
	// was none.
	recoveredAt time.Duration
	// storeFailing is true while the store cannot be read.
	storeFailing bool
	// changed is closed and replaced when there is something for a watch to report.
	changed chan struct{}
}

// historyEvent is an event with the revision of the update that delivered it.
type historyEvent struct {
	event    Event
	revision uint64
}

// NewCopy returns an empty copy.
func NewCopy(now func() time.Duration) *Copy {
	return &Copy{now: now, objects: map[string]Object{}, changed: make(chan struct{})}
}

// apply applies an update. Deletions take effect at once, without the grace period
// of the Syncer.
func (c *Copy) apply(update Update, recoveredAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	restart := !c.known || update.Era > c.position.Era
	if restart {
		// Followers in an earlier era have to list again.
		c.history, c.historyBytes, c.compactedRevision = nil, 0, update.Revision
	}
	for _, object := range update.Changed {
		c.objects[object.Name] = object
		c.appendHistory(Event{Object: object}, update.Revision)
	}
	for _, name := range update.Deleted {
		delete(c.objects, name)
		c.appendHistory(Event{Object: Object{Name: name}, Deleted: true}, update.Revision)
	}
	if c.position.Before(update.Position) {
		c.position = update.Position
	}
	c.known = true
	c.asOf, c.recoveredAt = max(c.asOf, update.AsOf), recoveredAt
	c.storeFailing = false
	if restart || len(update.Changed)+len(update.Deleted) > 0 {
		c.notifyWatches()
	}
}

// notifyWatches makes the calls of List and Watch that wait for a change look at the
// copy again. The caller holds mu.
func (c *Copy) notifyWatches() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// setStoreFailing records that the store cannot be read, so that followers can use the
// store themselves before the copy is too old.
func (c *Copy) setStoreFailing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeFailing {
		c.storeFailing = true
		c.notifyWatches()
	}
}

func (c *Copy) appendHistory(event Event, revision uint64) {
	c.history = append(c.history, historyEvent{event: event, revision: revision})
	c.historyBytes += event.Object.bytes()
	for len(c.history) > maxHistoryEvents || (len(c.history) > 1 && c.historyBytes > maxHistoryBytes) {
		c.compactedRevision = c.history[0].revision
		c.historyBytes -= c.history[0].event.Object.bytes()
		// The array behind the slice keeps the event until it is replaced.
		c.history[0] = historyEvent{}
		c.history = c.history[1:]
	}
}

// bytes returns the size of the contents of an object.
func (o Object) bytes() int { return len(o.Name) + len(o.Spec) + len(o.Status) }

// List returns all objects. Before the first update it waits; it returns false if the
// context ends first.
func (c *Copy) List(ctx context.Context) (Listing, bool) {
	for {
		listing, known, changed := c.snapshot()
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

func (c *Copy) snapshot() (Listing, bool, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listing := Listing{Position: c.position, Freshness: c.freshness()}
	for _, object := range c.objects {
		listing.Objects = append(listing.Objects, object)
	}
	return listing, c.known, c.changed
}

func (c *Copy) freshness() Freshness {
	f := Freshness{Age: c.now() - c.asOf, StoreFailing: c.storeFailing}
	if c.recoveredAt > 0 {
		f.SinceRecovery = max(1, c.now()-c.recoveredAt)
	}
	return f
}

// Watch waits for changes after a position and returns them. It returns no changes if
// the context ends, or if the store starts to fail during the wait. A caller in a later
// era than the copy gets no changes until the copy has reached that era.
func (c *Copy) Watch(ctx context.Context, after Position) (Changes, error) {
	failing := true
	for {
		changes, changed, err := c.changesSince(after)
		if err != nil || len(changes.Events) > 0 || changes.StoreFailing && !failing {
			return changes, err
		}
		failing = changes.StoreFailing
		select {
		case <-ctx.Done():
			changes, _, err = c.changesSince(after)
			return changes, err
		case <-changed:
		}
	}
}

func (c *Copy) changesSince(after Position) (Changes, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || after.Era < c.position.Era || after.Era == c.position.Era && after.Revision < c.compactedRevision {
		return Changes{}, nil, ErrCompacted
	}
	changes := Changes{Position: c.position, Freshness: c.freshness()}
	if after.Era > c.position.Era {
		return changes, c.changed, nil
	}
	for _, e := range c.history {
		if e.revision > after.Revision {
			changes.Events = append(changes.Events, e.event)
		}
	}
	return changes, c.changed, nil
}
