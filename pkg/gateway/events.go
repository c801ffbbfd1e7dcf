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

// Bounds of the reading of streams.
const (
	streamReadBytes = 8 << 10
	// maxEventBytes bounds an event that is not complete yet.
	maxEventBytes = 1 << 20
	// gapsKept bounds the gaps between events that are compared, and
	// gapsNeeded is the number from which they say something.
	maxGapSamples = 64
	minGapSamples = 4
	// gapRank is the share of the gaps that are shorter than the one that
	// stands for a step without the prefill of other requests.
	gapQuantile = 0.25
)

var eventDelimiter = []byte("\n\n")

// eventReader takes complete events from a stream.
type eventReader struct {
	body    io.Reader
	pending []byte
	buffer  []byte
}

// next returns all complete events that have arrived, and waits for at least
// one. At the end of the stream it returns what is left, with io.EOF.
func (e *eventReader) next() ([]byte, error) {
	for {
		n, err := e.body.Read(e.buffer)
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
			return nil, errors.New("an event is too long")
		}
	}
}

// lastEventID returns the ID of the last event that has one.
func parseLastEventID(events []byte) string {
	id := ""
	for line := range strings.Lines(string(events)) {
		if value, found := strings.CutPrefix(line, "id:"); found {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

// passEvents passes on the events of a stream as they arrive, each one whole.
func (x *exchange) forwardEvents(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptResult, bool) {
	reader := &eventReader{body: response.Body, buffer: make([]byte, streamReadBytes)}
	result := attemptResult{outcome: admission.Answered}
	var gaps []time.Duration
	last := time.Duration(0)
	flusher := http.NewResponseController(x.w)
	for {
		events, err := reader.next()
		now := x.g.now()
		result.eventGap = baselineGap(gaps)
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
			result.longestGap = max(result.longestGap, now-last)
			if len(gaps) < maxGapSamples {
				gaps = append(gaps, now-last)
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

// beginAnswer sends the headers of the first upstream once.
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

// breakEvents is the end of a stream that the upstream broke off. What it sent
// of an incomplete event is dropped, so that the stream can be resumed.
func (x *exchange) eventsBroken(ctx context.Context, decision admission.Decision, cause error, result attemptResult) (attemptResult, bool) {
	broken := x.answerFailed(ctx, decision, cause, false)
	broken.timeToFirstOutput, broken.eventGap = result.timeToFirstOutput, result.eventGap
	if x.answerStarted && x.lastEventID == "" {
		// Without the ID of an event nothing can say where to go on.
		broken.final = true
	}
	return broken, false
}

// typicalGap is the time between two events while the upstream does not read
// prompts beside.
func baselineGap(gaps []time.Duration) time.Duration {
	if len(gaps) < minGapSamples {
		return 0
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	return sorted[int(float64(len(sorted))*gapQuantile)]
}
