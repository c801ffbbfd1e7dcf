// Package route chooses the pools that may serve a request, and the order in which an
// entry, the process that accepts callers' requests, asks them: pools in the entry's
// own failure domain first, then in the domains of the same region, then in other
// regions within a byte budget.
package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Distance tells how far a pool is from the entry.
type Distance int

// Distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// String returns the name of the distance for log lines.
func (d Distance) String() string {
	return [...]string{"same domain", "same region", "other region"}[d]
}

// Candidate is a pool that can serve a request.
type Candidate struct {
	Pool     string
	Distance Distance
}

// Location is the failure domain and region of an entry.
type Location struct {
	Domain string
	// RegionDomains are the failure domains of the entry's region.
	RegionDomains []string
}

// Candidates returns the pools that serve the target ("model:NAME" or
// "service:NAME"), nearest first. Pools at the same distance are ordered by a hash
// of the pool name and the request ID, so that requests which cannot be served in
// their own domain are spread over the others.
func Candidates(snapshot *conf.Snapshot, location Location, target, requestID string) []Candidate {
	var candidates []Candidate
	for name, pool := range snapshot.Pools {
		if pool.Serves(target) {
			candidates = append(candidates, Candidate{Pool: name, Distance: location.distance(pool.Domain)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].Distance != candidates[j].Distance {
			return candidates[i].Distance < candidates[j].Distance
		}
		return xxhash.Sum64String(candidates[i].Pool+requestID) < xxhash.Sum64String(candidates[j].Pool+requestID)
	})
	return candidates
}

func (p Location) distance(domain string) Distance {
	if domain == p.Domain {
		return SameDomain
	}
	for _, regionDomain := range p.RegionDomains {
		if domain == regionDomain {
			return SameRegion
		}
	}
	return OtherRegion
}

// MayTryNext reports whether the next candidate may be asked after a refusal of
// this kind: the request has not run, and the reason does not apply to other pools.
func MayTryNext(kind errkind.Kind) bool {
	switch kind {
	case errkind.Overloaded, errkind.DeadlineUnmeetable, errkind.NoUpstream, errkind.SchedulerUnreachable:
		return true
	}
	return false
}
