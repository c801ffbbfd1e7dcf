// Package gateway implements a gateway instance. For each request it finds the
// route and the team, waits for an upstream with room, sends the request, with
// retries only as the kind of the route allows, and forwards the answer.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/rosemarywing/rosemarywing/pkg/boottime"
	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/listen"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/poison"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Settings      Settings
	Store         storesync.Store
	HeaderCodec   HeaderCodec
	RecordDecoder RecordDecoder
	// RolloutCodec may be nil if the settings turn roll-outs off.
	RolloutCodec RolloutCodec
	ObjectKinds  ObjectKinds
	Log          logr.Logger
	Clock        clockwork.Clock
	// Now is the monotonic clock of all ages and time limits. It must advance
	// while the machine is suspended. The default is boottime.Now.
	Now func() time.Duration
}

// Gateway is one gateway instance.
type Gateway struct {
	settings        Settings
	store           *storesync.Fenced
	headerCodec     HeaderCodec
	recordDecoder   RecordDecoder
	rolloutCodec    RolloutCodec
	objectKinds     ObjectKinds
	log             logr.Logger
	requestLog      *requestLog
	panicLogs       *rate.Limiter
	clock           clockwork.Clock
	now             func() time.Duration
	startedUnixNano int64
	socket          *loadshare.Socket
	conns           *connpool.Pool
	// answerMemory is the memory for what is held of upstreams' answers.
	answerMemory *membudget.Budget
	// bodyMemory is the memory for the bodies of requests in progress beyond freeBodyBytes of
	// each, of bodyMemoryBytes.
	bodyMemory      *membudget.Budget
	bodyMemoryBytes int64
	metrics         *instanceMetrics
	control         *controlLoop
	// table is the configuration in force; nil until the first one is read.
	table atomic.Pointer[traffic.Table]
	// configCurrentAt is the last time, on the clock Options.Now, at which the
	// configuration in force was known to be the newest.
	configCurrentAt atomic.Int64
	// stop is the plan of the stop in progress; nil while there is none.
	stop atomic.Pointer[stopPlan]
	// graceOver is cancelled, by endGrace, when the requests in progress of a stop are
	// aborted.
	graceOver      context.Context
	endGrace       context.CancelFunc
	routeDurations routeDurations
	// storeFailedAt is the time of the last failed call to the store; 0 if a call
	// has succeeded since.
	storeFailedAt atomic.Int64
	// relayAddress is the address of the relay from which this instance reads
	// copies of the store; empty if it reads the store itself.
	relayAddress atomic.Value
	// isRelay is true if this instance is the relay of its failure domain: it
	// serves the store copies and sends the remote reports for the other instances.
	isRelay atomic.Bool
	// isHighestRanked is true if no known instance takes precedence over this one in
	// reading the store.
	isHighestRanked atomic.Bool
	// storeCopies holds, by object kind, the copies that this instance serves to
	// its followers.
	storeCopies  map[string]*storesync.Copy
	usageRecords *usageRecords
	// instancesListed is closed after the first attempt to read the instance list.
	instancesListed     chan struct{}
	instancesListedOnce sync.Once
	// storeReturned holds an element if the store has returned from an older copy since the
	// own record was last looked for.
	storeReturned chan struct{}
	dialer        *peer.Dialer
	traffic       *peer.Traffic
	// instanceCount is the number of known instances, including this one.
	instanceCount  atomic.Int64
	callerTimeouts callerTimeouts
	// inFlight counts the requests being served, including queued ones.
	inFlight atomic.Int64
	// exchanges holds the requests being served.
	exchanges      sync.Map
	lastRequestKey atomic.Uint64
	// loaded is closed once the configuration, the upstreams and the orders were read.
	loaded chan struct{}
	// rolloutsKnown is true once the orders to move services to other versions were read.
	rolloutsKnown atomic.Bool
	// watchedFingerprints holds what poison.Detector.Watched returned last.
	watchedFingerprints atomic.Pointer[map[poison.Fingerprint]struct{}]
	// upstreamLimits holds the learned limits by upstream; nil if limits are not learned.
	upstreamLimits atomic.Pointer[map[string]int]
}

// Limits that are derived from the settings of the instance, and limits of its
// connections to upstreams.
const (
	// descriptorsPerRequest covers the connections to the caller and to the
	// upstream.
	descriptorsPerRequest = 2
	// reservedDescriptors are kept free for files, the store and listeners.
	reservedDescriptors = 300
	// memoryPerRequestMiB covers a body, the buffers of two connections and
	// two goroutines.
	memoryPerRequestMiB = 0.1
	// requestMemoryShare is the part of the memory that requests may use.
	requestMemoryShare = 0.5
	// answerMemoryShare is the part of the memory for what is held of upstreams' answers
	// beyond firstAnswerBytes of each.
	answerMemoryShare = 0.125
	// bodyMemoryShare is the part of the memory for the bodies of requests beyond
	// freeBodyBytes of each. A body is copied once more while it is sent.
	bodyMemoryShare    = 0.125
	dialTimeout        = 400 * time.Millisecond
	upstreamAckTimeout = 2 * time.Second
	maxIdlePerUpstream = 8
)

// New returns an instance that has its socket for peer reports open and serves
// callers once Run is called.
func New(opts Options) (*Gateway, error) {
	socket, err := listen.Bind(context.Background(), listen.Binder{Log: opts.Log}, settingListenPeers, opts.Settings.Listen.Peers, loadshare.Listen)
	if err != nil {
		return nil, err
	}
	if opts.Now == nil {
		opts.Now = boottime.Now
	}
	opts.Log = opts.Log.WithValues("instance", opts.Settings.Instance.Name)
	registry := metrics.NewRegistry()
	store := storesync.NewFenced(opts.Store)
	g := &Gateway{
		settings: opts.Settings, store: store, headerCodec: opts.HeaderCodec, recordDecoder: opts.RecordDecoder, rolloutCodec: opts.RolloutCodec, objectKinds: opts.ObjectKinds,
		log: opts.Log, requestLog: newRequestLog(opts.Log), panicLogs: newPanicLimiter(), clock: opts.Clock, now: opts.Now,
		startedUnixNano: opts.Clock.Now().UnixNano(), socket: socket,
		conns: connpool.NewPool(connpool.Options{
			DialTimeout: dialTimeout, AckTimeout: upstreamAckTimeout, MaxIdle: maxIdlePerUpstream, Clock: opts.Clock,
		}),
		answerMemory: membudget.New(int64(float64(opts.Settings.Limits.MemoryMiB<<20) * answerMemoryShare)),
		metrics:      newInstanceMetrics(registry), traffic: peer.NewTraffic(registry),
		storeCopies:  map[string]*storesync.Copy{},
		usageRecords: &usageRecords{store: store, kind: opts.ObjectKinds.Usage, now: opts.Now}, instancesListed: make(chan struct{}), loaded: make(chan struct{}),
		storeReturned: make(chan struct{}, 1),
	}
	g.bodyMemoryBytes = int64(float64(opts.Settings.Limits.MemoryMiB<<20) * bodyMemoryShare)
	g.bodyMemory = membudget.New(g.bodyMemoryBytes)
	g.graceOver, g.endGrace = context.WithCancel(context.Background())
	// The configuration counts as outdated until the store has answered.
	g.configCurrentAt.Store(int64(g.now() - time.Hour))
	kinds := []string{g.objectKinds.Config, g.objectKinds.Upstreams}
	if g.rolloutsEnabled() {
		kinds = append(kinds, g.objectKinds.Rollouts)
	}
	for _, kind := range kinds {
		g.storeCopies[kind] = storesync.NewCopy(g.now)
	}
	g.dialer = peer.NewDialer(peer.DialerOptions{DialTimeout: dialTimeout, CallTimeout: listTimeout, Traffic: g.traffic})
	g.control = newControlLoop(g)
	return g, nil
}

// cpuPercent returns the percentage of a core that the instance may use.
func (g *Gateway) cpuPercent() uint16 {
	return clampTo[uint16](int(g.settings.Limits.ProcessorShare * percent))
}

// capacity returns the number of requests that may be in flight at once.
func (g *Gateway) capacity() int64 {
	byDescriptors := (g.settings.Limits.Descriptors - reservedDescriptors) / descriptorsPerRequest
	byMemory := float64(g.settings.Limits.MemoryMiB) * requestMemoryShare / memoryPerRequestMiB
	return int64(max(1, min(float64(byDescriptors), byMemory)))
}

// enqueue passes a message to the control loop.
func (g *Gateway) enqueue(m message) { g.control.inbox <- m }

// configAge returns the time since the configuration in force was last known to
// be the newest.
func (g *Gateway) configAge() time.Duration { return g.now() - time.Duration(g.configCurrentAt.Load()) }

// storeFailureHold is how long an instance counts as failing after a failed call
// to the store, so that other instances read the store in its place.
const storeFailureHold = 10 * time.Second

// storeFailing reports whether other instances should read the store in place of
// this one.
func (g *Gateway) storeFailing(now time.Duration) bool {
	failedAt := time.Duration(g.storeFailedAt.Load())
	return failedAt > 0 && now-failedAt < storeFailureHold
}

// configFreshMargin covers the time between the check of the configuration's age
// and the sending of the first byte to an upstream.
const configFreshMargin = 400 * time.Millisecond

// configFresh reports whether the configuration is recent enough to decide which
// keys are valid.
func (g *Gateway) configFresh() bool {
	return g.configAge() <= g.settings.Bounds.ConfigFresh()-configFreshMargin
}

// ready reports whether the load balancer should route callers to this instance.
func (g *Gateway) ready() bool {
	return g.stop.Load() == nil && g.isLoaded() && g.configFresh()
}

// isLoaded reports whether the instance has read what it needs to place requests.
func (g *Gateway) isLoaded() bool {
	select {
	case <-g.loaded:
		return true
	default:
		return false
	}
}

// Handler returns the handler for callers' requests.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r) })
}
