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
	// maxIdleConnsPerHost keeps connections to entries open, as a load balancer does.
	maxIdleConnsPerHost = 64
	// promptWords is the length of a prompt in words, about one token each.
	promptWords    = 200
	requestTimeout = 30 * time.Second
)

// workload sends requests and configuration changes at fixed rates.
type workload struct {
	group                 sync.WaitGroup
	sent, failed, changes atomic.Int64
	client                *http.Client
}

func newClient() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
}

func startWorkload(ctx context.Context, c *testbed.Cluster, scenario Scenario) *workload {
	w := &workload{client: newClient()}
	w.runAtRate(ctx, scenario.Rate, func(i int) {
		w.group.Go(func() { w.sendChat(ctx, c, scenario, i) })
	})
	w.runAtRate(ctx, scenario.Changes, func(i int) {
		if _, err := writeTeamRecord(ctx, w.client, c, i); err == nil {
			w.changes.Add(1)
		}
	})
	return w
}

func (w *workload) runAtRate(ctx context.Context, rate float64, action func(i int)) {
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
				action(i)
			}
		}
	})
}

func (w *workload) counts() (sent, failed, changes int64) {
	return w.sent.Load(), w.failed.Load(), w.changes.Load()
}

func (w *workload) wait() { w.group.Wait() }

func (w *workload) sendChat(ctx context.Context, c *testbed.Cluster, scenario Scenario, i int) {
	e := c.Entries[i%len(c.Entries)]
	header := map[string]string{"Rosemarywing-Team": senderTeam}
	if scenario.Keyed {
		header["Idempotency-Key"] = fmt.Sprintf("capacity-%d", i)
	}
	// Each instance sends to each pool, also if the numbers of instances and pools have
	// a common factor.
	pool := i / len(c.Entries) % scenario.poolCount()
	body := chatBody(modelName(pool), i, scenario.Tokens, true)
	err := post(ctx, w.client, e.CallersURL(), header, body)
	if ctx.Err() != nil {
		return
	}
	w.sent.Add(1)
	if err != nil {
		w.failed.Add(1)
	}
}

// chatBody returns the body of a chat request. The prompt contains the number, so that
// prompts with different numbers differ.
func chatBody(model string, number, tokens int, stream bool) []byte {
	text := fmt.Sprint("request ", number, strings.Repeat(" word", promptWords))
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return body
}

// post sends a chat request and reads the complete response.
func post(ctx context.Context, client *http.Client, base string, header map[string]string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, response.Header.Get("Rosemarywing-Error"))
	}
	return nil
}

// writeTeamRecord changes the configuration: it writes one of recordCount team
// records and returns the version that the platform gave it.
func writeTeamRecord(ctx context.Context, client *http.Client, c *testbed.Cluster, number int) (uint64, error) {
	raw, err := json.Marshal(teamRecord(number))
	if err != nil {
		return 0, err
	}
	const recordCount = 100
	name := fmt.Sprintf("changing-%d", number%recordCount)
	body, err := json.Marshal(record.Envelope{Schema: record.SchemaV2, Kind: record.KindTeam, Name: name, Spec: raw})
	if err != nil {
		return 0, err
	}
	url := fmt.Sprintf("%s/objects/%s/%s", c.PlatformURL(), record.KindTeam, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var written struct {
		Version uint64 `json:"version"`
	}
	if err := json.NewDecoder(response.Body).Decode(&written); err != nil {
		return 0, err
	}
	return written.Version, nil
}
