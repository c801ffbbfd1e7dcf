package sched

import (
	"container/heap"
	"container/list"
	"sort"
	"time"
)

// requestKey identifies a request of a holder.
type requestKey struct {
	holder string
	id     string
}

// waiting is a request in the queue.
type waiting struct {
	request Request
	key     requestKey
	tier    *tier
	scope   *modelTier
	group   *group
	account *account
	holder  *holder
	// parked marks a request that is expected to miss its deadline and is kept
	// only because a lower tier waits; it competes for nothing.
	parked bool
	// tokens is the request's whole work, without regard to any cache.
	tokens int
	// giveUp is the time after which the deadline cannot be met.
	giveUp time.Time
	// stale is the time after which newer requests of the team go first.
	stale time.Time
	// resume is when a held request competes again, in nanoseconds since the
	// epoch; holds counts how often it was held.
	resume    int64
	holds     int
	heapIndex int
	inTeam    *list.Element
	inAccount *list.Element
	inHolder  *list.Element
}

// tier holds what is kept per priority. Tiers are served in strict order.
type tier struct {
	priority int
	// virtual is the virtual start time of the last request served
	// (start-time fair queueing).
	virtual  float64
	waiting  int
	accounts map[string]*account
	// groups lists the groups of all models in which a request waits.
	groups []*group
	// active lists the accounts with waiting requests, in a stable order.
	active []*account
}

// account is the share of one team in one tier.
type account struct {
	team string
	// virtual is the virtual start time of the team's next request: the tokens
	// served so far, divided by the team's weight.
	virtual float64
	weight  float64
	tokens  int
	// recent lists the team's waiting requests, oldest first.
	recent list.List
}

// group holds the waiting requests that compete for the same resource: one
// tier, one model, and long reads apart from the others, because a long read
// that has to wait for its share must not hold up short requests.
type group struct {
	class class
	model *model
	// fingerprint is set in groups of copies.
	fingerprint uint64
	teams       []*teamQueue
	// blocked is set during a pass once the first request cannot be placed.
	blocked bool
}

// teamQueue is the queue of one team within a group, in order of arrival.
type teamQueue struct {
	account *account
	items   list.List
}

// queue holds the waiting requests of a pool.
type queue struct {
	// tiers is sorted by descending priority.
	tiers     []*tier
	byKey     map[requestKey]*waiting
	deadlines deadlineHeap
	tokens    int
}

func newQueue() queue {
	return queue{byKey: map[requestKey]*waiting{}}
}

func (q *queue) len() int { return len(q.byKey) }

// tierFor returns the tier of a priority, which it creates when it is new.
func (q *queue) tierFor(priority int) *tier {
	at := sort.Search(len(q.tiers), func(i int) bool { return q.tiers[i].priority <= priority })
	if at < len(q.tiers) && q.tiers[at].priority == priority {
		return q.tiers[at]
	}
	created := &tier{priority: priority, accounts: map[string]*account{}}
	q.tiers = append(q.tiers, nil)
	copy(q.tiers[at+1:], q.tiers[at:])
	q.tiers[at] = created
	return created
}

// waitsBelow reports whether a request of a lower tier waits.
func (q *queue) waitsBelow(priority int) bool {
	for _, t := range q.tiers {
		if t.priority < priority && t.waiting > 0 {
			return true
		}
	}
	return false
}

// lowest returns the lowest tier in which a request waits, or nil.
func (q *queue) lowest() *tier {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].waiting > 0 {
			return q.tiers[i]
		}
	}
	return nil
}

// accountFor returns the account of a team, which it creates when it is new.
func (t *tier) accountFor(team string, weight int) *account {
	a := t.accounts[team]
	if a == nil {
		a = &account{team: team, virtual: t.virtual}
		t.accounts[team] = a
	}
	a.weight = float64(max(weight, 1))
	return a
}

// push appends a request to its team's queue.
func (q *queue) push(w *waiting) {
	a := w.account
	if a.recent.Len() == 0 {
		// A team that was idle must not spend the share that it did not use.
		a.virtual = max(a.virtual, w.tier.virtual)
		w.tier.active = append(w.tier.active, a)
	}
	w.inAccount = a.recent.PushBack(w)
	a.tokens += w.tokens
	q.compete(w)
	w.inHolder = w.holder.waiting.PushBack(w)
	w.tier.waiting++
	q.tokens += w.tokens
	q.byKey[w.key] = w
	heap.Push(&q.deadlines, w)
}

// remove takes a request out of the queue.
func (q *queue) remove(w *waiting) {
	a := w.account
	a.recent.Remove(w.inAccount)
	a.tokens -= w.tokens
	if a.recent.Len() == 0 {
		w.tier.deactivate(a)
	}
	q.park(w)
	w.holder.waiting.Remove(w.inHolder)
	w.tier.waiting--
	q.tokens -= w.tokens
	delete(q.byKey, w.key)
	heap.Remove(&q.deadlines, w.heapIndex)
	if w.tier.waiting == 0 {
		// Virtual time restarts with an empty tier, which also drops the
		// accounts of teams that have gone.
		w.tier.virtual = 0
		clear(w.tier.accounts)
	}
}

// compete enters a request into its group.
func (q *queue) compete(w *waiting) {
	if len(w.group.teams) == 0 {
		w.group.blocked = false
		w.tier.groups = append(w.tier.groups, w.group)
	}
	w.inTeam = w.group.teamFor(w.account).items.PushBack(w)
	w.scope.waiting++
	w.parked = false
}

// park takes a request out of its group, but not out of the queue.
func (q *queue) park(w *waiting) {
	if w.parked {
		return
	}
	w.parked = true
	w.scope.waiting--
	w.group.removeItem(w)
	if len(w.group.teams) > 0 {
		return
	}
	if w.group.class == classCopy {
		delete(w.scope.copies, w.group.fingerprint)
	}
	for i, g := range w.tier.groups {
		if g == w.group {
			w.tier.groups = append(w.tier.groups[:i], w.tier.groups[i+1:]...)
			return
		}
	}
}

// charge accounts for a request that is served.
func (w *waiting) charge(tokens int) {
	w.tier.virtual = w.account.virtual
	w.account.virtual += float64(max(tokens, 1)) / w.account.weight
}

func (t *tier) deactivate(a *account) {
	for i, other := range t.active {
		if other == a {
			t.active = append(t.active[:i], t.active[i+1:]...)
			break
		}
	}
	if a.virtual <= t.virtual {
		delete(t.accounts, a.team)
	}
}

func (g *group) teamFor(a *account) *teamQueue {
	for _, team := range g.teams {
		if team.account == a {
			return team
		}
	}
	team := &teamQueue{account: a}
	g.teams = append(g.teams, team)
	return team
}

func (g *group) removeItem(w *waiting) {
	for i, team := range g.teams {
		if team.account != w.account {
			continue
		}
		team.items.Remove(w.inTeam)
		if team.items.Len() == 0 {
			g.teams = append(g.teams[:i], g.teams[i+1:]...)
		}
		return
	}
}

// head returns the queue of the team that is furthest behind its share, or nil.
func (g *group) head() *teamQueue {
	var best *teamQueue
	for _, team := range g.teams {
		if best == nil || team.account.virtual < best.account.virtual {
			best = team
		}
	}
	return best
}

// patience is the share of its time that a request waits in order of arrival.
const patience = 0.75

// overloadChoice is the number of the newest requests among which the smallest
// is served in an overload.
const overloadChoice = 8

// first returns the request to serve next: the oldest, or in an overload, once
// the oldest has waited for most of its time, the smallest of the newest. Order
// of arrival would then serve every request shortly before its deadline, where
// few upstreams are fast enough; and as some of the team's requests must fail,
// fewer fail when the smaller ones are served.
func (q *teamQueue) first(now time.Time) *waiting {
	oldest := q.items.Front().Value.(*waiting)
	if now.Before(oldest.stale) {
		return oldest
	}
	element := q.items.Back()
	best := element.Value.(*waiting)
	for range overloadChoice - 1 {
		element = element.Prev()
		if element == nil {
			break
		}
		if w := element.Value.(*waiting); w.tokens < best.tokens {
			best = w
		}
	}
	return best
}

// deadlineHeap orders waiting requests by the time at which to give up.
type deadlineHeap []*waiting

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].giveUp.Before(h[j].giveUp) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiting)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
