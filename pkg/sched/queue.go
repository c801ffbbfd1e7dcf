package sched

import (
	"container/heap"
	"container/list"
	"sort"
	"time"
)

// requestKey identifies a request by its holder and ID.
type requestKey struct {
	holder string
	id     string
}

// queuedRequest is a waiting request with its positions in the lists and the
// heap of the queue.
type queuedRequest struct {
	request   Request
	key       requestKey
	tier      *tier
	modelTier *modelTier
	group     *group
	flow      *flow
	holder    *holder
	// outOfGroup is set while the request takes no part in scheduling: it is
	// deferred until a prefix is cached, or it is expected to miss its deadline
	// and stays queued only because a lower tier waits.
	outOfGroup bool
	// tokens is the prompt and output size, regardless of cached prefixes.
	tokens int
	// expiresAt is when the request is refused: the time from which its
	// deadline cannot be met, or the deadline itself after handleUnmeetable
	// kept it.
	expiresAt time.Time
	// overloadAt is the time from which newer requests of the team may be
	// served first.
	overloadAt time.Time
	// deferredUntil is the end of a deferral, in nanoseconds since the epoch,
	// or 0; deferrals counts how often the request was deferred.
	deferredUntil int64
	deferrals     int
	heapIndex     int
	inTeamQueue   *list.Element
	inFlow        *list.Element
	inHolder      *list.Element
}

// tier holds the waiting requests of one priority. Tiers are served in strict
// priority order.
type tier struct {
	priority int
	// virtualTime is the virtual start time of the last request served
	// (start-time fair queueing).
	virtualTime float64
	waiting     int
	flows       map[string]*flow
	// groups lists the groups that have waiting requests, of all models.
	groups []*group
	// activeFlows lists the flows with waiting requests, in a stable order.
	activeFlows []*flow
}

// flow is one team in one tier, in terms of start-time fair queueing.
type flow struct {
	team string
	// virtualStart is the virtual start time of the team's next request. It
	// advances by the tokens served, divided by the team's weight.
	virtualStart float64
	weight       float64
	queuedTokens int
	// requests lists the team's waiting requests, oldest first.
	requests list.List
}

// group holds the waiting requests that compete for the same resource: those of
// one tier, one model and one class. Long prompts have groups of their own, so
// that a long prompt that waits for the share of tokens open to long prompts
// does not block short ones.
type group struct {
	class requestClass
	model *model
	// fingerprint is set in groups of class classCopy.
	fingerprint uint64
	teamQueues  []*teamQueue
	// blocked is set for the rest of a scheduling pass once the next request
	// cannot be placed.
	blocked bool
}

// teamQueue is the queue of one team within a group, in order of arrival.
type teamQueue struct {
	flow     *flow
	requests list.List
}

// queue holds the waiting requests of a pool.
type queue struct {
	// tiers is sorted by descending priority.
	tiers    []*tier
	byKey    map[requestKey]*queuedRequest
	expiries expiryHeap
	tokens   int
}

func newQueue() queue {
	return queue{byKey: map[requestKey]*queuedRequest{}}
}

func (q *queue) len() int { return len(q.byKey) }

// tierFor returns the tier with a priority, creating it if needed.
func (q *queue) tierFor(priority int) *tier {
	position := sort.Search(len(q.tiers), func(i int) bool { return q.tiers[i].priority <= priority })
	if position < len(q.tiers) && q.tiers[position].priority == priority {
		return q.tiers[position]
	}
	created := &tier{priority: priority, flows: map[string]*flow{}}
	q.tiers = append(q.tiers, nil)
	copy(q.tiers[position+1:], q.tiers[position:])
	q.tiers[position] = created
	return created
}

// hasWaitingBelow reports whether a request with a lower priority waits.
func (q *queue) hasWaitingBelow(priority int) bool {
	for _, t := range q.tiers {
		if t.priority < priority && t.waiting > 0 {
			return true
		}
	}
	return false
}

// lowestWaitingTier returns the lowest tier that has a waiting request, or nil.
func (q *queue) lowestWaitingTier() *tier {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].waiting > 0 {
			return q.tiers[i]
		}
	}
	return nil
}

// flowFor returns the flow of a team, creating it if needed.
func (t *tier) flowFor(team string, weight int) *flow {
	f := t.flows[team]
	if f == nil {
		f = &flow{team: team, virtualStart: t.virtualTime}
		t.flows[team] = f
	}
	f.weight = float64(max(weight, 1))
	return f
}

// push appends a request to its team's queue.
func (q *queue) push(w *queuedRequest) {
	f := w.flow
	if f.requests.Len() == 0 {
		// An idle team must not accumulate credit for the share it did not use.
		f.virtualStart = max(f.virtualStart, w.tier.virtualTime)
		w.tier.activeFlows = append(w.tier.activeFlows, f)
	}
	w.inFlow = f.requests.PushBack(w)
	f.queuedTokens += w.tokens
	q.enterGroup(w)
	w.inHolder = w.holder.waiting.PushBack(w)
	w.tier.waiting++
	q.tokens += w.tokens
	q.byKey[w.key] = w
	heap.Push(&q.expiries, w)
}

// remove removes a request from the queue.
func (q *queue) remove(w *queuedRequest) {
	f := w.flow
	f.requests.Remove(w.inFlow)
	f.queuedTokens -= w.tokens
	if f.requests.Len() == 0 {
		w.tier.removeActiveFlow(f)
	}
	q.leaveGroup(w)
	w.holder.waiting.Remove(w.inHolder)
	w.tier.waiting--
	q.tokens -= w.tokens
	delete(q.byKey, w.key)
	heap.Remove(&q.expiries, w.heapIndex)
	if w.tier.waiting == 0 {
		// Virtual time restarts when the tier is empty, which also removes the
		// flows of teams without requests.
		w.tier.virtualTime = 0
		clear(w.tier.flows)
	}
}

// enterGroup adds a request to its group.
func (q *queue) enterGroup(w *queuedRequest) {
	if len(w.group.teamQueues) == 0 {
		w.group.blocked = false
		w.tier.groups = append(w.tier.groups, w.group)
	}
	w.inTeamQueue = w.group.teamQueueFor(w.flow).requests.PushBack(w)
	w.modelTier.waiting++
	w.outOfGroup = false
}

// leaveGroup removes a request from its group; it stays in the queue.
func (q *queue) leaveGroup(w *queuedRequest) {
	if w.outOfGroup {
		return
	}
	w.outOfGroup = true
	w.modelTier.waiting--
	w.group.remove(w)
	if len(w.group.teamQueues) > 0 {
		return
	}
	if w.group.class == classCopy {
		delete(w.modelTier.copyGroups, w.group.fingerprint)
	}
	for i, g := range w.tier.groups {
		if g == w.group {
			w.tier.groups = append(w.tier.groups[:i], w.tier.groups[i+1:]...)
			return
		}
	}
}

// charge advances the virtual time of the request's tier and flow by the cost
// of serving it.
func (w *queuedRequest) charge(tokens int) {
	w.tier.virtualTime = w.flow.virtualStart
	w.flow.virtualStart += float64(max(tokens, 1)) / w.flow.weight
}

func (t *tier) removeActiveFlow(f *flow) {
	for i, other := range t.activeFlows {
		if other == f {
			t.activeFlows = append(t.activeFlows[:i], t.activeFlows[i+1:]...)
			break
		}
	}
	if f.virtualStart <= t.virtualTime {
		delete(t.flows, f.team)
	}
}

func (g *group) teamQueueFor(f *flow) *teamQueue {
	for _, tq := range g.teamQueues {
		if tq.flow == f {
			return tq
		}
	}
	tq := &teamQueue{flow: f}
	g.teamQueues = append(g.teamQueues, tq)
	return tq
}

func (g *group) remove(w *queuedRequest) {
	for i, tq := range g.teamQueues {
		if tq.flow != w.flow {
			continue
		}
		tq.requests.Remove(w.inTeamQueue)
		if tq.requests.Len() == 0 {
			g.teamQueues = append(g.teamQueues[:i], g.teamQueues[i+1:]...)
		}
		return
	}
}

// nextTeamQueue returns the queue of the team with the earliest virtual start
// time, or nil if the group is empty.
func (g *group) nextTeamQueue() *teamQueue {
	var best *teamQueue
	for _, tq := range g.teamQueues {
		if best == nil || tq.flow.virtualStart < best.flow.virtualStart {
			best = tq
		}
	}
	return best
}

// overloadWaitShare is the share of the time between arrival and expiry after
// which the oldest request of a team no longer goes first.
const overloadWaitShare = 0.75

// overloadCandidates is the number of newest requests from which the smallest
// is served under overload.
const overloadCandidates = 8

// next returns the request to serve next: the oldest, or, once the oldest has
// waited for most of its available time, the smallest of the newest requests.
// Under overload, arrival order would serve every request shortly before its
// deadline, when few upstreams are fast enough; as some of the team's requests
// must fail, serving smaller ones lets fewer fail.
func (q *teamQueue) next(now time.Time) *queuedRequest {
	oldest := q.requests.Front().Value.(*queuedRequest)
	if now.Before(oldest.overloadAt) {
		return oldest
	}
	element := q.requests.Back()
	best := element.Value.(*queuedRequest)
	for range overloadCandidates - 1 {
		element = element.Prev()
		if element == nil {
			break
		}
		if w := element.Value.(*queuedRequest); w.tokens < best.tokens {
			best = w
		}
	}
	return best
}

// expiryHeap orders waiting requests by expiresAt.
type expiryHeap []*queuedRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
