package quota

import (
	"iter"
	"time"
)

// Rules are the parameters of quota accounting over all instances.
type Rules struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// All instances together may exceed a limit by a fraction of it, Overage, plus a
	// fixed amount, Slack.
	Overage float64
	Slack   float64
	// ReportTimeout is the age up to which a peer's report counts as its current usage.
	ReportTimeout time.Duration
	// PeerExpiry is the time for which an unreachable peer counts as one that may be
	// partitioned and still serving.
	PeerExpiry time.Duration
}

// usableReserve is the part of Overage and Slack that instances admit. The rest
// covers requests admitted between two reports, and errors in the usage assumed
// after a restart.
const usableReserve = 0.2

// TeamQuotas enforces the quotas of teams over all instances.
type TeamQuotas struct {
	rules Rules
	own   teamWindows
	peers map[string]*peerUsage
	// firstWindowEnd is the end of the first window after a restart. Until then the
	// window includes time before the start.
	firstWindowEnd time.Duration
	// restoring is true after a restart until the usage records have been read.
	restoring bool
	// limits holds the limits of the teams that were charged.
	limits map[string]Limit
	// totals is the usage of all instances over time, and restored the usage
	// records that were read after a restart.
	totals   teamWindows
	restored map[string][]expiringAmount
	// takenBack is the usage of each team, of this instance and of its peers, that was taken
	// back since totals was updated.
	takenBack map[string]float64
	// recorded is the usage of each team in the newest record in the store, and
	// recordedAt the time of that record.
	recorded   map[string]float64
	recordedAt time.Duration
	// view is the last view of the relay, and viewTotals its usage over time.
	view       fleetView
	viewTotals *peerUsage
	// observing is true while this instance receives the reports of all others of its
	// failure domain, and observingFrom the time at which that began; 0 if it did
	// from the start.
	observing     bool
	observingFrom time.Duration
	startedAt     time.Duration
}

// expiringAmount is an amount that leaves the window at a known time.
type expiringAmount struct {
	amount float64
	until  time.Duration
}

// NewTeamQuotas returns a quota state without usage. restarted is true if the instance
// may have run before.
func NewTeamQuotas(rules Rules, now time.Duration, restarted bool) *TeamQuotas {
	t := &TeamQuotas{rules: rules, own: teamWindows{}, peers: map[string]*peerUsage{}, observing: true, startedAt: now,
		limits: map[string]Limit{}, totals: teamWindows{}, restored: map[string][]expiringAmount{}, takenBack: map[string]float64{}}
	if restarted {
		t.firstWindowEnd, t.restoring = now+rules.Window, true
	}
	return t
}

// Restarted reports whether the window still includes time before a restart.
func (t *TeamQuotas) Restarted(now time.Duration) bool { return now < t.firstWindowEnd }

// LacksUsageHistory reports whether the window still includes time in which this
// instance did not receive the reports of the others: before a restart, or before it
// became an observer of its failure domain.
func (t *TeamQuotas) LacksUsageHistory(now time.Duration) bool {
	return t.Restarted(now) || (t.observingFrom > 0 && now < t.observingFrom+t.rules.Window)
}

// Limit is the quota of a team: a rate and a burst.
type Limit struct {
	PerSecond float64
	Burst     float64
}

func (l Limit) perWindow(window time.Duration) float64 { return l.PerSecond*window.Seconds() + l.Burst }

// Verdict is the result of a quota check, with its inputs.
type Verdict struct {
	Allowed bool
	// Used is the usage of all instances, as known here.
	Used float64
	// Allowance is the usage of all instances up to which this one admits requests.
	Allowance float64
	// Unreachable is the number of instances without a recent report that may still
	// be serving.
	Unreachable int
	// At is when the amount was checked and, if it was admitted, charged.
	At time.Duration
}

// Charge checks an amount against the limit, and counts it if it is admitted.
func (t *TeamQuotas) Charge(now time.Duration, team string, limit Limit, amount float64) Verdict {
	t.limits[team] = limit
	verdict := t.verdict(now, team, limit, amount)
	if verdict.Allowed {
		t.own.window(team, t.rules.Window).Add(now, amount)
	}
	return verdict
}

// Charge is an amount that was counted for a team.
type Charge struct {
	Team   string
	Amount float64
	// At is when it was counted.
	At time.Duration
}

// Refund takes back a charge whose request did not run.
func (t *TeamQuotas) Refund(now time.Duration, charge Charge) {
	t.takenBack[charge.Team] += t.own.window(charge.Team, t.rules.Window).TakeBack(now, charge.At, charge.Amount)
}

// Preview checks an amount against the limit without counting it.
func (t *TeamQuotas) Preview(now time.Duration, team string, limit Limit, amount float64) Verdict {
	return t.verdict(now, team, limit, amount)
}

func (t *TeamQuotas) verdict(now time.Duration, team string, limit Limit, amount float64) Verdict {
	windowLimit := limit.perWindow(t.rules.Window)
	reachable, unreachable := t.countInstances(now)
	total := float64(reachable + unreachable)
	reserve := windowLimit*t.rules.Overage + t.rules.Slack
	v := Verdict{
		At:          now,
		Used:        t.estimatedUsage(now, team, windowLimit, total),
		Allowance:   (windowLimit + reserve*usableReserve) * float64(reachable) / total,
		Unreachable: unreachable,
	}
	v.Allowed = v.Used+amount <= v.Allowance
	return v
}

// countInstances returns the number of instances with a recent report, this one
// included, and the number of instances without such a report that may be
// partitioned and still serving. The latter keep their share of each limit. Peers
// that are unreachable for longer than PeerExpiry are removed.
func (t *TeamQuotas) countInstances(now time.Duration) (reachable, unreachable int) {
	if t.viewIsFresh(now) {
		return max(1, t.view.Reachable), t.view.Unreachable
	}
	reachable = 1
	for name, peer := range t.peers {
		switch age := now - peer.reported; {
		case age > t.rules.PeerExpiry:
			delete(t.peers, name)
		case age > t.rules.ReportTimeout:
			unreachable += peer.expectedInstances
		default:
			reachable += peer.latest.CoveredInstances
			unreachable += max(0, peer.expectedInstances-peer.latest.CoveredInstances)
		}
	}
	// The instances that the relay counted may all be serving.
	return reachable, max(unreachable, t.instancesOfView(now)-reachable)
}

// estimatedUsage returns the usage of all instances; total is their number.
func (t *TeamQuotas) estimatedUsage(now time.Duration, team string, windowLimit, total float64) float64 {
	if t.viewIsFresh(now) {
		return t.usageByView(now, team, windowLimit)
	}
	sum := t.own.sum(now, team)
	for _, peer := range t.peers {
		sum += t.usageOfPeer(now, peer, team, windowLimit, total)
	}
	sum += t.usageByStaleView(now, team, windowLimit, total)
	if !t.LacksUsageHistory(now) {
		return sum
	}
	if source := t.bestUsageSource(); source != SourceUnknown {
		return max(sum, t.reportedTotal(now, team, source))
	}
	return sum + t.assumedUsage(now, team, windowLimit)
}

// bestUsageSource returns the best source of the totals that peers have reported.
func (t *TeamQuotas) bestUsageSource() UsageSource {
	best := SourceUnknown
	for peer := range t.totalSources() {
		if peer.usageSource == SourceObserved {
			return SourceObserved
		}
		best = max(best, peer.usageSource)
	}
	return best
}

// totalSources returns the peers that may have reported the usage of all instances, the
// relay's views included.
func (t *TeamQuotas) totalSources() iter.Seq[*peerUsage] {
	return func(yield func(*peerUsage) bool) {
		if t.viewTotals != nil && !yield(t.viewTotals) {
			return
		}
		for _, peer := range t.peers {
			if !yield(peer) {
				return
			}
		}
	}
}

// reportedTotal returns the usage of all instances according to the peers that know
// it from the given source: the largest total that peers with recent reports sent or,
// if there are no such peers, the largest that other peers sent. Usage observed
// here since a report is added to its total.
func (t *TeamQuotas) reportedTotal(now time.Duration, team string, source UsageSource) float64 {
	largest, recent := 0.0, false
	for peer := range t.totalSources() {
		if peer.usageSource != source {
			continue
		}
		amount := peer.reportedTotals.sum(now, team) + max(0, t.observedUsage(now, team)-peer.observedAtReport[team])
		switch isRecent := now-peer.reported <= t.rules.ReportTimeout; {
		case isRecent && !recent:
			largest, recent = amount, true
		case isRecent == recent:
			largest = max(largest, amount)
		}
	}
	return largest
}

// observedUsage returns the usage of this instance and of peers in the window, as far
// as it was reported here, including that of unreachable peers.
func (t *TeamQuotas) observedUsage(now time.Duration, team string) float64 {
	sum := t.own.sum(now, team)
	for _, peer := range t.peers {
		sum += peer.current.sum(now, team) + peer.previous.sum(now, team)
	}
	return sum
}

// usageOfPeer returns the usage of a peer and of its former processes. An unreachable
// peer keeps its share of the limit; of the usage of its present process, only the part
// above that share is counted.
func (t *TeamQuotas) usageOfPeer(now time.Duration, peer *peerUsage, team string, windowLimit, total float64) float64 {
	earlier := peer.previous.sum(now, team)
	if now-peer.reported > t.rules.ReportTimeout {
		return earlier + max(0, peer.current.sum(now, team)-windowLimit*float64(peer.expectedInstances)/total)
	}
	return earlier + peer.latest.Used[team]
}

// OwnUsage returns the usage of this instance, by team.
func (t *TeamQuotas) OwnUsage(now time.Duration) map[string]float64 { return t.own.sums(now) }

// ReportableTotal returns the usage of all instances, for peers that have
// restarted, and how this instance knows it. A relayed total is not relayed
// again: two instances could otherwise keep it alive by reporting it to each
// other.
func (t *TeamQuotas) ReportableTotal(now time.Duration) (total map[string]float64, source UsageSource) {
	switch {
	case !t.observing:
		// Restarted instances get the totals from an observer.
		return nil, SourceUnknown
	case !t.LacksUsageHistory(now):
		return t.TotalUsage(now), SourceObserved
	case t.bestUsageSource() != SourceObserved:
		return nil, SourceUnknown
	}
	total = t.TotalUsage(now)
	for peer := range t.totalSources() {
		for team := range peer.reportedTotals {
			total[team] = max(total[team], t.reportedTotal(now, team, SourceObserved))
		}
	}
	return total, SourceRelayed
}

// TotalUsage returns the usage of all instances, as known here.
func (t *TeamQuotas) TotalUsage(now time.Duration) map[string]float64 {
	total := t.own.sums(now)
	reachable, unreachable := t.countInstances(now)
	for _, peer := range t.peers {
		t.addUsage(total, now, peer, float64(reachable+unreachable))
	}
	return total
}

// addUsage adds the usage of a peer, by team.
func (t *TeamQuotas) addUsage(sums map[string]float64, now time.Duration, peer *peerUsage, total float64) {
	for _, team := range peer.teams() {
		sums[team] += t.usageOfPeer(now, peer, team, t.limits[team].perWindow(t.rules.Window), total)
	}
}

// DomainUsage returns the usage of this instance and the peers of its failure
// domain, including their former processes, and how many of these instances lack
// the usage from before their start.
func (t *TeamQuotas) DomainUsage(now time.Duration) (used map[string]float64, withoutUsageHistory int) {
	used = t.own.sums(now)
	if t.Restarted(now) {
		withoutUsageHistory++
	}
	reachable, unreachable := t.countInstances(now)
	for _, peer := range t.peers {
		if peer.latest.RemoteDomain {
			continue
		}
		if now-peer.reported <= t.rules.ReportTimeout {
			withoutUsageHistory += peer.latest.WithoutUsageHistory
		}
		t.addUsage(used, now, peer, float64(reachable+unreachable))
	}
	return used, withoutUsageHistory
}

// ApplyReport applies a usage report of a peer.
func (t *TeamQuotas) ApplyReport(now time.Duration, peer string, report UsageReport) {
	p := t.entry(peer)
	for team, amount := range p.applyReport(now, t.rules.Window, report) {
		t.takenBack[team] += amount
	}
	if t.LacksUsageHistory(now) && report.UsageSource != SourceUnknown && !report.Partial {
		p.applyTotals(now, t.rules.Window, report, t.observedUsageByTeam(now))
	}
}

// observedUsageByTeam returns observedUsage of all teams.
func (t *TeamQuotas) observedUsageByTeam(now time.Duration) map[string]float64 {
	sums := t.own.sums(now)
	for _, peer := range t.peers {
		peer.current.addTo(sums, now)
		peer.previous.addTo(sums, now)
	}
	return sums
}

// MarkStopped records that a peer has stopped.
func (t *TeamQuotas) MarkStopped(now time.Duration, peer string) {
	t.entry(peer).stop(now, t.rules.Window)
}

// ExpectInstances raises the number of instances that a peer stands for, if it is
// lower than the given number. Instances without a report may be partitioned and
// still serving.
func (t *TeamQuotas) ExpectInstances(now time.Duration, peer string, instances int) {
	if _, found := t.peers[peer]; !found {
		t.entry(peer).reported = now - t.rules.ReportTimeout - 1
	}
	p := t.entry(peer)
	p.expectedInstances = max(p.expectedInstances, instances)
}

func (t *TeamQuotas) entry(name string) *peerUsage {
	p := t.peers[name]
	if p == nil {
		p = &peerUsage{current: teamWindows{}, previous: teamWindows{}, reportedTotals: teamWindows{}}
		t.peers[name] = p
	}
	return p
}

// KnowsTotalUsage reports whether this instance knows the usage of all instances,
// also from before its start: from its own window or from a peer.
func (t *TeamQuotas) KnowsTotalUsage(now time.Duration) bool {
	return !t.LacksUsageHistory(now) || t.bestUsageSource() != SourceUnknown
}
