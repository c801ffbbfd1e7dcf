// Package local runs a small deployment in one process, to try the software out: a
// stand-in platform, two stand-in engines, a stand-in booking service and three entry
// instances.
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
	failureDomain    = "local"
	instanceCount    = 3
	portsPerInstance = 10
	modelVersion     = "assistant@1"
	// readHeaderTimeout limits the time to read the header of a request to a stand-in.
	readHeaderTimeout = 10 * time.Second
	writeTimeout      = 5 * time.Second
)

// Options configure the deployment.
type Options struct {
	// FirstPort is the port for callers of the first instance. The next instances
	// follow at steps of 10. The peer and the admin port of an instance are the two
	// ports after its port for callers.
	FirstPort int
	// PlatformPort is the port of the stand-in platform.
	PlatformPort int
	Log          logr.Logger
	// Out receives a text with addresses and example commands.
	Out io.Writer
}

// Run runs the deployment until ctx ends.
func Run(ctx context.Context, options Options) error {
	clock := clockwork.NewRealClock()
	platformServer := standin.NewServer(clock)
	platformAddress, err := serve(ctx, loopback(options.PlatformPort), platformServer)
	if err != nil {
		return err
	}
	if err := startUpstreams(ctx, clock, platformAddress); err != nil {
		return err
	}
	results := make(chan error, instanceCount)
	for index := range instanceCount {
		if err := startInstance(ctx, index, options, platformServer, platformAddress, results); err != nil {
			return err
		}
	}
	printUsage(options, platformAddress)
	var errs error
	for range instanceCount {
		errs = errors.Join(errs, <-results)
	}
	return errs
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// serve starts an HTTP server that is closed when ctx ends, and returns its address.
func serve(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startUpstreams starts two engines and a booking service, and writes their records and
// those of tiers, teams and models to the platform.
func startUpstreams(ctx context.Context, clock clockwork.Clock, platformAddress string) error {
	client := platform.NewClient(platform.Options{BaseURL: "http://" + platformAddress, Timeout: writeTimeout, Clock: clock})
	defer client.Close()
	write := func(kind record.Kind, name string, spec any) error { return putRecord(ctx, client, kind, name, spec) }
	for number := 1; number <= 2; number++ {
		name := fmt.Sprintf("engine-%d", number)
		standinEngine := engine.New(engine.Config{Name: name, Models: []string{modelVersion}, Speed: 1, Clock: clock})
		go standinEngine.Run(ctx)
		address, err := serve(ctx, loopback(0), standinEngine.Handler())
		if err != nil {
			return err
		}
		err = write(record.KindUpstream, name, record.Upstream{
			Type: record.TypeEngine, Address: address, Domain: failureDomain, Models: []string{modelVersion},
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
			Type: record.TypeService, Address: address, Domain: failureDomain, Service: "booking", MaxRequests: 16, EchoesRequestID: true,
		}),
		write(record.KindTier, "high", record.Tier{Priority: 3, DeadlineMs: 10000}),
		write(record.KindTier, "low", record.Tier{Priority: 1, DeadlineMs: 60000}),
		write(record.KindTeam, "default", record.Team{Weight: 1, DefaultTier: "low", HighestTier: "high"}),
		write(record.KindModel, "assistant", record.Model{Versions: []string{"1"}}),
	)
}

func putRecord(ctx context.Context, client platform.Store, kind record.Kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	body, err := json.Marshal(record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw})
	if err != nil {
		return err
	}
	_, err = client.Put(ctx, platform.Object{Kind: string(kind), Name: name, Body: body}, platform.Precondition{Absent: true})
	return err
}

// startInstance adds an instance to the platform's instance list and starts it. Its
// result is sent to results once it has stopped.
func startInstance(ctx context.Context, index int, options Options, platformServer *standin.Server, platformAddress string, results chan<- error) error {
	instanceSettings := settings.Default()
	firstPort := options.FirstPort + index*portsPerInstance
	instanceSettings.Instance.ID = fmt.Sprintf("local-%d", index)
	instanceSettings.Instance.Domain = failureDomain
	instanceSettings.Listen = settings.Listen{Callers: loopback(firstPort), Peer: loopback(firstPort + 1), Admin: loopback(firstPort + 2)}
	instanceSettings.Platform.Address = platformAddress
	instanceSettings.Callers = settings.Callers{TrustTeamHeader: true, AllowAnonymous: true}
	instanceSettings.Drain.BalancerDelay = 0
	platformServer.SetInstance(platform.ListedInstance{
		Name: instanceSettings.Instance.ID, Address: instanceSettings.Listen.Peer, AdminAddress: instanceSettings.Listen.Admin, Domain: failureDomain, Role: "entry",
	})
	inst, err := instance.New(instance.Options{
		Settings: instanceSettings, Log: options.Log.WithValues("instance", instanceSettings.Instance.ID),
		Clock: clockwork.NewRealClock(), Build: instance.Build,
	})
	if err != nil {
		return err
	}
	go func() { results <- inst.Run(ctx) }()
	return nil
}

func printUsage(options Options, platformAddress string) {
	_, _ = fmt.Fprintf(options.Out, `Stand-in platform: %[2]s. Entry instances, ports for callers: 127.0.0.1:%[1]d, :%[3]d and :%[4]d.

Request a streamed answer:
  curl -N http://127.0.0.1:%[1]d/v1/chat/completions -H 'Content-Type: application/json' \
    -d '{"model":"assistant","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Where is buggy 7?"}]}'

Send a booking twice, through two instances; it is executed at most once:
  curl -i http://127.0.0.1:%[1]d/services/booking/locks -H 'Idempotency-Key: tee-1' -d '{"key":"buggy-7"}'
  curl -i http://127.0.0.1:%[3]d/services/booking/locks -H 'Idempotency-Key: tee-1' -d '{"key":"buggy-7"}'

List the upstream records, and show the configuration in effect on each instance:
  go run ./cmd/rosemarywing --platform %[2]s list Upstream
  go run ./cmd/rosemarywing --platform %[2]s inforce

Press Ctrl-C to stop.
`, options.FirstPort, platformAddress, options.FirstPort+portsPerInstance, options.FirstPort+2*portsPerInstance)
}
