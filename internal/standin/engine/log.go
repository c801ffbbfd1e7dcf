package engine

import (
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Log records the requests and orders that an engine has received since its start,
// and the prefill work that it has done.
type Log struct {
	Incarnation string          `json:"incarnation"`
	Requests    []RequestRecord `json:"requests"`
	// PrefillTokens is the number of prompt tokens processed. CachedTokens is the
	// number of prompt tokens taken from the prefix cache instead.
	PrefillTokens int `json:"prefillTokens"`
	CachedTokens  int `json:"cachedTokens"`
	// RepeatedPrefillTokens is the number of prompt tokens processed although this
	// engine had processed the same prefix before.
	RepeatedPrefillTokens int           `json:"repeatedPrefillTokens"`
	Orders                []OrderRecord `json:"orders"`
}

// RequestRecord is the log entry of one request ID.
type RequestRecord struct {
	RequestID string `json:"requestID"`
	// Receipts is the number of times that the ID was received.
	Receipts int `json:"receipts"`
	// Fingerprints are the XXH64 hashes of the bodies in hexadecimal, one for each
	// receipt whose body was read completely.
	Fingerprints []string `json:"fingerprints"`
	// FirstAt is the time of the first receipt.
	FirstAt time.Time `json:"firstAt"`
	// PrefillTokens is the number of prompt tokens processed, over all receipts.
	PrefillTokens int   `json:"prefillTokens"`
	PromptTokens  int   `json:"promptTokens"`
	CachedTokens  int   `json:"cachedTokens"`
	OutputTokens  int   `json:"outputTokens"`
	State         State `json:"state"`
}

// OrderRecord is the log entry of one order, which tells the engine which models to
// load and which role to take.
type OrderRecord struct {
	Order    upstream.Order `json:"order"`
	At       time.Time      `json:"at"`
	Accepted bool           `json:"accepted"`
}

// recordReceipt records a request ID once the request header was read. From then on
// the request counts as dispatched, whether its body arrives or not.
func (e *Engine) recordReceipt(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	index, ok := e.recordIndexes[id]
	if !ok {
		index = len(e.log.Requests)
		e.recordIndexes[id] = index
		e.log.Requests = append(e.log.Requests, RequestRecord{RequestID: id, FirstAt: e.clock.Now()})
	}
	e.log.Requests[index].Receipts++
}

func (e *Engine) recordFingerprint(id, fingerprint string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	record := &e.log.Requests[e.recordIndexes[id]]
	record.Fingerprints = append(record.Fingerprints, fingerprint)
}

// updateRecord copies the progress of a stream into its log entry. The caller holds
// the mutex.
func (e *Engine) updateRecord(s *stream) {
	record := &e.log.Requests[s.recordIndex]
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
		e.updateRecord(s)
	}
	log := e.log
	log.Incarnation = e.incarnation
	log.Requests = slices.Clone(e.log.Requests)
	log.Orders = slices.Clone(e.orders)
	return log
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
	e.answersCut = 0
	e.recordLoad()
}

func (e *Engine) currentFaults() Faults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// nextCut returns the number of events to send before the next answer is cut, and
// counts that answer as cut. It returns zero if the answer is not cut, because CutAfter
// is zero or CutTimes is set and that many answers have been cut.
func (e *Engine) nextCut() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.CutAfter == 0 {
		return 0
	}
	if e.faults.CutTimes > 0 && e.answersCut >= e.faults.CutTimes {
		return 0
	}
	e.answersCut++
	return e.faults.CutAfter
}
