package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const (
	testKey          = "secret-key-of-the-team"
	grantLifetime    = 2 * time.Second
	streamedChatBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"secret prompt"}]}`
	bufferedChatBody = `{"model":"m","messages":[{"role":"user","content":"secret prompt"}]}`
)

var errReset = errors.New("connection reset by peer")

// fixture is an Entry whose dependencies are fakes implemented by the fixture
// itself. A test may replace the on... hooks before its first request.
type fixture struct {
	*WithT
	upstream.Engine
	entry *Entry
	clock *clockwork.FakeClock

	mu           sync.Mutex
	snapshot     *conf.Snapshot
	grantCount   int
	idsIssued    int
	dispatches   []upstream.Call
	releases     []sched.Outcome
	phaseUpdates []claim.Phase
	cancelledIDs []string
	log          strings.Builder

	onClaim   func(idempotencyKey string) (claim.Reply, error)
	onAcquire func() error
	// onPoolAcquire is called with the pool of each acquire; it may be nil.
	onPoolAcquire func(poolName string) error
	onGrant       func()
	onDial        func() error
	onDispatch    func(call upstream.Call) (*upstream.Answer, error)
	onResume      func(id string, from uint64) (*upstream.Answer, error)
	onFetch       func(id string) (*upstream.Answer, error)
}

// newSnapshot returns a configuration with model m at engines e1 and e2,
// service s at services s1 and s2, and teams t and u; the given upstreams are
// withdrawn.
func newSnapshot(withdrawn ...string) *conf.Snapshot {
	sum := sha256.Sum256([]byte(testKey))
	team := &record.Team{Name: "t", Weight: 1, DefaultTier: "low", HighestTier: "mid"}
	snapshot := &conf.Snapshot{
		Usable: true, NewestVersion: 7,
		Tiers: map[string]*record.Tier{
			"low": {Name: "low", Priority: 1, DeadlineMs: 60000},
			"mid": {Name: "mid", Priority: 2, DeadlineMs: 60000},
			"top": {Name: "top", Priority: 3, DeadlineMs: 60000},
		},
		Teams:              map[string]*record.Team{"t": team, "u": {Name: "u", DefaultTier: "top", HighestTier: "top"}},
		Models:             map[string]*record.Model{"m": {Name: "m", Versions: []string{"1"}}},
		Upstreams:          map[string]*record.Upstream{},
		WithdrawnUpstreams: map[string]bool{}, WithdrawnVersions: map[string]bool{},
		TeamByKey: map[string]*record.Team{hex.EncodeToString(sum[:]): team},
		Pools: map[string]*conf.Pool{
			"north/m": {Name: "north/m", Domain: "north", Targets: []string{"model:m"}},
			"north/s": {Name: "north/s", Domain: "north", Targets: []string{"service:s"}},
		},
	}
	for i, name := range []string{"e1", "e2"} {
		snapshot.Upstreams[name] = &record.Upstream{Name: name, Type: record.TypeEngine, Address: fmt.Sprintf("10.0.0.%d:1", i+1), Models: []string{"m@1"}}
	}
	for i, name := range []string{"s1", "s2"} {
		snapshot.Upstreams[name] = &record.Upstream{Name: name, Type: record.TypeService, Address: fmt.Sprintf("10.0.1.%d:1", i+1), Service: "s"}
	}
	for _, name := range withdrawn {
		snapshot.WithdrawnUpstreams[name] = true
	}
	return snapshot
}

// newFixture returns a fixture in which every step succeeds. The first grant is
// for e1 or s1, later ones are for e2 or s2.
func newFixture(t *testing.T) *fixture {
	f := &fixture{WithT: NewWithT(t), clock: clockwork.NewFakeClock(), snapshot: newSnapshot()}
	s := settings.Default()
	s.Instance.ID, s.Instance.Domain = "i1", "north"
	s.Callers.TrustTeamHeader = true
	s.Timeouts.ResumeBackoff = 0
	f.onClaim = func(string) (claim.Reply, error) { return claim.Reply{Result: claim.Granted}, nil }
	f.onAcquire = func() error { return nil }
	f.onGrant = func() {}
	f.onDial = func() error { return nil }
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		if strings.Contains(string(call.Body), `"stream":true`) {
			return eventStream(call.RequestID, 1, 4, nil), nil
		}
		return jsonAnswer(http.StatusOK, call.RequestID, `{"usage":{"completion_tokens":3}}`), nil
	}
	f.onResume = func(id string, from uint64) (*upstream.Answer, error) { return eventStream(id, from, 4, nil), nil }
	f.onFetch = func(id string) (*upstream.Answer, error) { return jsonAnswer(http.StatusOK, id, `{}`), nil }
	var err error
	f.entry, err = New(Options{
		Settings: s, Clock: f.clock, Config: f, Claimer: f, Pool: f, Engine: f, Service: f,
		Log: funcr.New(func(prefix, args string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.log.WriteString(prefix + args + "\n")
		}, funcr.Options{Verbosity: 9}),
		NotifyResumed: func(string, string) {},
		IsIssuedID:    func(idempotencyKey string) bool { return strings.HasPrefix(idempotencyKey, "issued-") },
	})
	f.Expect(err).NotTo(HaveOccurred())
	return f
}

// jsonAnswer returns an answer that is not streamed.
func jsonAnswer(status int, id, body string) *upstream.Answer {
	header := http.Header{headerUpstreamRequestID: {id}, headerContentType: {contentTypeJSON}}
	return &upstream.Answer{Status: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}
}

// bodyStep is a part of a scripted body: hook is called, then text is returned,
// or err if text is empty.
type bodyStep struct {
	hook func()
	text string
	err  error
}

// scriptedBody is a response body that returns its steps one after the other.
type scriptedBody struct{ steps []bodyStep }

func (s *scriptedBody) Close() error { return nil }

func (s *scriptedBody) Read(p []byte) (int, error) {
	if len(s.steps) == 0 {
		return 0, io.EOF
	}
	next := &s.steps[0]
	if next.hook != nil {
		next.hook()
		next.hook = nil
	}
	if next.text == "" {
		s.steps = s.steps[1:]
		if next.err == nil {
			return s.Read(p)
		}
		return 0, next.err
	}
	n := copy(p, next.text)
	next.text = next.text[n:]
	return n, nil
}

// eventText returns an event of an engine's stream whose final event is number
// last.
func eventText(id string, sequence uint64, last uint64) string {
	data := fmt.Sprintf(`{"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"w%d "}}]}`, sequence)
	if sequence == last {
		data = "[DONE]"
	}
	return fmt.Sprintf("id: e1/%s/%d\ndata: %s\n\n", id, sequence, data)
}

// streamAnswer returns a streamed answer whose body consists of the steps.
func streamAnswer(id string, steps ...bodyStep) *upstream.Answer {
	header := http.Header{headerUpstreamRequestID: {id}, headerContentType: {contentTypeEventStream}}
	return &upstream.Answer{Status: http.StatusOK, Header: header, Body: &scriptedBody{append([]bodyStep{}, steps...)}}
}

// eventStream returns a stream of the events from..last; before, if not nil, is
// called before each event.
func eventStream(id string, from, last uint64, before func(sequence uint64) error) *upstream.Answer {
	var steps []bodyStep
	for sequence := from; sequence <= last; sequence++ {
		s := bodyStep{text: eventText(id, sequence, last)}
		if before != nil {
			s.hook = func() { _ = before(sequence) }
		}
		steps = append(steps, s)
	}
	return streamAnswer(id, steps...)
}

func (f *fixture) Snapshot() *conf.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fixture) Changed() <-chan struct{} { return nil }

func (f *fixture) NewID(string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idsIssued++
	return fmt.Sprintf("issued-%d", f.idsIssued)
}

func (f *fixture) Claim(_ context.Context, _, idempotencyKey string) (claim.Reply, error) {
	return f.onClaim(idempotencyKey)
}

func (f *fixture) UpdatePhase(_ string, phase claim.Phase, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phaseUpdates = append(f.phaseUpdates, phase)
}

func (f *fixture) Acquire(_ context.Context, name string, request pool.Request) (sched.Grant, error) {
	if f.onPoolAcquire != nil {
		if err := f.onPoolAcquire(name); err != nil {
			return sched.Grant{}, err
		}
	}
	if err := f.onAcquire(); err != nil {
		return sched.Grant{}, err
	}
	f.mu.Lock()
	f.grantCount++
	prefix := "e"
	if strings.HasSuffix(name, "/s") {
		prefix = "s"
	}
	upstreamName := fmt.Sprintf("%s%d", prefix, min(f.grantCount, 2))
	f.mu.Unlock()
	grant := sched.Grant{RequestID: request.ID, Upstream: upstreamName, Expiry: f.clock.Now().Add(grantLifetime)}
	f.onGrant()
	return grant, nil
}

func (f *fixture) Release(_ context.Context, _ string, _ sched.Work, result sched.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases = append(f.releases, result.Outcome)
}

func (f *fixture) Dispatch(_ context.Context, call upstream.Call) (*upstream.Answer, error) {
	if err := f.onDial(); err != nil {
		return nil, errkind.Wrap(errkind.DialFailed, err, "dial")
	}
	if err := call.OnDispatch(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.dispatches = append(f.dispatches, call)
	f.mu.Unlock()
	reply, err := f.onDispatch(call)
	if err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "broken")
	}
	return reply, nil
}

func (f *fixture) Resume(_ context.Context, _, requestID string, from uint64) (*upstream.Answer, error) {
	return f.onResume(requestID, from)
}

func (f *fixture) FetchAnswer(_ context.Context, _, requestID string) (*upstream.Answer, error) {
	return f.onFetch(requestID)
}

func (f *fixture) CancelStream(_ context.Context, _, requestID string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelledIDs = append(f.cancelledIDs, requestID)
	return nil
}

// callCounts returns the number of calls that the upstreams and the scheduler
// received.
func (f *fixture) callCounts() (dispatches, grants, releases int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dispatches), f.grantCount, len(f.releases)
}

func (f *fixture) setSnapshot(snapshot *conf.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
}

// call sends a request to the caller handler; header holds names and values in
// turn.
func (f *fixture) call(ctx context.Context, method, path, body string, header ...string) *httptest.ResponseRecorder {
	return f.callFrom(ctx, strings.NewReader(body), method, path, header...)
}

// callFrom is call with a body that may block or fail.
func (f *fixture) callFrom(ctx context.Context, body io.Reader, method, path string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, body)
	// HTTP/1.0 avoids the 103 response, which a recorder takes for the final one.
	r.Proto, r.ProtoMajor, r.ProtoMinor = "HTTP/1.0", 1, 0
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.entry.Handler().ServeHTTP(w, r)
	return w
}

// chat sends a chat completion request.
func (f *fixture) chat(body string, header ...string) *httptest.ResponseRecorder {
	return f.call(context.Background(), http.MethodPost, "/v1/chat/completions", body, header...)
}

// onlyRequest returns the only request in flight, or nil.
func (f *fixture) onlyRequest() *request {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	for req := range f.entry.inFlight {
		return req
	}
	return nil
}
