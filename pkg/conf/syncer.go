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

// FetchRequest asks a peer for objects.
type FetchRequest struct {
	// Known lists what the asker has, without bodies; if it is not empty, the
	// peer answers with what is missing.
	Known []Object
	// After asks only for objects with a version above it.
	After uint64
}

// FetchReply is one page of the answer to a FetchRequest.
type FetchReply struct {
	Objects []Object
	Usable  bool
	Digest  uint64
	// Complete is the version at which the peer's cache is complete, 0 if the
	// peer cannot tell.
	Complete uint64
	// More is true when the page was cut at the size limit.
	More bool
}

// Notice says that a peer has newer configuration.
type Notice struct {
	SenderAddress string
	Digest        uint64
	NewestVersion uint64
}

// Peers carries calls to other instances.
type Peers interface {
	FetchConfig(ctx context.Context, address string, request FetchRequest) (FetchReply, error)
	NotifyConfig(ctx context.Context, address string, notice Notice) error
	// Addresses returns the live members of the domain without this instance.
	Addresses() []string
}

// maxPageBytes is below the limit of 4 MiB on a message between instances.
const maxPageBytes = 3 << 20

// objectOverhead is an allowance for the encoding of one object.
const objectOverhead = 64

// Answer answers a peer's request with one page. A page ends only between two
// versions, so that the asker can go on after the last version that it got.
func (c *Cache) Answer(request FetchRequest) FetchReply {
	// The floor is read before the objects: they are complete at least at it.
	floor := c.Floor()
	snapshot := c.Snapshot()
	var objects []Object
	if len(request.Known) > 0 {
		objects = c.Missing(request.Known)
	} else {
		objects = c.Delta(request.After)
	}
	reply := FetchReply{Usable: snapshot.Usable, Digest: snapshot.Digest, Complete: floor}
	size := 0
	for i, object := range objects {
		size += len(object.Body) + len(object.Key.Kind) + len(object.Key.Name) + objectOverhead
		if size > maxPageBytes && i > 0 && object.Version != objects[i-1].Version {
			reply.Objects, reply.More = objects[:i], true
			return reply
		}
	}
	reply.Objects = objects
	return reply
}

// Options are the settings and collaborators of a Syncer.
type Options struct {
	// Address is the host and port at which peers reach this instance.
	Address string
	// IsWatcher tells whether this instance is a watcher of its domain.
	IsWatcher func() bool
	// OnPlatform, if not nil, is told after each try to follow the platform
	// whether it was reached, and when the try began.
	OnPlatform func(ctx context.Context, reached bool, began time.Time)
	// Fanout is the number of members that are notified of a change.
	Fanout int
	// BackoffMin and BackoffMax bound the time before the platform is listed
	// again after a broken watch.
	BackoffMin, BackoffMax time.Duration
	// RoleInterval is the time between checks of IsWatcher.
	RoleInterval time.Duration
	// RelistInterval is the least time between full listings by a watcher,
	// which are the only repair of an event that both watchers of a domain
	// missed. RelistRate, in bytes per second, makes the interval longer for a
	// large configuration; zero does not.
	RelistInterval time.Duration
	RelistRate     int
	// ApplyInterval is the least time between two applications of watch events,
	// so that a burst of changes costs few snapshots.
	ApplyInterval time.Duration
	// CallTimeout limits a call to a peer.
	CallTimeout time.Duration
	Clock       clockwork.Clock
	Random      *rand.Rand
	Log         logr.Logger
}

// Syncer keeps a cache up to date from the platform and from peers.
type Syncer struct {
	opts  Options
	cache *Cache
	store platform.Store
	peers Peers
	// queue holds addresses to fetch from.
	queue chan string
	// notices counts the notifications on their way; Run waits for them.
	notices sync.WaitGroup

	mu sync.Mutex
	// queued holds the addresses in the queue.
	queued map[string]bool
	// differing holds, by peer, the pair of digests that a delta did not settle.
	differing map[string]digestPair
}

type digestPair struct{ own, peer uint64 }

// maxQueued bounds the fetches that wait. What does not fit is repaired by the
// digests of later pings.
const maxQueued = 64

// NewSyncer returns a syncer; Run starts it.
func NewSyncer(cache *Cache, store platform.Store, peers Peers, opts Options) *Syncer {
	return &Syncer{
		opts: opts, cache: cache, store: store, peers: peers,
		queue:     make(chan string, maxQueued),
		queued:    map[string]bool{},
		differing: map[string]digestPair{},
	}
}

// HandleFetch answers FetchConfig.
func (s *Syncer) HandleFetch(request FetchRequest) FetchReply { return s.cache.Answer(request) }

// HandleNotify handles NotifyConfig: it fetches from the sender unless this
// instance is usable and ahead; then the digests of pings settle what differs.
func (s *Syncer) HandleNotify(notice Notice) {
	snapshot := s.cache.Snapshot()
	settled := notice.Digest == snapshot.Digest || notice.NewestVersion < snapshot.NewestVersion
	if snapshot.Usable && settled {
		return
	}
	s.enqueue(notice.SenderAddress)
}

// ObserveDigest handles the digest in a ping or its reply.
func (s *Syncer) ObserveDigest(address string, digest uint64) {
	snapshot := s.cache.Snapshot()
	if digest != snapshot.Digest || !snapshot.Usable {
		s.enqueue(address)
	}
}

func (s *Syncer) enqueue(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued[address] {
		return
	}
	select {
	case s.queue <- address:
		s.queued[address] = true
	default:
	}
}

// Exchange fetches from one peer what this instance lacks, and notifies others
// of a change.
func (s *Syncer) Exchange(ctx context.Context, address string) error {
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

// fetchAll fetches the whole configuration. It takes effect as usable only
// once every page has arrived.
func (s *Syncer) fetchAll(ctx context.Context, address string) (bool, error) {
	objects, first, err := s.fetchPages(ctx, address, FetchRequest{}, nil)
	if err != nil {
		return false, err
	}
	if !first.Usable {
		return s.cache.Merge(objects, false), nil
	}
	return s.cache.MergeComplete(objects, first.Complete, true), nil
}

func (s *Syncer) fetchDelta(ctx context.Context, address string) (bool, error) {
	request := FetchRequest{After: s.cache.Snapshot().NewestVersion}
	objects, reply, err := s.fetchPages(ctx, address, request, nil)
	if err != nil {
		return false, err
	}
	changed := s.cache.Merge(objects, false)
	if !s.stillDiffers(address, reply.Digest) {
		return changed, nil
	}
	known := s.cache.Known()
	objects, _, err = s.fetchPages(ctx, address, FetchRequest{Known: known}, known)
	if err != nil {
		return changed, err
	}
	return s.cache.Merge(objects, false) || changed, nil
}

// stillDiffers reports whether the digests differ in the same way as after the
// last exchange with this peer. Only then is the list of all versions sent,
// which is large: most differences pass while a change is spreading.
func (s *Syncer) stillDiffers(address string, digest uint64) bool {
	pair := digestPair{own: s.cache.Snapshot().Digest, peer: digest}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pair.own == pair.peer {
		delete(s.differing, address)
		return false
	}
	if s.differing[address] != pair {
		s.differing[address] = pair
		return false
	}
	delete(s.differing, address)
	return true
}

// fetchPages fetches until no page is left and returns the objects of all
// pages, and the first page, whose Complete holds for all of them.
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

// notify tells random members that this instance has newer configuration.
func (s *Syncer) notify(ctx context.Context) {
	snapshot := s.cache.Snapshot()
	notice := Notice{SenderAddress: s.opts.Address, Digest: snapshot.Digest, NewestVersion: snapshot.NewestVersion}
	addresses := append([]string(nil), s.peers.Addresses()...)
	s.mu.Lock()
	s.opts.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Unlock()
	for _, address := range addresses[:min(s.opts.Fanout, len(addresses))] {
		s.notices.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
			defer cancel()
			if err := s.peers.NotifyConfig(callCtx, address, notice); err != nil {
				s.opts.Log.V(1).Info("notification of a configuration change failed", "peer", address, "error", err.Error())
			}
		})
	}
}

// Run keeps the cache up to date until ctx ends. No goroutine outlives it.
func (s *Syncer) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { s.fetchQueued(ctx) })
	workers.Go(func() { s.watchPlatform(ctx) })
	workers.Wait()
	s.notices.Wait()
}

func (s *Syncer) fetchQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.queue:
			s.mu.Lock()
			delete(s.queued, address)
			s.mu.Unlock()
			if err := s.Exchange(ctx, address); err != nil {
				s.opts.Log.V(1).Info("fetching configuration failed", "peer", address, "error", err.Error())
			}
		}
	}
}
