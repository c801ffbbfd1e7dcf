// Package soak_test runs gateway instances as real processes for some seconds,
// injects faults from outside them in a seeded order, and checks what callers
// and upstreams see.
package soak_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// Shape of the deployment.
const (
	instances = 4
	upstreams = 4
	slots     = 6
	// events is the number of events of a stream.
	events = 6
	// busyKey is that of a team which asks for more than its quota of busyRate
	// requests a second, and as many in a burst.
	busyKey  = "key-of-the-busy-team"
	busyRate = 10
)

// Settings that bind all instances together.
const (
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 5
)

// run is what upstreams have seen of a request.
type run struct {
	begun int
	// first is the first event that each run was asked for.
	first []int
	// key is the one that the caller used.
	key string
	// at is when it began to run for the first time.
	at time.Time
}

// world is a deployment whose outside is held by the test.
type world struct {
	t     *testing.T
	store *objectstore.Server
	// storeLinks are one per instance, so that each can lose the store alone.
	storeLinks []*testbed.Link
	links      []*testbed.Link
	servers    []*httptest.Server
	gateways   []*testbed.Process
	// started holds all processes in the order of their starts.
	started  []*testbed.Process
	settings []string
	callers  []string
	binary   string

	mu      sync.Mutex
	runs    map[string]*run
	busy    []int
	version int
	keys    []string
	// revoked holds the time of each withdrawal.
	revoked map[string]time.Time
}

func newWorld(t *testing.T, binary string) *world {
	w := &world{t: t, store: objectstore.NewServer(), binary: binary, runs: map[string]*run{}, busy: make([]int, upstreams),
		keys: []string{"key-0"}, revoked: map[string]time.Time{}}
	storeServer := httptest.NewServer(w.store)
	t.Cleanup(storeServer.Close)
	t.Cleanup(storeServer.CloseClientConnections)
	t.Cleanup(func() { w.store.SetFaults(objectstore.Faults{}) })
	w.publish()
	for i := range upstreams {
		server := httptest.NewServer(w.upstream(i))
		link, err := testbed.NewLink(strings.TrimPrefix(server.URL, "http://"))
		w.must(err)
		w.servers, w.links = append(w.servers, server), append(w.links, link)
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(link.Close)
		w.register(i, "ready")
	}
	for i := range instances {
		link, err := testbed.NewLink(strings.TrimPrefix(storeServer.URL, "http://"))
		w.must(err)
		t.Cleanup(link.Close)
		w.storeLinks = append(w.storeLinks, link)
		w.settings = append(w.settings, w.writeSettings(i))
		w.gateways = append(w.gateways, nil)
		w.start(i)
	}
	return w
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Helper()
		w.t.Fatal(err)
	}
}

// publish writes the next version of the configuration.
func (w *world) publish() {
	w.version++
	route := func(name, kind string, resumable bool, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "service": "desk",
			"timeout_ms": 5000, "target_latency_ms": 500, "max_attempts": attempts, "priority": 1, "resumable": resumable}
	}
	w.store.Put("config", "main", map[string]any{
		"version":  w.version,
		"routes":   []any{route("once", "unsafe", false, 1), route("safe", "safe", false, 2), route("stream", "streaming", false, 1), route("resume", "streaming", true, 3)},
		"services": []any{map[string]any{"name": "desk", "max_connections": 500}},
		"tenants": []any{
			map[string]any{"name": "team", "api_keys": append([]string{}, w.keys...)},
			map[string]any{"name": "busy", "api_keys": []string{busyKey}, "rate_per_s": busyRate, "burst": busyRate},
		},
	})
}

func (w *world) register(i int, state string) {
	w.store.Put("servers", fmt.Sprintf("u%d", i), map[string]any{
		"service": "desk", "address": w.links[i].Address(), "zone": "north", "slots": slots, "state": state, "born": 1,
	})
}

// rotateKey withdraws the key in use and adds another.
func (w *world) rotateKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.keys[0]
	w.keys = []string{fmt.Sprintf("key-%d", w.version)}
	w.publish()
	w.revoked[old] = time.Now()
}

func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[0]
}

// upstream is a stand-in that runs a few requests at a time and rejects others.
func (w *world) upstream(i int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		rw.Header().Set("Request-Id", id)
		if !w.begin(i, id, string(body), r.Header.Get("Last-Event-Id")) {
			rw.Header().Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer w.end(i)
		rw.Header().Set("Response-Signature", "s")
		const work = 15 * time.Millisecond
		time.Sleep(work)
		if !strings.HasPrefix(r.URL.Path, "/stream/") && !strings.HasPrefix(r.URL.Path, "/resume/") {
			_, _ = io.WriteString(rw, answerTo(id))
			return
		}
		from := 0
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &from)
		}
		for event := from + 1; event <= events && r.Context().Err() == nil; event++ {
			_, _ = io.WriteString(rw, eventOf(id, event))
			rw.(http.Flusher).Flush()
			time.Sleep(work)
		}
	})
}

func answerTo(id string) string { return strings.Repeat("answer to "+id+". ", 20) }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

func wholeStream(id string) string {
	text := ""
	for n := 1; n <= events; n++ {
		text += eventOf(id, n)
	}
	return text
}

// begin notes a run; it returns false if the upstream is full.
func (w *world) begin(i int, id, key, last string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[i] >= slots {
		return false
	}
	w.busy[i]++
	seen := w.runs[id]
	if seen == nil {
		seen = &run{key: key, at: time.Now()}
		w.runs[id] = seen
	}
	seen.begun++
	from := 0
	if last != "" {
		_, _ = fmt.Sscan(last, &from)
	}
	seen.first = append(seen.first, from+1)
	return true
}

func (w *world) end(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy[i]--
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (w *world) writeSettings(i int) string {
	callers := freeAddress(w.t)
	w.callers = append(w.callers, callers)
	domain := []string{"north", "south"}[i%2]
	text := fmt.Sprintf(`[instance]
name = edge-%d
domain = %s
first_start = true
[domains]
north = r1
south = r1
[listen]
callers = %s
ready = %s
peers = %s
admin = %s
[store]
address = %s
[bounds]
leave_notice_s = 0.5
stop_grace_s = 4
quota_window_s = %g
quota_overage = %g
quota_slack = %d
`, i, domain, callers, freeAddress(w.t), freeAddress(w.t), freeAddress(w.t), w.storeLinks[i].Address(),
		quotaWindow.Seconds(), quotaOverage, quotaSlack)
	path := filepath.Join(w.t.TempDir(), fmt.Sprintf("edge-%d.ini", i))
	w.must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// startedBefore says in the settings of an instance that it may have run before.
func (w *world) startedBefore(i int) {
	text, err := os.ReadFile(w.settings[i])
	w.must(err)
	w.must(os.WriteFile(w.settings[i], []byte(strings.Replace(string(text), "first_start = true", "first_start = false", 1)), 0o600))
}

func (w *world) start(i int) {
	process, err := testbed.Start(fmt.Sprintf("edge-%d", i), w.binary, "--config", w.settings[i])
	w.must(err)
	w.gateways[i] = process
	w.started = append(w.started, process)
	w.startedBefore(i)
	w.t.Cleanup(process.Stop)
}
