package sched

import (
	"time"
)

// issueGrant starts a grant on the selected upstream and adds it to the
// decisions.
func (p *Pool) issueGrant(now time.Time, request *Request, m *model, selected placement, c *candidate, d *Decisions) {
	u := selected.best
	c.setUpstream(p, u)
	uncached := c.uncachedTokens
	g := &grant{
		key:                requestKey{request.Holder, request.ID},
		work:               request.Work,
		upstream:           u,
		modelTier:          m.tierFor(p.queue.tierFor(request.Work.Tier)),
		granted:            now,
		tokens:             uncached + request.Work.OutputTokens,
		longPrompt:         uncached >= p.config.LongPromptTokens,
		suspect:            c.suspect,
		uncachedTokens:     uncached,
		predictedCached:    p.prefixes.cached[u.index],
		expectedFirstToken: time.Duration(c.firstTokenSeconds * float64(time.Second)),
	}
	issued := Grant{
		RequestID:      request.ID,
		Holder:         request.Holder,
		Upstream:       u.name,
		Expiry:         now.Add(p.config.GrantValidity),
		UncachedTokens: uncached,
		Reason:         p.placementReason(c, selected),
	}
	if selected.alternative != nil {
		issued.PreferredTo = selected.alternative.name
	}
	d.Grants = append(d.Grants, issued)
	u.estimate.addPrefill(c.now, uncached)
	u.estimate.addRecentPrefill(c.now, uncached)
	p.pendingPrefixes.expire(c.now)
	if uncached >= minDeferralTokens {
		p.pendingPrefixes.add(u.index, &request.Work, p.prefixes.cached[u.index], u.estimate.prefillDoneBy())
	}
	u.detector.nextProbe = c.now + int64(probeInterval)
	for _, hash := range request.Work.PrefixHashes {
		p.prefixes.add(u.index, hash)
	}
	p.startGrant(now, g, request.Holder)
}

// startGrant adds a grant to the usage counts of its holder, upstream, tier and
// fingerprint.
func (p *Pool) startGrant(now time.Time, g *grant, holderName string) {
	p.grantSequence++
	g.sequence = p.grantSequence
	g.holder = p.holderFor(holderName)
	g.holder.grants[g] = struct{}{}
	p.grants[g.key] = g
	g.upstream.addGrant(now, g)
	g.modelTier.addTokens(now, g.tokens, p.config.ReservationDecay)
	p.strikes.addInFlight(g.work.Fingerprint, g.upstream.index)
}

// endGrant removes a grant from all usage counts and applies its result.
func (p *Pool) endGrant(now time.Time, g *grant, result Result) {
	u := g.upstream
	u.removeGrant(now, g)
	if u.requests == 0 {
		// With no requests left there is no prefill backlog, whatever the
		// estimate says.
		u.estimate.backlogUntil = min(u.estimate.backlogUntil, now.UnixNano())
	}
	g.modelTier.addTokens(now, -g.tokens, p.config.ReservationDecay)
	p.strikes.removeInFlight(g.work.Fingerprint, u.index)
	if g.crashStrike != nil {
		p.resolveCrashStrike(now, g, result.Outcome)
	}
	delete(p.grants, g.key)
	delete(g.holder.grants, g)
	p.removeHolderIfIdle(g.holder)
	switch result.Outcome {
	case Completed:
		p.handleCompleted(now, g, result)
	case NotDispatched, DialFailed:
		p.handleNotDispatched(now, g, result.Outcome)
	case UpstreamBroken:
		p.handleCrash(now, u, g)
	case UpstreamRefused:
		u.estimate.removePrefill(g.uncachedTokens)
		u.backOff(now)
	case Cancelled:
		u.estimate.observeCancelled(g, result)
	}
	p.removeIfUnused(u)
}

func (p *Pool) handleCompleted(now time.Time, g *grant, result Result) {
	u := g.upstream
	u.backoff = 0
	if !g.restored {
		u.estimate.observe(g, result)
		u.detector.observe(&p.poolTrend, result, p.canMarkSlow())
		u.estimate.observeCache(g.predictedCached, result.CachedTokens)
	}
	p.prefixes.applyResult(u.index, &g.work, result.CachedTokens, true)
	p.strikes.clearSuspect(g.work.Fingerprint)
	p.poison.RecordAnswer(sinceEpoch(now), modelHash(&g.work), prefixTraits(&g.work))
}

func (p *Pool) handleNotDispatched(now time.Time, g *grant, outcome Outcome) {
	u := g.upstream
	u.estimate.removePrefill(g.uncachedTokens)
	p.prefixes.applyResult(u.index, &g.work, g.work.PromptTokens-g.uncachedTokens, false)
	if outcome == DialFailed {
		u.backOff(now)
	}
}
