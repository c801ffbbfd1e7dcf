package httphead_test

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// Guards against a Transfer-Encoding below HTTP/1.1 that is not noticed, however the head
// arrives, and against sound heads that are refused.
func TestCheckOldVersion(t *testing.T) {
	for name, test := range map[string]struct {
		head  string
		valid bool
	}{
		"chunks":             {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"lower case":         {"HTTP/1.0 200 OK\r\nA: b\r\ntransfer-encoding:chunked\r\n\r\n", false},
		"line feeds":         {"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n", false},
		"name with a space":  {"HTTP/1.0 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", false},
		"folded line":        {"HTTP/1.0 200 OK\r\nA: b\r\n \r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"HTTP/0.9":           {"HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"beyond the buffer":  {"HTTP/1.0 200 OK\r\nA: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", false},
		"until close":        {"HTTP/1.0 200 OK\r\n\r\n", true},
		"length":             {"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc", true},
		"chunks in the body": {"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"chunks in HTTP/1.1": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"cut":                {"HTTP/1.0 200 OK\r\nTransfer-Enc", true},
		"empty":              {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, source := range []io.Reader{strings.NewReader(test.head), iotest.OneByteReader(strings.NewReader(test.head))} {
				g := NewWithT(t)
				reader := bufio.NewReader(source)
				err := httphead.CheckOldVersion(reader)
				g.Expect(err == nil).To(Equal(test.valid))
				if test.valid {
					g.Expect(io.ReadAll(reader)).To(Equal([]byte(test.head)), "nothing is read")
				}
			}
		})
	}
}
