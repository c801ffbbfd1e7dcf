package connpool

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strconv"

	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

const (
	// maxTrailerBytes bounds the trailer behind the last chunk.
	maxTrailerBytes = 4 << 10
	// maxChunkOverhead bounds by how much the size lines may exceed chunkOverhead and the
	// data of their chunks, together.
	maxChunkOverhead = 16 << 10
	// chunkOverhead is a common length of a size line and the line end behind the data.
	chunkOverhead = 16
	// maxSizeDigits is the number of hexadecimal digits of the largest size of a chunk.
	maxSizeDigits = 15
)

var errDefectiveChunk = errors.New("a chunk of the answer is defective")

// ChunkedBody is a body in chunked transfer coding. Bytes of a chunk that the upstream does
// not complete may not belong to the body: they may be the head of another answer.
type ChunkedBody interface {
	io.Reader
	// CompleteBytes returns how many of the bytes that Read has returned belong to complete
	// chunks.
	CompleteBytes() int
}

// chunkPart is what a chunkedBody reads next.
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkData
	chunkEnd
	chunkTrailer
)

// chunkedBody decodes chunked transfer coding. Unlike the decoder of net/http, it reports
// which bytes belong to complete chunks.
type chunkedBody struct {
	reader *bufio.Reader
	input  *headLimitReader
	next   chunkPart
	// remaining is the number of bytes of the current chunk that were not read yet.
	remaining int64
	returned  int
	complete  int
	overhead  int
	err       error
}

var _ ChunkedBody = (*chunkedBody)(nil)

// CompleteBytes implements ChunkedBody.
func (b *chunkedBody) CompleteBytes() int { return b.complete }

// Read waits until data or the end of a chunk arrives, and reads as much more as has arrived.
// It returns 0 and no error if only the end of a chunk has arrived.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, completeBefore := 0, b.complete
	for n < len(p) && b.err == nil {
		mayWait := n == 0 && b.complete == completeBefore
		if !mayWait && !b.nextHasArrived() {
			return n, nil
		}
		n += b.readNext(p[n:])
	}
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

// nextHasArrived reports whether the next part, or some of the data, can be read without
// waiting for the connection.
func (b *chunkedBody) nextHasArrived() bool {
	arrived, _ := b.reader.Peek(b.reader.Buffered())
	switch b.next {
	case chunkSize:
		return bytes.IndexByte(arrived, '\n') >= 0
	case chunkData:
		return len(arrived) > 0
	case chunkEnd:
		return len(arrived) >= len(lineEnd)
	}
	return bytes.HasPrefix(arrived, []byte(lineEnd)) || bytes.Contains(arrived, []byte(lineEnd+lineEnd))
}

// readNext reads the next part, or some of the data to p, and returns the number of bytes of
// data. After the last part it sets err to io.EOF.
func (b *chunkedBody) readNext(p []byte) int {
	n, err := 0, error(nil)
	switch b.next {
	case chunkSize:
		err = b.readSize()
	case chunkData:
		n, err = b.reader.Read(p[:min(int64(len(p)), b.remaining)])
		b.returned += n
		b.remaining -= int64(n)
		if b.remaining == 0 {
			b.next = chunkEnd
		}
	case chunkEnd:
		err = b.readEnd()
	case chunkTrailer:
		if err = b.readTrailer(); err == nil {
			b.err = io.EOF
			return 0
		}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	return n
}

const lineEnd = "\r\n"

func (b *chunkedBody) readSize() error {
	line, err := b.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return errDefectiveChunk
	}
	if err != nil {
		return err
	}
	text, hasLineEnd := bytes.CutSuffix(line, []byte(lineEnd))
	text, _, _ = bytes.Cut(text, []byte(";"))
	text = bytes.TrimRight(text, " \t")
	size, err := strconv.ParseUint(string(text), 16, 4*maxSizeDigits)
	if err != nil || !hasLineEnd {
		return errDefectiveChunk
	}
	if b.overhead = max(0, b.overhead+len(line)-chunkOverhead-int(size)); b.overhead > maxChunkOverhead {
		return errDefectiveChunk
	}
	b.remaining, b.next = int64(size), chunkData
	if size == 0 {
		b.next = chunkTrailer
	}
	return nil
}

func (b *chunkedBody) readEnd() error {
	var end [len(lineEnd)]byte
	if _, err := io.ReadFull(b.reader, end[:]); err != nil {
		return err
	}
	if string(end[:]) != lineEnd {
		return errDefectiveChunk
	}
	b.complete, b.next = b.returned, chunkSize
	return nil
}

// readTrailer reads the fields behind the last chunk, and the empty line. They are not
// passed on.
func (b *chunkedBody) readTrailer() error {
	b.input.readingHead, b.input.remaining = true, maxTrailerBytes
	defer func() { b.input.readingHead = false }()
	trailer, err := textproto.NewReader(b.reader).ReadMIMEHeader()
	if err != nil {
		return err
	}
	for _, values := range trailer {
		for _, value := range values {
			if httphead.ContainsStatusLine(value) {
				return errDefectiveChunk
			}
		}
	}
	return nil
}
