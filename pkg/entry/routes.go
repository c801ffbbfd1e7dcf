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
	own := e.Settings.Instance.Domain
	listed := e.Settings.Instance.RegionDomains
	if slices.Contains(listed, own) {
		return listed
	}
	return append([]string{own}, listed...)
}

// linkShares estimates the number of instances that share the link between
// regions. Only the own domain's members are known without messages; the other
// domains of the region are taken to be of the same size.
func (e *Entry) linkShares() int {
	live := 1
	if e.Members != nil {
		live = max(1, len(e.Members.Live()))
	}
	return live * len(e.regionDomains())
}

// acquire gets a grant from the nearest pool that can serve the request in
// time. A further pool is asked only after a refusal that is certain not to
// have run the request, and a pool in another region only within the budget.
func (e *Entry) acquire(q *request) (sched.Grant, *errkind.Error) {
	place := route.Location{Domain: e.Settings.Instance.Domain, RegionDomains: e.regionDomains()}
	candidates := route.Candidates(e.Config.Snapshot(), place, q.target.name, q.id)
	last := errkind.New(errkind.NoUpstream, "no pool serves %s", q.target.name)
	reason := "no pool of the own domain serves " + q.target.name
	for i, candidate := range candidates {
		if !e.takeBytes(q, candidate) {
			if i == 0 {
				last = errkind.New(errkind.Overloaded, "the byte budget between regions is used up")
			}
			break
		}
		if candidate.Distance != route.SameDomain {
			e.logRoute(q, candidates[i:], reason)
		}
		grant, err := e.Pool.Acquire(q.ctx, candidate.Pool, pool.Request{ID: q.id, Work: q.work, Deadline: q.deadline})
		if err == nil {
			return grant, e.accept(q, candidate.Pool, grant)
		}
		e.returnBytes(q)
		last = typed(err, "the scheduler refused")
		if !route.MayTryNext(last.Kind) || q.refusal.Load() != nil {
			break
		}
		reason = fmt.Sprintf("%s refused: %s", candidate.Pool, last.Kind)
	}
	return sched.Grant{}, last
}

// takeBytes reserves the bytes that the request moves between regions. It
// reports false when the pool is in another region and the budget is used up.
func (e *Entry) takeBytes(q *request, candidate route.Candidate) bool {
	if candidate.Distance != route.OtherRegion {
		return true
	}
	bytes := route.RequestBytes(len(q.body), q.work.OutputTokens)
	if !e.budget.Take(bytes) {
		e.Log.V(1).Info("budget between regions used up", "request", q.id, "pool", candidate.Pool, "bytes", bytes)
		return false
	}
	q.linkBytes = bytes
	return true
}

// returnBytes gives back what was reserved for a request that was not
// dispatched under the grant it was reserved for.
func (e *Entry) returnBytes(q *request) {
	e.budget.Return(q.linkBytes)
	q.linkBytes = 0
}

// logRoute logs that the first of the candidates, which is outside the own
// domain, is asked for a grant. It is preferred to the second.
func (e *Entry) logRoute(q *request, candidates []route.Candidate, reason string) {
	preferredTo := ""
	if len(candidates) > 1 {
		preferredTo = candidates[1].Pool
	}
	e.Log.Info("routed out of the domain", "request", q.id, "team", q.team.Name, "tier", q.tier.Name,
		"pool", candidates[0].Pool, "distance", candidates[0].Distance.String(), "reason", reason, "preferred_to", preferredTo)
}

// modelVersion returns the preferred version of the model that the upstream
// may serve, as model@version; ok is false if there is none.
func modelVersion(snapshot *conf.Snapshot, upstreamName, model string) (version string, ok bool) {
	upstream := snapshot.Upstreams[upstreamName]
	if upstream == nil {
		return "", false
	}
	if known := snapshot.Models[model]; known != nil {
		for _, candidate := range known.Versions {
			version = model + "@" + candidate
			if slices.Contains(upstream.Models, version) && snapshot.Servable(upstreamName, version) {
				return version, true
			}
		}
	}
	return "", false
}
