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

// fakeEntry hands chat completions to an engine as an entry does, and answers
// service calls itself.
type fakeEntry struct {
	engine http.Handler
	count  atomic.Int64
	before func(w http.ResponseWriter, r *http.Request) bool
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := "r" + strconv.FormatInt(f.count.Add(1), 10)
	r.Header.Set("X-Request-Id", id)
	w.Header().Set("Rosemarywing-Request-Id", id)
	if f.before != nil && !f.before(w, r) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/services/") {
		_, _ = io.Copy(w, r.Body)
		return
	}
	f.engine.ServeHTTP(w, r)
}

func refuse(kind, state string) func(http.ResponseWriter, *http.Request) bool {
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

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func chat(stream bool) workload.Arrival {
	return workload.Arrival{
		Team: "a", Tier: workload.TierHigh, Model: "m", PromptTokens: 300, PrefixTokens: 128, PrefixID: "p",
		OutputTokens: 5, Stream: stream, Deadline: time.Second,
	}
}

// Guards against requests that are counted as good although they were late,
// wrong, cut or refused, and against refusals counted under a wrong kind.
func TestOutcomes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	late := func(http.ResponseWriter, *http.Request) bool { clock.Advance(2 * time.Second); return true }
	wrong := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Rosemarywing-Request-Id", "another")
		return true
	}
	swapped := func(w http.ResponseWriter, _ *http.Request) bool {
		_, _ = io.WriteString(w, `{"key":"order 9"}`)
		return false
	}
	call := workload.Arrival{Tier: workload.TierHigh, Service: "s", Class: "order", Deadline: time.Second}
	cases := []struct {
		name    string
		arrival workload.Arrival
		faults  engine.Faults
		before  func(http.ResponseWriter, *http.Request) bool
		check   func(g Gomega, r load.TierReport)
	}{
		{"stream", chat(true), engine.Faults{}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Good).To(Equal(1))
			g.Expect(r.FirstToken.Count).To(Equal(int64(1)))
			g.Expect(r.InterToken.Count).To(Equal(int64(4)))
		}},
		{"whole", chat(false), engine.Faults{}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Good).To(Equal(1))
			g.Expect(r.Whole.Count).To(Equal(int64(1)))
		}},
		{"service", call, engine.Faults{}, nil, func(g Gomega, r load.TierReport) { g.Expect(r.Good).To(Equal(1)) }},
		{"late", chat(true), engine.Faults{}, late, func(g Gomega, r load.TierReport) {
			g.Expect(r.Late).To(Equal(1))
			g.Expect(r.FirstToken.P50).To(BeNumerically("~", 2000, 2))
		}},
		{"refused", chat(true), engine.Faults{}, refuse("overloaded", "not_run"), func(g Gomega, r load.TierReport) {
			g.Expect(r.Refused).To(Equal(map[string]int{"overloaded": 1}))
		}},
		{"failed", chat(true), engine.Faults{}, refuse("upstream_broken", "unknown"), func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"upstream_broken": 1}))
		}},
		{"cut", chat(true), engine.Faults{CutAfter: 3}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"answer_incomplete": 1}))
		}},
		{"cut whole", chat(false), engine.Faults{CutAfter: 3}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"answer_incomplete": 1}))
		}},
		{"gap", chat(true), engine.Faults{SkipEvery: 2}, nil, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"answer_incomplete": 1}))
		}},
		{"crossed stream", chat(true), engine.Faults{}, wrong, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{"crossed_answer": 1}))
		}},
		{"crossed whole", chat(false), engine.Faults{}, wrong, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{load.KindWrongAnswer: 1}))
		}},
		{"crossed service", call, engine.Faults{}, swapped, func(g Gomega, r load.TierReport) {
			g.Expect(r.Failed).To(Equal(map[string]int{load.KindWrongAnswer: 1}))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			entry := &fakeEntry{engine: startEngine(t, c.faults).Handler(), before: c.before}
			config := load.Config{Entries: []string{serve(t, entry)}, Clock: clock}
			results, err := load.Run(context.Background(), config, []workload.Arrival{c.arrival})
			g.Expect(err).NotTo(HaveOccurred())
			reports := load.Tiers([]workload.Tier{{Name: workload.TierHigh}}, results)
			g.Expect(reports).To(HaveLen(2))
			c.check(g, reports[0])
			g.Expect(reports[1].Good).To(Equal(reports[0].Good), "total")
			g.Expect(reports[0].Goodput).To(Equal(float64(reports[0].Good)))
		})
	}
}

// Guards against a closed loop: all arrivals must be sent although none is
// answered before the last one has arrived.
func TestOpenLoop(t *testing.T) {
	g := NewWithT(t)
	const count = 50
	clock := clockwork.NewFakeClock()
	entry := &fakeEntry{engine: startEngine(t, engine.Faults{}).Handler()}
	all := make(chan struct{})
	var seen atomic.Int64
	entry.before = func(http.ResponseWriter, *http.Request) bool {
		if seen.Add(1) == count {
			close(all)
		}
		<-all
		return true
	}
	arrivals := make([]workload.Arrival, count)
	for index := range arrivals {
		arrivals[index] = chat(index%2 == 0)
		arrivals[index].Index = index
		arrivals[index].At = time.Duration(index) * time.Second
		arrivals[index].Deadline = time.Hour
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := serve(t, entry)
	go func() {
		// One advance for each arrival after the first. Further ones could
		// reach the end of the drain.
		for range count - 1 {
			_ = clock.BlockUntilContext(ctx, 1)
			clock.Advance(100 * time.Millisecond)
		}
	}()
	results, err := load.Run(ctx, load.Config{Entries: []string{address}, Speed: 10, Clock: clock, Drain: time.Hour}, arrivals)
	g.Expect(err).NotTo(HaveOccurred())
	for _, result := range results {
		g.Expect(result.InTime()).To(BeTrue(), result.Kind)
	}
}

// Guards against wasted prefill that is not counted: repeated on a second
// engine, discarded, or done before the run.
func TestPrefill(t *testing.T) {
	g := NewWithT(t)
	engines := []*engine.Engine{startEngine(t, engine.Faults{}), startEngine(t, engine.Faults{})}
	var addresses, entries []string
	for _, standin := range engines {
		addresses = append(addresses, serve(t, standin.Handler()))
		entries = append(entries, serve(t, &fakeEntry{engine: standin.Handler()}))
	}
	send := func(entry string, index int) load.Result {
		arrival := chat(true)
		arrival.Index = index
		results, err := load.Run(context.Background(), load.Config{Entries: []string{entry}}, []workload.Arrival{arrival})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(results[0].Complete).To(BeTrue(), results[0].Kind)
		return results[0]
	}
	send(entries[0], 0)
	before, err := load.Logs(context.Background(), addresses)
	g.Expect(err).NotTo(HaveOccurred())
	send(entries[0], 0)
	results := []load.Result{send(entries[1], 1), send(entries[1], 2)}
	after, err := load.Logs(context.Background(), addresses)
	g.Expect(err).NotTo(HaveOccurred())

	report := load.Prefill(before, after, results)
	g.Expect(report.Needed).To(BeNumerically(">", 300))
	firstEngine := after[0].PrefillTokens - before[0].PrefillTokens
	g.Expect(report.Wasted).To(BeNumerically("~", firstEngine, 2), "the first engine's answer counts for nothing")
	report = load.Prefill(nil, after, results)
	g.Expect(report.Wasted).To(BeNumerically("~", after[0].PrefillTokens, 2), "nothing subtracted")

	after[0].Requests[0].State = engine.Cancelled
	after[0].Requests[0].Receipts = 2
	report = load.Prefill(nil, after, results)
	g.Expect(report.Discarded).To(Equal(after[0].Requests[0].PrefillTokens))
	g.Expect(report.ReceivedAgain).To(Equal(1))
	logs, err := load.Logs(context.Background(), []string{"127.0.0.1:1"})
	g.Expect(err).To(HaveOccurred())
	g.Expect(load.Prefill(nil, logs, nil).Unread).To(Equal(1))
}

// Guards against a report that cannot be read back, and against a table that
// lacks a tier or a refusal.
func TestReportFormats(t *testing.T) {
	g := NewWithT(t)
	results := []load.Result{
		{Arrival: chat(true), Complete: true, FirstToken: time.Millisecond},
		{Arrival: chat(true), Refused: true, Kind: "overloaded"},
	}
	profile, err := workload.Named("kifaru")
	g.Expect(err).NotTo(HaveOccurred())
	report := load.Report{Workload: "kifaru", Tiers: load.Tiers(profile.Tiers, results)}
	content, err := json.Marshal(report)
	g.Expect(err).NotTo(HaveOccurred())
	var again load.Report
	g.Expect(json.Unmarshal(content, &again)).To(Succeed())
	g.Expect(again).To(Equal(report))
	var table bytes.Buffer
	g.Expect(report.WriteTable(&table)).To(Succeed())
	for _, text := range []string{"high", "normal", "low", "total", "0.500", "overloaded 1"} {
		g.Expect(table.String()).To(ContainSubstring(text))
	}
}
