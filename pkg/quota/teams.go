package quota

import "time"

// Rules are the parameters of quota accounting over all instances.
type Rules struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// All instances together may exceed a limit by the share Overage of it, and by
	// the amount Slack.
	Overage float64
	Slack   float64
	// Fresh is the age up to which a peer's report counts as its current usage.
	Fresh time.Duration
	// Forget is the time for which a silent peer counts as one that may be
	// partitioned and still serving.
	Forget time.Duration
	// RecallWait is the longest time after a restart in which all limits count as
	// used up, until the usage records have been read.
	RecallWait time.Duration
}

// usableReserve is the part of Overage and Slack that instances admit. The rest
// covers requests admitted between two reports, and errors in the usage assumed
// after a restart.
const usableReserve = 0.2

// Teams enforces the quotas of teams over all instances.
type Teams struct {
	rules Rules
	own   teamWindows
	peers map[string]*peerUse
	// coldUntil is the end of the first window after a restart. Until then the
	// window includes time before the start.
	coldUntil time.Duration
	// restoreUntil is the end of the wait for usage records.
	restoreUntil time.Duration
	// limits holds the limits of the teams that were charged.
	limits map[string]Limit
	// totals is the usage of all instances over time, and restored the usage
	// records that were read after a restart.
	totals   teamWindows
	restored map[string][]expiringAmount
	// recorded is the sum for each team in the newest record in the store, and
	// recordedAt the time of that record.
	recorded   map[string]float64
	recordedAt time.Duration
}

// expiringAmount is an amount that leaves the window at a known time.
type expiringAmount struct {
	amount float64
	until  time.Duration
}

// NewTeams returns a quota state without usage. restarted is true if the instance
// may have run before.
func NewTeams(rules Rules, now time.Duration, restarted bool) *Teams {
	t := &Teams{rules: rules, own: teamWindows{}, peers: map[string]*peerUse{},
		limits: map[string]Limit{}, totals: teamWindows{}, restored: map[string][]expiringAmount{}}
	if restarted {
		t.coldUntil, t.restoreUntil = now+rules.Window, now+rules.RecallWait
	}
	return t
}

// Cold reports whether the window still includes time before a restart.
func (t *Teams) Cold(now time.Duration) bool { return now < t.coldUntil }

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
	// Silent is the number of instances without a recent report.
	Silent int
}

// Charge checks an amount against the limit, and counts it if it is admitted.
func (t *Teams) Charge(now time.Duration, team string, limit Limit, amount float64) Verdict {
	t.limits[team] = limit
	verdict := t.verdict(now, team, limit, amount)
	if verdict.Allowed {
		t.own.window(team, t.rules.Window).Add(now, amount)
	}
	return verdict
}

// Return takes back an amount whose request did not run.
func (t *Teams) Return(now time.Duration, team string, amount float64) {
	t.own.window(team, t.rules.Window).Add(now, -amount)
}

func (t *Teams) verdict(now time.Duration, team string, limit Limit, amount float64) Verdict {
	windowLimit := limit.perWindow(t.rules.Window)
	live, silent := t.countInstances(now)
	total := float64(live + silent)
	reserve := windowLimit*t.rules.Overage + t.rules.Slack
	v := Verdict{
		Used:      t.estimatedUse(now, team, windowLimit, total),
		Allowance: (windowLimit + reserve*usableReserve) * float64(live) / total,
		Silent:    silent,
	}
	v.Allowed = v.Used+amount <= v.Allowance
	return v
}

// countInstances returns the number of instances with a recent report, this one
// included, and the number of those that may be partitioned and still serving. The
// latter keep their share of each limit. Peers that are silent for too long
// are removed.
func (t *Teams) countInstances(now time.Duration) (live, silent int) {
	live = 1
	for name, peer := range t.peers {
		switch age := now - peer.reported; {
		case age > t.rules.Forget:
			delete(t.peers, name)
		case age > t.rules.Fresh:
			silent += peer.knownInstances
		default:
			live += peer.latest.Members
			silent += max(0, peer.knownInstances-peer.latest.Members)
		}
	}
	return live, silent
}

// estimatedUse returns the usage of all instances; total is their number.
func (t *Teams) estimatedUse(now time.Duration, team string, windowLimit, total float64) float64 {
	sum := t.own.sum(now, team)
	for _, peer := range t.peers {
		sum += t.peerUseOf(now, peer, team, windowLimit, total)
	}
	if !t.Cold(now) {
		return sum
	}
	if provenance := t.bestProvenance(); provenance != Unknown {
		return max(sum, t.reportedTotal(now, team, provenance))
	}
	return sum + t.assumedUse(now, team, windowLimit)
}

// bestProvenance returns the best provenance of the totals that peers have
// reported.
func (t *Teams) bestProvenance() Hand {
	best := Unknown
	for _, peer := range t.peers {
		if peer.provenance == First {
			return First
		}
		best = max(best, peer.provenance)
	}
	return best
}

// reportedTotal returns the usage of all instances according to peers with the
// given provenance: the largest total of peers with recent reports, or else of the
// others. Usage observed here since a report is added to its total.
func (t *Teams) reportedTotal(now time.Duration, team string, provenance Hand) float64 {
	largest, fresh := 0.0, false
	for _, peer := range t.peers {
		if peer.provenance != provenance {
			continue
		}
		amount := peer.reportedTotals.sum(now, team) + max(0, t.observedUse(now, team)-peer.observedAtReport[team])
		switch isFresh := now-peer.reported <= t.rules.Fresh; {
		case isFresh && !fresh:
			largest, fresh = amount, true
		case isFresh == fresh:
			largest = max(largest, amount)
		}
	}
	return largest
}

// observedUse returns the usage of this instance and of peers in the window, as far
// as it was reported here, including that of lost peers.
func (t *Teams) observedUse(now time.Duration, team string) float64 {
	sum := t.own.sum(now, team)
	for _, peer := range t.peers {
		sum += peer.current.sum(now, team) + peer.previous.sum(now, team)
	}
	return sum
}

// peerUseOf returns the usage of a peer. A silent peer keeps its share of the
// limit; only earlier usage above that share is added.
func (t *Teams) peerUseOf(now time.Duration, peer *peerUse, team string, windowLimit, total float64) float64 {
	earlier := peer.previous.sum(now, team)
	if now-peer.reported > t.rules.Fresh {
		return earlier + max(0, peer.current.sum(now, team)-windowLimit*float64(peer.knownInstances)/total)
	}
	return earlier + peer.latest.Used[team]
}

// Used returns the usage of this instance, by team.
func (t *Teams) Used(now time.Duration) map[string]float64 { return t.own.sums(now) }

// Told returns the usage of all instances, for peers that have restarted, and how
// this instance knows it. A relayed total is not relayed again: two instances could
// otherwise keep it alive by reporting it to each other.
func (t *Teams) Told(now time.Duration) (total map[string]float64, provenance Hand) {
	switch {
	case !t.Cold(now):
		return t.Total(now), First
	case t.bestProvenance() != First:
		return nil, Unknown
	}
	total = t.Total(now)
	for _, peer := range t.peers {
		for team := range peer.reportedTotals {
			total[team] = max(total[team], t.reportedTotal(now, team, First))
		}
	}
	return total, Second
}

// Total returns the usage of all instances, as known here.
func (t *Teams) Total(now time.Duration) map[string]float64 {
	total := t.own.sums(now)
	live, silent := t.countInstances(now)
	for _, peer := range t.peers {
		t.addUse(total, now, peer, float64(live+silent))
	}
	return total
}

// addUse adds the usage of a peer, by team.
func (t *Teams) addUse(sums map[string]float64, now time.Duration, peer *peerUse, total float64) {
	for _, team := range peer.teams() {
		sums[team] += t.peerUseOf(now, peer, team, t.limits[team].perWindow(t.rules.Window), total)
	}
}

// Sum returns the usage of this instance and the peers of its failure domain,
// including their former processes, and how many of these instances are cold.
func (t *Teams) Sum(now time.Duration) (used map[string]float64, cold int) {
	used = t.own.sums(now)
	if t.Cold(now) {
		cold++
	}
	live, silent := t.countInstances(now)
	for _, peer := range t.peers {
		if peer.latest.Far {
			continue
		}
		if now-peer.reported <= t.rules.Fresh {
			cold += peer.latest.Cold
		}
		t.addUse(used, now, peer, float64(live+silent))
	}
	return used, cold
}

// Report applies a usage report of a peer.
func (t *Teams) Report(now time.Duration, peer string, use Use) {
	p := t.entry(peer)
	p.applyReport(now, t.rules.Window, use)
	if t.Cold(now) && use.Hand != Unknown && !use.Partial {
		p.applyTotals(now, t.rules.Window, use, t.observedUses(now))
	}
}

// observedUses returns observedUse of all teams.
func (t *Teams) observedUses(now time.Duration) map[string]float64 {
	sums := t.own.sums(now)
	for _, peer := range t.peers {
		peer.current.addTo(sums, now)
		peer.previous.addTo(sums, now)
	}
	return sums
}

// End tells that a peer has stopped.
func (t *Teams) End(now time.Duration, peer string) { t.entry(peer).stop(now, t.rules.Window) }

// Known raises the number of instances that a peer stands for to at least members.
// Those without a report may be partitioned and still serving.
func (t *Teams) Known(now time.Duration, peer string, members int) {
	if _, found := t.peers[peer]; !found {
		t.entry(peer).reported = now - t.rules.Fresh - 1
	}
	p := t.entry(peer)
	p.knownInstances = max(p.knownInstances, members)
}

func (t *Teams) entry(name string) *peerUse {
	p := t.peers[name]
	if p == nil {
		p = &peerUse{current: teamWindows{}, previous: teamWindows{}, reportedTotals: teamWindows{}}
		t.peers[name] = p
	}
	return p
}

// Informed reports whether this instance knows the usage before its start, from its
// own window or from a peer.
func (t *Teams) Informed(now time.Duration) bool {
	return !t.Cold(now) || t.bestProvenance() != Unknown
}
