package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/poison"
)

// answerBeginning is the time after the first output in which the end of a connection is
// taken as a crash at the beginning of the answer. An answer that goes on for longer shows
// that the upstream can serve the request.
const answerBeginning = 250 * time.Millisecond

// contentTrait is the name of the trait that only copies of a request share.
const contentTrait = "content"

// traitsOf returns what the request has in common with others to the same service: its whole
// content, and the parts of its prompt.
func (x *exchange) traitsOf(contentHash uint64) []poison.Trait {
	service := loadshare.ShortHash(x.service)
	traits := []poison.Trait{{Fingerprint: poison.Fingerprint{Service: service, Hash: contentHash}, Name: contentTrait}}
	for _, part := range x.requestInfo.PromptParts {
		traits = append(traits, poison.Trait{Fingerprint: poison.Fingerprint{Service: service, Hash: xxhash.Sum64String(part), Shared: true}, Name: "prompt part " + part})
	}
	return traits
}

// refusePoison returns an error, and the time after which the caller may retry, if
// requests with a trait of this one crash the upstreams that run them.
func (x *exchange) refusePoison(ctx context.Context) (*errkind.Error, time.Duration) {
	if x.onTrial || !x.g.watched(x.traits) {
		return nil, 0
	}
	reply := make(chan poison.Verdict, 1)
	verdict, err := ask(ctx, x.g, admitMsg{traits: x.traits, reply: reply}, reply)
	if err != nil {
		return x.unanswered(err), 0
	}
	if !verdict.Blocked {
		x.onTrial = verdict.Trial
		return nil, 0
	}
	x.g.metrics.poisonRefused.Inc(1)
	return errkind.New(errkind.Overloaded, "%d upstreams broke while they ran this request or others with its %s", verdict.Crashes, verdict.Name), verdict.RetryAfter
}

// watched reports whether one of the traits may be blocked.
func (g *Gateway) watched(traits []poison.Trait) bool {
	fingerprints := g.watchedFingerprints.Load()
	if fingerprints == nil || len(*fingerprints) == 0 {
		return false
	}
	for _, trait := range traits {
		if _, found := (*fingerprints)[trait.Fingerprint]; found {
			return true
		}
	}
	return false
}

// recordCrash records that the upstream crashed at the beginning of the answer.
func (x *exchange) recordCrash(process admission.Process) {
	x.g.enqueue(crashMsg{process: process, traits: x.traits})
}

// recordAnswer records once that an upstream answers the request.
func (x *exchange) recordAnswer() {
	if !x.answerRecorded {
		x.answerRecorded = true
		x.g.enqueue(answerMsg{service: x.service, traits: x.traits})
	}
}

// admitMsg asks whether a request may be sent.
type admitMsg struct {
	traits []poison.Trait
	reply  chan poison.Verdict
}

func (m admitMsg) apply(c *controlLoop) {
	verdict := c.poison.Admit(c.g.now(), m.traits)
	if verdict.Trial {
		c.markReportsChanged()
	}
	m.reply <- verdict
}

// crashMsg records a crash of an upstream.
type crashMsg struct {
	process admission.Process
	traits  []poison.Trait
}

func (m crashMsg) apply(c *controlLoop) {
	process := loadshare.ShortHash(m.process.ID + "/" + strconv.FormatInt(m.process.Incarnation, 10))
	c.poison.RecordCrash(c.g.now(), process, m.traits)
	c.markReportsChanged()
}

// answerMsg records an answer.
type answerMsg struct {
	service string
	traits  []poison.Trait
}

func (m answerMsg) apply(c *controlLoop) {
	if c.poison.RecordAnswer(c.g.now(), loadshare.ShortHash(m.service), m.traits) {
		c.markReportsChanged()
	}
}

func newPoisonDetector(g *Gateway) *poison.Detector {
	return poison.NewDetector(func(block time.Duration) time.Duration {
		if g.isRelay.Load() {
			return rand.N(block/3 + 1)
		}
		// The relays try first, so that few requests of a large fleet are tried at once.
		// The others follow in case that no such request arrives at a relay.
		return block + rand.N(3*block+1)
	})
}

// updatePoison logs what was blocked and released, and publishes what the goroutines of
// requests must check.
func (c *controlLoop) updatePoison(now time.Duration) {
	for _, event := range c.poison.TakeEvents() {
		message := "requests released"
		if event.Blocked {
			message = "requests blocked"
			c.g.metrics.poisonBlocked.Inc(1)
		}
		c.g.log.Info(message, "trait", event.Name, "fingerprint", event.Fingerprint.Hash, "shared", event.Fingerprint.Shared,
			"service", c.serviceName(event.Fingerprint.Service), "crashes", event.Crashes, "block_ms", event.BlockTime.Milliseconds(), "source", event.Source)
		c.markReportsChanged()
	}
	watched := c.poison.Watched()
	c.g.watchedFingerprints.Store(&watched)
	c.g.metrics.poisonFingerprints.Update(int64(c.poison.BlockedCount(now)))
}

func encodeSuspicions(suspicions []poison.Suspicion) []loadshare.Suspicion {
	var encoded []loadshare.Suspicion
	for _, s := range suspicions {
		e := loadshare.Suspicion{
			Service: s.Fingerprint.Service, Hash: s.Fingerprint.Hash, Shared: s.Fingerprint.Shared, Epoch: s.Epoch,
			AgeMs: toMs(s.Age), Blocks: clampTo[uint8](s.Blocks), BlockMs: toMs(s.BlockTime),
		}
		for _, crash := range s.Crashes {
			e.Crashes = append(e.Crashes, loadshare.Crash{Process: crash.Process, AgeMs: toMs(crash.Age)})
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// mergeSuspicions applies the suspicions that another instance has reported.
func (c *controlLoop) mergeSuspicions(now time.Duration, source string, suspicions []loadshare.Suspicion) {
	for _, s := range suspicions {
		decoded := poison.Suspicion{
			Fingerprint: poison.Fingerprint{Service: s.Service, Hash: s.Hash, Shared: s.Shared}, Epoch: s.Epoch,
			Age: fromMs(s.AgeMs), Blocks: int(s.Blocks), BlockTime: fromMs(s.BlockMs),
		}
		for _, crash := range s.Crashes {
			decoded.Crashes = append(decoded.Crashes, poison.Crash{Process: crash.Process, Age: fromMs(crash.AgeMs)})
		}
		if c.poison.Merge(now, source, decoded) {
			// The summary for the other failure domains has changed as well, and this
			// instance may know of an earlier answer.
			c.markReportsChanged()
		}
	}
}
