// Package record defines the configuration records that operators write: their
// kinds and schema versions, the conversion to the newest version, and validation.
package record

import "encoding/json"

// Kind is the kind of a configuration record.
type Kind string

// Kinds of records.
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

// Envelope is a record as an operator writes it and as the platform stores it.
type Envelope struct {
	// Schema is the schema version of Spec.
	Schema string `json:"schema"`
	Kind   Kind   `json:"kind"`
	// Name is unique among records of the same kind.
	Name string `json:"name"`
	// Spec is the content. Its fields depend on Kind and Schema.
	Spec json.RawMessage `json:"spec"`
}

// Tier is a priority class of requests.
type Tier struct {
	Name string `json:"-"`
	// Priority orders the tiers; requests of a higher priority are served first.
	Priority int `json:"priority"`
	// DeadlineMs is the default deadline of a request, in milliseconds.
	DeadlineMs int `json:"deadlineMs"`
}

// Team is a customer's group of callers, authenticated by API keys.
type Team struct {
	Name string `json:"-"`
	// KeySHA256 lists the hex SHA-256 sums of the team's API keys.
	KeySHA256 []string `json:"keySHA256"`
	// Weight is the team's share of capacity within a tier, relative to other teams.
	Weight int `json:"weight"`
	// DefaultTier is the tier of requests that name no tier.
	DefaultTier string `json:"defaultTier"`
	// HighestTier is the highest tier that the team may use.
	HighestTier string `json:"highestTier"`
}

// Model is a model that callers can request by name.
type Model struct {
	Name string `json:"-"`
	// Versions lists the versions that may serve requests for the model, preferred
	// first, without the name of the model.
	Versions []string `json:"versions"`
}

// UpstreamType distinguishes engines, which run models, from other services.
type UpstreamType string

// Types of upstreams.
const (
	TypeEngine  UpstreamType = "engine"
	TypeService UpstreamType = "service"
)

// Upstream is a back end to which requests are sent.
type Upstream struct {
	Name string       `json:"-"`
	Type UpstreamType `json:"type"`
	// Address is host and port.
	Address string `json:"address"`
	// Domain is the failure domain in which the upstream runs.
	Domain string `json:"domain"`
	// Service is the name of the service that an upstream of type service provides.
	Service string `json:"service,omitempty"`
	// Models lists the model versions that the upstream may serve, as model@version.
	Models []string `json:"models,omitempty"`
	// MaxRequests limits the requests in flight.
	MaxRequests int `json:"maxRequests"`
	// MaxTokens limits the tokens in flight, both prompt and expected output.
	MaxTokens int `json:"maxTokens,omitempty"`
	// PrefillTokensPerSecond is the initial estimate of the prefill rate, which
	// measurements replace.
	PrefillTokensPerSecond int `json:"prefillTokensPerSecond,omitempty"`
	// DecodeTokensPerSecond is the initial estimate of the decode rate of one
	// stream.
	DecodeTokensPerSecond int `json:"decodeTokensPerSecond,omitempty"`
	// Batch is a label by which upstreams can be withdrawn together.
	Batch string `json:"batch,omitempty"`
	// ChecksFencing is true if the engine refuses an order whose fencing number is
	// lower than that of an earlier order.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// EchoesRequestID is true if every response contains the request ID.
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
