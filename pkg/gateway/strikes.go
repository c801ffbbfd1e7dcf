package gateway

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

// Limits of the detection of poison requests, which crash the upstreams that run
// them. Each connection that breaks while the upstream runs a request counts as a
// strike for the request's fingerprint, a hash of its content.
const (
	// poisonThreshold is the number of strikes from which a request is refused.
	poisonThreshold = 3
	// strikeTTL is how long a strike counts. Upstreams restart within seconds of a
	// crash, and callers retry such a request within a minute.
	strikeTTL = time.Minute
	// maxReportedStrikes bounds the fingerprints in a report to the peers.
	maxReportedStrikes = 8
	// maxStrikeEntries bounds the memory of the table.
	maxStrikeEntries = 1024
)

// strikeKey identifies the strikes that one instance has counted for requests with
// one fingerprint. The instance is empty for strikes counted by this one.
type strikeKey struct {
	fingerprint uint64
	instance    string
}

type strikeEntry struct {
	count     int
	updatedAt time.Duration
}

// strikeTable counts strikes, which are the connections that broke while an upstream
// ran a request, by instance and request fingerprint. An answer to a request clears
// its strikes.
type strikeTable struct {
	entries map[strikeKey]strikeEntry
}

func newStrikeTable() *strikeTable { return &strikeTable{entries: map[strikeKey]strikeEntry{}} }

// add counts a strike of this instance.
func (s *strikeTable) add(now time.Duration, fingerprint uint64) {
	key := strikeKey{fingerprint: fingerprint}
	s.set(now, key, s.entries[key].count+1)
}

// clear removes all strikes of a request, including those of other instances.
func (s *strikeTable) clear(fingerprint uint64) {
	for key := range s.entries {
		if key.fingerprint == fingerprint {
			delete(s.entries, key)
		}
	}
}

// merge applies a count that another instance has reported, if it is higher than the
// count known from that instance.
func (s *strikeTable) merge(now time.Duration, instance string, strike loadshare.Strike) {
	key := strikeKey{fingerprint: strike.Fingerprint, instance: instance}
	if s.entries[key].count < int(strike.Count) {
		s.set(now, key, int(strike.Count))
	}
}

func (s *strikeTable) set(now time.Duration, key strikeKey, count int) {
	s.expire(now)
	if len(s.entries) < maxStrikeEntries {
		s.entries[key] = strikeEntry{count: count, updatedAt: now}
	}
}

// count returns the number of strikes that all instances counted for a fingerprint.
func (s *strikeTable) count(now time.Duration, fingerprint uint64) int {
	sum := 0
	for key, entry := range s.entries {
		if key.fingerprint == fingerprint && now-entry.updatedAt <= strikeTTL {
			sum += entry.count
		}
	}
	return sum
}

// local returns the strikes that this instance has counted, for up to
// maxReportedStrikes fingerprints.
func (s *strikeTable) local(now time.Duration) []loadshare.Strike {
	var strikes []loadshare.Strike
	for key, entry := range s.entries {
		if key.instance == "" && now-entry.updatedAt <= strikeTTL && len(strikes) < maxReportedStrikes {
			strikes = append(strikes, loadshare.Strike{Fingerprint: key.fingerprint, Count: clampTo[uint8](entry.count)})
		}
	}
	return strikes
}

func (s *strikeTable) expire(now time.Duration) {
	for key, entry := range s.entries {
		if now-entry.updatedAt > strikeTTL {
			delete(s.entries, key)
		}
	}
}
