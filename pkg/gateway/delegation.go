package gateway

import (
	"net"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/delegation"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

// Intervals of the relay's views in a large failure domain.
const (
	// viewInterval is the time between two views of the quota usage of all instances,
	// which are also the relay's heartbeat. loadViewInterval is the time between two
	// views with the loads, by which followers place requests that the relay does not
	// decide in time.
	viewInterval     = 120 * time.Millisecond
	loadViewInterval = 480 * time.Millisecond
	// fleetPeer stands for all other instances where a follower keeps loads by peer.
	fleetPeer = "fleet"
)

// reportedUsage is the quota usage, and the counts of the retry budget, at the time of one
// report to the relay.
type reportedUsage struct {
	sequence uint64
	used     map[string]float64
	retries  map[string]quota.RetryCounts
}

// maxReportedUsage bounds the reports whose usage is kept until the relay confirms them.
const maxReportedUsage = 128

// updateDelegation determines whom this instance follows, and places requests that the
// relay has not decided in time.
func (c *controlLoop) updateDelegation(now time.Duration) {
	follows := ""
	if relay := c.peers.Relay(); c.peers.Large() && relay != c.g.settings.Instance.Name {
		follows = relay
	}
	if previous := c.follower.Relay(); follows != previous {
		c.g.log.Info("relay changed", "relay", follows, "previous", previous, "observer", c.peers.IsObserver())
		c.submitLocally(c.follower.SetRelay(follows))
		c.reportedUsage = nil
		c.requireFullReports()
		if follows == "" {
			c.quotas.EndView()
			c.retryBudget.EndView()
		}
	}
	c.quotas.SetObserving(now, c.peers.IsObserver())
	if taken := c.follower.TakeBack(now); len(taken) > 0 {
		c.g.metrics.placementsTakenBack.Inc(int64(len(taken)))
		c.submitLocally(taken)
	}
	c.cancelDelegated(c.relay.Expire(now))
}

// submitLocally queues requests that the relay was to place.
func (c *controlLoop) submitLocally(requests []*admission.Request) {
	for _, request := range requests {
		c.pool(request.Service).Submit(request)
	}
	if len(requests) > 0 {
		c.markReportsChanged()
	}
}

// cancelDelegated removes requests and grants of followers.
func (c *controlLoop) cancelDelegated(cancellations []delegation.Cancellation) {
	for _, cancelled := range cancellations {
		pool := c.pool(cancelled.Service)
		if cancelled.Upstream == "" {
			pool.Dequeue(cancelled.RelayKey)
		} else {
			pool.ReleaseGrant(cancelled.Upstream, cancelled.RelayKey)
		}
	}
}

// sendObserverReports sends the reports that are due in a large failure domain.
func (c *controlLoop) sendObserverReports(now time.Duration) {
	relayDue := c.follower.ReportDue(now) || c.localReports.due(now)
	standbysDue := c.standbyReports.due(now)
	if !relayDue && !standbysDue {
		return
	}
	relay, standbys := c.peers.ReportTargets(now)
	if relayDue && relay != nil {
		report := c.buildReport(now, &c.localReports, false)
		c.addDelegation(now, &report)
		bytes := c.sendReport(report, []*net.UDPAddr{relay})
		c.localReports.recordSent(now, relayReportInterval, bytes)
	}
	if standbysDue {
		report := c.buildReport(now, &c.standbyReports, false)
		bytes := c.sendReport(report, standbys)
		c.standbyReports.recordSent(now, standbyReportInterval, bytes)
	}
}

// addDelegation adds to a report what only the relay needs.
func (c *controlLoop) addDelegation(now time.Duration, report *loadshare.Report) {
	report.Follows = loadshare.ShortHash(c.follower.Relay())
	report.DecisionsOf, report.DecisionSeen = c.follower.Seen()
	barred := map[string][]string{}
	for service, pool := range c.pools {
		barred[service] = pool.Barred(now)
	}
	for _, request := range c.follower.Waiting(now, report.Sequence) {
		waiting := loadshare.WaitingRequest{
			Key: request.Key, Service: loadshare.ShortHash(request.Service), Tier: int16(request.Tier), Team: loadshare.ShortHash(request.Team), Trial: request.Trial,
			PromptTokens: clampTo[uint32](request.PromptTokens), OutputTokens: clampTo[uint32](request.OutputTokens),
			WaitedMs: toMs(now - request.Arrived), TargetInMs: int32((request.SoftDeadline - now).Milliseconds()), TimeoutInMs: toMs(request.Deadline - now),
		}
		if c.regionLink != nil {
			waiting.PromptBytes = clampTo[uint32](request.PromptBytes)
		}
		// The relay does not know which upstreams want no request of this instance.
		for _, upstream := range append(slices.Clone(request.ExcludedUpstreams), barred[request.Service]...) {
			waiting.Excluded = append(waiting.Excluded, loadshare.ShortHash(upstream))
		}
		report.Waiting = append(report.Waiting, waiting)
	}
	if len(c.reportedUsage) >= maxReportedUsage {
		c.reportedUsage = c.reportedUsage[1:]
	}
	c.reportedUsage = append(c.reportedUsage, reportedUsage{
		sequence: report.Sequence, used: c.quotas.OwnUsage(now), retries: c.retryBudget.Counts(now, quota.OwnRetries),
	})
}

// toMs returns a duration in whole milliseconds, at least 0.
func toMs(d time.Duration) uint32 { return clampTo[uint32](int(d.Milliseconds())) }

func fromMs(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// reportResult adds the result of a request to the next reports to the observers.
func (c *controlLoop) reportResult(upstream string, result admission.Result) {
	if !c.peers.Large() {
		return
	}
	encoded := loadshare.UpstreamResult{
		Upstream: loadshare.ShortHash(upstream), Outcome: uint8(result.Outcome),
		EventIntervalUs: clampTo[uint32](int(result.EventInterval.Microseconds())), TotalMs: toMs(result.TotalTime),
	}
	c.localReports.addResult(encoded)
	c.standbyReports.addResult(encoded)
}

// collectOverdue adds the requests whose first output has become overdue to the next
// reports to the observers.
func (c *controlLoop) collectOverdue(pool *admission.Pool) {
	for _, upstream := range pool.TakeOverdue() {
		c.reportResult(upstream, admission.Result{Outcome: admission.Overdue})
	}
}

// applyFollowerReport applies the parts of a report that are for observers, and those for
// the relay if the sender follows this instance.
func (c *controlLoop) applyFollowerReport(now time.Duration, report loadshare.Report) {
	for _, result := range report.Results {
		upstream := c.upstreamNames[result.Upstream]
		c.pool(c.services[upstream]).ObservePeerResult(now, upstream, admission.Result{
			Outcome:       admission.Outcome(result.Outcome),
			EventInterval: time.Duration(result.EventIntervalUs) * time.Microsecond, TotalTime: fromMs(result.TotalMs),
		})
	}
	if report.Follows != loadshare.ShortHash(c.g.settings.Instance.Name) {
		c.cancelDelegated(c.relay.Drop(report.Instance))
		return
	}
	followerReport := delegation.FollowerReport{Follower: report.Instance, StartTime: report.StartTime, Sequence: report.Sequence}
	if report.DecisionsOf == c.g.startedUnixNano {
		followerReport.DecisionSeen = report.DecisionSeen
	}
	for _, waiting := range report.Waiting {
		followerReport.Waiting = append(followerReport.Waiting, c.decodeWaiting(now, waiting))
	}
	submitted, removed := c.relay.HandleReport(now, followerReport)
	c.cancelDelegated(removed)
	for _, request := range submitted {
		c.pool(request.Service).Submit(request)
	}
}

// serviceName returns the service with the given short hash, or an empty name, whose
// pool has no upstreams.
func (c *controlLoop) serviceName(hash uint32) string {
	for name := range c.pools {
		if loadshare.ShortHash(name) == hash {
			return name
		}
	}
	return ""
}

func (c *controlLoop) decodeWaiting(now time.Duration, waiting loadshare.WaitingRequest) *admission.Request {
	request := &admission.Request{
		Key: waiting.Key, Service: c.serviceName(waiting.Service), Tier: int(waiting.Tier), Team: c.teamNames[waiting.Team], Trial: waiting.Trial,
		PromptTokens: int(waiting.PromptTokens), PromptBytes: int(waiting.PromptBytes), OutputTokens: int(waiting.OutputTokens),
		Arrived: now - fromMs(waiting.WaitedMs), SoftDeadline: now + time.Duration(waiting.TargetInMs)*time.Millisecond, Deadline: now + fromMs(waiting.TimeoutInMs),
	}
	for _, upstream := range waiting.Excluded {
		request.ExcludedUpstreams = append(request.ExcludedUpstreams, c.upstreamNames[upstream])
	}
	return request
}

// sendDueReplies sends the replies that are due to this instance's followers, and its
// view to all instances of its failure domain if it is the relay.
func (c *controlLoop) sendDueReplies(now time.Duration) {
	if !c.peers.Large() {
		return
	}
	if now-c.viewSentAt < viewInterval {
		for _, name := range c.relay.Due(now) {
			c.sendReply(now, name, c.peers.Address(name), nil)
		}
		return
	}
	c.viewSentAt = now
	targets := map[string]*net.UDPAddr{}
	if c.follower.Relay() == "" {
		targets = c.peers.LocalTargetsByName(now)
	}
	for _, name := range c.relay.Followers() {
		targets[name] = c.peers.Address(name)
	}
	if len(targets) == 0 {
		return
	}
	view, err := loadshare.EncodeView(c.buildView(now))
	if err != nil {
		c.g.log.Error(err, "encoding a view failed")
		return
	}
	for name, address := range targets {
		c.sendReply(now, name, address, view)
	}
}

func (c *controlLoop) sendReply(now time.Duration, name string, address *net.UDPAddr, view []byte) {
	if address == nil {
		return
	}
	c.reportSequence++
	reply := loadshare.Reply{
		Instance: c.g.settings.Instance.Name, StartTime: c.g.startedUnixNano, Sequence: c.reportSequence, CPUPercent: c.g.cpuPercent(),
		Address: c.g.socket.LocalAddress(), Domain: c.g.settings.Instance.Domain, Leaving: c.g.stop.Load() != nil, StoreFailing: c.g.storeFailing(now),
		WithoutUsageHistory: c.quotas.Restarted(now), View: view,
	}
	var decisions []delegation.Decision
	reply.ReportSeen, decisions = c.relay.Reply(now, name)
	for _, decision := range decisions {
		reply.Decisions = append(reply.Decisions, encodeDecision(decision))
	}
	encoded, err := loadshare.EncodeReply(reply)
	if err != nil {
		c.g.log.Error(err, "encoding a reply failed")
		return
	}
	c.sendEncoded(encoded, []*net.UDPAddr{address})
}

func encodeDecision(decision delegation.Decision) loadshare.PlacementDecision {
	encoded := loadshare.PlacementDecision{
		Sequence: decision.Sequence, Key: decision.Key, RetryAfterMs: toMs(decision.RetryAfter), ExpectedMs: toMs(decision.ExpectedFirstOutput),
		Reason: decision.Reason, WaitedMs: toMs(decision.Waited), QueueLength: clampTo[uint16](decision.QueueLength),
		FreeCapacity: clampTo[uint16](decision.FreeCapacity), InFlight: clampTo[uint16](decision.InFlight), OldestReportAgeMs: toMs(decision.OldestReportAge),
	}
	switch decision.Action {
	case admission.Place:
		encoded.Upstream = loadshare.ShortHash(decision.Upstream.ID)
	case admission.Decline:
		encoded.Declined = true
	case admission.Refuse:
	}
	return encoded
}

// buildView returns what this instance knows of the whole fleet. An instance that is no
// observer only names those that are.
func (c *controlLoop) buildView(now time.Duration) loadshare.View {
	view := loadshare.View{Relay: c.peers.RelayRef(), Observers: c.peers.Observers()}
	if !c.peers.IsObserver() {
		return view
	}
	usage := c.quotas.FleetView(now)
	view.ReachableInstances, view.UnreachableInstances = clampTo[uint16](usage.Reachable), clampTo[uint16](usage.Unreachable)
	view.UsageSource = uint8(usage.UsageSource)
	for team, total := range usage.Totals {
		view.Teams = append(view.Teams, loadshare.TeamUsage{Team: loadshare.ShortHash(team), Total: ceilTokens(total)})
	}
	view.Retries = encodeRetries(c.retryBudget.Counts(now, quota.FleetRetries))
	withLoads := now-c.loadViewSentAt >= loadViewInterval
	view.Suspicions = encodeSuspicions(c.poison.Export(now, &c.viewSuspicions, withLoads, false))
	view.LeavingUpstreams = c.leaving.export(now, &c.viewLeaving, withLoads)
	if withLoads {
		c.loadViewSentAt = now
		loads := map[string]admission.Load{}
		for _, pool := range c.pools {
			pool.CollectLoads(now, loads, admission.FleetLoad)
		}
		view.Upstreams = encodeLoads(loads)
		view.Limits = c.limitsForView()
	}
	return view
}

// applyReply applies a reply of the relay: its decisions and its view.
func (c *controlLoop) applyReply(now time.Duration, reply *loadshare.Reply) {
	var view *loadshare.View
	if len(reply.View) > 0 {
		decoded, err := loadshare.DecodeView(reply.View)
		if err != nil {
			c.g.metrics.reportsMalformed.Inc(1)
			c.g.log.Info("view ignored", "peer", reply.Instance, "error", err.Error())
			return
		}
		view = &decoded
	}
	current, recovered, err := c.peers.HandleReply(now, reply, view)
	if err != nil {
		c.g.log.Info("reply ignored", "peer", reply.Instance, "error", err.Error())
		return
	}
	if !current {
		return
	}
	if recovered {
		c.requireFullReports()
		c.g.log.Info("peer heard", "peer", reply.Instance, "sender", reply.Instance, "address", reply.Address, "boot", reply.StartTime)
	}
	c.updateDelegation(now)
	if reply.Instance != c.follower.Relay() {
		return
	}
	decisions := make([]delegation.Decision, 0, len(reply.Decisions))
	for _, decision := range reply.Decisions {
		decisions = append(decisions, c.decodeDecision(reply.Instance, decision))
	}
	for _, decided := range c.follower.HandleReply(now, reply.Instance, reply.StartTime, reply.ReportSeen, decisions) {
		c.carryOut(now, decided)
	}
	if view != nil {
		c.applyView(now, reply, view)
	}
}

func (c *controlLoop) decodeDecision(relay string, decision loadshare.PlacementDecision) delegation.Decision {
	decoded := delegation.Decision{Sequence: decision.Sequence, Decision: admission.Decision{
		Key: decision.Key, Action: admission.Refuse, RetryAfter: fromMs(decision.RetryAfterMs), ExpectedFirstOutput: fromMs(decision.ExpectedMs),
		Reason: decision.Reason, Waited: fromMs(decision.WaitedMs), QueueLength: int(decision.QueueLength),
		FreeCapacity: int(decision.FreeCapacity), InFlight: int(decision.InFlight), OldestReportAge: fromMs(decision.OldestReportAgeMs), DecidedBy: relay,
	}}
	switch {
	case decision.Declined:
		decoded.Action = admission.Decline
	case decision.Upstream != 0:
		decoded.Action = admission.Place
		decoded.Upstream.ID = c.upstreamNames[decision.Upstream]
	}
	return decoded
}

// carryOut applies a decision of the relay. This instance decides itself if the relay has
// declined, or has chosen an upstream that is unknown here or leaving.
func (c *controlLoop) carryOut(now time.Duration, decided delegation.Decided) {
	c.markReportsChanged()
	decision := decided.Decision.Decision
	if decision.Action == admission.Decline {
		c.submitLocally([]*admission.Request{decided.Request})
		return
	}
	if decision.Action == admission.Place {
		upstream, ok := c.pool(decided.Request.Service).Adopt(now, decision.Upstream.ID, decided.Request, decision.ExpectedFirstOutput)
		if !ok {
			c.submitLocally([]*admission.Request{decided.Request})
			return
		}
		decision.Upstream = upstream
	}
	c.deliver(decision)
}

// applyView applies what the relay knows of the whole fleet.
func (c *controlLoop) applyView(now time.Duration, reply *loadshare.Reply, view *loadshare.View) {
	if view.ReachableInstances == 0 {
		// The sender is no observer.
		return
	}
	c.mergeSuspicions(now, reply.Instance, view.Suspicions)
	c.mergeLeaving(now, reply.Instance, view.LeavingUpstreams)
	if c.g.table.Load() != nil {
		c.applyUsageView(now, reply.ReportSeen, view)
	}
	if view.Upstreams != nil && !c.peers.IsObserver() {
		c.applyLoadView(now, view)
		c.applyLimitView(now, reply.Instance, view)
	}
}

func (c *controlLoop) applyUsageView(now time.Duration, reportSeen uint64, view *loadshare.View) {
	for len(c.reportedUsage) > 1 && c.reportedUsage[1].sequence <= reportSeen {
		c.reportedUsage = c.reportedUsage[1:]
	}
	usage := quota.View{
		Totals: make(map[string]float64, len(view.Teams)), Reachable: int(view.ReachableInstances), Unreachable: int(view.UnreachableInstances),
		UsageSource: quota.UsageSource(view.UsageSource),
	}
	retries := quota.RetryView{Totals: c.decodeRetries(view.Retries), Reachable: int(view.ReachableInstances)}
	if len(c.reportedUsage) > 0 && c.reportedUsage[0].sequence <= reportSeen {
		usage.OwnReported, retries.OwnReported = c.reportedUsage[0].used, c.reportedUsage[0].retries
	}
	for _, team := range view.Teams {
		usage.Totals[c.teamNames[team.Team]] = float64(team.Total)
	}
	c.quotas.ApplyView(now, usage)
	c.retryBudget.ApplyView(now, retries)
}

// applyLoadView passes the loads of all other instances to the pools, which place by
// them when the relay does not answer.
func (c *controlLoop) applyLoadView(now time.Duration, view *loadshare.View) {
	own := map[string]admission.Load{}
	states := make(map[string]admission.PeerState, len(c.pools))
	for service, pool := range c.pools {
		pool.CollectLoads(now, own, admission.OwnLoad)
		states[service] = admission.PeerState{RemoteDomain: true, Demand: int(view.ReachableInstances), Loads: map[string]admission.Load{}}
	}
	for _, upstreamLoad := range view.Upstreams {
		id := c.upstreamNames[upstreamLoad.Upstream]
		state, found := states[c.services[id]]
		if !found {
			continue
		}
		load := decodeLoad(upstreamLoad)
		load.InFlight = max(0, load.InFlight-own[id].InFlight)
		load.PendingPrefillTokens = max(0, load.PendingPrefillTokens-own[id].PendingPrefillTokens)
		state.Loads[id] = load
	}
	for service, state := range states {
		c.pools[service].SetPeer(now, fleetPeer, state)
	}
}
