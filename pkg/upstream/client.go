package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Client. Zero values get defaults.
type Options struct {
	// DialTimeout bounds the dial; the default is 2 s.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the header of an answer to a dispatch.
	// Zero means no limit but the context's, because engines queue requests.
	HeaderTimeout time.Duration
	// ControlTimeout bounds each control call, which is any call but Dispatch,
	// Resume and FetchAnswer; the default is 5 s.
	ControlTimeout time.Duration
	// MaxReplyBytes bounds the reply to a control call other than ExportKV; the
	// default is 4 MiB.
	MaxReplyBytes int64
	// MaxKVBytes bounds an exported KV cache; the default is 256 MiB.
	MaxKVBytes int64
	// Dial opens connections; the default is that of a net.Dialer with DialTimeout.
	Dial DialFunc
}

// Defaults of Options.
const (
	defaultDialTimeout    = 2 * time.Second
	defaultControlTimeout = 5 * time.Second
	defaultMaxReplyBytes  = 4 << 20
	defaultMaxKVBytes     = 256 << 20
)

const (
	// maxIdlePerUpstream and idleConnTimeout bound the pooled connections, which
	// serve all calls but Dispatch.
	maxIdlePerUpstream = 2
	idleConnTimeout    = 30 * time.Second
	// maxErrorBytes bounds the part of an error response's body that is kept.
	maxErrorBytes = 512
	// controlServiceName is the service name under which httpc logs control calls.
	controlServiceName = "upstream-control"
)

// Client implements Engine over HTTP. It is safe for concurrent use.
type Client struct {
	options Options
	// pollClient makes the frequent calls and logs nothing. controlClient makes
	// the rare ones; httpc logs each of them.
	pollClient    *http.Client
	controlClient httpc.Service
}

var (
	_ Engine        = (*Client)(nil)
	_ AnswerFetcher = (*Client)(nil)
)

// AnswerFetcher returns the answers of dispatched requests that do not stream.
type AnswerFetcher interface {
	// FetchAnswer waits for the whole answer to a dispatched request and returns it.
	FetchAnswer(ctx context.Context, address, requestID string) (*Answer, error)
}

// NewClient returns a client.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	transport := newTransport(dialChecked(options.Dial), 0)
	transport.MaxIdleConnsPerHost = maxIdlePerUpstream
	transport.IdleConnTimeout = idleConnTimeout
	client := newHTTPClient(transport)
	// All upstreams share this service name, so the circuit breaker would refuse
	// orders to every upstream after failures of one.
	breaker.NoBreakerFor(controlServiceName)
	return &Client{
		options:       options,
		pollClient:    client,
		controlClient: httpc.NewServiceWithClient(controlServiceName, client),
	}
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.ControlTimeout == 0 {
		o.ControlTimeout = defaultControlTimeout
	}
	if o.MaxReplyBytes == 0 {
		o.MaxReplyBytes = defaultMaxReplyBytes
	}
	if o.MaxKVBytes == 0 {
		o.MaxKVBytes = defaultMaxKVBytes
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

// Close closes the idle connections.
func (c *Client) Close() { c.pollClient.CloseIdleConnections() }

// Resume implements Engine. No error has the kind DialFailed, because that kind
// says that the request did not run, and the request was dispatched before.
func (c *Client) Resume(ctx context.Context, address, requestID string, from uint64) (*Answer, error) {
	path := "/v1/streams/" + url.PathEscape(requestID) + "?from=" + strconv.FormatUint(from, 10)
	call := Call{Address: address, RequestID: requestID, Method: http.MethodGet, Path: path, EchoesRequestID: true}
	answer, err := c.sendAlone(ctx, call)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, refusedError(answer.Status, answer.Body, call)
	}
	return checkEcho(answer, call)
}

// sendAlone sends a call on a connection of its own, on which the framing of the answer is
// known.
func (c *Client) sendAlone(ctx context.Context, call Call) (*Answer, error) {
	request, err := newSingleRequest(call)
	if err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "the request to %s is malformed", call.Address)
	}
	conn, err := c.dialUpstream(ctx, call.Address)
	if err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "no connection to %s", call.Address)
	}
	answer, err := c.sendOnce(ctx, request, conn)
	if err != nil {
		return nil, answerError(call.Address, err)
	}
	return answer, nil
}

// FetchAnswer implements AnswerFetcher; errors are as for Resume.
func (c *Client) FetchAnswer(ctx context.Context, address, requestID string) (*Answer, error) {
	call := Call{Address: address, RequestID: requestID, Method: http.MethodGet, Path: "/v1/answers/" + url.PathEscape(requestID), EchoesRequestID: true}
	response, err := c.send(ctx, call, c.pollClient.Do)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusedError(response.StatusCode, response.Body, call)
	}
	return c.newAnswer(response, call)
}

// CancelStream implements Engine. It succeeds if the engine does not know the
// request, since the engine does not run it then.
func (c *Client) CancelStream(ctx context.Context, address, requestID string) error {
	path := "/v1/streams/" + url.PathEscape(requestID)
	call := Call{Address: address, RequestID: requestID, Method: http.MethodDelete, Path: path}
	_, err := c.callControl(ctx, call, c.controlClient.DoRequest, 0)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.status == http.StatusNotFound {
		return nil
	}
	return err
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.pollJSON(ctx, address, "/load", &load)
	return load, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.pollJSON(ctx, address, "/cache-events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (c *Client) pollJSON(ctx context.Context, address, path string, result any) error {
	call := Call{Address: address, Method: http.MethodGet, Path: path}
	reply, err := c.callControl(ctx, call, c.pollClient.Do, c.options.MaxReplyBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(reply, result); err != nil {
		return errkind.Wrap(errkind.UpstreamBroken, err, "the reply of %s%s is malformed", address, path)
	}
	return nil
}

// GiveOrder implements Engine. If the engine refuses the fencing number, the
// error has the kind Conflict.
func (c *Client) GiveOrder(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode the order")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	call := Call{Address: address, Method: http.MethodPost, Path: "/orders", Header: header, Body: body}
	_, err = c.callControl(ctx, call, c.controlClient.DoRequest, c.options.MaxReplyBytes)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.status == http.StatusPreconditionFailed {
		return errkind.Wrap(errkind.Conflict, err, "%s refused fencing number %d", address, order.Fence)
	}
	return err
}

// ExportKV implements Engine.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	call := Call{Address: address, RequestID: requestID, Method: http.MethodGet, Path: kvPath(requestID)}
	return c.callControl(ctx, call, c.controlClient.DoRequest, c.options.MaxKVBytes)
}

// ImportKV implements Engine.
func (c *Client) ImportKV(ctx context.Context, address, requestID string, kv []byte) error {
	call := Call{Address: address, RequestID: requestID, Method: http.MethodPut, Path: kvPath(requestID), Body: kv}
	_, err := c.callControl(ctx, call, c.controlClient.DoRequest, c.options.MaxReplyBytes)
	return err
}

func kvPath(requestID string) string { return "/kv/" + url.PathEscape(requestID) }

type doFunc func(*http.Request) (*http.Response, error)

// send sends a call on a pooled connection. Only calls that may be sent twice
// use it, because net/http may resend them.
func (c *Client) send(ctx context.Context, call Call, do doFunc) (*http.Response, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "the request to %s is malformed", call.Address)
	}
	response, err := do(request)
	if err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "%s %s%s", call.Method, call.Address, call.Path)
	}
	return response, nil
}

// callControl sends a control call and returns its reply of at most
// maxReplyBytes.
func (c *Client) callControl(ctx context.Context, call Call, do doFunc, maxReplyBytes int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	response, err := c.send(ctx, call, do)
	if err != nil {
		return nil, err
	}
	if err := httphead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "the reply of %s%s", call.Address, call.Path)
	}
	if response.StatusCode/100 != 2 {
		return nil, refusedError(response.StatusCode, response.Body, call)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(newAnswerBody(response), maxReplyBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "the reply of %s%s", call.Address, call.Path)
	}
	if int64(len(reply)) > maxReplyBytes {
		return nil, errkind.New(errkind.UpstreamBroken, "the reply of %s%s exceeds %d bytes", call.Address, call.Path, maxReplyBytes)
	}
	return reply, nil
}

// statusError is the status and the start of the body of an error response.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

func refusedError(status int, body io.ReadCloser, call Call) error {
	defer func() { _ = body.Close() }()
	// The text only informs operators, so a partial one will do.
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	cause := &statusError{status: status, text: string(bytes.TrimSpace(text))}
	return errkind.Wrap(errkind.UpstreamRefused, cause, "%s %s%s", call.Method, call.Address, call.Path)
}
