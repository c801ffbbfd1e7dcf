package engine

import (
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Log is what an engine received and did since it started.
type Log struct {
	Incarnation string          `json:"incarnation"`
	Requests    []RequestRecord `json:"requests"`
	// PrefillTokens were processed; CachedTokens were taken from the cache.
	PrefillTokens int `json:"prefillTokens"`
	CachedTokens  int `json:"cachedTokens"`
	// RepeatedPrefillTokens were processed although this engine had processed
	// the same prefix before.
	RepeatedPrefillTokens int           `json:"repeatedPrefillTokens"`
	Orders                []OrderRecord `json:"orders"`
}

// RequestRecord is one request ID that an engine received.
type RequestRecord struct {
	RequestID string `json:"requestID"`
	// Receipts counts how often the ID was received.
	Receipts int `json:"receipts"`
	// Fingerprints are the XXH64 sums of the bodies, one for each receipt
	// whose body arrived whole, in hexadecimal.
	Fingerprints []string `json:"fingerprints"`
	// FirstAt is the time of the first receipt.
	FirstAt time.Time `json:"firstAt"`
	// PrefillTokens is the prefill done, summed over receipts.
	PrefillTokens int   `json:"prefillTokens"`
	PromptTokens  int   `json:"promptTokens"`
	CachedTokens  int   `json:"cachedTokens"`
	OutputTokens  int   `json:"outputTokens"`
	State         State `json:"state"`
}

// OrderRecord is one order that an engine received.
type OrderRecord struct {
	Order    upstream.Order `json:"order"`
	At       time.Time      `json:"at"`
	Accepted bool           `json:"accepted"`
}

// receive records a request ID as soon as the request's header was read: from
// then on the request counts as dispatched, whether its body arrives or not.
func (e *Engine) receive(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	index, ok := e.logIndex[id]
	if !ok {
		index = len(e.log.Requests)
		e.logIndex[id] = index
		e.log.Requests = append(e.log.Requests, RequestRecord{RequestID: id, FirstAt: e.clock.Now()})
	}
	e.log.Requests[index].Receipts++
}

func (e *Engine) addFingerprint(id, fingerprint string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	record := &e.log.Requests[e.logIndex[id]]
	record.Fingerprints = append(record.Fingerprints, fingerprint)
}

// note copies a stream's progress into its record; the mutex is held.
func (e *Engine) note(s *stream) {
	record := &e.log.Requests[s.record]
	record.PromptTokens = s.promptTokens
	record.CachedTokens = s.cachedTokens
	record.OutputTokens = s.produced
	record.State = s.state
}

// Log returns a copy of the log.
func (e *Engine) Log() Log {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, s := range e.running {
		e.note(s)
	}
	log := e.log
	log.Incarnation = e.incarnation
	log.Requests = slices.Clone(e.log.Requests)
	log.Orders = slices.Clone(e.orders)
	return log
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(faults Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
	e.cuts = 0
	e.recordLoad()
}

func (e *Engine) currentFaults() Faults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// takeCut reports after how many events this answer is cut; zero means never.
func (e *Engine) takeCut() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.CutAfter == 0 {
		return 0
	}
	if e.faults.CutTimes > 0 && e.cuts >= e.faults.CutTimes {
		return 0
	}
	e.cuts++
	return e.faults.CutAfter
}
