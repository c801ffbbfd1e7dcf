package quota

import (
	"maps"
	"slices"
	"time"
)

// Use is what a peer reports.
type Use struct {
	// Boot is the start of the peer's process, and Oldest the earliest start of
	// those that it reports for; only their order matters.
	Boot   int64
	Oldest int64
	// Members is the number of instances that the peer reports for: 1, or those
	// of a failure domain. Known counts those as well that it does not hear and
	// that may still be serving.
	Members int
	Known   int
	// Cold is the number of members that started within the last window.
	Cold int
	// Far is true for the sum of another failure domain.
	Far bool
	// Partial reports name only teams whose use has changed.
	Partial bool
	// Used is what it has used of each team's limit in its window, and Total what
	// it knows that all instances have used, if Hand says that it does.
	Used  map[string]float64
	Total map[string]float64
	Hand  Hand
}

// Hand says how the sender of a report knows what all instances have used.
type Hand uint8

// Hands.
const (
	// Unknown means that the peer has restarted and was not told.
	Unknown Hand = iota
	// First means that the peer has seen it for a whole window.
	First
	// Second means that the peer has restarted and was told by one that has seen
	// it.
	Second
)

// generation differs between two processes of an instance, and grows when all
// instances of a failure domain have restarted. As long as one of them goes on,
// it knows what the others had used.
func (u Use) generation() int64 {
	switch {
	case !u.Far:
		return u.Boot
	case u.Cold == u.Members:
		return u.Oldest
	}
	return 0
}

// source is a peer, or another failure domain.
type source struct {
	reported time.Duration
	use      Use
	// known is the number of instances that are known behind it.
	known      int
	generation int64
	// line holds when the present generation used its amounts, and past what
	// earlier ones had used, of which a new process does not know.
	line, past ledger
	// told holds what the peer has told that all instances had used, and hand how
	// it knew. It is kept when the peer is lost, and counts until it has left the
	// window.
	told ledger
	hand Hand
	// heardThen is what was known of the use of this instance and of others at the
	// last whole report; what they have used since is not in the peer's total.
	heardThen map[string]float64
}

// report takes in a report. A report holds the sum over the sender's window, so
// that a lost one is made good by the next, and only what exceeds the known sum is
// new.
func (s *source) report(now, window time.Duration, use Use) {
	if generation := use.generation(); generation > s.generation {
		if s.generation != 0 {
			s.past.absorb(now, window, s.line)
			s.line, s.use.Used = ledger{}, nil
		}
		s.generation = generation
	} else if s.generation == 0 {
		s.generation = use.Oldest
	}
	for team, amount := range use.Used {
		line := s.line.window(team, window)
		line.Add(now, max(0, amount-line.Sum(now)))
	}
	if use.Partial {
		use.Used = merged(s.use.Used, use.Used)
	}
	if use.Far && use.Hand != First {
		// A relay that has just started does not know what those that have stopped
		// had used; its sum is no proof that less was used.
		use.Used = merged(use.Used, nil)
		for team, line := range s.line {
			use.Used[team] = max(use.Used[team], line.Sum(now))
		}
	}
	s.reported, s.use = now, use
	s.known = max(use.Known, use.Members)
}

// tell takes in what the peer knows that all have used. heard is what this instance
// knows of at the same time.
func (s *source) tell(now, window time.Duration, use Use, heard map[string]float64) {
	for team := range use.Total {
		s.told.window(team, window)
	}
	for team, line := range s.told {
		line.settle(now, use.Total[team])
	}
	s.hand, s.heardThen = use.Hand, heard
}

// teams returns the teams that the source has used something of.
func (s *source) teams() []string {
	names := slices.Collect(maps.Keys(s.line))
	for team := range s.past {
		if s.line[team] == nil {
			names = append(names, team)
		}
	}
	return names
}

// end notes that the peer has stopped and uses nothing more.
func (s *source) end(now, window time.Duration) {
	s.past.absorb(now, window, s.line)
	s.line, s.use, s.known = ledger{}, Use{Far: s.use.Far}, 0
}

func merged(old, changes map[string]float64) map[string]float64 {
	all := maps.Clone(old)
	if all == nil {
		all = make(map[string]float64, len(changes))
	}
	maps.Copy(all, changes)
	return all
}

// ledger holds what was used of each team's limit.
type ledger map[string]*Window

func (l ledger) window(team string, length time.Duration) *Window { return windowOf(l, team, length) }

func (l ledger) sum(now time.Duration, team string) float64 {
	if w := l[team]; w != nil {
		return w.Sum(now)
	}
	return 0
}

// sums returns the amounts of all teams that have used something.
func (l ledger) sums(now time.Duration) map[string]float64 {
	sums := make(map[string]float64, len(l))
	l.addTo(sums, now)
	return sums
}

func (l ledger) addTo(sums map[string]float64, now time.Duration) {
	for team, w := range l {
		if sum := w.Sum(now); sum > 0 {
			sums[team] += sum
		}
	}
}

// absorb adds the amounts of another ledger, each at the time when it was used.
func (l ledger) absorb(now, window time.Duration, other ledger) {
	for team, w := range other {
		l.window(team, window).merge(now, w)
	}
}
