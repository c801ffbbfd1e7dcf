package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"iter"
	"regexp"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/httphead"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
)

// maxEventBytes bounds an event. It is less while the answers to other requests use up
// Gateway.answerMemory, but not less than firstAnswerBytes.
const maxEventBytes = 128 << 10

// eventDelimiters end an event, in streams with either kind of line end.
var eventDelimiters = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// maxDelimiterBytes is the length of the longest of eventDelimiters.
const maxDelimiterBytes = 4

// lengthOfEvents returns the length of the complete events at the beginning of text.
func lengthOfEvents(text []byte) int {
	length := 0
	for _, delimiter := range eventDelimiters {
		if end := bytes.LastIndex(text, delimiter); end >= 0 {
			length = max(length, end+len(delimiter))
		}
	}
	return length
}

// eventLines yields the lines that belong to events: not the empty ones between events, nor
// comments.
func eventLines(text []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for line := range strings.Lines(string(text)) {
			line = strings.TrimRight(line, "\r\n")
			if line != "" && !strings.HasPrefix(line, ":") && !yield(line) {
				return
			}
		}
	}
}

// eventReader splits a server-sent event stream at event boundaries. It returns the events of
// a chunked body once their chunk is complete. Any other body is a single frame, whose events
// are returned as they arrive, except for those that the head of another answer may have
// ended.
type eventReader struct {
	body io.Reader
	// hasLength is true if the body ends at a known length.
	hasLength bool
	// buffer holds the events that next has returned last, of the length returned, and
	// what was read after them.
	buffer   *membudget.Buffer
	returned int
	// received is the number of bytes read, and err the error of the last read.
	received int
	err      error
}

func newEventReader(response *connpool.Response, memory *membudget.Budget) *eventReader {
	return &eventReader{body: response.Body, hasLength: response.Length >= 0, buffer: membudget.NewBuffer(memory, firstAnswerBytes, maxEventBytes)}
}

var (
	errEventTooLong = fmt.Errorf("an event exceeds %d bytes", maxEventBytes)
	errAnswerMemory = errors.New("the memory for answers is used up")
)

// next waits for at least one complete event and returns all that have arrived. They are
// valid until the next call. At the end of the stream it returns io.EOF and leaves the
// incomplete rest in buffer.
func (e *eventReader) next() ([]byte, error) {
	e.buffer.Discard(e.returned)
	e.returned = 0
	scanned := 0
	for {
		text := e.buffer.Bytes()[:max(0, e.completeLength())]
		// Only what was added last is searched, since an event may come in many pieces, and
		// the bytes before it that may be the beginning of a delimiter.
		from := max(0, scanned-maxDelimiterBytes+1)
		if length := lengthOfEvents(text[from:]); length > 0 {
			e.returned = e.soundLength(text[:from+length])
		}
		scanned = len(text)
		if e.returned > 0 {
			return text[:e.returned], nil
		}
		if e.err != nil {
			return nil, e.err
		}
		space := e.buffer.Space()
		if space == nil {
			return e.eventsOfLongChunk()
		}
		var n int
		n, e.err = e.body.Read(space)
		e.received += n
		e.buffer.Extend(n)
	}
}

// completeLength returns the length of the part of buffer that belongs to complete chunks, or
// all of it if the body is not chunked. It is negative if events of an incomplete chunk were
// returned before.
func (e *eventReader) completeLength() int {
	length := len(e.buffer.Bytes())
	if chunked, isChunked := e.body.(connpool.ChunkedBody); isChunked {
		length += chunked.CompleteBytes() - e.received
	}
	return length
}

// eventsOfLongChunk returns the events of a chunk for which there is no space until it is
// complete.
func (e *eventReader) eventsOfLongChunk() ([]byte, error) {
	text := e.buffer.Bytes()
	if e.completeLength() < len(text) {
		e.returned = lengthOfEvents(text)
	}
	switch {
	case e.returned > 0:
		return text[:e.returned], nil
	case e.buffer.Full():
		return nil, errEventTooLong
	}
	return nil, errAnswerMemory
}

// returnedIncompleteChunk reports, after the end of the body, whether events of an incomplete
// chunk were returned.
func (e *eventReader) returnedIncompleteChunk() bool { return e.completeLength() < 0 }

// soundLength returns the length of events without those at their end that the head of
// another answer may have ended: if an upstream fails within an event, the empty line behind
// the head of its failure looks like the end of the event. The event is sound if another one
// follows, or if the body has its whole length. Complete chunks contain no other answer.
func (e *eventReader) soundLength(events []byte) int {
	_, isChunked := e.body.(connpool.ChunkedBody)
	isWhole := e.hasLength && errors.Is(e.err, io.EOF)
	if isChunked || isWhole || !bytes.Contains(events, []byte("HTTP/")) {
		return len(events)
	}
	sound, end, suspect := 0, 0, false
	for end < len(events) {
		event := firstEvent(events[end:])
		end += len(event)
		suspect = httphead.ContainsStatusLine(string(event)) || suspect && !isSound(event)
		if !suspect {
			sound = end
		}
	}
	return sound
}

// firstEvent returns the first of some complete events.
func firstEvent(events []byte) []byte {
	for _, delimiter := range eventDelimiters {
		if end := bytes.Index(events, delimiter); end >= 0 {
			events = events[:end+len(delimiter)]
		}
	}
	return events
}

// fieldPattern matches the lines of an event, and contentPattern those with its ID or data.
var (
	fieldPattern   = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]*(:|$)`)
	contentPattern = regexp.MustCompile(`^(id|data)(:|$)`)
)

// isSound reports whether all lines of an event are fields, and it has an ID or data.
func isSound(event []byte) bool {
	hasContent := false
	for line := range eventLines(event) {
		if !fieldPattern.MatchString(line) {
			return false
		}
		hasContent = hasContent || contentPattern.MatchString(line)
	}
	return hasContent
}

// incompleteEvent reports whether the stream has ended within an event.
func (e *eventReader) incompleteEvent() bool {
	for range eventLines(e.buffer.Bytes()) {
		return true
	}
	return false
}
