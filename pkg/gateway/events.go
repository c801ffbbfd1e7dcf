package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
)

const (
	// maxEventBytes bounds an event. It is less while the answers to other requests use up
	// Gateway.answerMemory, but not less than firstAnswerBytes.
	maxEventBytes = 128 << 10
	// maxIntervalSamples bounds the intervals between events that are sampled per
	// stream; fewer than minIntervalSamples give no estimate.
	maxIntervalSamples = 64
	minIntervalSamples = 4
	// intervalQuantile is the quantile of the intervals that estimates a decode
	// step without prefill of other requests.
	intervalQuantile = 0.25
)

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

// eventReader splits a server-sent event stream at event boundaries.
type eventReader struct {
	body io.Reader
	// buffer holds the events that next has returned last, of the length returned, and
	// what was read after them.
	buffer   *membudget.Buffer
	returned int
	// received is the number of bytes read, and err the error of the last read.
	received int
	err      error
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
		// Only the bytes of the last read are searched, since an event may come in many
		// pieces, and those before them that may be the beginning of a delimiter.
		from := max(0, scanned-maxDelimiterBytes+1)
		if length := lengthOfEvents(e.buffer.Bytes()[from:]); length > 0 {
			e.returned = from + length
			return e.buffer.Bytes()[:e.returned], nil
		}
		scanned = len(e.buffer.Bytes())
		if e.err != nil {
			return nil, e.err
		}
		space := e.buffer.Space()
		switch {
		case space == nil && e.buffer.Full():
			return nil, errEventTooLong
		case space == nil:
			return nil, errAnswerMemory
		}
		var n int
		n, e.err = e.body.Read(space)
		e.received += n
		e.buffer.Extend(n)
	}
}

// parseLastEventID returns the ID of the last event that has one.
func parseLastEventID(events []byte) string {
	id := ""
	for line := range eventLines(events) {
		if value, found := strings.CutPrefix(line, "id:"); found {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

// errNotTheRest is the cause of the failure of an upstream that answers something other
// than the rest of the stream.
var errNotTheRest = errors.New("the answer is not the rest of the stream")

// isEventStream reports whether a successful answer is a stream of events. Upstreams need
// not state the type.
func isEventStream(response *connpool.Response) bool {
	contentType := response.Header.Get("Content-Type")
	return response.Status == http.StatusOK && (contentType == "" || strings.HasPrefix(contentType, "text/event-stream"))
}

// forwardEvents forwards the events of a stream as they arrive. It never forwards
// part of an event.
func (x *exchange) forwardEvents(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptResult, bool) {
	reader := &eventReader{body: response.Body, buffer: membudget.NewBuffer(x.g.answerMemory, firstAnswerBytes, maxEventBytes)}
	defer reader.buffer.Release()
	result := attemptResult{outcome: admission.Answered}
	var intervals []time.Duration
	last := time.Duration(0)
	resumed := x.answerStarted
	flusher := http.NewResponseController(x.w)
	for {
		events, err := reader.next()
		now := x.g.now()
		result.eventInterval, result.outputBytes = baselineInterval(intervals), reader.received
		switch {
		case errors.Is(err, io.EOF) && reader.incompleteEvent():
			return x.eventsBroken(ctx, decision, io.ErrUnexpectedEOF, result)
		case errors.Is(err, io.EOF):
			if last == 0 {
				result.timeToFirstOutput = now - started
			}
			x.writeHeaderOnce(response)
			return result, true
		case err != nil:
			return x.eventsBroken(ctx, decision, err, result)
		}
		if id, found := firstEventID(events); resumed && found {
			if !continues(id, x.lastEventID) {
				return x.notTheRest(decision, response), false
			}
			resumed = false
		}
		if last == 0 {
			result.timeToFirstOutput = now - started
			x.g.enqueue(firstOutputMsg{service: x.service, upstream: decision.Upstream.ID, key: x.request.Key})
			x.recordRollout(decision, rollout.FirstOutput(result.timeToFirstOutput))
		} else {
			result.longestInterval = max(result.longestInterval, now-last)
			if now-started-result.timeToFirstOutput >= answerBeginning {
				x.recordAnswer()
			}
			if len(intervals) < maxIntervalSamples {
				intervals = append(intervals, now-last)
			}
		}
		last = now
		x.writeHeaderOnce(response)
		if id := parseLastEventID(events); id != "" {
			x.lastEventID = id
		}
		if _, err := x.w.Write(events); err != nil {
			return x.callerGone(err, admission.Cancelled, result.timeToFirstOutput), false
		}
		if err := flusher.Flush(); err != nil {
			return x.callerGone(err, admission.Cancelled, result.timeToFirstOutput), false
		}
	}
}

// writeHeaderOnce sends status and headers unless an earlier attempt has sent
// them.
func (x *exchange) writeHeaderOnce(response *connpool.Response) {
	if x.answerStarted {
		return
	}
	x.copyHeader(response)
	x.answerStarted = true
	x.w.WriteHeader(response.Status)
}

// incompleteEvent reports whether the stream has ended within an event.
func (e *eventReader) incompleteEvent() bool {
	for range eventLines(e.buffer.Bytes()) {
		return true
	}
	return false
}

// notTheRest returns the result of an attempt at the rest of a stream that got another
// answer. Nothing of it may be forwarded, since the headers of the stream have been sent.
func (x *exchange) notTheRest(decision admission.Decision, response *connpool.Response) attemptResult {
	return attemptResult{outcome: admission.Failed, err: errkind.Wrap(errkind.UpstreamRefused, errNotTheRest,
		"upstream %s answered %d", decision.Upstream.ID, response.Status)}
}

// eventsBroken returns the result of a stream that broke off. An incomplete event
// is dropped, so that the stream can be resumed after the last complete one.
func (x *exchange) eventsBroken(ctx context.Context, decision admission.Decision, cause error, result attemptResult) (attemptResult, bool) {
	broken := x.answerFailed(ctx, decision, cause, false)
	broken.timeToFirstOutput, broken.eventInterval, broken.outputBytes = result.timeToFirstOutput, result.eventInterval, result.outputBytes
	if x.answerStarted && x.lastEventID == "" {
		// A stream without event IDs cannot be resumed.
		broken.final = true
	}
	return broken, false
}

// baselineInterval estimates the time between two events while the upstream runs no
// prefill of other requests. It returns 0 if there are too few samples.
func baselineInterval(intervals []time.Duration) time.Duration {
	if len(intervals) < minIntervalSamples {
		return 0
	}
	sorted := slices.Clone(intervals)
	slices.Sort(sorted)
	return sorted[int(float64(len(sorted))*intervalQuantile)]
}
