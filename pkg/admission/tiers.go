package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Load pattern of competing tiers: for some seconds there is room for the requests of the
// higher tiers only. By tier alone, nothing would be left for the lowest, and its requests
// would wait for room that others take.

const (
	// tierFloor is the part of the rate at which all requests are placed below which the
	// requests of a tier go first.
	tierFloor     = 0.3
	floorHalfTime = 2 * time.Second
	// minTierRequests is the number of recent requests below which a tier has no floor.
	minTierRequests = 4

	// A tier is beyond the room if it and the higher ones ask for more than maxAskedRatio
	// times the work that is placed, of which minPlaced requests are known.
	maxAskedRatio = 1.05
	minPlaced     = 20
	roomHalfTime  = 500 * time.Millisecond
)

// tierCounts are the recent requests of a tier and their work, in milliseconds of an engine.
type tierCounts struct {
	asked, placed         float64
	askedWork, placedWork float64
	updatedAt             time.Duration
}

func (c tierCounts) add(other tierCounts) tierCounts {
	c.asked, c.placed = c.asked+other.asked, c.placed+other.placed
	c.askedWork, c.placedWork = c.askedWork+other.askedWork, c.placedWork+other.placedWork
	return c
}

// tierLoad holds the counts of each tier, which decay.
type tierLoad struct {
	halfTime time.Duration
	counts   map[int]tierCounts
}

func newTierLoad(halfTime time.Duration) tierLoad {
	return tierLoad{halfTime: halfTime, counts: map[int]tierCounts{}}
}

// at returns the counts of a tier at a time that is not before their last change.
func (l *tierLoad) at(now time.Duration, tier int) tierCounts {
	c := l.counts[tier]
	factor := math.Exp2(-float64(max(0, now-c.updatedAt)) / float64(l.halfTime))
	return tierCounts{c.asked * factor, c.placed * factor, c.askedWork * factor, c.placedWork * factor, max(now, c.updatedAt)}
}

func (l *tierLoad) add(now time.Duration, tier int, change tierCounts) {
	l.counts[tier] = l.at(now, tier).add(change)
}

func (l *tierLoad) total(now time.Duration) tierCounts {
	var sum tierCounts
	for tier := range l.counts {
		sum = sum.add(l.at(now, tier))
	}
	return sum
}

// tierState is what follows from the recent requests of all tiers.
type tierState struct {
	floorLoad, roomLoad tierLoad
	// belowFloor states which tiers are placed less often than the floor, and beyondRoom for
	// which there is no room.
	belowFloor, beyondRoom map[int]bool
}

func newTierState() tierState {
	return tierState{
		floorLoad: newTierLoad(floorHalfTime), roomLoad: newTierLoad(roomHalfTime),
		belowFloor: map[int]bool{}, beyondRoom: map[int]bool{},
	}
}

func (s *tierState) recordAsked(now time.Duration, tier int, work float64) {
	s.floorLoad.add(now, tier, tierCounts{asked: 1, askedWork: work})
	s.roomLoad.add(now, tier, tierCounts{asked: 1, askedWork: work})
}

func (s *tierState) recordPlaced(now time.Duration, tier int, work float64) {
	s.floorLoad.add(now, tier, tierCounts{placed: 1, placedWork: work})
	s.roomLoad.add(now, tier, tierCounts{placed: 1, placedWork: work})
}

// update determines the state of each tier.
func (s *tierState) update(now time.Duration) {
	total := s.floorLoad.total(now)
	for tier := range s.floorLoad.counts {
		c := s.floorLoad.at(now, tier)
		s.belowFloor[tier] = c.asked >= minTierRequests && c.placed*total.asked < tierFloor*total.placed*c.asked
	}
	room, asked := s.roomLoad.total(now), 0.0
	for _, tier := range slices.Sorted(maps.Keys(s.roomLoad.counts)) {
		asked += s.roomLoad.at(now, tier).askedWork
		s.beyondRoom[tier] = room.placed >= minPlaced && asked > maxAskedRatio*room.placedWork
	}
}

// Competition states which requests yield to others now.
type Competition struct {
	// TiersBeyondRoom are the tiers for which there is no room, and TiersBelowFloor those that
	// go first since they are placed too rarely, in order.
	TiersBeyondRoom, TiersBelowFloor []int
	// TeamsOverShare is the number of teams with waiting requests that yield.
	TeamsOverShare int
}

// Competition returns the state of the service at this instance.
func (p *Pool) Competition(now time.Duration) Competition {
	p.tiers.update(now)
	var c Competition
	for _, tier := range slices.Sorted(maps.Keys(p.tiers.roomLoad.counts)) {
		if p.tiers.beyondRoom[tier] {
			c.TiersBeyondRoom = append(c.TiersBeyondRoom, tier)
		}
		if p.tiers.belowFloor[tier] {
			c.TiersBelowFloor = append(c.TiersBelowFloor, tier)
		}
	}
	if len(p.queue) == 0 {
		return c
	}
	for _, over := range p.shares.over {
		if over {
			c.TeamsOverShare++
		}
	}
	return c
}
