//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	server, tenant string
	began          time.Time
}

// ledger holds the runs of all servers, by request ID.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}} }

func (l *ledger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// server is a server of a service. It registers itself in the store.
type server struct {
	d                          *deployment
	id, service, zone, address string
	slots                      int
	born                       int64
	work                       time.Duration
	ledger                     *ledger
	http                       *http.Server
	// answer, if not nil, answers a request that has run in the server's place, and reports
	// whether it did.
	answer func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	busy     int
	sequence int
	state    string
	ended    chan struct{}
}

// addServer starts a server and registers it.
func (d *deployment) addServer(id, service, zone string, ledger *ledger) (*server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, service: service, zone: zone, address: listener.Addr().String(), slots: 6, born: time.Now().UnixMilli(),
		work: 30 * time.Millisecond, ledger: ledger, state: "ready", ended: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	d.servers = append(d.servers, s)
	go func() { _ = s.http.Serve(listener) }()
	s.report()
	d.tasks.Go(func() {
		for {
			select {
			case <-d.stop:
				return
			case <-s.ended:
				return
			case <-time.After(heartbeat):
				s.report()
			}
		}
	})
	return s, nil
}

func (s *server) end() { _ = s.http.Close() }

// report writes the server's entry to the store.
func (s *server) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.d.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
}

// take takes a slot if one is free.
func (s *server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots {
		return false
	}
	s.busy++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.take() {
		s.d.record.log("server %s rejects %s: it is full", s.id, id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.ledger.add(id, run{server: s.id, tenant: r.Header.Get("Tenant"), began: time.Now()})
	s.d.record.log("server %s runs %s, %s %s, tenant %s", s.id, id, r.Method, r.URL.Path, r.Header.Get("Tenant"))
	time.Sleep(s.work)
	w.Header().Set("Response-Signature", "3e1b."+s.id+"."+id)
	if s.answer != nil && s.answer(s, w, r, body) {
		return
	}
	_, _ = io.WriteString(w, strings.Repeat(fmt.Sprintf("done %s. ", id), 20))
}
