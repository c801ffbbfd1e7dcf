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
	queueTick = 10 * time.Millisecond
	// inboxSize lets callers go on while the control loop works on others.
	inboxSize = 256
)

// message changes the control state. Only the control goroutine applies it.
type message interface{ apply(c *control) }

// control owns the state that requests share.
type control struct {
	g     *Gateway
	inbox chan message
	pools map[string]*admission.Pool
	// services maps each upstream to its service.
	services map[string]string
	waiting  map[uint64]chan admission.Decision
	teams    *quota.Teams
	retries  *quota.Retries
	peers    *loadshare.Peers
	strikes  *strikes
	// names maps the short hashes in reports to upstreams and teams.
	upstreamNames map[uint32]string
	teamNames     map[uint32]string
	// unread holds, by peer, what was reported before the first configuration.
	unread   map[string]unreadUse
	sequence uint64
	// near and far are the audiences of the reports.
	near, far audience
	// speakFrom is when this instance may speak for its failure domain: a process
	// that has just started does not know who else lives there.
	speakFrom time.Duration
	// usageAt is when the use of quotas was last looked at for the store.
	usageAt      time.Duration
	usageWriting atomic.Bool
}

func newControl(g *Gateway) *control {
	b := g.settings.Bounds
	now := g.now()
	return &control{
		g: g, inbox: make(chan message, inboxSize), speakFrom: now + settleLimit + speakWait,
		pools: map[string]*admission.Pool{}, services: map[string]string{},
		waiting: map[uint64]chan admission.Decision{},
		teams: quota.NewTeams(quota.Rules{
			Window: seconds(b.QuotaWindowS), Overage: b.QuotaOverage, Slack: b.QuotaSlack,
			Fresh: loadshare.SilentAfter, Forget: peerForget, RecallWait: settleLimit,
		}, now, !g.settings.Instance.FirstStart),
		retries: quota.NewRetries(quota.RetryRules{
			Window: seconds(b.RetryWindowS), Ratio: b.RetryRatio, Extra: b.RetryExtra,
		}),
		peers:         loadshare.NewPeers(g.settings.Instance.Name, g.settings.Instance.Domain, g.power(), g.boot),
		strikes:       newStrikes(),
		upstreamNames: map[uint32]string{}, teamNames: map[uint32]string{}, unread: map[string]unreadUse{},
	}
}

// peerForget is how long a share of the quotas is left to a silent peer, which
// may be cut off and serving.
const peerForget = 30 * time.Second

func (c *control) run(ctx context.Context) {
	timer := c.g.clock.NewTimer(idleEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			m.apply(c)
			c.drain()
		case <-timer.Chan():
		}
		c.step()
		timer.Reset(c.pause())
	}
}

// drain applies what has arrived meanwhile, so that one decision covers it.
func (c *control) drain() {
	for {
		select {
		case m := <-c.inbox:
			m.apply(c)
		default:
			return
		}
	}
}

func (c *control) step() {
	now := c.g.now()
	for _, name := range c.peers.Silent(now) {
		c.g.log.Info("peer lost", "peer", name, "silent_ms", loadshare.SilentAfter.Milliseconds())
		c.g.metrics.peersLost.Inc(1)
	}
	for _, pool := range c.pools {
		for _, decision := range pool.Advance(now) {
			c.noteChange()
			if reply := c.waiting[decision.Key]; reply != nil {
				delete(c.waiting, decision.Key)
				reply <- decision
			}
		}
	}
	if c.peers.SetState(c.g.storeFails(now), c.teams.Cold(now)) {
		c.noteChange()
	}
	c.g.instances.Store(int64(c.peers.Count()))
	c.g.lead.Store(c.peers.Lead())
	c.g.isRelay.Store(c.peers.Relay() == "")
	c.g.isFirst.Store(c.peers.IsFirst())
	c.recordUsage(now)
	c.report(now)
}

func (c *control) pause() time.Duration {
	for _, pool := range c.pools {
		if pool.Waiting() > 0 {
			return queueTick
		}
	}
	if c.near.changed || c.far.changed {
		return nearPause
	}
	return idleEvery
}

// pool returns the pool of a service, which is made when it is first needed.
func (c *control) pool(name string) *admission.Pool {
	pool := c.pools[name]
	if pool == nil {
		location := admission.Location{Domain: c.g.settings.Instance.Domain, Regions: c.g.settings.Regions}
		pool = admission.NewPool(c.describe(name), location, admission.DefaultTuning(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		c.pools[name] = pool
	}
	return pool
}

func (c *control) describe(name string) admission.Service {
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
type submit struct {
	request *admission.Request
	reply   chan admission.Decision
}

func (m submit) apply(c *control) {
	c.waiting[m.request.Key] = m.reply
	c.pool(m.request.Service).Submit(m.request)
	c.noteChange()
}

// withdraw takes a request back whose caller has left. It replies whether the
// request was still waiting.
type withdraw struct {
	service string
	key     uint64
	reply   chan bool
}

func (m withdraw) apply(c *control) {
	delete(c.waiting, m.key)
	m.reply <- c.pool(m.service).Withdraw(m.key)
}

// firstOutput notes the first output of a request.
type firstOutput struct {
	service, upstream string
	key               uint64
}

func (m firstOutput) apply(c *control) {
	c.pool(m.service).FirstOutput(m.upstream, m.key)
	c.noteChange()
}

// finish ends a request at an upstream.
type finish struct {
	service, upstream string
	key               uint64
	result            admission.Result
}

func (m finish) apply(c *control) {
	c.pool(m.service).Finish(c.g.now(), m.upstream, m.key, m.result)
	c.noteChange()
}

// charge counts a request against its team's quota.
type charge struct {
	team   string
	limit  quota.Limit
	amount float64
	reply  chan quota.Verdict
}

func (m charge) apply(c *control) {
	m.reply <- c.teams.Charge(c.g.now(), m.team, m.limit, m.amount)
	c.noteChange()
}

// uncharge takes a charge back whose request did not run.
type uncharge struct {
	team   string
	amount float64
}

func (m uncharge) apply(c *control) { c.teams.Return(c.g.now(), m.team, m.amount) }

// countRequest counts a request for the retry budget of its service.
type countRequest struct{ service string }

func (m countRequest) apply(c *control) { c.retries.Request(c.g.now(), m.service) }

// repeat asks for room in the retry budget.
type repeat struct {
	service string
	reply   chan bool
}

func (m repeat) apply(c *control) {
	m.reply <- c.retries.Take(c.g.now(), m.service, c.peers.Count())
}

// strike counts an upstream that broke while it ran a request; served clears
// the count.
type strike struct {
	fingerprint uint64
	served      bool
}

func (m strike) apply(c *control) {
	if m.served {
		c.strikes.clear(m.fingerprint)
		return
	}
	c.strikes.add(c.g.now(), m.fingerprint)
	c.noteChange()
}

// isPoison asks whether a request has broken too many upstreams.
type isPoison struct {
	fingerprint uint64
	reply       chan int
}

func (m isPoison) apply(c *control) { m.reply <- c.strikes.count(c.g.now(), m.fingerprint) }

// storeUpdate carries news from the store.
type storeUpdate struct{ update storesync.Update }

func (m storeUpdate) apply(c *control) {
	switch m.update.Kind {
	case c.g.kinds.Config:
		c.updateConfig(m.update)
	case c.g.kinds.Upstreams:
		c.updateUpstreams(m.update)
	}
}
