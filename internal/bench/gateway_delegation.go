package bench

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/delegation"
)

const (
	// followerReportInterval is the shortest time between two reports of a follower
	// without new requests, and relayHeartbeat that between two replies to all.
	followerReportInterval = 5 * time.Millisecond
	relayHeartbeat         = 120 * time.Millisecond
	// relayReplacementTime is the time in which the followers notice that their relay is
	// lost and follow another one.
	relayReplacementTime = 600 * time.Millisecond
	followerTick         = 10 * time.Millisecond
)

// instanceDelegation is the state of the delegation at a simulated instance.
type instanceDelegation struct {
	follower *delegation.Follower
	relay    *delegation.Relay
	// relayOf is the instance that this one follows; itself if it is the relay.
	relayOf    *gatewayInstance
	sequence   uint64
	reportDue  bool
	reportedAt time.Duration
	results    []peerResult
}

// peerResult is the result of a request as reported to the relay.
type peerResult struct {
	upstream string
	result   admission.Result
}

// startDelegation makes the first instance the relay of all.
func (s *gatewaySimulation) startDelegation() {
	for number, instance := range s.instances {
		nextKey := uint64(number+1) << 40
		instance.delegation = &instanceDelegation{follower: delegation.NewFollower(), relay: delegation.NewRelay(func() uint64 {
			nextKey++
			return nextKey
		})}
	}
	s.follow(s.instances[0])
	if s.config.RelayLostAt > 0 {
		s.loop.scheduleAt(s.config.RelayLostAt+relayReplacementTime, func() { s.follow(s.instances[1]) })
	}
	for at := time.Duration(0); at < gatewayArrivalDuration+20*time.Second; at += followerTick {
		s.loop.scheduleAt(at, func() {
			for _, instance := range s.instances {
				instance.tick(at%relayHeartbeat == 0)
			}
		})
	}
}

// follow makes all instances follow one of them.
func (s *gatewaySimulation) follow(relay *gatewayInstance) {
	for _, instance := range s.instances {
		instance.delegation.relayOf = relay
		name := relay.name
		if instance == relay {
			name = ""
		}
		instance.submitLocally(instance.delegation.follower.SetRelay(name))
		instance.delegation.reportDue = true
	}
}

// lost reports whether the instance is the relay that was lost.
func (i *gatewayInstance) lost() bool {
	return i.sim.config.RelayLostAt > 0 && i == i.sim.instances[0] && i.sim.loop.now >= i.sim.config.RelayLostAt
}

// send delivers a message to another instance after the network delay, unless it is lost.
func (i *gatewayInstance) send(to *gatewayInstance, deliver func()) {
	if i.lost() || i.sim.random.Float64() < i.sim.config.MessageLoss {
		return
	}
	i.sim.loop.scheduleAfter(networkDelay, func() {
		if !to.lost() {
			deliver()
		}
	})
}

// delegate submits a request to the relay. It returns false if this instance decides
// itself.
func (i *gatewayInstance) delegate(request *admission.Request) bool {
	if i.delegation == nil || !i.delegation.follower.Ready(i.sim.loop.now) {
		return false
	}
	i.delegation.follower.Submit(i.sim.loop.now, request)
	i.reportToRelay()
	return true
}

func (i *gatewayInstance) submitLocally(requests []*admission.Request) {
	for _, request := range requests {
		i.pool.Submit(request)
	}
	if len(requests) > 0 {
		i.schedule()
	}
}

func (i *gatewayInstance) addResult(upstream string, result admission.Result) {
	if i.delegation != nil {
		i.delegation.results = append(i.delegation.results, peerResult{upstream, result})
	}
}

// tick places requests that the relay has not decided in time, and sends what is due.
func (i *gatewayInstance) tick(heartbeat bool) {
	if i.lost() {
		return
	}
	now := i.sim.loop.now
	i.submitLocally(i.delegation.follower.TakeBack(now))
	i.schedule()
	if heartbeat {
		i.delegation.reportDue = true
		if i.delegation.relayOf == i {
			for _, other := range i.sim.instances {
				i.reply(other)
			}
		}
	}
	if i.delegation.reportDue || i.delegation.follower.ReportDue(now) {
		i.reportToRelay()
	}
}

// reportToRelay sends a report to the relay, at once if a request is new and otherwise
// at the earliest followerReportInterval after the previous one.
func (i *gatewayInstance) reportToRelay() {
	d, now := i.delegation, i.sim.loop.now
	relay := d.relayOf
	if relay == i {
		return
	}
	if now-d.reportedAt < followerReportInterval && !d.follower.ReportDue(now) {
		d.reportDue = true
		return
	}
	d.sequence++
	d.reportDue, d.reportedAt = false, now
	report := delegation.FollowerReport{Follower: i.name, StartTime: 1, Sequence: d.sequence, Waiting: d.follower.Waiting(now, d.sequence)}
	_, report.DecisionSeen = d.follower.Seen()
	state := admission.PeerState{Loads: map[string]admission.Load{}}
	i.pool.CollectLoads(now, state.Loads, admission.OwnLoad)
	for id, load := range state.Loads {
		load.Samples = 0
		state.Loads[id] = load
	}
	results := d.results
	d.results = nil
	i.send(relay, func() { relay.handleReport(report, state, results) })
}

func (i *gatewayInstance) handleReport(report delegation.FollowerReport, state admission.PeerState, results []peerResult) {
	now := i.sim.loop.now
	i.pool.SetPeer(now, report.Follower, state)
	for _, r := range results {
		i.pool.ObservePeerResult(now, r.upstream, r.result)
	}
	submitted, removed := i.delegation.relay.HandleReport(now, report)
	for _, cancelled := range removed {
		if cancelled.Upstream == "" {
			i.pool.Dequeue(cancelled.RelayKey)
		} else {
			i.pool.ReleaseGrant(cancelled.Upstream, cancelled.RelayKey)
		}
	}
	for _, request := range submitted {
		i.pool.Submit(request)
	}
	i.schedule()
}

// sendReplies sends the replies that are due.
func (i *gatewayInstance) sendReplies() {
	for _, name := range i.delegation.relay.Due(i.sim.loop.now) {
		for _, other := range i.sim.instances {
			if other.name == name {
				i.reply(other)
			}
		}
	}
}

func (i *gatewayInstance) reply(to *gatewayInstance) {
	seen, decisions := i.delegation.relay.Reply(i.sim.loop.now, to.name)
	loads := map[string]admission.Load{}
	i.pool.CollectLoads(i.sim.loop.now, loads, admission.FleetLoad)
	i.send(to, func() {
		now := to.sim.loop.now
		for _, decided := range to.delegation.follower.HandleReply(now, i.name, 1, seen, decisions) {
			if decided.Action != admission.Place {
				to.carryOut(decided.Decision.Decision)
				continue
			}
			upstream, _ := to.pool.Adopt(now, decided.Upstream.ID, decided.Request, decided.ExpectedFirstOutput)
			decided.Upstream = upstream
			to.carryOut(decided.Decision.Decision)
		}
		if to != to.delegation.relayOf {
			to.pool.SetPeer(now, "fleet", admission.PeerState{RemoteDomain: true, Demand: len(to.sim.instances), Loads: loads})
		}
	})
}
