package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/pkg/boottime"
	"github.com/rosemarywing/rosemarywing/pkg/gateway"
	"github.com/rosemarywing/rosemarywing/platform"
)

// eventuallyTimeout bounds the waits for expected events. No test relies on it to
// pass.
const eventuallyTimeout = "20s"

// testCluster is a deployment in one process: a fake store, fake upstreams, and
// gateway instances that communicate over loopback.
type testCluster struct {
	*GomegaWithT
	t     *testing.T
	store *objectstore.Server
	// clockOffset is added to the instances' clock to simulate a suspension of the
	// machine.
	clockOffset atomic.Int64
	// clockStoppedAt is the time that the instances' clock shows; 0 if it runs.
	clockStoppedAt atomic.Int64
	// stopGraceSeconds is the grace time of instances that are started from now on.
	stopGraceSeconds float64
	// memoryMiB is the memory limit of instances that are started from now on.
	memoryMiB int
	// exposureShare turns roll-outs on for instances that are started from now on.
	exposureShare float64
	storeAddress  string
	instances     []*instance
	version       int
	config        map[string]any
	mu            sync.Mutex
	logLines      []string
}

type instance struct {
	callers string
	ready   string
	admin   string
	stop    context.CancelFunc
	done    chan error
}

func newTestCluster(t *testing.T, instances int) *testCluster {
	t.Helper()
	c := &testCluster{GomegaWithT: NewWithT(t), t: t, store: objectstore.NewServer(), stopGraceSeconds: 8, memoryMiB: 256}
	server := httptest.NewServer(c.store)
	c.storeAddress = strings.TrimPrefix(server.URL, "http://")
	c.config = map[string]any{
		"routes": []map[string]any{
			route("once", "/once/", "unsafe", 2), route("safe", "/safe/", "safe", 2),
			route("stream", "/stream/", "streaming", 2), resumable(route("resume", "/resume/", "streaming", 3)),
			{"name": "short", "host": "h.example", "path_prefix": "/short/", "kind": "unsafe", "service": "desk", "timeout_ms": 300, "target_latency_ms": 100, "max_attempts": 1},
		},
		"services": []map[string]any{{"name": "desk", "max_connections": 1000}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
		"tenants":  []map[string]any{{"name": "team-a", "api_keys": []string{"key-a"}, "priority": 1}},
	}
	c.publish()
	for i := range instances {
		c.startInstance(fmt.Sprintf("edge-%d", i))
	}
	t.Cleanup(func() {
		c.store.SetFaults(objectstore.Faults{})
		for _, in := range c.instances {
			in.stop()
		}
		for _, in := range c.instances {
			<-in.done
		}
		server.CloseClientConnections()
		server.Close()
	})
	return c
}

func route(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "service": "desk",
		"timeout_ms": 20_000, "target_latency_ms": 500, "max_attempts": attempts, "priority": 1}
}

func resumable(r map[string]any) map[string]any {
	r["resumable"] = true
	return r
}

// publish writes the configuration under the next version.
func (c *testCluster) publish() {
	c.version++
	c.config["version"] = c.version
	c.store.Put("config", "main", c.config)
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

func (c *testCluster) log() logr.Logger {
	return funcr.NewJSON(func(line string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.logLines = append(c.logLines, line)
	}, funcr.Options{})
}

// logged reports whether a log line contains all parts.
func (c *testCluster) logged(parts ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range c.logLines {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}

// startInstance starts an instance and waits until it is ready.
func (c *testCluster) startInstance(name string) *instance {
	c.t.Helper()
	return c.startInstanceOn(name, reserveAddress(c.t))
}

func (c *testCluster) startInstanceOn(name, callers string) *instance {
	c.t.Helper()
	started := c.run(name, callers)
	c.Eventually(func() int {
		select {
		case err := <-started.done:
			c.t.Fatalf("%s ended early: %v", name, err)
		default:
		}
		return c.readyStatus(started)
	}, eventuallyTimeout).Should(Equal(http.StatusOK), "%s is not ready", name)
	return started
}

// startUnready starts an instance and waits until it answers callers.
func (c *testCluster) startUnready(name string) *instance {
	c.t.Helper()
	started := c.run(name, reserveAddress(c.t))
	c.Eventually(func() int { return c.readyStatus(started) }, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
	return started
}

// run starts an instance.
func (c *testCluster) run(name, callers string) *instance {
	c.t.Helper()
	started := &instance{callers: callers, ready: reserveAddress(c.t), admin: reserveAddress(c.t), done: make(chan error, 1)}
	g, err := gateway.New(gateway.Options{
		Settings: gateway.Settings{
			Placement: gateway.DefaultPlacement(),
			Instance:  gateway.InstanceSettings{Name: name, Domain: "north", FirstStart: true},
			Listen:    gateway.ListenSettings{Callers: started.callers, Ready: started.ready, Peers: reserveAddress(c.t), Admin: started.admin},
			Store:     gateway.StoreSettings{Address: c.storeAddress},
			Limits:    gateway.LimitSettings{MemoryMiB: c.memoryMiB, Descriptors: 4096},
			Bounds: gateway.BoundSettings{ConfigFreshMs: 5000, StopGraceSeconds: c.stopGraceSeconds, LeaveNoticeSeconds: 0.2, RetryRatio: 0.2, RetryWindowSeconds: 10, RetryExtra: 50,
				QuotaWindowSeconds: 8, QuotaOverage: 0.1, QuotaSlack: 0, ExposureShare: c.exposureShare},
			Regions: map[string]string{"north": "r1"},
		},
		Store: platform.NewStore(c.storeAddress), HeaderCodec: platform.HeaderCodec{}, RecordDecoder: platform.RecordDecoder{}, RolloutCodec: platform.RolloutCodec{},
		ObjectKinds: gateway.ObjectKinds{Config: platform.KindConfig, ConfigName: platform.ConfigName, Upstreams: platform.KindUpstreams, Instances: platform.KindInstances, Usage: platform.KindUsage, Rollouts: platform.KindRollouts},
		Log:         c.log(), Clock: clockwork.NewRealClock(),
		Now: func() time.Duration {
			if stopped := c.clockStoppedAt.Load(); stopped > 0 {
				return time.Duration(stopped)
			}
			return boottime.Now() + time.Duration(c.clockOffset.Load())
		},
	})
	c.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	started.stop = cancel
	go func() { started.done <- g.Run(ctx) }()
	c.instances = append(c.instances, started)
	return started
}

func (c *testCluster) readyStatus(in *instance) int {
	response, err := http.Get("http://" + in.ready + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// receivedRequest is a request as an upstream received it.
type receivedRequest struct {
	requestID, path, teamHeader, expectedInstance, authorization, lastEvent string
	deadline                                                                string
	body                                                                    string
}

// fakeUpstream is an upstream that records requests and answers them by a handler.
type fakeUpstream struct {
	id       string
	slots    int
	server   *httptest.Server
	mu       sync.Mutex
	received []receivedRequest
}

func (b *fakeUpstream) requests() []receivedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]receivedRequest{}, b.received...)
}

// startUpstream starts a fake upstream and registers it in the store.
func (c *testCluster) startUpstream(id string, handle http.HandlerFunc) *fakeUpstream {
	c.t.Helper()
	return c.startUpstreamWithSlots(id, 8, handle)
}

// startUpstreamWithSlots starts a fake upstream that runs as many requests at once as it
// has slots.
func (c *testCluster) startUpstreamWithSlots(id string, slots int, handle http.HandlerFunc) *fakeUpstream {
	c.t.Helper()
	upstream := c.serveUpstream(id, slots, handle)
	c.registerUpstream(upstream, "ready")
	return upstream
}

// serveUpstream starts an upstream that the store does not list yet.
func (c *testCluster) serveUpstream(id string, slots int, handle http.HandlerFunc) *fakeUpstream {
	c.t.Helper()
	upstream := &fakeUpstream{id: id, slots: slots}
	upstream.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		upstream.mu.Lock()
		upstream.received = append(upstream.received, receivedRequest{
			requestID: r.Header.Get("Request-Id"), path: r.RequestURI, teamHeader: r.Header.Get("Tenant"), expectedInstance: r.Header.Get("Expect-Instance"),
			authorization: r.Header.Get("Authorization"), lastEvent: r.Header.Get("Last-Event-Id"), deadline: r.Header.Get("Deadline-Ms"), body: string(body),
		})
		upstream.mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "signed by "+id)
		handle(w, r)
	}))
	c.t.Cleanup(func() {
		upstream.server.CloseClientConnections()
		upstream.server.Close()
	})
	return upstream
}

func (c *testCluster) registerUpstream(upstream *fakeUpstream, state string) {
	c.store.Put("servers", upstream.id, map[string]any{
		"service": "desk", "address": strings.TrimPrefix(upstream.server.URL, "http://"), "zone": "north", "slots": upstream.slots, "state": state, "born": 1,
	})
	c.Eventually(func() bool {
		return c.logged("upstream entry", upstream.id, fmt.Sprintf("%q:%t", "leaving", state != "ready"))
	}, eventuallyTimeout).Should(BeTrue())
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send posts a request to an instance, after change has modified it, and reads the
// answer.
func (c *testCluster) send(ctx context.Context, in *instance, path string, change func(*http.Request)) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.callers+path, strings.NewReader("body of the request"))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", "req-"+path)
	request.Header.Set("Deadline-Ms", "15000")
	request.Header.Set("Authorization", "Token key-a")
	if change != nil {
		change(request)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (c *testCluster) post(path string, change func(*http.Request)) answer {
	return c.send(context.Background(), c.instances[0], path, change)
}

func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// abortConnection closes the connection without an answer.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// A predecessor still has the address of an instance that starts. Guards against an
// instance that ends instead of waiting for it.
func TestStartWaitsForAnAddressInUse(t *testing.T) {
	cluster := newTestCluster(t, 0)
	address := reserveAddress(t)
	predecessor, err := net.Listen("tcp4", address)
	cluster.Expect(err).NotTo(HaveOccurred())
	go func() {
		defer func() { _ = predecessor.Close() }()
		NewWithT(t).Eventually(func() bool { return cluster.logged("address is in use", "[listen] callers", address) }, eventuallyTimeout).Should(BeTrue())
	}()
	cluster.startInstanceOn("edge-0", address)
}
