package admission

import (
	"slices"
	"time"
)

// candidate is an upstream as considered for a request.
type candidate struct {
	upstream *upstream
	// out is the reason for which the upstream does not get the request; empty if it may.
	out                            string
	inFlight, pendingPrefillTokens int
	expected                       time.Duration
	// cost is in milliseconds, before the jitter.
	cost float64
}

// Reasons for which an upstream does not get a request.
const (
	outLeaving    = "it leaves"
	outBackoff    = "it failed recently"
	outOneAtATime = "it failed, and one request is tried there already"
	outEjected    = "another instance has ejected it for failed answers"
	outRejected   = "it turned a request away as full"
	outQuiet      = "it wants no request of this instance now"
	outVersion    = "the roll-out keeps requests from its version"
	outExcluded   = "an earlier attempt of the request failed there"
	outFull       = "it has no room"
	outAllocation = "the share of this instance of the free capacity is used up"
	outNoSlot     = "it has no free slot for a trial request"
	outTooLate    = "the request would wait there for a slot beyond its latency target"
	outYields     = "all slots are taken, and an earlier request waits for the next one"
)

// consider returns whether a request may be placed at an upstream and, if so, what it can
// expect there. It changes nothing but the list of recent releases, from which it drops
// those that no longer count.
func (p *Pool) consider(now time.Duration, r *Request, u *upstream) candidate {
	c := candidate{upstream: u}
	if c.out = p.barred(now, r, u); c.out != "" {
		return c
	}
	c.inFlight, c.pendingPrefillTokens = u.load()
	if c.out = p.noRoom(now, r, u, c.inFlight); c.out != "" {
		return c
	}
	p.estimate(now, r, &c)
	switch {
	case c.inFlight < u.slots:
	case p.earlierWaits:
		// A long prompt could not begin in time behind the others. If short ones took the
		// place instead, the slots would always be taken when it is tried again.
		c.out = outYields
	case now+c.expected > r.SoftDeadline:
		// The request would wait at the upstream for a slot that a newer
		// request can use in time.
		c.out = outTooLate
	}
	return c
}

// barred returns why an upstream gets no such request whatever its load; empty if it may.
func (p *Pool) barred(now time.Duration, r *Request, u *upstream) string {
	switch {
	case !u.usable(now):
		return u.unusableReason(now)
	case !u.accepts(now, r):
		return outQuiet
	case !p.allows(u, r.Trial):
		return outVersion
	case slices.Contains(r.ExcludedUpstreams, u.info.ID):
		return outExcluded
	}
	return ""
}

// noRoom returns why an upstream gets no further request now; empty if it may.
func (p *Pool) noRoom(now time.Duration, r *Request, u *upstream, inFlight int) string {
	switch {
	case inFlight >= p.maxInFlight(u):
		return outFull
	case !r.Trial && !p.mayAllocate(now, u):
		return outAllocation
	case r.Trial && inFlight >= u.slots:
		return outNoSlot
	case p.barredByLink(r, u):
		return outRegionLink
	}
	return ""
}

// estimate sets what a request can expect at the upstream, and its cost.
func (p *Pool) estimate(now time.Duration, r *Request, c *candidate) {
	u := c.upstream
	c.expected = u.expectFirstOutput(&p.tuning, r.PromptTokens, c.inFlight, c.pendingPrefillTokens, p.slotTimeMs)
	c.cost = toMs(c.expected) + p.distancePenaltyMs(u) + u.currentFailureRate(now)*failureCostMs
	if now+c.expected+u.expectDecoding(&p.tuning, r.OutputTokens) > r.Deadline {
		c.cost += missedDeadlineCostMs
	}
}

// unusableReason returns why an upstream is not usable.
func (u *upstream) unusableReason(now time.Duration) string {
	switch {
	case u.info.Leaving || u.leaving:
		return outLeaving
	case now < u.backoffUntil:
		return outBackoff
	case now < u.fullUntil:
		return outRejected
	case u.avoided:
		return outEjected
	}
	return outOneAtATime
}

// placementReason returns why a request is placed.
func placementReason(now time.Duration, r *Request, expected time.Duration) string {
	if now+expected > r.SoftDeadline {
		return "past the latency target, capacity is available"
	}
	return "lowest expected time"
}

// PreviewCandidate is an upstream as considered for a request that is not placed.
type PreviewCandidate struct {
	Upstream UpstreamInfo
	// Out is the reason for which it does not get the request; empty if it may.
	Out             string
	InFlight, Limit int
	Speed           float64
	Expected        time.Duration
	CostMs          float64
}

// Preview states where a request would go now.
type Preview struct {
	// Candidates are ordered by cost, those that may get the request first. The jitter of
	// the cost lets one of the next ones win now and then.
	Candidates []PreviewCandidate
	// Upstream is the one with the lowest cost; empty if the request would wait or be
	// refused, as Reason says.
	Upstream string
	Waits    bool
	MaxWait  time.Duration
	Reason   string
	// QueueLength is the number of requests that wait at this instance.
	QueueLength  int
	FreeCapacity int
	// OldestReportAge is the age of the oldest report of a peer that counts.
	OldestReportAge time.Duration
}

// Preview returns where a request would go now, without placing it.
func (p *Pool) Preview(now time.Duration, r *Request) Preview {
	previous := p.allocation
	defer func() { p.allocation = previous }()
	p.earlierWaits = slices.ContainsFunc(p.queue, func(queued *Request) bool {
		return now < queued.SoftDeadline && p.compareRequests(now, queued, r) < 0
	})
	if now >= p.allocation.end {
		// The next interval begins with a new share.
		p.allocation.limited = false
	}
	p.applyPeerEjections(now)
	p.updateLink(now, append(slices.Clone(p.queue), r))
	preview := Preview{QueueLength: len(p.queue), FreeCapacity: p.freeCapacity(now), MaxWait: p.maxWait(r)}
	for _, report := range p.peers {
		if age := now - report.reported; age <= p.tuning.ReportTimeout {
			preview.OldestReportAge = max(preview.OldestReportAge, age)
		}
	}
	for _, u := range p.sorted {
		c := p.consider(now, r, u)
		c.inFlight, c.pendingPrefillTokens = u.load()
		p.estimate(now, r, &c)
		preview.Candidates = append(preview.Candidates, PreviewCandidate{
			Upstream: u.info, Out: c.out, InFlight: c.inFlight, Limit: p.maxInFlight(u), Speed: u.estimatedSpeed(), Expected: c.expected, CostMs: c.cost,
		})
	}
	slices.SortStableFunc(preview.Candidates, func(a, b PreviewCandidate) int {
		if out := compareBools(a.Out != "", b.Out != ""); out != 0 {
			return out
		}
		return compareFloats(a.CostMs, b.CostMs)
	})
	_, quiet := p.quietEnd(now)
	switch {
	case now >= r.Deadline:
		preview.Reason = "the request deadline has passed"
	case len(p.sorted) == 0:
		preview.Reason = "the service has no upstream"
	case preview.Candidates[0].Out == "" && preview.FreeCapacity > 0:
		preview.Upstream, preview.Reason = preview.Candidates[0].Upstream.ID, placementReason(now, r, preview.Candidates[0].Expected)
	case quiet:
		preview.Waits, preview.Reason = true, "all upstreams have asked for no requests"
	default:
		preview.Waits, preview.Reason = true, p.noCapacityReason(r)
	}
	return preview
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
