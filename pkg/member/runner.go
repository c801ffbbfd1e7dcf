package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// Transport sends pings to another instance; peer.DRPCPeerClient implements it.
type Transport interface {
	Ping(context.Context, *peer.PingRequest) (*peer.PingReply, error)
}

// Options configure a Runner.
type Options struct {
	Config Config
	// Self is this instance. Its status is ignored.
	Self Member
	// Domain is the failure domain. Pings from other failure domains are
	// refused.
	Domain string
	// Seeds are the configured addresses of instances to join.
	Seeds []string
	// Instances is the platform's list of instances, which is read once per
	// ListInterval.
	Instances    platform.Instances
	ListInterval time.Duration
	// Dial returns the transport to an address.
	Dial   func(address string) Transport
	Clock  clockwork.Clock
	Random *rand.Rand
	// Digest returns the digest of this instance's configuration. OnDigest is
	// called with the digest of another member; it must not block.
	Digest   func() uint64
	OnDigest func(from Member, digest uint64)
	Log      logr.Logger
}

// Runner connects the core to the network and the clock. Its Run goroutine owns
// the core.
type Runner struct {
	options  Options
	inbox    chan any
	snapshot atomic.Pointer[snapshot]
	tasks    sync.WaitGroup
}

// Messages to the Run goroutine.
type (
	probeAnswered struct {
		probe Probe
		reply *peer.PingReply
	}
	pingReceived struct {
		request *peer.PingRequest
		reply   chan *peer.PingReply
	}
	instancesListed struct{ instances []platform.ListedInstance }
	leaveRequested  struct{ done chan struct{} }
	detachedChanged struct{ detached bool }
)

var (
	_ View               = (*Runner)(nil)
	_ peer.MemberHandler = (*Runner)(nil)
)

// NewRunner returns a runner. It does nothing until Run is called.
func NewRunner(options Options) *Runner {
	options.Config = options.Config.WithDefaults()
	options.Self.Status = Alive
	r := &Runner{options: options, inbox: make(chan any)}
	r.snapshot.Store(newSnapshot(options.Self, []Member{options.Self}))
	return r
}

// Run runs the membership protocol until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	core := NewCore(r.options.Config, r.options.Self, r.options.Random)
	core.SetCandidates(r.options.Clock.Now(), r.candidates(nil))
	if r.options.Instances != nil {
		r.tasks.Go(func() { r.listInstances(ctx) })
	}
	defer r.tasks.Wait()
	timer := r.options.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
		case message := <-r.inbox:
			r.handle(core, message)
		}
		now := r.options.Clock.Now()
		if !now.Before(core.NextTickAt()) {
			for _, p := range core.Tick(now) {
				self := core.Self()
				r.tasks.Go(func() { r.sendProbe(ctx, self, p) })
			}
		}
		r.publish(core)
		timer.Reset(core.NextTickAt().Sub(now))
	}
}

func (r *Runner) handle(core *Core, message any) {
	now := r.options.Clock.Now()
	switch m := message.(type) {
	case probeAnswered:
		core.HandlePingReply(now, m.probe, fromWire(m.reply.Receiver), allFromWire(m.reply.Updates), m.reply.TargetAlive)
	case pingReceived:
		updates := core.HandlePing(now, fromWire(m.request.Sender), allFromWire(m.request.Updates))
		m.reply <- &peer.PingReply{
			Receiver:     toWire(core.Self()),
			Updates:      allToWire(updates),
			ConfigDigest: r.options.Digest(),
		}
	case instancesListed:
		core.SetCandidates(now, r.candidates(m.instances))
	case detachedChanged:
		core.SetDetached(m.detached)
	case leaveRequested:
		core.Leave()
		r.publish(core)
		close(m.done)
	}
}

// candidates returns the seeds and the listed instances of this failure domain.
func (r *Runner) candidates(instances []platform.ListedInstance) []Candidate {
	var candidates []Candidate
	for _, seed := range r.options.Seeds {
		candidates = append(candidates, Candidate{Address: seed})
	}
	for _, i := range instances {
		if i.Role == "entry" && i.Domain == r.options.Domain {
			candidates = append(candidates, Candidate{ID: i.Name, Address: i.Address, Leaving: i.Leaving})
		}
	}
	return candidates
}

// publish replaces the snapshot for readers and logs status changes, if the
// members changed.
func (r *Runner) publish(core *Core) {
	last := r.snapshot.Load()
	members := core.Members()
	self := core.Self()
	if len(members) == len(last.byID) && !slices.ContainsFunc(members, func(m Member) bool { return last.byID[m.ID] != m }) {
		return
	}
	for _, m := range members {
		if before, ok := last.byID[m.ID]; !ok || before.Status != m.Status || before.Incarnation != m.Incarnation {
			r.options.Log.Info("member changed", "member", m.ID, "incarnation", m.Incarnation, "status", m.Status.String())
		}
	}
	r.snapshot.Store(newSnapshot(self, members))
	close(last.changed)
}

func (r *Runner) listInstances(ctx context.Context) {
	for {
		instances, err := r.options.Instances.Instances(ctx)
		if err != nil {
			r.options.Log.V(1).Info("instance list was not read", "error", err.Error())
		} else {
			r.enqueue(ctx, instancesListed{instances})
		}
		select {
		case <-ctx.Done():
			return
		case <-r.options.Clock.After(r.options.ListInterval):
		}
	}
}

func (r *Runner) enqueue(ctx context.Context, message any) bool {
	select {
	case <-ctx.Done():
		return false
	case r.inbox <- message:
		return true
	}
}

func (r *Runner) sendProbe(ctx context.Context, self Member, p Probe) {
	call, cancel := clockwork.WithTimeout(ctx, r.options.Clock, r.options.Config.ProbeInterval)
	defer cancel()
	reply, err := r.ping(call, self, p.To.Address, p.Target, p.Updates)
	if err != nil {
		r.options.Log.V(1).Info("ping failed", "address", p.To.Address, "error", err.Error())
		return
	}
	r.enqueue(ctx, probeAnswered{p, reply})
}

func (r *Runner) ping(ctx context.Context, self Member, address, target string, updates []Member) (*peer.PingReply, error) {
	reply, err := r.options.Dial(address).Ping(ctx, &peer.PingRequest{
		Sender:       toWire(self),
		Updates:      allToWire(updates),
		Target:       target,
		ConfigDigest: r.options.Digest(),
		Domain:       r.options.Domain,
	})
	if err != nil {
		return nil, err
	}
	if reply.Receiver.GetInstance() == nil {
		return nil, errkind.New(errkind.Internal, "the answer of %s to a ping names no receiver", address)
	}
	r.options.OnDigest(fromWire(reply.Receiver), reply.ConfigDigest)
	return reply, nil
}

// Ping implements peer.MemberHandler.
func (r *Runner) Ping(ctx context.Context, in *peer.PingRequest) (*peer.PingReply, error) {
	if in.Domain != r.options.Domain || in.Sender.GetInstance() == nil {
		return nil, errkind.New(errkind.BadRequest, "ping for failure domain %q arrived in %q", in.Domain, r.options.Domain)
	}
	message := pingReceived{in, make(chan *peer.PingReply, 1)}
	if !r.enqueue(ctx, message) {
		return nil, ctx.Err()
	}
	var reply *peer.PingReply
	select {
	case reply = <-message.reply:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.options.OnDigest(fromWire(in.Sender), in.ConfigDigest)
	if in.Target != "" {
		reply.TargetAlive = r.probeOnBehalf(ctx, in.Target)
	}
	return reply, nil
}

// probeOnBehalf probes a member for the sender of an indirect probe.
func (r *Runner) probeOnBehalf(ctx context.Context, id string) bool {
	target, ok := r.Find(id)
	if !ok {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.options.Clock, r.options.Config.ProbeTimeout)
	defer cancel()
	reply, err := r.ping(ctx, r.Self(), target.Address, "", []Member{target})
	return err == nil && reply.Receiver.Instance.Id == id
}

// SetDetached records whether this instance is cut off from the platform; the
// next pings report it to the others.
func (r *Runner) SetDetached(ctx context.Context, detached bool) {
	if r.Self().Detached != detached {
		r.enqueue(ctx, detachedChanged{detached})
	}
}

// Leave marks this instance as leaving; the next pings report it to the others.
func (r *Runner) Leave(ctx context.Context) {
	message := leaveRequested{make(chan struct{})}
	if !r.enqueue(ctx, message) {
		return
	}
	select {
	case <-message.done:
	case <-ctx.Done():
	}
}

// Self implements View.
func (r *Runner) Self() Member { return r.snapshot.Load().self }

// Live implements View.
func (r *Runner) Live() []Member { return slices.Clone(r.snapshot.Load().live) }

// Find implements View.
func (r *Runner) Find(id string) (Member, bool) {
	m, ok := r.snapshot.Load().byID[id]
	return m, ok
}

// Owners implements View.
func (r *Runner) Owners(key string) []Member {
	return slices.Clone(r.snapshot.Load().ownersOf(key))
}

// Changed implements View.
func (r *Runner) Changed() <-chan struct{} { return r.snapshot.Load().changed }
