package sched

import (
	"container/list"
	"sort"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
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
	// prefilling and held make requests wait for prefixes in the making.
	prefilling prefilling
	held       []*waiting
	common     Common

	// pending holds refusals that were decided by a call that returns none.
	pending []Refusal

	sequence  uint64
	turn      int
	nextSweep time.Time
	scratch   []*upstream
	one       [1]*upstream
	// decision counts decisions; what a servingSet computed is valid for one.
	decision uint64
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
		config:     config,
		baseline:   baselines[config.Policy],
		filters:    filters(),
		scores:     scores(),
		share:      1,
		upstreams:  map[string]*upstream{},
		models:     map[string]*model{},
		queue:      newQueue(),
		grants:     map[requestKey]*grant{},
		holders:    map[string]*holder{},
		prefixes:   newPrefixIndex(config.PrefixEntries),
		prefilling: prefilling{byHash: map[uint64]pendingPrefix{}},
		strikes:    newStrikeTable(config.StrikeEntries, config.StrikeLife),
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

// Acquire queues a request, or decides it at once. Acquiring a request that
// waits changes nothing. Acquiring one that has a grant returns the grant as
// not dispatched, because the holder would not ask again had it used it.
func (p *Pool) Acquire(now time.Time, request Request) Decisions {
	var d Decisions
	key := requestKey{request.Holder, request.ID}
	if p.queue.byKey[key] != nil {
		return d
	}
	returned := p.grants[key]
	if returned != nil {
		p.end(now, returned, Result{Outcome: NotDispatched})
	}
	p.admit(now, key, request, &d)
	if returned != nil {
		// What it gave back is offered only now, so that the request itself
		// competes for it by its tier.
		p.schedule(now, returned.upstream, &d)
	}
	return d
}

// admit refuses a request that cannot be served, and queues any other.
func (p *Pool) admit(now time.Time, key requestKey, request Request, d *Decisions) {
	m := p.models[request.Work.Model]
	if m == nil || !m.anyOpen() {
		d.refuse(request, errkind.NoUpstream, "no upstream for "+request.Work.Model+" takes new work")
		return
	}
	if !now.Before(request.Deadline) {
		d.refuse(request, errkind.DeadlineExceeded, "the deadline has passed")
		return
	}
	if p.baseline != nil {
		p.acquireBaseline(now, request, m, d)
		return
	}
	if p.strikes.blocked(request.Work.Fingerprint) {
		d.refuse(request, errkind.PoisonRequest, "requests with this content broke upstreams")
		return
	}
	w := p.enqueue(now, key, request, m)
	p.scheduleGroup(now, w.group, m.upstreams, d)
	p.expire(now, d)
	p.shed(d)
}

func (p *Pool) enqueue(now time.Time, key requestKey, request Request, m *model) *waiting {
	t := p.queue.tierFor(request.Work.Tier)
	w := &waiting{
		request: request,
		key:     key,
		tier:    t,
		scope:   m.tierOf(t),
		account: t.accountFor(request.Work.Team, p.config.Weight(request.Work.Team)),
		holder:  p.holderFor(request.Holder),
		tokens:  request.Work.PromptTokens + request.Work.OutputTokens,
	}
	w.group = p.groupFor(w)
	w.giveUp = request.Deadline.Add(-p.shortest(&w.request.Work, m))
	w.stale = now.Add(time.Duration(patience * float64(w.giveUp.Sub(now))))
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
	case p.strikes.confined(work.Fingerprint):
		return classCopy
	case work.PromptTokens >= p.config.LongTokens:
		return classLong
	}
	return classShort
}

// groupFor returns the group in which the request competes at present.
func (p *Pool) groupFor(w *waiting) *group {
	work := &w.request.Work
	if c := p.classOf(work); c != classCopy {
		return &w.scope.groups[c]
	}
	return w.scope.copyGroup(work.Fingerprint, w.scope.groups[classShort].model)
}

// regroup moves a competing request to the group in which it belongs at
// present, and reports whether that is another one.
func (p *Pool) regroup(w *waiting) bool {
	target := p.groupFor(w)
	if target == w.group {
		return false
	}
	p.queue.park(w)
	w.group = target
	p.queue.compete(w)
	return true
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
	p.unhold(w)
	p.queue.remove(w)
	p.dropIdle(w.holder)
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
	if now.Sub(u.brokenAt) > reportDelay {
		u.brokenAt = time.Time{}
	}
	u.incarnation = load.Incarnation
	u.load = load
	if !u.lastReport.IsZero() {
		u.reportInterval = now.Sub(u.lastReport)
	}
	u.lastReport = now
	u.foreign = max(0, load.Running+load.Waiting-u.recent.highest(now))
	u.congestedUntil = now.Add(congestedLife).UnixNano()
	u.foreignUntil = now.Add(foreignLife)
	if u.life.report(load.Leaving) {
		for _, m := range u.serving.models {
			m.measure()
		}
		p.refuseStranded(&d)
	}
	p.schedule(now, u, &d)
	return d
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

// Tick expires deadlines, and grants what the passing of time allows.
func (p *Pool) Tick(now time.Time) Decisions {
	var d Decisions
	d.Refusals = append(d.Refusals, p.pending...)
	p.pending = nil
	p.strikes.expire(now)
	p.prefilling.expire(now.UnixNano())
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
		// Strikes expire on time in an idle pool, too: the next request must
		// not be refused for them, nor other schedulers be told of them.
		return p.strikes.due
	}
	due := p.nextSweep
	if first := p.queue.deadlines[0].giveUp; first.Before(due) {
		due = first
	}
	if next := p.nextResume(); next > 0 && next < due.UnixNano() {
		due = time.Unix(0, next)
	}
	return due
}
