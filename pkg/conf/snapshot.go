package conf

import (
	"maps"
	"sort"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// changeSet collects the changes of one merge.
type changeSet struct {
	// changed is true when any object changed, valid or not.
	changed bool
	// records holds the new record by kind and name; a nil record was removed.
	records map[record.Kind]map[string]record.Record
}

func (c *changeSet) add(key Key, r record.Record) {
	if c.records[key.Kind] == nil {
		c.records[key.Kind] = map[string]record.Record{}
	}
	c.records[key.Kind][key.Name] = r
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		Tiers:              map[string]*record.Tier{},
		Teams:              map[string]*record.Team{},
		Models:             map[string]*record.Model{},
		Upstreams:          map[string]*record.Upstream{},
		WithdrawnUpstreams: map[string]bool{},
		WithdrawnVersions:  map[string]bool{},
		TeamByKey:          map[string]*record.Team{},
		Pools:              map[string]*Pool{},
		PoolByUpstream:     map[string]string{},
		withdrawals:        map[string]*record.Withdrawal{},
	}
}

// nextSnapshot returns a snapshot with the changes applied. It copies only the
// maps that change, since one changed record must not rebuild the index of
// 6,300 teams.
func nextSnapshot(previous *Snapshot, changes *changeSet) *Snapshot {
	next := *previous
	next.Tiers = applyChanges(previous.Tiers, changes.records[record.KindTier])
	next.Models = applyChanges(previous.Models, changes.records[record.KindModel])
	next.Teams = applyChanges(previous.Teams, changes.records[record.KindTeam])
	next.Upstreams = applyChanges(previous.Upstreams, changes.records[record.KindUpstream])
	next.withdrawals = applyChanges(previous.withdrawals, changes.records[record.KindWithdrawal])
	if teams := changes.records[record.KindTeam]; len(teams) > 0 {
		next.TeamByKey = updateTeamIndex(previous, &next, teams)
	}
	upstreams := changes.records[record.KindUpstream]
	if len(upstreams) > 0 || len(changes.records[record.KindWithdrawal]) > 0 {
		next.WithdrawnUpstreams, next.WithdrawnVersions = withdrawnSets(next.Upstreams, next.withdrawals)
	}
	if affectsPools(previous.Upstreams, upstreams) {
		next.Pools, next.PoolByUpstream = buildPools(next.Upstreams)
	}
	return &next
}

// applyChanges returns a copy of the records with the changes applied, or the
// same map when there are none.
func applyChanges[T any](records map[string]*T, changes map[string]record.Record) map[string]*T {
	if len(changes) == 0 {
		return records
	}
	next := maps.Clone(records)
	for name, change := range changes {
		if typed, ok := change.(*T); ok {
			next[name] = typed
		} else {
			delete(next, name)
		}
	}
	return next
}

// updateTeamIndex returns the index of teams by API key after the changes. A
// key that two teams list belongs to the team whose name sorts first, so that
// all instances agree.
func updateTeamIndex(previous, next *Snapshot, changes map[string]record.Record) map[string]*record.Team {
	index := maps.Clone(previous.TeamByKey)
	affected := map[string]bool{}
	for name := range changes {
		if old := previous.Teams[name]; old != nil {
			for _, sum := range old.KeySHA256 {
				delete(index, sum)
				affected[sum] = true
			}
		}
		if current := next.Teams[name]; current != nil {
			for _, sum := range current.KeySHA256 {
				affected[sum] = true
			}
		}
	}
	for _, team := range next.Teams {
		for _, sum := range team.KeySHA256 {
			if owner := index[sum]; affected[sum] && (owner == nil || team.Name <= owner.Name) {
				index[sum] = team
			}
		}
	}
	return index
}

// withdrawnSets returns the upstreams and the model versions that the
// withdrawals select.
func withdrawnSets(upstreams map[string]*record.Upstream, withdrawals map[string]*record.Withdrawal) (upstreamNames, modelVersions map[string]bool) {
	upstreamNames, modelVersions = map[string]bool{}, map[string]bool{}
	batches := map[string]bool{}
	for _, withdrawal := range withdrawals {
		if withdrawal.Batch != "" {
			batches[withdrawal.Batch] = true
		}
		for _, name := range withdrawal.Upstreams {
			upstreamNames[name] = true
		}
		if withdrawal.ModelVersion != "" {
			modelVersions[withdrawal.ModelVersion] = true
		}
	}
	for name, upstream := range upstreams {
		if batches[upstream.Batch] {
			upstreamNames[name] = true
		}
	}
	return upstreamNames, modelVersions
}

// affectsPools reports whether the changes of upstreams can change the pools.
func affectsPools(previous map[string]*record.Upstream, changes map[string]record.Record) bool {
	for name, change := range changes {
		old := previous[name]
		current, exists := change.(*record.Upstream)
		if !exists || old == nil || old.Domain != current.Domain {
			return true
		}
		before, after := servedTargets(old), servedTargets(current)
		if len(before) != len(after) {
			return true
		}
		for i := range before {
			if before[i] != after[i] {
				return true
			}
		}
	}
	return false
}

// Prefixes of a pool's targets, which distinguish models and services.
const (
	modelTarget   = "model:"
	serviceTarget = "service:"
)

// servedTargets returns the service or the models that an upstream serves.
func servedTargets(upstream *record.Upstream) []string {
	if upstream.Type == record.TypeService {
		return []string{serviceTarget + upstream.Service}
	}
	served := make([]string, 0, len(upstream.Models))
	for _, text := range upstream.Models {
		model, _ := record.SplitModelVersion(text)
		served = append(served, modelTarget+model)
	}
	return served
}

// domainTarget is a model or service of one failure domain.
type domainTarget struct{ domain, target string }

// buildPools computes the connected components of upstreams that share targets
// within a failure domain, with union-find. The result depends only on the set
// of upstreams, so that all instances agree.
func buildPools(upstreams map[string]*record.Upstream) (byName map[string]*Pool, poolOf map[string]string) {
	parent := map[domainTarget]domainTarget{}
	var find func(domainTarget) domainTarget
	find = func(node domainTarget) domainTarget {
		if above, ok := parent[node]; !ok || above == node {
			parent[node] = node
			return node
		}
		root := find(parent[node])
		parent[node] = root
		return root
	}
	for _, upstream := range upstreams {
		served := servedTargets(upstream)
		first := find(domainTarget{upstream.Domain, served[0]})
		for _, target := range served[1:] {
			parent[find(domainTarget{upstream.Domain, target})] = first
		}
	}
	byRoot := map[domainTarget]*Pool{}
	for node := range parent {
		root := find(node)
		if byRoot[root] == nil {
			byRoot[root] = &Pool{Domain: node.domain}
		}
		byRoot[root].Targets = append(byRoot[root].Targets, node.target)
	}
	for name, upstream := range upstreams {
		pool := byRoot[find(domainTarget{upstream.Domain, servedTargets(upstream)[0]})]
		pool.Upstreams = append(pool.Upstreams, name)
	}
	byName, poolOf = map[string]*Pool{}, map[string]string{}
	for _, pool := range byRoot {
		sort.Strings(pool.Targets)
		sort.Strings(pool.Upstreams)
		pool.Name = poolName(pool, parent)
		byName[pool.Name] = pool
		for _, name := range pool.Upstreams {
			poolOf[name] = pool.Name
		}
	}
	return byName, poolOf
}

// poolName names a pool by its first target. The prefix of a service is kept if
// a model of the same domain has the same name, so that pool names are unique.
func poolName(pool *Pool, nodes map[domainTarget]domainTarget) string {
	first := pool.Targets[0]
	if model, ok := strings.CutPrefix(first, modelTarget); ok {
		return pool.Domain + "/" + model
	}
	service, _ := strings.CutPrefix(first, serviceTarget)
	if _, clash := nodes[domainTarget{pool.Domain, modelTarget + service}]; clash {
		return pool.Domain + "/" + first
	}
	return pool.Domain + "/" + service
}
