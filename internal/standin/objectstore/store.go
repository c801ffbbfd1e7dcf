// Package objectstore is a stand-in of the users' platform store: objects by
// kind and name behind HTTP, with one revision counter, watches and faults.
package objectstore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object as the store sends it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Metadata names an object and its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is a change that watches deliver.
type event struct {
	kind    string
	object  Object
	deleted bool
}

// Faults are what the store does wrong.
type Faults struct {
	// Status is answered to every call if it is not 0.
	Status int
	// Silent holds every call until the faults change.
	Silent bool
	// LoseAnswers closes the connection after a call has taken effect.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
}

// Server is the store. It is an http.Handler.
type Server struct {
	mu       sync.Mutex
	objects  map[string]map[string]Object
	history  []event
	revision uint64
	// compacted is the revision up to which the history is gone.
	compacted uint64
	faults    Faults
	// changed is closed and replaced at each change of objects or faults.
	changed chan struct{}
	calls   map[string]int
	// PageSize is the number of items in a page; all if 0.
	PageSize int
}

// NewServer returns an empty store.
func NewServer() *Server {
	return &Server{objects: map[string]map[string]Object{}, revision: 1, changed: make(chan struct{}), calls: map[string]int{}}
}

// Put writes an object as the operator or an upstream does.
func (s *Server) Put(kind, name string, spec any) uint64 {
	content, ok := spec.([]byte)
	if !ok {
		var err error
		if content, err = json.Marshal(spec); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, content)
}

func (s *Server) put(kind, name string, spec []byte) uint64 {
	if old, found := s.objects[kind][name]; found && string(old.Spec) == string(spec) {
		return old.Metadata.Revision
	}
	s.revision++
	object := Object{Metadata: Metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][name] = object
	s.note(event{kind: kind, object: object})
	return s.revision
}

// Delete removes an object.
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
	s.note(event{kind: kind, object: object, deleted: true})
}

func (s *Server) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults changes the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Calls returns the number of calls per kind of call.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.calls))
	for name, count := range s.calls {
		copied[name] = count
	}
	return copied
}

// Names returns the names of a kind's objects.
func (s *Server) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

func (s *Server) names(kind string) []string {
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.survives(r) {
		// Drops the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	status, lose := s.faults.Status, s.faults.LoseAnswers
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	answer, status := s.answer(r, kind, name)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(answer)
}

// survives waits for the delay and for the end of a silence.
func (s *Server) survives(r *http.Request) bool {
	for {
		s.mu.Lock()
		faults, changed := s.faults, s.changed
		s.mu.Unlock()
		if !faults.Silent {
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

func (s *Server) answer(r *http.Request, kind, name string) (any, int) {
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet:
		return s.list(kind, query.Get("after"), query.Has("stale_ok"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		return s.write(r, kind, name)
	}
	return nil, http.StatusMethodNotAllowed
}

type listing struct {
	Items           []Object `json:"items"`
	More            bool     `json:"more"`
	CurrentRevision uint64   `json:"current_rev"`
}

func (s *Server) list(kind, after string, stale bool) (any, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["list"]++
	if stale {
		s.calls["stale"]++
	}
	page := listing{Items: []Object{}, CurrentRevision: s.revision}
	for _, name := range s.names(kind) {
		if name <= after {
			continue
		}
		if s.PageSize > 0 && len(page.Items) == s.PageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.objects[kind][name])
	}
	return page, http.StatusOK
}

type change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type changes struct {
	Events          []change `json:"events"`
	CurrentRevision uint64   `json:"current_rev"`
}

func (s *Server) watch(r *http.Request, kind string) (any, int) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil || waitMs > 30_000 {
		return nil, http.StatusBadRequest
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	s.calls["watch"]++
	s.mu.Unlock()
	for {
		found, changed, ok := s.since(kind, after)
		if !ok {
			return nil, http.StatusGone
		}
		if len(found.Events) > 0 {
			return found, http.StatusOK
		}
		select {
		case <-r.Context().Done():
			return nil, http.StatusServiceUnavailable
		case <-timer.C:
			return found, http.StatusOK
		case <-changed:
		}
	}
}

func (s *Server) since(kind string, after uint64) (changes, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return changes{}, nil, false
	}
	found := changes{Events: []change{}, CurrentRevision: s.revision}
	for _, e := range s.history {
		if e.kind == kind && e.object.Metadata.Revision > after {
			found.Events = append(found.Events, change{Object: e.object, Deleted: e.deleted})
		}
	}
	return found, s.changed, true
}

func (s *Server) write(r *http.Request, kind, name string) (any, int) {
	var object Object
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil || (name == "" && object.Metadata.Name == "") {
		return nil, http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["write"]++
	existing, found := s.objects[kind][object.Metadata.Name]
	if r.Method == http.MethodPost && found {
		return existing, http.StatusConflict
	}
	if r.Method == http.MethodPut && !found {
		return nil, http.StatusNotFound
	}
	s.put(kind, object.Metadata.Name, object.Spec)
	return s.objects[kind][object.Metadata.Name], http.StatusOK
}
