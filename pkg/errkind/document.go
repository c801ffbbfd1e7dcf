package errkind

import (
	"fmt"
	"net/http"
	"strings"
)

// described gives the meaning of each kind, in the order of the closed list.
var described = []struct {
	kind    Kind
	meaning string
}{
	{BadRequest, "The request is malformed: path, method, header, body or an unknown tier."},
	{Unauthorized, "The key or the team is missing or unknown, or the request is another team's."},
	{TierNotAllowed, "The tier is above the highest tier of the team."},
	{UnknownModel, "No record of this model is in effect."},
	{UnknownService, "No upstream provides this service."},
	{NotReady, "The instance does not know the configuration yet, or knows no tier. For `inforce`: an instance could not be asked."},
	{ShuttingDown, "The instance is leaving; another one serves the request."},
	{Overloaded, "The queue of the pool is full, or the instance holds as many requests as its limit."},
	{DeadlineUnmeetable, "The first token is expected after the deadline; no work was spent on the request."},
	{DeadlineExceeded, "The deadline passed before the dispatch."},
	{NoUpstream, "No pool serves the target, or no grant of several could be used."},
	{SchedulerUnreachable, "No scheduler of the pool was reached."},
	{ClaimUnavailable, "The platform did not answer to the claim of a caller-supplied key, or the claim was given up."},
	{IssuerLost, "The instance that issued the request ID, or that holds the claim, is gone, does not answer, or has no record of the request any more. An earlier attempt may have run."},
	{InProgress, "An earlier attempt with this identity is being processed."},
	{AlreadyRan, "An earlier attempt with this identity has ended on an upstream; its answer cannot be fetched again."},
	{PoisonRequest, "Two upstreams broke while they ran requests with this content. It is refused for an hour after the last crash."},
	{DialFailed, "No connection to an upstream was made, after several grants."},
	{UpstreamBroken, "The connection to the upstream broke after the dispatch, and the answer could not be fetched again."},
	{UpstreamRefused, "The upstream answered with an error or with a redirect, which is not followed."},
	{CrossedAnswer, "The upstream's answer belongs to another request; it was discarded."},
	{AnswerIncomplete, "The answer is incomplete: cut, not valid, too large, or with events missing."},
	{CallerGone, "The caller closed its connection. Seen in logs and metrics only."},
	{Conflict, "A record was changed by another writer since it was read."},
	{NotFound, "The record does not exist."},
	{PlatformUnavailable, "The platform did not answer. A write may have taken effect: read the record before writing it again."},
	{InvalidRecord, "A record is not valid, or refers to one that does not exist; the message names the field."},
	{RouteUnknown, "No route of the gateway matches the host and the path."},
	{QuotaExceeded, "The team has used its quota of the current window, over all instances."},
	{ConfigurationStale, "The instance cannot show that its configuration is the newest, and thus that the key is still valid."},
	{BodyTooLarge, "The body is larger than the operator allows."},
	{AnswerTimeout, "An upstream did not answer within the caller's patience or the route's timeout."},
	{BadSettings, "The settings file or the command line of the daemon is not valid."},
	{Internal, "A fault of the program; the log has the cause."},
}

// Document returns the table of all kinds for callers and operators.
func Document() string {
	var out strings.Builder
	out.WriteString("| kind | HTTP status | run state | may I send it again? | exit code | meaning |\n|---|---|---|---|---|---|\n")
	for _, d := range described {
		answer := AnswerFor(d.kind)
		fmt.Fprintf(&out, "| `%s` | %d | `%s` | %s | %d | %s |\n",
			d.kind, answer.Status, answer.RunState, answer.again(), answer.ExitCode, d.meaning)
	}
	return out.String()
}

// again answers whether the caller may send the request again under a new
// identity. A 4xx other than 429 repeats itself until its cause is corrected.
func (a Answer) again() string {
	switch {
	case a.Resend && a.Status < http.StatusTooManyRequests:
		return "yes, once corrected"
	case a.Resend:
		return "yes"
	case a.RunState == NotRun:
		return "no, it is refused again"
	case a.RunState == Ran:
		return "no, it ran"
	default:
		return "no, it may have run"
	}
}
