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

// sim runs cores on a network in memory, on virtual time.
type sim struct {
	now      time.Time
	events   events
	random   *rand.Rand
	nodes    []*simNode
	cut      map[[2]string]bool
	messages int
	bytes    int
	order    int
	// wantLeaving is a member that must have learned that it is leaving.
	wantLeaving string
}

type simNode struct {
	sim    *sim
	id     string
	core   *Core
	down   bool
	frozen bool
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any   { last := len(*e) - 1; x := (*e)[last]; *e = (*e)[:last]; return x }

func newSim(seed uint64, n int) *sim {
	s := &sim{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{sim: s, id: fmt.Sprintf("entry-%02d", i)})
		s.start(i)
	}
	return s
}

// start starts a node, or its next incarnation. Everyone has the first two as seeds.
func (s *sim) start(i int) {
	n := s.nodes[i]
	n.down, n.frozen = false, false
	self := Member{ID: n.id, Incarnation: uint64(s.now.UnixNano()), Address: n.id, AdminAddress: "10.0.0.1:8081"}
	n.core = NewCore(Config{}, self, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	n.core.SetCandidates(s.now, []Candidate{{Address: s.nodes[0].id}, {Address: s.nodes[min(1, len(s.nodes)-1)].id}})
	s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() { n.tick(n.core) })
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now.Add(d), s.order, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (n *simNode) tick(core *Core) {
	if n.down || core != n.core {
		return
	}
	if n.frozen {
		n.sim.after(100*time.Millisecond, func() { n.tick(core) })
		return
	}
	for _, p := range core.Tick(n.sim.now) {
		n.ping(p.To, p.Target, p.Updates, func(reply *peer.PingReply) {
			if core == n.core {
				core.Answered(n.sim.now, p, fromWire(reply.Receiver), allFromWire(reply.Updates), reply.TargetAlive)
			}
		})
	}
	n.sim.after(max(core.Next().Sub(n.sim.now), time.Millisecond), func() { n.tick(core) })
}

// ping sends a request and its answer; either is lost if the way is cut.
func (n *simNode) ping(to Member, target string, updates []Member, done func(*peer.PingReply)) {
	request := &peer.PingRequest{Sender: toWire(n.core.Self()), Updates: allToWire(updates), Target: target, ConfigDigest: 1 << 60, Domain: "balaton-north"}
	n.send(to.Address, request, func(receiver *simNode) {
		answer := receiver.core.Receive(n.sim.now, fromWire(request.Sender), allFromWire(request.Updates))
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
			if receiver.id == to && !receiver.down && !receiver.frozen && !s.cut[[2]string{n.id, to}] {
				deliver(receiver)
			}
		}
	})
}

// isolate cuts or restores both ways between two groups.
func (s *sim) isolate(k int, cut bool) {
	for _, a := range s.nodes[:k] {
		for _, b := range s.nodes[k:] {
			s.cut[[2]string{a.id, b.id}] = cut
			s.cut[[2]string{b.id, a.id}] = cut
		}
	}
}

// disagreement describes a running node whose live members are not exactly the
// nodes that run and do not leave; it is empty when all agree.
func (s *sim) disagreement() string {
	var want []string
	for _, n := range s.nodes {
		if n.id == s.wantLeaving && n.core.Self().Status != Leaving {
			return n.id + " does not know that it is leaving"
		}
		if !n.down && !n.frozen && n.core.Self().Status != Leaving {
			want = append(want, n.id)
		}
	}
	for _, n := range s.nodes {
		if n.down || n.frozen {
			continue
		}
		var got []string
		for _, m := range newSnapshot(n.core.Self(), n.core.Members()).live {
			got = append(got, m.ID)
		}
		for _, other := range s.nodes {
			if m, ok := n.core.Find(other.id); ok && m.Status != Dead && (other.down || other.frozen) {
				return fmt.Sprintf("%s holds %s to be %s", n.id, other.id, m.Status)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			return fmt.Sprintf("%s sees %v, want %v", n.id, got, want)
		}
	}
	return ""
}

// Guards against a failure that membership does not notice, and against a
// member that runs and can be reached but is kept out. Each fault is checked
// while it lasts and after it ends.
func TestMembersAgree(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*sim)
		// lasts is the time after which all agree while the fault lasts; 0 skips the check.
		lasts time.Duration
		heal  func(*sim)
		// healed is the time after which all agree again.
		healed time.Duration
	}{
		{"crash", func(s *sim) { s.nodes[3].down = true }, 15 * time.Second, func(s *sim) { s.start(3) }, 15 * time.Second},
		{"crash of the seeds", func(s *sim) { s.nodes[0].down, s.nodes[1].down = true, true }, 15 * time.Second, func(s *sim) { s.start(0); s.start(1) }, 15 * time.Second},
		{"quick restart", func(s *sim) { s.nodes[3].down = true; s.run(100 * time.Millisecond); s.start(3) }, 10 * time.Second, func(*sim) {}, 0},
		{"freeze", func(s *sim) { s.nodes[3].frozen = true }, 15 * time.Second, func(s *sim) { s.nodes[3].frozen = false }, 15 * time.Second},
		{"long freeze", func(s *sim) { s.nodes[3].frozen = true; s.run(20 * time.Minute) }, time.Second, func(s *sim) { s.nodes[3].frozen = false }, 15 * time.Second},
		{"one-way cut", func(s *sim) { s.cut[[2]string{"entry-02", "entry-03"}] = true }, 30 * time.Second, func(s *sim) { clear(s.cut) }, 5 * time.Second},
		{"partition", func(s *sim) { s.isolate(4, true) }, 0, func(s *sim) { s.run(time.Minute); s.isolate(4, false) }, 30 * time.Second},
		{"long partition", func(s *sim) { s.isolate(4, true) }, 0, func(s *sim) { s.run(20 * time.Minute); s.isolate(4, false) }, 30 * time.Second},
		{"leaving", func(s *sim) { s.nodes[3].core.Leave() }, 10 * time.Second, func(s *sim) { s.nodes[3].down = true }, 15 * time.Second},
		{"list says leaving", func(s *sim) {
			s.nodes[0].core.SetCandidates(s.now, []Candidate{{ID: "entry-03", Address: "entry-03", Leaving: true}})
			s.wantLeaving = "entry-03"
		}, 5 * time.Second, func(*sim) {}, 0},
		{"partition in which the seeds crash", func(s *sim) { s.isolate(4, true) }, 0, func(s *sim) {
			s.run(time.Minute)
			s.nodes[0].down, s.nodes[1].down = true, true
			s.isolate(4, false)
		}, 45 * time.Second},
		{"lost gossip about a member that is cut off from one other", func(s *sim) {
			s.cut[[2]string{"entry-02", "entry-03"}], s.cut[[2]string{"entry-03", "entry-02"}] = true, true
			delete(s.nodes[2].core.records, "entry-03")
		}, time.Minute, func(*sim) {}, 0},
		{"list lost a running member", func(s *sim) {
			for _, n := range s.nodes {
				n.core.SetCandidates(s.now, nil)
			}
		}, time.Minute, func(*sim) {}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				g := NewWithT(t)
				s := newSim(seed, 8)
				s.run(30 * time.Second)
				g.Expect(s.disagreement()).To(BeEmpty(), "at start, seed %d", seed)
				c.fault(s)
				if c.lasts > 0 {
					s.run(c.lasts)
					g.Expect(s.disagreement()).To(BeEmpty(), "during the fault, seed %d", seed)
				}
				c.heal(s)
				s.run(c.healed)
				g.Expect(s.disagreement()).To(BeEmpty(), "after the fault, seed %d", seed)
			}
		})
	}
}

// Guards against a running member that is held to be dead, or is even
// suspected, although others reach it or it was silent only for a moment.
func TestNoFalseDeaths(t *testing.T) {
	cutOff := func(s *sim, cut bool) {
		for _, n := range s.nodes {
			s.cut[[2]string{n.id, "entry-03"}] = cut
		}
	}
	cases := []struct {
		name  string
		fault func(*sim)
		worst Status
	}{
		{"one-way cut", func(s *sim) { s.cut[[2]string{"entry-02", "entry-03"}] = true }, Alive},
		{"silent for two seconds", func(s *sim) { cutOff(s, true); s.run(2 * time.Second); cutOff(s, false) }, Suspect},
		{"a member that suspects is paused", func(s *sim) {
			cutOff(s, true)
			s.run(3 * time.Second)
			cutOff(s, false)
			s.nodes[5].frozen = true
			s.run(20 * time.Second)
			s.nodes[5].frozen = false
		}, Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				g := NewWithT(t)
				s := newSim(seed, 8)
				s.run(30 * time.Second)
				c.fault(s)
				for range 400 {
					s.run(50 * time.Millisecond)
					for _, n := range s.nodes {
						m, _ := n.core.Find("entry-03")
						g.Expect(m.Status).To(BeNumerically("<=", c.worst), "%s, seed %d", n.id, seed)
					}
				}
			}
		})
	}
}

// Guards against members that never agree again after faults in any order.
func TestMembersAgreeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), 6)
		s.run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			i := rapid.IntRange(0, 5).Draw(rt, "node")
			j := rapid.IntRange(0, 5).Draw(rt, "other")
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				s.nodes[i].down = true
			case 1:
				s.start(i)
			case 2:
				s.nodes[i].frozen = !s.nodes[i].frozen
			case 3:
				s.cut[[2]string{s.nodes[i].id, s.nodes[j].id}] = true
			case 4:
				s.isolate(i, true)
			case 5:
				s.isolate(i, false)
			}
			s.run(time.Duration(rapid.IntRange(0, 20000).Draw(rt, "ms")) * time.Millisecond)
		}
		clear(s.cut)
		for _, n := range s.nodes {
			n.frozen = false
		}
		if s.nodes[0].down && s.nodes[1].down {
			s.start(0)
		}
		s.run(90 * time.Second)
		if d := s.disagreement(); d != "" {
			rt.Fatal(d)
		}
	})
}

// Guards against all-to-all traffic: the cost per member must not grow with the
// number of members. Prints what 60 members cost.
func TestTrafficAtSixtyMembers(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 60)
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
	s.nodes[30].down = true
	s.messages, s.bytes = 0, 0
	start := s.now
	for s.disagreement() != "" {
		s.run(100 * time.Millisecond)
	}
	t.Logf("a crash is agreed on after %v; %.0f bytes per member and second until then",
		s.now.Sub(start), float64(s.bytes)/60/s.now.Sub(start).Seconds())
	g.Expect(s.now.Sub(start)).To(BeNumerically("<", 15*time.Second))
}

// Guards against owners that change when an unrelated member leaves.
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
		for _, m := range before.order(key) {
			if m.ID != "m19" {
				want = append(want, m)
			}
		}
		g.Expect(after.order(key)).To(Equal(want))
		firsts[want[0].ID]++
	}
	g.Expect(len(firsts)).To(BeNumerically(">", 15))
}
