package upstream

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// answerBody is the body of an answer. It ends with io.EOF only if the answer is
// known to be complete.
type answerBody struct {
	io.Reader
	closeConn func()
	// delimited is false if only the end of the connection marks the end of the body.
	// hasLength is true if its length is known.
	delimited bool
	hasLength bool
	// chunks is nil unless the body is chunked and on a connection of its own.
	chunks connpool.ChunkedBody
}

// newAnswerBody wraps the body of a response of net/http. A body with neither a
// Content-Length nor chunked encoding ends with the connection, so a truncated
// one looks complete. Such an answer is reported as incomplete, unless it is an
// event stream, whose last event marks its end.
func newAnswerBody(response *http.Response) io.ReadCloser {
	return &answerBody{
		Reader: response.Body, closeConn: func() { _ = response.Body.Close() },
		delimited: slices.Contains(response.TransferEncoding, "chunked") || hasEvents(response.Header) || response.Body == http.NoBody || response.ContentLength >= 0,
		hasLength: response.ContentLength >= 0,
	}
}

// newDispatchedBody wraps the body of a response on a connection of its own, in the same way.
func newDispatchedBody(response *connpool.Response, closeConn func()) io.ReadCloser {
	chunks, _ := response.Body.(connpool.ChunkedBody)
	return &answerBody{
		Reader: response.Body, closeConn: closeConn, chunks: chunks,
		delimited: response.Framed || hasEvents(response.Header) || response.Body == http.NoBody,
		hasLength: response.Length >= 0,
	}
}

func hasEvents(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), contentTypeEvents)
}

// Read returns an error of kind AnswerIncomplete if the answer is truncated.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, errkind.Wrap(errkind.AnswerIncomplete, err, "the answer was cut")
	}
	if !b.delimited {
		return n, errkind.New(errkind.AnswerIncomplete, "the answer has neither a length nor chunks")
	}
	return n, io.EOF
}

// Close closes the connection, or returns it to its pool.
func (b *answerBody) Close() error {
	b.closeConn()
	return nil
}
