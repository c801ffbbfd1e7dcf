package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// Times of the start and the stop.
const (
	// storeWait is how long a watch of the store waits. Changes end it at once; it
	// bounds how long a connection that went silent is believed, and how old a
	// copy is.
	storeWatchWait = 700 * time.Millisecond
	// relayWait is how long an instance waits for news from the one that it
	// follows.
	relayWatchWait = 400 * time.Millisecond
	// handOver is the time in which another instance takes the place of one that
	// has found out that it cannot read the store: two reports and a list.
	relayFailoverTime = 300 * time.Millisecond
	// relayAge is the age of a copy from which the store is asked instead: one
	// wait for the store and two for copies of copies, a watch that was not
	// answered, and the time in which the lead is replaced.
	relayMaxCopyAge = storeWatchWait + 2*relayWatchWait + storeWatchWait + watchAnswerMargin + relayFailoverTime
	// followerAge leaves the relay of a failure domain time to try first.
	followerMaxCopyAge = relayMaxCopyAge + relayWatchWait
	// directEvery is the pause between two attempts to reach the store instead
	// of a relay that cannot reach it. It doubles while the store fails, since it
	// is then down for all.
	directRetryInterval    = 3 * time.Second
	maxDirectRetryInterval = 4 * directRetryInterval
	// returnGrace is the time within which the entries of upstreams are back
	// that lapsed while the store was away.
	upstreamReturnGrace = 2 * time.Second
	// watchMargin is the time after the wait in which a slow store, at a
	// hundred times its usual 4 ms, answers.
	watchAnswerMargin = 500 * time.Millisecond
	listTimeout       = 1500 * time.Millisecond
	// stopMargin is left between the last answer and SIGKILL.
	killMargin = 500 * time.Millisecond
	// endNotice bounds the last report to the peers.
	stopAnnounceTimeout = 100 * time.Millisecond
	// pruneEvery is the pause between two searches for idle connections that
	// are too old.
	pruneInterval = time.Second
	// idleCallers is how long callers may keep idle connections open unless
	// the operator allows more.
	callerIdleTimeout = time.Minute
	// headerTimeout bounds the reading of a request's head.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Run serves until the context ends, and then stops: it finishes what it holds
// within the grace time.
func (g *Gateway) Run(ctx context.Context) error {
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callerServer := &http.Server{Handler: g.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	internalServers := map[string]*http.Server{
		g.settings.Listen.Ready: {Handler: g.readyHandler(), ReadHeaderTimeout: readHeaderTimeout},
		g.settings.Listen.Admin: {Handler: g.adminHandler(), ReadHeaderTimeout: readHeaderTimeout},
	}
	failures := make(chan error, len(internalServers)+2)
	var tasks sync.WaitGroup
	g.startTasks(tasksCtx, &tasks)
	serveOn := func(server *http.Server, address string) error {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		tasks.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- err
			}
		})
		return nil
	}
	peerListener, err := net.Listen("tcp4", g.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	tasks.Go(func() {
		if err := g.servePeers(tasksCtx, peerListener); err != nil && tasksCtx.Err() == nil {
			failures <- err
		}
	})
	err = serveOn(callerServer, g.settings.Listen.Callers)
	for address, server := range internalServers {
		if err == nil {
			err = serveOn(server, address)
		}
	}
	if err == nil {
		g.log.Info("started", "domain", g.settings.Instance.Domain,
			"callers", g.settings.Listen.Callers, "store", g.settings.Store.Address, "capacity", g.capacity())
		select {
		case <-ctx.Done():
			g.drain(callerServer)
		case err = <-failures:
		}
	}
	g.announceStop(tasksCtx)
	stop()
	_ = callerServer.Close()
	for _, server := range internalServers {
		_ = server.Close()
	}
	if closeErr := g.socket.Close(); closeErr != nil {
		g.log.Error(closeErr, "close the peer socket")
	}
	tasks.Wait()
	g.log.Info("stopped", "held", g.inFlight.Load())
	return err
}

// sayEnded lets the peers take over what is kept for this instance.
func (g *Gateway) announceStop(ctx context.Context) {
	done := make(chan struct{})
	g.enqueueContext(ctx, announceStopMsg{done: done})
	select {
	case <-done:
	case <-g.clock.After(stopAnnounceTimeout):
	}
}

func (g *Gateway) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	tasks.Go(func() { g.control.run(ctx) })
	tasks.Go(func() {
		g.socket.Receive(
			func(datagram loadshare.Datagram) { g.enqueueContext(ctx, peerReportMsg{datagram: datagram}) },
			func(err error) {
				g.metrics.reportsMalformed.Inc(1)
				g.log.V(1).Info("datagram ignored", "error", err.Error())
			})
	})
	for kind := range g.storeCopies {
		syncer := storesync.New(storesync.Options{
			Store: g.store, Relay: g.currentRelay, Copy: g.storeCopies[kind], Kind: kind,
			Wait: storeWatchWait, RelayWait: relayWatchWait, Margin: watchAnswerMargin, ListTimeout: listTimeout,
			MaxRelayAge: g.maxRelayAge, DirectEvery: directRetryInterval, MaxDirectEvery: maxDirectRetryInterval, ReturnGrace: upstreamReturnGrace,
			Now: g.now, Clock: g.clock, Log: g.log,
			Deliver: func(update storesync.Update) { g.enqueueContext(ctx, storeUpdateMsg{update: update}) },
			Reached: func(err error) {
				if err != nil {
					g.storeFailedAt.Store(int64(g.now()))
				} else {
					g.storeFailedAt.Store(0)
				}
			},
			Lost: func(kind string, err error) {
				g.log.Info("dependency lost", "dependency", "store", "kind", kind, "error", err.Error(), "config_age_ms", g.configAge().Milliseconds())
			},
		})
		tasks.Go(func() {
			g.awaitRelay(ctx)
			syncer.Run(ctx)
		})
	}
	tasks.Go(func() { g.maintainRegistration(ctx) })
	tasks.Go(func() { g.restoreUsage(ctx) })
	tasks.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-g.clock.After(pruneInterval):
				g.conns.Prune()
			}
		}
	})
}

// tellUntil passes on a message unless the control goroutine is ending.
func (g *Gateway) enqueueContext(ctx context.Context, m message) {
	select {
	case g.control.inbox <- m:
	case <-ctx.Done():
	}
}

// shutdown goes on serving until callers are sent elsewhere, and then finishes
// what is held.
func (g *Gateway) drain(callerServer *http.Server) {
	started := g.now()
	g.stopping.Store(true)
	g.log.Info("stopping", "held", g.inFlight.Load(), "grace_ms", g.settings.Bounds.StopGrace().Milliseconds())
	end := g.settings.Bounds.StopGrace() - killMargin
	<-g.clock.After(min(seconds(g.settings.Bounds.LeaveNoticeS), end/2))
	ctx, cancel := context.WithTimeout(context.Background(), end-(g.now()-started))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		g.log.Info("requests are cut off at the end of the grace time", "held", g.inFlight.Load(), "error", err.Error())
	}
}

func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", g.serveMetrics)
	return mux
}

// Reload notes new settings. Addresses stay as they are until a restart, since
// open connections belong to them.
func (g *Gateway) Reload(settings Settings) {
	changed := fmt.Sprintf("%+v", settings) != fmt.Sprintf("%+v", g.settings)
	g.log.Info("settings read again", "changed", changed, "effect", "at the next start")
}
