//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playIdleChannels has clients that open a new channel for each request and leave it open.
// The operator bounds the idle time of channels; two of three machines are lost.
func playIdleChannels(w *world, trouble bool) (bool, error) {
	const (
		playTime       = 80 * time.Second
		lossAt         = 4 * time.Second
		channelsPerS   = 110
		idleTimeout    = 15 * time.Second
		readTime       = time.Second
		ownDescriptors = 8_192
		clientsNeeded  = 7
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownDescriptors {
		return false, fmt.Errorf("the stand-ins need %d descriptors and have %d: %v", ownDescriptors, limit.Cur, err)
	}
	handler := func(s *server, rw http.ResponseWriter, r *http.Request) {
		if _, ok := readAll(r); !ok {
			return
		}
		time.Sleep(30 * time.Millisecond)
		rw.Header().Set("Response-Signature", "s-"+r.Header.Get("Request-Id"))
		_, _ = rw.Write(make([]byte, 800))
	}
	for i := range 6 {
		if _, err := w.addServer("desk", zones[i%len(zones)].name, 6, handler); err != nil {
			return false, err
		}
	}
	w.publish([]any{map[string]any{
		"name": "r-look", "host": "app.example", "path_prefix": "/look/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 250, "priority": 1,
		"service": "desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	}}, []any{
		map[string]any{"name": "desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
	}, []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}, "priority": 1}},
		map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()})
	if err := w.startGateways(3, 284); err != nil {
		return false, err
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	survivor := w.gateways[0]
	var mu sync.Mutex
	lost := false
	channels := map[net.Conn]struct{}{}
	answered, failed := 0, 0
	// lastTaken is when the survivor last answered on a new channel, or was not ready, and
	// tried the number of attempts since.
	lastTaken, longest := time.Time{}, time.Duration(0)
	tried, triedInLongest := 0, 0
	probe := newProbe(survivor)
	go probe.run(ctx, w.record)
	if trouble {
		time.AfterFunc(lossAt, func() {
			for _, g := range w.gateways[1:] {
				g.kill()
			}
			mu.Lock()
			lost = true
			mu.Unlock()
			w.record.note("machines %s and %s are lost", w.gateways[1].name, w.gateways[2].name)
		})
	}
	var clients sync.WaitGroup
	attemptOne := func(n int) {
		mu.Lock()
		g := w.gateways[n%len(w.gateways)]
		if lost {
			g = survivor
		}
		mu.Unlock()
		conn, err := net.DialTimeout("tcp4", g.callers, time.Second)
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(readTime))
			_, _ = fmt.Fprintf(conn, "GET /look/%d HTTP/1.1\r\nHost: app.example\r\nRequest-Id: look-%d\r\nDeadline-Ms: 2500\r\nAuthorization: Token key-1\r\n\r\n", n, n)
			var reply *http.Response
			if reply, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = reply.Body.Close()
			}
		}
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed++
			if conn != nil {
				// The client gives the attempt up.
				_ = conn.Close()
			}
			switch {
			case g != survivor:
			case !probe.isReady():
				// The time in which it takes no channel begins anew.
				lastTaken, tried = now, 0
			default:
				tried++
				if silent := now.Sub(lastTaken); !lastTaken.IsZero() && silent > longest {
					longest, triedInLongest = silent, tried
				}
			}
			return
		}
		answered++
		if g == survivor {
			lastTaken, tried = now, 0
		}
		channels[conn] = struct{}{}
		clients.Go(func() { awaitClose(ctx, conn, func() { mu.Lock(); delete(channels, conn); mu.Unlock() }) })
	}
	ticker := time.NewTicker(time.Second / channelsPerS)
	defer ticker.Stop()
	lastNote := begin
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		clients.Go(func() { attemptOne(n) })
		if time.Since(lastNote) >= 2*time.Second {
			lastNote = time.Now()
			mu.Lock()
			resident, peak := survivor.residentMiB()
			w.record.note("%d channels open, %d requests answered, %d not; %s is ready: %t, has %.0f MiB resident, %.0f at its peak", len(channels), answered, failed, survivor.name, probe.isReady(), resident, peak)
			mu.Unlock()
		}
	}
	clients.Wait()
	w.record.note("%d requests answered, %d not; the machine that was ready all the while took no new channel for %v, in which %d clients tried; the bound is %v",
		answered, failed, longest.Round(time.Millisecond), triedInLongest, contactTime)
	return longest > contactTime && triedInLongest >= clientsNeeded, nil
}

// awaitClose keeps a channel open until the other end closes it.
func awaitClose(ctx context.Context, conn net.Conn, closed func()) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Time{})
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	closed()
}

// probe asks a machine once a second whether it is ready, as the platform does, each time on a new
// channel.
type probe struct {
	gateway *gateway
	client  *http.Client
	mu      sync.Mutex
	ready   bool
}

func newProbe(g *gateway) *probe {
	return &probe{gateway: g, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (p *probe) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

func (p *probe) run(ctx context.Context, rec *record) {
	for ctx.Err() == nil {
		ready := false
		response, err := p.client.Get("http://" + p.gateway.ready + "/readyz")
		if err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		p.mu.Lock()
		if ready != p.ready {
			rec.note("%s answers that it is ready: %t", p.gateway.name, ready)
		}
		p.ready = ready
		p.mu.Unlock()
		time.Sleep(time.Second)
	}
}
