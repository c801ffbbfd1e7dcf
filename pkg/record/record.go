// Package record defines the records that operators write: their kinds, their
// schema versions, the conversion to the newest version, and validation.
package record

import "encoding/json"

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	KindTier       Kind = "Tier"
	KindTeam       Kind = "Team"
	KindModel      Kind = "Model"
	KindUpstream   Kind = "Upstream"
	KindWithdrawal Kind = "Withdrawal"
)

// Schema versions, oldest first.
const (
	SchemaV1 = "rosemarywing/v1"
	SchemaV2 = "rosemarywing/v2"
)

// Envelope is a record as an operator writes it and as the platform keeps it.
type Envelope struct {
	// Schema is the schema version of Spec.
	Schema string `json:"schema"`
	// Kind is the kind of the record.
	Kind Kind `json:"kind"`
	// Name is unique within the kind.
	Name string `json:"name"`
	// Spec is the content, whose fields depend on Kind and Schema.
	Spec json.RawMessage `json:"spec"`
}

// Tier is a class of requests. Priority orders the tiers.
type Tier struct {
	Name string `json:"-"`
	// Priority is higher for requests that are served first.
	Priority int `json:"priority"`
	// DeadlineMs is the default deadline of a request, in milliseconds.
	DeadlineMs int `json:"deadlineMs"`
}

// Team is a customer's group of callers.
type Team struct {
	Name string `json:"-"`
	// KeySHA256 lists the hex SHA-256 sums of the team's API keys.
	KeySHA256 []string `json:"keySHA256"`
	// Weight is the team's share within a tier, relative to other teams.
	Weight int `json:"weight"`
	// DefaultTier is used when a request names none.
	DefaultTier string `json:"defaultTier"`
	// HighestTier is the highest tier that the team may use.
	HighestTier string `json:"highestTier"`
}

// Model is a model that callers can name.
type Model struct {
	Name string `json:"-"`
	// Versions lists the versions that may serve the model, preferred first,
	// without the name of the model.
	Versions []string `json:"versions"`
}

// UpstreamType tells engines from plain services.
type UpstreamType string

// The types of upstreams.
const (
	TypeEngine  UpstreamType = "engine"
	TypeService UpstreamType = "service"
)

// Upstream is a back end that runs requests.
type Upstream struct {
	Name string `json:"-"`
	// Type is engine or service.
	Type UpstreamType `json:"type"`
	// Address is host and port.
	Address string `json:"address"`
	// Domain is the failure domain in which the upstream runs.
	Domain string `json:"domain"`
	// Service is the service that an upstream of type service provides.
	Service string `json:"service,omitempty"`
	// Models lists the model versions that the upstream may serve, as model@version.
	Models []string `json:"models,omitempty"`
	// MaxRequests limits the requests in flight.
	MaxRequests int `json:"maxRequests"`
	// MaxTokens limits the tokens in flight (prompt and expected output).
	MaxTokens int `json:"maxTokens,omitempty"`
	// PrefillTokensPerSecond is a first estimate, replaced by observation.
	PrefillTokensPerSecond int `json:"prefillTokensPerSecond,omitempty"`
	// DecodeTokensPerSecond is a first estimate for one stream.
	DecodeTokensPerSecond int `json:"decodeTokensPerSecond,omitempty"`
	// Batch labels upstreams that are withdrawn together.
	Batch string `json:"batch,omitempty"`
	// ChecksFencing is true when the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// EchoesRequestID is true when every answer carries the request ID.
	EchoesRequestID bool `json:"echoesRequestID,omitempty"`
	// Role is the desired role of an engine: "", "prefill", "decode" or "both".
	Role string `json:"role,omitempty"`
}

// Withdrawal takes upstreams or a model version out of service in one write.
type Withdrawal struct {
	Name string `json:"-"`
	// Batch selects the upstreams with this batch label.
	Batch string `json:"batch,omitempty"`
	// Upstreams selects upstreams by name.
	Upstreams []string `json:"upstreams,omitempty"`
	// ModelVersion selects a model version, as model@version.
	ModelVersion string `json:"modelVersion,omitempty"`
	// Reason is shown to operators.
	Reason string `json:"reason,omitempty"`
}
