package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/order"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const (
	// watchersPerDomain is the number of instances per failure domain that watch
	// the platform. With two, the loss of one does not interrupt the watch.
	watchersPerDomain = 2
	// instanceListInterval is the time between two reads of the platform's
	// instance list by the list reader of a failure domain. Only the list shows
	// that an upstream of type service is leaving. Six domains cause 1.2 calls/s.
	instanceListInterval = 5 * time.Second
	// instanceListMaxAge is the age at which other members read the list again,
	// for the addresses of other domains. A list of 960 entries of 137 B costs
	// 0.44 KB/s.
	instanceListMaxAge = 5 * time.Minute
	// leavingReportInterval is the time between two reports of the list reader to
	// the other members while the set of leaving upstreams does not change.
	leavingReportInterval = 30 * time.Second

	peerDialTimeout = time.Second
	peerCallTimeout = 2 * time.Second
	// holderQueryTimeout limits the query to the holder of a claim. It is below
	// peerCallTimeout, so that the instance that asks the holder can answer its
	// own caller in time.
	holderQueryTimeout = time.Second

	// maxClaims and maxEndedAttempts bound the claim tables. At 5.3 requests/s,
	// claimRetention covers 19,000 requests.
	maxClaims        = 50_000
	maxEndedAttempts = 50_000
	// claimRetention is the time for which a request that is sent again under the
	// same ID or key is recognized.
	claimRetention = time.Hour

	janitorInterval = 5 * time.Minute
	// janitorDeleteInterval limits the deletion of claims to 20 writes/s per domain.
	janitorDeleteInterval = 50 * time.Millisecond

	notifyFanout       = 4
	platformBackoffMin = 200 * time.Millisecond
	platformBackoffMax = 2 * time.Second
	roleCheckInterval  = time.Second
	// A small configuration is listed every 3 s, so that a change whose event both
	// watchers missed is in force within 5 s. A configuration of 2 MB, the design
	// scale, is listed every 7 minutes, since each listing transfers all of it.
	configRelistInterval = 3 * time.Second
	relistBytesPerSecond = 5000
	// configApplyInterval limits the number of snapshots that a burst of changes
	// causes. It is far below the 5 s in which a change must be in force.
	configApplyInterval = 250 * time.Millisecond

	// The order lease is held by the one instance of a failure domain that sends
	// orders to the engines of the domain; an order names the models that an engine
	// must load. Each order round compares the engines with their records.
	orderLeaseDuration = 15 * time.Second
	orderRoundInterval = 3 * time.Second
	// Reading maxReadsPerRound engines every orderRoundInterval costs 2.5 KB/s.
	maxReadsPerRound  = 20
	maxOrdersPerRound = 4

	// watchIdleTimeout is the time without data after which a watch is broken.
	watchIdleTimeout = 3 * time.Second
	// A watcher that cannot reach the platform for detachDelay gives up all its
	// roles; it then probes the platform every platformProbeInterval.
	detachDelay           = time.Second
	platformProbeInterval = 10 * time.Second
)

// Rendezvous keys of the roles that members of a failure domain hold.
const (
	watcherRole    = "role/watcher"
	ordersRole     = "role/orders"
	janitorRole    = "role/claims"
	listReaderRole = "role/instances"
)

// builder creates the components and connects them.
type builder struct {
	env            Env
	address        string
	traffic        *peer.Traffic
	dialer         *peer.Dialer
	platform       *platform.Client
	directory      *directory
	cache          *conf.Cache
	syncer         *conf.Syncer
	members        *member.Runner
	claims         *claim.Node
	upstreamClient *upstream.Client
	poolServer     *pool.Server
	poolClient     *pool.EntryClient
	orders         *order.Manager
	peerServer     *peer.Server
	// platformLostSince is the start of the first failed listing since the
	// platform was last reached, or zero. Only the goroutine that lists and
	// watches the platform uses it.
	platformLostSince time.Time
}

// Build creates the components of an instance that uses the platform and the
// other instances.
func Build(env Env) (Components, error) {
	if err := sched.CheckChart(); err != nil {
		return Components{}, err
	}
	b := &builder{env: env, address: env.Settings.Peer.Advertise}
	if b.address == "" {
		b.address = env.PeerListener.Addr().String()
	}
	b.buildNetwork()
	b.buildConfig()
	b.buildMembership()
	if err := b.buildClaims(); err != nil {
		return Components{}, err
	}
	b.buildScheduling()
	if err := b.buildOrders(); err != nil {
		return Components{}, err
	}
	if err := b.buildPeerServer(); err != nil {
		return Components{}, err
	}
	return Components{
		Config: b.cache, Members: b.members, Claimer: b.claims, Pool: b.poolClient,
		Engine: b.upstreamClient, Service: b.upstreamClient,
		RequestIDOf: func(reply claim.Reply) string { return reply.RequestID },
		IsIssuedID:  func(identity string) bool { _, ok := claim.ParseID(identity); return ok },
		IsIssuedTo:  claim.IsIssuedTo,
		Run:         b.run,
		Leave:       b.members.Leave,
	}, nil
}

func (b *builder) buildNetwork() {
	b.traffic = peer.NewTraffic(b.env.Metrics)
	b.dialer = peer.NewDialer(peer.DialerOptions{DialTimeout: peerDialTimeout, CallTimeout: peerCallTimeout, Traffic: b.traffic})
	b.platform = platform.NewClient(platform.Options{
		BaseURL: "http://" + b.env.Settings.Platform.Address, Timeout: b.env.Settings.Platform.Timeout,
		WatchIdleTimeout: watchIdleTimeout, Registry: b.env.Metrics, Clock: b.env.Clock,
	})
	b.upstreamClient = upstream.NewClient(upstream.Options{})
	b.directory = &directory{
		platform: b.platform, domain: b.env.Settings.Instance.Domain,
		view:      func() member.View { return b.members },
		readsList: func(id string) bool { return memberHoldsRole(b.members, id, listReaderRole, 1) },
		dial:      func(address string) LeavingReporter { return b.dialer.Client(address) },
		clock:     b.env.Clock,
	}
}

// newRand returns a random source that differs between instances, incarnations
// and streams.
func (b *builder) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(hashID(b.env.Self.ID)^b.env.Self.Incarnation, stream))
}

func (b *builder) buildConfig() {
	b.cache = conf.NewCache()
	b.cache.SetLogger(b.env.Log)
	transport := &configTransport{dialer: b.dialer, directory: b.directory, syncer: func() *conf.Syncer { return b.syncer }}
	b.syncer = conf.NewSyncer(b.cache, b.platform, transport, conf.Options{
		Address:        b.address,
		IsWatcher:      func() bool { return holdsRole(b.members, watcherRole, watchersPerDomain) },
		OnPlatformList: b.handlePlatformList,
		Fanout:         notifyFanout,
		BackoffMin:     platformBackoffMin, BackoffMax: platformBackoffMax,
		RoleCheckInterval: roleCheckInterval, RelistInterval: configRelistInterval, RelistBytesPerSecond: relistBytesPerSecond, ApplyInterval: configApplyInterval,
		CallTimeout: peerCallTimeout, Clock: b.env.Clock, Random: b.newRand(1), Log: b.env.Log,
	})
}

// handlePlatformList marks this instance as detached, so that other members take
// over its roles, when listings of the platform have failed for detachDelay.
func (b *builder) handlePlatformList(ctx context.Context, reached bool, started time.Time) {
	if reached {
		b.platformLostSince = time.Time{}
		b.members.SetDetached(ctx, false)
		return
	}
	if b.platformLostSince.IsZero() {
		b.platformLostSince = started
	}
	if b.env.Clock.Since(b.platformLostSince) >= detachDelay {
		b.members.SetDetached(ctx, true)
	}
}

// probePlatform checks whether a detached instance can reach the platform again.
// It reads one small object, because a listing would transfer the whole
// configuration.
func (b *builder) probePlatform(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.env.Clock.After(platformProbeInterval):
		}
		if !b.members.Self().Detached {
			continue
		}
		_, err := b.platform.Get(ctx, order.LeaseKind, b.orderLeaseName())
		if err == nil || errkind.KindOf(err) == errkind.NotFound {
			b.members.SetDetached(ctx, false)
		}
	}
}

func (b *builder) orderLeaseName() string { return "orders-" + b.env.Settings.Instance.Domain }

func (b *builder) buildMembership() {
	cfg := b.env.Settings
	adminAddress := cfg.Peer.AdvertiseAdmin
	if adminAddress == "" {
		adminAddress = cfg.Listen.Admin
	}
	b.members = member.NewRunner(member.Options{
		Self:   member.Member{ID: b.env.Self.ID, Incarnation: b.env.Self.Incarnation, Address: b.address, AdminAddress: adminAddress},
		Domain: cfg.Instance.Domain, Seeds: cfg.Peer.Seeds,
		Instances: b.directory, ListInterval: instanceListInterval,
		Dial:   func(address string) member.Transport { return b.dialer.Client(address) },
		Clock:  b.env.Clock,
		Random: b.newRand(2),
		Digest: func() uint64 { return b.cache.Snapshot().Digest },
		OnDigest: func(from member.Member, digest uint64) {
			b.syncer.HandleDigest(from.Address, digest)
		},
		Log: b.env.Log,
	})
}

func (b *builder) buildClaims() error {
	var err error
	b.claims, err = claim.New(claim.Options{
		Domain: b.env.Settings.Instance.Domain, Self: b.env.Self, Address: b.address,
		FindMember: b.directory.find,
		Dial:       func(address string) claim.Transport { return b.dialer.Client(address) },
		Store:      b.platform, Clock: b.env.Clock, HolderQueryTimeout: holderQueryTimeout,
		MaxClaims: maxClaims, MaxEndedAttempts: maxEndedAttempts, MaxAge: claimRetention, Log: b.env.Log,
	})
	return err
}

func (b *builder) buildScheduling() {
	domain := b.env.Settings.Instance.Domain
	b.poolServer = pool.NewServer(pool.ServerOptions{
		Domain: domain, View: b.members, Config: b.cache,
		NewScheduler:       b.newScheduler,
		ReadLoad:           b.readLoad,
		StrikeTargets:      b.strikeTargets,
		DialStrikeReporter: func(address string) pool.StrikeReporter { return b.dialer.Client(address) },
		Clock:              b.env.Clock, Log: b.env.Log,
	})
	b.poolClient = pool.NewClient(pool.ClientOptions{
		Domain: domain, Region: b.env.Settings.Instance.Region, View: b.members,
		LookupSchedulers: func(name string) []string {
			poolDomain, _, _ := strings.Cut(name, "/")
			return b.directory.ownerAddresses(poolDomain, name)
		},
		Dial: func(ctx context.Context, address string) (pool.Stream, error) {
			return b.dialer.Client(address).Session(ctx)
		},
		Local: b.poolServer, Clock: b.env.Clock, Log: b.env.Log,
	})
}

// newScheduler returns the scheduler of a pool. It takes the weights of teams
// from the configuration in force.
func (b *builder) newScheduler(string) sched.Scheduler {
	return sched.New(sched.Config{
		Policy: b.env.Settings.Scheduler.Policy,
		Weight: func(team string) int {
			if known := b.cache.Snapshot().Teams[team]; known != nil {
				return known.Weight
			}
			return 1
		},
		Random: b.newRand(3),
	})
}

// readLoad reads the load report of an engine. A service has no report, so that
// the scheduler relies on its own count of requests in flight. An engine or
// service is also leaving if the platform's instance list says so.
func (b *builder) readLoad(ctx context.Context, up record.Upstream) (sched.Load, error) {
	if up.Type != record.TypeEngine {
		return sched.Load{ReportedAt: b.env.Clock.Now(), Leaving: b.directory.isLeaving(up.Name)}, nil
	}
	load, err := b.upstreamClient.Load(ctx, up.Address)
	if err != nil {
		return sched.Load{}, err
	}
	return sched.Load{
		Running: load.Running, Waiting: load.Waiting, TokensInUse: load.TokensInUse,
		Leaving:     load.Leaving || b.directory.isLeaving(up.Name),
		Incarnation: load.Incarnation, LoadedModels: load.LoadedModels, ReportedAt: load.At,
	}, nil
}

// strikeTargets returns the addresses of the instances to which crash strikes are
// sent: for each pool of another domain that serves the model, the instance that
// probably schedules the pool. Crash strikes count the upstream crashes that are
// attributed to requests with the same content.
func (b *builder) strikeTargets(model string) []string {
	var addresses []string
	for name, candidate := range b.cache.Snapshot().Pools {
		if candidate.Domain == b.env.Settings.Instance.Domain || !candidate.Serves("model:"+model) {
			continue
		}
		if owners := b.directory.ownerAddresses(candidate.Domain, name); len(owners) > 0 {
			addresses = append(addresses, owners[0])
		}
	}
	return addresses
}

func (b *builder) buildOrders() error {
	domain := b.env.Settings.Instance.Domain
	lease, err := order.NewLease(order.LeaseConfig{
		Store: b.platform, Clock: b.env.Clock, Name: b.orderLeaseName(),
		Holder: b.env.Self.ID, Incarnation: b.env.Self.Incarnation, Duration: orderLeaseDuration,
	})
	if err != nil {
		return err
	}
	b.orders = order.NewManager(order.ManagerConfig{
		Domain: domain, Lease: lease, Source: b.cache,
		IsCandidate: func() bool { return holdsRole(b.members, ordersRole, 1) },
		Refresh: func(ctx context.Context) error {
			_, err := b.syncer.List(ctx)
			return err
		},
		Engines: b.upstreamClient, Clock: b.env.Clock, Log: b.env.Log,
		RoundInterval: orderRoundInterval, CallTimeout: peerCallTimeout, MaxReadsPerRound: maxReadsPerRound, MaxOrdersPerRound: maxOrdersPerRound,
	})
	return nil
}

func (b *builder) buildPeerServer() error {
	var err error
	b.peerServer, err = peer.NewServer(peer.Handlers{
		Claims: b.claims.Handler(), Members: b.members,
		Config:   configHandler{&configTransport{dialer: b.dialer, directory: b.directory, syncer: func() *conf.Syncer { return b.syncer }}},
		Sessions: b.poolServer, Strikes: b.poolServer, Leaving: b.directory,
	}, b.traffic, b.env.Log)
	return err
}

// run does the background work of all components until ctx ends.
func (b *builder) run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, work := range []func(context.Context){
		b.members.Run, b.syncer.Run, b.claims.Run, b.poolServer.Run, b.poolClient.Run, b.orders.Run, b.runClaimJanitor, b.probePlatform,
	} {
		group.Go(func() { work(ctx) })
	}
	err := b.peerServer.Serve(ctx, b.env.PeerListener)
	group.Wait()
	b.platform.Close()
	b.upstreamClient.Close()
	return errors.Join(err, b.dialer.Close())
}

// runClaimJanitor deletes old claims while this instance holds the janitor role.
func (b *builder) runClaimJanitor(ctx context.Context) {
	b.claims.RunJanitor(ctx, claim.JanitorOptions{
		Interval: janitorInterval, MaxAge: claimRetention, DeleteInterval: janitorDeleteInterval,
		IsOwner: func() bool { return holdsRole(b.members, janitorRole, 1) },
	})
}
