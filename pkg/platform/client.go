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
)

// eventProgress is the type of a line that an idle watch receives. It is not
// passed on.
const eventProgress EventType = "progress"

// The operations by which calls are counted, as platform.calls.OPERATION.
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
	// Timeout limits each call; a watch only until it is open.
	Timeout time.Duration
	// WatchIdle is the time without any line after which a watch is broken.
	WatchIdle time.Duration
	// Registry holds the call counters.
	Registry metrics.Registry
	// Clock measures WatchIdle.
	Clock clockwork.Clock
}

// Client is the HTTP client of the platform. It implements Store and
// Instances and is safe for concurrent use. It never repeats a call.
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
		// The platform is reached directly: a proxy from the environment could
		// repeat a write or answer from a cache.
		Proxy:       nil,
		DialContext: (&net.Dialer{Timeout: opts.Timeout}).DialContext,
		// A watch holds one connection; the others carry short calls.
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

type written struct {
	Version uint64 `json:"version"`
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, object Object, pre Precondition) (uint64, error) {
	path := objectPath(object.Kind, object.Name) + preconditionQuery(pre)
	var result written
	err := c.call(ctx, opPut, http.MethodPut, path, object.Body, &result)
	return result.Version, err
}

// Delete implements Store. The error for an object that does not exist has the
// kind NotFound, unless a version was required: then it has the kind Conflict.
func (c *Client) Delete(ctx context.Context, kind, name string, pre Precondition) (uint64, error) {
	path := objectPath(kind, name) + preconditionQuery(pre)
	var result written
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
	// The time-out covers the opening of the watch, and each wait for a line.
	timer := c.opts.Clock.AfterFunc(c.opts.Timeout, cancel)
	response, err := c.send(watchCtx, opWatch, http.MethodGet, "/watch?"+query.Encode(), nil)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	timer.Reset(c.opts.WatchIdle)
	return &watch{
		body:    response.Body,
		decoder: json.NewDecoder(response.Body),
		timer:   timer,
		idle:    c.opts.WatchIdle,
		cancel:  cancel,
	}, nil
}

// call sends a request and decodes the answer.
func (c *Client) call(ctx context.Context, operation, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	response, err := c.send(ctx, operation, method, path, body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return errkind.Wrap(errkind.PlatformUnavailable, err, "%s %s: answer is incomplete", operation, path)
	}
	return nil
}

// send sends a request once and turns a status that is not 200 into an error.
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
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response)
	return nil, statusError(response.StatusCode, operation, path)
}

func statusError(status int, operation, path string) error {
	switch status {
	case http.StatusConflict:
		return errkind.New(errkind.Conflict, "%s %s: the object is not in the required version", operation, path)
	case http.StatusGone:
		return errkind.New(errkind.Conflict, "%s %s: the version is compacted", operation, path)
	case http.StatusNotFound:
		return errkind.New(errkind.NotFound, "%s %s: the object does not exist", operation, path)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return errkind.New(errkind.BadRequest, "%s %s: status %d", operation, path, status)
	default:
		return errkind.New(errkind.PlatformUnavailable, "%s %s: status %d", operation, path, status)
	}
}

// maxDrain bounds what is read of an answer to keep its connection usable.
const maxDrain = 64 << 10

func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrain)
	_ = response.Body.Close()
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func preconditionQuery(pre Precondition) string {
	switch {
	case pre.Absent:
		return "?absent=true"
	case pre.Version != 0:
		return "?version=" + strconv.FormatUint(pre.Version, 10)
	default:
		return ""
	}
}

type watch struct {
	body    io.ReadCloser
	decoder *json.Decoder
	timer   clockwork.Timer
	idle    time.Duration
	cancel  context.CancelFunc
	once    sync.Once
}

// Next implements Watch.
func (w *watch) Next() (Event, error) {
	for {
		var event Event
		if err := w.decoder.Decode(&event); err != nil {
			w.Close()
			return Event{}, errkind.Wrap(errkind.PlatformUnavailable, err, "watch ended")
		}
		w.timer.Reset(w.idle)
		if event.Type != eventProgress {
			return event, nil
		}
	}
}

// Close implements Watch.
func (w *watch) Close() {
	w.once.Do(func() {
		w.timer.Stop()
		w.cancel()
		_ = w.body.Close()
	})
}
