package sched

import (
	"sort"
	"time"
)

// blockedStrikes is the number of crashes after which a fingerprint is refused.
const blockedStrikes = 2

// strike is what is known about a fingerprint that was in flight at a crash.
type strike struct {
	count int
	at    time.Time
}

// mostSpread is the number of upstreams on which copies of a fingerprint run at
// a time. Copies that are granted before the first crash could otherwise break
// more upstreams than the strikes allow.
const mostSpread = blockedStrikes

// copies counts the grants of a fingerprint on one upstream.
type copies struct {
	upstream int32
	grants   int32
}

// strikeTable counts crashes per fingerprint. Fingerprint 0 means none.
type strikeTable struct {
	entries map[uint64]strike
	// inFlight lists where each fingerprint is granted. A suspect runs only
	// when no other copy of it runs: two copies could break two more upstreams.
	inFlight map[uint64][]copies
	limit    int
	life     time.Duration
	// due is not after the time at which the first strike expires; it is zero
	// when there is none.
	due time.Time
}

func newStrikeTable(limit int, life time.Duration) strikeTable {
	return strikeTable{entries: map[uint64]strike{}, inFlight: map[uint64][]copies{}, limit: limit, life: life}
}

func (s *strikeTable) count(fingerprint uint64) int {
	if fingerprint == 0 {
		return 0
	}
	return s.entries[fingerprint].count
}

func (s *strikeTable) suspect(fingerprint uint64) bool { return s.count(fingerprint) > 0 }

func (s *strikeTable) blocked(fingerprint uint64) bool {
	return s.count(fingerprint) >= blockedStrikes
}

// add changes the count of a fingerprint, never below zero.
func (s *strikeTable) add(now time.Time, fingerprint uint64, delta int) {
	if fingerprint == 0 {
		return
	}
	count := s.entries[fingerprint].count + delta
	if count <= 0 {
		delete(s.entries, fingerprint)
		return
	}
	s.entries[fingerprint] = strike{count: count, at: now}
	if s.due.IsZero() {
		// Otherwise an older strike expires before this one.
		s.due = now.Add(s.life)
	}
	if len(s.entries) > s.limit {
		s.evict()
	}
}

// complete clears a suspect that ran to its end. A blocked fingerprint stays
// blocked: a copy that ended well does not undo two crashes.
func (s *strikeTable) complete(fingerprint uint64) {
	if !s.blocked(fingerprint) {
		delete(s.entries, fingerprint)
	}
}

func (s *strikeTable) start(fingerprint uint64, upstream int32) {
	if fingerprint == 0 {
		return
	}
	places := s.inFlight[fingerprint]
	for i := range places {
		if places[i].upstream == upstream {
			places[i].grants++
			return
		}
	}
	s.inFlight[fingerprint] = append(places, copies{upstream, 1})
}

func (s *strikeTable) end(fingerprint uint64, upstream int32) {
	places := s.inFlight[fingerprint]
	for i := range places {
		if places[i].upstream != upstream {
			continue
		}
		if places[i].grants--; places[i].grants > 0 {
			return
		}
		places[i] = places[len(places)-1]
		s.inFlight[fingerprint] = places[:len(places)-1]
		break
	}
	if len(s.inFlight[fingerprint]) == 0 {
		delete(s.inFlight, fingerprint)
	}
}

func (s *strikeTable) runs(fingerprint uint64) bool { return len(s.inFlight[fingerprint]) > 0 }

// confined reports whether further copies may run only where copies run.
func (s *strikeTable) confined(fingerprint uint64) bool {
	return len(s.inFlight[fingerprint]) >= mostSpread
}

func (s *strikeTable) runsOn(fingerprint uint64, upstream int32) bool {
	for _, place := range s.inFlight[fingerprint] {
		if place.upstream == upstream {
			return true
		}
	}
	return false
}

// expire forgets strikes that have reached their life.
func (s *strikeTable) expire(now time.Time) {
	if s.due.IsZero() || now.Before(s.due) {
		return
	}
	s.due = time.Time{}
	for fingerprint, entry := range s.entries {
		expiry := entry.at.Add(s.life)
		switch {
		case !now.Before(expiry):
			delete(s.entries, fingerprint)
		case s.due.IsZero() || expiry.Before(s.due):
			s.due = expiry
		}
	}
}

// evict drops a tenth of the table, suspects before blocked fingerprints and
// older before newer ones.
func (s *strikeTable) evict() {
	fingerprints := make([]uint64, 0, len(s.entries))
	for fingerprint := range s.entries {
		fingerprints = append(fingerprints, fingerprint)
	}
	sort.Slice(fingerprints, func(i, j int) bool {
		a, b := s.entries[fingerprints[i]], s.entries[fingerprints[j]]
		if a.count != b.count {
			return a.count < b.count
		}
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return fingerprints[i] < fingerprints[j]
	})
	for _, fingerprint := range fingerprints[:len(fingerprints)/10+1] {
		delete(s.entries, fingerprint)
	}
}
