package quota

import "time"

// RetryRules limit how many requests are retried.
type RetryRules struct {
	Window time.Duration
	// Ratio is the part of a service's requests that may be retried, and Extra the
	// number of retries beyond it that all instances together may make in a window.
	Ratio float64
	Extra float64
	// ReportTimeout is the age up to which a peer's report counts as current.
	ReportTimeout time.Duration
}

// usableFraction is the part of the retry budget that instances use. The rest allows
// for retries between two reports.
const usableFraction = 0.8

// RetryCounts are the requests for a service and their retries within the window.
type RetryCounts struct {
	Requests, Retries float64
}

func (c RetryCounts) plus(other RetryCounts) RetryCounts {
	return RetryCounts{Requests: c.Requests + other.Requests, Retries: c.Retries + other.Retries}
}

// RetryBudget enforces the retry budget of each service over all instances.
//
// Load pattern: a service fails a seventh of its requests, at 300 instances that get two
// requests for it a second. A fixed share of the budget for each instance, of one or two
// retries, is used up at some while most of the budget is unused.
type RetryBudget struct {
	rules    RetryRules
	requests map[string]*Window
	retries  map[string]*Window
	peers    map[string]*peerRetries
	view     retryView
}

// peerRetries are the counts that a peer, or the relay of another failure domain, has
// reported.
type peerRetries struct {
	reported     time.Duration
	remoteDomain bool
	instances    int
	counts       map[string]RetryCounts
}

// retryView is what the relay of a large failure domain knows.
type retryView struct {
	RetryView
	receivedAt time.Duration
	received   bool
}

// RetryView holds the retries of all instances as the relay of a large failure domain
// knows them.
type RetryView struct {
	// Totals are the counts of all instances by service, and OwnReported the part of
	// them that this instance had reported.
	Totals, OwnReported map[string]RetryCounts
	// Reachable is the number of instances of which the relay has recent reports.
	Reachable int
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(rules RetryRules) *RetryBudget {
	return &RetryBudget{rules: rules, requests: map[string]*Window{}, retries: map[string]*Window{}, peers: map[string]*peerRetries{}}
}

// CountRequest counts a request for a service.
func (r *RetryBudget) CountRequest(now time.Duration, service string) {
	windowOf(r.requests, service, r.rules.Window).Add(now, 1)
}

// Take uses one retry if the budget allows it. instances is the number of instances that
// share the budget. Those that are not reachable keep their share of the extra retries.
func (r *RetryBudget) Take(now time.Duration, service string, instances int) bool {
	counts, reachable := r.total(now, service)
	share := min(1, float64(reachable)/float64(max(1, instances)))
	if counts.Retries+1 > usableFraction*(r.rules.Ratio*counts.Requests+r.rules.Extra*share) {
		return false
	}
	windowOf(r.retries, service, r.rules.Window).Add(now, 1)
	return true
}

// total returns the counts of a service as known here, and the number of instances with
// recent reports, this one included.
func (r *RetryBudget) total(now time.Duration, service string) (counts RetryCounts, reachable int) {
	counts = r.own(now, service)
	if r.view.received && now-r.view.receivedAt <= r.rules.ReportTimeout {
		before, others := r.view.OwnReported[service], r.view.Totals[service]
		counts.Requests += max(0, others.Requests-before.Requests)
		counts.Retries += max(0, others.Retries-before.Retries)
		return counts, max(1, r.view.Reachable)
	}
	reachable = 1
	for name, peer := range r.peers {
		age := now - peer.reported
		if age > r.rules.Window {
			delete(r.peers, name)
			continue
		}
		// What a lost instance has reported stays in the window.
		counts = counts.plus(peer.counts[service])
		if age <= r.rules.ReportTimeout {
			reachable += peer.instances
		}
	}
	return counts, reachable
}

func (r *RetryBudget) own(now time.Duration, service string) RetryCounts {
	return RetryCounts{
		Requests: windowOf(r.requests, service, r.rules.Window).Sum(now),
		Retries:  windowOf(r.retries, service, r.rules.Window).Sum(now),
	}
}

// Counts returns the counts of the instances in scope, by service.
func (r *RetryBudget) Counts(now time.Duration, scope RetryScope) map[string]RetryCounts {
	counts := make(map[string]RetryCounts, len(r.requests))
	for service := range r.requests {
		counts[service] = r.own(now, service)
	}
	for _, peer := range r.peers {
		if scope == OwnRetries || (scope == DomainRetries && peer.remoteDomain) || now-peer.reported > r.rules.Window {
			continue
		}
		for service, c := range peer.counts {
			counts[service] = counts[service].plus(c)
		}
	}
	return counts
}

// RetryScope selects the instances whose counts are added up.
type RetryScope int

// Scopes of Counts: this instance, its failure domain, and all instances.
const (
	OwnRetries RetryScope = iota
	DomainRetries
	FleetRetries
)

// ApplyPeer applies the counts that a peer has reported for itself or, as the relay of
// another failure domain, for the given number of instances. Services that the report
// does not name keep their counts.
func (r *RetryBudget) ApplyPeer(now time.Duration, peer string, remoteDomain bool, instances int, counts map[string]RetryCounts) {
	p := r.peers[peer]
	if p == nil {
		p = &peerRetries{counts: map[string]RetryCounts{}}
		r.peers[peer] = p
	}
	p.reported, p.remoteDomain, p.instances = now, remoteDomain, instances
	for service, c := range counts {
		p.counts[service] = c
	}
}

// ApplyView applies a view of the relay.
func (r *RetryBudget) ApplyView(now time.Duration, view RetryView) {
	r.view = retryView{RetryView: view, receivedAt: now, received: true}
}

// EndView stops using the relay's views, since this instance is the relay itself now.
func (r *RetryBudget) EndView() { r.view = retryView{} }

func windowOf(windows map[string]*Window, name string, length time.Duration) *Window {
	w := windows[name]
	if w == nil {
		w = NewWindow(length)
		windows[name] = w
	}
	return w
}
