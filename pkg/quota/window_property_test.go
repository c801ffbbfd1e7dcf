package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelCharge is a charge of the model, and the part of it that was taken back.
type modelCharge struct {
	at             time.Duration
	amount, refund float64
}

// drawPause draws a time between two steps, often a small part of the window and sometimes
// most of it or more.
func drawPause(t *rapid.T, window time.Duration) time.Duration {
	longest := rapid.SampledFrom([]time.Duration{window / 100, window / 8, window, 2 * window}).Draw(t, "longest pause")
	return time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "pause"))
}

// ranWithin returns the amounts that were charged within an age and not taken back.
func ranWithin(charges []modelCharge, now, age time.Duration) float64 {
	sum := 0.0
	for _, c := range charges {
		if now-c.at < age {
			sum += c.amount - c.refund
		}
	}
	return sum
}

// Guards against a window that shows less than was charged within it and ran, for example
// since a refund outlives the charge that it takes back, and against one that shows more
// than was charged a little earlier.
func TestWindowShowsAtLeastWhatRan(t *testing.T) {
	const length = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(length)
		var charges []modelCharge
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += drawPause(t, length)
			if open := len(charges); open > 0 && rapid.Bool().Draw(t, "refund") {
				c := &charges[rapid.IntRange(0, open-1).Draw(t, "charge")]
				w.TakeBack(now, c.at, c.amount-c.refund)
				c.refund = c.amount
			} else {
				amount := float64(rapid.IntRange(1, 1000).Draw(t, "amount"))
				w.Add(now, amount)
				charges = append(charges, modelCharge{at: now, amount: amount})
			}
			later := now + drawPause(t, length)
			for _, at := range []time.Duration{now, later} {
				sum := w.Sum(at)
				if ran := ranWithin(charges, at, length); sum < ran-1e-6 {
					t.Fatalf("at %s the window shows %g, %g ran within it", at, sum, ran)
				}
				if ran := ranWithin(charges, at, length+2*w.bucketLength); sum > ran+1e-6 {
					t.Fatalf("at %s the window shows %g, %g ran within it and two buckets before", at, sum, ran)
				}
			}
			now = later
		}
	})
}
