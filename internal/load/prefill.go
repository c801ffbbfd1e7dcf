package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// prefixBlockTokens is the number of tokens in a block of the prefix cache.
const prefixBlockTokens = upstream.PrefixBlockBytes / upstream.BytesPerToken

// PrefillReport compares the prompt tokens that the engines processed with the
// minimum that the answered requests needed.
type PrefillReport struct {
	// ProcessedTokens were processed by engines; CachedTokens were taken from
	// their prefix caches.
	ProcessedTokens int `json:"done"`
	CachedTokens    int `json:"cached"`
	// MinTokens is the number of prompt tokens of the answered requests if all
	// engines together processed each distinct prefix block once.
	MinTokens int `json:"needed"`
	// WastedTokens is ProcessedTokens less MinTokens, at least 0, and WastedShare
	// its share of ProcessedTokens. Separate failure domains and limited caches
	// make some waste unavoidable.
	WastedTokens int     `json:"wasted"`
	WastedShare  float64 `json:"wastedShare"`
	// DiscardedTokens were processed for requests that the engine did not finish.
	DiscardedTokens int `json:"discarded"`
	// RepeatedReceipts counts request IDs that an engine received more than once.
	RepeatedReceipts int `json:"receivedAgain"`
	// UnreadableLogs counts engines whose log could not be read. The other figures
	// do not include them.
	UnreadableLogs int `json:"unread"`
}

// FetchLogs fetches the request logs of the engines at the addresses. If a log cannot
// be read, for example because the engine has crashed, its Log is left empty; the error
// names all such engines.
func FetchLogs(ctx context.Context, addresses []string) ([]engine.Log, error) {
	logs := make([]engine.Log, len(addresses))
	var errs []error
	for index, address := range addresses {
		if err := fetchLog(ctx, address, &logs[index]); err != nil {
			logs[index] = engine.Log{}
			errs = append(errs, fmt.Errorf("read log of engine at %s: %w", address, err))
		}
	}
	return logs, errors.Join(errs...)
}

func fetchLog(ctx context.Context, address string, log *engine.Log) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/log", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(log)
}

// NewPrefillReport computes the prefill report from the engines' logs before and
// after a run and the results of the run. The log of an engine that restarted during the
// run is counted from zero.
func NewPrefillReport(before, after []engine.Log, results []Result) PrefillReport {
	var report PrefillReport
	for index, log := range after {
		if log.Incarnation == "" {
			report.UnreadableLogs++
			continue
		}
		previous := engine.Log{}
		if index < len(before) && before[index].Incarnation == log.Incarnation {
			previous = before[index]
		}
		report.ProcessedTokens += log.PrefillTokens - previous.PrefillTokens
		report.CachedTokens += log.CachedTokens - previous.CachedTokens
		report.addRequests(log.Requests[len(previous.Requests):])
	}
	report.MinTokens = minPrefillTokens(results)
	report.WastedTokens = max(0, report.ProcessedTokens-report.MinTokens)
	if report.ProcessedTokens > 0 {
		report.WastedShare = float64(report.WastedTokens) / float64(report.ProcessedTokens)
	}
	return report
}

func (r *PrefillReport) addRequests(requests []engine.RequestRecord) {
	for _, request := range requests {
		if request.State != engine.Finished {
			r.DiscardedTokens += request.PrefillTokens
		}
		if request.Receipts > 1 {
			r.RepeatedReceipts++
		}
	}
}

// minPrefillTokens returns the number of tokens of the answered prompts, with each
// distinct prefix block counted once.
func minPrefillTokens(results []Result) int {
	seen := map[uint64]bool{}
	tokens := 0
	for _, result := range results {
		if !result.Complete || result.Arrival.Service != "" {
			continue
		}
		text := upstream.PromptText(result.Arrival.Messages())
		hashes := upstream.PrefixHashes(text)
		tokens += len(text)/upstream.BytesPerToken - len(hashes)*prefixBlockTokens
		for _, hash := range hashes {
			if !seen[hash] {
				seen[hash] = true
				tokens += prefixBlockTokens
			}
		}
	}
	return tokens
}
