package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

const (
	// maxBody is the platform's limit on the size of a value.
	maxBody = 1 << 20
	// progressInterval is the time between progress lines of an idle watch. A
	// client that receives none knows that its connection is dead.
	progressInterval = time.Second
)

// Server is the stand-in as an http.Handler.
type Server struct {
	clock     clockwork.Clock
	store     *store
	faults    *faultState
	instances *instanceList
	mux       *http.ServeMux

	mu    sync.Mutex
	calls map[string]int
}

// NewServer returns a stand-in without objects, instances and faults.
func NewServer(clock clockwork.Clock) *Server {
	s := &Server{
		clock:     clock,
		store:     newStore(),
		faults:    newFaultState(),
		instances: newInstanceList(),
		mux:       http.NewServeMux(),
		calls:     map[string]int{},
	}
	s.handle("get", "GET /objects/{kind}/{name}", s.get)
	s.handle("list", "GET /objects", s.list)
	s.handle("put", "PUT /objects/{kind}/{name}", s.put)
	s.handle("delete", "DELETE /objects/{kind}/{name}", s.delete)
	s.handle("watch", "GET /watch", s.watch)
	s.handle("instances", "GET /instances", s.listInstances)
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/calls", s.getCalls)
	s.mux.HandleFunc("POST /admin/compact", s.compact)
	s.mux.HandleFunc("PUT /admin/instances/{name}", s.putInstance)
	s.mux.HandleFunc("DELETE /admin/instances/{name}", s.deleteInstance)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.instances.freeze(faults.FreezeInstances)
	s.faults.set(faults)
}

// SetInstance adds an instance to the instance list or replaces it.
func (s *Server) SetInstance(instance platform.ListedInstance) { s.instances.set(instance) }

// RemoveInstance removes an instance from the instance list.
func (s *Server) RemoveInstance(name string) { s.instances.remove(name) }

// Compact forgets the history of changes, so that a watch after an older
// version is refused.
func (s *Server) Compact() uint64 { return s.store.compact() }

// Calls returns the number of calls by operation since the start. A waiting
// watch is one call; calls of the admin interface are not counted.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for operation, count := range s.calls {
		calls[operation] = count
	}
	return calls
}

// handle registers an operation of the platform, which is counted and subject
// to the faults.
func (s *Server) handle(operation, pattern string, serve http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[operation]++
		s.mu.Unlock()
		// The server notices that a client has gone only once the request's body
		// has been read, so it is read before any wait.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		faults, _, _ := s.faults.get()
		if faults.DelayMs > 0 {
			select {
			case <-s.clock.After(time.Duration(faults.DelayMs) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		switch faults.Outage {
		case OutageNone:
			serve(w, r)
		case OutageClose:
			panic(http.ErrAbortHandler)
		default:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		}
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, object)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	reply(w, s.store.list(r.URL.Query()["kind"]))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	pre, ok := precondition(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object := platform.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Body: body}
	version, err := s.store.put(object, pre)
	s.answerWrite(w, version, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	pre, ok := precondition(w, r)
	if !ok {
		return
	}
	version, err := s.store.delete(r.PathValue("kind"), r.PathValue("name"), pre)
	s.answerWrite(w, version, err)
}

func (s *Server) answerWrite(w http.ResponseWriter, version uint64, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	if s.faults.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	reply(w, map[string]uint64{"version": version})
}

// watch streams one JSON line per event, and lines of type "progress" while
// nothing happens.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "parameter after: "+err.Error(), http.StatusBadRequest)
		return
	}
	kinds := kindSet(r.URL.Query()["kind"])
	events, changed, err := s.store.after(version, kinds)
	if err != nil {
		fail(w, err)
		return
	}
	stream := json.NewEncoder(w)
	control := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	generation, skipped := -1, 0
	// The time of the next progress line does not move when objects of other
	// kinds change; a client would take the silence for a dead connection.
	progress := s.clock.After(progressInterval)
	for {
		faults, current, faultsChanged := s.faults.get()
		if faults.EndWatches || faults.Outage != OutageNone {
			panic(http.ErrAbortHandler)
		}
		if current != generation {
			generation, skipped = current, 0
		}
		for _, event := range events {
			version = event.Object.Version
			if skipped < faults.SkipEvents {
				skipped++
				continue
			}
			if stream.Encode(event) != nil {
				return
			}
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-progress:
			progress = s.clock.After(progressInterval)
			if stream.Encode(platform.Event{Type: "progress"}) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
		events, changed, err = s.store.after(version, kinds)
		if err != nil {
			return
		}
	}
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.instances.get())
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	faults, _, _ := s.faults.get()
	reply(w, faults)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { reply(w, s.Calls()) }

func (s *Server) compact(w http.ResponseWriter, _ *http.Request) {
	reply(w, map[string]uint64{"version": s.Compact()})
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.ListedInstance
	if decode(w, r, &instance) {
		instance.Name = r.PathValue("name")
		s.SetInstance(instance)
	}
}

func (s *Server) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(r.PathValue("name"))
}

func precondition(w http.ResponseWriter, r *http.Request) (platform.Precondition, bool) {
	query := r.URL.Query()
	pre := platform.Precondition{Absent: query.Get("absent") == "true"}
	if text := query.Get("version"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil || version == 0 {
			http.Error(w, "parameter version: not a version", http.StatusBadRequest)
			return pre, false
		}
		pre.Version = version
	}
	return pre, true
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client has gone.
	_ = json.NewEncoder(w).Encode(value)
}

func fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, errConflict):
		status = http.StatusConflict
	case errors.Is(err, errNotFound):
		status = http.StatusNotFound
	case errors.Is(err, errCompacted):
		status = http.StatusGone
	}
	http.Error(w, err.Error(), status)
}
