// Package local runs a small deployment in one process, for a first look: a
// stand-in of the platform, engines, a booking service and entry instances.
package local

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
	standin "github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/internal/standin/service"
	"github.com/rosemarywing/rosemarywing/pkg/instance"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
)

const (
	domain       = "local"
	instances    = 3
	portsPerSet  = 10
	modelVersion = "assistant@1"
	// readTimeout bounds the header of a request to a stand-in.
	readTimeout = 10 * time.Second
	writeLimit  = 5 * time.Second
)

// Options configure the deployment.
type Options struct {
	// FirstPort is the port of the first instance for callers; the next ones
	// follow at steps of 10, each with its peer and admin port behind it.
	FirstPort int
	// PlatformPort is the port of the platform's stand-in.
	PlatformPort int
	Log          logr.Logger
	// Out gets the text that says how to use the deployment.
	Out io.Writer
}

// Run runs the deployment until ctx ends.
func Run(ctx context.Context, options Options) error {
	clock := clockwork.NewRealClock()
	store := standin.NewServer(clock)
	platformAddress, err := serve(ctx, loopback(options.PlatformPort), store)
	if err != nil {
		return err
	}
	if err := startUpstreams(ctx, clock, platformAddress); err != nil {
		return err
	}
	running := make(chan error, instances)
	for n := range instances {
		if err := startInstance(ctx, n, options, store, platformAddress, running); err != nil {
			return err
		}
	}
	printUsage(options, platformAddress)
	var all error
	for range instances {
		all = errors.Join(all, <-running)
	}
	return all
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// serve starts an HTTP server that ends with ctx and returns its address.
func serve(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startUpstreams starts two engines and a booking service and writes the records.
func startUpstreams(ctx context.Context, clock clockwork.Clock, platformAddress string) error {
	store := platform.NewClient(platform.Options{BaseURL: "http://" + platformAddress, Timeout: writeLimit, Clock: clock})
	defer store.Close()
	write := func(kind record.Kind, name string, spec any) error { return put(ctx, store, kind, name, spec) }
	for n := 1; n <= 2; n++ {
		name := fmt.Sprintf("engine-%d", n)
		up := engine.New(engine.Config{Name: name, Models: []string{modelVersion}, Speed: 1, Clock: clock})
		go up.Run(ctx)
		address, err := serve(ctx, loopback(0), up.Handler())
		if err != nil {
			return err
		}
		err = write(record.KindUpstream, name, record.Upstream{
			Type: record.TypeEngine, Address: address, Domain: domain, Models: []string{modelVersion},
			MaxRequests: 16, MaxTokens: 200000, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 50,
			EchoesRequestID: true, Batch: "first",
		})
		if err != nil {
			return err
		}
	}
	address, err := serve(ctx, loopback(0), service.New(clock).Handler())
	if err != nil {
		return err
	}
	return errors.Join(
		write(record.KindUpstream, "booking-1", record.Upstream{
			Type: record.TypeService, Address: address, Domain: domain, Service: "booking", MaxRequests: 16, EchoesRequestID: true,
		}),
		write(record.KindTier, "high", record.Tier{Priority: 3, DeadlineMs: 10000}),
		write(record.KindTier, "low", record.Tier{Priority: 1, DeadlineMs: 60000}),
		write(record.KindTeam, "default", record.Team{Weight: 1, DefaultTier: "low", HighestTier: "high"}),
		write(record.KindModel, "assistant", record.Model{Versions: []string{"1"}}),
	)
}

func put(ctx context.Context, store platform.Store, kind record.Kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	body, err := json.Marshal(record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw})
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, platform.Object{Kind: string(kind), Name: name, Body: body}, platform.Precondition{Absent: true})
	return err
}

func startInstance(ctx context.Context, n int, options Options, store *standin.Server, platformAddress string, running chan<- error) error {
	chosen := settings.Default()
	first := options.FirstPort + n*portsPerSet
	chosen.Instance.ID = fmt.Sprintf("local-%d", n)
	chosen.Instance.Domain = domain
	chosen.Listen = settings.Listen{Callers: loopback(first), Peer: loopback(first + 1), Admin: loopback(first + 2)}
	chosen.Platform.Address = platformAddress
	chosen.Callers = settings.Callers{TrustTeamHeader: true, AllowAnonymous: true}
	chosen.Drain.BalancerDelay = 0
	store.SetInstance(platform.ListedInstance{
		Name: chosen.Instance.ID, Address: chosen.Listen.Peer, AdminAddress: chosen.Listen.Admin, Domain: domain, Role: "entry",
	})
	started, err := instance.New(instance.Options{
		Settings: chosen, Log: options.Log.WithValues("instance", chosen.Instance.ID),
		Clock: clockwork.NewRealClock(), Build: instance.Build,
	})
	if err != nil {
		return err
	}
	go func() { running <- started.Run(ctx) }()
	return nil
}

func printUsage(options Options, platformAddress string) {
	_, _ = fmt.Fprintf(options.Out, `Running: platform stand-in at %[2]s, entries for callers at 127.0.0.1:%[1]d, :%[3]d and :%[4]d.

A streamed answer:
  curl -N http://127.0.0.1:%[1]d/v1/chat/completions -H 'Content-Type: application/json' \
    -d '{"model":"assistant","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Where is buggy 7?"}]}'

A booking that runs at most once, sent twice through two instances:
  curl -i http://127.0.0.1:%[1]d/services/booking/locks -H 'Idempotency-Key: tee-1' -d '{"key":"buggy-7"}'
  curl -i http://127.0.0.1:%[3]d/services/booking/locks -H 'Idempotency-Key: tee-1' -d '{"key":"buggy-7"}'

The records, and who has them in force:
  go run ./cmd/rosemarywing --platform %[2]s list Upstream
  go run ./cmd/rosemarywing --platform %[2]s inforce

Ctrl-C ends it.
`, options.FirstPort, platformAddress, options.FirstPort+portsPerSet, options.FirstPort+2*portsPerSet)
}
