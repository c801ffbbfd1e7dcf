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
	// checks (-rapid.checks=4000) the test fails if any one of the protection
	// mechanisms is removed.
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.checks", "800")
}

// modelAttempt is an attempt of a caller to run a request at an instance.
type modelAttempt struct {
	// identity is what the caller sends: an idempotency key or a request ID. A
	// caller may send the request ID that an earlier attempt returned;
	// canonicalIdentity is then the identity with which the request was first
	// sent, and otherwise the same as identity.
	identity, canonicalIdentity string
	instance                    *testInstance
	cancel                      context.CancelFunc
	returned                    bool
	reply                       claim.Reply
	err                         error
	// refused is set once the caller was told that the request did not run.
	refused    bool
	dispatched bool
	finished   bool
}

// model drives a cluster and counts the dispatches per request.
type model struct {
	*cluster
	identities          []string
	canonicalIdentities map[string]string
	attempts            []*modelAttempt
	dispatches          map[string]int
	dispatchCount       int
	abandonCount        int
}

func (m *model) pickRunningInstance(rt *rapid.T) *testInstance {
	in := m.instances[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "instance")]
	if in.dead || in.frozen {
		rt.Skip("instance not running")
	}
	return in
}

func (m *model) pickAttempt(rt *rapid.T, accept func(*modelAttempt) bool) *modelAttempt {
	var found []*modelAttempt
	for _, a := range m.attempts {
		if !a.instance.dead && !a.instance.frozen && accept(a) {
			found = append(found, a)
		}
	}
	if len(found) == 0 {
		rt.Skip("no such attempt")
	}
	return rapid.SampledFrom(found).Draw(rt, "attempt")
}

func (m *model) pickCall(rt *rapid.T, accept func(*networkCall) bool) *networkCall {
	found := m.matchingCalls(accept)
	if len(found) == 0 {
		rt.Skip("no such call")
	}
	// Recent calls are preferred; an older call is a late or duplicate message.
	if len(found) > 6 && rapid.Bool().Draw(rt, "recent") {
		found = found[len(found)-6:]
	}
	return rapid.SampledFrom(found).Draw(rt, "call")
}

func (m *model) startAttempt(rt *rapid.T) {
	in := m.pickRunningInstance(rt)
	identity := rapid.SampledFrom(m.identities).Draw(rt, "identity")
	if n := len(m.attempts); n > 0 && rapid.Bool().Draw(rt, "same") {
		identity = m.attempts[n-1].identity
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &modelAttempt{identity: identity, canonicalIdentity: identity, instance: in, cancel: cancel}
	if canonical := m.canonicalIdentities[identity]; canonical != "" {
		a.canonicalIdentity = canonical
	}
	m.attempts = append(m.attempts, a)
	go func() {
		a.reply, a.err = in.node.Claim(ctx, "team", identity)
		a.returned = true
	}()
	synctest.Wait()
}

func (a *modelAttempt) holdsGrant() bool {
	return a.returned && a.err == nil && a.reply.Result == claim.Granted && !a.refused && !a.dispatched
}

func (m *model) checkInvariants(rt *rapid.T) {
	synctest.Wait()
	for _, a := range m.attempts {
		if a.returned && a.err != nil && errkind.ResponseFor(errkind.KindOf(a.err)).RunState == errkind.NotRun {
			a.refused = true
		}
		if a.refused && a.dispatched {
			rt.Fatalf("%s was dispatched by %v although its caller was told that it did not run", a.identity, a.instance.ref)
		}
	}
	for identity, count := range m.dispatches {
		if count > 1 {
			rt.Fatalf("%s was dispatched %d times", identity, count)
		}
	}
}

func (m *model) dispatch(rt *rapid.T) {
	a := m.pickAttempt(rt, (*modelAttempt).holdsGrant)
	a.instance.node.UpdatePhase(a.reply.RequestID, claim.Dispatched, "u")
	a.dispatched = true
	m.dispatches[a.canonicalIdentity]++
	m.dispatchCount++
}

// heal ends all freezes and the platform outage, and updates the membership
// view.
func (m *model) heal(*rapid.T) {
	m.platformDown = false
	for _, in := range m.instances {
		in.frozen = false
		m.view[in.id] = member.Member{ID: in.id, Address: in.id, Incarnation: in.ref.Incarnation, Status: member.Alive}
	}
}

// deliverPending delivers calls and replies without faults until no call can
// proceed. Phase updates may be left undelivered, to arrive late.
func (m *model) deliverPending(rt *rapid.T) {
	updates := rapid.Bool().Draw(rt, "updates")
	for range 30 {
		for _, call := range m.matchingCalls(func(call *networkCall) bool {
			return !call.answered && !m.instances[call.from].frozen && (updates || !call.update)
		}) {
			to := m.instances[call.to]
			if len(call.replies) == 0 && (call.to == platformName || !to.dead && !to.frozen) {
				m.deliver(call)
			}
			if len(call.replies) > 0 {
				call.answer(call.replies[0])
			}
			synctest.Wait()
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	deliver := func(rt *rapid.T) {
		m.deliver(m.pickCall(rt, func(call *networkCall) bool {
			to := m.instances[call.to]
			return call.to == platformName || !to.dead && !to.frozen
		}))
	}
	answer := func(rt *rapid.T) {
		call := m.pickCall(rt, func(call *networkCall) bool {
			return !call.answered && len(call.replies) > 0 && !m.instances[call.from].frozen
		})
		call.answer(rapid.SampledFrom(call.replies).Draw(rt, "reply"))
	}
	return map[string]func(*rapid.T){
		"attempt":       m.startAttempt,
		"attempt again": m.startAttempt,
		"deliver":       deliver,
		"deliver more":  deliver,
		"answer":        answer,
		"answer more":   answer,
		"exchange":      m.deliverPending,
		"exchange more": m.deliverPending,
		"time out": func(rt *rapid.T) {
			call := m.pickCall(rt, func(call *networkCall) bool { return !call.answered && !m.instances[call.from].frozen })
			call.answer(callResult{err: context.DeadlineExceeded})
		},
		"give up": func(rt *rapid.T) {
			m.pickAttempt(rt, func(a *modelAttempt) bool { return !a.returned }).cancel()
		},
		"dispatch":      m.dispatch,
		"dispatch more": m.dispatch,
		"abandon": func(rt *rapid.T) {
			a := m.pickAttempt(rt, (*modelAttempt).holdsGrant)
			a.instance.node.UpdatePhase(a.reply.RequestID, claim.Abandoned, "")
			a.refused = true
			m.abandonCount++
		},
		"finish": func(rt *rapid.T) {
			a := m.pickAttempt(rt, func(a *modelAttempt) bool { return a.dispatched && !a.finished })
			a.instance.node.UpdatePhase(a.reply.RequestID, claim.Finished, "u")
			a.finished = true
		},
		"issue": func(rt *rapid.T) {
			m.identities = append(m.identities, m.pickRunningInstance(rt).node.NewID("team"))
		},
		"send request ID": func(rt *rapid.T) {
			a := m.pickAttempt(rt, func(a *modelAttempt) bool { return a.returned && a.reply.RequestID != "" })
			if a.reply.RequestID != a.identity && m.canonicalIdentities[a.reply.RequestID] == "" {
				m.canonicalIdentities[a.reply.RequestID] = a.canonicalIdentity
				m.identities = append(m.identities, a.reply.RequestID)
			}
		},
		"freeze": func(rt *rapid.T) { m.pickRunningInstance(rt).frozen = true },
		"restart": func(rt *rapid.T) {
			in := m.pickRunningInstance(rt)
			view := m.view[in.id]
			m.start(in.id)
			m.view[in.id] = view
		},
		"see current incarnation": func(rt *rapid.T) {
			in := m.pickRunningInstance(rt)
			m.view[in.id] = member.Member{ID: in.id, Address: in.id, Incarnation: in.ref.Incarnation, Status: member.Alive}
		},
		"set dead in view": func(rt *rapid.T) {
			in := m.pickRunningInstance(rt)
			view := m.view[in.id]
			view.Status = member.Dead
			m.view[in.id] = view
		},
		"outage":      func(*rapid.T) { m.platformDown = true },
		"repair":      m.heal,
		"repair more": m.heal,
		"time":        func(rt *rapid.T) { m.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(rt, "s")) * time.Second) },
		"age": func(rt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(rt, "age") == 0 {
				m.clock.Advance(40 * time.Minute)
			}
		},
		"": m.checkInvariants,
	}
}

// noDeadline hides Deadline, which must not be called inside a synctest bubble.
type noDeadline struct{ rapid.TB }

// Guards against two dispatches of one request, and against a "not run" answer
// for a request that is dispatched later. Calls are lost, duplicated, delayed
// and reordered, instances freeze and restart, the membership view lags, and
// the platform is down or loses replies.
func TestAtMostOneDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatches, abandoned := 0, 0
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			m := &model{cluster: newCluster("a", "b", "c"), dispatches: map[string]int{}, canonicalIdentities: map[string]string{}}
			m.identities = []string{"key1", "key2", m.instances["a"].node.NewID("team")}
			defer m.close()
			rt.Repeat(m.actions())
			dispatches += m.dispatchCount
			abandoned += m.abandonCount
		})
		t.Logf("%d dispatches, %d abandoned grants", dispatches, abandoned)
	})
}
