package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// errEmptyCopy is returned if the relay has not read the store yet.
var errEmptyCopy = errors.New("the relay has not read the store yet")

// storeServer serves this instance's copies of the store to its followers. It
// implements peer.StoreHandler.
type storeServer struct {
	copies map[string]*storesync.Copy
	usage  *usageRecords
	now    func() time.Duration
	// contain is Gateway.contain.
	contain func(where string, input func() string, f func()) error
}

// firstListWait is how long a list call waits after a start until this instance
// has read the store. It must end before the follower's listTimeout.
const firstListWait = listTimeout / 2

// FollowStore implements peer.StoreHandler. A panic fails this call only.
func (s storeServer) FollowStore(ctx context.Context, in *peer.FollowStoreRequest) (reply *peer.FollowStoreReply, err error) {
	panicked := s.contain("call of a follower", in.String, func() { reply, err = s.followStore(ctx, in) })
	return reply, errors.Join(panicked, err)
}

func (s storeServer) followStore(ctx context.Context, in *peer.FollowStoreRequest) (*peer.FollowStoreReply, error) {
	arrived := s.now()
	if in.GetKind() == s.usage.kind {
		listing, err := s.usage.list(ctx)
		if err != nil {
			return nil, err
		}
		return encodeListing(listing, true, s.now()-arrived), nil
	}
	storeCopy := s.copies[in.GetKind()]
	if storeCopy == nil {
		return nil, fmt.Errorf("no copy is kept of objects of kind %q", in.GetKind())
	}
	if in.GetAfter() == 0 {
		ctx, cancel := context.WithTimeout(ctx, firstListWait)
		defer cancel()
		listing, known := storeCopy.List(ctx)
		return encodeListing(listing, known, s.now()-arrived), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.GetWaitMs())*time.Millisecond)
	defer cancel()
	changes, err := storeCopy.Watch(ctx, storesync.Position{Era: in.GetEra(), Revision: in.GetAfter()})
	if err != nil {
		// The only possible error is that the history was compacted.
		return &peer.FollowStoreReply{Compacted: true}, nil
	}
	reply := encodeReply(changes.Position, changes.Freshness, true, s.now()-arrived)
	for _, event := range changes.Events {
		if event.Deleted {
			reply.Deleted = append(reply.Deleted, event.Object.Name)
		} else {
			reply.Changed = append(reply.Changed, encodeObject(event.Object))
		}
	}
	return reply, nil
}

func encodeListing(listing storesync.Listing, known bool, waited time.Duration) *peer.FollowStoreReply {
	reply := encodeReply(listing.Position, listing.Freshness, known, waited)
	for _, object := range listing.Objects {
		reply.Changed = append(reply.Changed, encodeObject(object))
	}
	return reply
}

func encodeReply(position storesync.Position, freshness storesync.Freshness, known bool, waited time.Duration) *peer.FollowStoreReply {
	return &peer.FollowStoreReply{
		Era: position.Era, Revision: position.Revision, Known: known, Failing: freshness.StoreFailing,
		WaitedMs:      uint64(waited.Milliseconds()),
		AgeMs:         uint64(math.Ceil(float64(freshness.Age) / float64(time.Millisecond))),
		SinceReturnMs: uint64(freshness.SinceRecovery.Milliseconds()),
	}
}

func encodeObject(object storesync.Object) *peer.StoredObject {
	return &peer.StoredObject{Name: object.Name, Revision: object.Revision, Spec: object.Spec, Status: object.Status}
}

// relaySource reads the store copies of another instance. It implements
// storesync.Source.
type relaySource struct {
	g       *Gateway
	address string
}

// List implements storesync.Source.
func (r relaySource) List(ctx context.Context, kind string) (storesync.Listing, error) {
	reply, err := r.g.dialer.Client(r.address).FollowStore(ctx, &peer.FollowStoreRequest{Kind: kind})
	if err != nil {
		return storesync.Listing{}, err
	}
	if !reply.GetKnown() {
		return storesync.Listing{}, errEmptyCopy
	}
	listing := storesync.Listing{Position: decodePosition(reply), Freshness: decodeFreshness(reply)}
	for _, object := range reply.GetChanged() {
		listing.Objects = append(listing.Objects, decodeObject(object))
	}
	return listing, nil
}

// Watch implements storesync.Source.
func (r relaySource) Watch(ctx context.Context, kind string, after storesync.Position, wait time.Duration) (storesync.Changes, error) {
	reply, err := r.g.dialer.Client(r.address).FollowStore(ctx, &peer.FollowStoreRequest{
		Kind: kind, Era: after.Era, After: after.Revision, WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return storesync.Changes{}, err
	}
	if reply.GetCompacted() {
		return storesync.Changes{}, storesync.ErrCompacted
	}
	changes := storesync.Changes{Position: decodePosition(reply), Freshness: decodeFreshness(reply)}
	for _, object := range reply.GetChanged() {
		changes.Events = append(changes.Events, storesync.Event{Object: decodeObject(object)})
	}
	for _, name := range reply.GetDeleted() {
		changes.Events = append(changes.Events, storesync.Event{Object: storesync.Object{Name: name}, Deleted: true})
	}
	return changes, nil
}

// CloseIdleConnections implements storesync.Source. It does nothing, since a
// cancelled call closes its own connection.
func (relaySource) CloseIdleConnections() {}

func decodePosition(reply *peer.FollowStoreReply) storesync.Position {
	return storesync.Position{Era: reply.GetEra(), Revision: reply.GetRevision()}
}

func decodeFreshness(reply *peer.FollowStoreReply) storesync.Freshness {
	return storesync.Freshness{
		Age:           time.Duration(reply.GetAgeMs()) * time.Millisecond,
		Waited:        time.Duration(reply.GetWaitedMs()) * time.Millisecond,
		StoreFailing:  reply.GetFailing(),
		SinceRecovery: time.Duration(reply.GetSinceReturnMs()) * time.Millisecond,
	}
}

func decodeObject(object *peer.StoredObject) storesync.Object {
	return storesync.Object{Name: object.GetName(), Revision: object.GetRevision(), Spec: object.GetSpec(), Status: object.GetStatus()}
}

// currentRelay returns the relay that this instance follows, or nil if it reads
// the store itself.
func (g *Gateway) currentRelay() storesync.Source {
	address, _ := g.relayAddress.Load().(string)
	if address == "" {
		return nil
	}
	return relaySource{g: g, address: address}
}

// servePeers serves the calls of followers until ctx ends.
func (g *Gateway) servePeers(ctx context.Context, listener net.Listener) error {
	server, err := peer.NewServer(peer.Handlers{Store: storeServer{copies: g.storeCopies, usage: g.usageRecords, now: g.now, contain: g.contain}}, g.traffic, g.log)
	if err != nil {
		return err
	}
	return server.Serve(ctx, listener)
}

// maxRelayAge returns the age of a followed copy above which this instance reads
// the store directly.
func (g *Gateway) maxRelayAge() time.Duration {
	if g.isRelay.Load() {
		return relayMaxCopyAge
	}
	return followerMaxCopyAge
}
