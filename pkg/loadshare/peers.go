package loadshare

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

const (
	// UnreachableAfter is the time without a report after which a peer counts as
	// unreachable. Four reports have then been lost.
	UnreachableAfter = 600 * time.Millisecond
	// probeInterval is the interval of reports to an unreachable peer.
	probeInterval = time.Second
	// peerExpiry is the time without a report after which a peer is removed.
	peerExpiry = 2 * time.Minute
	// maxRemoteProbes is the number of instances that are probed at a time in an
	// unreachable failure domain.
	maxRemoteProbes = 2
)

// peer is another instance of the local failure domain.
type peer struct {
	address           *net.UDPAddr
	startTime         int64
	sequence          uint64
	lastReceived      time.Duration
	lastSent          time.Duration
	addedAt           time.Duration
	unreachable       bool
	leaving           bool
	stopped           bool
	storeFailing      bool
	lacksUsageHistory bool
	cpuPercent        uint16
	// presumed is true while the peer counts as available although it was not heard
	// from, until presumedUntil. silentAt is when this time has last passed in vain.
	presumed                bool
	presumedUntil, silentAt time.Duration
	// replyStartTime and replySequence identify the peer's last reply.
	replyStartTime int64
	replySequence  uint64
}

func (e *peer) rank(name string, oldestStart int64) rank {
	return newRank(name, e.cpuPercent, e.startTime, oldestStart, e.lacksUsageHistory, e.storeFailing)
}

// remoteDomain holds what this instance knows of another failure domain.
type remoteDomain struct {
	// addresses holds the addresses of the known instances by name.
	addresses map[string]*net.UDPAddr
	// relay is the instance that sent the last summary of the failure domain.
	relay        string
	startTime    int64
	sequence     uint64
	lastReceived time.Duration
	unreachable  bool
	storeFailing bool
}

// Peers is the table of other instances. It is not safe for concurrent use.
type Peers struct {
	own           string
	ownDomain     string
	ownCPUPercent uint16
	ownStartTime  int64
	// storeFailing is true while this instance cannot read the store, and
	// lacksUsageHistory while it does not know the quota usage from before its start.
	storeFailing      bool
	lacksUsageHistory bool
	// leaving is true while this instance shuts down.
	leaving       bool
	localPeers    map[string]*peer
	remoteDomains map[string]*remoteDomain
	// highest holds the names of the available instances of the highest rank, the relay
	// first; valid unless relayStale is set.
	highest    []string
	relayStale bool
	// relayFrom is the size of a large failure domain; see SetRelayFrom.
	relayFrom int
	// ownAddress is the address that other instances send reports to.
	ownAddress string
	// viewed is true if a relay has sent a view of a large failure domain, last at
	// viewedAt with these observers.
	viewed    bool
	viewedAt  time.Duration
	observers []PeerRef
	// discoveryUntil is the end of the time in which peers that were found in the
	// instance list are presumed to be reachable.
	discoveryUntil time.Duration
}

// SetLeaving states that this instance shuts down, so that another one becomes the relay.
func (p *Peers) SetLeaving() { p.leaving, p.relayStale = true, true }

// SetRelayFrom sets the number of instances up to which all of a failure domain report to
// each other. It must be the same at all instances.
func (p *Peers) SetRelayFrom(instances int) { p.relayFrom = instances }

// SetOwnAddress sets the address that other instances send reports to.
func (p *Peers) SetOwnAddress(address string) { p.ownAddress = address }

func (p *Peers) ownRank(oldestStart int64) rank {
	r := newRank(p.own, p.ownCPUPercent, p.ownStartTime, oldestStart, p.lacksUsageHistory, p.storeFailing)
	r.leaving = p.leaving
	return r
}

// NewPeers returns an empty table for the instance named own, with its CPU limit in
// percent of a core and the start time of its process in Unix nanoseconds.
func NewPeers(own, ownDomain string, cpuPercent uint16, startTime int64) *Peers {
	return &Peers{own: own, ownDomain: ownDomain, ownCPUPercent: cpuPercent, ownStartTime: startTime, localPeers: map[string]*peer{}, remoteDomains: map[string]*remoteDomain{}, relayStale: true, relayFrom: DefaultRelayFrom}
}

// PeerInfo is the failure domain, address and CPU limit of an instance.
type PeerInfo struct {
	Domain  string
	Address string
	// CPUPercent is the CPU limit in percent of a core.
	CPUPercent uint16
}

// Add adds an instance and reports whether it was unknown before.
func (p *Peers) Add(now time.Duration, name string, info PeerInfo) (bool, error) {
	if name == p.own {
		return false, nil
	}
	resolved, err := net.ResolveUDPAddr("udp4", info.Address)
	if err != nil {
		return false, fmt.Errorf("peer %q: %w", name, err)
	}
	if info.Domain != p.ownDomain {
		d := p.remoteDomain(info.Domain)
		_, known := d.addresses[name]
		d.addresses[name] = resolved
		return !known, nil
	}
	if entry := p.localPeers[name]; entry != nil {
		if entry.unreachable {
			entry.address = resolved
		}
		return false, nil
	}
	if p.discoveryUntil == 0 {
		p.discoveryUntil = now + discoveryTime
	}
	p.relayStale = true
	p.localPeers[name] = &peer{address: resolved, addedAt: now, unreachable: true, cpuPercent: info.CPUPercent, presumed: now < p.discoveryUntil, presumedUntil: p.discoveryUntil}
	return true, nil
}

func (p *Peers) remoteDomain(name string) *remoteDomain {
	d := p.remoteDomains[name]
	if d == nil {
		d = &remoteDomain{addresses: map[string]*net.UDPAddr{}, unreachable: true}
		p.remoteDomains[name] = d
	}
	return d
}

// HandleReport updates the sender's entry from a report. current is false for a report
// that is older than one already received, and recovered is true if the sender was
// unreachable before.
func (p *Peers) HandleReport(now time.Duration, report Report) (current, recovered bool, err error) {
	if report.Instance == p.own || (report.CoveredInstances > 0) == (report.Domain == p.ownDomain) {
		return false, false, nil
	}
	if _, err := p.Add(now, report.Instance, PeerInfo{Domain: report.Domain, Address: report.Address, CPUPercent: report.CPUPercent}); err != nil {
		return false, false, err
	}
	if report.CoveredInstances > 0 {
		current, recovered = p.remoteDomain(report.Domain).update(now, report)
		return current, recovered, nil
	}
	entry := p.localPeers[report.Instance]
	before := entry.standing()
	current, recovered, err = entry.update(now, report)
	p.relayStale = p.relayStale || entry.standing() != before
	return current, recovered, err
}

// standing is what the choice of the relay depends on.
type standing struct {
	startTime                               int64
	unreachable, leaving, stopped, presumed bool
	storeFailing, lacksUsageHistory         bool
	cpuPercent                              uint16
}

func (e *peer) standing() standing {
	return standing{e.startTime, e.unreachable, e.leaving, e.stopped, e.presumed, e.storeFailing, e.lacksUsageHistory, e.cpuPercent}
}

func (d *remoteDomain) update(now time.Duration, report Report) (current, recovered bool) {
	if report.Instance == d.relay && isStale(report, d.startTime, d.sequence, d.unreachable) {
		return false, false
	}
	recovered = d.unreachable
	d.relay, d.startTime, d.sequence, d.lastReceived, d.unreachable, d.storeFailing = report.Instance, report.StartTime, report.Sequence, now, false, report.StoreFailing
	return true, recovered
}

func (e *peer) update(now time.Duration, report Report) (current, recovered bool, err error) {
	if isStale(report, e.startTime, e.sequence, e.unreachable) {
		return false, false, nil
	}
	if report.StartTime != e.startTime {
		if e.address, err = net.ResolveUDPAddr("udp4", report.Address); err != nil {
			return false, false, fmt.Errorf("peer %q: %w", report.Instance, err)
		}
	}
	recovered = e.unreachable
	e.startTime, e.sequence, e.lastReceived, e.unreachable, e.leaving = report.StartTime, report.Sequence, now, report.Stopped, report.Leaving
	e.stopped, e.storeFailing, e.lacksUsageHistory, e.cpuPercent = report.Stopped, report.StoreFailing, report.WithoutUsageHistory > 0, report.CPUPercent
	return true, recovered, nil
}

// isStale reports whether a report was sent before the last one, which had the given start
// time and sequence. silent is true if no report has arrived since: a lower start time is
// then that of a new process whose clock was set back.
func isStale(report Report, startTime int64, sequence uint64, silent bool) bool {
	if report.StartTime != startTime {
		return report.StartTime < startTime && !silent
	}
	return report.Sequence <= sequence
}

// LocalTargets returns the addresses in the local failure domain to send a message
// to now. Unreachable peers are probed less often. It removes peers that were not
// heard from within peerExpiry.
func (p *Peers) LocalTargets(now time.Duration) []*net.UDPAddr {
	return slices.Collect(maps.Values(p.LocalTargetsByName(now)))
}

// LocalTargetsByName returns the same as LocalTargets, by the names of the instances.
func (p *Peers) LocalTargetsByName(now time.Duration) map[string]*net.UDPAddr {
	targets := make(map[string]*net.UDPAddr, len(p.localPeers))
	for name, entry := range p.localPeers {
		if now-max(entry.lastReceived, entry.addedAt) > peerExpiry {
			delete(p.localPeers, name)
			p.relayStale = true
			continue
		}
		if entry.unreachable && entry.lastSent > 0 && now-entry.lastSent < probeInterval {
			continue
		}
		entry.lastSent = now
		targets[name] = entry.address
	}
	return targets
}

// Address returns the address of an instance of the local failure domain, or nil if it
// is unknown.
func (p *Peers) Address(name string) *net.UDPAddr {
	if entry := p.localPeers[name]; entry != nil {
		return entry.address
	}
	return nil
}

// IsLocalPeer reports whether an address belongs to a peer of the local failure domain.
func (p *Peers) IsLocalPeer(address *net.UDPAddr) bool {
	for _, entry := range p.localPeers {
		if entry.address.Port == address.Port && entry.address.IP.Equal(address.IP) {
			return true
		}
	}
	return false
}

// SetOwnState sets whether this instance fails to read the store, and whether it lacks
// the quota usage from before its start. It reports whether either has changed.
func (p *Peers) SetOwnState(storeFailing, lacksUsageHistory bool) bool {
	changed := p.storeFailing != storeFailing || p.lacksUsageHistory != lacksUsageHistory
	p.storeFailing, p.lacksUsageHistory = storeFailing, lacksUsageHistory
	p.relayStale = p.relayStale || changed
	return changed
}

// rank orders the instances by their suitability as relay of a failure domain: first
// by how long they have known the quota usage, then by whether they can read the
// store, then by CPU limit, then by name. It also orders the failure domains by their
// suitability as source of a copy of the store: by whether their relay can read the
// store, then by name. An instance copies the store only from an instance
// of higher rank, so that two instances can copy from each other only while they know
// different peers.
type rank struct {
	// leaving is set only for an instance itself; others leave out those that leave.
	leaving bool
	// startOrder is 0 for an instance that knows the quota usage of a whole window, and
	// for others 1 plus the seconds by which they started after the oldest of them. An
	// older process knows the usage of a newer one, but not the other way round.
	startOrder   int64
	storeFailing bool
	cpuPercent   uint16
	name         string
}

// newRank returns the rank of an instance. oldestStart is the earliest start of those
// that lack the usage history.
func newRank(name string, cpuPercent uint16, startTime, oldestStart int64, lacksUsageHistory, storeFailing bool) rank {
	r := rank{storeFailing: storeFailing, cpuPercent: cpuPercent, name: name}
	if lacksUsageHistory {
		r.startOrder = 1 + (startTime-oldestStart)/int64(time.Second)
	}
	return r
}

func (r rank) before(other rank) bool {
	switch {
	case r.leaving != other.leaving:
		return !r.leaving
	case r.startOrder != other.startOrder:
		return r.startOrder < other.startOrder
	case r.storeFailing != other.storeFailing:
		return !r.storeFailing
	case r.cpuPercent != other.cpuPercent:
		return r.cpuPercent > other.cpuPercent
	}
	return r.name < other.name
}

// RelayAddress returns the address of the relay of the local failure domain: the
// reachable instance of the highest rank that is not leaving. It is empty
// if this instance is the relay. While the instances know different peers, it can
// happen that none of them acts as relay, or two do; the summary of the failure
// domain's load is then missing in the other failure domains, or sent to them twice.
func (p *Peers) RelayAddress() string {
	if entry := p.localPeers[p.Relay()]; entry != nil {
		return entry.address.String()
	}
	return ""
}

// SyncSourceAddress returns the address of the instance from which this one
// copies the store: the relay of its failure domain, or, for a relay, the relay
// of the reachable failure domain of the highest rank. It is empty if this
// instance reads the store itself.
func (p *Peers) SyncSourceAddress() string {
	if relay := p.RelayAddress(); relay != "" {
		return relay
	}
	highest, address := rank{storeFailing: p.storeFailing, name: p.ownDomain}, ""
	for name, d := range p.remoteDomains {
		if r := (rank{storeFailing: d.storeFailing, name: name}); !d.unreachable && r.before(highest) && d.addresses[d.relay] != nil {
			highest, address = r, d.addresses[d.relay].String()
		}
	}
	return address
}

// IsHighestRanked reports whether no known instance, reachable or not, ranks
// above this one by CPU limit and name, and no known failure domain comes before
// its own by name.
func (p *Peers) IsHighestRanked() bool {
	own := rank{cpuPercent: p.ownCPUPercent, name: p.own}
	for name, entry := range p.localPeers {
		if (rank{cpuPercent: entry.cpuPercent, name: name}).before(own) {
			return false
		}
	}
	for name := range p.remoteDomains {
		if name < p.ownDomain {
			return false
		}
	}
	return true
}

// ExpectedCount returns the number of instances of the local failure domain that may be
// serving, this one included: those that have not stopped, and that sent a report
// or were added to the table within the expiry time.
func (p *Peers) ExpectedCount(now, expiry time.Duration) int {
	count := 1
	for _, entry := range p.localPeers {
		if !entry.stopped && now-max(entry.lastReceived, entry.addedAt) <= expiry {
			count++
		}
	}
	return count
}

// OldestStartTime returns the earliest start time of the reachable instances of
// the local failure domain, given that of this instance.
func (p *Peers) OldestStartTime(startTime int64) int64 {
	for _, entry := range p.localPeers {
		if !entry.unreachable {
			startTime = min(startTime, entry.startTime)
		}
	}
	return startTime
}

// ReachableCount returns the number of reachable instances of the local failure
// domain, this one included.
func (p *Peers) ReachableCount() int {
	reachable := 1
	for _, entry := range p.localPeers {
		if !entry.unreachable {
			reachable++
		}
	}
	return reachable
}

// RemoteTargets returns the addresses in other failure domains to send a summary
// to: the relay of each, or random instances of a failure domain that is
// unreachable.
func (p *Peers) RemoteTargets() []*net.UDPAddr {
	var targets []*net.UDPAddr
	for _, d := range p.remoteDomains {
		if !d.unreachable && d.addresses[d.relay] != nil {
			targets = append(targets, d.addresses[d.relay])
			continue
		}
		names := make([]string, 0, len(d.addresses))
		for name := range d.addresses {
			names = append(names, name)
		}
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:min(maxRemoteProbes, len(names))] {
			targets = append(targets, d.addresses[name])
		}
	}
	return targets
}

// MarkUnreachable marks peers and failure domains as unreachable that have sent
// no report for UnreachableAfter, and returns the names of those that are newly
// marked.
func (p *Peers) MarkUnreachable(now time.Duration) []string {
	var names []string
	p.endPresumptions(now)
	relay, all := p.Relay(), p.IsObserver()
	for name, entry := range p.localPeers {
		if entry.unreachable || now-entry.lastReceived <= UnreachableAfter {
			continue
		}
		entry.unreachable, p.relayStale = true, true
		if all || name == relay {
			// Followers receive messages of the relay only.
			entry.silentAt, entry.presumed = now, false
			names = append(names, name)
		}
	}
	for name, d := range p.remoteDomains {
		if !d.unreachable && now-d.lastReceived > UnreachableAfter {
			d.unreachable = true
			names = append(names, DomainKey(name))
		}
	}
	slices.Sort(names)
	return names
}

// DomainKey returns the name that stands for a whole failure domain where loads and
// quota usage are kept by peer.
func DomainKey(domainName string) string { return domainKeyPrefix + domainName }

// domainKeyPrefix is not part of any instance name.
const domainKeyPrefix = "domain "

// IsDomainKey reports whether a name stands for a whole failure domain.
func IsDomainKey(name string) bool { return strings.HasPrefix(name, domainKeyPrefix) }

// KnownCount returns the number of known instances, this one included.
func (p *Peers) KnownCount() int {
	count := len(p.localPeers) + 1
	for _, d := range p.remoteDomains {
		count += len(d.addresses)
	}
	return count
}

// KnownInDomain returns the number of known instances of another failure domain.
func (p *Peers) KnownInDomain(domainName string) int {
	return len(p.remoteDomain(domainName).addresses)
}
