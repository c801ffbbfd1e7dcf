package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

const (
	// versionLength is the length of the version at the beginning of a head.
	versionLength = len("HTTP/1.0")
	// firstVersionWithChunks is the lowest version with Transfer-Encoding.
	firstVersionWithChunks = "HTTP/1.1"
	transferEncoding       = "transfer-encoding"
)

// CheckOldVersion waits for the head that reader is about to read if its version is below
// HTTP/1.1, and returns ErrDefective if it has a Transfer-Encoding, or does not fit in the
// reader's buffer. http.ReadResponse removes Transfer-Encoding from such a head and takes the
// sizes of chunks for parts of the body. It reads nothing, and reports no other defects.
func CheckOldVersion(reader *bufio.Reader) error {
	for wanted := versionLength; ; wanted = reader.Buffered() + 1 {
		_, err := reader.Peek(wanted)
		head, _ := reader.Peek(reader.Buffered())
		if len(head) < versionLength || !bytes.HasPrefix(head, []byte("HTTP/")) || string(head[:versionLength]) >= firstVersionWithChunks {
			return nil
		}
		complete, defective := scanOldHead(head)
		switch {
		case defective || errors.Is(err, bufio.ErrBufferFull):
			return ErrDefective
		case complete || err != nil:
			return nil
		}
	}
}

// scanOldHead reports whether text holds all lines of a head, and whether one of its lines
// is a Transfer-Encoding or may be one, since it continues another line.
func scanOldHead(text []byte) (complete, defective bool) {
	for {
		line, rest, found := bytes.Cut(text, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case !found:
			return false, false
		case len(line) == 0:
			return true, false
		case line[0] == ' ' || line[0] == '\t':
			return false, true
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(bytes.TrimSpace(name)), transferEncoding) {
			return false, true
		}
		text = rest
	}
}
