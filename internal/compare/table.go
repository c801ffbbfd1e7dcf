package compare

import (
	"fmt"
	"io"

	"github.com/rosemarywing/rosemarywing/internal/load"
)

const percent = 100

// WriteTable writes the rows as Markdown, one table per workload.
func WriteTable(w io.Writer, rows []Row) error {
	workload := ""
	for _, row := range rows {
		if row.Workload != workload {
			workload = row.Workload
			if err := writeTableHeader(w, row); err != nil {
				return err
			}
		}
		if err := writeRow(w, row); err != nil {
			return err
		}
	}
	return nil
}

func writeTableHeader(w io.Writer, row Row) error {
	columns, separators := "", ""
	for _, tier := range row.Tiers {
		columns += fmt.Sprintf(" goodput %s |", tier.Tier)
		separators += "---|"
	}
	_, err := fmt.Fprintf(w, "\n## %s\n\n| policy |%s refused | failed | first token p99 ms, by tier | wasted prefill | of it discarded |\n|---|%s---|---|---|---|---|\n",
		row.Workload, columns, separators)
	return err
}

// writeRow writes a row of the table. The last element of row.Tiers is the total.
func writeRow(w io.Writer, row Row) error {
	goodputCells, firstTokenCell := "", ""
	for _, tier := range row.Tiers {
		goodputCells += fmt.Sprintf(" %.3f (%d/%d) |", tier.Goodput, tier.Good, tier.Offered)
		if tier.FirstToken.Count > 0 && tier.Tier != "total" {
			firstTokenCell += fmt.Sprintf("%s %.0f, ", tier.Tier, tier.FirstToken.P99)
		}
	}
	if firstTokenCell != "" {
		firstTokenCell = firstTokenCell[:len(firstTokenCell)-len(", ")]
	}
	refused, failed := 0, 0
	if tierCount := len(row.Tiers); tierCount > 0 {
		refused, failed = sumCounts(row.Tiers[tierCount-1].Refused), sumCounts(row.Tiers[tierCount-1].Failed)
	}
	_, err := fmt.Fprintf(w, "| %s |%s %d | %d | %s | %s | %d |\n",
		row.Policy, goodputCells, refused, failed, firstTokenCell, formatWaste(row.Prefill), row.Prefill.DiscardedTokens)
	return err
}

func formatWaste(prefill load.PrefillReport) string {
	return fmt.Sprintf("%d tokens (%.1f%%)", prefill.WastedTokens, percent*prefill.WastedShare)
}

func sumCounts(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
