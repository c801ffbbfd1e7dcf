// Package connpool sends HTTP/1.1 requests to upstreams over pooled connections.
// Unlike net/http's client it never retries, reports whether any byte of a request may
// have been written, and detects responses that belong to other requests.
package connpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked is true if the body is sent with chunked transfer encoding.
	Chunked bool
}

const (
	// maxHeadBytes bounds the head of a response, together with the 1xx responses before
	// it. Parsed, it takes up to twice as much memory, for each request in flight.
	maxHeadBytes = 16 << 10
	// headLineCost is added to the length of each line of a head, since the parsed form of
	// a line of a few bytes takes about 100 bytes.
	headLineCost = 100
	// headReadBytes bounds what is read of a head before the cost of its lines is known.
	headReadBytes = 1 << 10
	// maxSkippedResponses bounds the number of skipped responses to other requests,
	// and maxSkippedBytes the body of each.
	maxSkippedResponses = 2
	maxSkippedBytes     = 1 << 20
	// asyncBodyBytes is the size from which a request body is written while the
	// response is read, since an upstream may answer before it has read all of it.
	asyncBodyBytes = 4 << 10
)

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	conn   net.Conn
	input  *headLimitReader
	reader *bufio.Reader
	// address and upstream identify the upstream that the connection leads to.
	address     string
	upstream    string
	idleSince   time.Time
	idleTimeout time.Duration
	// requests is the number of requests that were sent on the connection.
	requests int
	// mayHaveWritten is set before the first byte of a request is written.
	mayHaveWritten atomic.Bool
	// writeDone is closed when the current request was written or its write has failed.
	writeDone chan struct{}
	writeErr  error
	// detachContext stops the context of the current request from closing the
	// connection. It returns false if the context has already ended.
	detachContext func() bool
	closeOnce     sync.Once
	onClose       func()
}

// headLimitReader bounds the cost of what is read until the head of a response is
// complete: its bytes, and headLineCost for each line. Bytes of the body that arrive with
// the end of the head are counted too, but nothing more is read for the head then.
type headLimitReader struct {
	source      io.Reader
	remaining   int
	readingHead bool
}

var errHeadTooLong = errors.New("the head of the answer is too long")

// responsePrefix is what each response begins with.
const responsePrefix = "HTTP/"

var errNoResponse = errors.New("the bytes are not an HTTP response")

func (l *headLimitReader) Read(p []byte) (int, error) {
	if !l.readingHead {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining, headReadBytes)])
	l.remaining -= n + headLineCost*bytes.Count(p[:n], []byte("\n"))
	return n, err
}

// NewConn returns a connection that belongs to no pool.
func NewConn(conn net.Conn) *Conn { return newConn(conn, "", "", func() {}) }

func newConn(conn net.Conn, address, upstream string, onClose func()) *Conn {
	input := &headLimitReader{source: conn}
	return &Conn{conn: conn, input: input, reader: bufio.NewReader(input), address: address, upstream: upstream, onClose: onClose}
}

// Close closes the connection and thereby aborts the current request.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		_ = c.conn.Close()
		c.onClose()
	})
}

// MayHaveWritten reports whether a byte of the current request may have been written.
func (c *Conn) MayHaveWritten() bool { return c.mayHaveWritten.Load() }

// Response is the response of an upstream. The caller must read its body to the end or
// close the connection.
type Response struct {
	Status int
	Header http.Header
	// Body is a ChunkedBody if the response is chunked.
	Body io.Reader
	// Framed is true if the response has a length or is chunked, so that a truncated
	// body can be detected.
	Framed bool
	// Length is the length of the body; -1 if the response does not state it.
	Length int64
	raw    *http.Response
}

// RoundTrip sends a request and returns its response once the head was read. A response
// with an ID other than id in the header idHeader is skipped as one to another request;
// more than maxSkippedResponses of them make the request fail. So does a response without
// an ID, unless the request is the first on the connection: it may be a late copy of an
// earlier response.
// If the context ends, the connection is closed, even while the body is read.
func (c *Conn) RoundTrip(ctx context.Context, request Request, idHeader, id string) (*Response, error) {
	c.detachContext = context.AfterFunc(ctx, c.Close)
	c.writeDone = make(chan struct{})
	c.mayHaveWritten.Store(true)
	c.requests++
	if len(request.Body) < asyncBodyBytes {
		c.write(request)
		if c.writeErr != nil {
			return nil, fmt.Errorf("write the request: %w", c.writeErr)
		}
	} else {
		go c.write(request)
	}
	for range maxSkippedResponses + 1 {
		response, err := c.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		echoed := response.Header.Get(idHeader)
		for _, other := range response.Header.Values(idHeader) {
			if other != echoed {
				return nil, errWrongRequest
			}
		}
		switch {
		case echoed == id || (echoed == "" && c.requests == 1):
			return response, nil
		case echoed == "":
			return nil, errNoID
		}
		if !response.Framed {
			// Its body ends with the connection, so that no other response can follow.
			return nil, errWrongRequest
		}
		// A late response to an earlier request; the expected one follows.
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes {
			return nil, fmt.Errorf("an answer to request %q was not complete: %w", echoed, errors.Join(err, errWrongRequest))
		}
	}
	return nil, errWrongRequest
}

var errNoID = errors.New("the answer does not say to which of the connection's requests it belongs")

var errWrongRequest = errors.New("the answer belongs to another request")

// ConnectionLost reports whether err means that the connection ended or was reset before
// the answer was complete, as it is when the upstream crashes.
func ConnectionLost(err error) bool {
	for _, loss := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}

func (c *Conn) write(request Request) {
	defer close(c.writeDone)
	message := make([]byte, 0, 1024)
	message = append(message, request.Method+" "+request.Target+" HTTP/1.1\r\nHost: "+request.Host+"\r\n"...)
	for name, values := range request.Header {
		for _, value := range values {
			message = append(message, name+": "+value+"\r\n"...)
		}
	}
	switch {
	case request.Chunked:
		message = append(message, "Transfer-Encoding: chunked\r\n"...)
	case len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead):
		message = append(message, "Content-Length: "+strconv.Itoa(len(request.Body))+"\r\n"...)
	}
	message = append(message, "\r\n"...)
	if request.Chunked {
		if len(request.Body) > 0 {
			message = append(message, strconv.FormatInt(int64(len(request.Body)), 16)+"\r\n"...)
			message = append(message, request.Body...)
			message = append(message, "\r\n"...)
		}
		message = append(message, "0\r\n\r\n"...)
	} else {
		message = append(message, request.Body...)
	}
	_, c.writeErr = c.conn.Write(message)
}

func (c *Conn) readHead(method string) (*Response, error) {
	c.input.readingHead, c.input.remaining = true, maxHeadBytes
	for {
		// Without this check, bytes that are no response are read until the end of a line.
		if start, err := c.reader.Peek(len(responsePrefix)); err == nil && string(start) != responsePrefix {
			return nil, errNoResponse
		}
		if err := httphead.CheckOldVersion(c.reader); err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if err := httphead.Check(raw); err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if raw.StatusCode/100 == 1 {
			continue
		}
		c.input.readingHead = false
		response := &Response{
			Status: raw.StatusCode, Header: raw.Header, Body: raw.Body,
			Framed: raw.ContentLength >= 0 || len(raw.TransferEncoding) > 0,
			Length: raw.ContentLength, raw: raw,
		}
		switch {
		case raw.Body == http.NoBody:
		case len(raw.TransferEncoding) > 0:
			response.Body = &chunkedBody{reader: c.reader, input: c.input}
		case !response.Framed:
			response.Body = &unframedBody{Reader: raw.Body, conn: c}
		}
		return response, nil
	}
}

// reusable reports whether another request may be sent on the connection after the body
// of the response was read to its end.
func (c *Conn) reusable(response *Response) bool {
	select {
	case <-c.writeDone:
	default:
		// The rest of the request body is still to be written.
		return false
	}
	return c.writeErr == nil && response.Framed && !response.raw.Close && c.reader.Buffered() == 0
}

// keepAliveTimeout returns the timeout of idle connections that the upstream announces.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil && seconds >= 0
	}
	return 0, false
}
