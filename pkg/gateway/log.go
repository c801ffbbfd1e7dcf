package gateway

import (
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"

	"time"
)

// Bounds of the lines about requests, per second. They cover the share of one
// instance at the target of 1,900 requests/s over 360 instances ten times over;
// failed requests have their own bound, so that successes cannot crowd them out.
const (
	servedLines = 60
	failedLines = 120
)

// decisionLog writes lines about requests, at bounded rates.
type decisionLog struct {
	log     logr.Logger
	served  *rate.Limiter
	failed  *rate.Limiter
	omitted atomic.Int64
}

func newDecisionLog(log logr.Logger) *decisionLog {
	return &decisionLog{
		log:    log,
		served: rate.NewLimiter(servedLines, servedLines),
		failed: rate.NewLimiter(failedLines, failedLines),
	}
}

func (d *decisionLog) write(limiter *rate.Limiter, message string, values []any) {
	if !limiter.Allow() {
		d.omitted.Add(1)
		return
	}
	if omitted := d.omitted.Swap(0); omitted > 0 {
		values = append(values, "omitted_before", omitted)
	}
	d.log.Info(message, values...)
}

func (x *exchange) values(extra ...any) []any {
	values := []any{"request", x.caller.RequestID, "elapsed_ms", (x.g.now() - x.arrived).Milliseconds()}
	if x.table != nil {
		values = append(values, "config", x.table.Version(), "config_age_ms", x.g.configAge().Milliseconds())
	}
	if x.route != nil {
		values = append(values, "route", x.route.Name, "service", x.service, "team", x.teamName(), "tier", x.tier())
	}
	return append(values, extra...)
}

func placement(decision admission.Decision) []any {
	return []any{"upstream", decision.Upstream.ID, "reason", decision.Reason,
		"waited_ms", decision.Waited.Milliseconds(), "queue", decision.Queue, "free", decision.Free, "in_flight", decision.InFlight,
		"peer_age_ms", decision.Age.Milliseconds(), "expected_ms", decision.Expected.Milliseconds()}
}

func outcome(end attemptEnd) []any {
	return []any{"status", end.status, "first_ms", end.first.Milliseconds(), "total_ms", end.total.Milliseconds(), "reused", end.reused}
}

func (x *exchange) logServed(decision admission.Decision, end attemptEnd) {
	m := x.g.metrics
	m.served.Inc(1)
	m.observe(m.wait, decision.Waited)
	m.observe(m.first, end.first)
	m.observe(m.total, x.g.now()-x.arrived)
	values := append(x.values("attempts", x.attempts, "patience_ms", x.caller.Patience.Milliseconds(), "due_ms", (x.request.Due-x.arrived).Milliseconds(),
		"prompt_tokens", x.request.PromptTokens, "output_tokens", x.request.OutputTokens,
		"longest_gap_ms", end.longestGap.Milliseconds()), placement(decision)...)
	x.g.decide.write(x.g.decide.served, "answered", append(values, outcome(end)...))
}

func (x *exchange) logRepeat(decision admission.Decision, end attemptEnd) {
	x.g.metrics.repeats.Inc(1)
	values := append(x.values("attempts", x.attempts, "error", end.err.Error(), "resume_after", x.lastEvent), placement(decision)...)
	x.g.decide.write(x.g.decide.failed, "another upstream is tried", append(values, outcome(end)...))
}

func (x *exchange) logFailed(err *errkind.Error, retryAfter time.Duration) {
	answer := errkind.AnswerFor(err.Kind)
	x.g.metrics.failed(err.Kind).Inc(1)
	x.g.decide.write(x.g.decide.failed, "not answered", x.values("kind", err.Kind, "status", answer.Status,
		"error", err.Error(), "attempts", x.attempts, "upstream", x.upstream, "may_have_run", x.mayHaveRun, "tokens", x.caller.PromptTokens,
		"retry_after_ms", retryAfter.Milliseconds()))
}
