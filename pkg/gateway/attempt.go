package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
)

// attemptResult is the result of one attempt to have an upstream answer.
type attemptResult struct {
	outcome admission.Outcome
	// err is nil if the answer was delivered to the caller.
	err *errkind.Error
	// notExecuted is true if the upstream stated that it did not run the request.
	notExecuted bool
	// final rules out a retry; retry is true if a retry has been granted.
	final  bool
	retry  bool
	status int
	// timeToFirstOutput and totalTime are measured from the sending of the request.
	timeToFirstOutput time.Duration
	totalTime         time.Duration
	// eventInterval is what baselineInterval returns for the answer's events;
	// longestInterval is the longest time between two of these events.
	eventInterval   time.Duration
	longestInterval time.Duration
	// outputBytes is the number of bytes of the body that were received.
	outputBytes int
	// connectionLost is true if the connection ended before the answer was complete.
	connectionLost bool
	// quietTime is the time for which the upstream wants no request of this instance.
	quietTime time.Duration
	// retryAfter is the time after which the caller of a refused request may retry; 0 for
	// the default.
	retryAfter time.Duration
	connReused bool
}

// timeAfterFirstOutput returns how long the answer went on after its first output.
func (r attemptResult) timeAfterFirstOutput() time.Duration {
	if r.timeToFirstOutput == 0 {
		return 0
	}
	return r.totalTime - r.timeToFirstOutput
}

const (
	// maxBufferedAnswerBytes bounds the part of an answer that is read before the
	// first byte goes to the caller, so that an incomplete short answer can still be
	// replaced by an error or a retry. It is less while the answers to other requests
	// use up Gateway.answerMemory.
	maxBufferedAnswerBytes = 256 << 10
	// firstAnswerBytes is what may be held of each answer in any case.
	firstAnswerBytes = 8 << 10
)

// maxRefusalBytes bounds the body of an upstream's refusal, which is read only so that
// the connection can be used again.
const maxRefusalBytes = 16 << 10

// attempt sends the request to the selected upstream and forwards its answer.
func (x *exchange) attempt(ctx context.Context, decision admission.Decision) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.lastUpstream = decision.Upstream.ID
	conn, reused, err := x.g.conns.Get(ctx, decision.Upstream.Address, decision.Upstream.ID, x.connectionLimit())
	if err != nil {
		return x.dialFailed(ctx, decision, err)
	}
	if err := x.revalidate(); err != nil {
		conn.Close()
		return attemptResult{outcome: admission.NotSent, err: x.brokenIfMayHaveRun(err), final: true}
	}
	if err := x.refuseLate(); err != nil {
		conn.Close()
		return attemptResult{outcome: admission.NotSent, err: x.brokenIfMayHaveRun(err), final: true, retryAfter: jitter(stopRetryAfter)}
	}
	if err, retryAfter := x.refusePoison(ctx); err != nil {
		conn.Close()
		return attemptResult{outcome: admission.NotSent, err: x.brokenIfMayHaveRun(err), final: true, retryAfter: retryAfter}
	}
	if !reused {
		x.g.metrics.connectionsOpened.Inc(1)
	}
	x.attempts++
	mayHaveRunBefore := x.mayHaveRun
	x.mayHaveRun = true
	x.phase.Store(phaseSent)
	started := x.g.now()
	x.lastStatus = 0
	response, err := conn.RoundTrip(ctx, x.upstreamRequest(decision), x.g.headerCodec.RequestIDHeader(), x.requestInfo.RequestID)
	if err != nil {
		conn.Close()
		result := x.answerFailed(ctx, decision, err, reused)
		result.totalTime = x.g.now() - started
		return result
	}
	x.lastStatus = response.Status
	reply := x.g.headerCodec.DecodeReply(response.Status, response.Header)
	x.heedUpstream(decision.Upstream, reply)
	x.phase.Store(phaseAnswer)
	if !reply.NotExecuted && !x.reachedService {
		x.reachedService, x.sentAt = true, started
	}
	result, complete := x.forwardAnswer(ctx, decision, response, reply, started)
	result.quietTime = reply.QuietTime
	if result.notExecuted {
		x.mayHaveRun = mayHaveRunBefore
		result.err = x.brokenIfMayHaveRun(result.err)
	}
	result.totalTime, result.status, result.connReused = x.g.now()-started, response.Status, reused
	if complete {
		x.g.conns.Release(conn, response)
	} else {
		conn.Close()
	}
	return result
}

// connectionLimit returns this instance's share of the connections that the
// service allows per upstream.
func (x *exchange) connectionLimit() int {
	service := x.table.Service(x.service)
	if service == nil || service.MaxConnections <= 0 {
		return noConnectionLimit
	}
	return max(minConnections, service.MaxConnections/int(max(1, x.g.instanceCount.Load())))
}

const (
	noConnectionLimit = 1 << 20
	// minConnections lets an instance use an upstream even if the connection limit
	// of the upstream is below the number of instances, since they do not all use
	// it at once.
	minConnections = 2
)

func (x *exchange) upstreamRequest(decision admission.Decision) connpool.Request {
	return connpool.Request{
		Method: x.r.Method, Target: x.requestTarget(), Host: x.r.Host, Body: x.body,
		Chunked: x.r.ContentLength < 0 && len(x.r.TransferEncoding) > 0,
		Header: x.g.headerCodec.UpstreamHeader(x.r.Header, ForwardInfo{
			Upstream: decision.Upstream.ID, Team: x.teamName(), Remaining: x.deadline - x.g.now(), LastEventID: x.position.eventID,
		}),
	}
}

// dialFailed returns the result of an attempt that got no connection.
func (x *exchange) dialFailed(ctx context.Context, decision admission.Decision, cause error) attemptResult {
	switch {
	case x.r.Context().Err() != nil:
		return attemptResult{outcome: admission.NotSent, final: true, err: errkind.Wrap(errkind.CallerGone, cause, "the caller disconnected before the request was sent")}
	case ctx.Err() != nil:
		return attemptResult{outcome: admission.Unreachable, final: true, err: x.deadlineError()}
	case errors.Is(cause, connpool.ErrTooManyConnections):
		return attemptResult{outcome: admission.NotSent, err: x.brokenIfMayHaveRun(errkind.Wrap(errkind.Overloaded, cause, "upstream %s", decision.Upstream.ID)), final: true}
	}
	return attemptResult{outcome: admission.Unreachable, err: x.brokenIfMayHaveRun(errkind.Wrap(errkind.NoUpstream, cause, "upstream %s", decision.Upstream.ID))}
}

// brokenIfMayHaveRun replaces err, which states that the request has not run, by
// UpstreamBroken if an earlier attempt may have run it.
func (x *exchange) brokenIfMayHaveRun(err *errkind.Error) *errkind.Error {
	if !x.mayHaveRun {
		return err
	}
	return errkind.Wrap(errkind.UpstreamBroken, err, "an earlier attempt may have run the request")
}

// answerFailed returns the result of an attempt that got no complete, valid
// answer.
func (x *exchange) answerFailed(ctx context.Context, decision admission.Decision, cause error, reused bool) attemptResult {
	result := attemptResult{outcome: admission.Broken, connReused: reused}
	switch {
	case x.r.Context().Err() != nil:
		result.outcome = admission.Cancelled
		result.err = errkind.Wrap(errkind.CallerGone, cause, "the caller disconnected")
	case x.g.graceOver.Err() != nil && ctx.Err() != nil:
		result.outcome = admission.Cancelled
		result.err = errkind.Wrap(errkind.UpstreamBroken, cause, "the instance stopped before upstream %s had answered", decision.Upstream.ID)
	case ctx.Err() != nil:
		result.outcome = admission.Cancelled
		result.err = errkind.Wrap(errkind.AnswerTimeout, cause, "upstream %s did not answer in time", decision.Upstream.ID)
	default:
		result.connectionLost = connpool.ConnectionLost(cause)
		result.err = errkind.Wrap(errkind.UpstreamBroken, cause, "upstream %s", decision.Upstream.ID)
	}
	return result
}

// forwardAnswer forwards a valid answer to the caller. It reports whether the
// answer was read to its end, so that the connection can be reused.
func (x *exchange) forwardAnswer(ctx context.Context, decision admission.Decision, response *connpool.Response, reply Reply, started time.Duration) (attemptResult, bool) {
	success := response.Status/100 == 2
	switch {
	case reply.NotExecuted:
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
		return x.rejectedByUpstream(decision, reply, response.Status), err == nil && n < maxRefusalBytes
	case success && (!reply.Signed || reply.Encoded || reply.Contradictory):
		cause := errors.New("the answer is not the upstream's own")
		return x.answerFailed(ctx, decision, cause, false), false
	case success && x.route.Kind.Streams() && isEventStream(response):
		return x.forwardEvents(ctx, decision, response, started)
	}
	return x.forwardBody(ctx, decision, response, reply, started)
}

func (x *exchange) rejectedByUpstream(decision admission.Decision, reply Reply, status int) attemptResult {
	x.g.metrics.upstreamRejections.Inc(1)
	reason := "is at capacity"
	if reply.Misdirected {
		reason = "no longer has this address"
	}
	err := errkind.New(errkind.Overloaded, "upstream %s %s (status %d)", decision.Upstream.ID, reason, status)
	result := attemptResult{outcome: admission.Rejected, notExecuted: true, err: err}
	if reply.Misdirected {
		result.outcome = admission.Unreachable
	}
	return result
}

// forwardBody forwards an answer that is not an event stream. An answer of less
// than maxBufferedAnswerBytes is read completely before it is forwarded.
func (x *exchange) forwardBody(ctx context.Context, decision admission.Decision, response *connpool.Response, reply Reply, started time.Duration) (attemptResult, bool) {
	beginning := membudget.NewBuffer(x.g.answerMemory, firstAnswerBytes, maxBufferedAnswerBytes)
	defer beginning.Release()
	complete, err := beginning.ReadAll(response.Body)
	if err != nil {
		return x.answerFailed(ctx, decision, err, false), false
	}
	if !complete && response.Status/100 != 2 {
		return x.answerFailed(ctx, decision, errFailureTooLong, false), false
	}
	timeToFirstOutput := x.g.now() - started
	outcome := admission.Answered
	if response.Status/100 == 2 {
		x.recordRollout(decision, rollout.FirstOutput(timeToFirstOutput))
	}
	if response.Status >= http.StatusInternalServerError || reply.ReadAsNotRun {
		outcome = admission.Failed
		result := attemptResult{outcome: outcome, timeToFirstOutput: timeToFirstOutput, err: x.failureError(decision, response.Status, reply)}
		if x.takeRetry(ctx, result) {
			result.retry = true
			return result, complete
		}
		if reply.ReadAsNotRun && !x.route.Kind.Repeatable() {
			// The caller would send the request again, and it would run twice.
			result.final = true
			return result, complete
		}
	}
	if x.answerStarted {
		// The headers of the resumed stream have been sent; its status cannot
		// change.
		result := x.notTheRest(decision, response)
		result.outcome, result.final = outcome, response.Status/100 != 2
		return result, complete
	}
	x.copyHeader(response)
	x.setContentLength(response, len(beginning.Bytes()), complete)
	x.answerStarted = true
	x.w.WriteHeader(response.Status)
	if _, err := x.w.Write(beginning.Bytes()); err != nil {
		return x.callerGone(err, outcome, timeToFirstOutput), complete
	}
	if !complete {
		beginning.Release()
		// io.Copy would take more memory.
		if _, err := io.CopyBuffer(struct{ io.Writer }{x.w}, response.Body, make([]byte, firstAnswerBytes)); err != nil {
			failed := x.answerFailed(ctx, decision, err, false)
			failed.final = true
			return failed, false
		}
	}
	return attemptResult{outcome: outcome, timeToFirstOutput: timeToFirstOutput}, true
}

// failureError returns the error of an upstream that failed after it may have run the request.
func (x *exchange) failureError(decision admission.Decision, status int, reply Reply) *errkind.Error {
	if !reply.ReadAsNotRun {
		return errkind.New(errkind.UpstreamRefused, "upstream %s answered %d", decision.Upstream.ID, status)
	}
	x.g.metrics.refusalsUnstated.Inc(1)
	return errkind.New(errkind.UpstreamRefused, "upstream %s answered %d without stating that it has not run the request", decision.Upstream.ID, status)
}

// setContentLength states the length of an answer if it is known: that of a completely
// buffered answer, or else the one that the upstream states.
func (x *exchange) setContentLength(response *connpool.Response, buffered int, complete bool) {
	if response.Status == http.StatusNoContent || response.Status == http.StatusNotModified || x.r.Method == http.MethodHead {
		return
	}
	length := response.Length
	if complete {
		length = int64(buffered)
	}
	if length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

var errFailureTooLong = fmt.Errorf("the body of a failure exceeds %d bytes or the memory for answers", maxBufferedAnswerBytes)

func (x *exchange) copyHeader(response *connpool.Response) {
	header := x.w.Header()
	for name, values := range x.g.headerCodec.CallerHeader(response.Header) {
		header[name] = values
	}
}

func (x *exchange) callerGone(cause error, outcome admission.Outcome, timeToFirstOutput time.Duration) attemptResult {
	return attemptResult{outcome: outcome, final: true, timeToFirstOutput: timeToFirstOutput, err: errkind.Wrap(errkind.CallerGone, cause, "the caller disconnected while the answer was forwarded")}
}
