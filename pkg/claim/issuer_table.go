package claim

import (
	"container/list"
	"time"
)

// lostPhase is the phase of a claim whose holder has no record of it any more.
const lostPhase Phase = -1

// checkpointInterval is the resolution of the recorded issue times.
const checkpointInterval = time.Minute

// attemptID identifies one attempt of one incarnation of an instance.
type attemptID struct {
	instance InstanceRef
	number   uint64
}

// entry is the claim of one issued ID.
type entry struct {
	sequence uint64
	holder   attemptID
	phase    Phase
	upstream string
	// keyed is true for an ID issued for a caller-supplied key. The key's claim
	// object decides which attempt runs the request, so the claim of the ID
	// alone is not granted to another attempt.
	keyed     bool
	grantedAt time.Time
	element   *list.Element
}

// checkpoint records that the IDs up to sequence were issued by the time at.
type checkpoint struct {
	at       time.Time
	sequence uint64
}

// issuerTable records which attempts hold the claims of the IDs that this
// instance issued. It is not safe for concurrent use.
type issuerTable struct {
	maxEntries   int
	maxAge       time.Duration
	lastSequence uint64
	// retentionFloor is the highest sequence number whose claim may have been
	// evicted. An ID at or below it without an entry is reported as Lost and
	// never granted.
	retentionFloor uint64
	entries        map[uint64]*entry
	oldestFirst    *list.List
	checkpoints    []checkpoint
}

func newIssuerTable(maxEntries int, maxAge time.Duration) *issuerTable {
	return &issuerTable{maxEntries: maxEntries, maxAge: maxAge, entries: map[uint64]*entry{}, oldestFirst: list.New()}
}

// issue returns the next sequence number and records its issue time.
func (t *issuerTable) issue(now time.Time) uint64 {
	t.lastSequence++
	if n := len(t.checkpoints); n == 0 || now.Sub(t.checkpoints[n-1].at) >= checkpointInterval {
		t.checkpoints = append(t.checkpoints, checkpoint{now, t.lastSequence})
	} else {
		t.checkpoints[n-1].sequence = t.lastSequence
	}
	return t.lastSequence
}

// claim decides a claim. If holderToQuery is not nil, the caller must query that
// holder for its phase and then call resolve.
func (t *issuerTable) claim(now time.Time, sequence uint64, claimant attemptID) (reply Reply, holderToQuery *attemptID) {
	t.evict(now)
	e := t.entries[sequence]
	if e == nil {
		if sequence <= t.retentionFloor || sequence > t.lastSequence {
			return Reply{Result: Lost}, nil
		}
		t.grant(now, sequence, claimant)
		return Reply{Result: Granted}, nil
	}
	if e.holder == claimant {
		return e.replyToHolder(), nil
	}
	if e.phase == Abandoned && !e.keyed {
		t.grant(now, sequence, claimant)
		return Reply{Result: Granted}, nil
	}
	if e.phase == Held || e.phase == Dispatched {
		holder := e.holder
		return Reply{}, &holder
	}
	return e.replyToOther(), nil
}

// resolve decides a claim after its holder was queried. A holder that did not
// answer (answered is false) keeps its claim; phase 0 means that the holder has
// no record of the attempt.
func (t *issuerTable) resolve(now time.Time, sequence uint64, claimant, queried attemptID, answered bool, phase Phase, upstream string) Reply {
	e := t.entries[sequence]
	if e == nil {
		return Reply{Result: Lost}
	}
	if answered && e.holder == queried {
		if phase == 0 {
			phase = lostPhase
		}
		e.advance(phase, upstream)
	}
	if e.holder == claimant {
		return e.replyToHolder()
	}
	if e.phase == Abandoned && !e.keyed {
		t.grant(now, sequence, claimant)
		return Reply{Result: Granted}
	}
	return e.replyToOther()
}

// update applies a phase that the sender reported, if it still holds the claim.
func (t *issuerTable) update(sequence uint64, sender attemptID, phase Phase, upstream string) {
	if e := t.entries[sequence]; e != nil && e.holder == sender {
		e.advance(phase, upstream)
	}
}

// grant records a new holder of the claim.
func (t *issuerTable) grant(now time.Time, sequence uint64, holder attemptID) {
	e := t.entries[sequence]
	if e == nil {
		e = &entry{sequence: sequence}
		e.element = t.oldestFirst.PushBack(e)
		t.entries[sequence] = e
	}
	e.holder, e.phase, e.upstream, e.grantedAt = holder, Held, "", now
	t.oldestFirst.MoveToBack(e.element)
	t.evict(now)
}

// evict removes the oldest claims while there are too many or they are too old,
// and raises retentionFloor.
func (t *issuerTable) evict(now time.Time) {
	for front := t.oldestFirst.Front(); front != nil; front = t.oldestFirst.Front() {
		e := front.Value.(*entry)
		if t.oldestFirst.Len() <= t.maxEntries && now.Sub(e.grantedAt) < t.maxAge {
			break
		}
		t.oldestFirst.Remove(front)
		delete(t.entries, e.sequence)
		t.retentionFloor = max(t.retentionFloor, e.sequence)
	}
	for len(t.checkpoints) > 0 && now.Sub(t.checkpoints[0].at) >= t.maxAge+checkpointInterval {
		t.retentionFloor = max(t.retentionFloor, t.checkpoints[0].sequence)
		t.checkpoints = t.checkpoints[1:]
	}
}

// advance applies a phase of the current holder. Messages may arrive out of
// order: Held can change to any phase, Dispatched only to Finished or
// lostPhase, and no other phase changes. A repeated Dispatched can add the name
// of the upstream.
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

// replyToHolder answers the attempt that holds the claim and repeats its
// request, since the first answer may have been lost.
func (e *entry) replyToHolder() Reply {
	if e.phase == Held {
		return Reply{Result: Granted}
	}
	return e.replyToOther()
}

// replyToOther returns the reply to an attempt that may not dispatch: another one
// holds the claim, or the holder has already used or lost it.
func (e *entry) replyToOther() Reply {
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
