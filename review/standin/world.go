//go:build review

// Command standin runs the cases of the review that are scripts: gateways as separate
// processes, and callers, upstreams and the store in this process, all on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
)

// Figures of the installation kifaru-cutfloor.
const (
	heartbeat = 1200 * time.Millisecond
	// entryTTL is the silence after which the store removes the entry of a server.
	entryTTL      = 3 * heartbeat
	contact       = 4 * time.Second
	quotaWindow   = 8 * time.Second
	quotaOverage  = 0.1
	quotaSlack    = 140_000
	gatewayBinary = "target/rosemarywing-gateway"
)

// world is an installation: the store, the gateways and the servers.
type world struct {
	dir       string
	started   time.Time
	record    *recorder
	store     *objectstore.Server
	storeHTTP *http.Server
	storeAddr string
	gateways  []*gateway
	stop      chan struct{}

	mu    sync.Mutex
	beats map[string]time.Time
	// entries holds the entries as they are in the store.
	entries map[string]map[string]any
	// sentTo holds, by the ID of each request, the gateway to which it was sent.
	sentTo map[string]int
}

// errSetup is the cause of an end with status 2.
var errSetup = errors.New("the case could not run")

func newWorld(record *recorder) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, started: time.Now(), record: record, store: objectstore.NewServer(), storeAddr: listener.Addr().String(),
		stop: make(chan struct{}), beats: map[string]time.Time{}, entries: map[string]map[string]any{}, sentTo: map[string]int{}}
	w.storeHTTP = &http.Server{Handler: w.store}
	go func() { _ = w.storeHTTP.Serve(listener) }()
	go w.expireEntries()
	return w, nil
}

// close ends all processes that were started.
func (w *world) close() {
	close(w.stop)
	for _, g := range w.gateways {
		g.kill()
	}
	_ = w.storeHTTP.Close()
	_ = os.RemoveAll(w.dir)
}

// now returns the seconds since the start.
func (w *world) now() float64 { return time.Since(w.started).Seconds() }

func (w *world) logf(format string, args ...any) {
	w.record.printf("%8.3f "+format, append([]any{w.now()}, args...)...)
}

// beat writes the entry of a server, as servers do at each heartbeat.
func (w *world) beat(id string, entry map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats[id] = time.Now()
	// The entry changes only if more than the sequence number does.
	known := w.entries[id]
	if known != nil && known["state"] == entry["state"] && known["born"] == entry["born"] {
		return
	}
	w.entries[id] = entry
	w.store.Put("servers", id, entry)
	w.logf("store: entry %s is %v, sequence %v", id, entry["state"], entry["sequence"])
}

// expireEntries removes the entries of silent servers.
func (w *world) expireEntries() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.mu.Lock()
		for id, at := range w.beats {
			if time.Since(at) > entryTTL {
				delete(w.beats, id)
				delete(w.entries, id)
				w.store.Delete("servers", id)
				w.logf("store: entry %s removed after %s of silence", id, entryTTL)
			}
		}
		w.mu.Unlock()
	}
}

// gateway is a gateway process.
type gateway struct {
	name    string
	callers string
	ready   string
	config  string
	log     string
	cmd     *exec.Cmd
}

// freeAddress returns an address on which nothing listens, over TCP and UDP.
func freeAddress(ip string) (string, error) {
	for range 50 {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		conn, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err == nil {
			_ = conn.Close()
			return address, nil
		}
	}
	return "", errors.New("no free address")
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// render fills in the template of the settings, as the platform does.
func render(template string, zones map[string]string, values map[string]string) string {
	begin, end := "{{#zones}}", "{{/zones}}\n"
	if before, rest, found := strings.Cut(template, begin); found {
		section, after, _ := strings.Cut(rest, end)
		for zone, region := range zones {
			before += strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(section)
		}
		template = before + after
	}
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		return values[strings.Trim(text, "{}")]
	})
}

// startGateways starts one gateway for each given zone.
func (w *world) startGateways(zones map[string]string, of []string) error {
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return err
	}
	for i, zone := range of {
		// Each machine has an address of its own, also beside other runs.
		pid := os.Getpid()
		ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 10+i)
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, i)}
		var internal string
		for _, address := range []*string{&g.callers, &g.ready, &internal} {
			if *address, err = freeAddress(ip); err != nil {
				return err
			}
		}
		admin, err := freeAddress(ip)
		if err != nil {
			return err
		}
		port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
		text := render(string(template), zones, map[string]string{
			"node_name": g.name, "zone": zone, "bootstrap": "true", "listen.front": g.callers, "listen.ready": g.ready, "ip": ip,
			"internal_ports.0": port(internal), "internal_ports.1": port(admin), "platform.address": w.storeAddr,
			"limits.memory_mb": "134", "limits.max_fds": "4100", "limits.cpu_share": "0.4",
			"bounds.revoke_ms": "5000", "bounds.grace_period_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10",
			"bounds.retry_budget_extra": "52", "bounds.quota_window_s": "8", "bounds.quota_overage": "0.1", "bounds.quota_slack": "140000",
		})
		g.config = filepath.Join(w.dir, g.name+".ini")
		g.log = filepath.Join(w.dir, g.name+".log")
		if err := os.WriteFile(g.config, []byte(text), 0o600); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := w.awaitReady(g); err != nil {
			return err
		}
	}
	return nil
}

func (g *gateway) start() error {
	output, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(gatewayBinary, "--config", g.config)
	g.cmd.Stdout, g.cmd.Stderr = output, output
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	defer func() { _ = output.Close() }()
	return g.cmd.Start()
}

// restart starts the gateway again. It is no longer the first start of the installation.
func (g *gateway) restart() error {
	text, err := os.ReadFile(g.config)
	if err != nil {
		return err
	}
	text = []byte(strings.Replace(string(text), "first_start = true", "first_start = false", 1))
	if err := os.WriteFile(g.config, text, 0o600); err != nil {
		return err
	}
	return g.start()
}

func (g *gateway) kill() {
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait()
		g.cmd = nil
	}
}

// awaitReady waits until a gateway says that it is ready.
func (w *world) awaitReady(g *gateway) error {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + g.ready + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s is not ready", errSetup, g.name)
}

// logsOf returns the lines of all gateways' logs that contain a text.
func (w *world) logsOf(text string) []string {
	var lines []string
	for _, g := range w.gateways {
		content, _ := os.ReadFile(g.log)
		for line := range strings.SplitSeq(string(content), "\n") {
			if strings.Contains(line, text) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// sleepUntil waits until a time, in seconds since the start.
func (w *world) sleepUntil(at float64) {
	time.Sleep(time.Duration((at - w.now()) * float64(time.Second)))
}

// recorder writes record.txt.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// withDeadline returns a context that ends after a time.
func withDeadline(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
