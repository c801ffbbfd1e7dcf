package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// reportDelay is the longest time from a poll of the load to its report: a
// report that arrives later after a crash was asked for after the crash.
const reportDelay = time.Second

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
	struck := map[uint64]bool{}
	if reporter != nil {
		struck[reporter.work.Fingerprint] = true
		p.strikes.add(now, reporter.work.Fingerprint, 1)
	}
	for _, g := range u.grants {
		if g.broken {
			continue
		}
		g.broken = true
		if !struck[g.work.Fingerprint] {
			struck[g.work.Fingerprint] = true
			g.struck = true
			p.strikes.add(now, g.work.Fingerprint, 1)
		}
	}
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
		if target := &w.scope.groups[p.classOf(work)]; target != w.group && !w.parked {
			p.queue.park(w)
			w.group = target
			p.queue.compete(w)
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
	struck := map[uint64]bool{}
	for _, g := range u.grants {
		if g.broken || !g.granted.Before(u.lastReport) {
			continue
		}
		g.broken = true
		if !struck[g.work.Fingerprint] {
			struck[g.work.Fingerprint] = true
			g.struck = true
			p.strikes.add(now, g.work.Fingerprint, 1)
		}
	}
	if len(struck) > 0 {
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
