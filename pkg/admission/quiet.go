package admission

import "time"

// Load pattern of quiet times: an upstream that is overloaded turns requests away and asks
// each instance to send none for some seconds. When the time ends, all instances have
// requests for it at the same moment, and it would be overloaded again.

const (
	// A quiet time is extended at random by up to quietSpread of it, and by
	// maxQuietSpread at most, so that the instances return one after another.
	quietSpread    = 0.1
	maxQuietSpread = 500 * time.Millisecond
)

// SetQuiet stops requests to a process that has asked for it, for a time. After it,
// requests are sent one at a time until one is answered. The end of the time is kept
// beside the upstream, whose record may vanish and return.
func (p *Pool) SetQuiet(now time.Duration, process Process, quiet time.Duration) {
	for known, end := range p.quietUntil {
		if now >= end {
			delete(p.quietUntil, known)
		}
	}
	spread := min(time.Duration(float64(quiet)*quietSpread), maxQuietSpread)
	end := now + quiet + time.Duration(p.random.Float64()*float64(spread))
	p.quietUntil[process] = max(p.quietUntil[process], end)
	if u := p.upstreams[process.ID]; u != nil {
		p.applyQuiet(u)
	}
}

// applyQuiet applies the quiet time of an upstream's process, if there is one.
func (p *Pool) applyQuiet(u *upstream) {
	if end, quiet := p.quietUntil[u.info.Process()]; quiet {
		u.quietUntil = end
		u.failedAttempts = max(1, u.failedAttempts)
	}
}

// accepts reports whether the upstream wants the request now. A quiet time is for the
// requests of this instance only, not for those that it places for others.
func (u *upstream) accepts(now time.Duration, r *Request) bool {
	return r.Delegated || now >= u.quietUntil
}

// AllQuiet reports whether no upstream wants a request of this instance now, although some
// will later.
func (p *Pool) AllQuiet(now time.Duration) bool {
	_, quiet := p.quietEnd(now)
	return quiet
}

// SetLeaving records that a process of an upstream has said that it leaves, and reports
// whether this was unknown. It holds as long as the process runs, whatever its record
// says.
func (p *Pool) SetLeaving(process Process) bool {
	u := p.upstreams[process.ID]
	if u == nil || u.info.Incarnation != process.Incarnation || u.leaving {
		return false
	}
	u.leaving = true
	return true
}

// Barred returns the upstreams to which this instance sends nothing by the upstreams' own
// word, although others may.
func (p *Pool) Barred(now time.Duration) []string {
	var barred []string
	for _, u := range p.sorted {
		if u.leaving || now < u.quietUntil {
			barred = append(barred, u.info.ID)
		}
	}
	return barred
}

// quietEnd returns when the first upstream ends its quiet time, and false if there is an
// upstream that has none and stays.
func (p *Pool) quietEnd(now time.Duration) (time.Duration, bool) {
	first := time.Duration(0)
	for _, u := range p.sorted {
		switch {
		case u.info.Leaving || u.leaving:
		case now >= u.quietUntil:
			return 0, false
		case first == 0 || u.quietUntil < first:
			first = u.quietUntil
		}
	}
	return first, first > 0
}

// waitForQuiet decides about a request while all upstreams want quiet. It waits if it can
// still be served in time afterwards. Otherwise it is refused, and its caller is told when
// an upstream accepts requests again, however long that is.
func (p *Pool) waitForQuiet(now time.Duration, r *Request, end time.Duration) (Decision, bool) {
	if end < r.SoftDeadline {
		return Decision{}, false
	}
	refused := p.refuse(now, r, "all upstreams have asked for no requests")
	spread := min(time.Duration(float64(end-now)*quietSpread), maxQuietSpread)
	refused.RetryAfter = max(minRetryAfter, end-now+time.Duration(p.random.Float64()*float64(spread)))
	return refused, true
}
