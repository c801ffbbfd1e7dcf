package quota

import "time"

// Parameters of the usage records in the store.
const (
	// recordThreshold is the share of a limit from which usage is recorded.
	recordThreshold = 0.3
	// unrecordedFraction is the share of a limit that may have been used without a
	// record: recordThreshold plus what a team that sends at five times its limit
	// uses between two calls of Record, 0.2 s apart, and while the record is
	// written.
	unrecordedFraction = 0.45
	// recordParts is the number of parts into which a record divides the window.
	recordParts = 8
	// recordInterval is the time between two records of steady usage. A record is
	// written sooner if the usage of a team has grown by the share recordGrowth of
	// its limit.
	recordInterval = time.Second
	recordGrowth   = 0.1
)

// Record returns the usage of all instances for each team above recordThreshold,
// divided by age, the newest part first. It must be called at intervals shorter
// than a part.
func (t *TeamQuotas) Record(now time.Duration) map[string][]float64 {
	reachable, unreachable := t.countInstances(now)
	record := map[string][]float64{}
	for team, limit := range t.limits {
		windowLimit := limit.perWindow(t.rules.Window)
		used := t.estimatedUsage(now, team, windowLimit, float64(reachable+unreachable))
		usage := t.totals.window(team, t.rules.Window)
		if amount := t.takenBack[team]; amount > 0 {
			usage.setSum(now, max(0, usage.Sum(now)-amount))
		}
		usage.Add(now, max(0, used-usage.Sum(now)))
		if used >= recordThreshold*windowLimit {
			record[team] = usage.partSums(now, recordParts)
		}
	}
	clear(t.takenBack)
	return record
}

// RecordDue reports whether record, a result of Record, should be written to the
// store: it is not empty, and since the last one was written recordInterval has
// passed or the usage of a team has grown by the share recordGrowth of its limit.
func (t *TeamQuotas) RecordDue(now time.Duration, record map[string][]float64) bool {
	if len(record) == 0 {
		return false
	}
	if now-t.recordedAt >= recordInterval {
		return true
	}
	for team, parts := range record {
		if sumOf(parts)-t.recorded[team] >= recordGrowth*t.limits[team].perWindow(t.rules.Window) {
			return true
		}
	}
	return false
}

// ForgetRecorded states that the store may have lost the last record, so that the next one
// is due at once.
func (t *TeamQuotas) ForgetRecorded() {
	t.recorded, t.recordedAt = map[string]float64{}, -recordInterval
}

// MarkRecorded keeps the sums and the time of a record that was written to the store;
// RecordDue compares the next record with them.
func (t *TeamQuotas) MarkRecorded(now time.Duration, record map[string][]float64) {
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

// Restore applies a record that was written before this process started. age is the
// time since it was written. Several records may cover the same usage of a team; the
// one with the largest sum counts.
func (t *TeamQuotas) Restore(now, age time.Duration, record map[string][]float64) {
	for team, amounts := range record {
		parts, sum := t.unexpiredParts(now, age, amounts)
		if _, knownSum := unexpired(t.restored[team], now); sum > knownSum {
			t.restored[team] = parts
		}
	}
}

// unexpiredParts returns the parts of a team's record that are still in the window.
// It counts the newest part twice, since usage may have continued at that rate after
// the record was written.
func (t *TeamQuotas) unexpiredParts(now, age time.Duration, amounts []float64) (parts []expiringAmount, sum float64) {
	if len(amounts) == 0 {
		return nil, 0
	}
	length := t.rules.Window / time.Duration(len(amounts))
	end := now + t.rules.Window - age
	parts = append(parts, expiringAmount{amount: amounts[0], until: end + length})
	for i, amount := range amounts {
		parts = append(parts, expiringAmount{amount: amount, until: end - time.Duration(i)*length})
	}
	return unexpired(parts, now)
}

// unexpired returns the parts that are still in the window, and their sum.
func unexpired(parts []expiringAmount, now time.Duration) (remaining []expiringAmount, sum float64) {
	for _, p := range parts {
		if now < p.until {
			remaining = append(remaining, p)
			sum += p.amount
		}
	}
	return remaining, sum
}

// FinishRestore states that all usage records were applied, which ends the time in
// which limits count as used up.
func (t *TeamQuotas) FinishRestore() { t.restoring = false }

// assumedUsage returns the usage before this start that is assumed when no peer
// reports it. For a team without a record it is the whole limit until the records
// have been read, however long that takes, and then unrecordedFraction of it. That
// counts for a whole window, since all of it may have been used just before the start.
func (t *TeamQuotas) assumedUsage(now time.Duration, team string, windowLimit float64) float64 {
	if parts, recorded := t.restored[team]; recorded {
		_, sum := unexpired(parts, now)
		return sum
	}
	if t.restoring {
		return windowLimit
	}
	return unrecordedFraction * windowLimit
}
