package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// The points in the life of a request at which a fault is injected.
const (
	atBody     = "before claim"
	atClaim    = "claim"
	atWaiting  = "waiting"
	atGranted  = "granted"
	atDialling = "dialling"
	atDispatch = "dispatched"
	atHeaders  = "headers received"
	atMiddle   = "mid stream"
	atEnd      = "end"
)

var points = []string{atBody, atClaim, atWaiting, atGranted, atDialling, atDispatch, atHeaders, atMiddle, atEnd}

// What a caller is told: a complete answer, nothing, or a kind.
const (
	complete = "complete"
	nothing  = "nothing"
)

func same(told string) map[string]string {
	all := map[string]string{}
	for _, point := range points {
		all[point] = told
	}
	return all
}

func until(point, told, then string) map[string]string {
	all := same(then)
	for _, p := range points {
		if p == point {
			break
		}
		all[p] = told
	}
	return all
}

// Guards against a caller that is told something else than what the upstream
// saw: for each point in the life of a request and each fault at that point,
// what the caller is told is fixed, at most one dispatch is made, none if the
// caller is told not_run, and each grant is released exactly once.
func TestFaultsAtEachPoint(t *testing.T) {
	lost := func(string, uint64) (*upstream.Answer, error) { return nil, errReset }
	for _, c := range []struct {
		fault string
		told  map[string]string
		// inject makes the fault happen; it returns an error if the part that
		// the request is at fails by it.
		inject func(f *fixture, gone context.CancelFunc) error
	}{
		{"none", same(complete), func(*fixture, context.CancelFunc) error { return nil }},
		{"caller gone", same(nothing), func(f *fixture, gone context.CancelFunc) error {
			gone()
			if q := f.one(); q != nil {
				f.Eventually(q.gone).Should(BeClosed())
			}
			return nil
		}},
		{"deadline", until(atDispatch, "deadline_exceeded", complete), func(f *fixture, _ context.CancelFunc) error {
			q := f.one()
			f.clock.Advance(time.Hour)
			if q != nil && !q.machine.Is(flagDispatched) {
				f.Eventually(q.machine.Final).Should(BeTrue())
			}
			return nil
		}},
		{"shutdown", until(atDispatch, "shutting_down", complete), func(f *fixture, _ context.CancelFunc) error {
			f.entry.Leave()
			f.entry.refuseWaiting()
			return nil
		}},
		{"part fails", map[string]string{
			atBody: "bad_request", atClaim: "claim_unavailable", atWaiting: "overloaded", atGranted: complete, atDialling: complete,
			atDispatch: complete, atHeaders: complete, atMiddle: complete, atEnd: complete,
		}, func(*fixture, context.CancelFunc) error { return errReset }},
		{"upstream lost", map[string]string{
			atBody: "bad_request", atClaim: "claim_unavailable", atWaiting: "overloaded", atGranted: complete, atDialling: complete,
			atDispatch: "upstream_broken", atHeaders: "upstream_broken", atMiddle: "upstream_broken", atEnd: "upstream_broken",
		}, func(f *fixture, _ context.CancelFunc) error {
			f.onResume = lost
			return errReset
		}},
		{"grant expires", same(complete), func(f *fixture, _ context.CancelFunc) error {
			f.clock.Advance(grantTime)
			return nil
		}},
		{"withdrawal", same(complete), func(f *fixture, _ context.CancelFunc) error {
			f.setSnapshot(newSnapshot("e1"))
			return nil
		}},
	} {
		for _, point := range points {
			for _, identity := range []string{"k", ""} {
				t.Run(c.fault+"/"+point+"/"+identity, func(t *testing.T) {
					f := newFixture(t)
					ctx, gone := context.WithCancel(context.Background())
					defer gone()
					done := false
					at := func(here string) error {
						if here != point || done {
							return nil
						}
						done = true
						return c.inject(f, gone)
					}
					script(f, at)
					w := f.callFrom(ctx, &hooked{Reader: strings.NewReader(chatBody), at: at}, http.MethodPost, "/v1/chat/completions", headerIdentity, identity)
					f.Expect(done).To(BeTrue())
					told := c.told[point]
					undecided := identity != "" && (point == atBody || told == "claim_unavailable")
					checkTold(f, told, undecided, w.Body.String(), w.Header())
					stale := c.fault == "grant expires" || c.fault == "withdrawal"
					if stale && (point == atGranted || point == atDialling) {
						f.Expect(f.dispatches[0].Address).To(Equal("10.0.0.2:1"), "not the grant that was no longer usable")
					}
				})
			}
		}
	}
}

// hooked is a request body; its first read is the point before the claim.
type hooked struct {
	io.Reader
	at func(string) error
}

func (h *hooked) Read(p []byte) (int, error) {
	if err := h.at(atBody); err != nil {
		return 0, err
	}
	return h.Reader.Read(p)
}

// script makes the fakes call at at each point.
func script(f *fixture, at func(point string) error) {
	f.onClaim = func(string) (claim.Reply, error) {
		if err := at(atClaim); err != nil {
			return claim.Reply{}, errkind.Wrap(errkind.ClaimUnavailable, err, "claim")
		}
		return claim.Reply{Result: claim.Granted}, nil
	}
	f.onAcquire = func() error {
		if err := at(atWaiting); err != nil {
			return errkind.Wrap(errkind.Overloaded, err, "refused")
		}
		return nil
	}
	f.onGrant = func() { _ = at(atGranted) }
	f.onDial = func() error { return at(atDialling) }
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		if err := at(atDispatch); err != nil {
			return nil, err
		}
		reply := streamed(call.RequestID)
		reply.Body = &failing{at: at, points: []string{atHeaders, "", atMiddle, atEnd}, id: call.RequestID}
		return reply, nil
	}
}

// failing is the body of a stream of four events; it fails when at does.
type failing struct {
	at     func(string) error
	points []string
	id     string
	sent   int
	rest   string
}

func (b *failing) Close() error { return nil }

func (b *failing) Read(p []byte) (int, error) {
	if b.rest == "" {
		if err := b.at(b.points[b.sent]); err != nil {
			return 0, err
		}
		b.sent++
		b.rest = eventText(b.id, uint64(b.sent), 4)
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// checkTold checks what the caller was told. undecided is true when the request
// was refused before it was known whether an earlier attempt had run.
func checkTold(f *fixture, told string, undecided bool, body string, header http.Header) {
	dispatches, grants, releases := f.counts()
	f.Expect(dispatches).To(BeNumerically("<=", 1))
	f.Expect(releases).To(Equal(grants))
	switch told {
	case nothing:
		f.Expect(body).NotTo(ContainSubstring("[DONE]"))
		f.Expect(body).NotTo(ContainSubstring("error"))
	case complete:
		f.Expect(dispatches).To(Equal(1))
		f.Expect(body).To(Equal(wholeStream(f.dispatches[0].RequestID, f.entry.Status)))
	default:
		runState := errkind.AnswerFor(errkind.Kind(told)).RunState
		if undecided {
			runState = errkind.Unknown
		}
		f.Expect(body).To(ContainSubstring(fmt.Sprintf(`"kind":%q,"run_state":%q`, told, runState)))
		if runState == errkind.NotRun {
			f.Expect(dispatches).To(BeZero())
		}
		if !strings.Contains(body, "event: error") {
			f.Expect(header.Get(headerRunState)).To(Equal(string(runState)))
			f.Expect(header.Get(headerError)).To(Equal(told))
		}
	}
}

func wholeStream(id string, status func(string) (claim.Phase, string, bool)) string {
	_, name, _ := status(id)
	var text strings.Builder
	for sequence := uint64(1); sequence <= 4; sequence++ {
		text.WriteString(strings.Replace(eventText(id, sequence, 4), "e1/", name+"/", 1))
	}
	return text.String()
}

// Guards against a refusal as not run before the claim was decided, although an
// earlier attempt with the same identity may have run; and against a run state
// of unknown where none can have.
func TestRefusalBeforeTheClaimIsDecided(t *testing.T) {
	const chat = "/v1/chat/completions"
	for _, c := range []struct {
		name, path, body string
		header           []string
		set              func(f *fixture)
		kind             errkind.Kind
		// told is for a request with an identity; without one, none ran.
		told errkind.RunState
	}{
		{"not ready", chat, chatBody, nil, func(f *fixture) { f.setSnapshot(&conf.Snapshot{}) }, errkind.NotReady, errkind.Unknown},
		{"leaving", chat, chatBody, nil, func(f *fixture) {
			f.entry.Leave()
			f.entry.refuseWaiting()
		}, errkind.ShuttingDown, errkind.Unknown},
		{"too many requests", chat, chatBody, nil, func(f *fixture) { f.entry.Settings.Limits.Requests = 0 }, errkind.Overloaded, errkind.Unknown},
		{"model removed", chat, `{"model":"other"}`, nil, nil, errkind.UnknownModel, errkind.Unknown},
		{"service removed", "/services/none/x", "", nil, nil, errkind.UnknownService, errkind.Unknown},
		{"tier removed", chat, chatBody, []string{headerTier, "none"}, nil, errkind.BadRequest, errkind.Unknown},
		{"tier not allowed any more", chat, chatBody, []string{headerTier, "top"}, nil, errkind.TierNotAllowed, errkind.Unknown},
		{"key withdrawn", chat, chatBody, []string{"Authorization", "Bearer old"}, nil, errkind.Unauthorized, errkind.Unknown},
		{"malformed body", chat, "{", nil, nil, errkind.BadRequest, errkind.NotRun},
		{"malformed header", chat, chatBody, []string{headerTimeout, "1s"}, nil, errkind.BadRequest, errkind.NotRun},
		{"another team's ID", chat, chatBody, nil, func(f *fixture) {
			f.onClaim = func(string) (claim.Reply, error) { return claim.Reply{}, errkind.New(errkind.Unauthorized, "test") }
		}, errkind.Unauthorized, errkind.NotRun},
		{"platform out", chat, chatBody, nil, func(f *fixture) {
			f.onClaim = func(string) (claim.Reply, error) { return claim.Reply{}, errkind.New(errkind.ClaimUnavailable, "test") }
		}, errkind.ClaimUnavailable, errkind.Unknown},
		{"refused after the claim", chat, chatBody, nil, func(f *fixture) {
			f.onAcquire = func() error { return errkind.New(errkind.Overloaded, "test") }
		}, errkind.Overloaded, errkind.NotRun},
	} {
		for identity, told := range map[string]errkind.RunState{"k": c.told, "": errkind.NotRun} {
			t.Run(c.name+"/"+identity, func(t *testing.T) {
				f := newFixture(t)
				if c.set != nil {
					c.set(f)
				}
				w := f.call(context.Background(), http.MethodPost, c.path, c.body, append(c.header, headerIdentity, identity)...)
				f.Expect(w.Header().Get(headerError)).To(Equal(string(c.kind)))
				f.Expect(w.Header().Get(headerRunState)).To(Equal(string(told)))
				f.Expect(w.Body.String()).To(ContainSubstring(fmt.Sprintf(`"run_state":%q`, told)))
			})
		}
	}
}

// Guards against the run state of a refused attempt that is asked for later
// and says not_run, although the claim was not decided.
func TestRunStateOfAnUndecidedAttempt(t *testing.T) {
	for decided, told := range map[bool]string{false: "unknown", true: "not_run"} {
		f := newFixture(t)
		refuse := func() { f.one().refuse(errkind.New(errkind.DeadlineExceeded, "test")) }
		f.onClaim = func(string) (claim.Reply, error) {
			if !decided {
				refuse()
				return claim.Reply{}, errReset
			}
			return claim.Reply{Result: claim.Granted}, nil
		}
		f.onGrant = refuse
		w := f.chat(wholeBody, headerIdentity, "k")
		f.Expect(w.Header().Get(headerRunState)).To(Equal(told))
		w = f.call(context.Background(), http.MethodGet, "/v1/requests/k", "")
		f.Expect(w.Body.String()).To(ContainSubstring(fmt.Sprintf(`"run_state":%q`, told)))
	}
}

// Guards against a grant or a claim that stays held after a panic, and against
// strikes and a run state of not_run for what the entry did itself.
func TestPanicReleasesGrantAndClaim(t *testing.T) {
	for _, c := range []struct {
		point    string
		releases []sched.Outcome
		last     claim.Phase
	}{
		{atWaiting, nil, claim.Abandoned},
		{atDialling, []sched.Outcome{sched.NotDispatched}, claim.Abandoned},
		{atDispatch, []sched.Outcome{sched.Cancelled}, claim.Finished},
		{atHeaders, []sched.Outcome{sched.Cancelled}, claim.Finished},
		{atMiddle, []sched.Outcome{sched.Cancelled}, claim.Finished},
	} {
		t.Run(c.point, func(t *testing.T) {
			f := newFixture(t)
			script(f, func(here string) error {
				if here == c.point {
					panic("test")
				}
				return nil
			})
			w := f.chat(chatBody)
			f.Expect(f.releases).To(Equal(c.releases))
			f.Expect(f.updates).NotTo(BeEmpty())
			f.Expect(f.updates[len(f.updates)-1]).To(Equal(c.last))
			f.Expect(f.entry.held).To(BeEmpty())
			f.Expect(w.Header().Get(headerRunState)).NotTo(Equal("not_run"))
		})
	}
}

// Guards against a stream with duplicates, gaps, events of other requests, or
// a silent end.
func TestStreamIsRepairedOrEndsWithAnError(t *testing.T) {
	const id = "issued-1"
	text := func(sequence uint64) step { return step{text: eventText(id, sequence, 4)} }
	for _, c := range []struct {
		name   string
		first  []step
		resume bool
		told   string
	}{
		{"duplicates", []step{text(1), text(1), text(2), text(1), text(3), text(4)}, false, complete},
		{"gap, resumed", []step{text(1), text(3), text(4)}, true, complete},
		{"gap", []step{text(1), text(3), text(4)}, false, "answer_incomplete"},
		{"crossed event, resumed", []step{text(1), {text: eventText("other", 2, 4)}}, true, complete},
		{"crossed event", []step{text(1), {text: eventText("other", 2, 4)}}, false, "crossed_answer"},
		{"ends early, resumed", []step{text(1), text(2), text(3)}, true, complete},
		{"ends early", []step{text(1), text(2), text(3)}, false, "answer_incomplete"},
		{"event cut, resumed", []step{text(1), {text: "id: e1/issued-1/2\ndata: {\"cho"}}, true, complete},
		{"reset", []step{text(1), {err: errReset}}, false, "upstream_broken"},
		{"cut by a crash", []step{text(1), {err: errkind.New(errkind.AnswerIncomplete, "cut")}}, false, "upstream_broken"},
		{"reset before the first event", []step{{err: errReset}}, false, "upstream_broken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return streamed(id, c.first...), nil }
			if !c.resume {
				// The stream is the same again, or the engine is lost.
				f.onResume = func(string, uint64) (*upstream.Answer, error) {
					if c.told == "upstream_broken" {
						return nil, errReset
					}
					return streamed(id, c.first...), nil
				}
			}
			w := f.chat(chatBody)
			checkTold(f, c.told, false, w.Body.String(), w.Header())
		})
	}
}

// Guards against an answer that is delivered though it is another request's,
// cut, or an engine's failure, and against strikes for an engine that lives.
func TestWholeAnswersAreVerified(t *testing.T) {
	cut := func(id string) *upstream.Answer {
		reply := answer(http.StatusOK, id, "")
		reply.Body = &scripted{[]step{{text: `{"a":`}, {err: errReset}}}
		return reply
	}
	const id = "issued-1"
	for _, c := range []struct {
		name    string
		reply   *upstream.Answer
		err     error
		fetch   error
		again   string
		service bool
		kind    errkind.Kind
		outcome sched.Outcome
	}{
		{name: "whole", reply: answer(200, id, `{}`), outcome: sched.Completed},
		{name: "crossed", reply: answer(200, "other", `{}`), kind: errkind.CrossedAnswer, outcome: sched.UpstreamRefused},
		{name: "cut, fetched again", reply: cut(id), outcome: sched.Completed},
		{name: "cut", reply: cut(id), fetch: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "not JSON, twice", reply: answer(200, id, `{"a":`), again: `{"a":`, kind: errkind.AnswerIncomplete, outcome: sched.UpstreamRefused},
		{name: "not JSON, engine lost", reply: answer(200, id, `{"a":`), fetch: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "reset, fetched again", err: errReset, outcome: sched.Completed},
		{name: "reset", err: errReset, fetch: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "engine refuses", reply: answer(503, id, `{}`), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "engine rejects", reply: answer(400, id, `{}`), outcome: sched.Completed},
		{name: "service redirects", service: true, reply: answer(307, id, ""), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "service whole", service: true, reply: answer(500, id, "no JSON"), outcome: sched.Completed},
		{name: "service cut", service: true, reply: cut(id), kind: errkind.AnswerIncomplete, outcome: sched.UpstreamRefused},
		{name: "service reset", service: true, err: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "service crossed", service: true, reply: answer(200, "other", ""), kind: errkind.CrossedAnswer, outcome: sched.UpstreamRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return c.reply, c.err }
			if c.fetch != nil {
				f.onFetch = func(string) (*upstream.Answer, error) { return nil, c.fetch }
			}
			if c.again != "" {
				f.onFetch = func(id string) (*upstream.Answer, error) { return answer(200, id, c.again), nil }
			}
			path := "/v1/chat/completions"
			if c.service {
				path = "/services/s/lock"
			}
			w := f.call(context.Background(), http.MethodPost, path, wholeBody)
			f.Expect(w.Header().Get(headerError)).To(Equal(string(c.kind)))
			f.Expect(f.releases).To(Equal([]sched.Outcome{c.outcome}))
			f.Expect(f.dispatches).To(HaveLen(1))
			if c.kind != "" {
				f.Expect(w.Header().Get(headerRunState)).To(Equal("unknown"))
				f.Expect(w.Header().Get(headerShouldRetry)).To(Equal("false"))
			}
		})
	}
}

// Guards against an upstream that is reported as broken only after the caller
// was told: the caller's next attempt would come before the strike.
func TestBrokenUpstreamIsReportedFirst(t *testing.T) {
	f := newFixture(t)
	f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return nil, errors.New("reset") }
	r := &orderWriter{f: f}
	request, err := http.NewRequest(http.MethodPost, "/services/s/x", http.NoBody)
	f.Expect(err).NotTo(HaveOccurred())
	request.ProtoMinor = 0
	request.Header.Set(headerTeam, "t")
	f.entry.Handler().ServeHTTP(r, request)
	f.Expect(r.releasesAtFirstByte).To(Equal(1))
}

type orderWriter struct {
	f                   *fixture
	releasesAtFirstByte int
}

func (o *orderWriter) Header() http.Header         { return http.Header{} }
func (o *orderWriter) Write(p []byte) (int, error) { return len(p), nil }
func (o *orderWriter) WriteHeader(int)             { _, _, o.releasesAtFirstByte = o.f.counts() }
