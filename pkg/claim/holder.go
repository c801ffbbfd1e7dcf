package claim

import (
	"container/list"
	"time"
)

// claiming is the phase of an attempt that waits for the answer to its claim.
// To others it is Held, because the claim may have been granted.
const claiming Phase = -2

// attempt is one attempt of this instance to run a request.
type attempt struct {
	number uint64
	// first is the oldest attempt at the same identity from which on all
	// earlier attempts are known to be abandoned. Attempts before it were
	// evicted, and may have been dispatched.
	first     uint64
	phase     Phase
	upstream  string
	requestID string
	// identities are the names under which the attempt is recorded: the
	// issued ID, and the claim object for a key of the caller's own.
	identities []string
	endedAt    time.Time
}

// holder records the attempts of this instance. It is plain logic with one
// owner. The newest attempt per identity is kept; the ones before it are
// abandoned, because a new attempt begins only after the last was abandoned.
type holder struct {
	maxEnded int
	maxAge   time.Duration
	next     uint64
	attempts map[string]*attempt
	// ended holds finished and abandoned attempts, oldest first.
	ended *list.List
}

func newHolder(maxEnded int, maxAge time.Duration) *holder {
	return &holder{maxEnded: maxEnded, maxAge: maxAge, attempts: map[string]*attempt{}, ended: list.New()}
}

// begin records a new attempt before its claim is sent. If an earlier attempt
// of this instance is not abandoned, it returns that attempt and false.
func (h *holder) begin(now time.Time, requestID string, identities ...string) (*attempt, bool) {
	h.evict(now)
	first := h.next + 1
	for _, identity := range identities {
		last := h.attempts[identity]
		if last == nil {
			continue
		}
		if last.phase != Abandoned {
			return last, false
		}
		first = min(first, last.first)
	}
	h.next++
	a := &attempt{number: h.next, first: first, phase: claiming, requestID: requestID, identities: identities}
	for _, identity := range identities {
		h.attempts[identity] = a
	}
	return a, true
}

// grant accepts a grant, unless the attempt was given up while the answer was
// on its way.
func (h *holder) grant(a *attempt) bool {
	if a.phase != claiming {
		return false
	}
	a.phase = Held
	return true
}

// update moves an attempt to a later phase and reports whether it moved.
// Abandoned and Finished are final, and a dispatched attempt can only finish.
func (h *holder) update(now time.Time, a *attempt, phase Phase, upstream string) bool {
	undispatched := a.phase == claiming || a.phase == Held
	switch {
	case phase == Abandoned && undispatched:
	case phase == Dispatched && a.phase == Held:
	case phase == Finished && (a.phase == Held || a.phase == Dispatched):
	default:
		return false
	}
	a.phase = phase
	if upstream != "" {
		a.upstream = upstream
	}
	if phase != Dispatched {
		a.endedAt = now
		h.ended.PushBack(a)
		h.evict(now)
	}
	return true
}

// status returns the phase of an attempt as others may know it, and 0 when
// there is no record of it: it may have been dispatched before it was evicted.
func (h *holder) status(identity string, number uint64) (Phase, string, string) {
	a := h.attempts[identity]
	if a == nil || number > a.number || number < a.first {
		return 0, "", ""
	}
	if number < a.number {
		return Abandoned, "", ""
	}
	if a.phase == claiming {
		return Held, "", a.requestID
	}
	return a.phase, a.upstream, a.requestID
}

// evict forgets the oldest ended attempts beyond the bounds.
func (h *holder) evict(now time.Time) {
	for front := h.ended.Front(); front != nil; front = h.ended.Front() {
		a := front.Value.(*attempt)
		if h.ended.Len() <= h.maxEnded && now.Sub(a.endedAt) < h.maxAge {
			return
		}
		h.ended.Remove(front)
		for _, identity := range a.identities {
			if h.attempts[identity] == a {
				delete(h.attempts, identity)
			}
		}
	}
}
