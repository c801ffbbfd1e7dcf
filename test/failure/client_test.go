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
	// patience bounds how long a failing test waits; no test passes by it.
	patience = 60 * time.Second
	model    = "assistant"
	version  = "assistant@1"
)

// cluster starts a deployment and stops it after the test.
func cluster(spec testbed.Spec) *testbed.Cluster {
	GinkgoHelper()
	spec.Bin = bin
	spec.Dir = GinkgoT().TempDir()
	spec.Records = append(baseRecords(), spec.Records...)
	c, err := testbed.StartCluster(spec)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, e := range c.Entries {
				AddReportEntry(e.ID, tail(e.Output()))
			}
		}
		c.Stop()
	})
	return c
}

func tail(text string) string {
	const limit = 6000
	return text[max(0, len(text)-limit):]
}

func baseRecords() []record.Envelope {
	envelope := func(kind record.Kind, name string, spec any) record.Envelope {
		raw, err := json.Marshal(spec)
		Expect(err).NotTo(HaveOccurred())
		return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw}
	}
	return []record.Envelope{
		envelope(record.KindTier, "high", record.Tier{Priority: 3, DeadlineMs: 30000}),
		envelope(record.KindTier, "low", record.Tier{Priority: 1, DeadlineMs: 30000}),
		envelope(record.KindTeam, "desk", record.Team{Weight: 1, DefaultTier: "low", HighestTier: "high"}),
		envelope(record.KindModel, model, record.Model{Versions: []string{"1"}}),
	}
}

func engineSpec(name, domain string, args ...string) testbed.Engine {
	return testbed.Engine{
		Name: name, Domain: domain, Args: append([]string{"--model", version}, args...),
		Record: record.Upstream{
			Type: record.TypeEngine, Models: []string{version}, MaxRequests: 8, MaxTokens: 100000,
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 50, EchoesRequestID: true,
		},
	}
}

func serviceSpec(name, domain string) testbed.Engine {
	return testbed.Engine{
		Name: name, Domain: domain,
		Record: record.Upstream{Type: record.TypeService, Service: "booking", MaxRequests: 4, EchoesRequestID: true},
	}
}

// answer is what a caller saw.
type answer struct {
	status    int
	runState  string
	kind      string
	requestID string
	body      string
	err       error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, run state %q, kind %q, request %q, error %v, body %.200s", a.status, a.runState, a.kind, a.requestID, a.err, a.body)
}

// caller sends requests without retries of its own.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call is a request of a caller.
type call struct {
	method, path, body string
	header             map[string]string
}

func (c call) send(ctx context.Context, e *testbed.Entry) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, e.Callers()+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Rosemarywing-Team", "desk")
	request.Header.Set("Content-Type", "application/json")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	return caller.Do(request)
}

// do sends the request and reads the whole answer.
func (c call) do(e *testbed.Entry) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	response, err := c.send(ctx, e)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, runState: response.Header.Get("Rosemarywing-Run-State"),
		kind: response.Header.Get("Rosemarywing-Error"), requestID: response.Header.Get("Rosemarywing-Request-Id"),
		body: string(body), err: err,
	}
}

// sendUntilHeld sends a request that has to wait, and returns when the entry
// holds it. The probes give up soon, and the request is sent again if a probe
// was there first.
func sendUntilHeld(c call, e *testbed.Entry, result chan<- answer) {
	GinkgoHelper()
	go func() {
		for {
			if a := c.do(e); a.kind != "in_progress" {
				result <- a
				return
			}
		}
	}()
	probe := c.with("Rosemarywing-Timeout-Ms", "50")
	Eventually(func() string { return probe.do(e).kind }, patience).Should(Equal("in_progress"))
}

func (c call) with(name, value string) call {
	header := map[string]string{name: value}
	for k, v := range c.header {
		if k != name {
			header[k] = v
		}
	}
	c.header = header
	return c
}

// lock is a call that must not be repeated. key tells bookings apart.
func lock(key string) call {
	return call{method: http.MethodPost, path: "/services/booking/locks", body: fmt.Sprintf(`{"key":%q}`, key)}
}

func chat(text string, tokens int, stream bool) call {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	Expect(err).NotTo(HaveOccurred())
	return call{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

// issue gets a request ID from an entry.
func issue(e *testbed.Entry) string {
	GinkgoHelper()
	a := call{method: http.MethodPost, path: "/v1/requests", body: `{"count":1}`}.do(e)
	Expect(a.status).To(Equal(http.StatusOK), a.String())
	var issued struct {
		IDs []string `json:"ids"`
	}
	Expect(json.Unmarshal([]byte(a.body), &issued)).To(Succeed(), a.body)
	Expect(issued.IDs).To(HaveLen(1), a.body)
	return issued.IDs[0]
}

// stream reads server-sent events of an open answer.
type stream struct {
	response *http.Response
	lines    *bufio.Scanner
	lastID   string
	text     strings.Builder
	done     bool
	failure  string
}

func openStream(ctx context.Context, e *testbed.Entry, c call) *stream {
	GinkgoHelper()
	response, err := c.send(ctx, e)
	Expect(err).NotTo(HaveOccurred())
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		Fail(fmt.Sprintf("stream: %s: %s", response.Status, body))
	}
	return newStream(response)
}

func newStream(response *http.Response) *stream {
	return &stream{response: response, lines: bufio.NewScanner(response.Body)}
}

// next reads one event and reports whether there was one.
func (s *stream) next() bool {
	var data bytes.Buffer
	id, name := "", ""
	for s.lines.Scan() {
		line := s.lines.Text()
		switch {
		case line == "" && data.Len() > 0:
			s.take(id, name, data.String())
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

func (s *stream) take(id, name, data string) {
	if id != "" {
		s.lastID = id
	}
	switch {
	case data == "[DONE]":
		s.done = true
	case name == "error":
		s.failure = data
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

func (s *stream) readAll() {
	for s.next() {
	}
	_ = s.response.Body.Close()
}

func serviceLog(u *testbed.Upstream) service.Log {
	GinkgoHelper()
	var log service.Log
	Expect(testbed.GetJSON(u.URL()+"/admin/log", &log)).To(Succeed())
	return log
}

func engineLog(u *testbed.Upstream) engine.Log {
	GinkgoHelper()
	var log engine.Log
	Expect(testbed.GetJSON(u.URL()+"/admin/log", &log)).To(Succeed())
	return log
}

func setServiceFaults(u *testbed.Upstream, faults service.Faults) {
	GinkgoHelper()
	Expect(testbed.PutJSON(u.URL()+"/admin/faults", faults)).To(Succeed())
}

func setEngineFaults(u *testbed.Upstream, faults engine.Faults) {
	GinkgoHelper()
	Expect(testbed.PutJSON(u.URL()+"/admin/faults", faults)).To(Succeed())
}

func setPlatformFaults(c *testbed.Cluster, faults platform.Faults) {
	GinkgoHelper()
	Expect(testbed.PutJSON(c.PlatformURL()+"/admin/faults", faults)).To(Succeed())
}

// executions counts how often the services ran a booking.
func executions(key string, services ...*testbed.Upstream) int {
	GinkgoHelper()
	total := 0
	for _, u := range services {
		total += serviceLog(u).ByKey[key]
	}
	return total
}

// receipts counts how many requests the engines received.
func receipts(engines ...*testbed.Upstream) int {
	GinkgoHelper()
	total := 0
	for _, u := range engines {
		for _, r := range engineLog(u).Requests {
			total += r.Receipts
		}
	}
	return total
}
