package member

import (
	"slices"
	"sort"
	"time"
)

// detectPause handles a gap in which this instance did not run. It discards the
// current probe, restarts the suspicion timers, does not count the gap as
// unresponsive time, and probes suspects first. Otherwise members would be
// declared dead because this instance did not receive their answers.
func (c *Core) detectPause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || gap < pauseThresholdIntervals*c.config.ProbeInterval {
		return
	}
	c.currentProbe = nil
	c.probeOrder = append(c.ids(func(r *record) bool { return r.member.Status == Suspect }), c.probeOrder...)
	for _, r := range c.records {
		if r.member.Status == Suspect {
			r.statusChangedAt = now
		}
		if !r.unresponsiveSince.IsZero() {
			r.unresponsiveSince = r.unresponsiveSince.Add(gap)
		}
	}
}

// finishProbe ends the current probe and marks its target as suspect if neither
// a direct nor an indirect probe reached it.
func (c *Core) finishProbe(now time.Time) {
	p := c.currentProbe
	c.currentProbe = nil
	if p == nil || p.answered {
		return
	}
	r := c.records[p.target]
	if r == nil {
		return
	}
	switch r.member.Status {
	case Alive:
		suspect := r.member
		suspect.Status = Suspect
		c.merge(now, suspect)
	case Leaving:
		if r.unresponsiveSince.IsZero() {
			r.unresponsiveSince = now
		}
	}
}

// nextTarget returns the next member to probe. Each round visits all members in
// a new random order.
func (c *Core) nextTarget() *record {
	for range 2 {
		for len(c.probeOrder) > 0 {
			id := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if r := c.records[id]; r != nil && r.member.Status != Dead {
				return r
			}
		}
		c.probeOrder = c.ids(func(r *record) bool { return r.member.Status != Dead })
		c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return nil
}

// ids returns the sorted IDs of the members for which accept is true.
func (c *Core) ids(accept func(*record) bool) []string {
	var ids []string
	for id, r := range c.records {
		if accept(r) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// indirectProbes returns pings that ask other members to probe the current
// target.
func (c *Core) indirectProbes() []Probe {
	p := c.currentProbe
	p.indirectSent = true
	intermediaries := c.ids(func(r *record) bool { return r.member.Status == Alive && r.member.ID != p.target })
	c.random.Shuffle(len(intermediaries), func(i, j int) { intermediaries[i], intermediaries[j] = intermediaries[j], intermediaries[i] })
	var probes []Probe
	for _, id := range intermediaries[:min(len(intermediaries), c.config.IndirectProbes)] {
		probes = append(probes, c.newProbe(p.number, c.records[id].member, p.target))
	}
	return probes
}

// contactProbes returns a probe of one random address that belongs to no live
// member, or nothing if there is none.
func (c *Core) contactProbes() []Probe {
	live := map[string]bool{}
	var contacts []Member
	for _, id := range c.ids(func(*record) bool { return true }) {
		r := c.records[id]
		if r.member.Status == Dead {
			contacts = append(contacts, r.member)
		} else {
			live[r.member.Address] = true
		}
	}
	for address, candidate := range c.candidates {
		known := slices.ContainsFunc(contacts, func(m Member) bool { return m.Address == address })
		if !live[address] && !known {
			contacts = append(contacts, Member{ID: candidate.ID, Address: address})
		}
	}
	if len(contacts) == 0 {
		return nil
	}
	sort.Slice(contacts, func(i, j int) bool { return contacts[i].Address < contacts[j].Address })
	c.lastProbeNumber++
	return []Probe{c.newProbe(c.lastProbeNumber, contacts[c.random.IntN(len(contacts))], "")}
}

func (c *Core) newProbe(number uint64, to Member, target string) Probe {
	return Probe{Number: number, To: to, Target: target, Updates: c.selectUpdates(to.ID, c.config.MaxUpdates)}
}

// HandlePingReply applies the answer to a probe. targetAlive is the result of
// an indirect probe.
func (c *Core) HandlePingReply(now time.Time, p Probe, receiver Member, updates []Member, targetAlive bool) {
	c.applySelfReport(now, receiver)
	c.mergeAll(now, updates)
	current := c.currentProbe != nil && c.currentProbe.number == p.Number
	if current && (p.Target == "" && receiver.ID == c.currentProbe.target || p.Target != "" && targetAlive) {
		c.currentProbe.answered = true
		if r := c.records[c.currentProbe.target]; r != nil {
			r.unresponsiveSince = time.Time{}
		}
	}
}
