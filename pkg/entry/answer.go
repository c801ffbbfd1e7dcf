package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// apiError is the error object of OpenAI's API, extended by the error kind and
// the run state.
type apiError struct {
	Message  string           `json:"message"`
	Type     string           `json:"type"`
	Param    *string          `json:"param"`
	Code     errkind.Kind     `json:"code"`
	Kind     errkind.Kind     `json:"kind"`
	RunState errkind.RunState `json:"run_state"`
}

// errorBody returns the JSON body of an error response.
func errorBody(err *errkind.Error, runState errkind.RunState) []byte {
	response := errkind.ResponseFor(err.Kind)
	errorType := "server_error"
	if response.Status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	body, _ := json.Marshal(map[string]apiError{"error": {
		Message: err.Message, Type: errorType, Code: err.Kind, Kind: err.Kind, RunState: runState,
	}})
	return body
}

// writeKindError writes an error response with the default run state of its
// kind.
func writeKindError(w http.ResponseWriter, requestID string, err *errkind.Error) {
	writeError(w, requestID, err, errkind.ResponseFor(err.Kind).RunState)
}

// writeResumeError answers a failed resume. The run state is always unknown,
// since the stream belongs to a request that may have run.
func (e *Entry) writeResumeError(w http.ResponseWriter, err *errkind.Error) {
	e.countRequest(string(err.Kind), "")
	writeError(w, "", err, errkind.Unknown)
}

// writeError writes an error response with the given run state.
func writeError(w http.ResponseWriter, requestID string, err *errkind.Error, runState errkind.RunState) {
	response := errkind.ResponseFor(err.Kind)
	header := w.Header()
	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}
	header.Set(headerRunState, string(runState))
	header.Set(headerError, string(err.Kind))
	header.Set(headerShouldRetry, strconv.FormatBool(response.RetrySafe && response.Status >= http.StatusTooManyRequests))
	header.Set(headerContentType, contentTypeJSON)
	w.WriteHeader(response.Status)
	_, _ = w.Write(errorBody(err, runState))
}

// writeEndpointError answers a failed call of an endpoint that dispatches
// nothing.
func (e *Entry) writeEndpointError(w http.ResponseWriter, err *errkind.Error) {
	e.countRequest(string(err.Kind), "")
	writeKindError(w, "", err)
}

// refuseUnread refuses a chat completion or a call to a service without reading its
// body.
func (e *Entry) refuseUnread(w http.ResponseWriter, r *http.Request, err *errkind.Error) {
	e.countRequest(string(err.Kind), "")
	unread := request{idempotencyKey: r.Header.Get(headerIdempotencyKey)}
	writeError(w, "", err, unread.refusalRunState(err.Kind))
}

// finishRefused logs and answers a request that was not dispatched.
func (e *Entry) finishRefused(w http.ResponseWriter, req *request, err *errkind.Error) {
	e.logEnd(req, err)
	if !req.callerGone() && err.Kind != errkind.CallerGone {
		writeError(w, req.id, err, req.refusalRunState(err.Kind))
	}
}

// finishBroken ends a dispatched request that has no answer. The outcome is
// sent to the scheduler before the response to the caller, so that the scheduler
// has counted a crash against the request when the caller retries.
func (e *Entry) finishBroken(w http.ResponseWriter, req *request, err *errkind.Error) {
	err = e.endBroken(req, err)
	if !req.callerGone() {
		writeKindError(w, req.id, err)
	}
}

// endBroken ends a dispatched request without a complete answer and returns the
// error to report.
func (e *Entry) endBroken(req *request, err *errkind.Error) *errkind.Error {
	if errkind.ResponseFor(err.Kind).RunState == errkind.NotRun {
		// The request was dispatched, so a byte may have been sent.
		err = errkind.Wrap(errkind.UpstreamBroken, err, "the request may have run")
	}
	outcome := releaseOutcome(err.Kind)
	req.stateMachine.Fire(eventBreak)
	if req.stateMachine.State() == stateCancelled {
		outcome = sched.Cancelled
		err = errkind.New(errkind.CallerGone, "the request was cancelled after its caller disconnected")
	}
	if req.poolName != "" {
		e.releaseGrant(req, outcome)
		e.Claimer.UpdatePhase(req.id, claim.Finished, req.upstreamName())
	}
	e.logEnd(req, err)
	return err
}

// releaseOutcome maps an error kind to the outcome reported to the scheduler.
// Only a broken upstream counts as a crash; a wrong answer does not indicate
// one.
func releaseOutcome(kind errkind.Kind) sched.Outcome {
	if kind == errkind.UpstreamBroken {
		return sched.UpstreamBroken
	}
	return sched.UpstreamRefused
}

// endCompleted ends a request whose answer was received completely.
func (e *Entry) endCompleted(req *request) {
	req.stateMachine.Fire(eventComplete)
	if req.poolName != "" {
		e.releaseGrant(req, sched.Completed)
		e.Claimer.UpdatePhase(req.id, claim.Finished, req.upstreamName())
	}
	if req.target.isEngine() && req.outputTokens > 0 {
		e.outputAverages.add(req.target.model, req.outputTokens)
	}
	e.logEnd(req, nil)
}

// deliverAnswer validates the head of the upstream's answer and forwards the
// answer to the caller.
func (e *Entry) deliverAnswer(w http.ResponseWriter, req *request, answer *upstream.Answer) {
	req.stateMachine.Fire(eventAnswer)
	if id := answer.Header.Get(headerUpstreamRequestID); id != "" && id != req.id {
		_ = answer.Body.Close()
		e.finishBroken(w, req, errkind.New(errkind.CrossedAnswer, "the upstream answered another request"))
		return
	}
	if req.target.isEngine() && (answer.Status >= http.StatusInternalServerError || isReadAsNotRun(answer.Status)) {
		_ = answer.Body.Close()
		e.finishBroken(w, req, errkind.New(errkind.UpstreamRefused, "the engine answered with status %d", answer.Status))
		return
	}
	if !req.target.isEngine() && !req.idempotent && isReadAsNotRun(answer.Status) {
		_ = answer.Body.Close()
		e.finishBroken(w, req, errkind.New(errkind.UpstreamRefused, "the service answered with status %d, which does not say whether the call ran", answer.Status))
		return
	}
	if answer.Status == http.StatusTemporaryRedirect || answer.Status == http.StatusPermanentRedirect {
		// HTTP clients would follow a 307 or 308 by sending the request again.
		_ = answer.Body.Close()
		e.finishBroken(w, req, errkind.New(errkind.UpstreamRefused, "the upstream answered with the redirect %d", answer.Status))
		return
	}
	streamed := strings.HasPrefix(answer.Header.Get(headerContentType), contentTypeEventStream)
	switch {
	case streamed && req.target.isEngine():
		e.deliverEngineStream(w, req, answer, 0)
	case streamed:
		e.deliverServiceStream(w, req, answer)
	default:
		e.deliverBuffered(w, req, answer)
	}
}

// isReadAsNotRun reports whether callers take a status to mean that the request has not run,
// and send it again. Upstreams answer dispatched requests, and have no way to state that they
// did not run them.
func isReadAsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var errAnswerTooLarge = errors.New("the answer is larger than the limit")

var errAnswerMemory = errors.New("the answers of all requests need more memory than the limit")

// firstAnswerBytes is what is held of each answer even if the answers to other requests
// use up Entry.answerMemory.
const firstAnswerBytes = 16 << 10

// readAnswerBody reads the whole body, up to the limit, and closes it. The body is held
// until the request ends or another one is read for it.
func (e *Entry) readAnswerBody(req *request, answer *upstream.Answer) ([]byte, error) {
	defer func() { _ = answer.Body.Close() }()
	req.releaseAnswer()
	// One byte more than the limit, by which a body that is too large is recognized.
	req.answerBuffer = membudget.NewBuffer(e.answerMemory, firstAnswerBytes, int(e.Settings.Limits.AnswerBytes)+1)
	complete, err := req.answerBuffer.ReadAll(answer.Body)
	switch {
	case err != nil || complete:
		return req.answerBuffer.Bytes(), err
	case req.answerBuffer.Full():
		err = errAnswerTooLarge
	default:
		err = errAnswerMemory
	}
	req.releaseAnswer()
	return nil, err
}

// releaseAnswer releases the memory of the answer's body.
func (req *request) releaseAnswer() {
	if req.answerBuffer != nil {
		req.answerBuffer.Release()
	}
}

// recoverAnswer handles a connection that broke after the dispatch. An engine
// that is still running keeps the answer, which is fetched from it; the request
// is not sent again.
func (e *Entry) recoverAnswer(w http.ResponseWriter, req *request, err *errkind.Error) {
	if !req.target.isEngine() || err.Kind != errkind.UpstreamBroken {
		e.finishBroken(w, req, err)
		return
	}
	if req.target.stream {
		e.attachStream(w, req, 0)
		return
	}
	answer, body, failure := e.refetchAnswer(req, err)
	if failure != nil {
		e.finishBroken(w, req, failure)
		return
	}
	e.sendBuffered(w, req, answer, body)
}

// deliverBuffered validates an answer that is not streamed before sending any
// of it. If an engine's answer cannot be read whole, or has status 200 and is not
// valid JSON, it is fetched again, unless it needs too much memory.
func (e *Entry) deliverBuffered(w http.ResponseWriter, req *request, answer *upstream.Answer) {
	body, err := e.readAnswerBody(req, answer)
	if err == nil && req.target.isEngine() && answer.Status == http.StatusOK && !json.Valid(body) {
		err = errkind.New(errkind.AnswerIncomplete, "the engine's answer is not valid JSON")
	}
	var failure *errkind.Error
	switch {
	case errors.Is(err, errAnswerTooLarge):
		failure = errkind.New(errkind.AnswerIncomplete, "the answer is larger than %d bytes", e.Settings.Limits.AnswerBytes)
	case errors.Is(err, errAnswerMemory):
		failure = errkind.Wrap(errkind.AnswerIncomplete, err, "the answer was not read to its end")
	case err != nil && req.target.isEngine():
		answer, body, failure = e.refetchAnswer(req, err)
	case err != nil:
		failure = errkind.Wrap(errkind.AnswerIncomplete, err, "the service's answer was truncated")
	}
	if failure != nil {
		e.finishBroken(w, req, failure)
		return
	}
	e.sendBuffered(w, req, answer, body)
}

// sendBuffered sends a validated answer and ends the request.
func (e *Entry) sendBuffered(w http.ResponseWriter, req *request, answer *upstream.Answer, body []byte) {
	// The time of the first token stays unset: the head of an answer that is not
	// streamed arrives with the last token.
	if req.target.isEngine() {
		req.readUsage(body)
	}
	if !req.callerGone() {
		copyForwardedHeaders(w, answer.Header)
		w.Header().Set(headerUpstream, req.upstreamName())
		w.Header().Set(headerRunState, string(errkind.Ran))
		if len(body) > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(answer.Status)
		_, _ = w.Write(body)
		// Flushed so that the caller does not wait for the release of the grant.
		_ = http.NewResponseController(w).Flush()
	}
	e.endCompleted(req)
}

// refetchAnswer fetches a buffered answer from the engine by request ID. cause
// is the error of the first connection.
func (e *Entry) refetchAnswer(req *request, cause error) (*upstream.Answer, []byte, *errkind.Error) {
	broken := brokenError(cause)
	fetcher, ok := e.Engine.(AnswerFetcher)
	if !ok {
		return nil, nil, broken
	}
	for try := range e.Settings.Limits.ResumeTries {
		if err := e.waitBackoff(req.ctx, try); err != nil {
			return nil, nil, asKindError(err, "the request has ended")
		}
		answer, err := fetcher.FetchAnswer(req.ctx, req.upstreamAddress, req.id)
		if err != nil {
			broken = errkind.Wrap(errkind.UpstreamBroken, err, "the engine is unreachable")
			continue
		}
		body, err := e.readAnswerBody(req, answer)
		if answer.Status == http.StatusNotFound {
			return nil, nil, errkind.New(errkind.UpstreamBroken, "the engine no longer knows the request")
		}
		if id := answer.Header.Get(headerUpstreamRequestID); id != "" && id != req.id {
			broken = errkind.New(errkind.CrossedAnswer, "the engine returned the answer to another request")
			continue
		}
		if err == nil && answer.Status == http.StatusOK && json.Valid(body) {
			return answer, body, nil
		}
	}
	return nil, nil, broken
}

// brokenError returns the error kind in cause, or UpstreamBroken if it has
// none.
func brokenError(cause error) *errkind.Error {
	if kindErr := asKindError(cause, ""); kindErr.Kind != errkind.Internal {
		return kindErr
	}
	return errkind.Wrap(errkind.UpstreamBroken, cause, "the connection to the upstream broke")
}

// waitBackoff waits before a try with exponential backoff; the first try is
// immediate.
func (e *Entry) waitBackoff(ctx context.Context, try int) error {
	if try > 0 {
		timer := e.Clock.NewTimer(e.Settings.Timeouts.ResumeBackoff << (try - 1))
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
		}
	}
	return context.Cause(ctx)
}

// copyForwardedHeaders copies the headers of an upstream's answer that the
// caller receives.
func copyForwardedHeaders(w http.ResponseWriter, from http.Header) {
	for name, values := range from {
		if isForwardedHeader(name) {
			w.Header()[name] = values
		}
	}
}

// usageResponse holds the token counts in an answer of OpenAI's API.
type usageResponse struct {
	Usage *struct {
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readUsage stores the token counts of an answer or a stream event, if it has
// any.
func (req *request) readUsage(body []byte) {
	var parsed usageResponse
	if json.Unmarshal(body, &parsed) == nil && parsed.Usage != nil {
		req.outputTokens = parsed.Usage.CompletionTokens
		req.cachedTokens = parsed.Usage.PromptTokensDetails.CachedTokens
	}
}
