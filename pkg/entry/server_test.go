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

func serve(f *fixture, config rest.RestConf) *httptest.Server {
	handler, err := newHandler(config, f.entry.callerRoutes(), f.entry.Log)
	f.Expect(err).NotTo(HaveOccurred())
	return httptest.NewServer(handler)
}

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

// status sends a request and returns an error unless it has the status and a body.
func status(url, path, body string, want int, header ...string) error {
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

func manyFailures(f *fixture, url string) error {
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		return answer(http.StatusInternalServerError, call.RequestID, "failed"), nil
	}
	for range 300 {
		if err := status(url, "/services/s/x", "", http.StatusInternalServerError); err != nil {
			return err
		}
	}
	return nil
}

func manyAtOnce(f *fixture, url string) error {
	const requests = 200
	var arrived sync.WaitGroup
	arrived.Add(requests)
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		arrived.Done()
		arrived.Wait()
		return answer(http.StatusOK, call.RequestID, "ok"), nil
	}
	failed := make(chan error, requests)
	for i := range requests {
		go func() {
			err := status(url, "/services/s/x", "", http.StatusOK, headerIdentity, fmt.Sprint(i))
			if err != nil {
				arrived.Done()
			}
			failed <- err
		}()
	}
	var all error
	for range requests {
		all = errors.Join(all, <-failed)
	}
	return all
}

// testTimeout stands for go-zero's time-out of 3 s in an answer that takes 5 minutes.
const testTimeout = 20 * time.Millisecond

// slowAnswer takes several time-outs.
func slowAnswer(f *fixture, url string) error {
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		f.clock.Advance(5 * time.Minute)
		time.Sleep(3 * testTimeout)
		return answer(http.StatusOK, call.RequestID, "{}"), nil
	}
	return status(url, "/v1/chat/completions", wholeBody, http.StatusOK)
}

// Guards against a stream that is buffered, or cut after a time: the first
// event arrives while the engine has not sent the second, which comes five
// minutes later.
func TestLongStreamIsNeitherBufferedNorCut(t *testing.T) {
	f := newFixture(t)
	server := serve(f, restConf())
	defer server.Close()
	more := make(chan struct{})
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		return events(call.RequestID, 1, 4, func(sequence uint64) error {
			if sequence == 2 {
				<-more
			}
			return nil
		}), nil
	}
	response, err := post(server.URL, "/v1/chat/completions", strings.NewReader(chatBody))
	f.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	f.Expect(err).NotTo(HaveOccurred())
	f.clock.Advance(5 * time.Minute)
	close(more)
	rest, err := io.ReadAll(reader)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(first + string(rest)).To(Equal(wholeStream("issued-1", f.entry.Status)))
}

func largeBody(_ *fixture, url string) error {
	return status(url, "/services/s/x", strings.Repeat("x", 20<<20), http.StatusOK)
}

func compressedBody(f *fixture, url string) error {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write([]byte("body"))
	_ = writer.Close()
	sent := packed.String()
	if err := status(url, "/services/s/x", sent, http.StatusOK, "Content-Encoding", "gzip"); err != nil {
		return err
	}
	if string(f.dispatches[0].Body) != sent {
		return errors.New("the body was changed")
	}
	return nil
}

// Guards against go-zero's defaults: each scenario succeeds with the settings
// of the entry and fails when one of them is taken back.
func TestServerSettingsKeepTheGuarantees(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario func(f *fixture, url string) error
		takeBack func(config *rest.RestConf)
	}{
		{"breaker", manyFailures, func(c *rest.RestConf) { c.Middlewares.Breaker = true }},
		{"connection limit", manyAtOnce, func(c *rest.RestConf) { c.Middlewares.MaxConns, c.MaxConns = true, 100 }},
		{"time-out", slowAnswer, func(c *rest.RestConf) {
			c.Middlewares.Timeout, c.Timeout = true, testTimeout.Milliseconds()
		}},
		{"body limit", largeBody, func(c *rest.RestConf) { c.Middlewares.MaxBytes, c.MaxBytes = true, 1<<20 }},
		{"decompression", compressedBody, func(c *rest.RestConf) { c.Middlewares.Gunzip = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			server := serve(f, restConf())
			defer server.Close()
			f.Expect(c.scenario(f, server.URL)).To(Succeed())

			f = newFixture(t)
			config := restConf()
			c.takeBack(&config)
			faulty := serve(f, config)
			defer faulty.Close()
			f.Expect(c.scenario(f, faulty.URL)).NotTo(Succeed())
		})
	}
}

// Guards against settings whose effect a short test cannot show: shedding
// needs a busy machine, and the server's own time-outs cut long streams.
func TestServerHasNoHiddenLimits(t *testing.T) {
	g := NewWithT(t)
	g.Expect(restConf().Middlewares).To(Equal(rest.MiddlewaresConf{}))
	g.Expect(restConf().CpuThreshold).To(BeZero())
	server := NewServer(http.NotFoundHandler(), settings.Default().Timeouts)
	g.Expect(server.WriteTimeout).To(BeZero())
	g.Expect(server.ReadTimeout).To(BeZero())
	g.Expect(server.ReadHeaderTimeout).NotTo(BeZero())
}

const childVariable = "ROSEMARYWING_TEST_CHILD"

// Guards against go-zero ending the process 5.5 s after SIGTERM, while streams
// are still running. The child outlives that time.
func TestSignalDoesNotEndTheProcess(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM)
		newFixture(t)
		_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		<-signals
		// As after the stop function of signal.NotifyContext: from here on
		// another SIGTERM, which go-zero sends to its own process, kills.
		signal.Stop(signals)
		time.Sleep(7 * time.Second)
		return
	}
	t.Parallel()
	g := NewWithT(t)
	child := exec.Command(os.Args[0], "-test.run=^TestSignalDoesNotEndTheProcess$")
	child.Env = append(os.Environ(), childVariable+"=1")
	output, err := child.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
}

// Guards against a request ID that the caller learns only with the answer, and
// against a 103 response that takes the place of the final one.
func TestRequestIDComesEarly(t *testing.T) {
	f := newFixture(t)
	server := serve(f, restConf())
	defer server.Close()
	early := make(chan string, 2)
	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		f.Expect(<-early).To(Equal(call.RequestID))
		return answer(http.StatusOK, call.RequestID, "{}"), nil
	}
	trace := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			early <- header.Get(headerRequestID)
			return nil
		},
	})
	request, err := http.NewRequestWithContext(trace, http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(wholeBody))
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

// Guards against answers and errors that OpenAI's client library does not
// understand, and against its own retries running a request twice.
func TestContractWithOpenAIClient(t *testing.T) {
	f := newFixture(t)
	server := serve(f, restConf())
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

// Guards against an error that the client library does not show, or answers by
// sending a request again that may have run.
func TestContractOfErrorsWithOpenAIClient(t *testing.T) {
	f := newFixture(t)
	server := serve(f, restConf())
	defer server.Close()
	client, ctx := newClient(server.URL), context.Background()
	f.onResume = func(string, uint64) (*upstream.Answer, error) { return nil, errReset }
	f.onFetch = func(string) (*upstream.Answer, error) { return nil, errReset }

	f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return nil, errReset }
	_, err := client.Chat.Completions.New(ctx, chatParams)
	var failure *openai.Error
	f.Expect(errors.As(err, &failure)).To(BeTrue())
	f.Expect(failure.Code).To(Equal(string(errkind.UpstreamBroken)))
	f.Expect(failure.RawJSON()).To(ContainSubstring(`"run_state":"unknown"`))
	f.Expect(f.dispatches).To(HaveLen(1))

	f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
		return streamed(call.RequestID, step{text: eventText(call.RequestID, 1, 4)}, step{err: errReset}), nil
	}
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams)
	f.Expect(stream.Next()).To(BeTrue())
	f.Expect(stream.Next()).To(BeFalse())
	f.Expect(stream.Err()).To(MatchError(ContainSubstring("upstream_broken")))

	f.onAcquire = func() error { return errkind.New(errkind.Overloaded, "full") }
	_, err = client.Chat.Completions.New(ctx, chatParams, option.WithMaxRetries(0))
	f.Expect(errors.As(err, &failure)).To(BeTrue())
	f.Expect(failure.StatusCode).To(Equal(http.StatusTooManyRequests))
	f.Expect(failure.RawJSON()).To(ContainSubstring(`"run_state":"not_run"`))
	f.Expect(f.dispatches).To(HaveLen(2))
}

// Guards against log lines of go-zero that miss the common sink.
func TestLogOfGoZeroGoesToTheSink(t *testing.T) {
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

// Guards against a panic that is answered without a run state.
func TestPanicIsAnsweredAsUnknown(t *testing.T) {
	g := NewWithT(t)
	handler, err := newHandler(restConf(), []rest.Route{{Method: anyMethod, Path: "/", Handler: func(http.ResponseWriter, *http.Request) {
		panic("fault")
	}}}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", http.NoBody))
	g.Expect(w.Header().Get(headerRunState)).To(Equal("unknown"))
}

// Guards against a caller whose closed connection goes unnoticed while its
// request waits: it would take an upstream's place for nobody.
func TestClosedConnectionEndsTheWait(t *testing.T) {
	f := newFixture(t)
	server := serve(f, restConf())
	defer server.Close()
	ctx, gone := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	f.onAcquire = func() error {
		q := f.one()
		gone()
		<-q.ctx.Done()
		ended <- context.Cause(q.ctx)
		return errkind.New(errkind.NoUpstream, "cancelled")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(chatBody))
	f.Expect(err).NotTo(HaveOccurred())
	request.Header.Set(headerTeam, "t")
	_, err = http.DefaultClient.Do(request)
	f.Expect(err).To(MatchError(context.Canceled))
	f.Expect(errkind.KindOf(<-ended)).To(Equal(errkind.CallerGone))
	f.Expect(f.dispatches).To(BeEmpty())
}
