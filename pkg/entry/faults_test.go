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
	pointBodyRead   = "before claim"
	pointClaim      = "claim"
	pointWaiting    = "waiting"
	pointGranted    = "granted"
	pointDialling   = "dialling"
	pointDispatched = "dispatched"
	pointHeaders    = "headers received"
	pointMidStream  = "mid stream"
	pointStreamEnd  = "end"
)

var faultPoints = []string{pointBodyRead, pointClaim, pointWaiting, pointGranted, pointDialling, pointDispatched, pointHeaders, pointMidStream, pointStreamEnd}

// What a test expects the caller to receive, besides the kind of an error: a
// complete answer, or nothing.
const (
	completeAnswer = "complete"
	noAnswer       = "nothing"
)

// atEveryPoint expects the same result for a fault at any point.
func atEveryPoint(want string) map[string]string {
	byPoint := map[string]string{}
	for _, point := range faultPoints {
		byPoint[point] = want
	}
	return byPoint
}

// beforeAndFrom expects one result for faults before the point, and another one
// from the point on.
func beforeAndFrom(point, before, from string) map[string]string {
	byPoint := atEveryPoint(from)
	for _, p := range faultPoints {
		if p == point {
			break
		}
		byPoint[p] = before
	}
	return byPoint
}

// Guards against a result that contradicts what the upstream saw. For each
// fault at each point in the life of a request, want gives the result; at most
// one dispatch is made, none if the caller receives not_run; and each grant is
// released exactly once.
func TestFaultAtEachLifecyclePoint(t *testing.T) {
	connectionLost := func(string, uint64) (*upstream.Answer, error) { return nil, errReset }
	for _, c := range []struct {
		fault string
		want  map[string]string
		// inject causes the fault at the point under test. If it returns an
		// error, the call that the fake handles there fails with this error.
		inject func(f *fixture, disconnect context.CancelFunc) error
	}{
		{"none", atEveryPoint(completeAnswer), func(*fixture, context.CancelFunc) error { return nil }},
		{"caller disconnects", atEveryPoint(noAnswer), func(f *fixture, disconnect context.CancelFunc) error {
			disconnect()
			if req := f.onlyRequest(); req != nil {
				f.Eventually(req.connectionClosed).Should(BeClosed())
			}
			return nil
		}},
		{"deadline", beforeAndFrom(pointDispatched, "deadline_exceeded", completeAnswer), func(f *fixture, _ context.CancelFunc) error {
			req := f.onlyRequest()
			f.clock.Advance(time.Hour)
			if req != nil && !req.stateMachine.HasFlag(flagDispatched) {
				f.Eventually(req.stateMachine.Final).Should(BeTrue())
			}
			return nil
		}},
		{"shutdown", beforeAndFrom(pointDispatched, "shutting_down", completeAnswer), func(f *fixture, _ context.CancelFunc) error {
			f.entry.Leave()
			f.entry.refuseWaiting()
			return nil
		}},
		{"step fails", map[string]string{
			pointBodyRead: "bad_request", pointClaim: "claim_unavailable", pointWaiting: "overloaded", pointGranted: completeAnswer, pointDialling: completeAnswer,
			pointDispatched: completeAnswer, pointHeaders: completeAnswer, pointMidStream: completeAnswer, pointStreamEnd: completeAnswer,
		}, func(*fixture, context.CancelFunc) error { return errReset }},
		{"upstream unreachable", map[string]string{
			pointBodyRead: "bad_request", pointClaim: "claim_unavailable", pointWaiting: "overloaded", pointGranted: completeAnswer, pointDialling: completeAnswer,
			pointDispatched: "upstream_broken", pointHeaders: "upstream_broken", pointMidStream: "upstream_broken", pointStreamEnd: "upstream_broken",
		}, func(f *fixture, _ context.CancelFunc) error {
			f.onResume = connectionLost
			return errReset
		}},
		{"grant expires", atEveryPoint(completeAnswer), func(f *fixture, _ context.CancelFunc) error {
			f.clock.Advance(grantLifetime)
			return nil
		}},
		{"withdrawal", atEveryPoint(completeAnswer), func(f *fixture, _ context.CancelFunc) error {
			f.setSnapshot(newSnapshot("e1"))
			return nil
		}},
	} {
		for _, point := range faultPoints {
			for _, idempotencyKey := range []string{"k", ""} {
				t.Run(c.fault+"/"+point+"/"+idempotencyKey, func(t *testing.T) {
					f := newFixture(t)
					ctx, disconnect := context.WithCancel(context.Background())
					defer disconnect()
					injected := false
					at := func(current string) error {
						if current != point || injected {
							return nil
						}
						injected = true
						return c.inject(f, disconnect)
					}
					injectAtPoints(f, at)
					w := f.callFrom(ctx, &faultyRequestBody{Reader: strings.NewReader(streamedChatBody), at: at}, http.MethodPost, "/v1/chat/completions", headerIdempotencyKey, idempotencyKey)
					f.Expect(injected).To(BeTrue())
					want := c.want[point]
					claimUndecided := idempotencyKey != "" && (point == pointBodyRead || want == "claim_unavailable")
					checkOutcome(f, want, claimUndecided, w.Body.String(), w.Header())
					staleGrant := c.fault == "grant expires" || c.fault == "withdrawal"
					if staleGrant && (point == pointGranted || point == pointDialling) {
						f.Expect(f.dispatches[0].Address).To(Equal("10.0.0.2:1"), "the dispatch must use a new grant")
					}
				})
			}
		}
	}
}

// faultyRequestBody is a request body whose first read is pointBodyRead.
type faultyRequestBody struct {
	io.Reader
	at func(string) error
}

func (b *faultyRequestBody) Read(p []byte) (int, error) {
	if err := b.at(pointBodyRead); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// injectAtPoints makes each fake dependency call the function at, with the name of
// the point in the life of a request that it has reached. If at returns an error,
// the call of the fake fails with it.
func injectAtPoints(f *fixture, at func(point string) error) {
	f.onClaim = func(string) (claim.Reply, error) {
		if err := at(pointClaim); err != nil {
			return claim.Reply{}, errkind.Wrap(errkind.ClaimUnavailable, err, "claim")
		}
		return claim.Reply{Result: claim.Granted}, nil
	}
	f.onAcquire = func() error {
		if err := at(pointWaiting); err != nil {
			return errkind.Wrap(errkind.Overloaded, err, "refused")
		}
		return nil
	}
	f.onGrant = func() { _ = at(pointGranted) }
	f.onDial = func() error { return at(pointDialling) }
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		if err := at(pointDispatched); err != nil {
			return nil, err
		}
		reply := streamAnswer(call.RequestID)
		reply.Body = &faultyStreamBody{at: at, points: []string{pointHeaders, "", pointMidStream, pointStreamEnd}, id: call.RequestID}
		return reply, nil
	}
}

// faultyStreamBody is the body of a stream of four events. It calls at with the
// point of each event, and fails when at does.
type faultyStreamBody struct {
	at         func(string) error
	points     []string
	id         string
	eventsSent int
	unread     string
}

func (b *faultyStreamBody) Close() error { return nil }

func (b *faultyStreamBody) Read(p []byte) (int, error) {
	if b.unread == "" {
		if err := b.at(b.points[b.eventsSent]); err != nil {
			return 0, err
		}
		b.eventsSent++
		b.unread = eventText(b.id, uint64(b.eventsSent), 4)
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// checkOutcome compares what the caller received with want. claimUndecided is
// true if the request was refused before it was known whether an earlier
// attempt had run.
func checkOutcome(f *fixture, want string, claimUndecided bool, body string, header http.Header) {
	dispatches, grants, releases := f.callCounts()
	f.Expect(dispatches).To(BeNumerically("<=", 1))
	f.Expect(releases).To(Equal(grants))
	switch want {
	case noAnswer:
		f.Expect(body).NotTo(ContainSubstring("[DONE]"))
		f.Expect(body).NotTo(ContainSubstring("error"))
	case completeAnswer:
		f.Expect(dispatches).To(Equal(1))
		f.Expect(body).To(Equal(completeStream(f.dispatches[0].RequestID, f.entry.ClaimPhase)))
	default:
		runState := errkind.ResponseFor(errkind.Kind(want)).RunState
		if claimUndecided {
			runState = errkind.Unknown
		}
		f.Expect(body).To(ContainSubstring(fmt.Sprintf(`"kind":%q,"run_state":%q`, want, runState)))
		if runState == errkind.NotRun {
			f.Expect(dispatches).To(BeZero())
		}
		if !strings.Contains(body, "event: error") {
			f.Expect(header.Get(headerRunState)).To(Equal(string(runState)))
			f.Expect(header.Get(headerError)).To(Equal(want))
		}
	}
}

// completeStream returns the stream of four events that the caller receives.
func completeStream(id string, status func(string) (claim.Phase, string, bool)) string {
	_, name, _ := status(id)
	var text strings.Builder
	for sequence := uint64(1); sequence <= 4; sequence++ {
		text.WriteString(strings.Replace(eventText(id, sequence, 4), "e1/", name+"/", 1))
	}
	return text.String()
}

// Guards against not_run in a refusal before the claim was decided, although an
// earlier attempt with the same idempotency key may have run; and against
// unknown where no attempt can have run.
func TestRunStateOfRefusalBeforeClaimDecision(t *testing.T) {
	const chat = "/v1/chat/completions"
	for _, c := range []struct {
		name, path, body string
		header           []string
		setUp            func(f *fixture)
		kind             errkind.Kind
		// wantRunState is for a request with an idempotency key; without a key
		// it is always not_run.
		wantRunState errkind.RunState
	}{
		{"not ready", chat, streamedChatBody, nil, func(f *fixture) { f.setSnapshot(&conf.Snapshot{}) }, errkind.NotReady, errkind.Unknown},
		{"leaving", chat, streamedChatBody, nil, func(f *fixture) {
			f.entry.Leave()
			f.entry.refuseWaiting()
		}, errkind.ShuttingDown, errkind.Unknown},
		{"too many requests", chat, streamedChatBody, nil, func(f *fixture) { f.entry.Settings.Limits.Requests = 0 }, errkind.Overloaded, errkind.Unknown},
		{"model removed", chat, `{"model":"other"}`, nil, nil, errkind.UnknownModel, errkind.Unknown},
		{"service removed", "/services/none/x", "", nil, nil, errkind.UnknownService, errkind.Unknown},
		{"tier removed", chat, streamedChatBody, []string{headerTier, "none"}, nil, errkind.BadRequest, errkind.Unknown},
		{"tier no longer allowed", chat, streamedChatBody, []string{headerTier, "top"}, nil, errkind.TierNotAllowed, errkind.Unknown},
		{"key withdrawn", chat, streamedChatBody, []string{"Authorization", "Bearer old"}, nil, errkind.Unauthorized, errkind.Unknown},
		{"malformed body", chat, "{", nil, nil, errkind.BadRequest, errkind.NotRun},
		{"malformed header", chat, streamedChatBody, []string{headerTimeout, "1s"}, nil, errkind.BadRequest, errkind.NotRun},
		{"another team's ID", chat, streamedChatBody, nil, func(f *fixture) {
			f.onClaim = func(string) (claim.Reply, error) { return claim.Reply{}, errkind.New(errkind.Unauthorized, "test") }
		}, errkind.Unauthorized, errkind.NotRun},
		{"platform unavailable", chat, streamedChatBody, nil, func(f *fixture) {
			f.onClaim = func(string) (claim.Reply, error) { return claim.Reply{}, errkind.New(errkind.ClaimUnavailable, "test") }
		}, errkind.ClaimUnavailable, errkind.Unknown},
		{"refused after the claim", chat, streamedChatBody, nil, func(f *fixture) {
			f.onAcquire = func() error { return errkind.New(errkind.Overloaded, "test") }
		}, errkind.Overloaded, errkind.NotRun},
	} {
		for idempotencyKey, wantRunState := range map[string]errkind.RunState{"k": c.wantRunState, "": errkind.NotRun} {
			t.Run(c.name+"/"+idempotencyKey, func(t *testing.T) {
				f := newFixture(t)
				if c.setUp != nil {
					c.setUp(f)
				}
				w := f.call(context.Background(), http.MethodPost, c.path, c.body, append(c.header, headerIdempotencyKey, idempotencyKey)...)
				f.Expect(w.Header().Get(headerError)).To(Equal(string(c.kind)))
				f.Expect(w.Header().Get(headerRunState)).To(Equal(string(wantRunState)))
				f.Expect(w.Body.String()).To(ContainSubstring(fmt.Sprintf(`"run_state":%q`, wantRunState)))
			})
		}
	}
}

// Guards against a status query that returns not_run for a refused attempt
// whose claim was not decided.
func TestStatusOfAttemptWithUndecidedClaim(t *testing.T) {
	for decided, want := range map[bool]string{false: "unknown", true: "not_run"} {
		f := newFixture(t)
		refuse := func() { f.onlyRequest().refuse(errkind.New(errkind.DeadlineExceeded, "test")) }
		f.onClaim = func(string) (claim.Reply, error) {
			if !decided {
				refuse()
				return claim.Reply{}, errReset
			}
			return claim.Reply{Result: claim.Granted}, nil
		}
		f.onGrant = refuse
		w := f.chat(bufferedChatBody, headerIdempotencyKey, "k")
		f.Expect(w.Header().Get(headerRunState)).To(Equal(want))
		w = f.call(context.Background(), http.MethodGet, "/v1/requests/k", "")
		f.Expect(w.Body.String()).To(ContainSubstring(fmt.Sprintf(`"run_state":%q`, want)))
	}
}

// Guards against a grant or claim that stays held after a panic, and against a
// panic in the entry that is reported as an upstream crash or as not_run.
func TestPanicReleasesGrantAndClaim(t *testing.T) {
	for _, c := range []struct {
		point     string
		releases  []sched.Outcome
		lastPhase claim.Phase
	}{
		{pointWaiting, nil, claim.Abandoned},
		{pointDialling, []sched.Outcome{sched.NotDispatched}, claim.Abandoned},
		{pointDispatched, []sched.Outcome{sched.Cancelled}, claim.Finished},
		{pointHeaders, []sched.Outcome{sched.Cancelled}, claim.Finished},
		{pointMidStream, []sched.Outcome{sched.Cancelled}, claim.Finished},
	} {
		t.Run(c.point, func(t *testing.T) {
			f := newFixture(t)
			injectAtPoints(f, func(current string) error {
				if current == c.point {
					panic("test")
				}
				return nil
			})
			w := f.chat(streamedChatBody)
			f.Expect(f.releases).To(Equal(c.releases))
			f.Expect(f.phaseUpdates).NotTo(BeEmpty())
			f.Expect(f.phaseUpdates[len(f.phaseUpdates)-1]).To(Equal(c.lastPhase))
			f.Expect(f.entry.inFlight).To(BeEmpty())
			f.Expect(w.Header().Get(headerRunState)).NotTo(Equal("not_run"))
		})
	}
}

// Guards against a stream that reaches the caller with duplicates, gaps or
// events of other requests, or that ends early without an error.
func TestFaultyEngineStream(t *testing.T) {
	const id = "issued-1"
	eventStep := func(sequence uint64) bodyStep { return bodyStep{text: eventText(id, sequence, 4)} }
	for _, c := range []struct {
		name      string
		steps     []bodyStep
		resumable bool
		want      string
	}{
		{"duplicates", []bodyStep{eventStep(1), eventStep(1), eventStep(2), eventStep(1), eventStep(3), eventStep(4)}, false, completeAnswer},
		{"gap, resumed", []bodyStep{eventStep(1), eventStep(3), eventStep(4)}, true, completeAnswer},
		{"gap", []bodyStep{eventStep(1), eventStep(3), eventStep(4)}, false, "answer_incomplete"},
		{"crossed event, resumed", []bodyStep{eventStep(1), {text: eventText("other", 2, 4)}}, true, completeAnswer},
		{"crossed event", []bodyStep{eventStep(1), {text: eventText("other", 2, 4)}}, false, "crossed_answer"},
		{"ends early, resumed", []bodyStep{eventStep(1), eventStep(2), eventStep(3)}, true, completeAnswer},
		{"ends early", []bodyStep{eventStep(1), eventStep(2), eventStep(3)}, false, "answer_incomplete"},
		{"event truncated, resumed", []bodyStep{eventStep(1), {text: "id: e1/issued-1/2\ndata: {\"cho"}}, true, completeAnswer},
		{"reset", []bodyStep{eventStep(1), {err: errReset}}, false, "upstream_broken"},
		{"truncated by a crash", []bodyStep{eventStep(1), {err: errkind.New(errkind.AnswerIncomplete, "cut")}}, false, "upstream_broken"},
		{"reset before the first event", []bodyStep{{err: errReset}}, false, "upstream_broken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return streamAnswer(id, c.steps...), nil }
			if !c.resumable {
				// The engine sends the same stream again, or is unreachable.
				f.onResume = func(string, uint64) (*upstream.Answer, error) {
					if c.want == "upstream_broken" {
						return nil, errReset
					}
					return streamAnswer(id, c.steps...), nil
				}
			}
			w := f.chat(streamedChatBody)
			checkOutcome(f, c.want, false, w.Body.String(), w.Header())
		})
	}
}

// Guards against delivery of an answer that belongs to another request, is
// truncated or reports a failure of the engine, and against counting a crash of
// an engine that is running.
func TestBufferedAnswerVerification(t *testing.T) {
	truncated := func(id string) *upstream.Answer {
		reply := jsonAnswer(http.StatusOK, id, "")
		reply.Body = &scriptedBody{[]bodyStep{{text: `{"a":`}, {err: errReset}}}
		return reply
	}
	const id = "issued-1"
	for _, c := range []struct {
		name          string
		reply         *upstream.Answer
		err           error
		fetchErr      error
		refetchedBody string
		service       bool
		kind          errkind.Kind
		outcome       sched.Outcome
	}{
		{name: "complete", reply: jsonAnswer(200, id, `{}`), outcome: sched.Completed},
		{name: "crossed", reply: jsonAnswer(200, "other", `{}`), kind: errkind.CrossedAnswer, outcome: sched.UpstreamRefused},
		{name: "truncated, fetched again", reply: truncated(id), outcome: sched.Completed},
		{name: "truncated", reply: truncated(id), fetchErr: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "not JSON, twice", reply: jsonAnswer(200, id, `{"a":`), refetchedBody: `{"a":`, kind: errkind.AnswerIncomplete, outcome: sched.UpstreamRefused},
		{name: "not JSON, engine unreachable", reply: jsonAnswer(200, id, `{"a":`), fetchErr: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "reset, fetched again", err: errReset, outcome: sched.Completed},
		{name: "reset", err: errReset, fetchErr: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "engine refuses", reply: jsonAnswer(503, id, `{}`), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "engine refuses, 408", reply: jsonAnswer(408, id, `{}`), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "engine refuses, 421", reply: jsonAnswer(421, id, `{}`), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "engine rejects", reply: jsonAnswer(400, id, `{}`), outcome: sched.Completed},
		{name: "service refuses, 503", service: true, reply: jsonAnswer(503, id, "busy"), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "service refuses, 429", service: true, reply: jsonAnswer(429, id, "busy"), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "service refuses, 425", service: true, reply: jsonAnswer(425, id, "busy"), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "service refuses, 421", service: true, reply: jsonAnswer(421, id, "busy"), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "service refuses, 408", service: true, reply: jsonAnswer(408, id, "busy"), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "service redirects", service: true, reply: jsonAnswer(307, id, ""), kind: errkind.UpstreamRefused, outcome: sched.UpstreamRefused},
		{name: "service complete", service: true, reply: jsonAnswer(500, id, "no JSON"), outcome: sched.Completed},
		{name: "service truncated", service: true, reply: truncated(id), kind: errkind.AnswerIncomplete, outcome: sched.UpstreamRefused},
		{name: "service reset", service: true, err: errReset, kind: errkind.UpstreamBroken, outcome: sched.UpstreamBroken},
		{name: "service crossed", service: true, reply: jsonAnswer(200, "other", ""), kind: errkind.CrossedAnswer, outcome: sched.UpstreamRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return c.reply, c.err }
			if c.fetchErr != nil {
				f.onFetch = func(string) (*upstream.Answer, error) { return nil, c.fetchErr }
			}
			if c.refetchedBody != "" {
				f.onFetch = func(id string) (*upstream.Answer, error) { return jsonAnswer(200, id, c.refetchedBody), nil }
			}
			path := "/v1/chat/completions"
			if c.service {
				path = "/services/s/lock"
			}
			w := f.call(context.Background(), http.MethodPost, path, bufferedChatBody)
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

// A service may refuse an idempotent call, which its caller may send again.
func TestRefusalOfIdempotentCallIsPassedOn(t *testing.T) {
	f := newFixture(t)
	f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return jsonAnswer(503, "issued-1", "busy"), nil }
	w := f.call(context.Background(), http.MethodGet, "/services/s/status", "")
	f.Expect(w.Code).To(Equal(503))
	f.Expect(w.Body.String()).To(Equal("busy"))
}

// Guards against a broken upstream that is reported to the scheduler only after
// the response: the caller's retry could then arrive before the crash is counted
// against the request.
func TestBrokenUpstreamReleasedBeforeResponse(t *testing.T) {
	f := newFixture(t)
	f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return nil, errors.New("reset") }
	r := &releaseCountingWriter{f: f}
	request, err := http.NewRequest(http.MethodPost, "/services/s/x", http.NoBody)
	f.Expect(err).NotTo(HaveOccurred())
	request.ProtoMinor = 0
	request.Header.Set(headerTeam, "t")
	f.entry.Handler().ServeHTTP(r, request)
	f.Expect(r.releasesAtHeader).To(Equal(1))
}

// releaseCountingWriter records how many grants were released when the response
// header is written.
type releaseCountingWriter struct {
	f                *fixture
	releasesAtHeader int
}

func (w *releaseCountingWriter) Header() http.Header         { return http.Header{} }
func (w *releaseCountingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *releaseCountingWriter) WriteHeader(int)             { _, _, w.releasesAtHeader = w.f.callCounts() }
