package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// reportDelay is the longest time from a poll of the load to its report: a
// report that arrives later after a crash was asked for after the crash.
const reportDelay = time.Second

// blame is the strike that a crash gave the copies of a fingerprint in flight
// there. It is withdrawn when none of them turns out to have been dispatched.
type blame struct {
	open      int
	confirmed bool
}

// strike gives each fingerprint among the grants that keep passes one strike,
// shared by its copies, and reports whether there was any.
func (p *Pool) strike(now time.Time, u *upstream, blames map[uint64]*blame, keep func(*grant) bool) bool {
	struck := false
	for _, g := range u.grants {
		if g.broken || !keep(g) {
			continue
		}
		g.broken = true
		struck = true
		b := blames[g.work.Fingerprint]
		if b == nil {
			b = &blame{}
			blames[g.work.Fingerprint] = b
			p.strikes.add(now, g.work.Fingerprint, 1)
		}
		b.open++
		g.blame = b
	}
	return struck
}

// settleBlame withdraws a strike once no copy is left that may have been
// dispatched to the upstream that broke.
func (p *Pool) settleBlame(now time.Time, g *grant, outcome Outcome) {
	g.blame.open--
	if outcome != NotDispatched && outcome != DialFailed {
		g.blame.confirmed = true
	}
	if g.blame.open == 0 && !g.blame.confirmed {
		p.strikes.add(now, g.work.Fingerprint, -1)
	}
}

// broke handles a crash of an upstream: each fingerprint in flight there gets
// one strike per crash. Later reports of the same crash, which come from the
// other requests that were in flight, find their grants marked.
func (p *Pool) broke(now time.Time, u *upstream, reporter *grant) {
	p.prefixes.reset(u.index)
	u.estimate.backlogUntil = 0
	if u.avoidUntil <= now.UnixNano() {
		u.avoid(now)
	}
	if !u.lastReport.IsZero() {
		u.brokenAt = now
	}
	if reporter != nil && reporter.broken {
		return
	}
	blames := map[uint64]*blame{}
	if reporter != nil {
		blames[reporter.work.Fingerprint] = &blame{confirmed: true}
		p.strikes.add(now, reporter.work.Fingerprint, 1)
	}
	p.strike(now, u, blames, func(*grant) bool { return true })
}

// reclassify moves waiting requests whose fingerprint has become a suspect,
// and refuses those whose fingerprint is blocked.
func (p *Pool) reclassify(d *Decisions) {
	for _, w := range p.waitingInOrder() {
		work := &w.request.Work
		if p.strikes.blocked(work.Fingerprint) {
			p.refuseWaiting(w, errkind.PoisonRequest, "requests with this content broke upstreams", d)
			continue
		}
		if !w.parked {
			p.regroup(w)
		}
	}
}

// restarted handles a new incarnation: what was granted before the last report
// of the old one was in flight when the upstream ended. Later grants may have
// been dispatched to the new incarnation.
func (p *Pool) restarted(now time.Time, u *upstream, d *Decisions) {
	p.prefixes.reset(u.index)
	u.estimate.backlogUntil = 0
	u.avoidUntil = 0
	u.backoff = 0
	u.brokenAt = time.Time{}
	if p.strike(now, u, map[uint64]*blame{}, func(g *grant) bool { return g.granted.Before(u.lastReport) }) {
		p.reclassify(d)
	}
}

// AddStrikes applies strikes reported by another scheduler. Counts are merged
// by the maximum, because the same crash may be reported along several ways.
func (p *Pool) AddStrikes(now time.Time, strikes map[uint64]int) {
	for fingerprint, count := range strikes {
		if known := p.strikes.count(fingerprint); count > known {
			p.strikes.add(now, fingerprint, count-known)
		}
	}
	var d Decisions
	p.reclassify(&d)
	p.pending = append(p.pending, d.Refusals...)
}

// Strikes returns the strikes in force.
func (p *Pool) Strikes() map[uint64]int {
	out := make(map[uint64]int, len(p.strikes.entries))
	for fingerprint, entry := range p.strikes.entries {
		out[fingerprint] = entry.count
	}
	return out
}
