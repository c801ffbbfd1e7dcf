package quota

import "time"

// RetryRules bound how many requests are sent a second time.
type RetryRules struct {
	Window time.Duration
	// Ratio is the part of a service's requests that may be sent again, and
	// Extra the number beyond it, over all instances.
	Ratio float64
	Extra float64
}

// retrySafety is the part of the budget that is used. The rest covers windows
// that two instances count at different moments.
const retrySafety = 0.8

// Retries holds this instance's share of the retry budget, per service. Shares
// need no messages: the ratio is taken of the instance's own requests, and the
// extra number is divided among all instances.
type Retries struct {
	rules    RetryRules
	requests map[string]*Window
	repeats  map[string]*Window
}

// NewRetries returns an unused budget.
func NewRetries(rules RetryRules) *Retries {
	return &Retries{rules: rules, requests: map[string]*Window{}, repeats: map[string]*Window{}}
}

// Request counts a request for a service.
func (r *Retries) Request(now time.Duration, service string) {
	windowOf(r.requests, service, r.rules.Window).Add(now, 1)
}

// Take uses one repetition, if there is room in the share of one of the given
// number of instances.
func (r *Retries) Take(now time.Duration, service string, instances int) bool {
	requests := windowOf(r.requests, service, r.rules.Window).Sum(now)
	repeats := windowOf(r.repeats, service, r.rules.Window)
	room := retrySafety * (r.rules.Ratio*requests + r.rules.Extra/float64(max(1, instances)))
	if repeats.Sum(now)+1 > room {
		return false
	}
	repeats.Add(now, 1)
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
