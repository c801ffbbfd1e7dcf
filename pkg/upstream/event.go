package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/httphead"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
)

const (
	// DefaultMaxEventBytes bounds one event, including its field names.
	DefaultMaxEventBytes = 1 << 20
	readBufferBytes      = 16 << 10
	// eventCopies is how many times an event is held at once: as lines, as data, and
	// as what is written to the caller.
	eventCopies = 3
)

// endMarker is the data of the event that ends a stream.
var endMarker = []byte("[DONE]")

// EventID identifies an event of an engine's stream.
type EventID struct {
	Upstream  string
	RequestID string
	Sequence  uint64
}

// String returns the ID as sent in the stream: UPSTREAM/REQUEST/SEQUENCE.
func (id EventID) String() string {
	return fmt.Sprintf("%s/%s/%d", id.Upstream, id.RequestID, id.Sequence)
}

// ParseEventID parses the form that String returns. The request ID may contain
// slashes, the upstream's name may not. An error has the kind BadRequest,
// because callers send event IDs as Last-Event-ID.
func ParseEventID(text string) (EventID, error) {
	first := strings.IndexByte(text, '/')
	last := strings.LastIndexByte(text, '/')
	if first <= 0 || last <= first+1 {
		return EventID{}, errkind.New(errkind.BadRequest, "the event ID %q is not UPSTREAM/REQUEST/SEQUENCE", text)
	}
	sequence, err := strconv.ParseUint(text[last+1:], 10, 64)
	if err != nil || sequence == 0 {
		return EventID{}, errkind.New(errkind.BadRequest, "the event ID %q has no sequence number from 1", text)
	}
	return EventID{Upstream: text[:first], RequestID: text[first+1 : last], Sequence: sequence}, nil
}

// EventReader reads the event stream of one request in sequence. It skips
// duplicates. Gaps, events of other requests, and a stream that ends before its
// last event are errors. It is not safe for concurrent use.
type EventReader struct {
	events    *SSEReader
	requestID string
	expected  uint64
	// allowBareIDs accepts events with only a sequence number as ID, and events
	// without an ID.
	allowBareIDs bool
	ended        bool
	err          error
}

// NewEventReader returns a reader of the events of requestID that starts at
// sequence number first; numbers count from 1. An event of more than maxBytes is
// an error; zero means DefaultMaxEventBytes.
func NewEventReader(source io.Reader, requestID string, first uint64, maxBytes int) *EventReader {
	return &EventReader{events: NewSSEReader(source, maxBytes), requestID: requestID, expected: max(1, first)}
}

// NewEngineEventReader is like NewEventReader, but also accepts events whose ID
// is only a sequence number, and events without an ID, which it takes as the
// next in sequence. Some engines do not send the request ID in each event.
func NewEngineEventReader(source io.Reader, requestID string, first uint64, maxBytes int) *EventReader {
	reader := NewEventReader(source, requestID, first, maxBytes)
	reader.allowBareIDs = true
	return reader
}

// Expected returns the sequence number of the next event, which is where an
// interrupted stream is resumed.
func (r *EventReader) Expected() uint64 { return r.expected }

// ShareMemory is like SSEReader.ShareMemory.
func (r *EventReader) ShareMemory(budget *membudget.Budget) { r.events.ShareMemory(budget) }

// Release is like SSEReader.Release.
func (r *EventReader) Release() { r.events.Release() }

// Next returns the next event, and io.EOF after the last one. Other errors have
// the kind AnswerIncomplete, after which the stream may be resumed at Expected,
// or CrossedAnswer. Once Next has failed, it always returns the same error.
func (r *EventReader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	if r.ended {
		return Event{}, io.EOF
	}
	event, err := r.nextExpected()
	if err != nil {
		r.err = err
		return Event{}, err
	}
	r.expected++
	r.ended = event.Last
	return event, nil
}

// nextExpected skips duplicates and returns the event with the expected
// sequence number.
func (r *EventReader) nextExpected() (Event, error) {
	for {
		event, err := r.events.Next()
		if err != nil {
			return Event{}, r.streamEndError(err)
		}
		sequence, err := r.sequenceOf(event.ID)
		if err != nil {
			return Event{}, err
		}
		if sequence < r.expected {
			continue
		}
		if sequence > r.expected {
			return Event{}, errkind.New(errkind.AnswerIncomplete, "event %d follows event %d", sequence, r.expected-1)
		}
		last := bytes.Equal(bytes.TrimSpace(event.Data), endMarker)
		return Event{Sequence: sequence, Name: event.Name, Data: event.Data, Last: last}, nil
	}
}

// sequenceOf returns the sequence number in the ID of an event.
func (r *EventReader) sequenceOf(text string) (uint64, error) {
	if r.allowBareIDs && text == "" {
		return r.expected, nil
	}
	if r.allowBareIDs && !strings.Contains(text, "/") {
		sequence, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, errkind.Wrap(errkind.AnswerIncomplete, err, "an event without a valid ID")
		}
		return sequence, nil
	}
	id, err := ParseEventID(text)
	if err != nil {
		return 0, errkind.Wrap(errkind.AnswerIncomplete, err, "an event without a valid ID")
	}
	if id.RequestID != r.requestID {
		return 0, errkind.New(errkind.CrossedAnswer, "an event of request %q in the stream of %q", id.RequestID, r.requestID)
	}
	return id.Sequence, nil
}

func (r *EventReader) streamEndError(err error) error {
	if errors.Is(err, io.EOF) {
		return errkind.New(errkind.AnswerIncomplete, "the stream ended before its last event; event %d was expected", r.expected)
	}
	return errkind.Wrap(errkind.AnswerIncomplete, err, "the stream broke before event %d", r.expected)
}

// SSEEvent is a server-sent event as received.
type SSEEvent struct {
	ID      string
	Name    string
	Data    []byte
	hasData bool
	// hasField is true once a line other than a comment was read, and hasStatusLine once one
	// with the beginning of the head of an answer was.
	hasField      bool
	hasStatusLine bool
	// size is the number of bytes of its lines.
	size int
}

// SSEReader reads server-sent events and does not interpret their IDs, which
// plain services choose freely. It returns the events in the chunks of an Answer once their
// chunk is complete.
type SSEReader struct {
	source   *bufio.Reader
	maxBytes int
	memory   *membudget.Share
	// body is nil if the source is not the body of an Answer, and chunks if that is not
	// chunked.
	body   *answerBody
	chunks *completeChunks
	// queued was read to confirm the event before it, with the error queuedErr; nil if
	// nothing was.
	queued    *SSEEvent
	queuedErr error
}

// NewSSEReader returns a reader of events of at most maxBytes; zero means
// DefaultMaxEventBytes.
func NewSSEReader(source io.Reader, maxBytes int) *SSEReader {
	if maxBytes == 0 {
		maxBytes = DefaultMaxEventBytes
	}
	r := &SSEReader{maxBytes: maxBytes, memory: membudget.NewShare(nil, 0)}
	if r.body, _ = source.(*answerBody); r.body != nil && r.body.chunks != nil {
		r.chunks = newCompleteChunks(r.body, maxBytes)
		source = r.chunks
	}
	r.source = bufio.NewReaderSize(source, readBufferBytes)
	return r
}

// ShareMemory makes the reader take the memory of its current event and chunk from a budget,
// except for 16 KiB each. It must be called before Next, and Release after the last use of an
// event.
func (r *SSEReader) ShareMemory(budget *membudget.Budget) {
	r.memory = membudget.NewShare(budget, readBufferBytes)
	if r.chunks != nil {
		r.chunks.shareMemory(budget)
	}
}

// Release returns the memory of the current event and chunk to the budget.
func (r *SSEReader) Release() {
	r.memory.Release()
	if r.chunks != nil {
		r.chunks.buffer.Release()
	}
}

// Next returns the next event that has data, and io.EOF at the end of the
// source. Other errors are those of the source, or have the kind AnswerIncomplete if an
// event exceeds maxBytes or the budget of ShareMemory, or the source ends within an event,
// which is one that no empty line follows. The event counts against that budget until the
// next call.
func (r *SSEReader) Next() (SSEEvent, error) {
	event, err := r.queued, r.queuedErr
	r.queued, r.queuedErr = nil, nil
	if event == nil && err == nil {
		r.memory.Release()
		event, err = r.read(0)
	}
	if err != nil {
		r.queuedErr = err
		return SSEEvent{}, err
	}
	if !r.mayEndInOtherAnswer(event) {
		return *event, nil
	}
	r.queued, r.queuedErr = r.read(event.size)
	if r.queuedErr == nil || r.body.hasLength && errors.Is(r.queuedErr, io.EOF) {
		return *event, nil
	}
	if errors.Is(r.queuedErr, io.EOF) {
		r.queuedErr = errkind.New(errkind.AnswerIncomplete, "the stream ended within an event")
	}
	return SSEEvent{}, r.queuedErr
}

// mayEndInOtherAnswer reports whether the empty line that ended an event may be the end of
// the head of another answer, which an upstream writes if it fails within the event. Such an
// event is sound if another one follows, or if the body has its whole length.
func (r *SSEReader) mayEndInOtherAnswer(event *SSEEvent) bool {
	return r.body != nil && r.chunks == nil && event.hasStatusLine
}

// read reads the next event that has data while heldBytes of events before it are held.
func (r *SSEReader) read(heldBytes int) (*SSEEvent, error) {
	event := &SSEEvent{}
	for {
		line, err := r.readLine(event.size, heldBytes)
		if errors.Is(err, io.EOF) && (event.hasField || isField(line)) {
			err = errkind.New(errkind.AnswerIncomplete, "the stream ended within an event")
		}
		if err != nil {
			return nil, err
		}
		event.size += len(line)
		if len(line) > 0 {
			event.addField(line)
			continue
		}
		if event.hasData {
			return event, nil
		}
		event = &SSEEvent{}
	}
}

// addField adds the field of one line. Comments and unknown fields are ignored.
func (e *SSEEvent) addField(line []byte) {
	e.hasField = e.hasField || isField(line)
	e.hasStatusLine = e.hasStatusLine || httphead.ContainsStatusLine(string(line))
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "event":
		e.Name = string(value)
	case "data":
		if e.hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		e.hasData = true
	}
}

// isField reports whether a line is neither empty nor a comment.
func isField(line []byte) bool { return len(bytes.TrimRight(line, "\r")) > 0 && line[0] != ':' }

// readLine returns one line without its line ending, of an event of which size bytes were
// read before. With an error of the source, it returns the part of the line that was read.
func (r *SSEReader) readLine(size, heldBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		if !r.memory.Resize((heldBytes + size + len(line) + len(part)) * eventCopies) {
			return nil, errkind.New(errkind.AnswerIncomplete, "the memory for answers is used up by %d bytes of an event and by other answers", size+len(line))
		}
		line = append(line, part...)
		if size+len(bytes.TrimRight(line, "\r\n")) > r.maxBytes {
			return nil, errkind.New(errkind.AnswerIncomplete, "an event of more than %d bytes", r.maxBytes)
		}
		if err == nil {
			return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return line, err
	}
}
