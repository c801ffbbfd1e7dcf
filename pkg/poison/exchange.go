package poison

import (
	"slices"
	"time"
)

// maxReported bounds the suspicions in a report. The less important ones wait for a later
// one.
const maxReported = 32

// Suspicion is a suspicion as instances exchange it. Ages are relative to the sending.
type Suspicion struct {
	Fingerprint Fingerprint
	Epoch       uint16
	// Age is the time since the last change.
	Age     time.Duration
	Crashes []Crash
	// Blocks counts how often in a row the fingerprint was blocked, and BlockTime is the
	// rest of the time for which it is, or for which the sender waits for the result of a
	// trial.
	Blocks    int
	BlockTime time.Duration
}

// Crash is the crash of a process of an upstream, given by its hash.
type Crash struct {
	Process uint32
	Age     time.Duration
}

// Cursor marks what a group of receivers was sent.
type Cursor struct {
	change uint64
	// left holds what had changed but found no room in the reports up to then.
	left map[Fingerprint]struct{}
}

// Export returns the suspicions to report, the most important first: all, or those that
// have changed since the last export with the cursor. With ownOnly these are limited to
// those that have changed by what this instance itself has observed.
func (d *Detector) Export(now time.Duration, cursor *Cursor, full, ownOnly bool) []Suspicion {
	since, left := cursor.change, cursor.left
	cursor.change, cursor.left = d.changes, nil
	changed := func(fingerprint Fingerprint, s *suspicion) bool {
		change := s.change
		if ownOnly {
			change = s.ownChange
		}
		_, found := left[fingerprint]
		return found || change > since
	}
	selected := d.sorted(now, func(fingerprint Fingerprint, s *suspicion) bool { return full || changed(fingerprint, s) })
	reported := min(maxReported, len(selected))
	for _, fingerprint := range selected[reported:] {
		if changed(fingerprint, d.suspicions[fingerprint]) {
			if cursor.left == nil {
				cursor.left = map[Fingerprint]struct{}{}
			}
			cursor.left[fingerprint] = struct{}{}
		}
	}
	var exported []Suspicion
	for _, fingerprint := range selected[:reported] {
		s := d.suspicions[fingerprint]
		e := Suspicion{Fingerprint: fingerprint, Epoch: s.epoch, Age: now - s.changedAt, Blocks: s.blocks, BlockTime: max(0, s.blockedUntil-now, s.triedUntil-now)}
		for _, c := range s.crashes {
			e.Crashes = append(e.Crashes, Crash{Process: c.process, Age: now - c.at})
		}
		exported = append(exported, e)
	}
	return exported
}

// blockTimeTolerance is the difference between the ends of a block at two instances that
// is put down to the time that a report takes.
const blockTimeTolerance = time.Second

// Merge applies a suspicion that another instance has reported, and reports whether it
// has changed anything here.
func (d *Detector) Merge(now time.Duration, source string, reported Suspicion) bool {
	if reported.Age-reported.BlockTime > suspicionTTL || reported.Blocks < 0 {
		return false
	}
	known := d.suspicions[reported.Fingerprint]
	if known != nil && !known.expired(now) && reported.Epoch < known.epoch {
		return false
	}
	s := d.suspicion(now, reported.Fingerprint)
	if s != known {
		s.changedAt = now - reported.Age
	}
	changed := false
	if reported.Epoch > s.epoch {
		if reported.Fingerprint == anyRequest(reported.Fingerprint.Service) {
			d.answeredCrashes[reported.Fingerprint.Service]++
		}
		d.release(now-reported.Age, reported.Fingerprint, s, reported.Epoch, source)
		changed = true
	}
	crashes := slices.Clone(reported.Crashes)
	slices.SortFunc(crashes, func(a, b Crash) int { return int(b.Age - a.Age) })
	for _, c := range crashes {
		if s.add(crash{process: c.Process, at: now - c.Age}, reported.Fingerprint.Shared) {
			s.changedAt = max(s.changedAt, now-reported.Age)
			changed = true
		}
	}
	// A block that has ended at the sender has no later end than the one known here.
	laterEnd := reported.BlockTime > 0 && now+reported.BlockTime > max(s.blockedUntil, s.triedUntil)+blockTimeTolerance
	if reported.Blocks > s.blocks || (reported.Blocks > 0 && reported.Blocks == s.blocks && laterEnd) {
		s.blocks = reported.Blocks
		s.setBlock(now, reported.BlockTime, d.trialDelay(max(reported.BlockTime, minBlockTime)))
		d.events = append(d.events, Event{Fingerprint: reported.Fingerprint, Name: s.name, Blocked: true, Crashes: s.count(reported.Fingerprint), BlockTime: reported.BlockTime, Source: source})
		changed = true
	}
	if changed {
		d.markChanged(s, false)
	}
	return d.noteEarlierAnswer(now, reported.Fingerprint, s) || changed
}
