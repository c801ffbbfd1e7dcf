// Package objectstore is an in-memory stand-in for the object store of a platform. It
// serves objects by kind and name over HTTP, with one revision counter for all objects
// and with watches, and it injects faults.
package objectstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object in requests and responses.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// Metadata is the name of an object and the revision of its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// CreateRevision is the revision at which the object was created.
	CreateRevision uint64 `json:"create_revision"`
}

// event is a change of an object.
type event struct {
	kind    string
	object  Object
	deleted bool
}

// Faults are the faults that the store injects. The zero value injects none.
type Faults struct {
	// Status is the HTTP status of every response if it is not 0.
	Status int
	// HoldCalls holds every call without a response until the faults change.
	HoldCalls bool
	// HoldKind holds every call for objects of this kind in the same way.
	HoldKind string
	// LoseAnswers closes the connection of a call without a response, after the call
	// has taken effect.
	LoseAnswers bool
	// Delay delays the execution of every call.
	Delay time.Duration
	// PostponePuts closes the connection of a call that replaces an object without a
	// response, and keeps the write until ExecutePostponed.
	PostponePuts bool
}

// Server is the store. It is an http.Handler.
type Server struct {
	mu       sync.Mutex
	objects  map[string]map[string]Object
	history  []event
	revision uint64
	// era is the number of times that the store has returned from an older copy, plus 1.
	era uint64
	// compacted is the revision up to which the history was discarded.
	compacted uint64
	faults    Faults
	// postponed holds the writes that were kept by the fault PostponePuts.
	postponed []write
	// changed is closed and replaced at each change of objects or faults.
	changed chan struct{}
	// calls is the number of calls by operation.
	calls map[string]int
	// PageSize is the maximum number of items in a page; 0 means no limit.
	PageSize int
}

// NewServer returns an empty store.
func NewServer() *Server {
	return &Server{objects: map[string]map[string]Object{}, revision: 1, era: 1, changed: make(chan struct{}), calls: map[string]int{}}
}

// Put writes an object and returns its revision. A []byte is written as it is, any
// other spec as JSON.
func (s *Server) Put(kind, name string, spec any) uint64 { return s.PutSeries(kind, name, spec) }

// PutSeries writes an object several times, so that a watch sees either none or all of the
// writes, and returns the last revision.
func (s *Server) PutSeries(kind, name string, specs ...any) (revision uint64) {
	contents := make([][]byte, len(specs))
	for i, spec := range specs {
		content, ok := spec.([]byte)
		if !ok {
			var err error
			if content, err = json.Marshal(spec); err != nil {
				panic(err)
			}
		}
		contents[i] = content
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, content := range contents {
		revision = s.put(kind, name, content)
	}
	return revision
}

// put writes an object unless its spec is unchanged. The caller holds the lock.
func (s *Server) put(kind, name string, spec []byte) uint64 {
	current, found := s.objects[kind][name]
	if found && string(current.Spec) == string(spec) {
		return current.Metadata.Revision
	}
	current.Spec = spec
	return s.change(kind, name, current)
}

// change stores an object under the next revision. The caller holds the lock.
func (s *Server) change(kind, name string, object Object) uint64 {
	s.revision++
	object.Metadata.Name, object.Metadata.Revision = name, s.revision
	if object.Metadata.CreateRevision == 0 {
		object.Metadata.CreateRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][name] = object
	s.appendEvent(event{kind: kind, object: object})
	return s.revision
}

// Delete removes an object if it exists.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	object.Metadata.Revision = s.revision
	s.appendEvent(event{kind: kind, object: object, deleted: true})
}

// appendEvent records an event and wakes up the watches. The caller holds the lock.
func (s *Server) appendEvent(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// ExecutePostponed executes the writes that were postponed, as far as their conditions still
// hold, and returns their number.
func (s *Server) ExecutePostponed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.postponed
	s.postponed = nil
	for _, w := range writes {
		s.execute(w)
	}
	return len(writes)
}

// Get returns an object, and false if it does not exist.
func (s *Server) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[kind][name]
	return object, found
}

// Compact discards the history. Watches that start after an older revision then get
// the status 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Snapshot is a copy of the state of the store.
type Snapshot struct {
	objects   map[string]map[string]Object
	history   []event
	revision  uint64
	compacted uint64
}

// Snapshot returns a copy of the present state.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: cloneObjects(s.objects), history: slices.Clone(s.history), revision: s.revision, compacted: s.compacted}
}

// Return takes the state back to a snapshot and raises the era. What was written since is
// lost, and its revisions are given out again.
func (s *Server) Return(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.history = cloneObjects(snapshot.objects), slices.Clone(snapshot.history)
	s.revision, s.compacted = snapshot.revision, snapshot.compacted
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	cloned := make(map[string]map[string]Object, len(objects))
	for kind, ofKind := range objects {
		cloned[kind] = maps.Clone(ofKind)
	}
	return cloned
}

// Calls returns the number of calls since the start, by operation. Lists whose client
// accepts stale results also count as "stale".
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for name, count := range s.calls {
		calls[name] = count
	}
	return calls
}

// Names returns the sorted names of the objects of a kind.
func (s *Server) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedNames(kind)
}

func (s *Server) sortedNames(kind string) []string {
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.applyHoldAndDelay(r) {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	status, dropAnswer, postponePuts := s.faults.Status, s.faults.LoseAnswers, s.faults.PostponePuts
	era := s.era
	s.mu.Unlock()
	if status != 0 {
		w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
		w.WriteHeader(status)
		return
	}
	kind, name := objectOf(r)
	if postponePuts && r.Method == http.MethodPut {
		s.postpone(r, kind, name)
		panic(http.ErrAbortHandler)
	}
	answer := s.dispatch(r, kind, name)
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(eraHeader, strconv.FormatUint(answer.era, 10))
	w.WriteHeader(answer.status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(answer.body)
}

// objectOf returns the kind and the name of the object that a call is for. The name is empty
// if it is for all of the kind.
func objectOf(r *http.Request) (kind, name string) {
	kind, name, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	return kind, name
}

// eraHeader is the header of each response with the era in which the call was executed.
const eraHeader = "Store-Era"

// answer is the response to a call.
type answer struct {
	body   any
	status int
	era    uint64
}

// answer returns a response of the present era. The caller holds the lock.
func (s *Server) answer(body any, status int) answer {
	return answer{body: body, status: status, era: s.era}
}

// emptyAnswer returns a response without a body. The caller does not hold the lock.
func (s *Server) emptyAnswer(status int) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer(nil, status)
}

// applyHoldAndDelay waits until the faults HoldCalls and HoldKind are off, then for the fault Delay.
// It returns false if the client disconnects first.
func (s *Server) applyHoldAndDelay(r *http.Request) bool {
	for {
		s.mu.Lock()
		faults, changed := s.faults, s.changed
		s.mu.Unlock()
		if kind, _ := objectOf(r); !faults.HoldCalls && (faults.HoldKind == "" || kind != faults.HoldKind) {
			if faults.Delay == 0 {
				return true
			}
			select {
			case <-r.Context().Done():
				return false
			case <-time.After(faults.Delay):
				return true
			}
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		}
	}
}

// dispatch executes a call and returns the response.
func (s *Server) dispatch(r *http.Request, kind, name string) answer {
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name != "":
		return s.getObject(kind, name)
	case r.Method == http.MethodGet:
		return s.list(kind, query.Get("after"), query.Has("stale_ok"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		return s.writeObject(r, kind, name)
	}
	return s.emptyAnswer(http.StatusMethodNotAllowed)
}

func (s *Server) getObject(kind, name string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, found := s.objects[kind][name]; found {
		return s.answer(object, http.StatusOK)
	}
	return s.answer(nil, http.StatusNotFound)
}

type listResponse struct {
	Items           []Object `json:"items"`
	More            bool     `json:"more"`
	CurrentRevision uint64   `json:"current_rev"`
}

func (s *Server) list(kind, after string, staleAllowed bool) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["list"]++
	if staleAllowed {
		s.calls["stale"]++
	}
	response := listResponse{Items: []Object{}, CurrentRevision: s.revision}
	for _, name := range s.sortedNames(kind) {
		if name <= after {
			continue
		}
		if s.PageSize > 0 && len(response.Items) == s.PageSize {
			response.More = true
			break
		}
		response.Items = append(response.Items, s.objects[kind][name])
	}
	return s.answer(response, http.StatusOK)
}

type watchEvent struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type watchResponse struct {
	Events          []watchEvent `json:"events"`
	CurrentRevision uint64       `json:"current_rev"`
}

// maxWatchWaitMs is the longest wait that a watch may ask for.
const maxWatchWaitMs = 30_000

// watch waits for events after a revision, until the wait time of the call has passed.
func (s *Server) watch(r *http.Request, kind string) answer {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil || waitMs > maxWatchWaitMs {
		return s.emptyAnswer(http.StatusBadRequest)
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	s.calls["watch"]++
	s.mu.Unlock()
	for {
		answer, events, changed := s.eventsSince(kind, after)
		if events > 0 || answer.status != http.StatusOK {
			return answer
		}
		select {
		case <-r.Context().Done():
			return s.emptyAnswer(http.StatusServiceUnavailable)
		case <-timer.C:
			return answer
		case <-changed:
		}
	}
}

// eventsSince returns the response to a watch, the number of its events and a channel that
// is closed at the next change. The response is 410 if the history after the revision was
// discarded, or if the store does not have the revision.
func (s *Server) eventsSince(kind string, after uint64) (answer, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.revision {
		return s.answer(nil, http.StatusGone), 0, s.changed
	}
	response := watchResponse{Events: []watchEvent{}, CurrentRevision: s.revision}
	for _, e := range s.history {
		if e.kind == kind && e.object.Metadata.Revision > after {
			response.Events = append(response.Events, watchEvent{Object: e.object, Deleted: e.deleted})
		}
	}
	return s.answer(response, http.StatusOK), len(response.Events), s.changed
}

// write is a call that creates or replaces an object.
type write struct {
	kind   string
	create bool
	// status is true if the status of the object is replaced instead of its spec.
	status bool
	object Object
}

// decodeWrite reads a write from a call and returns false if it is malformed.
func decodeWrite(r *http.Request, kind, name string) (write, bool) {
	name, status := strings.CutSuffix(name, "/status")
	w := write{kind: kind, create: r.Method == http.MethodPost, status: status}
	err := json.NewDecoder(r.Body).Decode(&w.object)
	return w, err == nil && (name != "" || w.object.Metadata.Name != "")
}

func (s *Server) writeObject(r *http.Request, kind, name string) answer {
	w, ok := decodeWrite(r, kind, name)
	if !ok {
		return s.emptyAnswer(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["write"]++
	return s.answer(s.execute(w))
}

// postpone keeps a write for ExecutePostponed.
func (s *Server) postpone(r *http.Request, kind, name string) {
	if w, ok := decodeWrite(r, kind, name); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.postponed = append(s.postponed, w)
	}
}

// execute executes a write if its condition holds: that the object does not exist, or that
// it has the revision that the write names. The caller holds the lock.
func (s *Server) execute(w write) (any, int) {
	name := w.object.Metadata.Name
	existing, found := s.objects[w.kind][name]
	switch {
	case w.create && found:
		return nil, http.StatusConflict
	case !w.create && !found:
		return nil, http.StatusNotFound
	case found && w.object.Metadata.Revision != 0 && w.object.Metadata.Revision != existing.Metadata.Revision:
		return existing, http.StatusConflict
	}
	switch {
	case !w.status:
		s.put(w.kind, name, w.object.Spec)
	case string(existing.Status) != string(w.object.Status):
		existing.Status = w.object.Status
		s.change(w.kind, name, existing)
	}
	return s.objects[w.kind][name], http.StatusOK
}
