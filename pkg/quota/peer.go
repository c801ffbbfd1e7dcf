package quota

import (
	"maps"
	"slices"
	"time"
)

// UsageReport is a usage report of a peer. Each failure domain has one instance,
// its relay, that reports the usage of the whole domain to other domains.
type UsageReport struct {
	// StartTime is the start of the peer's process, and OldestStartTime the
	// earliest start of the processes that it reports for; only their order
	// matters.
	StartTime       int64
	OldestStartTime int64
	// CoveredInstances is the number of instances that the peer reports for: 1, or
	// the number of reachable instances of a failure domain.
	CoveredInstances int
	// ExpectedInstances is the number of covered instances plus the unreachable ones
	// that may still be serving.
	ExpectedInstances int
	// WithoutUsageHistory is the number of covered instances that started within the
	// last window.
	WithoutUsageHistory int
	// RemoteDomain is true for the sum of another failure domain, as reported by
	// its relay.
	RemoteDomain bool
	// Partial is true if the report names only teams whose usage has changed.
	Partial bool
	// Used is the usage of the covered instances in the window, by team.
	Used map[string]float64
	// Total is the usage of all instances as the sender knows it, by team.
	Total map[string]float64
	// UsageSource tells how the sender knows the usage of all instances.
	UsageSource UsageSource
}

// UsageSource tells how the sender of a report knows the usage of all instances.
type UsageSource uint8

// Sources of the total in a report.
const (
	// SourceUnknown means that the peer has restarted and has no total.
	SourceUnknown UsageSource = iota
	// SourceObserved means that the peer has observed a whole window.
	SourceObserved
	// SourceRelayed means that the peer has restarted and got the total from an
	// instance that has observed a whole window.
	SourceRelayed
)

// generation returns a number that changes when a peer restarts, and for a failure
// domain only when all of its instances have restarted: while one of them keeps
// running, it knows the usage of the others, and the number is 0.
func (u UsageReport) generation() int64 {
	switch {
	case !u.RemoteDomain:
		return u.StartTime
	case u.WithoutUsageHistory == u.CoveredInstances:
		return u.OldestStartTime
	}
	return 0
}

// peerUsage is the usage of a peer, or of another failure domain.
type peerUsage struct {
	reported time.Duration
	latest   UsageReport
	// expectedInstances is 1 for a peer that may be serving; for another failure
	// domain, the number of its instances that may be serving.
	expectedInstances int
	generation        int64
	// current is the usage of the present generation, and previous the usage of all
	// earlier generations: a restarted process no longer reports what it used before.
	current, previous teamWindows
	// reportedTotals is the usage of all instances as the peer reported it, and
	// usageSource how the peer knew it. Both are kept after the peer has stopped:
	// the reported usage counts until it has left the window.
	reportedTotals teamWindows
	usageSource    UsageSource
	// observedAtReport is the usage of all instances that was known here at the
	// last full report. Usage since then is not in the peer's total.
	observedAtReport map[string]float64
}

// applyReport applies a report of the peer. The amounts in a report are sums over the
// sender's window. Only the part above the sum known here counts as new usage, so
// that the next report makes up for a lost one. It returns the usage that the peer has taken
// back, by team.
func (p *peerUsage) applyReport(now, window time.Duration, report UsageReport) (takenBack map[string]float64) {
	// The start time of a peer is lower than before if its clock was set back. The oldest
	// one of a failure domain is also lower once an older instance can be reached again.
	generation := report.generation()
	if generation > p.generation || (!report.RemoteDomain && generation != p.generation) {
		if p.generation != 0 {
			p.previous.addAll(now, window, p.current)
			p.current, p.latest.Used = teamWindows{}, nil
		}
		p.generation = generation
	} else if p.generation == 0 {
		p.generation = report.OldestStartTime
	}
	if !report.RemoteDomain {
		takenBack = p.lowerCurrent(now, report)
	}
	for team, amount := range report.Used {
		w := p.current.window(team, window)
		w.Add(now, max(0, amount-w.Sum(now)))
	}
	if report.Partial {
		report.Used = merged(p.latest.Used, report.Used)
	}
	if report.RemoteDomain && report.UsageSource != SourceObserved {
		// A relay that has just started does not know the usage of instances that
		// have stopped, so its lower sum does not replace the known one.
		report.Used = merged(report.Used, nil)
		for team, w := range p.current {
			report.Used[team] = max(report.Used[team], w.Sum(now))
		}
	}
	p.reported, p.latest = now, report
	p.expectedInstances = max(report.ExpectedInstances, report.CoveredInstances)
	return takenBack
}

// lowerCurrent lowers the usage of a peer to what it reports about itself, and returns the
// differences by team. Otherwise usage that was taken back would hide later usage of the
// same amount. The oldest usage is removed, so that what remains is not too old. The sum of
// a failure domain is lower also when one of its instances cannot be reached.
func (p *peerUsage) lowerCurrent(now time.Duration, report UsageReport) map[string]float64 {
	lowered := map[string]float64{}
	for team, w := range p.current {
		amount, reported := report.Used[team]
		if difference := w.Sum(now) - amount; difference > 0 && (reported || !report.Partial) {
			w.setSum(now, amount)
			lowered[team] = difference
		}
	}
	return lowered
}

// applyTotals stores the total usage of all instances that the peer reports. observed
// is the usage that this instance has itself counted or received from peers so far.
func (p *peerUsage) applyTotals(now, window time.Duration, report UsageReport, observed map[string]float64) {
	for team := range report.Total {
		p.reportedTotals.window(team, window)
	}
	for team, w := range p.reportedTotals {
		w.setSum(now, report.Total[team])
	}
	p.usageSource, p.observedAtReport = report.UsageSource, observed
}

// teams returns the teams with usage.
func (p *peerUsage) teams() []string {
	names := slices.Collect(maps.Keys(p.current))
	for team := range p.previous {
		if p.current[team] == nil {
			names = append(names, team)
		}
	}
	return names
}

// stop marks the peer as stopped; its earlier usage still counts.
func (p *peerUsage) stop(now, window time.Duration) {
	p.previous.addAll(now, window, p.current)
	p.current, p.latest, p.expectedInstances = teamWindows{}, UsageReport{RemoteDomain: p.latest.RemoteDomain}, 0
}

func merged(old, changes map[string]float64) map[string]float64 {
	all := maps.Clone(old)
	if all == nil {
		all = make(map[string]float64, len(changes))
	}
	maps.Copy(all, changes)
	return all
}

// teamWindows holds the usage over time of each team, by team name.
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
