package sched

import (
	"container/list"
	"sort"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/poison"
)

// Pool implements Scheduler for one pool of upstreams.
type Pool struct {
	config         Config
	baselinePolicy baselinePolicy
	filters        []filter
	scores         []score
	// limitShare is the share of each upstream limit that this scheduler may
	// use.
	limitShare float64

	upstreams map[string]*upstream
	// upstreamByIndex maps the index used by the prefix index to the upstream.
	upstreamByIndex []*upstream
	freeIndexes     []int32
	models          map[string]*model

	queue    queue
	grants   map[requestKey]*grant
	holders  map[string]*holder
	prefixes prefixIndex
	strikes  strikeTable
	// poison finds prompt prefixes that crash upstreams, which strikes by content do not
	// show if no two of the requests are copies.
	poison *poison.Detector
	// pendingPrefixes tracks prefixes whose prefill is expected to be in
	// progress; deferred lists the requests that wait for one of them.
	pendingPrefixes pendingPrefixes
	deferred        []*queuedRequest
	poolTrend       PoolTrend

	// pendingRefusals holds the refusals decided by AddStrikes, which returns
	// no decisions; the next Tick returns them.
	pendingRefusals []Refusal

	grantSequence  uint64
	rotation       int
	nextTick       time.Time
	usableScratch  []*upstream
	singleUpstream [1]*upstream
	// decision numbers the placement decisions; a modelSet caches values for
	// one decision.
	decision uint64
}

var _ Scheduler = (*Pool)(nil)

// holder is the session of an entry with this scheduler, with the requests that
// wait and the grants that were issued in it.
type holder struct {
	name    string
	waiting list.List
	grants  map[*grant]struct{}
}

// New returns a pool without upstreams.
func New(config Config) *Pool {
	config = config.withDefaults()
	return &Pool{
		config:          config,
		baselinePolicy:  baselinePolicies[config.Policy],
		filters:         filters(),
		scores:          scores(),
		limitShare:      1,
		upstreams:       map[string]*upstream{},
		models:          map[string]*model{},
		queue:           newQueue(),
		grants:          map[requestKey]*grant{},
		holders:         map[string]*holder{},
		prefixes:        newPrefixIndex(config.MaxPrefixesPerUpstream),
		pendingPrefixes: pendingPrefixes{byHash: map[uint64]pendingPrefix{}},
		strikes:         newStrikeTable(config.MaxStrikes, config.StrikeTTL),
		poison:          newPrefixDetector(),
	}
}

// SetLimitShare sets the share of each upstream limit that the scheduler may
// use, from 0 to 1. A share below 1 leaves room for the grants of other
// schedulers on the same upstreams.
func (p *Pool) SetLimitShare(now time.Time, limitShare float64) Decisions {
	p.limitShare = min(max(limitShare, 0), 1)
	var d Decisions
	p.schedule(now, nil, &d)
	return d
}

// Acquire queues a request, or decides it at once. It ignores a request that
// already waits. A grant that the request already has is ended as not
// dispatched, because a holder that used its grant would not ask again.
func (p *Pool) Acquire(now time.Time, request Request) Decisions {
	var d Decisions
	key := requestKey{request.Holder, request.ID}
	if p.queue.byKey[key] != nil {
		return d
	}
	previous := p.grants[key]
	if previous != nil {
		p.endGrant(now, previous, Result{Outcome: NotDispatched})
	}
	p.admit(now, key, request, &d)
	if previous != nil {
		// Capacity freed by the previous grant is offered only now, so that the
		// request competes for it according to its tier.
		p.schedule(now, previous.upstream, &d)
	}
	return d
}

// admit refuses a request that cannot be served, and queues every other one.
func (p *Pool) admit(now time.Time, key requestKey, request Request, d *Decisions) {
	m := p.models[request.Work.Model]
	if m == nil || !m.hasEligible() {
		d.refuse(request, errkind.NoUpstream, "no upstream that serves "+request.Work.Model+" accepts new requests")
		return
	}
	if !now.Before(request.Deadline) {
		d.refuse(request, errkind.DeadlineExceeded, "the deadline has passed")
		return
	}
	if p.baselinePolicy != nil {
		p.acquireBaseline(now, request, m, d)
		return
	}
	if p.strikes.isBlocked(request.Work.Fingerprint) {
		d.refuse(request, errkind.PoisonRequest, "requests with this content crashed upstreams")
		return
	}
	if p.prefixBlocked(now, &request.Work) {
		d.refuse(request, errkind.PoisonRequest, prefixBlockedReason)
		return
	}
	w := p.enqueue(now, key, request, m)
	p.scheduleGroup(now, w.group, m.upstreams, d)
	p.refuseExpired(now, d)
	p.shedExcess(d)
}

func (p *Pool) enqueue(now time.Time, key requestKey, request Request, m *model) *queuedRequest {
	queueTier := p.queue.tierFor(request.Work.Tier)
	w := &queuedRequest{
		request:   request,
		key:       key,
		tier:      queueTier,
		modelTier: m.tierFor(queueTier),
		flow:      queueTier.flowFor(request.Work.Team, p.config.Weight(request.Work.Team)),
		holder:    p.holderFor(request.Holder),
		tokens:    request.Work.PromptTokens + request.Work.OutputTokens,
	}
	w.group = p.groupFor(w)
	w.expiresAt = request.Deadline.Add(-p.minFirstTokenTime(&w.request.Work, m))
	w.overloadAt = now.Add(time.Duration(overloadWaitShare * float64(w.expiresAt.Sub(now))))
	p.queue.push(w)
	if p.nextTick.Before(now) {
		p.nextTick = now.Add(p.config.TickInterval)
	}
	return w
}

// minFirstTokenTime returns the time to the first token on the fastest idle
// upstream, given the longest prefix that any upstream is believed to have
// cached.
func (p *Pool) minFirstTokenTime(work *Work, m *model) time.Duration {
	p.prefixes.match(work)
	maxCached := 0
	for _, index := range p.prefixes.matchedUpstreams {
		maxCached = max(maxCached, p.prefixes.cached[index])
	}
	return time.Duration(float64(work.PromptTokens-maxCached) / m.maxPrefillRate * float64(time.Second))
}

func (p *Pool) classify(work *Work) requestClass {
	switch {
	case p.strikes.isSuspect(work.Fingerprint):
		return classSuspect
	case p.strikes.atCopyLimit(work.Fingerprint):
		return classCopy
	case work.PromptTokens >= p.config.LongPromptTokens:
		return classLongPrompt
	}
	return classNormal
}

// groupFor returns the group to which the request currently belongs.
func (p *Pool) groupFor(w *queuedRequest) *group {
	work := &w.request.Work
	if class := p.classify(work); class != classCopy {
		return &w.modelTier.groups[class]
	}
	return w.modelTier.copyGroup(work.Fingerprint, w.modelTier.groups[classNormal].model)
}

// updateGroup moves a request to the group to which it currently belongs, and
// reports whether the group changed.
func (p *Pool) updateGroup(w *queuedRequest) bool {
	target := p.groupFor(w)
	if target == w.group {
		return false
	}
	p.queue.leaveGroup(w)
	w.group = target
	p.queue.enterGroup(w)
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

func (p *Pool) removeHolderIfIdle(h *holder) {
	if h.waiting.Len() == 0 && len(h.grants) == 0 {
		delete(p.holders, h.name)
	}
}

func (p *Pool) dequeue(w *queuedRequest) {
	p.removeDeferred(w)
	p.queue.remove(w)
	p.removeHolderIfIdle(w.holder)
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
		p.endGrant(now, g, Result{Outcome: NotDispatched})
		p.schedule(now, g.upstream, &d)
	}
	return d
}

// Release ends a grant. Unknown grants are ignored.
func (p *Pool) Release(now time.Time, result Result) Decisions {
	var d Decisions
	g := p.grants[requestKey{result.Holder, result.RequestID}]
	if g == nil {
		return d
	}
	p.endGrant(now, g, result)
	if result.Outcome == UpstreamBroken {
		p.reclassifyQueued(now, &d)
	}
	p.schedule(now, g.upstream, &d)
	return d
}

// AddHoldings restores grants that another scheduler issued and that an entry
// reports when it opens a session here. They may exceed the limits, because
// their requests may be running already. Grants for unknown upstreams or models
// are ignored, because these get no new requests.
func (p *Pool) AddHoldings(now time.Time, holderName string, holdings []Holding) Decisions {
	for i := range holdings {
		h := &holdings[i]
		key := requestKey{holderName, h.RequestID}
		u := p.upstreams[h.Upstream]
		m := p.models[h.Work.Model]
		if u == nil || m == nil || p.grants[key] != nil || p.queue.byKey[key] != nil {
			continue
		}
		p.startGrant(now, &grant{
			key:        key,
			work:       h.Work,
			upstream:   u,
			modelTier:  m.tierFor(p.queue.tierFor(h.Work.Tier)),
			granted:    now,
			tokens:     h.Work.PromptTokens + h.Work.OutputTokens,
			longPrompt: h.Work.PromptTokens >= p.config.LongPromptTokens,
			suspect:    p.strikes.isSuspect(h.Work.Fingerprint),
			restored:   true,
		}, holderName)
		for _, hash := range h.Work.PrefixHashes {
			p.prefixes.add(u.index, hash)
		}
	}
	return Decisions{}
}

// DropHolder removes a holder whose session lease has expired. Its waiting
// requests are removed without a decision, since no session is left to receive
// it.
func (p *Pool) DropHolder(now time.Time, holderName string) Decisions {
	var d Decisions
	h := p.holders[holderName]
	if h == nil {
		return d
	}
	for h.waiting.Len() > 0 {
		p.dequeue(h.waiting.Front().Value.(*queuedRequest))
	}
	for _, g := range h.grantsInOrder() {
		p.endGrant(now, g, Result{Outcome: Cancelled})
	}
	p.schedule(now, nil, &d)
	return d
}

// grantsInOrder lists the holder's grants in the order in which they were
// issued.
func (h *holder) grantsInOrder() []*grant {
	grants := make([]*grant, 0, len(h.grants))
	for g := range h.grants {
		grants = append(grants, g)
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].sequence < grants[j].sequence })
	return grants
}

// ReportLoad applies a load report. Because reports lag, they can only add
// requests to the pool's own counts, and an older report never replaces a newer
// one.
func (p *Pool) ReportLoad(now time.Time, upstreamName string, load Load) Decisions {
	var d Decisions
	u := p.upstreams[upstreamName]
	if u == nil || load.ReportedAt.Before(u.load.ReportedAt) {
		return d
	}
	if u.incarnation != "" && load.Incarnation != u.incarnation {
		p.handleRestart(now, u, &d)
	}
	if now.Sub(u.crashedAt) > maxReportDelay {
		u.crashedAt = time.Time{}
	}
	u.incarnation = load.Incarnation
	u.load = load
	if !u.lastReport.IsZero() {
		u.reportInterval = now.Sub(u.lastReport)
	}
	u.lastReport = now
	u.externalRequests = max(0, load.Running+load.Waiting-u.recentPeak.highest(now))
	u.congestedUntil = now.Add(congestionTTL).UnixNano()
	u.externalUntil = now.Add(externalRequestsTTL)
	if u.lifecycle.setLeaving(load.Leaving) {
		for _, m := range u.modelSet.models {
			m.updateCapacity()
		}
		p.refuseUnserved(&d)
	}
	p.schedule(now, u, &d)
	return d
}

// ReportCache applies a cache event.
func (p *Pool) ReportCache(_ time.Time, upstreamName string, stored, removed []uint64) {
	u := p.upstreams[upstreamName]
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

// Tick refuses requests whose deadline can no longer be met, removes crash
// strikes and numbers of external requests that are too old, and tries to place
// the waiting requests.
func (p *Pool) Tick(now time.Time) Decisions {
	var d Decisions
	d.Refusals = append(d.Refusals, p.pendingRefusals...)
	p.pendingRefusals = nil
	p.strikes.expire(now)
	p.pendingPrefixes.expire(now.UnixNano())
	for _, m := range p.models {
		m.updateCapacity()
		for _, mt := range m.tiers {
			mt.decayPeak(now, p.config.ReservationDecay)
		}
	}
	for _, u := range p.upstreamByIndex {
		if u != nil && u.externalRequests > 0 && now.After(u.externalUntil) {
			u.externalRequests = 0
		}
	}
	p.schedule(now, nil, &d)
	p.nextTick = now.Add(p.config.TickInterval)
	return d
}

// NextTick returns when Tick is due; the zero time means that no tick is needed
// until another method is called.
func (p *Pool) NextTick() time.Time {
	if len(p.pendingRefusals) > 0 {
		return time.Unix(0, 0)
	}
	if p.queue.len() == 0 {
		// Strikes must expire in an idle pool, too: otherwise the next request
		// could be refused because of them, and they would still be reported to
		// other schedulers.
		return p.strikes.nextExpiry
	}
	due := p.nextTick
	if expiry := p.queue.expiries[0].expiresAt; expiry.Before(due) {
		due = expiry
	}
	if resumeAt := p.nextDeferredUntil(); resumeAt > 0 && resumeAt < due.UnixNano() {
		due = time.Unix(0, resumeAt)
	}
	return due
}
