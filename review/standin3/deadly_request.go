//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the rule on a request that crashes servers.
const (
	crashesBeforeBound = 3
	maxLaterRetries    = 3
)

// deadlyLoad sends sound requests, and one request that comes again and again and crashes each
// server that begins to run it.
type deadlyLoad struct {
	w       *world
	trouble bool

	mu        sync.Mutex
	crashedAt []time.Time
	reachedAt []time.Time
	// brokenOff counts the sound requests that a server had begun to run when it crashed.
	brokenOff int
}

const (
	deadlyBody = "lock the buggy of hole 7"
	serverDown = 3 * time.Second
	soundWork  = 150 * time.Millisecond
)

// serve is the handler of the servers.
func (d *deadlyLoad) serve(s *server, rw http.ResponseWriter, r *http.Request) {
	body, ok := readAll(r)
	if !ok {
		return
	}
	if string(body) == deadlyBody {
		d.mu.Lock()
		now := time.Now()
		d.reachedAt = append(d.reachedAt, now)
		if d.trouble {
			d.crashedAt = append(d.crashedAt, now)
		}
		d.mu.Unlock()
		if d.trouble {
			d.w.record.note("server %d of %s begins to run %s and crashes", s.number, s.service, r.Header.Get("Request-Id"))
			s.crashFor(serverDown)
			return
		}
		d.w.record.note("server %d of %s runs %s", s.number, s.service, r.Header.Get("Request-Id"))
	}
	select {
	case <-time.After(soundWork):
	case <-r.Context().Done():
		d.mu.Lock()
		d.brokenOff++
		d.mu.Unlock()
		d.w.record.note("server %d of %s had begun to run %s, which is broken off", s.number, s.service, r.Header.Get("Request-Id"))
		return
	}
	rw.Header().Set("Response-Signature", "s-"+r.Header.Get("Request-Id"))
	_, _ = rw.Write([]byte("locked"))
}

// send sends one client attempt on a new channel, to each machine in turn.
func (d *deadlyLoad) send(n int, id, body string) attempt {
	g := d.w.gateways[n%len(d.w.gateways)]
	return send(newChannelClient, g.callers, http.MethodPost, "/lock/tee", id, "key-1", 2500*time.Millisecond, nil, []byte(body))
}

// play sends requests for a time. The deadly request comes four times at first, and then
// regularly from a time on.
func (d *deadlyLoad) play(playTime, regularFrom, interval time.Duration) {
	begin := time.Now()
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; time.Since(begin) < playTime; n++ {
			clients.Go(func() {
				if a := d.send(n, fmt.Sprintf("sound-%d", n), fmt.Sprintf("lock buggy %d", n)); a.err != nil || a.status != http.StatusOK {
					d.w.record.note("%s: status %d, error %v", a.id, a.status, a.err)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
	})
	clients.Go(func() {
		for n := 0; time.Since(begin) < playTime; n++ {
			clients.Go(func() {
				a := d.send(n*5, fmt.Sprintf("again-%d", n), deadlyBody)
				d.w.record.note("%s: status %d, error %v", a.id, a.status, a.err)
			})
			if n < 3 {
				time.Sleep(300 * time.Millisecond)
				continue
			}
			time.Sleep(max(interval, regularFrom-time.Since(begin)))
		}
	})
	clients.Wait()
}

// broken checks the rule.
func (d *deadlyLoad) broken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.w.record.note("%d sound requests were broken off by crashes", d.brokenOff)
	if len(d.crashedAt) < crashesBeforeBound {
		d.w.record.note("the repeated request reached servers %d times and crashed %d", len(d.reachedAt), len(d.crashedAt))
		return false
	}
	from, later := d.crashedAt[crashesBeforeBound-1].Add(contactTime), 0
	for _, at := range d.reachedAt {
		if at.After(from) {
			later++
		}
	}
	d.w.record.note("the repeated request crashed %d servers; later than %v after the third crash it reached a server %d times, of at most %d", len(d.crashedAt), contactTime, later, maxLaterRetries)
	return later > maxLaterRetries
}

// lockRoute returns the configuration's route and services, with a part of the requests in
// hundredths for each service.
func (w *world) publishLockRoute(weights map[string]int) {
	var split, services []any
	for _, name := range []string{"desk-old", "desk-new"} {
		if weights[name] > 0 {
			split = append(split, map[string]any{"service": name, "weight": weights[name]})
		}
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	route := map[string]any{
		"name": "r-lock", "host": "app.example", "path_prefix": "/lock/", "kind": "unsafe", "timeout_ms": 1200, "target_latency_ms": 250, "priority": 1,
		"traffic_split": split, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	w.publish([]any{route}, services, []any{map[string]any{"name": "club", "api_keys": []string{"key-1"}, "priority": 1}}, nil)
}

// startLockServers starts six servers of each service.
func (w *world) startLockServers(d *deadlyLoad) error {
	for _, service := range []string{"desk-old", "desk-new"} {
		for i := range 6 {
			if _, err := w.addServer(service, zones[i%len(zones)].name, 6, d.serve); err != nil {
				return err
			}
		}
	}
	return nil
}

// playSplit has a route whose requests are split between two services.
func playSplit(w *world, trouble bool) (bool, error) {
	d := &deadlyLoad{w: w, trouble: trouble}
	if err := w.startLockServers(d); err != nil {
		return false, err
	}
	w.publishLockRoute(map[string]int{"desk-old": 90, "desk-new": 10})
	if err := w.startGateways(6, 284); err != nil {
		return false, err
	}
	d.play(88*time.Second, 6*time.Second, 500*time.Millisecond)
	return d.broken(), nil
}

// playRestart kills all gateways after the request has crashed three servers.
func playRestart(w *world, trouble bool) (bool, error) {
	d := &deadlyLoad{w: w, trouble: true}
	if err := w.startLockServers(d); err != nil {
		return false, err
	}
	w.publishLockRoute(map[string]int{"desk-old": 1})
	if err := w.startGateways(6, 284); err != nil {
		return false, err
	}
	if trouble {
		time.AfterFunc(8*time.Second, func() {
			for _, g := range w.gateways {
				g.kill()
			}
			w.record.note("all gateways are killed")
			time.Sleep(850 * time.Millisecond)
			for _, g := range w.gateways {
				if err := g.start(); err != nil {
					w.record.note("%s cannot start again: %v", g.name, err)
				}
			}
		})
	}
	d.play(70*time.Second, 14*time.Second, 500*time.Millisecond)
	return d.broken(), nil
}
