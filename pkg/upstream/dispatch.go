package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/hopheader"
	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// HeaderRequestID carries the request ID to an upstream and back.
const HeaderRequestID = "X-Request-Id"

const (
	contentTypeEvents = "text/event-stream"
	userAgent         = "rosemarywing"
	// maxHeaderBytes bounds the header of an answer to a control call. In parsed form, a
	// header of the shortest lines takes about 15 times as much memory.
	maxHeaderBytes = 16 << 10
)

// Dispatch implements Dispatcher.
//
// Two invariants hold: OnDispatch has returned nil before the first byte is
// written, and no byte is written on a second connection:
//
//  1. Dispatch dials the connection itself. If the dial fails, it returns before
//     OnDispatch with nothing written.
//  2. While OnDispatch runs, only this function has the connection, so no other
//     code can write to it.
//  3. The connection carries one request, and connpool never sends one again.
//  4. After a failure, DialFailed is returned only if the connection could be
//     sealed, which succeeds only while no write has started.
//
// A new connection for each dispatch costs a round trip. On a pooled connection
// that the upstream closes at the same time, the request would end in an unknown
// run state.
func (c *Client) Dispatch(ctx context.Context, call Call) (*Answer, error) {
	request, err := newSingleRequest(call)
	if err != nil {
		return nil, errkind.Wrap(errkind.DialFailed, err, "the request to %s is malformed", call.Address)
	}
	conn, err := c.dialUpstream(ctx, call.Address)
	if err != nil {
		return nil, errkind.Wrap(errkind.DialFailed, err, "no connection to %s", call.Address)
	}
	if err := runOnDispatch(call); err != nil {
		_ = conn.Close()
		return nil, err
	}
	answer, err := c.sendOnce(ctx, request, conn)
	if err != nil {
		return nil, dispatchError(conn, call.Address, err)
	}
	return checkEcho(answer, call)
}

func (c *Client) dialUpstream(ctx context.Context, address string) (*sealableConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &sealableConn{Conn: conn}, nil
}

// newSingleRequest returns the request of a call on a connection of its own.
func newSingleRequest(call Call) (connpool.Request, error) {
	target, err := callURL(call)
	if err != nil {
		return connpool.Request{}, err
	}
	header := requestHeader(call)
	header.Del("Content-Length")
	header.Set("Connection", "close")
	return connpool.Request{Method: call.Method, Target: target.RequestURI(), Host: call.Address, Header: header, Body: call.Body}, nil
}

// sendOnce sends a request on a connection of its own, which the answer's body closes. It
// closes the connection if it returns an error.
func (c *Client) sendOnce(ctx context.Context, request connpool.Request, raw net.Conn) (*Answer, error) {
	conn := connpool.NewConn(raw)
	if err := cmp.Or(context.Cause(ctx), checkHeader(request.Header)); err != nil {
		conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	if c.options.HeaderTimeout > 0 {
		timer := time.AfterFunc(c.options.HeaderTimeout, func() { cancel(errHeaderTimeout) })
		defer timer.Stop()
	}
	response, err := conn.RoundTrip(ctx, request, "", "")
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			// The end of the context has closed the connection.
			err = fmt.Errorf("%w: %w", cause, err)
		}
		cancel(nil)
		conn.Close()
		return nil, err
	}
	return &Answer{Status: response.Status, Header: response.Header, Body: newDispatchedBody(response, func() {
		cancel(nil)
		conn.Close()
	})}, nil
}

// checkHeader checks what a caller has sent, since connpool writes it as it is.
func checkHeader(header http.Header) error {
	isMalformed := func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, isMalformed) {
			return fmt.Errorf("the header %q is malformed", name)
		}
	}
	return nil
}

var errHeaderTimeout = errors.New("the header of the answer did not arrive in time")

// runOnDispatch calls OnDispatch. An error without a kind becomes DialFailed,
// because nothing was written.
func runOnDispatch(call Call) error {
	if call.OnDispatch == nil {
		return nil
	}
	err := call.OnDispatch()
	if err == nil {
		return nil
	}
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		return err
	}
	return errkind.Wrap(errkind.DialFailed, err, "the dispatch to %s was aborted", call.Address)
}

// newTransport returns a transport that uses no proxy and adds no compression. A
// proxy from the environment would accept the connection in place of the
// upstream, and compression would change the bytes of the answer.
func newTransport(dial DialFunc, headerTimeout time.Duration) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ResponseHeaderTimeout:  headerTimeout,
	}
}

// newHTTPClient returns a client that does not follow redirects, because that
// would send the request again.
func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// callURL returns the URL of a call.
func callURL(call Call) (*url.URL, error) {
	// A path that does not start with a slash would become part of the host.
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("the path %q does not start with a slash", call.Path)
	}
	return url.Parse("http://" + call.Address + call.Path)
}

// newRequest does not use http.NewRequest, which would set GetBody and so let
// net/http send the body again.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	target, err := callURL(call)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: call.Method,
		URL:    target,
		Host:   call.Address,
		Header: requestHeader(call),
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	return request.WithContext(ctx), nil
}

func requestHeader(call Call) http.Header {
	header := hopheader.EndToEnd(call.Header)
	if call.RequestID != "" {
		header.Set(HeaderRequestID, call.RequestID)
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", userAgent)
	}
	return header
}

func dispatchError(conn *sealableConn, address string, cause error) error {
	if conn.seal() {
		return errkind.Wrap(errkind.DialFailed, cause, "nothing was written to %s", address)
	}
	return answerError(address, cause)
}

// answerError returns the error of an answer without a valid head.
func answerError(address string, cause error) error {
	if errors.Is(cause, httphead.ErrDefective) {
		return errkind.Wrap(errkind.AnswerIncomplete, cause, "the answer of %s", address)
	}
	return errkind.Wrap(errkind.UpstreamBroken, cause, "the connection to %s broke", address)
}

// checkEcho closes an answer without the request ID in its header, if the call requires one,
// and returns an error.
func checkEcho(answer *Answer, call Call) (*Answer, error) {
	if echoed := answer.Header.Get(HeaderRequestID); call.EchoesRequestID && echoed != call.RequestID {
		_ = answer.Body.Close()
		return nil, errkind.New(errkind.CrossedAnswer, "the answer of %s has the request ID %q, not %q",
			call.Address, echoed, call.RequestID)
	}
	return answer, nil
}

// newAnswer checks the head of a response on a pooled connection and wraps the body.
func (c *Client) newAnswer(response *http.Response, call Call) (*Answer, error) {
	if err := httphead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errkind.Wrap(errkind.AnswerIncomplete, err, "the answer of %s", call.Address)
	}
	return checkEcho(&Answer{Status: response.StatusCode, Header: response.Header, Body: newAnswerBody(response)}, call)
}
