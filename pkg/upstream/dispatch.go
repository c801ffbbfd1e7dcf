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
	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// HeaderRequestID carries the request ID to an upstream and back.
const HeaderRequestID = "X-Request-Id"

const (
	contentTypeEvents = "text/event-stream"
	userAgent         = "rosemarywing"
	// maxHeaderBytes bounds the header of an answer. In parsed form, a header of the
	// shortest lines takes about 15 times as much memory, for each request in flight.
	maxHeaderBytes = 16 << 10
)

// errSecondConnection is returned when the transport of a dispatch asks for a
// second connection.
var errSecondConnection = errors.New("a dispatch uses only one connection")

// Dispatch implements Dispatcher.
//
// Two invariants hold: OnDispatch has returned nil before the first byte is
// written, and no byte is written on a second connection:
//
//  1. Dispatch dials the connection itself, not through the HTTP transport. If
//     the dial fails, it returns before OnDispatch with nothing written.
//  2. While OnDispatch runs, only this function has the connection, so no other
//     code can write to it.
//  3. The connection is then passed to a transport made for this call, whose dial
//     function returns it once and fails afterwards. net/http resends replayable
//     requests on reused connections; such a resend cannot reach the network.
//  4. If the transport fails, DialFailed is returned only if the connection could
//     be sealed, which succeeds only while no write has started.
//
// A new connection for each dispatch costs a round trip. On a pooled connection
// that the upstream closes at the same time, the request would end in an unknown
// run state.
func (c *Client) Dispatch(ctx context.Context, call Call) (*Answer, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return nil, errkind.Wrap(errkind.DialFailed, err, "the request to %s is malformed", call.Address)
	}
	conn, err := c.dialUpstream(ctx, call.Address)
	if err != nil {
		return nil, errkind.Wrap(errkind.DialFailed, err, "no connection to %s", call.Address)
	}
	sealable := &sealableConn{Conn: newCheckedConn(conn)}
	if err := runOnDispatch(call); err != nil {
		_ = conn.Close()
		return nil, err
	}
	response, err := c.singleUseClient(sealable).Do(request)
	if err != nil {
		_ = conn.Close()
		return nil, dispatchError(sealable, call.Address, err)
	}
	return c.newAnswer(response, call)
}

func (c *Client) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	return c.options.Dial(ctx, "tcp", address)
}

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

// singleUseClient returns an HTTP client that sends one request on conn.
func (c *Client) singleUseClient(conn net.Conn) *http.Client {
	var used atomic.Bool
	dial := func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errSecondConnection
		}
		return conn, nil
	}
	transport := newTransport(dial, c.options.HeaderTimeout)
	transport.DisableKeepAlives = true
	return newHTTPClient(transport)
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

// newRequest does not use http.NewRequest, which would set GetBody and so let
// net/http send the body again.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	// A path that does not start with a slash would become part of the host.
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

func dispatchError(conn *sealableConn, address string, cause error) error {
	if conn.seal() {
		return errkind.Wrap(errkind.DialFailed, cause, "nothing was written to %s", address)
	}
	if errors.Is(cause, httphead.ErrDefective) {
		return errkind.Wrap(errkind.AnswerIncomplete, cause, "the answer of %s", address)
	}
	return errkind.Wrap(errkind.UpstreamBroken, cause, "the connection to %s broke", address)
}

// newAnswer checks the head and the echoed request ID, if the call requires one, and wraps
// the body.
func (c *Client) newAnswer(response *http.Response, call Call) (*Answer, error) {
	if err := httphead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errkind.Wrap(errkind.AnswerIncomplete, err, "the answer of %s", call.Address)
	}
	echoed := response.Header.Get(HeaderRequestID)
	if call.EchoesRequestID && echoed != call.RequestID {
		_ = response.Body.Close()
		return nil, errkind.New(errkind.CrossedAnswer, "the answer of %s has the request ID %q, not %q",
			call.Address, echoed, call.RequestID)
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   newAnswerBody(response),
	}, nil
}
