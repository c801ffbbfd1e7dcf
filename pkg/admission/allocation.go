package admission

import "time"

// allocation limits how much of the free capacity this instance uses within an
// interval. Without a limit, instances that see the same free capacity all fill it
// before they receive each other's reports. This happens if requests wait at many
// instances when several slots become free at once, for example at an upstream that
// comes back, and if requests arrive at a hundred instances while few slots are
// free.
type allocation struct {
	end time.Duration
	// length is the time after which a placement is known to all instances: the age
	// of the oldest report of a peer with demand, within the bounds of the tuning.
	length time.Duration
	// remaining is the number of requests that may still be placed in this
	// interval. It applies only if limited is set, that is, if the demand of all
	// instances exceeds the free capacity and a request occupies a slot for longer
	// than the interval.
	remaining int
	limited   bool
	// submitted and previousSubmitted count the requests that have arrived in this
	// interval and in the one before.
	submitted, previousSubmitted int
}

// startAllocation starts a new interval when the last one has ended. Each instance
// gets a share of the free capacity in proportion to its demand. The fraction is
// rounded up or down at random, so that the shares of all instances add up to the free
// capacity on average.
func (p *Pool) startAllocation(now time.Duration, free int) {
	if now < p.allocation.end {
		return
	}
	others, oldest := 0, time.Duration(0)
	for _, report := range p.peers {
		if report.demand > 0 {
			others += report.demand
			oldest = max(oldest, now-report.reported)
		}
	}
	length := min(max(oldest, p.tuning.MinAllocationInterval), p.tuning.MaxAllocationInterval)
	own := p.demand()
	scarce := others > 0 && own+others > free
	p.allocation = allocation{
		end: now + length, length: length, previousSubmitted: p.allocation.submitted,
		limited: scarce && length > 0 && p.meanSlotTime() > length,
	}
	share := float64(free*own) / float64(max(1, own+others))
	p.allocation.remaining = int(share)
	if p.random.Float64() < share-float64(p.allocation.remaining) {
		p.allocation.remaining++
	}
}

// meanSlotTime returns how long a request occupies a slot. If that is less than an
// allocation interval, slots are free again before the other instances know that
// they were used.
func (p *Pool) meanSlotTime() time.Duration {
	if p.service.Engine {
		return fromMs(p.slotTimeMs)
	}
	return fromMs(p.tuning.PlainServiceMs)
}

// demand returns the number of requests that this instance may need to place in an
// interval: the larger of the queue length and the recent arrivals per interval.
func (p *Pool) demand() int {
	return max(len(p.queue), p.allocation.previousSubmitted, p.allocation.submitted)
}

// mayAllocate reports whether a request may be placed at an upstream: either this
// instance's own requests have released capacity there, or its share of the free
// capacity is not used up.
func (p *Pool) mayAllocate(now time.Duration, u *upstream) bool {
	return !p.allocation.limited || p.allocation.remaining > 0 || p.recentReleases(now, u) > 0
}

// allocate counts a placement against the released capacity or the share.
func (p *Pool) allocate(now time.Duration, u *upstream) {
	if released := p.recentReleases(now, u); released > 0 {
		u.releases = u.releases[:released-1]
		return
	}
	p.allocation.remaining--
}

// recordRelease records that a request of this instance has ended. Other instances
// learn of it later.
func (u *upstream) recordRelease(now time.Duration) { u.releases = append(u.releases, now) }

// recentReleases returns how many requests of this instance have ended at the
// upstream within an interval and were not replaced by another request.
func (p *Pool) recentReleases(now time.Duration, u *upstream) int {
	kept := u.releases[:0]
	for _, at := range u.releases {
		if now-at < p.allocation.length {
			kept = append(kept, at)
		}
	}
	u.releases = kept
	return len(kept)
}
