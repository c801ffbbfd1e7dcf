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

// strikeSource identifies who has counted strikes.
type strikeSource struct {
	scope strikeScope
	// name is the instance or failure domain that reported the count.
	name string
}

// strikeScope says which strikes a reported count covers.
type strikeScope int

const (
	// ownStrikes are those of this instance, instanceStrikes those of another one of the
	// failure domain, domainStrikes the sum of another failure domain, and fleetStrikes
	// the sum over all instances in the view of the relay.
	ownStrikes strikeScope = iota
	instanceStrikes
	domainStrikes
	fleetStrikes
)

// strikeKey identifies the strikes that one source has counted for requests with one
// fingerprint.
type strikeKey struct {
	fingerprint uint64
	source      strikeSource
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

// merge applies a count that a source has reported, if it is higher than the count known
// from that source.
func (s *strikeTable) merge(now time.Duration, source strikeSource, strike loadshare.Strike) {
	key := strikeKey{fingerprint: strike.Fingerprint, source: source}
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

// count returns the number of strikes that all instances counted for a fingerprint: the
// sum of the counts known here, or that of the relay, whichever is higher.
func (s *strikeTable) count(now time.Duration, fingerprint uint64) int {
	sum, fleet := 0, 0
	for key, entry := range s.entries {
		switch {
		case key.fingerprint != fingerprint || now-entry.updatedAt > strikeTTL:
		case key.source.scope == fleetStrikes:
			fleet = max(fleet, entry.count)
		default:
			sum += entry.count
		}
	}
	return max(sum, fleet)
}

// sums returns the strikes up to the given scope, for up to maxReportedStrikes
// fingerprints.
func (s *strikeTable) sums(now time.Duration, scope strikeScope) []loadshare.Strike {
	counts := map[uint64]int{}
	for key, entry := range s.entries {
		if key.source.scope <= scope && now-entry.updatedAt <= strikeTTL {
			counts[key.fingerprint] += entry.count
		}
	}
	var strikes []loadshare.Strike
	for fingerprint, count := range counts {
		if len(strikes) < maxReportedStrikes {
			strikes = append(strikes, loadshare.Strike{Fingerprint: fingerprint, Count: clampTo[uint8](count)})
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
