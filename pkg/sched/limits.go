package sched

import (
	"slices"
	"sort"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// backoffs after an upstream broke or could not be dialled.
const (
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 10 * time.Second
)

// foreignLife is the time for which a load report's surplus over our own
// accounts is believed.
const foreignLife = 10 * time.Second

// congestedLife is the time for which a reported queue is believed.
const congestedLife = 2 * time.Second

// upstream is what the pool keeps about one upstream.
type upstream struct {
	// What the plugins read comes first, so that it shares cache lines.

	// life stays until the last grant has ended.
	life    life
	index   int32
	serving *servingSet

	maxRequests int
	maxTokens   int
	requests    int
	tokens      int
	longTokens  int
	longs       int
	suspects    int
	// foreign is the number of requests that the upstream reported beyond our
	// own accounts.
	foreign    int
	backoff    time.Duration
	avoidUntil int64
	// brokenAt is when requests broke on an upstream that reports its load; it
	// is zero again once a report shows that the upstream answers.
	brokenAt time.Time
	// congestedUntil is when a reported queue is no longer believed.
	congestedUntil int64
	estimate       estimate
	detector       slowness

	name         string
	record       record.Upstream
	grants       []*grant
	foreignUntil time.Time
	recent       recentPeak
	load         Load
	incarnation  string
	// lastReport is when the last report of the incarnation arrived.
	lastReport time.Time
	// reportInterval is the time between the last two reports.
	reportInterval time.Duration
}

// peakSeconds is the time for which peaks of the own count are kept. A load
// report that lags by less is never mistaken for requests of others.
const peakSeconds = 16

// recentPeak keeps the highest value of each of the last seconds.
type recentPeak struct {
	peaks  [peakSeconds]int32
	second int64
	value  int32
}

func (r *recentPeak) set(now time.Time, value int) {
	r.advance(now)
	r.value = int32(value)
	slot := &r.peaks[r.second%peakSeconds]
	*slot = max(*slot, r.value)
}

func (r *recentPeak) advance(now time.Time) {
	second := now.Unix()
	for r.second = max(r.second, second-peakSeconds); r.second < second; {
		r.second++
		r.peaks[r.second%peakSeconds] = r.value
	}
}

func (r *recentPeak) highest(now time.Time) int {
	r.advance(now)
	return int(slices.Max(r.peaks[:]))
}

// grant is a request that an upstream may be running. It counts against the
// limits until its holder releases it, cancels it or is dropped, because the
// protocol has no message that tells whether a grant was used: an expired
// grant may have been dispatched just before its expiry. Expiry binds only the
// holder, which must not dispatch after it.
type grant struct {
	key      requestKey
	sequence uint64
	work     Work
	upstream *upstream
	holder   *holder
	use      *modelTier
	// position is the index in upstream.grants.
	position int
	granted  time.Time
	need     int
	long     bool
	suspect  bool
	// foreign marks a grant made by another scheduler.
	foreign bool
	// broken is set once a crash of the upstream is on the account of this
	// grant; blame is the strike for it, unless the fingerprint's part in the
	// crash is certain.
	broken bool
	blame  *blame

	expectedFirst time.Duration
	uncached      int
	// promised is the number of tokens that the index took for cached.
	promised int
}

// model is what upstreams have in common that a request can ask for: a model,
// a model version or a service.
type model struct {
	name      string
	upstreams []*upstream
	// tiers is sorted by descending priority.
	tiers []*modelTier
	// capacity is the sum of the token limits of the open upstreams.
	capacity int
	// fastest is the highest prefill rate among the open upstreams.
	fastest float64
}

// modelTier is what belongs to one tier of one model: the requests that wait,
// and the tokens in flight with their recent peak.
type modelTier struct {
	tier   *tier
	groups [classCopy]group
	// copies holds a group for each fingerprint of which copies wait because
	// it may not run on more upstreams.
	copies  map[uint64]*group
	waiting int
	current int
	peak    float64
	at      time.Time
}

// servingSet is the set of models that an upstream serves. Upstreams with the
// same models share it, so that what a decision needs to know about the models
// is computed once for all of them.
type servingSet struct {
	models []*model
	// decision is the one for which reserved and outranked hold.
	decision uint64
	// reserved is the share of tokens kept free for higher tiers.
	reserved float64
	// outranked is set when a request of a higher tier waits for the models.
	outranked bool
}

// prepare computes what holds for all upstreams of the set.
func (s *servingSet) prepare(decision uint64, priority int) {
	if s.decision == decision {
		return
	}
	s.decision = decision
	s.reserved = 0
	s.outranked = false
	for _, m := range s.models {
		s.reserved += m.reservedShare(priority)
		s.outranked = s.outranked || m.waitsAbove(priority)
	}
	s.reserved = min(1, s.reserved)
}

// waitsAbove reports whether a request of a higher tier waits for the model.
func (m *model) waitsAbove(priority int) bool {
	for _, mt := range m.tiers {
		if mt.tier.priority <= priority {
			return false
		}
		if mt.waiting > 0 {
			return true
		}
	}
	return false
}

// open reports whether the upstream may get new work.
func (u *upstream) open() bool { return u.life.eligible }

func (u *upstream) serves(m *model) bool {
	for _, other := range u.serving.models {
		if other == m {
			return true
		}
	}
	return false
}

// fits reports whether limits leave room for need tokens. A request larger
// than what is left by the limit and the reservation may run alone.
func (u *upstream) fits(share float64, reserved, need int, long bool, longShare float64) bool {
	if u.requests+u.foreign+1 > max(1, int(share*float64(u.maxRequests))) {
		return false
	}
	if u.maxTokens == 0 || u.requests == 0 {
		return true
	}
	limit := int(share * float64(u.maxTokens))
	if u.tokens+need > limit-reserved {
		return false
	}
	return !long || u.fitsLong(share, need, longShare)
}

// fitsLong reports whether the share of long reads leaves room; one long read
// may always run.
func (u *upstream) fitsLong(share float64, need int, longShare float64) bool {
	if u.longs == 0 {
		return true
	}
	return float64(u.longTokens+need) <= longShare*share*float64(u.maxTokens)
}

// occupy adds a grant to the accounts.
func (u *upstream) occupy(now time.Time, g *grant) {
	u.requests++
	u.tokens += g.need
	u.recent.set(now, u.requests)
	if g.long {
		u.longs++
		u.longTokens += g.need
	}
	if g.suspect {
		u.suspects++
	}
	g.position = len(u.grants)
	u.grants = append(u.grants, g)
}

// vacate removes a grant from the accounts.
func (u *upstream) vacate(now time.Time, g *grant) {
	u.requests--
	u.recent.set(now, u.requests)
	u.tokens -= g.need
	if g.long {
		u.longs--
		u.longTokens -= g.need
	}
	if g.suspect {
		u.suspects--
	}
	last := u.grants[len(u.grants)-1]
	u.grants[g.position] = last
	last.position = g.position
	u.grants[len(u.grants)-1] = nil
	u.grants = u.grants[:len(u.grants)-1]
}

// avoid keeps new work away for a while that doubles with each failure.
func (u *upstream) avoid(now time.Time) {
	u.backoff = min(max(2*u.backoff, firstBackoff), lastBackoff)
	u.avoidUntil = now.Add(u.backoff).UnixNano()
}

// tierOf returns what belongs to a tier, which it creates when it is new.
func (m *model) tierOf(t *tier) *modelTier {
	at := sort.Search(len(m.tiers), func(i int) bool { return m.tiers[i].tier.priority <= t.priority })
	if at < len(m.tiers) && m.tiers[at].tier == t {
		return m.tiers[at]
	}
	created := &modelTier{tier: t}
	for i := range created.groups {
		created.groups[i] = group{class: class(i), model: m}
	}
	m.tiers = append(m.tiers, nil)
	copy(m.tiers[at+1:], m.tiers[at:])
	m.tiers[at] = created
	return created
}

// copyGroup returns the group of copies of a fingerprint, which it creates when
// it is new. The queue drops it when it is empty.
func (mt *modelTier) copyGroup(fingerprint uint64, m *model) *group {
	if mt.copies == nil {
		mt.copies = map[uint64]*group{}
	}
	if mt.copies[fingerprint] == nil {
		mt.copies[fingerprint] = &group{class: classCopy, model: m, fingerprint: fingerprint}
	}
	return mt.copies[fingerprint]
}

// change applies a difference to the tokens in flight.
func (mt *modelTier) change(now time.Time, tokens int, decay time.Duration) {
	mt.settle(now, decay)
	mt.current += tokens
	mt.peak = max(mt.peak, float64(mt.current))
}

// settle lets the remembered peak fall exponentially to the current use.
func (mt *modelTier) settle(now time.Time, decay time.Duration) {
	elapsed := now.Sub(mt.at)
	mt.at = now
	if elapsed <= 0 || mt.peak == 0 {
		return
	}
	excess := mt.peak - float64(mt.current)
	mt.peak -= excess * min(1, float64(elapsed)/float64(decay))
}

// reservedShare is the share of each upstream's tokens that tiers above the
// given one used recently and do not use now.
func (m *model) reservedShare(priority int) float64 {
	if m.capacity == 0 {
		return 0
	}
	missing := 0.0
	for _, mt := range m.tiers {
		if mt.tier.priority <= priority {
			break
		}
		missing += max(0, mt.peak-float64(mt.current))
	}
	return min(1, missing/float64(m.capacity))
}
