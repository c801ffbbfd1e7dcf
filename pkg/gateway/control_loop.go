package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/delegation"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/poison"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

const (
	// queuePollInterval is the time between two updates of the queues while
	// requests wait and no message arrives.
	queuePollInterval = 10 * time.Millisecond
	// inboxCapacity lets request goroutines continue while the control loop
	// handles other messages.
	inboxCapacity = 256
)

// message reads or changes the state of the control loop. Only the goroutine of
// the control loop calls apply.
type message interface{ apply(c *controlLoop) }

// controlLoop owns the state that all requests share. Its goroutine handles one
// message at a time.
type controlLoop struct {
	g     *Gateway
	inbox chan message
	// pools holds the upstreams and the queue of each service.
	pools map[string]*admission.Pool
	// services maps the ID of each upstream to its service, and upstreams to its record.
	services  map[string]string
	upstreams map[string]admission.UpstreamInfo
	// upstreamsListed is true once the upstreams were read, and loaded once Gateway.loaded
	// is closed.
	upstreamsListed, loaded bool
	// configUnreadable is true while the newest configuration could not be decoded. The one
	// in force is then outdated, and its age grows.
	configUnreadable bool
	// reportOrder decides which records of upstreams are used.
	reportOrder *admission.ReportOrder
	// placementReplies holds, by request key, the channels of queued requests.
	placementReplies map[uint64]chan admission.Decision
	quotas           *quota.TeamQuotas
	retryBudget      *quota.RetryBudget
	peers            *loadshare.Peers
	poison           *poison.Detector
	leaving          *leavingUpstreams
	rollouts         *rollouts
	// lastWords holds the last words of upstreams in answers, by ID.
	lastWords map[string]lastWord
	// upstreamNames and teamNames map the short hashes in reports to names.
	upstreamNames map[uint32]string
	teamNames     map[uint32]string
	// pendingReports holds, by peer, the last full report that arrived before the
	// first configuration.
	pendingReports map[string]pendingReport
	reportSequence uint64
	// localReports go to the instances of this failure domain, or, in a large one, to
	// its relay and standbyReports to the relay's standbys. remoteReports go to the
	// relays of the other failure domains.
	localReports, standbyReports, remoteReports reportState
	// follower and relay are the two sides of the delegation of placements in a large
	// failure domain.
	follower *delegation.Follower
	relay    *delegation.Relay
	// reportedUsage holds this instance's quota usage as sent to the relay, by the
	// sequence number of the report.
	reportedUsage []reportedUsage
	// viewSentAt is when the last view was sent to the followers, and loadViewSentAt
	// that of the last one with loads.
	viewSentAt, loadViewSentAt time.Duration
	// viewSuspicions marks what the views contained of the suspicions about crashes.
	viewSuspicions poison.Cursor
	viewLeaving    uint64
	// remoteReportsFrom is the time from which this instance may send reports on
	// behalf of its failure domain. A process that has just started does not know
	// the other instances of its domain.
	remoteReportsFrom time.Duration
	// usageCheckedAt is the time of the last check whether the quota usage must be
	// written to the store.
	usageCheckedAt time.Duration
	usageWriting   atomic.Bool
	// usagePosition is that of the last change of the usage record by this instance, with
	// revision 0 if it is to be read before it is written.
	usagePosition storesync.Position
	// storePosition is the latest position of the copies of the store.
	storePosition storesync.Position
	limits        limitLog
	ejections     ejectionLog
	competition   competitionLog
	// regionLink bounds what is placed in other regions; nil for no bound.
	regionLink *admission.RegionLink
}

func newControlLoop(g *Gateway) *controlLoop {
	bounds := g.settings.Bounds
	now := g.now()
	return &controlLoop{
		g: g, inbox: make(chan message, inboxCapacity), remoteReportsFrom: now + instanceListWait + remoteReportDelay,
		pools: map[string]*admission.Pool{}, services: map[string]string{}, upstreams: map[string]admission.UpstreamInfo{},
		reportOrder:      admission.NewReportOrder(),
		placementReplies: map[uint64]chan admission.Decision{},
		quotas: quota.NewTeamQuotas(quota.Rules{
			Window: seconds(bounds.QuotaWindowSeconds), Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack,
			ReportTimeout: loadshare.UnreachableAfter, PeerExpiry: peerExpiry,
		}, now, !g.settings.Instance.FirstStart),
		retryBudget: quota.NewRetryBudget(quota.RetryRules{
			Window: seconds(bounds.RetryWindowSeconds), Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, ReportTimeout: loadshare.UnreachableAfter,
		}),
		peers:         newPeers(g),
		poison:        newPoisonDetector(g),
		leaving:       newLeavingUpstreams(),
		rollouts:      newRollouts(rollout.Limits{ExposureShare: bounds.ExposureShare}),
		lastWords:     map[string]lastWord{},
		upstreamNames: map[uint32]string{}, teamNames: map[uint32]string{}, pendingReports: map[string]pendingReport{},
		regionLink: admission.NewRegionLink(now, g.settings.Placement.RegionLinkMbps),
		follower:   delegation.NewFollower(), relay: delegation.NewRelay(func() uint64 { return g.lastRequestKey.Add(1) }),
	}
}

func newPeers(g *Gateway) *loadshare.Peers {
	peers := loadshare.NewPeers(g.settings.Instance.Name, g.settings.Instance.Domain, g.cpuPercent(), g.startedUnixNano)
	peers.SetOwnAddress(g.socket.LocalAddress())
	peers.SetRelayFrom(g.settings.Placement.RelayFromInstances)
	return peers
}

// peerExpiry is how long the quota share of an unreachable peer stays reserved,
// since the peer may be partitioned and still serving.
const peerExpiry = 30 * time.Second

func (c *controlLoop) run(ctx context.Context) {
	timer := c.g.clock.NewTimer(idleReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			c.applyMessage(m)
			c.drainInbox()
		case <-timer.Chan():
		}
		if err := c.g.contain("control loop", func() string { return "update" }, c.update); err != nil {
			c.rebuild()
		}
		timer.Reset(c.nextUpdateIn())
	}
}

// drainInbox applies all messages that have arrived, so that one update covers
// them.
func (c *controlLoop) drainInbox() {
	for {
		select {
		case m := <-c.inbox:
			c.applyMessage(m)
		default:
			return
		}
	}
}

// update places queued requests, refreshes the state that other goroutines read,
// and sends the reports that are due.
func (c *controlLoop) update() {
	now := c.g.now()
	for _, name := range c.peers.MarkUnreachable(now) {
		c.g.log.Info("peer lost", "peer", name, "silent_ms", loadshare.UnreachableAfter.Milliseconds())
		c.g.metrics.peersLost.Inc(1)
	}
	if c.g.stop.Load() != nil {
		c.peers.SetLeaving()
	}
	if c.peers.SetOwnState(c.g.storeFailing(now), c.quotas.Restarted(now)) {
		c.markReportsChanged()
	}
	c.updateDelegation(now)
	c.updatePoison(now)
	c.updateRegionLink(now)
	for _, pool := range c.pools {
		for _, decision := range pool.Schedule(now) {
			c.markReportsChanged()
			if !c.relay.Decide(decision) {
				c.deliver(decision)
			}
		}
		c.collectOverdue(pool)
	}
	c.g.instanceCount.Store(int64(c.peers.KnownCount()))
	c.g.relayAddress.Store(c.peers.SyncSourceAddress())
	c.g.isRelay.Store(c.peers.RelayAddress() == "")
	c.g.isHighestRanked.Store(c.peers.IsHighestRanked())
	c.writeUsage(now)
	c.stepRollouts(now)
	c.reportEjections(now)
	c.reportCompetition(now)
	c.logLimits(now)
	c.sendDueReports(now)
	c.sendDueReplies(now)
}

// deliver passes a decision to the request that it is about.
func (c *controlLoop) deliver(decision admission.Decision) {
	if reply := c.placementReplies[decision.Key]; reply != nil {
		delete(c.placementReplies, decision.Key)
		reply <- decision
	}
}

// nextUpdateIn returns the time until the next update if no message arrives.
func (c *controlLoop) nextUpdateIn() time.Duration {
	if c.follower.WaitingCount()+c.relay.Waiting() > 0 {
		return queuePollInterval
	}
	for _, pool := range c.pools {
		if pool.QueueLength() > 0 {
			return queuePollInterval
		}
	}
	if c.localReports.changed || c.remoteReports.changed {
		return localReportInterval
	}
	return idleReportInterval
}

// pool returns the pool of a service and creates it at its first use.
func (c *controlLoop) pool(name string) *admission.Pool {
	pool := c.pools[name]
	if pool == nil {
		location := admission.Location{Domain: c.g.settings.Instance.Domain, Regions: c.g.settings.Regions}
		pool = admission.NewPool(c.serviceSpec(name), location, c.tuning(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		pool.SetRegionLink(c.regionLink)
		c.pools[name] = pool
	}
	return pool
}

// serviceSpec returns what the configuration in force says about a service.
func (c *controlLoop) serviceSpec(name string) admission.Service {
	spec := admission.Service{Name: name}
	table := c.g.table.Load()
	if table == nil {
		return spec
	}
	if service := table.Service(name); service != nil {
		spec.Engine, spec.Slots, spec.TokensPerEvent = service.Engine(), service.Slots, service.TokensPerEvent
	}
	return spec
}

// submitMsg queues a request for placement at an upstream.
type submitMsg struct {
	request *admission.Request
	reply   chan admission.Decision
}

func (m submitMsg) apply(c *controlLoop) {
	c.placementReplies[m.request.Key] = m.reply
	now := c.g.now()
	m.request.Trial = c.selectTrial(now, m.request)
	if c.follower.Ready(now) && !c.pool(m.request.Service).AllQuiet(now) {
		c.follower.Submit(now, m.request)
		return
	}
	c.pool(m.request.Service).Submit(m.request)
	c.markReportsChanged()
}

// dequeueMsg removes a request from the queue. The reply tells whether it was
// still waiting.
type dequeueMsg struct {
	service string
	key     uint64
	reply   chan bool
}

func (m dequeueMsg) apply(c *controlLoop) {
	delete(c.placementReplies, m.key)
	if c.follower.Cancel(m.key) {
		c.markReportsChanged()
		m.reply <- true
		return
	}
	m.reply <- c.pool(m.service).Dequeue(m.key)
}

// firstOutputMsg records that an upstream has sent the first output of a request.
type firstOutputMsg struct {
	service, upstream string
	key               uint64
}

func (m firstOutputMsg) apply(c *controlLoop) {
	c.pool(m.service).LearnFirstOutput(c.g.now(), m.upstream, m.key)
	c.pool(m.service).RecordFirstOutput(m.upstream, m.key)
	c.markReportsChanged()
}

// finishMsg releases the slot of a request at an upstream.
type finishMsg struct {
	service, upstream string
	key               uint64
	result            admission.Result
}

func (m finishMsg) apply(c *controlLoop) {
	c.pool(m.service).Finish(c.g.now(), m.upstream, m.key, m.result)
	c.reportResult(m.upstream, m.result)
	c.markReportsChanged()
}

// chargeQuotaMsg charges a request to its team's quota.
type chargeQuotaMsg struct {
	team   string
	limit  quota.Limit
	amount float64
	reply  chan quota.Verdict
}

func (m chargeQuotaMsg) apply(c *controlLoop) {
	m.reply <- c.quotas.Charge(c.g.now(), m.team, m.limit, m.amount)
	c.markReportsChanged()
}

// refundQuotaMsg refunds the charge of a request that did not run.
type refundQuotaMsg struct{ charge quota.Charge }

func (m refundQuotaMsg) apply(c *controlLoop) { c.quotas.Refund(c.g.now(), m.charge) }

// countRequestMsg counts a request towards the retry budget of its service.
type countRequestMsg struct{ service string }

func (m countRequestMsg) apply(c *controlLoop) { c.retryBudget.CountRequest(c.g.now(), m.service) }

// takeRetryMsg takes a retry from the budget of a service, if one is left.
type takeRetryMsg struct {
	service string
	reply   chan bool
}

func (m takeRetryMsg) apply(c *controlLoop) {
	m.reply <- c.retryBudget.Take(c.g.now(), m.service, c.peers.KnownCount())
	c.markReportsChanged()
}

// storeUpdateMsg applies changes of the configuration or of the upstreams.
type storeUpdateMsg struct{ update storesync.Update }

func (m storeUpdateMsg) apply(c *controlLoop) {
	c.noteStorePosition(m.update)
	switch m.update.Kind {
	case c.g.objectKinds.Config:
		c.applyConfigUpdate(m.update)
	case c.g.objectKinds.Upstreams:
		c.applyUpstreamUpdate(m.update)
		c.upstreamsListed = true
	case c.g.objectKinds.Rollouts:
		c.applyRolloutUpdate(m.update)
	}
	if !c.loaded && c.g.table.Load() != nil && c.upstreamsListed && (c.g.rolloutsKnown.Load() || !c.g.rolloutsEnabled()) {
		c.loaded = true
		close(c.g.loaded)
	}
}
