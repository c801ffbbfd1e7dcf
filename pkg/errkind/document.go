package errkind

import (
	"fmt"
	"net/http"
	"strings"
)

// descriptions holds the meaning of each kind, in the order of the documentation.
var descriptions = []struct {
	kind    Kind
	meaning string
}{
	{BadRequest, "The request is malformed: invalid path, method, header or body, or an unknown tier."},
	{Unauthorized, "The key or the team is missing or unknown, or the request belongs to another team."},
	{TierNotAllowed, "The tier is above the highest tier that the team may use."},
	{UnknownModel, "No record in effect defines this model."},
	{UnknownService, "No upstream provides this service."},
	{NotReady, "The instance has not loaded the configuration yet, or the configuration has no tier. For `inforce`: an instance could not be queried."},
	{ShuttingDown, "The instance is shutting down; another instance can serve the request."},
	{Overloaded, "The queue of the pool is full, or the instance has reached its limit on concurrent requests."},
	{DeadlineUnmeetable, "The first token is expected after the deadline; the request was not dispatched."},
	{DeadlineExceeded, "The deadline passed before the request was dispatched."},
	{NoUpstream, "No pool serves the target, or none of several grants could be used."},
	{SchedulerUnreachable, "No scheduler of the pool could be reached."},
	{ClaimUnavailable, "The platform did not respond to the claim of a caller-supplied key, or the claim was abandoned."},
	{IssuerLost, "The instance that issued the request ID, or that holds the claim, has stopped, does not respond, or no longer has a record of the request. An earlier attempt may have run."},
	{InProgress, "An earlier attempt with the same key or request ID is still being processed."},
	{AlreadyRan, "An earlier attempt with the same key or request ID has ended on an upstream; its response cannot be fetched again."},
	{PoisonRequest, "Two upstreams failed while they ran requests with this content. Such requests are refused for an hour after the last failure."},
	{DialFailed, "No connection to an upstream could be opened, after several grants."},
	{UpstreamBroken, "The connection to the upstream broke after the request was dispatched, and the response could not be fetched again."},
	{UpstreamRefused, "The upstream responded with an error, or with a redirect, which is not followed."},
	{CrossedAnswer, "The upstream's response belongs to another request; it was discarded."},
	{AnswerIncomplete, "The response is incomplete: truncated, not valid, too large, or with events missing."},
	{CallerGone, "The caller closed its connection. Appears in logs and metrics only."},
	{Conflict, "A record was changed by another writer since it was read."},
	{NotFound, "The record does not exist."},
	{PlatformUnavailable, "The platform did not respond. A write may have taken effect: read the record before writing it again."},
	{InvalidRecord, "A record is not valid, or refers to a record that does not exist; the message names the field."},
	{RouteUnknown, "No route of the gateway matches the host and the path."},
	{QuotaExceeded, "The team has used up its quota for the current window, summed over all instances."},
	{ConfigurationStale, "The instance cannot verify that its configuration is the newest, and thus that the key is still valid."},
	{BodyTooLarge, "The body is larger than the configured limit."},
	{AnswerTimeout, "An upstream did not respond within the caller's or the route's timeout."},
	{BadSettings, "The settings file or the command line of the daemon is not valid."},
	{Internal, "An internal error; the log has the cause."},
}

// MarkdownTable returns the documentation of all kinds as a Markdown table.
func MarkdownTable() string {
	var out strings.Builder
	out.WriteString("| kind | HTTP status | run state | may be sent again | exit code | meaning |\n|---|---|---|---|---|---|\n")
	for _, d := range descriptions {
		response := ResponseFor(d.kind)
		fmt.Fprintf(&out, "| `%s` | %d | `%s` | %s | %d | %s |\n",
			d.kind, response.Status, response.RunState, response.retryAdvice(), response.ExitCode, d.meaning)
	}
	return out.String()
}

// retryAdvice says whether the caller may send the request again with a new
// request ID or key. A 4xx other than 429 recurs until its cause is corrected.
func (a Response) retryAdvice() string {
	switch {
	case a.RetrySafe && a.Status < http.StatusTooManyRequests:
		return "yes, once corrected"
	case a.RetrySafe:
		return "yes"
	case a.RunState == NotRun:
		return "no, it is refused again"
	case a.RunState == Ran:
		return "no, it ran"
	default:
		return "no, it may have run"
	}
}
