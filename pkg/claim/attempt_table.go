package claim

import (
	"container/list"
	"time"
)

// claimPending is the phase of an attempt whose claim was not answered yet.
// Other instances see it as Held, because the claim may have been granted.
const claimPending Phase = -2

// attempt is one attempt of this instance to run a request.
type attempt struct {
	number uint64
	// firstKnown is the number of the oldest attempt at the same identity whose
	// record was not evicted. Attempts from firstKnown on and before this one
	// are known to be abandoned; evicted ones may have been dispatched.
	firstKnown uint64
	phase      Phase
	upstream   string
	requestID  string
	// identities are the keys of the attempt in the table: the issued ID and,
	// for a caller-supplied key, the name of the claim object.
	identities []string
	endedAt    time.Time
}

// attemptTable records the attempts of this instance to run requests. It keeps
// the newest attempt per identity; all earlier ones are abandoned, because a
// new attempt begins only after the previous one was abandoned. It is not safe
// for concurrent use.
type attemptTable struct {
	maxEnded   int
	maxAge     time.Duration
	lastNumber uint64
	byIdentity map[string]*attempt
	// ended holds finished and abandoned attempts, oldest first.
	ended *list.List
}

func newAttemptTable(maxEnded int, maxAge time.Duration) *attemptTable {
	return &attemptTable{maxEnded: maxEnded, maxAge: maxAge, byIdentity: map[string]*attempt{}, ended: list.New()}
}

// begin records a new attempt before its claim is sent. If an earlier attempt
// of this instance is not abandoned, begin returns that attempt and false.
func (t *attemptTable) begin(now time.Time, requestID string, identities ...string) (*attempt, bool) {
	t.evict(now)
	first := t.lastNumber + 1
	for _, identity := range identities {
		last := t.byIdentity[identity]
		if last == nil {
			continue
		}
		if last.phase != Abandoned {
			return last, false
		}
		first = min(first, last.firstKnown)
	}
	t.lastNumber++
	a := &attempt{number: t.lastNumber, firstKnown: first, phase: claimPending, requestID: requestID, identities: identities}
	for _, identity := range identities {
		t.byIdentity[identity] = a
	}
	return a, true
}

// grant marks a pending attempt as Held. It returns false if the attempt was
// abandoned before the grant arrived.
func (t *attemptTable) grant(a *attempt) bool {
	if a.phase != claimPending {
		return false
	}
	a.phase = Held
	return true
}

// update moves an attempt to a later phase and reports whether it did.
// Abandoned and Finished are final, and a dispatched attempt can only finish.
func (t *attemptTable) update(now time.Time, a *attempt, phase Phase, upstream string) bool {
	undispatched := a.phase == claimPending || a.phase == Held
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
		t.ended.PushBack(a)
		t.evict(now)
	}
	return true
}

// status returns the phase, the upstream and the request ID of an attempt as
// other instances may see them. Phase 0 means that there is no record of the
// attempt: it may have been dispatched before it was evicted.
func (t *attemptTable) status(identity string, number uint64) (Phase, string, string) {
	a := t.byIdentity[identity]
	if a == nil || number > a.number || number < a.firstKnown {
		return 0, "", ""
	}
	if number < a.number {
		return Abandoned, "", ""
	}
	if a.phase == claimPending {
		return Held, "", a.requestID
	}
	return a.phase, a.upstream, a.requestID
}

// evict removes the oldest ended attempts while there are too many or they are
// too old.
func (t *attemptTable) evict(now time.Time) {
	for front := t.ended.Front(); front != nil; front = t.ended.Front() {
		a := front.Value.(*attempt)
		if t.ended.Len() <= t.maxEnded && now.Sub(a.endedAt) < t.maxAge {
			return
		}
		t.ended.Remove(front)
		for _, identity := range a.identities {
			if t.byIdentity[identity] == a {
				delete(t.byIdentity, identity)
			}
		}
	}
}
