package claim

import (
	"container/list"
	"time"
)

// lostPhase marks an entry whose holder has no record of it any more.
const lostPhase Phase = -1

// checkpointInterval is the resolution at which the age of issued IDs is known.
const checkpointInterval = time.Minute

// claimant is one attempt of one holder incarnation.
type claimant struct {
	ref     Ref
	attempt uint64
}

// entry is the claim of one issued ID.
type entry struct {
	sequence uint64
	holder   claimant
	phase    Phase
	upstream string
	// keyed marks the internal ID of a caller-supplied key. The key decides
	// who runs the request, so the ID alone is never granted again.
	keyed bool
	at    time.Time
	place *list.Element
}

// checkpoint says that the IDs up to sequence were issued by the time at.
type checkpoint struct {
	at       time.Time
	sequence uint64
}

// table is the issuer's record of who holds the IDs that it issued. It is plain
// logic with one owner.
type table struct {
	maxEntries int
	maxAge     time.Duration
	last       uint64
	// floor is the highest sequence number whose claim may have been evicted.
	// An ID at or below it without an entry is lost and never granted.
	floor       uint64
	entries     map[uint64]*entry
	order       *list.List
	checkpoints []checkpoint
}

func newTable(maxEntries int, maxAge time.Duration) *table {
	return &table{maxEntries: maxEntries, maxAge: maxAge, entries: map[uint64]*entry{}, order: list.New()}
}

// issue returns the next sequence number.
func (t *table) issue(now time.Time) uint64 {
	t.last++
	if n := len(t.checkpoints); n == 0 || now.Sub(t.checkpoints[n-1].at) >= checkpointInterval {
		t.checkpoints = append(t.checkpoints, checkpoint{now, t.last})
	} else {
		t.checkpoints[n-1].sequence = t.last
	}
	return t.last
}

// claim decides a claim. When ask is not nil, the holder it names must be asked
// for its phase, and resolve decides.
func (t *table) claim(now time.Time, sequence uint64, by claimant) (reply Reply, ask *claimant) {
	t.evict(now)
	e := t.entries[sequence]
	if e == nil {
		if sequence <= t.floor || sequence > t.last {
			return Reply{Result: Lost}, nil
		}
		t.grant(now, sequence, by)
		return Reply{Result: Granted}, nil
	}
	if e.holder == by {
		return e.own(), nil
	}
	if e.phase == Abandoned && !e.keyed {
		t.grant(now, sequence, by)
		return Reply{Result: Granted}, nil
	}
	if e.phase == Held || e.phase == Dispatched {
		holder := e.holder
		return Reply{}, &holder
	}
	return e.foreign(), nil
}

// resolve decides a claim after the holder was asked. A holder that did not
// answer (answered is false) keeps its claim; phase 0 means that the holder has
// no record of the attempt.
func (t *table) resolve(now time.Time, sequence uint64, by, asked claimant, answered bool, phase Phase, upstream string) Reply {
	e := t.entries[sequence]
	if e == nil {
		return Reply{Result: Lost}
	}
	if answered && e.holder == asked {
		if phase == 0 {
			phase = lostPhase
		}
		e.advance(phase, upstream)
	}
	if e.holder == by {
		return e.own()
	}
	if e.phase == Abandoned && !e.keyed {
		t.grant(now, sequence, by)
		return Reply{Result: Granted}
	}
	return e.foreign()
}

// update applies a phase that the holder reported.
func (t *table) update(sequence uint64, by claimant, phase Phase, upstream string) {
	if e := t.entries[sequence]; e != nil && e.holder == by {
		e.advance(phase, upstream)
	}
}

func (t *table) grant(now time.Time, sequence uint64, by claimant) {
	e := t.entries[sequence]
	if e == nil {
		e = &entry{sequence: sequence}
		e.place = t.order.PushBack(e)
		t.entries[sequence] = e
	}
	e.holder, e.phase, e.upstream, e.at = by, Held, "", now
	t.order.MoveToBack(e.place)
	t.evict(now)
}

// evict forgets the oldest claims beyond the bounds and raises the floor.
func (t *table) evict(now time.Time) {
	for front := t.order.Front(); front != nil; front = t.order.Front() {
		e := front.Value.(*entry)
		if t.order.Len() <= t.maxEntries && now.Sub(e.at) < t.maxAge {
			break
		}
		t.order.Remove(front)
		delete(t.entries, e.sequence)
		t.floor = max(t.floor, e.sequence)
	}
	for len(t.checkpoints) > 0 && now.Sub(t.checkpoints[0].at) >= t.maxAge+checkpointInterval {
		t.floor = max(t.floor, t.checkpoints[0].sequence)
		t.checkpoints = t.checkpoints[1:]
	}
}

// advance applies a phase of the current holder. Messages may arrive out of
// order, so only Held and Dispatched change, and Dispatched only to its end.
func (e *entry) advance(phase Phase, upstream string) {
	switch {
	case e.phase == Held:
	case e.phase == Dispatched && (phase == Finished || phase == lostPhase):
	case e.phase == Dispatched && phase == Dispatched && e.upstream == "":
	default:
		return
	}
	e.phase = phase
	if upstream != "" {
		e.upstream = upstream
	}
}

// own answers the attempt that holds the claim, whose first answer may be lost.
func (e *entry) own() Reply {
	if e.phase == Held {
		return Reply{Result: Granted}
	}
	return e.foreign()
}

// foreign answers an attempt that does not hold the claim.
func (e *entry) foreign() Reply {
	reply := Reply{Result: InProgress, Upstream: e.upstream}
	switch e.phase {
	case Finished:
		reply.Result = AlreadyFinished
	case lostPhase:
		reply.Result = Lost
	case Abandoned:
		if e.keyed {
			reply.Result = Lost
		}
	}
	return reply
}
