package member

import (
	"slices"
	"sort"
	"time"
)

// detectPause discards what this instance would conclude from a time in which
// it did not run: otherwise it would declare members dead that it did not hear.
func (c *Core) detectPause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || gap < pausePeriods*c.config.Period {
		return
	}
	c.probe = nil
	c.round = append(c.ids(func(r *record) bool { return r.member.Status == Suspect }), c.round...)
	for _, r := range c.records {
		if r.member.Status == Suspect {
			r.changed = now
		}
		if !r.failing.IsZero() {
			r.failing = r.failing.Add(gap)
		}
	}
}

// judge suspects the target of the last probe if nobody reached it.
func (c *Core) judge(now time.Time) {
	p := c.probe
	c.probe = nil
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
		c.apply(now, suspect)
	case Leaving:
		if r.failing.IsZero() {
			r.failing = now
		}
	}
}

// nextTarget returns the next member of the round in random order.
func (c *Core) nextTarget() *record {
	for range 2 {
		for len(c.round) > 0 {
			id := c.round[0]
			c.round = c.round[1:]
			if r := c.records[id]; r != nil && r.member.Status != Dead {
				return r
			}
		}
		c.round = c.ids(func(r *record) bool { return r.member.Status != Dead })
		c.random.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
	return nil
}

// ids returns the sorted IDs of the members that a condition accepts.
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

func (c *Core) probeIndirectly() []Probe {
	p := c.probe
	p.indirect = true
	helpers := c.ids(func(r *record) bool { return r.member.Status == Alive && r.member.ID != p.target })
	c.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var probes []Probe
	for _, id := range helpers[:min(len(helpers), c.config.IndirectProbes)] {
		probes = append(probes, c.newProbe(p.number, c.records[id].member, p.target))
	}
	return probes
}

// contact probes one address that is not a live member's.
func (c *Core) contact() []Probe {
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
	c.number++
	return []Probe{c.newProbe(c.number, contacts[c.random.IntN(len(contacts))], "")}
}

func (c *Core) newProbe(number uint64, to Member, target string) Probe {
	return Probe{Number: number, To: to, Target: target, Updates: c.updates(to.ID, c.config.MaxUpdates)}
}

// Answered applies the answer to a probe. targetAlive is the result of an
// indirect probe.
func (c *Core) Answered(now time.Time, p Probe, receiver Member, updates []Member, targetAlive bool) {
	c.hear(now, receiver)
	c.applyAll(now, updates)
	current := c.probe != nil && c.probe.number == p.Number
	if current && (p.Target == "" && receiver.ID == c.probe.target || p.Target != "" && targetAlive) {
		c.probe.answered = true
		if r := c.records[c.probe.target]; r != nil {
			r.failing = time.Time{}
		}
	}
}
