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
)

const (
	// DefaultMaxEventBytes bounds one event, including its field names.
	DefaultMaxEventBytes = 1 << 20
	eventBufferBytes     = 16 << 10
)

// lastData is the data of the event that ends a stream.
var lastData = []byte("[DONE]")

// EventID identifies an event of an engine's stream.
type EventID struct {
	Upstream  string
	RequestID string
	Sequence  uint64
}

// String returns the ID as it is sent: UPSTREAM/REQUEST/SEQUENCE.
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

// EventReader reads the events of one request's stream in sequence. It drops
// duplicates and reports gaps, events of other requests, and streams that end
// without their last event. It is not safe for concurrent use.
type EventReader struct {
	raw       *RawReader
	requestID string
	next      uint64
	// bareIDs accepts events with a bare sequence number or without an ID.
	bareIDs bool
	done    bool
	err     error
}

// NewEventReader returns a reader of the events of requestID from sequence
// number next on, which counts from 1. An event of more than maxBytes is an
// error; zero means DefaultMaxEventBytes.
func NewEventReader(source io.Reader, requestID string, next uint64, maxBytes int) *EventReader {
	return &EventReader{raw: NewRawReader(source, maxBytes), requestID: requestID, next: max(1, next)}
}

// NewEngineReader is like NewEventReader, but it also accepts events with a
// bare sequence number, and events without an ID, which count as the next ones:
// not every engine names the request in each event.
func NewEngineReader(source io.Reader, requestID string, next uint64, maxBytes int) *EventReader {
	reader := NewEventReader(source, requestID, next, maxBytes)
	reader.bareIDs = true
	return reader
}

// Expected returns the sequence number of the next event, from which an
// interrupted stream is resumed.
func (r *EventReader) Expected() uint64 { return r.next }

// Next returns the next event, and io.EOF after the last one. An error has the
// kind AnswerIncomplete, after which the stream may be resumed at Expected, or
// CrossedAnswer. Errors are permanent for the reader.
func (r *EventReader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	if r.done {
		return Event{}, io.EOF
	}
	event, err := r.find()
	if err != nil {
		r.err = err
		return Event{}, err
	}
	r.next++
	r.done = event.Last
	return event, nil
}

// find skips duplicates and returns the event that is expected next.
func (r *EventReader) find() (Event, error) {
	for {
		raw, err := r.raw.Next()
		if err != nil {
			return Event{}, r.endError(err)
		}
		sequence, err := r.sequenceOf(raw.ID)
		if err != nil {
			return Event{}, err
		}
		if sequence < r.next {
			continue
		}
		if sequence > r.next {
			return Event{}, errkind.New(errkind.AnswerIncomplete, "event %d follows event %d", sequence, r.next-1)
		}
		last := bytes.Equal(bytes.TrimSpace(raw.Data), lastData)
		return Event{Sequence: sequence, Name: raw.Name, Data: raw.Data, Last: last}, nil
	}
}

// sequenceOf returns the sequence number in the ID of an event.
func (r *EventReader) sequenceOf(text string) (uint64, error) {
	if r.bareIDs && text == "" {
		return r.next, nil
	}
	if r.bareIDs && !strings.Contains(text, "/") {
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

func (r *EventReader) endError(err error) error {
	if errors.Is(err, io.EOF) {
		return errkind.New(errkind.AnswerIncomplete, "the stream ended before its last event, at event %d", r.next)
	}
	return errkind.Wrap(errkind.AnswerIncomplete, err, "the stream broke before event %d", r.next)
}

// RawEvent is an event as it was received.
type RawEvent struct {
	ID      string
	Name    string
	Data    []byte
	hasData bool
}

// RawReader reads server-sent events without regard to their IDs, as a service
// sends them.
type RawReader struct {
	source   *bufio.Reader
	maxBytes int
}

// NewRawReader returns a reader of events of at most maxBytes; zero means
// DefaultMaxEventBytes.
func NewRawReader(source io.Reader, maxBytes int) *RawReader {
	if maxBytes == 0 {
		maxBytes = DefaultMaxEventBytes
	}
	return &RawReader{source: bufio.NewReaderSize(source, eventBufferBytes), maxBytes: maxBytes}
}

// Next returns the next event that has data, and io.EOF at the end of the
// source. An event without the empty line at its end was cut and is not
// returned. Other errors are those of the source, or of kind AnswerIncomplete
// for an event that is too large.
func (r *RawReader) Next() (RawEvent, error) {
	var event RawEvent
	size := 0
	for {
		line, err := r.readLine(r.maxBytes - size)
		if err != nil {
			return RawEvent{}, err
		}
		size += len(line)
		if len(line) > 0 {
			event.add(line)
			continue
		}
		if event.hasData {
			return event, nil
		}
		event = RawEvent{}
		size = 0
	}
}

// add applies one field line. Comments and other fields are ignored.
func (e *RawEvent) add(line []byte) {
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

// readLine returns one line without its end, of at most limit bytes.
func (r *RawReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		line = append(line, part...)
		if len(bytes.TrimRight(line, "\r\n")) > limit {
			return nil, errkind.New(errkind.AnswerIncomplete, "an event of more than %d bytes", r.maxBytes)
		}
		if err == nil {
			return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return nil, err
	}
}
