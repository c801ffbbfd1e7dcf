package gateway

import (
	"io"
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

// fail ends a request that got no complete answer from an upstream, and refunds
// the quota if the request has not run.
func (x *exchange) fail(err *errkind.Error, retryAfter time.Duration) {
	if !x.mayHaveRun && x.chargedTokens > 0 {
		x.g.enqueue(refundQuotaMsg{team: x.teamName(), amount: x.chargedTokens})
	}
	x.logFailed(err, retryAfter)
	if x.answerStarted || err.Kind == errkind.CallerGone {
		// Aborting the connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	x.writeErrorAnswer(err, retryAfter)
}
