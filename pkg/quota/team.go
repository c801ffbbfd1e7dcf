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
}

// partitionReserve is the part of Overage and Slack that instances admit. The
// rest covers what they admit between two reports, and errors of what is known
// after a restart.
const partitionReserve = 0.2

// Use is what a peer reports.
type Use struct {
	// Boot is the start of the peer's process.
	Boot int64
	// Members is the number of instances that the peer reports for: 1, or those
	// of a failure domain.
	Members int
	// Cold is the number of members that started within the last window and do
	// not know what they had used before.
	Cold int
	// Far is true for the sum of another failure domain.
	Far bool
	// Used is what it has used of each team's limit in its window.
	Used map[string]float64
}

type peerUse struct {
	reported time.Duration
	use      Use
	// known is the number of instances that are known behind the peer.
	known int
	// lines hold when the peer's process used its amounts, and former those of
	// its processes that have ended; a new process does not know of them.
	lines  map[string]*Window
	former []map[string]*Window
}

// Teams decides whether requests of teams are within their limits.
type Teams struct {
	rules Rules
	own   map[string]*Window
	peers map[string]peerUse
	// coldUntil is the end of the first window after a restart. Until then the
	// instance does not know all that was used before.
	coldUntil time.Duration
	// limits are those of the teams that were charged.
	limits map[string]Limit
	// timeline holds when the instances of the own failure domain used their
	// amounts, and recalled what lay in the store at a restart.
	timeline map[string]*Window
	recalled map[string][]part
	// firstHeard is what each peer reported first after a restart: the part of
	// what was recalled that somebody knows of.
	firstHeard map[string]map[string]float64
}

// part is an amount that leaves the window at a known time.
type part struct {
	amount float64
	until  time.Duration
}

// busyFrom is the share of a limit from which its use is recorded in the store.
const busyFrom = 0.6

// NewTeams returns the accounts of all teams. restarted is true if the instance
// may have run before.
func NewTeams(rules Rules, now time.Duration, restarted bool) *Teams {
	t := &Teams{rules: rules, own: map[string]*Window{}, peers: map[string]peerUse{},
		limits: map[string]Limit{}, timeline: map[string]*Window{}, recalled: map[string][]part{}, firstHeard: map[string]map[string]float64{}}
	if restarted {
		t.coldUntil = now + rules.Window
	}
	return t
}

// Cold reports whether the instance may have used amounts that it does not know.
func (t *Teams) Cold(now time.Duration) bool { return now < t.coldUntil }

// Report takes in what a peer has used.
func (t *Teams) Report(now time.Duration, peer string, use Use) {
	known := t.peers[peer]
	known.follow(now, t.rules.Window, use)
	if _, found := t.firstHeard[peer]; !found && t.Cold(now) {
		t.firstHeard[peer] = use.Used
	}
	known.reported, known.use = now, use
	known.known = max(known.known, use.Members)
	t.peers[peer] = known
}

// Limit is a team's limit: an amount a second, and a burst.
type Limit struct {
	PerSecond float64
	Burst     float64
}

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
		t.window(team).Add(now, amount)
	}
	return verdict
}

// Return takes back an amount whose request did not run.
func (t *Teams) Return(now time.Duration, team string, amount float64) {
	t.window(team).Add(now, -amount)
}

// Used returns what this instance has used of each team's limit.
func (t *Teams) Used(now time.Duration) map[string]float64 {
	used := make(map[string]float64, len(t.own))
	for team, window := range t.own {
		if sum := window.Sum(now); sum > 0 {
			used[team] = sum
		}
	}
	return used
}

// unknown is what instances that restarted may have used of a limit and nobody
// here knows: what they had recorded, or else a use that was not worth recording
// and leaves the window evenly.
func (t *Teams) unknown(now time.Duration, team string, full, coldShare float64) float64 {
	left := t.coldUntil - now
	if left <= 0 {
		return 0
	}
	parts, recorded := t.recalled[team]
	if !recorded {
		return coldShare * busyFrom * full * left.Seconds() / t.rules.Window.Seconds()
	}
	sum, all := 0.0, 0.0
	for _, p := range parts {
		all += p.amount
		if now < p.until {
			sum += p.amount
		}
	}
	heard := 0.0
	for _, used := range t.firstHeard {
		heard += used[team]
	}
	return sum * max(0, 1-heard/max(1, all))
}

// recordParts is the number of parts of the window that are recorded.
const recordParts = 8

// Record returns, for each team that uses much of its limit, what the instances
// of the own failure domain used, by the age of the use, the newest part first.
func (t *Teams) Record(now time.Duration) map[string][]float64 {
	used, _ := t.Sum(now)
	record := map[string][]float64{}
	for team, limit := range t.limits {
		line := windowOf(t.timeline, team, t.rules.Window)
		line.Add(now, max(0, used[team]-line.Sum(now)))
		if t.verdict(now, team, limit, 0).Used >= busyFrom*limit.full(t.rules.Window) {
			record[team] = line.parts(now, recordParts)
		}
	}
	return record
}

// Recall takes in what a failure domain had recorded before this start. It may
// have gone on for the length of a part after that, at the same pace.
func (t *Teams) Recall(now time.Duration, record map[string][]float64) {
	for team, amounts := range record {
		length := t.rules.Window / time.Duration(max(1, len(amounts)))
		for i, amount := range amounts {
			t.recalled[team] = append(t.recalled[team], part{amount: amount, until: now + t.rules.Window - time.Duration(i)*length})
		}
		if len(amounts) > 0 {
			t.recalled[team] = append(t.recalled[team], part{amount: amounts[0], until: now + t.rules.Window})
		}
	}
}

func (l Limit) full(window time.Duration) float64 { return l.PerSecond*window.Seconds() + l.Burst }

func (t *Teams) verdict(now time.Duration, team string, limit Limit, amount float64) Verdict {
	full := limit.full(t.rules.Window)
	v := Verdict{Used: t.window(team).Sum(now)}
	heard, cold := 1, 0
	if t.Cold(now) {
		cold++
	}
	var silent []peerUse
	for name, peer := range t.peers {
		age := now - peer.reported
		if age > t.rules.Forget {
			delete(t.peers, name)
			continue
		}
		v.Used += peer.remembered(now, team)
		if age > t.rules.Fresh {
			// They may still serve without being heard; their share is left to
			// them.
			v.Silent += peer.known
			if age < t.rules.Window {
				silent = append(silent, peer)
			}
			continue
		}
		heard += peer.use.Members
		v.Silent += max(0, peer.known-peer.use.Members)
		v.Used += peer.use.Used[team]
		cold += peer.use.Cold
	}
	v.Used += t.unknown(now, team, full, float64(cold)/float64(heard))
	total := float64(heard + v.Silent)
	for _, peer := range silent {
		// What a peer had used before it fell silent may be more than its share.
		v.Used += max(0, peer.use.Used[team]-full*float64(peer.known)/total)
	}
	share := float64(heard) / total
	reserve := full*t.rules.Overage + t.rules.Slack
	v.Allowance = (full + reserve*partitionReserve) * share
	v.Allowed = v.Used+amount <= v.Allowance
	return v
}

func (t *Teams) window(team string) *Window {
	return windowOf(t.own, team, t.rules.Window)
}

// follow notes when the peer's process used its amounts.
func (p *peerUse) follow(now, window time.Duration, use Use) {
	if p.restarted(now, use) {
		p.former = append(p.former, p.lines)
		p.lines = nil
	}
	if len(p.former) > formerKept {
		p.former = p.former[1:]
	}
	if p.lines == nil {
		p.lines = map[string]*Window{}
	}
	for team, amount := range use.Used {
		line := windowOf(p.lines, team, window)
		line.Add(now, max(0, amount-line.Sum(now)))
	}
}

// restarted reports whether the peer does not know any more what it had used. A
// failure domain may have another reporter without having forgotten anything.
func (p *peerUse) restarted(now time.Duration, use Use) bool {
	if !use.Far {
		return p.use.Boot != 0 && p.use.Boot != use.Boot
	}
	reported, known := 0.0, 0.0
	for team, line := range p.lines {
		reported += use.Used[team]
		known += line.Sum(now)
	}
	return use.Cold > 0 && reported < forgotten*known
}

// forgotten is the part of the known use below which a report shows that the
// rest was forgotten and has not merely left the window.
const forgotten = 0.8

// formerKept is the number of former processes of a peer whose use is kept. A
// process takes longer to start than a part of the window that this leaves.
const formerKept = 8

// remembered is what former processes of the peer had used and has not left the
// window yet.
func (p peerUse) remembered(now time.Duration, team string) float64 {
	sum := 0.0
	for _, lines := range p.former {
		if line := lines[team]; line != nil {
			sum += line.Sum(now)
		}
	}
	return sum
}

// Known notes the number of instances behind a peer that may not have been
// heard of yet: they may be cut off and serving.
func (t *Teams) Known(now time.Duration, peer string, members int) {
	known, found := t.peers[peer]
	if !found {
		known.reported = now - t.rules.Fresh - 1
	}
	known.known = max(known.known, members)
	t.peers[peer] = known
}

// Sum returns what this instance and the peers of its failure domain have used,
// and how many of them are cold.
func (t *Teams) Sum(now time.Duration) (used map[string]float64, cold int) {
	used = t.Used(now)
	if t.Cold(now) {
		cold++
	}
	for _, peer := range t.peers {
		if peer.use.Far {
			continue
		}
		for _, lines := range peer.former {
			for team, line := range lines {
				used[team] += line.Sum(now)
			}
		}
		if now-peer.reported > t.rules.Fresh {
			continue
		}
		cold += peer.use.Cold
		for team, amount := range peer.use.Used {
			used[team] += amount
		}
	}
	return used, cold
}
