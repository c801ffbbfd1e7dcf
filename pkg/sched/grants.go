package sched

import (
	"time"
)

// grant records a grant and adds it to the decisions.
func (p *Pool) grant(now time.Time, request *Request, m *model, chosen placement, c *candidate, d *Decisions) {
	u := chosen.best
	c.consider(p, u)
	uncached := c.uncached
	g := &grant{
		key:           requestKey{request.Holder, request.ID},
		work:          request.Work,
		upstream:      u,
		use:           m.tierOf(p.queue.tierFor(request.Work.Tier)),
		granted:       now,
		need:          uncached + request.Work.OutputTokens,
		long:          uncached >= p.config.LongTokens,
		suspect:       c.suspect,
		uncached:      uncached,
		promised:      p.prefixes.cached[u.index],
		expectedFirst: time.Duration(c.first * float64(time.Second)),
	}
	out := Grant{
		RequestID:      request.ID,
		Holder:         request.Holder,
		Upstream:       u.name,
		Expiry:         now.Add(p.config.GrantValidity),
		UncachedTokens: uncached,
		Reason:         p.reason(c, chosen),
	}
	if chosen.second != nil {
		out.PreferredTo = chosen.second.name
	}
	d.Grants = append(d.Grants, out)
	u.estimate.start(c.now, uncached)
	u.estimate.store(c.now, uncached)
	p.prefilling.expire(c.now)
	if uncached >= holdTokens {
		p.prefilling.add(u.index, &request.Work, p.prefixes.cached[u.index], u.estimate.likelyDone())
	}
	u.detector.nextProbe = c.now + int64(probeInterval)
	for _, hash := range request.Work.PrefixHashes {
		p.prefixes.add(u.index, hash)
	}
	p.begin(now, g, request.Holder)
}

// begin adds a grant to all accounts.
func (p *Pool) begin(now time.Time, g *grant, holderName string) {
	p.sequence++
	g.sequence = p.sequence
	g.holder = p.holderFor(holderName)
	g.holder.grants[g] = struct{}{}
	p.grants[g.key] = g
	g.upstream.occupy(now, g)
	g.use.change(now, g.need, p.config.ReserveDecay)
	p.strikes.start(g.work.Fingerprint, g.upstream.index)
}

// end takes a grant out of all accounts and learns from its result.
func (p *Pool) end(now time.Time, g *grant, result Result) {
	u := g.upstream
	u.vacate(now, g)
	if u.requests == 0 {
		// Whatever the estimate says, no prefill is left to do.
		u.estimate.backlogUntil = min(u.estimate.backlogUntil, now.UnixNano())
	}
	g.use.change(now, -g.need, p.config.ReserveDecay)
	p.strikes.end(g.work.Fingerprint, u.index)
	if g.blame != nil {
		p.settleBlame(now, g, result.Outcome)
	}
	delete(p.grants, g.key)
	delete(g.holder.grants, g)
	p.dropIdle(g.holder)
	switch result.Outcome {
	case Completed:
		p.completed(g, result)
	case NotDispatched, DialFailed:
		p.notDispatched(now, g, result.Outcome)
	case UpstreamBroken:
		p.broke(now, u, g)
	case UpstreamRefused:
		u.estimate.undo(g.uncached)
		u.avoid(now)
	case Cancelled:
		u.estimate.observeGivenUp(g, result)
	}
	p.forget(u)
}

func (p *Pool) completed(g *grant, result Result) {
	u := g.upstream
	u.backoff = 0
	if !g.foreign {
		u.estimate.observe(g, result)
		u.detector.observe(&p.common, result, p.mayBeSlow())
		u.estimate.observeCache(g.promised, result.CachedTokens)
	}
	p.prefixes.learn(u.index, &g.work, result.CachedTokens, true)
	p.strikes.complete(g.work.Fingerprint)
}

func (p *Pool) notDispatched(now time.Time, g *grant, outcome Outcome) {
	u := g.upstream
	u.estimate.undo(g.uncached)
	p.prefixes.learn(u.index, &g.work, g.work.PromptTokens-g.uncached, false)
	if outcome == DialFailed {
		u.avoid(now)
	}
}
