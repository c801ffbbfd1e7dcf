package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// eventProgress is the type of the events that keep an idle watch alive. Next
// skips them.
const eventProgress EventType = "progress"

// Operations, by which the counters platform.calls.OPERATION count calls.
const (
	opGet       = "get"
	opList      = "list"
	opPut       = "put"
	opDelete    = "delete"
	opWatch     = "watch"
	opInstances = "instances"
)

// Options are the settings of a client.
type Options struct {
	// BaseURL is the URL of the platform, without a path.
	BaseURL string
	// Timeout limits each call and the opening of a watch.
	Timeout time.Duration
	// WatchIdleTimeout is the time without any event after which a watch is
	// broken.
	WatchIdleTimeout time.Duration
	// Registry holds the call counters.
	Registry metrics.Registry
	// Clock measures the timeouts of watches.
	Clock clockwork.Clock
}

// Client is the HTTP client of the platform. It implements Store and Instances,
// is safe for concurrent use and never retries a call.
type Client struct {
	opts Options
	http *http.Client
}

var (
	_ Store     = (*Client)(nil)
	_ Instances = (*Client)(nil)
)

// NewClient returns a client of the platform.
func NewClient(opts Options) *Client {
	opts.BaseURL = strings.TrimSuffix(opts.BaseURL, "/")
	transport := &http.Transport{
		// A proxy from the environment could repeat a write or respond from a
		// cache.
		Proxy:       nil,
		DialContext: (&net.Dialer{Timeout: opts.Timeout}).DialContext,
		// A watch occupies one connection; others serve short calls.
		MaxIdleConnsPerHost: 2,
	}
	return &Client{
		opts: opts,
		http: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := c.call(ctx, opGet, http.MethodGet, objectPath(kind, name), nil, &object)
	return object, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kinds ...string) (List, error) {
	var list List
	query := url.Values{"kind": kinds}
	err := c.call(ctx, opList, http.MethodGet, "/objects?"+query.Encode(), nil, &list)
	return list, err
}

// writeReply is the response body of a write.
type writeReply struct {
	Version uint64 `json:"version"`
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, object Object, precondition Precondition) (uint64, error) {
	path := objectPath(object.Kind, object.Name) + preconditionQuery(precondition)
	var result writeReply
	err := c.call(ctx, opPut, http.MethodPut, path, object.Body, &result)
	return result.Version, err
}

// Delete implements Store. For an object that does not exist it returns NotFound,
// or Conflict if the precondition requires a version.
func (c *Client) Delete(ctx context.Context, kind, name string, precondition Precondition) (uint64, error) {
	path := objectPath(kind, name) + preconditionQuery(precondition)
	var result writeReply
	err := c.call(ctx, opDelete, http.MethodDelete, path, nil, &result)
	return result.Version, err
}

// Instances implements Instances.
func (c *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	var instances []ListedInstance
	err := c.call(ctx, opInstances, http.MethodGet, "/instances", nil, &instances)
	return instances, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, after uint64, kinds ...string) (Watch, error) {
	query := url.Values{"kind": kinds, "after": {strconv.FormatUint(after, 10)}}
	watchCtx, cancel := context.WithCancel(ctx)
	// The timer limits the opening of the watch and then each wait for an event.
	timer := c.opts.Clock.AfterFunc(c.opts.Timeout, cancel)
	response, err := c.send(watchCtx, opWatch, http.MethodGet, "/watch?"+query.Encode(), nil)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	timer.Reset(c.opts.WatchIdleTimeout)
	return &watch{
		body:        response.Body,
		decoder:     json.NewDecoder(response.Body),
		timer:       timer,
		idleTimeout: c.opts.WatchIdleTimeout,
		cancel:      cancel,
	}, nil
}

// call sends a request and decodes the response body into result.
func (c *Client) call(ctx context.Context, operation, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	response, err := c.send(ctx, operation, method, path, body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return errkind.Wrap(errkind.PlatformUnavailable, err, "%s %s: decoding the response", operation, path)
	}
	return nil
}

// send sends a request once. A status other than 200 is an error.
func (c *Client) send(ctx context.Context, operation, method, path string, body []byte) (*http.Response, error) {
	metrics.GetOrRegisterCounter("platform.calls."+operation, c.opts.Registry).Inc(1)
	request, err := http.NewRequestWithContext(ctx, method, c.opts.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "%s %s", operation, path)
	}
	// Without GetBody the transport cannot send the body a second time.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errkind.Wrap(errkind.PlatformUnavailable, err, "%s %s", operation, path)
	}
	if err := httphead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errkind.Wrap(errkind.PlatformUnavailable, err, "%s %s", operation, path)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response)
	return nil, statusError(response.StatusCode, operation, path)
}

func statusError(status int, operation, path string) error {
	switch status {
	case http.StatusConflict:
		return errkind.New(errkind.Conflict, "%s %s: precondition failed", operation, path)
	case http.StatusGone:
		return errkind.New(errkind.Conflict, "%s %s: the version has been compacted", operation, path)
	case http.StatusNotFound:
		return errkind.New(errkind.NotFound, "%s %s: the object does not exist", operation, path)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return errkind.New(errkind.BadRequest, "%s %s: status %d", operation, path, status)
	default:
		return errkind.New(errkind.PlatformUnavailable, "%s %s: status %d", operation, path, status)
	}
}

// maxDrainBytes limits how much of a response is read so that its connection can
// be reused.
const maxDrainBytes = 64 << 10

func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	_ = response.Body.Close()
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func preconditionQuery(precondition Precondition) string {
	switch {
	case precondition.Absent:
		return "?absent=true"
	case precondition.Version != 0:
		return "?version=" + strconv.FormatUint(precondition.Version, 10)
	default:
		return ""
	}
}

// watch implements Watch by decoding events from a response body.
type watch struct {
	body        io.ReadCloser
	decoder     *json.Decoder
	timer       clockwork.Timer
	idleTimeout time.Duration
	cancel      context.CancelFunc
	closeOnce   sync.Once
}

// Next implements Watch.
func (w *watch) Next() (Event, error) {
	for {
		var event Event
		if err := w.decoder.Decode(&event); err != nil {
			w.Close()
			return Event{}, errkind.Wrap(errkind.PlatformUnavailable, err, "watch ended")
		}
		w.timer.Reset(w.idleTimeout)
		if event.Type != eventProgress {
			return event, nil
		}
	}
}

// Close implements Watch.
func (w *watch) Close() {
	w.closeOnce.Do(func() {
		w.timer.Stop()
		w.cancel()
		_ = w.body.Close()
	})
}
