package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Headers of callers, entries and upstreams.
const (
	headerTeam           = "Rosemarywing-Team"
	headerTier           = "Rosemarywing-Tier"
	headerIdempotent     = "Rosemarywing-Idempotent"
	headerTimeout        = "Rosemarywing-Timeout-Ms"
	headerRequestID      = "Rosemarywing-Request-Id"
	headerRunState       = "Rosemarywing-Run-State"
	headerError          = "Rosemarywing-Error"
	headerModelVersion   = "Rosemarywing-Model-Version"
	headerUpstream       = "Rosemarywing-Upstream"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerContentType    = "Content-Type"
	// headerUpstreamRequestID is the request ID that upstreams read and echo.
	headerUpstreamRequestID = "X-Request-Id"
	// headerShouldRetry is read by OpenAI's client libraries, which otherwise
	// retry every 409 and 5xx.
	headerShouldRetry = "X-Should-Retry"

	contentTypeEventStream = "text/event-stream"
	contentTypeJSON        = "application/json"

	defaultTeam            = "default"
	maxIdempotencyKeyBytes = 256
	maxRequestTimeout      = 24 * time.Hour
	// maxNameBytes bounds the names of models and services, which are logged.
	maxNameBytes = 256
	// maxOutputTokens bounds the output tokens that the scheduler is told to
	// expect, whatever the caller sends.
	maxOutputTokens = 1 << 20
)

// chatMessage is one message of a chat completion request.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatRequest holds the fields of a chat completion request that the entry
// reads.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

// resolveTeam returns the team of the caller, by trusted header or API key.
func (e *Entry) resolveTeam(snapshot *conf.Snapshot, header http.Header) (*record.Team, *errkind.Error) {
	if name := header.Get(headerTeam); name != "" && e.Settings.Callers.TrustTeamHeader {
		if team := snapshot.Teams[name]; team != nil {
			return team, nil
		}
		return nil, errkind.New(errkind.Unauthorized, "unknown team")
	}
	if authorization := header.Get("Authorization"); authorization != "" {
		key, found := strings.CutPrefix(authorization, "Bearer ")
		if !found {
			return nil, errkind.New(errkind.Unauthorized, "expected Authorization: Bearer KEY")
		}
		sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
		if team := snapshot.TeamByKey[hex.EncodeToString(sum[:])]; team != nil {
			return team, nil
		}
		return nil, errkind.New(errkind.Unauthorized, "unknown key")
	}
	if !e.Settings.Callers.AllowAnonymous {
		return nil, errkind.New(errkind.Unauthorized, "no key")
	}
	if team := snapshot.Teams[defaultTeam]; team != nil {
		return team, nil
	}
	return &record.Team{Name: defaultTeam, Weight: 1}, nil
}

// resolveTier returns the tier of the request. The default tier of a team is
// the lowest one unless configured. A request may name any tier up to the team's
// highest one, which is its default tier unless configured.
func resolveTier(snapshot *conf.Snapshot, team *record.Team, header http.Header) (*record.Tier, *errkind.Error) {
	defaultTier := snapshot.Tiers[team.DefaultTier]
	if defaultTier == nil {
		defaultTier = lowestTier(snapshot)
	}
	if defaultTier == nil {
		return nil, errkind.New(errkind.NotReady, "no tier is configured")
	}
	highest := snapshot.Tiers[team.HighestTier]
	if highest == nil {
		highest = defaultTier
	}
	requested := defaultTier
	if name := header.Get(headerTier); name != "" {
		if requested = snapshot.Tiers[name]; requested == nil {
			return nil, errkind.New(errkind.BadRequest, "unknown tier %q", name)
		}
	}
	if requested.Priority > highest.Priority {
		return nil, errkind.New(errkind.TierNotAllowed, "the team may not use the tier %q", requested.Name)
	}
	return requested, nil
}

// lowestTier returns the tier with the lowest priority, or nil.
func lowestTier(snapshot *conf.Snapshot) *record.Tier {
	var lowest *record.Tier
	for _, tier := range snapshot.Tiers {
		if lowest == nil || tier.Priority < lowest.Priority {
			lowest = tier
		}
	}
	return lowest
}

// resolveDeadline applies the timeout of the request header, else of the tier,
// else of the settings.
func (e *Entry) resolveDeadline(receivedAt time.Time, tier *record.Tier, header http.Header) (time.Time, *errkind.Error) {
	timeout := e.Settings.Timeouts.Deadline
	if tier.DeadlineMs > 0 {
		timeout = time.Duration(tier.DeadlineMs) * time.Millisecond
	}
	if text := header.Get(headerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxRequestTimeout.Milliseconds() {
			return time.Time{}, errkind.New(errkind.BadRequest, "%s: expected milliseconds from 1 to %d", headerTimeout, maxRequestTimeout.Milliseconds())
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	return receivedAt.Add(timeout), nil
}

// resolveIdempotent returns whether the request may be cancelled while it runs,
// byDefault if the header is missing.
func resolveIdempotent(byDefault bool, header http.Header) (bool, *errkind.Error) {
	switch header.Get(headerIdempotent) {
	case "":
		return byDefault, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errkind.New(errkind.BadRequest, "%s: expected true or false", headerIdempotent)
}

// readBody reads the body within the size limit and the body timeout.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *errkind.Error) {
	// A writer without read deadlines, as in tests, has no connection that can
	// stall.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.Settings.Timeouts.ReadBody))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.Settings.Limits.RequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.BadRequest, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "the body could not be read")
	}
	return body, nil
}

// parseRequest validates an HTTP request. Its errors come before anything is
// claimed or queued. The request is returned with an error too, for the log
// line and the response.
func (e *Entry) parseRequest(snapshot *conf.Snapshot, w http.ResponseWriter, r *http.Request) (*request, *errkind.Error) {
	req := &request{
		receivedAt:        e.Clock.Now(),
		stateMachine:      e.requestChart.NewMachine(),
		method:            r.Method,
		header:            r.Header,
		connectionClosed:  make(chan struct{}),
		acceptsEarlyHints: r.ProtoAtLeast(1, 1),
	}
	req.ctx, req.cancel = context.WithCancelCause(context.Background())
	idempotencyKey := r.Header.Get(headerIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return req, errkind.New(errkind.BadRequest, "%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	req.idempotencyKey = idempotencyKey
	var err *errkind.Error
	if req.team, err = e.resolveTeam(snapshot, r.Header); err != nil {
		return req, err
	}
	if req.tier, err = resolveTier(snapshot, req.team, r.Header); err != nil {
		return req, err
	}
	if req.deadline, err = e.resolveDeadline(req.receivedAt, req.tier, r.Header); err != nil {
		return req, err
	}
	if req.body, err = e.readBody(w, r); err != nil {
		req.bodyIncomplete = true
		return req, err
	}
	if name, isService := serviceName(r); isService {
		err = e.parseService(snapshot, req, r, name)
	} else {
		err = e.parseChat(snapshot, req)
	}
	return req, err
}

// parseChat parses a chat completion request.
func (e *Entry) parseChat(snapshot *conf.Snapshot, req *request) *errkind.Error {
	var chat chatRequest
	if err := json.Unmarshal(req.body, &chat); err != nil {
		// The decoder's error is dropped, since it quotes the body, which may be a prompt.
		return errkind.New(errkind.BadRequest, "the body is not a JSON chat completion request")
	}
	if chat.Model == "" || len(chat.Model) > maxNameBytes {
		return errkind.New(errkind.BadRequest, "expected the name of a model of at most %d bytes", maxNameBytes)
	}
	req.target = target{name: "model:" + chat.Model, model: chat.Model, stream: chat.Stream, path: "/v1/chat/completions"}
	if snapshot.Models[chat.Model] == nil {
		return errkind.New(errkind.UnknownModel, "unknown model %q", chat.Model)
	}
	prompt := promptText(chat.Messages)
	output := min(max(chat.MaxTokens, chat.MaxCompletionTokens), maxOutputTokens)
	if output <= 0 {
		output = e.outputAverages.get(chat.Model)
	}
	req.work = e.newWork(req, prompt, output)
	req.work.PrefixHashes, req.work.PrefixTokens = prefixHashes(prompt)
	var err *errkind.Error
	req.idempotent, err = resolveIdempotent(true, req.header)
	return err
}

const servicesPrefix = "/services/"

// serviceName returns the service in the path, and false for other paths.
func serviceName(r *http.Request) (string, bool) {
	rest, found := strings.CutPrefix(r.URL.Path, servicesPrefix)
	name, _, _ := strings.Cut(rest, "/")
	return name, found
}

// parseService parses a call to a service.
func (e *Entry) parseService(snapshot *conf.Snapshot, req *request, r *http.Request, name string) *errkind.Error {
	if len(name) > maxNameBytes {
		return errkind.New(errkind.UnknownService, "the name of the service is too long")
	}
	// The escaped path is used, so that an escaped slash stays escaped.
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	req.target = target{name: "service:" + name, service: name, path: path}
	if !hasService(snapshot, name) {
		return errkind.New(errkind.UnknownService, "unknown service %q", name)
	}
	req.work = e.newWork(req, req.body, 0)
	var err *errkind.Error
	req.idempotent, err = resolveIdempotent(r.Method == http.MethodGet || r.Method == http.MethodHead, r.Header)
	return err
}

// hasService reports whether any upstream offers the service.
func hasService(snapshot *conf.Snapshot, name string) bool {
	for _, upstream := range snapshot.Upstreams {
		if upstream.Type == record.TypeService && upstream.Service == name {
			return true
		}
	}
	return false
}

// newWork describes the request to the scheduler, with the estimated output
// tokens.
func (e *Entry) newWork(req *request, prompt []byte, output int) sched.Work {
	return sched.Work{
		Tier:         req.tier.Priority,
		Team:         req.team.Name,
		Model:        req.schedulingName(),
		PromptTokens: (len(prompt) + bytesPerToken - 1) / bytesPerToken,
		OutputTokens: output,
		Fingerprint:  fingerprint(req.method, req.target.path, req.body),
		PromptBytes:  len(req.body),
	}
}

// schedulingName returns the name that the scheduler uses for the target: the
// model, or the service with its prefix.
func (req *request) schedulingName() string {
	if req.target.isEngine() {
		return req.target.model
	}
	return req.target.name
}

// upstreamHeader returns the headers to send to the upstream, without the
// caller's API key and idempotency key.
func (req *request) upstreamHeader() http.Header {
	header := http.Header{}
	for name, values := range req.header {
		if isForwardedHeader(name) {
			header[name] = values
		}
	}
	header.Set(headerUpstreamRequestID, req.id)
	return header
}

// isForwardedHeader reports whether a header is forwarded: it concerns neither
// a single connection nor only the entry.
func isForwardedHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Accept-Encoding", "Expect",
		headerIdempotencyKey, headerUpstreamRequestID, headerShouldRetry:
		return false
	}
	return !strings.HasPrefix(name, "Rosemarywing-")
}
