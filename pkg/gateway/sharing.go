package gateway

import (
	"math"
	"net"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

// Pace of the reports.
const (
	// nearPause is the shortest time between two reports to the own failure
	// domain, and farPause between two sums for the others, which take 1 ms to
	// 20 ms to get there.
	nearPause = 15 * time.Millisecond
	farPause  = 40 * time.Millisecond
	// wholeEvery is the time between two whole reports. It must stay below the
	// time after which the load of a peer no longer counts.
	wholeEvery = 800 * time.Millisecond
	// reportBytes is what an instance sends to each audience, per second. With
	// more peers or upstreams the reports come less often. Four
	// times less left the counts of 87 instances too old on an overloaded day.
	reportBytes = 160_000
	// idleEvery is the time between two reports when nothing changes, a quarter
	// of the time after which a peer counts as silent.
	idleEvery = loadshare.SilentAfter / 4
	// speakWait is how long an instance that knows its peers waits for their
	// reports before it speaks for its failure domain.
	speakWait = idleEvery
)

// audience is a set of peers that get the same reports.
type audience struct {
	changed bool
	sent    time.Duration
	pause   time.Duration
	// whole is when the last whole report was sent, and loads and used are what
	// the reports since then have told.
	whole time.Duration
	loads map[string]admission.Load
	used  map[string]float64
}

// due reports whether a report should be sent now.
func (a *audience) due(now time.Duration) bool {
	since := now - a.sent
	return since >= idleEvery || (a.changed && since >= a.pause)
}

// noteSent sets the pace by what was sent.
func (a *audience) noteSent(now time.Duration, least time.Duration, bytes int) {
	a.changed, a.sent = false, now
	a.pause = min(idleEvery, max(least, time.Duration(bytes)*time.Second/reportBytes))
}

// news returns what the audience does not know yet: everything, if a whole report
// is due.
func (a *audience) news(now time.Duration, loads map[string]admission.Load, used map[string]float64) (newLoads map[string]admission.Load, newUsed map[string]float64, partial bool) {
	if a.whole == 0 || now-a.whole >= wholeEvery {
		a.whole, a.loads, a.used = now, loads, used
		return loads, used, false
	}
	newLoads, newUsed = map[string]admission.Load{}, map[string]float64{}
	for id, load := range loads {
		if told := a.loads[id]; told.InFlight != load.InFlight || told.AwaitedTokens != load.AwaitedTokens {
			newLoads[id] = load
		}
	}
	for id, told := range a.loads {
		if _, found := loads[id]; !found && told.InFlight > 0 {
			newLoads[id] = admission.Load{}
		}
	}
	for team, amount := range used {
		if a.used[team] != amount {
			newUsed[team] = amount
		}
	}
	a.loads, a.used = loads, used
	return newLoads, newUsed, true
}

// noteChange marks that the next reports differ from the last ones.
func (c *control) noteChange() { c.near.changed, c.far.changed = true, true }

// report tells the peers what has changed, or that this instance lives.
func (c *control) report(now time.Duration) {
	if c.near.due(now) {
		targets := c.peers.Near(now)
		bytes := c.send(c.buildReport(now, &c.near, false), targets)
		c.near.noteSent(now, nearPause, bytes)
	}
	if c.peers.Relay() == "" && now >= c.speakFrom && c.far.due(now) {
		targets := c.peers.Far()
		bytes := c.send(c.buildReport(now, &c.far, true), targets)
		c.far.noteSent(now, farPause, bytes)
	}
}

// send returns the number of bytes sent.
func (c *control) send(report loadshare.Report, targets []*net.UDPAddr) int {
	if len(targets) == 0 {
		return 0
	}
	content, err := loadshare.Encode(report)
	if err != nil {
		c.g.log.Error(err, "report cannot be encoded")
		return 0
	}
	c.sendContent(content, targets)
	return len(targets) * len(content)
}

func (c *control) sendContent(content []byte, targets []*net.UDPAddr) {
	for _, target := range targets {
		if err := c.g.socket.Send(content, target); err != nil {
			c.g.metrics.reportsUnsent.Inc(1)
			c.g.log.V(1).Info("report not sent", "peer", target.String(), "error", err.Error())
		}
	}
	c.g.metrics.reportsSent.Inc(int64(len(targets)))
	c.g.metrics.reportBytes.Inc(int64(len(targets) * len(content)))
}

// buildReport describes this instance, or all of its failure domain.
func (c *control) buildReport(now time.Duration, to *audience, whole bool) loadshare.Report {
	c.sequence++
	report := loadshare.Report{
		Instance: c.g.settings.Instance.Name, Boot: c.g.boot, Oldest: c.g.boot, Sequence: c.sequence, Power: c.g.power(),
		Address: c.g.socket.LocalAddress(), Domain: c.g.settings.Instance.Domain,
		Leaving: c.g.leaving.Load(), Failing: c.g.storeFails(now), Strikes: c.strikes.recent(now),
	}
	used, cold := c.teams.Used(now), 0
	if whole {
		used, cold = c.teams.Sum(now)
		report.Members, report.Oldest = clampTo[uint16](c.peers.Live()), c.peers.Oldest(c.g.boot)
		report.Known = clampTo[uint16](c.peers.Expected(now, peerForget))
	} else if c.teams.Cold(now) {
		cold = 1
	}
	report.Cold = clampTo[uint16](cold)
	loads := map[string]admission.Load{}
	for service, pool := range c.pools {
		pool.Loads(loads, whole)
		if demand := pool.Demand(whole); demand > 0 {
			report.Demands = append(report.Demands, loadshare.Demand{Service: loadshare.ShortHash(service), Places: clampTo[uint16](demand)})
		}
	}
	loads, used, report.Partial = to.news(now, loads, used)
	report.Upstreams = upstreamUses(loads)
	total, hand := c.teams.Told(now)
	report.Hand = uint8(hand)
	if report.Partial {
		total = nil
	}
	for team := range teamsOf(used, total) {
		report.Teams = append(report.Teams, loadshare.TeamUse{
			Team: loadshare.ShortHash(team), Used: tokens(used[team]), Total: tokens(total[team]),
		})
	}
	return report
}

func upstreamUses(loads map[string]admission.Load) []loadshare.UpstreamUse {
	uses := make([]loadshare.UpstreamUse, 0, len(loads))
	for id, load := range loads {
		uses = append(uses, loadshare.UpstreamUse{
			Upstream: loadshare.ShortHash(id), InFlight: clampTo[uint16](load.InFlight),
			AwaitedTokens: clampTo[uint32](load.AwaitedTokens),
			SpeedPercent:  clampTo[uint16](int(load.Speed * percent)), Samples: clampTo[uint8](int(load.Samples)),
		})
	}
	return uses
}

// teamsOf returns the teams that have an amount in one of the lists.
func teamsOf(used, total map[string]float64) map[string]struct{} {
	teams := make(map[string]struct{}, len(used)+len(total))
	for team := range used {
		teams[team] = struct{}{}
	}
	for team := range total {
		teams[team] = struct{}{}
	}
	return teams
}

func tokens(amount float64) uint32 { return clampTo[uint32](int(math.Ceil(amount))) }

const percent = 100

func clampTo[T uint8 | uint16 | uint32](n int) T {
	return T(min(uint64(max(0, n)), uint64(^T(0))))
}

// peerReport is a report that another instance has sent.
type peerReport struct{ datagram loadshare.Datagram }

func (m peerReport) apply(c *control) {
	now := c.g.now()
	report := m.datagram.Report
	current, regained, err := c.peers.Heard(now, report)
	if err != nil {
		c.g.log.Info("report ignored", "peer", report.Instance, "error", err.Error())
		return
	}
	if !current {
		return
	}
	if report.Ended {
		c.end(now, report.Instance)
		return
	}
	far := report.Members > 0
	name, members := report.Instance, 1
	if far {
		name, members = loadshare.DomainPeer(report.Domain), int(report.Members)
		if !c.peers.IsNear(m.datagram.From) {
			c.sendContent(m.datagram.Content, c.peers.Near(now))
		}
	} else {
		// The sum for the other failure domains is not what it was.
		c.far.changed = true
	}
	if regained {
		// The peer has missed what was told before.
		c.noteChange()
		c.near.whole, c.far.whole = 0, 0
		c.g.log.Info("peer heard", "peer", name, "sender", report.Instance, "address", report.Address, "boot", report.Boot)
	}
	c.takeLoads(now, name, far, report)
	c.takeUse(now, name, members, report)
	for _, s := range report.Strikes {
		c.strikes.learn(now, report.Instance, s)
	}
}

// end drops a peer that has stopped.
func (c *control) end(now time.Duration, peer string) {
	c.teams.End(now, peer)
	for _, pool := range c.pools {
		pool.SetPeer(now, peer, admission.PeerState{})
	}
	c.far.changed = true
	c.g.log.Info("peer stopped", "peer", peer)
}

// sayEnded tells the peers that this instance has stopped.
type sayEnded struct{ done chan struct{} }

func (m sayEnded) apply(c *control) {
	defer close(m.done)
	now := c.g.now()
	report := c.buildReport(now, &c.near, false)
	report.Ended = true
	c.send(report, c.peers.Near(now))
}

func (c *control) takeLoads(now time.Duration, peer string, far bool, report loadshare.Report) {
	loads := make(map[string]map[string]admission.Load, len(c.pools))
	for _, use := range report.Upstreams {
		id := c.upstreamNames[use.Upstream]
		service := c.services[id]
		if loads[service] == nil {
			loads[service] = map[string]admission.Load{}
		}
		loads[service][id] = admission.Load{
			InFlight: int(use.InFlight), AwaitedTokens: int(use.AwaitedTokens),
			Speed: float64(use.SpeedPercent) / percent, Samples: float64(use.Samples),
		}
	}
	demands := make(map[uint32]int, len(report.Demands))
	for _, demand := range report.Demands {
		demands[demand.Service] = int(demand.Places)
	}
	for service, pool := range c.pools {
		state := admission.PeerState{Far: far, Demand: demands[loadshare.ShortHash(service)], Loads: loads[service]}
		if report.Partial {
			pool.UpdatePeer(now, peer, state)
		} else {
			pool.SetPeer(now, peer, state)
		}
	}
}

// takeUse takes in what a peer has used of the quotas. Reports name teams by
// hashes, which say nothing before the first configuration is known; the last whole
// one of each peer is kept until then, since the peer may not live to repeat it.
func (c *control) takeUse(now time.Duration, peer string, members int, report loadshare.Report) {
	if c.g.table.Load() != nil {
		c.teams.Report(now, peer, c.quotaUse(report, members))
		return
	}
	if !report.Partial {
		c.unread[peer] = unreadUse{at: now, members: members, report: report}
	}
}

// unreadUse is a report whose teams are not known yet.
type unreadUse struct {
	at      time.Duration
	members int
	report  loadshare.Report
}

// readUse takes in what was reported before the first configuration was known.
func (c *control) readUse() {
	for peer, unread := range c.unread {
		c.teams.Report(unread.at, peer, c.quotaUse(unread.report, unread.members))
	}
	clear(c.unread)
}

func (c *control) quotaUse(report loadshare.Report, members int) quota.Use {
	far := report.Members > 0
	use := quota.Use{
		Boot: report.Boot, Oldest: report.Oldest, Members: members, Known: max(members, int(report.Known)), Cold: int(report.Cold), Far: far, Partial: report.Partial,
		Used: make(map[string]float64, len(report.Teams)),
	}
	if use.Hand = quota.Hand(report.Hand); use.Hand != quota.Unknown && !report.Partial {
		use.Total = make(map[string]float64, len(report.Teams))
	}
	for _, t := range report.Teams {
		team := c.teamNames[t.Team]
		use.Used[team] = float64(t.Used)
		if use.Total != nil {
			use.Total[team] = float64(t.Total)
		}
	}
	return use
}
