package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/connpool"
)

const (
	streamReadBytes = 8 << 10
	// maxEventBytes bounds the incomplete event at the end of the buffer.
	maxEventBytes = 128 << 10
	// maxIntervalSamples bounds the intervals between events that are sampled per
	// stream; fewer than minIntervalSamples give no estimate.
	maxIntervalSamples = 64
	minIntervalSamples = 4
	// intervalQuantile is the quantile of the intervals that estimates a decode
	// step without prefill of other requests.
	intervalQuantile = 0.25
)

var eventDelimiter = []byte("\n\n")

// eventReader splits a server-sent event stream at event boundaries.
type eventReader struct {
	body    io.Reader
	pending []byte
	buffer  []byte
	// received is the number of bytes read.
	received int
}

// next waits for at least one complete event and returns all that have arrived.
// At the end of the stream it returns io.EOF and leaves the incomplete rest in
// pending.
func (e *eventReader) next() ([]byte, error) {
	for {
		n, err := e.body.Read(e.buffer)
		e.received += n
		e.pending = append(e.pending, e.buffer[:n]...)
		if err != nil {
			return nil, err
		}
		if end := bytes.LastIndex(e.pending, eventDelimiter); end >= 0 {
			complete := e.pending[:end+len(eventDelimiter)]
			remainder := bytes.Clone(e.pending[end+len(eventDelimiter):])
			e.pending = remainder
			return complete, nil
		}
		if len(e.pending) > maxEventBytes {
			return nil, errors.New("an event exceeds the size limit")
		}
	}
}

// parseLastEventID returns the ID of the last event that has one.
func parseLastEventID(events []byte) string {
	id := ""
	for line := range strings.Lines(string(events)) {
		if value, found := strings.CutPrefix(line, "id:"); found {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

// forwardEvents forwards the events of a stream as they arrive. It never forwards
// part of an event, except at the regular end of the stream.
func (x *exchange) forwardEvents(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptResult, bool) {
	reader := &eventReader{body: response.Body, buffer: make([]byte, streamReadBytes)}
	result := attemptResult{outcome: admission.Answered}
	var intervals []time.Duration
	last := time.Duration(0)
	flusher := http.NewResponseController(x.w)
	for {
		events, err := reader.next()
		now := x.g.now()
		result.eventInterval, result.outputBytes = baselineInterval(intervals), reader.received
		switch {
		case errors.Is(err, io.EOF):
			if last == 0 {
				result.timeToFirstOutput = now - started
			}
			return x.finishEvents(reader.pending, response, result)
		case err != nil:
			return x.eventsBroken(ctx, decision, err, result)
		}
		if last == 0 {
			result.timeToFirstOutput = now - started
			x.g.enqueue(firstOutputMsg{service: x.service, upstream: decision.Upstream.ID, key: x.request.Key})
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

func (x *exchange) finishEvents(rest []byte, response *connpool.Response, result attemptResult) (attemptResult, bool) {
	x.writeHeaderOnce(response)
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			return x.callerGone(err, admission.Answered, result.timeToFirstOutput), true
		}
	}
	return result, true
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
