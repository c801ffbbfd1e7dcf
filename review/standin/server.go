//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a server of a service. It checks that a request is meant for it, rejects those
// beyond its slots and its queue, and echoes the ID.
type server struct {
	serverSpec
	w       *world
	address string
	born    int64
	http    *http.Server
	slot    chan struct{}

	mu       sync.Mutex
	sequence int
	leaving  bool
	silent   bool
	dead     bool
}

// serverSpec describes a server.
type serverSpec struct {
	id      string
	service string
	zone    string
	slots   int
	// run answers a request that has a slot.
	run func(s *server, rw http.ResponseWriter, r *http.Request)
	// refuse, if not nil, may reject a request before it gets a slot.
	refuse func(s *server, rw http.ResponseWriter, r *http.Request) bool
}

// startServer starts a server and registers it in the store.
func (w *world) startServer(s serverSpec) (*server, error) {
	started := &server{serverSpec: s, w: w, born: time.Now().UnixMilli(), slot: make(chan struct{}, s.slots)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started.address = listener.Addr().String()
	started.http = &http.Server{Handler: started}
	go func() { _ = started.http.Serve(listener) }()
	go started.heartbeats()
	return started, nil
}

func (s *server) heartbeats() {
	for {
		s.mu.Lock()
		silent, dead := s.silent, s.dead
		s.mu.Unlock()
		if dead {
			return
		}
		if !silent {
			s.w.beat(s.id, s.entry())
		}
		select {
		case <-s.w.stop:
			_ = s.http.Close()
			return
		case <-time.After(heartbeat):
		}
	}
}

// entry returns what the server writes to the store now.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
}

// leave makes the server say that it leaves, in the store and in its answers.
func (s *server) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.w.beat(s.id, s.entry())
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// setSilent cuts the way from the server to the store, or restores it.
func (s *server) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// crash ends the server: all its connections close, and it says nothing more. It returns
// false if the server had crashed before.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return false
	}
	s.dead = true
	_ = s.http.Close()
	return true
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		rw.Header().Set("Instance-Id", s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.isLeaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	if s.refuse != nil && s.refuse(s, rw, r) {
		return
	}
	select {
	case s.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slot }()
	rw.Header().Set("Response-Signature", "sig."+id)
	s.run(s, rw, r)
}

// shed rejects a request as not executed.
func shed(rw http.ResponseWriter, retryAfter string) {
	rw.Header().Set("Not-Executed", "1")
	if retryAfter != "" {
		rw.Header().Set("Retry-After", retryAfter)
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// stream writes a stream of events, with a pause before each.
func stream(rw http.ResponseWriter, r *http.Request, first, gap time.Duration, events int) bool {
	controller := http.NewResponseController(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events; n++ {
		pause := gap
		if n == 1 {
			pause = first
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("Request-Id")); err != nil {
			return false
		}
		_ = controller.Flush()
	}
	return true
}

// hasPart reports whether the prompt of a request has a part.
func hasPart(r *http.Request, part string) bool {
	for entry := range strings.SplitSeq(r.Header.Get("Prefix-Hash"), ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}
