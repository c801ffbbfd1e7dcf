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

// Headers between callers, entries and upstreams.
const (
	headerTeam         = "Rosemarywing-Team"
	headerTier         = "Rosemarywing-Tier"
	headerIdempotent   = "Rosemarywing-Idempotent"
	headerTimeout      = "Rosemarywing-Timeout-Ms"
	headerRequestID    = "Rosemarywing-Request-Id"
	headerRunState     = "Rosemarywing-Run-State"
	headerError        = "Rosemarywing-Error"
	headerModelVersion = "Rosemarywing-Model-Version"
	headerUpstream     = "Rosemarywing-Upstream"
	headerIdentity     = "Idempotency-Key"
	headerLastEventID  = "Last-Event-ID"
	headerContentType  = "Content-Type"
	// headerUpstreamID is the request ID that upstreams read and echo.
	headerUpstreamID = "X-Request-Id"
	// headerShouldRetry is read by OpenAI's client libraries, which otherwise
	// send a request again after every 409 and 5xx.
	headerShouldRetry = "X-Should-Retry"

	typeEvents = "text/event-stream"
	typeJSON   = "application/json"

	defaultTeam      = "default"
	maxIdentityBytes = 256
	maxTimeout       = 24 * time.Hour
	// maxNameBytes bounds names of models and services, which are logged.
	maxNameBytes = 256
	// maxOutputTokens bounds what a caller can claim to expect.
	maxOutputTokens = 1 << 20
)

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

// resolveTeam finds the team of the caller.
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

// resolveTier finds the tier of the request. A team without a default tier has
// the lowest one, and a team without a highest tier may use its default only.
func resolveTier(snapshot *conf.Snapshot, team *record.Team, header http.Header) (*record.Tier, *errkind.Error) {
	standard := snapshot.Tiers[team.DefaultTier]
	if standard == nil {
		standard = lowestTier(snapshot)
	}
	if standard == nil {
		return nil, errkind.New(errkind.NotReady, "no tier is configured")
	}
	highest := snapshot.Tiers[team.HighestTier]
	if highest == nil {
		highest = standard
	}
	asked := standard
	if name := header.Get(headerTier); name != "" {
		if asked = snapshot.Tiers[name]; asked == nil {
			return nil, errkind.New(errkind.BadRequest, "unknown tier %q", name)
		}
	}
	if asked.Priority > highest.Priority {
		return nil, errkind.New(errkind.TierNotAllowed, "the team may not use the tier %q", asked.Name)
	}
	return asked, nil
}

func lowestTier(snapshot *conf.Snapshot) *record.Tier {
	var lowest *record.Tier
	for _, tier := range snapshot.Tiers {
		if lowest == nil || tier.Priority < lowest.Priority {
			lowest = tier
		}
	}
	return lowest
}

func (e *Entry) resolveDeadline(received time.Time, tier *record.Tier, header http.Header) (time.Time, *errkind.Error) {
	limit := e.Settings.Timeouts.Deadline
	if tier.DeadlineMs > 0 {
		limit = time.Duration(tier.DeadlineMs) * time.Millisecond
	}
	if text := header.Get(headerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
			return time.Time{}, errkind.New(errkind.BadRequest, "%s: expected milliseconds from 1 to %d", headerTimeout, maxTimeout.Milliseconds())
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	return received.Add(limit), nil
}

func resolveIdempotent(standard bool, header http.Header) (bool, *errkind.Error) {
	switch header.Get(headerIdempotent) {
	case "":
		return standard, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errkind.New(errkind.BadRequest, "%s: expected true or false", headerIdempotent)
}

// readBody reads the body, which must come within the time for bodies.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *errkind.Error) {
	// A writer that does not support the deadline has no connection that could stall.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(e.Settings.Timeouts.ReadBody))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
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

// parse turns an HTTP request into a request. It returns an error before
// anything is claimed or queued.
func (e *Entry) parse(snapshot *conf.Snapshot, w http.ResponseWriter, r *http.Request) (*request, *errkind.Error) {
	q := &request{
		received: e.Clock.Now(),
		machine:  e.requestChart.New(),
		method:   r.Method,
		header:   r.Header,
		gone:     make(chan struct{}),
		early:    r.ProtoAtLeast(1, 1),
	}
	q.ctx, q.cancel = context.WithCancelCause(context.Background())
	identity := r.Header.Get(headerIdentity)
	if len(identity) > maxIdentityBytes {
		return q, errkind.New(errkind.BadRequest, "%s is longer than %d bytes", headerIdentity, maxIdentityBytes)
	}
	q.identity = identity
	var err *errkind.Error
	if q.team, err = e.resolveTeam(snapshot, r.Header); err != nil {
		return q, err
	}
	if q.tier, err = resolveTier(snapshot, q.team, r.Header); err != nil {
		return q, err
	}
	if q.deadline, err = e.resolveDeadline(q.received, q.tier, r.Header); err != nil {
		return q, err
	}
	if q.body, err = e.readBody(w, r); err != nil {
		q.cut = true
		return q, err
	}
	if name, isService := serviceOf(r); isService {
		err = e.parseService(snapshot, q, r, name)
	} else {
		err = e.parseChat(snapshot, q)
	}
	return q, err
}

func (e *Entry) parseChat(snapshot *conf.Snapshot, q *request) *errkind.Error {
	var chat chatRequest
	if err := json.Unmarshal(q.body, &chat); err != nil {
		// The error of the decoder quotes the body, which may be a prompt.
		return errkind.New(errkind.BadRequest, "the body is not a JSON chat completion request")
	}
	if chat.Model == "" || len(chat.Model) > maxNameBytes {
		return errkind.New(errkind.BadRequest, "expected the name of a model of at most %d bytes", maxNameBytes)
	}
	q.target = target{name: "model:" + chat.Model, model: chat.Model, stream: chat.Stream, path: "/v1/chat/completions"}
	if snapshot.Models[chat.Model] == nil {
		return errkind.New(errkind.UnknownModel, "unknown model %q", chat.Model)
	}
	prompt := promptText(chat.Messages)
	output := min(max(chat.MaxTokens, chat.MaxCompletionTokens), maxOutputTokens)
	if output <= 0 {
		output = e.averages.get(chat.Model)
	}
	q.work = e.work(q, prompt, output)
	q.work.PrefixHashes, q.work.PrefixTokens = prefixHashes(prompt)
	var err *errkind.Error
	q.idempotent, err = resolveIdempotent(true, q.header)
	return err
}

const servicesPrefix = "/services/"

// serviceOf returns the service that a path names.
func serviceOf(r *http.Request) (string, bool) {
	rest, found := strings.CutPrefix(r.URL.Path, servicesPrefix)
	name, _, _ := strings.Cut(rest, "/")
	return name, found
}

func (e *Entry) parseService(snapshot *conf.Snapshot, q *request, r *http.Request, name string) *errkind.Error {
	if len(name) > maxNameBytes {
		return errkind.New(errkind.UnknownService, "the name of the service is too long")
	}
	// The escaped path is cut, so that an escaped slash stays escaped.
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	q.target = target{name: "service:" + name, service: name, path: path}
	if !hasService(snapshot, name) {
		return errkind.New(errkind.UnknownService, "unknown service %q", name)
	}
	q.work = e.work(q, q.body, 0)
	var err *errkind.Error
	q.idempotent, err = resolveIdempotent(r.Method == http.MethodGet || r.Method == http.MethodHead, r.Header)
	return err
}

func hasService(snapshot *conf.Snapshot, name string) bool {
	for _, upstream := range snapshot.Upstreams {
		if upstream.Type == record.TypeService && upstream.Service == name {
			return true
		}
	}
	return false
}

func (e *Entry) work(q *request, prompt []byte, output int) sched.Work {
	return sched.Work{
		Tier:         q.tier.Priority,
		Team:         q.team.Name,
		Model:        q.scheduledAs(),
		PromptTokens: (len(prompt) + bytesPerToken - 1) / bytesPerToken,
		OutputTokens: output,
		Fingerprint:  fingerprint(q.method, q.target.path, q.body),
		PromptBytes:  len(q.body),
	}
}

// scheduledAs is the name under which the scheduler knows what the request
// asks for: the model, or the service with its prefix.
func (q *request) scheduledAs() string {
	if q.target.engine() {
		return q.target.model
	}
	return q.target.name
}

// upstreamHeader returns the headers that are passed on to the upstream. The
// caller's key and its identity stay here.
func (q *request) upstreamHeader() http.Header {
	header := http.Header{}
	for name, values := range q.header {
		if passedOn(name) {
			header[name] = values
		}
	}
	header.Set(headerUpstreamID, q.id)
	return header
}

// passedOn reports whether a header belongs to the content of a message rather
// than to one connection or to the entry.
func passedOn(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Accept-Encoding", "Expect",
		headerIdentity, headerUpstreamID, headerShouldRetry:
		return false
	}
	return !strings.HasPrefix(name, "Rosemarywing-")
}
