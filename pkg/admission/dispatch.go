package admission

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what a refused caller is told.
const (
	// minRetryAfter lets the queue move before a caller returns.
	minRetryAfter = 250 * time.Millisecond
	// retryShare is the part of the remaining patience after which callers
	// return; callers do not wait for longer than a third.
	retryShare = 0.33
	// retrySpread is the part of the wait by which returns are spread, so that
	// callers refused in a burst do not return in one.
	retrySpread = 0.5
)

// Advance decides on all waiting requests that can be decided now.
func (p *Pool) Advance(now time.Duration) []Decision {
	oldest := p.expirePeers(now)
	p.noteOverdue(now)
	if len(p.waiting) == 0 {
		return nil
	}
	p.rank(now)
	var decisions []Decision
	kept := p.waiting[:0]
	free := p.freeSlots(now)
	known := free
	p.renewRound(now, free)
	for i, r := range p.waiting {
		decision, done := p.decide(now, r, free)
		if !done {
			kept = append(kept, r)
			continue
		}
		if decision.Action == Place {
			free--
		}
		decision.Age, decision.Free = oldest, known
		decision.Waited, decision.Queue = now-r.Arrived, len(kept)+len(p.waiting)-i-1
		decisions = append(decisions, decision)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return decisions
}

// freeSlots counts the free places of the usable upstreams.
func (p *Pool) freeSlots(now time.Duration) int {
	free := 0
	for _, u := range p.order {
		if !u.usable(now) {
			continue
		}
		inFlight, _ := u.load()
		free += max(0, p.limit(u)-inFlight)
	}
	return free
}

// rank puts the requests in the order in which they compete: those that can be
// in time before those that are late, higher tiers first, then the newest. While
// more comes than can be served, the oldest first would make all of them late,
// one after the other; the newest first serves some in time, whatever their size.
func (p *Pool) rank(now time.Duration) {
	slices.SortStableFunc(p.waiting, func(a, b *Request) int {
		if late := compareBools(now >= a.Due, now >= b.Due); late != 0 {
			return late
		}
		if a.Tier != b.Tier {
			return cmp.Compare(a.Tier, b.Tier)
		}
		return cmp.Compare(b.Arrived, a.Arrived)
	})
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (p *Pool) decide(now time.Duration, r *Request, free int) (Decision, bool) {
	if now >= r.Until {
		return p.refuse(now, r, "its time is over"), true
	}
	if free > 0 {
		if decision, done := p.place(now, r); done {
			return decision, true
		}
	}
	if len(p.order) == 0 {
		return p.refuse(now, r, "the service has no upstream"), true
	}
	hold := time.Duration(float64(r.Until-r.Arrived) * p.tuning.HoldShare)
	if now-r.Arrived >= hold {
		return p.refuse(now, r, p.noRoom()), true
	}
	return Decision{}, false
}

// place chooses the upstream with the least expected time, blurred so that the
// instances that see the same picture do not all choose the same one. Requests that will
// be late come last in the queue and take the slots that others leave.
func (p *Pool) place(now time.Duration, r *Request) (Decision, bool) {
	var best *upstream
	var chosen Decision
	bestCost := 0.0
	for _, u := range p.order {
		if !u.usable(now) || slices.Contains(r.Tried, u.info.ID) {
			continue
		}
		inFlight, awaited := u.load()
		if inFlight >= p.limit(u) || !p.mayTake(now, u) {
			continue
		}
		expected := u.expect(&p.tuning, r.PromptTokens, inFlight, awaited, p.stayMs)
		if inFlight >= u.slots && now+expected > r.Due {
			// It would wait there for a slot that a newer request can use in time.
			continue
		}
		cost := toMs(expected) + p.distance(u) + u.failures(now)*failureCost
		if now+expected+u.expectRest(&p.tuning, r.OutputTokens) > r.Until {
			cost += endlessCost
		}
		cost *= 1 + p.tuning.Spread*p.random.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
			chosen = Decision{Key: r.Key, Action: Place, Upstream: u.info, Expected: expected, InFlight: inFlight}
		}
	}
	if best == nil {
		return Decision{}, false
	}
	chosen.Reason = "least expected time"
	if now+chosen.Expected > r.Due {
		chosen.Reason = "late, but there is room"
	}
	p.take(now, best)
	best.flights = append(best.flights, flight{key: r.Key, prompt: r.PromptTokens, placed: now, expected: chosen.Expected})
	return chosen, true
}

// limit is the number of requests that an upstream may have. The last slots of
// upstreams in other failure domains are left to the instances there, whose
// reports arrive sooner.
func (p *Pool) limit(u *upstream) int {
	if u.info.Domain == p.location.Domain {
		return u.slots + p.tuning.ExtraSlots
	}
	return max(1, u.slots+p.tuning.ExtraSlots-p.tuning.FarReserve)
}

func (p *Pool) distance(u *upstream) float64 {
	switch {
	case u.info.Domain == p.location.Domain:
		return 0
	case p.location.Regions[u.info.Domain] == p.location.Regions[p.location.Domain]:
		return p.tuning.SameRegionMs
	default:
		return p.tuning.OtherRegionMs
	}
}

func (p *Pool) noRoom() string {
	if p.round.bounded {
		return "no upstream had room in time, and others wait elsewhere"
	}
	return "no upstream had room in time"
}

func (p *Pool) refuse(now time.Duration, r *Request, reason string) Decision {
	left := max(0, r.Until-now)
	wait := time.Duration(float64(left) * retryShare * (1 - retrySpread*p.random.Float64()))
	return Decision{Key: r.Key, Action: Refuse, Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}

// noteOverdue lowers the speed of upstreams whose first output is overdue, long
// before an answer would show it.
func (p *Pool) noteOverdue(now time.Duration) {
	for _, u := range p.order {
		for i := range u.flights {
			f := &u.flights[i]
			limit := time.Duration(float64(f.expected)*overdueFactor) + overdueSlack
			if f.output || f.overdue || now-f.placed < limit {
				continue
			}
			f.overdue = true
			u.observeSpeed(u.believedSpeed() * overdueSlower)
		}
	}
}
