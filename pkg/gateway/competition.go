package gateway

import "time"

// competitionCheckInterval is the time between two looks at which requests yield to others.
const competitionCheckInterval = 250 * time.Millisecond

// competitionLog holds the services for which there was too little room at the last look.
type competitionLog struct {
	checkedAt time.Duration
	services  map[string]bool
}

// reportCompetition logs for which services there is too little room now, or enough again,
// and counts the tiers and teams that yield.
func (c *controlLoop) reportCompetition(now time.Duration) {
	if now-c.competition.checkedAt < competitionCheckInterval {
		return
	}
	c.competition.checkedAt = now
	current := map[string]bool{}
	beyond, below, over := 0, 0, 0
	for service, pool := range c.pools {
		state := pool.Competition(now)
		beyond, below, over = beyond+len(state.TiersBeyondRoom), below+len(state.TiersBelowFloor), over+state.TeamsOverShare
		if len(state.TiersBeyondRoom) == 0 {
			continue
		}
		current[service] = true
		if !c.competition.services[service] {
			c.g.log.Info("too little room for some tiers", "service", service, "tiers", state.TiersBeyondRoom, "below_floor", state.TiersBelowFloor,
				"teams_over_share", state.TeamsOverShare, "queue", pool.QueueLength())
		}
	}
	for service := range c.competition.services {
		if !current[service] {
			c.g.log.Info("room for all tiers again", "service", service)
		}
	}
	c.competition.services = current
	c.g.metrics.tiersBeyondRoom.Update(int64(beyond))
	c.g.metrics.tiersBelowFloor.Update(int64(below))
	c.g.metrics.teamsOverShare.Update(int64(over))
}
