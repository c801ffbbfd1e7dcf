// Package errkind defines the error kinds and, for each of them, the HTTP
// status, run state, log level and exit code with which it is reported.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind classifies the failure of a request or of an operator's command.
type Kind string

// RunState says whether a request ran on an upstream.
type RunState string

// Run states.
const (
	// NotRun means that no byte of the request reached an upstream.
	NotRun RunState = "not_run"
	// Ran means that an upstream ran the request.
	Ran RunState = "ran"
	// Unknown means that the request may have run.
	Unknown RunState = "unknown"
)

// LogLevel is the severity with which a kind is logged.
type LogLevel int

// Log levels.
const (
	LogDebug LogLevel = iota
	LogInfo
	LogError
)

// Error kinds. No others exist. Each has an entry in descriptions, which says what
// it means, and in responses. UpstreamRefused means that the upstream answered with
// an error or a redirect; unlike a refusal by an instance, it leaves open whether
// the request ran.
const (
	BadRequest           Kind = "bad_request"
	Unauthorized         Kind = "unauthorized"
	TierNotAllowed       Kind = "tier_not_allowed"
	UnknownModel         Kind = "unknown_model"
	UnknownService       Kind = "unknown_service"
	NotReady             Kind = "not_ready"
	ShuttingDown         Kind = "shutting_down"
	Overloaded           Kind = "overloaded"
	DeadlineUnmeetable   Kind = "deadline_unmeetable"
	DeadlineExceeded     Kind = "deadline_exceeded"
	NoUpstream           Kind = "no_upstream"
	SchedulerUnreachable Kind = "scheduler_unreachable"
	ClaimUnavailable     Kind = "claim_unavailable"
	IssuerLost           Kind = "issuer_lost"
	InProgress           Kind = "in_progress"
	AlreadyRan           Kind = "already_ran"
	PoisonRequest        Kind = "poison_request"
	DialFailed           Kind = "dial_failed"
	UpstreamBroken       Kind = "upstream_broken"
	UpstreamRefused      Kind = "upstream_refused"
	CrossedAnswer        Kind = "crossed_answer"
	AnswerIncomplete     Kind = "answer_incomplete"
	CallerGone           Kind = "caller_gone"
	Conflict             Kind = "conflict"
	NotFound             Kind = "not_found"
	PlatformUnavailable  Kind = "platform_unavailable"
	InvalidRecord        Kind = "invalid_record"
	BadSettings          Kind = "bad_settings"
	RouteUnknown         Kind = "route_unknown"
	QuotaExceeded        Kind = "quota_exceeded"
	ConfigurationStale   Kind = "configuration_stale"
	BodyTooLarge         Kind = "body_too_large"
	AnswerTimeout        Kind = "answer_timeout"
	Internal             Kind = "internal"
)

// Response says how an error of a kind is reported to callers, in logs and by
// the operators' commands.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// RunState is the run state that is reported to the caller.
	RunState RunState
	// RetrySafe is true if sending the same request again cannot run it twice.
	RetrySafe bool
	// Level is the severity of the log line.
	Level LogLevel
	// ExitCode is the exit code of the operator's command.
	ExitCode int
}

// statusCallerGone is the non-standard status code, introduced by nginx, for a
// client that closed its connection.
const statusCallerGone = 499

var responses = map[Kind]Response{
	BadRequest:           {http.StatusBadRequest, NotRun, true, LogInfo, 2},
	Unauthorized:         {http.StatusUnauthorized, NotRun, true, LogInfo, 3},
	TierNotAllowed:       {http.StatusForbidden, NotRun, true, LogInfo, 3},
	UnknownModel:         {http.StatusNotFound, NotRun, true, LogInfo, 4},
	UnknownService:       {http.StatusNotFound, NotRun, true, LogInfo, 4},
	NotReady:             {http.StatusServiceUnavailable, NotRun, true, LogInfo, 5},
	ShuttingDown:         {http.StatusServiceUnavailable, NotRun, true, LogInfo, 5},
	Overloaded:           {http.StatusTooManyRequests, NotRun, true, LogInfo, 5},
	DeadlineUnmeetable:   {http.StatusTooManyRequests, NotRun, true, LogInfo, 5},
	DeadlineExceeded:     {http.StatusGatewayTimeout, NotRun, true, LogInfo, 5},
	NoUpstream:           {http.StatusServiceUnavailable, NotRun, true, LogError, 5},
	SchedulerUnreachable: {http.StatusServiceUnavailable, NotRun, true, LogError, 5},
	ClaimUnavailable:     {http.StatusServiceUnavailable, NotRun, true, LogError, 5},
	IssuerLost:           {http.StatusConflict, Unknown, false, LogInfo, 6},
	InProgress:           {http.StatusConflict, Unknown, false, LogInfo, 6},
	AlreadyRan:           {http.StatusConflict, Ran, false, LogInfo, 6},
	PoisonRequest:        {http.StatusUnprocessableEntity, NotRun, false, LogError, 7},
	DialFailed:           {http.StatusBadGateway, NotRun, true, LogError, 5},
	UpstreamBroken:       {http.StatusBadGateway, Unknown, false, LogError, 8},
	UpstreamRefused:      {http.StatusBadGateway, Unknown, false, LogError, 8},
	CrossedAnswer:        {http.StatusBadGateway, Unknown, false, LogError, 8},
	AnswerIncomplete:     {http.StatusBadGateway, Unknown, false, LogError, 8},
	CallerGone:           {statusCallerGone, Unknown, false, LogDebug, 8},
	Conflict:             {http.StatusConflict, NotRun, true, LogInfo, 9},
	NotFound:             {http.StatusNotFound, NotRun, true, LogInfo, 4},
	PlatformUnavailable:  {http.StatusServiceUnavailable, NotRun, true, LogError, 10},
	InvalidRecord:        {http.StatusBadRequest, NotRun, true, LogInfo, 11},
	BadSettings:          {http.StatusInternalServerError, NotRun, true, LogError, 12},
	RouteUnknown:         {http.StatusNotFound, NotRun, true, LogInfo, 4},
	QuotaExceeded:        {http.StatusTooManyRequests, NotRun, true, LogInfo, 5},
	ConfigurationStale:   {http.StatusServiceUnavailable, NotRun, true, LogError, 5},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, NotRun, true, LogInfo, 2},
	AnswerTimeout:        {http.StatusGatewayTimeout, Unknown, false, LogError, 8},
	Internal:             {http.StatusInternalServerError, Unknown, false, LogError, 1},
}

// Kinds returns all error kinds, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for kind := range responses {
		kinds = append(kinds, kind)
	}
	return kinds
}

// ResponseFor returns how errors of kind are reported. An unknown kind is
// reported as Internal, whose run state is Unknown.
func ResponseFor(kind Kind) Response {
	response, ok := responses[kind]
	if !ok {
		return responses[Internal]
	}
	return response
}

// Error is an error with a kind.
type Error struct {
	// Kind determines how the error is reported.
	Kind Kind
	// Message explains the error to a caller or an operator.
	Message string
	// Cause is the underlying error, if any.
	Cause error
}

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind with an underlying cause.
func Wrap(kind Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Cause: cause}
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.Cause)
}

// Unwrap returns the underlying cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or Internal if err has none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}
