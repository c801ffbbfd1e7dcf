package connpool_test

import (
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
)

// FuzzChunkedBody guards against a body that differs from what the decoder of net/http reads,
// that looks complete without its last byte, or whose bytes count as those of a complete chunk
// before the end of the chunk.
func FuzzChunkedBody(f *testing.F) {
	for _, seed := range []string{
		"3\r\nabc\r\n0\r\n\r\n", "3;a=b\r\nabc\r\n10 \r\n0123456789abcdef\r\n0\r\nA: b\r\n\r\n", "0\r\n\r\n",
		"3\r\nabcd\r\n0\r\n\r\n", "3\nabc\n0\n\n", "3\r\nabc\r\n0\r\nHTTP/1.1 500 No\r\n\r\n", "\r\nabc", "-1\r\na", "+3\r\nabc\r\n0\r\n\r\n",
		"fffffffffffffffff\r\na", "8\r\naHTTP/1.1 500 No\r\n\r\n", "3\r\nabc\r\n0\r\nA: bHTTP/1.1 500 No\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := connpool.NewChunkedBody(strings.NewReader(text))
		body, err := io.ReadAll(reader)
		source := strings.NewReader(text)
		inPieces := connpool.NewChunkedBody(iotest.OneByteReader(source))
		again, errInPieces := io.ReadAll(inPieces)
		if string(again) != string(body) || (err == nil) != (errInPieces == nil) || inPieces.CompleteBytes() != reader.CompleteBytes() {
			t.Fatalf("%q, %d complete, %v, but one byte at a time %q, %d complete, %v", body, reader.CompleteBytes(), err, again, inPieces.CompleteBytes(), errInPieces)
		}
		if err != nil {
			if reader.CompleteBytes() > len(body) {
				t.Fatalf("%d complete of %d", reader.CompleteBytes(), len(body))
			}
			return
		}
		if reader.CompleteBytes() != len(body) {
			t.Fatalf("%d complete of %q", reader.CompleteBytes(), body)
		}
		if want, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text))); err != nil || string(want) != string(body) {
			t.Fatalf("%q, want %q, %v", body, want, err)
		}
		encoded := text[:len(text)-source.Len()]
		if _, err := io.ReadAll(connpool.NewChunkedBody(strings.NewReader(encoded[:len(encoded)-1]))); err == nil {
			t.Fatalf("%q looks complete without its last byte", encoded)
		}
	})
}

// An upstream breaks an answer off within a chunk. Guards against bytes of that chunk that
// count as complete, and against those of earlier chunks that don't.
func TestBytesOfIncompleteChunkAreNotComplete(t *testing.T) {
	const text = "3\r\nabc\r\n4;x\r\ndefg\r\n0\r\n\r\n"
	for cut := range len(text) {
		for _, tail := range []string{"", "HTTP/1.1 500 No\r\n\r\n"} {
			g := NewWithT(t)
			body := connpool.NewChunkedBody(strings.NewReader(text[:cut] + tail))
			_, err := io.ReadAll(body)
			g.Expect(err).To(HaveOccurred(), "cut at %d", cut)
			complete := 0
			if cut >= strings.Index(text, "4;x") {
				complete = 3
			}
			if cut >= strings.Index(text, "0\r\n\r\n") {
				complete = 7
			}
			g.Expect(body.CompleteBytes()).To(Equal(complete), "cut at %d", cut)
		}
	}
}

// Guards against a chunk that is held although its end has arrived, and against a reader that
// waits for more than the next part while it has data.
func TestChunkIsCompleteWhenItsEndArrives(t *testing.T) {
	for _, pieces := range [][]string{
		{"3\r\nabc\r\n"}, {"3\r\nabc", "\r\n"}, {"3\r", "\nab", "c\r", "\n"}, {"3\r\nabc\r\n4"}, {"3\r\nabc\r\n4\r\n"}, {"3\r\nabc\r\n0\r\n"}, {"3\r\nabc\r\n0\r\nA: b"},
	} {
		g := NewWithT(t)
		source, sink := io.Pipe()
		go func() {
			// The pipe stays open: a read beyond the pieces would wait.
			for _, piece := range pieces {
				_, _ = io.WriteString(sink, piece)
			}
		}()
		body, content, buffer := connpool.NewChunkedBody(source), "", make([]byte, 16)
		for body.CompleteBytes() < 3 {
			n, err := body.Read(buffer)
			g.Expect(err).NotTo(HaveOccurred())
			content += string(buffer[:n])
		}
		g.Expect(content).To(Equal("abc"), "%q", pieces)
		_ = source.Close()
	}
}

// Guards against an upstream that makes an instance read size lines without end.
func TestEndlessSizeLinesFail(t *testing.T) {
	for _, text := range []string{strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\na\r\n", 100), strings.Repeat("f", 8<<10), "0\r\n" + strings.Repeat("A: b\r\n", 10_000)} {
		g := NewWithT(t)
		source := strings.NewReader(text)
		_, err := io.ReadAll(connpool.NewChunkedBody(source))
		g.Expect(err).To(HaveOccurred())
		g.Expect(len(text) - source.Len()).To(BeNumerically("<", 32<<10))
	}
}
