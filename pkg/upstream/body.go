package upstream

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// answerBody is the body of an answer. It ends with io.EOF only if the answer is
// known to be complete.
type answerBody struct {
	io.ReadCloser
	// delimited is false if only the end of the connection marks the end of the body.
	delimited bool
}

// newAnswerBody wraps the body of a response. A body with neither a
// Content-Length nor chunked encoding ends with the connection, so a truncated
// one looks complete. Such an answer is reported as incomplete, unless it is an
// event stream, whose last event marks its end.
func newAnswerBody(response *http.Response) io.ReadCloser {
	chunked := slices.Contains(response.TransferEncoding, "chunked")
	eventStream := strings.HasPrefix(response.Header.Get("Content-Type"), contentTypeEvents)
	empty := response.Body == http.NoBody
	delimited := chunked || eventStream || empty || response.ContentLength >= 0
	return &answerBody{ReadCloser: response.Body, delimited: delimited}
}

// Read returns an error of kind AnswerIncomplete if the answer is truncated.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
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
