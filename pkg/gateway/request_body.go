package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// readBody reads the whole body, since a retry sends it again.
func (x *exchange) readBody() *errkind.Error {
	maxBytes := x.table.Limits().BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	body, err := x.readAll(maxBytes)
	var tooLarge *http.MaxBytesError
	switch {
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

// readAll reads the body until its end, the deadline of the request or the size limit.
func (x *exchange) readAll(maxBytes int64) ([]byte, error) {
	// Connections without deadlines occur in tests only.
	controller := http.NewResponseController(x.w)
	limited := controller.SetReadDeadline(time.Now().Add(x.deadline-x.g.now())) == nil
	detach := context.AfterFunc(x.g.graceOver, func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, maxBytes))
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
