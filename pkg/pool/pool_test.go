package pool_test

import (
	"context"
	"errors"
	"fmt"
	stdnet "net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

const poolName = "north/m"

// fakeScheduler grants in the order of arrival up to the limit of one upstream.
type fakeScheduler struct {
	sched.Scheduler
	mu        sync.Mutex
	limit     int
	expired   int
	waiting   []sched.Request
	grants    map[string]bool
	order     []string
	cancelled []string
	strikes   map[uint64]int
	dropped   []string
}

func (f *fakeScheduler) decide(now time.Time, change func()) sched.Decisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	if change != nil {
		change()
	}
	var d sched.Decisions
	for len(f.waiting) > 0 && len(f.grants) < f.limit {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		expiry := now.Add(2 * time.Second)
		if f.expired > 0 {
			f.expired--
			expiry = now
		}
		f.grants[r.ID] = true
		f.order = append(f.order, r.ID)
		d.Grants = append(d.Grants, sched.Grant{RequestID: r.ID, Holder: r.Holder, Upstream: "u", Expiry: expiry})
	}
	return d
}

func (f *fakeScheduler) remove(id string) {
	delete(f.grants, id)
	for i, r := range f.waiting {
		if r.ID == id {
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			return
		}
	}
}

func (f *fakeScheduler) SetUpstreams(now time.Time, us []record.Upstream) sched.Decisions {
	return f.decide(now, func() {
		f.limit = 0
		for _, u := range us {
			f.limit += u.MaxRequests
		}
	})
}

func (f *fakeScheduler) Acquire(now time.Time, r sched.Request) sched.Decisions {
	return f.decide(now, func() { f.waiting = append(f.waiting, r) })
}

func (f *fakeScheduler) Cancel(now time.Time, _, id string) sched.Decisions {
	return f.decide(now, func() { f.cancelled = append(f.cancelled, id); f.remove(id) })
}

func (f *fakeScheduler) Release(now time.Time, r sched.Result) sched.Decisions {
	return f.decide(now, func() {
		f.remove(r.RequestID)
		if r.Outcome == sched.UpstreamBroken {
			f.strikes[99]++
		}
	})
}

func (f *fakeScheduler) AddHoldings(now time.Time, _ string, hs []sched.Holding) sched.Decisions {
	return f.decide(now, func() {
		for _, h := range hs {
			f.grants[h.RequestID] = true
		}
	})
}

func (f *fakeScheduler) DropHolder(now time.Time, holder string) sched.Decisions {
	return f.decide(now, func() { f.dropped = append(f.dropped, holder); clear(f.grants); f.waiting = nil })
}

func (f *fakeScheduler) ReportLoad(now time.Time, _ string, load sched.Load) sched.Decisions {
	return f.decide(now, func() {
		if load.Incarnation == "restarted" {
			f.strikes[99] = 1
		}
	})
}
func (f *fakeScheduler) Tick(now time.Time) sched.Decisions { return f.decide(now, nil) }
func (f *fakeScheduler) NextTick() time.Time                { return time.Time{} }
func (f *fakeScheduler) AddStrikes(_ time.Time, strikes map[uint64]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for fingerprint, count := range strikes {
		f.strikes[fingerprint] = max(f.strikes[fingerprint], count)
	}
}

func (f *fakeScheduler) Strikes() map[uint64]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := map[uint64]int{}
	for fingerprint, count := range f.strikes {
		copied[fingerprint] = count
	}
	return copied
}

func (f *fakeScheduler) setLimit(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
}

func (f *fakeScheduler) placed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.order
}

func (f *fakeScheduler) holds() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.grants {
		ids = append(ids, id)
	}
	return ids
}

// view is a fixed list of members in the order of ownership.
type view struct {
	self    string
	members []member.Member
	changed chan struct{}
}

func (v *view) Self() member.Member               { return member.Member{ID: v.self, Incarnation: 1} }
func (v *view) Live() []member.Member             { return v.members }
func (v *view) Find(string) (member.Member, bool) { return member.Member{}, false }
func (v *view) Owners(string) []member.Member     { return v.members }
func (v *view) Changed() <-chan struct{}          { return v.changed }
func (v *view) Snapshot() *conf.Snapshot          { return snapshot }

var snapshot = &conf.Snapshot{
	Upstreams: map[string]*record.Upstream{"u": {Name: "u", MaxRequests: 8}, "gone": {Name: "gone", MaxRequests: 8}},
	Withdrawn: map[string]bool{"gone": true},
	Pools:     map[string]*conf.Pool{poolName: {Name: poolName, Domain: "north", Upstreams: []string{"gone", "u"}, Targets: []string{"model:m"}}},
}

// net connects clients and servers in memory. Time is the bubble's virtual clock.
type net struct {
	mu         sync.Mutex
	servers    map[string]*pool.Server
	schedulers map[string]*fakeScheduler
	stop       map[string]context.CancelFunc
	down       map[string]bool
	// hold delays messages to entries until it is closed.
	hold chan struct{}
	// breakNow ends the open sessions.
	breakNow context.CancelCauseFunc
	striking func()
	// incarnation is what the load reports say.
	incarnation string
	running     sync.WaitGroup
}

func members(ids ...string) (list []member.Member) {
	for _, id := range ids {
		list = append(list, member.Member{ID: id, Incarnation: 1, Address: id, Status: member.Alive})
	}
	return list
}

func (n *net) serve(id string, owners ...string) {
	f := &fakeScheduler{grants: map[string]bool{}, strikes: map[uint64]int{}}
	v := &view{self: id, members: members(owners...)}
	s := pool.NewServer(pool.ServerOptions{
		Domain: "north", View: v, Config: v, Clock: clockwork.NewRealClock(), Log: logr.Discard(),
		NewScheduler: func(string) sched.Scheduler { return f },
		ReadLoad: func(context.Context, record.Upstream) (sched.Load, error) {
			return sched.Load{Incarnation: n.incarnation}, nil
		},
		StrikeTargets: func(string) []string { return []string{"south"} },
		DialStrikes:   func(string) pool.StrikeTransport { return n },
	})
	ctx, stop := context.WithCancel(context.Background())
	n.servers[id], n.schedulers[id], n.stop[id] = s, f, stop
	n.running.Go(func() { s.Run(ctx) })
}

func (n *net) ReportStrike(context.Context, *peer.StrikeReport) (*peer.Ack, error) {
	n.striking()
	return &peer.Ack{}, nil
}

// link is a session whose messages to the entry can be held. A held message
// still arrives after the session broke.
type link struct {
	pool.Stream
	n   *net
	ctx context.Context
}

func (l *link) Recv() (*peer.SchedulerMessage, error) {
	m, err := l.Stream.Recv()
	if hold := l.n.holding(); hold != nil && err == nil && m.GetGrant() != nil {
		<-hold
	}
	return m, err
}

func (n *net) client(id string, owners ...string) *pool.EntryClient {
	c := pool.NewClient(pool.ClientOptions{
		Domain: "north", Region: "r", View: &view{self: id, members: members(owners...)},
		Clock: clockwork.NewRealClock(), Log: logr.Discard(), Local: n.servers[id],
		Lookup: func(string) []string { return []string{"A"} },
		Dial: func(ctx context.Context, address string) (pool.Stream, error) {
			if n.isDown(address) {
				return nil, errors.New("connection refused")
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			ctx, n.breakNow = context.WithCancelCause(ctx)
			return &link{n.servers[address].Connect(ctx), n, ctx}, nil
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	n.stop["client "+id] = stop
	n.running.Go(func() { c.Run(ctx) })
	return c
}

func (n *net) isDown(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[id] || n.servers[id] == nil
}

func (n *net) holding() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hold
}

func (n *net) setHold(hold chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hold = hold
}

func (n *net) kill(id string) {
	n.mu.Lock()
	n.down[id] = true
	n.mu.Unlock()
	n.stop[id]()
}

func run(t *testing.T, test func(*WithT, *net)) {
	synctest.Test(t, func(t *testing.T) {
		n := &net{servers: map[string]*pool.Server{}, schedulers: map[string]*fakeScheduler{},
			stop: map[string]context.CancelFunc{}, down: map[string]bool{}, striking: func() {}}
		defer func() {
			for _, stop := range n.stop {
				stop()
			}
			n.running.Wait()
		}()
		test(NewWithT(t), n)
	})
}

// pause lets virtual time pass, and then everything that it caused.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

type answer struct {
	grant sched.Grant
	err   error
}

func ask(ctx context.Context, c *pool.EntryClient, id string, tier int) chan answer {
	got := make(chan answer, 1)
	go func() {
		grant, err := c.Acquire(ctx, poolName, pool.Request{ID: id, Work: sched.Work{Tier: tier, Model: "m", Fingerprint: 99}, Deadline: time.Now().Add(time.Minute)})
		got <- answer{grant, err}
	}()
	return got
}

func finish(c *pool.EntryClient, id string, outcome sched.Outcome) {
	c.Release(context.Background(), poolName, sched.Work{Model: "m", Fingerprint: 99}, sched.Result{RequestID: id, Outcome: outcome})
}

// Guards against requests that are lost with their scheduler, and against a
// successor that does not know what runs. It is not the owner in its own view,
// so it may use 2 of 8, and the two grants in use fill that.
func TestSchedulerDies(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		n.serve("A", "A", "B")
		n.serve("B", "A", "B")
		c := n.client("e", "A", "B")
		ctx := context.Background()
		var waiting chan answer
		for i := range 8 {
			g.Expect((<-ask(ctx, c, fmt.Sprint("r", i), 1)).err).NotTo(HaveOccurred())
		}
		waiting = ask(ctx, c, "w", 1)
		pause(2 * time.Second)
		n.kill("A")
		pause(5 * time.Second)
		g.Expect(n.schedulers["B"].holds()).To(HaveLen(8))
		for i := range 6 {
			finish(c, fmt.Sprint("r", i), sched.Completed)
		}
		pause(time.Second)
		g.Expect(waiting).To(BeEmpty())
		finish(c, "r6", sched.Completed)
		g.Expect((<-waiting).err).NotTo(HaveOccurred())
		g.Expect(n.schedulers["B"].holds()).To(ConsistOf("r7", "w"))
	})
}

// Guards against a grant that counts twice, or for ever, when its session
// breaks while it is on its way.
func TestSessionBreaksWithGrantOnItsWay(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		n.serve("A", "A")
		c := n.client("e", "A")
		n.setHold(make(chan struct{}))
		held := n.hold
		got := ask(context.Background(), c, "r", 1)
		pause(2 * time.Second)
		g.Expect(n.schedulers["A"].placed()).To(Equal([]string{"r"}))
		n.setHold(nil)
		n.schedulers["A"].setLimit(0)
		n.breakNow(nil)
		// The next heartbeat shows that the session is broken.
		pause(5 * time.Second)
		close(held)
		pause(time.Second)
		g.Expect(got).To(BeEmpty(), "the grant of the old session must be ignored")
		g.Expect(n.schedulers["A"].holds()).To(BeEmpty(), "the lost grant must be taken back")
		n.schedulers["A"].setLimit(8)
		g.Expect((<-got).err).NotTo(HaveOccurred())
		g.Expect(n.schedulers["A"].holds()).To(ConsistOf("r"))
	})
}

// Guards against two schedulers that use the full limits when entries disagree
// about the owner, against placement on a withdrawn upstream, and against a
// client that does not use its own server directly.
func TestTwoSchedulers(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		n.serve("A", "A", "B")
		n.serve("B", "A", "B")
		n.down["B"] = true
		first := n.client("e", "A", "B")
		second := n.client("B", "B", "A")
		for i := range 12 {
			ask(context.Background(), first, fmt.Sprint("a", i), 1)
			ask(context.Background(), second, fmt.Sprint("b", i), 1)
		}
		pause(3 * time.Second)
		g.Expect(n.schedulers["A"].holds()).To(HaveLen(8))
		g.Expect(n.schedulers["B"].holds()).To(HaveLen(2))
		n.stop["client e"]()
		n.stop["client B"]()
	})
}

// Guards against an entry that uses a grant after its expiry, because it was
// frozen since the grant arrived.
func TestExpiredGrantIsReturned(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		n.serve("A", "A")
		c := n.client("e", "A")
		warm := <-ask(context.Background(), c, "warm", 1)
		g.Expect(warm.err).NotTo(HaveOccurred())
		n.schedulers["A"].expired = 1
		got := <-ask(context.Background(), c, "r", 1)
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.grant.Expiry).To(BeTemporally(">", time.Now()))
		g.Expect(n.schedulers["A"].placed()).To(Equal([]string{"warm", "r", "r"}))
	})
}

// Guards against a grant that stays in use when its request was cancelled
// while the grant was on its way, and against a run state other than not_run.
func TestCancelRacesWithGrant(t *testing.T) {
	for _, late := range []bool{true, false} {
		run(t, func(g *WithT, n *net) {
			n.serve("A", "A")
			c := n.client("e", "A")
			n.setHold(make(chan struct{}))
			ctx, cancel := context.WithCancel(context.Background())
			got := ask(ctx, c, "r", 1)
			pause(2 * time.Second)
			g.Expect(n.schedulers["A"].holds()).To(ConsistOf("r"))
			if late {
				cancel()
				pause(time.Second)
				close(n.hold)
			} else {
				close(n.hold)
				cancel()
			}
			pause(time.Second)
			result := <-got
			if result.err == nil {
				finish(c, "r", sched.NotDispatched)
				pause(time.Second)
			} else {
				g.Expect(errkind.AnswerFor(errkind.KindOf(result.err)).RunState).To(Equal(errkind.NotRun))
			}
			g.Expect(n.schedulers["A"].holds()).To(BeEmpty())
		})
	}
}

// Guards against a first grant before the entries said what they hold, and
// against a lower tier that is served first because it asked first.
func TestFirstGrantWaits(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		n.serve("A", "A", "idle")
		c := n.client("e", "A")
		start := time.Now()
		low := ask(context.Background(), c, "low", 1)
		pause(100 * time.Millisecond)
		high := ask(context.Background(), c, "high", 2)
		<-low
		<-high
		g.Expect(time.Since(start)).To(Equal(time.Second))
		g.Expect(n.schedulers["A"].placed()).To(Equal([]string{"high", "low"}))
	})
}

// Guards against a caller that is answered before the strikes of its request
// reached the other domains, and against strikes that a new scheduler forgets.
func TestStrikesAreSentFirst(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		n.serve("A", "A", "B")
		n.serve("B", "A", "B")
		sent := false
		n.striking = func() { time.Sleep(300 * time.Millisecond); sent = true }
		c := n.client("e", "A", "B")
		g.Expect((<-ask(context.Background(), c, "r", 1)).err).NotTo(HaveOccurred())
		n.schedulers["A"].AddStrikes(time.Now(), map[uint64]int{99: 1})
		finish(c, "r", sched.UpstreamBroken)
		g.Expect(sent).To(BeTrue())
		n.kill("A")
		g.Expect((<-ask(context.Background(), c, "next", 1)).err).NotTo(HaveOccurred())
		g.Expect(n.schedulers["B"].Strikes()).To(Equal(map[uint64]int{99: 2}))
		_, err := n.servers["B"].ReportStrike(context.Background(), &peer.StrikeReport{Model: "m", Strikes: []*peer.Strike{{Fingerprint: 5, Count: 1}}})
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		g.Expect(n.schedulers["B"].Strikes()).To(HaveKeyWithValue(uint64(5), 1))
	})
}

// Guards against strikes that stay in one domain because the load report showed
// the crash before the entry did.
func TestStrikesFromLoadReportsAreSent(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		sent := 0
		n.striking = func() { sent++ }
		n.incarnation = "restarted"
		n.serve("A", "A")
		c := n.client("e", "A")
		g.Expect((<-ask(context.Background(), c, "r", 1)).err).NotTo(HaveOccurred())
		pause(5 * time.Second)
		g.Expect(sent).To(Equal(1))
	})
}

// Guards against grants of a dead entry that block an upstream for ever, and
// against the loss of those of an idle entry that runs.
func TestLease(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		n.serve("A", "A")
		c := n.client("e", "A")
		g.Expect((<-ask(context.Background(), c, "r", 1)).err).NotTo(HaveOccurred())
		pause(time.Minute)
		g.Expect(n.schedulers["A"].holds()).To(ConsistOf("r"))
		n.stop["client e"]()
		// The last heartbeat was at most 3 s ago.
		pause(6 * time.Second)
		g.Expect(n.schedulers["A"].holds()).To(ConsistOf("r"))
		pause(5 * time.Second)
		g.Expect(n.schedulers["A"].dropped).To(Equal([]string{"e/1"}))
	})
}

// Guards against a session that works in memory only. With 2 grants at a time
// the third request also shows that releases arrive.
func TestSessionOverNetwork(t *testing.T) {
	g := NewWithT(t)
	n := &net{servers: map[string]*pool.Server{}, schedulers: map[string]*fakeScheduler{}, stop: map[string]context.CancelFunc{}}
	n.serve("A", "e")
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	traffic := peer.NewTraffic(metrics.NewRegistry())
	server, err := peer.NewServer(peer.Handlers{Sessions: n.servers["A"]}, traffic, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	n.running.Go(func() { _ = server.Serve(ctx, listener) })
	dialer := peer.NewDialer(peer.DialerOptions{DialTimeout: time.Minute, CallTimeout: time.Minute, Traffic: traffic})
	c := pool.NewClient(pool.ClientOptions{
		Domain: "other", View: &view{self: "e"}, Clock: clockwork.NewRealClock(), Log: logr.Discard(),
		Lookup: func(string) []string { return []string{listener.Addr().String()} },
		Dial: func(ctx context.Context, address string) (pool.Stream, error) {
			return dialer.Client(address).Session(ctx)
		},
	})
	n.running.Go(func() { c.Run(ctx) })
	for _, id := range []string{"r1", "r2", "r3"} {
		got := <-ask(ctx, c, id, 1)
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.grant.Upstream).To(Equal("u"))
		finish(c, id, sched.Completed)
	}
	stop()
	n.stop["A"]()
	n.running.Wait()
	g.Expect(dialer.Close()).To(Succeed())
}

// Guards against a request that waits for ever, or is told an unknown run
// state, when no scheduler can be reached.
func TestNoScheduler(t *testing.T) {
	run(t, func(g *WithT, n *net) {
		c := n.client("e", "A", "B")
		got := <-ask(context.Background(), c, "r", 1)
		g.Expect(errkind.KindOf(got.err)).To(Equal(errkind.SchedulerUnreachable))
	})
}
