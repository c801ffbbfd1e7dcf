package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Guards against an invalid or unauthorized request that reaches a scheduler,
// and against a wrong error kind.
func TestRequestValidation(t *testing.T) {
	const chat = "/v1/chat/completions"
	for _, c := range []struct {
		path, body string
		header     []string
		want       errkind.Kind
	}{
		{chat, "{", nil, errkind.BadRequest},
		{chat, "{}", nil, errkind.BadRequest},
		{chat, `{"model":"other"}`, nil, errkind.UnknownModel},
		{chat, `{"model":"` + strings.Repeat("m", 257) + `"}`, nil, errkind.BadRequest},
		{"/services/" + strings.Repeat("s", 257), "", nil, errkind.UnknownService},
		{chat, strings.Repeat(" ", 33<<20), nil, errkind.BadRequest},
		{chat, streamedChatBody, []string{"Authorization", "Bearer wrong"}, errkind.Unauthorized},
		{chat, streamedChatBody, []string{"Authorization", "Basic x"}, errkind.Unauthorized},
		{chat, streamedChatBody, []string{"Authorization", ""}, errkind.Unauthorized},
		{chat, streamedChatBody, []string{headerTeam, "none"}, errkind.Unauthorized},
		{chat, streamedChatBody, []string{headerTier, "none"}, errkind.BadRequest},
		{chat, streamedChatBody, []string{headerTier, "top"}, errkind.TierNotAllowed},
		{chat, streamedChatBody, []string{headerTier, "mid"}, ""},
		{chat, streamedChatBody, []string{headerTeam, "u", headerTier, "top"}, ""},
		{chat, streamedChatBody, []string{headerTimeout, "0"}, errkind.BadRequest},
		{chat, streamedChatBody, []string{headerTimeout, "1s"}, errkind.BadRequest},
		{chat, streamedChatBody, []string{headerIdempotent, "yes"}, errkind.BadRequest},
		{chat, streamedChatBody, []string{headerIdempotencyKey, strings.Repeat("k", 257)}, errkind.BadRequest},
		{"/services/none/x", "", nil, errkind.UnknownService},
		{"/services/", "", nil, errkind.UnknownService},
		{"/services/s//a%2Fb/../c?q=1", "", nil, ""},
		{"/v1/other", "", nil, errkind.BadRequest},
		{"/v1/models", "", nil, errkind.BadRequest},
	} {
		f := newFixture(t)
		w := f.call(context.Background(), http.MethodPost, c.path, c.body, c.header...)
		f.Expect(w.Header().Get(headerError)).To(Equal(string(c.want)), "%s %.40s %v", c.path, c.body, c.header)
		if c.want != "" {
			f.Expect(w.Header().Get(headerRunState)).To(Equal("not_run"))
			f.Expect(f.grantCount).To(BeZero())
			continue
		}
		f.Expect(f.dispatches).To(HaveLen(1))
		if strings.HasPrefix(c.path, servicesPrefix) {
			f.Expect(f.dispatches[0].Path).To(Equal(strings.TrimPrefix(c.path, "/services/s")))
		}
	}
}

// Guards against API keys and idempotency keys that reach an upstream, and
// against prompts and keys in the log.
func TestSecretsNotForwardedOrLogged(t *testing.T) {
	f := newFixture(t)
	f.chat(streamedChatBody, headerIdempotencyKey, "secret-identity")
	f.chat(`{"model":"m","messages":"secret prompt"}`)
	f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return nil, errReset }
	f.chat(bufferedChatBody, headerIdempotencyKey, "secret-identity-2")
	f.Expect(f.dispatches).To(HaveLen(2))
	for _, call := range f.dispatches {
		f.Expect(fmt.Sprint(call.Header)).NotTo(ContainSubstring("secret"))
		f.Expect(call.Header.Get(headerModelVersion)).To(Equal("m@1"))
	}
	f.Expect(f.log.String()).NotTo(ContainSubstring("secret"))
	f.Expect(strings.Count(f.log.String(), `"request ended"`)).To(Equal(3))
	f.Expect(strings.Count(f.log.String(), `"granted"`)).To(Equal(2))
}

// Guards against a second dispatch under one idempotency key, and against a
// second attempt that does not learn the result of the first.
func TestRepeatedIdempotencyKey(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		reply            claim.Reply
		engineHasAnswer  bool
		want             string
	}{
		{"stream in progress", "/v1/chat/completions", streamedChatBody, claim.Reply{Result: claim.InProgress, Upstream: "e1"}, true, "[DONE]"},
		{"stream finished", "/v1/chat/completions", streamedChatBody, claim.Reply{Result: claim.AlreadyFinished, Upstream: "e1"}, true, "[DONE]"},
		{"stream lost", "/v1/chat/completions", streamedChatBody, claim.Reply{Result: claim.InProgress, Upstream: "e1"}, false, "upstream_broken"},
		{"not dispatched yet", "/v1/chat/completions", streamedChatBody, claim.Reply{Result: claim.InProgress}, true, "in_progress"},
		{"buffered answer finished", "/v1/chat/completions", bufferedChatBody, claim.Reply{Result: claim.AlreadyFinished, Upstream: "e1"}, true, "{}"},
		{"buffered answer lost", "/v1/chat/completions", bufferedChatBody, claim.Reply{Result: claim.AlreadyFinished, Upstream: "e1"}, false, "already_ran"},
		{"service in progress", "/services/s/x", "", claim.Reply{Result: claim.InProgress, Upstream: "s1"}, true, "in_progress"},
		{"service finished", "/services/s/x", "", claim.Reply{Result: claim.AlreadyFinished, Upstream: "s1"}, true, "already_ran"},
		{"issuer lost", "/services/s/x", "", claim.Reply{Result: claim.Lost}, true, "issuer_lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.onClaim = func(string) (claim.Reply, error) { return c.reply, nil }
			if !c.engineHasAnswer {
				f.onFetch = func(id string) (*upstream.Answer, error) { return jsonAnswer(http.StatusNotFound, id, ""), nil }
				f.onResume = func(id string, _ uint64) (*upstream.Answer, error) {
					return jsonAnswer(http.StatusNotFound, id, ""), nil
				}
			}
			w := f.call(context.Background(), http.MethodPost, c.path, c.body, headerIdempotencyKey, "k")
			f.Expect(w.Body.String()).To(ContainSubstring(c.want))
			f.Expect(w.Header().Get(headerRunState)).NotTo(Equal("not_run"))
			f.Expect(f.dispatches).To(BeEmpty())
			f.Expect(f.phaseUpdates).NotTo(ContainElement(claim.Abandoned))
		})
	}
}

// Guards against two dispatches at one instance when the claimer grants a claim
// again to the instance that holds it.
func TestOneDispatchPerIdempotencyKey(t *testing.T) {
	f := newFixture(t)
	second := httptest.NewRecorder()
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		second = f.call(context.Background(), http.MethodPost, "/services/s/x", "", headerIdempotencyKey, "k")
		return jsonAnswer(http.StatusOK, call.RequestID, "ok"), nil
	}
	first := f.call(context.Background(), http.MethodPost, "/services/s/x", "", headerIdempotencyKey, "k")
	third := f.call(context.Background(), http.MethodPost, "/services/s/x", "", headerIdempotencyKey, "k")
	f.Expect(first.Code).To(Equal(http.StatusOK))
	f.Expect(second.Header().Get(headerError)).To(Equal("in_progress"))
	f.Expect(third.Header().Get(headerError)).To(Equal("already_ran"))
	f.Expect(f.dispatches).To(HaveLen(1))
}

// Guards against a request that is refused as not_run, or abandoned to another
// instance, and dispatched nevertheless when refusal and dispatch race.
func TestRefusalRacesDispatch(t *testing.T) {
	f := newFixture(t)
	reason := errkind.New(errkind.DeadlineExceeded, "test")
	results := map[bool]int{}
	for i := range 300 {
		before := len(f.dispatches)
		f.onDial = func() error {
			req := f.onlyRequest()
			refused := make(chan struct{})
			go func() {
				defer close(refused)
				req.refuse(reason)
			}()
			switch i % 3 {
			case 0:
				<-refused
			case 1:
				time.Sleep(time.Microsecond)
			}
			return nil
		}
		w := f.call(context.Background(), http.MethodPost, "/services/s/x", "", headerIdempotencyKey, fmt.Sprint(i))
		refused := w.Header().Get(headerRunState) == "not_run"
		f.Expect(len(f.dispatches) - before).To(Equal(map[bool]int{true: 0, false: 1}[refused]))
		results[refused]++
		// Another instance may dispatch a request that is abandoned here.
		phase, _, _ := f.entry.ClaimPhase("t\x00" + fmt.Sprint(i))
		f.Expect(phase).To(Equal(map[bool]claim.Phase{true: claim.Abandoned, false: claim.Finished}[refused]))
	}
	t.Logf("refused %d, dispatched %d", results[true], results[false])
}

// Guards against a dispatch that was reported as a failed dial and proceeds
// later, while the request has another grant.
func TestAbandonedDispatchRejected(t *testing.T) {
	f := newFixture(t)
	// Both grants name the same upstream, so that only the dispatch attempt differs.
	f.grantCount = 1
	var lateDispatch func() error
	f.entry.Service = dispatcherFunc(func(ctx context.Context, call upstream.Call) (*upstream.Answer, error) {
		if lateDispatch == nil {
			lateDispatch = call.OnDispatch
			return nil, errkind.New(errkind.DialFailed, "timeout")
		}
		f.Expect(lateDispatch()).NotTo(Succeed())
		return f.Dispatch(ctx, call)
	})
	w := f.call(context.Background(), http.MethodPost, "/services/s/x", "")
	f.Expect(w.Code).To(Equal(http.StatusOK))
	f.Expect(f.releases).To(Equal([]sched.Outcome{sched.DialFailed, sched.Completed}))
}

type dispatcherFunc func(ctx context.Context, call upstream.Call) (*upstream.Answer, error)

func (d dispatcherFunc) Dispatch(ctx context.Context, call upstream.Call) (*upstream.Answer, error) {
	return d(ctx, call)
}

// Guards against not_run for a request whose dispatcher reports a failed dial
// after the dispatch.
func TestDialFailureReportedAfterDispatch(t *testing.T) {
	f := newFixture(t)
	f.entry.Service = dispatcherFunc(func(_ context.Context, call upstream.Call) (*upstream.Answer, error) {
		f.Expect(call.OnDispatch()).To(Succeed())
		return nil, errkind.New(errkind.DialFailed, "wrong")
	})
	w := f.call(context.Background(), http.MethodPost, "/services/s/x", "")
	f.Expect(w.Header().Get(headerError)).To(Equal("upstream_broken"))
	f.Expect(w.Header().Get(headerRunState)).To(Equal("unknown"))
}

// Guards against an engine request that is cancelled while its caller may still
// resume it, or that is never cancelled, and against the cancellation of a
// service call that is not idempotent.
func TestCallerGoneAfterDispatch(t *testing.T) {
	for _, c := range []struct {
		name, path, idempotent string
		resumed                bool
		cancelled              bool
		outcome                sched.Outcome
	}{
		{"engine", "/v1/chat/completions", "true", false, true, sched.Cancelled},
		{"engine, resumed", "/v1/chat/completions", "true", true, false, sched.Completed},
		{"service", "/services/s/x", "false", false, false, sched.Completed},
		{"idempotent service", "/services/s/x", "true", false, false, sched.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			ctx, disconnect := context.WithCancel(context.Background())
			f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
				req := f.onlyRequest()
				disconnect()
				f.Eventually(req.connectionClosed).Should(BeClosed())
				if strings.HasPrefix(c.name, "engine") {
					f.Eventually(req.stateMachine.State).Should(BeEquivalentTo("lingering"))
					// The two timers are the deadline and the linger timeout.
					f.Expect(f.clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
					f.clock.Advance(f.entry.Settings.Timeouts.Linger - 1)
					if c.resumed {
						f.entry.MarkResumed(call.RequestID)
					}
					f.Expect(req.ctx.Err()).NotTo(HaveOccurred())
					f.clock.Advance(1)
				}
				if c.outcome == sched.Cancelled {
					<-req.ctx.Done()
					return nil, context.Cause(req.ctx)
				}
				// Timers run in goroutines of their own, so a cancellation may come late.
				f.Consistently(req.ctx.Err, "50ms").Should(Succeed())
				return jsonAnswer(http.StatusOK, call.RequestID, "{}"), nil
			}
			f.call(ctx, http.MethodPost, c.path, bufferedChatBody, headerIdempotent, c.idempotent)
			f.Expect(f.releases).To(Equal([]sched.Outcome{c.outcome}))
			f.Expect(len(f.cancelledIDs) == 1).To(Equal(c.cancelled))
		})
	}
}

// Guards against a resumed stream that starts at the wrong event or belongs to
// another team, and against not_run in the refusal of a resume.
func TestStreamResume(t *testing.T) {
	for _, c := range []struct {
		lastEventID, want string
	}{
		{"e1/issued-1/2", "[DONE]"},
		{"gone/issued-1/2", "issuer_lost"},
		{"issued-1/2", "bad_request"},
		{"e1/issued-1/x", "bad_request"},
	} {
		f := newFixture(t)
		var from uint64
		f.onResume = func(lastEventID string, sequence uint64) (*upstream.Answer, error) {
			from = sequence
			return eventStream(lastEventID, sequence, 4, nil), nil
		}
		w := f.call(context.Background(), http.MethodGet, "/v1/streams", "", headerLastEventID, c.lastEventID)
		f.Expect(w.Body.String()).To(ContainSubstring(c.want))
		f.Expect(w.Header().Get(headerRunState)).NotTo(Equal("not_run"))
		if c.want == "[DONE]" {
			f.Expect(from).To(Equal(uint64(3)))
			f.Expect(w.Body.String()).To(Equal(eventText("issued-1", 3, 4) + eventText("issued-1", 4, 4)))
		}
	}
	f := newFixture(t)
	f.chat(streamedChatBody)
	w := f.call(context.Background(), http.MethodGet, "/v1/streams", "", headerLastEventID, "e1/issued-1/2", headerTeam, "u")
	f.Expect(w.Header().Get(headerError)).To(Equal("unauthorized"))
}

// Guards against a team that receives the answer to another team's request
// through an instance that does not hold it: by resuming the stream, or by
// using the request ID as idempotency key.
func TestResumeOfAnotherTeamsRequest(t *testing.T) {
	f := newFixture(t)
	f.entry.IsIssuedTo = claim.IsIssuedTo
	id := claim.ID{Domain: "north", Instance: "i2", Incarnation: 1, Sequence: 7, Team: claim.TeamHash("t"), Tag: strings.Repeat("0", 32)}.String()
	resumes := 0
	f.onResume = func(id string, sequence uint64) (*upstream.Answer, error) {
		resumes++
		return eventStream(id, sequence, 4, nil), nil
	}
	for team, want := range map[string]string{"u": "unauthorized", "t": ""} {
		w := f.call(context.Background(), http.MethodGet, "/v1/streams", "", headerLastEventID, "e1/"+id+"/2", headerTeam, team)
		f.Expect(w.Header().Get(headerError)).To(Equal(want))
		f.Expect(w.Header().Get(headerRunState)).NotTo(Equal("not_run"))
	}
	f.Expect(resumes).To(Equal(1))
	f.onClaim = func(string) (claim.Reply, error) {
		return claim.Reply{}, errkind.New(errkind.Unauthorized, "another team's")
	}
	w := f.chat(streamedChatBody, headerIdempotencyKey, id, headerTeam, "u")
	f.Expect(w.Header().Get(headerError)).To(Equal("unauthorized"))
	f.Expect(resumes).To(Equal(1))
	f.Expect(f.dispatches).To(BeEmpty())
}

// Guards against a shutdown that cuts a running request, leaves a waiting one
// in the queue, accepts new ones, or turns unready only after it stops
// accepting.
func TestDrain(t *testing.T) {
	f := newFixture(t)
	running, finish := make(chan struct{}), make(chan struct{})
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		close(running)
		<-finish
		return jsonAnswer(http.StatusOK, call.RequestID, "ok"), nil
	}
	ready := func() int { return f.call(context.Background(), http.MethodGet, "/readyz", "").Code }
	send := func(idempotencyKey string, done chan<- *httptest.ResponseRecorder) {
		done <- f.call(context.Background(), http.MethodPost, "/services/s/x", "", headerIdempotencyKey, idempotencyKey)
	}
	first, second := make(chan *httptest.ResponseRecorder, 1), make(chan *httptest.ResponseRecorder, 1)
	go send("runs", first)
	<-running
	waiting := make(chan struct{})
	f.onAcquire = func() error {
		close(waiting)
		f.Eventually(func() bool { return f.entry.instanceMachine.HasFlag(flagAccepts) }).Should(BeFalse())
		return nil
	}
	go send("waits", second)
	<-waiting
	f.Expect(ready()).To(Equal(http.StatusOK))
	drained := make(chan error, 1)
	go func() { drained <- f.entry.Drain(context.Background()) }()
	f.Eventually(ready).Should(Equal(http.StatusServiceUnavailable))
	f.Expect(f.entry.instanceMachine.HasFlag(flagAccepts)).To(BeTrue(), "the load balancer still sends requests")
	f.Expect(f.clock.BlockUntilContext(context.Background(), 3)).To(Succeed())
	f.clock.Advance(f.entry.Settings.Drain.BalancerDelay)
	f.Expect((<-second).Header().Get(headerError)).To(Equal("shutting_down"))
	f.Expect(f.call(context.Background(), http.MethodPost, "/services/s/x", "").Header().Get(headerError)).To(Equal("shutting_down"))
	f.Expect(drained).NotTo(Receive())
	f.clock.Advance(time.Hour)
	f.Expect(drained).NotTo(Receive())
	close(finish)
	f.Expect((<-first).Code).To(Equal(http.StatusOK))
	f.Eventually(drained).Should(Receive(BeNil()))
	f.Expect(f.dispatches).To(HaveLen(1))
}

// Guards against a request limit that refuses the highest tier while a lower
// one is admitted.
func TestRequestLimitReserveForHighestTier(t *testing.T) {
	f := newFixture(t)
	f.entry.Settings.Limits.Requests = 10
	for range 9 {
		f.entry.inFlight[&request{}] = struct{}{}
	}
	low := f.call(context.Background(), http.MethodPost, "/services/s/x", "")
	top := f.call(context.Background(), http.MethodPost, "/services/s/x", "", headerTeam, "u")
	f.Expect(low.Header().Get(headerError)).To(Equal("overloaded"))
	f.Expect(top.Code).To(Equal(http.StatusOK))
}

// Guards against the cancellation of a request whose stream was resumed at
// another instance, when instances cannot notify each other of that.
func TestNoCancellationWithoutNotifyResumed(t *testing.T) {
	f := newFixture(t)
	f.entry.NotifyResumed = nil
	ctx, disconnect := context.WithCancel(context.Background())
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		req := f.onlyRequest()
		disconnect()
		f.Eventually(req.stateMachine.State).Should(BeEquivalentTo("lingering"))
		f.clock.Advance(time.Hour)
		f.Consistently(req.ctx.Err, "50ms").Should(Succeed())
		return jsonAnswer(http.StatusOK, call.RequestID, "{}"), nil
	}
	f.call(ctx, http.MethodPost, "/v1/chat/completions", bufferedChatBody)
	f.Expect(f.releases).To(Equal([]sched.Outcome{sched.Completed}))
}

// Guards against wrong responses of the status endpoints, of run state queries
// and of the issue of request IDs, and against an instance without a usable
// configuration that reports itself ready or accepts a request.
func TestStatusEndpoints(t *testing.T) {
	f := newFixture(t)
	get := func(handler http.Handler, path string) string {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		r.Header.Set(headerTeam, "t")
		handler.ServeHTTP(w, r)
		body, _ := io.ReadAll(w.Body)
		return fmt.Sprint(w.Code, " ", strings.TrimSpace(string(body)))
	}
	f.chat(bufferedChatBody)
	admin, callers := f.entry.AdminHandler(), f.entry.Handler()
	f.Expect(get(admin, "/healthz")).To(Equal("200 ok"))
	f.Expect(get(admin, "/status/config")).To(Equal(`200 {"digest":"0000000000000000","domain":"north","instance":"i1","newestVersion":7,"usable":true}`))
	f.Expect(get(admin, "/status/members")).To(Equal(`200 {"members":[]}`))
	f.Expect(get(admin, "/metrics")).To(ContainSubstring(`rosemarywing_requests_total{outcome="completed",tier="low"} 1`))
	f.Expect(get(callers, "/v1/requests/issued-1")).To(Equal(`200 {"id":"issued-1","run_state":"ran","final":true,"state":"completed","upstream":"e1"}`))
	f.Expect(get(callers, "/v1/requests/other")).To(ContainSubstring(`"run_state":"unknown"`))
	f.Expect(f.call(context.Background(), http.MethodPost, "/v1/requests", `{"count":2}`).Body.String()).To(Equal("{\"ids\":[\"issued-2\",\"issued-3\"]}\n"))
	f.Expect(f.call(context.Background(), http.MethodPost, "/v1/requests", `{"count":0}`).Header().Get(headerError)).To(Equal("bad_request"))
	f.setSnapshot(&conf.Snapshot{})
	f.Expect(get(admin, "/readyz")).To(HavePrefix("503"))
	f.Expect(f.chat(streamedChatBody).Header().Get(headerError)).To(Equal("not_ready"))
}

// Guards against prefix hashes that differ for a common prefix, that differ
// from those in the engines' cache events, or whose number grows with the
// prompt.
func TestPrefixHashes(t *testing.T) {
	g := NewWithT(t)
	short, long := strings.Repeat("a", 5*upstream.PrefixBlockBytes+7), strings.Repeat("a", 5000*upstream.PrefixBlockBytes)
	hashes, tokens := prefixHashes([]byte(short))
	g.Expect(tokens).To(Equal([]int{64, 128, 256, 320}))
	longer, _ := prefixHashes([]byte(short + strings.Repeat("b", 4*upstream.PrefixBlockBytes)))
	g.Expect(longer[:3]).To(Equal(hashes[:3]))
	g.Expect(longer[3]).NotTo(Equal(hashes[3]))
	g.Expect(upstream.PrefixHashes([]byte(short))).To(ContainElements(hashes))
	many, tokens := prefixHashes([]byte(long))
	g.Expect(many).To(HaveLen(maxPrefixHashes))
	g.Expect(tokens[maxPrefixHashes-1]).To(Equal(5000 * upstream.PrefixBlockBytes / bytesPerToken))
	g.Expect(fingerprint("POST", "/a", []byte("b"))).NotTo(Equal(fingerprint("POST", "/", []byte("ab"))))
}

// BenchmarkBufferedRequest measures the overhead of the entry per buffered
// request.
func BenchmarkBufferedRequest(b *testing.B) {
	f := newFixture(&testing.T{})
	f.entry.Log = logr.Discard()
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("word ", 800))
	b.ReportAllocs()
	for b.Loop() {
		f.chat(body)
	}
}
