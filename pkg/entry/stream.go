package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// stream passes an engine's stream on from the event after last, and resumes
// it from the engine as often as it breaks and goes on.
func (e *Entry) stream(w http.ResponseWriter, q *request, answer *upstream.Answer, last uint64) {
	out := &eventWriter{w: w, q: q}
	tries := 0
	for {
		before := last
		err := e.copyEvents(out, q, answer, &last)
		if err == nil {
			e.endComplete(q)
			return
		}
		if last > before {
			tries = 0
		}
		var failure *errkind.Error
		if answer, failure = e.resume(q, last+1, &tries, err); failure != nil {
			e.failStream(out, failure)
			return
		}
	}
}

// resume gets the stream again from the engine. cause is why it broke.
func (e *Entry) resume(q *request, from uint64, tries *int, cause error) (*upstream.Answer, *errkind.Error) {
	broken := brokenBy(cause)
	for ; *tries < e.Settings.Limits.ResumeTries; *tries++ {
		if err := e.backoff(q.ctx, *tries); err != nil {
			return nil, typed(err, "the request was ended")
		}
		answer, err := e.Engine.Resume(q.ctx, q.address, q.id, from)
		if err != nil {
			// However the stream broke, an engine that cannot be reached now
			// counts as broken, for the sake of the strikes.
			broken = errkind.Wrap(errkind.UpstreamBroken, err, "the engine is unreachable")
			continue
		}
		if answer.Status == http.StatusOK {
			*tries++
			e.Log.V(1).Info("stream resumed", "request", q.id, "upstream", q.upstreamName(), "from", from)
			return answer, nil
		}
		_ = answer.Body.Close()
		if answer.Status == http.StatusNotFound {
			return nil, errkind.New(errkind.UpstreamBroken, "the engine does not know the request any more")
		}
	}
	return nil, broken
}

// copyEvents passes events on until the last one. Duplicates are dropped; a
// gap or an event of another request ends the connection with an error.
func (e *Entry) copyEvents(out *eventWriter, q *request, answer *upstream.Answer, last *uint64) error {
	defer func() { _ = answer.Body.Close() }()
	if id := answer.Header.Get(headerUpstreamID); id != "" && id != q.id {
		return errkind.New(errkind.CrossedAnswer, "the engine answered another request")
	}
	reader := upstream.NewEngineReader(answer.Body, q.id, *last+1, int(e.Settings.Limits.EventBytes))
	for {
		event, err := reader.Next()
		if err != nil {
			return err
		}
		*last = event.Sequence
		e.observe(q, event)
		out.write(event)
		if event.Last {
			return nil
		}
	}
}

func (e *Entry) observe(q *request, event upstream.Event) {
	if q.firstToken.IsZero() {
		q.firstToken = e.Clock.Now()
	}
	if event.Last {
		return
	}
	q.outputTokens++
	if bytes.Contains(event.Data, []byte(`"usage"`)) {
		q.readUsage(event.Data)
	}
}

// eventWriter writes events to the caller. Once the caller is gone, events are
// dropped, since the caller may resume.
type eventWriter struct {
	w       http.ResponseWriter
	q       *request
	started bool
	failed  bool
}

func (o *eventWriter) start() {
	if o.started {
		return
	}
	o.started = true
	header := o.w.Header()
	header.Set(headerContentType, typeEvents)
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	header.Set(headerUpstream, o.q.upstreamName())
	header.Set(headerRequestID, o.q.id)
	o.w.WriteHeader(http.StatusOK)
}

func (o *eventWriter) write(v upstream.Event) {
	if o.failed || o.q.callerGone() {
		return
	}
	o.start()
	var text bytes.Buffer
	if v.Sequence > 0 {
		fmt.Fprintf(&text, "id: %s\n", upstream.EventID{Upstream: o.q.upstreamName(), RequestID: o.q.id, Sequence: v.Sequence})
	}
	if v.Name != "" {
		fmt.Fprintf(&text, "event: %s\n", v.Name)
	}
	for line := range bytes.SplitSeq(v.Data, []byte("\n")) {
		text.WriteString("data: ")
		text.Write(line)
		text.WriteByte('\n')
	}
	text.WriteByte('\n')
	if _, err := o.w.Write(text.Bytes()); err != nil {
		o.failed = true
		return
	}
	o.failed = http.NewResponseController(o.w).Flush() != nil
}

// failStream ends a stream that cannot be completed with an error event, or
// with a refusal if nothing was sent yet.
func (e *Entry) failStream(out *eventWriter, err *errkind.Error) {
	if !out.started {
		e.finishBroken(out.w, out.q, err)
		return
	}
	err = e.endBroken(out.q, err)
	out.write(upstream.Event{Name: "error", Data: errorBody(err, errkind.AnswerFor(err.Kind).RunState)})
}

// pass copies a service's stream, which cannot be resumed.
func (e *Entry) pass(w http.ResponseWriter, q *request, answer *upstream.Answer) {
	defer func() { _ = answer.Body.Close() }()
	out := &eventWriter{w: w, q: q}
	reader := upstream.NewRawReader(answer.Body, int(e.Settings.Limits.EventBytes))
	for {
		event, err := reader.Next()
		switch {
		case err == nil:
			// IDs of a service are not those of an engine's stream.
			out.write(upstream.Event{Name: event.Name, Data: event.Data})
		case errors.Is(err, io.EOF):
			e.endComplete(q)
			return
		default:
			e.failStream(out, errkind.Wrap(errkind.AnswerIncomplete, err, "the service's stream was cut"))
			return
		}
	}
}

// follow answers an attempt whose identity was dispatched before: an engine's
// answer is fetched from the engine, a service's is not known here.
func (e *Entry) follow(w http.ResponseWriter, q *request, reply claim.Reply) {
	refusal := errkind.New(followKind(reply), "an earlier attempt has the request")
	target := e.Config.Snapshot().Upstreams[reply.Upstream]
	if !q.target.engine() || target == nil || q.id == "" || !q.machine.Fire(eventAttach) {
		e.finishRefused(w, q, q.refused(refusal))
		return
	}
	q.upstream.Store(&reply.Upstream)
	q.address = target.Address
	e.announceResumed(q)
	if q.target.stream {
		e.attach(w, q, 0)
		return
	}
	answer, body, err := e.fetchAgain(q, refusal)
	if err != nil {
		q.machine.Fire(eventBreak)
		e.logEnd(q, refusal)
		writeRefusal(w, q.id, refusal)
		return
	}
	e.sendWhole(w, q, answer, body)
}

// attach streams a dispatched request from the event after last.
func (e *Entry) attach(w http.ResponseWriter, q *request, last uint64) {
	tries := 0
	answer, err := e.resume(q, last+1, &tries, errkind.New(errkind.UpstreamBroken, "the engine is unreachable"))
	if err != nil {
		e.finishBroken(w, q, err)
		return
	}
	e.stream(w, q, answer, last)
}

// announceResumed keeps the instance that lost the caller from cancelling.
func (e *Entry) announceResumed(q *request) {
	e.Resumed(q.id)
	if e.NotifyResumed != nil {
		e.NotifyResumed(q.id, q.upstreamName())
	}
}

// serveResume serves GET /v1/streams.
func (e *Entry) serveResume(w http.ResponseWriter, r *http.Request) {
	snapshot := e.Config.Snapshot()
	team, err := e.resolveTeam(snapshot, r.Header)
	if err == nil && !snapshot.Usable {
		err = errkind.New(errkind.NotReady, "the configuration is not known yet")
	}
	if err != nil {
		e.refuseResume(w, err)
		return
	}
	event, parseErr := upstream.ParseEventID(r.Header.Get(headerLastEventID))
	if parseErr != nil {
		e.refuseResume(w, typed(parseErr, headerLastEventID))
		return
	}
	name, id := event.Upstream, event.RequestID
	held := e.find(id)
	foreign := held != nil && held.team.Name != team.Name
	if foreign || e.OwnsID != nil && !e.OwnsID(team.Name, id) {
		e.refuseResume(w, errkind.New(errkind.Unauthorized, "the request is another team's"))
		return
	}
	target := snapshot.Upstreams[name]
	if target == nil {
		e.refuseResume(w, errkind.New(errkind.IssuerLost, "the upstream is not known any more"))
		return
	}
	q := &request{
		id: id, team: team, received: e.Clock.Now(), machine: e.requestChart.New(), gone: make(chan struct{}),
		address: target.Address, idempotent: true, method: r.Method,
	}
	q.tier = lowestTier(snapshot)
	q.target = resumed
	q.ctx, q.cancel = context.WithCancelCause(context.Background())
	q.upstream.Store(&name)
	if err := e.admit(q, true); err != nil {
		e.refuseResume(w, err)
		return
	}
	defer e.drop(q)
	q.machine.Fire(eventClaim)
	q.machine.Fire(eventAttach)
	stop := context.AfterFunc(r.Context(), func() { e.onCallerGone(q) })
	defer stop()
	e.announceResumed(q)
	e.attach(w, q, event.Sequence)
}

// resumed is the target of a request that is only known by its last event.
var resumed = target{name: "stream", model: "-", stream: true}
