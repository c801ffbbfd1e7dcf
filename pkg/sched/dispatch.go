package sched

import (
	"container/heap"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// schedule grants every request that can be placed, highest tier first. If
// changed is not nil, capacity was freed only on this upstream, and no other one
// is considered.
func (p *Pool) schedule(now time.Time, changed *upstream, d *Decisions) {
	p.refuseExpired(now, d)
	p.resumeDeferred(now.UnixNano())
	for _, t := range p.queue.tiers {
		for _, g := range t.groups {
			g.blocked = false
		}
		for g := t.nextGroup(); g != nil; g = t.nextGroup() {
			p.serveNext(now, g, p.candidateUpstreams(g, changed), d)
		}
	}
}

// candidateUpstreams lists the upstreams to consider for a group.
func (p *Pool) candidateUpstreams(g *group, changed *upstream) []*upstream {
	if changed == nil {
		return g.model.upstreams
	}
	if !changed.serves(g.model) {
		return nil
	}
	p.singleUpstream[0] = changed
	return p.singleUpstream[:]
}

// scheduleGroup grants every request of one group that can be placed.
func (p *Pool) scheduleGroup(now time.Time, g *group, upstreams []*upstream, d *Decisions) {
	g.blocked = false
	for !g.blocked && len(g.teamQueues) > 0 {
		p.serveNext(now, g, upstreams, d)
	}
}

// nextGroup returns the group whose next team has the earliest virtual start
// time, or nil if all groups are blocked.
func (t *tier) nextGroup() *group {
	var best *group
	var earliest float64
	for _, g := range t.groups {
		if g.blocked {
			continue
		}
		if virtualStart := g.nextTeamQueue().flow.virtualStart; best == nil || virtualStart < earliest {
			best = g
			earliest = virtualStart
		}
	}
	return best
}

// serveNext handles the next request of a group: it is granted, refused,
// deferred or taken out of the group; otherwise the group is blocked for the
// rest of this pass.
func (p *Pool) serveNext(now time.Time, g *group, upstreams []*upstream, d *Decisions) {
	if len(upstreams) == 0 {
		g.blocked = true
		return
	}
	w := g.nextTeamQueue().next(now)
	if p.updateGroup(w) {
		return
	}
	work := &w.request.Work
	p.prefixes.match(work)
	c := p.newCandidate(now, &w.request)
	if c.suspect && p.strikes.inFlightAnywhere(work.Fingerprint) {
		g.blocked = true
		return
	}
	selected := p.choose(&c, upstreams)
	if selected.best == nil {
		if p.anyMeetsDeadline(&c, g.model.upstreams) {
			g.blocked = true
			return
		}
		p.handleUnmeetable(w, d)
		return
	}
	if p.deferForPrefix(&c, w, selected.best) {
		return
	}
	p.dequeue(w)
	c.setUpstream(p, selected.best)
	w.charge(c.uncachedTokens + work.OutputTokens)
	p.issueGrant(now, &w.request, g.model, selected, &c, d)
}

// handleUnmeetable refuses a request that no upstream is expected to serve
// before its deadline, so that no prefill is wasted on it. While a request of a
// lower tier waits, the request is instead kept in the queue until its deadline,
// so that no tier is refused for lack of capacity before a lower one.
func (p *Pool) handleUnmeetable(w *queuedRequest, d *Decisions) {
	if p.queue.hasWaitingBelow(w.tier.priority) {
		p.queue.leaveGroup(w)
		w.expiresAt = w.request.Deadline
		heap.Fix(&p.queue.expiries, w.heapIndex)
		return
	}
	p.refuseWaiting(w, errkind.DeadlineUnmeetable, "no upstream is expected to produce the first token before the deadline", d)
}

// newCandidate returns the inputs for the placement of a request that are the same
// for all upstreams.
func (p *Pool) newCandidate(now time.Time, request *Request) candidate {
	work := &request.Work
	p.decision++
	return candidate{
		decision:    p.decision,
		now:         now.UnixNano(),
		work:        work,
		priority:    work.Tier,
		longPrompt:  work.PromptTokens >= p.config.LongPromptTokens,
		suspect:     p.strikes.isSuspect(work.Fingerprint),
		atCopyLimit: p.strikes.atCopyLimit(work.Fingerprint),
		outranked:   p.hasWaitingAbove(work.Tier),
		deadline:    request.Deadline.UnixNano(),
	}
}

// hasWaitingAbove reports whether a group of a higher tier has waiting
// requests.
func (p *Pool) hasWaitingAbove(priority int) bool {
	for _, t := range p.queue.tiers {
		if t.priority <= priority {
			return false
		}
		if len(t.groups) > 0 {
			return true
		}
	}
	return false
}
