// Package load drives entry daemons with a workload and reports what their
// callers saw. Arrivals are open-loop: a slow answer delays no later arrival,
// and latencies count from the scheduled arrival. The engines behind the
// entries must be stand-ins, since the content of answers is checked.
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

// Headers of the caller API.
const (
	headerTeam       = "Rosemarywing-Team"
	headerTier       = "Rosemarywing-Tier"
	headerTimeout    = "Rosemarywing-Timeout-Ms"
	headerIdempotent = "Rosemarywing-Idempotent"
	headerRequestID  = "Rosemarywing-Request-Id"
	headerRunState   = "Rosemarywing-Run-State"
	headerError      = "Rosemarywing-Error"
)

// Kinds of failures that only the load tool sees.
const (
	// KindConnection is a connection to an entry that failed.
	KindConnection = "connection"
	// KindWrongAnswer is an answer that was not the request's own.
	KindWrongAnswer = "wrong_answer"
	// KindNotSent is an arrival beyond the limit on requests in flight.
	KindNotSent = "not_sent"
	// KindUnfinished is a request that was still running when the run ended.
	KindUnfinished = "unfinished"
)

const (
	defaultMaxInFlight = 10_000
	defaultDrain       = 2 * time.Minute
	// idlePerEntry bounds the pooled connections to an entry.
	idlePerEntry = 256
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 16 << 20
)

// Config configures a run.
type Config struct {
	// Entries are the addresses of entry daemons.
	Entries []string
	// Seed chooses the entry of each arrival.
	Seed uint64
	// Speed is modelled seconds per second; arrivals and deadlines are
	// shortened by it, and latencies are reported in modelled time. Zero means
	// one.
	Speed float64
	// MaxInFlight bounds the requests in flight; further arrivals fail.
	MaxInFlight int
	// Drain bounds the wait for answers after the last arrival.
	Drain time.Duration
	Clock clockwork.Clock
}

// Result is what the caller of one arrival saw. Durations are modelled time.
type Result struct {
	Arrival workload.Arrival
	// Complete is true when the whole answer arrived and was the right one.
	Complete bool
	// Refused is true when the caller was told that the request did not run.
	Refused bool
	// Kind is the error kind of a request that is not complete.
	Kind       string
	RequestID  string
	FirstToken time.Duration
	Total      time.Duration
	InterToken []time.Duration
}

// InTime reports whether the answer was complete and met its deadline.
func (r Result) InTime() bool {
	if !r.Complete {
		return false
	}
	if r.Arrival.Stream {
		return r.FirstToken <= r.Arrival.Deadline
	}
	return r.Total <= r.Arrival.Deadline
}

// runner sends the arrivals of one run.
type runner struct {
	config Config
	client *http.Client
	start  time.Time
	slots  chan struct{}
}

// Run sends arrivals to the entries and returns one result for each.
func Run(ctx context.Context, config Config, arrivals []workload.Arrival) ([]Result, error) {
	if len(config.Entries) == 0 {
		return nil, errkind.New(errkind.BadSettings, "no address of an entry daemon")
	}
	config = config.withDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		config: config,
		client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		start:  config.Clock.Now(),
		slots:  make(chan struct{}, config.MaxInFlight),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make([]Result, len(arrivals))
	var group sync.WaitGroup
	choices := rand.New(rand.NewPCG(config.Seed, 0))
	for index, arrival := range arrivals {
		entry := config.Entries[choices.IntN(len(config.Entries))]
		results[index] = Result{Arrival: arrival, Kind: KindNotSent}
		if !r.waitUntil(ctx, arrival.At) {
			continue
		}
		select {
		case r.slots <- struct{}{}:
		default:
			continue
		}
		group.Go(func() {
			defer func() { <-r.slots }()
			results[index] = r.send(ctx, entry, arrival)
		})
	}
	timer := config.Clock.AfterFunc(config.Drain, cancel)
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
	if c.Drain == 0 {
		c.Drain = defaultDrain
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	return c
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// waitUntil waits until a modelled time after the start.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := r.start.Add(r.real(at)).Sub(r.config.Clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.config.Clock.After(wait):
		return true
	}
}

// real converts modelled time to the clock's time.
func (r *runner) real(modelled time.Duration) time.Duration {
	return time.Duration(float64(modelled) / r.config.Speed)
}

// since returns the modelled time since the scheduled arrival.
func (r *runner) since(arrival workload.Arrival) time.Duration {
	elapsed := r.config.Clock.Since(r.start)
	return time.Duration(float64(elapsed)*r.config.Speed) - arrival.At
}

func (r *runner) send(ctx context.Context, entry string, arrival workload.Arrival) Result {
	result := Result{Arrival: arrival}
	request, err := r.request(ctx, entry, arrival)
	if err != nil {
		result.Kind = string(errkind.Internal)
		return result
	}
	response, err := r.client.Do(request)
	if err != nil {
		result.Kind = failure(ctx, KindConnection)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.RequestID = response.Header.Get(headerRequestID)
	if response.StatusCode != http.StatusOK {
		result.Refused = response.Header.Get(headerRunState) == string(errkind.NotRun)
		result.Kind = refusalKind(response)
		return result
	}
	if arrival.Stream {
		err = r.readStream(response.Body, &result)
	} else {
		err = readWhole(response.Body, &result)
	}
	result.Total = r.since(arrival)
	result.Complete = err == nil
	if err != nil {
		result.Kind = failure(ctx, kindOf(err))
	}
	return result
}

// failure returns the kind of a failure, or KindUnfinished when it was caused
// by the end of the run.
func failure(ctx context.Context, kind string) string {
	if ctx.Err() != nil {
		return KindUnfinished
	}
	return kind
}

func refusalKind(response *http.Response) string {
	if kind := response.Header.Get(headerError); kind != "" {
		return kind
	}
	return "status_" + strconv.Itoa(response.StatusCode)
}

var errWrongAnswer = errors.New("the answer is not the request's own")

func kindOf(err error) string {
	if errors.Is(err, errWrongAnswer) {
		return KindWrongAnswer
	}
	var typed *errkind.Error
	if errors.As(err, &typed) {
		return string(typed.Kind)
	}
	return string(errkind.AnswerIncomplete)
}

func (r *runner) request(ctx context.Context, entry string, arrival workload.Arrival) (*http.Request, error) {
	path, body, err := content(arrival)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	timeout := max(1, r.real(arrival.Deadline).Milliseconds())
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerTeam, arrival.Team)
	request.Header.Set(headerTier, arrival.Tier)
	request.Header.Set(headerTimeout, strconv.FormatInt(timeout, 10))
	if arrival.Service != "" {
		request.Header.Set(headerIdempotent, "false")
	}
	return request, nil
}

// content returns the path and the body of an arrival's request.
func content(arrival workload.Arrival) (path string, body []byte, err error) {
	if arrival.Service != "" {
		body, err = json.Marshal(map[string]string{"key": businessKey(arrival)})
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

func businessKey(arrival workload.Arrival) string {
	return fmt.Sprintf("%s %d", arrival.Class, arrival.Index)
}

// chunk is the part of a completion that is checked.
type chunk struct {
	Choices []struct {
		Delta   upstream.Message `json:"delta"`
		Message upstream.Message `json:"message"`
	} `json:"choices"`
	// Key is the business key in a service's answer.
	Key string `json:"key"`
}

// readStream reads a stream to its end and checks each token.
func (r *runner) readStream(body io.Reader, result *Result) error {
	reader := upstream.NewEventReader(body, result.RequestID, 1, 0)
	var previous time.Duration
	for {
		event, err := reader.Next()
		if err != nil {
			return err
		}
		now := r.since(result.Arrival)
		if event.Last {
			return checkCount(event, result.Arrival)
		}
		if err := checkToken(event, result.RequestID); err != nil {
			return err
		}
		if event.Sequence == 1 {
			result.FirstToken = now
		} else {
			result.InterToken = append(result.InterToken, now-previous)
		}
		previous = now
	}
}

func checkCount(last upstream.Event, arrival workload.Arrival) error {
	if last.Sequence != uint64(arrival.OutputTokens)+1 {
		return errWrongAnswer
	}
	return nil
}

func checkToken(event upstream.Event, requestID string) error {
	var parsed chunk
	if err := json.Unmarshal(event.Data, &parsed); err != nil || len(parsed.Choices) != 1 {
		return errWrongAnswer
	}
	if parsed.Choices[0].Delta.Content != engine.TokenText(requestID, int(event.Sequence)) {
		return errWrongAnswer
	}
	return nil
}

// readWhole reads and checks an answer that is not streamed.
func readWhole(body io.Reader, result *Result) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	var parsed chunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return errWrongAnswer
	}
	if result.Arrival.Service != "" {
		if parsed.Key != businessKey(result.Arrival) {
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
