package admission

import "time"

// roundLength is the time in which a placement becomes known to all instances: the
// pause between two sums of a failure domain, 40 ms, and the way between regions.
const roundLength = 60 * time.Millisecond

// round bounds what one instance takes of the free places that all instances see.
// Load pattern: requests wait at many instances and several places become free at
// once, such as those of an upstream that comes back. Without a bound each instance
// fills all of them before it hears of the others.
type round struct {
	end time.Duration
	// left is the number of free places that may still be taken; it is not bounded
	// while nobody else has requests that wait.
	left    int
	bounded bool
}

// renewRound starts a new round when the last one is over. The free places are
// divided by what waits at each instance; parts of a place are drawn by lot, so
// that the sum over all instances is right on average.
func (p *Pool) renewRound(now time.Duration, free int) {
	if now < p.round.end {
		return
	}
	others := 0
	for _, report := range p.peers {
		others += report.waiting
	}
	p.round = round{end: now + roundLength, bounded: others > 0}
	share := float64(free*len(p.waiting)) / float64(max(1, len(p.waiting)+others))
	p.round.left = int(share)
	if p.random.Float64() < share-float64(p.round.left) {
		p.round.left++
	}
}

// mayTake reports whether a place at an upstream may be taken: one that this
// instance's own requests have left, or one of its share.
func (p *Pool) mayTake(now time.Duration, u *upstream) bool {
	return !p.round.bounded || p.round.left > 0 || u.vacated(now) > 0
}

// take counts a place that is taken.
func (p *Pool) take(now time.Duration, u *upstream) {
	if vacated := u.vacated(now); vacated > 0 {
		u.vacancies = u.vacancies[:vacated-1]
		return
	}
	p.round.left--
}

// vacate notes that a request of this instance has left a place, which the others
// hear of later.
func (u *upstream) vacate(now time.Duration) { u.vacancies = append(u.vacancies, now) }

// vacated is the number of places that this instance has left within a round.
func (u *upstream) vacated(now time.Duration) int {
	kept := u.vacancies[:0]
	for _, at := range u.vacancies {
		if now-at < roundLength {
			kept = append(kept, at)
		}
	}
	u.vacancies = kept
	return len(kept)
}
