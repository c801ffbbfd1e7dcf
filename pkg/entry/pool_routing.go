package entry

import (
	"fmt"
	"slices"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/route"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// regionDomains returns the failure domains of the region, including the
// instance's own even if the settings do not list it.
func (e *Entry) regionDomains() []string {
	ownDomain := e.Settings.Instance.Domain
	regionDomains := e.Settings.Instance.RegionDomains
	if slices.Contains(regionDomains, ownDomain) {
		return regionDomains
	}
	return append([]string{ownDomain}, regionDomains...)
}

// linkSharerCount estimates how many instances share the link between regions.
// Only the members of the local failure domain are known without messages; the
// other domains of the region are assumed to have as many.
func (e *Entry) linkSharerCount() int {
	liveInstances := 1
	if e.Members != nil {
		liveInstances = max(1, len(e.Members.Live()))
	}
	return liveInstances * len(e.regionDomains())
}

// acquireGrant gets a grant from the nearest pool that can serve the request in
// time. It tries the next pool only after a refusal that rules out that the
// request ran, and a pool in another region only within the byte budget.
func (e *Entry) acquireGrant(req *request) (sched.Grant, *errkind.Error) {
	location := route.Location{Domain: e.Settings.Instance.Domain, RegionDomains: e.regionDomains()}
	candidates := route.Candidates(e.Config.Snapshot(), location, req.target.name, req.id)
	lastErr := errkind.New(errkind.NoUpstream, "no pool serves %s", req.target.name)
	reason := "no pool of the own domain serves " + req.target.name
	for i, candidate := range candidates {
		if !e.reserveCrossRegionBytes(req, candidate) {
			if i == 0 {
				lastErr = errkind.New(errkind.Overloaded, "the byte budget for other regions is exhausted")
			}
			break
		}
		if candidate.Distance != route.SameDomain {
			e.logRoutedOut(req, candidates[i:], reason)
		}
		grant, err := e.Pool.Acquire(req.ctx, candidate.Pool, pool.Request{ID: req.id, Work: req.work, Deadline: req.deadline})
		if err == nil {
			return grant, e.acceptGrant(req, candidate.Pool, grant)
		}
		e.returnCrossRegionBytes(req)
		lastErr = asKindError(err, "the scheduler refused the request")
		if !route.MayTryNext(lastErr.Kind) || req.refusal.Load() != nil {
			break
		}
		reason = fmt.Sprintf("%s refused: %s", candidate.Pool, lastErr.Kind)
	}
	return sched.Grant{}, lastErr
}

// reserveCrossRegionBytes reserves the bytes that the request moves between
// regions. It returns false if the pool is in another region and the budget is
// exhausted.
func (e *Entry) reserveCrossRegionBytes(req *request, candidate route.Candidate) bool {
	if candidate.Distance != route.OtherRegion {
		return true
	}
	bytes := route.RequestBytes(len(req.body), req.work.OutputTokens)
	if !e.crossRegionBudget.Take(bytes) {
		e.Log.V(1).Info("budget between regions used up", "request", req.id, "pool", candidate.Pool, "bytes", bytes)
		return false
	}
	req.crossRegionBytes = bytes
	return true
}

// returnCrossRegionBytes returns the reservation of a request that was not
// dispatched under its grant.
func (e *Entry) returnCrossRegionBytes(req *request) {
	e.crossRegionBudget.Return(req.crossRegionBytes)
	req.crossRegionBytes = 0
}

// logRoutedOut logs that candidates[0], a pool outside the local failure domain,
// is asked for a grant, in preference to candidates[1].
func (e *Entry) logRoutedOut(req *request, candidates []route.Candidate, reason string) {
	preferredTo := ""
	if len(candidates) > 1 {
		preferredTo = candidates[1].Pool
	}
	e.Log.Info("routed out of the domain", "request", req.id, "team", req.team.Name, "tier", req.tier.Name,
		"pool", candidates[0].Pool, "distance", candidates[0].Distance.String(), "reason", reason, "preferred_to", preferredTo)
}

// selectModelVersion returns the most preferred version of the model that the
// upstream may serve, as model@version; ok is false if there is none.
func selectModelVersion(snapshot *conf.Snapshot, upstreamName, model string) (version string, ok bool) {
	upstream := snapshot.Upstreams[upstreamName]
	if upstream == nil {
		return "", false
	}
	if modelRecord := snapshot.Models[model]; modelRecord != nil {
		for _, candidate := range modelRecord.Versions {
			version = model + "@" + candidate
			if slices.Contains(upstream.Models, version) && snapshot.IsServable(upstreamName, version) {
				return version, true
			}
		}
	}
	return "", false
}
