package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// drainTime is the time after which an instance that has passed on the word of an
	// upstream that it leaves may send it no request that a client has sent later.
	drainTime = 500 * time.Millisecond
	// quietGrace is the time after an upstream's word of a quiet time in which requests may
	// still arrive, and maxQuietArrivals bounds those of an instance in the rest of the time.
	quietGrace       = 500 * time.Millisecond
	maxQuietArrivals = 2
	// startTime is the time after the start of an instance in which it need not know yet
	// what the others know.
	startTime = 4 * time.Second
	// maxWordInterval is the longest time between two changes of what upstreams say.
	maxWordInterval = 700 * time.Millisecond
)

// told is what an upstream has told an instance.
type told struct {
	at       time.Time
	quiet    time.Duration
	arrivals int
}

// upstreamWords is what the upstreams say of themselves, and whom they have told. Its fields
// are guarded by deployment.mu.
type upstreamWords struct {
	leaving  [maxUpstreams]bool
	shedding [maxUpstreams]time.Duration
	// born is when the process of an upstream has started, in Unix milliseconds.
	born      [maxUpstreams]int64
	toldLeave [maxUpstreams][maxInstances]time.Time
	toldQuiet [maxUpstreams][maxInstances]*told
	// drainedAt is when the record of an upstream has said that its process leaves; zero if
	// it stays.
	drainedAt [maxUpstreams]time.Time
	// sentTo and sentAt say to which instance, and when, a client has sent a request.
	sentTo map[string]int
	sentAt map[string]time.Time
	// disturbedInstance and disturbedUpstream hold the times at which a fault of a process,
	// or of the link to an upstream, has last begun or ended.
	disturbedInstance [maxInstances]time.Time
	disturbedUpstream [maxUpstreams]time.Time
	// linkFaults counts the faults of the link to an upstream that are in progress.
	linkFaults [maxUpstreams]int
	violations []string
}

// speak changes what upstreams say at random until end.
func (d *deployment) speak(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		upstream, duration := rng.IntN(upstreamCount), time.Duration(300+rng.IntN(1500))*time.Millisecond
		d.mu.Lock()
		w := &d.words
		switch {
		case w.leaving[upstream]:
			d.startProcess(upstream)
		case rng.IntN(2) == 0:
			w.leaving[upstream] = true
		case w.shedding[upstream] > 0:
			w.shedding[upstream] = 0
		default:
			w.shedding[upstream] = duration.Truncate(time.Second) + time.Second
		}
		d.mu.Unlock()
		time.Sleep(time.Duration(rng.Int64N(int64(maxWordInterval))))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for upstream := range upstreamCount {
		d.words.shedding[upstream] = 0
		d.startProcess(upstream)
	}
}

// startProcess replaces the process of an upstream by one that stays. The caller holds mu.
func (d *deployment) startProcess(upstream int) {
	w := &d.words
	w.leaving[upstream] = false
	w.born[upstream] = time.Now().UnixMilli()
	w.toldLeave[upstream], w.toldQuiet[upstream] = [maxInstances]time.Time{}, [maxInstances]*told{}
	d.writeUpstream(upstream, "ready")
}

// disturbed reports whether a fault after a time excuses an instance at an upstream. A fault
// of the link that is in progress may have begun before: answers that the upstream has
// written since then have not reached the instance.
func (w *upstreamWords) disturbed(upstream, instance int, since time.Time) bool {
	return w.linkFaults[upstream] > 0 || w.disturbedInstance[instance].After(since) || w.disturbedUpstream[upstream].After(since)
}

// arrive checks a request that reaches an upstream against what the upstream has told its
// instance, and sets the headers of the answer. It returns false if the upstream turns the
// request away. If it does not, a raw answer bears none of these headers.
func (d *deployment) arrive(upstream int, id string, header http.Header, raw bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := &d.words
	instance, known := w.sentTo[id]
	if !known {
		return true
	}
	now := time.Now()
	if at := w.toldLeave[upstream][instance]; !at.IsZero() && w.sentAt[id].Sub(at) > drainTime && !w.disturbed(upstream, instance, at) {
		w.violations = append(w.violations, fmt.Sprintf("%s reached u%d from edge-%d %s after its word of leaving", id, upstream, instance, now.Sub(at)))
	}
	if t := w.toldQuiet[upstream][instance]; t != nil && now.Sub(t.at) > quietGrace && now.Sub(t.at) < t.quiet {
		if t.arrivals++; t.arrivals == maxQuietArrivals+1 && !w.disturbed(upstream, instance, t.at) {
			w.violations = append(w.violations, fmt.Sprintf("%s is the third to reach u%d from edge-%d in its quiet time of %s, %s after the word", id, upstream, instance, t.quiet, now.Sub(t.at)))
		}
	}
	if at := w.drainedAt[upstream]; !at.IsZero() && w.sentAt[id].Sub(at) > recordDrainTime && w.sentAt[id].Sub(w.disturbedInstance[instance]) > startTime {
		w.violations = append(w.violations, fmt.Sprintf("%s reached u%d from edge-%d %s after its record said that it leaves", id, upstream, instance, now.Sub(at)))
	}
	if w.leaving[upstream] && (!raw || w.shedding[upstream] > 0) {
		header.Set("Server-Leaving", "1")
		if w.toldLeave[upstream][instance].IsZero() {
			w.toldLeave[upstream][instance] = now
		}
	}
	if quiet := w.shedding[upstream]; quiet > 0 {
		header.Set("Retry-After", fmt.Sprint(int(quiet.Seconds())))
		w.toldQuiet[upstream][instance] = &told{at: now, quiet: quiet}
		return false
	}
	return true
}

// recordSent records to which instance a request is about to be sent.
func (d *deployment) recordSent(id string, instance int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.words.sentTo[id], d.words.sentAt[id] = instance, time.Now()
}

// recordDisturbance records a fault of an instance, of all, or of the link to an upstream.
func (d *deployment) recordDisturbance(fault, instance, upstream int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch fault {
	case faultKill, faultTerminate, faultSuspend:
		d.words.disturbedInstance[instance] = now
	case faultResetUpstream, faultHoldResponses, faultDelayUpstream:
		d.words.disturbedUpstream[upstream] = now
	case faultKillAll:
		for instance := range instanceCount {
			d.words.disturbedInstance[instance] = now
		}
	}
}

// countLinkFault adds a number to that of the faults in progress of the link to an upstream.
func (d *deployment) countLinkFault(upstream, number int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.words.linkFaults[upstream] += number
}

// checkWords returns the violations of what upstreams have said, and the blocks of parts of
// prompts: the upstreams of this deployment crash for no request's sake.
func (d *deployment) checkWords() []string {
	violations := d.words.violations
	for _, process := range d.processes {
		for line := range strings.Lines(process.Output()) {
			if strings.Contains(line, `"msg":"requests blocked"`) && strings.Contains(line, `"shared":true`) {
				violations = append(violations, process.Name+" took a part of prompts for the cause of a crash: "+line)
			}
		}
	}
	return violations
}
