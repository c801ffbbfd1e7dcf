// Package loadshare exchanges load reports between instances over UDP. A report
// holds the sender's load on each upstream and the quota usage of its teams.
// Partial reports hold only changes; periodic full reports replace lost ones.
//
// In a failure domain of up to DefaultRelayFrom instances, each reports to all
// others. In a larger one, each reports only to the observers: the relay and its
// standbys, which replace it when it is lost. The relay places the requests of the
// other instances, its followers, and answers their reports with its decisions and its
// view of the whole fleet. What an instance sends is thus bounded, and what the relay
// sends grows with the size of its failure domain.
//
// The relay also adds the reports of its failure domain up to a summary and sends it to
// the relays of the other failure domains, which forward it to their observers.
package loadshare

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Report is a load report of one instance, or the summary of a failure domain.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Instance is the name of the sender, StartTime the start time of its
	// process, and OldestStartTime the earliest start time among the instances
	// that the report covers, both in Unix nanoseconds.
	Instance        string
	StartTime       int64
	OldestStartTime int64
	Sequence        uint64
	// CPUPercent is the sender's CPU limit in percent of a core.
	CPUPercent uint16
	// Address is the sender's address, and Domain its failure domain.
	Address string
	Domain  string
	// CoveredInstances is the number of instances that a summary covers; 0 in the
	// report of a single instance. ExpectedInstances also counts unreachable
	// instances of the failure domain that may still be serving.
	CoveredInstances  uint16
	ExpectedInstances uint16
	// Partial reports hold only what has changed since the sender's last report.
	// The next full report replaces what was lost.
	Partial bool
	// Leaving is true while the sender shuts down, and Stopped in its final report,
	// after which it serves nothing. StoreFailing is true while the sender cannot read
	// the store.
	Leaving      bool
	Stopped      bool
	StoreFailing bool
	// WithoutUsageHistory is the number of covered instances that do not know the
	// quota usage from before their start. UsageSource says how the sender knows
	// the total usage of all instances: 0 if it does not know it, 1 if it
	// received all reports for a whole quota window, 2 if it has restarted and
	// another instance reported the total.
	WithoutUsageHistory uint16
	UsageSource         uint8
	Upstreams           []UpstreamLoad
	// Demands lists the services for which requests arrive or wait; partial reports
	// hold all of them, too.
	Demands []Demand
	Teams   []TeamUsage
	// Suspicions state which requests crash upstreams, as far as the sender knows: those
	// that have changed, or the most important ones in a full report.
	Suspicions []Suspicion
	// LeavingUpstreams lists the upstreams that have themselves said that they leave: those
	// that became known since the last report, or all in a full report.
	LeavingUpstreams []LeavingUpstream
	// Follows is the short hash of the name of the instance whose decisions the sender
	// follows; 0 if it follows none. The fields below are for that instance, and
	// Results for all observers.
	Follows uint32
	// DecisionSeen is the sequence number of the last decision that the sender has
	// received from the process of that instance that started at DecisionsOf.
	DecisionsOf  int64
	DecisionSeen uint64
	// Waiting lists all requests for which the sender waits for a decision.
	Waiting []WaitingRequest
	// Results lists the requests that have ended since the last report. They are not
	// sent again if the report is lost.
	Results []UpstreamResult
	// Retries are the counts of the retry budget whose number of retries has changed, or
	// all counts in a full report.
	Retries []RetryCount
	// Rollouts hold the evidence about versions on trial, of the instances that the report
	// covers, since the order was given. They replace those of the last report that had any.
	Rollouts []RolloutEvidence
	// Limits hold the evidence for the limits of upstreams that has changed, of the
	// instances that the report covers; empty if limits are not learned.
	Limits []UpstreamLimit
}

// UpstreamLimit is what the sender knows about the number of concurrent requests that an
// upstream takes well: 10 bytes at most, and 26 for each cell.
type UpstreamLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Upstream is the short hash of the upstream's ID.
	Upstream uint32
	// Limit is the limit in force at the sender.
	Limit uint16
	// Cells hold the sums over the answers since the start of the sender. Those without
	// new answers may be missing.
	Cells []LoadCell
}

// LoadCell is a worklimit.Counts.
type LoadCell struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	Cell     uint8
	Answers  uint32
	Load     float64
	LogStep  float64
}

// RolloutEvidence holds the results of requests at upstreams of the versions of a service
// that moves to another version.
type RolloutEvidence struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Service and Order are the short hashes of the service's name and of the order's ID.
	Service uint32
	Order   uint32
	Cells   []RolloutCell
}

// RolloutCell holds the results on one route, at busy or other upstreams, of the candidate
// or of the other versions. It is a rollout.Counts.
type RolloutCell struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	Route      string
	Busy       bool
	Candidate  bool
	Results    uint32
	Failures   uint32
	Timed      uint32
	LogSum     float32
	LogSquares float32
	Period     uint8
}

// UpstreamLoad is the sender's load on one upstream.
type UpstreamLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Upstream is the short hash of the upstream's ID.
	Upstream uint32
	InFlight uint16
	// PendingPrefillTokens is the number of prompt tokens of the requests that
	// have had no output yet.
	PendingPrefillTokens uint32
	// SpeedPercent is the observed speed, averaged over Samples observations.
	SpeedPercent uint16
	Samples      uint8
	// Ejected is true if the sender has ejected the upstream for failed answers.
	Ejected bool
}

// Demand is the number of requests that the sender expects to place on a service's
// upstreams before the other instances learn of these placements.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Service is the short hash of the service's name.
	Service  uint32
	Requests uint16
}

// TeamUsage is what a team has used of its quota within the quota window, in the unit
// of the quota (tokens or requests). Used is its usage at the instances that the
// report covers, and Total that at all instances, as far as the sender knows it.
type TeamUsage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	Team     uint32
	Used     uint32
	Total    uint32
}

// RetryCount is the number of requests for a service and of their retries within the
// window of the retry budget, at the instances that a report covers.
type RetryCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Service is the short hash of the service's name.
	Service  uint32
	Requests uint32
	Retries  uint32
}

// Suspicion is a poison.Suspicion. Its times are relative to the sending of the report.
type Suspicion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Service is the short hash of the service's name.
	Service uint32
	Hash    uint64
	Shared  bool
	Epoch   uint16
	AgeMs   uint32
	Crashes []Crash
	Blocks  uint8
	BlockMs uint32
}

// LeavingUpstream is a process of an upstream that has said that it leaves.
type LeavingUpstream struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Upstream is the short hash of the upstream's ID.
	Upstream    uint32
	Incarnation int64
	// AgeMs is the time since it said so.
	AgeMs uint32
}

// Crash is the crash of a process of an upstream.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the encoding
	// Process is a hash of the upstream's ID and incarnation.
	Process uint32
	AgeMs   uint32
}

// ShortHash returns the hash that stands for the name of an upstream, a service or
// a team in reports. Receivers know the names; a collision merely merges the values
// of two names.
func ShortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// maxDatagramBytes is the maximum size of a received report.
const maxDatagramBytes = 16 << 10

// Socket sends and receives reports.
type Socket struct {
	conn *net.UDPConn
}

// Listen binds a socket to a UDP address.
func Listen(address string) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Socket{conn: conn}, nil
}

// Close closes the socket, upon which Receive returns.
func (s *Socket) Close() error { return s.conn.Close() }

// LocalAddress returns the address that the socket is bound to.
func (s *Socket) LocalAddress() string { return s.conn.LocalAddr().String() }

// Send sends an encoded report to a peer.
func (s *Socket) Send(content []byte, peer *net.UDPAddr) error {
	_, err := s.conn.WriteToUDP(content, peer)
	return err
}

// receiveErrorBackoff avoids a busy loop when the socket fails at once.
const receiveErrorBackoff = 10 * time.Millisecond

// Datagram is a received report or reply, decoded and as sent.
type Datagram struct {
	Report Report
	// Reply is nil for a report.
	Reply   *Reply
	From    *net.UDPAddr
	Content []byte
}

// Receive calls onDatagram for each report and reply until the socket is closed. It
// calls onError for receive errors and for datagrams that cannot be decoded.
func (s *Socket) Receive(onDatagram func(Datagram), onError func(error)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			if isClosed(err) {
				return
			}
			onError(fmt.Errorf("receive: %w", err))
			time.Sleep(receiveErrorBackoff)
			continue
		}
		datagram := Datagram{From: from, Content: bytes.Clone(buffer[:n])}
		if n > 0 && buffer[0] == replyPrefix {
			datagram.Reply, err = decodeReply(datagram.Content)
		} else {
			datagram.Report, err = Decode(datagram.Content)
		}
		if err != nil {
			onError(fmt.Errorf("datagram from %s: %w", from, err))
			continue
		}
		onDatagram(datagram)
	}
}

// Encode encodes a report in MessagePack.
func Encode(report Report) ([]byte, error) { return msgpack.Marshal(report) }

// Decode decodes a report and checks that it names its sender.
func Decode(content []byte) (Report, error) {
	var report Report
	if err := unmarshal(content, &report); err != nil {
		return report, err
	}
	if report.Instance == "" || report.Domain == "" {
		return report, errNoSender
	}
	return report, nil
}
