// Package quota counts what teams and retries use over sliding windows, at one
// instance and over all of them.
package quota

import "time"

// buckets is the number of parts of a window. The window that is counted is
// longer than the nominal one by one part.
const buckets = 32

// Window is a sum over a sliding window of time.
type Window struct {
	part    time.Duration
	amounts [buckets + 1]float64
	// current is the number of the newest part since time 0.
	current int64
	sum     float64
}

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration) *Window {
	return &Window{part: length / buckets}
}

// Add counts an amount; a negative one takes back what was counted before.
func (w *Window) Add(now time.Duration, amount float64) {
	w.advance(now)
	w.amounts[w.current%(buckets+1)] += amount
	w.sum += amount
}

// Sum returns the sum over the window that ends now.
func (w *Window) Sum(now time.Duration) float64 {
	w.advance(now)
	return max(0, w.sum)
}

func (w *Window) advance(now time.Duration) {
	part := int64(now / w.part)
	if part <= w.current {
		return
	}
	if part-w.current > buckets {
		w.amounts = [buckets + 1]float64{}
		w.sum = 0
		w.current = part
		return
	}
	for w.current < part {
		w.current++
		slot := &w.amounts[w.current%(buckets+1)]
		w.sum -= *slot
		*slot = 0
	}
}

// settle makes the sum what it is known to be: what exceeds it is counted now, and
// what is missing has left the window, the oldest first.
func (w *Window) settle(now time.Duration, amount float64) {
	w.advance(now)
	for age := int64(buckets); age >= 0 && w.sum > amount; age-- {
		if number := w.current - age; number >= 0 {
			slot := &w.amounts[number%(buckets+1)]
			left := min(*slot, w.sum-amount)
			*slot -= left
			w.sum -= left
		}
	}
	w.Add(now, max(0, amount-w.sum))
}

// parts returns the sums of equal parts of the window, the newest first.
func (w *Window) parts(now time.Duration, count int) []float64 {
	w.advance(now)
	sums := make([]float64, count)
	for age := range int64(buckets) {
		if number := w.current - age; number >= 0 {
			sums[int(age)*count/buckets] += w.amounts[number%(buckets+1)]
		}
	}
	return sums
}

// merge adds the amounts of another window of the same length, each to the part
// in which it was counted.
func (w *Window) merge(now time.Duration, other *Window) {
	w.advance(now)
	other.advance(now)
	for i, amount := range other.amounts {
		w.amounts[i] += amount
	}
	w.sum += other.sum
}
