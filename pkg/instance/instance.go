// Package instance assembles the roles of an entry instance from settings.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/entry"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Env is what every part is made from.
type Env struct {
	Settings settings.Settings
	Log      logr.Logger
	Clock    clockwork.Clock
	Metrics  metrics.Registry
	// Self is this incarnation of the instance.
	Self claim.Ref
	// Peer is the listener for other instances; the part that serves it closes it.
	Peer net.Listener
}

// Parts are the roles that an entry works with.
type Parts struct {
	Config  conf.Source
	Members member.View
	Claimer claim.Claimer
	Pool    pool.Client
	Engine  upstream.Engine
	Service upstream.Dispatcher
	// RequestIDOf and IsIssued are as in entry.Options.
	RequestIDOf func(reply claim.Reply) string
	// OwnsID reports whether a request ID was issued to the team.
	OwnsID   func(team, requestID string) bool
	IsIssued func(identity string) bool
	// NotifyResumed tells other instances that a stream continues here.
	NotifyResumed func(requestID, upstreamName string)
	// Bind is called once with the entry, before any request is served, so
	// that parts can ask it for the phase of requests. It may be nil.
	Bind func(e *entry.Entry)
	// Run does the background work of the parts until ctx ends. It may be nil.
	Run func(ctx context.Context) error
	// Leave tells other instances that this one is leaving; it is called when
	// readiness has turned false. It may be nil.
	Leave func(ctx context.Context)
}

// Options assemble an instance.
type Options struct {
	Settings settings.Settings
	Log      logr.Logger
	Clock    clockwork.Clock
	// Build makes the parts. It starts nothing; Parts.Run does.
	Build func(env Env) (Parts, error)
}

// Instance is an assembled instance that listens but does not serve yet.
type Instance struct {
	log      logr.Logger
	settings settings.Settings
	parts    Parts
	entry    *entry.Entry
	callers  net.Listener
	admin    net.Listener
	peer     net.Listener
}

// New opens the listeners and assembles the parts.
func New(options Options) (*Instance, error) {
	i := &Instance{log: options.Log, settings: options.Settings}
	if err := i.listen(); err != nil {
		return nil, errors.Join(err, i.close())
	}
	registry := metrics.NewRegistry()
	parts, err := options.Build(Env{
		Settings: options.Settings,
		Log:      options.Log,
		Clock:    options.Clock,
		Metrics:  registry,
		// The start time of the process orders its incarnations.
		Self: claim.Ref{ID: options.Settings.Instance.ID, Incarnation: uint64(options.Clock.Now().UnixNano())},
		Peer: i.peer,
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("assembling the instance: %w", err), i.close())
	}
	i.parts = parts
	i.entry, err = entry.New(entry.Options{
		Settings: options.Settings, Log: options.Log, Clock: options.Clock, Metrics: registry,
		Config: parts.Config, Claimer: parts.Claimer, Pool: parts.Pool, Engine: parts.Engine, Service: parts.Service,
		Members: parts.Members, IsIssued: parts.IsIssued, RequestIDOf: parts.RequestIDOf, OwnsID: parts.OwnsID, NotifyResumed: parts.NotifyResumed,
	})
	if err != nil {
		return nil, errors.Join(err, i.close())
	}
	if parts.Bind != nil {
		parts.Bind(i.entry)
	}
	return i, nil
}

func (i *Instance) listen() error {
	var err error
	if i.callers, err = net.Listen("tcp", i.settings.Listen.Callers); err != nil {
		return fmt.Errorf("address for callers: %w", err)
	}
	i.callers = netutil.LimitListener(i.callers, i.settings.Limits.Connections)
	if i.admin, err = net.Listen("tcp", i.settings.Listen.Admin); err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	if i.peer, err = net.Listen("tcp", i.settings.Listen.Peer); err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	return nil
}

func (i *Instance) close() error {
	var all error
	for _, listener := range []net.Listener{i.callers, i.admin, i.peer} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			all = errors.Join(all, err)
		}
	}
	return all
}

// Addresses returns the addresses for callers, peers and the admin interface.
func (i *Instance) Addresses() (callers, peer, admin string) {
	return i.callers.Addr().String(), i.peer.Addr().String(), i.admin.Addr().String()
}

// Run serves until ctx ends, then leaves: it turns unready, waits for the
// balancer, refuses what waits, and returns nil when the last request has
// ended. There is no time limit on running requests. The parts keep working
// until then, since running requests are released through them.
func (i *Instance) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 3)
	var group sync.WaitGroup
	callers := entry.NewServer(i.entry.Handler(), i.settings.Timeouts)
	admin := entry.NewServer(i.entry.AdminHandler(), i.settings.Timeouts)
	group.Go(func() { failed <- serve(callers, i.callers) })
	group.Go(func() { failed <- serve(admin, i.admin) })
	if i.parts.Run != nil {
		group.Go(func() {
			if err := i.parts.Run(work); work.Err() == nil {
				failed <- fmt.Errorf("the instance's roles ended: %w", err)
			}
		})
	}
	callersAddress, peerAddress, adminAddress := i.Addresses()
	i.log.Info("serving", "instance", i.settings.Instance.ID, "callers", callersAddress, "peer", peerAddress, "admin", adminAddress)
	var err error
	select {
	case <-ctx.Done():
		err = i.leave(callers)
	case err = <-failed:
		i.entry.Leave()
	}
	stop()
	err = errors.Join(err, callers.Close(), admin.Close(), i.close())
	group.Wait()
	i.log.Info("stopped", "instance", i.settings.Instance.ID)
	return err
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving %s: %w", listener.Addr(), err)
	}
	return nil
}

// leave ends the service without cutting a request. The listener stays open
// while requests run, so that a request that still comes is told not_run
// instead of finding the port closed.
func (i *Instance) leave(callers *http.Server) error {
	i.log.Info("leaving", "instance", i.settings.Instance.ID)
	i.entry.Leave()
	if i.parts.Leave != nil {
		i.parts.Leave(context.Background())
	}
	if err := i.entry.Drain(context.Background()); err != nil {
		return err
	}
	// The answers of the last requests may still be on their way out.
	return callers.Shutdown(context.Background())
}
