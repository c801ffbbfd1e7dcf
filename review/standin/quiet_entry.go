//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// quietEntry is the case of a server that wants no requests for some time, and whose entry
// leaves the store in that time and returns.
func quietEntry(w *world, trouble bool) (bool, error) { return busyServer(w, "20", trouble) }

// quietFraction is the case of a server that wants no requests for a time that is no whole
// number of seconds.
func quietFraction(w *world, trouble bool) (bool, error) {
	if !trouble {
		return busyServer(w, "13", false)
	}
	return busyServer(w, "12.5", false)
}

// busyServer plays a server that rejects requests with a Retry-After. With cut, its way to
// the store is cut for some seconds afterwards.
func busyServer(w *world, retryAfter string, cut bool) (bool, error) {
	const (
		// The busy server rejects requests from busyFrom to busyTo, and asks for no more for
		// retryAfter. Its way to the store is cut from cutFrom to cutTo.
		busyFrom, busyTo = 3.0, 5.0
		cutFrom, cutTo   = 6.0, 11.0
		grace            = 0.5
		mostArrivals     = 2
	)
	quiet, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil {
		return false, err
	}
	end := busyTo + quiet - 1
	zones := map[string]string{"nbo-industrial": "nairobi", "nbo-ruaraka": "nairobi"}
	w.putConfig(1, []map[string]any{
		route("look", "safe", "desk", 1200, 250, 2, false),
	}, []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}}, []map[string]any{
		{"name": "team", "api_keys": []string{"key-a"}},
	})
	var mu sync.Mutex
	told := map[int]float64{}
	arrived := map[int][]float64{}
	var begin float64
	answerPlain := func(_ *server, rw http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(rw, "answer to "+r.Header.Get("Request-Id"))
	}
	refuse := func(s *server, rw http.ResponseWriter, r *http.Request) bool {
		at := w.now() - begin
		gateway, _ := w.gatewayOf(r.Header.Get("Request-Id"))
		mu.Lock()
		defer mu.Unlock()
		busy := begin > 0 && at >= busyFrom && at < busyTo
		if previous, known := told[gateway]; known {
			w.logf("server %s: request %s arrives from %s, %.3f s after its 503 with Retry-After: %s", s.id, r.Header.Get("Request-Id"), w.gateways[gateway].name, at-previous, retryAfter)
			arrived[gateway] = append(arrived[gateway], at)
		}
		if !busy {
			return false
		}
		told[gateway] = at
		w.logf("server %s: 503 with Retry-After: %d to %s", s.id, retryAfter, w.gateways[gateway].name)
		shed(rw, retryAfter)
		return true
	}
	busy, err := w.startServer(serverSpec{id: "i-busy", service: "desk", zone: "nbo-industrial", slots: 6, run: answerPlain, refuse: refuse})
	if err != nil {
		return false, err
	}
	for _, id := range []string{"i-one", "i-two"} {
		if _, err := w.startServer(serverSpec{id: id, service: "desk", zone: "nbo-industrial", slots: 6, run: answerPlain}); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(zones, []string{"nbo-industrial", "nbo-industrial", "nbo-ruaraka"}); err != nil {
		return false, err
	}
	time.Sleep(contact)
	mu.Lock()
	begin = w.now()
	mu.Unlock()
	if cut {
		go func() {
			w.sleepUntil(begin + cutFrom)
			w.logf("the way from server %s to the store is cut", busy.id)
			busy.setSilent(true)
			w.sleepUntil(begin + cutTo)
			busy.setSilent(false)
			w.logf("the way from server %s to the store is restored", busy.id)
		}()
	}
	var requests sync.WaitGroup
	statuses := map[int]int{}
	for n := 0; w.now() < begin+end; n++ {
		gateway := n % len(w.gateways)
		requests.Go(func() {
			a := w.send(gateway, request{method: http.MethodGet, path: "/look/x", key: "key-a", deadline: 2500 * time.Millisecond})
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		})
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
	w.logf("answers by status: %v", statuses)
	if len(told) == 0 {
		return false, fmt.Errorf("%w: the server has rejected no request", errSetup)
	}
	broken := false
	for gateway, at := range told {
		count := 0
		for _, arrival := range arrived[gateway] {
			if arrival > at+grace && arrival < at+quiet {
				count++
			}
		}
		w.logf("%s: %d requests reached the server between %.1f s and %.1f s after its last 503 with Retry-After; %d are allowed", w.gateways[gateway].name, count, grace, quiet, mostArrivals)
		broken = broken || count > mostArrivals
	}
	return broken, nil
}
