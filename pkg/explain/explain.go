package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Messages of the gateway that are told of; the rest of a request's lines are
// told as they are.
const (
	messageAnswered    = "answered"
	messageNotAnswered = "not answered"
	messageRepeated    = "another upstream is tried"
)

const (
	// around is the time before and after a request in which other events may
	// have to do with it: upstreams are back some seconds after a crash, and a
	// configuration is refused from an age of five seconds.
	around = 6 * time.Second
	// after is the time after a request in which an event may still tell of its
	// cause, since times of day differ between machines.
	after = 500 * time.Millisecond
	// alike is the time before and after a failed request in which others that
	// failed are counted.
	alike = 2 * time.Second
	// maxAround bounds the events that are told.
	maxAround = 20
)

// aroundMessages are the lines that change what an instance believes.
var aroundMessages = map[string]bool{
	"configuration in force": true, "configuration cannot be read; the last one stays in force": true,
	"upstream entry": true, "upstream removed": true,
	"dependency lost": true, "dependency regained": true,
	"peer lost": true, "peer heard": true, "peer stopped": true,
	"started": true, "stopping": true, "stopped": true,
}

// Story is what became of a request.
type Story struct {
	Request string `json:"request"`
	// Steps are the request's own lines, the oldest first.
	Steps []Entry `json:"steps"`
	// Around are the events that may have to do with it, and Omitted the number
	// of further ones.
	Around  []Entry `json:"around"`
	Omitted int     `json:"omitted"`
	// Alike counts the requests for the same service that failed at about the
	// same time, by error kind, and SameUpstream those of the same upstream.
	Alike        map[string]int `json:"alike"`
	SameUpstream int            `json:"same_upstream"`
}

// Tell returns the story of a request, or false if no line names it.
func Tell(request string, entries []Entry) (Story, bool) {
	story := Story{Request: request, Alike: map[string]int{}}
	for _, entry := range entries {
		if entry.text("request") == request {
			story.Steps = append(story.Steps, entry)
		}
	}
	if len(story.Steps) == 0 {
		return story, false
	}
	slices.SortStableFunc(story.Steps, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	for _, entry := range entries {
		story.consider(entry)
	}
	slices.SortStableFunc(story.Around, func(a, b Entry) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	if len(story.Around) > maxAround {
		story.Omitted = len(story.Around) - maxAround
		story.Around = story.Around[story.Omitted:]
	}
	return story, true
}

// consider takes in an entry that is not the request's own.
func (s *Story) consider(entry Entry) {
	end := s.Steps[len(s.Steps)-1]
	begin := s.arrived()
	switch {
	case entry.text("request") == s.Request:
	case aroundMessages[entry.Message]:
		if entry.Time.After(begin.Add(-around)) && entry.Time.Before(end.Time.Add(after)) && s.concerns(entry) {
			s.Around = append(s.Around, entry)
		}
	case entry.Message == messageNotAnswered:
		if entry.Time.Sub(end.Time).Abs() <= alike && entry.text("service") == end.text("service") {
			s.Alike[entry.text("kind")]++
			if s.upstreams()[entry.text("upstream")] {
				s.SameUpstream++
			}
		}
	}
}

// arrived is when the request came to the instance that tells of it first.
func (s *Story) arrived() time.Time {
	first := s.Steps[0]
	elapsed, _ := first.Fields["elapsed_ms"].(float64)
	return first.Time.Add(-time.Duration(elapsed * float64(time.Millisecond)))
}

// concerns reports whether an event is of an instance or an upstream that the
// request met.
func (s *Story) concerns(entry Entry) bool {
	if upstream := entry.text("upstream"); upstream != "" {
		return s.upstreams()[upstream] && s.isOwn(entry.Instance)
	}
	return s.isOwn(entry.Instance)
}

func (s *Story) isOwn(instance string) bool {
	return slices.ContainsFunc(s.Steps, func(step Entry) bool { return step.Instance == instance })
}

func (s *Story) upstreams() map[string]bool {
	met := map[string]bool{}
	for _, step := range s.Steps {
		if upstream := step.text("upstream"); upstream != "" {
			met[upstream] = true
		}
	}
	return met
}

// Lines tells the story to a reader at a terminal.
func (s *Story) Lines() []string {
	begin := s.arrived()
	lines := []string{fmt.Sprintf("request %s arrived at %s, at instance %s", s.Request, begin.UTC().Format(time.RFC3339Nano), orUnknown(s.Steps[0].Instance))}
	for _, step := range s.Steps {
		lines = append(lines, "  "+offset(begin, step)+" "+describe(step))
	}
	if len(s.Alike) > 0 {
		lines = append(lines, fmt.Sprintf("within %s, other requests for the service failed: %s", alike, counts(s.Alike)))
	}
	if s.SameUpstream > 0 {
		lines = append(lines, fmt.Sprintf("of these, %d at an upstream that it met", s.SameUpstream))
	}
	if len(s.Around) > 0 {
		lines = append(lines, "what its instances and upstreams went through around that time:")
	}
	if s.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("  (%d earlier events left out)", s.Omitted))
	}
	for _, event := range s.Around {
		lines = append(lines, "  "+offset(begin, event)+" "+orUnknown(event.Instance)+": "+event.Message+rest(event.Fields))
	}
	return lines
}
