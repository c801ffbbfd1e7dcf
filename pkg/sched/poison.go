package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/poison"
)

const prefixBlockedReason = "requests with the same prompt prefix crashed upstreams"

// prefixTraits returns the prompt prefixes of a request as traits that it shares with
// others to the same model.
func prefixTraits(work *Work) []poison.Trait {
	traits := make([]poison.Trait, 0, len(work.PrefixHashes))
	for _, hash := range work.PrefixHashes {
		traits = append(traits, poison.Trait{Fingerprint: poison.Fingerprint{Service: modelHash(work), Hash: hash, Shared: true}, Name: "prompt prefix"})
	}
	return traits
}

func modelHash(work *Work) uint32 { return uint32(xxhash.Sum64String(work.Model)) }

// newPrefixDetector returns a detector for a pool, whose only scheduler it has.
func newPrefixDetector() *poison.Detector {
	return poison.NewDetector(func(time.Duration) time.Duration { return 0 })
}

func sinceEpoch(now time.Time) time.Duration { return time.Duration(now.UnixNano()) }

// prefixBlocked reports whether requests with a prefix of this prompt crash upstreams.
func (p *Pool) prefixBlocked(now time.Time, work *Work) bool {
	return len(p.poison.Watched()) > 0 && p.poison.Admit(sinceEpoch(now), prefixTraits(work)).Blocked
}

// recordPrefixCrash records that an upstream crashed while it ran a request.
func (p *Pool) recordPrefixCrash(now time.Time, u *upstream, work *Work) {
	p.poison.RecordCrash(sinceEpoch(now), uint32(u.index), prefixTraits(work))
}
