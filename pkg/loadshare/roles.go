package loadshare

import (
	"math"
	"net"
	"slices"
	"time"
)

const (
	// DefaultRelayFrom is the size of a failure domain up to which all instances report to
	// each other, unless SetRelayFrom states another one. Above it, reports go to
	// observerCount instances only.
	DefaultRelayFrom = 8
	observerCount    = 3
	// discoveryTime is how long an instance of a large failure domain waits for an
	// answer of another one that it knows from the instance list only.
	discoveryTime = UnreachableAfter + 100*time.Millisecond
	// retryPresumed is the time after which an instance that did not answer may be
	// presumed reachable again because others say so. Once it can be reached, its own
	// messages show that sooner.
	retryPresumed = 30 * time.Second
)

// Large reports whether the local failure domain is so large that reports go to
// observers only.
func (p *Peers) Large() bool { return p.viewed || len(p.localPeers) >= p.relayFrom }

// available reports whether a peer counts as reachable when roles are assigned. In a
// large failure domain most instances never receive a report of each other, so those
// that the relay lists as observers, and those that were not tried yet, are presumed
// to be reachable for some time.
func (p *Peers) available(e *peer) bool {
	return !e.leaving && !e.stopped && (!e.unreachable || (p.Large() && e.presumed))
}

// ranks returns the ranks of this instance and the available ones of the local failure
// domain, in no order.
func (p *Peers) ranks() []rank {
	oldest := int64(math.MaxInt64)
	if p.lacksUsageHistory {
		oldest = p.ownStartTime
	}
	for _, entry := range p.localPeers {
		if entry.lacksUsageHistory && p.available(entry) {
			oldest = min(oldest, entry.startTime)
		}
	}
	ranks := []rank{p.ownRank(oldest)}
	for name, entry := range p.localPeers {
		if p.available(entry) {
			ranks = append(ranks, entry.rank(name, oldest))
		}
	}
	return ranks
}

func compareRanks(a, b rank) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	}
	return 0
}

// Relay returns the name of the relay of the local failure domain as known here, which
// may be this instance.
func (p *Peers) Relay() string {
	return p.highestRanked()[0]
}

// highestRanked returns the observerCount available instances of the highest rank.
func (p *Peers) highestRanked() []string {
	if p.relayStale {
		ranks := p.ranks()
		slices.SortFunc(ranks, compareRanks)
		p.highest, p.relayStale = p.highest[:0], false
		for _, r := range ranks[:min(observerCount, len(ranks))] {
			p.highest = append(p.highest, r.name)
		}
	}
	return p.highest
}

// Observers returns the instances of a large failure domain to report to, in the order
// in which they replace the relay. They are those of the last view, unless this instance
// is the relay or the relay is not among them. Otherwise they are the available ones of
// the highest rank.
func (p *Peers) Observers() []PeerRef {
	relay := p.Relay()
	if relay != p.own && slices.ContainsFunc(p.observers, func(o PeerRef) bool { return o.Name == relay }) {
		return p.observers
	}
	var refs []PeerRef
	for _, name := range p.highestRanked() {
		refs = append(refs, p.ref(name))
	}
	return refs
}

func (p *Peers) ref(name string) PeerRef {
	if entry := p.localPeers[name]; entry != nil {
		return PeerRef{Name: name, Address: entry.address.String(), CPUPercent: entry.cpuPercent}
	}
	return PeerRef{Name: name, Address: p.ownAddress, CPUPercent: p.ownCPUPercent}
}

// RelayRef returns the relay and its address.
func (p *Peers) RelayRef() PeerRef { return p.ref(p.Relay()) }

// IsObserver reports whether this instance receives the reports of all others of its
// failure domain.
func (p *Peers) IsObserver() bool {
	return !p.Large() || slices.ContainsFunc(p.Observers(), func(o PeerRef) bool { return o.Name == p.own })
}

// ReportTargets returns the addresses to report to in a large failure domain: that of
// the relay, or nil at the relay itself, and those of its standbys.
func (p *Peers) ReportTargets(now time.Duration) (relay *net.UDPAddr, standbys []*net.UDPAddr) {
	relayName := p.Relay()
	if entry := p.localPeers[relayName]; entry != nil {
		entry.lastSent = now
		relay = entry.address
	}
	for _, observer := range p.Observers() {
		if entry := p.localPeers[observer.Name]; entry != nil && observer.Name != relayName {
			entry.lastSent = now
			standbys = append(standbys, entry.address)
		}
	}
	return relay, standbys
}

// ForwardTargets returns the addresses of the local instances that need the summaries of
// other failure domains.
func (p *Peers) ForwardTargets(now time.Duration) []*net.UDPAddr {
	if !p.Large() {
		return p.LocalTargets(now)
	}
	relay, targets := p.ReportTargets(now)
	if relay != nil {
		targets = append(targets, relay)
	}
	return targets
}

// HandleReply updates the sender's entry from a reply and, if the sender is the relay and
// view is not nil, the observers. current is false for a reply that is older than one already received, and
// recovered is true if the sender was unreachable before.
func (p *Peers) HandleReply(now time.Duration, reply *Reply, view *View) (current, recovered bool, err error) {
	if reply.Instance == p.own || reply.Domain != p.ownDomain {
		return false, false, nil
	}
	if _, err := p.Add(now, reply.Instance, PeerInfo{Domain: reply.Domain, Address: reply.Address, CPUPercent: reply.CPUPercent}); err != nil {
		return false, false, err
	}
	entry := p.localPeers[reply.Instance]
	if (reply.StartTime < entry.startTime && !entry.unreachable) || (reply.StartTime == entry.replyStartTime && reply.Sequence <= entry.replySequence) {
		return false, false, nil
	}
	if reply.StartTime != entry.startTime {
		if entry.address, err = net.ResolveUDPAddr("udp4", reply.Address); err != nil {
			return false, false, err
		}
		entry.startTime, entry.sequence = reply.StartTime, 0
	}
	before := entry.standing()
	recovered = entry.unreachable
	entry.replyStartTime, entry.replySequence = reply.StartTime, reply.Sequence
	entry.lastReceived, entry.unreachable, entry.stopped, entry.leaving = now, false, false, reply.Leaving
	entry.storeFailing, entry.lacksUsageHistory, entry.cpuPercent = reply.StoreFailing, reply.WithoutUsageHistory, reply.CPUPercent
	p.relayStale = p.relayStale || entry.standing() != before
	if view != nil && p.Relay() == reply.Instance {
		p.applyView(now, view)
	}
	return true, recovered, nil
}

// applyView records the observers that a relay lists. Each is presumed reachable until
// after those listed before it must have replaced the relay.
func (p *Peers) applyView(now time.Duration, view *View) {
	// A view may be the first sign of a large failure domain, in which presumed peers
	// are available.
	p.relayStale = p.relayStale || !p.viewed
	p.viewed, p.viewedAt, p.observers = true, now, view.Observers
	for i, ref := range append([]PeerRef{view.Relay}, view.Observers...) {
		if ref.Name == p.own {
			continue
		}
		if _, err := p.Add(now, ref.Name, PeerInfo{Domain: p.ownDomain, Address: ref.Address, CPUPercent: ref.CPUPercent}); err != nil {
			continue
		}
		if entry := p.localPeers[ref.Name]; entry.silentAt == 0 || now-entry.silentAt > retryPresumed {
			p.relayStale = p.relayStale || !entry.presumed
			entry.presumed = true
			entry.presumedUntil = max(entry.presumedUntil, now+time.Duration(i+1)*discoveryTime)
		}
	}
}

// endPresumptions ends the presumptions that have not been confirmed in time.
func (p *Peers) endPresumptions(now time.Duration) {
	if p.viewed && now-p.viewedAt > peerExpiry {
		p.viewed, p.relayStale = false, true
	}
	for _, entry := range p.localPeers {
		if entry.presumed && now >= entry.presumedUntil {
			entry.presumed, p.relayStale = false, true
			if entry.unreachable {
				entry.silentAt = now
			}
		}
	}
}
