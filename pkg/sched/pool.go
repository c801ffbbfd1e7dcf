package sched

import (
	"container/heap"
	"container/list"
	"sort"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// Pool implements Scheduler for one pool of upstreams. It is plain code: it
// has no goroutines and no clock, and one goroutine must own it.
type Pool struct {
	config   Config
	baseline baseline
	filters  []filter
	scores   []score
	// share is the part of each limit that this scheduler may use.
	share float64

	upstreams map[string]*upstream
	// byIndex maps the index used by the prefix index to the upstream.
	byIndex   []*upstream
	freeIndex []int32
	models    map[string]*model

	queue    queue
	grants   map[requestKey]*grant
	holders  map[string]*holder
	prefixes prefixIndex
	strikes  strikeTable

	// pending holds refusals that were decided by a call that returns none.
	pending []Refusal

	sequence  uint64
	turn      int
	nextSweep time.Time
	scratch   []*upstream
	one       [1]*upstream
}

var _ Scheduler = (*Pool)(nil)

// holder is the session of an entry.
type holder struct {
	name    string
	waiting list.List
	grants  map[*grant]struct{}
}

// New returns a pool without upstreams.
func New(config Config) *Pool {
	config = config.withDefaults()
	return &Pool{
		config:    config,
		baseline:  baselines[config.Policy],
		filters:   filters(),
		scores:    scores(),
		share:     1,
		upstreams: map[string]*upstream{},
		models:    map[string]*model{},
		queue:     newQueue(),
		grants:    map[requestKey]*grant{},
		holders:   map[string]*holder{},
		prefixes:  newPrefixIndex(config.PrefixEntries),
		strikes:   newStrikeTable(config.StrikeEntries, config.StrikeLife),
	}
}

// SetShare sets the part of each limit that the scheduler may use, between 0
// and 1: a quarter for one that is not the first in its own view.
func (p *Pool) SetShare(now time.Time, share float64) Decisions {
	p.share = min(max(share, 0), 1)
	var d Decisions
	p.schedule(now, nil, &d)
	return d
}

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
	for _, u := range p.upstreams {
		u.present = false
	}
	for i := range records {
		u := p.upstreamFor(records[i].Name, &records[i])
		u.present = true
		u.record = records[i]
		u.maxRequests = records[i].MaxRequests
		orDefault(&u.maxRequests, p.config.MaxRequests)
		u.maxTokens = records[i].MaxTokens
	}
	for _, u := range p.upstreams {
		p.forget(u)
	}
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
	u := &upstream{name: name, index: p.takeIndex()}
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
	if u.present || u.requests > 0 {
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
	for _, u := range p.sortedUpstreams() {
		u.serving = u.serving[:0]
		if !u.present {
			continue
		}
		for _, name := range targets(&u.record) {
			m := p.models[name]
			if m == nil {
				m = &model{name: name}
				p.models[name] = m
			}
			if !u.serves(m) {
				u.serving = append(u.serving, m)
				m.upstreams = append(m.upstreams, u)
			}
		}
	}
	for name, m := range p.models {
		if len(m.upstreams) == 0 {
			delete(p.models, name)
			continue
		}
		m.measure()
	}
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

// Acquire queues a request, or decides it at once. Acquiring a request that
// waits changes nothing. Acquiring one that has a grant returns the grant as
// not dispatched, because the holder would not ask again had it used it.
func (p *Pool) Acquire(now time.Time, request Request) Decisions {
	var d Decisions
	key := requestKey{request.Holder, request.ID}
	if p.queue.byKey[key] != nil {
		return d
	}
	if g := p.grants[key]; g != nil {
		p.end(now, g, Result{Outcome: NotDispatched})
		p.schedule(now, g.upstream, &d)
	}
	m := p.models[request.Work.Model]
	if m == nil || !m.anyOpen() {
		d.refuse(request, errkind.NoUpstream, "no upstream for "+request.Work.Model+" takes new work")
		return d
	}
	if !now.Before(request.Deadline) {
		d.refuse(request, errkind.DeadlineExceeded, "the deadline has passed")
		return d
	}
	if p.baseline != nil {
		p.acquireBaseline(now, request, m, &d)
		return d
	}
	if p.strikes.blocked(request.Work.Fingerprint) {
		d.refuse(request, errkind.PoisonRequest, "requests with this content broke upstreams")
		return d
	}
	w := p.enqueue(now, request, m)
	p.scheduleGroup(now, w.group, m.upstreams, &d)
	p.expire(now, &d)
	p.shed(&d)
	return d
}

func (p *Pool) enqueue(now time.Time, request Request, m *model) *waiting {
	t := p.queue.tierFor(request.Work.Tier)
	w := &waiting{
		request: request,
		key:     requestKey{request.Holder, request.ID},
		tier:    t,
		scope:   m.tierOf(t),
		account: t.accountFor(request.Work.Team, p.config.Weight(request.Work.Team)),
		holder:  p.holderFor(request.Holder),
		tokens:  request.Work.PromptTokens + request.Work.OutputTokens,
	}
	w.group = &w.scope.groups[p.classOf(&request.Work)]
	w.giveUp = request.Deadline.Add(-p.shortest(&request.Work, m))
	p.queue.push(w)
	if p.nextSweep.Before(now) {
		p.nextSweep = now.Add(p.config.SweepInterval)
	}
	return w
}

// shortest is the time to the first token on the fastest idle upstream, with
// the longest prefix that any upstream is believed to hold.
func (p *Pool) shortest(work *Work, m *model) time.Duration {
	p.prefixes.match(work)
	longest := 0
	for _, index := range p.prefixes.touched {
		longest = max(longest, p.prefixes.cached[index])
	}
	return time.Duration(float64(work.PromptTokens-longest) / m.fastest * float64(time.Second))
}

func (p *Pool) classOf(work *Work) class {
	switch {
	case p.strikes.suspect(work.Fingerprint):
		return classSuspect
	case work.PromptTokens >= p.config.LongTokens:
		return classLong
	}
	return classShort
}

func (p *Pool) holderFor(name string) *holder {
	h := p.holders[name]
	if h == nil {
		h = &holder{name: name, grants: map[*grant]struct{}{}}
		p.holders[name] = h
	}
	return h
}

func (p *Pool) dropIdle(h *holder) {
	if h.waiting.Len() == 0 && len(h.grants) == 0 {
		delete(p.holders, h.name)
	}
}

func (p *Pool) dequeue(w *waiting) {
	p.queue.remove(w)
	p.dropIdle(w.holder)
}

// schedule grants what can be granted, highest tier first. With only set, it
// considers that upstream alone, because nothing changed elsewhere.
func (p *Pool) schedule(now time.Time, only *upstream, d *Decisions) {
	p.expire(now, d)
	for _, t := range p.queue.tiers {
		for _, g := range t.groups {
			g.blocked = false
		}
		for g := t.next(); g != nil; g = t.next() {
			p.serve(now, g, p.eligible(g, only), d)
		}
	}
}

// eligible lists the upstreams to consider for a group.
func (p *Pool) eligible(g *group, only *upstream) []*upstream {
	if only == nil {
		return g.model.upstreams
	}
	if !only.serves(g.model) {
		return nil
	}
	p.one[0] = only
	return p.one[:]
}

// scheduleGroup grants what can be granted of one group.
func (p *Pool) scheduleGroup(now time.Time, g *group, upstreams []*upstream, d *Decisions) {
	g.blocked = false
	for !g.blocked && len(g.teams) > 0 {
		p.serve(now, g, upstreams, d)
	}
}

// next returns the group whose first request is furthest behind its share, or
// nil when all are blocked.
func (t *tier) next() *group {
	var best *group
	var lowest float64
	for _, g := range t.groups {
		if g.blocked {
			continue
		}
		if virtual := g.head().account.virtual; best == nil || virtual < lowest {
			best = g
			lowest = virtual
		}
	}
	return best
}

// serve decides the first request of a group: it is granted, refused, parked,
// or else the group is blocked for this pass.
func (p *Pool) serve(now time.Time, g *group, upstreams []*upstream, d *Decisions) {
	if len(upstreams) == 0 {
		g.blocked = true
		return
	}
	w := g.head().items.Front().Value.(*waiting)
	work := &w.request.Work
	p.prefixes.match(work)
	c := p.candidate(now, &w.request)
	if c.suspect && p.strikes.inFlight[work.Fingerprint] > 0 {
		g.blocked = true
		return
	}
	chosen := p.choose(&c, upstreams)
	if chosen.best == nil {
		g.blocked = true
		return
	}
	if !c.inTime(chosen.best, p) && !p.meetable(&c, g.model.upstreams) {
		p.late(w, d)
		return
	}
	p.dequeue(w)
	w.charge(p.need(work, chosen.best))
	p.grant(now, &w.request, g.model, chosen, &c, d)
}

// late handles a request that no upstream is expected to serve in time. It is
// refused before prefill is spent on it; but while a request of a lower tier
// waits, it is kept up to its deadline, so that no tier is refused for
// capacity before a lower one.
func (p *Pool) late(w *waiting, d *Decisions) {
	if p.queue.waitsBelow(w.tier.priority) {
		p.queue.park(w)
		w.giveUp = w.request.Deadline
		heap.Fix(&p.queue.deadlines, w.heapIndex)
		return
	}
	p.refuseWaiting(w, errkind.DeadlineUnmeetable, "the first token is expected after the deadline", d)
}

func (p *Pool) candidate(now time.Time, request *Request) candidate {
	work := &request.Work
	return candidate{
		now:       now.UnixNano(),
		work:      work,
		priority:  work.Tier,
		long:      work.PromptTokens >= p.config.LongTokens,
		suspect:   p.strikes.suspect(work.Fingerprint),
		outranked: p.waitsAbove(work.Tier),
		deadline:  request.Deadline.UnixNano(),
	}
}

// waitsAbove reports whether a request of a higher tier competes.
func (p *Pool) waitsAbove(priority int) bool {
	for _, t := range p.queue.tiers {
		if t.priority <= priority {
			return false
		}
		if len(t.groups) > 0 {
			return true
		}
	}
	return false
}

// grant records a grant and adds it to the decisions.
func (p *Pool) grant(now time.Time, request *Request, m *model, chosen placement, c *candidate, d *Decisions) {
	u := chosen.best
	uncached := p.uncached(&request.Work, u)
	first := u.estimate.first(c.now, uncached)
	g := &grant{
		key:           requestKey{request.Holder, request.ID},
		work:          request.Work,
		upstream:      u,
		use:           m.tierOf(p.queue.tierFor(request.Work.Tier)),
		granted:       now,
		need:          p.need(&request.Work, u),
		long:          c.long,
		suspect:       c.suspect,
		uncached:      uncached,
		expectedFirst: time.Duration(first * float64(time.Second)),
	}
	out := Grant{
		RequestID:      request.ID,
		Holder:         request.Holder,
		Upstream:       u.name,
		Expiry:         now.Add(p.config.GrantValidity),
		UncachedTokens: uncached,
		Reason:         p.reason(c, chosen),
	}
	if chosen.second != nil {
		out.PreferredTo = chosen.second.name
	}
	d.Grants = append(d.Grants, out)
	u.estimate.start(c.now, uncached)
	for _, hash := range request.Work.PrefixHashes {
		p.prefixes.add(u.index, hash)
	}
	p.begin(now, g, request.Holder)
}

// begin adds a grant to all accounts.
func (p *Pool) begin(now time.Time, g *grant, holderName string) {
	p.sequence++
	g.sequence = p.sequence
	g.holder = p.holderFor(holderName)
	g.holder.grants[g] = struct{}{}
	p.grants[g.key] = g
	g.upstream.occupy(g)
	g.use.change(now, g.need, p.config.ReserveDecay)
	p.strikes.start(g.work.Fingerprint)
}

// end takes a grant out of all accounts and learns from its result.
func (p *Pool) end(now time.Time, g *grant, result Result) {
	u := g.upstream
	u.vacate(g)
	g.use.change(now, -g.need, p.config.ReserveDecay)
	p.strikes.end(g.work.Fingerprint)
	delete(p.grants, g.key)
	delete(g.holder.grants, g)
	p.dropIdle(g.holder)
	switch result.Outcome {
	case Completed:
		p.completed(g, result)
	case NotDispatched, DialFailed:
		p.notDispatched(now, g, result.Outcome)
	case UpstreamBroken:
		p.broke(now, u, g)
	case UpstreamRefused:
		u.estimate.undo(g.uncached)
		u.avoid(now)
	case Cancelled:
	}
	p.forget(u)
}

func (p *Pool) completed(g *grant, result Result) {
	u := g.upstream
	u.backoff = 0
	if !g.foreign {
		u.estimate.observe(g, result)
	}
	p.prefixes.learn(u.index, &g.work, result.CachedTokens, true)
	p.strikes.complete(g.work.Fingerprint)
}

func (p *Pool) notDispatched(now time.Time, g *grant, outcome Outcome) {
	u := g.upstream
	u.estimate.undo(g.uncached)
	p.prefixes.learn(u.index, &g.work, g.work.PromptTokens-g.uncached, false)
	if g.struck {
		// It never reached the upstream that broke.
		p.strikes.add(now, g.work.Fingerprint, -1)
	}
	if outcome == DialFailed {
		u.avoid(now)
	}
}

// broke handles a crash of an upstream: each fingerprint in flight there gets
// one strike per crash. Later reports of the same crash, which come from the
// other requests that were in flight, find their grants marked.
func (p *Pool) broke(now time.Time, u *upstream, reporter *grant) {
	p.prefixes.reset(u.index)
	u.estimate.backlogUntil = 0
	if u.avoidUntil <= now.UnixNano() {
		u.avoid(now)
	}
	if reporter != nil && reporter.broken {
		return
	}
	struck := map[uint64]bool{}
	if reporter != nil {
		struck[reporter.work.Fingerprint] = true
		p.strikes.add(now, reporter.work.Fingerprint, 1)
	}
	for _, g := range u.grants {
		if g.broken {
			continue
		}
		g.broken = true
		if !struck[g.work.Fingerprint] {
			struck[g.work.Fingerprint] = true
			g.struck = true
			p.strikes.add(now, g.work.Fingerprint, 1)
		}
	}
}

// reclassify moves waiting requests whose fingerprint has become a suspect,
// and refuses those whose fingerprint is blocked.
func (p *Pool) reclassify(d *Decisions) {
	for _, w := range p.waitingInOrder() {
		work := &w.request.Work
		if p.strikes.blocked(work.Fingerprint) {
			p.refuseWaiting(w, errkind.PoisonRequest, "requests with this content broke upstreams", d)
			continue
		}
		if target := &w.scope.groups[p.classOf(work)]; target != w.group && !w.parked {
			p.queue.park(w)
			w.group = target
			p.queue.compete(w)
		}
	}
}

// Cancel removes a waiting request, or ends its grant as not dispatched.
func (p *Pool) Cancel(now time.Time, holderName, requestID string) Decisions {
	var d Decisions
	key := requestKey{holderName, requestID}
	if w := p.queue.byKey[key]; w != nil {
		p.dequeue(w)
		p.schedule(now, nil, &d)
		return d
	}
	if g := p.grants[key]; g != nil {
		p.end(now, g, Result{Outcome: NotDispatched})
		p.schedule(now, g.upstream, &d)
	}
	return d
}

// Release ends a grant. A release of an unknown grant changes nothing.
func (p *Pool) Release(now time.Time, result Result) Decisions {
	var d Decisions
	g := p.grants[requestKey{result.Holder, result.RequestID}]
	if g == nil {
		return d
	}
	p.end(now, g, result)
	if result.Outcome == UpstreamBroken {
		p.reclassify(&d)
	}
	p.schedule(now, g.upstream, &d)
	return d
}

// AddHoldings accounts for grants that another scheduler made. They may exceed
// the limits, because they exist already. Holdings on upstreams that are not in
// force are ignored: nothing new is placed there.
func (p *Pool) AddHoldings(now time.Time, holderName string, holdings []Holding) Decisions {
	for i := range holdings {
		h := &holdings[i]
		key := requestKey{holderName, h.RequestID}
		u := p.upstreams[h.Upstream]
		m := p.models[h.Work.Model]
		if u == nil || m == nil || p.grants[key] != nil || p.queue.byKey[key] != nil {
			continue
		}
		p.begin(now, &grant{
			key:      key,
			work:     h.Work,
			upstream: u,
			use:      m.tierOf(p.queue.tierFor(h.Work.Tier)),
			granted:  now,
			need:     h.Work.PromptTokens + h.Work.OutputTokens,
			long:     h.Work.PromptTokens >= p.config.LongTokens,
			suspect:  p.strikes.suspect(h.Work.Fingerprint),
			foreign:  true,
		}, holderName)
		for _, hash := range h.Work.PrefixHashes {
			p.prefixes.add(u.index, hash)
		}
	}
	return Decisions{}
}

// DropHolder forgets a holder whose session lease has ended. Its waiting
// requests are dropped without a decision, because nobody would receive it.
func (p *Pool) DropHolder(now time.Time, holderName string) Decisions {
	var d Decisions
	h := p.holders[holderName]
	if h == nil {
		return d
	}
	for h.waiting.Len() > 0 {
		p.dequeue(h.waiting.Front().Value.(*waiting))
	}
	for _, g := range h.inOrder() {
		p.end(now, g, Result{Outcome: Cancelled})
	}
	p.schedule(now, nil, &d)
	return d
}

// inOrder lists the grants in the order in which they were made.
func (h *holder) inOrder() []*grant {
	grants := make([]*grant, 0, len(h.grants))
	for g := range h.grants {
		grants = append(grants, g)
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].sequence < grants[j].sequence })
	return grants
}

// ReportLoad applies an upstream's load report. Reports lag, so they only add
// to our own accounts, and an older report never replaces a newer one.
func (p *Pool) ReportLoad(now time.Time, name string, load Load) Decisions {
	var d Decisions
	u := p.upstreams[name]
	if u == nil || load.ReportedAt.Before(u.load.ReportedAt) {
		return d
	}
	if u.incarnation != "" && load.Incarnation != u.incarnation {
		p.restarted(now, u, &d)
	}
	u.incarnation = load.Incarnation
	u.load = load
	u.lastReport = now
	u.foreign = max(0, load.Running+load.Waiting-u.peak)
	u.foreignUntil = now.Add(foreignLife)
	u.peak = u.requests
	if u.leaving != load.Leaving {
		u.leaving = load.Leaving
		for _, m := range u.serving {
			m.measure()
		}
		p.refuseStranded(&d)
	}
	p.schedule(now, u, &d)
	return d
}

// restarted handles a new incarnation: what was granted before the last report
// of the old one was in flight when the upstream ended. Later grants may have
// been dispatched to the new incarnation.
func (p *Pool) restarted(now time.Time, u *upstream, d *Decisions) {
	p.prefixes.reset(u.index)
	u.estimate.backlogUntil = 0
	u.avoidUntil = 0
	u.backoff = 0
	struck := map[uint64]bool{}
	for _, g := range u.grants {
		if g.broken || !g.granted.Before(u.lastReport) {
			continue
		}
		g.broken = true
		if !struck[g.work.Fingerprint] {
			struck[g.work.Fingerprint] = true
			g.struck = true
			p.strikes.add(now, g.work.Fingerprint, 1)
		}
	}
	if len(struck) > 0 {
		p.reclassify(d)
	}
}

// ReportCache applies a cache event.
func (p *Pool) ReportCache(_ time.Time, name string, stored, removed []uint64) {
	u := p.upstreams[name]
	if u == nil {
		return
	}
	for _, hash := range removed {
		p.prefixes.remove(u.index, hash)
	}
	for _, hash := range stored {
		p.prefixes.add(u.index, hash)
	}
}

// AddStrikes applies strikes reported by another scheduler. Counts are merged
// by the maximum, because the same crash may be reported along several ways.
func (p *Pool) AddStrikes(now time.Time, strikes map[uint64]int) {
	for fingerprint, count := range strikes {
		if known := p.strikes.count(fingerprint); count > known {
			p.strikes.add(now, fingerprint, count-known)
		}
	}
	var d Decisions
	p.reclassify(&d)
	p.pending = append(p.pending, d.Refusals...)
}

// Strikes returns the strikes in force.
func (p *Pool) Strikes() map[uint64]int {
	out := make(map[uint64]int, len(p.strikes.entries))
	for fingerprint, entry := range p.strikes.entries {
		out[fingerprint] = entry.count
	}
	return out
}

// Tick expires deadlines, and grants what the passing of time allows.
func (p *Pool) Tick(now time.Time) Decisions {
	var d Decisions
	d.Refusals = append(d.Refusals, p.pending...)
	p.pending = nil
	p.strikes.expire(now)
	for _, m := range p.models {
		m.measure()
		for _, mt := range m.tiers {
			mt.settle(now, p.config.ReserveDecay)
		}
	}
	for _, u := range p.byIndex {
		if u != nil && u.foreign > 0 && now.After(u.foreignUntil) {
			u.foreign = 0
		}
	}
	p.schedule(now, nil, &d)
	p.nextSweep = now.Add(p.config.SweepInterval)
	return d
}

// NextTick tells when Tick is due; the zero time means not before another call.
func (p *Pool) NextTick() time.Time {
	if len(p.pending) > 0 {
		return time.Unix(0, 0)
	}
	if p.queue.len() == 0 {
		return time.Time{}
	}
	if first := p.queue.deadlines[0].giveUp; first.Before(p.nextSweep) {
		return first
	}
	return p.nextSweep
}
