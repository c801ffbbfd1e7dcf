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
	// watchers is the number of instances per failure domain that watch the
	// platform. Two survive the loss of one without a gap.
	watchers = 2
	// listInterval is how often the reader of a failure domain reads the
	// platform's instance list, which is how a plain service is known to be
	// leaving: 1.2 calls/s for six domains.
	listInterval = 5 * time.Second
	// copyAge is the age at which other members read the list again, for the
	// addresses of other domains. At 137 B per entry, a list of 960 entries
	// costs 0.44 KB/s.
	copyAge = 5 * time.Minute
	// reportInterval is the time between two reports of the reader to all
	// members when nothing changes.
	reportInterval = 30 * time.Second

	peerDialTimeout = time.Second
	peerCallTimeout = 2 * time.Second
	// askTimeout is below peerCallTimeout, so that an issuer answers before its
	// asker gives up.
	askTimeout = time.Second

	// maxClaims and maxEnded bound the claim tables: at 5.3 requests/s an hour
	// of requests is 19,000.
	maxClaims = 50_000
	maxEnded  = 50_000
	// claimAge is how long a resent identity is recognized.
	claimAge = time.Hour

	janitorInterval = 5 * time.Minute
	// janitorPause bounds the deletions to 20 writes/s per domain.
	janitorPause = 50 * time.Millisecond

	notifyFanout = 4
	backoffMin   = 200 * time.Millisecond
	backoffMax   = 2 * time.Second
	roleInterval = time.Second
	// A configuration of today's size is listed every 3 s, so that an event that
	// both watchers missed is in force within 5 s. One of 2 MB, as at the target,
	// is listed every 7 minutes, since a listing moves all of it.
	relistInterval = 3 * time.Second
	relistRate     = 5000
	// applyInterval bounds the snapshots that a burst of changes causes, well
	// within the 5 s in which a change must be in force.
	applyInterval = 250 * time.Millisecond

	leaseDuration = 15 * time.Second
	orderPeriod   = 3 * time.Second
	// maxReads engines every orderPeriod cost 2.5 KB/s.
	maxReads  = 20
	maxOrders = 4

	// watchIdle is the silence after which a watch counts as broken.
	watchIdle = 3 * time.Second
	// detachAfter is how long the platform must be out of reach before an
	// instance passes its roles on; probeInterval is how often it tries again.
	detachAfter   = time.Second
	probeInterval = 10 * time.Second
)

// Keys of the roles that members share out by rendezvous order.
const (
	watcherKey = "role/watcher"
	orderKey   = "role/orders"
	janitorKey = "role/claims"
	readerKey  = "role/instances"
)

// builder holds the parts while they are assembled.
type builder struct {
	env       Env
	address   string
	traffic   *peer.Traffic
	dialer    *peer.Dialer
	platform  *platform.Client
	directory *directory
	cache     *conf.Cache
	syncer    *conf.Syncer
	members   *member.Runner
	claims    *claim.Node
	engines   *upstream.Client
	server    *pool.Server
	client    *pool.EntryClient
	orders    *order.Manager
	peers     *peer.Server
	// lostSince is when the platform was first out of reach, or zero. The
	// goroutine that follows the platform owns it.
	lostSince time.Time
}

// Build makes the parts of an instance that works with the platform and with
// other instances.
func Build(env Env) (Parts, error) {
	if err := sched.CheckChart(); err != nil {
		return Parts{}, err
	}
	b := &builder{env: env, address: env.Settings.Peer.Advertise}
	if b.address == "" {
		b.address = env.Peer.Addr().String()
	}
	b.network()
	b.configuration()
	b.membership()
	if err := b.claiming(); err != nil {
		return Parts{}, err
	}
	b.scheduling()
	if err := b.ordering(); err != nil {
		return Parts{}, err
	}
	if err := b.serving(); err != nil {
		return Parts{}, err
	}
	return Parts{
		Config: b.cache, Members: b.members, Claimer: b.claims, Pool: b.client,
		Engine: b.engines, Service: b.engines,
		RequestIDOf: func(reply claim.Reply) string { return reply.RequestID },
		IsIssued:    func(identity string) bool { _, ok := claim.ParseID(identity); return ok },
		OwnsID:      claim.Owns,
		Run:         b.run,
		Leave:       b.members.Leave,
	}, nil
}

func (b *builder) network() {
	b.traffic = peer.NewTraffic(b.env.Metrics)
	b.dialer = peer.NewDialer(peer.DialerOptions{DialTimeout: peerDialTimeout, CallTimeout: peerCallTimeout, Traffic: b.traffic})
	b.platform = platform.NewClient(platform.Options{
		BaseURL: "http://" + b.env.Settings.Platform.Address, Timeout: b.env.Settings.Platform.Timeout,
		WatchIdle: watchIdle, Registry: b.env.Metrics, Clock: b.env.Clock,
	})
	b.engines = upstream.NewClient(upstream.Options{})
	b.directory = &directory{
		platform: b.platform, domain: b.env.Settings.Instance.Domain,
		view:     func() member.View { return b.members },
		isReader: func() bool { return ownsAttached(b.members, readerKey, 1) },
		dial:     func(address string) LeavingTransport { return b.dialer.Client(address) },
		clock:    b.env.Clock,
	}
}

func (b *builder) random(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed(b.env.Self.ID)^b.env.Self.Incarnation, purpose))
}

func (b *builder) configuration() {
	b.cache = conf.NewCache()
	b.cache.SetLogger(b.env.Log)
	carrier := &exchange{dialer: b.dialer, directory: b.directory, syncer: func() *conf.Syncer { return b.syncer }}
	b.syncer = conf.NewSyncer(b.cache, b.platform, carrier, conf.Options{
		Address:        b.address,
		IsWatcher:      func() bool { return ownsAttached(b.members, watcherKey, watchers) },
		OnPlatformList: b.onPlatform,
		Fanout:         notifyFanout,
		BackoffMin:     backoffMin, BackoffMax: backoffMax,
		RoleCheckInterval: roleInterval, RelistInterval: relistInterval, RelistBytesPerSecond: relistRate, ApplyInterval: applyInterval,
		CallTimeout: peerCallTimeout, Clock: b.env.Clock, Random: b.random(1), Log: b.env.Log,
	})
}

// onPlatform passes the watcher's role on when the platform stays out of reach.
func (b *builder) onPlatform(ctx context.Context, reached bool, began time.Time) {
	if reached {
		b.lostSince = time.Time{}
		b.members.SetDetached(ctx, false)
		return
	}
	if b.lostSince.IsZero() {
		b.lostSince = began
	}
	if b.env.Clock.Since(b.lostSince) >= detachAfter {
		b.members.SetDetached(ctx, true)
	}
}

// attach tries whether a detached instance reaches the platform again. It
// reads one small object, because a listing would move the configuration.
func (b *builder) attach(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.env.Clock.After(probeInterval):
		}
		if !b.members.Self().Detached {
			continue
		}
		_, err := b.platform.Get(ctx, order.LeaseKind, b.leaseName())
		if err == nil || errkind.KindOf(err) == errkind.NotFound {
			b.members.SetDetached(ctx, false)
		}
	}
}

func (b *builder) leaseName() string { return "orders-" + b.env.Settings.Instance.Domain }

func (b *builder) membership() {
	chosen := b.env.Settings
	admin := chosen.Peer.AdvertiseAdmin
	if admin == "" {
		admin = chosen.Listen.Admin
	}
	b.members = member.NewRunner(member.Options{
		Self:   member.Member{ID: b.env.Self.ID, Incarnation: b.env.Self.Incarnation, Address: b.address, AdminAddress: admin},
		Domain: chosen.Instance.Domain, Seeds: chosen.Peer.Seeds,
		Instances: b.directory, ListInterval: listInterval,
		Dial:   func(address string) member.Transport { return b.dialer.Client(address) },
		Clock:  b.env.Clock,
		Random: b.random(2),
		Digest: func() uint64 { return b.cache.Snapshot().Digest },
		OnDigest: func(from member.Member, digest uint64) {
			b.syncer.HandleDigest(from.Address, digest)
		},
		Log: b.env.Log,
	})
}

func (b *builder) claiming() error {
	var err error
	b.claims, err = claim.New(claim.Options{
		Domain: b.env.Settings.Instance.Domain, Self: b.env.Self, Address: b.address,
		Find:  b.directory.find,
		Dial:  func(address string) claim.Transport { return b.dialer.Client(address) },
		Store: b.platform, Clock: b.env.Clock, AskTimeout: askTimeout,
		MaxClaims: maxClaims, MaxEnded: maxEnded, MaxAge: claimAge, Log: b.env.Log,
	})
	return err
}

func (b *builder) scheduling() {
	domain := b.env.Settings.Instance.Domain
	b.server = pool.NewServer(pool.ServerOptions{
		Domain: domain, View: b.members, Config: b.cache,
		NewScheduler:  b.newScheduler,
		ReadLoad:      b.readLoad,
		StrikeTargets: b.strikeTargets,
		DialStrikes:   func(address string) pool.StrikeTransport { return b.dialer.Client(address) },
		Clock:         b.env.Clock, Log: b.env.Log,
	})
	b.client = pool.NewClient(pool.ClientOptions{
		Domain: domain, Region: b.env.Settings.Instance.Region, View: b.members,
		Lookup: func(name string) []string {
			other, _, _ := strings.Cut(name, "/")
			return b.directory.addresses(other, name)
		},
		Dial: func(ctx context.Context, address string) (pool.Stream, error) {
			return b.dialer.Client(address).Session(ctx)
		},
		Local: b.server, Clock: b.env.Clock, Log: b.env.Log,
	})
}

// newScheduler returns the decision logic of a pool. Weights of teams are read
// from the configuration in force.
func (b *builder) newScheduler(string) sched.Scheduler {
	return sched.New(sched.Config{
		Policy: b.env.Settings.Scheduler.Policy,
		Weight: func(team string) int {
			if found := b.cache.Snapshot().Teams[team]; found != nil {
				return found.Weight
			}
			return 1
		},
		Random: b.random(3),
	})
}

// readLoad reads an engine's report. A plain service has none; its accounts
// are those of the scheduler. Either is leaving too when the platform says so.
func (b *builder) readLoad(ctx context.Context, up record.Upstream) (sched.Load, error) {
	if up.Type != record.TypeEngine {
		return sched.Load{ReportedAt: b.env.Clock.Now(), Leaving: b.directory.leaving(up.Name)}, nil
	}
	load, err := b.engines.Load(ctx, up.Address)
	if err != nil {
		return sched.Load{}, err
	}
	return sched.Load{
		Running: load.Running, Waiting: load.Waiting, TokensInUse: load.TokensInUse,
		Leaving:     load.Leaving || b.directory.leaving(up.Name),
		Incarnation: load.Incarnation, LoadedModels: load.LoadedModels, ReportedAt: load.At,
	}, nil
}

// strikeTargets returns the address of the likely scheduler of each pool in
// another domain that serves the model.
func (b *builder) strikeTargets(model string) []string {
	var addresses []string
	for name, found := range b.cache.Snapshot().Pools {
		if found.Domain == b.env.Settings.Instance.Domain || !found.Serves("model:"+model) {
			continue
		}
		if owners := b.directory.addresses(found.Domain, name); len(owners) > 0 {
			addresses = append(addresses, owners[0])
		}
	}
	return addresses
}

func (b *builder) ordering() error {
	domain := b.env.Settings.Instance.Domain
	lease, err := order.NewLease(order.LeaseConfig{
		Store: b.platform, Clock: b.env.Clock, Name: b.leaseName(),
		Holder: b.env.Self.ID, Incarnation: b.env.Self.Incarnation, Duration: leaseDuration,
	})
	if err != nil {
		return err
	}
	b.orders = order.NewManager(order.Config{
		Domain: domain, Lease: lease, Source: b.cache,
		IsCandidate: func() bool { return ownsAttached(b.members, orderKey, 1) },
		Refresh: func(ctx context.Context) error {
			_, err := b.syncer.List(ctx)
			return err
		},
		Engines: b.engines, Clock: b.env.Clock, Log: b.env.Log,
		Period: orderPeriod, CallTimeout: peerCallTimeout, MaxReads: maxReads, MaxOrders: maxOrders,
	})
	return nil
}

func (b *builder) serving() error {
	var err error
	b.peers, err = peer.NewServer(peer.Handlers{
		Claims: b.claims.Handler(), Members: b.members,
		Config:   exchangeHandler{&exchange{dialer: b.dialer, directory: b.directory, syncer: func() *conf.Syncer { return b.syncer }}},
		Sessions: b.server, Strikes: b.server, Leaving: b.directory,
	}, b.traffic, b.env.Log)
	return err
}

// run does the background work of all parts until ctx ends.
func (b *builder) run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, work := range []func(context.Context){
		b.members.Run, b.syncer.Run, b.claims.Run, b.server.Run, b.client.Run, b.orders.Run, b.clean, b.attach,
	} {
		group.Go(func() { work(ctx) })
	}
	err := b.peers.Serve(ctx, b.env.Peer)
	group.Wait()
	b.platform.Close()
	b.engines.Close()
	return errors.Join(err, b.dialer.Close())
}

// clean deletes old claims while this instance is in charge of it.
func (b *builder) clean(ctx context.Context) {
	b.claims.RunJanitor(ctx, claim.JanitorOptions{
		Interval: janitorInterval, MaxAge: claimAge, Pause: janitorPause,
		Owner: func() bool { return ownsAttached(b.members, janitorKey, 1) },
	})
}
