package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Config holds the parameters of the protocol; Defaults fills in zero values.
type Config struct {
	// Period is the time between two probes of a member.
	Period time.Duration
	// ProbeTimeout is the time after which a direct probe without an answer is
	// followed by indirect ones; it is shorter than Period.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time in which a suspect can refute.
	SuspicionTimeout time.Duration
	// DeadRetention is the time for which dead members are kept.
	DeadRetention time.Duration
	// IndirectProbes is the number of members asked to probe a silent one.
	IndirectProbes int
	// MaxUpdates bounds the updates in one message.
	MaxUpdates int
	// JoinUpdates bounds the updates in the answer to a member not known before.
	JoinUpdates int
}

// Defaults returns the configuration with defaults for zero values.
func (c Config) Defaults() Config {
	setDuration := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setInt := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDuration(&c.Period, time.Second)
	setDuration(&c.ProbeTimeout, 300*time.Millisecond)
	setDuration(&c.SuspicionTimeout, 4*time.Second)
	setDuration(&c.DeadRetention, 5*time.Minute)
	setInt(&c.IndirectProbes, 2)
	setInt(&c.MaxUpdates, 6)
	setInt(&c.JoinUpdates, 100)
	return c
}

const (
	// retransmitFactor times the decimal logarithm of the number of members is
	// how often one update is sent, so that nearly all members hear of it.
	retransmitFactor = 4
	// contactPeriods is the number of periods between two probes of an address
	// that is not a live member: a seed, a listed instance, or a dead member.
	// These probes join new members and reunite the parts after a partition.
	contactPeriods = 5
	// pausePeriods is the gap between two ticks after which this instance
	// assumes that it was paused itself, and judges nobody by that time.
	pausePeriods = 3
)

// Candidate is an address at which a member may answer.
type Candidate struct {
	// ID is empty for a seed.
	ID      string
	Address string
	// Leaving is true when the platform's list says so.
	Leaving bool
}

// Probe is a ping that the core asks the runner to send. An answer goes to
// Answered; a failure needs no report, because silence means the same.
type Probe struct {
	// Number identifies the probe.
	Number uint64
	// To receives the ping. Its ID is empty for a seed.
	To Member
	// Target, if not empty, is the member that the receiver shall probe.
	Target string
	// Updates are piggybacked.
	Updates []Member
}

// record is what the core knows of one member.
type record struct {
	member Member
	// changed is when the status last changed.
	changed time.Time
	// sent counts how often the last update was passed on.
	sent int
	// failing is when a leaving member stopped answering. A leaving member does
	// not become a suspect, because that would put it back into service.
	failing time.Time
}

// probe is the probe of the present period.
type probe struct {
	number   uint64
	target   string
	sentAt   time.Time
	answered bool
	indirect bool
}

// Core is the membership logic of one instance: plain code with one owner.
type Core struct {
	config     Config
	random     *rand.Rand
	self       Member
	records    map[string]*record
	candidates map[string]Candidate
	// contactNext is true when an address was added that nobody has probed yet.
	contactNext bool
	// round holds the members still to be probed in this round.
	round    []string
	probe    *probe
	number   uint64
	period   uint64
	lastTick time.Time
	nextTick time.Time
	// rotation walks over the members, one per message, so that what gossip
	// missed is repaired.
	rotation int
	version  uint64
}

// NewCore returns the core of an instance that knows only the candidates.
func NewCore(config Config, self Member, random *rand.Rand) *Core {
	self.Status = Alive
	return &Core{
		config:     config.Defaults(),
		random:     random,
		self:       self,
		records:    map[string]*record{},
		candidates: map[string]Candidate{},
	}
}

// Version changes whenever the members change.
func (c *Core) Version() uint64 { return c.version }

// Self returns this instance.
func (c *Core) Self() Member { return c.self }

// Members returns all kept members and this instance, sorted by ID.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, r := range c.records {
		members = append(members, r.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Leave marks this instance as leaving.
func (c *Core) Leave() {
	if c.self.Status == Leaving {
		return
	}
	c.self.Status = Leaving
	c.self.Refutation++
	c.version++
}

// SetDetached says whether this instance reaches the platform. The update
// needs a new refutation number, so that it replaces the one before.
func (c *Core) SetDetached(detached bool) {
	if c.self.Detached == detached {
		return
	}
	c.self.Detached = detached
	c.self.Refutation++
	c.version++
}

// SetCandidates replaces the seeds and the instances that the platform lists.
// It marks leaving members and adds addresses; it never removes a member.
func (c *Core) SetCandidates(now time.Time, candidates []Candidate) {
	before := c.candidates
	c.candidates = map[string]Candidate{}
	for _, candidate := range candidates {
		if _, known := before[candidate.Address]; !known {
			c.contactNext = true
		}
		if candidate.Address != c.self.Address {
			c.candidates[candidate.Address] = candidate
		}
		if !candidate.Leaving || candidate.ID == "" {
			continue
		}
		if candidate.ID == c.self.ID {
			c.Leave()
			continue
		}
		// The list lags, so it applies only to the incarnation at its address.
		r := c.records[candidate.ID]
		if r != nil && r.member.Address == candidate.Address {
			left := r.member
			left.Status = Leaving
			c.apply(now, left)
		}
	}
}

// Next returns when Tick is due.
func (c *Core) Next() time.Time {
	if p := c.probe; p != nil && !p.answered && !p.indirect {
		if due := p.sentAt.Add(c.config.ProbeTimeout); due.Before(c.nextTick) {
			return due
		}
	}
	return c.nextTick
}

// Tick advances the protocol and returns the pings to send.
func (c *Core) Tick(now time.Time) []Probe {
	c.detectPause(now)
	c.lastTick = now
	var probes []Probe
	if p := c.probe; p != nil && !p.answered && !p.indirect && now.Sub(p.sentAt) >= c.config.ProbeTimeout {
		probes = append(probes, c.probeIndirectly()...)
	}
	if now.Before(c.nextTick) {
		return probes
	}
	c.nextTick = now.Add(c.config.Period)
	c.period++
	c.judge(now)
	c.expire(now)
	if target := c.nextTarget(); target != nil {
		c.number++
		c.probe = &probe{number: c.number, target: target.member.ID, sentAt: now}
		probes = append(probes, c.newProbe(c.number, target.member, ""))
	}
	// An instance that knows nobody, or has just learned of an address, does
	// not wait: until it has joined it can neither schedule nor check claims.
	if c.contactNext || len(c.records) == 0 || c.period%contactPeriods == 1 {
		c.contactNext = false
		probes = append(probes, c.contact()...)
	}
	return probes
}

// expire declares suspects dead and drops members that are long dead.
func (c *Core) expire(now time.Time) {
	for id, r := range c.records {
		suspected := r.member.Status == Suspect && now.Sub(r.changed) >= c.config.SuspicionTimeout
		failed := !r.failing.IsZero() && now.Sub(r.failing) >= c.config.SuspicionTimeout
		if suspected || failed {
			dead := r.member
			dead.Status = Dead
			c.apply(now, dead)
			continue
		}
		if r.member.Status == Dead && now.Sub(r.changed) >= c.config.DeadRetention {
			delete(c.records, id)
			c.version++
		}
	}
}

// Receive applies a ping and returns the updates for its answer. A member that
// was not known before gets more of them, so that it joins at once.
func (c *Core) Receive(now time.Time, sender Member, updates []Member) []Member {
	known := c.records[sender.ID]
	joins := known == nil || known.member.Incarnation < sender.Incarnation
	c.hear(now, sender)
	c.applyAll(now, updates)
	if joins {
		return c.updates(sender.ID, c.config.JoinUpdates)
	}
	return c.updates(sender.ID, c.config.MaxUpdates)
}

// Find returns a kept member.
func (c *Core) Find(id string) (Member, bool) {
	if id == c.self.ID {
		return c.self, true
	}
	r := c.records[id]
	if r == nil {
		return Member{}, false
	}
	return r.member, true
}

// hear applies what a member says of itself. If it is held to be suspect or
// dead, the answer tells it, and it refutes.
func (c *Core) hear(now time.Time, m Member) {
	if m.ID != c.self.ID && (m.Status == Alive || m.Status == Leaving) {
		c.apply(now, m)
	}
}

func (c *Core) applyAll(now time.Time, updates []Member) {
	for _, update := range updates {
		c.apply(now, update)
	}
}

// apply merges an update: a higher incarnation wins, then a higher refutation,
// then the status that ranks higher.
func (c *Core) apply(now time.Time, m Member) {
	if m.ID == "" || m.Status < Alive || m.Status > Dead {
		return
	}
	if m.ID == c.self.ID {
		c.refute(m)
		return
	}
	r := c.records[m.ID]
	if r == nil {
		if m.Status == Dead {
			return
		}
		c.records[m.ID] = &record{member: m, changed: now}
		// A new member is probed within the present round.
		at := c.random.IntN(len(c.round) + 1)
		c.round = slices.Insert(c.round, at, m.ID)
		c.version++
		return
	}
	if !supersedes(m, r.member) {
		return
	}
	if m.Status != r.member.Status || m.Incarnation != r.member.Incarnation {
		r.changed = now
	}
	r.member, r.sent, r.failing = m, 0, time.Time{}
	c.version++
}

func supersedes(next, last Member) bool {
	if next.Incarnation != last.Incarnation {
		return next.Incarnation > last.Incarnation
	}
	if next.Refutation != last.Refutation {
		return next.Refutation > last.Refutation
	}
	return next.Status > last.Status
}

// refute answers a claim that this instance is suspect or dead. Being called
// leaving is accepted: the platform has begun to remove this instance.
func (c *Core) refute(m Member) {
	if m.Incarnation != c.self.Incarnation || m.Refutation < c.self.Refutation {
		return
	}
	switch m.Status {
	case Suspect, Dead:
		c.self.Refutation = m.Refutation + 1
		c.version++
	case Leaving:
		if c.self.Status != Leaving {
			c.self.Status, c.self.Refutation = Leaving, m.Refutation
			c.version++
		}
	}
}

// updates returns at most limit updates for a message: what is held of the
// receiver if it is not alive, then the updates sent least often, then one
// member in rotation. This instance itself is part of every message as sender.
func (c *Core) updates(receiver string, limit int) []Member {
	var result []Member
	if r := c.records[receiver]; r != nil && r.member.Status != Alive {
		result = append(result, r.member)
	}
	sends := retransmitFactor * int(math.Ceil(math.Log10(float64(len(c.records)+2))))
	ids := c.ids(func(r *record) bool { return r.member.ID != receiver })
	fresh := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return c.records[id].sent >= sends })
	sort.SliceStable(fresh, func(i, j int) bool { return c.records[fresh[i]].sent < c.records[fresh[j]].sent })
	for _, id := range fresh {
		if len(result) >= limit {
			return result
		}
		c.records[id].sent++
		result = append(result, c.records[id].member)
	}
	rotating := 1
	if limit == c.config.JoinUpdates {
		rotating = len(ids)
	}
	for range min(rotating, limit-len(result), len(ids)) {
		c.rotation = (c.rotation + 1) % len(ids)
		id := ids[c.rotation]
		if !slices.Contains(fresh, id) {
			result = append(result, c.records[id].member)
		}
	}
	return result
}
