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
type attemptEnd struct {
	outcome admission.Outcome
	// err is nil if the caller has its answer.
	err *errkind.Error
	// notRun is true if the upstream promised that the request has not run.
	notRun bool
	// final attempts are not followed by others; repeat is true if it is
	// decided that another follows.
	final  bool
	repeat bool
	status int
	// first is the time from sending to the first output.
	first    time.Duration
	total    time.Duration
	eventGap time.Duration
	// longestGap is the longest time between two events.
	longestGap time.Duration
	reused     bool
}

// bufferedBytes bounds the answers that are read whole before the caller gets
// the first byte, so that a broken one can be told as a failure or replaced.
const bufferedBytes = 256 << 10

// attempt sends the request to an upstream and passes on the answer.
func (x *exchange) attempt(ctx context.Context, decision admission.Decision) attemptEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.upstream = decision.Upstream.ID
	conn, reused, err := x.g.conns.Get(ctx, decision.Upstream.Address, decision.Upstream.ID, x.connectionLimit())
	if err != nil {
		return x.notSent(ctx, decision, err)
	}
	if err := x.permitted(); err != nil {
		conn.Close()
		return attemptEnd{outcome: admission.Withdrawn, err: x.orBroken(err), final: true}
	}
	if !reused {
		x.g.metrics.connections.Inc(1)
	}
	x.attempts++
	before := x.mayHaveRun
	x.mayHaveRun = true
	started := x.g.now()
	response, err := conn.RoundTrip(ctx, x.upstreamRequest(decision), x.g.protocol.RequestIDHeader(), x.caller.RequestID)
	if err != nil {
		conn.Close()
		return x.broken(ctx, decision, err, reused)
	}
	end, complete := x.pass(ctx, decision, response, started)
	if end.notRun {
		x.mayHaveRun = before
		end.err = x.orBroken(end.err)
	}
	end.total, end.status, end.reused = x.g.now()-started, response.Status, reused
	if complete {
		x.g.conns.Release(conn, response)
	} else {
		conn.Close()
	}
	return end
}

// connectionLimit is this instance's share of an upstream's connections.
func (x *exchange) connectionLimit() int {
	service := x.table.Service(x.service)
	if service == nil || service.MaxConnections <= 0 {
		return unlimitedConnections
	}
	return max(minConnections, service.MaxConnections/int(max(1, x.g.instances.Load())))
}

const (
	unlimitedConnections = 1 << 20
	// minConnections lets an instance use an upstream whose limit is below the
	// number of instances; not all of them do at once.
	minConnections = 2
)

func (x *exchange) upstreamRequest(decision admission.Decision) connpool.Request {
	return connpool.Request{
		Method: x.r.Method, Target: x.requestTarget(), Host: x.r.Host, Body: x.body,
		Chunked: x.r.ContentLength < 0 && len(x.r.TransferEncoding) > 0,
		Header: x.g.protocol.UpstreamHeader(x.r.Header, Forward{
			Upstream: decision.Upstream.ID, Team: x.teamName(), Remaining: x.until - x.g.now(), LastEvent: x.lastEvent,
		}),
	}
}

// notSent is the end of an attempt before its first byte.
func (x *exchange) notSent(ctx context.Context, decision admission.Decision, cause error) attemptEnd {
	switch {
	case x.r.Context().Err() != nil:
		return attemptEnd{outcome: admission.Withdrawn, final: true, err: errkind.Wrap(errkind.CallerGone, cause, "the caller left before the dispatch")}
	case ctx.Err() != nil:
		return attemptEnd{outcome: admission.Unreachable, final: true, err: x.outOfTime()}
	case errors.Is(cause, connpool.ErrTooMany):
		return attemptEnd{outcome: admission.Withdrawn, err: x.orBroken(errkind.Wrap(errkind.Overloaded, cause, "upstream %s", decision.Upstream.ID)), final: true}
	}
	return attemptEnd{outcome: admission.Unreachable, err: x.orBroken(errkind.Wrap(errkind.NoUpstream, cause, "upstream %s", decision.Upstream.ID))}
}

// orBroken replaces an error that promises that the request has not run, after
// an earlier attempt that may have run it.
func (x *exchange) orBroken(err *errkind.Error) *errkind.Error {
	if !x.mayHaveRun {
		return err
	}
	return errkind.Wrap(errkind.UpstreamBroken, err, "after an attempt that may have run")
}

// broken is the end of an attempt without a complete answer.
func (x *exchange) broken(ctx context.Context, decision admission.Decision, cause error, reused bool) attemptEnd {
	end := attemptEnd{outcome: admission.Broken, reused: reused}
	switch {
	case x.r.Context().Err() != nil:
		end.outcome = admission.Cancelled
		end.err = errkind.Wrap(errkind.CallerGone, cause, "the caller left")
	case ctx.Err() != nil:
		end.outcome = admission.Cancelled
		end.err = errkind.Wrap(errkind.AnswerTimeout, cause, "upstream %s did not answer in time", decision.Upstream.ID)
	default:
		end.err = errkind.Wrap(errkind.UpstreamBroken, cause, "upstream %s", decision.Upstream.ID)
	}
	return end
}

// pass decides what to do with an answer and passes it on. It reports whether
// the answer was read to its end.
func (x *exchange) pass(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptEnd, bool) {
	reply := x.g.protocol.Reply(response.Status, response.Header)
	success := response.Status/100 == 2
	switch {
	case reply.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, bufferedBytes))
		return x.rejected(decision, reply, response.Status), err == nil
	case success && (!reply.Signed || reply.Encoded):
		cause := errors.New("the answer is not the upstream's own")
		return x.broken(ctx, decision, cause, false), false
	case success && x.route.Kind.Streams():
		return x.passEvents(ctx, decision, response, started)
	}
	return x.passWhole(ctx, decision, response, started)
}

func (x *exchange) rejected(decision admission.Decision, reply Reply, status int) attemptEnd {
	x.g.metrics.rejected.Inc(1)
	reason := "is full"
	if reply.WrongUpstream {
		reason = "is not at its address any more"
	}
	err := errkind.New(errkind.Overloaded, "upstream %s %s (status %d)", decision.Upstream.ID, reason, status)
	end := attemptEnd{outcome: admission.Rejected, notRun: true, err: err}
	if reply.WrongUpstream {
		end.outcome = admission.Unreachable
	}
	return end
}

// passWhole passes on an answer that is no stream. A short one is read whole
// first.
func (x *exchange) passWhole(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptEnd, bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferedBytes))
	if err != nil {
		return x.broken(ctx, decision, err, false), false
	}
	first := x.g.now() - started
	outcome := admission.Answered
	if response.Status >= http.StatusInternalServerError {
		outcome = admission.Failed
		end := attemptEnd{outcome: outcome, first: first,
			err: errkind.New(errkind.UpstreamRefused, "upstream %s answered %d", decision.Upstream.ID, response.Status)}
		if x.again(ctx, end) {
			end.repeat = true
			return end, len(body) < bufferedBytes
		}
	}
	if x.answered {
		// A resumed stream has its headers already and cannot end like this.
		return attemptEnd{outcome: outcome, final: true, err: errkind.New(errkind.UpstreamRefused,
			"upstream %s answered %d instead of the rest of the stream", decision.Upstream.ID, response.Status)}, len(body) < bufferedBytes
	}
	x.copyHeader(response)
	if len(body) < bufferedBytes && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified && x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.answered = true
	x.w.WriteHeader(response.Status)
	if _, err := x.w.Write(body); err != nil {
		return x.callerLost(err, outcome, first), len(body) < bufferedBytes
	}
	if len(body) == bufferedBytes {
		if _, err := io.Copy(x.w, response.Body); err != nil {
			end := x.broken(ctx, decision, err, false)
			end.final = true
			return end, false
		}
	}
	return attemptEnd{outcome: outcome, first: first}, true
}

func (x *exchange) copyHeader(response *connpool.Response) {
	header := x.w.Header()
	for name, values := range x.g.protocol.CallerHeader(response.Header) {
		header[name] = values
	}
}

func (x *exchange) callerLost(cause error, outcome admission.Outcome, first time.Duration) attemptEnd {
	return attemptEnd{outcome: outcome, final: true, first: first, err: errkind.Wrap(errkind.CallerGone, cause, "the caller left during its answer")}
}
