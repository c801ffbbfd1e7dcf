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

// regionDomains returns the failure domains of the entry's region, the own one
// included even when the settings do not list it.
func (e *Entry) regionDomains() []string {
	ownDomain := e.Settings.Instance.Domain
	configured := e.Settings.Instance.RegionDomains
	if slices.Contains(configured, ownDomain) {
		return configured
	}
	return append([]string{ownDomain}, configured...)
}

// linkShares estimates the number of instances that share the link between
// regions. Only the own domain's members are known without messages; the other
// domains of the region are taken to be of the same size.
func (e *Entry) linkSharerCount() int {
	liveInstances := 1
	if e.Members != nil {
		liveInstances = max(1, len(e.Members.Live()))
	}
	return liveInstances * len(e.regionDomains())
}

// acquire gets a grant from the nearest pool that can serve the request in
// time. A further pool is asked only after a refusal that is certain not to
// have run the request, and a pool in another region only within the budget.
func (e *Entry) acquireGrant(req *request) (sched.Grant, *errkind.Error) {
	location := route.Place{Domain: e.Settings.Instance.Domain, RegionDomains: e.regionDomains()}
	candidates := route.Candidates(e.Config.Snapshot(), location, req.target.name, req.id)
	lastErr := errkind.New(errkind.NoUpstream, "no pool serves %s", req.target.name)
	reason := "no pool of the own domain serves " + req.target.name
	for i, candidate := range candidates {
		if !e.reserveCrossRegionBytes(req, candidate) {
			if i == 0 {
				lastErr = errkind.New(errkind.Overloaded, "the byte budget between regions is used up")
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
		lastErr = asKindError(err, "the scheduler refused")
		if !route.MayTryNext(lastErr.Kind) || req.refusal.Load() != nil {
			break
		}
		reason = fmt.Sprintf("%s refused: %s", candidate.Pool, lastErr.Kind)
	}
	return sched.Grant{}, lastErr
}

// takeBytes reserves the bytes that the request moves between regions. It
// reports false when the pool is in another region and the budget is used up.
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

// returnBytes gives back what was reserved for a request that was not
// dispatched under the grant it was reserved for.
func (e *Entry) returnCrossRegionBytes(req *request) {
	e.crossRegionBudget.Return(req.crossRegionBytes)
	req.crossRegionBytes = 0
}

// logRoute logs that the first of the candidates, which is outside the own
// domain, is asked for a grant. It is preferred to the second.
func (e *Entry) logRoutedOut(req *request, candidates []route.Candidate, reason string) {
	preferredTo := ""
	if len(candidates) > 1 {
		preferredTo = candidates[1].Pool
	}
	e.Log.Info("routed out of the domain", "request", req.id, "team", req.team.Name, "tier", req.tier.Name,
		"pool", candidates[0].Pool, "distance", candidates[0].Distance.String(), "reason", reason, "preferred_to", preferredTo)
}

// modelVersion returns the preferred version of the model that the upstream
// may serve, as model@version; ok is false if there is none.
func selectModelVersion(snapshot *conf.Snapshot, upstreamName, model string) (version string, ok bool) {
	upstream := snapshot.Upstreams[upstreamName]
	if upstream == nil {
		return "", false
	}
	if modelRecord := snapshot.Models[model]; modelRecord != nil {
		for _, candidate := range modelRecord.Versions {
			version = model + "@" + candidate
			if slices.Contains(upstream.Models, version) && snapshot.Servable(upstreamName, version) {
				return version, true
			}
		}
	}
	return "", false
}
