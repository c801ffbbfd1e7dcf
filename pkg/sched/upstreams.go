package sched

import (
	"sort"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// targets lists the names under which requests can ask for the upstream: each
// model version, the model without its version, and the service, the latter
// two also with the prefix that conf.Pool uses.
func targets(r *record.Upstream) []string {
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

// SetUpstreams applies the upstreams in force. One that is absent gets no new
// work and is forgotten once its last grant has ended.
func (p *Pool) SetUpstreams(now time.Time, records []record.Upstream) Decisions {
	named := make(map[string]bool, len(records))
	for i := range records {
		u := p.upstreamFor(records[i].Name, &records[i])
		named[u.name] = true
		if u.life.fire(eventRestore) && u.load.Leaving {
			u.life.fire(eventLeave)
		}
		u.record = records[i]
		u.maxRequests = records[i].MaxRequests
		orDefault(&u.maxRequests, p.config.MaxRequests)
		u.maxTokens = records[i].MaxTokens
	}
	for _, u := range p.upstreams {
		if !named[u.name] {
			u.life.fire(eventWithdraw)
		}
		p.forget(u)
	}
	p.prefixes.limit = max(1, min(p.config.PrefixEntries, p.config.PrefixTotal/max(1, len(p.upstreams))))
	p.relate()
	var d Decisions
	p.refuseStranded(&d)
	p.schedule(now, nil, &d)
	return d
}

// upstreamFor returns the upstream of a name, which it creates when it is new.
func (p *Pool) upstreamFor(name string, r *record.Upstream) *upstream {
	if u := p.upstreams[name]; u != nil {
		return u
	}
	u := &upstream{name: name, index: p.takeIndex(), life: newLife()}
	u.estimate = newEstimate(r.PrefillTokensPerSecond, r.DecodeTokensPerSecond)
	p.byIndex[u.index] = u
	p.upstreams[name] = u
	return u
}

func (p *Pool) takeIndex() int32 {
	if n := len(p.freeIndex); n > 0 {
		index := p.freeIndex[n-1]
		p.freeIndex = p.freeIndex[:n-1]
		return index
	}
	p.byIndex = append(p.byIndex, nil)
	p.prefixes.grow(len(p.byIndex))
	return int32(len(p.byIndex) - 1)
}

// forget drops an absent upstream that has no grants.
func (p *Pool) forget(u *upstream) {
	if u.life.present || u.requests > 0 || !u.life.fire(eventRemove) {
		return
	}
	p.prefixes.reset(u.index)
	p.byIndex[u.index] = nil
	p.freeIndex = append(p.freeIndex, u.index)
	delete(p.upstreams, u.name)
}

// relate rebuilds the relation between models and upstreams.
func (p *Pool) relate() {
	for _, m := range p.models {
		m.upstreams = m.upstreams[:0]
	}
	sets := map[string]*servingSet{}
	for _, u := range p.sortedUpstreams() {
		u.serving = &noModels
		if !u.life.present {
			continue
		}
		set := &servingSet{}
		u.serving = set
		for _, name := range targets(&u.record) {
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
		u.serving = shareSet(set, sets)
	}
	for name, m := range p.models {
		if len(m.upstreams) == 0 {
			delete(p.models, name)
			continue
		}
		m.measure()
	}
}

// noModels is the set of an upstream that is no longer in force.
var noModels servingSet

// shareSet returns the set with the same models that another upstream has.
func shareSet(set *servingSet, sets map[string]*servingSet) *servingSet {
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

// measure recomputes the capacity and the highest prefill rate.
func (m *model) measure() {
	m.capacity = 0
	m.fastest = 0
	for _, u := range m.upstreams {
		if !u.open() {
			continue
		}
		m.capacity += u.maxTokens
		m.fastest = max(m.fastest, u.estimate.prefillRate)
	}
}

func (m *model) anyOpen() bool {
	for _, u := range m.upstreams {
		if u.open() {
			return true
		}
	}
	return false
}

// refuseStranded refuses waiting requests that no upstream serves any more.
func (p *Pool) refuseStranded(d *Decisions) {
	for _, w := range p.waitingInOrder() {
		if !w.group.model.anyOpen() {
			p.refuseWaiting(w, errkind.NoUpstream, "no upstream for "+w.request.Work.Model+" takes new work", d)
		}
	}
}

// waitingInOrder lists all waiting requests, by tier and team in order of
// arrival.
func (p *Pool) waitingInOrder() []*waiting {
	all := make([]*waiting, 0, p.queue.len())
	for _, t := range p.queue.tiers {
		for _, a := range t.active {
			for element := a.recent.Front(); element != nil; element = element.Next() {
				all = append(all, element.Value.(*waiting))
			}
		}
	}
	return all
}
