package poison

import (
	"slices"
	"time"
)

const (
	// contrastTimeout is the time after which another request may be sent to tell parts of
	// the same crashes apart, if the last one led to neither an answer nor a crash.
	contrastTimeout = 3 * time.Second
	// maxUnsharedCrashes is the number of crashes of a part that a rival may lack. One is
	// left for a crash that the other one of two deadly parts has caused.
	maxUnsharedCrashes = 1
	// answerHistoryTime is how long an answer is remembered at least, and
	// maxAnswerHistory the number of fingerprints in each half of the history.
	answerHistoryTime = 5 * time.Minute
	maxAnswerHistory  = 4096
)

// answerHistory remembers the shared fingerprints that were answered lately.
type answerHistory struct {
	// newer and older are the halves of the history; older is dropped when newer is full or
	// lasts for answerHistoryTime.
	newer, older map[Fingerprint]struct{}
	newerSince   time.Duration
}

func (h *answerHistory) record(now time.Duration, fingerprint Fingerprint) {
	h.rotate(now)
	h.newer[fingerprint] = struct{}{}
}

func (h *answerHistory) contains(now time.Duration, fingerprint Fingerprint) bool {
	h.rotate(now)
	if _, found := h.newer[fingerprint]; found {
		return true
	}
	_, found := h.older[fingerprint]
	return found
}

func (h *answerHistory) rotate(now time.Duration) {
	if h.newer == nil || len(h.newer) >= maxAnswerHistory || now-h.newerSince >= answerHistoryTime {
		h.older, h.newer, h.newerSince = h.newer, map[Fingerprint]struct{}{}, now
	}
}

// noteEarlierAnswer raises the first epoch if this instance has recorded an answer with the
// fingerprint before, so that all instances learn that it was sound.
func (d *Detector) noteEarlierAnswer(now time.Duration, fingerprint Fingerprint, s *suspicion) bool {
	if !fingerprint.Shared || s.epoch > 0 || !d.answered.contains(now, fingerprint) {
		return false
	}
	s.epoch = 1
	if s.blocks > 0 && s.count(fingerprint) < s.threshold(fingerprint) {
		d.events = append(d.events, Event{Fingerprint: fingerprint, Name: s.name, Crashes: s.count(fingerprint)})
		s.endBlock()
	}
	d.markChanged(s, true)
	return true
}

// anyRequest returns the fingerprint that all requests to a service share. Its epoch shows
// all instances that the service has answered a request since a crash. No request is
// refused for it.
func anyRequest(service uint32) Fingerprint { return Fingerprint{Service: service, Shared: true} }

func (d *Detector) recordServiceCrash(now time.Duration, service uint32, process uint32) {
	s := d.suspicion(now, anyRequest(service))
	if s.add(crash{process: process, at: now}, true) {
		s.changedAt = now
		d.markChanged(s, true)
	}
}

// recordServiceAnswer reports whether the answer is the first since a crash.
func (d *Detector) recordServiceAnswer(now time.Duration, service uint32) bool {
	s := d.suspicions[anyRequest(service)]
	if s == nil || len(s.crashes) == 0 {
		return false
	}
	d.release(now, anyRequest(service), s, s.epoch+1, "")
	d.answeredCrashes[service]++
	d.markChanged(s, true)
	return true
}

// unshared returns the number of crashes that the other suspicion does not have.
func (s *suspicion) unshared(other *suspicion) int {
	count := 0
	for _, c := range s.crashes {
		if !other.hasCrash(c) {
			count++
		}
	}
	return count
}

func (s *suspicion) hasCrash(c crash) bool {
	for _, known := range s.crashes {
		if known.same(c) {
			return true
		}
	}
	return false
}

// outranks reports whether the suspicion is the likelier cause of the crashes that it
// shares with the other one: it was not answered before while the other one was, or it has
// all crashes of the other one and further ones.
func (s *suspicion) outranks(other *suspicion) bool {
	if (s.epoch > 0) != (other.epoch > 0) {
		return other.epoch > 0
	}
	return other.unshared(s) == 0 && s.unshared(other) > 0
}

// explained reports whether likelier causes account for the crashes, so that those left are
// below the threshold.
func (d *Detector) explained(now time.Duration, fingerprint Fingerprint, s *suspicion) bool {
	if !fingerprint.Shared {
		return false
	}
	var causes []*suspicion
	for other, o := range d.suspicions {
		if other.Shared && other.Service == fingerprint.Service && o != s && other != anyRequest(other.Service) &&
			!o.expired(now) && (o.blocks > 0 || d.convicted(other, o)) && o.outranks(s) {
			causes = append(causes, o)
		}
	}
	if len(causes) == 0 {
		return false
	}
	left := suspicion{}
	for _, c := range s.crashes {
		if !slices.ContainsFunc(causes, func(cause *suspicion) bool { return cause.hasCrash(c) }) {
			left.crashes = append(left.crashes, c)
		}
	}
	return left.count(fingerprint) < s.threshold(fingerprint)
}

// lacksRival reports whether the request lacks a part that may be the cause of the crashes
// instead. Its answer or its crash then distinguishes the two.
func (d *Detector) lacksRival(now time.Duration, fingerprint Fingerprint, s *suspicion, traits []Trait) bool {
	if !fingerprint.Shared {
		return false
	}
	has := map[Fingerprint]bool{}
	for _, trait := range traits {
		has[trait.Fingerprint] = true
	}
	for other, o := range d.suspicions {
		if other.Shared && other.Service == fingerprint.Service && !has[other] && other != anyRequest(other.Service) &&
			!o.expired(now) && len(o.crashes) > 1 && !s.outranks(o) && s.unshared(o) <= maxUnsharedCrashes {
			return true
		}
	}
	return false
}
