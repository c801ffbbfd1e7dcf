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

// Guards against a peer that shows less than it charged and ran, at the moment at which it
// stops: what was taken back must not hide later charges.
func TestUsageOfStoppedPeerIsAtLeastWhatRan(t *testing.T) {
	rules := Rules{Window: 8 * time.Second, ReportTimeout: time.Second, PeerExpiry: time.Minute}
	limit := Limit{PerSecond: 1e6}
	rapid.Check(t, func(t *rapid.T) {
		peer, observer := NewTeamQuotas(rules, 0, false), NewTeamQuotas(rules, 0, false)
		var charges []modelCharge
		now := time.Second
		report := func() {
			observer.ApplyReport(now, "peer", UsageReport{StartTime: 1, OldestStartTime: 1, CoveredInstances: 1, Used: peer.OwnUsage(now)})
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += drawPause(t, rules.Window/4)
			report()
			if open := len(charges); open > 0 && rapid.Bool().Draw(t, "refund") {
				c := &charges[rapid.IntRange(0, open-1).Draw(t, "charge")]
				peer.Refund(now, Charge{Team: "desk", Amount: c.amount - c.refund, At: c.at})
				c.refund = c.amount
			} else {
				amount := float64(rapid.IntRange(1, 1000).Draw(t, "amount"))
				peer.Charge(now, "desk", limit, amount)
				charges = append(charges, modelCharge{at: now, amount: amount})
			}
			report()
		}
		observer.MarkStopped(now, "peer")
		now += drawPause(t, rules.Window)
		used := observer.TotalUsage(now)["desk"]
		if ran := ranWithin(charges, now, rules.Window); used < ran-1e-6 {
			t.Fatalf("at %s the stopped peer shows %g, %g ran", now, used, ran)
		}
	})
}

// Guards against a record of usage whose newest charges count as older ones that were taken
// back: after a restart they would leave the window too early.
func TestRecordHoldsAtLeastWhatRan(t *testing.T) {
	rules := Rules{Window: 8 * time.Second, ReportTimeout: time.Second, PeerExpiry: time.Minute}
	limit := Limit{PerSecond: 1e6}
	rapid.Check(t, func(t *rapid.T) {
		teams := NewTeamQuotas(rules, 0, false)
		var charges []modelCharge
		now := time.Second
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += drawPause(t, rules.Window/4)
			if open := len(charges); open > 0 && rapid.Bool().Draw(t, "refund") {
				c := &charges[rapid.IntRange(0, open-1).Draw(t, "charge")]
				teams.Refund(now, Charge{Team: "desk", Amount: c.amount - c.refund, At: c.at})
				c.refund = c.amount
			} else {
				// Above the threshold of a record.
				amount := float64(rapid.IntRange(1, 10).Draw(t, "amount")) * limit.perWindow(rules.Window) / 100
				if teams.Charge(now, "desk", limit, amount).Allowed {
					charges = append(charges, modelCharge{at: now, amount: amount})
				}
			}
			teams.Record(now)
		}
		record := teams.Record(now)
		if len(record) == 0 {
			return
		}
		restarted := NewTeamQuotas(rules, now, true)
		restarted.Restore(now, 0, record)
		restarted.FinishRestore()
		now += drawPause(t, rules.Window)
		used := restarted.Charge(now, "desk", limit, 0).Used
		if ran := ranWithin(charges, now, rules.Window); used < ran-1e-3 {
			t.Fatalf("at %s the restarted instance shows %g, %g ran", now, used, ran)
		}
	})
}
