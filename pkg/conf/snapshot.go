package conf

import (
	"maps"
	"sort"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// changeSet is what one merge changed among the understood records.
type changeSet struct {
	// any is true when any object changed, understood or not.
	any bool
	// records holds the new record by kind and name; nil removes it.
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
		Tiers:             map[string]*record.Tier{},
		Teams:             map[string]*record.Team{},
		Models:            map[string]*record.Model{},
		Upstreams:         map[string]*record.Upstream{},
		Withdrawn:         map[string]bool{},
		WithdrawnVersions: map[string]bool{},
		TeamByKey:         map[string]*record.Team{},
		Pools:             map[string]*Pool{},
		PoolOf:            map[string]string{},
		withdrawals:       map[string]*record.Withdrawal{},
	}
}

// nextSnapshot applies changes to a snapshot. It copies only the maps that
// change: a change of one record must not cost a rebuild of 6,300 teams.
func nextSnapshot(previous *Snapshot, changes *changeSet) *Snapshot {
	next := *previous
	next.Tiers = applied(previous.Tiers, changes.records[record.KindTier])
	next.Models = applied(previous.Models, changes.records[record.KindModel])
	next.Teams = applied(previous.Teams, changes.records[record.KindTeam])
	next.Upstreams = applied(previous.Upstreams, changes.records[record.KindUpstream])
	next.withdrawals = applied(previous.withdrawals, changes.records[record.KindWithdrawal])
	if teams := changes.records[record.KindTeam]; len(teams) > 0 {
		next.TeamByKey = teamsByKey(previous, &next, teams)
	}
	upstreams := changes.records[record.KindUpstream]
	if len(upstreams) > 0 || len(changes.records[record.KindWithdrawal]) > 0 {
		next.Withdrawn, next.WithdrawnVersions = withdrawn(next.Upstreams, next.withdrawals)
	}
	if poolsChange(previous.Upstreams, upstreams) {
		next.Pools, next.PoolOf = pools(next.Upstreams)
	}
	return &next
}

// applied returns a copy of the records with the changes, or the records
// themselves when there is no change.
func applied[T any](records map[string]*T, changes map[string]record.Record) map[string]*T {
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

// teamsByKey returns the index of teams by key. A key that two teams list
// belongs to the first of them by name, on every instance alike.
func teamsByKey(previous, next *Snapshot, changes map[string]record.Record) map[string]*record.Team {
	index := maps.Clone(previous.TeamByKey)
	removed := map[string]bool{}
	for name := range changes {
		if old := previous.Teams[name]; old != nil {
			for _, sum := range old.KeySHA256 {
				delete(index, sum)
				removed[sum] = true
			}
		}
		if current := next.Teams[name]; current != nil {
			for _, sum := range current.KeySHA256 {
				removed[sum] = true
			}
		}
	}
	for _, team := range next.Teams {
		for _, sum := range team.KeySHA256 {
			if owner := index[sum]; removed[sum] && (owner == nil || team.Name <= owner.Name) {
				index[sum] = team
			}
		}
	}
	return index
}

func withdrawn(upstreams map[string]*record.Upstream, withdrawals map[string]*record.Withdrawal) (names, versions map[string]bool) {
	names, versions = map[string]bool{}, map[string]bool{}
	batches := map[string]bool{}
	for _, withdrawal := range withdrawals {
		if withdrawal.Batch != "" {
			batches[withdrawal.Batch] = true
		}
		for _, name := range withdrawal.Upstreams {
			names[name] = true
		}
		if withdrawal.ModelVersion != "" {
			versions[withdrawal.ModelVersion] = true
		}
	}
	for name, upstream := range upstreams {
		if batches[upstream.Batch] {
			names[name] = true
		}
	}
	return names, versions
}

// poolsChange reports whether a change of upstreams can change the pools.
func poolsChange(previous map[string]*record.Upstream, changes map[string]record.Record) bool {
	for name, change := range changes {
		old := previous[name]
		current, exists := change.(*record.Upstream)
		if !exists || old == nil || old.Domain != current.Domain {
			return true
		}
		before, after := targets(old), targets(current)
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

// The prefixes of the targets of a pool.
const (
	modelTarget   = "model:"
	serviceTarget = "service:"
)

func targets(upstream *record.Upstream) []string {
	if upstream.Type == record.TypeService {
		return []string{serviceTarget + upstream.Service}
	}
	names := make([]string, 0, len(upstream.Models))
	for _, text := range upstream.Models {
		model, _ := record.SplitModelVersion(text)
		names = append(names, modelTarget+model)
	}
	return names
}

// domainTarget is a model or service in one failure domain.
type domainTarget struct{ domain, target string }

// pools computes the connected components of upstreams that share targets
// within a failure domain. It depends only on the set of upstreams.
func pools(upstreams map[string]*record.Upstream) (byName map[string]*Pool, poolOf map[string]string) {
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
		served := targets(upstream)
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
		pool := byRoot[find(domainTarget{upstream.Domain, targets(upstream)[0]})]
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

// poolName names a pool by its first target. A service that has the name of a
// model of the same domain keeps the prefix, so that names are unique.
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
