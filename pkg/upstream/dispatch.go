package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/hopheader"
)

// HeaderRequestID carries the request ID to an upstream and back.
const HeaderRequestID = "X-Request-Id"

const (
	contentTypeEvents = "text/event-stream"
	userAgent         = "rosemarywing"
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 256 << 10
)

// errSecondDial refuses every connection after the first of a dispatch.
var errSecondDial = errors.New("a dispatch has one connection only")

// Dispatch implements Dispatcher.
//
// The invariant is that OnDispatch has returned nil before the first byte can
// be written, and that no byte is written on a second connection:
//
//  1. The connection is dialled here, not by the HTTP transport. A failed dial
//     returns before OnDispatch, and nothing was written.
//  2. OnDispatch runs when nothing but this function holds the connection, so
//     no other code can write to it.
//  3. Only then is the connection handed to a transport that is made for this
//     call. Its dial function gives out this one connection once and fails
//     afterwards; therefore a resend inside net/http, which happens for
//     replayable requests on reused connections, cannot reach the network.
//  4. When the transport fails, DialFailed is returned only if the connection
//     could be sealed, which is only possible as long as no write has started.
//
// A new connection for each dispatch costs a round trip, but a pooled one that
// the upstream is about to close would end in an unknown run state.
func (c *Client) Dispatch(ctx context.Context, call Call) (*Answer, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return nil, errkind.Wrap(errkind.DialFailed, err, "the request to %s is malformed", call.Address)
	}
	conn, err := c.dialUpstream(ctx, call.Address)
	if err != nil {
		return nil, errkind.Wrap(errkind.DialFailed, err, "no connection to %s", call.Address)
	}
	guarded := &guard{Conn: conn}
	if err := announce(call); err != nil {
		_ = conn.Close()
		return nil, err
	}
	response, err := c.singleUseClient(guarded).Do(request)
	if err != nil {
		_ = conn.Close()
		return nil, dispatchError(guarded, call.Address, err)
	}
	return c.answer(response, call)
}

func (c *Client) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	return c.options.Dial(ctx, "tcp", address)
}

// announce runs OnDispatch. An error without a kind becomes DialFailed, as
// nothing was written.
func announce(call Call) error {
	if call.OnDispatch == nil {
		return nil
	}
	err := call.OnDispatch()
	if err == nil {
		return nil
	}
	var typed *errkind.Error
	if errors.As(err, &typed) {
		return err
	}
	return errkind.Wrap(errkind.DialFailed, err, "the dispatch to %s was aborted", call.Address)
}

// singleUseClient returns an HTTP client for one request on one connection.
func (c *Client) singleUseClient(conn net.Conn) *http.Client {
	var taken atomic.Bool
	dial := func(context.Context, string, string) (net.Conn, error) {
		if taken.Swap(true) {
			return nil, errSecondDial
		}
		return conn, nil
	}
	transport := newTransport(dial, c.options.HeaderTimeout)
	transport.DisableKeepAlives = true
	return newHTTPClient(transport)
}

// newTransport returns a transport without proxy and without compression. A
// proxy from the environment would hide the upstream; added compression would
// change the bytes of the answer.
func newTransport(dial DialFunc, headerTimeout time.Duration) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ResponseHeaderTimeout:  headerTimeout,
	}
}

// newHTTPClient returns a client that returns redirects as they are, since
// following one would send the request again.
func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// newRequest builds the request by hand: http.NewRequest would set GetBody,
// which allows net/http to send a body again.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	// A path that does not start with a slash would extend the host.
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("the path %q does not start with a slash", call.Path)
	}
	target, err := url.Parse("http://" + call.Address + call.Path)
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

func dispatchError(guarded *guard, address string, cause error) error {
	if guarded.seal() {
		return errkind.Wrap(errkind.DialFailed, cause, "nothing was written to %s", address)
	}
	return errkind.Wrap(errkind.UpstreamBroken, cause, "the connection to %s broke", address)
}

// answer checks the echoed request ID and wraps the body.
func (c *Client) answer(response *http.Response, call Call) (*Answer, error) {
	echoed := response.Header.Get(HeaderRequestID)
	if call.EchoesRequestID && echoed != call.RequestID {
		_ = response.Body.Close()
		return nil, errkind.New(errkind.CrossedAnswer, "the answer of %s has the request ID %q, not %q",
			call.Address, echoed, call.RequestID)
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   newBody(response),
	}, nil
}
