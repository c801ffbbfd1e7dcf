package quota

import (
	"maps"
	"slices"
	"time"
)

// Use is a usage report of a peer. Each failure domain has one instance, its relay,
// that reports the usage of the whole domain to other domains.
type Use struct {
	// Boot is the start of the peer's process, and Oldest the earliest start of the
	// processes that it reports for; only their order matters.
	Boot   int64
	Oldest int64
	// Members is the number of instances that the peer reports for: 1, or the live
	// ones of a failure domain.
	Members int
	// Known also counts the instances that the peer does not hear and that may still
	// be serving.
	Known int
	// Cold is the number of members that started within the last window.
	Cold int
	// Far is true for the sum of another failure domain, as reported by its relay.
	Far bool
	// Partial reports name only teams whose usage has changed.
	Partial bool
	// Used is the usage of the members in the window, by team.
	Used map[string]float64
	// Total is the usage of all instances as the sender knows it, by team.
	Total map[string]float64
	// Hand tells how the sender knows the usage of all instances.
	Hand Hand
}

// Hand tells how the sender of a report knows the usage of all instances.
type Hand uint8

// Provenance of the total in a report.
const (
	// Unknown means that the peer has restarted and has no total.
	Unknown Hand = iota
	// First means that the peer has observed a whole window.
	First
	// Second means that the peer has restarted and got the total from one that has
	// observed a whole window.
	Second
)

// generation returns a number that grows when a peer restarts, and for a failure
// domain only when all of its instances have restarted: while one of them keeps
// running, it knows the usage of the others.
func (u Use) generation() int64 {
	switch {
	case !u.Far:
		return u.Boot
	case u.Cold == u.Members:
		return u.Oldest
	}
	return 0
}

// peerUse is the usage of a peer, or of another failure domain.
type peerUse struct {
	reported time.Duration
	latest   Use
	// knownInstances is the number of instances that this entry stands for.
	knownInstances int
	generation     int64
	// current is the usage of the present generation, and previous that of earlier
	// ones, which a restarted process does not report.
	current, previous teamWindows
	// reportedTotals is the usage of all instances as the peer reported it, and
	// provenance how the peer knew it. Both outlive the peer and count until they
	// have left the window.
	reportedTotals teamWindows
	provenance     Hand
	// observedAtReport is the usage of all instances that was known here at the
	// last whole report. Usage since then is not in the peer's total.
	observedAtReport map[string]float64
}

// applyReport adds a report. Reports hold the sum over the sender's window: usage
// above the known sum is new, and a lost report is made up for by the next one.
func (p *peerUse) applyReport(now, window time.Duration, use Use) {
	if generation := use.generation(); generation > p.generation {
		if p.generation != 0 {
			p.previous.addAll(now, window, p.current)
			p.current, p.latest.Used = teamWindows{}, nil
		}
		p.generation = generation
	} else if p.generation == 0 {
		p.generation = use.Oldest
	}
	for team, amount := range use.Used {
		w := p.current.window(team, window)
		w.Add(now, max(0, amount-w.Sum(now)))
	}
	if use.Partial {
		use.Used = merged(p.latest.Used, use.Used)
	}
	if use.Far && use.Hand != First {
		// A relay that has just started does not know the usage of instances that
		// have stopped, so its lower sum does not replace the known one.
		use.Used = merged(use.Used, nil)
		for team, w := range p.current {
			use.Used[team] = max(use.Used[team], w.Sum(now))
		}
	}
	p.reported, p.latest = now, use
	p.knownInstances = max(use.Known, use.Members)
}

// applyTotals stores the usage of all instances that the peer reports. observed is
// the usage known here at the same time.
func (p *peerUse) applyTotals(now, window time.Duration, use Use, observed map[string]float64) {
	for team := range use.Total {
		p.reportedTotals.window(team, window)
	}
	for team, w := range p.reportedTotals {
		w.setSum(now, use.Total[team])
	}
	p.provenance, p.observedAtReport = use.Hand, observed
}

// teams returns the teams with usage.
func (p *peerUse) teams() []string {
	names := slices.Collect(maps.Keys(p.current))
	for team := range p.previous {
		if p.current[team] == nil {
			names = append(names, team)
		}
	}
	return names
}

// stop marks the peer as stopped; its earlier usage still counts.
func (p *peerUse) stop(now, window time.Duration) {
	p.previous.addAll(now, window, p.current)
	p.current, p.latest, p.knownInstances = teamWindows{}, Use{Far: p.latest.Far}, 0
}

func merged(old, changes map[string]float64) map[string]float64 {
	all := maps.Clone(old)
	if all == nil {
		all = make(map[string]float64, len(changes))
	}
	maps.Copy(all, changes)
	return all
}

// teamWindows holds the usage of each team.
type teamWindows map[string]*Window

func (tw teamWindows) window(team string, length time.Duration) *Window {
	return windowOf(tw, team, length)
}

func (tw teamWindows) sum(now time.Duration, team string) float64 {
	if w := tw[team]; w != nil {
		return w.Sum(now)
	}
	return 0
}

// sums returns the sums of all teams with usage.
func (tw teamWindows) sums(now time.Duration) map[string]float64 {
	sums := make(map[string]float64, len(tw))
	tw.addTo(sums, now)
	return sums
}

func (tw teamWindows) addTo(sums map[string]float64, now time.Duration) {
	for team, w := range tw {
		if sum := w.Sum(now); sum > 0 {
			sums[team] += sum
		}
	}
}

// addAll adds the usage of another set of windows, each amount at the time of its
// use.
func (tw teamWindows) addAll(now, window time.Duration, other teamWindows) {
	for team, w := range other {
		tw.window(team, window).merge(now, w)
	}
}
