package upstream

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// body is the body of an answer. It ends with io.EOF only when the answer is
// known to be complete.
type body struct {
	io.ReadCloser
	// delimited is false when only the end of the connection ends the body.
	delimited bool
}

// newBody wraps the body of a response. A body without a length and without
// chunks ends with the connection, so that a cut cannot be told from the end.
// Such an answer is reported as incomplete, unless it is an event stream,
// whose last event tells its end.
func newBody(response *http.Response) io.ReadCloser {
	chunked := slices.Contains(response.TransferEncoding, "chunked")
	events := strings.HasPrefix(response.Header.Get("Content-Type"), contentTypeEvents)
	empty := response.Body == http.NoBody
	delimited := chunked || events || empty || response.ContentLength >= 0
	return &body{ReadCloser: response.Body, delimited: delimited}
}

// Read returns an error of kind AnswerIncomplete when the answer was cut.
func (b *body) Read(data []byte) (int, error) {
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
