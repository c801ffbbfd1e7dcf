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

// machine drives a Pool with random calls and keeps its own account of what
// must hold.
type machine struct {
	p       *Pool
	now     time.Time
	next    int
	waiting map[requestKey]Request
	granted map[requestKey]*running
	// inForce is what SetUpstreams applied last; leaving what was reported.
	inForce     map[string]record.Upstream
	leaving     map[string]bool
	incarnation map[string]int
	// before holds the strikes before the call under test.
	before map[uint64]int
	// crashed holds the upstreams that broke while they ran poison.
	crashed map[string]bool
}

// poison is the fingerprint of requests that never complete: whatever runs
// them breaks, unless they are cancelled in time or were not dispatched.
const poison = 99

type running struct {
	request  Request
	upstream string
	need     int
	suspect  bool
}

var fleet = []record.Upstream{
	{Name: "a", Models: []string{"m@1"}, MaxRequests: 3, MaxTokens: 3000, PrefillTokensPerSecond: 1000},
	{Name: "b", Models: []string{"m@1", "n@1"}, MaxRequests: 4, MaxTokens: 2000, PrefillTokensPerSecond: 4000},
	{Name: "c", Models: []string{"n@1"}, MaxRequests: 2, PrefillTokensPerSecond: 2000},
	{Name: "d", Models: []string{"m@1", "n@1"}, MaxRequests: 3, MaxTokens: 4000, PrefillTokensPerSecond: 3000},
}

func newMachine() *machine {
	m := &machine{
		p:           New(Config{QueueRequests: 6, QueueTokens: 9000, LongTokens: 1000}),
		now:         time.Unix(1_700_000_000, 0),
		waiting:     map[requestKey]Request{},
		granted:     map[requestKey]*running{},
		inForce:     map[string]record.Upstream{},
		leaving:     map[string]bool{},
		incarnation: map[string]int{},
		crashed:     map[string]bool{},
	}
	m.setUpstreams(fleet)
	return m
}

func (m *machine) setUpstreams(records []record.Upstream) Decisions {
	clear(m.inForce)
	for _, r := range records {
		m.inForce[r.Name] = r
	}
	return m.p.SetUpstreams(m.now, records)
}

// apply checks the decisions of one call.
func (m *machine) apply(t *rapid.T, d Decisions) {
	for _, refusal := range d.Refusals {
		key := requestKey{refusal.Holder, refusal.RequestID}
		request, ok := m.waiting[key]
		if !ok {
			t.Fatalf("refusal of %v, which does not wait", key)
		}
		delete(m.waiting, key)
		m.checkRefusal(t, refusal, request, d)
	}
	for _, grant := range d.Grants {
		m.checkGrant(t, grant)
	}
	for _, grant := range d.Grants {
		m.checkOrder(t, m.granted[requestKey{grant.Holder, grant.RequestID}])
	}
	m.before = m.p.Strikes()
	m.forgetLeaving()
}

func (m *machine) checkRefusal(t *rapid.T, refusal Refusal, request Request, d Decisions) {
	if refusal.Kind == errkind.PoisonRequest && m.p.Strikes()[request.Work.Fingerprint] < blockedStrikes {
		t.Fatalf("%s refused as poison without two strikes", request.ID)
	}
	if refusal.Kind != errkind.Overloaded {
		return
	}
	for key, other := range m.waiting {
		if other.Work.Tier >= request.Work.Tier || contains(d, key) {
			continue
		}
		t.Fatalf("tier %d refused for capacity while %s of tier %d waits", request.Work.Tier, other.ID, other.Work.Tier)
	}
}

// contains reports whether the decisions end the request.
func contains(d Decisions, key requestKey) bool {
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

func (m *machine) checkGrant(t *rapid.T, grant Grant) {
	key := requestKey{grant.Holder, grant.RequestID}
	request, ok := m.waiting[key]
	if !ok {
		t.Fatalf("grant of %v, which does not wait", key)
	}
	delete(m.waiting, key)
	fingerprint := request.Work.Fingerprint
	if m.before[fingerprint] >= blockedStrikes || m.p.Strikes()[fingerprint] >= blockedStrikes {
		t.Fatalf("fingerprint %d granted after two strikes", fingerprint)
	}
	limits, ok := m.inForce[grant.Upstream]
	if !ok || m.leaving[grant.Upstream] {
		t.Fatalf("grant on %s, which is withdrawn or leaving", grant.Upstream)
	}
	g := &running{
		request:  request,
		upstream: grant.Upstream,
		need:     grant.UncachedTokens + request.Work.OutputTokens,
		suspect:  m.p.Strikes()[fingerprint] > 0,
	}
	requests, tokens, suspects := m.load(grant.Upstream)
	if requests+1 > limits.MaxRequests {
		t.Fatalf("%d requests in flight on %s", requests+1, grant.Upstream)
	}
	if limits.MaxTokens > 0 && requests > 0 && tokens+g.need > limits.MaxTokens {
		t.Fatalf("%d tokens in flight on %s", tokens+g.need, grant.Upstream)
	}
	if g.suspect && suspects > 0 {
		t.Fatalf("second suspect on %s", grant.Upstream)
	}
	m.granted[key] = g
	if places := m.places(fingerprint); len(places) > 2 {
		t.Fatalf("copies of fingerprint %d run on %d upstreams", fingerprint, len(places))
	}
}

// places returns the upstreams on which copies of a fingerprint are in flight.
func (m *machine) places(fingerprint uint64) map[string]bool {
	places := map[string]bool{}
	for _, g := range m.granted {
		if fingerprint != 0 && g.request.Work.Fingerprint == fingerprint {
			places[g.upstream] = true
		}
	}
	return places
}

// load sums what is in flight on an upstream.
func (m *machine) load(upstream string) (requests, tokens, suspects int) {
	for _, g := range m.granted {
		if g.upstream != upstream {
			continue
		}
		requests++
		tokens += g.need
		if g.suspect {
			suspects++
		}
	}
	return requests, tokens, suspects
}

// checkOrder fails when a request of a higher tier waits that would have fitted
// in place of the granted one.
func (m *machine) checkOrder(t *rapid.T, low *running) {
	u := m.p.upstreams[low.upstream]
	requests, tokens, _ := m.load(low.upstream)
	for key, high := range m.waiting {
		if high.Work.Tier <= low.request.Work.Tier || !u.serves(m.p.models[high.Work.Model]) {
			continue
		}
		need := high.Work.PromptTokens + high.Work.OutputTokens
		fits := u.maxTokens == 0 || requests == 1 || tokens-low.need+need <= u.maxTokens
		if m.p.strikes.suspect(high.Work.Fingerprint) {
			// Suspects have limits of their own; the table of filters covers them.
			continue
		}
		if places := m.places(high.Work.Fingerprint); len(places) >= 2 && !places[u.name] {
			continue
		}
		w := m.p.queue.byKey[key]
		first := u.estimate.wait(m.now.UnixNano()) + float64(high.Work.PromptTokens)/u.estimate.prefillRate
		inTime := first < high.Deadline.Sub(m.now).Seconds()
		if fits && !w.parked && inTime {
			t.Fatalf("tier %d granted on %s while %s of tier %d waits", low.request.Work.Tier, u.name, high.ID, high.Work.Tier)
		}
	}
}

// giveBack removes a grant that was not dispatched. A strike on its account
// does not count: the upstream that broke never saw the request.
func (m *machine) giveBack(key requestKey) {
	if g := m.p.grants[key]; g != nil && g.blame != nil && g.blame.open == 1 && !g.blame.confirmed {
		m.before[g.work.Fingerprint]--
	}
	delete(m.granted, key)
}

func (m *machine) Acquire(t *rapid.T) {
	m.next++
	prompt := rapid.SampledFrom([]int{10, 200, 900, 1500, 4000}).Draw(t, "prompt")
	request := Request{
		ID:       fmt.Sprint(m.next),
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
	m.apply(t, m.p.Acquire(m.now, request))
	if len(m.waiting) > m.p.config.QueueRequests {
		t.Fatalf("%d requests wait", len(m.waiting))
	}
}

// AcquirePoison sends a copy of the poison under a new identity.
func (m *machine) AcquirePoison(t *rapid.T) {
	m.next++
	request := Request{
		ID:       fmt.Sprint(m.next),
		Holder:   rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "holder"),
		Deadline: m.now.Add(time.Minute),
		Work: Work{
			Tier: rapid.IntRange(1, 3).Draw(t, "tier"), Team: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
			Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), PromptTokens: 100, OutputTokens: 10, Fingerprint: poison,
		},
	}
	m.waiting[requestKey{request.Holder, request.ID}] = request
	m.apply(t, m.p.Acquire(m.now, request))
}

// CrashPoison ends a copy of the poison, mostly by a crash.
func (m *machine) CrashPoison(t *rapid.T) {
	var running []requestKey
	for _, key := range keys(m.granted) {
		if m.granted[key].request.Work.Fingerprint == poison {
			running = append(running, key)
		}
	}
	if len(running) == 0 {
		t.Skip("no poison runs")
	}
	key := rapid.SampledFrom(running).Draw(t, "grant")
	outcome := rapid.SampledFrom([]Outcome{UpstreamBroken, UpstreamBroken, UpstreamBroken, NotDispatched, Cancelled}).Draw(t, "outcome")
	if outcome == UpstreamBroken {
		m.crashed[m.granted[key].upstream] = true
		if len(m.crashed) > 2 {
			t.Fatalf("poison broke %v", m.crashed)
		}
	}
	if outcome == NotDispatched {
		m.giveBack(key)
	}
	delete(m.granted, key)
	m.apply(t, m.p.Release(m.now, Result{RequestID: key.id, Holder: key.holder, Outcome: outcome}))
}

func (m *machine) Release(t *rapid.T) {
	if len(m.granted) == 0 {
		t.Skip("nothing granted")
	}
	key := rapid.SampledFrom(keys(m.granted)).Draw(t, "grant")
	if m.granted[key].request.Work.Fingerprint == poison {
		t.Skip("poison ends otherwise")
	}
	outcome := Outcome(rapid.IntRange(int(Completed), int(Cancelled)).Draw(t, "outcome"))
	if _, waits := m.waiting[key]; waits {
		t.Fatalf("%v waits and is granted", key)
	}
	if outcome == NotDispatched || outcome == DialFailed {
		m.giveBack(key)
	}
	delete(m.granted, key)
	result := Result{
		RequestID: key.id, Holder: key.holder, Outcome: outcome, OutputTokens: 20,
		CachedTokens: rapid.IntRange(0, 100).Draw(t, "cached"),
		FirstToken:   time.Duration(rapid.IntRange(1, 2000).Draw(t, "first")) * time.Millisecond,
	}
	result.Total = 3 * result.FirstToken
	m.apply(t, m.p.Release(m.now, result))
	m.apply(t, m.p.Release(m.now, result))
}

func (m *machine) Cancel(t *rapid.T) {
	all := append(keys(m.waiting), keys(m.granted)...)
	if len(all) == 0 {
		t.Skip("nothing to cancel")
	}
	key := rapid.SampledFrom(all).Draw(t, "request")
	delete(m.waiting, key)
	m.giveBack(key)
	m.apply(t, m.p.Cancel(m.now, key.holder, key.id))
}

// Reacquire asks again for a request that has a grant, as a holder does whose
// grant expired.
func (m *machine) Reacquire(t *rapid.T) {
	if len(m.granted) == 0 {
		t.Skip("nothing granted")
	}
	key := rapid.SampledFrom(keys(m.granted)).Draw(t, "grant")
	m.waiting[key] = m.granted[key].request
	m.giveBack(key)
	m.apply(t, m.p.Acquire(m.now, m.waiting[key]))
}

func (m *machine) DropHolder(t *rapid.T) {
	name := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "holder")
	for _, key := range append(keys(m.waiting), keys(m.granted)...) {
		if key.holder == name {
			delete(m.waiting, key)
			delete(m.granted, key)
		}
	}
	m.apply(t, m.p.DropHolder(m.now, name))
}

func (m *machine) AddHoldings(t *rapid.T) {
	name := rapid.SampledFrom(fleet).Draw(t, "upstream").Name
	if m.p.upstreams[name] == nil {
		t.Skip("unknown upstream")
	}
	m.next++
	work := Work{Tier: 2, Model: "m@1", PromptTokens: 500, OutputTokens: 10}
	if m.p.models["m@1"] == nil {
		t.Skip("unknown model")
	}
	id := fmt.Sprint(m.next)
	key := requestKey{"h3", id}
	m.granted[key] = &running{request: Request{ID: id, Holder: "h3", Work: work, Deadline: m.now.Add(time.Minute)}, upstream: name, need: 510}
	for range 2 {
		m.apply(t, m.p.AddHoldings(m.now, "h3", []Holding{{RequestID: id, Upstream: name, Work: work}}))
	}
}

func (m *machine) SetUpstreams(t *rapid.T) {
	var records []record.Upstream
	for _, r := range fleet {
		if rapid.IntRange(0, 3).Draw(t, r.Name) > 0 {
			records = append(records, r)
		}
	}
	m.apply(t, m.setUpstreams(records))
}

// forgetLeaving drops what was reported of upstreams that the pool forgot.
func (m *machine) forgetLeaving() {
	for name := range m.leaving {
		if m.p.upstreams[name] == nil {
			delete(m.leaving, name)
		}
	}
}

func (m *machine) ReportLoad(t *rapid.T) {
	name := rapid.SampledFrom(fleet).Draw(t, "upstream").Name
	if m.p.upstreams[name] == nil {
		t.Skip("unknown upstream")
	}
	leaving := rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	m.leaving[name] = leaving
	if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
		m.incarnation[name]++
	}
	m.apply(t, m.p.ReportLoad(m.now, name, Load{
		Running:     rapid.IntRange(0, 4).Draw(t, "running"),
		Leaving:     leaving,
		Incarnation: fmt.Sprint(m.incarnation[name]),
		ReportedAt:  m.now,
	}))
}

func (m *machine) ReportCache(t *rapid.T) {
	hash := uint64(rapid.IntRange(1, 6).Draw(t, "prefix"))
	name := rapid.SampledFrom(fleet).Draw(t, "upstream").Name
	if rapid.Bool().Draw(t, "stored") {
		m.p.ReportCache(m.now, name, []uint64{hash}, nil)
		return
	}
	m.p.ReportCache(m.now, name, nil, []uint64{hash})
}

func (m *machine) AddStrikes(t *rapid.T) {
	m.p.AddStrikes(m.now, map[uint64]int{uint64(rapid.IntRange(1, 5).Draw(t, "fingerprint")): 1})
	m.apply(t, m.p.Tick(m.now))
}

func (m *machine) Tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "elapsed")) * time.Millisecond)
	m.apply(t, m.p.Tick(m.now))
}

// Check compares the accounts of the pool with those of the machine.
func (m *machine) Check(t *rapid.T) {
	if m.p.queue.len() != len(m.waiting) || len(m.p.grants) != len(m.granted) {
		t.Fatalf("pool has %d waiting and %d granted, want %d and %d", m.p.queue.len(), len(m.p.grants), len(m.waiting), len(m.granted))
	}
	for name, u := range m.p.upstreams {
		if requests, tokens, _ := m.load(name); requests != u.requests || len(u.grants) != requests || tokens != u.tokens {
			t.Fatalf("%s accounts for %d requests and %d tokens, want %d and %d", name, u.requests, u.tokens, requests, tokens)
		}
	}
	if due := m.p.NextTick(); len(m.waiting) > 0 && due.IsZero() {
		t.Fatal("requests wait and no tick is due")
	}
}

// finish ends everything and checks that nothing is left.
func (m *machine) finish(t *rapid.T) {
	m.now = m.now.Add(time.Hour)
	m.apply(t, m.p.Tick(m.now))
	for len(m.granted) > 0 {
		key := keys(m.granted)[0]
		delete(m.granted, key)
		m.apply(t, m.p.Release(m.now, Result{RequestID: key.id, Holder: key.holder, Outcome: Completed}))
	}
	m.Check(t)
	m.apply(t, m.p.Tick(m.now.Add(time.Hour)))
	m.setUpstreams(nil)
	p := m.p
	left := len(p.holders) + len(p.upstreams) + len(p.models) + len(p.queue.deadlines) + p.queue.tokens +
		len(p.strikes.inFlight) + len(p.prefixes.holders) + len(p.pending) + len(p.held) + len(p.prefilling.byHash)
	for _, tier := range p.queue.tiers {
		left += tier.waiting + len(tier.accounts) + len(tier.active) + len(tier.groups)
	}
	if left != 0 || len(p.freeIndex) != len(p.byIndex) {
		t.Fatalf("state is left after the end of everything: %+v", p)
	}
}

// keys returns the keys in a stable order.
func keys[V any](set map[requestKey]V) []requestKey {
	out := make([]requestKey, 0, len(set))
	for key := range set {
		out = append(out, key)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// Guards against a lower tier that is preferred to a higher one, limits
// exceeded by grants, two suspects on an upstream, a fingerprint granted after
// two strikes, copies of one content on more than two upstreams at a time, more
// than two upstreams broken by one poison, a request that ends twice or never, and state that is kept
// after everything has ended.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.Acquire, "acquire2": m.Acquire, "acquire3": m.Acquire, "release": m.Release,
			"acquirePoison": m.AcquirePoison, "acquirePoison2": m.AcquirePoison, "crashPoison": m.CrashPoison,
			"cancel": m.Cancel, "reacquire": m.Reacquire, "dropHolder": m.DropHolder,
			"addHoldings": m.AddHoldings, "setUpstreams": m.SetUpstreams, "reportLoad": m.ReportLoad,
			"reportCache": m.ReportCache, "addStrikes": m.AddStrikes, "tick": m.Tick, "": m.Check,
		})
		m.finish(t)
	})
}
