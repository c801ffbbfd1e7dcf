package admission

import (
	"slices"
	"time"
)

// Load pattern of versions: while a service moves to upstreams of another version, these
// are idle, since few requests may go to them. They must not count as room for the others.

// VersionRule determines which upstreams requests may be placed at while a service moves to
// another version. The zero value allows all.
type VersionRule struct {
	// Candidate is the version that the service moves to; empty if it does not move.
	Candidate string
	// Moved is true if ordinary requests go to the candidate only. Otherwise they go to
	// upstreams of other versions, and only trial requests to the candidate.
	Moved bool
	// Strict is true if the candidate was found to be faulty. Without it, requests go to
	// any upstream if there is none of the versions that they may be placed at.
	Strict bool
	// Concentrate places trial requests at the busiest upstreams of the candidate that have
	// a free slot, so that faults under load show although few requests go there.
	Concentrate bool
	// Faulty holds versions of former candidates that were found to be faulty. Requests go
	// there only if there is no upstream of any other version.
	Faulty []string
}

// SetVersionRule replaces the rule.
func (p *Pool) SetVersionRule(rule VersionRule) {
	p.versions.rule = rule
	p.countVersions()
}

// VersionRule returns the rule in force.
func (p *Pool) VersionRule() VersionRule { return p.versions.rule }

// versionState is the rule in force, and whether there are upstreams on either side of it.
type versionState struct {
	rule                   VersionRule
	candidates, incumbents int
	// held are the versions of upstreams that exist and are not in the pool yet.
	held []string
}

// SetHeldVersions sets the versions of upstreams that exist and may not be used yet. The
// candidate is no replacement for them.
func (p *Pool) SetHeldVersions(versions []string) {
	p.versions.held = versions
	p.countVersions()
}

func (p *Pool) countVersions() {
	p.versions.candidates, p.versions.incumbents = 0, 0
	for _, version := range p.versions.held {
		if rule := &p.versions.rule; version != rule.Candidate && !slices.Contains(rule.Faulty, version) {
			p.versions.incumbents++
		}
	}
	for _, u := range p.sorted {
		switch {
		case u.info.Version == p.versions.rule.Candidate:
			p.versions.candidates++
		case !p.isFaulty(u):
			p.versions.incumbents++
		}
	}
}

// isFaulty reports whether an upstream is of a version that an earlier order has shown to be
// faulty.
func (p *Pool) isFaulty(u *upstream) bool {
	return u.info.Version != p.versions.rule.Candidate && slices.Contains(p.versions.rule.Faulty, u.info.Version)
}

// allows reports whether a request may be placed at an upstream by its version.
func (p *Pool) allows(u *upstream, trial bool) bool {
	rule := &p.versions.rule
	if p.isFaulty(u) && p.versions.candidates+p.versions.incumbents > 0 {
		return false
	}
	if rule.Candidate == "" {
		return true
	}
	candidate := u.info.Version == rule.Candidate
	switch {
	case rule.Strict:
		return !candidate
	case trial || rule.Moved:
		return candidate || (!trial && p.versions.candidates == 0)
	default:
		return !candidate || p.versions.incumbents == 0
	}
}

// allowsAny reports whether a request may be placed at an upstream, as a trial request or
// as an ordinary one that a trial request has become.
func (p *Pool) allowsAny(u *upstream, r *Request) bool {
	return p.allows(u, false) || (r.Trial && p.allows(u, true))
}

// concentrates reports whether a request is placed at the busiest upstream.
func (p *Pool) concentrates(r *Request) bool { return r.Trial && p.versions.rule.Concentrate }

// trialCost ranks the upstreams for a trial request: the busiest first. An upstream that fails
// counts as one with more free slots, so that a single failing one does not get all trial
// requests and make a sound version look faulty. If all of them fail, it changes little.
func (p *Pool) trialCost(now time.Duration, u *upstream, inFlight int) float64 {
	return p.distancePenaltyMs(u) + float64(u.slots-inFlight) + u.currentFailureRate(now)*float64(u.slots)
}

// VersionSlots returns the slots of the usable upstreams of the candidate that have warmed
// up, and those of all others.
func (p *Pool) VersionSlots() (candidate, incumbent int) {
	for _, u := range p.sorted {
		switch {
		case u.info.Leaving || u.leaving || p.isFaulty(u):
		case u.info.Version != p.versions.rule.Candidate:
			incumbent += u.slots
		case u.info.Warmup == 0:
			candidate += u.slots
		}
	}
	return candidate, incumbent
}

// IncumbentInFlight returns the number of requests, of all instances, in progress at
// upstreams of other versions than the candidate.
func (p *Pool) IncumbentInFlight() int {
	total := 0
	for _, u := range p.sorted {
		if u.info.Version != p.versions.rule.Candidate {
			inFlight, _ := u.load()
			total += inFlight
		}
	}
	return total
}
