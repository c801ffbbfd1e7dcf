package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// maxReportDelay is the longest time between polling an upstream for its load
// and receiving the report. A report that arrives later than this after a crash
// was requested after the crash.
const maxReportDelay = time.Second

// crashStrike is the strike that one crash of an upstream gave to a request
// fingerprint. All grants with that fingerprint that were in flight there share
// it. It is withdrawn if none of them turns out to have been dispatched.
type crashStrike struct {
	unresolved int
	confirmed  bool
}

// addCrashStrikes adds one crash strike to the fingerprint of each of the
// upstream's grants for which include returns true. Copies, which are grants
// with the same fingerprint, share one strike. It reports whether it counted
// the crash for any grant.
func (p *Pool) addCrashStrikes(now time.Time, u *upstream, byFingerprint map[uint64]*crashStrike, include func(*grant) bool) bool {
	added := false
	for _, g := range u.grants {
		if g.crashCounted || !include(g) {
			continue
		}
		g.crashCounted = true
		added = true
		shared := byFingerprint[g.work.Fingerprint]
		if shared == nil {
			shared = &crashStrike{}
			byFingerprint[g.work.Fingerprint] = shared
			p.strikes.add(now, g.work.Fingerprint, 1)
		}
		shared.unresolved++
		g.crashStrike = shared
	}
	return added
}

// resolveCrashStrike records the outcome of a grant that was in flight at a
// crash. Once all copies have ended, the strike is withdrawn if none of them
// was dispatched.
func (p *Pool) resolveCrashStrike(now time.Time, g *grant, outcome Outcome) {
	g.crashStrike.unresolved--
	if outcome != NotDispatched && outcome != DialFailed {
		g.crashStrike.confirmed = true
	}
	if g.crashStrike.unresolved == 0 && !g.crashStrike.confirmed {
		p.strikes.add(now, g.work.Fingerprint, -1)
	}
}

// handleCrash handles an upstream crash that was detected because the connection
// of the grant reporter broke: each request fingerprint in flight there gets one
// strike per crash. The other requests that were in flight report the same crash
// later; their grants are marked, so that the crash is counted once.
func (p *Pool) handleCrash(now time.Time, u *upstream, reporter *grant) {
	p.prefixes.reset(u.index)
	u.estimate.backlogUntil = 0
	if u.backoffUntil <= now.UnixNano() {
		u.backOff(now)
	}
	if !u.lastReport.IsZero() {
		u.crashedAt = now
	}
	if reporter != nil && reporter.crashCounted {
		return
	}
	byFingerprint := map[uint64]*crashStrike{}
	if reporter != nil {
		byFingerprint[reporter.work.Fingerprint] = &crashStrike{confirmed: true}
		p.strikes.add(now, reporter.work.Fingerprint, 1)
		p.recordPrefixCrash(now, u, &reporter.work)
	}
	for _, g := range u.grants {
		p.recordPrefixCrash(now, u, &g.work)
	}
	p.addCrashStrikes(now, u, byFingerprint, func(*grant) bool { return true })
}

// reclassifyQueued applies changed strike counts to the waiting requests: it
// refuses those whose fingerprint has reached blockThreshold, and moves the
// others to the groups to which they now belong, suspects to those of
// classSuspect.
func (p *Pool) reclassifyQueued(now time.Time, d *Decisions) {
	for _, w := range p.queuedInOrder() {
		work := &w.request.Work
		if p.strikes.isBlocked(work.Fingerprint) {
			p.refuseWaiting(w, errkind.PoisonRequest, "requests with this content crashed upstreams", d)
			continue
		}
		if p.prefixBlocked(now, work) {
			p.refuseWaiting(w, errkind.PoisonRequest, prefixBlockedReason, d)
			continue
		}
		if !w.outOfGroup {
			p.updateGroup(w)
		}
	}
}

// handleRestart handles a new incarnation of an upstream. Grants issued before
// the last report of the old incarnation were in flight when it ended; later
// ones may have been dispatched to the new incarnation.
func (p *Pool) handleRestart(now time.Time, u *upstream, d *Decisions) {
	p.prefixes.reset(u.index)
	u.estimate.backlogUntil = 0
	u.backoffUntil = 0
	u.backoff = 0
	u.crashedAt = time.Time{}
	if p.addCrashStrikes(now, u, map[uint64]*crashStrike{}, func(g *grant) bool { return g.granted.Before(u.lastReport) }) {
		p.reclassifyQueued(now, d)
	}
}

// AddStrikes merges the crash strikes that another scheduler counted per request
// fingerprint. It keeps the higher count, because the same crash may be reported
// on several paths.
func (p *Pool) AddStrikes(now time.Time, strikes map[uint64]int) {
	for fingerprint, count := range strikes {
		if known := p.strikes.count(fingerprint); count > known {
			p.strikes.add(now, fingerprint, count-known)
		}
	}
	var d Decisions
	p.reclassifyQueued(now, &d)
	p.pendingRefusals = append(p.pendingRefusals, d.Refusals...)
}

// Strikes returns the number of strikes of each request fingerprint that has any:
// upstream crashes during which a request with the fingerprint was in flight.
func (p *Pool) Strikes() map[uint64]int {
	counts := make(map[uint64]int, len(p.strikes.entries))
	for fingerprint, entry := range p.strikes.entries {
		counts[fingerprint] = entry.count
	}
	return counts
}
