// Package gateway serves callers by the operator's routes: it finds the route
// and the team of a request, waits for an upstream with room, sends the request
// there at most as often as its kind allows, and returns the whole answer.
package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/boottime"
	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// Options are what a Gateway is made of.
type Options struct {
	Settings Settings
	Store    storesync.Store
	Protocol Protocol
	Records  Records
	Kinds    Kinds
	Log      logr.Logger
	Clock    clockwork.Clock
	// Now is the clock of all ages and time limits; it must go on while the
	// machine is suspended. boottime.Now if nil.
	Now func() time.Duration
}

// Gateway is one instance.
type Gateway struct {
	settings   Settings
	store      storesync.Store
	protocol   Protocol
	records    Records
	kinds      Kinds
	log        logr.Logger
	requestLog *requestLog
	clock      clockwork.Clock
	now        func() time.Duration
	bootID     int64
	socket     *loadshare.Socket
	conns      *connpool.Pool
	metrics    *instanceMetrics
	control    *controlLoop
	// table is the configuration in force; nil until the first is known.
	table atomic.Pointer[traffic.Table]
	// asOf is the time, on the clock of now, at which the configuration in
	// force was still the newest.
	configCurrentAt atomic.Int64
	stopping        atomic.Bool
	// storeFailed is the time of the last call to the store that failed; 0 if one
	// has succeeded since.
	storeFailedAt atomic.Int64
	// lead is the address of the instance whose copies of the store this one
	// follows; empty if this one reads the store itself.
	relayAddress atomic.Value
	// isRelay is true if this instance acts for its failure domain.
	isRelay atomic.Bool
	// isFirst is true if no known instance would lead in place of this one.
	hasTopRank atomic.Bool
	// copies are what the instances that follow this one get.
	storeCopies map[string]*storesync.Copy
	// joined is closed after the first try to read the instance list.
	instancesListed     chan struct{}
	instancesListedOnce sync.Once
	dialer              *peer.Dialer
	traffic             *peer.Traffic
	// instances is the number of known instances, this one included.
	instanceCount  atomic.Int64
	callerTimeouts callerTimeouts
	// held counts the requests that are held.
	inFlight       atomic.Int64
	lastRequestKey atomic.Uint64
}

// Limits on what an instance holds, by what its settings allow.
const (
	// descriptorsPerRequest are the caller's connection and the upstream's.
	descriptorsPerRequest = 2
	// reservedDescriptors are left for files, the store and listeners.
	reservedDescriptors = 300
	// memoryPerRequestMiB covers a body, the buffers of two connections and
	// two goroutines.
	memoryPerRequestMiB = 0.1
	// memoryForRequests is the part of the memory that requests may take.
	requestMemoryShare     = 0.5
	dialTimeout            = 400 * time.Millisecond
	upstreamSilenceTimeout = 2 * time.Second
	maxIdlePerUpstream     = 8
)

// New returns an instance that listens to its peers but not yet to callers.
func New(opts Options) (*Gateway, error) {
	socket, err := loadshare.Listen(opts.Settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	if opts.Now == nil {
		opts.Now = boottime.Now
	}
	opts.Log = opts.Log.WithValues("instance", opts.Settings.Instance.Name)
	registry := metrics.NewRegistry()
	g := &Gateway{
		settings: opts.Settings, store: opts.Store, protocol: opts.Protocol, records: opts.Records, kinds: opts.Kinds,
		log: opts.Log, requestLog: newRequestLog(opts.Log), clock: opts.Clock, now: opts.Now,
		bootID: opts.Clock.Now().UnixNano(), socket: socket,
		conns: connpool.NewPool(connpool.Options{
			DialTimeout: dialTimeout, Silence: upstreamSilenceTimeout, MaxIdle: maxIdlePerUpstream, Clock: opts.Clock,
		}),
		metrics: newInstanceMetrics(registry), traffic: peer.NewTraffic(registry),
		storeCopies: map[string]*storesync.Copy{}, instancesListed: make(chan struct{}),
	}
	// No freshness is shown before the first answer of the store.
	g.configCurrentAt.Store(int64(g.now() - time.Hour))
	for _, kind := range []string{g.kinds.Config, g.kinds.Upstreams} {
		g.storeCopies[kind] = storesync.NewCopy(g.now)
	}
	g.dialer = peer.NewDialer(peer.DialerOptions{DialTimeout: dialTimeout, CallTimeout: listTimeout, Traffic: g.traffic})
	g.control = newControlLoop(g)
	return g, nil
}

// power is the percentage of a core that the instance may use.
func (g *Gateway) cpuPercent() uint16 {
	return clampTo[uint16](int(g.settings.Limits.ProcessorShare * percent))
}

// capacity is the number of requests that may be held at once.
func (g *Gateway) capacity() int64 {
	byDescriptors := (g.settings.Limits.Descriptors - reservedDescriptors) / descriptorsPerRequest
	byMemory := float64(g.settings.Limits.MemoryMiB) * requestMemoryShare / memoryPerRequestMiB
	return int64(max(1, min(float64(byDescriptors), byMemory)))
}

// tell passes a message to the control goroutine.
func (g *Gateway) enqueue(m message) { g.control.inbox <- m }

// configAge is the time since the configuration in force was known to be the
// newest.
func (g *Gateway) configAge() time.Duration { return g.now() - time.Duration(g.configCurrentAt.Load()) }

// failingFor is how long an instance whose calls to the store fail leaves reading
// it to others before it may try again in their place.
const storeFailureHold = 10 * time.Second

// storeFails reports whether others should read the store instead.
func (g *Gateway) storeFailing(now time.Duration) bool {
	failedAt := time.Duration(g.storeFailedAt.Load())
	return failedAt > 0 && now-failedAt < storeFailureHold
}

// freshMargin covers the time between the check of the configuration's age and
// the first byte to an upstream.
const configFreshMargin = 400 * time.Millisecond

// fresh reports whether the configuration shows which keys are valid.
func (g *Gateway) configFresh() bool {
	return g.configAge() <= g.settings.Bounds.ConfigFresh()-configFreshMargin
}

// ready reports whether callers should be sent here.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.configFresh()
}

// Handler serves callers.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r) })
}
