// Package explain tells from the logs of several instances what became of one
// request, and what happened around it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Entry is one line of a log. Fields holds what the line says besides.
type Entry struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Names of fields that all lines have.
const (
	fieldTime     = "time"
	fieldMessage  = "msg"
	fieldInstance = "instance"
	fieldLevel    = "level"
)

// Read passes on the entries of a log. A line may have a prefix before its JSON
// object, as collectors of logs add it. Lines that are no entries are counted.
func Read(log io.Reader, each func(Entry)) (skipped int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		entry, ok := parse(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		each(entry)
	}
	if err := lines.Err(); err != nil {
		return skipped, fmt.Errorf("read the log: %w", err)
	}
	return skipped, nil
}

func parse(line []byte) (Entry, bool) {
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
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || entry.Message == "" {
		return Entry{}, false
	}
	entry.Time = at
	for _, name := range []string{fieldTime, fieldMessage, fieldInstance, fieldLevel} {
		delete(fields, name)
	}
	return entry, true
}

// text returns a field as text; empty if there is none.
func (e Entry) text(name string) string {
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
