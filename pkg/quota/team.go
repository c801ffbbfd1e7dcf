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

// partitionReserve is the part of Overage and Slack that covers what instances
// admit between two reports; the rest is divided among instances that cannot
// hear each other.
const partitionReserve = 0.5

// Use is what a peer reports.
type Use struct {
	// Boot is the start of the peer's process.
	Boot int64
	// Cold is true if the peer started within the last window and does not know
	// what it had used before.
	Cold bool
	// Used is what it has used of each team's limit in its window.
	Used map[string]float64
}

type peerUse struct {
	reported time.Duration
	use      Use
	// before is what the peer's process had used that ended at endedAt; the new
	// process does not know of it.
	before  map[string]float64
	endedAt time.Duration
}

// Teams decides whether requests of teams are within their limits.
type Teams struct {
	rules Rules
	own   map[string]*Window
	peers map[string]peerUse
	// coldUntil is the end of the first window after a restart. Until then the
	// instance does not know all that was used before.
	coldUntil time.Duration
}

// NewTeams returns the accounts of all teams. restarted is true if the instance
// may have run before.
func NewTeams(rules Rules, now time.Duration, restarted bool) *Teams {
	t := &Teams{rules: rules, own: map[string]*Window{}, peers: map[string]peerUse{}}
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
	if known.use.Boot != 0 && known.use.Boot != use.Boot {
		known.before, known.endedAt = known.use.Used, known.reported
	}
	known.reported, known.use = now, use
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

func (t *Teams) verdict(now time.Duration, team string, limit Limit, amount float64) Verdict {
	full := limit.PerSecond*t.rules.Window.Seconds() + limit.Burst
	v := Verdict{Used: t.window(team).Sum(now)}
	heard, cold := 1, 0
	if t.Cold(now) {
		cold++
	}
	for name, peer := range t.peers {
		age := now - peer.reported
		if age > t.rules.Forget {
			delete(t.peers, name)
			continue
		}
		if left := t.rules.Window - (now - peer.endedAt); left > 0 {
			v.Used += peer.before[team] * left.Seconds() / t.rules.Window.Seconds()
		}
		if age > t.rules.Fresh {
			// It may still serve without being heard; its share is left to it.
			v.Silent++
			continue
		}
		heard++
		v.Used += peer.use.Used[team]
		if peer.use.Cold {
			cold++
		}
	}
	if left := t.coldUntil - now; left > 0 {
		// Nobody here knows what those that restarted had used; it has left the
		// window at the end of the first one.
		v.Used += full * float64(cold) / float64(heard) * left.Seconds() / t.rules.Window.Seconds()
	}
	share := float64(heard) / float64(heard+v.Silent)
	reserve := full*t.rules.Overage + t.rules.Slack
	v.Allowance = (full + reserve*partitionReserve) * share
	v.Allowed = v.Used+amount <= v.Allowance
	return v
}

func (t *Teams) window(team string) *Window {
	w := t.own[team]
	if w == nil {
		w = NewWindow(t.rules.Window)
		t.own[team] = w
	}
	return w
}

// Known notes a peer that was not heard of yet: it may be cut off and serving.
func (t *Teams) Known(now time.Duration, peer string) {
	if _, found := t.peers[peer]; !found {
		t.peers[peer] = peerUse{reported: now - t.rules.Fresh - 1}
	}
}
