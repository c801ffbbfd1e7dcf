package sched

import (
	"sort"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// targetNames lists the names under which requests can address the upstream:
// each model version, the model without its version, and the service. The last
// two are also listed with the prefix that conf.Pool uses.
func targetNames(r *record.Upstream) []string {
	var names []string
	for _, versioned := range r.Models {
		names = append(names, versioned)
		for i := range versioned {
			if versioned[i] == '@' {
				names = append(names, versioned[:i], "model:"+versioned[:i])
				break
			}
		}
	}
	if r.Service != "" {
		names = append(names, r.Service, "service:"+r.Service)
	}
	return names
}

// SetUpstreams replaces the set of upstreams. An upstream without a record in
// records gets no new requests, and is removed once its last grant has ended.
func (p *Pool) SetUpstreams(now time.Time, records []record.Upstream) Decisions {
	inForce := make(map[string]bool, len(records))
	for i := range records {
		u := p.upstreamFor(records[i].Name, &records[i])
		inForce[u.name] = true
		if u.lifecycle.fire(eventRestore) && u.load.Leaving {
			u.lifecycle.fire(eventLeave)
		}
		u.record = records[i]
		u.maxRequests = records[i].MaxRequests
		setDefault(&u.maxRequests, p.config.MaxRequests)
		u.maxTokens = records[i].MaxTokens
	}
	for _, u := range p.upstreams {
		if !inForce[u.name] {
			u.lifecycle.fire(eventWithdraw)
		}
		p.removeIfUnused(u)
	}
	p.prefixes.limitPerUpstream = max(1, min(p.config.MaxPrefixesPerUpstream, p.config.MaxPrefixes/max(1, len(p.upstreams))))
	p.rebuildModels()
	var d Decisions
	p.refuseUnserved(&d)
	p.schedule(now, nil, &d)
	return d
}

// upstreamFor returns the upstream with a name, creating it if needed.
func (p *Pool) upstreamFor(name string, r *record.Upstream) *upstream {
	if u := p.upstreams[name]; u != nil {
		return u
	}
	u := &upstream{name: name, index: p.allocateIndex(), lifecycle: newLifecycle()}
	u.estimate = newEstimate(r.PrefillTokensPerSecond, r.DecodeTokensPerSecond)
	p.upstreamByIndex[u.index] = u
	p.upstreams[name] = u
	return u
}

func (p *Pool) allocateIndex() int32 {
	if n := len(p.freeIndexes); n > 0 {
		index := p.freeIndexes[n-1]
		p.freeIndexes = p.freeIndexes[:n-1]
		return index
	}
	p.upstreamByIndex = append(p.upstreamByIndex, nil)
	p.prefixes.grow(len(p.upstreamByIndex))
	return int32(len(p.upstreamByIndex) - 1)
}

// removeIfUnused removes an absent upstream that has no grants.
func (p *Pool) removeIfUnused(u *upstream) {
	if u.lifecycle.present || u.requests > 0 || !u.lifecycle.fire(eventRemove) {
		return
	}
	p.prefixes.reset(u.index)
	p.upstreamByIndex[u.index] = nil
	p.freeIndexes = append(p.freeIndexes, u.index)
	delete(p.upstreams, u.name)
}

// rebuildModels rebuilds the mapping between models and upstreams.
func (p *Pool) rebuildModels() {
	for _, m := range p.models {
		m.upstreams = m.upstreams[:0]
	}
	sets := map[string]*modelSet{}
	for _, u := range p.sortedUpstreams() {
		u.modelSet = &emptyModelSet
		if !u.lifecycle.present {
			continue
		}
		set := &modelSet{}
		u.modelSet = set
		for _, name := range targetNames(&u.record) {
			m := p.models[name]
			if m == nil {
				m = &model{name: name}
				p.models[name] = m
			}
			if !u.serves(m) {
				set.models = append(set.models, m)
				m.upstreams = append(m.upstreams, u)
			}
		}
		u.modelSet = internModelSet(set, sets)
	}
	for name, m := range p.models {
		if len(m.upstreams) == 0 {
			delete(p.models, name)
			continue
		}
		m.updateCapacity()
	}
}

// emptyModelSet is the model set of upstreams that are no longer present.
var emptyModelSet modelSet

// internModelSet returns the canonical instance of a model set, which all
// upstreams with the same models share.
func internModelSet(set *modelSet, sets map[string]*modelSet) *modelSet {
	names := make([]string, len(set.models))
	for i, m := range set.models {
		names[i] = m.name
	}
	sort.Strings(names)
	key := strings.Join(names, "\n")
	if sets[key] == nil {
		sets[key] = set
	}
	return sets[key]
}

func (p *Pool) sortedUpstreams() []*upstream {
	sorted := make([]*upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		sorted = append(sorted, u)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].name < sorted[j].name })
	return sorted
}

// updateCapacity recomputes the token capacity and the highest prefill rate.
func (m *model) updateCapacity() {
	m.tokenCapacity = 0
	m.maxPrefillRate = 0
	for _, u := range m.upstreams {
		if !u.eligible() {
			continue
		}
		m.tokenCapacity += u.maxTokens
		m.maxPrefillRate = max(m.maxPrefillRate, u.estimate.prefillRate)
	}
}

func (m *model) hasEligible() bool {
	for _, u := range m.upstreams {
		if u.eligible() {
			return true
		}
	}
	return false
}

// refuseUnserved refuses waiting requests that no eligible upstream serves any
// more.
func (p *Pool) refuseUnserved(d *Decisions) {
	for _, w := range p.queuedInOrder() {
		if !w.group.model.hasEligible() {
			p.refuseWaiting(w, errkind.NoUpstream, "no upstream that serves "+w.request.Work.Model+" accepts new requests", d)
		}
	}
}

// queuedInOrder lists all waiting requests by tier and team, oldest first
// within a team.
func (p *Pool) queuedInOrder() []*queuedRequest {
	all := make([]*queuedRequest, 0, p.queue.len())
	for _, t := range p.queue.tiers {
		for _, f := range t.activeFlows {
			for element := f.requests.Front(); element != nil; element = element.Next() {
				all = append(all, element.Value.(*queuedRequest))
			}
		}
	}
	return all
}
