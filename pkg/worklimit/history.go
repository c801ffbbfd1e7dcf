package worklimit

import "time"

// Resolution and length of a load history: answers take some tenths of a second to some
// seconds.
const (
	historyInterval = 100 * time.Millisecond
	historyLength   = 128
)

// LoadHistory keeps the load of an upstream over the last 12.8 s, since the load at the end
// of an answer says little about that at which its output was generated.
type LoadHistory struct {
	loads [historyLength]uint16
	// next is the number of the interval after the last one recorded. load is the load
	// since then.
	next  int64
	first int64
	load  uint16
	begun bool
}

// Record records that the load is now the given one.
func (h *LoadHistory) Record(now time.Duration, load int) {
	current := int64(now / historyInterval)
	if !h.begun {
		h.begun, h.first, h.next = true, current, current
	}
	h.fill(current)
	h.load = uint16(max(0, min(load, 1<<16-1)))
}

// fill records the present load for all intervals before current.
func (h *LoadHistory) fill(current int64) {
	if current-h.next > historyLength {
		h.next = current - historyLength
	}
	for ; h.next < current; h.next++ {
		h.loads[h.next%historyLength] = h.load
	}
}

// Mean returns the mean load from the time from to the time to, and false if the history
// does not reach back to a third of that time.
func (h *LoadHistory) Mean(from, to time.Duration) (float64, bool) {
	if !h.begun || to < from {
		return 0, false
	}
	first, last := int64(from/historyInterval), int64(to/historyInterval)
	h.fill(last)
	oldest := max(h.first, h.next-historyLength)
	const minCovered = 3
	if first < oldest && (last-oldest+1)*minCovered < last-first+1 {
		return 0, false
	}
	sum, n := 0.0, 0
	for i := max(first, oldest); i <= last; i++ {
		if i < h.next {
			sum += float64(h.loads[i%historyLength])
		} else {
			sum += float64(h.load)
		}
		n++
	}
	if n == 0 {
		return 0, false
	}
	return sum / float64(n), true
}
