package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// Times of the control loop.
const (
	// queueTick is how often waiting requests are looked at without news.
	queuePollInterval = 10 * time.Millisecond
	// inboxSize lets callers go on while the control loop works on others.
	inboxCapacity = 256
)

// message changes the control state. Only the control goroutine applies it.
type message interface{ apply(c *controlLoop) }

// control owns the state that requests share.
type controlLoop struct {
	g     *Gateway
	inbox chan message
	pools map[string]*admission.Pool
	// services maps each upstream to its service.
	services map[string]string
	waiting  map[uint64]chan admission.Decision
	teams    *quota.Teams
	retries  *quota.Retries
	peers    *loadshare.Peers
	strikes  *strikeTable
	// names maps the short hashes in reports to upstreams and teams.
	upstreamNames map[uint32]string
	teamNames     map[uint32]string
	// unread holds, by peer, what was reported before the first configuration.
	pendingReports map[string]pendingReport
	reportSequence uint64
	// near and far are the audiences of the reports.
	localReports, remoteReports reportState
	// speakFrom is when this instance may speak for its failure domain: a process
	// that has just started does not know who else lives there.
	remoteReportsFrom time.Duration
	// usageAt is when the use of quotas was last looked at for the store.
	usageCheckedAt time.Duration
	usageWriting   atomic.Bool
}

func newControlLoop(g *Gateway) *controlLoop {
	bounds := g.settings.Bounds
	now := g.now()
	return &controlLoop{
		g: g, inbox: make(chan message, inboxCapacity), remoteReportsFrom: now + instanceListWait + remoteReportDelay,
		pools: map[string]*admission.Pool{}, services: map[string]string{},
		waiting: map[uint64]chan admission.Decision{},
		teams: quota.NewTeams(quota.Rules{
			Window: seconds(bounds.QuotaWindowS), Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack,
			Fresh: loadshare.SilentAfter, Forget: peerForgetAfter, RecallWait: instanceListWait,
		}, now, !g.settings.Instance.FirstStart),
		retries: quota.NewRetries(quota.RetryRules{
			Window: seconds(bounds.RetryWindowS), Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra,
		}),
		peers:         loadshare.NewPeers(g.settings.Instance.Name, g.settings.Instance.Domain, g.cpuPercent(), g.bootID),
		strikes:       newStrikeTable(),
		upstreamNames: map[uint32]string{}, teamNames: map[uint32]string{}, pendingReports: map[string]pendingReport{},
	}
}

// peerForget is how long a share of the quotas is left to a silent peer, which
// may be cut off and serving.
const peerForgetAfter = 30 * time.Second

func (c *controlLoop) run(ctx context.Context) {
	timer := c.g.clock.NewTimer(idleReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			m.apply(c)
			c.drainInbox()
		case <-timer.Chan():
		}
		c.update()
		timer.Reset(c.nextUpdateIn())
	}
}

// drain applies what has arrived meanwhile, so that one decision covers it.
func (c *controlLoop) drainInbox() {
	for {
		select {
		case m := <-c.inbox:
			m.apply(c)
		default:
			return
		}
	}
}

func (c *controlLoop) update() {
	now := c.g.now()
	for _, name := range c.peers.Silent(now) {
		c.g.log.Info("peer lost", "peer", name, "silent_ms", loadshare.SilentAfter.Milliseconds())
		c.g.metrics.peersLost.Inc(1)
	}
	for _, pool := range c.pools {
		for _, decision := range pool.Advance(now) {
			c.markReportsChanged()
			if reply := c.waiting[decision.Key]; reply != nil {
				delete(c.waiting, decision.Key)
				reply <- decision
			}
		}
	}
	if c.peers.SetState(c.g.storeFailing(now), c.teams.Cold(now)) {
		c.markReportsChanged()
	}
	c.g.instanceCount.Store(int64(c.peers.Count()))
	c.g.relayAddress.Store(c.peers.Lead())
	c.g.isRelay.Store(c.peers.Relay() == "")
	c.g.hasTopRank.Store(c.peers.IsFirst())
	c.writeUsage(now)
	c.sendDueReports(now)
}

func (c *controlLoop) nextUpdateIn() time.Duration {
	for _, pool := range c.pools {
		if pool.Waiting() > 0 {
			return queuePollInterval
		}
	}
	if c.localReports.changed || c.remoteReports.changed {
		return localReportInterval
	}
	return idleReportInterval
}

// pool returns the pool of a service, which is made when it is first needed.
func (c *controlLoop) pool(name string) *admission.Pool {
	pool := c.pools[name]
	if pool == nil {
		location := admission.Location{Domain: c.g.settings.Instance.Domain, Regions: c.g.settings.Regions}
		pool = admission.NewPool(c.describeService(name), location, admission.DefaultTuning(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		c.pools[name] = pool
	}
	return pool
}

func (c *controlLoop) describeService(name string) admission.Service {
	described := admission.Service{Name: name}
	table := c.g.table.Load()
	if table == nil {
		return described
	}
	if service := table.Service(name); service != nil {
		described.Engine, described.Slots, described.EventTokens = service.Engine(), service.Slots, service.EventTokens
	}
	return described
}

// submit asks for an upstream.
type submitMsg struct {
	request *admission.Request
	reply   chan admission.Decision
}

func (m submitMsg) apply(c *controlLoop) {
	c.waiting[m.request.Key] = m.reply
	c.pool(m.request.Service).Submit(m.request)
	c.markReportsChanged()
}

// withdraw takes a request back whose caller has left. It replies whether the
// request was still waiting.
type withdrawMsg struct {
	service string
	key     uint64
	reply   chan bool
}

func (m withdrawMsg) apply(c *controlLoop) {
	delete(c.waiting, m.key)
	m.reply <- c.pool(m.service).Withdraw(m.key)
}

// firstOutput notes the first output of a request.
type firstOutputMsg struct {
	service, upstream string
	key               uint64
}

func (m firstOutputMsg) apply(c *controlLoop) {
	c.pool(m.service).FirstOutput(m.upstream, m.key)
	c.markReportsChanged()
}

// finish ends a request at an upstream.
type finishMsg struct {
	service, upstream string
	key               uint64
	result            admission.Result
}

func (m finishMsg) apply(c *controlLoop) {
	c.pool(m.service).Finish(c.g.now(), m.upstream, m.key, m.result)
	c.markReportsChanged()
}

// charge counts a request against its team's quota.
type chargeQuotaMsg struct {
	team   string
	limit  quota.Limit
	amount float64
	reply  chan quota.Verdict
}

func (m chargeQuotaMsg) apply(c *controlLoop) {
	m.reply <- c.teams.Charge(c.g.now(), m.team, m.limit, m.amount)
	c.markReportsChanged()
}

// uncharge takes a charge back whose request did not run.
type refundQuotaMsg struct {
	team   string
	amount float64
}

func (m refundQuotaMsg) apply(c *controlLoop) { c.teams.Return(c.g.now(), m.team, m.amount) }

// countRequest counts a request for the retry budget of its service.
type countRequestMsg struct{ service string }

func (m countRequestMsg) apply(c *controlLoop) { c.retries.Request(c.g.now(), m.service) }

// repeat asks for room in the retry budget.
type takeRetryMsg struct {
	service string
	reply   chan bool
}

func (m takeRetryMsg) apply(c *controlLoop) {
	m.reply <- c.retries.Take(c.g.now(), m.service, c.peers.Count())
}

// strike counts an upstream that broke while it ran a request; served clears
// the count.
type strikeMsg struct {
	fingerprint uint64
	answered    bool
}

func (m strikeMsg) apply(c *controlLoop) {
	if m.answered {
		c.strikes.clear(m.fingerprint)
		return
	}
	c.strikes.add(c.g.now(), m.fingerprint)
	c.markReportsChanged()
}

// isPoison asks whether a request has broken too many upstreams.
type countStrikesMsg struct {
	fingerprint uint64
	reply       chan int
}

func (m countStrikesMsg) apply(c *controlLoop) { m.reply <- c.strikes.count(c.g.now(), m.fingerprint) }

// storeUpdate carries news from the store.
type storeUpdateMsg struct{ update storesync.Update }

func (m storeUpdateMsg) apply(c *controlLoop) {
	switch m.update.Kind {
	case c.g.kinds.Config:
		c.applyConfigUpdate(m.update)
	case c.g.kinds.Upstreams:
		c.applyUpstreamUpdate(m.update)
	}
}
