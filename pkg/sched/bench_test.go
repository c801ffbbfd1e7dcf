package sched_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

const benchModels = 36

// newBenchPool returns a pool whose upstreams serve the given number of models
// each, and a generator of requests with twelve prefix hashes, some of them
// shared.
func newBenchPool(upstreams, modelsEach int) (*sched.Pool, func(i int) sched.Request) {
	p := sched.New(sched.Config{})
	var records []record.Upstream
	for i := range upstreams {
		r := record.Upstream{
			Name: fmt.Sprintf("u%03d", i), MaxRequests: 32, MaxTokens: 120_000,
			PrefillTokensPerSecond: 4000 * (1 + i%3), DecodeTokensPerSecond: 30 + 20*(i%3),
		}
		for j := range modelsEach {
			r.Models = append(r.Models, fmt.Sprintf("m%d@1", (i+j)%benchModels))
		}
		records = append(records, r)
	}
	p.SetUpstreams(start, records)
	random := rand.New(rand.NewPCG(1, 1))
	return p, func(i int) sched.Request {
		work := sched.Work{
			Tier: 1 + i%3, Team: fmt.Sprint("team", i%175), Model: fmt.Sprint("m", random.IntN(benchModels)),
			PromptTokens: 200 + random.IntN(4000), OutputTokens: 100, Fingerprint: random.Uint64(),
		}
		for length := 1; length <= 12; length++ {
			hash := uint64(random.IntN(40)*100 + length)
			if length > 6 {
				hash = random.Uint64()
			}
			work.PrefixHashes = append(work.PrefixHashes, hash)
			work.PrefixTokens = append(work.PrefixTokens, 16*length)
		}
		return sched.Request{ID: fmt.Sprint("r", i), Holder: fmt.Sprint("entry", i%60), Work: work}
	}
}

// BenchmarkDecision measures one release and one acquire, with about ten
// requests per upstream in flight. p50 and p99 are those of the acquire alone.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{100, 300, 600} {
		for _, modelsEach := range []int{3, benchModels} {
			b.Run(fmt.Sprintf("upstreams=%d/models=%d", upstreams, modelsEach), func(b *testing.B) {
				p, next := newBenchPool(upstreams, modelsEach)
				now := start
				requests := make([]sched.Request, b.N+10*upstreams)
				for i := range requests {
					requests[i] = next(i)
				}
				latencies := make([]time.Duration, 0, b.N)
				release := func(i int) {
					p.Release(now, sched.Result{
						RequestID: requests[i].ID, Holder: requests[i].Holder, Outcome: sched.Completed,
						FirstToken: 200 * time.Millisecond, Total: 4 * time.Second, OutputTokens: 100,
					})
				}
				acquire := func(i int) {
					now = now.Add(time.Second / 500)
					requests[i].Deadline = now.Add(10 * time.Second)
					startedAt := time.Now()
					p.Acquire(now, requests[i])
					latencies = append(latencies, time.Since(startedAt))
				}
				for i := range 10 * upstreams {
					acquire(i)
				}
				latencies = latencies[:0]
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					release(i)
					acquire(i + 10*upstreams)
				}
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[len(latencies)/2].Nanoseconds()), "p50-ns")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds()), "p99-ns")
			})
		}
	}
}

// BenchmarkState measures the memory per upstream, per waiting request and per
// prefix entry.
func BenchmarkState(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	const upstreams, fillRequests, waiting, entries = 600, 1500, 1000, 300
	for range b.N {
		before := heap()
		p, next := newBenchPool(upstreams, 3)
		afterUpstreams := heap()
		for u := range upstreams {
			hashes := make([]uint64, entries)
			for i := range hashes {
				hashes[i] = uint64(u*entries + i)
			}
			p.ReportCache(start, fmt.Sprintf("u%03d", u), hashes, nil)
		}
		afterPrefixes := heap()
		// With a limit share of 0, each upstream takes one request.
		p.SetLimitShare(start, 0)
		var requests []sched.Request
		for i := range fillRequests + waiting {
			r := next(i)
			r.Work.PromptTokens = 100
			r.Work.PrefixHashes, r.Work.PrefixTokens = nil, nil
			r.Deadline = start.Add(time.Hour)
			requests = append(requests, r)
		}
		for _, r := range requests[:fillRequests] {
			p.Acquire(start, r)
		}
		beforeWaiting := heap()
		granted := 0
		for _, r := range requests[fillRequests:] {
			granted += len(p.Acquire(start, r).Grants)
		}
		afterWaiting := heap()
		if granted > 0 {
			b.Fatalf("%d requests were granted, want all queued", granted)
		}
		b.ReportMetric((afterUpstreams-before)/upstreams, "B/upstream")
		b.ReportMetric((afterPrefixes-afterUpstreams)/(upstreams*entries), "B/prefix")
		b.ReportMetric((afterWaiting-beforeWaiting)/waiting, "B/request")
		runtime.KeepAlive(p)
		runtime.KeepAlive(requests)
	}
}
