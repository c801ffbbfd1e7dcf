package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
)

// readBody reads the whole body, since a retry sends it again.
func (x *exchange) readBody() *errkind.Error {
	maxBytes := x.table.Limits().BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	if x.r.ContentLength > maxBytes {
		return errkind.New(errkind.BodyTooLarge, "the body has %d bytes, more than %d", x.r.ContentLength, maxBytes)
	}
	body, err := x.readAll(maxBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		x.g.metrics.bodiesRefused.Inc(1)
		return errkind.New(errkind.Overloaded, "the bodies in progress use all of the memory for them, %d bytes", x.g.bodyMemoryBytes)
	case errors.Is(err, os.ErrDeadlineExceeded) && x.g.graceOver.Err() != nil:
		return errkind.Wrap(errkind.ShuttingDown, err, "the body did not arrive before the instance stopped")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineUnmeetable, err, "the body did not arrive before the deadline")
	case errors.As(err, &tooLarge):
		return errkind.Wrap(errkind.BodyTooLarge, err, "the body exceeds %d bytes", maxBytes)
	case err != nil && x.r.Context().Err() != nil:
		return errkind.Wrap(errkind.CallerGone, err, "the caller disconnected while its request was read")
	case err != nil:
		return errkind.Wrap(errkind.BadRequest, err, "the body cannot be read")
	}
	x.body = body
	x.traits = x.traitsOf(x.contentHash())
	return nil
}

// freeBodyBytes is the part of each body that is not taken from Gateway.bodyMemory, so that
// small requests are served while large ones use it up. memoryPerRequestMiB covers it.
const freeBodyBytes = 32 << 10

// errBodyMemory means that Gateway.bodyMemory is used up.
var errBodyMemory = errors.New("no memory for the body")

// readWithin reads a body whose memory is taken from Gateway.bodyMemory until releaseBody: for
// a stated length before the first byte is read, and otherwise as the bytes arrive.
func (x *exchange) readWithin(source io.Reader, maxBytes int64) ([]byte, error) {
	if x.r.ContentLength < 0 {
		// One byte more than the limit, so that a buffer that cannot grow is out of memory.
		buffer := membudget.NewBuffer(x.g.bodyMemory, freeBodyBytes, int(maxBytes)+1)
		x.releaseBody = buffer.Release
		complete, err := buffer.ReadAll(source)
		if err == nil && !complete {
			err = errBodyMemory
		}
		return buffer.Bytes(), err
	}
	share := membudget.NewShare(x.g.bodyMemory, freeBodyBytes)
	if !share.Resize(int(x.r.ContentLength)) {
		return nil, errBodyMemory
	}
	x.releaseBody = share.Release
	body := make([]byte, x.r.ContentLength)
	_, err := io.ReadFull(source, body)
	return body, err
}

const (
	// maxDiscardedBytes and maxDiscardTime bound the rest of a body that is read and dropped
	// after its request was refused. A connection that is closed before is reset, which can
	// keep the caller from reading the answer.
	maxDiscardedBytes = 8 << 20
	maxDiscardTime    = 2 * time.Second
)

// refuseBody ends a request whose body was not read to its end, or not at all. The answer is
// sent at once, without waiting for the rest.
func (x *exchange) refuseBody(err *errkind.Error) {
	retryAfter := time.Duration(0)
	if err.Kind == errkind.Overloaded {
		retryAfter = jitter(defaultRetryAfter)
	}
	if err.Kind != errkind.Overloaded && err.Kind != errkind.BodyTooLarge {
		x.fail(err, retryAfter)
		return
	}
	if x.releaseBody != nil {
		x.releaseBody()
	}
	controller := http.NewResponseController(x.w)
	// Otherwise the server reads up to 256 KiB of the rest before it answers.
	duplexErr := controller.EnableFullDuplex()
	// With a length the answer is complete before the rest of the body has been read.
	x.w.Header().Set("Content-Length", strconv.Itoa(len(err.Kind)+len("\n")))
	x.fail(err, retryAfter)
	if errors.Join(duplexErr, controller.Flush(), controller.SetReadDeadline(time.Now().Add(maxDiscardTime))) != nil {
		// The connection is closed.
		return
	}
	if _, discardErr := io.CopyN(io.Discard, x.r.Body, maxDiscardedBytes); discardErr == nil {
		x.g.log.V(1).Info("the rest of a refused body is too long to be read", "request", x.requestInfo.RequestID)
	}
}

// readAll reads the body until its end, the deadline of the request or the size limit.
func (x *exchange) readAll(maxBytes int64) ([]byte, error) {
	// Connections without deadlines occur in tests only.
	controller := http.NewResponseController(x.w)
	limited := controller.SetReadDeadline(time.Now().Add(x.deadline-x.g.now())) == nil
	detach := context.AfterFunc(x.g.graceOver, func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := x.readWithin(http.MaxBytesReader(x.w, x.r.Body, maxBytes), maxBytes)
	if !detach() {
		// The read deadline may have expired, or is about to.
		return nil, os.ErrDeadlineExceeded
	}
	if limited && err == nil {
		// The server goes on reading to notice that the caller disconnects.
		err = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// contentHash returns a hash that is equal for
// requests of one team with the same method, host, target and body.
func (x *exchange) contentHash() uint64 {
	var digest xxhash.Digest
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.teamName()} {
		// Writes to a digest do not fail.
		_, _ = digest.WriteString(part + "\x00")
	}
	_, _ = digest.Write(x.body)
	return digest.Sum64()
}
