package httphead_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// FuzzHeads guards against a head that is accepted with a status that is none, or that
// belongs to another head in the same bytes; against framing that contradicts the head; and
// against an answer with a length or chunks that looks complete although it was cut.
func FuzzHeads(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 099 x\r\n\r\n", "HTTP/1.1 0200 OK\r\n\r\n", "HTTP/1.1 600 x\r\n\r\n", "HTTP/1.1 abc\r\n\r\n",
		"HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nDate: SaHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OHTTP/1.1 500 No\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc", "HTTP/1.1 200\r\n\r\nall",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		raw, body, consumed, err := read(content)
		if raw == nil {
			return
		}
		if raw.StatusCode < 100 || raw.StatusCode > 599 || raw.StatusCode == http.StatusSwitchingProtocols {
			t.Fatalf("status %d", raw.StatusCode)
		}
		head := string(headOf(content))
		line, fields, _ := strings.Cut(head, "\n")
		if words := strings.Fields(line); len(words) < 2 || words[1] != strconv.Itoa(raw.StatusCode) {
			t.Fatalf("status %d of the line %q", raw.StatusCode, line)
		}
		if strings.Contains(head[1:], "HTTP/1.1 500 ") {
			t.Fatalf("a second head in %q", head)
		}
		if !raw.ProtoAtLeast(1, 1) && strings.Contains("\n"+strings.ToLower(fields), "\ntransfer-encoding:") {
			t.Fatalf("chunks in %q", head)
		}
		if raw.ContentLength >= 0 && err == nil && int64(len(body)) != raw.ContentLength && raw.Body != http.NoBody {
			t.Fatalf("%d bytes of %d", len(body), raw.ContentLength)
		}
		if err != nil || raw.ContentLength <= 0 && len(raw.TransferEncoding) == 0 {
			return
		}
		if cut, _, _, err := read(content[:consumed-1]); cut != nil && err == nil {
			t.Fatalf("%q looks complete without the last of %d bytes", content, consumed)
		}
	})
}

// read reads an answer as pkg/connpool does. It returns nil for a head that is refused, or
// else the body, the number of bytes that the answer takes, and the error of the body.
func read(content []byte) (raw *http.Response, body []byte, consumed int, err error) {
	source := bytes.NewReader(content)
	reader := bufio.NewReader(source)
	if httphead.CheckOldVersion(reader) != nil {
		return nil, nil, 0, nil
	}
	raw, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil || httphead.Check(raw) != nil {
		return nil, nil, 0, nil
	}
	body, err = io.ReadAll(raw.Body)
	return raw, body, len(content) - source.Len() - reader.Buffered(), err
}

// headOf returns the head at the beginning of content, with the empty line after it.
func headOf(content []byte) []byte {
	for end := 0; end < len(content); {
		length := bytes.IndexByte(content[end:], '\n')
		if length < 0 {
			break
		}
		line := content[end : end+length]
		end += length + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return content[:end]
		}
	}
	return content
}
