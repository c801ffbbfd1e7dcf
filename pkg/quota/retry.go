package quota

import "time"

// RetryRules limit how many requests are retried.
type RetryRules struct {
	Window time.Duration
	// Ratio is the part of a service's requests that may be retried, and Extra the
	// number of retries beyond it that all instances together may make in a window.
	Ratio float64
	Extra float64
}

// usableFraction is the part of the retry budget that instances use. The rest allows
// for windows that instances start at different times.
const usableFraction = 0.8

// RetryBudget holds this instance's share of the retry budget of each service. Shares
// need no messages: the ratio applies to the instance's own requests, and the extra
// number is divided among all instances.
type RetryBudget struct {
	rules    RetryRules
	requests map[string]*Window
	retries  map[string]*Window
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(rules RetryRules) *RetryBudget {
	return &RetryBudget{rules: rules, requests: map[string]*Window{}, retries: map[string]*Window{}}
}

// CountRequest counts a request for a service.
func (r *RetryBudget) CountRequest(now time.Duration, service string) {
	windowOf(r.requests, service, r.rules.Window).Add(now, 1)
}

// Take uses one retry if this instance's share allows it. instances is the number of
// instances that share the budget.
func (r *RetryBudget) Take(now time.Duration, service string, instances int) bool {
	requests := windowOf(r.requests, service, r.rules.Window).Sum(now)
	retries := windowOf(r.retries, service, r.rules.Window)
	budget := usableFraction * (r.rules.Ratio*requests + r.rules.Extra/float64(max(1, instances)))
	if retries.Sum(now)+1 > budget {
		return false
	}
	retries.Add(now, 1)
	return true
}

func windowOf(windows map[string]*Window, name string, length time.Duration) *Window {
	w := windows[name]
	if w == nil {
		w = NewWindow(length)
		windows[name] = w
	}
	return w
}
