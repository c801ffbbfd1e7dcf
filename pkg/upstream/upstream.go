// Package upstream defines the interface to upstreams, which are model engines
// and plain HTTP services, and implements it over HTTP.
package upstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Call is one request to an upstream. The client sends it at most once.
type Call struct {
	// Address is the host and port of the upstream.
	Address   string
	RequestID string
	Method    string
	// Path holds the path and the query.
	Path   string
	Header http.Header
	Body   []byte
	// EchoesRequestID makes an answer without the request ID in its header an
	// error of kind CrossedAnswer.
	EchoesRequestID bool
	// OnDispatch is called once a connection exists, before the first byte of
	// the request is written. An error aborts the call undispatched.
	OnDispatch func() error
}

// Answer is the response of an upstream. The caller closes Body. Reading Body
// returns an error other than io.EOF when the answer is truncated.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Dispatcher sends requests to upstreams. Errors are *errkind.Error: DialFailed
// only if no byte of the request can have been written, otherwise UpstreamBroken
// or CrossedAnswer. An *errkind.Error of OnDispatch is returned unchanged. The
// context also bounds reading the answer's body.
type Dispatcher interface {
	Dispatch(ctx context.Context, call Call) (*Answer, error)
}

// Event is one event of an engine's stream.
type Event struct {
	// Sequence counts from 1 without gaps.
	Sequence uint64
	// Name is the type of the event; empty for a plain message.
	Name string
	Data []byte
	// Last is true for the event that ends the answer.
	Last bool
}

// Load is an engine's load report. Fence is the fencing number of the last order
// that the engine accepted, and At the time of the reported state.
type Load struct {
	Incarnation  string    `json:"incarnation"`
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	TokensInUse  int       `json:"tokensInUse"`
	Leaving      bool      `json:"leaving"`
	LoadedModels []string  `json:"loadedModels"`
	Role         string    `json:"role"`
	Fence        uint64    `json:"fence"`
	At           time.Time `json:"at"`
}

// CacheEvent reports prefixes stored in or removed from an engine's cache.
// A gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// Order tells an engine which models to load and which role to take.
type Order struct {
	// Fence is the fencing number. Engines that check fencing refuse an order
	// with a lower number than that of an earlier order.
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// Engine calls model engines by address: it dispatches, resumes and cancels
// requests, reads the load and the cache events, gives orders, and exports and
// imports KV caches.
type Engine interface {
	Dispatcher
	// Resume returns the stream of a dispatched request again, starting with
	// the event whose sequence number is from.
	Resume(ctx context.Context, address, requestID string, from uint64) (*Answer, error)
	// CancelStream cancels a request.
	CancelStream(ctx context.Context, address, requestID string) error
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	GiveOrder(ctx context.Context, address string, order Order) error
	ExportKV(ctx context.Context, address, requestID string) ([]byte, error)
	ImportKV(ctx context.Context, address, requestID string, kv []byte) error
}
