package admission

import "time"

// round bounds what one instance takes of the free places that all instances see.
// Load patterns: requests wait at many instances and several places become free at
// once, such as those of an upstream that comes back; or requests arrive at a
// hundred instances while few places are free, so that all of them choose the same
// ones. Without a bound each instance fills what it sees before it hears of the
// others.
type round struct {
	end time.Duration
	// length is the time in which a placement becomes known to all instances: the
	// age of the oldest report of a peer that competes, within the bounds of the tuning.
	length time.Duration
	// left is the number of free places that may still be taken; it is not bounded
	// while there are enough for all.
	left    int
	bounded bool
	// submitted is the number of requests that have arrived in this round, and
	// before in the one before.
	submitted, before int
}

// renewRound starts a new round when the last one is over. If all instances need
// more than is free, the free places are divided by what each of them needs; parts
// of a place are drawn by lot, so that the sum over all instances is right on
// average.
func (p *Pool) renewRound(now time.Duration, free int) {
	if now < p.round.end {
		return
	}
	others, oldest := 0, time.Duration(0)
	for _, report := range p.peers {
		if report.demand > 0 {
			others += report.demand
			oldest = max(oldest, now-report.reported)
		}
	}
	length := min(max(oldest, p.tuning.ShortestRound), p.tuning.LongestRound)
	own := p.demand()
	scarce := others > 0 && own+others > free
	p.round = round{
		end: now + length, length: length, before: p.round.submitted,
		bounded: scarce && length > 0 && p.usualStay() > length,
	}
	share := float64(free*own) / float64(max(1, own+others))
	p.round.left = int(share)
	if p.random.Float64() < share-float64(p.round.left) {
		p.round.left++
	}
}

// usualStay is how long a request occupies a place. Where that is less than a round,
// places are free again before the other instances have heard that they were taken.
func (p *Pool) usualStay() time.Duration {
	if p.service.Engine {
		return fromMs(p.stayMs)
	}
	return fromMs(p.tuning.PlainMs)
}

// demand is the number of places that this instance needs in a round: for what
// waits, or for as much as arrives in that time.
func (p *Pool) demand() int { return max(len(p.waiting), p.round.before, p.round.submitted) }

// mayTake reports whether a place at an upstream may be taken: one that this
// instance's own requests have left, or one of its share.
func (p *Pool) mayTake(now time.Duration, u *upstream) bool {
	return !p.round.bounded || p.round.left > 0 || p.vacated(now, u) > 0
}

// take counts a place that is taken.
func (p *Pool) take(now time.Duration, u *upstream) {
	if vacated := p.vacated(now, u); vacated > 0 {
		u.vacancies = u.vacancies[:vacated-1]
		return
	}
	p.round.left--
}

// vacate notes that a request of this instance has left a place, which the others
// hear of later.
func (u *upstream) vacate(now time.Duration) { u.vacancies = append(u.vacancies, now) }

// vacated is the number of places that this instance has left within a round.
func (p *Pool) vacated(now time.Duration, u *upstream) int {
	kept := u.vacancies[:0]
	for _, at := range u.vacancies {
		if now-at < p.round.length {
			kept = append(kept, at)
		}
	}
	u.vacancies = kept
	return len(kept)
}
