package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
)

const (
	// maxIntervalSamples bounds the intervals between events that are sampled per
	// stream; fewer than minIntervalSamples give no estimate.
	maxIntervalSamples = 64
	minIntervalSamples = 4
	// intervalQuantile is the quantile of the intervals that estimates a decode
	// step without prefill of other requests.
	intervalQuantile = 0.25
)

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
	reader := newEventReader(response, x.g.answerMemory)
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
			return x.eventsBroken(ctx, decision, io.ErrUnexpectedEOF, result, reader), false
		case errors.Is(err, io.EOF):
			if last == 0 {
				result.timeToFirstOutput = now - started
			}
			x.writeHeaderOnce(response)
			return result, true
		case err != nil:
			return x.eventsBroken(ctx, decision, err, result, reader), false
		}
		if id, found := firstEventID(events); resumed && found {
			if !continues(id, x.position.eventID) {
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
		x.position = x.position.after(events)
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

// notTheRest returns the result of an attempt at the rest of a stream that got another
// answer. Nothing of it may be forwarded, since the headers of the stream have been sent.
func (x *exchange) notTheRest(decision admission.Decision, response *connpool.Response) attemptResult {
	return attemptResult{outcome: admission.Failed, err: errkind.Wrap(errkind.UpstreamRefused, errNotTheRest,
		"upstream %s answered %d", decision.Upstream.ID, response.Status)}
}

// eventsBroken returns the result of a stream that broke off. An incomplete event
// is dropped, so that the stream can be resumed after the last complete one.
func (x *exchange) eventsBroken(ctx context.Context, decision admission.Decision, cause error, result attemptResult, reader *eventReader) attemptResult {
	broken := x.answerFailed(ctx, decision, cause, false)
	broken.timeToFirstOutput, broken.eventInterval, broken.outputBytes = result.timeToFirstOutput, result.eventInterval, result.outputBytes
	// A stream cannot be resumed without event IDs, or if the last event that the caller has
	// may be spoiled.
	if x.answerStarted && (!x.position.resumable() || reader.returnedIncompleteChunk()) {
		broken.final = true
	}
	return broken
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
