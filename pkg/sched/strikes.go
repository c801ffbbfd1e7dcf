package sched

import (
	"sort"
	"time"
)

// blockThreshold is the number of strikes, that is, of upstream crashes during
// which a request with the fingerprint was in flight, from which requests with
// this fingerprint are refused.
const blockThreshold = 2

// strikeEntry holds the strike count of a fingerprint and the time of its last
// strike.
type strikeEntry struct {
	count  int
	lastAt time.Time
}

// maxCopyUpstreams is the number of upstreams on which copies of a request, with
// the same fingerprint, may run at the same time. With more, copies granted
// before the first crash could crash more upstreams than blockThreshold allows.
const maxCopyUpstreams = blockThreshold

// copyCount counts the grants of a fingerprint on one upstream.
type copyCount struct {
	upstream int32
	grants   int32
}

// strikeTable counts strikes per request fingerprint. A strike is one crash of
// an upstream while a request with the fingerprint was in flight there.
// Fingerprint 0 means unknown and is not counted. A fingerprint with strikes is
// a suspect, and is blocked from blockThreshold on: its requests are refused as
// poison, because they are assumed to crash the upstreams that run them.
type strikeTable struct {
	entries map[uint64]strikeEntry
	// inFlight lists the upstreams on which each fingerprint has grants. A
	// suspect is granted only while no request with its fingerprint has a
	// grant: two copies could crash two more upstreams.
	inFlight map[uint64][]copyCount
	limit    int
	ttl      time.Duration
	// nextExpiry is not later than the first expiry of a strike; it is zero if
	// there are no strikes.
	nextExpiry time.Time
}

func newStrikeTable(limit int, ttl time.Duration) strikeTable {
	return strikeTable{entries: map[uint64]strikeEntry{}, inFlight: map[uint64][]copyCount{}, limit: limit, ttl: ttl}
}

func (s *strikeTable) count(fingerprint uint64) int {
	if fingerprint == 0 {
		return 0
	}
	return s.entries[fingerprint].count
}

func (s *strikeTable) isSuspect(fingerprint uint64) bool { return s.count(fingerprint) > 0 }

func (s *strikeTable) isBlocked(fingerprint uint64) bool {
	return s.count(fingerprint) >= blockThreshold
}

// add adds delta to the strike count of a fingerprint; the count never falls
// below zero.
func (s *strikeTable) add(now time.Time, fingerprint uint64, delta int) {
	if fingerprint == 0 {
		return
	}
	count := s.entries[fingerprint].count + delta
	if count <= 0 {
		delete(s.entries, fingerprint)
		return
	}
	s.entries[fingerprint] = strikeEntry{count: count, lastAt: now}
	if s.nextExpiry.IsZero() {
		// If nextExpiry is already set, an older strike expires first.
		s.nextExpiry = now.Add(s.ttl)
	}
	if len(s.entries) > s.limit {
		s.evict()
	}
}

// clearSuspect removes the strikes of a fingerprint after a request with it
// completed. A blocked fingerprint stays blocked: one completed copy does not
// outweigh two crashes.
func (s *strikeTable) clearSuspect(fingerprint uint64) {
	if !s.isBlocked(fingerprint) {
		delete(s.entries, fingerprint)
	}
}

func (s *strikeTable) addInFlight(fingerprint uint64, upstream int32) {
	if fingerprint == 0 {
		return
	}
	counts := s.inFlight[fingerprint]
	for i := range counts {
		if counts[i].upstream == upstream {
			counts[i].grants++
			return
		}
	}
	s.inFlight[fingerprint] = append(counts, copyCount{upstream, 1})
}

func (s *strikeTable) removeInFlight(fingerprint uint64, upstream int32) {
	counts := s.inFlight[fingerprint]
	for i := range counts {
		if counts[i].upstream != upstream {
			continue
		}
		if counts[i].grants--; counts[i].grants > 0 {
			return
		}
		counts[i] = counts[len(counts)-1]
		s.inFlight[fingerprint] = counts[:len(counts)-1]
		break
	}
	if len(s.inFlight[fingerprint]) == 0 {
		delete(s.inFlight, fingerprint)
	}
}

func (s *strikeTable) inFlightAnywhere(fingerprint uint64) bool {
	return len(s.inFlight[fingerprint]) > 0
}

// atCopyLimit reports whether further copies may run only on upstreams that
// already run one.
func (s *strikeTable) atCopyLimit(fingerprint uint64) bool {
	return len(s.inFlight[fingerprint]) >= maxCopyUpstreams
}

func (s *strikeTable) inFlightOn(fingerprint uint64, upstream int32) bool {
	for _, copies := range s.inFlight[fingerprint] {
		if copies.upstream == upstream {
			return true
		}
	}
	return false
}

// expire removes strikes that have reached their TTL.
func (s *strikeTable) expire(now time.Time) {
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	for fingerprint, entry := range s.entries {
		expiry := entry.lastAt.Add(s.ttl)
		switch {
		case !now.Before(expiry):
			delete(s.entries, fingerprint)
		case s.nextExpiry.IsZero() || expiry.Before(s.nextExpiry):
			s.nextExpiry = expiry
		}
	}
}

// evict removes a tenth of the entries, those with the fewest strikes first,
// and older ones before newer ones.
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
		if !a.lastAt.Equal(b.lastAt) {
			return a.lastAt.Before(b.lastAt)
		}
		return fingerprints[i] < fingerprints[j]
	})
	for _, fingerprint := range fingerprints[:len(fingerprints)/10+1] {
		delete(s.entries, fingerprint)
	}
}
