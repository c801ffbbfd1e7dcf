package admission

import "time"

// Load pattern of late reports: a report of an upstream is held up on its way to the store
// and takes effect after later ones. The store's record is then older than what is known of
// the upstream, although it was written last. The next report replaces it, or the record
// expires, within a few of the upstream's report intervals.

const (
	// maxReportDelay is how long a record that looks obsolete is left out. A record that
	// stays longer is from a process whose clock is behind that of its predecessor.
	maxReportDelay = 30 * time.Second
	// maxConfirmationStep bounds the time that one confirmation of the records adds: during
	// an outage of the store they can neither be replaced nor expire.
	maxConfirmationStep = 2 * time.Second
	// reportMemory is how long the last report of an upstream without a record is kept.
	reportMemory = 10 * time.Minute
)

// ReportOrder decides which records of upstreams are used. An upstream numbers its reports,
// and its processes are ordered by their incarnations; the record in the store may be of
// any of them.
type ReportOrder struct {
	// latest holds the last report of each upstream, and obsolete the earlier reports that
	// are in the store instead, both by the ID of the upstream.
	latest   map[string]upstreamReport
	obsolete map[string]obsoleteRecord
	// confirmedAt is the time at which the records were last known to be current.
	confirmedAt time.Duration
}

// upstreamReport is the last report of an upstream.
type upstreamReport struct {
	info UpstreamInfo
	// leavingSince is when the process was first known to leave.
	leavingSince time.Duration
	// removed is true while the upstream has no record, since removedAt.
	removed   bool
	removedAt time.Duration
}

// obsoleteRecord is a record that was left out, and the time for which it was known to be
// in the store.
type obsoleteRecord struct {
	info  UpstreamInfo
	stood time.Duration
}

// NewReportOrder returns a ReportOrder that knows no reports.
func NewReportOrder() *ReportOrder {
	return &ReportOrder{latest: map[string]upstreamReport{}, obsolete: map[string]obsoleteRecord{}}
}

// precedes reports whether a report was made before another one of the same upstream.
func (i UpstreamInfo) precedes(other UpstreamInfo) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation < other.Incarnation
	}
	return i.Sequence < other.Sequence
}

// Accept reports whether a record that was read is used. It is not if the upstream has made
// a later report.
func (o *ReportOrder) Accept(now time.Duration, info UpstreamInfo) bool {
	if latest, known := o.latest[info.ID]; known && info.precedes(latest.info) {
		o.obsolete[info.ID] = obsoleteRecord{info: info}
		return false
	}
	o.record(now, info)
	return true
}

func (o *ReportOrder) record(now time.Duration, info UpstreamInfo) {
	report := upstreamReport{info: info, leavingSince: now}
	if before := o.latest[info.ID]; before.info.Leaving && before.info.Process() == info.Process() {
		report.leavingSince = before.leavingSince
	}
	o.latest[info.ID] = report
	delete(o.obsolete, info.ID)
}

// Latest returns the last report of an upstream.
func (o *ReportOrder) Latest(id string) UpstreamInfo { return o.latest[id].info }

// LeavingSince returns when a process was first known to leave, and false if its last
// report does not say so.
func (o *ReportOrder) LeavingSince(process Process) (time.Duration, bool) {
	report := o.latest[process.ID]
	return report.leavingSince, report.info.Leaving && report.info.Process() == process
}

// Remove states that an upstream has no record any more. Its last report is kept, since an
// earlier one may still take effect.
func (o *ReportOrder) Remove(now time.Duration, id string) {
	delete(o.obsolete, id)
	for known, report := range o.latest {
		switch {
		case known == id && !report.removed:
			report.removed, report.removedAt = true, now
			o.latest[id] = report
		case report.removed && now-report.removedAt > reportMemory:
			delete(o.latest, known)
		}
	}
}

// Confirm states that the records were current at a time, and returns those that were left
// out for maxReportDelay and are used from now on. A process that is known to leave does
// not return.
func (o *ReportOrder) Confirm(now, asOf time.Duration) []UpstreamInfo {
	step := min(asOf-o.confirmedAt, maxConfirmationStep)
	if step <= 0 {
		return nil
	}
	o.confirmedAt = asOf
	var used []UpstreamInfo
	for id, record := range o.obsolete {
		record.stood += step
		o.obsolete[id] = record
		_, leaves := o.LeavingSince(record.info.Process())
		// Without an incarnation it may be another process.
		leaves = leaves && record.info.Incarnation > 0
		if record.stood >= maxReportDelay && !leaves {
			o.record(now, record.info)
			used = append(used, record.info)
		}
	}
	return used
}
