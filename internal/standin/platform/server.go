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
	// maxBodyBytes is the platform's limit on the size of an object.
	maxBodyBytes = 1 << 20
	// progressInterval is the time between progress events of a watch. A client that
	// receives none can tell that its connection is dead.
	progressInterval = time.Second
)

// Server is the stand-in platform. It is an http.Handler.
type Server struct {
	clock     clockwork.Clock
	store     *store
	faults    *faultState
	instances *instanceList
	mux       *http.ServeMux

	mu    sync.Mutex
	calls map[string]int
}

// NewServer returns a platform without objects, instances and faults.
func NewServer(clock clockwork.Clock) *Server {
	s := &Server{
		clock:     clock,
		store:     newStore(),
		faults:    newFaultState(),
		instances: newInstanceList(),
		mux:       http.NewServeMux(),
		calls:     map[string]int{},
	}
	s.handleOperation("get", "GET /objects/{kind}/{name}", s.get)
	s.handleOperation("list", "GET /objects", s.list)
	s.handleOperation("put", "PUT /objects/{kind}/{name}", s.put)
	s.handleOperation("delete", "DELETE /objects/{kind}/{name}", s.delete)
	s.handleOperation("watch", "GET /watch", s.watch)
	s.handleOperation("instances", "GET /instances", s.listInstances)
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

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.instances.setFrozen(faults.FreezeInstances)
	s.faults.set(faults)
}

// SetInstance adds an instance to the instance list or replaces it.
func (s *Server) SetInstance(instance platform.ListedInstance) { s.instances.set(instance) }

// RemoveInstance removes an instance from the instance list.
func (s *Server) RemoveInstance(name string) { s.instances.remove(name) }

// Compact discards the history of changes and returns the current version. Watches
// that start after an older version are then refused.
func (s *Server) Compact() uint64 { return s.store.compact() }

// Calls returns the number of calls since the start, by operation. An open watch is
// one call; calls of the admin interface are not counted.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for operation, count := range s.calls {
		calls[operation] = count
	}
	return calls
}

// handleOperation registers an operation of the platform. Its calls are counted and
// subject to the faults.
func (s *Server) handleOperation(operation, pattern string, serve http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[operation]++
		s.mu.Unlock()
		// net/http detects that a client has disconnected only once the request body
		// has been read, so the body is read before any wait.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
		writeError(w, err)
		return
	}
	writeJSON(w, object)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.store.list(r.URL.Query()["kind"]))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	pre, ok := parsePrecondition(w, r)
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
	s.writeVersion(w, version, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	pre, ok := parsePrecondition(w, r)
	if !ok {
		return
	}
	version, err := s.store.delete(r.PathValue("kind"), r.PathValue("name"), pre)
	s.writeVersion(w, version, err)
}

func (s *Server) writeVersion(w http.ResponseWriter, version uint64, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	if s.faults.consumeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"version": version})
}

// watch sends each event of the requested kinds as one JSON line, and an event of
// type "progress" at every progressInterval.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "parameter after: "+err.Error(), http.StatusBadRequest)
		return
	}
	kinds := newKindFilter(r.URL.Query()["kind"])
	events, changed, err := s.store.eventsAfter(version, kinds)
	if err != nil {
		writeError(w, err)
		return
	}
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	generation, skipped := -1, 0
	// Changes of objects of other kinds do not postpone the next progress event;
	// otherwise clients would take the connection for dead.
	progress := s.clock.After(progressInterval)
	for {
		faults, currentGeneration, faultsChanged := s.faults.get()
		if faults.EndWatches || faults.Outage != OutageNone {
			panic(http.ErrAbortHandler)
		}
		if currentGeneration != generation {
			generation, skipped = currentGeneration, 0
		}
		for _, event := range events {
			version = event.Object.Version
			if skipped < faults.SkipEvents {
				skipped++
				continue
			}
			if encoder.Encode(event) != nil {
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-progress:
			progress = s.clock.After(progressInterval)
			if encoder.Encode(platform.Event{Type: "progress"}) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
		events, changed, err = s.store.eventsAfter(version, kinds)
		if err != nil {
			return
		}
	}
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.instances.get())
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	faults, _, _ := s.faults.get()
	writeJSON(w, faults)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func (s *Server) compact(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]uint64{"version": s.Compact()})
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.ListedInstance
	if readJSON(w, r, &instance) {
		instance.Name = r.PathValue("name")
		s.SetInstance(instance)
	}
}

func (s *Server) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(r.PathValue("name"))
}

func parsePrecondition(w http.ResponseWriter, r *http.Request) (platform.Precondition, bool) {
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

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
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
