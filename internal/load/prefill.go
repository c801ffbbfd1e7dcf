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

// blockTokens is the number of tokens of one cached block.
const blockTokens = upstream.PrefixBlockBytes / upstream.BytesPerToken

// PrefillReport compares the prefill that engines did with what the answered
// requests needed at least. All figures are tokens.
type PrefillReport struct {
	// Done was processed, Cached was taken from prefix caches.
	Done   int `json:"done"`
	Cached int `json:"cached"`
	// Needed is the prefill of the answered requests if each distinct prefix
	// block were processed once in the whole fleet.
	Needed int `json:"needed"`
	// Wasted is Done beyond Needed; WastedShare is its share of Done. Separate
	// failure domains and limited caches make some of it unavoidable.
	Wasted      int     `json:"wasted"`
	WastedShare float64 `json:"wastedShare"`
	// Discarded is prefill of requests that did not finish on their engine.
	Discarded int `json:"discarded"`
	// ReceivedAgain counts request IDs that engines received more than once.
	ReceivedAgain int `json:"receivedAgain"`
	// Unread counts engines whose log could not be read; their work is missing.
	Unread int `json:"unread"`
}

// Logs fetches the logs of the engines at the addresses. The log of an engine
// that cannot be read, for instance because it crashed, is left empty; the
// error names all such engines.
func Logs(ctx context.Context, addresses []string) ([]engine.Log, error) {
	logs := make([]engine.Log, len(addresses))
	var failed []error
	for index, address := range addresses {
		if err := fetchLog(ctx, address, &logs[index]); err != nil {
			logs[index] = engine.Log{}
			failed = append(failed, fmt.Errorf("log of the engine at %s: %w", address, err))
		}
	}
	return logs, errors.Join(failed...)
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

// Prefill compares the engines' logs before and after a run with its results.
// An engine that restarted in between counts from zero.
func Prefill(before, after []engine.Log, results []Result) PrefillReport {
	var report PrefillReport
	for index, log := range after {
		if log.Incarnation == "" {
			report.Unread++
			continue
		}
		earlier := engine.Log{}
		if index < len(before) && before[index].Incarnation == log.Incarnation {
			earlier = before[index]
		}
		report.Done += log.PrefillTokens - earlier.PrefillTokens
		report.Cached += log.CachedTokens - earlier.CachedTokens
		report.addRequests(log.Requests[len(earlier.Requests):])
	}
	report.Needed = neededTokens(results)
	report.Wasted = max(0, report.Done-report.Needed)
	if report.Done > 0 {
		report.WastedShare = float64(report.Wasted) / float64(report.Done)
	}
	return report
}

func (r *PrefillReport) addRequests(requests []engine.RequestRecord) {
	for _, request := range requests {
		if request.State != engine.Finished {
			r.Discarded += request.PrefillTokens
		}
		if request.Receipts > 1 {
			r.ReceivedAgain++
		}
	}
}

// neededTokens counts each distinct block of the answered prompts once.
func neededTokens(results []Result) int {
	seen := map[uint64]bool{}
	needed := 0
	for _, result := range results {
		if !result.Complete || result.Arrival.Service != "" {
			continue
		}
		text := upstream.PromptText(result.Arrival.Messages())
		hashes := upstream.PrefixHashes(text)
		needed += len(text)/upstream.BytesPerToken - len(hashes)*blockTokens
		for _, hash := range hashes {
			if !seen[hash] {
				seen[hash] = true
				needed += blockTokens
			}
		}
	}
	return needed
}
