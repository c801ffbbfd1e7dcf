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
)

// teamUse is the engine time that a team was given, decaying by shareHalfLife.
type teamUse struct {
	ms        float64
	updatedAt time.Duration
}

func (u teamUse) at(now time.Duration) float64 {
	return u.ms * math.Exp2(-float64(now-u.updatedAt)/float64(shareHalfLife))
}

// recordUse adds the engine time of a placed request to its team's use.
func (p *Pool) recordUse(now time.Duration, r *Request) {
	use := p.teams[r.Team]
	p.teams[r.Team] = teamUse{ms: use.at(now) + p.engineTimeMs(r), updatedAt: now}
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

// updateShares determines which teams use more than their share, and forgets teams without
// recent use.
func (p *Pool) updateShares(now time.Duration) {
	total, active := 0.0, 0
	for team, use := range p.teams {
		ms := use.at(now)
		if ms < minTeamUseMs {
			delete(p.teams, team)
			continue
		}
		total += ms
		active++
	}
	clear(p.overShare)
	if active < 2 {
		return
	}
	for team, use := range p.teams {
		if use.at(now)*float64(active) > maxShareRatio*total {
			p.overShare[team] = true
		}
	}
}

// compareShares orders requests of teams within their share before the others.
func (p *Pool) compareShares(a, b *Request) int {
	return compareBools(p.overShare[a.Team], p.overShare[b.Team])
}
