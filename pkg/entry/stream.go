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

// deliverEngineStream forwards an engine's stream from the event after
// lastSequence. When the stream breaks, it is resumed from the engine; every event
// received resets the count of tries.
func (e *Entry) deliverEngineStream(w http.ResponseWriter, req *request, answer *upstream.Answer, lastSequence uint64) {
	writer := &eventWriter{w: w, req: req}
	tries := 0
	for {
		lastBefore := lastSequence
		err := e.copyEvents(writer, req, answer, &lastSequence)
		if err == nil {
			e.endCompleted(req)
			return
		}
		if lastSequence > lastBefore {
			tries = 0
		}
		var failure *errkind.Error
		if answer, failure = e.resumeStream(req, lastSequence+1, &tries, err); failure != nil {
			e.failStream(writer, failure)
			return
		}
	}
}

// resumeStream requests the stream from the engine again. cause is the error
// that ended it.
func (e *Entry) resumeStream(req *request, from uint64, tries *int, cause error) (*upstream.Answer, *errkind.Error) {
	broken := brokenError(cause)
	for ; *tries < e.Settings.Limits.ResumeTries; *tries++ {
		if err := e.waitBackoff(req.ctx, *tries); err != nil {
			return nil, asKindError(err, "the request has ended")
		}
		answer, err := e.Engine.Resume(req.ctx, req.upstreamAddress, req.id, from)
		if err != nil {
			// An engine that cannot be reached now is reported as broken, whatever
			// ended the stream, so that the scheduler counts a crash of the engine.
			broken = errkind.Wrap(errkind.UpstreamBroken, err, "the engine is unreachable")
			continue
		}
		if answer.Status == http.StatusOK {
			*tries++
			e.Log.V(1).Info("stream resumed", "request", req.id, "upstream", req.upstreamName(), "from", from)
			return answer, nil
		}
		_ = answer.Body.Close()
		if answer.Status == http.StatusNotFound {
			return nil, errkind.New(errkind.UpstreamBroken, "the engine no longer knows the request")
		}
	}
	return nil, broken
}

// copyEvents forwards events until the last one. It drops duplicates; a gap or
// an event of another request is returned as an error.
func (e *Entry) copyEvents(writer *eventWriter, req *request, answer *upstream.Answer, lastSequence *uint64) error {
	defer func() { _ = answer.Body.Close() }()
	if id := answer.Header.Get(headerUpstreamRequestID); id != "" && id != req.id {
		return errkind.New(errkind.CrossedAnswer, "the engine answered another request")
	}
	reader := upstream.NewEngineEventReader(answer.Body, req.id, *lastSequence+1, int(e.Settings.Limits.EventBytes))
	reader.ShareMemory(e.answerMemory)
	defer reader.Release()
	for {
		event, err := reader.Next()
		if err != nil {
			return err
		}
		*lastSequence = event.Sequence
		e.recordEvent(req, event)
		writer.write(event)
		if event.Last {
			return nil
		}
	}
}

// recordEvent updates the time of the first token and the token counts.
func (e *Entry) recordEvent(req *request, event upstream.Event) {
	if req.firstTokenAt.IsZero() {
		req.firstTokenAt = e.Clock.Now()
	}
	if event.Last {
		return
	}
	req.outputTokens++
	if bytes.Contains(event.Data, []byte(`"usage"`)) {
		req.readUsage(event.Data)
	}
}

// eventWriter writes events to the caller. Once the caller has disconnected,
// events are dropped; the caller may resume the stream elsewhere.
type eventWriter struct {
	w   http.ResponseWriter
	req *request
	// started is true once the response header was written.
	started bool
	// failed is true once a write to the caller failed.
	failed bool
}

// start writes the response header once.
func (ew *eventWriter) start() {
	if ew.started {
		return
	}
	ew.started = true
	header := ew.w.Header()
	header.Set(headerContentType, contentTypeEventStream)
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	header.Set(headerUpstream, ew.req.upstreamName())
	header.Set(headerRequestID, ew.req.id)
	ew.w.WriteHeader(http.StatusOK)
}

// write sends one event and flushes it.
func (ew *eventWriter) write(event upstream.Event) {
	if ew.failed || ew.req.callerGone() {
		return
	}
	ew.start()
	var text bytes.Buffer
	if event.Sequence > 0 {
		fmt.Fprintf(&text, "id: %s\n", upstream.EventID{Upstream: ew.req.upstreamName(), RequestID: ew.req.id, Sequence: event.Sequence})
	}
	if event.Name != "" {
		fmt.Fprintf(&text, "event: %s\n", event.Name)
	}
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		text.WriteString("data: ")
		text.Write(line)
		text.WriteByte('\n')
	}
	text.WriteByte('\n')
	if _, err := ew.w.Write(text.Bytes()); err != nil {
		ew.failed = true
		return
	}
	ew.failed = http.NewResponseController(ew.w).Flush() != nil
}

// failStream ends a stream that cannot be completed: with an error response if
// nothing was sent yet, else with an error event.
func (e *Entry) failStream(writer *eventWriter, err *errkind.Error) {
	if !writer.started {
		e.finishBroken(writer.w, writer.req, err)
		return
	}
	err = e.endBroken(writer.req, err)
	writer.write(upstream.Event{Name: "error", Data: errorBody(err, errkind.ResponseFor(err.Kind).RunState)})
}

// deliverServiceStream forwards a service's stream, which cannot be resumed.
func (e *Entry) deliverServiceStream(w http.ResponseWriter, req *request, answer *upstream.Answer) {
	defer func() { _ = answer.Body.Close() }()
	writer := &eventWriter{w: w, req: req}
	reader := upstream.NewSSEReader(answer.Body, int(e.Settings.Limits.EventBytes))
	reader.ShareMemory(e.answerMemory)
	defer reader.Release()
	for {
		event, err := reader.Next()
		switch {
		case err == nil:
			// The ID is dropped, since callers could not resume from it.
			writer.write(upstream.Event{Name: event.Name, Data: event.Data})
		case errors.Is(err, io.EOF):
			e.endCompleted(req)
			return
		default:
			e.failStream(writer, errkind.Wrap(errkind.AnswerIncomplete, err, "the service's stream was truncated"))
			return
		}
	}
}

// followEarlierAttempt answers an attempt whose idempotency key was dispatched
// before. An engine is asked for the answer; a service's answer cannot be
// fetched.
func (e *Entry) followEarlierAttempt(w http.ResponseWriter, req *request, reply claim.Reply) {
	refusal := errkind.New(earlierAttemptKind(reply), "an earlier attempt has the request")
	destination := e.Config.Snapshot().Upstreams[reply.Upstream]
	if !req.target.isEngine() || destination == nil || req.id == "" || !req.stateMachine.Fire(eventAttach) {
		e.finishRefused(w, req, req.refuseOrKeepFirst(refusal))
		return
	}
	req.assignedUpstream.Store(&reply.Upstream)
	req.upstreamAddress = destination.Address
	e.announceResume(req)
	if req.target.stream {
		e.attachStream(w, req, 0)
		return
	}
	answer, body, err := e.refetchAnswer(req, refusal)
	if err != nil {
		req.stateMachine.Fire(eventBreak)
		e.logEnd(req, refusal)
		writeKindError(w, req.id, refusal)
		return
	}
	e.sendBuffered(w, req, answer, body)
}

// attachStream streams a dispatched request from the event after lastSequence.
func (e *Entry) attachStream(w http.ResponseWriter, req *request, lastSequence uint64) {
	tries := 0
	answer, err := e.resumeStream(req, lastSequence+1, &tries, errkind.New(errkind.UpstreamBroken, "the engine is unreachable"))
	if err != nil {
		e.finishBroken(w, req, err)
		return
	}
	e.deliverEngineStream(w, req, answer, lastSequence)
}

// announceResume reports to this and the other instances that the stream of the
// request was resumed. Otherwise the instance with the caller's first connection
// could cancel the request when that connection ends.
func (e *Entry) announceResume(req *request) {
	e.MarkResumed(req.id)
	if e.NotifyResumed != nil {
		e.NotifyResumed(req.id, req.upstreamName())
	}
}

// serveStreamResume serves GET /v1/streams, which resumes a stream after the
// event in Last-Event-ID.
func (e *Entry) serveStreamResume(w http.ResponseWriter, r *http.Request) {
	snapshot := e.Config.Snapshot()
	team, err := e.resolveTeam(snapshot, r.Header)
	if err == nil && !snapshot.Usable {
		err = errkind.New(errkind.NotReady, "the configuration is not known yet")
	}
	if err != nil {
		e.writeResumeError(w, err)
		return
	}
	lastEvent, parseErr := upstream.ParseEventID(r.Header.Get(headerLastEventID))
	if parseErr != nil {
		e.writeResumeError(w, asKindError(parseErr, headerLastEventID))
		return
	}
	upstreamName, requestID := lastEvent.Upstream, lastEvent.RequestID
	existing := e.lookup(requestID)
	belongsToOtherTeam := existing != nil && existing.team.Name != team.Name
	if belongsToOtherTeam || e.IsIssuedTo != nil && !e.IsIssuedTo(team.Name, requestID) {
		e.writeResumeError(w, errkind.New(errkind.Unauthorized, "the request is another team's"))
		return
	}
	destination := snapshot.Upstreams[upstreamName]
	if destination == nil {
		e.writeResumeError(w, errkind.New(errkind.IssuerLost, "the upstream is no longer configured"))
		return
	}
	req := &request{
		id: requestID, team: team, receivedAt: e.Clock.Now(), stateMachine: e.requestChart.NewMachine(), connectionClosed: make(chan struct{}),
		upstreamAddress: destination.Address, idempotent: true, method: r.Method,
	}
	req.tier = lowestTier(snapshot)
	req.target = resumedTarget
	req.ctx, req.cancel = context.WithCancelCause(context.Background())
	req.assignedUpstream.Store(&upstreamName)
	if err := e.admit(req, true); err != nil {
		e.writeResumeError(w, err)
		return
	}
	defer e.retire(req)
	req.stateMachine.Fire(eventClaim)
	req.stateMachine.Fire(eventAttach)
	stopDisconnectHook := context.AfterFunc(r.Context(), func() { e.onCallerGone(req) })
	defer stopDisconnectHook()
	e.announceResume(req)
	e.attachStream(w, req, lastEvent.Sequence)
}

// resumedTarget is the target of a resumed stream, whose model is not known
// here.
var resumedTarget = target{name: "stream", model: "-", stream: true}
