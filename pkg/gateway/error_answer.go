package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// writeErrorAnswer writes an error answer of the gateway itself. The body is the
// error kind.
func (x *exchange) writeErrorAnswer(err *errkind.Error, retryAfter time.Duration) {
	response := errkind.ResponseFor(err.Kind)
	if response.Status != http.StatusTooManyRequests && response.Status != http.StatusServiceUnavailable {
		// Only 429 and 503 state that the request has not run and may be retried.
		retryAfter = 0
	}
	header := x.w.Header()
	x.g.headerCodec.SetErrorHeader(header, x.requestInfo.RequestID, retryAfter)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(response.Status)
	if _, writeErr := io.WriteString(x.w, string(err.Kind)+"\n"); writeErr != nil {
		x.g.metrics.answersUnsent.Inc(1)
	}
}

// callerConnKey is the key of the caller's net.Conn in the context of a request.
type callerConnKey struct{}

// withCallerConn is a http.Server.ConnContext that stores the connection.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// abortAnswer ends the connection so that the caller sees that the answer is incomplete.
// To a caller of HTTP/1.0 an answer without a length is complete when the connection is
// closed, so that its connection is reset.
func (x *exchange) abortAnswer() {
	if conn, ok := x.r.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error }); ok && !x.r.ProtoAtLeast(1, 1) {
		if err := conn.SetLinger(0); err != nil {
			x.g.log.Info("the connection of an aborted answer cannot be reset", "request", x.requestInfo.RequestID, "error", err.Error())
		}
	}
	panic(http.ErrAbortHandler)
}

// refundQuota takes back the charge of a request that has not run.
func (x *exchange) refundQuota() {
	if !x.mayHaveRun && x.charge.Amount > 0 {
		x.g.enqueue(refundQuotaMsg{charge: x.charge})
	}
}

// fail ends a request that got no complete answer from an upstream, and refunds
// the quota if the request has not run.
func (x *exchange) fail(err *errkind.Error, retryAfter time.Duration) {
	x.refundQuota()
	x.logFailed(err, retryAfter)
	if x.answerStarted || err.Kind == errkind.CallerGone {
		x.abortAnswer()
	}
	x.writeErrorAnswer(err, retryAfter)
}
