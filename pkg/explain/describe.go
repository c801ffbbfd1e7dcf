package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// describeStep formats a log line about the request.
func describeStep(step Entry) string {
	switch step.Message {
	case messageAnswered:
		return fmt.Sprintf("answered with status %s by upstream %s (%s): waited %s ms, first output after %s ms of %s ms expected, %s ms in all, attempt %s; %s in flight there, reports up to %s ms old",
			step.fieldText("status"), step.fieldText("upstream"), step.fieldText("reason"), step.fieldText("waited_ms"), step.fieldText("first_ms"),
			step.fieldText("expected_ms"), step.fieldText("total_ms"), step.fieldText("attempts"), step.fieldText("in_flight"), step.fieldText("peer_age_ms"))
	case messageRetried:
		return fmt.Sprintf("upstream %s failed: %s; another is tried", step.fieldText("upstream"), step.fieldText("error"))
	case messageNotAnswered:
		runState := "it has not run"
		if step.fieldText("may_have_run") == "true" {
			runState = "it may have run"
		}
		upstreamAnswer := ""
		if status := step.fieldText("upstream_status"); status != "" && status != "0" {
			upstreamAnswer = fmt.Sprintf(" (upstream %s had answered with status %s)", step.fieldText("upstream"), status)
		}
		retryHint := ""
		if retryAfter := step.fieldText("retry_after_ms"); retryAfter != "" && retryAfter != "0" {
			retryHint = fmt.Sprintf("; the caller was told to return after %s ms", retryAfter)
		}
		return fmt.Sprintf("ended with status %s, %s%s; %s, after %s attempts; configuration %s was %s ms old%s",
			step.fieldText("status"), step.fieldText("error"), upstreamAnswer, runState, step.fieldText("attempts"), step.fieldText("config"), step.fieldText("config_age_ms"), retryHint)
	}
	return step.Message + formatFields(step.Fields)
}

// formatFields formats fields as " name=value" in the order of their names.
func formatFields(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, " "+name+"="+Entry{Fields: fields}.fieldText(name))
	}
	return strings.Join(parts, "")
}

// formatOffset formats the time of an entry relative to the arrival of the request.
func formatOffset(arrival time.Time, entry Entry) string {
	return fmt.Sprintf("%+.3f s", entry.Time.Sub(arrival).Seconds())
}

// formatCounts formats the number of failures of each kind.
func formatCounts(byKind map[string]int) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		parts = append(parts, fmt.Sprintf("%d %s", byKind[kind], kind))
	}
	return strings.Join(parts, ", ")
}

func orUnknown(instance string) string {
	if instance == "" {
		return "unknown"
	}
	return instance
}
