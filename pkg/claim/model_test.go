package claim_test

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
)

func init() {
	// A double dispatch needs some ten steps in the right order. With 4000
	// checks (-rapid.checks=4000) every mechanism that is taken out is found.
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.checks", "800")
}

// modelAttempt is an attempt of a caller at an instance.
type modelAttempt struct {
	// identity is what the caller sends, and root the identity of the request:
	// a caller may also send the request ID that an attempt with its key returned.
	identity, root string
	at             *instance
	cancel         context.CancelFunc
	returned       bool
	reply          claim.Reply
	err            error
	// refused is set once the caller was told that the request did not run.
	refused    bool
	dispatched bool
	finished   bool
}

// model drives the instances and counts the dispatches per identity.
type model struct {
	*world
	identities []string
	roots      map[string]string
	attempts   []*modelAttempt
	dispatches map[string]int
	granted    int
	takenOver  int
}

func (m *model) up(rt *rapid.T) *instance {
	in := m.instances[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "instance")]
	if in.dead || in.frozen {
		rt.Skip("not running")
	}
	return in
}

func (m *model) pick(rt *rapid.T, accept func(*modelAttempt) bool) *modelAttempt {
	var found []*modelAttempt
	for _, a := range m.attempts {
		if !a.at.dead && !a.at.frozen && accept(a) {
			found = append(found, a)
		}
	}
	if len(found) == 0 {
		rt.Skip("no such attempt")
	}
	return rapid.SampledFrom(found).Draw(rt, "attempt")
}

func (m *model) message(rt *rapid.T, accept func(*message) bool) *message {
	found := m.open(accept)
	if len(found) == 0 {
		rt.Skip("no such message")
	}
	// Recent messages matter most; the old ones are late duplicates.
	if len(found) > 6 && rapid.Bool().Draw(rt, "recent") {
		found = found[len(found)-6:]
	}
	return rapid.SampledFrom(found).Draw(rt, "message")
}

func (m *model) attempt(rt *rapid.T) {
	in := m.up(rt)
	identity := rapid.SampledFrom(m.identities).Draw(rt, "identity")
	if n := len(m.attempts); n > 0 && rapid.Bool().Draw(rt, "same") {
		identity = m.attempts[n-1].identity
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &modelAttempt{identity: identity, root: identity, at: in, cancel: cancel}
	if root := m.roots[identity]; root != "" {
		a.root = root
	}
	m.attempts = append(m.attempts, a)
	go func() {
		a.reply, a.err = in.node.Claim(ctx, "team", identity)
		a.returned = true
	}()
	synctest.Wait()
}

func (a *modelAttempt) holds() bool {
	return a.returned && a.err == nil && a.reply.Result == claim.Granted && !a.refused && !a.dispatched
}

func (m *model) settled(rt *rapid.T) {
	synctest.Wait()
	for _, a := range m.attempts {
		if a.returned && a.err != nil && errkind.AnswerFor(errkind.KindOf(a.err)).RunState == errkind.NotRun {
			a.refused = true
		}
		if a.refused && a.dispatched {
			rt.Fatalf("%s was dispatched by %v and answered as not run", a.identity, a.at.ref)
		}
	}
	for identity, count := range m.dispatches {
		if count > 1 {
			rt.Fatalf("%s was dispatched %d times", identity, count)
		}
	}
}

func (m *model) dispatch(rt *rapid.T) {
	a := m.pick(rt, (*modelAttempt).holds)
	a.at.node.Update(a.reply.RequestID, claim.Dispatched, "u")
	a.dispatched = true
	m.dispatches[a.root]++
	m.granted++
}

// repair ends freezes and the outage, and lets the membership catch up.
func (m *model) repair(*rapid.T) {
	m.out = false
	for _, in := range m.instances {
		in.frozen = false
		m.view[in.id] = member.Member{ID: in.id, Address: in.id, Incarnation: in.ref.Incarnation, Status: member.Alive}
	}
}

// exchange lets the network work without faults until nothing waits that can
// proceed. Phase updates may stay behind, to arrive late.
func (m *model) exchange(rt *rapid.T) {
	updates := rapid.Bool().Draw(rt, "updates")
	for range 30 {
		for _, msg := range m.open(func(msg *message) bool {
			return !msg.answered && !m.instances[msg.from].frozen && (updates || !msg.update)
		}) {
			to := m.instances[msg.to]
			if len(msg.replies) == 0 && (msg.to == storeName || !to.dead && !to.frozen) {
				m.deliver(msg)
			}
			if len(msg.replies) > 0 {
				msg.answer(msg.replies[0])
			}
			synctest.Wait()
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	deliver := func(rt *rapid.T) {
		m.deliver(m.message(rt, func(msg *message) bool {
			to := m.instances[msg.to]
			return msg.to == storeName || !to.dead && !to.frozen
		}))
	}
	answer := func(rt *rapid.T) {
		msg := m.message(rt, func(msg *message) bool {
			return !msg.answered && len(msg.replies) > 0 && !m.instances[msg.from].frozen
		})
		msg.answer(rapid.SampledFrom(msg.replies).Draw(rt, "reply"))
	}
	return map[string]func(*rapid.T){
		"attempt":       m.attempt,
		"attempt again": m.attempt,
		"deliver":       deliver,
		"deliver more":  deliver,
		"answer":        answer,
		"answer more":   answer,
		"exchange":      m.exchange,
		"exchange more": m.exchange,
		"time out": func(rt *rapid.T) {
			msg := m.message(rt, func(msg *message) bool { return !msg.answered && !m.instances[msg.from].frozen })
			msg.answer(result{err: context.DeadlineExceeded})
		},
		"give up": func(rt *rapid.T) {
			m.pick(rt, func(a *modelAttempt) bool { return !a.returned }).cancel()
		},
		"dispatch":      m.dispatch,
		"dispatch more": m.dispatch,
		"abandon": func(rt *rapid.T) {
			a := m.pick(rt, (*modelAttempt).holds)
			a.at.node.Update(a.reply.RequestID, claim.Abandoned, "")
			a.refused = true
			m.takenOver++
		},
		"finish": func(rt *rapid.T) {
			a := m.pick(rt, func(a *modelAttempt) bool { return a.dispatched && !a.finished })
			a.at.node.Update(a.reply.RequestID, claim.Finished, "u")
			a.finished = true
		},
		"issue": func(rt *rapid.T) {
			m.identities = append(m.identities, m.up(rt).node.NewID("team"))
		},
		"send request ID": func(rt *rapid.T) {
			a := m.pick(rt, func(a *modelAttempt) bool { return a.returned && a.reply.RequestID != "" })
			if a.reply.RequestID != a.identity && m.roots[a.reply.RequestID] == "" {
				m.roots[a.reply.RequestID] = a.root
				m.identities = append(m.identities, a.reply.RequestID)
			}
		},
		"freeze": func(rt *rapid.T) { m.up(rt).frozen = true },
		"restart": func(rt *rapid.T) {
			in := m.up(rt)
			view := m.view[in.id]
			m.start(in.id)
			m.view[in.id] = view
		},
		"see": func(rt *rapid.T) {
			in := m.up(rt)
			m.view[in.id] = member.Member{ID: in.id, Address: in.id, Incarnation: in.ref.Incarnation, Status: member.Alive}
		},
		"suspect": func(rt *rapid.T) {
			in := m.up(rt)
			view := m.view[in.id]
			view.Status = member.Dead
			m.view[in.id] = view
		},
		"outage":      func(*rapid.T) { m.out = true },
		"repair":      m.repair,
		"repair more": m.repair,
		"time":        func(rt *rapid.T) { m.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(rt, "s")) * time.Second) },
		"age": func(rt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(rt, "age") == 0 {
				m.clock.Advance(40 * time.Minute)
			}
		},
		"": m.settled,
	}
}

// noDeadline hides Deadline, which must not be called inside a bubble.
type noDeadline struct{ rapid.TB }

// Guards against two dispatches of one identity, and against an answer "not
// run" for a request that is dispatched later, when messages are lost,
// duplicated, delayed and reordered, instances freeze and restart, the
// membership lags and the platform is out or loses answers.
func TestAtMostOneDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		granted, takenOver := 0, 0
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			m := &model{world: newWorld("a", "b", "c"), dispatches: map[string]int{}, roots: map[string]string{}}
			m.identities = []string{"key1", "key2", m.instances["a"].node.NewID("team")}
			defer m.close()
			rt.Repeat(m.actions())
			granted += m.granted
			takenOver += m.takenOver
		})
		t.Logf("%d dispatches, %d abandoned grants", granted, takenOver)
	})
}
