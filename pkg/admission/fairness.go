package admission

import (
	"math"
	"time"
)

// Load pattern of competing teams: for some seconds one to three teams send several times
// their usual number of requests, within their quotas, while there is room for half of all
// requests. By order of arrival they would take most of it, and the other teams, which
// send no more than ever, would be refused as often as those that cause the overload.

const (
	// shareHalfLife is the time in which a team's past use of a service counts half. A
	// burst of some seconds weighs, one of a minute ago does not.
	shareHalfLife = 2 * time.Second
	// maxShareRatio is the ratio of a team's use to the mean of all teams with recent use
	// above which its requests yield to those of others in the same tier.
	maxShareRatio = 1.5
	// minTeamUseMs is the engine time below which a team has no recent use.
	minTeamUseMs = 20
	// forgetTeamUseMs is the engine time below which a team is forgotten. It is less than
	// that of a short request, since the use of many such adds up.
	forgetTeamUseMs = 0.5
	// teamScanInterval is the time between two passes over all teams. With thousands of
	// teams, one takes as long as the placement of a request.
	teamScanInterval = 100 * time.Millisecond
)

// teamUse is the engine time that a team was given, decaying by shareHalfLife.
type teamUse struct {
	ms        float64
	updatedAt time.Duration
	// active is true if the team counted as one with recent use at the last scan, or has
	// become one since.
	active bool
}

// teamShares holds the recent use of the teams.
type teamShares struct {
	uses map[string]teamUse
	// total is the use of the active teams, and active their number.
	total     teamUse
	active    int
	scannedAt time.Duration
	// over states for each team with queued requests whether it uses more than its share.
	over map[string]bool
}

func newTeamShares() teamShares {
	return teamShares{uses: map[string]teamUse{}, over: map[string]bool{}}
}

func (u teamUse) at(now time.Duration) float64 {
	return u.ms * math.Exp2(-float64(now-u.updatedAt)/float64(shareHalfLife))
}

// add adds engine time to the use of a team.
func (s *teamShares) add(now time.Duration, team string, ms float64) {
	use := s.uses[team]
	added := ms
	use.ms, use.updatedAt = use.at(now)+ms, now
	if !use.active {
		// The total does not include the earlier use yet.
		added = use.ms
		use.active = use.ms >= minTeamUseMs
		if use.active {
			s.active++
		}
	}
	s.uses[team] = use
	if use.active {
		s.total.ms, s.total.updatedAt = s.total.at(now)+added, now
	}
}

// scan forgets teams without recent use and counts the others.
func (s *teamShares) scan(now time.Duration) {
	s.scannedAt, s.total, s.active = now, teamUse{updatedAt: now}, 0
	for team, use := range s.uses {
		use.ms, use.updatedAt = use.at(now), now
		if use.ms < forgetTeamUseMs {
			delete(s.uses, team)
			continue
		}
		use.active = use.ms >= minTeamUseMs
		s.uses[team] = use
		if use.active {
			s.total.ms += use.ms
			s.active++
		}
	}
}

// recordUse adds the engine time of a placed request to its team's use.
func (p *Pool) recordUse(now time.Duration, r *Request) {
	work := p.engineTimeMs(r)
	p.shares.add(now, r.Team, work)
	p.tiers.recordPlaced(now, r.Tier, work)
}

// engineTimeMs estimates how much of an engine of speed 1 a request takes: its prefill, and
// its part of the decoding steps that it shares with the requests in the other slots.
func (p *Pool) engineTimeMs(r *Request) float64 {
	if !p.service.Engine {
		return p.tuning.PlainServiceMs
	}
	slots := float64(max(1, p.service.Slots))
	step := p.tuning.DecodeStepMs + p.tuning.DecodeStepMsPerRequest*slots
	return float64(r.PromptTokens)/p.tuning.PrefillTokensPerMs + float64(r.OutputTokens)*step/slots
}

// updateShares determines which teams with queued requests use more than their share.
func (p *Pool) updateShares(now time.Duration) {
	s := &p.shares
	if now-s.scannedAt >= teamScanInterval {
		s.scan(now)
	}
	clear(s.over)
	if !p.tuning.ShareTeams || s.active < 2 {
		return
	}
	limit := maxShareRatio * s.total.at(now) / float64(s.active)
	for _, r := range p.queue {
		if _, known := s.over[r.Team]; !known {
			s.over[r.Team] = s.uses[r.Team].at(now) > limit
		}
	}
}

// compareShares orders requests of teams within their share before the others.
func (p *Pool) compareShares(a, b *Request) int {
	return compareBools(p.shares.over[a.Team], p.shares.over[b.Team])
}
