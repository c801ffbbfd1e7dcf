package sched

import (
	"strconv"
	"time"
)

// requestClass separates waiting requests by what they may have to wait for.
type requestClass int

const (
	classNormal requestClass = iota
	classLongPrompt
	// classSuspect is for requests whose fingerprint has crash strikes.
	classSuspect
	// classCopy is for requests whose fingerprint already has grants on
	// maxCopyUpstreams upstreams. Each fingerprint has a group of its own.
	classCopy
)

// candidate is the request to be placed, with the inputs of filters and scores.
type candidate struct {
	now        int64
	work       *Work
	priority   int
	decision   uint64
	longPrompt bool
	// suspect is set when the fingerprint of the request has crash strikes.
	suspect bool
	// atCopyLimit is set when the request may run only on upstreams that
	// already run a copy of it.
	atCopyLimit bool
	// outranked is set when a group of a higher tier has waiting requests.
	outranked bool
	deadline  int64

	// The following fields are set by setUpstream for one upstream: the
	// expected prefill in tokens and in seconds, and the expected time to the
	// first token.
	uncachedTokens    int
	prefillSeconds    float64
	firstTokenSeconds float64
}

// filter decides whether an upstream may get the request.
type filter struct {
	name   string
	passes func(p *Pool, c *candidate, u *upstream) bool
}

// score estimates one part of the cost of a placement in seconds; the upstream
// with the lowest sum is chosen.
type score struct {
	name string
	cost func(p *Pool, c *candidate, u *upstream) float64
}

// filters returns the filters in order of application, cheap ones first.
func filters() []filter {
	return []filter{
		{"open", filterEligible},
		{"avoided", filterBackoff},
		{"silent", filterUnresponsive},
		{"slow", filterSlow},
		{"suspect", filterSuspect},
		{"copies", filterCopies},
		{"deadline", filterDeadline},
		{"backlog", filterBacklog},
		{"congested", filterCongested},
		{"limits", filterLimits},
		{"outranked", filterOutranked},
	}
}

func scores() []score {
	return []score{
		{"first token", scoreFirstToken},
		{"prefill", scorePrefill},
		{"decode", scoreDecode},
		{"eviction", scoreEviction},
	}
}

// filterEligible rejects upstreams that are absent or leaving.
func filterEligible(_ *Pool, _ *candidate, u *upstream) bool { return u.lifecycle.eligible }

// filterBackoff rejects upstreams that failed recently. After the backoff, one
// request at a time probes the upstream until one has completed. An upstream
// that reports its load must first send a report: if the upstream broke again,
// a request used as a probe would get a crash strike, as if it were the cause.
func filterBackoff(_ *Pool, c *candidate, u *upstream) bool {
	return u.crashedAt.IsZero() && c.now >= u.backoffUntil && (u.backoff == 0 || u.requests == 0)
}

// An upstream whose load reports have stopped is presumed unresponsive after three
// times the interval between its last two, but not before minUnresponsiveAfter.
const (
	minUnresponsiveAfter = 3 * time.Second
	maxMissedReports     = 3
)

// filterUnresponsive allows one request at a time on an upstream whose load
// reports have stopped: either the upstream or only its reporting may have failed.
func filterUnresponsive(_ *Pool, c *candidate, u *upstream) bool {
	limit := max(minUnresponsiveAfter, maxMissedReports*u.reportInterval)
	unresponsive := !u.lastReport.IsZero() && c.now-u.lastReport.UnixNano() > int64(limit)
	return !unresponsive || u.requests == 0
}

// filterSlow rejects slow upstreams except for probes.
func filterSlow(_ *Pool, c *candidate, u *upstream) bool {
	return !u.detector.slow || c.now >= u.detector.nextProbe
}

// filterSuspect allows an upstream at most one suspect, a request whose
// fingerprint has crash strikes.
func filterSuspect(_ *Pool, c *candidate, u *upstream) bool { return !c.suspect || u.suspects == 0 }

// filterCopies limits requests with the same fingerprint to maxCopyUpstreams
// upstreams at a time, which bounds the number of upstreams that they crash if
// their content does so.
func filterCopies(p *Pool, c *candidate, u *upstream) bool {
	return !c.atCopyLimit || p.strikes.inFlightOn(c.work.Fingerprint, u.index)
}

// filterDeadline rejects an upstream that is not expected to produce the first
// token before the deadline, because its prefill would be wasted.
func filterDeadline(_ *Pool, c *candidate, u *upstream) bool { return c.meetsDeadline(u) }

// filterBacklog rejects an upstream whose granted prefill work exceeds
// MaxPrefillBacklog. Requests wait in the pool's queue instead, where their tier counts and
// where they go to the first upstream with room; engines have no priorities.
// The bound is raised for an upstream that holds a prefix of the request, by
// the prefill time that the prefix saves.
func filterBacklog(p *Pool, c *candidate, u *upstream) bool {
	backlog := u.estimate.backlogUntil - c.now
	return backlog <= int64(p.config.MaxPrefillBacklog)+u.estimate.prefillTime(p.prefixes.cached[u.index])
}

// congestedWaiting is the reported number of waiting requests that counts as a
// queue; one or two may wait between batch steps.
const congestedWaiting = 3

// filterCongested rejects an upstream that recently reported a queue of its
// own, unless this scheduler has no grant there: the upstream has less room than
// the pool's counts show.
func filterCongested(_ *Pool, c *candidate, u *upstream) bool {
	return u.load.Waiting < congestedWaiting || c.now >= u.congestedUntil || u.requests == 0
}

// filterLimits applies the upstream's limits and the reservations for higher
// tiers.
func filterLimits(p *Pool, c *candidate, u *upstream) bool {
	// A long prompt that is mostly cached does not delay short prompts.
	longPrompt := c.longPrompt && c.uncachedTokens >= p.config.LongPromptTokens
	return u.fits(p.limitShare, u.reservedTokens(c), c.uncachedTokens+c.work.OutputTokens, longPrompt, p.config.LongPromptShare)
}

// filterOutranked rejects an upstream on which a waiting request of a higher
// tier may run. Unless the waiting request is a suspect or at the copy limit, lower
// tiers may not use the upstream even while the waiting request does not fit there:
// otherwise smaller requests could overtake it until its deadline has passed.
func filterOutranked(p *Pool, c *candidate, u *upstream) bool {
	if !c.outranked {
		return true
	}
	u.modelSet.update(c.decision, c.priority)
	if !u.modelSet.outranked {
		return true
	}
	for _, m := range u.modelSet.models {
		for _, mt := range m.tiers {
			if mt.tier.priority <= c.priority {
				break
			}
			if mt.waiting > 0 && mt.hasRequestFor(p, u) {
				return false
			}
		}
	}
	return true
}

// hasRequestFor reports whether a waiting request of the tier may run on u, now
// or when u has room.
func (mt *modelTier) hasRequestFor(p *Pool, u *upstream) bool {
	if len(mt.groups[classNormal].teamQueues) > 0 || len(mt.groups[classLongPrompt].teamQueues) > 0 {
		return true
	}
	for fingerprint := range mt.copyGroups {
		if !p.strikes.atCopyLimit(fingerprint) || p.strikes.inFlightOn(fingerprint, u.index) {
			return true
		}
	}
	for _, tq := range mt.groups[classSuspect].teamQueues {
		for element := tq.requests.Front(); element != nil; element = element.Next() {
			fingerprint := element.Value.(*queuedRequest).request.Work.Fingerprint
			// A request stays in its class after the strikes of its fingerprint
			// were cleared.
			if !p.strikes.isSuspect(fingerprint) || (u.suspects == 0 && !p.strikes.inFlightAnywhere(fingerprint)) {
				return true
			}
		}
	}
	return false
}

// prefillWeight is the cost of a second of prefill relative to a second of
// waiting. Prefill that a cached prefix would save also delays other requests
// and evicts their cache entries.
const prefillWeight = 4.0

// scorePrefill is the cost of the request's prefill beyond the time its caller
// waits for it, which scoreFirstToken counts.
func scorePrefill(_ *Pool, c *candidate, _ *upstream) float64 {
	return (prefillWeight - 1) * c.prefillSeconds
}

// scoreFirstToken is the expected time to the first token: the granted prefill
// work ahead, and the request's own uncached prompt.
func scoreFirstToken(_ *Pool, c *candidate, _ *upstream) float64 { return c.firstTokenSeconds }

// evictionWeight is in seconds per product of two token counts: those that the
// request prefills, and those recently prefilled on the upstream. At 50,000 tokens in the last minute, a token
// of prefill costs 1.5 ms, about ten times its processing time.
const evictionWeight = 3e-8

// scoreEviction is the cost of the cache entries that the request's prefill
// evicts. The cache size is unknown; the more was prefilled recently, the
// younger are the entries evicted next, and the more likely to be requested
// again.
func scoreEviction(_ *Pool, c *candidate, u *upstream) float64 {
	return evictionWeight * float64(c.uncachedTokens) * u.estimate.decayedRecentPrefill(c.now)
}

// decodeWeight is the cost of a second of decoding relative to a second of
// waiting for the first token, on which deadlines depend.
const decodeWeight = 0.1

// scoreDecode is the cost of the expected time to decode the answer.
func scoreDecode(_ *Pool, c *candidate, u *upstream) float64 {
	return decodeWeight * u.estimate.secondsPerToken * float64(c.work.OutputTokens)
}

// uncachedTokens returns the expected prefill of the request on the upstream,
// in tokens. prefixIndex.match must have been called for the request.
func (p *Pool) uncachedTokens(work *Work, u *upstream) int {
	return work.PromptTokens - int(u.estimate.cacheHitRate*float64(p.prefixes.cached[u.index]))
}

// reservedTokens returns the number of tokens kept free for higher tiers.
func (u *upstream) reservedTokens(c *candidate) int {
	u.modelSet.update(c.decision, c.priority)
	return int(u.modelSet.reservedShare * float64(u.maxTokens))
}

// placement is the chosen upstream with its cost, and an alternative if there
// is one.
type placement struct {
	best, alternative *upstream
	cost              float64
}

// tieMargin is the difference in cost, in seconds, within which the choice is
// random, so that several schedulers of a pool do not all choose the same
// upstream.
const tieMargin = 0.002

// Bounds of one decision in a large pool: the number of upstreams compared, and
// the number of upstreams with a cached prefix of the request that are compared
// in addition. Higher values hardly improve the choice and slow the decision
// down.
const (
	maxComparedUpstreams = 128
	maxComparedByPrefix  = 32
)

// choose returns the upstream with the lowest cost among those that pass the
// filters. In a large pool it compares a part of them, starting where the last
// decision stopped, and continues until it has found one that passes: a request
// never waits while an upstream could take it.
func (p *Pool) choose(c *candidate, upstreams []*upstream) placement {
	var result placement
	if len(upstreams) <= maxComparedUpstreams {
		for _, u := range upstreams {
			p.compare(c, u, &result)
		}
		return result
	}
	for i := 0; i < len(upstreams) && (i < maxComparedUpstreams || result.best == nil); i++ {
		p.rotation++
		p.compare(c, upstreams[p.rotation%len(upstreams)], &result)
	}
	p.comparePrefixUpstreams(c, p.models[c.work.Model], &result)
	return result
}

// comparePrefixUpstreams compares the upstreams that hold the longest prefixes
// of the request.
func (p *Pool) comparePrefixUpstreams(c *candidate, m *model, result *placement) {
	remaining := maxComparedByPrefix
	for i := len(c.work.PrefixHashes) - 1; i >= 0; i-- {
		for _, index := range p.prefixes.upstreamsByPrefix[c.work.PrefixHashes[i]] {
			if u := p.upstreamByIndex[index]; u != result.best && u.serves(m) {
				p.compare(c, u, result)
			}
			if remaining--; remaining == 0 {
				return
			}
		}
	}
}

// compare selects u if it passes the filters and has the lowest cost so far. If
// the costs differ by less than tieMargin, the choice is random.
func (p *Pool) compare(c *candidate, u *upstream, result *placement) {
	if !p.passes(c, u) {
		return
	}
	cost := 0.0
	for i := range p.scores {
		cost += p.scores[i].cost(p, c, u)
	}
	switch {
	case result.best == nil || cost < result.cost-tieMargin || (cost < result.cost+tieMargin && p.config.Random.IntN(2) == 0):
		result.alternative = result.best
		result.best = u
		result.cost = cost
	case result.alternative == nil:
		result.alternative = u
	}
}

func (p *Pool) passes(c *candidate, u *upstream) bool {
	c.setUpstream(p, u)
	for i := range p.filters {
		if !p.filters[i].passes(p, c, u) {
			return false
		}
	}
	return true
}

// setUpstream computes the fields of the candidate that depend on the upstream.
func (c *candidate) setUpstream(p *Pool, u *upstream) {
	c.uncachedTokens = p.uncachedTokens(c.work, u)
	c.prefillSeconds = float64(c.uncachedTokens) / u.estimate.prefillRate
	c.firstTokenSeconds = u.estimate.prefillWait(c.now) + c.prefillSeconds
}

// meetsDeadline reports whether the first token is expected before the
// deadline. As with retransmission timers, a multiple of the mean deviation is
// added to the expected time.
func (c *candidate) meetsDeadline(u *upstream) bool {
	likely := c.firstTokenSeconds + deadlineDeviations*u.estimate.meanDeviation
	return c.now+int64(likely*float64(time.Second)) <= c.deadline
}

// anyMeetsDeadline reports whether any eligible upstream is expected to produce
// the first token before the deadline, whether or not it has room now.
func (p *Pool) anyMeetsDeadline(c *candidate, upstreams []*upstream) bool {
	for _, u := range upstreams {
		if !u.eligible() {
			continue
		}
		c.setUpstream(p, u)
		if c.meetsDeadline(u) {
			return true
		}
	}
	return false
}

// placementReason describes the placement for the log.
func (p *Pool) placementReason(c *candidate, selected placement) string {
	text := make([]byte, 0, 64)
	text = append(text, "cost "...)
	text = strconv.AppendFloat(text, selected.cost, 'f', 3, 64)
	text = append(text, " s, cached prompt tokens "...)
	text = strconv.AppendInt(text, int64(p.prefixes.cached[selected.best.index]), 10)
	text = append(text, " of "...)
	text = strconv.AppendInt(text, int64(c.work.PromptTokens), 10)
	return string(text)
}
