//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// configMemory is the case of a long configuration that changes often.
func configMemory(w *world, trouble bool) (bool, error) {
	const (
		valueBytes = 1 << 20 // value_bytes of the store
		// The configuration has grown nine times by the number of routes that one growth adds.
		longRoutes = 9 * 396
		// Changes come in storms of 4 s, one each 0.33 s, with a pause of 1 s between them.
		stormChanges = 12
		changes      = 192
		stormGap     = 0.33
		stormEvery   = 5.0
		users        = 12
		mostLost     = 3
		after        = 4 * time.Second
	)
	routeCount := 0
	if trouble {
		routeCount = longRoutes
	}
	put := func(version int) int {
		routes := []map[string]any{route("plan", "streaming", "llm", 15000, 1000, 1, false)}
		for n := range routeCount {
			routes = append(routes, route(fmt.Sprintf("r-%05d", n), "streaming", "llm", 12000+version, 500, 1, false))
		}
		tenants := []map[string]any{{"name": "shop", "api_keys": []string{"key-shop"}}}
		w.putConfig(version, routes, []map[string]any{engineService("llm", 7)}, tenants)
		encoded, _ := json.Marshal(routes)
		return len(encoded)
	}
	size := put(1)
	if size > valueBytes {
		return false, fmt.Errorf("%w: the configuration has %d bytes", errSetup, size)
	}
	w.logf("the configuration has %d routes and about %d bytes; the store takes %d", routeCount+1, size, valueBytes)
	var mu sync.Mutex
	passedOn := map[string]bool{}
	run := func(_ *server, rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		passedOn[r.Header.Get("Request-Id")] = true
		mu.Unlock()
		stream(rw, r, 200*time.Millisecond, 40*time.Millisecond, 20)
	}
	for n := range 9 {
		if _, err := w.startServer(serverSpec{id: fmt.Sprintf("i-%d", n), service: "llm", zone: "nbo-industrial", slots: 7, run: run}); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(kifaruRegions, kifaruMachines[1:4]); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var background sync.WaitGroup
	watches := make([]memoryWatch, len(w.gateways))
	for i, g := range w.gateways {
		background.Go(func() { w.enforceMemory(g, done, &watches[i]) })
	}
	time.Sleep(contact)
	lost := 0
	for i, g := range w.gateways {
		for range users / len(w.gateways) {
			background.Go(func() {
				transport := &http.Transport{DisableCompression: true}
				defer transport.CloseIdleConnections()
				for kept := false; ; {
					select {
					case <-done:
						return
					default:
					}
					id := newID()
					status, err := sendOn(transport, g, id, []byte("survey"))
					mu.Lock()
					cut := err != nil && kept && passedOn[id]
					if cut {
						lost++
					}
					mu.Unlock()
					if err != nil {
						w.logf("client: request %s to %s, kept channel %t: status %d, passed on and cut %t, error %v", id, w.gateways[i].name, kept, status, cut, err)
						time.Sleep(200 * time.Millisecond)
					}
					kept = err == nil
				}
			})
		}
	}
	begin := w.now()
	for n := range changes {
		w.sleepUntil(begin + float64(n/stormChanges)*stormEvery + float64(n%stormChanges)*stormGap)
		put(n + 2)
		killed := 0
		var peaks []int64
		for i := range watches {
			peaks = append(peaks, watches[i].peakMB.Load())
			killed += int(min(1, watches[i].kills.Load()))
		}
		if n%stormChanges == 0 {
			w.logf("peak memory after %d changes: %v MB", n+1, peaks)
		}
		if killed == len(w.gateways) {
			w.logf("each gateway has been killed, after %d changes", n+1)
			break
		}
	}
	time.Sleep(after)
	close(done)
	background.Wait()
	for i, g := range w.gateways {
		w.logf("%s: peak memory %d MB of %d MB; killed %d times", g.name, watches[i].peakMB.Load(), memoryLimitMB, watches[i].kills.Load())
	}
	w.logf("requests from kept channels that were passed on and whose channel ended without a complete answer: %d; %d are allowed", lost, mostLost)
	return lost > mostLost, nil
}
