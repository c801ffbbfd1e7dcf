// Package soak_test runs gateway instances as real processes for some seconds,
// injects faults into processes, links and the store in a random order given by a
// seed, and checks what callers and upstreams observed.
package soak_test

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// layout is the size of a deployment, and the times of its planned stops in seconds.
type layout struct {
	instances, upstreams, slots int
	leaveNotice, stopGrace      float64
	routeTimeout                time.Duration
	// candidates is the number of upstreams that do not run at first, and have the version
	// candidateVersion. Roll-outs are turned on if there are any.
	candidates int
	// soundAnswers turns off brokenAnswers and long uploads, where each cut answer counts as
	// one that the instances have lost.
	soundAnswers bool
}

// defaultLayout is the deployment into which faults are injected.
var defaultLayout = layout{instances: instanceCount, upstreams: upstreamCount, slots: 6, leaveNotice: 0.5, stopGrace: 4, routeTimeout: 5 * time.Second}

// Size of the default deployment.
const (
	instanceCount   = 4
	upstreamCount   = 4
	eventsPerStream = 6
	// maxInstances and maxUpstreams bound the sizes of all layouts.
	maxInstances = 4
	maxUpstreams = 18
	// overQuotaKey is the key of a team that sends more than its quota of quotaRate
	// requests per second, with a burst of the same number.
	overQuotaKey = "key-of-the-busy-team"
	quotaRate    = 10
)

// Quota settings of the instances.
const (
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 5
)

// execution is what upstreams recorded for one request ID.
type execution struct {
	runs int
	// firstEvents holds for each run the number of the first event that the instance
	// requested.
	firstEvents []int
	// key is the API key that the caller used.
	key string
	// startedAt is when the first run began, and endedAt when the last one ended.
	startedAt, endedAt time.Time
}

// deployment is a set of gateway processes, with the upstreams and the store in the
// process of the test.
type deployment struct {
	t      *testing.T
	layout layout
	store  *objectstore.Server
	// storeLinks has one link per instance, so that each can be cut off from the store
	// separately.
	storeLinks      []*testbed.Link
	upstreamLinks   []*testbed.Link
	upstreamServers []*httptest.Server
	gateways        []*testbed.Process
	// processes holds all gateway processes, running and stopped, in start order.
	processes       []*testbed.Process
	settingsPaths   []string
	callerAddresses []string
	binary          string

	mu            sync.Mutex
	executions    map[string]*execution
	slotsInUse    []int
	configVersion int
	keys          []string
	// revokedAt holds the time at which each key was revoked.
	revokedAt map[string]time.Time
	// formerKeys holds the revoked keys, and publishedAt the time at which each key was last
	// written to the store, or written again.
	formerKeys  []string
	publishedAt map[string]time.Time
	words       upstreamWords
	// states holds the state in the record of each upstream; empty if it does not run.
	states  []string
	rollout *rolloutRecord
	uploads uploadRecord
}

func newDeployment(t *testing.T, binary string) *deployment {
	return newDeploymentOf(t, binary, defaultLayout)
}

func newDeploymentOf(t *testing.T, binary string, size layout) *deployment {
	d := &deployment{t: t, layout: size, store: objectstore.NewServer(), binary: binary, executions: map[string]*execution{}, slotsInUse: make([]int, size.upstreams),
		keys: []string{"key-0"}, revokedAt: map[string]time.Time{}, publishedAt: map[string]time.Time{}, states: make([]string, size.upstreams),
		words: upstreamWords{sentTo: map[string]int{}, sentAt: map[string]time.Time{}}, uploads: uploadRecord{answeredBy: map[string]int{}}}
	if size.candidates > 0 {
		d.rollout = &rolloutRecord{}
	}
	storeServer := httptest.NewServer(d.store)
	t.Cleanup(storeServer.Close)
	t.Cleanup(storeServer.CloseClientConnections)
	t.Cleanup(func() { d.store.SetFaults(objectstore.Faults{}) })
	d.publishConfig()
	for i := range size.upstreams {
		server := httptest.NewServer(d.upstreamHandler(i))
		link, err := testbed.NewLink(strings.TrimPrefix(server.URL, "http://"))
		d.requireNoError(err)
		link.SetSendBuffer(uploadSendBuffer)
		d.upstreamServers, d.upstreamLinks = append(d.upstreamServers, server), append(d.upstreamLinks, link)
		d.words.born[i] = time.Now().UnixMilli()
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(link.Close)
		if i < size.upstreams-size.candidates {
			d.registerUpstream(i, "ready")
		}
	}
	for i := range size.instances {
		link, err := testbed.NewLink(strings.TrimPrefix(storeServer.URL, "http://"))
		d.requireNoError(err)
		t.Cleanup(link.Close)
		d.storeLinks = append(d.storeLinks, link)
		d.settingsPaths = append(d.settingsPaths, d.writeSettings(i))
		d.gateways = append(d.gateways, nil)
		d.startGateway(i)
	}
	return d
}

func (d *deployment) requireNoError(err error) {
	if err != nil {
		d.t.Helper()
		d.t.Fatal(err)
	}
}

// publishConfig writes the next version of the configuration.
func (d *deployment) publishConfig() {
	d.configVersion++
	d.writeConfig()
}

// writeConfig writes the present version of the configuration.
func (d *deployment) writeConfig() {
	route := func(name, kind string, resumable bool, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "service": "desk",
			"timeout_ms": d.layout.routeTimeout.Milliseconds(), "target_latency_ms": 500, "max_attempts": attempts, "priority": 1, "resumable": resumable}
	}
	d.store.Put("config", "main", map[string]any{
		"version":  d.configVersion,
		"routes":   []any{route("once", "unsafe", false, 1), route("safe", "safe", false, 2), route("stream", "streaming", false, 1), route("resume", "streaming", true, 3)},
		"services": []any{map[string]any{"name": "desk", "max_connections": 500}},
		"limits":   map[string]any{"max_body_bytes": 2 * longUploadBytes},
		"tenants": []any{
			map[string]any{"name": "team", "api_keys": append([]string{}, d.keys...)},
			map[string]any{"name": "busy", "api_keys": []string{overQuotaKey}, "rate_per_s": quotaRate, "burst": quotaRate},
		},
	})
	d.publishedAt[d.keys[0]] = time.Now()
}

func (d *deployment) registerUpstream(upstream int, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writeUpstream(upstream, state)
}

// writeUpstream writes the record of an upstream. The caller holds mu.
func (d *deployment) writeUpstream(upstream int, state string) {
	d.states[upstream] = state
	d.store.Put("servers", fmt.Sprintf("u%d", upstream), d.upstreamRecord(upstream, state))
}

func (d *deployment) upstreamRecord(upstream int, state string) map[string]any {
	record := map[string]any{
		"service": "desk", "address": d.upstreamLinks[upstream].Address(), "zone": "north", "slots": d.layout.slots, "state": state, "born": d.words.born[upstream],
	}
	if d.layout.candidates > 0 {
		record["version"] = d.versionOf(upstream)
	}
	return record
}

// rotateKey replaces the API key that the clients use by a new one, and records when
// the old key was revoked.
func (d *deployment) rotateKey() {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.keys[0]
	d.keys = []string{fmt.Sprintf("key-%d", d.configVersion)}
	d.publishConfig()
	d.revokedAt[old], d.formerKeys = time.Now(), append(d.formerKeys, old)
}

func (d *deployment) currentKey() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys[0]
}

// upstreamHandler simulates an upstream that runs as many requests at a time as it has
// slots, and rejects others as not executed.
func (d *deployment) upstreamHandler(upstream int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		key, err := readKey(r)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		rw.Header().Set("Request-Id", id)
		raw := d.rawAnswerTo(r, id)
		if !d.arrive(upstream, id, rw.Header(), raw != "") || !d.beginExecution(upstream, id, key, r.Header.Get("Last-Event-Id")) {
			rw.Header().Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer d.endExecution(upstream, id)
		if d.rollout.fails(d.versionOf(upstream), id) {
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		if r.ContentLength >= longUploadBytes {
			d.answerEarly(upstream, rw, r, id)
			return
		}
		if raw != "" {
			d.breakAnswer(rw, fmt.Sprintf(raw, id), time.Millisecond)
			return
		}
		rw.Header().Set("Response-Signature", "s")
		const work = 15 * time.Millisecond
		time.Sleep(work)
		if !isStream(r.URL) {
			_, _ = io.WriteString(rw, answerBody(id))
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		from := 0
		if lastEventID := r.Header.Get("Last-Event-Id"); lastEventID != "" {
			_, _ = fmt.Sscan(lastEventID, &from)
		}
		for event := from + 1; event <= eventsOf(r.URL) && r.Context().Err() == nil; event++ {
			_, _ = io.WriteString(rw, eventText(id, event))
			rw.(http.Flusher).Flush()
			time.Sleep(work)
		}
	})
}

// brokenAnswers are answers that look complete or sound and are not. Each ends with a reset,
// which alone shows that those without a length are incomplete.
var brokenAnswers = []string{
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\nid: 1\ndata: part\n\n",
	"HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\nid: 1\ndata: part\n\n",
	"HTTP/1.1 000 \r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\npart",
	"HTTP/1.1 200 OHTTP/1.1 000 \r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\npart",
}

// brokenAnswerTo returns the broken answer that one in brokenAnswerInterval requests gets, by
// its ID, so that the faults of a seed stay as drawn. It returns "" for the others.
func brokenAnswerTo(id string) string {
	const brokenAnswerInterval = 50
	return drawAnswer(brokenAnswers, brokenAnswerInterval, id)
}

// rawAnswerTo returns the answer that an upstream writes to the connection in place of its
// server; "" if there is none. It bears none of the headers that say how the upstream is.
func (d *deployment) rawAnswerTo(r *http.Request, id string) string {
	switch early := earlyAnswerTo(id); {
	case r.ContentLength >= longUploadBytes && early == soundEarlyAnswer, d.layout.soundAnswers:
		return ""
	case r.ContentLength >= longUploadBytes:
		return early
	}
	if broken := brokenAnswerTo(id); broken != "" || d.layout.candidates > 0 {
		return broken
	}
	return deceptiveAnswerTo(id)
}

// deceptiveAnswers are those of upstreams that fail while they run a request: an event that the
// head of another answer ends, in a chunk without an end, and statuses that promise callers
// that the request has not run.
var deceptiveAnswers = []string{
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n23\r\nid: 1\ndata: partHTTP/1.1 500 No\r\n\r\nerror",
	"HTTP/1.1 503 No\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 429 No\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno",
}

// deceptiveAnswerTo returns the deceptive answer that one in deceptiveAnswerInterval requests
// gets, and "" for the others.
func deceptiveAnswerTo(id string) string {
	const deceptiveAnswerInterval = 60
	return drawAnswer(deceptiveAnswers, deceptiveAnswerInterval, "deceptive "+id)
}

// drawAnswer returns one of the answers for one in interval texts, and "" for the others.
func drawAnswer(answers []string, interval int, text string) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, text)
	n := hash.Sum32() % uint32(interval*len(answers))
	if n >= uint32(len(answers)) {
		return ""
	}
	return answers[n]
}

// breakAnswer writes an answer and resets the connection after a delay.
func (d *deployment) breakAnswer(rw http.ResponseWriter, answer string, delay time.Duration) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		d.t.Errorf("hijack the connection: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, answer)
	time.Sleep(delay)
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
}

func answerBody(id string) string { return strings.Repeat("answer to "+id+". ", 20) }

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// isStream reports whether the route of a request streams events.
func isStream(target *url.URL) bool {
	return strings.HasPrefix(target.Path, "/stream/") || strings.HasPrefix(target.Path, "/resume/")
}

// eventsOf returns the number of events of a stream, which its caller may choose.
func eventsOf(target *url.URL) int {
	if n, err := strconv.Atoi(target.Query().Get("events")); err == nil {
		return n
	}
	return eventsPerStream
}

func fullStream(id string, events int) string {
	text := ""
	for n := 1; n <= events; n++ {
		text += eventText(id, n)
	}
	return text
}

// beginExecution records that an upstream starts to run a request. It returns false if
// all slots of the upstream are in use.
func (d *deployment) beginExecution(upstream int, id, key, lastEventID string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.slotsInUse[upstream] >= d.layout.slots {
		return false
	}
	d.slotsInUse[upstream]++
	observed := d.executions[id]
	if observed == nil {
		observed = &execution{key: key, startedAt: time.Now()}
		d.executions[id] = observed
	}
	observed.runs++
	d.rollout.count(d.versionOf(upstream), id)
	from := 0
	if lastEventID != "" {
		_, _ = fmt.Sscan(lastEventID, &from)
	}
	observed.firstEvents = append(observed.firstEvents, from+1)
	return true
}

func (d *deployment) endExecution(upstream int, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slotsInUse[upstream]--
	d.executions[id].endedAt = time.Now()
}

// reserveAddress reserves an address until the end of the test.
func reserveAddress(t *testing.T) string {
	t.Helper()
	reserved, err := testbed.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release)
	return reserved.Address
}

func (d *deployment) writeSettings(instance int) string {
	callers := reserveAddress(d.t)
	d.callerAddresses = append(d.callerAddresses, callers)
	domain := []string{"north", "south"}[instance%2]
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
leave_notice_s = %g
stop_grace_s = %g
quota_window_s = %g
quota_overage = %g
quota_slack = %d
%s`, instance, domain, callers, reserveAddress(d.t), reserveAddress(d.t), reserveAddress(d.t), d.storeLinks[instance].Address(),
		d.layout.leaveNotice, d.layout.stopGrace, quotaWindow.Seconds(), quotaOverage, quotaSlack, d.layout.rolloutSettings())
	path := filepath.Join(d.t.TempDir(), fmt.Sprintf("edge-%d.ini", instance))
	d.requireNoError(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// clearFirstStart sets first_start = false in the settings of an instance, because its
// next process is not its first one.
func (d *deployment) clearFirstStart(instance int) {
	text, err := os.ReadFile(d.settingsPaths[instance])
	d.requireNoError(err)
	d.requireNoError(os.WriteFile(d.settingsPaths[instance], []byte(strings.Replace(string(text), "first_start = true", "first_start = false", 1)), 0o600))
}

func (d *deployment) startGateway(instance int) {
	process, err := testbed.Start(fmt.Sprintf("edge-%d", instance), d.binary, "--config", d.settingsPaths[instance])
	d.requireNoError(err)
	d.gateways[instance] = process
	d.processes = append(d.processes, process)
	d.clearFirstStart(instance)
	d.t.Cleanup(process.Stop)
}
