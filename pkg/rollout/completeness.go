package rollout

import "time"

const (
	// minReachable is the part of the instances that may be serving whose reports a holder
	// must have before it sends a version more requests. More than half, so that only one
	// side of a divided deployment does.
	minReachable = 0.5
	// lossMemory is the time for which a lost instance counts as one that may be serving.
	// After that it has stopped, or its copy of the orders is outdated and it sends nothing
	// to a version on trial, or it reads the store and another holder decides there, which
	// rolls a faulty version back. It exceeds the age up to which a copy is used, 2.9 s.
	lossMemory = 4 * time.Second
)

// Completeness determines whether a holder has the reports of enough instances to send a version
// more requests. The zero value is ready for use.
type Completeness struct {
	// counts are ordered by time, and their numbers rise. The number of instances lost for
	// a while is that of the newest count which is old enough.
	counts []lostCount
}

// lostCount states that at least lost instances had no recent report at any time from since
// on.
type lostCount struct {
	since time.Duration
	lost  int
}

// Observe records the numbers of instances with and without recent reports, the holder
// included. It returns whether those with reports are enough, and whether they are a minority
// if the instances that were lost a while ago are counted as well.
func (c *Completeness) Observe(now time.Duration, reachable, unreachable int) (complete, minority bool) {
	since := now
	for len(c.counts) > 0 && c.counts[len(c.counts)-1].lost >= unreachable {
		since = c.counts[len(c.counts)-1].since
		c.counts = c.counts[:len(c.counts)-1]
	}
	c.counts = append(c.counts, lostCount{since: since, lost: unreachable})
	for len(c.counts) > 1 && now-c.counts[1].since >= lossMemory {
		c.counts = c.counts[1:]
	}
	recently := unreachable
	if now-c.counts[0].since >= lossMemory {
		recently -= c.counts[0].lost
	}
	enough := func(lost int) bool { return float64(reachable) > minReachable*float64(reachable+lost) }
	return enough(recently), !enough(unreachable)
}
