package gateway

import (
	"strconv"
	"strings"
)

// streamPosition is where a stream can be resumed.
type streamPosition struct {
	// eventID is the ID of the last event that has one.
	eventID string
	// hasFollowers is true if events without an ID have followed it.
	hasFollowers bool
}

// resumable reports whether a stream can be resumed so that no event is missing or comes twice.
func (p streamPosition) resumable() bool { return p.eventID != "" && !p.hasFollowers }

// after returns the position after some more events.
func (p streamPosition) after(events []byte) streamPosition {
	for len(events) > 0 {
		event := firstEvent(events)
		events = events[len(event):]
		hasFields := false
		for line := range eventLines(event) {
			if !hasFields {
				hasFields, p.hasFollowers = true, true
			}
			if id, isID := strings.CutPrefix(line, "id:"); isID {
				p = streamPosition{eventID: strings.TrimSpace(id)}
			}
		}
	}
	return p
}

// firstEventID returns the ID of the first event, empty if it has none, and false if there
// is no event.
func firstEventID(events []byte) (id string, found bool) {
	for line := range strings.Lines(string(events)) {
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && found:
			return id, true
		case line == "" || strings.HasPrefix(line, ":"):
			continue
		}
		found = true
		if value, isID := strings.CutPrefix(line, "id:"); isID {
			id = strings.TrimSpace(value)
		}
	}
	return id, found
}

// continues reports whether an event with the ID id may follow one with the ID last. IDs
// that are numbers grow.
func continues(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err == nil && lastErr == nil {
		return number > lastNumber
	}
	return id != "" && id != last
}
