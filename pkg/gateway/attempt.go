package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// attemptEnd is how one attempt at an upstream ended.
type attemptResult struct {
	outcome admission.Outcome
	// err is nil if the caller has its answer.
	err *errkind.Error
	// notRun is true if the upstream promised that the request has not run.
	notExecuted bool
	// final attempts are not followed by others; repeat is true if it is
	// decided that another follows.
	final  bool
	retry  bool
	status int
	// first is the time from sending to the first output.
	timeToFirstOutput time.Duration
	total             time.Duration
	eventGap          time.Duration
	// longestGap is the longest time between two events.
	longestGap time.Duration
	connReused bool
}

// bufferedBytes bounds the answers that are read whole before the caller gets
// the first byte, so that a broken one can be told as a failure or replaced.
const maxBufferedAnswerBytes = 256 << 10

// attempt sends the request to an upstream and passes on the answer.
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
		return attemptResult{outcome: admission.Withdrawn, err: x.brokenIfMayHaveRun(err), final: true}
	}
	if !reused {
		x.g.metrics.connectionsOpened.Inc(1)
	}
	x.attempts++
	mayHaveRunBefore := x.mayHaveRun
	x.mayHaveRun = true
	started := x.g.now()
	response, err := conn.RoundTrip(ctx, x.upstreamRequest(decision), x.g.protocol.RequestIDHeader(), x.caller.RequestID)
	if err != nil {
		conn.Close()
		return x.answerFailed(ctx, decision, err, reused)
	}
	result, complete := x.forwardAnswer(ctx, decision, response, started)
	if result.notExecuted {
		x.mayHaveRun = mayHaveRunBefore
		result.err = x.brokenIfMayHaveRun(result.err)
	}
	result.total, result.status, result.connReused = x.g.now()-started, response.Status, reused
	if complete {
		x.g.conns.Release(conn, response)
	} else {
		conn.Close()
	}
	return result
}

// connectionLimit is this instance's share of an upstream's connections.
func (x *exchange) connectionLimit() int {
	service := x.table.Service(x.service)
	if service == nil || service.MaxConnections <= 0 {
		return noConnectionLimit
	}
	return max(minConnections, service.MaxConnections/int(max(1, x.g.instanceCount.Load())))
}

const (
	noConnectionLimit = 1 << 20
	// minConnections lets an instance use an upstream whose limit is below the
	// number of instances; not all of them do at once.
	minConnections = 2
)

func (x *exchange) upstreamRequest(decision admission.Decision) connpool.Request {
	return connpool.Request{
		Method: x.r.Method, Target: x.requestTarget(), Host: x.r.Host, Body: x.body,
		Chunked: x.r.ContentLength < 0 && len(x.r.TransferEncoding) > 0,
		Header: x.g.protocol.UpstreamHeader(x.r.Header, Forward{
			Upstream: decision.Upstream.ID, Team: x.teamName(), Remaining: x.deadline - x.g.now(), LastEvent: x.lastEventID,
		}),
	}
}

// notSent is the end of an attempt before its first byte.
func (x *exchange) dialFailed(ctx context.Context, decision admission.Decision, cause error) attemptResult {
	switch {
	case x.r.Context().Err() != nil:
		return attemptResult{outcome: admission.Withdrawn, final: true, err: errkind.Wrap(errkind.CallerGone, cause, "the caller left before the dispatch")}
	case ctx.Err() != nil:
		return attemptResult{outcome: admission.Unreachable, final: true, err: x.deadlineError()}
	case errors.Is(cause, connpool.ErrTooMany):
		return attemptResult{outcome: admission.Withdrawn, err: x.brokenIfMayHaveRun(errkind.Wrap(errkind.Overloaded, cause, "upstream %s", decision.Upstream.ID)), final: true}
	}
	return attemptResult{outcome: admission.Unreachable, err: x.brokenIfMayHaveRun(errkind.Wrap(errkind.NoUpstream, cause, "upstream %s", decision.Upstream.ID))}
}

// orBroken replaces an error that promises that the request has not run, after
// an earlier attempt that may have run it.
func (x *exchange) brokenIfMayHaveRun(err *errkind.Error) *errkind.Error {
	if !x.mayHaveRun {
		return err
	}
	return errkind.Wrap(errkind.UpstreamBroken, err, "after an attempt that may have run")
}

// broken is the end of an attempt without a complete answer.
func (x *exchange) answerFailed(ctx context.Context, decision admission.Decision, cause error, reused bool) attemptResult {
	result := attemptResult{outcome: admission.Broken, connReused: reused}
	switch {
	case x.r.Context().Err() != nil:
		result.outcome = admission.Cancelled
		result.err = errkind.Wrap(errkind.CallerGone, cause, "the caller left")
	case ctx.Err() != nil:
		result.outcome = admission.Cancelled
		result.err = errkind.Wrap(errkind.AnswerTimeout, cause, "upstream %s did not answer in time", decision.Upstream.ID)
	default:
		result.err = errkind.Wrap(errkind.UpstreamBroken, cause, "upstream %s", decision.Upstream.ID)
	}
	return result
}

// pass decides what to do with an answer and passes it on. It reports whether
// the answer was read to its end.
func (x *exchange) forwardAnswer(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptResult, bool) {
	reply := x.g.protocol.Reply(response.Status, response.Header)
	success := response.Status/100 == 2
	switch {
	case reply.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedAnswerBytes))
		return x.rejectedByUpstream(decision, reply, response.Status), err == nil
	case success && (!reply.Signed || reply.Encoded):
		cause := errors.New("the answer is not the upstream's own")
		return x.answerFailed(ctx, decision, cause, false), false
	case success && x.route.Kind.Streams():
		return x.forwardEvents(ctx, decision, response, started)
	}
	return x.forwardBody(ctx, decision, response, started)
}

func (x *exchange) rejectedByUpstream(decision admission.Decision, reply Reply, status int) attemptResult {
	x.g.metrics.upstreamRejections.Inc(1)
	reason := "is full"
	if reply.WrongUpstream {
		reason = "is not at its address any more"
	}
	err := errkind.New(errkind.Overloaded, "upstream %s %s (status %d)", decision.Upstream.ID, reason, status)
	result := attemptResult{outcome: admission.Rejected, notExecuted: true, err: err}
	if reply.WrongUpstream {
		result.outcome = admission.Unreachable
	}
	return result
}

// passWhole passes on an answer that is no stream. A short one is read whole
// first.
func (x *exchange) forwardBody(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptResult, bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswerBytes))
	if err != nil {
		return x.answerFailed(ctx, decision, err, false), false
	}
	first := x.g.now() - started
	outcome := admission.Answered
	if response.Status >= http.StatusInternalServerError {
		outcome = admission.Failed
		result := attemptResult{outcome: outcome, timeToFirstOutput: first,
			err: errkind.New(errkind.UpstreamRefused, "upstream %s answered %d", decision.Upstream.ID, response.Status)}
		if x.mayRetry(ctx, result) {
			result.retry = true
			return result, len(body) < maxBufferedAnswerBytes
		}
	}
	if x.answerStarted {
		// A resumed stream has its headers already and cannot end like this.
		return attemptResult{outcome: outcome, final: true, err: errkind.New(errkind.UpstreamRefused,
			"upstream %s answered %d instead of the rest of the stream", decision.Upstream.ID, response.Status)}, len(body) < maxBufferedAnswerBytes
	}
	x.copyHeader(response)
	if len(body) < maxBufferedAnswerBytes && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified && x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.answerStarted = true
	x.w.WriteHeader(response.Status)
	if _, err := x.w.Write(body); err != nil {
		return x.callerGone(err, outcome, first), len(body) < maxBufferedAnswerBytes
	}
	if len(body) == maxBufferedAnswerBytes {
		if _, err := io.Copy(x.w, response.Body); err != nil {
			end := x.answerFailed(ctx, decision, err, false)
			end.final = true
			return end, false
		}
	}
	return attemptResult{outcome: outcome, timeToFirstOutput: first}, true
}

func (x *exchange) copyHeader(response *connpool.Response) {
	header := x.w.Header()
	for name, values := range x.g.protocol.CallerHeader(response.Header) {
		header[name] = values
	}
}

func (x *exchange) callerGone(cause error, outcome admission.Outcome, first time.Duration) attemptResult {
	return attemptResult{outcome: outcome, final: true, timeToFirstOutput: first, err: errkind.Wrap(errkind.CallerGone, cause, "the caller left during its answer")}
}
