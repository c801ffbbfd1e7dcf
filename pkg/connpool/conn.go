// Package connpool sends HTTP/1.1 requests to upstreams over kept connections.
// Unlike net/http's client it never sends anything twice, tells whether a byte
// may have been written, and recognises answers that belong to other requests.
package connpool

import (
	"bufio"
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
	"time"
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target of the request line, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked sends the body in chunks, as the caller did.
	Chunked bool
}

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxSkipped bounds the answers to other requests that are skipped, and
	// maxSkippedBytes the body of each.
	maxSkipped      = 2
	maxSkippedBytes = 1 << 20
	// asyncBody is the size from which a body is written while the answer is
	// read, since an upstream may answer before it has read everything.
	asyncBody = 4 << 10
)

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	conn   net.Conn
	input  *headLimit
	reader *bufio.Reader
	// address and upstream are what the connection may be reused for.
	address   string
	upstream  string
	idleSince time.Time
	keep      time.Duration
	// wrote is set before the first byte of the current request is written.
	wrote atomic.Bool
	// written is closed when the current request has been written, or failed.
	written  chan struct{}
	writeErr error
	// detach ends the tie between the connection and the context of the request
	// that it carries; it returns false if the context has ended.
	detach  func() bool
	closed  sync.Once
	onClose func()
}

// headLimit bounds how much is read before the head of an answer is complete.
type headLimit struct {
	source io.Reader
	left   int
	active bool
}

var errLongHead = errors.New("the head of the answer is too long")

func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errLongHead
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func newConn(conn net.Conn, address, upstream string, onClose func()) *Conn {
	input := &headLimit{source: conn}
	return &Conn{conn: conn, input: input, reader: bufio.NewReader(input), address: address, upstream: upstream, onClose: onClose}
}

// Close closes the connection, which also ends the request that it carries.
func (c *Conn) Close() {
	c.closed.Do(func() {
		_ = c.conn.Close()
		c.onClose()
	})
}

// Wrote reports whether a byte of the current request may have been written.
func (c *Conn) Wrote() bool { return c.wrote.Load() }

// Response is an upstream's answer. Its body must be read to the end, or the
// connection closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed is true if the end of the body can be told from a connection that
	// was closed.
	Framed bool
	raw    *http.Response
}

// RoundTrip sends a request and returns the head of its answer. The ID is what
// the answer must echo, in a header with the given name. When the context ends,
// the connection is closed, also while the body is read.
func (c *Conn) RoundTrip(ctx context.Context, request Request, idHeader, id string) (*Response, error) {
	c.detach = context.AfterFunc(ctx, c.Close)
	c.written = make(chan struct{})
	c.wrote.Store(true)
	if len(request.Body) < asyncBody {
		c.write(request)
		if c.writeErr != nil {
			return nil, fmt.Errorf("write the request: %w", c.writeErr)
		}
	} else {
		go c.write(request)
	}
	for range maxSkipped + 1 {
		response, err := c.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		echoed := response.Header.Get(idHeader)
		if echoed == "" || echoed == id {
			return response, nil
		}
		// A late answer to an earlier request; the one that is due follows.
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes || !response.Framed {
			return nil, fmt.Errorf("an answer to request %q was not complete: %w", echoed, errors.Join(err, errCrossed))
		}
	}
	return nil, errCrossed
}

var errCrossed = errors.New("the answer belongs to another request")

func (c *Conn) write(request Request) {
	defer close(c.written)
	head := make([]byte, 0, 1024)
	head = append(head, request.Method+" "+request.Target+" HTTP/1.1\r\nHost: "+request.Host+"\r\n"...)
	for name, values := range request.Header {
		for _, value := range values {
			head = append(head, name+": "+value+"\r\n"...)
		}
	}
	switch {
	case request.Chunked:
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	case len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead):
		head = append(head, "Content-Length: "+strconv.Itoa(len(request.Body))+"\r\n"...)
	}
	head = append(head, "\r\n"...)
	if request.Chunked {
		if len(request.Body) > 0 {
			head = append(head, strconv.FormatInt(int64(len(request.Body)), 16)+"\r\n"...)
			head = append(head, request.Body...)
			head = append(head, "\r\n"...)
		}
		head = append(head, "0\r\n\r\n"...)
	} else {
		head = append(head, request.Body...)
	}
	_, c.writeErr = c.conn.Write(head)
}

func (c *Conn) readHead(method string) (*Response, error) {
	c.input.active, c.input.left = true, maxHeadBytes
	for {
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if raw.StatusCode/100 == 1 {
			continue
		}
		c.input.active = false
		return &Response{
			Status: raw.StatusCode, Header: raw.Header, Body: raw.Body,
			Framed: raw.ContentLength >= 0 || len(raw.TransferEncoding) > 0,
			raw:    raw,
		}, nil
	}
}

// reusable reports whether another request may be sent after a body that was
// read to its end.
func (c *Conn) reusable(response *Response) bool {
	select {
	case <-c.written:
	default:
		// Whoever reads the rest of the body must find that body there.
		return false
	}
	return c.writeErr == nil && response.Framed && !response.raw.Close && c.reader.Buffered() == 0
}

// keepAlive returns how long an upstream keeps an idle connection, if it says.
func keepAlive(header http.Header) (time.Duration, bool) {
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
