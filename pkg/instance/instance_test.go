package instance_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/instance"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// fakeComponents implements the components that the tests need. A dispatched
// call blocks until finish is closed.
type fakeComponents struct {
	dispatched chan struct{}
	finish     chan struct{}
}

func (fakeComponents) Snapshot() *conf.Snapshot {
	return &conf.Snapshot{
		Usable:    true,
		Tiers:     map[string]*record.Tier{"low": {Name: "low"}},
		Upstreams: map[string]*record.Upstream{"s1": {Name: "s1", Type: record.TypeService, Service: "s"}},
		Pools:     map[string]*conf.Pool{"north/s": {Name: "north/s", Domain: "north", Targets: []string{"service:s"}}},
	}
}
func (fakeComponents) Changed() <-chan struct{}                { return nil }
func (fakeComponents) NewID(string) string                     { return "id-1" }
func (fakeComponents) UpdatePhase(string, claim.Phase, string) {}
func (fakeComponents) Claim(context.Context, string, string) (claim.Reply, error) {
	return claim.Reply{Result: claim.Granted}, nil
}
func (fakeComponents) Acquire(context.Context, string, pool.Request) (sched.Grant, error) {
	return sched.Grant{Upstream: "s1", Expiry: time.Now().Add(time.Hour)}, nil
}
func (fakeComponents) Release(context.Context, string, sched.Work, sched.Result) {}
func (f fakeComponents) Dispatch(_ context.Context, call upstream.Call) (*upstream.Answer, error) {
	if err := call.OnDispatch(); err != nil {
		return nil, err
	}
	close(f.dispatched)
	<-f.finish
	return &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

func testSettings() settings.Settings {
	s := settings.Default()
	s.Instance.ID, s.Instance.Domain = "i1", "north"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Callers.AllowAnonymous = true
	s.Drain.BalancerDelay = 0
	return s
}

// Guards against a shutdown that aborts a running request, that ends the
// background work which the request still needs, that leaks goroutines, or that
// does not return.
func TestShutdownWaitsForRunningRequests(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	g := NewWithT(t)
	f := fakeComponents{dispatched: make(chan struct{}), finish: make(chan struct{})}
	backgroundEnded, announced := make(chan struct{}), make(chan struct{})
	i, err := instance.New(instance.Options{
		Settings: testSettings(), Log: logr.Discard(), Clock: clockwork.NewRealClock(),
		Build: func(env instance.Env) (instance.Components, error) {
			g.Expect(env.Self.ID).To(Equal("i1"))
			return instance.Components{
				Config: f, Claimer: f, Pool: f, Service: f,
				Leave: func(context.Context) { close(announced) },
				Run: func(ctx context.Context) error {
					<-ctx.Done()
					close(backgroundEnded)
					return nil
				},
			}, nil
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	callers, _, admin := i.Addresses()
	ctx, shutDown := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- i.Run(ctx) }()

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(address string) string {
		response, err := client.Get("http://" + address)
		if err != nil {
			return err.Error()
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.Status + " " + string(body)
	}
	g.Expect(get(admin + "/readyz")).To(HavePrefix("200"))
	answer := make(chan string, 1)
	go func() { answer <- get(callers + "/services/s/x") }()
	<-f.dispatched
	shutDown()
	<-announced
	g.Eventually(func() string { return get(admin + "/readyz") }).Should(HavePrefix("503"))
	g.Eventually(func() string { return get(callers + "/services/s/x") }).Should(ContainSubstring("shutting_down"))
	g.Expect(runResult).NotTo(Receive())
	g.Expect(backgroundEnded).NotTo(BeClosed())
	close(f.finish)
	g.Expect(<-answer).To(Equal("200 OK done"))
	g.Expect(<-runResult).To(Succeed())
	g.Expect(backgroundEnded).To(BeClosed())
	goleak.VerifyNone(t, ignore, goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/stat.init.0.func1"))
}

// Planned stop while a request arrives on a connection that was kept open. Guards against
// closing that connection without an answer.
func TestRequestThatArrivesDuringShutdownIsAnswered(t *testing.T) {
	g := NewWithT(t)
	f := fakeComponents{dispatched: make(chan struct{}), finish: make(chan struct{})}
	i, err := instance.New(instance.Options{
		Settings: testSettings(), Log: logr.Discard(), Clock: clockwork.NewRealClock(),
		Build: func(instance.Env) (instance.Components, error) {
			return instance.Components{Config: f, Claimer: f, Pool: f, Service: f}, nil
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	callers, _, _ := i.Addresses()
	ctx, shutDown := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- i.Run(ctx) }()
	conn, err := net.Dial("tcp", callers)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	readResponse := func() *http.Response {
		for {
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			if response.StatusCode != http.StatusEarlyHints {
				return response
			}
		}
	}
	_, err = io.WriteString(conn, "GET /services/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	<-f.dispatched
	close(f.finish)
	g.Expect(readResponse().StatusCode).To(Equal(http.StatusOK))
	_, err = io.WriteString(conn, "GET /services/s/x HTTP/1.1\r\nHost")
	g.Expect(err).NotTo(HaveOccurred())
	shutDown()
	g.Eventually(func() error {
		probe, err := net.Dial("tcp", callers)
		if err == nil {
			_ = probe.Close()
		}
		return err
	}, "10s").ShouldNot(Succeed(), "the listener is closed")
	_, err = io.WriteString(conn, ": h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	response := readResponse()
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Close).To(BeTrue(), "the caller must go to another instance")
	g.Expect(<-runResult).To(Succeed())
}

// Guards against listeners that stay open after a failed start.
func TestFailedStartClosesListeners(t *testing.T) {
	g := NewWithT(t)
	s := testSettings()
	var peer string
	options := instance.Options{
		Settings: s, Log: logr.Discard(), Clock: clockwork.NewRealClock(),
		Build: func(env instance.Env) (instance.Components, error) {
			peer = env.PeerListener.Addr().String()
			return instance.Components{}, errors.New("build failed")
		},
	}
	_, err := instance.New(options)
	g.Expect(err).To(MatchError(ContainSubstring("build failed")))
	options.Settings.Listen.Callers = peer
	_, err = instance.New(options)
	g.Expect(err).To(MatchError(ContainSubstring("build failed")), "the address is still in use")
}

// A predecessor still has an address of the instance. Guards against an instance that
// ends instead of waiting for it, and against an error that names no setting.
func TestStartWaitsForAnAddressInUse(t *testing.T) {
	g := NewWithT(t)
	predecessor, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := testSettings()
	s.Listen.Admin = predecessor.Addr().String()
	waits := 0
	log := funcr.New(func(_, line string) {
		if strings.Contains(line, "[listen] admin") && strings.Contains(line, s.Listen.Admin) {
			waits++
			_ = predecessor.Close()
		}
	}, funcr.Options{})
	_, err = instance.New(instance.Options{
		Settings: s, Log: log, Clock: clockwork.NewRealClock(),
		Build: func(instance.Env) (instance.Components, error) {
			return instance.Components{}, errors.New("listeners are open")
		},
	})
	g.Expect(err).To(MatchError(ContainSubstring("listeners are open")))
	g.Expect(waits).To(BeNumerically(">", 0))
}
