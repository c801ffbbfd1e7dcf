package admission

import (
	"math"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/worklimit"
)

// Load pattern of learned limits: an upstream that slows down long before its slots are in
// use gets as many requests as one that does not, and all of them end late. Each instance
// sees too few of its answers to tell; all together see enough.

// learning is what the pool has learned of an upstream's answers. It is the zero value
// unless Tuning.LearnLimits is set.
type learning struct {
	limiter *worklimit.Limiter
	history worklimit.LoadHistory
}

// LimitMove is a change of the limit of an upstream.
type LimitMove struct {
	Upstream string
	worklimit.Move
}

// maxLimitMoves bounds the list that TakeLimitMoves returns, for when it is not called.
const maxLimitMoves = 64

// LimitEvidence is what an instance reports on the limit of an upstream.
type LimitEvidence struct {
	// Limit is the limit in force there.
	Limit int
	Cells []worklimit.Reported
}

// limiterOf returns the limiter of an upstream, or nil if limits are not learned there:
// the time of a plain answer says more about the request than about the load.
func (p *Pool) limiterOf(u *upstream) *worklimit.Limiter {
	if !p.tuning.LearnLimits || !u.engine {
		return nil
	}
	ceiling := u.slots + p.tuning.ExtraSlots
	if u.learned.limiter == nil || u.learned.limiter.Ceiling() != ceiling {
		u.learned = learning{limiter: worklimit.New(ceiling)}
	}
	return u.learned.limiter
}

// learnedLimit returns the number of requests, of all instances, that the upstream takes
// well, or limit if that is lower or nothing is learned.
func (p *Pool) learnedLimit(u *upstream, limit int) int {
	if limiter := p.limiterOf(u); limiter != nil {
		return min(limit, limiter.Limit())
	}
	return limit
}

// stepLimits records the present loads and moves the limits.
func (p *Pool) stepLimits(now time.Duration) {
	if !p.tuning.LearnLimits {
		return
	}
	for _, u := range p.sorted {
		limiter := p.limiterOf(u)
		if limiter == nil {
			continue
		}
		inFlight, _ := u.load()
		u.learned.history.Record(now, inFlight)
		if move, moved := limiter.Evaluate(now); moved && len(p.limitMoves) < maxLimitMoves {
			p.limitMoves = append(p.limitMoves, LimitMove{Upstream: u.info.ID, Move: move})
		}
	}
}

// sampledEvents is the number of intervals of a stream from which its EventInterval is
// found: they are at its beginning.
const sampledEvents = 64

// learnFromAnswer adds a complete answer to the evidence.
func (p *Pool) learnFromAnswer(now time.Duration, u *upstream, result Result) {
	limiter := p.limiterOf(u)
	if limiter == nil || result.EventInterval <= 0 || result.TotalTime <= 0 {
		return
	}
	started := now - result.TotalTime
	sampled := time.Duration(sampledEvents * prefillSlowdown * float64(result.EventInterval))
	load, ok := u.learned.history.Mean(started, min(now, started+sampled))
	if !ok {
		return
	}
	limiter.Observe(now, math.Max(1, load), result.EventInterval/time.Duration(max(1, u.tokensPerEvent)), result.TotalTime)
}

// firstOutputBasis is what was known at the placement of a request about the work before
// its first output.
type firstOutputBasis struct {
	// known is false if another instance has placed the request, or if it had to wait for
	// a slot.
	known bool
	// prefillTokens is the number of prompt tokens to be read, its own included.
	prefillTokens int
}

func (u *upstream) firstOutputBasis(r *Request, inFlight, pendingPrefillTokens int) firstOutputBasis {
	return firstOutputBasis{known: u.engine && inFlight < u.slots, prefillTokens: pendingPrefillTokens + r.PromptTokens}
}

// calibrationLoad is the part of the slots at which the learned figures apply.
const calibrationLoad = 0.5

// LearnFirstOutput learns the prefill rate of the service from the first output of a
// request, which has arrived now.
func (p *Pool) LearnFirstOutput(now time.Duration, upstreamID string, key uint64) {
	request := p.findRequest(upstreamID, key)
	if !p.tuning.LearnLimits || request == nil || request.hasOutput || !request.basis.known {
		return
	}
	u := p.upstreams[upstreamID]
	p.calibration.Observe(request.basis.prefillTokens, time.Duration(float64(now-request.placedAt)*u.estimatedSpeed()))
	msPerToken, overheadMs, ok := p.calibration.Figures()
	if !ok {
		return
	}
	// The time for a token includes the decoding steps between two chunks of a prefill.
	step := p.tuning.DecodeStepMs + p.tuning.DecodeStepMsPerRequest*float64(u.slots)*calibrationLoad
	if own := msPerToken - step/prefillChunkTokens; own > 0 {
		p.tuning.PrefillTokensPerMs = 1 / own
	}
	p.tuning.FirstOutputOverheadMs = math.Max(0, overheadMs-step*float64(max(1, u.tokensPerEvent)))
}

// PrefillTokensPerMs returns the prefill rate in force, for the log.
func (p *Pool) PrefillTokensPerMs() float64 { return p.tuning.PrefillTokensPerMs }

// CollectLimitEvidence calls add for each upstream with a learned limit: with the counts
// of this instance, or those of its failure domain.
func (p *Pool) CollectLimitEvidence(wholeDomain bool, add func(upstream UpstreamInfo, evidence LimitEvidence)) {
	for _, u := range p.sorted {
		limiter := p.limiterOf(u)
		if limiter == nil {
			continue
		}
		counts := limiter.Own()
		if wholeDomain {
			counts = limiter.Domain()
		}
		evidence := LimitEvidence{Limit: limiter.Limit()}
		for cell, c := range counts {
			if c.Answers > 0 {
				evidence.Cells = append(evidence.Cells, worklimit.Reported{Cell: cell, Counts: c})
			}
		}
		add(u.info, evidence)
	}
}

// ApplyLimitEvidence applies what a peer has reported on the limit of an upstream. decides
// is true if the peer decides on it for this instance.
func (p *Pool) ApplyLimitEvidence(now time.Duration, peer string, local, decides bool, upstreamID string, evidence LimitEvidence) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return
	}
	limiter := p.limiterOf(u)
	if limiter == nil {
		return
	}
	if decides {
		limiter.Follow(now, evidence.Limit)
	} else {
		limiter.Adopt(now, evidence.Limit)
	}
	if len(evidence.Cells) > 0 {
		limiter.Merge(now, peer, local, evidence.Cells)
	}
}

// TakeLimitMoves returns the changes of limits since the last call.
func (p *Pool) TakeLimitMoves() []LimitMove {
	moves := p.limitMoves
	p.limitMoves = nil
	return moves
}
