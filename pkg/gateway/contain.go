package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// An unexpected error in the handling of one input must not end the process, nor stop the
// handling of others. A panic is contained where an input is handled: a message of the
// control loop, a store object, a caller's request, or a step of a background task.

const (
	// panicLogsPerSecond bounds the log lines about panics.
	panicLogsPerSecond = 5
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 2 << 10
	// restartPause is the time before a background task that has panicked is restarted.
	restartPause = 100 * time.Millisecond
)

func newPanicLimiter() *rate.Limiter { return rate.NewLimiter(panicLogsPerSecond, panicLogsPerSecond) }

// contain calls f and returns an error if it panics. input identifies what f handles; the
// log contains its hash, by which inputs can be compared without exposing them.
func (g *Gateway) contain(where string, input func() string, f func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = g.handlePanic(where, input, cause)
		}
	}()
	f()
	return nil
}

// handlePanic counts and logs a panic and returns it as an error. It must be called by a
// deferred function, for the stack.
func (g *Gateway) handlePanic(where string, input func() string, cause any) error {
	err := fmt.Errorf("panic in %s: %v", where, cause)
	g.metrics.panics.Inc(1)
	if g.panicLogs.Allow() {
		stack := debug.Stack()
		g.log.Error(err, "unexpected error contained", "where", where, "input_hash", inputHash(input), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	}
	return err
}

// inputHash returns the hash of an input. Describing the input may panic as well.
func inputHash(input func() string) (hash string) {
	defer func() {
		if recover() != nil {
			hash = "unknown"
		}
	}()
	return strconv.FormatUint(xxhash.Sum64String(input()), 16)
}

// supervise runs a background task until ctx ends, and starts it again if it panics.
func (g *Gateway) supervise(ctx context.Context, name string, task func()) {
	for ctx.Err() == nil {
		if err := g.contain(name, func() string { return name }, task); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(restartPause):
		}
	}
}

// applyMessage applies a message of the control loop. If it panics, the state that it may
// have changed by half is rebuilt.
func (c *controlLoop) applyMessage(m message) {
	if err := c.g.contain("control message", func() string { return fmt.Sprintf("%T %+v", m, m) }, func() { m.apply(c) }); err != nil {
		c.rebuild()
	}
}

// rebuild replaces the pools by new ones with the known upstreams, and refuses the queued
// requests. The loads of peers follow with their next full reports. Requests that run at
// upstreams are not counted until they end.
func (c *controlLoop) rebuild() {
	for key, reply := range c.placementReplies {
		delete(c.placementReplies, key)
		reply <- admission.Decision{Key: key, Action: admission.Refuse, Reason: "internal error", RetryAfter: defaultRetryAfter}
	}
	c.pools = map[string]*admission.Pool{}
	for _, info := range c.upstreams {
		c.pool(info.Service).SetUpstream(info)
		c.applyLeaving(info.Process())
	}
	c.restoreVersionRules()
	c.follower.SetRelay("")
	for _, follower := range c.relay.Followers() {
		c.cancelDelegated(c.relay.Drop(follower))
	}
	c.requireFullReports()
	c.g.log.Info("pools rebuilt after an internal error", "services", len(c.pools), "upstreams", len(c.upstreams))
}

// errNoReply is returned if the control loop does not answer a question.
var errNoReply = errors.New("the control loop did not answer")

// ask sends a message to the control loop and waits for the reply until ctx ends.
func ask[T any](ctx context.Context, g *Gateway, m message, reply <-chan T) (T, error) {
	g.enqueue(m)
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("%w: %w", errNoReply, ctx.Err())
	}
}

// recoverRequest ends a request whose handling has panicked: it releases its slot at the
// upstream, and answers the caller if no byte of an answer was sent.
func (x *exchange) recoverRequest() {
	cause := recover()
	if cause == nil {
		return
	}
	if aborted, ok := cause.(error); ok && errors.Is(aborted, http.ErrAbortHandler) {
		panic(cause)
	}
	err := x.g.handlePanic("request", func() string {
		return x.r.Method + " " + x.r.RequestURI + " " + strconv.FormatUint(x.contentHash(), 16)
	}, cause)
	if x.placement != nil {
		x.reportResult(*x.placement, attemptResult{outcome: admission.Cancelled})
	}
	if x.answerStarted {
		x.abortAnswer()
	}
	kind := errkind.NotReady
	if x.mayHaveRun {
		kind = errkind.UpstreamBroken
	}
	x.fail(errkind.Wrap(kind, err, "internal error"), jitter(defaultRetryAfter))
}
