package entry

import (
	"slices"
	"sort"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
)

// routes gives the pools that serve a target, for one snapshot.
type routes struct {
	snapshot *conf.Snapshot
	pools    map[string][]string
}

// poolsFor returns the pools that serve the target ("model:NAME" or
// "service:NAME"): the local failure domain first, then those that the
// settings name, in their order.
func (e *Entry) poolsFor(snapshot *conf.Snapshot, target string) []string {
	known := e.routes.Load()
	if known == nil || known.snapshot != snapshot {
		known = e.buildRoutes(snapshot)
		e.routes.Store(known)
	}
	return known.pools[target]
}

func (e *Entry) buildRoutes(snapshot *conf.Snapshot) *routes {
	domains := append([]string{e.Settings.Instance.Domain}, e.Settings.Instance.FallbackDomains...)
	built := &routes{snapshot: snapshot, pools: map[string][]string{}}
	names := make([]string, 0, len(snapshot.Pools))
	for name := range snapshot.Pools {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, domain := range domains {
		for _, name := range names {
			if snapshot.Pools[name].Domain != domain {
				continue
			}
			for _, target := range snapshot.Pools[name].Targets {
				if !slices.Contains(built.pools[target], name) {
					built.pools[target] = append(built.pools[target], name)
				}
			}
		}
	}
	return built
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
