package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Log messages of the gateway about a request that are rephrased in the output.
// All other messages are shown as they are.
const (
	messageAnswered    = "answered"
	messageNotAnswered = "not answered"
	messageRetried     = "another upstream is tried"
)

const (
	// eventLookback is the time before the arrival of a request in which events are
	// taken as related to it. Upstreams recover some seconds after a crash, and
	// requests are refused once the configuration is five seconds old.
	eventLookback = 6 * time.Second
	// maxClockSkew is the time after the end of a request in which an event may still
	// have been its cause, since the clocks of machines differ.
	maxClockSkew = 500 * time.Millisecond
	// similarFailureWindow is the time before and after the end of a request in which
	// other failed requests are counted.
	similarFailureWindow = 2 * time.Second
	// maxEvents bounds the number of events in a timeline; the latest events are kept.
	maxEvents = 20
)

// stateChangeMessages are the messages that report a change of an instance, or of
// what it knows about its configuration, upstreams, dependencies and peers.
var stateChangeMessages = map[string]bool{
	"configuration in force": true, "configuration cannot be read; the last one stays in force": true,
	"upstream entry": true, "upstream removed": true, "earlier upstream report ignored": true,
	"upstream leaves by its own word": true, "earlier answer applied to the next process of the upstream": true, "upstream asked for no requests": true,
	"requests blocked": true, "requests released": true,
	"dependency lost": true, "dependency regained": true,
	"peer lost": true, "peer heard": true, "peer stopped": true,
	"started": true, "stopping": true, "stopped": true,
	"grace time over, requests in flight are aborted": true,
}

// Timeline is the history of a request, reconstructed from logs.
type Timeline struct {
	Request string `json:"request"`
	// Steps are the log lines about the request, the oldest first.
	Steps []Entry `json:"steps"`
	// Events are related events, the oldest first, and OmittedEvents is the number
	// of earlier ones that were left out.
	Events        []Entry `json:"around"`
	OmittedEvents int     `json:"omitted"`
	// SimilarFailures counts, by error kind, the requests for the same service that
	// failed at about the same time, and SameUpstreamFailures those of them that
	// failed on an upstream which the request had used.
	SimilarFailures      map[string]int `json:"alike"`
	SameUpstreamFailures int            `json:"same_upstream"`
}

// BuildTimeline returns the timeline of a request, or false if no entry names the
// request.
func BuildTimeline(request string, entries []Entry) (Timeline, bool) {
	timeline := Timeline{Request: request, SimilarFailures: map[string]int{}}
	for _, entry := range entries {
		if entry.fieldText("request") == request {
			timeline.Steps = append(timeline.Steps, entry)
		}
	}
	if len(timeline.Steps) == 0 {
		return timeline, false
	}
	slices.SortStableFunc(timeline.Steps, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	for _, entry := range entries {
		timeline.addRelated(entry)
	}
	slices.SortStableFunc(timeline.Events, func(a, b Entry) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	if len(timeline.Events) > maxEvents {
		timeline.OmittedEvents = len(timeline.Events) - maxEvents
		timeline.Events = timeline.Events[timeline.OmittedEvents:]
	}
	return timeline, true
}

// addRelated adds the entry to the events or the failure counts if it is related
// to the request and not one of its steps.
func (t *Timeline) addRelated(entry Entry) {
	last := t.Steps[len(t.Steps)-1]
	arrival := t.arrivalTime()
	switch {
	case entry.fieldText("request") == t.Request:
	case stateChangeMessages[entry.Message]:
		if entry.Time.After(arrival.Add(-eventLookback)) && entry.Time.Before(last.Time.Add(maxClockSkew)) && t.isRelevant(entry) {
			t.Events = append(t.Events, entry)
		}
	case entry.Message == messageNotAnswered:
		if entry.Time.Sub(last.Time).Abs() <= similarFailureWindow && entry.fieldText("service") == last.fieldText("service") {
			t.SimilarFailures[entry.fieldText("kind")]++
			if t.usedUpstreams()[entry.fieldText("upstream")] {
				t.SameUpstreamFailures++
			}
		}
	}
}

// arrivalTime returns the time at which the request arrived at the instance that
// logged the first step.
func (t *Timeline) arrivalTime() time.Time {
	first := t.Steps[0]
	elapsed, _ := first.Fields["elapsed_ms"].(float64)
	return first.Time.Add(-time.Duration(elapsed * float64(time.Millisecond)))
}

// isRelevant reports whether an event comes from an instance that handled the
// request and, if it names an upstream, whether the request used that upstream.
func (t *Timeline) isRelevant(entry Entry) bool {
	if upstream := entry.fieldText("upstream"); upstream != "" {
		return t.usedUpstreams()[upstream] && t.handledBy(entry.Instance)
	}
	return t.handledBy(entry.Instance)
}

func (t *Timeline) handledBy(instance string) bool {
	return slices.ContainsFunc(t.Steps, func(step Entry) bool { return step.Instance == instance })
}

func (t *Timeline) usedUpstreams() map[string]bool {
	used := map[string]bool{}
	for _, step := range t.Steps {
		if upstream := step.fieldText("upstream"); upstream != "" {
			used[upstream] = true
		}
	}
	return used
}

// Lines formats the timeline as text for a terminal.
func (t *Timeline) Lines() []string {
	arrival := t.arrivalTime()
	lines := []string{fmt.Sprintf("request %s arrived at %s, at instance %s", t.Request, arrival.UTC().Format(time.RFC3339Nano), orUnknown(t.Steps[0].Instance))}
	for _, step := range t.Steps {
		lines = append(lines, "  "+formatOffset(arrival, step)+" "+describeStep(step))
	}
	if len(t.SimilarFailures) > 0 {
		lines = append(lines, fmt.Sprintf("within %s, other requests for the service failed: %s", similarFailureWindow, formatCounts(t.SimilarFailures)))
	}
	if t.SameUpstreamFailures > 0 {
		lines = append(lines, fmt.Sprintf("of these, %d at an upstream that it met", t.SameUpstreamFailures))
	}
	if len(t.Events) > 0 {
		lines = append(lines, "what its instances and upstreams went through around that time:")
	}
	if t.OmittedEvents > 0 {
		lines = append(lines, fmt.Sprintf("  (%d earlier events left out)", t.OmittedEvents))
	}
	for _, event := range t.Events {
		lines = append(lines, "  "+formatOffset(arrival, event)+" "+orUnknown(event.Instance)+": "+event.Message+formatFields(event.Fields))
	}
	return lines
}
