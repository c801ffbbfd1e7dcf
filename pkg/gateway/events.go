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
	readBytes = 8 << 10
	// maxEventBytes bounds an event that is not complete yet.
	maxEventBytes = 1 << 20
	// gapsKept bounds the gaps between events that are compared, and
	// gapsNeeded is the number from which they say something.
	gapsKept   = 64
	gapsNeeded = 4
	// gapRank is the share of the gaps that are shorter than the one that
	// stands for a step without the prefill of other requests.
	gapRank = 0.25
)

var eventEnd = []byte("\n\n")

// eventReader takes complete events from a stream.
type eventReader struct {
	body    io.Reader
	pending []byte
	chunk   []byte
}

// next returns all complete events that have arrived, and waits for at least
// one. At the end of the stream it returns what is left, with io.EOF.
func (e *eventReader) next() ([]byte, error) {
	for {
		n, err := e.body.Read(e.chunk)
		e.pending = append(e.pending, e.chunk[:n]...)
		if err != nil {
			return nil, err
		}
		if end := bytes.LastIndex(e.pending, eventEnd); end >= 0 {
			complete := e.pending[:end+len(eventEnd)]
			rest := bytes.Clone(e.pending[end+len(eventEnd):])
			e.pending = rest
			return complete, nil
		}
		if len(e.pending) > maxEventBytes {
			return nil, errors.New("an event is too long")
		}
	}
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	id := ""
	for line := range strings.Lines(string(events)) {
		if value, found := strings.CutPrefix(line, "id:"); found {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

// passEvents passes on the events of a stream as they arrive, each one whole.
func (x *exchange) passEvents(ctx context.Context, decision admission.Decision, response *connpool.Response, started time.Duration) (attemptEnd, bool) {
	reader := &eventReader{body: response.Body, chunk: make([]byte, readBytes)}
	end := attemptEnd{outcome: admission.Answered}
	var gaps []time.Duration
	last := time.Duration(0)
	flusher := http.NewResponseController(x.w)
	for {
		events, err := reader.next()
		now := x.g.now()
		end.eventGap = typicalGap(gaps)
		switch {
		case errors.Is(err, io.EOF):
			if last == 0 {
				end.first = now - started
			}
			return x.endEvents(reader.pending, response, end)
		case err != nil:
			return x.breakEvents(ctx, decision, err, end)
		}
		if last == 0 {
			end.first = now - started
			x.g.tell(firstOutput{service: x.service, upstream: decision.Upstream.ID, key: x.request.Key})
		} else {
			end.longestGap = max(end.longestGap, now-last)
			if len(gaps) < gapsKept {
				gaps = append(gaps, now-last)
			}
		}
		last = now
		x.beginAnswer(response)
		if id := lastEventID(events); id != "" {
			x.lastEvent = id
		}
		if _, err := x.w.Write(events); err != nil {
			return x.callerLost(err, admission.Cancelled, end.first), false
		}
		if err := flusher.Flush(); err != nil {
			return x.callerLost(err, admission.Cancelled, end.first), false
		}
	}
}

// beginAnswer sends the headers of the first upstream once.
func (x *exchange) beginAnswer(response *connpool.Response) {
	if x.answered {
		return
	}
	x.copyHeader(response)
	x.answered = true
	x.w.WriteHeader(response.Status)
}

func (x *exchange) endEvents(rest []byte, response *connpool.Response, end attemptEnd) (attemptEnd, bool) {
	x.beginAnswer(response)
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			return x.callerLost(err, admission.Answered, end.first), true
		}
	}
	return end, true
}

// breakEvents is the end of a stream that the upstream broke off. What it sent
// of an incomplete event is dropped, so that the stream can be resumed.
func (x *exchange) breakEvents(ctx context.Context, decision admission.Decision, cause error, end attemptEnd) (attemptEnd, bool) {
	broken := x.broken(ctx, decision, cause, false)
	broken.first, broken.eventGap = end.first, end.eventGap
	if x.answered && x.lastEvent == "" {
		// Without the ID of an event nothing can say where to go on.
		broken.final = true
	}
	return broken, false
}

// typicalGap is the time between two events while the upstream does not read
// prompts beside.
func typicalGap(gaps []time.Duration) time.Duration {
	if len(gaps) < gapsNeeded {
		return 0
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	return sorted[int(float64(len(sorted))*gapRank)]
}
