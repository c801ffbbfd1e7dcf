package quota

import "time"

// What is recorded, and how often.
const (
	// busyFrom is the share of a limit from which its use is recorded in the store.
	busyFrom = 0.3
	// unrecorded is the share of a limit that may have been used without a record:
	// busyFrom, and what a team that sends at five times its limit uses between two
	// looks at it, 0.2 s apart, and while the record is written.
	unrecorded = 0.45
	// recordParts is the number of parts of the window that are recorded.
	recordParts = 8
	// recordEvery is the time between two records of an even use, and recordStep
	// the share of a limit by which the use of a team grows before it is recorded
	// sooner.
	recordEvery = time.Second
	recordStep  = 0.1
)

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

// RecordDue reports whether a record should be written.
func (t *Teams) RecordDue(now time.Duration, record map[string][]float64) bool {
	if len(record) == 0 {
		return false
	}
	if now-t.recordedAt >= recordEvery {
		return true
	}
	for team, parts := range record {
		if sumOf(parts)-t.recorded[team] >= recordStep*t.limits[team].full(t.rules.Window) {
			return true
		}
	}
	return false
}

// Recorded notes that a record was written.
func (t *Teams) Recorded(now time.Duration, record map[string][]float64) {
	t.recorded, t.recordedAt = make(map[string]float64, len(record)), now
	for team, parts := range record {
		t.recorded[team] = sumOf(parts)
	}
}

func sumOf(parts []float64) float64 {
	sum := 0.0
	for _, part := range parts {
		sum += part
	}
	return sum
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
// knows: what was recorded, or else as much as is not worth recording, for a whole
// window, since all of it may have been used just before.
func (t *Teams) unknown(now time.Duration, team string, full float64) float64 {
	if parts, recorded := t.recalled[team]; recorded {
		_, sum := remaining(parts, now)
		return sum
	}
	if now < t.recallUntil {
		return full
	}
	return unrecorded * full
}
