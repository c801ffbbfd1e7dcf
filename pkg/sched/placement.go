package sched

import (
	"strconv"
	"time"
)

// class separates requests that wait for different resources.
type class int

const (
	classShort class = iota
	classLong
	classSuspect
	// classCopy is the class of requests with the content of others that run
	// on as many upstreams as they may; each content has a group of its own.
	classCopy
)

// candidate is the request under consideration, with what the plugins need.
type candidate struct {
	now      int64
	work     *Work
	priority int
	decision uint64
	long     bool
	suspect  bool
	// confined is set when the request may run only where its copies run.
	confined bool
	// outranked is set when a request of a higher tier waits in the pool.
	outranked bool
	deadline  int64

	// These belong to the upstream under consideration: the expected prefill
	// in tokens and in seconds, and the expected time to the first token.
	uncached int
	prefill  float64
	first    float64
}

// filter is a plugin that decides whether an upstream may get the request.
type filter struct {
	name   string
	passes func(p *Pool, c *candidate, u *upstream) bool
}

// score is a plugin that estimates a cost, in seconds; the lowest sum wins.
type score struct {
	name string
	cost func(p *Pool, c *candidate, u *upstream) float64
}

// filters are applied in this order, cheap ones first.
func filters() []filter {
	return []filter{
		{"open", filterOpen},
		{"avoided", filterAvoided},
		{"silent", filterSilent},
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

// filterOpen rejects upstreams that were withdrawn or are leaving.
func filterOpen(_ *Pool, _ *candidate, u *upstream) bool { return u.life.eligible }

// filterAvoided rejects upstreams that failed a moment ago. After that, one
// request at a time probes the upstream until one has completed. An upstream
// that reports its load is probed by that first: a request that it breaks
// would get a strike although it did nothing.
func filterAvoided(_ *Pool, c *candidate, u *upstream) bool {
	return u.brokenAt.IsZero() && c.now >= u.avoidUntil && (u.backoff == 0 || u.requests == 0)
}

// An upstream whose load reports have stopped is taken for stuck after three
// times their usual interval, and not before reportSilence.
const (
	reportSilence    = 3 * time.Second
	silenceIntervals = 3
)

// filterSilent leaves a silent upstream one request at a time. It may be stuck,
// or only its reports may be.
func filterSilent(_ *Pool, c *candidate, u *upstream) bool {
	limit := max(reportSilence, silenceIntervals*u.reportInterval)
	silent := !u.lastReport.IsZero() && c.now-u.lastReport.UnixNano() > int64(limit)
	return !silent || u.requests == 0
}

// filterSlow rejects slow upstreams but for probes.
func filterSlow(_ *Pool, c *candidate, u *upstream) bool {
	return !u.detector.slow || c.now >= u.detector.nextProbe
}

// filterSuspect allows at most one suspect on an upstream.
func filterSuspect(_ *Pool, c *candidate, u *upstream) bool { return !c.suspect || u.suspects == 0 }

// filterCopies keeps the copies of one content on few upstreams at a time, so
// that they cannot break more if the content turns out to be poison.
func filterCopies(p *Pool, c *candidate, u *upstream) bool {
	return !c.confined || p.strikes.runsOn(c.work.Fingerprint, u.index)
}

// filterDeadline rejects an upstream that is not expected to produce the first
// token in time, because the prefill would be wasted.
func filterDeadline(_ *Pool, c *candidate, u *upstream) bool { return c.inTime(u) }

// filterBacklog rejects an upstream whose granted prefill work will take longer
// than the bound. Requests wait in the queue instead, where their tier counts
// and where they go to whichever upstream is free first; engines know no
// priorities. An upstream that holds a prefix of the request may have as much
// more work ahead as the cached prefix saves.
func filterBacklog(p *Pool, c *candidate, u *upstream) bool {
	backlog := u.estimate.backlogUntil - c.now
	return backlog <= int64(p.config.MaxBacklog)+u.estimate.prefillTime(p.prefixes.cached[u.index])
}

// congestedWaiting is the number of waiting requests from which an upstream's
// report means a queue; one or two wait between the steps of a batch anyway.
const congestedWaiting = 3

// filterCongested rejects an upstream that reported a queue of its own: it has
// less room than our accounts say. A report is believed for a short time only.
func filterCongested(_ *Pool, c *candidate, u *upstream) bool {
	return u.load.Waiting < congestedWaiting || c.now >= u.congestedUntil || u.requests == 0
}

// filterLimits applies the limits of the upstream and the reservation for
// higher tiers.
func filterLimits(p *Pool, c *candidate, u *upstream) bool {
	// A long prompt that is mostly cached does not hold up short requests.
	long := c.long && c.uncached >= p.config.LongTokens
	return u.fits(p.share, u.reserved(c), c.uncached+c.work.OutputTokens, long, p.config.LongShare)
}

// filterOutranked rejects an upstream for which a request of a higher tier
// waits. Short requests and long reads keep the upstream whether they fit or
// not: one that waits for room, or for the share of long reads, must not be
// overtaken by smaller ones until its deadline has passed.
func filterOutranked(p *Pool, c *candidate, u *upstream) bool {
	if !c.outranked {
		return true
	}
	u.serving.prepare(c.decision, c.priority)
	if !u.serving.outranked {
		return true
	}
	for _, m := range u.serving.models {
		for _, scope := range m.tiers {
			if scope.tier.priority <= c.priority {
				break
			}
			if scope.waiting > 0 && scope.wants(p, u) {
				return false
			}
		}
	}
	return true
}

// wants reports whether a waiting request of the tier has a claim on u.
func (mt *modelTier) wants(p *Pool, u *upstream) bool {
	if len(mt.groups[classShort].teams) > 0 || len(mt.groups[classLong].teams) > 0 {
		return true
	}
	for fingerprint := range mt.copies {
		if !p.strikes.confined(fingerprint) || p.strikes.runsOn(fingerprint, u.index) {
			return true
		}
	}
	for _, team := range mt.groups[classSuspect].teams {
		for element := team.items.Front(); element != nil; element = element.Next() {
			fingerprint := element.Value.(*waiting).request.Work.Fingerprint
			// A request stays in the class after its fingerprint was cleared.
			if !p.strikes.suspect(fingerprint) || (u.suspects == 0 && !p.strikes.runs(fingerprint)) {
				return true
			}
		}
	}
	return false
}

// prefillWeight is the value of a second of prefill against a second of
// waiting. Prefill that a cached prefix would save delays other requests, too,
// and evicts what others have cached.
const prefillWeight = 4.0

// scorePrefill is the prefill work that the request costs beyond the time that
// its caller waits for it.
func scorePrefill(_ *Pool, c *candidate, _ *upstream) float64 {
	return (prefillWeight - 1) * c.prefill
}

// scoreFirstToken is the expected time to the first token: the prefill work
// ahead, counted by ourselves, and the request's own uncached prompt.
func scoreFirstToken(_ *Pool, c *candidate, _ *upstream) float64 { return c.first }

// evictionWeight is in seconds per token stored and token stored lately. At
// 50,000 tokens in the last minute, a token of prefill costs 1.5 ms, about ten
// times what it takes.
const evictionWeight = 3e-8

// scoreEviction is the value of what the request's prefill pushes out of the
// cache of the upstream. The more was stored there lately, the younger, and the
// more likely to be asked for again, is what goes next. The size of the cache
// is not known.
func scoreEviction(_ *Pool, c *candidate, u *upstream) float64 {
	return evictionWeight * float64(c.uncached) * u.estimate.recentlyStored(c.now)
}

// decodeWeight is the value of a second of decoding against a second of
// waiting for the first token, on which deadlines depend.
const decodeWeight = 0.1

// scoreDecode is the expected time to decode the answer.
func scoreDecode(_ *Pool, c *candidate, u *upstream) float64 {
	return decodeWeight * u.estimate.tokenTime * float64(c.work.OutputTokens)
}

// uncached is the prefill work of the request on the upstream; match must
// have been called for the request.
func (p *Pool) uncached(work *Work, u *upstream) int {
	return work.PromptTokens - int(u.estimate.hitRate*float64(p.prefixes.cached[u.index]))
}

// reserved is the number of tokens kept free for higher tiers.
func (u *upstream) reserved(c *candidate) int {
	u.serving.prepare(c.decision, c.priority)
	return int(u.serving.reserved * float64(u.maxTokens))
}

// placement is the outcome of a decision.
type placement struct {
	best, second *upstream
	cost         float64
}

// tie is the difference in cost, in seconds, within which the choice is random,
// so that several schedulers of a pool do not all choose the same upstream.
const tie = 0.002

// Bounds of one decision in a large pool: the number of upstreams compared, and
// the number of those that hold a prefix of the request which are compared in
// any case. With more, the choice hardly improves and the decision gets slow.
const (
	comparedUpstreams = 128
	comparedHolders   = 32
)

// choose applies the plugins to the upstreams. In a large pool it compares a
// part of them, from a point that moves on, and stops only once it has found
// one that passes: a request never waits while an upstream could take it.
func (p *Pool) choose(c *candidate, upstreams []*upstream) placement {
	var out placement
	if len(upstreams) <= comparedUpstreams {
		for _, u := range upstreams {
			p.compare(c, u, &out)
		}
		return out
	}
	for i := 0; i < len(upstreams) && (i < comparedUpstreams || out.best == nil); i++ {
		p.turn++
		p.compare(c, upstreams[p.turn%len(upstreams)], &out)
	}
	p.compareHolders(c, p.models[c.work.Model], &out)
	return out
}

// compareHolders compares upstreams that hold the longest prefixes.
func (p *Pool) compareHolders(c *candidate, m *model, out *placement) {
	left := comparedHolders
	for i := len(c.work.PrefixHashes) - 1; i >= 0; i-- {
		for _, index := range p.prefixes.holders[c.work.PrefixHashes[i]] {
			if u := p.byIndex[index]; u != out.best && u.serves(m) {
				p.compare(c, u, out)
			}
			if left--; left == 0 {
				return
			}
		}
	}
}

// compare keeps u if it passes the filters and costs least so far.
func (p *Pool) compare(c *candidate, u *upstream, out *placement) {
	if !p.passes(c, u) {
		return
	}
	cost := 0.0
	for i := range p.scores {
		cost += p.scores[i].cost(p, c, u)
	}
	switch {
	case out.best == nil || cost < out.cost-tie || (cost < out.cost+tie && p.config.Random.IntN(2) == 0):
		out.second = out.best
		out.best = u
		out.cost = cost
	case out.second == nil:
		out.second = u
	}
}

func (p *Pool) passes(c *candidate, u *upstream) bool {
	c.consider(p, u)
	for i := range p.filters {
		if !p.filters[i].passes(p, c, u) {
			return false
		}
	}
	return true
}

// consider makes u the upstream under consideration.
func (c *candidate) consider(p *Pool, u *upstream) {
	c.uncached = p.uncached(c.work, u)
	c.prefill = float64(c.uncached) / u.estimate.prefillRate
	c.first = u.estimate.wait(c.now) + c.prefill
}

// inTime reports whether the first token is expected before the deadline. As
// with retransmission timers, a multiple of the mean deviation must be left.
func (c *candidate) inTime(u *upstream) bool {
	likely := c.first + deviations*u.estimate.deviation
	return c.now+int64(likely*float64(time.Second)) <= c.deadline
}

// meetable reports whether any of the upstreams is expected to produce the
// first token before the deadline, whether it has room now or not.
func (p *Pool) meetable(c *candidate, upstreams []*upstream) bool {
	for _, u := range upstreams {
		if !u.open() {
			continue
		}
		c.consider(p, u)
		if c.inTime(u) {
			return true
		}
	}
	return false
}

// reason is the text of a grant for the decision's log line.
func (p *Pool) reason(c *candidate, chosen placement) string {
	text := make([]byte, 0, 64)
	text = append(text, "cost "...)
	text = strconv.AppendFloat(text, chosen.cost, 'f', 3, 64)
	text = append(text, " s, cached "...)
	text = strconv.AppendInt(text, int64(p.prefixes.cached[chosen.best.index]), 10)
	text = append(text, " of "...)
	text = strconv.AppendInt(text, int64(c.work.PromptTokens), 10)
	return string(text)
}
