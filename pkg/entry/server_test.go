package entry

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// startServer serves the fixture's caller routes over HTTP with a go-zero
// configuration.
func startServer(f *fixture, config rest.RestConf) *httptest.Server {
	handler, err := newHandler(config, f.entry.callerRoutes(), f.entry.Log)
	f.Expect(err).NotTo(HaveOccurred())
	return httptest.NewServer(handler)
}

// post sends a POST request; header holds names and values in turn.
func post(url, path string, body io.Reader, header ...string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, url+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(request)
}

// postExpecting posts a request and returns an error unless the response has
// the wanted status and a complete body.
func postExpecting(url, path, body string, want int, header ...string) error {
	response, err := post(url, path, strings.NewReader(body), header...)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != want {
		return errors.Join(fmt.Errorf("status %d %q", response.StatusCode, text), err)
	}
	return nil
}

// scenarioManyFailures expects 300 answers of status 500 to be forwarded.
func scenarioManyFailures(f *fixture, url string) error {
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		return jsonAnswer(http.StatusInternalServerError, call.RequestID, "failed"), nil
	}
	for range 300 {
		if err := postExpecting(url, "/services/s/x", "", http.StatusInternalServerError); err != nil {
			return err
		}
	}
	return nil
}

// scenarioManyConcurrent expects 200 requests to be in flight at the same time.
func scenarioManyConcurrent(f *fixture, url string) error {
	const requests = 200
	var arrived sync.WaitGroup
	arrived.Add(requests)
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		arrived.Done()
		arrived.Wait()
		return jsonAnswer(http.StatusOK, call.RequestID, "ok"), nil
	}
	results := make(chan error, requests)
	for i := range requests {
		go func() {
			err := postExpecting(url, "/services/s/x", "", http.StatusOK, headerIdempotencyKey, fmt.Sprint(i))
			if err != nil {
				arrived.Done()
			}
			results <- err
		}()
	}
	var all error
	for range requests {
		all = errors.Join(all, <-results)
	}
	return all
}

// middlewareTimeout replaces go-zero's timeout of 3 s, so that an answer that
// takes 5 minutes can be tested in a short time.
const middlewareTimeout = 20 * time.Millisecond

// scenarioSlowAnswer expects an answer that takes three times middlewareTimeout
// to be forwarded.
func scenarioSlowAnswer(f *fixture, url string) error {
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		f.clock.Advance(5 * time.Minute)
		time.Sleep(3 * middlewareTimeout)
		return jsonAnswer(http.StatusOK, call.RequestID, "{}"), nil
	}
	return postExpecting(url, "/v1/chat/completions", bufferedChatBody, http.StatusOK)
}

// Guards against a stream that is buffered or cut after a time: the first event
// must arrive before the engine sends the second, five minutes later.
func TestLongStreamNotBufferedOrCut(t *testing.T) {
	f := newFixture(t)
	server := startServer(f, restConf())
	defer server.Close()
	sendSecond := make(chan struct{})
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		return eventStream(call.RequestID, 1, 4, func(sequence uint64) error {
			if sequence == 2 {
				<-sendSecond
			}
			return nil
		}), nil
	}
	response, err := post(server.URL, "/v1/chat/completions", strings.NewReader(streamedChatBody))
	f.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	f.Expect(err).NotTo(HaveOccurred())
	f.clock.Advance(5 * time.Minute)
	close(sendSecond)
	rest, err := io.ReadAll(reader)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(first + string(rest)).To(Equal(completeStream("issued-1", f.entry.ClaimPhase)))
}

// scenarioLargeBody expects a body of 20 MiB to be accepted.
func scenarioLargeBody(_ *fixture, url string) error {
	return postExpecting(url, "/services/s/x", strings.Repeat("x", 20<<20), http.StatusOK)
}

// scenarioCompressedBody expects a compressed body to be forwarded unchanged.
func scenarioCompressedBody(f *fixture, url string) error {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write([]byte("body"))
	_ = writer.Close()
	sent := packed.String()
	if err := postExpecting(url, "/services/s/x", sent, http.StatusOK, "Content-Encoding", "gzip"); err != nil {
		return err
	}
	if string(f.dispatches[0].Body) != sent {
		return errors.New("the body was changed")
	}
	return nil
}

// Guards against defaults of go-zero that break requests: each scenario
// succeeds with the configuration of the entry and fails when one default is
// enabled.
func TestGoZeroDefaultsDisabled(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario func(f *fixture, url string) error
		enable   func(config *rest.RestConf)
	}{
		{"breaker", scenarioManyFailures, func(c *rest.RestConf) { c.Middlewares.Breaker = true }},
		{"connection limit", scenarioManyConcurrent, func(c *rest.RestConf) { c.Middlewares.MaxConns, c.MaxConns = true, 100 }},
		{"timeout", scenarioSlowAnswer, func(c *rest.RestConf) {
			c.Middlewares.Timeout, c.Timeout = true, middlewareTimeout.Milliseconds()
		}},
		{"body limit", scenarioLargeBody, func(c *rest.RestConf) { c.Middlewares.MaxBytes, c.MaxBytes = true, 1<<20 }},
		{"decompression", scenarioCompressedBody, func(c *rest.RestConf) { c.Middlewares.Gunzip = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			server := startServer(f, restConf())
			defer server.Close()
			f.Expect(c.scenario(f, server.URL)).To(Succeed())

			f = newFixture(t)
			config := restConf()
			c.enable(&config)
			withDefault := startServer(f, config)
			defer withDefault.Close()
			f.Expect(c.scenario(f, withDefault.URL)).NotTo(Succeed())
		})
	}
}

// Guards against load shedding, against read and write timeouts of http.Server, and
// against a missing read header timeout. A short test cannot show the effect of the
// first two: load shedding starts only on a busy machine, and the timeouts cut only
// long streams.
func TestServerHasNoWriteTimeout(t *testing.T) {
	g := NewWithT(t)
	g.Expect(restConf().Middlewares).To(Equal(rest.MiddlewaresConf{}))
	g.Expect(restConf().CpuThreshold).To(BeZero())
	server := NewServer(http.NotFoundHandler(), settings.Default().Timeouts)
	g.Expect(server.WriteTimeout).To(BeZero())
	g.Expect(server.ReadTimeout).To(BeZero())
	g.Expect(server.ReadHeaderTimeout).NotTo(BeZero())
}

const childProcessVariable = "ROSEMARYWING_TEST_CHILD"

// Guards against go-zero ending the process 5.5 s after SIGTERM, while streams
// are still running. The child process must outlive that time.
func TestNoForcedExitAfterSIGTERM(t *testing.T) {
	if os.Getenv(childProcessVariable) != "" {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM)
		newFixture(t)
		_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		<-signals
		// Without a handler, as after the stop function of signal.NotifyContext,
		// a second SIGTERM, which go-zero sends to its own process, is fatal.
		signal.Stop(signals)
		time.Sleep(7 * time.Second)
		return
	}
	t.Parallel()
	g := NewWithT(t)
	child := exec.Command(os.Args[0], "-test.run=^TestNoForcedExitAfterSIGTERM$")
	child.Env = append(os.Environ(), childProcessVariable+"=1")
	output, err := child.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
}

// Guards against a request ID that the caller learns only with the answer, and
// against a 103 response that replaces the final one.
func TestRequestIDInEarlyHints(t *testing.T) {
	f := newFixture(t)
	server := startServer(f, restConf())
	defer server.Close()
	early := make(chan string, 2)
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		f.Expect(<-early).To(Equal(call.RequestID))
		return jsonAnswer(http.StatusOK, call.RequestID, "{}"), nil
	}
	trace := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			early <- header.Get(headerRequestID)
			return nil
		},
	})
	request, err := http.NewRequestWithContext(trace, http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(bufferedChatBody))
	f.Expect(err).NotTo(HaveOccurred())
	request.Header.Set(headerTeam, "t")
	response, err := http.DefaultClient.Do(request)
	f.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	f.Expect(response.StatusCode).To(Equal(http.StatusOK))
	f.Expect(response.Header.Get(headerRunState)).To(Equal("ran"))
}

func newClient(url string) openai.Client {
	return openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(testKey))
}

var chatParams = openai.ChatCompletionNewParams{
	Model:    "m",
	Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
}

// Guards against answers that OpenAI's client library does not understand.
func TestOpenAIClientAnswers(t *testing.T) {
	f := newFixture(t)
	server := startServer(f, restConf())
	defer server.Close()
	client, ctx := newClient(server.URL), context.Background()

	whole, err := client.Chat.Completions.New(ctx, chatParams)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(whole.Usage.CompletionTokens).To(Equal(int64(3)))

	stream := client.Chat.Completions.NewStreaming(ctx, chatParams)
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	f.Expect(stream.Err()).NotTo(HaveOccurred())
	f.Expect(text).To(Equal("w1 w2 w3 "))

	page, err := client.Models.List(ctx)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(page.Data[0].ID).To(Equal("m"))
}

// Guards against an error that OpenAI's client library does not report, or after
// which it retries a request that may already have run.
func TestOpenAIClientErrors(t *testing.T) {
	f := newFixture(t)
	server := startServer(f, restConf())
	defer server.Close()
	client, ctx := newClient(server.URL), context.Background()
	f.onResume = func(string, uint64) (*upstream.Answer, error) { return nil, errReset }
	f.onFetch = func(string) (*upstream.Answer, error) { return nil, errReset }

	f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return nil, errReset }
	_, err := client.Chat.Completions.New(ctx, chatParams)
	var apiErr *openai.Error
	f.Expect(errors.As(err, &apiErr)).To(BeTrue())
	f.Expect(apiErr.Code).To(Equal(string(errkind.UpstreamBroken)))
	f.Expect(apiErr.RawJSON()).To(ContainSubstring(`"run_state":"unknown"`))
	f.Expect(f.dispatches).To(HaveLen(1))

	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		return streamAnswer(call.RequestID, bodyStep{text: eventText(call.RequestID, 1, 4)}, bodyStep{err: errReset}), nil
	}
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams)
	f.Expect(stream.Next()).To(BeTrue())
	f.Expect(stream.Next()).To(BeFalse())
	f.Expect(stream.Err()).To(MatchError(ContainSubstring("upstream_broken")))

	f.onAcquire = func() error { return errkind.New(errkind.Overloaded, "full") }
	_, err = client.Chat.Completions.New(ctx, chatParams, option.WithMaxRetries(0))
	f.Expect(errors.As(err, &apiErr)).To(BeTrue())
	f.Expect(apiErr.StatusCode).To(Equal(http.StatusTooManyRequests))
	f.Expect(apiErr.RawJSON()).To(ContainSubstring(`"run_state":"not_run"`))
	f.Expect(f.dispatches).To(HaveLen(2))
}

// Guards against log lines of go-zero that do not reach the logger of the
// entry.
func TestLogWriter(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	sink := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{Verbosity: 1})
	var writer logx.Writer = NewLogWriter(sink)
	field := logx.Field("key", "value")
	writer.Alert("line 1")
	writer.Debug("line 2", field)
	writer.Error("line 3", field)
	writer.Info("line 4", field)
	writer.Severe("line 5")
	writer.Slow("line 6", field)
	writer.Stack("line 7")
	writer.Stat("line 8", field)
	g.Expect(writer.Close()).To(Succeed())
	g.Expect(lines).To(HaveLen(8))
	g.Expect(lines[2]).To(And(ContainSubstring("line 3"), ContainSubstring("value")))
}

// Guards against a response to a panic without a run state.
func TestPanicRunStateUnknown(t *testing.T) {
	g := NewWithT(t)
	handler, err := newHandler(restConf(), []rest.Route{{Method: anyMethod, Path: "/", Handler: func(http.ResponseWriter, *http.Request) {
		panic("fault")
	}}}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", http.NoBody))
	g.Expect(w.Header().Get(headerRunState)).To(Equal("unknown"))
}

// Guards against a waiting request that stays in the queue after its caller
// closed the connection, and would take a slot at an upstream for nothing.
func TestClosedConnectionCancelsWaitingRequest(t *testing.T) {
	f := newFixture(t)
	server := startServer(f, restConf())
	defer server.Close()
	ctx, disconnect := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	f.onAcquire = func() error {
		req := f.onlyRequest()
		disconnect()
		<-req.ctx.Done()
		ended <- context.Cause(req.ctx)
		return errkind.New(errkind.NoUpstream, "cancelled")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(streamedChatBody))
	f.Expect(err).NotTo(HaveOccurred())
	request.Header.Set(headerTeam, "t")
	_, err = http.DefaultClient.Do(request)
	f.Expect(err).To(MatchError(context.Canceled))
	f.Expect(errkind.KindOf(<-ended)).To(Equal(errkind.CallerGone))
	f.Expect(f.dispatches).To(BeEmpty())
}
