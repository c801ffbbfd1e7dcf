package loadshare

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Times of the exchange.
const (
	// SilentAfter is the time without a report after which a peer counts as
	// silent. Four reports have then been lost.
	SilentAfter = 600 * time.Millisecond
	// probeEvery is the pause between reports to silent peers.
	probeEvery = time.Second
	// forgetAfter ends the probing of peers that are gone.
	forgetAfter = 2 * time.Minute
	// probedFar is the number of instances of a silent failure domain that are
	// tried at a time.
	probedFar = 2
)

// peer is an instance of the own failure domain.
type peer struct {
	address  *net.UDPAddr
	boot     int64
	sequence uint64
	heard    time.Duration
	sent     time.Duration
	known    time.Duration
	silent   bool
	leaving  bool
	ended    bool
	failing  bool
	cold     bool
	power    uint16
}

// domain is another failure domain.
type domain struct {
	// addresses are those of its instances that are known, by name.
	addresses map[string]*net.UDPAddr
	// relay is the instance that was last heard for the failure domain.
	relay    string
	boot     int64
	sequence uint64
	heard    time.Duration
	silent   bool
	failing  bool
}

// Peers is the list of other instances, owned by one goroutine.
type Peers struct {
	own       string
	ownDomain string
	ownPower  uint16
	ownBoot   int64
	// failing is true while this instance cannot read the store, and cold while it
	// does not know what was used before its start.
	failing bool
	cold    bool
	near    map[string]*peer
	domains map[string]*domain
}

// NewPeers returns an empty list for an instance that may use a percentage of a
// core and whose process started at boot, in Unix nanoseconds.
func NewPeers(own, ownDomain string, power uint16, boot int64) *Peers {
	return &Peers{own: own, ownDomain: ownDomain, ownPower: power, ownBoot: boot, near: map[string]*peer{}, domains: map[string]*domain{}}
}

// Place is where an instance stands, and what it can do.
type Place struct {
	Domain  string
	Address string
	// Power is the percentage of a core that the instance may use.
	Power uint16
}

// Add makes an instance known. It reports whether it is new.
func (p *Peers) Add(now time.Duration, name string, place Place) (bool, error) {
	if name == p.own {
		return false, nil
	}
	resolved, err := net.ResolveUDPAddr("udp4", place.Address)
	if err != nil {
		return false, fmt.Errorf("peer %q: %w", name, err)
	}
	if place.Domain != p.ownDomain {
		d := p.domain(place.Domain)
		_, known := d.addresses[name]
		d.addresses[name] = resolved
		return !known, nil
	}
	if known := p.near[name]; known != nil {
		if known.silent {
			known.address = resolved
		}
		return false, nil
	}
	p.near[name] = &peer{address: resolved, known: now, silent: true, power: place.Power}
	return true, nil
}

func (p *Peers) domain(name string) *domain {
	d := p.domains[name]
	if d == nil {
		d = &domain{addresses: map[string]*net.UDPAddr{}, silent: true}
		p.domains[name] = d
	}
	return d
}

// Heard takes in a report. It returns false for reports that are older than one
// that was seen, and whether the sender was silent before.
func (p *Peers) Heard(now time.Duration, report Report) (current, regained bool, err error) {
	if report.Instance == p.own || (report.Members > 0) == (report.Domain == p.ownDomain) {
		return false, false, nil
	}
	if _, err := p.Add(now, report.Instance, Place{Domain: report.Domain, Address: report.Address, Power: report.Power}); err != nil {
		return false, false, err
	}
	if report.Members > 0 {
		current, regained = p.domain(report.Domain).hear(now, report)
		return current, regained, nil
	}
	return p.near[report.Instance].hear(now, report)
}

func (d *domain) hear(now time.Duration, report Report) (current, regained bool) {
	if report.Instance == d.relay && isOlder(report, d.boot, d.sequence) {
		return false, false
	}
	regained = d.silent
	d.relay, d.boot, d.sequence, d.heard, d.silent, d.failing = report.Instance, report.Boot, report.Sequence, now, false, report.Failing
	return true, regained
}

func (k *peer) hear(now time.Duration, report Report) (current, regained bool, err error) {
	if isOlder(report, k.boot, k.sequence) {
		return false, false, nil
	}
	if report.Boot != k.boot {
		if k.address, err = net.ResolveUDPAddr("udp4", report.Address); err != nil {
			return false, false, fmt.Errorf("peer %q: %w", report.Instance, err)
		}
	}
	regained = k.silent
	k.boot, k.sequence, k.heard, k.silent, k.leaving = report.Boot, report.Sequence, now, report.Ended, report.Leaving
	k.ended, k.failing, k.cold, k.power = report.Ended, report.Failing, report.Cold > 0, report.Power
	return true, regained, nil
}

func isOlder(report Report, boot int64, sequence uint64) bool {
	return report.Boot < boot || (report.Boot == boot && report.Sequence <= sequence)
}

// Near returns the addresses in the own failure domain that a report is due to
// now. Silent peers are probed less often.
func (p *Peers) Near(now time.Duration) []*net.UDPAddr {
	var targets []*net.UDPAddr
	for name, known := range p.near {
		if now-max(known.heard, known.known) > forgetAfter {
			delete(p.near, name)
			continue
		}
		if known.silent && known.sent > 0 && now-known.sent < probeEvery {
			continue
		}
		known.sent = now
		targets = append(targets, known.address)
	}
	return targets
}

// IsNear reports whether an address belongs to an instance of the own failure
// domain.
func (p *Peers) IsNear(address *net.UDPAddr) bool {
	for _, known := range p.near {
		if known.address.Port == address.Port && known.address.IP.Equal(address.IP) {
			return true
		}
	}
	return false
}

// SetState notes whether this instance can read the store, and whether it knows
// what was used before its start. It reports whether that is new.
func (p *Peers) SetState(failing, cold bool) bool {
	changed := p.failing != failing || p.cold != cold
	p.failing, p.cold = failing, cold
	return changed
}

// rank is the order in which instances, or failure domains, act for others: those
// that know longest what was used, then those that can read the store, then the
// most powerful, then by name. Nobody follows one behind it, so that no two follow
// each other for longer than their views differ.
type rank struct {
	// started is the second in which an instance started that does not know what
	// was used before; 0 for others. An older process knows what a newer one has
	// used, but not the other way round.
	started int64
	failing bool
	power   uint16
	name    string
}

func newRank(name string, power uint16, boot int64, cold, failing bool) rank {
	r := rank{failing: failing, power: power, name: name}
	if cold {
		r.started = 1 + boot/int64(time.Second)
	}
	return r
}

func (r rank) before(other rank) bool {
	switch {
	case r.started != other.started:
		return r.started < other.started
	case r.failing != other.failing:
		return !r.failing
	case r.power != other.power:
		return r.power > other.power
	}
	return r.name < other.name
}

// Relay returns the address of the instance that acts for this failure domain:
// the first of those that live. It is empty if that is this instance. For a
// moment none or two may believe to be it; that costs a report or sends one
// twice.
func (p *Peers) Relay() string {
	first, address := newRank(p.own, p.ownPower, p.ownBoot, p.cold, p.failing), ""
	for name, known := range p.near {
		r := newRank(name, known.power, known.boot, known.cold, known.failing)
		if !known.silent && !known.leaving && r.before(first) {
			first, address = r, known.address.String()
		}
	}
	return address
}

// Lead returns the address of the instance whose copies of the store this one
// follows: the relay of its failure domain, or, for a relay, that of the first
// failure domain that is heard. It is empty if that is this instance.
func (p *Peers) Lead() string {
	if relay := p.Relay(); relay != "" {
		return relay
	}
	first, address := rank{failing: p.failing, name: p.ownDomain}, ""
	for name, d := range p.domains {
		if r := (rank{failing: d.failing, name: name}); !d.silent && r.before(first) && d.addresses[d.relay] != nil {
			first, address = r, d.addresses[d.relay].String()
		}
	}
	return address
}

// IsFirst reports whether no known instance, heard or not, would lead in place of
// this one.
func (p *Peers) IsFirst() bool {
	own := rank{power: p.ownPower, name: p.own}
	for name, known := range p.near {
		if (rank{power: known.power, name: name}).before(own) {
			return false
		}
	}
	for name := range p.domains {
		if name < p.ownDomain {
			return false
		}
	}
	return true
}

// Expected returns the number of instances of the own failure domain that are
// heard, or may be serving although they were not heard for some time.
func (p *Peers) Expected(now, forgotten time.Duration) int {
	expected := 1
	for _, known := range p.near {
		if !known.ended && now-max(known.heard, known.known) <= forgotten {
			expected++
		}
	}
	return expected
}

// Oldest returns the earliest start of the instances in the own failure domain
// that are heard, of which this one started at boot.
func (p *Peers) Oldest(boot int64) int64 {
	for _, known := range p.near {
		if !known.silent {
			boot = min(boot, known.boot)
		}
	}
	return boot
}

// Live is the number of instances in the own failure domain that are heard,
// this one included.
func (p *Peers) Live() int {
	live := 1
	for _, known := range p.near {
		if !known.silent {
			live++
		}
	}
	return live
}

// Far returns the addresses in other failure domains that a sum is due to: the
// relay of each, or some other instances while none is heard.
func (p *Peers) Far() []*net.UDPAddr {
	var targets []*net.UDPAddr
	for _, d := range p.domains {
		if !d.silent && d.addresses[d.relay] != nil {
			targets = append(targets, d.addresses[d.relay])
			continue
		}
		names := make([]string, 0, len(d.addresses))
		for name := range d.addresses {
			names = append(names, name)
		}
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:min(probedFar, len(names))] {
			targets = append(targets, d.addresses[name])
		}
	}
	return targets
}

// Silent returns the peers and failure domains that have just fallen silent.
func (p *Peers) Silent(now time.Duration) []string {
	var names []string
	for name, known := range p.near {
		if !known.silent && now-known.heard > SilentAfter {
			known.silent = true
			names = append(names, name)
		}
	}
	for name, d := range p.domains {
		if !d.silent && now-d.heard > SilentAfter {
			d.silent = true
			names = append(names, DomainPeer(name))
		}
	}
	slices.Sort(names)
	return names
}

// DomainPeer is the name under which the sum of a failure domain is kept.
func DomainPeer(domainName string) string { return "domain " + domainName }

// Count returns the number of known instances, this one included.
func (p *Peers) Count() int {
	count := len(p.near) + 1
	for _, d := range p.domains {
		count += len(d.addresses)
	}
	return count
}

// Known returns the number of known instances of another failure domain.
func (p *Peers) Known(domainName string) int { return len(p.domain(domainName).addresses) }
