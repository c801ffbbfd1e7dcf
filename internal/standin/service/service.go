// Package service is a stand-in for a service whose calls must not be executed twice.
// It does not detect duplicates, but counts the executions of each call, and it can
// inject faults.
package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	headerRequestID = "X-Request-Id"
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 64 << 20
	// redirectTargetPrefix is the first part of the path to which redirects lead.
	redirectTargetPrefix = "/moved"
)

// Mode is the kind of fault to inject.
type Mode string

// Values of Mode. They differ in whether the service executes the request and in how it
// answers.
const (
	// None injects no fault.
	None Mode = ""
	// Hang executes the request and never answers.
	Hang Mode = "hang"
	// ResetBefore resets the connection without executing the request.
	ResetBefore Mode = "reset_before"
	// ResetAfter executes the request, then resets the connection.
	ResetAfter Mode = "reset_after"
	// Redirect307 and Redirect308 redirect to redirectTargetPrefix without
	// executing the request; it is executed there if the client follows.
	Redirect307 Mode = "redirect_307"
	Redirect308 Mode = "redirect_308"
	// Late executes the request and answers after DelayMs.
	Late Mode = "late"
	// WrongID executes the request and answers with WrongRequestID.
	WrongID Mode = "wrong_id"
	// CutBody executes the request, sends half of the response body and closes the
	// connection.
	CutBody Mode = "cut_body"
)

// Faults are the faults that a service injects. The zero value injects none.
type Faults struct {
	Mode Mode `json:"mode"`
	// Times limits the number of requests that are affected; zero means no limit.
	Times int `json:"times,omitempty"`
	// DelayMs is the delay of the answer in mode Late, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// WrongRequestID is the request ID in the answers of mode WrongID.
	WrongRequestID string `json:"wrongRequestID,omitempty"`
}

// Call is the log entry of one request.
type Call struct {
	RequestID string `json:"requestID"`
	// Key is the business key, which is the field "key" of a JSON body.
	Key      string    `json:"key,omitempty"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	At       time.Time `json:"at"`
	Executed bool      `json:"executed"`
}

// Log contains the requests that a service has received since its start.
type Log struct {
	Calls []Call `json:"calls"`
	// ByRequestID and ByKey are the numbers of executions by request ID and by
	// business key.
	ByRequestID map[string]int `json:"byRequestID"`
	ByKey       map[string]int `json:"byKey"`
}

// Service is the stand-in service.
type Service struct {
	clock clockwork.Clock

	mutex  sync.Mutex
	faults Faults
	// faultsApplied is the number of requests affected since the faults were set.
	faultsApplied int
	calls         []Call
}

// New returns a service without faults that uses the given clock.
func New(clock clockwork.Clock) *Service { return &Service{clock: clock} }

// Handler returns the HTTP interface of the service. Paths below /admin let tests read
// the log and set faults; all others are calls of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleCall)
	mux.HandleFunc("GET /admin/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Log()) })
	mux.HandleFunc("PUT /admin/faults", s.handleFaults)
	return mux
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.faultsApplied = 0
}

// Log returns a copy of the log.
func (s *Service) Log() Log {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	log := Log{Calls: append([]Call{}, s.calls...), ByRequestID: map[string]int{}, ByKey: map[string]int{}}
	for _, call := range s.calls {
		if !call.Executed {
			continue
		}
		log.ByRequestID[call.RequestID]++
		if call.Key != "" {
			log.ByKey[call.Key]++
		}
	}
	return log
}

// recordCall records a call once its header was read and returns its index in the log.
func (s *Service) recordCall(r *http.Request) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls = append(s.calls, Call{
		RequestID: r.Header.Get(headerRequestID),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		At:        s.clock.Now(),
	})
	return len(s.calls) - 1
}

func (s *Service) recordExecution(index int, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[index].Executed = true
	s.calls[index].Key = key
}

// nextFaults returns the faults to inject into the next request, and counts the request
// towards Faults.Times.
func (s *Service) nextFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Times > 0 && s.faultsApplied >= s.faults.Times {
		return Faults{}
	}
	s.faultsApplied++
	return s.faults
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	index := s.recordCall(r)
	faults := Faults{}
	if !strings.HasPrefix(r.URL.Path, redirectTargetPrefix) {
		faults = s.nextFaults()
	}
	if failsBeforeExecution(w, r, faults.Mode) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := businessKey(body)
	s.recordExecution(index, key)
	s.respond(w, r, key, faults)
}

// failsBeforeExecution resets or redirects the request if the mode prevents its
// execution, and reports whether it did.
func failsBeforeExecution(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case ResetBefore:
		resetConnection(w)
	case Redirect307:
		writeRedirect(w, r, http.StatusTemporaryRedirect)
	case Redirect308:
		writeRedirect(w, r, http.StatusPermanentRedirect)
	default:
		return false
	}
	return true
}

func writeRedirect(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	http.Redirect(w, r, redirectTargetPrefix+r.URL.RequestURI(), status)
}

func businessKey(body []byte) string {
	var payload struct {
		Key string `json:"key"`
	}
	// A body that is not JSON has no business key.
	_ = json.Unmarshal(body, &payload)
	return payload.Key
}

// respond answers an executed call, with the faults applied.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, key string, faults Faults) {
	id := r.Header.Get(headerRequestID)
	answer, _ := json.Marshal(map[string]string{"requestID": id, "key": key, "result": "executed"})
	switch faults.Mode {
	case Hang:
		<-r.Context().Done()
		return
	case ResetAfter:
		resetConnection(w)
		return
	case Late:
		if !s.waitDelay(r, time.Duration(faults.DelayMs)*time.Millisecond) {
			return
		}
	case WrongID:
		id = faults.WrongRequestID
	case CutBody:
		w.Header().Set("Content-Length", contentLength(answer))
		w.Header().Set(headerRequestID, id)
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", contentLength(answer))
	w.Header().Set(headerRequestID, id)
	_, _ = w.Write(answer)
}

// waitDelay waits for the duration. It returns false if the client disconnects first.
func (s *Service) waitDelay(r *http.Request, duration time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-s.clock.After(duration):
		return true
	}
}

// resetConnection closes the connection with a TCP reset, without an answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func contentLength(body []byte) string { return strconv.Itoa(len(body)) }

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
