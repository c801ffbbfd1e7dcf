package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

const (
	// maxIdle keeps connections of callers open, as a load balancer does.
	maxIdle = 64
	// promptWords is the length of a prompt; about as many tokens.
	promptWords = 200
	callTimeout = 30 * time.Second
)

// workload sends requests and configuration changes at fixed rates.
type workload struct {
	group                 sync.WaitGroup
	sent, failed, changed atomic.Int64
	http                  *http.Client
}

func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}
}

func startWork(ctx context.Context, c *testbed.Cluster, shape Shape) *workload {
	w := &workload{http: newClient()}
	w.every(ctx, shape.Rate, func(i int) {
		w.group.Go(func() { w.request(ctx, c, shape, i) })
	})
	w.every(ctx, shape.Changes, func(i int) {
		if _, err := change(ctx, w.http, c, i); err == nil {
			w.changed.Add(1)
		}
	})
	return w
}

func (w *workload) every(ctx context.Context, rate float64, do func(i int)) {
	if rate <= 0 {
		return
	}
	w.group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				do(i)
			}
		}
	})
}

func (w *workload) totals() (sent, failed, changed int64) {
	return w.sent.Load(), w.failed.Load(), w.changed.Load()
}

func (w *workload) wait() { w.group.Wait() }

func (w *workload) request(ctx context.Context, c *testbed.Cluster, shape Shape, i int) {
	e := c.Entries[i%len(c.Entries)]
	header := map[string]string{"Rosemarywing-Team": team}
	if shape.Keyed {
		header["Idempotency-Key"] = fmt.Sprintf("capacity-%d", i)
	}
	body := chatBody(model(i%shape.pools()), i, shape.Tokens, true)
	err := post(ctx, w.http, e.Callers(), header, body)
	if ctx.Err() != nil {
		return
	}
	w.sent.Add(1)
	if err != nil {
		w.failed.Add(1)
	}
}

// chatBody returns a request whose prompt differs from that of other numbers.
func chatBody(model string, number, tokens int, stream bool) []byte {
	text := fmt.Sprint("request ", number, strings.Repeat(" word", promptWords))
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return body
}

// post sends a chat request and reads the whole answer.
func post(ctx context.Context, client *http.Client, base string, header map[string]string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", answer.Status, answer.Header.Get("Rosemarywing-Error"))
	}
	return nil
}

// change writes a team record and returns its version in the platform.
func change(ctx context.Context, client *http.Client, c *testbed.Cluster, number int) (uint64, error) {
	raw, err := json.Marshal(teamRecord(number))
	if err != nil {
		return 0, err
	}
	const names = 100
	name := fmt.Sprintf("changing-%d", number%names)
	body, err := json.Marshal(record.Envelope{Schema: record.SchemaV2, Kind: record.KindTeam, Name: name, Spec: raw})
	if err != nil {
		return 0, err
	}
	url := fmt.Sprintf("%s/objects/%s/%s", c.PlatformURL(), record.KindTeam, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	var written struct {
		Version uint64 `json:"version"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&written); err != nil {
		return 0, err
	}
	return written.Version, nil
}
