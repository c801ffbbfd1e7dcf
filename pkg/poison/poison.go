// Package poison finds out what the requests that crash upstreams have in common, so that
// such requests can be refused before they are sent.
//
// A crash breaks many requests at once, and each instance sees only its own. Every
// fingerprint of a request whose answer had not begun becomes a suspect: the whole
// content, which only copies of the request share, and each part of its prompt, which
// unlike requests share. A fingerprint is blocked once several crashes have it as a
// suspect and no request with it was answered since the first of them. Parts that were in
// the same crashes are told apart by their answers, before the crashes and since
// (contrast.go). Instances exchange the suspicions, in any order and any number of times.
//
// The package has no I/O and reads no clock: callers pass the time.
package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashThreshold is the number of crashes from which a fingerprint is blocked.
	crashThreshold = 3
	// minCrashInterval is the time within which crashes count as one for a shared
	// fingerprint. When a rack fails, all of its upstreams end within it, and a part that
	// most requests share is a suspect at each.
	minCrashInterval = 200 * time.Millisecond
	// restartTime is the time within which the ends of connections to one process of an
	// upstream are from the same crash, which instances notice at different times. Later
	// ones are from a process that has the same ID and whose start is not known yet.
	restartTime = 3 * time.Second
	// crashThresholdAnswered is the number of crashes from which a shared fingerprint is
	// blocked that was answered before them. It is more likely to have been beside the
	// cause, which then reaches the threshold first.
	crashThresholdAnswered = 5
	// maxCrashes bounds the crashes that are kept of a fingerprint, and maxCrashesAtOnce
	// those within minCrashInterval. Crashes that do not count towards the threshold tell
	// the fingerprints of the same crashes apart.
	maxCrashes       = 10
	maxCrashesAtOnce = 2
	// minOtherAnswers is the number of answers to requests without a shared fingerprint
	// that must have begun since its first crash. If the service answers no requests, its
	// requests are not the cause.
	minOtherAnswers = 3
	// minAnsweredCrashes is the number of crashes of the service after which any instance
	// has seen an answer of it, that replaces minOtherAnswers. With few requests an
	// instance sees one answer in many seconds.
	minAnsweredCrashes = 2
	// unansweredCrashes and unansweredTime are the number of crashes, and the time between
	// the first and the last, from which a shared fingerprint is blocked although the
	// service answers no other requests. Outages in which upstreams crash one after
	// another are shorter.
	unansweredCrashes = 5
	unansweredTime    = 15 * time.Second
	// suspicionTTL is how long a suspicion lasts without a further crash. Callers repeat
	// such requests within a minute.
	suspicionTTL = time.Minute
	// minBlockTime is how long a fingerprint is blocked at first. The time doubles each
	// time that a request that was let through afterwards crashes its upstream.
	minBlockTime = 30 * time.Second
	maxBlockTime = 10 * time.Minute
	// trialTimeout is the time after which another request may be tried if the last one
	// led to neither an answer nor a crash.
	trialTimeout = 10 * time.Second
	// maxSuspicions bounds the memory of a Detector.
	maxSuspicions = 1024
)

// Fingerprint identifies what requests to a service have in common.
type Fingerprint struct {
	// Service is the short hash of the service's name. A part of a prompt may crash the
	// upstreams of one service and be harmless to another one.
	Service uint32
	Hash    uint64
	// Shared is true for a part of a prompt, which unlike requests have in common, and
	// false for the whole content.
	Shared bool
}

// Trait is a fingerprint with its name for the log.
type Trait struct {
	Fingerprint
	Name string
}

// crash is the crash of an upstream.
type crash struct {
	// process is the hash of the process of the upstream.
	process uint32
	at      time.Duration
}

// suspicion is what is known about a fingerprint.
type suspicion struct {
	name string
	// epoch grows each time that an answer has refuted the suspicion. It is also above 0 if
	// an answer was recorded shortly before the first crash.
	epoch uint16
	// crashes holds up to maxCrashes distinct crashes of the epoch.
	crashes []crash
	// answersBefore and answeredCrashesBefore are the numbers of answers and of answered
	// crashes of the service when the first crash became known here.
	answersBefore, answeredCrashesBefore int
	changedAt                            time.Duration
	// blocks counts how often in a row the fingerprint was blocked, last until
	// blockedUntil. From trialAt on, a single request may be sent.
	blocks       int
	blockedUntil time.Duration
	trialAt      time.Duration
	// triedUntil is the time until which the other instances leave the trial to this one.
	triedUntil time.Duration
	// contrastAt is the time from which another request may be sent to tell the
	// fingerprint from those of the same crashes.
	contrastAt time.Duration
	// explained is true while the block does not hold since another fingerprint explains
	// the crashes.
	explained bool
	// change is the number of the last change, and ownChange that of the last one that
	// this instance has itself observed.
	change, ownChange uint64
}

// Detector holds the suspicions. It is not safe for concurrent use.
type Detector struct {
	suspicions map[Fingerprint]*suspicion
	// answers counts the answers that have begun, by service.
	answers map[uint32]int
	// answeredCrashes counts, by service, the crashes after which an instance has recorded
	// an answer.
	answeredCrashes map[uint32]int
	answered        answerHistory
	changes         uint64
	// trialDelay returns how long after the end of a block of the given length this
	// instance lets a request through.
	trialDelay func(block time.Duration) time.Duration
	events     []Event
	watched    map[Fingerprint]struct{}
}

// Event is a fingerprint that was blocked or released.
type Event struct {
	Fingerprint Fingerprint
	// Name is empty if no request with the fingerprint was seen at this instance.
	Name string
	// Blocked is false if the fingerprint was released.
	Blocked bool
	// Crashes is the number of distinct crashes, up to the threshold.
	Crashes int
	// BlockTime is the time for which it is blocked.
	BlockTime time.Duration
	// Source is the instance that reported it; empty for this one.
	Source string
}

// NewDetector returns a detector without suspicions.
func NewDetector(trialDelay func(block time.Duration) time.Duration) *Detector {
	return &Detector{suspicions: map[Fingerprint]*suspicion{}, answers: map[uint32]int{}, answeredCrashes: map[uint32]int{}, trialDelay: trialDelay}
}

// RecordCrash records that an upstream crashed before its answer to a request with these
// traits had begun. process is a hash that identifies the process of the upstream.
func (d *Detector) RecordCrash(now time.Duration, process uint32, traits []Trait) {
	if len(traits) > 0 {
		d.recordServiceCrash(now, traits[0].Service, process)
	}
	for _, trait := range traits {
		s := d.suspicion(now, trait.Fingerprint)
		s.name = trait.Name
		added := s.add(crash{process: process, at: now}, trait.Shared)
		if added {
			s.changedAt = now
			d.markChanged(s, true)
		}
		d.noteEarlierAnswer(now, trait.Fingerprint, s)
		if s.blocks > 0 && now >= s.blockedUntil {
			d.block(now, trait.Fingerprint, s)
		}
	}
}

// RecordAnswer records that an upstream of the service has answered a request with these
// traits: the answer is complete, or it goes on after its beginning. It reports whether
// other instances should learn of it at once.
func (d *Detector) RecordAnswer(now time.Duration, service uint32, traits []Trait) bool {
	d.answers[service]++
	changed := d.recordServiceAnswer(now, service)
	for _, trait := range traits {
		if trait.Shared {
			d.answered.record(now, trait.Fingerprint)
		}
		s := d.suspicions[trait.Fingerprint]
		if s == nil || (len(s.crashes) == 0 && s.blocks == 0) {
			continue
		}
		d.release(now, trait.Fingerprint, s, s.epoch+1, "")
		d.markChanged(s, true)
		changed = true
	}
	return changed
}

// release drops all crashes known so far.
func (d *Detector) release(now time.Duration, fingerprint Fingerprint, s *suspicion, epoch uint16, source string) {
	if s.blocks > 0 {
		d.events = append(d.events, Event{Fingerprint: fingerprint, Name: s.name, Crashes: s.count(fingerprint), Source: source})
	}
	s.epoch, s.crashes, s.changedAt = epoch, nil, now
	s.endBlock()
}

func (s *suspicion) endBlock() {
	s.blocks, s.blockedUntil, s.trialAt, s.triedUntil, s.contrastAt, s.explained = 0, 0, 0, 0, 0, false
}

// add adds a crash and returns false if it is known already or not needed.
func (s *suspicion) add(added crash, shared bool) bool {
	if len(s.crashes) >= maxCrashes {
		return false
	}
	atOnce := 0
	for _, known := range s.crashes {
		if known.same(added) {
			return false
		}
		if (known.at - added.at).Abs() < minCrashInterval {
			atOnce++
		}
	}
	if shared && atOnce >= maxCrashesAtOnce {
		return false
	}
	s.crashes = append(s.crashes, added)
	return true
}

// same reports whether two observations are of one crash.
func (c crash) same(other crash) bool {
	return c.process == other.process && (c.at-other.at).Abs() < restartTime
}

// count returns the number of crashes that count towards the threshold.
func (s *suspicion) count(fingerprint Fingerprint) int {
	if !fingerprint.Shared {
		return len(s.crashes)
	}
	times := make([]time.Duration, 0, maxCrashes)
	for _, c := range s.crashes {
		times = append(times, c.at)
	}
	slices.Sort(times)
	return countApart(times)
}

// countApart returns how many of the sorted times are minCrashInterval after the last one
// that counts.
func countApart(times []time.Duration) int {
	count, last := 0, time.Duration(0)
	for _, at := range times {
		if count == 0 || at-last >= minCrashInterval {
			count, last = count+1, at
		}
	}
	return count
}

// suspicion returns the suspicion of a fingerprint and creates it if there is none.
func (d *Detector) suspicion(now time.Duration, fingerprint Fingerprint) *suspicion {
	s := d.suspicions[fingerprint]
	if s != nil && !s.expired(now) {
		if len(s.crashes) == 0 {
			s.answersBefore, s.answeredCrashesBefore = d.answers[fingerprint.Service], d.answeredCrashes[fingerprint.Service]
		}
		return s
	}
	if s == nil && len(d.suspicions) >= maxSuspicions {
		d.evict(now)
	}
	s = &suspicion{answersBefore: d.answers[fingerprint.Service], answeredCrashesBefore: d.answeredCrashes[fingerprint.Service], changedAt: now}
	d.suspicions[fingerprint] = s
	d.watched = nil
	return s
}

func (s *suspicion) expired(now time.Duration) bool {
	return now-max(s.changedAt, s.blockedUntil) > suspicionTTL
}

// evict removes the expired suspicions, or else the least important one.
func (d *Detector) evict(now time.Duration) {
	var least Fingerprint
	for fingerprint, s := range d.suspicions {
		if s.expired(now) {
			d.remove(fingerprint)
		} else if other := d.suspicions[least]; other == nil || s.compare(other) < 0 {
			least = fingerprint
		}
	}
	if len(d.suspicions) >= maxSuspicions {
		d.remove(least)
	}
}

func (d *Detector) remove(fingerprint Fingerprint) {
	delete(d.suspicions, fingerprint)
	d.watched = nil
}

// compare orders suspicions by importance: blocked ones, then those with more crashes,
// then those that have changed last.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(cmp.Compare(s.blocks, other.blocks), cmp.Compare(len(s.crashes), len(other.crashes)), cmp.Compare(s.changedAt, other.changedAt))
}

func (d *Detector) markChanged(s *suspicion, own bool) {
	d.changes++
	s.change = d.changes
	if own {
		s.ownChange = d.changes
	}
	d.watched = nil
}

// convicted reports whether the crashes show that requests with the fingerprint are their
// cause, if no other fingerprint is.
func (d *Detector) convicted(fingerprint Fingerprint, s *suspicion) bool {
	if s.count(fingerprint) < s.threshold(fingerprint) {
		return false
	}
	return !fingerprint.Shared ||
		d.answers[fingerprint.Service]-s.answersBefore >= minOtherAnswers ||
		d.answeredCrashes[fingerprint.Service]-s.answeredCrashesBefore >= minAnsweredCrashes ||
		d.crashesUnanswered(fingerprint, s)
}

// threshold returns the number of crashes from which the fingerprint is blocked.
func (s *suspicion) threshold(fingerprint Fingerprint) int {
	if fingerprint.Shared && s.epoch > 0 {
		return crashThresholdAnswered
	}
	return crashThreshold
}

// crashesUnanswered reports whether the crashes go on for longer than an outage, and the
// service has neither answered a request since nor crashed on one without the fingerprint.
func (d *Detector) crashesUnanswered(fingerprint Fingerprint, s *suspicion) bool {
	all := d.suspicions[anyRequest(fingerprint.Service)]
	if all == nil || len(all.crashes) == 0 || all.unshared(s) > 0 || s.count(fingerprint) < unansweredCrashes {
		return false
	}
	compareTimes := func(a, b crash) int { return cmp.Compare(a.at, b.at) }
	return slices.MaxFunc(s.crashes, compareTimes).at-slices.MinFunc(s.crashes, compareTimes).at >= unansweredTime
}

func (d *Detector) block(now time.Duration, fingerprint Fingerprint, s *suspicion) {
	blockTime := min(maxBlockTime, minBlockTime<<min(s.blocks, 8))
	s.blocks++
	s.setBlock(now, blockTime, d.trialDelay(blockTime))
	d.markChanged(s, true)
	d.events = append(d.events, Event{Fingerprint: fingerprint, Name: s.name, Blocked: true, Crashes: s.count(fingerprint), BlockTime: blockTime})
}

func (s *suspicion) setBlock(now, blockTime, trialDelay time.Duration) {
	s.blockedUntil = now + blockTime
	s.trialAt, s.triedUntil = s.blockedUntil+trialDelay, 0
}

// Verdict states whether a request may be sent.
type Verdict struct {
	// Blocked is true if the request must be refused. Name is then the trait for which it
	// is, Crashes the number of crashes, up to the threshold, and RetryAfter the time until
	// such requests are tried again.
	Blocked    bool
	Name       string
	Crashes    int
	RetryAfter time.Duration
	// Trial is true if the request is let through after the end of a block.
	Trial bool
}

// Admit decides whether a request with these traits may be sent. After the end of a block
// it lets a single request through, whose answer or crash decides about the others. The
// other instances should learn of it at once, so that they wait for the result.
func (d *Detector) Admit(now time.Duration, traits []Trait) Verdict {
	var tried, contrasted []*suspicion
	var refused Verdict
	for _, trait := range traits {
		s := d.suspicions[trait.Fingerprint]
		if s == nil || s.expired(now) || (s.blocks == 0 && !d.convicted(trait.Fingerprint, s)) {
			continue
		}
		s.name = trait.Name
		explained := d.explained(now, trait.Fingerprint, s)
		switch {
		case s.blocks == 0 && explained:
			continue
		case s.blocks == 0:
			d.block(now, trait.Fingerprint, s)
		case s.explained != explained:
			s.explained = explained
			d.events = append(d.events, Event{Fingerprint: trait.Fingerprint, Name: s.name, Blocked: !explained, Crashes: s.count(trait.Fingerprint), BlockTime: max(0, s.blockedUntil-now)})
		}
		switch {
		case explained:
		case now >= s.trialAt:
			tried = append(tried, s)
		case now >= s.contrastAt && d.lacksRival(now, trait.Fingerprint, s, traits):
			contrasted = append(contrasted, s)
		case !refused.Blocked:
			refused = Verdict{Blocked: true, Name: trait.Name, Crashes: s.count(trait.Fingerprint), RetryAfter: max(s.blockedUntil, now+trialTimeout) - now}
		}
	}
	if refused.Blocked {
		return refused
	}
	for _, s := range tried {
		s.trialAt, s.triedUntil = now+trialTimeout, now+trialTimeout
		d.markChanged(s, true)
	}
	for _, s := range contrasted {
		s.contrastAt = now + contrastTimeout
	}
	return Verdict{Trial: len(tried)+len(contrasted) > 0}
}

// Watched returns the fingerprints that may be blocked. Requests with other fingerprints
// need no call of Admit. The map must not be changed.
func (d *Detector) Watched() map[Fingerprint]struct{} {
	if d.watched == nil {
		d.watched = map[Fingerprint]struct{}{}
		for fingerprint, s := range d.suspicions {
			if s.blocks > 0 || s.count(fingerprint) >= s.threshold(fingerprint) {
				d.watched[fingerprint] = struct{}{}
			}
		}
	}
	return d.watched
}

// BlockedCount returns the number of fingerprints that are blocked or on trial.
func (d *Detector) BlockedCount(now time.Duration) int {
	count := 0
	for _, s := range d.suspicions {
		if s.blocks > 0 && !s.explained && !s.expired(now) {
			count++
		}
	}
	return count
}

// TakeEvents returns the events since the last call.
func (d *Detector) TakeEvents() []Event {
	events := d.events
	d.events = nil
	return events
}

// sorted returns the fingerprints for which keep returns true, the most important first.
func (d *Detector) sorted(now time.Duration, keep func(Fingerprint, *suspicion) bool) []Fingerprint {
	var selected []Fingerprint
	for fingerprint, s := range d.suspicions {
		if !s.expired(now) && keep(fingerprint, s) {
			selected = append(selected, fingerprint)
		}
	}
	slices.SortFunc(selected, func(a, b Fingerprint) int {
		return cmp.Or(d.suspicions[b].compare(d.suspicions[a]), cmp.Compare(a.Hash, b.Hash))
	})
	return selected
}
