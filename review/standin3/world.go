//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
)

// Bounds of the small deployment, as in the settings of the users' page DEPLOY.md.
const (
	contactTime    = 4 * time.Second
	stopGrace      = 8 * time.Second
	beatInterval   = 1200 * time.Millisecond
	silentBeats    = 3
	settlingTime   = 4 * time.Second
	readinessLimit = 15 * time.Second
	maxDescriptors = 4100
	// firstGateway and firstServer are the last bytes of the first addresses.
	firstGateway = 1
	firstServer  = 101
)

// world is a small deployment: the platform's store, servers, and gateway processes.
type world struct {
	record *record
	dir    string
	store  *objectstore.Server
	// storeAddress is where the gateways reach the store.
	storeAddress string
	storeServer  *http.Server
	gateways     []*gateway
	closeOnce    sync.Once
	mu           sync.Mutex
	servers      []*server
	version      int
}

// zones are those of the deployment, with their regions.
var zones = []struct{ name, region string }{{"z-a1", "r-a"}, {"z-a2", "r-a"}, {"z-b1", "r-b"}}

// newWorld starts the store.
func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, dir: dir, store: objectstore.NewServer()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	w.storeServer = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.storeServer.Serve(listener) }()
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() { w.closeOnce.Do(w.end) }

func (w *world) end() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, s := range w.allServers() {
		s.stopBeats()
		s.crash()
	}
	_ = w.storeServer.Close()
	_ = os.RemoveAll(w.dir)
}

func (w *world) allServers() []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*server(nil), w.servers...)
}

// publish writes the next version of the configuration.
func (w *world) publish(routes, services, tenants []any, limits map[string]any) {
	w.version++
	if limits == nil {
		limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services, "tenants": tenants, "limits": limits,
	})
	w.record.note("operator: configuration %d acknowledged", w.version)
}

// gateway is a process of the project.
type gateway struct {
	w                           *world
	name, zone                  string
	callers, ready, peer, admin string
	settings                    string
	memoryMiB, descriptors      int
	mu                          sync.Mutex
	command                     *exec.Cmd
	done                        chan struct{}
	log                         *os.File
}

// machineAddress returns the loopback address of a machine or server. Each has its own, so that
// no client's port can be in the way of a process that starts again.
func machineAddress(number int) string {
	const perByte = 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid%perByte, 1+pid/perByte%perByte, number)
}

// freeAddress returns an address at a loopback address, with a port that was free.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// addGateway renders the settings of a gateway from the template of the deploy file.
func (w *world) addGateway(zone string, memoryMiB int) (*gateway, error) {
	g := &gateway{w: w, name: fmt.Sprintf("edge-%s-%d", zone, len(w.gateways)+1), zone: zone, memoryMiB: memoryMiB, descriptors: maxDescriptors}
	for _, address := range []*string{&g.callers, &g.ready, &g.peer, &g.admin} {
		var err error
		if *address, err = freeAddress(machineAddress(firstGateway + len(w.gateways))); err != nil {
			return nil, err
		}
	}
	g.settings = filepath.Join(w.dir, g.name+".ini")
	if err := g.writeSettings(true); err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, nil
}

func (g *gateway) writeSettings(firstStart bool) error {
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return err
	}
	text := string(template)
	before, rest, found := strings.Cut(text, "{{#zones}}")
	_, after, closed := strings.Cut(rest, "{{/zones}}")
	if !found || !closed {
		return fmt.Errorf("the template has no section of zones")
	}
	for _, zone := range zones {
		before += zone.name + " = " + zone.region + "\n"
	}
	text = strings.NewReplacer(
		"{{node_name}}", g.name, "{{zone}}", g.zone, "{{bootstrap}}", fmt.Sprint(firstStart),
		"{{listen.front}}", g.callers, "{{listen.ready}}", g.ready,
		"{{ip}}:{{internal_ports.0}}", g.peer, "{{ip}}:{{internal_ports.1}}", g.admin,
		"{{platform.address}}", g.w.storeAddress,
		"{{limits.memory_mb}}", fmt.Sprint(g.memoryMiB), "{{limits.max_fds}}", fmt.Sprint(g.descriptors), "{{limits.cpu_share}}", "0.4",
		"{{bounds.revoke_ms}}", "5000", "{{bounds.grace_period_s}}", "8", "{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.budget_window_s}}", "10", "{{bounds.retry_budget_extra}}", "52", "{{bounds.quota_window_s}}", "8",
		"{{bounds.quota_overage}}", "0.1", "{{bounds.quota_slack}}", "140000", "{{bounds.exposure_share}}", "",
	).Replace(before + after)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template has a placeholder that is not known here")
	}
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// runCommand returns the program and the arguments of the deploy file.
func runCommand() ([]string, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(deploy)) {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run command")
}

// start starts the process.
func (g *gateway) start() error {
	words, err := runCommand()
	if err != nil {
		return err
	}
	for i, word := range words {
		if strings.HasSuffix(word, "/boot.yaml") {
			words[i] = g.settings
		}
	}
	log, err := os.OpenFile(filepath.Join(g.w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The platform bounds the descriptors of a process.
	command := exec.Command("/bin/sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(g.descriptors)}, words...)...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "ROSEMARYWING_BOOT="+g.settings)
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.command, g.done, g.log = command, done, log
	g.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	g.w.record.note("%s started, callers at %s", g.name, g.callers)
	return g.writeSettings(false)
}

func (g *gateway) signal(signal os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Signal(signal)
	}
}

// ended reports whether the process has ended.
func (g *gateway) ended() bool {
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return done == nil
	}
}

// kill ends the process at once and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	if done == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-done
}

// isReady asks the process whether it is ready.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(readinessLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range w.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(w.gateways) {
			w.record.note("all %d gateways are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready after %v", readinessLimit)
}

// server is a server of a service. Each start of it is a new boot with a new ID.
type server struct {
	w             *world
	service, zone string
	number        int
	address       string
	slots         int
	handler       func(s *server, rw http.ResponseWriter, r *http.Request)

	mu        sync.Mutex
	boot      int
	born      int64
	state     string
	up        bool
	listener  net.Listener
	http      *http.Server
	conns     map[net.Conn]struct{}
	sequence  int
	lastBeat  map[string]time.Time
	beatsDone chan struct{}
}

// addServer starts a server and its reports to the store.
func (w *world) addServer(service, zone string, slots int, handler func(s *server, rw http.ResponseWriter, r *http.Request)) (*server, error) {
	address, err := freeAddress(machineAddress(firstServer + len(w.servers)))
	if err != nil {
		return nil, err
	}
	s := &server{w: w, service: service, zone: zone, number: len(w.servers) + 1, address: address, slots: slots, handler: handler,
		state: "ready", lastBeat: map[string]time.Time{}, beatsDone: make(chan struct{})}
	if err := s.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go s.beat()
	return s, nil
}

// id returns the ID of the present boot. The caller holds mu.
func (s *server) id() string { return fmt.Sprintf("i-%s-%d-%d", s.service, s.number, s.boot) }

// start begins a new boot.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.boot++
	s.born, s.up, s.sequence, s.listener, s.conns = time.Now().UnixMilli(), true, 0, listener, map[net.Conn]struct{}{}
	id := s.id()
	s.http = &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: 20 * time.Second,
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(id, rw, r) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch state {
			case http.StateNew:
				s.conns[conn] = struct{}{}
			case http.StateClosed:
				delete(s.conns, conn)
			}
		}}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	s.report()
	return nil
}

// serve answers what a server answers by itself, and leaves the rest to the handler.
func (s *server) serve(id string, rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Instance-Id", id)
	requestID := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", requestID)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.handler(s, rw, r)
}

// report writes the entry of the server to the store. The caller holds mu.
func (s *server) report() {
	s.sequence++
	s.lastBeat[s.id()] = time.Now()
	s.w.store.Put("servers", s.id(), map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
}

// beat repeats the report while the server is up. The entry of a boot that is silent for
// three intervals is removed.
func (s *server) beat() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.beatsDone:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		if s.up {
			s.report()
		}
		for id, last := range s.lastBeat {
			if time.Since(last) > silentBeats*beatInterval {
				delete(s.lastBeat, id)
				s.w.store.Delete("servers", id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *server) stopBeats() { close(s.beatsDone) }

// crash ends the server: its channels are reset, and it sends nothing more.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	server := s.http
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = server.Close()
}

// crashFor crashes the server, which is back after a time.
func (s *server) crashFor(down time.Duration) {
	s.crash()
	time.AfterFunc(down, func() {
		if err := s.start(); err != nil {
			s.w.record.note("server %d cannot start again: %v", s.number, err)
		}
	})
}

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// attempt is one client attempt.
type attempt struct {
	id     string
	sentAt time.Time
	status int
	signed bool
	body   []byte
	err    error
	header http.Header
}

// newChannelClient opens a new channel for each request.
var newChannelClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// send sends one client attempt and reads its answer.
func send(client *http.Client, gatewayAddress, method, path, id, key string, deadline time.Duration, header map[string]string, body []byte) attempt {
	a := attempt{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gatewayAddress+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "app.example"
	request.GetBody = nil
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signed, a.header = response.StatusCode, response.Header.Get("Response-Signature") != "", response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}

// startGateways starts a number of gateways, spread over the zones, and waits until they are
// ready and in touch.
func (w *world) startGateways(count, memoryMiB int) error {
	for i := range count {
		if _, err := w.addGateway(zones[i%len(zones)].name, memoryMiB); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settlingTime)
	return nil
}

// readAll reads the body of a request at a server.
func readAll(r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(r.Body)
	return body, err == nil
}

// residentMiB returns the resident memory of the process, and its peak.
func (g *gateway) residentMiB() (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		var kib float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kib); n == 1 {
			now = kib / 1024
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kib); n == 1 {
			peak = kib / 1024
		}
	}
	return now, peak
}
