package sched

import (
	"container/heap"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// schedule grants what can be granted, highest tier first. With only set, it
// considers that upstream alone, because nothing changed elsewhere.
func (p *Pool) schedule(now time.Time, only *upstream, d *Decisions) {
	p.expire(now, d)
	p.resume(now.UnixNano())
	for _, t := range p.queue.tiers {
		for _, g := range t.groups {
			g.blocked = false
		}
		for g := t.next(); g != nil; g = t.next() {
			p.serve(now, g, p.eligible(g, only), d)
		}
	}
}

// eligible lists the upstreams to consider for a group.
func (p *Pool) eligible(g *group, only *upstream) []*upstream {
	if only == nil {
		return g.model.upstreams
	}
	if !only.serves(g.model) {
		return nil
	}
	p.one[0] = only
	return p.one[:]
}

// scheduleGroup grants what can be granted of one group.
func (p *Pool) scheduleGroup(now time.Time, g *group, upstreams []*upstream, d *Decisions) {
	g.blocked = false
	for !g.blocked && len(g.teams) > 0 {
		p.serve(now, g, upstreams, d)
	}
}

// next returns the group whose first request is furthest behind its share, or
// nil when all are blocked.
func (t *tier) next() *group {
	var best *group
	var lowest float64
	for _, g := range t.groups {
		if g.blocked {
			continue
		}
		if virtual := g.head().account.virtual; best == nil || virtual < lowest {
			best = g
			lowest = virtual
		}
	}
	return best
}

// serve decides the first request of a group: it is granted, refused, parked,
// or else the group is blocked for this pass.
func (p *Pool) serve(now time.Time, g *group, upstreams []*upstream, d *Decisions) {
	if len(upstreams) == 0 {
		g.blocked = true
		return
	}
	w := g.head().first(now)
	if p.regroup(w) {
		return
	}
	work := &w.request.Work
	p.prefixes.match(work)
	c := p.candidate(now, &w.request)
	if c.suspect && p.strikes.runs(work.Fingerprint) {
		g.blocked = true
		return
	}
	chosen := p.choose(&c, upstreams)
	if chosen.best == nil {
		if p.meetable(&c, g.model.upstreams) {
			g.blocked = true
			return
		}
		p.late(w, d)
		return
	}
	if p.hold(&c, w, chosen.best) {
		return
	}
	p.dequeue(w)
	c.consider(p, chosen.best)
	w.charge(c.uncached + work.OutputTokens)
	p.grant(now, &w.request, g.model, chosen, &c, d)
}

// late handles a request that no upstream is expected to serve in time. It is
// refused before prefill is spent on it; but while a request of a lower tier
// waits, it is kept up to its deadline, so that no tier is refused for
// capacity before a lower one.
func (p *Pool) late(w *waiting, d *Decisions) {
	if p.queue.waitsBelow(w.tier.priority) {
		p.queue.park(w)
		w.giveUp = w.request.Deadline
		heap.Fix(&p.queue.deadlines, w.heapIndex)
		return
	}
	p.refuseWaiting(w, errkind.DeadlineUnmeetable, "the first token is expected after the deadline", d)
}

func (p *Pool) candidate(now time.Time, request *Request) candidate {
	work := &request.Work
	p.decision++
	return candidate{
		decision:  p.decision,
		now:       now.UnixNano(),
		work:      work,
		priority:  work.Tier,
		long:      work.PromptTokens >= p.config.LongTokens,
		suspect:   p.strikes.suspect(work.Fingerprint),
		confined:  p.strikes.confined(work.Fingerprint),
		outranked: p.waitsAbove(work.Tier),
		deadline:  request.Deadline.UnixNano(),
	}
}

// waitsAbove reports whether a request of a higher tier competes.
func (p *Pool) waitsAbove(priority int) bool {
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
