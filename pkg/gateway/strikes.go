package gateway

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

// Bounds of the memory for requests that break upstreams.
const (
	// poisonStrikes is the number of upstreams that a request may break before
	// it is refused.
	poisonThreshold = 3
	// strikeLife is how long a strike counts. Upstreams are back some seconds
	// after a crash, and callers send such a request again within a minute.
	strikeTTL = time.Minute
	// strikesReported bounds the strikes in a report.
	maxReportedStrikes = 8
	// strikesKept bounds the memory.
	maxStrikeEntries = 1024
)

// strikeKey names what one instance has seen of one request content; the own
// instance has an empty name.
type strikeKey struct {
	fingerprint uint64
	instance    string
}

type strikeEntry struct {
	count int
	at    time.Duration
}

// strikes counts, per request content, the upstreams that broke while they ran
// it and have not answered it since.
type strikeTable struct {
	entries map[strikeKey]strikeEntry
}

func newStrikeTable() *strikeTable { return &strikeTable{entries: map[strikeKey]strikeEntry{}} }

func (s *strikeTable) add(now time.Duration, fingerprint uint64) {
	key := strikeKey{fingerprint: fingerprint}
	s.set(now, key, s.entries[key].count+1)
}

// clear forgets all strikes of a request that an upstream has answered.
func (s *strikeTable) clear(fingerprint uint64) {
	for key := range s.entries {
		if key.fingerprint == fingerprint {
			delete(s.entries, key)
		}
	}
}

// learn takes in what another instance has counted.
func (s *strikeTable) merge(now time.Duration, instance string, strike loadshare.Strike) {
	key := strikeKey{fingerprint: strike.Fingerprint, instance: instance}
	if s.entries[key].count < int(strike.Count) {
		s.set(now, key, int(strike.Count))
	}
}

func (s *strikeTable) set(now time.Duration, key strikeKey, count int) {
	s.expire(now)
	if len(s.entries) < maxStrikeEntries {
		s.entries[key] = strikeEntry{count: count, at: now}
	}
}

// count returns what all instances have seen together.
func (s *strikeTable) count(now time.Duration, fingerprint uint64) int {
	sum := 0
	for key, entry := range s.entries {
		if key.fingerprint == fingerprint && now-entry.at <= strikeTTL {
			sum += entry.count
		}
	}
	return sum
}

// recent returns what this instance has counted.
func (s *strikeTable) local(now time.Duration) []loadshare.Strike {
	var list []loadshare.Strike
	for key, entry := range s.entries {
		if key.instance == "" && now-entry.at <= strikeTTL && len(list) < maxReportedStrikes {
			list = append(list, loadshare.Strike{Fingerprint: key.fingerprint, Count: clampTo[uint8](entry.count)})
		}
	}
	return list
}

func (s *strikeTable) expire(now time.Duration) {
	for key, entry := range s.entries {
		if now-entry.at > strikeTTL {
			delete(s.entries, key)
		}
	}
}
