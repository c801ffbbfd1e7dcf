// Package instance assembles an entry instance from its components, as the
// settings say, and runs it until it is told to shut down.
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

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/drain"
	"github.com/rosemarywing/rosemarywing/pkg/entry"
	"github.com/rosemarywing/rosemarywing/pkg/listen"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Env holds what Options.Build needs to create the components.
type Env struct {
	Settings settings.Settings
	Log      logr.Logger
	Clock    clockwork.Clock
	Metrics  metrics.Registry
	// Self identifies the instance and its incarnation.
	Self claim.InstanceRef
	// PeerListener accepts connections of other instances. The component that
	// serves it closes it.
	PeerListener net.Listener
}

// Components are the parts of an instance that its entry.Entry depends on.
type Components struct {
	Config  conf.Source
	Members member.View
	Claimer claim.Claimer
	Pool    pool.Client
	Engine  upstream.Engine
	Service upstream.Dispatcher
	// RequestIDOf and IsIssuedID have the meaning of the fields in
	// entry.Options.
	RequestIDOf func(reply claim.Reply) string
	// IsIssuedTo reports whether a request ID was issued to the team.
	IsIssuedTo func(team, requestID string) bool
	IsIssuedID func(identity string) bool
	// NotifyResumed tells other instances that this one has resumed a stream.
	NotifyResumed func(requestID, upstreamName string)
	// Bind is called once with the entry.Entry, before any request is served, so that
	// components can query the phase of requests. It may be nil.
	Bind func(e *entry.Entry)
	// Run does the background work of the components until ctx ends. It may be nil.
	Run func(ctx context.Context) error
	// Leave tells other instances that this one is leaving. It is called after
	// the instance has turned unready. It may be nil.
	Leave func(ctx context.Context)
}

// Options are the settings and dependencies of an instance.
type Options struct {
	Settings settings.Settings
	Log      logr.Logger
	Clock    clockwork.Clock
	// Build creates the components. It starts no goroutines; Components.Run does.
	Build func(env Env) (Components, error)
}

// Instance is an entry instance. It listens after New and serves during Run.
type Instance struct {
	log            logr.Logger
	settings       settings.Settings
	components     Components
	entry          *entry.Entry
	callerListener *drain.Listener
	adminListener  net.Listener
	peerListener   net.Listener
}

// New opens the listeners, builds the components and creates the entry.
func New(options Options) (*Instance, error) {
	i := &Instance{log: options.Log, settings: options.Settings}
	if err := i.listen(); err != nil {
		return nil, errors.Join(err, i.closeListeners())
	}
	registry := metrics.NewRegistry()
	components, err := options.Build(Env{
		Settings: options.Settings,
		Log:      options.Log,
		Clock:    options.Clock,
		Metrics:  registry,
		// The start time of the process is the incarnation, so that it increases
		// with each restart.
		Self:         claim.InstanceRef{ID: options.Settings.Instance.ID, Incarnation: uint64(options.Clock.Now().UnixNano())},
		PeerListener: i.peerListener,
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("building the components: %w", err), i.closeListeners())
	}
	i.components = components
	i.entry, err = entry.New(entry.Options{
		Settings: options.Settings, Log: options.Log, Clock: options.Clock, Metrics: registry,
		Config: components.Config, Claimer: components.Claimer, Pool: components.Pool, Engine: components.Engine, Service: components.Service,
		Members: components.Members, IsIssuedID: components.IsIssuedID, RequestIDOf: components.RequestIDOf, IsIssuedTo: components.IsIssuedTo, NotifyResumed: components.NotifyResumed,
	})
	if err != nil {
		return nil, errors.Join(err, i.closeListeners())
	}
	if components.Bind != nil {
		components.Bind(i.entry)
	}
	return i, nil
}

func (i *Instance) listen() error {
	binder := listen.Binder{Log: i.log}
	bind := func(setting, address string) (net.Listener, error) {
		return listen.Bind(context.Background(), binder, setting, address, func(address string) (net.Listener, error) { return net.Listen("tcp", address) })
	}
	var err error
	i.callerListener, err = listen.Bind(context.Background(), binder, "[listen] callers", i.settings.Listen.Callers, func(address string) (*drain.Listener, error) {
		return drain.Listen("tcp", address, i.settings.Limits.Connections)
	})
	if err != nil {
		return err
	}
	if i.adminListener, err = bind("[listen] admin", i.settings.Listen.Admin); err != nil {
		return err
	}
	i.peerListener, err = bind("[listen] peer", i.settings.Listen.Peer)
	return err
}

func (i *Instance) closeListeners() error {
	var errs error
	if i.callerListener != nil {
		errs = i.callerListener.Abort()
	}
	for _, listener := range []net.Listener{i.adminListener, i.peerListener} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// Addresses returns the addresses for callers, peers and the admin interface.
func (i *Instance) Addresses() (callers, peer, admin string) {
	return i.callerListener.Addr().String(), i.peerListener.Addr().String(), i.adminListener.Addr().String()
}

// Run serves until ctx ends and then drains the instance: it turns unready,
// waits for the load balancer, refuses queued requests, and returns nil when
// the last running request has ended, for which there is no time limit. The
// components keep working until then, since running requests need them.
func (i *Instance) Run(ctx context.Context) error {
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := make(chan error, 3)
	var group sync.WaitGroup
	callerServer := entry.NewServer(i.entry.Handler(), i.settings.Timeouts)
	i.callerListener.Attach(callerServer)
	adminServer := entry.NewServer(i.entry.AdminHandler(), i.settings.Timeouts)
	group.Go(func() { failed <- serve(callerServer, i.callerListener) })
	group.Go(func() { failed <- serve(adminServer, i.adminListener) })
	if i.components.Run != nil {
		group.Go(func() {
			if err := i.components.Run(backgroundCtx); backgroundCtx.Err() == nil {
				failed <- fmt.Errorf("background work of the instance ended: %w", err)
			}
		})
	}
	callerAddress, peerAddress, adminAddress := i.Addresses()
	i.log.Info("serving", "instance", i.settings.Instance.ID, "callers", callerAddress, "peer", peerAddress, "admin", adminAddress)
	var err error
	select {
	case <-ctx.Done():
		err = i.drain()
	case err = <-failed:
		i.entry.Leave()
	}
	stopBackground()
	err = errors.Join(err, callerServer.Close(), adminServer.Close(), i.closeListeners())
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

// drain stops serving without aborting a request. The listener stays open while
// requests run, so that a late request gets an error with run state not_run
// instead of a refused connection.
func (i *Instance) drain() error {
	i.log.Info("leaving", "instance", i.settings.Instance.ID)
	i.entry.Leave()
	i.callerListener.Announce()
	if i.components.Leave != nil {
		i.components.Leave(context.Background())
	}
	if err := i.entry.Drain(context.Background()); err != nil {
		return err
	}
	// Responses of the last requests may still be in transmission, and requests that have
	// arrived are still to be refused.
	return i.callerListener.Drain(context.Background())
}
