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
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Client. Zero values get defaults.
type Options struct {
	// DialTimeout bounds the dial; the default is 2 s.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the head of an answer to a dispatch.
	// Zero waits as long as the context, because engines queue requests.
	HeaderTimeout time.Duration
	// ControlTimeout bounds each call other than Dispatch, Resume and
	// FetchAnswer; the default is 5 s.
	ControlTimeout time.Duration
	// MaxReplyBytes bounds the replies to control calls except exported KV
	// caches; the default is 4 MiB.
	MaxReplyBytes int64
	// MaxKVBytes bounds an exported KV cache; the default is 256 MiB.
	MaxKVBytes int64
	// Dial opens connections; the default is a net.Dialer.
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
	// idlePerUpstream and idleTimeout bound the pooled connections of control calls.
	idlePerUpstream = 2
	idleTimeout     = 30 * time.Second
	// maxErrorBytes bounds how much of a refusal's text is kept.
	maxErrorBytes = 512
	// controlService names the control calls in httpc.
	controlService = "upstream-control"
)

// Client implements Engine over HTTP. It is safe for concurrent use.
type Client struct {
	options Options
	// polls serves the frequent calls, for which a log line each would be too
	// many; control, built on httpc, logs the rare ones.
	polls   *http.Client
	control httpc.Service
}

var (
	_ Engine        = (*Client)(nil)
	_ AnswerFetcher = (*Client)(nil)
)

// AnswerFetcher fetches answers that were not streamed.
type AnswerFetcher interface {
	// FetchAnswer waits for the whole answer to a request that was dispatched.
	FetchAnswer(ctx context.Context, address, requestID string) (*Answer, error)
}

// NewClient returns a client.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	transport := newTransport(options.Dial, 0)
	transport.MaxIdleConnsPerHost = idlePerUpstream
	transport.IdleConnTimeout = idleTimeout
	client := newHTTPClient(transport)
	// The breaker would refuse orders to every upstream after failures of one.
	breaker.NoBreakerFor(controlService)
	return &Client{
		options: options,
		polls:   client,
		control: httpc.NewServiceWithClient(controlService, client),
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
func (c *Client) Close() { c.polls.CloseIdleConnections() }

// Resume implements Engine. A failure never has the kind DialFailed, which
// would tell the caller that the request did not run.
func (c *Client) Resume(ctx context.Context, address, requestID string, from uint64) (*Answer, error) {
	path := "/v1/streams/" + url.PathEscape(requestID) + "?from=" + strconv.FormatUint(from, 10)
	return c.fetch(ctx, address, requestID, path)
}

// FetchAnswer implements AnswerFetcher; errors are as for Resume.
func (c *Client) FetchAnswer(ctx context.Context, address, requestID string) (*Answer, error) {
	return c.fetch(ctx, address, requestID, "/v1/answers/"+url.PathEscape(requestID))
}

func (c *Client) fetch(ctx context.Context, address, requestID, path string) (*Answer, error) {
	call := Call{Address: address, RequestID: requestID, Method: http.MethodGet, Path: path, EchoesRequestID: true}
	response, err := c.send(ctx, call, c.polls.Do)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusal(response, call)
	}
	return c.answer(response, call)
}

// CancelStream implements Engine. An engine that does not know the request
// does not run it, so this is no error.
func (c *Client) CancelStream(ctx context.Context, address, requestID string) error {
	path := "/v1/streams/" + url.PathEscape(requestID)
	call := Call{Address: address, RequestID: requestID, Method: http.MethodDelete, Path: path}
	_, err := c.exchange(ctx, call, c.control.DoRequest, 0)
	var refused *statusError
	if errors.As(err, &refused) && refused.status == http.StatusNotFound {
		return nil
	}
	return err
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.poll(ctx, address, "/load", &load)
	return load, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.poll(ctx, address, "/cache-events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (c *Client) poll(ctx context.Context, address, path string, value any) error {
	call := Call{Address: address, Method: http.MethodGet, Path: path}
	reply, err := c.exchange(ctx, call, c.polls.Do, c.options.MaxReplyBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(reply, value); err != nil {
		return errkind.Wrap(errkind.UpstreamBroken, err, "the reply of %s%s is malformed", address, path)
	}
	return nil
}

// GiveOrder implements Engine. A refused fencing number has the kind Conflict.
func (c *Client) GiveOrder(ctx context.Context, address string, order Order) error {
	content, err := json.Marshal(order)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode an order")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	call := Call{Address: address, Method: http.MethodPost, Path: "/orders", Header: header, Body: content}
	_, err = c.exchange(ctx, call, c.control.DoRequest, c.options.MaxReplyBytes)
	var refused *statusError
	if errors.As(err, &refused) && refused.status == http.StatusPreconditionFailed {
		return errkind.Wrap(errkind.Conflict, err, "%s refused fencing number %d", address, order.Fence)
	}
	return err
}

// ExportKV implements Engine.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	call := Call{Address: address, RequestID: requestID, Method: http.MethodGet, Path: kvPath(requestID)}
	return c.exchange(ctx, call, c.control.DoRequest, c.options.MaxKVBytes)
}

// ImportKV implements Engine.
func (c *Client) ImportKV(ctx context.Context, address, requestID string, kv []byte) error {
	call := Call{Address: address, RequestID: requestID, Method: http.MethodPut, Path: kvPath(requestID), Body: kv}
	_, err := c.exchange(ctx, call, c.control.DoRequest, c.options.MaxReplyBytes)
	return err
}

func kvPath(requestID string) string { return "/kv/" + url.PathEscape(requestID) }

type doFunc func(*http.Request) (*http.Response, error)

// send sends a call that may be repeated, on a pooled connection.
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

// exchange sends a control call and reads its reply of at most limit bytes.
func (c *Client) exchange(ctx context.Context, call Call, do doFunc, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	response, err := c.send(ctx, call, do)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, refusal(response, call)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(newBody(response), limit+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, "the reply of %s%s", call.Address, call.Path)
	}
	if int64(len(reply)) > limit {
		return nil, errkind.New(errkind.UpstreamBroken, "the reply of %s%s exceeds %d bytes", call.Address, call.Path, limit)
	}
	return reply, nil
}

// statusError is the cause of a refusal.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

func refusal(response *http.Response, call Call) error {
	defer func() { _ = response.Body.Close() }()
	// The text is a help for operators; a cut one is as good.
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	cause := &statusError{status: response.StatusCode, text: string(bytes.TrimSpace(text))}
	return errkind.Wrap(errkind.UpstreamRefused, cause, "%s %s%s", call.Method, call.Address, call.Path)
}
