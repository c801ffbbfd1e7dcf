package quota

import "time"

// Rules are the figures that bind all instances together.
type Rules struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Overage is the part of a limit that may be used beyond it, and Slack
	// the amount beyond that.
	Overage float64
	Slack   float64
	// Fresh is how long a peer's report counts as what the peer uses now.
	Fresh time.Duration
	// Forget is how long a silent peer is counted as one that may be cut off
	// and still serving.
	Forget time.Duration
	// RecallWait is the time after a restart in which all limits count as used,
	// until it is known what was recorded.
	RecallWait time.Duration
}

// partitionReserve is the part of Overage and Slack that instances admit. The
// rest covers what they admit between two reports, and errors of what is known
// after a restart.
const partitionReserve = 0.2

// Teams decides whether requests of teams are within their limits.
type Teams struct {
	rules Rules
	own   ledger
	peers map[string]*source
	// coldUntil is the end of the first window after a restart. Until then the
	// instance has not seen all that was used itself.
	coldUntil time.Duration
	// recallUntil is the end of the wait for what was recorded.
	recallUntil time.Duration
	// limits are those of the teams that were charged.
	limits map[string]Limit
	// timeline holds when all instances together used their amounts, and
	// recalled what lay in the store at a restart.
	timeline ledger
	recalled map[string][]part
	// recorded is what the newest record in the store says that each team had used,
	// and recordedAt when it was made.
	recorded   map[string]float64
	recordedAt time.Duration
}

// part is an amount that leaves the window at a known time.
type part struct {
	amount float64
	until  time.Duration
}

// NewTeams returns the accounts of all teams. restarted is true if the instance
// may have run before.
func NewTeams(rules Rules, now time.Duration, restarted bool) *Teams {
	t := &Teams{rules: rules, own: ledger{}, peers: map[string]*source{},
		limits: map[string]Limit{}, timeline: ledger{}, recalled: map[string][]part{}}
	if restarted {
		t.coldUntil, t.recallUntil = now+rules.Window, now+rules.RecallWait
	}
	return t
}

// Cold reports whether the instance may have used amounts that it does not know.
func (t *Teams) Cold(now time.Duration) bool { return now < t.coldUntil }

// Limit is a team's limit: an amount a second, and a burst.
type Limit struct {
	PerSecond float64
	Burst     float64
}

func (l Limit) full(window time.Duration) float64 { return l.PerSecond*window.Seconds() + l.Burst }

// Verdict says whether a request may be admitted, with the inputs.
type Verdict struct {
	Allowed bool
	// Used is what all instances together have used, as known here.
	Used float64
	// Allowance is what this instance lets all of them use.
	Allowance float64
	// Silent is the number of peers that were not heard of recently.
	Silent int
}

// Charge admits an amount and counts it, or refuses it.
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
	full := limit.full(t.rules.Window)
	heard, silent := t.audible(now)
	total := float64(heard + silent)
	reserve := full*t.rules.Overage + t.rules.Slack
	v := Verdict{
		Used:      t.used(now, team, full, total),
		Allowance: (full + reserve*partitionReserve) * float64(heard) / total,
		Silent:    silent,
	}
	v.Allowed = v.Used+amount <= v.Allowance
	return v
}

// audible returns the number of instances that are heard, this one included, and
// of those that may be cut off and still serving; their share is left to them.
func (t *Teams) audible(now time.Duration) (heard, silent int) {
	heard = 1
	for name, peer := range t.peers {
		switch age := now - peer.reported; {
		case age > t.rules.Forget:
			delete(t.peers, name)
		case age > t.rules.Fresh:
			silent += peer.known
		default:
			heard += peer.use.Members
			silent += max(0, peer.known-peer.use.Members)
		}
	}
	return heard, silent
}

// used is what all instances have used, of the total number of instances.
func (t *Teams) used(now time.Duration, team string, full, total float64) float64 {
	sum := t.own.sum(now, team)
	for _, peer := range t.peers {
		sum += t.usedBy(now, peer, team, full, total)
	}
	if !t.Cold(now) {
		return sum
	}
	if hand := t.bestHand(); hand != Unknown {
		return max(sum, t.told(now, team, hand))
	}
	return sum + t.unknown(now, team, full)
}

// bestHand says how the peers knew that have told what was used before this start.
func (t *Teams) bestHand() Hand {
	best := Unknown
	for _, peer := range t.peers {
		if peer.hand == First {
			return First
		}
		best = max(best, peer.hand)
	}
	return best
}

// told is what all instances have used by what peers have told, of those that
// knew at the given hand: the largest of those that are still heard, or else of
// those that are lost.
func (t *Teams) told(now time.Duration, team string, hand Hand) float64 {
	most, fresh := 0.0, false
	for _, peer := range t.peers {
		if peer.hand != hand {
			continue
		}
		amount := peer.told.sum(now, team) + max(0, t.heard(now, team)-peer.heardThen[team])
		switch isFresh := now-peer.reported <= t.rules.Fresh; {
		case isFresh && !fresh:
			most, fresh = amount, true
		case isFresh == fresh:
			most = max(most, amount)
		}
	}
	return most
}

// heard is what this instance and the others have used in the window, as far as it
// was heard here; what was heard of a peer that is lost still counts.
func (t *Teams) heard(now time.Duration, team string) float64 {
	sum := t.own.sum(now, team)
	for _, peer := range t.peers {
		sum += peer.line.sum(now, team) + peer.past.sum(now, team)
	}
	return sum
}

// usedBy is what a peer has used. A share of the limit is left to a silent one;
// what it had used before may be more than that.
func (t *Teams) usedBy(now time.Duration, peer *source, team string, full, total float64) float64 {
	former := peer.past.sum(now, team)
	if now-peer.reported > t.rules.Fresh {
		return former + max(0, peer.line.sum(now, team)-full*float64(peer.known)/total)
	}
	return former + peer.use.Used[team]
}

// Used returns what this instance has used of each team's limit.
func (t *Teams) Used(now time.Duration) map[string]float64 { return t.own.sums(now) }

// Told returns what all instances have used, for those that have restarted and do
// not know, and how this instance knows it. What was heard at second hand is not
// told on: two instances that tell each other would keep it for ever.
func (t *Teams) Told(now time.Duration) (total map[string]float64, hand Hand) {
	switch {
	case !t.Cold(now):
		return t.Total(now), First
	case t.bestHand() != First:
		return nil, Unknown
	}
	total = t.Total(now)
	for _, peer := range t.peers {
		for team := range peer.told {
			total[team] = max(total[team], t.told(now, team, First))
		}
	}
	return total, Second
}

// Total returns what this instance and those that it knows have used.
func (t *Teams) Total(now time.Duration) map[string]float64 {
	total := t.own.sums(now)
	heard, silent := t.audible(now)
	for _, peer := range t.peers {
		t.addUse(total, now, peer, float64(heard+silent))
	}
	return total
}

// addUse adds what a peer has used of each limit.
func (t *Teams) addUse(sums map[string]float64, now time.Duration, peer *source, total float64) {
	for _, team := range peer.teams() {
		sums[team] += t.usedBy(now, peer, team, t.limits[team].full(t.rules.Window), total)
	}
}

// Sum returns what this instance and the peers of its failure domain have used,
// their former processes included, and how many of them are cold.
func (t *Teams) Sum(now time.Duration) (used map[string]float64, cold int) {
	used = t.own.sums(now)
	if t.Cold(now) {
		cold++
	}
	heard, silent := t.audible(now)
	for _, peer := range t.peers {
		if peer.use.Far {
			continue
		}
		if now-peer.reported <= t.rules.Fresh {
			cold += peer.use.Cold
		}
		t.addUse(used, now, peer, float64(heard+silent))
	}
	return used, cold
}

// Report takes in what a peer has used.
func (t *Teams) Report(now time.Duration, peer string, use Use) {
	s := t.source(peer)
	s.report(now, t.rules.Window, use)
	if t.Cold(now) && use.Hand != Unknown && !use.Partial {
		s.tell(now, t.rules.Window, use, t.heardAll(now))
	}
}

// heardAll is what is heard of each team that has used something.
func (t *Teams) heardAll(now time.Duration) map[string]float64 {
	sums := t.own.sums(now)
	for _, peer := range t.peers {
		peer.line.addTo(sums, now)
		peer.past.addTo(sums, now)
	}
	return sums
}

// End notes that a peer has stopped.
func (t *Teams) End(now time.Duration, peer string) { t.source(peer).end(now, t.rules.Window) }

// Known notes the number of instances behind a peer that may not have been
// heard of yet: they may be cut off and serving.
func (t *Teams) Known(now time.Duration, peer string, members int) {
	if _, found := t.peers[peer]; !found {
		t.source(peer).reported = now - t.rules.Fresh - 1
	}
	s := t.source(peer)
	s.known = max(s.known, members)
}

func (t *Teams) source(name string) *source {
	s := t.peers[name]
	if s == nil {
		s = &source{line: ledger{}, past: ledger{}, told: ledger{}}
		t.peers[name] = s
	}
	return s
}

// Informed reports whether this instance knows what was used before its start, or
// was told by a peer.
func (t *Teams) Informed(now time.Duration) bool { return !t.Cold(now) || t.bestHand() != Unknown }
