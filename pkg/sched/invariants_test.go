package sched

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// poolModel drives a Pool with random calls and checks it against a simple
// reference model.
type poolModel struct {
	pool    *Pool
	now     time.Time
	lastID  int
	waiting map[requestKey]Request
	granted map[requestKey]*modelGrant
	// inForce holds the upstreams of the last call of SetUpstreams; leaving holds
	// the leaving flag in the last load report of each upstream.
	inForce     map[string]record.Upstream
	leaving     map[string]bool
	incarnation map[string]int
	// strikesBefore holds the crash strikes per fingerprint before the call under
	// test.
	strikesBefore map[uint64]int
	// crashedByPoison holds the upstreams that crashed while they ran the
	// poison request.
	crashedByPoison map[string]bool
}

// poisonFingerprint is the fingerprint of requests that never complete: they
// crash every upstream that runs them, unless they are cancelled in time or not
// dispatched.
const poisonFingerprint = 99

type modelGrant struct {
	request  Request
	upstream string
	tokens   int
	suspect  bool
}

var testUpstreams = []record.Upstream{
	{Name: "a", Models: []string{"m@1"}, MaxRequests: 3, MaxTokens: 3000, PrefillTokensPerSecond: 1000},
	{Name: "b", Models: []string{"m@1", "n@1"}, MaxRequests: 4, MaxTokens: 2000, PrefillTokensPerSecond: 4000},
	{Name: "c", Models: []string{"n@1"}, MaxRequests: 2, PrefillTokensPerSecond: 2000},
	{Name: "d", Models: []string{"m@1", "n@1"}, MaxRequests: 3, MaxTokens: 4000, PrefillTokensPerSecond: 3000},
}

func newPoolModel() *poolModel {
	m := &poolModel{
		pool:            New(Config{MaxQueuedRequests: 6, MaxQueuedTokens: 9000, LongPromptTokens: 1000}),
		now:             time.Unix(1_700_000_000, 0),
		waiting:         map[requestKey]Request{},
		granted:         map[requestKey]*modelGrant{},
		inForce:         map[string]record.Upstream{},
		leaving:         map[string]bool{},
		incarnation:     map[string]int{},
		crashedByPoison: map[string]bool{},
	}
	m.setUpstreams(testUpstreams)
	return m
}

func (m *poolModel) setUpstreams(records []record.Upstream) Decisions {
	clear(m.inForce)
	for _, r := range records {
		m.inForce[r.Name] = r
	}
	return m.pool.SetUpstreams(m.now, records)
}

// apply checks the decisions of one call and updates the model.
func (m *poolModel) apply(t *rapid.T, d Decisions) {
	for _, refusal := range d.Refusals {
		key := requestKey{refusal.Holder, refusal.RequestID}
		request, ok := m.waiting[key]
		if !ok {
			t.Fatalf("refused %v, which is not waiting", key)
		}
		delete(m.waiting, key)
		m.checkRefusal(t, refusal, request, d)
	}
	for _, grant := range d.Grants {
		m.checkGrant(t, grant)
	}
	for _, grant := range d.Grants {
		m.checkPriority(t, m.granted[requestKey{grant.Holder, grant.RequestID}])
	}
	m.strikesBefore = m.pool.Strikes()
	m.removeUnknownLeaving()
}

func (m *poolModel) checkRefusal(t *rapid.T, refusal Refusal, request Request, d Decisions) {
	if refusal.Kind == errkind.PoisonRequest && m.pool.Strikes()[request.Work.Fingerprint] < blockThreshold {
		t.Fatalf("request %s refused as poison with fewer than two strikes", request.ID)
	}
	if refusal.Kind != errkind.Overloaded {
		return
	}
	for key, other := range m.waiting {
		if other.Work.Tier >= request.Work.Tier || endedBy(d, key) {
			continue
		}
		t.Fatalf("request of tier %d refused for lack of capacity while request %s of tier %d waits", request.Work.Tier, other.ID, other.Work.Tier)
	}
}

// endedBy reports whether the decisions grant or refuse the request.
func endedBy(d Decisions, key requestKey) bool {
	for _, grant := range d.Grants {
		if key == (requestKey{grant.Holder, grant.RequestID}) {
			return true
		}
	}
	for _, refusal := range d.Refusals {
		if key == (requestKey{refusal.Holder, refusal.RequestID}) {
			return true
		}
	}
	return false
}

func (m *poolModel) checkGrant(t *rapid.T, grant Grant) {
	key := requestKey{grant.Holder, grant.RequestID}
	request, ok := m.waiting[key]
	if !ok {
		t.Fatalf("granted %v, which is not waiting", key)
	}
	delete(m.waiting, key)
	fingerprint := request.Work.Fingerprint
	if m.strikesBefore[fingerprint] >= blockThreshold || m.pool.Strikes()[fingerprint] >= blockThreshold {
		t.Fatalf("fingerprint %d granted after two strikes", fingerprint)
	}
	limits, ok := m.inForce[grant.Upstream]
	if !ok || m.leaving[grant.Upstream] {
		t.Fatalf("grant on upstream %s, which is absent or leaving", grant.Upstream)
	}
	g := &modelGrant{
		request:  request,
		upstream: grant.Upstream,
		tokens:   grant.UncachedTokens + request.Work.OutputTokens,
		suspect:  m.pool.Strikes()[fingerprint] > 0,
	}
	requests, tokens, suspects := m.inFlight(grant.Upstream)
	if requests+1 > limits.MaxRequests {
		t.Fatalf("%d requests in flight on upstream %s exceed its limit", requests+1, grant.Upstream)
	}
	if limits.MaxTokens > 0 && requests > 0 && tokens+g.tokens > limits.MaxTokens {
		t.Fatalf("%d tokens in flight on upstream %s exceed its limit", tokens+g.tokens, grant.Upstream)
	}
	if g.suspect && suspects > 0 {
		t.Fatalf("second suspect granted on upstream %s", grant.Upstream)
	}
	m.granted[key] = g
	if copyUpstreams := m.copyUpstreams(fingerprint); len(copyUpstreams) > 2 {
		t.Fatalf("copies of fingerprint %d run on %d upstreams", fingerprint, len(copyUpstreams))
	}
}

// copyUpstreams returns the upstreams on which copies of a fingerprint are in
// flight.
func (m *poolModel) copyUpstreams(fingerprint uint64) map[string]bool {
	upstreams := map[string]bool{}
	for _, g := range m.granted {
		if fingerprint != 0 && g.request.Work.Fingerprint == fingerprint {
			upstreams[g.upstream] = true
		}
	}
	return upstreams
}

// inFlight sums the requests, tokens and suspects in flight on an upstream.
func (m *poolModel) inFlight(upstream string) (requests, tokens, suspects int) {
	for _, g := range m.granted {
		if g.upstream != upstream {
			continue
		}
		requests++
		tokens += g.tokens
		if g.suspect {
			suspects++
		}
	}
	return requests, tokens, suspects
}

// checkPriority fails if a waiting request of a higher tier would have fitted
// in place of the granted one.
func (m *poolModel) checkPriority(t *rapid.T, granted *modelGrant) {
	u := m.pool.upstreams[granted.upstream]
	requests, tokens, _ := m.inFlight(granted.upstream)
	for key, queued := range m.waiting {
		if queued.Work.Tier <= granted.request.Work.Tier || !u.serves(m.pool.models[queued.Work.Model]) {
			continue
		}
		need := queued.Work.PromptTokens + queued.Work.OutputTokens
		fits := u.maxTokens == 0 || requests == 1 || tokens-granted.tokens+need <= u.maxTokens
		if m.pool.strikes.isSuspect(queued.Work.Fingerprint) {
			// Suspects have limits of their own, which TestFilters covers.
			continue
		}
		if copyUpstreams := m.copyUpstreams(queued.Work.Fingerprint); len(copyUpstreams) >= 2 && !copyUpstreams[u.name] {
			continue
		}
		w := m.pool.queue.byKey[key]
		firstTokenSeconds := u.estimate.prefillWait(m.now.UnixNano()) + float64(queued.Work.PromptTokens)/u.estimate.prefillRate
		meetsDeadline := firstTokenSeconds < queued.Deadline.Sub(m.now).Seconds()
		if fits && !w.outOfGroup && meetsDeadline {
			t.Fatalf("request of tier %d granted on upstream %s while request %s of tier %d waits", granted.request.Work.Tier, u.name, queued.ID, queued.Work.Tier)
		}
	}
}

// returnUndispatched removes a grant that was not dispatched. A strike that
// only this grant accounts for is withdrawn, as the crashed upstream never
// received the request.
func (m *poolModel) returnUndispatched(key requestKey) {
	if g := m.pool.grants[key]; g != nil && g.crashStrike != nil && g.crashStrike.unresolved == 1 && !g.crashStrike.confirmed {
		m.strikesBefore[g.work.Fingerprint]--
	}
	delete(m.granted, key)
}

func (m *poolModel) Acquire(t *rapid.T) {
	m.lastID++
	prompt := rapid.SampledFrom([]int{10, 200, 900, 1500, 4000}).Draw(t, "prompt")
	request := Request{
		ID:       fmt.Sprint(m.lastID),
		Holder:   rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "holder"),
		Deadline: m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 300, 2000, 60_000}).Draw(t, "deadline")) * time.Millisecond),
		Work: Work{
			Tier:         rapid.IntRange(1, 3).Draw(t, "tier"),
			Team:         rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"),
			Model:        rapid.SampledFrom([]string{"m", "n", "m@1", "gone"}).Draw(t, "model"),
			PromptTokens: prompt, OutputTokens: rapid.IntRange(1, 300).Draw(t, "output"),
			PrefixHashes: []uint64{uint64(rapid.IntRange(1, 6).Draw(t, "prefix"))},
			PrefixTokens: []int{prompt / 2},
			Fingerprint:  uint64(rapid.IntRange(0, 5).Draw(t, "fingerprint")),
		},
	}
	m.waiting[requestKey{request.Holder, request.ID}] = request
	m.apply(t, m.pool.Acquire(m.now, request))
	if len(m.waiting) > m.pool.config.MaxQueuedRequests {
		t.Fatalf("%d waiting requests exceed the queue limit", len(m.waiting))
	}
}

// AcquirePoison sends a copy of the poison request under a new ID.
func (m *poolModel) AcquirePoison(t *rapid.T) {
	m.lastID++
	request := Request{
		ID:       fmt.Sprint(m.lastID),
		Holder:   rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "holder"),
		Deadline: m.now.Add(time.Minute),
		Work: Work{
			Tier: rapid.IntRange(1, 3).Draw(t, "tier"), Team: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
			Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), PromptTokens: 100, OutputTokens: 10, Fingerprint: poisonFingerprint,
		},
	}
	m.waiting[requestKey{request.Holder, request.ID}] = request
	m.apply(t, m.pool.Acquire(m.now, request))
}

// CrashPoison ends a copy of the poison request, mostly by a crash.
func (m *poolModel) CrashPoison(t *rapid.T) {
	var running []requestKey
	for _, key := range sortedKeys(m.granted) {
		if m.granted[key].request.Work.Fingerprint == poisonFingerprint {
			running = append(running, key)
		}
	}
	if len(running) == 0 {
		t.Skip("no poison request is granted")
	}
	key := rapid.SampledFrom(running).Draw(t, "grant")
	outcome := rapid.SampledFrom([]Outcome{UpstreamBroken, UpstreamBroken, UpstreamBroken, NotDispatched, Cancelled}).Draw(t, "outcome")
	if outcome == UpstreamBroken {
		m.crashedByPoison[m.granted[key].upstream] = true
		if len(m.crashedByPoison) > 2 {
			t.Fatalf("poison request crashed upstreams %v", m.crashedByPoison)
		}
	}
	if outcome == NotDispatched {
		m.returnUndispatched(key)
	}
	delete(m.granted, key)
	m.apply(t, m.pool.Release(m.now, Result{RequestID: key.id, Holder: key.holder, Outcome: outcome}))
}

func (m *poolModel) Release(t *rapid.T) {
	if len(m.granted) == 0 {
		t.Skip("nothing granted")
	}
	key := rapid.SampledFrom(sortedKeys(m.granted)).Draw(t, "grant")
	if m.granted[key].request.Work.Fingerprint == poisonFingerprint {
		t.Skip("poison requests end in CrashPoison")
	}
	outcome := Outcome(rapid.IntRange(int(Completed), int(Cancelled)).Draw(t, "outcome"))
	if _, waits := m.waiting[key]; waits {
		t.Fatalf("request %v is both waiting and granted", key)
	}
	if outcome == NotDispatched || outcome == DialFailed {
		m.returnUndispatched(key)
	}
	delete(m.granted, key)
	result := Result{
		RequestID: key.id, Holder: key.holder, Outcome: outcome, OutputTokens: 20,
		CachedTokens: rapid.IntRange(0, 100).Draw(t, "cached"),
		FirstToken:   time.Duration(rapid.IntRange(1, 2000).Draw(t, "first")) * time.Millisecond,
	}
	result.Total = 3 * result.FirstToken
	m.apply(t, m.pool.Release(m.now, result))
	m.apply(t, m.pool.Release(m.now, result))
}

func (m *poolModel) Cancel(t *rapid.T) {
	all := append(sortedKeys(m.waiting), sortedKeys(m.granted)...)
	if len(all) == 0 {
		t.Skip("nothing to cancel")
	}
	key := rapid.SampledFrom(all).Draw(t, "request")
	delete(m.waiting, key)
	m.returnUndispatched(key)
	m.apply(t, m.pool.Cancel(m.now, key.holder, key.id))
}

// Reacquire acquires a request that already has a grant, as a holder does after
// the grant has expired.
func (m *poolModel) Reacquire(t *rapid.T) {
	if len(m.granted) == 0 {
		t.Skip("nothing granted")
	}
	key := rapid.SampledFrom(sortedKeys(m.granted)).Draw(t, "grant")
	m.waiting[key] = m.granted[key].request
	m.returnUndispatched(key)
	m.apply(t, m.pool.Acquire(m.now, m.waiting[key]))
}

func (m *poolModel) DropHolder(t *rapid.T) {
	name := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "holder")
	for _, key := range append(sortedKeys(m.waiting), sortedKeys(m.granted)...) {
		if key.holder == name {
			delete(m.waiting, key)
			delete(m.granted, key)
		}
	}
	m.apply(t, m.pool.DropHolder(m.now, name))
}

func (m *poolModel) AddHoldings(t *rapid.T) {
	name := rapid.SampledFrom(testUpstreams).Draw(t, "upstream").Name
	if m.pool.upstreams[name] == nil {
		t.Skip("unknown upstream")
	}
	m.lastID++
	work := Work{Tier: 2, Model: "m@1", PromptTokens: 500, OutputTokens: 10}
	if m.pool.models["m@1"] == nil {
		t.Skip("unknown model")
	}
	id := fmt.Sprint(m.lastID)
	key := requestKey{"h3", id}
	m.granted[key] = &modelGrant{request: Request{ID: id, Holder: "h3", Work: work, Deadline: m.now.Add(time.Minute)}, upstream: name, tokens: 510}
	for range 2 {
		m.apply(t, m.pool.AddHoldings(m.now, "h3", []Holding{{RequestID: id, Upstream: name, Work: work}}))
	}
}

func (m *poolModel) SetUpstreams(t *rapid.T) {
	var records []record.Upstream
	for _, r := range testUpstreams {
		if rapid.IntRange(0, 3).Draw(t, r.Name) > 0 {
			records = append(records, r)
		}
	}
	m.apply(t, m.setUpstreams(records))
}

// removeUnknownLeaving removes the leaving flags of upstreams that the pool has
// removed.
func (m *poolModel) removeUnknownLeaving() {
	for name := range m.leaving {
		if m.pool.upstreams[name] == nil {
			delete(m.leaving, name)
		}
	}
}

func (m *poolModel) ReportLoad(t *rapid.T) {
	name := rapid.SampledFrom(testUpstreams).Draw(t, "upstream").Name
	if m.pool.upstreams[name] == nil {
		t.Skip("unknown upstream")
	}
	leaving := rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	m.leaving[name] = leaving
	if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
		m.incarnation[name]++
	}
	m.apply(t, m.pool.ReportLoad(m.now, name, Load{
		Running:     rapid.IntRange(0, 4).Draw(t, "running"),
		Leaving:     leaving,
		Incarnation: fmt.Sprint(m.incarnation[name]),
		ReportedAt:  m.now,
	}))
}

func (m *poolModel) ReportCache(t *rapid.T) {
	hash := uint64(rapid.IntRange(1, 6).Draw(t, "prefix"))
	name := rapid.SampledFrom(testUpstreams).Draw(t, "upstream").Name
	if rapid.Bool().Draw(t, "stored") {
		m.pool.ReportCache(m.now, name, []uint64{hash}, nil)
		return
	}
	m.pool.ReportCache(m.now, name, nil, []uint64{hash})
}

func (m *poolModel) AddStrikes(t *rapid.T) {
	m.pool.AddStrikes(m.now, map[uint64]int{uint64(rapid.IntRange(1, 5).Draw(t, "fingerprint")): 1})
	m.apply(t, m.pool.Tick(m.now))
}

func (m *poolModel) Tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "elapsed")) * time.Millisecond)
	m.apply(t, m.pool.Tick(m.now))
}

// Check compares the counts of the pool with those of the model.
func (m *poolModel) Check(t *rapid.T) {
	if m.pool.queue.len() != len(m.waiting) || len(m.pool.grants) != len(m.granted) {
		t.Fatalf("pool has %d waiting and %d granted requests, want %d and %d", m.pool.queue.len(), len(m.pool.grants), len(m.waiting), len(m.granted))
	}
	for name, u := range m.pool.upstreams {
		if requests, tokens, _ := m.inFlight(name); requests != u.requests || len(u.grants) != requests || tokens != u.tokens {
			t.Fatalf("upstream %s counts %d requests and %d tokens, want %d and %d", name, u.requests, u.tokens, requests, tokens)
		}
	}
	if due := m.pool.NextTick(); len(m.waiting) > 0 && due.IsZero() {
		t.Fatal("requests are waiting but no tick is due")
	}
}

// checkEmptyAfterEnd ends all requests and checks that the pool keeps no state.
func (m *poolModel) checkEmptyAfterEnd(t *rapid.T) {
	m.now = m.now.Add(time.Hour)
	m.apply(t, m.pool.Tick(m.now))
	for len(m.granted) > 0 {
		key := sortedKeys(m.granted)[0]
		delete(m.granted, key)
		m.apply(t, m.pool.Release(m.now, Result{RequestID: key.id, Holder: key.holder, Outcome: Completed}))
	}
	m.Check(t)
	m.apply(t, m.pool.Tick(m.now.Add(time.Hour)))
	m.setUpstreams(nil)
	p := m.pool
	remaining := len(p.holders) + len(p.upstreams) + len(p.models) + len(p.queue.expiries) + p.queue.tokens +
		len(p.strikes.inFlight) + len(p.prefixes.upstreamsByPrefix) + len(p.pendingRefusals) + len(p.deferred) + len(p.pendingPrefixes.byHash)
	for _, tier := range p.queue.tiers {
		remaining += tier.waiting + len(tier.flows) + len(tier.activeFlows) + len(tier.groups)
	}
	if remaining != 0 || len(p.freeIndexes) != len(p.upstreamByIndex) {
		t.Fatalf("pool keeps state after all requests have ended: %+v", p)
	}
}

// sortedKeys returns the keys in a stable order.
func sortedKeys[V any](byKey map[requestKey]V) []requestKey {
	out := make([]requestKey, 0, len(byKey))
	for key := range byKey {
		out = append(out, key)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// Checks these invariants under random calls: a lower tier is never preferred
// to a higher one; grants keep the limits; an upstream runs at most one
// suspect; no fingerprint is granted after two strikes; copies of a fingerprint
// run on at most two upstreams at a time; one poison request crashes at most
// two upstreams; each request ends exactly once; no state remains after all
// requests have ended.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.Acquire, "acquire2": m.Acquire, "acquire3": m.Acquire, "release": m.Release,
			"acquirePoison": m.AcquirePoison, "acquirePoison2": m.AcquirePoison, "crashPoison": m.CrashPoison,
			"cancel": m.Cancel, "reacquire": m.Reacquire, "dropHolder": m.DropHolder,
			"addHoldings": m.AddHoldings, "setUpstreams": m.SetUpstreams, "reportLoad": m.ReportLoad,
			"reportCache": m.ReportCache, "addStrikes": m.AddStrikes, "tick": m.Tick, "": m.Check,
		})
		m.checkEmptyAfterEnd(t)
	})
}
