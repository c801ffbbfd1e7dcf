package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// Latency holds quantiles of the time until a response is complete, in milliseconds,
// for requests sent directly to an engine and through an entry.
type Latency struct {
	Parallel    int     `json:"parallel"`
	Requests    int     `json:"requests"`
	Failed      int64   `json:"failed"`
	DirectP50Ms float64 `json:"directP50Ms"`
	DirectP99Ms float64 `json:"directP99Ms"`
	EntryP50Ms  float64 `json:"entryP50Ms"`
	EntryP99Ms  float64 `json:"entryP99Ms"`
}

const (
	// maxLatencyMicros is the largest value of the histogram, in microseconds.
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// MeasureLatency sends the same number of requests first to the engine and then to
// the entry, with the given number in parallel.
func MeasureLatency(ctx context.Context, e *testbed.Entry, u *testbed.Upstream, requests, parallel int) (Latency, error) {
	latency := Latency{Parallel: parallel, Requests: requests}
	client := newClient()
	direct := func(i int) error {
		id := fmt.Sprintf("direct-%d-%d-%d", parallel, i, time.Now().UnixNano())
		return post(ctx, client, "http://"+u.Link.Address(), map[string]string{"X-Request-Id": id}, chatBody(modelName(0), i, 1, false))
	}
	viaEntry := func(i int) error {
		return post(ctx, client, e.CallersURL(), map[string]string{"Rosemarywing-Team": senderTeam}, chatBody(modelName(0), i, 1, false))
	}
	// Opens connections and sessions before the measurement.
	for i := range parallel {
		if err := direct(-1 - i); err != nil {
			return latency, fmt.Errorf("request directly to the engine: %w", err)
		}
		if err := viaEntry(-1 - i); err != nil {
			return latency, fmt.Errorf("request through entry %s: %w", e.ID, err)
		}
	}
	directTimes := recordLatencies(requests, parallel, direct, &latency.Failed)
	entryTimes := recordLatencies(requests, parallel, viaEntry, &latency.Failed)
	latency.DirectP50Ms, latency.DirectP99Ms = medianAndP99(directTimes)
	latency.EntryP50Ms, latency.EntryP99Ms = medianAndP99(entryTimes)
	return latency, nil
}

func medianAndP99(h *hdrhistogram.Histogram) (p50, p99 float64) {
	const perMillisecond = 1000
	return float64(h.ValueAtQuantile(50)) / perMillisecond, float64(h.ValueAtQuantile(99)) / perMillisecond
}

func recordLatencies(requests, parallel int, send func(i int) error, failed *int64) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	var next, failures atomic.Int64
	var mu sync.Mutex
	var group sync.WaitGroup
	for range parallel {
		group.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= requests {
					return
				}
				start := time.Now()
				err := send(i)
				elapsed := time.Since(start)
				if err != nil {
					failures.Add(1)
					continue
				}
				mu.Lock()
				_ = histogram.RecordValue(max(1, elapsed.Microseconds()))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	*failed += failures.Load()
	return histogram
}

func getJSON(client *http.Client, url string, value any) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(value)
}
