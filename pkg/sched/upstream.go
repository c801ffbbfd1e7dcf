package sched

import (
	"slices"
	"sort"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// Bounds of the backoff after an upstream failed.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// externalRequestsTTL is the time for which the number of external requests
// derived from a load report is used.
const externalRequestsTTL = 10 * time.Second

// congestionTTL is the time for which a queue length from a load report is
// used.
const congestionTTL = 2 * time.Second

// upstream is the pool's state of one upstream.
type upstream struct {
	// Fields that the filters and scores read come first, so that they share
	// cache lines.

	// lifecycle allows removal only once the last grant has ended.
	lifecycle lifecycle
	index     int32
	modelSet  *modelSet

	maxRequests      int
	maxTokens        int
	requests         int
	tokens           int
	longPromptTokens int
	longPrompts      int
	suspects         int
	// externalRequests is the number of requests by which the last load report
	// exceeds the recent peak of the pool's own grants: others sent them.
	externalRequests int
	backoff          time.Duration
	backoffUntil     int64
	// crashedAt is when an upstream that reports its load crashed. It is reset
	// to zero once a report shows that the upstream responds.
	crashedAt time.Time
	// congestedUntil is the time until which the queue length in the last load
	// report is used.
	congestedUntil int64
	estimate       estimate
	detector       slowDetector

	name          string
	record        record.Upstream
	grants        []*grant
	externalUntil time.Time
	recentPeak    requestPeak
	load          Load
	incarnation   string
	// lastReport is when the last load report of this incarnation arrived.
	lastReport time.Time
	// reportInterval is the time between the last two reports.
	reportInterval time.Duration
}

// peakWindowSeconds is the time for which request count peaks are kept.
// Requests in a load report that lags by less are never mistaken for external
// ones.
const peakWindowSeconds = 16

// requestPeak keeps the peak request count of each of the last seconds.
type requestPeak struct {
	peaks      [peakWindowSeconds]int32
	lastSecond int64
	current    int32
}

func (r *requestPeak) set(now time.Time, value int) {
	r.advance(now)
	r.current = int32(value)
	slot := &r.peaks[r.lastSecond%peakWindowSeconds]
	*slot = max(*slot, r.current)
}

func (r *requestPeak) advance(now time.Time) {
	second := now.Unix()
	for r.lastSecond = max(r.lastSecond, second-peakWindowSeconds); r.lastSecond < second; {
		r.lastSecond++
		r.peaks[r.lastSecond%peakWindowSeconds] = r.current
	}
}

func (r *requestPeak) highest(now time.Time) int {
	r.advance(now)
	return int(slices.Max(r.peaks[:]))
}

// grant is a request that an upstream may be running. It counts against the
// limits until its holder releases or cancels it or is removed, because no
// message of the protocol tells whether a grant was used: an expired grant may
// have been dispatched just before its expiry. Only the holder applies the
// expiry, and must not dispatch after it.
type grant struct {
	key       requestKey
	sequence  uint64
	work      Work
	upstream  *upstream
	holder    *holder
	modelTier *modelTier
	// index is the position in upstream.grants.
	index      int
	granted    time.Time
	tokens     int
	longPrompt bool
	suspect    bool
	// restored marks a grant that another scheduler issued.
	restored bool
	// crashCounted is set once a crash of the upstream was counted for this
	// grant. crashStrike is the strike that it led to; it is nil for the
	// request that reported the crash, whose strike is certain.
	crashCounted bool
	crashStrike  *crashStrike

	expectedFirstToken time.Duration
	uncachedTokens     int
	// predictedCached is the number of tokens that the prefix index took for
	// cached.
	predictedCached int
}

// model is a target that a request can name and one or more upstreams serve: a
// model, a model version or a service.
type model struct {
	name      string
	upstreams []*upstream
	// tiers is sorted by descending priority.
	tiers []*modelTier
	// tokenCapacity is the sum of the token limits of the eligible upstreams.
	tokenCapacity int
	// maxPrefillRate is the highest prefill rate of the eligible upstreams, in
	// tokens per second.
	maxPrefillRate float64
}

// modelTier holds the state of one tier of one model: the waiting requests, and
// the tokens in flight with their recent peak.
type modelTier struct {
	tier   *tier
	groups [classCopy]group
	// copyGroups has a group for each fingerprint with waiting copies that may
	// not run on more upstreams.
	copyGroups     map[uint64]*group
	waiting        int
	tokensInFlight int
	peakTokens     float64
	updatedAt      time.Time
}

// modelSet is a set of models. Upstreams that serve the same models share one,
// so that what a decision needs to know about the models is computed once for
// all of them.
type modelSet struct {
	models []*model
	// decision is the number of the decision for which reservedShare and
	// outranked were computed.
	decision uint64
	// reservedShare is the share of an upstream's tokens kept free for higher
	// tiers.
	reservedShare float64
	// outranked is set if a request of a higher tier waits for one of the
	// models.
	outranked bool
}

// update computes reservedShare and outranked, once per decision.
func (s *modelSet) update(decision uint64, priority int) {
	if s.decision == decision {
		return
	}
	s.decision = decision
	s.reservedShare = 0
	s.outranked = false
	for _, m := range s.models {
		s.reservedShare += m.reservedShare(priority)
		s.outranked = s.outranked || m.hasWaitingAbove(priority)
	}
	s.reservedShare = min(1, s.reservedShare)
}

// hasWaitingAbove reports whether a request of a higher tier waits for the
// model.
func (m *model) hasWaitingAbove(priority int) bool {
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

// eligible reports whether the upstream may get new requests.
func (u *upstream) eligible() bool { return u.lifecycle.eligible }

func (u *upstream) serves(m *model) bool {
	for _, other := range u.modelSet.models {
		if other == m {
			return true
		}
	}
	return false
}

// fits reports whether the upstream has room for one more request with the
// given tokens. The token limits do not apply while this scheduler has no grant
// there, so that a request larger than them can run at all; external requests
// may be running there nevertheless.
func (u *upstream) fits(limitShare float64, reservedTokens, tokens int, longPrompt bool, longPromptShare float64) bool {
	if u.requests+u.externalRequests+1 > max(1, int(limitShare*float64(u.maxRequests))) {
		return false
	}
	if u.maxTokens == 0 || u.requests == 0 {
		return true
	}
	limit := int(limitShare * float64(u.maxTokens))
	if u.tokens+tokens > limit-reservedTokens {
		return false
	}
	return !longPrompt || u.fitsLongPrompt(limitShare, tokens, longPromptShare)
}

// fitsLongPrompt reports whether a long prompt fits into the share of the token
// limit open to long prompts. The first one fits whatever its size.
func (u *upstream) fitsLongPrompt(limitShare float64, tokens int, longPromptShare float64) bool {
	if u.longPrompts == 0 {
		return true
	}
	return float64(u.longPromptTokens+tokens) <= longPromptShare*limitShare*float64(u.maxTokens)
}

// addGrant adds a grant to the usage counts.
func (u *upstream) addGrant(now time.Time, g *grant) {
	u.requests++
	u.tokens += g.tokens
	u.recentPeak.set(now, u.requests)
	if g.longPrompt {
		u.longPrompts++
		u.longPromptTokens += g.tokens
	}
	if g.suspect {
		u.suspects++
	}
	g.index = len(u.grants)
	u.grants = append(u.grants, g)
}

// removeGrant removes a grant from the usage counts.
func (u *upstream) removeGrant(now time.Time, g *grant) {
	u.requests--
	u.recentPeak.set(now, u.requests)
	u.tokens -= g.tokens
	if g.longPrompt {
		u.longPrompts--
		u.longPromptTokens -= g.tokens
	}
	if g.suspect {
		u.suspects--
	}
	last := u.grants[len(u.grants)-1]
	u.grants[g.index] = last
	last.index = g.index
	u.grants[len(u.grants)-1] = nil
	u.grants = u.grants[:len(u.grants)-1]
}

// backOff stops new requests for a time that doubles with each failure.
func (u *upstream) backOff(now time.Time) {
	u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff).UnixNano()
}

// tierFor returns the model's state of a tier, creating it if needed.
func (m *model) tierFor(t *tier) *modelTier {
	position := sort.Search(len(m.tiers), func(i int) bool { return m.tiers[i].tier.priority <= t.priority })
	if position < len(m.tiers) && m.tiers[position].tier == t {
		return m.tiers[position]
	}
	created := &modelTier{tier: t}
	for i := range created.groups {
		created.groups[i] = group{class: requestClass(i), model: m}
	}
	m.tiers = append(m.tiers, nil)
	copy(m.tiers[position+1:], m.tiers[position:])
	m.tiers[position] = created
	return created
}

// copyGroup returns the group for copies of a fingerprint, creating it if
// needed. leaveGroup deletes it when it is empty.
func (mt *modelTier) copyGroup(fingerprint uint64, m *model) *group {
	if mt.copyGroups == nil {
		mt.copyGroups = map[uint64]*group{}
	}
	if mt.copyGroups[fingerprint] == nil {
		mt.copyGroups[fingerprint] = &group{class: classCopy, model: m, fingerprint: fingerprint}
	}
	return mt.copyGroups[fingerprint]
}

// addTokens adds tokens, which may be negative, to those in flight.
func (mt *modelTier) addTokens(now time.Time, tokens int, decay time.Duration) {
	mt.decayPeak(now, decay)
	mt.tokensInFlight += tokens
	mt.peakTokens = max(mt.peakTokens, float64(mt.tokensInFlight))
}

// decayPeak lets the peak decay towards the tokens in flight.
func (mt *modelTier) decayPeak(now time.Time, decay time.Duration) {
	elapsed := now.Sub(mt.updatedAt)
	mt.updatedAt = now
	if elapsed <= 0 || mt.peakTokens == 0 {
		return
	}
	excess := mt.peakTokens - float64(mt.tokensInFlight)
	mt.peakTokens -= excess * min(1, float64(elapsed)/float64(decay))
}

// reservedShare is the share of each upstream's tokens that higher tiers used
// recently and do not use now.
func (m *model) reservedShare(priority int) float64 {
	if m.tokenCapacity == 0 {
		return 0
	}
	unused := 0.0
	for _, mt := range m.tiers {
		if mt.tier.priority <= priority {
			break
		}
		unused += max(0, mt.peakTokens-float64(mt.tokensInFlight))
	}
	return min(1, unused/float64(m.tokenCapacity))
}
