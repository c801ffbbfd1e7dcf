package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// describe tells of one line of a request.
func describe(step Entry) string {
	switch step.Message {
	case messageAnswered:
		return fmt.Sprintf("answered with status %s by upstream %s (%s): waited %s ms, first output after %s ms of %s ms expected, %s ms in all, attempt %s; %s in flight there, reports up to %s ms old",
			step.text("status"), step.text("upstream"), step.text("reason"), step.text("waited_ms"), step.text("first_ms"),
			step.text("expected_ms"), step.text("total_ms"), step.text("attempts"), step.text("in_flight"), step.text("peer_age_ms"))
	case messageRepeated:
		return fmt.Sprintf("upstream %s failed: %s; another is tried", step.text("upstream"), step.text("error"))
	case messageNotAnswered:
		ran := "it has not run"
		if step.text("may_have_run") == "true" {
			ran = "it may have run"
		}
		told := ""
		if after := step.text("retry_after_ms"); after != "" && after != "0" {
			told = fmt.Sprintf("; the caller was told to return after %s ms", after)
		}
		return fmt.Sprintf("ended with status %s, %s; %s, after %s attempts; configuration %s was %s ms old%s",
			step.text("status"), step.text("error"), ran, step.text("attempts"), step.text("config"), step.text("config_age_ms"), told)
	}
	return step.Message + rest(step.Fields)
}

// rest lists fields by name.
func rest(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, " "+name+"="+Entry{Fields: fields}.text(name))
	}
	return strings.Join(parts, "")
}

func offset(begin time.Time, entry Entry) string {
	return fmt.Sprintf("%+.3f s", entry.Time.Sub(begin).Seconds())
}

func counts(byKind map[string]int) string {
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
