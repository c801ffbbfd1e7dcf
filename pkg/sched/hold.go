package sched

import "time"

// Bounds of holding a request back for a prefix.
const (
	longestHold = 2 * time.Second
	// holdTokens is the prefill from which waiting for a prefix is worth it.
	holdTokens = 1024
	mostHolds  = 1
)

// prefilling lists the prefixes that an upstream is expected to be processing.
// An engine finds a prefix in its cache only once it is complete: a request
// with the same prefix that arrives earlier processes it again.
type prefilling struct {
	byHash map[uint64]pendingPrefix
	// order lists the hashes in the order in which they were added.
	order []uint64
}

type pendingPrefix struct {
	upstream int32
	ready    int64
}

// add records the prefixes that a grant makes an upstream process.
func (f *prefilling) add(upstream int32, work *Work, cached int, ready int64) {
	for i, hash := range work.PrefixHashes {
		if i >= len(work.PrefixTokens) || work.PrefixTokens[i] <= cached {
			continue
		}
		if _, known := f.byHash[hash]; !known {
			f.order = append(f.order, hash)
		}
		f.byHash[hash] = pendingPrefix{upstream, ready}
	}
}

// expire forgets what is complete. Entries are nearly in order of time; one
// that is kept longer than needed is harmless.
func (f *prefilling) expire(now int64) {
	done := 0
	for done < len(f.order) && f.byHash[f.order[done]].ready <= now {
		delete(f.byHash, f.order[done])
		done++
	}
	f.order = f.order[done:]
	if len(f.order) == 0 {
		f.order = nil
	}
}

// readyAt returns when the upstream will have completed the prefixes of the
// request that it is processing now, if they are long enough to wait for.
func (f *prefilling) readyAt(now int64, upstream int32, work *Work, cached int) (int64, bool) {
	complete, ready := 0, int64(0)
	for i, hash := range work.PrefixHashes {
		if i >= len(work.PrefixTokens) || work.PrefixTokens[i] > cached {
			break
		}
		pending, known := f.byHash[hash]
		if !known || pending.upstream != upstream || pending.ready <= now {
			complete = work.PrefixTokens[i]
			continue
		}
		ready = max(ready, pending.ready)
	}
	return ready, ready > 0 && cached-complete >= holdTokens
}

// hold keeps the request back until the chosen upstream has completed a prefix
// that it needs, and reports whether it does. It competes for nothing until
// then, as it fits nowhere better.
func (p *Pool) hold(c *candidate, w *waiting, u *upstream) bool {
	if w.holds >= mostHolds {
		return false
	}
	ready, pays := p.prefilling.readyAt(c.now, u.index, c.work, p.prefixes.cached[u.index])
	if !pays || ready-c.now > int64(longestHold) {
		return false
	}
	w.holds++
	w.resume = ready
	p.queue.park(w)
	p.held = append(p.held, w)
	return true
}

// resume lets held requests compete again.
func (p *Pool) resume(now int64) {
	kept := p.held[:0]
	for _, w := range p.held {
		if w.resume > now {
			kept = append(kept, w)
			continue
		}
		w.resume = 0
		w.group = p.groupFor(w)
		p.queue.compete(w)
	}
	clear(p.held[len(kept):])
	p.held = kept
}

// unhold forgets a request that leaves the queue.
func (p *Pool) unhold(w *waiting) {
	if w.resume == 0 {
		return
	}
	for i, other := range p.held {
		if other == w {
			p.held = append(p.held[:i], p.held[i+1:]...)
			return
		}
	}
}

// nextResume is when the next held request competes again; 0 means never.
func (p *Pool) nextResume() int64 {
	next := int64(0)
	for _, w := range p.held {
		if next == 0 || w.resume < next {
			next = w.resume
		}
	}
	return next
}
