// Package route chooses the pools that a request may be sent to, and the order
// in which they are asked: the own failure domain first, then the domains of
// the same region, then other regions within a byte budget.
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

// Place is where an entry runs.
type Place struct {
	Domain string
	// RegionDomains are the failure domains of the entry's region.
	RegionDomains []string
}

// Candidates returns the pools that serve the target ("model:NAME" or
// "service:NAME"), nearest first. Pools at the same distance are ordered by a
// hash of the request ID, so that requests which leave a full domain spread
// over the others.
func Candidates(snapshot *conf.Snapshot, place Place, target, requestID string) []Candidate {
	var found []Candidate
	for name, pool := range snapshot.Pools {
		if pool.Serves(target) {
			found = append(found, Candidate{Pool: name, Distance: place.distance(pool.Domain)})
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].Distance != found[j].Distance {
			return found[i].Distance < found[j].Distance
		}
		return xxhash.Sum64String(found[i].Pool+requestID) < xxhash.Sum64String(found[j].Pool+requestID)
	})
	return found
}

func (p Place) distance(domain string) Distance {
	if domain == p.Domain {
		return SameDomain
	}
	for _, near := range p.RegionDomains {
		if domain == near {
			return SameRegion
		}
	}
	return OtherRegion
}

// MayTryNext reports whether a refusal of this kind by one pool says nothing
// about the others, so that the next candidate may be asked. Only kinds whose
// run state is not_run qualify.
func MayTryNext(kind errkind.Kind) bool {
	switch kind {
	case errkind.Overloaded, errkind.DeadlineUnmeetable, errkind.NoUpstream, errkind.SchedulerUnreachable:
		return true
	}
	return false
}
