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

// Latency is the time of whole requests in milliseconds, direct to an engine
// and through an entry.
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
	// longest bounds the histogram in microseconds.
	longest = int64(60 * time.Second / time.Microsecond)
	digits  = 3
)

// MeasureLatency sends the same number of requests to the engine and to the
// entry, with the given number at a time.
func MeasureLatency(ctx context.Context, e *testbed.Entry, u *testbed.Upstream, requests, parallel int) (Latency, error) {
	l := Latency{Parallel: parallel, Requests: requests}
	client := newClient()
	direct := func(i int) error {
		id := fmt.Sprintf("direct-%d-%d-%d", parallel, i, time.Now().UnixNano())
		return post(ctx, client, "http://"+u.Link.Address(), map[string]string{"X-Request-Id": id}, chatBody(model(0), i, 1, false))
	}
	through := func(i int) error {
		return post(ctx, client, e.Callers(), map[string]string{"Rosemarywing-Team": team}, chatBody(model(0), i, 1, false))
	}
	// The first requests open connections and sessions.
	for i := range parallel {
		if err := direct(-1 - i); err != nil {
			return l, fmt.Errorf("direct: %w", err)
		}
		if err := through(-1 - i); err != nil {
			return l, fmt.Errorf("through %s: %w", e.ID, err)
		}
	}
	directTimes := timeAll(requests, parallel, direct, &l.Failed)
	entryTimes := timeAll(requests, parallel, through, &l.Failed)
	l.DirectP50Ms, l.DirectP99Ms = quantiles(directTimes)
	l.EntryP50Ms, l.EntryP99Ms = quantiles(entryTimes)
	return l, nil
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99 float64) {
	const perMillisecond = 1000
	return float64(h.ValueAtQuantile(50)) / perMillisecond, float64(h.ValueAtQuantile(99)) / perMillisecond
}

func timeAll(requests, parallel int, do func(i int) error, failed *int64) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, longest, digits)
	var next, errors atomic.Int64
	var mu sync.Mutex
	var group sync.WaitGroup
	for range parallel {
		group.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= requests {
					return
				}
				began := time.Now()
				err := do(i)
				took := time.Since(began)
				if err != nil {
					errors.Add(1)
					continue
				}
				mu.Lock()
				_ = histogram.RecordValue(max(1, took.Microseconds()))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	*failed += errors.Load()
	return histogram
}

func getJSON(client *http.Client, url string, value any) error {
	answer, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, answer.Status)
	}
	return json.NewDecoder(answer.Body).Decode(value)
}
