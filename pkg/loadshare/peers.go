package loadshare

import (
	"errors"
	"fmt"
	"net"
	"time"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Times of the exchange.
const (
	// SilentAfter is the time without a report after which a peer is only
	// probed; four reports have then been lost.
	SilentAfter = time.Second
	// probeEvery is the pause between reports to silent peers.
	probeEvery = time.Second
	// forgetAfter ends the probing of peers that are gone.
	forgetAfter = 2 * time.Minute
)

type peer struct {
	address  *net.UDPAddr
	boot     int64
	sequence uint64
	heard    time.Duration
	sent     time.Duration
	known    time.Duration
	silent   bool
	leaving  bool
}

// Peers is the list of other instances, owned by one goroutine.
type Peers struct {
	own   string
	peers map[string]*peer
}

// NewPeers returns an empty list for the instance with the given name.
func NewPeers(own string) *Peers { return &Peers{own: own, peers: map[string]*peer{}} }

// Add makes a peer known by its address. It reports whether the peer is new.
func (p *Peers) Add(now time.Duration, name, address string) (bool, error) {
	if name == p.own {
		return false, nil
	}
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return false, fmt.Errorf("peer %q: %w", name, err)
	}
	if known := p.peers[name]; known != nil {
		if known.silent || known.heard == 0 {
			known.address = resolved
		}
		return false, nil
	}
	p.peers[name] = &peer{address: resolved, known: now, silent: true}
	return true, nil
}

// Heard takes in a report. It returns false for reports that are older than
// one that was seen, and whether the peer was silent before.
func (p *Peers) Heard(now time.Duration, report Report) (current, regained bool, err error) {
	if report.Instance == p.own {
		return false, false, nil
	}
	if _, err := p.Add(now, report.Instance, report.Address); err != nil {
		return false, false, err
	}
	known := p.peers[report.Instance]
	if report.Boot < known.boot || (report.Boot == known.boot && report.Sequence <= known.sequence) {
		return false, false, nil
	}
	if report.Boot != known.boot {
		address, err := net.ResolveUDPAddr("udp4", report.Address)
		if err != nil {
			return false, false, fmt.Errorf("peer %q: %w", report.Instance, err)
		}
		known.address = address
	}
	regained = known.silent
	known.boot, known.sequence, known.heard = report.Boot, report.Sequence, now
	known.silent, known.leaving = false, report.Leaving
	return true, regained, nil
}

// Targets returns the addresses that a report is due to now. Silent peers are
// probed less often.
func (p *Peers) Targets(now time.Duration) []*net.UDPAddr {
	var targets []*net.UDPAddr
	for name, known := range p.peers {
		last := max(known.heard, known.known)
		if now-last > forgetAfter {
			delete(p.peers, name)
			continue
		}
		if known.silent && now-known.sent < probeEvery {
			continue
		}
		known.sent = now
		targets = append(targets, known.address)
	}
	return targets
}

// Silent returns the names of peers that have just fallen silent.
func (p *Peers) Silent(now time.Duration) []string {
	var names []string
	for name, known := range p.peers {
		if !known.silent && now-known.heard > SilentAfter {
			known.silent = true
			names = append(names, name)
		}
	}
	return names
}

// Names returns the names of all peers that are known.
func (p *Peers) Names() []string {
	names := make([]string, 0, len(p.peers))
	for name := range p.peers {
		names = append(names, name)
	}
	return names
}

// Count returns the number of known instances, this one included.
func (p *Peers) Count() int { return len(p.peers) + 1 }
