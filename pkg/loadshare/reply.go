package loadshare

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// WaitingRequest is a request for which a follower waits for the relay's decision. Its
// times are relative to the sending of the report.
type WaitingRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Key identifies the request at the follower.
	Key uint64
	// Service is the short hash of the service's name.
	Service      uint32
	Tier         int16
	PromptTokens uint32
	OutputTokens uint32
	// WaitedMs is the time since the request arrived, TargetInMs the time until its
	// latency target, which is negative once it has passed, and TimeoutInMs the time
	// until its deadline.
	WaitedMs    uint32
	TargetInMs  int32
	TimeoutInMs uint32
	// Excluded holds the short hashes of the upstreams that must not be chosen.
	Excluded []uint32
	// Team is the short hash of the team's name.
	Team uint32
	// Trial is true for a request that goes to a version on trial.
	Trial bool
	// PromptBytes is the size of the body; 0 if the link between regions has no bound.
	PromptBytes uint32
}

// UpstreamResult is the result of a request at an upstream.
type UpstreamResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Upstream is the short hash of the upstream's ID.
	Upstream uint32
	// Outcome is an admission.Outcome.
	Outcome uint8
	// EventIntervalUs is the typical time between two events of the answer, and TotalMs
	// the time to its end; 0 if unknown.
	EventIntervalUs uint32
	TotalMs         uint32
}

// PlacementDecision is the relay's decision on a follower's request.
type PlacementDecision struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Sequence grows by one with each decision of the relay for this follower.
	Sequence uint64
	Key      uint64
	// Upstream is the short hash of the chosen upstream's ID; 0 if the request is
	// refused.
	Upstream uint32
	// RetryAfterMs is the time after which the caller of a refused request should retry.
	RetryAfterMs uint32
	// ExpectedMs is the predicted time to the first output.
	ExpectedMs uint32
	// Reason and the values below are for the log.
	Reason            string
	WaitedMs          uint32
	QueueLength       uint16
	FreeCapacity      uint16
	InFlight          uint16
	OldestReportAgeMs uint32
	// Declined is true if the follower must decide itself.
	Declined bool
}

// Reply is the answer of a relay to the reports of a follower.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Instance, StartTime, Sequence, CPUPercent, Address, Domain, Leaving and
	// StoreFailing describe the sender, as in Report.
	Instance            string
	StartTime           int64
	Sequence            uint64
	CPUPercent          uint16
	Address             string
	Domain              string
	Leaving             bool
	StoreFailing        bool
	WithoutUsageHistory bool
	// ReportSeen is the sequence number of the last report received from the follower.
	ReportSeen uint64
	Decisions  []PlacementDecision
	// View is an encoded View, which is the same for all followers; empty if the reply
	// holds decisions only.
	View []byte
}

// View is what a relay knows of the whole fleet.
type View struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Relay is the instance that the sender takes for the relay of the failure domain;
	// it is the sender itself unless its followers cannot reach the relay.
	Relay PeerRef
	// Observers lists the instances to report to, in the order in which they replace
	// the relay.
	Observers []PeerRef
	// ReachableInstances and UnreachableInstances count the instances of all failure
	// domains; the latter may still be serving.
	ReachableInstances   uint16
	UnreachableInstances uint16
	// UsageSource tells how the sender knows the quota usage, as in Report. The field
	// Total of each entry of Teams is the usage of all instances, and Used is unset.
	UsageSource uint8
	Teams       []TeamUsage
	// Upstreams is the load of all instances; nil if the view does not contain it.
	Upstreams []UpstreamLoad
	// Suspicions state which requests crash upstreams, as in Report.
	Suspicions []Suspicion
	// LeavingUpstreams are as in Report.
	LeavingUpstreams []LeavingUpstream
	// Retries are the sums over all instances.
	Retries []RetryCount
	// Limits are the limits in force at the sender, without evidence; nil if the view
	// contains no loads, or limits are not learned.
	Limits []UpstreamLimit
}

// PeerRef names an instance of the local failure domain.
type PeerRef struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	Name       string
	Address    string
	CPUPercent uint16
}

// replyPrefix is the first byte of a datagram with a Reply. No MessagePack value begins
// with it, and a Report has no prefix.
const replyPrefix = 0xc1

var errNoSender = errors.New("the message lacks an instance or failure domain name")

// EncodeReply encodes a reply.
func EncodeReply(reply Reply) ([]byte, error) {
	content, err := msgpack.Marshal(reply)
	return append([]byte{replyPrefix}, content...), err
}

// EncodeView encodes the view of a reply.
func EncodeView(view View) ([]byte, error) { return msgpack.Marshal(view) }

// DecodeView decodes the view of a reply.
func DecodeView(content []byte) (View, error) {
	var view View
	if err := unmarshal(content, &view); err != nil {
		return view, fmt.Errorf("view: %w", err)
	}
	return view, nil
}

// decodeReply decodes a datagram with a reply and checks that it names its sender.
func decodeReply(content []byte) (*Reply, error) {
	var reply Reply
	if err := unmarshal(content[1:], &reply); err != nil {
		return nil, fmt.Errorf("reply: %w", err)
	}
	if reply.Instance == "" || reply.Domain == "" {
		return nil, errNoSender
	}
	return &reply, nil
}
