package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// refuseAnswer writes an answer of the system's own.
func (x *exchange) writeErrorAnswer(err *errkind.Error, retryAfter time.Duration) {
	answer := errkind.AnswerFor(err.Kind)
	if answer.Status != http.StatusTooManyRequests && answer.Status != http.StatusServiceUnavailable {
		// The caller is told to return only where the request has not run.
		retryAfter = 0
	}
	header := x.w.Header()
	x.g.protocol.SetRefusal(header, x.caller.RequestID, retryAfter)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(answer.Status)
	if _, writeErr := io.WriteString(x.w, string(err.Kind)+"\n"); writeErr != nil {
		x.g.metrics.answersUnsent.Inc(1)
	}
}

// fail ends a request without an upstream's answer.
func (x *exchange) fail(err *errkind.Error, retryAfter time.Duration) {
	if !x.mayHaveRun && x.chargedTokens > 0 {
		x.g.enqueue(refundQuotaMsg{team: x.teamName(), amount: x.chargedTokens})
	}
	x.logFailed(err, retryAfter)
	if x.answerStarted || err.Kind == errkind.CallerGone {
		// The connection must not look as if the answer were complete.
		panic(http.ErrAbortHandler)
	}
	x.writeErrorAnswer(err, retryAfter)
}
