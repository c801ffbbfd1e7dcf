package sched

import "time"

// Bounds on deferring a request until a prefix is cached.
const (
	maxDeferral = 2 * time.Second
	// minDeferralTokens is the prefill size from which it is worth waiting for
	// a cached prefix.
	minDeferralTokens = 1024
	maxDeferrals      = 1
)

// pendingPrefixes tracks the prefixes that an upstream is expected to be
// prefilling. An engine serves a prefix from its cache only once the prefix is
// complete: a request with the same prefix that arrives earlier would prefill
// it again.
type pendingPrefixes struct {
	byHash map[uint64]pendingPrefix
	// order lists the hashes in the order in which they were added.
	order []uint64
}

type pendingPrefix struct {
	upstream int32
	readyAt  int64
}

// add records the prefixes that an upstream has to prefill for a grant.
func (p *pendingPrefixes) add(upstream int32, work *Work, cached int, readyAt int64) {
	for i, hash := range work.PrefixHashes {
		if i >= len(work.PrefixTokens) || work.PrefixTokens[i] <= cached {
			continue
		}
		if _, known := p.byHash[hash]; !known {
			p.order = append(p.order, hash)
		}
		p.byHash[hash] = pendingPrefix{upstream, readyAt}
	}
}

// expire removes completed prefixes. Entries are only roughly ordered by time;
// keeping one longer than needed is harmless.
func (p *pendingPrefixes) expire(now int64) {
	expired := 0
	for expired < len(p.order) && p.byHash[p.order[expired]].readyAt <= now {
		delete(p.byHash, p.order[expired])
		expired++
	}
	p.order = p.order[expired:]
	if len(p.order) == 0 {
		p.order = nil
	}
}

// deferUntil returns when the upstream is expected to have completed those
// prefixes of the request that are being prefilled there now, and whether they
// are long enough to wait for.
func (p *pendingPrefixes) deferUntil(now int64, upstream int32, work *Work, cached int) (int64, bool) {
	complete, ready := 0, int64(0)
	for i, hash := range work.PrefixHashes {
		if i >= len(work.PrefixTokens) || work.PrefixTokens[i] > cached {
			break
		}
		pending, known := p.byHash[hash]
		if !known || pending.upstream != upstream || pending.readyAt <= now {
			complete = work.PrefixTokens[i]
			continue
		}
		ready = max(ready, pending.readyAt)
	}
	return ready, ready > 0 && cached-complete >= minDeferralTokens
}

// deferForPrefix defers the request until the chosen upstream has completed a
// prefix that the request needs, and reports whether it does so. A deferred
// request is not considered for other upstreams, as the chosen one has the
// lowest cost.
func (p *Pool) deferForPrefix(c *candidate, w *queuedRequest, u *upstream) bool {
	if w.deferrals >= maxDeferrals {
		return false
	}
	ready, worthwhile := p.pendingPrefixes.deferUntil(c.now, u.index, c.work, p.prefixes.cached[u.index])
	if !worthwhile || ready-c.now > int64(maxDeferral) {
		return false
	}
	w.deferrals++
	w.deferredUntil = ready
	p.queue.leaveGroup(w)
	p.deferred = append(p.deferred, w)
	return true
}

// resumeDeferred returns requests to their groups when their deferral ends.
func (p *Pool) resumeDeferred(now int64) {
	kept := p.deferred[:0]
	for _, w := range p.deferred {
		if w.deferredUntil > now {
			kept = append(kept, w)
			continue
		}
		w.deferredUntil = 0
		w.group = p.groupFor(w)
		p.queue.enterGroup(w)
	}
	clear(p.deferred[len(kept):])
	p.deferred = kept
}

// removeDeferred removes a request from the list of deferred requests when it
// leaves the queue.
func (p *Pool) removeDeferred(w *queuedRequest) {
	if w.deferredUntil == 0 {
		return
	}
	for i, other := range p.deferred {
		if other == w {
			p.deferred = append(p.deferred[:i], p.deferred[i+1:]...)
			return
		}
	}
}

// nextDeferredUntil returns when the next deferral ends, or 0 if no
// request is deferred.
func (p *Pool) nextDeferredUntil() int64 {
	next := int64(0)
	for _, w := range p.deferred {
		if next == 0 || w.deferredUntil < next {
			next = w.deferredUntil
		}
	}
	return next
}
