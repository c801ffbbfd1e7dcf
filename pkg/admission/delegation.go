package admission

import (
	"slices"
	"time"
)

// Load pattern of delegation: fifty instances of a failure domain share forty
// upstreams, of which each would use less than one slot. Reports of all to all grow
// with the square of the instances, and instances that decide by reports of 100 ms ago
// fill the same slots. One instance, the relay, therefore places the requests of all,
// and knows of each placement at once.

// grantTimeout is the time after which a placement of another instance's request counts
// only if that instance reports it. The report follows the decision within some
// milliseconds, unless the decision was lost or not used.
const grantTimeout = 300 * time.Millisecond

// grant is the placement of another instance's request.
type grant struct {
	key          uint64
	promptTokens int
	placedAt     time.Duration
}

// grantedLoad returns the load of the placements that are not in a report yet.
func (u *upstream) grantedLoad() (inFlight, pendingPrefillTokens int) {
	for _, g := range u.grants {
		pendingPrefillTokens += g.promptTokens
	}
	return len(u.grants), pendingPrefillTokens
}

// ReleaseGrant stops counting the placement of a delegated request, since the instance
// that has the request now reports its load, or has not used the placement.
func (p *Pool) ReleaseGrant(upstreamID string, key uint64) {
	if u := p.upstreams[upstreamID]; u != nil {
		u.grants = slices.DeleteFunc(u.grants, func(g grant) bool { return g.key == key })
	}
}

// expireGrants drops the placements that no report has confirmed in time.
func (p *Pool) expireGrants(now time.Duration) {
	for _, u := range p.sorted {
		if len(u.grants) > 0 {
			u.grants = slices.DeleteFunc(u.grants, func(g grant) bool { return now-g.placedAt > grantTimeout })
		}
	}
}

// Adopt counts a request of this instance that another instance has placed at an
// upstream. It returns false if the upstream is unknown here, is leaving, or wants no
// request of this instance, or is of a version that the request may not be placed at.
func (p *Pool) Adopt(now time.Duration, upstreamID string, request *Request, expectedFirstOutput time.Duration) (UpstreamInfo, bool) {
	u := p.upstreams[upstreamID]
	if u == nil || u.info.Leaving || u.leaving || now < u.quietUntil || !p.allowsAny(u, request) {
		return UpstreamInfo{}, false
	}
	u.requests = append(u.requests, runningRequest{key: request.Key, promptTokens: request.PromptTokens, placedAt: now, expectedFirstOutput: expectedFirstOutput})
	return u.info, true
}

// ObservePeerResult updates the estimates of an upstream by the result of a request of
// another instance.
func (p *Pool) ObservePeerResult(now time.Duration, upstreamID string, result Result) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return
	}
	if now < u.backoffUntil && (result.Outcome == Unreachable || result.Outcome == Broken) {
		// One crash breaks the requests of many instances, but is one failure.
		u.observeFailure(now, true)
		return
	}
	p.observe(now, u, 0, result)
}

// probeInterval is the time between two delegated requests to an upstream that has
// failed, until one is answered.
const probeInterval = 250 * time.Millisecond

// Overdue is the Outcome of a request that is still running, and whose first output has
// not arrived in several times the expected time.
const Overdue Outcome = NotSent + 1

// maxOverdue bounds the list that TakeOverdue returns, which nobody may take.
const maxOverdue = 64

// TakeOverdue returns the upstreams of this instance's requests that became overdue
// since the last call, one entry for each request.
func (p *Pool) TakeOverdue() []string {
	overdue := p.overdue
	p.overdue = nil
	return overdue
}
