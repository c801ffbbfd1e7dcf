// Package quota enforces team quotas and retry budgets over sliding windows, for
// all instances together.
package quota

import "time"

// buckets is the number of buckets of a window. The counted window is one bucket
// longer than the nominal one.
const buckets = 32

// Window is a sum over a sliding time window. It shows at least what was counted within the
// window and not taken back, and at most what was within a bucket more.
type Window struct {
	bucketLength time.Duration
	amounts      [buckets + 1]float64
	// newestBucket is the number of the newest bucket, counted from time 0.
	newestBucket int64
	sum          float64
}

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration) *Window {
	return &Window{bucketLength: length / buckets}
}

// Add counts an amount.
func (w *Window) Add(now time.Duration, amount float64) {
	w.advance(now)
	w.amounts[w.newestBucket%(buckets+1)] += amount
	w.sum += amount
}

// TakeBack takes back an amount that was counted at a time. It leaves the window with the
// count that it takes back: if it stayed longer, the window would show less than was counted
// since. It returns the part that was still in the window.
func (w *Window) TakeBack(now, countedAt time.Duration, amount float64) float64 {
	w.advance(now)
	bucket := int64(countedAt / w.bucketLength)
	if bucket < 0 || bucket > w.newestBucket || w.newestBucket-bucket > buckets {
		return 0
	}
	slot := &w.amounts[bucket%(buckets+1)]
	removed := min(*slot, amount)
	*slot -= removed
	w.sum -= removed
	return removed
}

// Sum returns the sum over the window that ends now.
func (w *Window) Sum(now time.Duration) float64 {
	w.advance(now)
	return max(0, w.sum)
}

func (w *Window) advance(now time.Duration) {
	bucket := int64(now / w.bucketLength)
	if bucket <= w.newestBucket {
		return
	}
	if bucket-w.newestBucket > buckets {
		w.amounts = [buckets + 1]float64{}
		w.sum = 0
		w.newestBucket = bucket
		return
	}
	for w.newestBucket < bucket {
		w.newestBucket++
		slot := &w.amounts[w.newestBucket%(buckets+1)]
		w.sum -= *slot
		*slot = 0
	}
}

// setSum changes the sum to a known amount: a larger one is reached by adding to
// the newest bucket, a smaller one by removing from the oldest ones.
func (w *Window) setSum(now time.Duration, amount float64) {
	w.advance(now)
	for age := int64(buckets); age >= 0 && w.sum > amount; age-- {
		if bucket := w.newestBucket - age; bucket >= 0 {
			slot := &w.amounts[bucket%(buckets+1)]
			removed := min(*slot, w.sum-amount)
			*slot -= removed
			w.sum -= removed
		}
	}
	w.Add(now, max(0, amount-w.sum))
}

// partSums returns the sums of equal parts of the window, the newest first.
func (w *Window) partSums(now time.Duration, count int) []float64 {
	w.advance(now)
	sums := make([]float64, count)
	for age := range int64(buckets) {
		if bucket := w.newestBucket - age; bucket >= 0 {
			sums[int(age)*count/buckets] += w.amounts[bucket%(buckets+1)]
		}
	}
	return sums
}

// merge adds the amounts of another window of the same length, bucket by bucket.
func (w *Window) merge(now time.Duration, other *Window) {
	w.advance(now)
	other.advance(now)
	for i, amount := range other.amounts {
		w.amounts[i] += amount
	}
	w.sum += other.sum
}
