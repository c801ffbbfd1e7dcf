// Package httphead finds heads of HTTP responses that net/http accepts although they are not
// those of one whole response.
package httphead

import (
	"errors"
	"net/http"
	"regexp"
	"strings"
)

// minStatus and maxStatus are the lowest and the highest status code of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// ErrDefective means that the head of a response is defective.
var ErrDefective = errors.New("the head of the answer is defective")

// statusLinePattern matches the beginning of a status line.
var statusLinePattern = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)

// Check returns ErrDefective for heads that http.ReadResponse accepts, though their status
// and framing may be those of two answers, their framing was not understood, or their status
// is none. Nor is 101 a valid status, since no request asks for another protocol, which is
// what the bytes after it belong to.
func Check(raw *http.Response) error {
	if raw.StatusCode < minStatus || raw.StatusCode > maxStatus || raw.StatusCode == http.StatusSwitchingProtocols {
		return ErrDefective
	}
	if ContainsStatusLine(raw.Status) {
		return ErrDefective
	}
	for name, values := range raw.Header {
		// A name with a space, such as "Content-Length ", is not taken for the name without it.
		if strings.Contains(name, " ") {
			return ErrDefective
		}
		for _, value := range values {
			if ContainsStatusLine(value) {
				return ErrDefective
			}
		}
	}
	return nil
}

// ContainsStatusLine reports whether text contains the beginning of a head. In a field of
// another head, or in an event, it may follow what was left incomplete.
func ContainsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLinePattern.MatchString(text)
}
