package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Config holds the parameters of the membership protocol. WithDefaults replaces
// zero values.
type Config struct {
	// ProbeInterval is the time between two probes. Each goes to the next member
	// in random order.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a direct probe without an answer is
	// followed by indirect ones. It must be shorter than ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time for which a suspect can refute before it is
	// declared dead.
	SuspicionTimeout time.Duration
	// DeadRetention is the time for which dead members are kept.
	DeadRetention time.Duration
	// IndirectProbes is the number of members that are asked to probe a member
	// that did not answer.
	IndirectProbes int
	// MaxUpdates limits the updates in one message.
	MaxUpdates int
	// MaxJoinUpdates limits the updates in the answer to the ping of a new
	// member.
	MaxJoinUpdates int
}

// WithDefaults returns the configuration with zero values replaced by defaults.
func (c Config) WithDefaults() Config {
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
	setDuration(&c.ProbeInterval, time.Second)
	setDuration(&c.ProbeTimeout, 300*time.Millisecond)
	setDuration(&c.SuspicionTimeout, 4*time.Second)
	setDuration(&c.DeadRetention, 5*time.Minute)
	setInt(&c.IndirectProbes, 2)
	setInt(&c.MaxUpdates, 6)
	setInt(&c.MaxJoinUpdates, 100)
	return c
}

const (
	// retransmitFactor times the decimal logarithm of the number of members is
	// the number of times an update is sent, so that it reaches nearly all
	// members.
	retransmitFactor = 4
	// contactProbeIntervals is the number of probe intervals between two probes
	// of an address that belongs to no live member: a seed, a listed instance,
	// or a dead member. These probes let instances join and merge the parts of
	// the domain after a partition.
	contactProbeIntervals = 5
	// pauseThresholdIntervals is the gap between two ticks, in probe intervals,
	// from which on this instance assumes that it was paused itself. Silence of
	// others during the gap is then ignored.
	pauseThresholdIntervals = 3
)

// Candidate is an address at which an instance may be found.
type Candidate struct {
	// ID is empty for a seed.
	ID      string
	Address string
	// Leaving is true when the platform lists the instance as leaving.
	Leaving bool
}

// Probe is a ping that the runner must send. Its answer is passed to
// HandlePingReply. Failures need not be reported: a probe without an answer has
// failed.
type Probe struct {
	Number uint64
	// To is the receiver of the ping. Its ID is empty for a seed.
	To Member
	// Target is the member that the receiver must probe, and empty for a direct
	// probe.
	Target string
	// Updates are the membership updates sent with the ping.
	Updates []Member
}

// record is the state of one member.
type record struct {
	member          Member
	statusChangedAt time.Time
	// timesSent is the number of messages in which the latest update was sent.
	timesSent int
	// unresponsiveSince is the time at which a leaving member failed its first
	// probe. A leaving member does not become a suspect, because suspects count
	// as live.
	unresponsiveSince time.Time
}

// probeState is the state of the probe of the current interval.
type probeState struct {
	number       uint64
	target       string
	sentAt       time.Time
	answered     bool
	indirectSent bool
}

// Core is the membership state machine of one instance. It does no I/O, reads
// no clock, and is not safe for concurrent use.
type Core struct {
	config     Config
	random     *rand.Rand
	self       Member
	records    map[string]*record
	candidates map[string]Candidate
	// contactDue is true when a candidate was added that was not probed yet.
	contactDue bool
	// probeOrder holds the members still to be probed in the current round.
	probeOrder      []string
	currentProbe    *probeState
	lastProbeNumber uint64
	intervalCount   uint64
	lastTick        time.Time
	nextTick        time.Time
	// repairIndex is the position of the member that was last added to a message
	// in rotation. The rotation reaches members that missed an update.
	repairIndex int
	version     uint64
}

// NewCore returns the core of an instance that knows no other member yet.
func NewCore(config Config, self Member, random *rand.Rand) *Core {
	self.Status = Alive
	return &Core{
		config:     config.WithDefaults(),
		random:     random,
		self:       self,
		records:    map[string]*record{},
		candidates: map[string]Candidate{},
	}
}

// Version returns a number that changes whenever the members change.
func (c *Core) Version() uint64 { return c.version }

// Self returns this instance with its current status.
func (c *Core) Self() Member { return c.self }

// Members returns this instance and all members on record, dead ones included,
// sorted by ID.
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

// SetDetached records whether this instance is cut off from the platform. It
// increases the refutation number, so that the update replaces earlier ones.
func (c *Core) SetDetached(detached bool) {
	if c.self.Detached == detached {
		return
	}
	c.self.Detached = detached
	c.self.Refutation++
	c.version++
}

// SetCandidates replaces the seeds and the instances that the platform lists.
// Members that the platform lists as leaving are marked as leaving; no member
// is removed.
func (c *Core) SetCandidates(now time.Time, candidates []Candidate) {
	before := c.candidates
	c.candidates = map[string]Candidate{}
	for _, candidate := range candidates {
		if _, known := before[candidate.Address]; !known {
			c.contactDue = true
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
		// The platform's list may be out of date, so it applies only to the
		// incarnation at the listed address.
		r := c.records[candidate.ID]
		if r != nil && r.member.Address == candidate.Address {
			leaving := r.member
			leaving.Status = Leaving
			c.merge(now, leaving)
		}
	}
}

// NextTickAt returns the time at which Tick is due.
func (c *Core) NextTickAt() time.Time {
	if p := c.currentProbe; p != nil && !p.answered && !p.indirectSent {
		if due := p.sentAt.Add(c.config.ProbeTimeout); due.Before(c.nextTick) {
			return due
		}
	}
	return c.nextTick
}

// Tick runs the timers of the protocol and returns the pings to send.
func (c *Core) Tick(now time.Time) []Probe {
	c.detectPause(now)
	c.lastTick = now
	var probes []Probe
	if p := c.currentProbe; p != nil && !p.answered && !p.indirectSent && now.Sub(p.sentAt) >= c.config.ProbeTimeout {
		probes = append(probes, c.indirectProbes()...)
	}
	if now.Before(c.nextTick) {
		return probes
	}
	c.nextTick = now.Add(c.config.ProbeInterval)
	c.intervalCount++
	c.finishProbe(now)
	c.expireMembers(now)
	if target := c.nextTarget(); target != nil {
		c.lastProbeNumber++
		c.currentProbe = &probeState{number: c.lastProbeNumber, target: target.member.ID, sentAt: now}
		probes = append(probes, c.newProbe(c.lastProbeNumber, target.member, ""))
	}
	// Without other members or with a new candidate, this instance does not wait
	// for the contact interval: until it has joined it can neither schedule
	// requests nor check claims.
	if c.contactDue || len(c.records) == 0 || c.intervalCount%contactProbeIntervals == 1 {
		c.contactDue = false
		probes = append(probes, c.contactProbes()...)
	}
	return probes
}

// expireMembers declares members dead that were suspect or unresponsive for
// SuspicionTimeout, and removes dead members after DeadRetention.
func (c *Core) expireMembers(now time.Time) {
	for id, r := range c.records {
		suspected := r.member.Status == Suspect && now.Sub(r.statusChangedAt) >= c.config.SuspicionTimeout
		failed := !r.unresponsiveSince.IsZero() && now.Sub(r.unresponsiveSince) >= c.config.SuspicionTimeout
		if suspected || failed {
			dead := r.member
			dead.Status = Dead
			c.merge(now, dead)
			continue
		}
		if r.member.Status == Dead && now.Sub(r.statusChangedAt) >= c.config.DeadRetention {
			delete(c.records, id)
			c.version++
		}
	}
}

// HandlePing applies a ping and returns the updates for its answer. A new
// member gets up to MaxJoinUpdates, so that it learns of the others at once.
func (c *Core) HandlePing(now time.Time, sender Member, updates []Member) []Member {
	last := c.records[sender.ID]
	isNew := last == nil || last.member.Incarnation < sender.Incarnation
	c.applySelfReport(now, sender)
	c.mergeAll(now, updates)
	if isNew {
		return c.selectUpdates(sender.ID, c.config.MaxJoinUpdates)
	}
	return c.selectUpdates(sender.ID, c.config.MaxUpdates)
}

// Find returns the member with the ID, if it is on record.
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

// applySelfReport applies what a member reports about itself. If it is on
// record as suspect or dead, the next message to the member contains this
// status, and the member refutes it.
func (c *Core) applySelfReport(now time.Time, m Member) {
	if m.ID != c.self.ID && (m.Status == Alive || m.Status == Leaving) {
		c.merge(now, m)
	}
}

func (c *Core) mergeAll(now time.Time, updates []Member) {
	for _, update := range updates {
		c.merge(now, update)
	}
}

// merge applies an update about a member. The higher incarnation wins, then the
// higher refutation number, then the higher status.
func (c *Core) merge(now time.Time, m Member) {
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
		c.records[m.ID] = &record{member: m, statusChangedAt: now}
		// Insert the new member at a random place of the current round.
		at := c.random.IntN(len(c.probeOrder) + 1)
		c.probeOrder = slices.Insert(c.probeOrder, at, m.ID)
		c.version++
		return
	}
	if !supersedes(m, r.member) {
		return
	}
	if m.Status != r.member.Status || m.Incarnation != r.member.Incarnation {
		r.statusChangedAt = now
	}
	r.member, r.timesSent, r.unresponsiveSince = m, 0, time.Time{}
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

// refute handles an update about this instance. It refutes being suspect or
// dead with a higher refutation number. It accepts the status leaving: the
// platform has begun to remove this instance.
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

// selectUpdates returns at most limit updates for a message: first the record of
// the receiver if it is not alive, then the updates sent least often, then one
// member in rotation, or all members if the receiver is new. The sender itself
// is part of every message and not included.
func (c *Core) selectUpdates(receiver string, limit int) []Member {
	var result []Member
	if r := c.records[receiver]; r != nil && r.member.Status != Alive {
		result = append(result, r.member)
	}
	maxSends := retransmitFactor * int(math.Ceil(math.Log10(float64(len(c.records)+2))))
	ids := c.ids(func(r *record) bool { return r.member.ID != receiver })
	fresh := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return c.records[id].timesSent >= maxSends })
	sort.SliceStable(fresh, func(i, j int) bool { return c.records[fresh[i]].timesSent < c.records[fresh[j]].timesSent })
	for _, id := range fresh {
		if len(result) >= limit {
			return result
		}
		c.records[id].timesSent++
		result = append(result, c.records[id].member)
	}
	repairCount := 1
	if limit == c.config.MaxJoinUpdates {
		repairCount = len(ids)
	}
	for range min(repairCount, limit-len(result), len(ids)) {
		c.repairIndex = (c.repairIndex + 1) % len(ids)
		id := ids[c.repairIndex]
		if !slices.Contains(fresh, id) {
			result = append(result, c.records[id].member)
		}
	}
	return result
}
