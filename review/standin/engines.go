//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// engines is a service of model servers, which crash as they begin to write an answer to a
// prompt with the deadly part. A crashed server is back after some seconds, under a new ID.
type engines struct {
	w       *world
	zones   []string
	slots   int
	downFor time.Duration

	mu      sync.Mutex
	number  int
	crashes []float64
	// deadly holds the times at which requests with the deadly part reached a server.
	deadly []float64
}

// deadlyPart is the ID of the part of a prompt that crashes servers.
const deadlyPart = "dead0001"

func (e *engines) start(count int) error {
	for n := range count {
		if err := e.startOne(e.zones[n%len(e.zones)]); err != nil {
			return err
		}
	}
	return nil
}

func (e *engines) startOne(zone string) error {
	e.mu.Lock()
	e.number++
	id := fmt.Sprintf("i-%03d", e.number)
	e.mu.Unlock()
	_, err := e.w.startServer(serverSpec{id: id, service: "llm", zone: zone, slots: e.slots, run: e.run})
	return err
}

func (e *engines) run(s *server, rw http.ResponseWriter, r *http.Request) {
	const prefill, gap, events = 60 * time.Millisecond, 20 * time.Millisecond, 3
	if !hasPart(r, deadlyPart) {
		stream(rw, r, prefill, gap, events)
		return
	}
	e.mu.Lock()
	e.deadly = append(e.deadly, e.w.now())
	e.mu.Unlock()
	time.Sleep(prefill)
	if s.crash() {
		e.mu.Lock()
		e.crashes = append(e.crashes, e.w.now())
		e.mu.Unlock()
		e.w.logf("server %s crashes as it begins to write an answer to %s", s.id, r.Header.Get("Request-Id"))
		time.AfterFunc(e.downFor, func() {
			if err := e.startOne(s.zone); err != nil {
				e.w.logf("a server is not back: %v", err)
			}
		})
	}
	panic(http.ErrAbortHandler)
}

// fifthCrash returns the time of the fifth crash, or of the last one if there are fewer.
func (e *engines) fifthCrash() (float64, bool) {
	const fifth = 5
	if len(e.crashes) == 0 {
		return 0, false
	}
	return e.crashes[min(fifth, len(e.crashes))-1], true
}

// prompt is a request of the route "tag" of a model, as the sheet of offcut-tag describes it.
func prompt(key, first string, deadly bool) request {
	parts := first + ":60,"
	if deadly {
		parts += deadlyPart + ":600,"
	}
	return request{method: http.MethodPost, path: "/tag/x", key: key, deadline: 3 * time.Second, usage: "1800,21",
		prefix: parts + newID()[:8] + ":1140", body: []byte(newID())}
}
