package gateway

import (
	"net/http"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// RequestInfo holds what a caller's headers say about its request.
type RequestInfo struct {
	RequestID string
	// Timeout is the caller's timeout; 0 if the caller sent none.
	Timeout time.Duration
	// Key is empty if the caller sent none.
	Key string
	// PromptTokens and MaxOutputTokens are 0 if the caller sent none.
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; 0 if the caller sent none.
	ExpectedOutputTokens int
	// PromptParts holds the IDs of the parts of the prompt in their order. Requests with
	// the same ID share that part.
	PromptParts []string
}

// ForwardInfo holds what the gateway adds to the headers of a forwarded request.
type ForwardInfo struct {
	Upstream string
	Team     string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// LastEventID is the ID of the event after which the stream is to be resumed;
	// empty if the stream starts at the beginning.
	LastEventID string
}

// Reply holds what the status and headers of an upstream's answer say.
type Reply struct {
	// NotExecuted is true if the upstream states that it did not run the request.
	NotExecuted bool
	// Contradictory is true if it states so in a successful answer.
	Contradictory bool
	// ReadAsNotRun is true if callers take the status as a promise that the request has not
	// run and never will.
	ReadAsNotRun bool
	// Misdirected is true if the address belongs to another upstream now.
	Misdirected bool
	// Signed is true if the answer bears the upstream's signature.
	Signed bool
	// Encoded is true if the body has a content encoding, which upstreams do not
	// use: an intermediary has changed it.
	Encoded bool
	// Leaving is true if the upstream states that it is about to stop.
	Leaving bool
	// QuietTime is the time for which the upstream wants no further request of this
	// instance; 0 if it did not ask for any.
	QuietTime time.Duration
}

// HeaderCodec decodes and encodes the headers exchanged with callers and upstreams.
type HeaderCodec interface {
	// RequestIDHeader returns the name of the request ID header, which upstreams
	// echo in their answers.
	RequestIDHeader() string
	// DecodeRequest returns what the headers of a caller's request say.
	DecodeRequest(header http.Header) RequestInfo
	// UpstreamHeader returns the headers to send to an upstream, given those of the
	// caller's request.
	UpstreamHeader(from http.Header, info ForwardInfo) http.Header
	// CallerHeader returns the headers to send to the caller, given those of the
	// upstream's answer.
	CallerHeader(from http.Header) http.Header
	// DecodeReply returns what the status and headers of an upstream's answer say.
	DecodeReply(status int, header http.Header) Reply
	// SetErrorHeader sets the headers of an error answer that the gateway itself sends.
	SetErrorHeader(header http.Header, requestID string, retryAfter time.Duration)
}

// InstanceRecord is the store object by which other instances find this one.
type InstanceRecord struct {
	PeerAddress string `json:"peer_address"`
	Domain      string `json:"domain"`
	// CPUPercent is the percentage of a core that the instance may use.
	CPUPercent uint16 `json:"power"`
}

// RecordDecoder decodes the objects of the store.
type RecordDecoder interface {
	Config(spec []byte) (traffic.Config, error)
	// Upstream decodes an upstream's record. It returns an error if the record does
	// not describe a usable upstream.
	Upstream(id string, spec []byte) (admission.UpstreamInfo, error)
	Instance(spec []byte) (InstanceRecord, error)
}

// ObjectKinds holds the names of the object kinds in the store, and ConfigName the name
// of the one configuration object.
type ObjectKinds struct {
	Config     string
	ConfigName string
	Upstreams  string
	Instances  string
	Usage      string
	// Rollouts is the kind of the orders to move a service to another version.
	Rollouts string
}
