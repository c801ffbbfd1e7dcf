// Package explain reconstructs from the logs of several instances what happened
// to one request, together with related events on those instances.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Entry is one line of a log. Fields holds all fields of the line but its time,
// message, instance and level.
type Entry struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// maxLineBytes bounds the length of a log line; a longer one is an error.
const maxLineBytes = 1 << 20

// Names of the fields that every log line has.
const (
	fieldTime     = "time"
	fieldMessage  = "msg"
	fieldInstance = "instance"
	fieldLevel    = "level"
)

// Read calls handle for each entry of a log. A line may have a prefix before its
// JSON object, such as log collectors add. Lines that hold no entry are counted
// in skipped.
func Read(log io.Reader, handle func(Entry)) (skipped int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		entry, ok := parseLine(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		handle(entry)
	}
	if err := lines.Err(); err != nil {
		return skipped, fmt.Errorf("read the log: %w", err)
	}
	return skipped, nil
}

func parseLine(line []byte) (Entry, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Entry{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return Entry{}, false
	}
	entry := Entry{Fields: fields}
	entry.Message, _ = fields[fieldMessage].(string)
	entry.Instance, _ = fields[fieldInstance].(string)
	text, _ := fields[fieldTime].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || entry.Message == "" {
		return Entry{}, false
	}
	entry.Time = timestamp
	for _, name := range []string{fieldTime, fieldMessage, fieldInstance, fieldLevel} {
		delete(fields, name)
	}
	return entry, true
}

// fieldText returns the value of a field as text, empty if there is no such field.
func (e Entry) fieldText(name string) string {
	switch value := e.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return value
	case float64:
		return fmt.Sprintf("%.0f", value)
	default:
		return fmt.Sprint(value)
	}
}
