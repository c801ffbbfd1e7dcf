package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// simulation runs cores on a simulated network in virtual time.
type simulation struct {
	now          time.Time
	events       eventQueue
	random       *rand.Rand
	nodes        []*simNode
	blocked      map[[2]string]bool
	messages     int
	bytes        int
	lastSequence int
	// expectLeaving is the ID of a member that must know that it is leaving.
	expectLeaving string
}

type simNode struct {
	sim     *simulation
	id      string
	core    *Core
	crashed bool
	frozen  bool
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any   { last := len(*e) - 1; x := (*e)[last]; *e = (*e)[:last]; return x }

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]string]bool{}}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{sim: s, id: fmt.Sprintf("entry-%02d", i)})
		s.start(i)
	}
	return s
}

// start starts a node, or its next incarnation. The first two nodes are the
// seeds of all.
func (s *simulation) start(i int) {
	n := s.nodes[i]
	n.crashed, n.frozen = false, false
	self := Member{ID: n.id, Incarnation: uint64(s.now.UnixNano()), Address: n.id, AdminAddress: "10.0.0.1:8081"}
	n.core = NewCore(Config{}, self, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	n.core.SetCandidates(s.now, []Candidate{{Address: s.nodes[0].id}, {Address: s.nodes[min(1, len(s.nodes)-1)].id}})
	s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() { n.tick(n.core) })
}

func (s *simulation) after(d time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{s.now.Add(d), s.lastSequence, run})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (n *simNode) tick(core *Core) {
	if n.crashed || core != n.core {
		return
	}
	if n.frozen {
		n.sim.after(100*time.Millisecond, func() { n.tick(core) })
		return
	}
	for _, p := range core.Tick(n.sim.now) {
		n.ping(p.To, p.Target, p.Updates, func(reply *peer.PingReply) {
			if core == n.core {
				core.HandlePingReply(n.sim.now, p, fromWire(reply.Receiver), allFromWire(reply.Updates), reply.TargetAlive)
			}
		})
	}
	n.sim.after(max(core.NextTickAt().Sub(n.sim.now), time.Millisecond), func() { n.tick(core) })
}

// ping sends a request and its answer; either is lost if its direction is
// blocked.
func (n *simNode) ping(to Member, target string, updates []Member, done func(*peer.PingReply)) {
	request := &peer.PingRequest{Sender: toWire(n.core.Self()), Updates: allToWire(updates), Target: target, ConfigDigest: 1 << 60, Domain: "balaton-north"}
	n.send(to.Address, request, func(receiver *simNode) {
		answer := receiver.core.HandlePing(n.sim.now, fromWire(request.Sender), allFromWire(request.Updates))
		reply := &peer.PingReply{Receiver: toWire(receiver.core.Self()), Updates: allToWire(answer), ConfigDigest: 1 << 60}
		back := func() { receiver.send(n.id, reply, func(*simNode) { done(reply) }) }
		if target == "" {
			back()
			return
		}
		if found, ok := receiver.core.Find(target); ok {
			receiver.ping(found, "", []Member{found}, func(*peer.PingReply) {
				reply.TargetAlive = true
				back()
			})
		}
	})
}

func (n *simNode) send(to string, message proto.Message, deliver func(*simNode)) {
	s := n.sim
	s.messages++
	s.bytes += proto.Size(message)
	s.after(time.Millisecond+time.Duration(s.random.Int64N(int64(4*time.Millisecond))), func() {
		for _, receiver := range s.nodes {
			if receiver.id == to && !receiver.crashed && !receiver.frozen && !s.blocked[[2]string{n.id, to}] {
				deliver(receiver)
			}
		}
	})
}

// setPartition blocks or restores both directions between the first size nodes
// and the others.
func (s *simulation) setPartition(size int, blocked bool) {
	for _, a := range s.nodes[:size] {
		for _, b := range s.nodes[size:] {
			s.blocked[[2]string{a.id, b.id}] = blocked
			s.blocked[[2]string{b.id, a.id}] = blocked
		}
	}
}

// disagreement describes the first error in the nodes' views, or is empty: the
// node expectLeaving does not know that it is leaving; a running node lists a
// crashed or frozen one that it does not consider dead; or its live members differ
// from the nodes that run and are not leaving.
func (s *simulation) disagreement() string {
	var want []string
	for _, n := range s.nodes {
		if n.id == s.expectLeaving && n.core.Self().Status != Leaving {
			return n.id + " does not know that it is leaving"
		}
		if !n.crashed && !n.frozen && n.core.Self().Status != Leaving {
			want = append(want, n.id)
		}
	}
	for _, n := range s.nodes {
		if n.crashed || n.frozen {
			continue
		}
		var got []string
		for _, m := range newSnapshot(n.core.Self(), n.core.Members()).live {
			got = append(got, m.ID)
		}
		for _, other := range s.nodes {
			if m, ok := n.core.Find(other.id); ok && m.Status != Dead && (other.crashed || other.frozen) {
				return fmt.Sprintf("%s reports %s as %s", n.id, other.id, m.Status)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			return fmt.Sprintf("%s sees %v, want %v", n.id, got, want)
		}
	}
	return ""
}

// Guards against failures that the membership does not detect, and against a
// running and reachable member that is not readmitted. Each fault is checked
// while it lasts and after it ends.
func TestMembersConverge(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*simulation)
		// detectWithin is the time after which all must agree while the fault
		// lasts; 0 skips the check.
		detectWithin time.Duration
		heal         func(*simulation)
		// recoverWithin is the time after which all must agree once the fault has
		// ended.
		recoverWithin time.Duration
	}{
		{"crash", func(s *simulation) { s.nodes[3].crashed = true }, 15 * time.Second, func(s *simulation) { s.start(3) }, 15 * time.Second},
		{"crash of both seeds", func(s *simulation) { s.nodes[0].crashed, s.nodes[1].crashed = true, true }, 15 * time.Second, func(s *simulation) { s.start(0); s.start(1) }, 15 * time.Second},
		{"quick restart", func(s *simulation) { s.nodes[3].crashed = true; s.run(100 * time.Millisecond); s.start(3) }, 10 * time.Second, func(*simulation) {}, 0},
		{"freeze", func(s *simulation) { s.nodes[3].frozen = true }, 15 * time.Second, func(s *simulation) { s.nodes[3].frozen = false }, 15 * time.Second},
		{"long freeze", func(s *simulation) { s.nodes[3].frozen = true; s.run(20 * time.Minute) }, time.Second, func(s *simulation) { s.nodes[3].frozen = false }, 15 * time.Second},
		{"one direction blocked", func(s *simulation) { s.blocked[[2]string{"entry-02", "entry-03"}] = true }, 30 * time.Second, func(s *simulation) { clear(s.blocked) }, 5 * time.Second},
		{"partition", func(s *simulation) { s.setPartition(4, true) }, 0, func(s *simulation) { s.run(time.Minute); s.setPartition(4, false) }, 30 * time.Second},
		{"long partition", func(s *simulation) { s.setPartition(4, true) }, 0, func(s *simulation) { s.run(20 * time.Minute); s.setPartition(4, false) }, 30 * time.Second},
		{"leaving", func(s *simulation) { s.nodes[3].core.Leave() }, 10 * time.Second, func(s *simulation) { s.nodes[3].crashed = true }, 15 * time.Second},
		{"list shows a member as leaving", func(s *simulation) {
			s.nodes[0].core.SetCandidates(s.now, []Candidate{{ID: "entry-03", Address: "entry-03", Leaving: true}})
			s.expectLeaving = "entry-03"
		}, 5 * time.Second, func(*simulation) {}, 0},
		{"seeds crash during a partition", func(s *simulation) { s.setPartition(4, true) }, 0, func(s *simulation) {
			s.run(time.Minute)
			s.nodes[0].crashed, s.nodes[1].crashed = true, true
			s.setPartition(4, false)
		}, 45 * time.Second},
		{"update lost about a member that one node cannot reach", func(s *simulation) {
			s.blocked[[2]string{"entry-02", "entry-03"}], s.blocked[[2]string{"entry-03", "entry-02"}] = true, true
			delete(s.nodes[2].core.records, "entry-03")
		}, time.Minute, func(*simulation) {}, 0},
		{"running members missing from the list", func(s *simulation) {
			for _, n := range s.nodes {
				n.core.SetCandidates(s.now, nil)
			}
		}, time.Minute, func(*simulation) {}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				g := NewWithT(t)
				s := newSimulation(seed, 8)
				s.run(30 * time.Second)
				g.Expect(s.disagreement()).To(BeEmpty(), "at start, seed %d", seed)
				c.fault(s)
				if c.detectWithin > 0 {
					s.run(c.detectWithin)
					g.Expect(s.disagreement()).To(BeEmpty(), "during the fault, seed %d", seed)
				}
				c.heal(s)
				s.run(c.recoverWithin)
				g.Expect(s.disagreement()).To(BeEmpty(), "after the fault, seed %d", seed)
			}
		})
	}
}

// Guards against a running member that is declared dead although it is only
// briefly unreachable, or suspected although indirect probes reach it.
func TestReachableMemberNotDeclaredDead(t *testing.T) {
	setIsolated := func(s *simulation, blocked bool) {
		for _, n := range s.nodes {
			s.blocked[[2]string{n.id, "entry-03"}] = blocked
		}
	}
	cases := []struct {
		name        string
		fault       func(*simulation)
		worstStatus Status
	}{
		{"one direction blocked", func(s *simulation) { s.blocked[[2]string{"entry-02", "entry-03"}] = true }, Alive},
		{"unreachable for two seconds", func(s *simulation) { setIsolated(s, true); s.run(2 * time.Second); setIsolated(s, false) }, Suspect},
		{"suspecting member paused", func(s *simulation) {
			setIsolated(s, true)
			s.run(3 * time.Second)
			setIsolated(s, false)
			s.nodes[5].frozen = true
			s.run(20 * time.Second)
			s.nodes[5].frozen = false
		}, Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				g := NewWithT(t)
				s := newSimulation(seed, 8)
				s.run(30 * time.Second)
				c.fault(s)
				for range 400 {
					s.run(50 * time.Millisecond)
					for _, n := range s.nodes {
						m, _ := n.core.Find("entry-03")
						g.Expect(m.Status).To(BeNumerically("<=", c.worstStatus), "%s, seed %d", n.id, seed)
					}
				}
			}
		})
	}
}

// Guards against members that do not converge again after a random sequence of
// faults.
func TestMembersConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), 6)
		s.run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			i := rapid.IntRange(0, 5).Draw(rt, "node")
			j := rapid.IntRange(0, 5).Draw(rt, "other")
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				s.nodes[i].crashed = true
			case 1:
				s.start(i)
			case 2:
				s.nodes[i].frozen = !s.nodes[i].frozen
			case 3:
				s.blocked[[2]string{s.nodes[i].id, s.nodes[j].id}] = true
			case 4:
				s.setPartition(i, true)
			case 5:
				s.setPartition(i, false)
			}
			s.run(time.Duration(rapid.IntRange(0, 20000).Draw(rt, "ms")) * time.Millisecond)
		}
		clear(s.blocked)
		for _, n := range s.nodes {
			n.frozen = false
		}
		if s.nodes[0].crashed && s.nodes[1].crashed {
			s.start(0)
		}
		s.run(90 * time.Second)
		if d := s.disagreement(); d != "" {
			rt.Fatal(d)
		}
	})
}

// Guards against all-to-all traffic: the traffic per member must not grow with
// the number of members. Logs the traffic at 60 members.
func TestTrafficAtSixtyMembers(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(1, 60)
	s.run(2 * time.Minute)
	g.Expect(s.disagreement()).To(BeEmpty())
	s.messages, s.bytes = 0, 0
	const seconds = 60
	s.run(seconds * time.Second)
	messages := float64(s.messages) / 60 / seconds
	bytes := float64(s.bytes) / 60 / seconds
	t.Logf("per member and second: %.2f messages, %.0f bytes sent", messages, bytes)
	g.Expect(messages).To(BeNumerically("<", 4))
	g.Expect(bytes).To(BeNumerically("<", 1000))
	s.nodes[30].crashed = true
	s.messages, s.bytes = 0, 0
	start := s.now
	for s.disagreement() != "" {
		s.run(100 * time.Millisecond)
	}
	t.Logf("all members agree on a crash after %v; %.0f bytes per member and second until then",
		s.now.Sub(start), float64(s.bytes)/60/s.now.Sub(start).Seconds())
	g.Expect(s.now.Sub(start)).To(BeNumerically("<", 15*time.Second))
}

// Guards against a change of owners when an unrelated member leaves.
func TestOwnersAreStable(t *testing.T) {
	g := NewWithT(t)
	var members []Member
	for i := range 20 {
		members = append(members, Member{ID: fmt.Sprint("m", i), Status: Alive})
	}
	before := newSnapshot(members[0], members)
	after := newSnapshot(members[0], members[:19])
	firsts := map[string]int{}
	for k := range 200 {
		key := fmt.Sprint("pool", k)
		var want []Member
		for _, m := range before.ownersOf(key) {
			if m.ID != "m19" {
				want = append(want, m)
			}
		}
		g.Expect(after.ownersOf(key)).To(Equal(want))
		firsts[want[0].ID]++
	}
	g.Expect(len(firsts)).To(BeNumerically(">", 15))
}
