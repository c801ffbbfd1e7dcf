package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/load"
	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
	"github.com/rosemarywing/rosemarywing/internal/workload"
)

// fakeEntry stands in for an entry daemon: it passes chat completions to an engine
// and answers service calls itself. If intercept is set and returns false, it has
// already answered the request.
type fakeEntry struct {
	engine       http.Handler
	requestCount atomic.Int64
	intercept    func(w http.ResponseWriter, r *http.Request) bool
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := "r" + strconv.FormatInt(f.requestCount.Add(1), 10)
	r.Header.Set("X-Request-Id", id)
	w.Header().Set("Rosemarywing-Request-Id", id)
	if f.intercept != nil && !f.intercept(w, r) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/services/") {
		_, _ = io.Copy(w, r.Body)
		return
	}
	f.engine.ServeHTTP(w, r)
}

func refuseWith(kind, state string) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Rosemarywing-Error", kind)
		w.Header().Set("Rosemarywing-Run-State", state)
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
}

func startEngine(t *testing.T, faults engine.Faults) *engine.Engine {
	t.Helper()
	standin := engine.New(engine.Config{Faults: faults})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); standin.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return standin
}

func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func chatArrival(stream bool) workload.Arrival {
	return workload.Arrival{
		Team: "a", Tier: workload.TierHigh, Model: "m", PromptTokens: 300, PrefixTokens: 128, PrefixID: "p",
		OutputTokens: 5, Stream: stream, Deadline: time.Second,
	}
}

// Guards against requests that are counted as good although their answers are
// late, wrong, incomplete or refused, and against a wrong error kind.
func TestRunOutcomeOfEachRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	delayAnswer := func(http.ResponseWriter, *http.Request) bool { clock.Advance(2 * time.Second); return true }
	changeRequestID := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Rosemarywing-Request-Id", "another")
		return true
	}
	answerOtherCall := func(w http.ResponseWriter, _ *http.Request) bool {
		_, _ = io.WriteString(w, `{"key":"order 9"}`)
		return false
	}
	serviceArrival := workload.Arrival{Tier: workload.TierHigh, Service: "s", Class: "order", Deadline: time.Second}
	cases := []struct {
		name      string
		arrival   workload.Arrival
		faults    engine.Faults
		intercept func(http.ResponseWriter, *http.Request) bool
		check     func(g Gomega, r load.TierReport)
	}{
		{"stream", chatArrival(true), engine.Faults{}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Good).To(Equal(1))
			g.Expect(r.FirstToken.Count).To(Equal(int64(1)))
			g.Expect(r.InterToken.Count).To(Equal(int64(4)))
		}},
		{"not streamed", chatArrival(false), engine.Faults{}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Good).To(Equal(1))
			g.Expect(r.ResponseTime.Count).To(Equal(int64(1)))
		}},
		{"service", serviceArrival, engine.Faults{}, nil, func(g Gomega, r load.TierReport) { g.Expect(r.Good).To(Equal(1)) }},
		{"late", chatArrival(true), engine.Faults{}, delayAnswer, func(g Gomega, r load.TierReport) {
			g.Expect(r.Late).To(Equal(1))
			g.Expect(r.FirstToken.P50).To(BeNumerically("~", 2000, 2))
		}},
		{"refused", chatArrival(true), engine.Faults{}, refuseWith("overloaded", "not_run"), func(g Gomega, r load.TierReport) {
			g.Expect(r.Refused).To(Equal(map[string]int{"overloaded": 1}))
		}},
		{"failed", chatArrival(true), engine.Faults{}, refuseWith("upstream_broken", "unknown"), func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"upstream_broken": 1}))
		}},
		{"incomplete stream", chatArrival(true), engine.Faults{CutAfter: 3}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"answer_incomplete": 1}))
		}},
		{"incomplete answer", chatArrival(false), engine.Faults{CutAfter: 3}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"answer_incomplete": 1}))
		}},
		{"missing event", chatArrival(true), engine.Faults{SkipEvery: 2}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"answer_incomplete": 1}))
		}},
		{"stream of another request", chatArrival(true), engine.Faults{}, changeRequestID, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"crossed_answer": 1}))
		}},
		{"answer to another request", chatArrival(false), engine.Faults{}, changeRequestID, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{load.KindWrongAnswer: 1}))
		}},
		{"service answer to another request", serviceArrival, engine.Faults{}, answerOtherCall, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{load.KindWrongAnswer: 1}))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			entry := &fakeEntry{engine: startEngine(t, c.faults).Handler(), intercept: c.intercept}
			config := load.Config{EntryAddresses: []string{startServer(t, entry)}, Clock: clock}
			results, err := load.Run(context.Background(), config, []workload.Arrival{c.arrival})
			g.Expect(err).NotTo(HaveOccurred())
			reports := load.SummarizeTiers([]workload.Tier{{Name: workload.TierHigh}}, results)
			g.Expect(reports).To(HaveLen(2))
			c.check(g, reports[0])
			g.Expect(reports[1].Good).To(Equal(reports[0].Good), "total")
			g.Expect(reports[0].Goodput).To(Equal(float64(reports[0].Good)))
		})
	}
}

// Guards against a closed loop: all requests must be sent although none is
// answered before the last one has arrived.
func TestRunIsOpenLoop(t *testing.T) {
	g := NewWithT(t)
	const count = 50
	clock := clockwork.NewFakeClock()
	entry := &fakeEntry{engine: startEngine(t, engine.Faults{}).Handler()}
	allArrived := make(chan struct{})
	var arrived atomic.Int64
	entry.intercept = func(http.ResponseWriter, *http.Request) bool {
		if arrived.Add(1) == count {
			close(allArrived)
		}
		<-allArrived
		return true
	}
	arrivals := make([]workload.Arrival, count)
	for index := range arrivals {
		arrivals[index] = chatArrival(index%2 == 0)
		arrivals[index].Index = index
		arrivals[index].At = time.Duration(index) * time.Second
		arrivals[index].Deadline = time.Hour
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := startServer(t, entry)
	go func() {
		// One advance for each arrival after the first. Further advances could reach
		// the drain time-out.
		for range count - 1 {
			_ = clock.BlockUntilContext(ctx, 1)
			clock.Advance(100 * time.Millisecond)
		}
	}()
	results, err := load.Run(ctx, load.Config{EntryAddresses: []string{address}, Speed: 10, Clock: clock, DrainTimeout: time.Hour}, arrivals)
	g.Expect(err).NotTo(HaveOccurred())
	for _, result := range results {
		g.Expect(result.InTime()).To(BeTrue(), result.Kind)
	}
}

// Guards against errors in the count of wasted prompt tokens: tokens processed
// again by a second engine, discarded tokens, and tokens processed before the run.
func TestPrefillReportCountsWaste(t *testing.T) {
	g := NewWithT(t)
	engines := []*engine.Engine{startEngine(t, engine.Faults{}), startEngine(t, engine.Faults{})}
	var addresses, entries []string
	for _, standin := range engines {
		addresses = append(addresses, startServer(t, standin.Handler()))
		entries = append(entries, startServer(t, &fakeEntry{engine: standin.Handler()}))
	}
	send := func(entry string, index int) load.Result {
		arrival := chatArrival(true)
		arrival.Index = index
		results, err := load.Run(context.Background(), load.Config{EntryAddresses: []string{entry}}, []workload.Arrival{arrival})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(results[0].Complete).To(BeTrue(), results[0].Kind)
		return results[0]
	}
	send(entries[0], 0)
	before, err := load.FetchLogs(context.Background(), addresses)
	g.Expect(err).NotTo(HaveOccurred())
	send(entries[0], 0)
	results := []load.Result{send(entries[1], 1), send(entries[1], 2)}
	after, err := load.FetchLogs(context.Background(), addresses)
	g.Expect(err).NotTo(HaveOccurred())

	report := load.NewPrefillReport(before, after, results)
	g.Expect(report.MinTokens).To(BeNumerically(">", 300))
	firstEngineTokens := after[0].PrefillTokens - before[0].PrefillTokens
	g.Expect(report.WastedTokens).To(BeNumerically("~", firstEngineTokens, 2), "tokens of the first engine are wasted")
	report = load.NewPrefillReport(nil, after, results)
	g.Expect(report.WastedTokens).To(BeNumerically("~", after[0].PrefillTokens, 2), "without logs from before the run")

	after[0].Requests[0].State = engine.Cancelled
	after[0].Requests[0].Receipts = 2
	report = load.NewPrefillReport(nil, after, results)
	g.Expect(report.DiscardedTokens).To(Equal(after[0].Requests[0].PrefillTokens))
	g.Expect(report.RepeatedReceipts).To(Equal(1))
	logs, err := load.FetchLogs(context.Background(), []string{"127.0.0.1:1"})
	g.Expect(err).To(HaveOccurred())
	g.Expect(load.NewPrefillReport(nil, logs, nil).UnreadableLogs).To(Equal(1))
}

// Guards against a report that changes when it is written as JSON and read back,
// and against a table without a tier or a refusal.
func TestReportJSONAndTable(t *testing.T) {
	g := NewWithT(t)
	results := []load.Result{
		{Arrival: chatArrival(true), Complete: true, FirstToken: time.Millisecond},
		{Arrival: chatArrival(true), Refused: true, Kind: "overloaded"},
	}
	profile, err := workload.ProfileByName("kifaru")
	g.Expect(err).NotTo(HaveOccurred())
	report := load.Report{Workload: "kifaru", Tiers: load.SummarizeTiers(profile.Tiers, results)}
	content, err := json.Marshal(report)
	g.Expect(err).NotTo(HaveOccurred())
	var decoded load.Report
	g.Expect(json.Unmarshal(content, &decoded)).To(Succeed())
	g.Expect(decoded).To(Equal(report))
	var table bytes.Buffer
	g.Expect(report.WriteTable(&table)).To(Succeed())
	for _, text := range []string{"high", "normal", "low", "total", "0.500", "overloaded 1"} {
		g.Expect(table.String()).To(ContainSubstring(text))
	}
}
