package pool_test

import (
	"context"
	"errors"
	"fmt"
	"net"
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

// fakeScheduler grants requests for one upstream in order of arrival, up to the
// upstream's limit.
type fakeScheduler struct {
	sched.Scheduler
	mu    sync.Mutex
	limit int
	// expiredGrants is the number of further grants that are made already expired.
	expiredGrants int
	waiting       []sched.Request
	grants        map[string]bool
	granted       []string
	cancelled     []string
	strikes       map[uint64]int
	dropped       []string
}

func (f *fakeScheduler) update(now time.Time, event func()) sched.Decisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	if event != nil {
		event()
	}
	var d sched.Decisions
	for len(f.waiting) > 0 && len(f.grants) < f.limit {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		expiry := now.Add(2 * time.Second)
		if f.expiredGrants > 0 {
			f.expiredGrants--
			expiry = now
		}
		f.grants[r.ID] = true
		f.granted = append(f.granted, r.ID)
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
	return f.update(now, func() {
		f.limit = 0
		for _, u := range us {
			f.limit += u.MaxRequests
		}
	})
}

func (f *fakeScheduler) Acquire(now time.Time, r sched.Request) sched.Decisions {
	return f.update(now, func() { f.waiting = append(f.waiting, r) })
}

func (f *fakeScheduler) Cancel(now time.Time, _, id string) sched.Decisions {
	return f.update(now, func() { f.cancelled = append(f.cancelled, id); f.remove(id) })
}

func (f *fakeScheduler) Release(now time.Time, r sched.Result) sched.Decisions {
	return f.update(now, func() {
		f.remove(r.RequestID)
		if r.Outcome == sched.UpstreamBroken {
			f.strikes[99]++
		}
	})
}

func (f *fakeScheduler) AddHoldings(now time.Time, _ string, hs []sched.Holding) sched.Decisions {
	return f.update(now, func() {
		for _, h := range hs {
			f.grants[h.RequestID] = true
		}
	})
}

func (f *fakeScheduler) DropHolder(now time.Time, holder string) sched.Decisions {
	return f.update(now, func() { f.dropped = append(f.dropped, holder); clear(f.grants); f.waiting = nil })
}

func (f *fakeScheduler) ReportLoad(now time.Time, _ string, load sched.Load) sched.Decisions {
	return f.update(now, func() {
		if load.Incarnation == "restarted" {
			f.strikes[99] = 1
		}
	})
}
func (f *fakeScheduler) Tick(now time.Time) sched.Decisions { return f.update(now, nil) }
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

func (f *fakeScheduler) grantedIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.granted
}

func (f *fakeScheduler) heldGrants() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.grants {
		ids = append(ids, id)
	}
	return ids
}

// fakeView is a fixed list of live members; the first one is the owner of every
// pool. It is also the configuration source.
type fakeView struct {
	self    string
	members []member.Member
	changed chan struct{}
}

func (v *fakeView) Self() member.Member               { return member.Member{ID: v.self, Incarnation: 1} }
func (v *fakeView) Live() []member.Member             { return v.members }
func (v *fakeView) Find(string) (member.Member, bool) { return member.Member{}, false }
func (v *fakeView) Owners(string) []member.Member     { return v.members }
func (v *fakeView) Changed() <-chan struct{}          { return v.changed }
func (v *fakeView) Snapshot() *conf.Snapshot          { return snapshot }

var snapshot = &conf.Snapshot{
	Upstreams:          map[string]*record.Upstream{"u": {Name: "u", MaxRequests: 8}, "gone": {Name: "gone", MaxRequests: 8}},
	WithdrawnUpstreams: map[string]bool{"gone": true},
	Pools:              map[string]*conf.Pool{poolName: {Name: poolName, Domain: "north", Upstreams: []string{"gone", "u"}, Targets: []string{"model:m"}}},
}

// fakeNetwork connects clients and servers in memory, on the virtual clock of
// testing/synctest.
type fakeNetwork struct {
	mu          sync.Mutex
	servers     map[string]*pool.Server
	schedulers  map[string]*fakeScheduler
	stopFuncs   map[string]context.CancelFunc
	unreachable map[string]bool
	// grantGate delays grants on their way to entries until it is closed.
	grantGate chan struct{}
	// breakSession ends the session that was opened last.
	breakSession context.CancelCauseFunc
	// onStrikeReport is called for each report of crash strikes, the upstream
	// crashes per request fingerprint, to another failure domain.
	onStrikeReport func()
	// incarnation is the engine incarnation in the load reports.
	incarnation string
	tasks       sync.WaitGroup
}

func aliveMembers(ids ...string) (list []member.Member) {
	for _, id := range ids {
		list = append(list, member.Member{ID: id, Incarnation: 1, Address: id, Status: member.Alive})
	}
	return list
}

func (n *fakeNetwork) serve(id string, owners ...string) {
	f := &fakeScheduler{grants: map[string]bool{}, strikes: map[uint64]int{}}
	v := &fakeView{self: id, members: aliveMembers(owners...)}
	s := pool.NewServer(pool.ServerOptions{
		Domain: "north", View: v, Config: v, Clock: clockwork.NewRealClock(), Log: logr.Discard(),
		NewScheduler: func(string) sched.Scheduler { return f },
		ReadLoad: func(context.Context, record.Upstream) (sched.Load, error) {
			return sched.Load{Incarnation: n.incarnation}, nil
		},
		StrikeTargets:      func(string) []string { return []string{"south"} },
		DialStrikeReporter: func(string) pool.StrikeReporter { return n },
	})
	ctx, stop := context.WithCancel(context.Background())
	n.servers[id], n.schedulers[id], n.stopFuncs[id] = s, f, stop
	n.tasks.Go(func() { s.Run(ctx) })
}

func (n *fakeNetwork) ReportStrike(context.Context, *peer.StrikeReport) (*peer.Ack, error) {
	n.onStrikeReport()
	return &peer.Ack{}, nil
}

// gatedStream is a session whose grants wait for grantGate. A delayed grant is
// delivered even if the session has ended in the meantime.
type gatedStream struct {
	pool.Stream
	network *fakeNetwork
	ctx     context.Context
}

func (l *gatedStream) Recv() (*peer.SchedulerMessage, error) {
	m, err := l.Stream.Recv()
	if gate := l.network.currentGrantGate(); gate != nil && err == nil && m.GetGrant() != nil {
		<-gate
	}
	return m, err
}

func (n *fakeNetwork) client(id string, owners ...string) *pool.EntryClient {
	c := pool.NewClient(pool.ClientOptions{
		Domain: "north", Region: "r", View: &fakeView{self: id, members: aliveMembers(owners...)},
		Clock: clockwork.NewRealClock(), Log: logr.Discard(), Local: n.servers[id],
		LookupSchedulers: func(string) []string { return []string{"A"} },
		Dial: func(ctx context.Context, address string) (pool.Stream, error) {
			if n.isUnreachable(address) {
				return nil, errors.New("connection refused")
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			ctx, n.breakSession = context.WithCancelCause(ctx)
			return &gatedStream{n.servers[address].ConnectLocal(ctx), n, ctx}, nil
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	n.stopFuncs["client "+id] = stop
	n.tasks.Go(func() { c.Run(ctx) })
	return c
}

func (n *fakeNetwork) isUnreachable(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unreachable[id] || n.servers[id] == nil
}

func (n *fakeNetwork) currentGrantGate() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.grantGate
}

func (n *fakeNetwork) setGrantGate(gate chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.grantGate = gate
}

func (n *fakeNetwork) kill(id string) {
	n.mu.Lock()
	n.unreachable[id] = true
	n.mu.Unlock()
	n.stopFuncs[id]()
}

func withNetwork(t *testing.T, test func(*WithT, *fakeNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{servers: map[string]*pool.Server{}, schedulers: map[string]*fakeScheduler{},
			stopFuncs: map[string]context.CancelFunc{}, unreachable: map[string]bool{}, onStrikeReport: func() {}}
		defer func() {
			for _, stop := range n.stopFuncs {
				stop()
			}
			n.tasks.Wait()
		}()
		test(NewWithT(t), n)
	})
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

type acquireResult struct {
	grant sched.Grant
	err   error
}

func acquire(ctx context.Context, c *pool.EntryClient, id string, tier int) chan acquireResult {
	result := make(chan acquireResult, 1)
	go func() {
		grant, err := c.Acquire(ctx, poolName, pool.Request{ID: id, Work: sched.Work{Tier: tier, Model: "m", Fingerprint: 99}, Deadline: time.Now().Add(time.Minute)})
		result <- acquireResult{grant, err}
	}()
	return result
}

func release(c *pool.EntryClient, id string, outcome sched.Outcome) {
	c.Release(context.Background(), poolName, sched.Work{Model: "m", Fingerprint: 99}, sched.Result{RequestID: id, Outcome: outcome})
}

// Guards against the loss of waiting requests when their scheduler fails, and
// against a new scheduler that does not learn of the grants in use. The new one
// is not the owner in its own view, so its limit is 2 of 8, and it must not grant
// while two or more grants are in use.
func TestFailoverKeepsWaitersAndHoldings(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		n.serve("A", "A", "B")
		n.serve("B", "A", "B")
		c := n.client("e", "A", "B")
		ctx := context.Background()
		var waiting chan acquireResult
		for i := range 8 {
			g.Expect((<-acquire(ctx, c, fmt.Sprint("r", i), 1)).err).NotTo(HaveOccurred())
		}
		waiting = acquire(ctx, c, "w", 1)
		advance(2 * time.Second)
		n.kill("A")
		advance(5 * time.Second)
		g.Expect(n.schedulers["B"].heldGrants()).To(HaveLen(8))
		for i := range 6 {
			release(c, fmt.Sprint("r", i), sched.Completed)
		}
		advance(time.Second)
		g.Expect(waiting).To(BeEmpty())
		release(c, "r6", sched.Completed)
		g.Expect((<-waiting).err).NotTo(HaveOccurred())
		g.Expect(n.schedulers["B"].heldGrants()).To(ConsistOf("r7", "w"))
	})
}

// Guards against a grant that is counted twice, or never released, when the
// session breaks before the grant reaches the entry.
func TestGrantInFlightWhenSessionBreaks(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		n.serve("A", "A")
		c := n.client("e", "A")
		n.setGrantGate(make(chan struct{}))
		gate := n.grantGate
		got := acquire(context.Background(), c, "r", 1)
		advance(2 * time.Second)
		g.Expect(n.schedulers["A"].grantedIDs()).To(Equal([]string{"r"}))
		n.setGrantGate(nil)
		n.schedulers["A"].setLimit(0)
		n.breakSession(nil)
		// Sending the next heartbeat fails and ends the session.
		advance(5 * time.Second)
		close(gate)
		advance(time.Second)
		g.Expect(got).To(BeEmpty(), "the grant of the old session must be ignored")
		g.Expect(n.schedulers["A"].heldGrants()).To(BeEmpty(), "the lost grant must be taken back")
		n.schedulers["A"].setLimit(8)
		g.Expect((<-got).err).NotTo(HaveOccurred())
		g.Expect(n.schedulers["A"].heldGrants()).To(ConsistOf("r"))
	})
}

// Guards against two schedulers that both use the full limits when entries
// disagree about the owner, against grants for a withdrawn upstream, and against
// a client that connects to its own instance over the network.
func TestNonOwnerUsesReducedLimits(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		n.serve("A", "A", "B")
		n.serve("B", "A", "B")
		n.unreachable["B"] = true
		first := n.client("e", "A", "B")
		second := n.client("B", "B", "A")
		for i := range 12 {
			acquire(context.Background(), first, fmt.Sprint("a", i), 1)
			acquire(context.Background(), second, fmt.Sprint("b", i), 1)
		}
		advance(3 * time.Second)
		g.Expect(n.schedulers["A"].heldGrants()).To(HaveLen(8))
		g.Expect(n.schedulers["B"].heldGrants()).To(HaveLen(2))
		n.stopFuncs["client e"]()
		n.stopFuncs["client B"]()
	})
}

// Guards against an entry that uses an expired grant, for example after the
// process was suspended since the grant arrived.
func TestExpiredGrantIsReturned(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		n.serve("A", "A")
		c := n.client("e", "A")
		warm := <-acquire(context.Background(), c, "warm", 1)
		g.Expect(warm.err).NotTo(HaveOccurred())
		n.schedulers["A"].expiredGrants = 1
		got := <-acquire(context.Background(), c, "r", 1)
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.grant.Expiry).To(BeTemporally(">", time.Now()))
		g.Expect(n.schedulers["A"].grantedIDs()).To(Equal([]string{"warm", "r", "r"}))
	})
}

// Guards against a grant that is never released when its request is cancelled
// while the grant is in transit, and against an error for that request whose run
// state is not not_run.
func TestCancelRacesWithGrant(t *testing.T) {
	for _, late := range []bool{true, false} {
		withNetwork(t, func(g *WithT, n *fakeNetwork) {
			n.serve("A", "A")
			c := n.client("e", "A")
			n.setGrantGate(make(chan struct{}))
			ctx, cancel := context.WithCancel(context.Background())
			got := acquire(ctx, c, "r", 1)
			advance(2 * time.Second)
			g.Expect(n.schedulers["A"].heldGrants()).To(ConsistOf("r"))
			if late {
				cancel()
				advance(time.Second)
				close(n.grantGate)
			} else {
				close(n.grantGate)
				cancel()
			}
			advance(time.Second)
			result := <-got
			if result.err == nil {
				release(c, "r", sched.NotDispatched)
				advance(time.Second)
			} else {
				g.Expect(errkind.ResponseFor(errkind.KindOf(result.err)).RunState).To(Equal(errkind.NotRun))
			}
			g.Expect(n.schedulers["A"].heldGrants()).To(BeEmpty())
		})
	}
}

// Guards against grants before all members have sent Hello or helloTimeout has
// passed, and against queued requests that are granted in order of arrival
// instead of by tier.
func TestGrantsWaitForHellos(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		n.serve("A", "A", "idle")
		c := n.client("e", "A")
		start := time.Now()
		low := acquire(context.Background(), c, "low", 1)
		advance(100 * time.Millisecond)
		high := acquire(context.Background(), c, "high", 2)
		<-low
		<-high
		g.Expect(time.Since(start)).To(Equal(time.Second))
		g.Expect(n.schedulers["A"].grantedIDs()).To(Equal([]string{"high", "low"}))
	})
}

// Guards against a Release that returns before the crash strikes, which count
// upstream crashes per request fingerprint, reached the other failure domains, and
// against strikes that a new scheduler does not get.
func TestStrikesSentBeforeReleaseAck(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		n.serve("A", "A", "B")
		n.serve("B", "A", "B")
		sent := false
		n.onStrikeReport = func() { time.Sleep(300 * time.Millisecond); sent = true }
		c := n.client("e", "A", "B")
		g.Expect((<-acquire(context.Background(), c, "r", 1)).err).NotTo(HaveOccurred())
		n.schedulers["A"].AddStrikes(time.Now(), map[uint64]int{99: 1})
		release(c, "r", sched.UpstreamBroken)
		g.Expect(sent).To(BeTrue())
		n.kill("A")
		g.Expect((<-acquire(context.Background(), c, "next", 1)).err).NotTo(HaveOccurred())
		g.Expect(n.schedulers["B"].Strikes()).To(Equal(map[uint64]int{99: 2}))
		_, err := n.servers["B"].ReportStrike(context.Background(), &peer.StrikeReport{Model: "m", Strikes: []*peer.Strike{{Fingerprint: 5, Count: 1}}})
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		g.Expect(n.schedulers["B"].Strikes()).To(HaveKeyWithValue(uint64(5), 1))
	})
}

// Guards against crash strikes that are not sent to the other failure domains
// when the load report shows the crash before an entry reports it.
func TestStrikesFromLoadReports(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		sent := 0
		n.onStrikeReport = func() { sent++ }
		n.incarnation = "restarted"
		n.serve("A", "A")
		c := n.client("e", "A")
		g.Expect((<-acquire(context.Background(), c, "r", 1)).err).NotTo(HaveOccurred())
		advance(5 * time.Second)
		g.Expect(sent).To(Equal(1))
	})
}

// Guards against grants of a failed entry that are never released, and against
// dropped grants of a live entry that sends only heartbeats.
func TestLeaseExpiry(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		n.serve("A", "A")
		c := n.client("e", "A")
		g.Expect((<-acquire(context.Background(), c, "r", 1)).err).NotTo(HaveOccurred())
		advance(time.Minute)
		g.Expect(n.schedulers["A"].heldGrants()).To(ConsistOf("r"))
		n.stopFuncs["client e"]()
		// The last heartbeat was at most 3 s ago.
		advance(6 * time.Second)
		g.Expect(n.schedulers["A"].heldGrants()).To(ConsistOf("r"))
		advance(5 * time.Second)
		g.Expect(n.schedulers["A"].dropped).To(Equal([]string{"e/1"}))
	})
}

// Guards against sessions that work in memory but not over the network. The
// limit is 2, so the third grant shows that releases arrive.
func TestSessionOverNetwork(t *testing.T) {
	g := NewWithT(t)
	n := &fakeNetwork{servers: map[string]*pool.Server{}, schedulers: map[string]*fakeScheduler{}, stopFuncs: map[string]context.CancelFunc{}}
	n.serve("A", "e")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	traffic := peer.NewTraffic(metrics.NewRegistry())
	server, err := peer.NewServer(peer.Handlers{Sessions: n.servers["A"]}, traffic, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	n.tasks.Go(func() { _ = server.Serve(ctx, listener) })
	dialer := peer.NewDialer(peer.DialerOptions{DialTimeout: time.Minute, CallTimeout: time.Minute, Traffic: traffic})
	c := pool.NewClient(pool.ClientOptions{
		Domain: "other", View: &fakeView{self: "e"}, Clock: clockwork.NewRealClock(), Log: logr.Discard(),
		LookupSchedulers: func(string) []string { return []string{listener.Addr().String()} },
		Dial: func(ctx context.Context, address string) (pool.Stream, error) {
			return dialer.Client(address).Session(ctx)
		},
	})
	n.tasks.Go(func() { c.Run(ctx) })
	for _, id := range []string{"r1", "r2", "r3"} {
		got := <-acquire(ctx, c, id, 1)
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.grant.Upstream).To(Equal("u"))
		release(c, id, sched.Completed)
	}
	stop()
	n.stopFuncs["A"]()
	n.tasks.Wait()
	g.Expect(dialer.Close()).To(Succeed())
}

// Guards against a request that is not refused, or is refused with another error
// kind, when no scheduler can be reached.
func TestNoSchedulerReachable(t *testing.T) {
	withNetwork(t, func(g *WithT, n *fakeNetwork) {
		c := n.client("e", "A", "B")
		got := <-acquire(context.Background(), c, "r", 1)
		g.Expect(errkind.KindOf(got.err)).To(Equal(errkind.SchedulerUnreachable))
	})
}
