//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryLimitMB is the memory of a machine of kifaru-cutfloor.
const memoryLimitMB = 134

// rssMB returns the resident memory of a process in MiB; 0 if it has ended.
func rssMB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		var kb int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// memoryWatch is what the platform has seen of the memory of a gateway.
type memoryWatch struct{ peakMB, kills atomic.Int64 }

// enforceMemory kills a gateway, as the platform does, when it exceeds the memory of its
// machine, and starts it again after a delay. It returns when done is closed.
func (w *world) enforceMemory(g *gateway, done <-chan struct{}, watch *memoryWatch) {
	const interval, restartIn = 5 * time.Millisecond, 500 * time.Millisecond
	for {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		mb := rssMB(g.cmd.Process.Pid)
		watch.peakMB.Store(max(watch.peakMB.Load(), mb))
		if mb <= memoryLimitMB {
			continue
		}
		watch.kills.Add(1)
		w.logf("platform: %s has %d MB of memory, its limit is %d MB: killed", g.name, mb, memoryLimitMB)
		g.kill()
		time.Sleep(restartIn)
		if err := g.restart(); err != nil {
			w.logf("platform: %s is not restarted: %v", g.name, err)
			return
		}
	}
}

// largeBodies is the case of many users who send long bodies at once, each within the limit
// of the configuration, to a machine that also serves others.
func largeBodies(w *world, trouble bool) (bool, error) {
	const (
		bodyBytes  = 4 << 20 // max_body_bytes of the configuration
		largeUsers = 40
		otherUsers = 12
		mostLost   = 3
		after      = 3 * time.Second
		// apart is the time between two of the users when they do not come at once.
		apart = time.Second
	)
	w.putConfig(1, []map[string]any{route("plan", "streaming", "llm", 15000, 1000, 1, false)}, []map[string]any{engineService("llm", 7)},
		[]map[string]any{{"name": "shop", "api_keys": []string{"key-shop"}}})
	var mu sync.Mutex
	passedOn := map[string]bool{}
	run := func(s *server, rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		passedOn[r.Header.Get("Request-Id")] = true
		mu.Unlock()
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		complete := stream(rw, r, 200*time.Millisecond, 40*time.Millisecond, 20)
		w.logf("server %s ran %s with %d bytes, to its end %t", s.id, r.Header.Get("Request-Id"), n, complete)
	}
	for n := range 9 {
		if _, err := w.startServer(serverSpec{id: fmt.Sprintf("i-%d", n), service: "llm", zone: "nbo-industrial", slots: 7, run: run}); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(kifaruRegions, []string{"nbo-industrial", "nbo-industrial"}); err != nil {
		return false, err
	}
	g := w.gateways[0]
	done := make(chan struct{})
	var watch memoryWatch
	var background sync.WaitGroup
	background.Go(func() { w.enforceMemory(g, done, &watch) })
	time.Sleep(contact)
	lost := map[string]int{}
	exchange := func(transport *http.Transport, kind string, kept bool, content []byte) bool {
		id := newID()
		status, err := sendOn(transport, g, id, content)
		mu.Lock()
		defer mu.Unlock()
		if err != nil && kept && passedOn[id] {
			lost[kind]++
		}
		w.logf("client: %s request %s, %d bytes, kept channel %t: status %d, passed on %t, error %v", kind, id, len(content), kept, status, passedOn[id], err)
		return err == nil
	}
	var others sync.WaitGroup
	for range otherUsers {
		others.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			kept := false
			for {
				select {
				case <-done:
					return
				default:
				}
				if kept = exchange(transport, "other", kept, []byte("survey")); !kept {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	large := func() {
		transport := &http.Transport{DisableCompression: true}
		defer transport.CloseIdleConnections()
		if exchange(transport, "large", false, []byte("survey")) {
			exchange(transport, "large", true, body)
		}
	}
	var users sync.WaitGroup
	for range largeUsers {
		users.Go(large)
		if !trouble {
			time.Sleep(apart)
		}
	}
	users.Wait()
	time.Sleep(after)
	close(done)
	others.Wait()
	background.Wait()
	w.logf("peak memory of %s: %d MB of %d MB; killed %d times", g.name, watch.peakMB.Load(), memoryLimitMB, watch.kills.Load())
	total := lost["large"] + lost["other"]
	w.logf("requests from kept channels that were passed on and whose channel ended without a complete answer: %d (%d large, %d other); %d are allowed",
		total, lost["large"], lost["other"], mostLost)
	return total > mostLost, nil
}

// sendOn sends a request to a gateway, on the channel that the transport has kept if there is
// one, and reads the answer.
func sendOn(transport *http.Transport, g *gateway, id string, content []byte) (status int, err error) {
	// The body is not replayable, so that the transport sends it once.
	message, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/plan/x", io.NopCloser(bytes.NewReader(content)))
	if err != nil {
		return 0, err
	}
	message.ContentLength = int64(len(content))
	message.Host = routeHost
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "15000", "Authorization": "Token key-shop", "Model": "m", "Token-Usage": "6610,385"} {
		message.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(message)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}
