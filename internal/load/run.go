// Package load sends the requests of a workload to entry daemons and reports the
// results as seen by callers. Arrivals are open-loop: a slow answer does not delay
// later arrivals, and latencies count from the scheduled arrival. The upstreams
// must be stand-in engines and services, since the contents of answers are checked.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
	"github.com/rosemarywing/rosemarywing/internal/workload"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// HTTP headers of the entry daemon's API.
const (
	headerTeam       = "Rosemarywing-Team"
	headerTier       = "Rosemarywing-Tier"
	headerTimeout    = "Rosemarywing-Timeout-Ms"
	headerIdempotent = "Rosemarywing-Idempotent"
	headerRequestID  = "Rosemarywing-Request-Id"
	headerRunState   = "Rosemarywing-Run-State"
	headerError      = "Rosemarywing-Error"
)

// Error kinds that only the load generator reports, beside those of errkind.
const (
	// KindConnectionFailed means that the connection to an entry daemon failed.
	KindConnectionFailed = "connection"
	// KindWrongAnswer means that the answer did not have the expected contents.
	KindWrongAnswer = "wrong_answer"
	// KindNotSent means that the request was not sent, since the limit on requests
	// in flight was reached or the run was cancelled.
	KindNotSent = "not_sent"
	// KindUnfinished means that the request was still running when the run ended.
	KindUnfinished = "unfinished"
)

const (
	defaultMaxInFlight  = 10_000
	defaultDrainTimeout = 2 * time.Minute
	// maxIdleConnsPerEntry bounds the idle connections to an entry daemon.
	maxIdleConnsPerEntry = 256
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 16 << 20
)

// Config configures a run.
type Config struct {
	// EntryAddresses holds the addresses of the entry daemons.
	EntryAddresses []string
	// Seed determines the entry daemon that each request is sent to.
	Seed uint64
	// Speed is the number of modelled seconds per second of real time. Arrival
	// times and deadlines are divided by it; latencies are reported in modelled
	// time. Zero means one.
	Speed float64
	// MaxInFlight bounds the requests in flight; arrivals beyond it are not sent.
	// Zero means 10,000.
	MaxInFlight int
	// DrainTimeout limits the wait for answers after the last arrival. Zero means two
	// minutes.
	DrainTimeout time.Duration
	Clock        clockwork.Clock
}

// Result is the result of a request as seen by its caller. Durations are in
// modelled time.
type Result struct {
	Arrival workload.Arrival
	// Complete is true if the complete and correct answer arrived.
	Complete bool
	// Refused is true if the error answer says that the request did not run.
	Refused bool
	// Kind is the error kind if the request is not complete.
	Kind       string
	RequestID  string
	FirstToken time.Duration
	TotalTime  time.Duration
	// InterToken holds the times between successive tokens of a stream.
	InterToken []time.Duration
}

// InTime reports whether the request is complete and met its deadline, which
// applies to the first token of a stream and to the complete answer otherwise.
func (r Result) InTime() bool {
	if !r.Complete {
		return false
	}
	if r.Arrival.Stream {
		return r.FirstToken <= r.Arrival.Deadline
	}
	return r.TotalTime <= r.Arrival.Deadline
}

// runner sends the requests of a run.
type runner struct {
	config   Config
	client   *http.Client
	start    time.Time
	inFlight chan struct{}
}

// Run sends the requests to the entry daemons, each at its arrival time, and
// returns one result for each arrival.
func Run(ctx context.Context, config Config, arrivals []workload.Arrival) ([]Result, error) {
	if len(config.EntryAddresses) == 0 {
		return nil, errkind.New(errkind.BadSettings, "at least one address of an entry daemon is required")
	}
	config = config.withDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		config:   config,
		client:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		start:    config.Clock.Now(),
		inFlight: make(chan struct{}, config.MaxInFlight),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make([]Result, len(arrivals))
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(config.Seed, 0))
	for index, arrival := range arrivals {
		entry := config.EntryAddresses[random.IntN(len(config.EntryAddresses))]
		results[index] = Result{Arrival: arrival, Kind: KindNotSent}
		if !r.waitUntil(ctx, arrival.At) {
			continue
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			continue
		}
		group.Go(func() {
			defer func() { <-r.inFlight }()
			results[index] = r.send(ctx, entry, arrival)
		})
	}
	timer := config.Clock.AfterFunc(config.DrainTimeout, cancel)
	defer timer.Stop()
	group.Wait()
	return results, nil
}

func (c Config) withDefaults() Config {
	if c.Speed == 0 {
		c.Speed = 1
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = defaultDrainTimeout
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	return c
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// waitUntil waits until a modelled time after the start of the run. It returns
// false if the context ends first.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	delay := r.start.Add(r.toClockTime(at)).Sub(r.config.Clock.Now())
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.config.Clock.After(delay):
		return true
	}
}

// toClockTime converts a modelled duration to a duration of the clock.
func (r *runner) toClockTime(modelledTime time.Duration) time.Duration {
	return time.Duration(float64(modelledTime) / r.config.Speed)
}

// modelledSince returns the modelled time since the scheduled arrival.
func (r *runner) modelledSince(arrival workload.Arrival) time.Duration {
	elapsed := r.config.Clock.Since(r.start)
	return time.Duration(float64(elapsed)*r.config.Speed) - arrival.At
}

func (r *runner) send(ctx context.Context, entry string, arrival workload.Arrival) Result {
	result := Result{Arrival: arrival}
	request, err := r.newRequest(ctx, entry, arrival)
	if err != nil {
		result.Kind = string(errkind.Internal)
		return result
	}
	response, err := r.client.Do(request)
	if err != nil {
		result.Kind = failureKind(ctx, KindConnectionFailed)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.RequestID = response.Header.Get(headerRequestID)
	if response.StatusCode != http.StatusOK {
		result.Refused = response.Header.Get(headerRunState) == string(errkind.NotRun)
		result.Kind = errorKindOf(response)
		return result
	}
	if arrival.Stream {
		err = r.readStream(response.Body, &result)
	} else {
		err = readFullAnswer(response.Body, &result)
	}
	result.TotalTime = r.modelledSince(arrival)
	result.Complete = err == nil
	if err != nil {
		result.Kind = failureKind(ctx, answerErrorKind(err))
	}
	return result
}

// failureKind returns the given error kind, or KindUnfinished if the run has
// ended.
func failureKind(ctx context.Context, kind string) string {
	if ctx.Err() != nil {
		return KindUnfinished
	}
	return kind
}

// errorKindOf returns the error kind of an error answer, or its status code if it
// names none.
func errorKindOf(response *http.Response) string {
	if kind := response.Header.Get(headerError); kind != "" {
		return kind
	}
	return "status_" + strconv.Itoa(response.StatusCode)
}

var errWrongAnswer = errors.New("the answer is not the request's own")

// answerErrorKind returns the error kind of a failure to read an answer.
func answerErrorKind(err error) string {
	if errors.Is(err, errWrongAnswer) {
		return KindWrongAnswer
	}
	var kindError *errkind.Error
	if errors.As(err, &kindError) {
		return string(kindError.Kind)
	}
	return string(errkind.AnswerIncomplete)
}

func (r *runner) newRequest(ctx context.Context, entry string, arrival workload.Arrival) (*http.Request, error) {
	path, body, err := requestContent(arrival)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	timeout := max(1, r.toClockTime(arrival.Deadline).Milliseconds())
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerTeam, arrival.Team)
	request.Header.Set(headerTier, arrival.Tier)
	request.Header.Set(headerTimeout, strconv.FormatInt(timeout, 10))
	if arrival.Service != "" {
		request.Header.Set(headerIdempotent, "false")
	}
	return request, nil
}

// requestContent returns the path and the body of the request.
func requestContent(arrival workload.Arrival) (path string, body []byte, err error) {
	if arrival.Service != "" {
		body, err = json.Marshal(map[string]string{"key": serviceKey(arrival)})
		return "/services/" + arrival.Service + "/" + arrival.Class, body, err
	}
	body, err = json.Marshal(map[string]any{
		"model":      arrival.Model,
		"messages":   arrival.Messages(),
		"max_tokens": arrival.OutputTokens,
		"stream":     arrival.Stream,
	})
	return "/v1/chat/completions", body, err
}

// serviceKey returns the key in the body of a service call, which the service
// returns in its answer.
func serviceKey(arrival workload.Arrival) string {
	return fmt.Sprintf("%s %d", arrival.Class, arrival.Index)
}

// completion holds the checked fields of a completion chunk, a complete chat
// completion, or a service answer.
type completion struct {
	Choices []struct {
		Delta   upstream.Message `json:"delta"`
		Message upstream.Message `json:"message"`
	} `json:"choices"`
	// Key is the key in a service's answer; see serviceKey.
	Key string `json:"key"`
}

// readStream reads a stream to its end, checks each token and records latencies.
func (r *runner) readStream(body io.Reader, result *Result) error {
	reader := upstream.NewEventReader(body, result.RequestID, 1, 0)
	var previousArrival time.Duration
	for {
		event, err := reader.Next()
		if err != nil {
			return err
		}
		arrivedAt := r.modelledSince(result.Arrival)
		if event.Last {
			return checkTokenCount(event, result.Arrival)
		}
		if err := checkTokenEvent(event, result.RequestID); err != nil {
			return err
		}
		if event.Sequence == 1 {
			result.FirstToken = arrivedAt
		} else {
			result.InterToken = append(result.InterToken, arrivedAt-previousArrival)
		}
		previousArrival = arrivedAt
	}
}

func checkTokenCount(last upstream.Event, arrival workload.Arrival) error {
	if last.Sequence != uint64(arrival.OutputTokens)+1 {
		return errWrongAnswer
	}
	return nil
}

func checkTokenEvent(event upstream.Event, requestID string) error {
	var parsed completion
	if err := json.Unmarshal(event.Data, &parsed); err != nil || len(parsed.Choices) != 1 {
		return errWrongAnswer
	}
	if parsed.Choices[0].Delta.Content != engine.TokenText(requestID, int(event.Sequence)) {
		return errWrongAnswer
	}
	return nil
}

// readFullAnswer reads and checks an answer that is not streamed.
func readFullAnswer(body io.Reader, result *Result) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	var parsed completion
	if err := json.Unmarshal(data, &parsed); err != nil {
		return errWrongAnswer
	}
	if result.Arrival.Service != "" {
		if parsed.Key != serviceKey(result.Arrival) {
			return errWrongAnswer
		}
		return nil
	}
	var expected bytes.Buffer
	for sequence := 1; sequence <= result.Arrival.OutputTokens; sequence++ {
		expected.WriteString(engine.TokenText(result.RequestID, sequence))
	}
	if len(parsed.Choices) != 1 || parsed.Choices[0].Message.Content != expected.String() {
		return errWrongAnswer
	}
	return nil
}
