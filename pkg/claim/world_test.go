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

const storeName = "platform"

// message is one call on the injected network. It can be executed any number
// of times, before or after its caller was answered or gave up.
type message struct {
	from, to string
	// update marks a phase update, which nobody waits for.
	update   bool
	execute  func() (any, error)
	result   chan result
	answered bool
	replies  []result
}

type result struct {
	value any
	err   error
}

// world holds the instances, the network and the platform of one test. It must
// be used inside a synctest bubble: synctest.Wait lets every call proceed until
// it waits for the network.
type world struct {
	clock *clockwork.FakeClock
	// immediate delivers every message at once.
	immediate bool
	// out makes the platform fail calls; lost makes it fail them after they took effect.
	out, lost bool

	mu        sync.Mutex
	messages  []*message
	instances map[string]*instance
	view      map[string]member.Member
	objects   map[string]platform.Object
	version   uint64
	dialled   int
}

type instance struct {
	world  *world
	id     string
	ref    claim.Ref
	node   *claim.Node
	dead   bool
	frozen bool
	stop   context.CancelFunc
}

func newWorld(ids ...string) *world {
	w := &world{
		clock:     clockwork.NewFakeClock(),
		instances: map[string]*instance{},
		view:      map[string]member.Member{},
		objects:   map[string]platform.Object{},
	}
	for _, id := range ids {
		w.start(id)
	}
	return w
}

// start starts an instance, or its next incarnation, and shows it in the view.
func (w *world) start(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	incarnation := uint64(1)
	if last := w.instances[id]; last != nil {
		incarnation = last.ref.Incarnation + 1
		last.dead = true
		last.stop()
	}
	in := &instance{world: w, id: id, ref: claim.Ref{ID: id, Incarnation: incarnation}}
	node, err := claim.New(claim.Options{
		Domain: "d", Self: in.ref, Address: id, Clock: w.clock, Log: logr.Discard(),
		AskTimeout: time.Second, MaxClaims: 6, MaxEnded: 3, MaxAge: time.Hour,
		Find: func(_, id string) (member.Member, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			found, ok := w.view[id]
			return found, ok
		},
		Dial:  func(address string) claim.Transport { return &link{w, in.id, address} },
		Store: &store{w, in.id},
	})
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	in.node, in.stop = node, stop
	go node.Run(ctx)
	w.instances[id] = in
	w.view[id] = member.Member{ID: id, Incarnation: incarnation, Address: id, Status: member.Alive}
}

func (w *world) close() {
	for _, in := range w.instances {
		in.stop()
	}
	for range 20 {
		synctest.Wait()
		w.mu.Lock()
		for _, m := range w.messages {
			m.answer(result{err: errors.New("closed")})
		}
		w.mu.Unlock()
	}
}

func (m *message) answer(r result) {
	if !m.answered {
		m.answered = true
		m.result <- r
	}
}

func (w *world) call(ctx context.Context, from, to string, execute func() (any, error)) (any, error) {
	if w.immediate {
		return execute()
	}
	_, update := ctx.Value(updateKey{}).(bool)
	m := &message{from: from, to: to, update: update, execute: execute, result: make(chan result, 1)}
	w.mu.Lock()
	w.messages = append(w.messages, m)
	w.mu.Unlock()
	select {
	case r := <-m.result:
		return r.value, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// deliver executes the message at its receiver; the reply stays in the network.
func (w *world) deliver(m *message) {
	go func() {
		value, err := m.execute()
		w.mu.Lock()
		defer w.mu.Unlock()
		m.replies = append(m.replies, result{value, err})
	}()
	synctest.Wait()
}

type updateKey struct{}

type link struct {
	world    *world
	from, to string
}

// receiver is the handler of the present incarnation at the address.
func (l *link) receiver() (peer.ClaimHandler, error) {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	l.world.dialled++
	in := l.world.instances[l.to]
	if in == nil || in.dead {
		return nil, errors.New("connection refused")
	}
	return in.node.Handler(), nil
}

// send makes one call through the network.
func send[Q, A any](ctx context.Context, l *link, in *Q, method func(peer.ClaimHandler, context.Context, *Q) (*A, error)) (*A, error) {
	value, err := l.world.call(ctx, l.from, l.to, func() (any, error) {
		receiver, err := l.receiver()
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

func (l *link) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	return send(ctx, l, in, peer.ClaimHandler.Claim)
}

func (l *link) ClaimStatus(ctx context.Context, in *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error) {
	return send(ctx, l, in, peer.ClaimHandler.ClaimStatus)
}

func (l *link) UpdateClaim(ctx context.Context, in *peer.UpdateClaimRequest) (*peer.Ack, error) {
	ctx = context.WithValue(ctx, updateKey{}, true)
	return send(ctx, l, in, peer.ClaimHandler.UpdateClaim)
}

// store is the platform as one instance sees it.
type store struct {
	world *world
	from  string
}

var errOut = errkind.New(errkind.PlatformUnavailable, "out")

func (s *store) call(ctx context.Context, execute func() (any, error)) (any, error) {
	value, err := s.world.call(ctx, s.from, storeName, func() (any, error) {
		if s.world.out {
			return nil, errOut
		}
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		return execute()
	})
	if err != nil && errkind.KindOf(err) == errkind.Internal {
		return nil, errOut
	}
	return value, err
}

func (s *store) Get(ctx context.Context, _, name string) (platform.Object, error) {
	value, err := s.call(ctx, func() (any, error) {
		object, ok := s.world.objects[name]
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

func (s *store) Put(ctx context.Context, object platform.Object, pre platform.Precondition) (uint64, error) {
	w := s.world
	value, err := s.call(ctx, func() (any, error) {
		last, exists := w.objects[object.Name]
		if pre.Absent && exists || pre.Version != 0 && last.Version != pre.Version {
			return nil, errkind.New(errkind.Conflict, "%s", object.Name)
		}
		w.version++
		object.Version = w.version
		w.objects[object.Name] = object
		if w.lost {
			w.lost = false
			return nil, errOut
		}
		return object.Version, nil
	})
	if err != nil {
		return 0, err
	}
	return value.(uint64), nil
}

func (s *store) Delete(_ context.Context, _, name string, pre platform.Precondition) (uint64, error) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.world.objects[name].Version != pre.Version {
		return 0, errkind.New(errkind.Conflict, "%s", name)
	}
	delete(s.world.objects, name)
	return pre.Version, nil
}

func (s *store) List(context.Context, ...string) (platform.List, error) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	var list platform.List
	for _, object := range s.world.objects {
		list.Objects = append(list.Objects, object)
	}
	return list, nil
}

func (s *store) Watch(context.Context, uint64, ...string) (platform.Watch, error) {
	return nil, errOut
}

// open returns the messages that a condition accepts.
func (w *world) open(accept func(*message) bool) []*message {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.messages), func(m *message) bool { return !accept(m) })
}
