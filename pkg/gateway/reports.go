package gateway

import (
	"math"
	"net"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/poison"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

// Intervals and rates of the reports to peers.
const (
	// localReportInterval is the shortest time between two reports to the local
	// failure domain, and remoteReportInterval that between two summaries of the
	// local failure domain for the others, which take 1 ms to 20 ms to arrive.
	localReportInterval  = 15 * time.Millisecond
	remoteReportInterval = 40 * time.Millisecond
	// fullReportInterval is the time between two full reports. It must be shorter
	// than the time after which the load that a peer reported is ignored.
	fullReportInterval = 800 * time.Millisecond
	// reportBytesPerSecond bounds the reports to the local failure domain and,
	// separately, the summaries for the other failure domains. With more peers or
	// upstreams the reports become less frequent. With a quarter of this rate, the
	// counts that 87 instances had of each other's load were too old under overload.
	reportBytesPerSecond = 160_000
	// idleReportInterval is the time between two reports while nothing changes. A
	// peer counts as unreachable only after several of them are missing.
	idleReportInterval = loadshare.UnreachableAfter / 4
	// relayReportInterval is the shortest time between two reports of a follower to its
	// relay, unless a new request waits, and standbyReportInterval that to the standbys,
	// which need the state only when they replace the relay.
	relayReportInterval   = 5 * time.Millisecond
	standbyReportInterval = 60 * time.Millisecond
	// remoteReportDelay is how long an instance that has read the instance list
	// waits for reports of its peers before it sends reports on behalf of its
	// failure domain.
	remoteReportDelay = idleReportInterval
)

// reportState tracks what was sent, and when, to a group of peers that get the
// same reports.
type reportState struct {
	changed bool
	sentAt  time.Duration
	// minInterval is the time until the next report if values change; it grows with
	// the size of the last report.
	minInterval time.Duration
	// fullReportAt is when the last full report was sent. sentLoads and sentUsage are
	// the values as last sent, in that report or in a later partial one.
	fullReportAt time.Duration
	sentLoads    map[string]admission.Load
	sentUsage    map[string]float64
	// sentRetries holds the number of retries by service as last sent.
	sentRetries map[string]float64
	// suspicions marks what was sent of the suspicions about crashes.
	suspicions poison.Cursor
	// leaving marks what was sent of the words of leaving upstreams.
	leaving uint64
	// rolloutsSentAt is when evidence about versions was last sent.
	rolloutsSentAt time.Duration
	// results holds the results of requests since the last report.
	results []loadshare.UpstreamResult
	// limits marks what was sent of the limits of upstreams.
	limits limitCursor
}

// maxReportedResults bounds the results in a report.
const maxReportedResults = 64

func (s *reportState) addResult(result loadshare.UpstreamResult) {
	if len(s.results) < maxReportedResults {
		s.results = append(s.results, result)
	}
}

// due reports whether a report should be sent now.
func (s *reportState) due(now time.Duration) bool {
	since := now - s.sentAt
	return since >= idleReportInterval || (s.changed && since >= s.minInterval)
}

// recordSent derives the time of the next report from the number of bytes sent.
func (s *reportState) recordSent(now time.Duration, shortest time.Duration, bytes int) {
	s.changed, s.sentAt = false, now
	s.minInterval = min(idleReportInterval, max(shortest, time.Duration(bytes)*time.Second/reportBytesPerSecond))
}

// delta returns the values that differ from those sent before, or all values if a
// full report is due. It counts the result as sent, so the caller must send it.
func (s *reportState) delta(now time.Duration, loads map[string]admission.Load, quotaUsage map[string]float64) (newLoads map[string]admission.Load, newUsed map[string]float64, partial bool) {
	if s.fullReportAt == 0 || now-s.fullReportAt >= fullReportInterval {
		s.fullReportAt, s.sentLoads, s.sentUsage = now, loads, quotaUsage
		return loads, quotaUsage, false
	}
	newLoads, newUsed = map[string]admission.Load{}, map[string]float64{}
	for id, load := range loads {
		if sent := s.sentLoads[id]; sent.InFlight != load.InFlight || sent.PendingPrefillTokens != load.PendingPrefillTokens || sent.Ejected != load.Ejected {
			newLoads[id] = load
		}
	}
	for id, sent := range s.sentLoads {
		if _, found := loads[id]; !found && (sent.InFlight > 0 || sent.Ejected) {
			newLoads[id] = admission.Load{}
		}
	}
	for team, amount := range quotaUsage {
		if s.sentUsage[team] != amount {
			newUsed[team] = amount
		}
	}
	s.sentLoads, s.sentUsage = loads, quotaUsage
	return newLoads, newUsed, true
}

// changedRetries returns the counts of the services whose number of retries differs from
// that sent before, or all counts for a full report.
func (s *reportState) changedRetries(counts map[string]quota.RetryCounts, partial bool) map[string]quota.RetryCounts {
	changed := map[string]quota.RetryCounts{}
	sent := make(map[string]float64, len(counts))
	for service, count := range counts {
		sent[service] = count.Retries
		if !partial || s.sentRetries[service] != count.Retries {
			changed[service] = count
		}
	}
	s.sentRetries = sent
	return changed
}

func encodeRetries(counts map[string]quota.RetryCounts) []loadshare.RetryCount {
	encoded := make([]loadshare.RetryCount, 0, len(counts))
	for service, count := range counts {
		encoded = append(encoded, loadshare.RetryCount{
			Service: loadshare.ShortHash(service), Requests: ceilTokens(count.Requests), Retries: ceilTokens(count.Retries),
		})
	}
	return encoded
}

func (c *controlLoop) decodeRetries(encoded []loadshare.RetryCount) map[string]quota.RetryCounts {
	counts := make(map[string]quota.RetryCounts, len(encoded))
	for _, count := range encoded {
		counts[c.serviceName(count.Service)] = quota.RetryCounts{Requests: float64(count.Requests), Retries: float64(count.Retries)}
	}
	return counts
}

// markReportsChanged makes the next reports due after minInterval instead of
// idleReportInterval.
func (c *controlLoop) markReportsChanged() {
	c.localReports.changed, c.standbyReports.changed, c.remoteReports.changed = true, true, true
}

// requireFullReports makes the next reports due and complete, since a receiver has missed
// earlier ones.
func (c *controlLoop) requireFullReports() {
	c.markReportsChanged()
	c.localReports.fullReportAt, c.standbyReports.fullReportAt, c.remoteReports.fullReportAt = 0, 0, 0
}

// sendDueReports sends the reports that are due. Reports without changes serve as
// heartbeats.
func (c *controlLoop) sendDueReports(now time.Duration) {
	if c.peers.Large() {
		c.sendObserverReports(now)
	} else if c.localReports.due(now) {
		targets := c.peers.LocalTargets(now)
		bytes := c.sendReport(c.buildReport(now, &c.localReports, false), targets)
		c.localReports.recordSent(now, localReportInterval, bytes)
	}
	if c.peers.RelayAddress() == "" && now >= c.remoteReportsFrom && c.remoteReports.due(now) {
		targets := c.peers.RemoteTargets()
		bytes := c.sendReport(c.buildReport(now, &c.remoteReports, true), targets)
		c.remoteReports.recordSent(now, remoteReportInterval, bytes)
	}
}

// sendReport sends a report to the targets and returns the number of bytes sent.
func (c *controlLoop) sendReport(report loadshare.Report, targets []*net.UDPAddr) int {
	if len(targets) == 0 {
		return 0
	}
	encoded, err := loadshare.Encode(report)
	if err != nil {
		c.g.log.Error(err, "encoding a report failed")
		return 0
	}
	c.sendEncoded(encoded, targets)
	return len(targets) * len(encoded)
}

func (c *controlLoop) sendEncoded(encoded []byte, targets []*net.UDPAddr) {
	for _, target := range targets {
		if err := c.g.socket.Send(encoded, target); err != nil {
			c.g.metrics.reportsUnsent.Inc(1)
			c.g.log.V(1).Info("report not sent", "peer", target.String(), "error", err.Error())
		}
	}
	c.g.metrics.reportsSent.Inc(int64(len(targets)))
	c.g.metrics.reportBytes.Inc(int64(len(targets) * len(encoded)))
}

// buildReport returns a report on this instance, or on its whole failure domain.
func (c *controlLoop) buildReport(now time.Duration, state *reportState, wholeDomain bool) loadshare.Report {
	c.reportSequence++
	report := loadshare.Report{
		Instance: c.g.settings.Instance.Name, StartTime: c.g.startedUnixNano, OldestStartTime: c.g.startedUnixNano, Sequence: c.reportSequence, CPUPercent: c.g.cpuPercent(),
		Address: c.g.socket.LocalAddress(), Domain: c.g.settings.Instance.Domain,
		Leaving: c.g.stop.Load() != nil, StoreFailing: c.g.storeFailing(now),
		Results: state.results,
	}
	state.results = nil
	used, withoutUsageHistory := c.quotas.OwnUsage(now), 0
	retryScope := quota.OwnRetries
	if wholeDomain {
		retryScope = quota.DomainRetries
		used, withoutUsageHistory = c.quotas.DomainUsage(now)
		report.CoveredInstances, report.OldestStartTime = clampTo[uint16](c.peers.ReachableCount()), c.peers.OldestStartTime(c.g.startedUnixNano)
		report.ExpectedInstances = clampTo[uint16](c.peers.ExpectedCount(now, peerExpiry))
	} else if c.quotas.Restarted(now) {
		withoutUsageHistory = 1
	}
	report.WithoutUsageHistory = clampTo[uint16](withoutUsageHistory)
	loads := map[string]admission.Load{}
	for service, pool := range c.pools {
		scope := admission.OwnLoad
		if wholeDomain {
			scope = admission.DomainLoad
		}
		pool.CollectLoads(now, loads, scope)
		if demand := pool.Demand(wholeDomain); demand > 0 {
			report.Demands = append(report.Demands, loadshare.Demand{Service: loadshare.ShortHash(service), Requests: clampTo[uint16](demand)})
		}
	}
	loads, used, report.Partial = state.delta(now, loads, used)
	report.Upstreams = encodeLoads(loads)
	report.Suspicions = encodeSuspicions(c.poison.Export(now, &state.suspicions, !report.Partial, !wholeDomain))
	report.LeavingUpstreams = c.leaving.export(now, &state.leaving, !report.Partial)
	report.Retries = encodeRetries(state.changedRetries(c.retryBudget.Counts(now, retryScope), report.Partial))
	report.Rollouts = c.exportRollouts(now, state, wholeDomain)
	report.Limits = c.exportLimits(now, state, wholeDomain)
	totals, source := c.quotas.ReportableTotal(now)
	report.UsageSource = uint8(source)
	if report.Partial {
		totals = nil
	}
	for team := range unionOfTeams(used, totals) {
		report.Teams = append(report.Teams, loadshare.TeamUsage{
			Team: loadshare.ShortHash(team), Used: ceilTokens(used[team]), Total: ceilTokens(totals[team]),
		})
	}
	return report
}

// encodeLoads converts the loads of upstreams to their form in reports.
func encodeLoads(loads map[string]admission.Load) []loadshare.UpstreamLoad {
	encoded := make([]loadshare.UpstreamLoad, 0, len(loads))
	for id, load := range loads {
		encoded = append(encoded, loadshare.UpstreamLoad{
			Upstream: loadshare.ShortHash(id), InFlight: clampTo[uint16](load.InFlight),
			PendingPrefillTokens: clampTo[uint32](load.PendingPrefillTokens),
			SpeedPercent:         clampTo[uint16](int(load.Speed * percent)), Samples: clampTo[uint8](int(load.Samples)), Ejected: load.Ejected,
		})
	}
	return encoded
}

func decodeLoad(load loadshare.UpstreamLoad) admission.Load {
	return admission.Load{
		InFlight: int(load.InFlight), PendingPrefillTokens: int(load.PendingPrefillTokens),
		Speed: float64(load.SpeedPercent) / percent, Samples: float64(load.Samples), Ejected: load.Ejected,
	}
}

// unionOfTeams returns the teams that are in at least one of the maps.
func unionOfTeams(used, total map[string]float64) map[string]struct{} {
	teams := make(map[string]struct{}, len(used)+len(total))
	for team := range used {
		teams[team] = struct{}{}
	}
	for team := range total {
		teams[team] = struct{}{}
	}
	return teams
}

func ceilTokens(amount float64) uint32 { return clampTo[uint32](int(math.Ceil(amount))) }

const percent = 100

// clampTo converts n to T, limited to the range of T.
func clampTo[T uint8 | uint16 | uint32](n int) T {
	return T(min(uint64(max(0, n)), uint64(^T(0))))
}

// peerReportMsg applies a report from another instance.
type peerReportMsg struct{ datagram loadshare.Datagram }

func (m peerReportMsg) apply(c *controlLoop) {
	now := c.g.now()
	if m.datagram.Reply != nil {
		c.applyReply(now, m.datagram.Reply)
		return
	}
	report := m.datagram.Report
	current, recovered, err := c.peers.HandleReport(now, report)
	if err != nil {
		c.g.log.Info("report ignored", "peer", report.Instance, "error", err.Error())
		return
	}
	if !current {
		return
	}
	if report.Stopped {
		c.removeStoppedPeer(now, report.Instance)
		return
	}
	remoteDomain := report.CoveredInstances > 0
	name, coveredInstances := report.Instance, 1
	if remoteDomain {
		name, coveredInstances = loadshare.DomainKey(report.Domain), int(report.CoveredInstances)
		if !c.peers.IsLocalPeer(m.datagram.From) {
			c.sendEncoded(m.datagram.Content, c.peers.ForwardTargets(now))
		}
	} else {
		// The summary for the other failure domains has changed as well.
		c.remoteReports.changed = true
	}
	if recovered {
		c.requireFullReports()
		c.g.log.Info("peer heard", "peer", name, "sender", report.Instance, "address", report.Address, "boot", report.StartTime)
	}
	c.applyLoads(now, name, remoteDomain, report)
	c.applyQuotaUsage(now, name, coveredInstances, report)
	c.retryBudget.ApplyPeer(now, name, remoteDomain, coveredInstances, c.decodeRetries(report.Retries))
	c.mergeSuspicions(now, name, report.Suspicions)
	c.mergeLeaving(now, name, report.LeavingUpstreams)
	c.applyRollouts(name, report.Rollouts)
	c.applyLimits(now, remoteDomain, report)
	if !remoteDomain && c.peers.Large() {
		c.applyFollowerReport(now, report)
	}
}

// removeStoppedPeer stops counting the load of a peer that has announced its stop, and
// releases its share of the quotas.
func (c *controlLoop) removeStoppedPeer(now time.Duration, peer string) {
	c.quotas.MarkStopped(now, peer)
	for _, pool := range c.pools {
		pool.SetPeer(now, peer, admission.PeerState{})
	}
	c.cancelDelegated(c.relay.Drop(peer))
	c.remoteReports.changed = true
	c.g.log.Info("peer stopped", "peer", peer)
}

// announceStopMsg sends a last report, which tells the peers that this instance
// has stopped.
type announceStopMsg struct{ done chan struct{} }

func (m announceStopMsg) apply(c *controlLoop) {
	defer close(m.done)
	now := c.g.now()
	report := c.buildReport(now, &c.localReports, false)
	report.Stopped = true
	c.sendReport(report, c.peers.ForwardTargets(now))
}

// applyLoads passes the loads and demands of a report to the pools. A full report
// replaces those of earlier ones.
func (c *controlLoop) applyLoads(now time.Duration, peer string, remoteDomain bool, report loadshare.Report) {
	loads := make(map[string]map[string]admission.Load, len(c.pools))
	for _, upstreamLoad := range report.Upstreams {
		id := c.upstreamNames[upstreamLoad.Upstream]
		service := c.services[id]
		if loads[service] == nil {
			loads[service] = map[string]admission.Load{}
		}
		load := decodeLoad(upstreamLoad)
		if !remoteDomain && c.peers.Large() {
			// Observers estimate the speeds, and eject, from the results in reports. The
			// estimates of followers, each from few requests, would outweigh theirs for
			// minutes. A follower that has ejected an upstream gets no request to try it with.
			load.Speed, load.Samples, load.Ejected = 0, 0, false
		}
		loads[service][id] = load
	}
	demands := make(map[uint32]int, len(report.Demands))
	for _, demand := range report.Demands {
		demands[demand.Service] = int(demand.Requests)
	}
	for service, pool := range c.pools {
		state := admission.PeerState{RemoteDomain: remoteDomain, Demand: demands[loadshare.ShortHash(service)], Loads: loads[service]}
		if report.Partial {
			pool.UpdatePeer(now, peer, state)
		} else {
			pool.SetPeer(now, peer, state)
		}
	}
}

// applyQuotaUsage passes the quota usage in a report to the teams' quotas. Reports
// identify teams by hashes that cannot be resolved before the first configuration.
// The last full report of each peer is kept until then, since the peer may stop
// before it sends another one.
func (c *controlLoop) applyQuotaUsage(now time.Duration, peer string, coveredInstances int, report loadshare.Report) {
	if c.g.table.Load() != nil {
		c.quotas.ApplyReport(now, peer, c.decodeQuotaUsage(report, coveredInstances))
		return
	}
	if !report.Partial {
		c.pendingReports[peer] = pendingReport{receivedAt: now, coveredInstances: coveredInstances, report: report}
	}
}

// pendingReport is a report that arrived before the first configuration.
type pendingReport struct {
	receivedAt       time.Duration
	coveredInstances int
	report           loadshare.Report
}

// applyPendingReports applies the quota usage that was reported before the first
// configuration.
func (c *controlLoop) applyPendingReports() {
	for peer, pending := range c.pendingReports {
		c.quotas.ApplyReport(pending.receivedAt, peer, c.decodeQuotaUsage(pending.report, pending.coveredInstances))
	}
	clear(c.pendingReports)
}

// decodeQuotaUsage returns the quota usage in a report on the given number of
// instances.
func (c *controlLoop) decodeQuotaUsage(report loadshare.Report, coveredInstances int) quota.UsageReport {
	remoteDomain := report.CoveredInstances > 0
	usage := quota.UsageReport{
		StartTime: report.StartTime, OldestStartTime: report.OldestStartTime, CoveredInstances: coveredInstances, ExpectedInstances: max(coveredInstances, int(report.ExpectedInstances)), WithoutUsageHistory: int(report.WithoutUsageHistory), RemoteDomain: remoteDomain, Partial: report.Partial,
		Used: make(map[string]float64, len(report.Teams)),
	}
	if usage.UsageSource = quota.UsageSource(report.UsageSource); usage.UsageSource != quota.SourceUnknown && !report.Partial {
		usage.Total = make(map[string]float64, len(report.Teams))
	}
	for _, teamUsage := range report.Teams {
		team := c.teamNames[teamUsage.Team]
		usage.Used[team] = float64(teamUsage.Used)
		if usage.Total != nil {
			usage.Total[team] = float64(teamUsage.Total)
		}
	}
	return usage
}
