package compare

import (
	"fmt"
	"io"

	"github.com/rosemarywing/rosemarywing/internal/load"
)

const percent = 100

// WriteTable writes the rows as Markdown, one table per workload.
func WriteTable(w io.Writer, rows []Row) error {
	last := ""
	for _, row := range rows {
		if row.Workload != last {
			last = row.Workload
			if err := writeHead(w, row); err != nil {
				return err
			}
		}
		if err := writeRow(w, row); err != nil {
			return err
		}
	}
	return nil
}

func writeHead(w io.Writer, row Row) error {
	names, rules := "", ""
	for _, tier := range row.Tiers {
		names += fmt.Sprintf(" goodput %s |", tier.Tier)
		rules += "---|"
	}
	_, err := fmt.Fprintf(w, "\n## %s\n\n| policy |%s refused | failed | first token p99 ms, by tier | wasted prefill | of it discarded |\n|---|%s---|---|---|---|---|\n",
		row.Workload, names, rules)
	return err
}

func writeRow(w io.Writer, row Row) error {
	goodput, firstToken := "", ""
	for _, tier := range row.Tiers {
		goodput += fmt.Sprintf(" %.3f (%d/%d) |", tier.Goodput, tier.Good, tier.Offered)
		if tier.FirstToken.Count > 0 && tier.Tier != "total" {
			firstToken += fmt.Sprintf("%s %.0f, ", tier.Tier, tier.FirstToken.P99)
		}
	}
	if firstToken != "" {
		firstToken = firstToken[:len(firstToken)-len(", ")]
	}
	refused, failed := 0, 0
	if total := len(row.Tiers); total > 0 {
		refused, failed = sum(row.Tiers[total-1].Refused), sum(row.Tiers[total-1].Failed)
	}
	_, err := fmt.Fprintf(w, "| %s |%s %d | %d | %s | %s | %d |\n",
		row.Policy, goodput, refused, failed, firstToken, wasted(row.Prefill), row.Prefill.DiscardedTokens)
	return err
}

func wasted(prefill load.PrefillReport) string {
	return fmt.Sprintf("%d tokens (%.1f%%)", prefill.WastedTokens, percent*prefill.WastedShare)
}

func sum(counts map[string]int) int {
	all := 0
	for _, count := range counts {
		all += count
	}
	return all
}
