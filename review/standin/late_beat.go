//go:build review

package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// lateBeat is the case of a server whose way to the store is cut for some seconds shortly
// before it leaves. A report from before, which was held up, takes effect after the one that
// says that it leaves.
func lateBeat(w *world, trouble bool) (bool, error) {
	const (
		cutAt, cutFor = 3.0, 3.0
		// The server leaves between two requests, so that none is in progress there.
		leaveAt = cutAt + cutFor + 0.15
		// The held report takes effect 5.8 s after it was sent.
		lateAt  = cutAt + 0.2 + 5.8
		serveTo = 14.0
		drain   = 2.5
		end     = 13.0
		tick    = 0.1 // seconds between two requests to each gateway
	)
	w.putConfig(1, []map[string]any{route("look", "safe", "desk", 1200, 250, 2, false)},
		[]map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}},
		[]map[string]any{{"name": "team", "api_keys": []string{"key-a"}}})
	var mu sync.Mutex
	var begin, acknowledged float64
	late := 0
	answerPlain := func(s *server, rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if acknowledged > 0 && s.isLeaving() {
			since := w.now() - acknowledged
			w.logf("server %s runs %s, %.3f s after the store acknowledged that it leaves", s.id, r.Header.Get("Request-Id"), since)
			if since > drain {
				late++
			}
		}
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(rw, "answer to "+r.Header.Get("Request-Id"))
	}
	leaver, err := w.startServer(serverSpec{id: "i-leaver", service: "desk", zone: "nbo-industrial", slots: 6, run: answerPlain})
	if err != nil {
		return false, err
	}
	for _, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		if _, err := w.startServer(serverSpec{id: id, service: "desk", zone: "nbo-industrial", slots: 6, run: answerPlain}); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(kifaruRegions, []string{"nbo-industrial", "nbo-industrial", "nbo-ruaraka"}); err != nil {
		return false, err
	}
	time.Sleep(contact)
	begin = w.now()
	if trouble {
		go func() {
			w.sleepUntil(begin + cutAt)
			leaver.setSilent(true)
			w.logf("the way from server %s to the store is cut", leaver.id)
			w.sleepUntil(begin + cutAt + 0.2)
			held := leaver.entry()
			w.logf("server %s sends its report %v, which is held up", leaver.id, held["sequence"])
			w.sleepUntil(begin + cutAt + cutFor)
			leaver.setSilent(false)
			w.logf("the way is restored")
			w.sleepUntil(begin + lateAt)
			w.logf("store: report %v of server %s, which got no response, is executed", held["sequence"], leaver.id)
			w.beat(leaver.id, held)
		}()
	}
	go func() {
		w.sleepUntil(begin + leaveAt)
		leaver.leave()
		mu.Lock()
		acknowledged = w.now()
		mu.Unlock()
		w.logf("store: acknowledged that server %s leaves", leaver.id)
		w.sleepUntil(begin + serveTo)
		leaver.crash()
	}()
	var requests sync.WaitGroup
	for n := 0; float64(n)*tick < end; n++ {
		w.sleepUntil(begin + float64(n)*tick)
		for gateway := range w.gateways {
			requests.Go(func() {
				a := w.send(gateway, request{method: http.MethodGet, path: "/look/x", key: "key-a", deadline: 2500 * time.Millisecond})
				w.logf("client: %s to %s: status %d", a.id, w.gateways[gateway].name, a.status)
			})
		}
	}
	requests.Wait()
	w.logf("%d requests reached the server later than drain_ms after the acknowledgement", late)
	return late > 0, nil
}
