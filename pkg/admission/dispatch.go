package admission

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the Retry-After time of refused requests.
const (
	// minRetryAfter gives the queue time to drain before the caller retries.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryFraction is the largest part of the remaining time until the
	// request's deadline that is returned as Retry-After. Callers do not wait for
	// longer than a third of that time.
	maxRetryFraction = 0.33
	// retryJitter is the part of the Retry-After time that is randomized, so that
	// callers refused in a burst do not retry at the same time.
	retryJitter = 0.5
)

// Schedule removes from the queue and returns all requests that can be placed or
// must be refused now.
func (p *Pool) Schedule(now time.Duration) []Decision {
	oldest := p.expirePeers(now)
	p.expireGrants(now)
	p.penalizeOverdue(now)
	p.stepLimits(now)
	if len(p.queue) == 0 {
		return nil
	}
	p.applyPeerEjections(now)
	p.assumeSpeeds(now)
	p.updateShares(now)
	p.tiers.update(now)
	p.updateLink(now, p.queue)
	p.sortQueue(now)
	var decisions []Decision
	kept := p.queue[:0]
	free := p.freeCapacity(now)
	capacityBefore := free
	p.startAllocation(now, free)
	p.earlierWaits = false
	for i, r := range p.queue {
		decision, done := p.decide(now, r, free)
		if !done {
			kept = append(kept, r)
			p.earlierWaits = p.earlierWaits || now < r.SoftDeadline
			continue
		}
		if decision.Action == Place && !r.Trial {
			free--
		}
		decision.OldestReportAge, decision.FreeCapacity = oldest, capacityBefore
		decision.Waited, decision.QueueLength = now-r.Arrived, len(kept)+len(p.queue)-i-1
		decisions = append(decisions, decision)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return decisions
}

// freeCapacity returns the number of further requests that the usable upstreams
// accept.
func (p *Pool) freeCapacity(now time.Duration) int {
	free := 0
	delegated := slices.ContainsFunc(p.queue, func(r *Request) bool { return r.Delegated })
	for _, u := range p.sorted {
		if !u.usable(now) || (now < u.quietUntil && !delegated) || !p.allows(u, false) || p.hiddenByLink(u) {
			continue
		}
		inFlight, _ := u.load()
		free += max(0, p.maxInFlight(u)-inFlight)
	}
	return free
}

// sortQueue orders the queue by compareRequests.
func (p *Pool) sortQueue(now time.Duration) {
	slices.SortStableFunc(p.queue, func(a, b *Request) int { return p.compareRequests(now, a, b) })
}

// compareRequests orders requests that can still meet their latency target first, then tiers
// below their floor, then higher tiers, then teams within their share, then the newest.
// Under sustained overload, serving the oldest first would make every request late; serving
// the newest first meets the target of some, whatever their size.
func (p *Pool) compareRequests(now time.Duration, a, b *Request) int {
	if late := compareBools(now >= a.SoftDeadline, now >= b.SoftDeadline); late != 0 {
		return late
	}
	if a.Tier != b.Tier {
		if below := compareBools(p.tiers.belowFloor[b.Tier], p.tiers.belowFloor[a.Tier]); below != 0 {
			return below
		}
		return cmp.Compare(a.Tier, b.Tier)
	}
	if share := p.compareShares(a, b); share != 0 {
		return share
	}
	return cmp.Compare(b.Arrived, a.Arrived)
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
	if now >= r.Deadline {
		return p.refuse(now, r, "the request deadline has passed"), true
	}
	if r.Trial {
		if decision, done := p.place(now, r); done {
			return decision, true
		}
		r.Trial = false
	}
	p.noteKept(r)
	if free > 0 {
		if decision, done := p.place(now, r); done {
			return decision, true
		}
	}
	if len(p.sorted) == 0 {
		if r.Delegated {
			return Decision{Key: r.Key, Action: Decline}, true
		}
		return p.refuse(now, r, "the service has no upstream"), true
	}
	if end, quiet := p.quietEnd(now); quiet && !r.Delegated {
		return p.waitForQuiet(now, r, end)
	}
	if now-r.Arrived >= p.maxWait(r) {
		return p.refuse(now, r, p.noCapacityReason(r)), true
	}
	return Decision{}, false
}

// maxWait returns how long a request may wait in the queue. One that can no longer begin in
// time is refused at once, so that its caller can return while its time lasts, instead of
// when it has given it up. One that is late when it arrives has no better chance elsewhere
// and waits for its whole part of the time.
func (p *Pool) maxWait(r *Request) time.Duration {
	wait := time.Duration(float64(r.Deadline-r.Arrived) * p.tuning.MaxQueueFraction)
	if target := r.SoftDeadline - r.Arrived; p.tuning.RefuseEarly && target > 0 {
		wait = min(wait, max(target/2, target-fromMs(p.tuning.FirstOutputOverheadMs+p.engineTimeMs(r))))
	}
	return wait
}

// place chooses the upstream with the lowest cost: the expected time to the first
// output plus penalties, with random jitter, since instances with the same view
// would otherwise all choose the same upstream. Late requests are last in the queue
// and use the slots that remain.
func (p *Pool) place(now time.Duration, r *Request) (Decision, bool) {
	var best *upstream
	var chosen Decision
	var basis firstOutputBasis
	bestCost := 0.0
	for _, u := range p.sorted {
		c := p.consider(now, r, u)
		if c.out != "" {
			continue
		}
		cost := c.cost
		if p.concentrates(r) {
			cost = p.trialCost(now, u, c.inFlight)
		} else {
			cost *= 1 + p.tuning.CostJitter*p.random.Float64()
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
			chosen = Decision{Key: r.Key, Action: Place, Upstream: u.info, ExpectedFirstOutput: c.expected, InFlight: c.inFlight}
			basis = u.firstOutputBasis(r, c.inFlight, c.pendingPrefillTokens)
		}
	}
	if best == nil {
		return Decision{}, false
	}
	chosen.Reason = placementReason(now, r, chosen.ExpectedFirstOutput)
	p.recordUse(now, r)
	p.chargeLink(r, best)
	if !r.Trial {
		p.allocate(now, best)
	}
	if r.Delegated {
		best.grants = append(best.grants, grant{key: r.Key, promptTokens: r.PromptTokens, placedAt: now})
		if best.failedAttempts > 0 {
			best.backoffUntil = now + probeInterval
		}
	} else {
		best.requests = append(best.requests, runningRequest{key: r.Key, promptTokens: r.PromptTokens, placedAt: now, expectedFirstOutput: chosen.ExpectedFirstOutput, basis: basis})
	}
	return chosen, true
}

// maxInFlight returns the number of requests that an upstream may have. At upstreams
// in other failure domains, RemoteDomainReservedSlots are left to the instances of
// the upstream's domain, which receive each other's reports sooner.
func (p *Pool) maxInFlight(u *upstream) int {
	if u.info.Domain == p.location.Domain {
		return p.learnedLimit(u, u.slots+p.tuning.ExtraSlots)
	}
	return p.learnedLimit(u, max(1, u.slots+p.tuning.ExtraSlots-p.tuning.RemoteDomainReservedSlots))
}

func (p *Pool) distancePenaltyMs(u *upstream) float64 {
	switch {
	case u.info.Domain == p.location.Domain:
		return 0
	case p.location.Regions[u.info.Domain] == p.location.Regions[p.location.Domain]:
		return p.tuning.SameRegionPenaltyMs
	default:
		return p.link.penaltyMs(p.tuning.OtherRegionPenaltyMs)
	}
}

func (p *Pool) noCapacityReason(r *Request) string {
	if p.tiers.beyondRoom[r.Tier] {
		return "its tier and the higher ones ask for more than there is room for"
	}
	if p.allocation.limited {
		return "no upstream had room in time, and others wait elsewhere"
	}
	if p.linkShut {
		return "no upstream had room in time, and the link to other regions is used up"
	}
	return "no upstream had room in time"
}

func (p *Pool) refuse(now time.Duration, r *Request, reason string) Decision {
	remaining := max(0, r.Deadline-now)
	retryAfter := time.Duration(float64(remaining) * maxRetryFraction * (1 - retryJitter*p.random.Float64()))
	return Decision{Key: r.Key, Action: Refuse, Reason: reason, RetryAfter: max(minRetryAfter, retryAfter)}
}

// penalizeOverdue lowers the speed estimate of upstreams whose first output is
// overdue, without waiting for the complete answer.
func (p *Pool) penalizeOverdue(now time.Duration) {
	for _, u := range p.sorted {
		for i := range u.requests {
			request := &u.requests[i]
			threshold := time.Duration(float64(request.expectedFirstOutput)*overdueFactor) + overdueSlack
			if request.hasOutput || request.overdue || now-request.placedAt < threshold {
				continue
			}
			request.overdue = true
			u.observeOverdue()
			if len(p.overdue) < maxOverdue {
				p.overdue = append(p.overdue, u.info.ID)
			}
		}
	}
}
