// Package delegation lets one instance of a large failure domain, the relay, place the
// requests of the others, its followers. Both sides repeat their state until the other
// has confirmed it, so that a lost message costs only time. A follower that gets no
// confirmation in time decides for itself; whether and where a request runs is always
// decided by the follower that has it, so that no request runs twice.
//
// The package has no I/O and reads no clock.
package delegation

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

const (
	// relayFreshness is the longest time since the last reply of a relay that still gets
	// requests. Two replies have then been lost.
	relayFreshness = 300 * time.Millisecond
	// confirmTimeout is the time in which the relay must confirm that it has received a
	// request. The round trip takes a millisecond or two; a relay that needs longer is
	// overloaded, suspended or lost.
	confirmTimeout = 60 * time.Millisecond
	// resendInterval is the time after which a report with unconfirmed requests is sent
	// again.
	resendInterval = 20 * time.Millisecond
	// silenceTimeout is the time without a reply after which confirmed requests are
	// taken back. The relay replies every replyInterval while requests wait.
	silenceTimeout = 4 * replyInterval
	// maxWaiting bounds the requests in a report.
	maxWaiting = 64
)

// Decision is a decision of the relay on a request of a follower. Its Key is that of the
// follower, and Sequence grows with each decision for this follower.
type Decision struct {
	admission.Decision
	Sequence uint64
}

// Follower is the state of an instance that has its requests placed by a relay.
type Follower struct {
	// relay and relayStart identify the process that decides, and lastReply is the time
	// of its last reply.
	relay      string
	relayStart int64
	lastReply  time.Duration
	replied    bool
	waiting    map[uint64]*waitingRequest
	// lastSeen is the sequence number of the last decision received from the process.
	lastSeen uint64
}

// waitingRequest is a request that the relay has not decided yet.
type waitingRequest struct {
	request   *admission.Request
	since     time.Duration
	sentAt    time.Duration
	report    uint64
	confirmed bool
}

// NewFollower returns a follower without a relay.
func NewFollower() *Follower { return &Follower{waiting: map[uint64]*waitingRequest{}} }

// SetRelay sets the instance that decides; it is empty if this instance decides itself.
// It returns the requests that waited for another relay.
func (f *Follower) SetRelay(relay string) []*admission.Request {
	if relay == f.relay {
		return nil
	}
	f.relay, f.relayStart, f.replied, f.lastSeen = relay, 0, false, 0
	return f.takeBack(func(*waitingRequest) bool { return true })
}

// Relay returns the instance that decides, or an empty name.
func (f *Follower) Relay() string { return f.relay }

// Ready reports whether requests should be submitted to the relay.
func (f *Follower) Ready(now time.Duration) bool {
	return f.relay != "" && f.replied && now-f.lastReply <= relayFreshness && len(f.waiting) < maxWaiting
}

// Submit adds a request that the relay is to place.
func (f *Follower) Submit(now time.Duration, request *admission.Request) {
	f.waiting[request.Key] = &waitingRequest{request: request, since: now}
}

// Cancel removes a request and reports whether it was waiting for a decision.
func (f *Follower) Cancel(key uint64) bool {
	_, found := f.waiting[key]
	delete(f.waiting, key)
	return found
}

// WaitingCount returns the number of requests that wait for a decision.
func (f *Follower) WaitingCount() int { return len(f.waiting) }

// Waiting returns the requests for the report with the given sequence number, which is
// sent now.
func (f *Follower) Waiting(now time.Duration, sequence uint64) []*admission.Request {
	requests := make([]*admission.Request, 0, len(f.waiting))
	for _, w := range f.waiting {
		if w.report == 0 {
			w.report = sequence
		}
		w.sentAt = now
		requests = append(requests, w.request)
	}
	slices.SortFunc(requests, byKey)
	return requests
}

func byKey(a, b *admission.Request) int { return cmp.Compare(a.Key, b.Key) }

// ReportDue reports whether a report must be sent at once: it has requests that the
// relay does not know of.
func (f *Follower) ReportDue(now time.Duration) bool {
	for _, w := range f.waiting {
		if w.report == 0 || (!w.confirmed && now-w.sentAt >= resendInterval) {
			return true
		}
	}
	return false
}

// Seen returns the process of the relay, by its start time, and the sequence number of
// the last decision received from it.
func (f *Follower) Seen() (relayStart int64, sequence uint64) { return f.relayStart, f.lastSeen }

// Decided is a decision together with the request that it is about.
type Decided struct {
	Request *admission.Request
	Decision
}

// HandleReply applies a reply of the process that started at start. reportSeen is the
// sequence number of the last report that the relay had received. It returns the
// decisions on requests that still wait.
func (f *Follower) HandleReply(now time.Duration, relay string, start int64, reportSeen uint64, decisions []Decision) []Decided {
	if relay != f.relay || start < f.relayStart {
		return nil
	}
	if start > f.relayStart {
		f.relayStart, f.lastSeen = start, 0
	}
	f.lastReply, f.replied = now, true
	for _, w := range f.waiting {
		w.confirmed = w.confirmed || (w.report > 0 && reportSeen >= w.report)
	}
	var decided []Decided
	for _, decision := range decisions {
		f.lastSeen = max(f.lastSeen, decision.Sequence)
		if w := f.waiting[decision.Key]; w != nil {
			delete(f.waiting, decision.Key)
			decided = append(decided, Decided{Request: w.request, Decision: decision})
		}
	}
	return decided
}

// TakeBack removes and returns the requests that the relay has not confirmed in time, or
// all of them if it has become silent. The follower then decides itself.
func (f *Follower) TakeBack(now time.Duration) []*admission.Request {
	silent := now-f.lastReply > silenceTimeout
	taken := f.takeBack(func(w *waitingRequest) bool {
		if w.confirmed {
			return silent
		}
		return now-w.since > confirmTimeout
	})
	if len(taken) > 0 {
		// The next reply shows that the relay works again.
		f.replied = false
	}
	return taken
}

func (f *Follower) takeBack(condition func(*waitingRequest) bool) []*admission.Request {
	var taken []*admission.Request
	for key, w := range f.waiting {
		if condition(w) {
			delete(f.waiting, key)
			taken = append(taken, w.request)
		}
	}
	slices.SortFunc(taken, byKey)
	return taken
}
