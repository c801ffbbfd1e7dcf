package admission

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern of failing upstreams: an upstream that answers each request with a failure
// at once is idle and has the shortest expected time. Under overload, when all others are
// full, it has the only free slots and gets most of the requests.

const (
	// ejectAfter is the number of failures in a row after which an upstream is ejected:
	// it gets one request at a time, after a pause that grows, until one is answered.
	ejectAfter = 3
	// ejectionMemory is how long an ejection holds without a further failure. An instance
	// that has no request to try the upstream with must not keep the others away from it.
	ejectionMemory = 3 * time.Second
	// maxEjectedShare is the largest part of the upstreams for ordinary requests that are
	// ejected, by this instance and its peers together. If more of them fail, the requests
	// are the more likely cause.
	maxEjectedShare = 0.5
)

// recordFailedAnswer counts an answer that indicates a failure of the upstream, and ejects
// the upstream if it gives no others.
func (p *Pool) recordFailedAnswer(now time.Duration, u *upstream) {
	u.observeFailure(now, true)
	u.failuresInRow++
	if !p.tuning.EjectFailing || u.failuresInRow < ejectAfter || (!u.ejected(now) && !p.mayEject(now, u)) {
		if !u.ejected(now) {
			// The upstream has answered, so that its connections work.
			u.failedAttempts = 0
		}
		return
	}
	u.lastFailedAnswer = now
	if now >= u.backoffUntil {
		// Those that were sent before the ejection and fail now do not extend the pause.
		u.backOff(now)
	}
	u.failedAttempts = max(1, u.failedAttempts)
}

// recordAnswer ends an ejection.
func (u *upstream) recordAnswer(now time.Duration) {
	u.failedAttempts, u.failuresInRow = 0, 0
	u.answered, u.lossSinceAnswer, u.lastAnswer = true, false, now
	u.observeFailure(now, false)
}

// ejected reports whether this instance has ejected the upstream for failed answers.
func (u *upstream) ejected(now time.Duration) bool {
	return u.failuresInRow >= ejectAfter && u.failedAttempts > 0 && now-u.lastFailedAnswer < ejectionMemory
}

// takesOrdinary reports whether ordinary requests may be placed at the upstream while it
// does not fail. Those that leave, or that a roll-out keeps free, are no replacement for
// ejected ones.
func (p *Pool) takesOrdinary(u *upstream) bool {
	return !u.info.Leaving && !u.leaving && p.allows(u, false)
}

// mayEject reports whether one more upstream may be ejected of those that take the same
// requests as u: ordinary ones, or those of a roll-out. A version on trial that fails
// everywhere must go on failing, or nothing is learned about it.
func (p *Pool) mayEject(now time.Duration, u *upstream) bool {
	ordinary := p.takesOrdinary(u)
	total, ejected := 0, 0
	for _, other := range p.sorted {
		if p.takesOrdinary(other) != ordinary {
			continue
		}
		total++
		if other.ejected(now) || other.peerLoad.ejections > 0 {
			ejected++
		}
	}
	return ejected < int(maxEjectedShare*float64(total))
}

// reportsEjection reports whether peers are told that this instance has ejected the upstream.
// They are not while no other upstream answers its requests: these are then the more likely
// cause, and peers with sound ones must not leave the upstream alone.
func (p *Pool) reportsEjection(now time.Duration, u *upstream) bool {
	if !u.ejected(now) {
		return false
	}
	for _, other := range p.sorted {
		if other != u && other.answered && now-other.lastAnswer < ejectionMemory {
			return true
		}
	}
	return false
}

// applyPeerEjections determines which upstreams this instance leaves alone since peers have
// ejected them. Peers that eject at the same moment do not know of each other, and each may
// eject maxEjectedShare. Of too many, those count that most peers report.
func (p *Pool) applyPeerEjections(now time.Duration) {
	total, own := 0, 0
	var reported []*upstream
	for _, u := range p.sorted {
		u.avoided = p.tuning.EjectFailing && u.peerLoad.ejections > 0 && !u.ejected(now)
		if !p.takesOrdinary(u) {
			continue
		}
		total++
		switch {
		case u.avoided:
			reported = append(reported, u)
		case u.ejected(now):
			own++
		}
	}
	allowed := max(0, int(maxEjectedShare*float64(total))-own)
	if len(reported) <= allowed {
		return
	}
	slices.SortStableFunc(reported, func(a, b *upstream) int { return cmp.Compare(b.peerLoad.ejections, a.peerLoad.ejections) })
	for _, u := range reported[allowed:] {
		u.avoided = false
	}
}

// Ejected returns the upstreams that this instance has ejected, or that its peers report
// as ejected.
func (p *Pool) Ejected(now time.Duration) []string {
	var ids []string
	for _, u := range p.sorted {
		if u.ejected(now) || u.peerLoad.ejections > 0 {
			ids = append(ids, u.info.ID)
		}
	}
	return ids
}
