// Package errkind holds the closed list of error kinds and the table that
// tells, for each kind, what the caller is answered.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind names one way in which a request or an operator's command can fail.
type Kind string

// RunState tells a caller whether its request ran on an upstream.
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

// The closed list of error kinds.
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

// Answer is what a caller or an operator's command is told about a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// RunState is the run state that the caller is told.
	RunState RunState
	// Resend is true when sending the same request again cannot run it twice.
	Resend bool
	// Level is the severity of the log line.
	Level LogLevel
	// ExitCode is the exit code of the operator's command.
	ExitCode int
}

// statusCallerGone is the customary code for a caller that closed its connection.
const statusCallerGone = 499

var answers = map[Kind]Answer{
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

// Kinds returns every kind of the closed list.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}

// AnswerFor returns the answer for kind. A kind outside the list gets the
// answer for Internal, which never claims that the request did not run.
func AnswerFor(kind Kind) Answer {
	answer, ok := answers[kind]
	if !ok {
		return answers[Internal]
	}
	return answer
}

// Error is an error of a known kind.
type Error struct {
	// Kind is the kind from the closed list.
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

// KindOf returns the kind of err, or Internal when err carries none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}
