package conf

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// FetchRequest asks a peer for configuration objects.
type FetchRequest struct {
	// Known lists the requester's objects without bodies. If it is not empty,
	// the peer compares it with its cache and returns what the requester lacks.
	Known []Object
	// After limits the reply to objects with a higher version.
	After uint64
}

// FetchReply is one page of the reply to a FetchRequest.
type FetchReply struct {
	Objects []Object
	Usable  bool
	Digest  uint64
	// CompleteVersion is the store version at which the peer's cache is known to
	// be complete, or 0 if it has not merged a complete listing.
	CompleteVersion uint64
	// More is true when the page ends at the size limit and others follow.
	More bool
}

// ChangeNotification says that the sender's configuration has changed.
type ChangeNotification struct {
	SenderAddress string
	Digest        uint64
	NewestVersion uint64
}

// PeerTransport sends calls to other instances.
type PeerTransport interface {
	FetchConfig(ctx context.Context, address string, request FetchRequest) (FetchReply, error)
	NotifyConfig(ctx context.Context, address string, notification ChangeNotification) error
	// Addresses returns the addresses of the other live members of the failure
	// domain.
	Addresses() []string
}

// maxPageBytes stays below the limit of 4 MiB on a message between instances.
const maxPageBytes = 3 << 20

// objectOverheadBytes is added to the size of each object for its encoding.
const objectOverheadBytes = 64

// FetchPage returns one page of the reply to a peer's request. A page ends only
// between two versions, so that the requester can continue after the last
// version that it received.
func (c *Cache) FetchPage(request FetchRequest) FetchReply {
	// CompleteVersion is read before the objects, so that they are complete at
	// that version or a later one.
	completeVersion := c.CompleteVersion()
	snapshot := c.Snapshot()
	var objects []Object
	if len(request.Known) > 0 {
		objects = c.MissingFor(request.Known)
	} else {
		objects = c.ObjectsAfter(request.After)
	}
	reply := FetchReply{Usable: snapshot.Usable, Digest: snapshot.Digest, CompleteVersion: completeVersion}
	size := 0
	for i, object := range objects {
		size += len(object.Body) + len(object.Key.Kind) + len(object.Key.Name) + objectOverheadBytes
		if size > maxPageBytes && i > 0 && object.Version != objects[i-1].Version {
			reply.Objects, reply.More = objects[:i], true
			return reply
		}
	}
	reply.Objects = objects
	return reply
}

// Options are the settings and dependencies of a Syncer.
type Options struct {
	// Address is the host and port at which peers reach this instance.
	Address string
	// IsWatcher reports whether this instance is one of the members of its
	// failure domain that watch the platform.
	IsWatcher func() bool
	// OnPlatformList, if not nil, is called after each listing by a watcher with
	// whether it succeeded and when it started.
	OnPlatformList func(ctx context.Context, reached bool, started time.Time)
	// Fanout is the number of members that are notified of a change.
	Fanout int
	// BackoffMin and BackoffMax bound the delay before the platform is listed
	// again after an error.
	BackoffMin, BackoffMax time.Duration
	// RoleCheckInterval is the time between checks of IsWatcher.
	RoleCheckInterval time.Duration
	// RelistInterval is the minimum time between full listings by a watcher. Only
	// a listing recovers an event that both watchers of a domain missed.
	// RelistBytesPerSecond limits the average rate of listings and so makes the
	// interval longer for a large configuration; zero is no limit.
	RelistInterval       time.Duration
	RelistBytesPerSecond int
	// ApplyInterval is the minimum time between two merges of watch events, so
	// that a burst of changes builds few snapshots.
	ApplyInterval time.Duration
	// CallTimeout limits each call to a peer.
	CallTimeout time.Duration
	Clock       clockwork.Clock
	Random      *rand.Rand
	Log         logr.Logger
}

// Syncer keeps a cache up to date from the platform and from peers. A watcher
// lists and watches the platform; every instance pulls from peers that notify
// it of a change or whose digest differs.
type Syncer struct {
	opts  Options
	cache *Cache
	store platform.Store
	peers PeerTransport
	// fetchQueue holds the addresses of peers to pull from.
	fetchQueue chan string
	// notifications counts the notifications being sent; Run waits for them.
	notifications sync.WaitGroup

	mu sync.Mutex
	// queuedPeers holds the addresses in fetchQueue.
	queuedPeers map[string]bool
	// unresolved holds, by peer, the pair of digests that still differed after
	// the newer objects had been fetched.
	unresolved map[string]digestPair
}

// digestPair holds the configuration digests of this instance and of a peer.
type digestPair struct{ own, peer uint64 }

// maxQueuedFetches bounds fetchQueue. A peer that does not fit is queued again
// when the digest in a later ping still differs.
const maxQueuedFetches = 64

// NewSyncer returns a syncer that does nothing until Run is called.
func NewSyncer(cache *Cache, store platform.Store, peers PeerTransport, opts Options) *Syncer {
	return &Syncer{
		opts: opts, cache: cache, store: store, peers: peers,
		fetchQueue:  make(chan string, maxQueuedFetches),
		queuedPeers: map[string]bool{},
		unresolved:  map[string]digestPair{},
	}
}

// HandleFetch serves FetchConfig for a peer.
func (s *Syncer) HandleFetch(request FetchRequest) FetchReply { return s.cache.FetchPage(request) }

// HandleNotify handles NotifyConfig. It queues a pull from the sender unless
// the configuration of this instance is usable and has the same digest or a newer
// version; digests in pings reveal differences that remain.
func (s *Syncer) HandleNotify(notification ChangeNotification) {
	snapshot := s.cache.Snapshot()
	upToDate := notification.Digest == snapshot.Digest || notification.NewestVersion < snapshot.NewestVersion
	if snapshot.Usable && upToDate {
		return
	}
	s.enqueueFetch(notification.SenderAddress)
}

// HandleDigest handles the digest in a ping or its reply: it queues a pull from
// the peer if the digests differ or the configuration of this instance is not usable.
func (s *Syncer) HandleDigest(address string, digest uint64) {
	snapshot := s.cache.Snapshot()
	if digest != snapshot.Digest || !snapshot.Usable {
		s.enqueueFetch(address)
	}
}

// enqueueFetch queues a pull from a peer; a full queue drops it.
func (s *Syncer) enqueueFetch(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedPeers[address] {
		return
	}
	select {
	case s.fetchQueue <- address:
		s.queuedPeers[address] = true
	default:
	}
}

// PullFrom fetches from one peer the objects that this instance lacks and, if
// that changed the cache, notifies other members.
func (s *Syncer) PullFrom(ctx context.Context, address string) error {
	var changed bool
	var err error
	if s.cache.Snapshot().Usable {
		changed, err = s.fetchDelta(ctx, address)
	} else {
		changed, err = s.fetchAll(ctx, address)
	}
	if changed {
		s.notify(ctx)
	}
	return err
}

// fetchAll fetches the whole configuration and merges it after the last page
// has arrived, so that a partial configuration never becomes usable.
func (s *Syncer) fetchAll(ctx context.Context, address string) (bool, error) {
	objects, first, err := s.fetchPages(ctx, address, FetchRequest{}, nil)
	if err != nil {
		return false, err
	}
	if !first.Usable {
		return s.cache.Merge(objects, false), nil
	}
	return s.cache.MergeListing(objects, first.CompleteVersion, true), nil
}

// fetchDelta fetches the objects that are newer than the newest one known. If
// that does not resolve a difference between the digests, it compares the
// versions of all objects.
func (s *Syncer) fetchDelta(ctx context.Context, address string) (bool, error) {
	request := FetchRequest{After: s.cache.Snapshot().NewestVersion}
	objects, reply, err := s.fetchPages(ctx, address, request, nil)
	if err != nil {
		return false, err
	}
	changed := s.cache.Merge(objects, false)
	if !s.needsFullComparison(address, reply.Digest) {
		return changed, nil
	}
	known := s.cache.KnownVersions()
	objects, _, err = s.fetchPages(ctx, address, FetchRequest{Known: known}, known)
	if err != nil {
		return changed, err
	}
	return s.cache.Merge(objects, false) || changed, nil
}

// needsFullComparison reports whether the digests of this instance and the peer
// differ from each other and neither has changed since the last pull from this
// peer. The list of all versions is large and is sent only then, because most
// differences disappear while a change spreads.
func (s *Syncer) needsFullComparison(address string, digest uint64) bool {
	pair := digestPair{own: s.cache.Snapshot().Digest, peer: digest}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pair.own == pair.peer {
		delete(s.unresolved, address)
		return false
	}
	if s.unresolved[address] != pair {
		s.unresolved[address] = pair
		return false
	}
	delete(s.unresolved, address)
	return true
}

// fetchPages fetches all pages. It returns their objects and the first page,
// whose CompleteVersion is valid for all of them.
func (s *Syncer) fetchPages(ctx context.Context, address string, request FetchRequest, known []Object) ([]Object, FetchReply, error) {
	var objects []Object
	var first FetchReply
	for page := 0; ; page++ {
		callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
		reply, err := s.peers.FetchConfig(callCtx, address, request)
		cancel()
		if err != nil {
			return nil, FetchReply{}, err
		}
		if page == 0 {
			first = reply
		}
		objects = append(objects, reply.Objects...)
		if !reply.More || len(reply.Objects) == 0 {
			return objects, first, nil
		}
		if known != nil {
			request.Known = append(request.Known, reply.Objects...)
		} else {
			request.After = reply.Objects[len(reply.Objects)-1].Version
		}
	}
}

// notify sends a change notification to a random set of members.
func (s *Syncer) notify(ctx context.Context) {
	snapshot := s.cache.Snapshot()
	notification := ChangeNotification{SenderAddress: s.opts.Address, Digest: snapshot.Digest, NewestVersion: snapshot.NewestVersion}
	addresses := append([]string(nil), s.peers.Addresses()...)
	s.mu.Lock()
	s.opts.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Unlock()
	for _, address := range addresses[:min(s.opts.Fanout, len(addresses))] {
		s.notifications.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
			defer cancel()
			if err := s.peers.NotifyConfig(callCtx, address, notification); err != nil {
				s.opts.Log.V(1).Info("notification of a configuration change failed", "peer", address, "error", err.Error())
			}
		})
	}
}

// Run keeps the cache up to date until ctx ends. It returns when all goroutines
// of the syncer have ended.
func (s *Syncer) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { s.runFetchQueue(ctx) })
	workers.Go(func() { s.watchPlatform(ctx) })
	workers.Wait()
	s.notifications.Wait()
}

func (s *Syncer) runFetchQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.fetchQueue:
			s.mu.Lock()
			delete(s.queuedPeers, address)
			s.mu.Unlock()
			if err := s.PullFrom(ctx, address); err != nil {
				s.opts.Log.V(1).Info("fetching configuration failed", "peer", address, "error", err.Error())
			}
		}
	}
}
