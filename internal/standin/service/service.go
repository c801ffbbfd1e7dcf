// Package service is a stand-in of a plain service whose calls must not be
// repeated. It cannot check for duplicates; it counts them.
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
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 64 << 20
	// redirectPrefix is the path to which redirects lead.
	redirectPrefix = "/moved"
)

// Mode is a fault that a service injects.
type Mode string

// The modes.
const (
	// None injects no fault.
	None Mode = ""
	// Hang executes the request and never answers.
	Hang Mode = "hang"
	// ResetBefore resets the connection without executing the request.
	ResetBefore Mode = "reset_before"
	// ResetAfter executes the request, then resets the connection.
	ResetAfter Mode = "reset_after"
	// Redirect307 and Redirect308 redirect to redirectPrefix without
	// executing the request; a client that follows executes it there.
	Redirect307 Mode = "redirect_307"
	Redirect308 Mode = "redirect_308"
	// Late executes the request and answers after DelayMs.
	Late Mode = "late"
	// WrongID answers with WrongRequestID.
	WrongID Mode = "wrong_id"
	// CutBody sends half of the answer's body and closes the connection.
	CutBody Mode = "cut_body"
)

// Faults are the faults in force.
type Faults struct {
	Mode Mode `json:"mode"`
	// Times limits how many requests are affected; zero does not.
	Times int `json:"times,omitempty"`
	// DelayMs is the delay of Late, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// WrongRequestID is the request ID of WrongID.
	WrongRequestID string `json:"wrongRequestID,omitempty"`
}

// Call is one request that a service received.
type Call struct {
	RequestID string `json:"requestID"`
	// Key is the business key: the field "key" of a JSON body.
	Key      string    `json:"key,omitempty"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	At       time.Time `json:"at"`
	Executed bool      `json:"executed"`
}

// Log is what a service received and executed since it started.
type Log struct {
	Calls []Call `json:"calls"`
	// ByRequestID and ByKey count executions.
	ByRequestID map[string]int `json:"byRequestID"`
	ByKey       map[string]int `json:"byKey"`
}

// Service is the stand-in.
type Service struct {
	clock clockwork.Clock

	mutex  sync.Mutex
	faults Faults
	used   int
	calls  []Call
}

// New returns a service that takes its time from clock.
func New(clock clockwork.Clock) *Service { return &Service{clock: clock} }

// Handler returns the HTTP interface, with the test hooks on /admin.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handle)
	mux.HandleFunc("GET /admin/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Log()) })
	mux.HandleFunc("PUT /admin/faults", s.handleFaults)
	return mux
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.used = 0
}

// Log returns what was received and executed so far.
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

// receive records a call as soon as its header was read and returns its index.
func (s *Service) receive(r *http.Request) int {
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

func (s *Service) execute(index int, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[index].Executed = true
	s.calls[index].Key = key
}

func (s *Service) takeFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Times > 0 && s.used >= s.faults.Times {
		return Faults{}
	}
	s.used++
	return s.faults
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	index := s.receive(r)
	faults := Faults{}
	if !strings.HasPrefix(r.URL.Path, redirectPrefix) {
		faults = s.takeFaults()
	}
	if endsBeforeExecution(w, r, faults.Mode) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := businessKey(body)
	s.execute(index, key)
	s.answer(w, r, key, faults)
}

func endsBeforeExecution(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case ResetBefore:
		reset(w)
	case Redirect307:
		redirect(w, r, http.StatusTemporaryRedirect)
	case Redirect308:
		redirect(w, r, http.StatusPermanentRedirect)
	default:
		return false
	}
	return true
}

func redirect(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	http.Redirect(w, r, redirectPrefix+r.URL.RequestURI(), status)
}

func businessKey(body []byte) string {
	var order struct {
		Key string `json:"key"`
	}
	// A body that is not JSON has no business key.
	_ = json.Unmarshal(body, &order)
	return order.Key
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, key string, faults Faults) {
	id := r.Header.Get(headerRequestID)
	answer, _ := json.Marshal(map[string]string{"requestID": id, "key": key, "result": "executed"})
	switch faults.Mode {
	case Hang:
		<-r.Context().Done()
		return
	case ResetAfter:
		reset(w)
		return
	case Late:
		if !s.wait(r, time.Duration(faults.DelayMs)*time.Millisecond) {
			return
		}
	case WrongID:
		id = faults.WrongRequestID
	case CutBody:
		w.Header().Set("Content-Length", lengthOf(answer))
		w.Header().Set(headerRequestID, id)
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", lengthOf(answer))
	w.Header().Set(headerRequestID, id)
	_, _ = w.Write(answer)
}

func (s *Service) wait(r *http.Request, duration time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-s.clock.After(duration):
		return true
	}
}

// reset closes the connection with a TCP reset instead of answering.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func lengthOf(body []byte) string { return strconv.Itoa(len(body)) }

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
