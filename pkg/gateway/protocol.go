package gateway

import (
	"net/http"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// Caller is what a caller says about its request.
type Caller struct {
	RequestID string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	// Key is empty if the caller sent none.
	Key string
	// PromptTokens and MaxOutputTokens are 0 if the caller does not say.
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; 0 if there is none.
	ExpectedOutputTokens int
}

// Forward is what is added to a request on its way to an upstream.
type Forward struct {
	Upstream string
	Team     string
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// LastEvent is the ID after which a stream is resumed; empty otherwise.
	LastEvent string
}

// Reply classifies an upstream's answer.
type Reply struct {
	// NotRun is true if the upstream promises that it did not run the request.
	NotRun bool
	// WrongUpstream is true if another upstream has the address.
	WrongUpstream bool
	// Signed is true if the answer bears the upstream's signature.
	Signed bool
	// Encoded is true if the body was changed on the way.
	Encoded bool
}

// Protocol decodes and encodes the headers of callers and upstreams.
type Protocol interface {
	// RequestIDHeader is the header that upstreams echo.
	RequestIDHeader() string
	Caller(header http.Header) Caller
	// UpstreamHeader returns the headers of a caller's request for an upstream.
	UpstreamHeader(from http.Header, forward Forward) http.Header
	// CallerHeader returns the headers of an upstream's answer for the caller.
	CallerHeader(from http.Header) http.Header
	Reply(status int, header http.Header) Reply
	// SetRefusal sets the headers of an answer of the system's own.
	SetRefusal(header http.Header, requestID string, retryAfter time.Duration)
}

// InstanceRecord is how an instance makes its address known to the others.
type InstanceRecord struct {
	PeerAddress string `json:"peer_address"`
	Domain      string `json:"domain"`
	// Power is the percentage of a core that the instance may use.
	Power uint16 `json:"power"`
}

// Records decodes what lies in the store.
type Records interface {
	Config(spec []byte) (traffic.Config, error)
	// Upstream decodes an upstream's entry. An entry that names no upstream to
	// use is an error.
	Upstream(id string, spec []byte) (admission.Info, error)
	Instance(spec []byte) (InstanceRecord, error)
}

// Kinds names the kinds of objects in the store.
type Kinds struct {
	Config     string
	ConfigName string
	Upstreams  string
	Instances  string
	Usage      string
}
