package gateway

import (
	"strings"
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"

	"time"
)

// Limits of log lines about requests, per second: more than ten times an
// instance's share of 1,900 requests/s over 360 instances. Failures have a limit
// of their own, so that answered requests cannot displace them.
const (
	answeredLinesPerSecond = 60
	failedLinesPerSecond   = 120
)

// requestLog writes rate-limited log lines about requests.
type requestLog struct {
	log      logr.Logger
	answered *rate.Limiter
	failed   *rate.Limiter
	omitted  atomic.Int64
}

func newRequestLog(log logr.Logger) *requestLog {
	return &requestLog{
		log:      log,
		answered: rate.NewLimiter(answeredLinesPerSecond, answeredLinesPerSecond),
		failed:   rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond),
	}
}

func (l *requestLog) write(limiter *rate.Limiter, message string, values []any) {
	if !limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	if omitted := l.omitted.Swap(0); omitted > 0 {
		values = append(values, "omitted_before", omitted)
	}
	l.log.Info(message, values...)
}

// requestLogValues returns the log values that all lines about the request have,
// followed by extra.
func (x *exchange) requestLogValues(extra ...any) []any {
	values := []any{"request", x.requestInfo.RequestID, "elapsed_ms", (x.g.now() - x.arrived).Milliseconds()}
	if x.table != nil {
		values = append(values, "config", x.table.Version(), "config_age_ms", x.g.configAge().Milliseconds())
	}
	if x.route != nil {
		values = append(values, "route", x.route.Name, "service", x.service, "team", x.teamName(), "tier", x.tier())
	}
	if len(x.requestInfo.PromptParts) > 0 {
		values = append(values, "parts", strings.Join(x.requestInfo.PromptParts, ","))
	}
	return append(values, extra...)
}

func placementLogValues(decision admission.Decision) []any {
	return []any{"upstream", decision.Upstream.ID, "reason", decision.Reason, "decided_by", decision.DecidedBy,
		"waited_ms", decision.Waited.Milliseconds(), "queue", decision.QueueLength, "free", decision.FreeCapacity, "in_flight", decision.InFlight,
		"peer_age_ms", decision.OldestReportAge.Milliseconds(), "expected_ms", decision.ExpectedFirstOutput.Milliseconds()}
}

func resultLogValues(result attemptResult) []any {
	return []any{"status", result.status, "first_ms", result.timeToFirstOutput.Milliseconds(), "total_ms", result.totalTime.Milliseconds(), "reused", result.connReused}
}

func (x *exchange) logAnswered(decision admission.Decision, result attemptResult) {
	m := x.g.metrics
	m.answered.Inc(1)
	m.observeMs(m.waitMs, decision.Waited)
	m.observeMs(m.firstOutputMs, result.timeToFirstOutput)
	m.observeMs(m.totalMs, x.g.now()-x.arrived)
	values := append(x.requestLogValues("attempts", x.attempts, "patience_ms", x.requestInfo.Timeout.Milliseconds(), "due_ms", (x.request.SoftDeadline-x.arrived).Milliseconds(),
		"prompt_tokens", x.request.PromptTokens, "output_tokens", x.request.OutputTokens,
		"longest_gap_ms", result.longestInterval.Milliseconds()), placementLogValues(decision)...)
	x.g.requestLog.write(x.g.requestLog.answered, "answered", append(values, resultLogValues(result)...))
}

func (x *exchange) logRetry(decision admission.Decision, result attemptResult) {
	x.g.metrics.retries.Inc(1)
	values := append(x.requestLogValues("attempts", x.attempts, "error", result.err.Error(), "resume_after", x.position.eventID), placementLogValues(decision)...)
	x.g.requestLog.write(x.g.requestLog.failed, "another upstream is tried", append(values, resultLogValues(result)...))
}

// logBroken logs what is needed to find the cause of crashes of upstreams: what the
// request has in common with others, and how far its answer had got.
func (x *exchange) logBroken(decision admission.Decision, result attemptResult) {
	x.g.metrics.connectionsBroken.Inc(1)
	x.g.requestLog.write(x.g.requestLog.failed, "connection broke while the upstream ran the request", x.requestLogValues(
		"upstream", decision.Upstream.ID, "incarnation", decision.Upstream.Incarnation, "tokens", x.requestInfo.PromptTokens, "status", result.status, "first_ms", result.timeToFirstOutput.Milliseconds(),
		"after_first_ms", result.timeAfterFirstOutput().Milliseconds(), "output_bytes", result.outputBytes, "total_ms", result.totalTime.Milliseconds(),
		"reused", result.connReused, "error", result.err.Error()))
}

func (x *exchange) logFailed(err *errkind.Error, retryAfter time.Duration) {
	response := errkind.ResponseFor(err.Kind)
	x.g.metrics.failedCounter(err.Kind).Inc(1)
	x.g.requestLog.write(x.g.requestLog.failed, "not answered", x.requestLogValues("kind", err.Kind, "status", response.Status,
		"error", err.Error(), "attempts", x.attempts, "upstream", x.lastUpstream, "upstream_status", x.lastStatus, "may_have_run", x.mayHaveRun, "tokens", x.requestInfo.PromptTokens,
		"retry_after_ms", retryAfter.Milliseconds()))
}

// maxHeldLines bounds the log lines about requests that are aborted at a stop.
const maxHeldLines = 20

// logHeld logs the requests that are being served when the grace time of a stop ends.
func (g *Gateway) logHeld() {
	lines := 0
	g.exchanges.Range(func(key, _ any) bool {
		x := key.(*exchange)
		g.log.Info("request aborted at the end of the grace time", "request", x.requestInfo.RequestID,
			"elapsed_ms", (g.now() - x.arrived).Milliseconds(), "phase", x.phase.Load())
		lines++
		return lines < maxHeldLines
	})
}
