package claim_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

const platformName = "platform"

// networkCall is one call on the simulated network. It can be executed any
// number of times, also after its caller was answered or gave up.
type networkCall struct {
	from, to string
	// update is true for a phase update, whose caller does not wait for the
	// result.
	update   bool
	execute  func() (any, error)
	result   chan callResult
	answered bool
	replies  []callResult
}

type callResult struct {
	value any
	err   error
}

// cluster simulates the instances, the network and the platform of one test. It
// must be used inside a synctest bubble: synctest.Wait lets every call proceed
// until it waits for the network.
type cluster struct {
	clock *clockwork.FakeClock
	// immediate executes every call at once, without the simulated network.
	immediate bool
	// platformDown makes all platform calls fail. losePutReply makes the next
	// Put fail after it took effect.
	platformDown, losePutReply bool

	mu        sync.Mutex
	calls     []*networkCall
	instances map[string]*testInstance
	view      map[string]member.Member
	objects   map[string]platform.Object
	version   uint64
	dialCount int
}

type testInstance struct {
	cluster *cluster
	id      string
	ref     claim.InstanceRef
	node    *claim.Node
	dead    bool
	frozen  bool
	stop    context.CancelFunc
}

func newCluster(ids ...string) *cluster {
	cl := &cluster{
		clock:     clockwork.NewFakeClock(),
		instances: map[string]*testInstance{},
		view:      map[string]member.Member{},
		objects:   map[string]platform.Object{},
	}
	for _, id := range ids {
		cl.start(id)
	}
	return cl
}

// start starts an instance, or its next incarnation, and adds it to the
// membership view.
func (cl *cluster) start(id string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	incarnation := uint64(1)
	if last := cl.instances[id]; last != nil {
		incarnation = last.ref.Incarnation + 1
		last.dead = true
		last.stop()
	}
	in := &testInstance{cluster: cl, id: id, ref: claim.InstanceRef{ID: id, Incarnation: incarnation}}
	node, err := claim.New(claim.Options{
		Domain: "d", Self: in.ref, Address: id, Clock: cl.clock, Log: logr.Discard(),
		HolderQueryTimeout: time.Second, MaxClaims: 6, MaxEndedAttempts: 3, MaxAge: time.Hour,
		FindMember: func(_, id string) (member.Member, bool) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			found, ok := cl.view[id]
			return found, ok
		},
		Dial:  func(address string) claim.Transport { return &fakeTransport{cl, in.id, address} },
		Store: &fakeStore{cl, in.id},
	})
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	in.node, in.stop = node, stop
	go node.Run(ctx)
	cl.instances[id] = in
	cl.view[id] = member.Member{ID: id, Incarnation: incarnation, Address: id, Status: member.Alive}
}

func (cl *cluster) close() {
	for _, in := range cl.instances {
		in.stop()
	}
	for range 20 {
		synctest.Wait()
		cl.mu.Lock()
		for _, c := range cl.calls {
			c.answer(callResult{err: errors.New("closed")})
		}
		cl.mu.Unlock()
	}
}

func (c *networkCall) answer(r callResult) {
	if !c.answered {
		c.answered = true
		c.result <- r
	}
}

func (cl *cluster) call(ctx context.Context, from, to string, execute func() (any, error)) (any, error) {
	if cl.immediate {
		return execute()
	}
	_, update := ctx.Value(phaseUpdateKey{}).(bool)
	c := &networkCall{from: from, to: to, update: update, execute: execute, result: make(chan callResult, 1)}
	cl.mu.Lock()
	cl.calls = append(cl.calls, c)
	cl.mu.Unlock()
	select {
	case r := <-c.result:
		return r.value, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// deliver executes the call at its receiver and keeps the reply undelivered.
func (cl *cluster) deliver(c *networkCall) {
	go func() {
		value, err := c.execute()
		cl.mu.Lock()
		defer cl.mu.Unlock()
		c.replies = append(c.replies, callResult{value, err})
	}()
	synctest.Wait()
}

type phaseUpdateKey struct{}

type fakeTransport struct {
	cluster  *cluster
	from, to string
}

// receiver returns the handler of the current incarnation at the address.
func (t *fakeTransport) receiver() (peer.ClaimHandler, error) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.cluster.dialCount++
	in := t.cluster.instances[t.to]
	if in == nil || in.dead {
		return nil, errors.New("connection refused")
	}
	return in.node.Handler(), nil
}

// send makes one call over the simulated network.
func send[Q, A any](ctx context.Context, t *fakeTransport, in *Q, method func(peer.ClaimHandler, context.Context, *Q) (*A, error)) (*A, error) {
	value, err := t.cluster.call(ctx, t.from, t.to, func() (any, error) {
		receiver, err := t.receiver()
		if err != nil {
			return (*A)(nil), err
		}
		return method(receiver, ctx, in)
	})
	if err != nil {
		return nil, err
	}
	return value.(*A), nil
}

func (t *fakeTransport) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	return send(ctx, t, in, peer.ClaimHandler.Claim)
}

func (t *fakeTransport) ClaimStatus(ctx context.Context, in *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error) {
	return send(ctx, t, in, peer.ClaimHandler.ClaimStatus)
}

func (t *fakeTransport) UpdateClaim(ctx context.Context, in *peer.UpdateClaimRequest) (*peer.Ack, error) {
	ctx = context.WithValue(ctx, phaseUpdateKey{}, true)
	return send(ctx, t, in, peer.ClaimHandler.UpdateClaim)
}

// fakeStore is the platform as seen by one instance.
type fakeStore struct {
	cluster *cluster
	from    string
}

var errPlatformDown = errkind.New(errkind.PlatformUnavailable, "platform is down")

func (s *fakeStore) call(ctx context.Context, execute func() (any, error)) (any, error) {
	value, err := s.cluster.call(ctx, s.from, platformName, func() (any, error) {
		if s.cluster.platformDown {
			return nil, errPlatformDown
		}
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		return execute()
	})
	if err != nil && errkind.KindOf(err) == errkind.Internal {
		return nil, errPlatformDown
	}
	return value, err
}

func (s *fakeStore) Get(ctx context.Context, _, name string) (platform.Object, error) {
	value, err := s.call(ctx, func() (any, error) {
		object, ok := s.cluster.objects[name]
		if !ok {
			return nil, errkind.New(errkind.NotFound, "%s", name)
		}
		return object, nil
	})
	if err != nil {
		return platform.Object{}, err
	}
	return value.(platform.Object), nil
}

func (s *fakeStore) Put(ctx context.Context, object platform.Object, pre platform.Precondition) (uint64, error) {
	cl := s.cluster
	value, err := s.call(ctx, func() (any, error) {
		last, exists := cl.objects[object.Name]
		if pre.Absent && exists || pre.Version != 0 && last.Version != pre.Version {
			return nil, errkind.New(errkind.Conflict, "%s", object.Name)
		}
		cl.version++
		object.Version = cl.version
		cl.objects[object.Name] = object
		if cl.losePutReply {
			cl.losePutReply = false
			return nil, errPlatformDown
		}
		return object.Version, nil
	})
	if err != nil {
		return 0, err
	}
	return value.(uint64), nil
}

func (s *fakeStore) Delete(_ context.Context, _, name string, pre platform.Precondition) (uint64, error) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.cluster.objects[name].Version != pre.Version {
		return 0, errkind.New(errkind.Conflict, "%s", name)
	}
	delete(s.cluster.objects, name)
	return pre.Version, nil
}

func (s *fakeStore) List(context.Context, ...string) (platform.List, error) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	var list platform.List
	for _, object := range s.cluster.objects {
		list.Objects = append(list.Objects, object)
	}
	return list, nil
}

func (s *fakeStore) Watch(context.Context, uint64, ...string) (platform.Watch, error) {
	return nil, errPlatformDown
}

// matchingCalls returns the calls for which accept is true.
func (cl *cluster) matchingCalls(accept func(*networkCall) bool) []*networkCall {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(cl.calls), func(c *networkCall) bool { return !accept(c) })
}
