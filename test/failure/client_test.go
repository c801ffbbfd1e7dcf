package failure_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
	"github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/internal/standin/service"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

const (
	// waitTimeout bounds how long a failing test waits. No test passes by reaching it.
	waitTimeout  = 60 * time.Second
	modelName    = "assistant"
	modelVersion = "assistant@1"
)

// startCluster starts a cluster and stops it after the test. A failed test reports the
// end of each entry's output.
func startCluster(spec testbed.ClusterSpec) *testbed.Cluster {
	GinkgoHelper()
	spec.BinDir = binDir
	spec.SettingsDir = GinkgoT().TempDir()
	spec.Records = append(baseRecords(), spec.Records...)
	c, err := testbed.StartCluster(spec)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, e := range c.Entries {
				AddReportEntry(e.ID, lastBytes(e.Output()))
			}
		}
		c.Stop()
	})
	return c
}

func lastBytes(text string) string {
	const limit = 6000
	return text[max(0, len(text)-limit):]
}

func baseRecords() []record.Envelope {
	newEnvelope := func(kind record.Kind, name string, spec any) record.Envelope {
		raw, err := json.Marshal(spec)
		Expect(err).NotTo(HaveOccurred())
		return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw}
	}
	return []record.Envelope{
		newEnvelope(record.KindTier, "high", record.Tier{Priority: 3, DeadlineMs: 30000}),
		newEnvelope(record.KindTier, "low", record.Tier{Priority: 1, DeadlineMs: 30000}),
		newEnvelope(record.KindTeam, "desk", record.Team{Weight: 1, DefaultTier: "low", HighestTier: "high"}),
		newEnvelope(record.KindModel, modelName, record.Model{Versions: []string{"1"}}),
	}
}

func engineSpec(name, domain string, args ...string) testbed.UpstreamSpec {
	return testbed.UpstreamSpec{
		Name: name, Domain: domain, Args: append([]string{"--model", modelVersion}, args...),
		Record: record.Upstream{
			Type: record.TypeEngine, Models: []string{modelVersion}, MaxRequests: 8, MaxTokens: 100000,
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 50, EchoesRequestID: true,
		},
	}
}

func serviceSpec(name, domain string) testbed.UpstreamSpec {
	return testbed.UpstreamSpec{
		Name: name, Domain: domain,
		Record: record.Upstream{Type: record.TypeService, Service: "booking", MaxRequests: 4, EchoesRequestID: true},
	}
}

// callResult is the response or error that a caller received. runState is the entry's
// statement in an error response whether the request ran: not_run, ran or unknown.
type callResult struct {
	status    int
	runState  string
	errorKind string
	requestID string
	body      string
	err       error
}

func (result callResult) String() string {
	return fmt.Sprintf("status %d, run state %q, error kind %q, request %q, error %v, body %.200s", result.status, result.runState, result.errorKind, result.requestID, result.err, result.body)
}

// httpClient opens a connection for each request, because net/http may resend
// a request whose reused connection breaks.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// clientRequest is a request that a caller sends to an entry.
type clientRequest struct {
	method, path, body string
	header             map[string]string
}

func (c clientRequest) send(ctx context.Context, e *testbed.Entry) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, e.CallersURL()+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Rosemarywing-Team", "desk")
	request.Header.Set("Content-Type", "application/json")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	return httpClient.Do(request)
}

// sendAndRead sends the request and reads the complete response.
func (c clientRequest) sendAndRead(e *testbed.Entry) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	response, err := c.send(ctx, e)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, runState: response.Header.Get("Rosemarywing-Run-State"),
		errorKind: response.Header.Get("Rosemarywing-Error"), requestID: response.Header.Get("Rosemarywing-Request-Id"),
		body: string(body), err: err,
	}
}

// sendAndAwaitInProgress sends a request that has to wait for an upstream, and returns
// once the entry answers a probe with in_progress. A probe is the same request with a
// time-out of 50 ms. If a probe arrives first, the request itself is refused with
// in_progress and sent again. A request that waits for less than a second may also be
// refused before a probe has met it, and is sent again then.
func sendAndAwaitInProgress(c clientRequest, e *testbed.Entry, results chan<- callResult) {
	GinkgoHelper()
	var seen atomic.Bool
	go func() {
		for {
			result := c.sendAndRead(e)
			refusedUnseen := !seen.Load() && result.runState == "not_run"
			if result.errorKind != "in_progress" && !refusedUnseen {
				results <- result
				return
			}
		}
	}()
	probe := c.withHeader("Rosemarywing-Timeout-Ms", "50")
	Eventually(func() string {
		kind := probe.sendAndRead(e).errorKind
		seen.Store(kind == "in_progress")
		return kind
	}, waitTimeout, probeInterval).Should(Equal("in_progress"))
}

// probeInterval is the pause between two probes. A probe has the key of the request itself
// while it waits, so that the request must get its turn in between.
const probeInterval = 300 * time.Millisecond

func (c clientRequest) withHeader(name, value string) clientRequest {
	header := map[string]string{name: value}
	for k, v := range c.header {
		if k != name {
			header[k] = v
		}
	}
	c.header = header
	return c
}

// bookingRequest returns a non-idempotent call to the booking service. key
// identifies the booking in the log of the service.
func bookingRequest(key string) clientRequest {
	return clientRequest{method: http.MethodPost, path: "/services/booking/locks", body: fmt.Sprintf(`{"key":%q}`, key)}
}

func chatRequest(text string, tokens int, stream bool) clientRequest {
	body, err := json.Marshal(map[string]any{
		"model": modelName, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	Expect(err).NotTo(HaveOccurred())
	return clientRequest{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

// issueRequestID asks the entry for a request ID.
func issueRequestID(e *testbed.Entry) string {
	GinkgoHelper()
	result := clientRequest{method: http.MethodPost, path: "/v1/requests", body: `{"count":1}`}.sendAndRead(e)
	Expect(result.status).To(Equal(http.StatusOK), result.String())
	var issued struct {
		IDs []string `json:"ids"`
	}
	Expect(json.Unmarshal([]byte(result.body), &issued)).To(Succeed(), result.body)
	Expect(issued.IDs).To(HaveLen(1), result.body)
	return issued.IDs[0]
}

// eventStream reads the server-sent events of a response.
type eventStream struct {
	response    *http.Response
	lines       *bufio.Scanner
	lastEventID string
	text        strings.Builder
	complete    bool
	errorEvent  string
}

func openStream(ctx context.Context, e *testbed.Entry, c clientRequest) *eventStream {
	GinkgoHelper()
	response, err := c.send(ctx, e)
	Expect(err).NotTo(HaveOccurred())
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		Fail(fmt.Sprintf("stream was refused: %s: %s", response.Status, body))
	}
	return newEventStream(response)
}

func newEventStream(response *http.Response) *eventStream {
	return &eventStream{response: response, lines: bufio.NewScanner(response.Body)}
}

// readEvent reads one event. It returns false at the end of the stream.
func (s *eventStream) readEvent() bool {
	var data bytes.Buffer
	id, name := "", ""
	for s.lines.Scan() {
		line := s.lines.Text()
		switch {
		case line == "" && data.Len() > 0:
			s.handleEvent(id, name, data.String())
			return true
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[3:])
		case strings.HasPrefix(line, "event:"):
			name = strings.TrimSpace(line[6:])
		case strings.HasPrefix(line, "data:"):
			data.WriteString(strings.TrimPrefix(line[5:], " "))
		}
	}
	return false
}

func (s *eventStream) handleEvent(id, name, data string) {
	if id != "" {
		s.lastEventID = id
	}
	switch {
	case data == "[DONE]":
		s.complete = true
	case name == "error":
		s.errorEvent = data
	default:
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed(), data)
		for _, c := range chunk.Choices {
			s.text.WriteString(c.Delta.Content)
		}
	}
}

func (s *eventStream) readAll() {
	for s.readEvent() {
	}
	_ = s.response.Body.Close()
}

func serviceLog(u *testbed.Upstream) service.Log {
	GinkgoHelper()
	var log service.Log
	Expect(testbed.GetJSON(u.DirectURL()+"/admin/log", &log)).To(Succeed())
	return log
}

func engineLog(u *testbed.Upstream) engine.Log {
	GinkgoHelper()
	var log engine.Log
	Expect(testbed.GetJSON(u.DirectURL()+"/admin/log", &log)).To(Succeed())
	return log
}

func setServiceFaults(u *testbed.Upstream, faults service.Faults) {
	GinkgoHelper()
	Expect(testbed.PutJSON(u.DirectURL()+"/admin/faults", faults)).To(Succeed())
}

func setEngineFaults(u *testbed.Upstream, faults engine.Faults) {
	GinkgoHelper()
	Expect(testbed.PutJSON(u.DirectURL()+"/admin/faults", faults)).To(Succeed())
}

func setPlatformFaults(c *testbed.Cluster, faults platform.Faults) {
	GinkgoHelper()
	Expect(testbed.PutJSON(c.PlatformURL()+"/admin/faults", faults)).To(Succeed())
}

// executionCount returns how often the services ran the booking with the key, by their
// own logs.
func executionCount(key string, services ...*testbed.Upstream) int {
	GinkgoHelper()
	total := 0
	for _, u := range services {
		total += serviceLog(u).ByKey[key]
	}
	return total
}

// receivedRequests returns how many requests the engines received, by their own
// logs. A request that an engine received twice counts twice.
func receivedRequests(engines ...*testbed.Upstream) int {
	GinkgoHelper()
	total := 0
	for _, u := range engines {
		for _, r := range engineLog(u).Requests {
			total += r.Receipts
		}
	}
	return total
}
