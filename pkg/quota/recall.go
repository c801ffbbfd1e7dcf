package quota

import "time"

// busyFrom is the share of a limit from which its use is recorded in the store.
const busyFrom = 0.6

// recordParts is the number of parts of the window that are recorded.
const recordParts = 8

// Record returns, for each team that uses much of its limit, what all instances
// have used, by the age of the use, the newest part first. It must be called more
// often than the parts are long.
func (t *Teams) Record(now time.Duration) map[string][]float64 {
	heard, silent := t.audible(now)
	record := map[string][]float64{}
	for team, limit := range t.limits {
		full := limit.full(t.rules.Window)
		used := t.used(now, team, full, float64(heard+silent))
		line := t.timeline.window(team, t.rules.Window)
		line.Add(now, max(0, used-line.Sum(now)))
		if used >= busyFrom*full {
			record[team] = line.parts(now, recordParts)
		}
	}
	return record
}

// Recall takes in a record that was written before this start, at the given age.
// Several records may cover the same use; the largest counts.
func (t *Teams) Recall(now, age time.Duration, record map[string][]float64) {
	for team, amounts := range record {
		parts, sum := t.parts(now, age, amounts)
		if _, known := remaining(t.recalled[team], now); sum > known {
			t.recalled[team] = parts
		}
	}
}

// parts returns what is left of a record in the window. The use may have gone on
// at the newest pace for one more part after the record.
func (t *Teams) parts(now, age time.Duration, amounts []float64) (parts []part, sum float64) {
	if len(amounts) == 0 {
		return nil, 0
	}
	length := t.rules.Window / time.Duration(len(amounts))
	end := now + t.rules.Window - age
	parts = append(parts, part{amount: amounts[0], until: end + length})
	for i, amount := range amounts {
		parts = append(parts, part{amount: amount, until: end - time.Duration(i)*length})
	}
	return remaining(parts, now)
}

// remaining returns the parts that have not left the window, and their sum.
func remaining(parts []part, now time.Duration) (left []part, sum float64) {
	for _, p := range parts {
		if now < p.until {
			left = append(left, p)
			sum += p.amount
		}
	}
	return left, sum
}

// Recalled notes that all records have been taken in.
func (t *Teams) Recalled() { t.recallUntil = 0 }

// unknown is what may have been used before this start while nobody is heard who
// knows: what was recorded, or else a use that was not worth recording and leaves
// the window evenly.
func (t *Teams) unknown(now time.Duration, team string, full float64) float64 {
	if parts, recorded := t.recalled[team]; recorded {
		_, sum := remaining(parts, now)
		return sum
	}
	if now < t.recallUntil {
		return full
	}
	return busyFrom * full * (t.coldUntil - now).Seconds() / t.rules.Window.Seconds()
}
