package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/drain"
	"github.com/rosemarywing/rosemarywing/pkg/listen"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// Times of the store watch, the start and the shutdown.
const (
	// storeWatchWait is how long a watch of the store waits for a change. It bounds
	// the age of a copy and the time in which a dead connection goes unnoticed.
	storeWatchWait = 700 * time.Millisecond
	// relayWatchWait is how long a watch of a relay's copy waits for a change.
	relayWatchWait = 400 * time.Millisecond
	// relayFailoverTime is the time in which another instance replaces a relay that
	// cannot read the store: two reports and a list call.
	relayFailoverTime = 300 * time.Millisecond
	// relayMaxCopyAge is the age above which the relay of a failure domain no longer
	// uses the copy of the store that it reads from another relay, and reads the store
	// itself. It covers the longest way of a copy, from the relay that reads the store
	// through the relay of another failure domain to its followers, which takes a watch
	// of the store and two relay watches; further an unanswered watch, and the failover
	// of a relay.
	relayMaxCopyAge = storeWatchWait + 2*relayWatchWait + storeWatchWait + watchMargin + relayFailoverTime
	// followerMaxCopyAge is the same limit for the instances that read copies from the
	// relay of their own failure domain. It is longer, so that this relay tries the
	// store first.
	followerMaxCopyAge = relayMaxCopyAge + relayWatchWait
	// directRetryInterval is the time between two attempts to reach the store
	// directly while the relay cannot reach it. It doubles while the store fails,
	// since the store is then down for all instances.
	directRetryInterval    = 3 * time.Second
	maxDirectRetryInterval = 4 * directRetryInterval
	// upstreamDeletionGrace is the time within which upstreams renew their records
	// that expired during an outage of the store.
	upstreamDeletionGrace = 2 * time.Second
	// orderReturnGrace is the time within which the operator writes orders again that the
	// store has lost by returning from an older copy. Until then they stay in force, and
	// upstreams of versions that were not used before wait.
	orderReturnGrace = 10 * time.Second
	// watchMargin is the time allowed for the answer after a watch's wait. A
	// store that is 100 times slower than its usual 4 ms still answers in time.
	watchMargin = 500 * time.Millisecond
	listTimeout = 1500 * time.Millisecond
	// killMargin is the time between the end of the drain and SIGKILL.
	killMargin = 500 * time.Millisecond
	// abortTimeout bounds the time in which the requests that are aborted at the end of the
	// grace time are answered. It is part of killMargin.
	abortTimeout = 150 * time.Millisecond
	// stopAnnounceTimeout bounds the sending of the last report to the peers.
	stopAnnounceTimeout = 100 * time.Millisecond
	// pruneInterval is the time between two removals of expired idle connections.
	pruneInterval = time.Second
	// callerIdleTimeout is how long callers may keep idle connections open.
	callerIdleTimeout = time.Minute
	// readHeaderTimeout bounds the time in which a request's headers must arrive.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Settings of the listen addresses, for errors.
const (
	settingListenCallers = "[listen] callers"
	settingListenReady   = "[listen] ready"
	settingListenPeers   = "[listen] peers"
	settingListenAdmin   = "[listen] admin"
)

// internalServer is a server for others than callers.
type internalServer struct {
	setting, address string
	server           *http.Server
}

func listenForCallers(address string) (*drain.Listener, error) {
	return drain.Listen("tcp4", address, 0)
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// Run serves until the context ends. It then drains the requests in flight within
// the grace time and returns. It returns earlier if a listener or server fails.
func (g *Gateway) Run(ctx context.Context) error {
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer g.endGrace()
	callerServer := &http.Server{Handler: g.Handler(), ConnContext: withCallerConn, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	internalServers := []internalServer{
		{settingListenReady, g.settings.Listen.Ready, &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: readHeaderTimeout}},
		{settingListenAdmin, g.settings.Listen.Admin, &http.Server{Handler: g.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}},
	}
	failures := make(chan error, len(internalServers)+2)
	var tasks sync.WaitGroup
	g.startTasks(tasksCtx, &tasks)
	serveOn := func(server *http.Server, listener net.Listener) {
		tasks.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failures <- err
			}
		})
	}
	binder := listen.Binder{Log: g.log}
	peerListener, err := listen.Bind(ctx, binder, settingListenPeers, g.settings.Listen.Peers, listenTCP)
	if err != nil {
		return err
	}
	tasks.Go(func() {
		if err := g.servePeers(tasksCtx, peerListener); err != nil && tasksCtx.Err() == nil {
			failures <- err
		}
	})
	callers, err := listen.Bind(ctx, binder, settingListenCallers, g.settings.Listen.Callers, listenForCallers)
	if err == nil {
		callers.Attach(callerServer)
		serveOn(callerServer, callers)
	}
	for _, internal := range internalServers {
		var listener net.Listener
		if err == nil {
			if listener, err = listen.Bind(ctx, binder, internal.setting, internal.address, listenTCP); err == nil {
				serveOn(internal.server, listener)
			}
		}
	}
	if err == nil {
		g.log.Info("started", "domain", g.settings.Instance.Domain,
			"callers", g.settings.Listen.Callers, "store", g.settings.Store.Address, "capacity", g.capacity())
		select {
		case <-ctx.Done():
			g.drain(callers)
		case err = <-failures:
		}
	}
	g.announceStop(tasksCtx)
	stop()
	_ = callerServer.Close()
	for _, internal := range internalServers {
		_ = internal.server.Close()
	}
	if closeErr := g.socket.Close(); closeErr != nil {
		g.log.Error(closeErr, "close the peer socket")
	}
	tasks.Wait()
	g.log.Info("stopped", "held", g.inFlight.Load())
	return err
}

// announceStop tells the peers that this instance has stopped, so that they can
// use its share of quotas and upstreams.
func (g *Gateway) announceStop(ctx context.Context) {
	done := make(chan struct{})
	g.enqueueContext(ctx, announceStopMsg{done: done})
	select {
	case <-done:
	case <-g.clock.After(stopAnnounceTimeout):
	}
}

func (g *Gateway) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	start := func(name string, task func()) {
		tasks.Go(func() { g.supervise(ctx, name, task) })
	}
	start("control loop", func() { g.control.run(ctx) })
	start("receiver of reports", func() {
		g.socket.Receive(
			func(datagram loadshare.Datagram) { g.enqueueContext(ctx, peerReportMsg{datagram: datagram}) },
			func(err error) {
				g.metrics.reportsMalformed.Inc(1)
				g.log.V(1).Info("datagram ignored", "error", err.Error())
			})
	})
	for kind := range g.storeCopies {
		returnGrace := upstreamDeletionGrace
		if kind == g.objectKinds.Rollouts {
			returnGrace = orderReturnGrace
		}
		syncer := storesync.New(storesync.Options{
			Store: g.store, Relay: g.currentRelay, Copy: g.storeCopies[kind], Kind: kind,
			StoreWatchWait: storeWatchWait, RelayWatchWait: relayWatchWait, WatchMargin: watchMargin, ListTimeout: listTimeout,
			MaxRelayAge: g.maxRelayAge, DirectRetryInterval: directRetryInterval, MaxDirectRetryInterval: maxDirectRetryInterval, DeletionGrace: upstreamDeletionGrace, ReturnGrace: returnGrace,
			Now: g.now, Clock: g.clock, Log: g.log,
			OnUpdate: func(update storesync.Update) { g.enqueueContext(ctx, storeUpdateMsg{update: update}) },
			OnStoreCall: func(err error) {
				if err != nil {
					g.storeFailedAt.Store(int64(g.now()))
				} else {
					g.storeFailedAt.Store(0)
				}
			},
			OnStoreFailure: func(kind string, err error) {
				g.log.Info("dependency lost", "dependency", "store", "kind", kind, "error", err.Error(), "config_age_ms", g.configAge().Milliseconds())
			},
		})
		start("copy of "+kind, func() {
			g.awaitRelay(ctx)
			syncer.Run(ctx)
		})
	}
	start("registration", func() { g.maintainRegistration(ctx) })
	start("restoring the quota usage", func() { g.restoreUsage(ctx) })
	start("pruning connections", func() {
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

// enqueueContext passes a message to the control loop, or drops it when ctx ends.
func (g *Gateway) enqueueContext(ctx context.Context, m message) {
	select {
	case g.control.inbox <- m:
	case <-ctx.Done():
	}
}

// drain reports not ready, accepts connections until the load balancer has had time to
// notice, and then waits for the requests in flight. It aborts those that are still there
// at the end of the grace time.
func (g *Gateway) drain(callers *drain.Listener) {
	grace := g.settings.Bounds.StopGrace() - killMargin
	notice := min(seconds(g.settings.Bounds.LeaveNoticeSeconds), grace/2)
	started := g.now()
	g.stop.Store(&stopPlan{noticeEnd: started + notice - signalDelay, end: started + grace})
	callers.Announce()
	g.log.Info("stopping", "held", g.inFlight.Load(), "grace_ms", g.settings.Bounds.StopGrace().Milliseconds())
	<-g.clock.After(notice)
	ctx, cancel := context.WithTimeout(context.Background(), grace-(g.now()-started))
	defer cancel()
	err := callers.Drain(ctx)
	if err == nil {
		return
	}
	if held := g.inFlight.Load(); held > 0 {
		g.log.Info("grace time over, requests in flight are aborted", "held", held, "error", err.Error())
	}
	g.logHeld()
	callers.LogOpen(g.log)
	g.endGrace()
	// Requests without an answer get one that says whether they may have run.
	lastAnswers, cancelLast := context.WithTimeout(context.Background(), abortTimeout)
	defer cancelLast()
	if err := callers.Drain(lastAnswers); err != nil {
		g.log.Info("connections are closed with the process", "held", g.inFlight.Load(), "error", err.Error())
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
	mux.HandleFunc("GET /placement", g.servePlacementPreview)
	return mux
}

// Reload logs whether the settings have changed. They take effect at the next
// start, since open connections depend on the addresses.
func (g *Gateway) Reload(settings Settings) {
	changed := fmt.Sprintf("%+v", settings) != fmt.Sprintf("%+v", g.settings)
	g.log.Info("settings read again", "changed", changed, "effect", "at the next start")
}
