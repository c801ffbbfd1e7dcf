//go:build review2

// Command standin2 plays the cases of the second review. Each case starts gateway
// instances as separate processes, with stand-ins for the store, the servers and the
// clients in its own process, and checks one rule from what these have seen.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// heartbeat is the interval of the servers' reports to the store, and bounds are those of the
// site kifaru-cutfloor.
const (
	heartbeat   = 1200 * time.Millisecond
	revokeBound = 5 * time.Second
	tenantKey   = "key-of-the-workshop"
	host        = "orders.example"
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	out     io.Writer
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// zones are the failure domains of the deployment, with their regions.
var zones = [][2]string{{"nbo-industrial", "nairobi"}, {"nbo-ruaraka", "nairobi"}, {"mba-changamwe", "mombasa"}}

// deployment is a small deployment: gateways, servers and a store.
type deployment struct {
	root, dir string
	record    *record
	store     *objectstore.Server
	storeHTTP *http.Server
	storeAddr string
	gateways  []*gateway
	servers   []*server
	stop      chan struct{}
	tasks     sync.WaitGroup
}

// gateway is a machine that runs the gateway program.
type gateway struct {
	name, zone   string
	settings     string
	callers      string
	ready        string
	process      *exec.Cmd
	exited       chan struct{}
	firstStart   bool
	reserved     []testbed.ReservedAddress
	values       map[string]string
	storeAddress string
}

func newDeployment(root string, out io.Writer) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	// The files by which addresses are reserved go into the same folder.
	if err := os.Setenv("TMPDIR", dir); err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, record: &record{started: time.Now(), out: out}, store: objectstore.NewServer(), stop: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = listener.Addr().String()
	d.storeHTTP = &http.Server{Handler: d.store}
	go func() { _ = d.storeHTTP.Serve(listener) }()
	return d, nil
}

// close ends everything that the case has started.
func (d *deployment) close() {
	close(d.stop)
	for _, g := range d.gateways {
		g.kill()
		for _, r := range g.reserved {
			r.Release()
		}
	}
	d.tasks.Wait()
	for _, s := range d.servers {
		s.end()
	}
	d.store.SetFaults(objectstore.Faults{})
	_ = d.storeHTTP.Close()
	_ = os.RemoveAll(d.dir)
}

// addGateway prepares the settings of a machine; start starts its process.
func (d *deployment) addGateway(number int, zone string) (*gateway, error) {
	g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, firstStart: true, storeAddress: d.storeAddr}
	var addresses []string
	for range 4 {
		reserved, err := testbed.ReserveAddress()
		if err != nil {
			return nil, err
		}
		g.reserved, addresses = append(g.reserved, reserved), append(addresses, reserved.Address)
	}
	g.callers, g.ready = addresses[0], addresses[1]
	g.settings = filepath.Join(d.dir, g.name+".ini")
	g.values = map[string]string{
		"node_name": g.name, "zone": zone, "listen.front": g.callers, "listen.ready": g.ready,
		"{{ip}}:{{internal_ports.0}}": addresses[2], "{{ip}}:{{internal_ports.1}}": addresses[3],
		"limits.memory_mb": "134", "limits.max_fds": "4100", "limits.cpu_share": "0.4",
		"bounds.revoke_ms": "5000", "bounds.grace_period_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10",
		"bounds.retry_budget_extra": "52", "bounds.quota_window_s": "8", "bounds.quota_overage": "0.1", "bounds.quota_slack": "140000",
		"bounds.exposure_share": "",
	}
	d.gateways = append(d.gateways, g)
	return g, nil
}

// fill writes the settings from the template of the deploy file, as the platform does at each
// start.
func (d *deployment) fill(g *gateway) error {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "gateway.ini"))
	if err != nil {
		return err
	}
	filled := string(text)
	begin, end := "{{#zones}}", "{{/zones}}\n"
	before, rest, found := strings.Cut(filled, begin)
	_, after, foundEnd := strings.Cut(rest, end)
	if !found || !foundEnd {
		return errors.New("the template has no section for zones")
	}
	section := ""
	for _, z := range zones {
		section += z[0] + " = " + z[1] + "\n"
	}
	filled = before + section + after
	filled = strings.ReplaceAll(filled, "{{ip}}:{{internal_ports.0}}", g.values["{{ip}}:{{internal_ports.0}}"])
	filled = strings.ReplaceAll(filled, "{{ip}}:{{internal_ports.1}}", g.values["{{ip}}:{{internal_ports.1}}"])
	filled = strings.ReplaceAll(filled, "{{bootstrap}}", strconv.FormatBool(g.firstStart))
	filled = strings.ReplaceAll(filled, "{{platform.address}}", g.storeAddress)
	for name, value := range g.values {
		filled = strings.ReplaceAll(filled, "{{"+name+"}}", value)
	}
	if strings.Contains(filled, "{{") {
		return fmt.Errorf("a placeholder of the template is not filled in: %s", filled)
	}
	return os.WriteFile(g.settings, []byte(filled), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(g *gateway) error {
	if err := d.fill(g); err != nil {
		return err
	}
	g.firstStart = false
	log, err := os.OpenFile(filepath.Join(d.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.process = exec.Command("target/rosemarywing-gateway", "--config", g.settings)
	g.process.Dir = d.root
	g.process.Stdout, g.process.Stderr = log, log
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	// The kernel ends the process if the case is killed.
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return err
	}
	_ = log.Close()
	process, exited := g.process, make(chan struct{})
	g.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	d.record.log("%s starts, process %d", g.name, g.process.Process.Pid)
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.process.Process.Signal(s) }

// kill ends the process of a machine, if it runs.
func (g *gateway) kill() {
	if g.process == nil || g.exited == nil {
		return
	}
	_ = g.process.Process.Signal(syscall.SIGCONT)
	_ = g.process.Process.Kill()
	<-g.exited
}

// awaitReady waits until a machine says that it is ready.
func (d *deployment) awaitReady(g *gateway, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.record.log("%s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", g.name, limit)
}

// startGateways starts a machine in each zone and waits until all are ready.
func (d *deployment) startGateways() error {
	for i, zone := range zones {
		g, err := d.addGateway(i+1, zone[0])
		if err != nil {
			return err
		}
		if err := d.start(g); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := d.awaitReady(g, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             time.Duration
	attempts                    int
	resumable                   bool
}

// config is what the operator writes to the store.
type config struct {
	version int
	routes  []route
	keys    []string
}

func (c config) spec() map[string]any {
	routes, services, seen := []any{}, []any{}, map[string]bool{}
	for _, r := range c.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": r.kind, "service": r.service, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": r.target.Milliseconds(), "priority": 2, "max_attempts": r.attempts, "public": false, "sticky": false, "resumable": r.resumable, "gap_target_ms": 400,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false})
		}
	}
	return map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "workshop", "api_keys": c.keys, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 268814, "burst": 268814}},
	}
}

// configure writes a configuration to the store, whose answer is the acknowledgement.
func (d *deployment) configure(c config) time.Time {
	d.store.Put("config", "main", c.spec())
	acknowledged := time.Now()
	d.record.log("configuration %d is acknowledged, keys %v", c.version, c.keys)
	return acknowledged
}

// commitRoute is the route of unsafe requests.
func commitRoute() route {
	return route{name: "roll-commit", prefix: "/commit/", kind: "unsafe", service: "order-desk", timeout: 1200 * time.Millisecond, target: 250 * time.Millisecond, attempts: 1}
}

// lookRoute is the route of safe requests.
func lookRoute() route {
	return route{name: "order-look", prefix: "/look/", kind: "safe", service: "order-desk", timeout: 1200 * time.Millisecond, target: 250 * time.Millisecond, attempts: 2}
}
