// Package upstream is the interface to engines and plain services, and the
// HTTP clients for both.
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
	// EchoesRequestID requires the request ID on the answer.
	EchoesRequestID bool
	// OnDispatch is called once a connection exists, before the first byte of
	// the request is written. An error aborts the call undispatched.
	OnDispatch func() error
}

// Answer is the head of an upstream's answer; the caller closes Body.
// Body returns an error, not io.EOF, when the answer was cut.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Dispatcher sends requests. An error is an *errkind.Error: DialFailed only
// when no byte can have been written, otherwise UpstreamBroken or CrossedAnswer.
// An *errkind.Error of OnDispatch is returned as it is. The context also bounds
// the reading of the answer's body.
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
	// Last marks the end of the whole answer.
	Last bool
}

// Load is an engine's load report.
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

// Order asks an engine to load models or to change its role.
type Order struct {
	// Fence is the fencing number; some engines refuse a lower one than the last.
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// Engine is the interface to a model engine beside dispatch.
type Engine interface {
	Dispatcher
	// Resume replays a stream from a sequence number on.
	Resume(ctx context.Context, address, requestID string, from uint64) (*Answer, error)
	// CancelStream stops a request.
	CancelStream(ctx context.Context, address, requestID string) error
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	GiveOrder(ctx context.Context, address string, order Order) error
	ExportKV(ctx context.Context, address, requestID string) ([]byte, error)
	ImportKV(ctx context.Context, address, requestID string, kv []byte) error
}
