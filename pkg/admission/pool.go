package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/worklimit"
)

// Service describes the service whose requests a pool schedules.
type Service struct {
	Name string
	// Engine is true if the upstreams are model engines.
	Engine bool
	// Slots is the number of requests that an upstream runs at once. It applies to
	// upstreams that announce no number of their own.
	Slots int
	// TokensPerEvent is the number of tokens in one output event of an engine.
	TokensPerEvent int
}

// Location is the failure domain of an instance and the regions of all domains.
type Location struct {
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// Pool schedules the requests of one service at one instance.
type Pool struct {
	service   Service
	location  Location
	tuning    Tuning
	upstreams map[string]*upstream
	// sorted lists the upstreams by ID, which makes the choice deterministic.
	sorted []*upstream
	// peers holds the last report of each peer.
	peers map[string]peerRecord
	queue []*Request
	// earlierWaits is true, within a pass over the queue, once a request that could still
	// begin in time has found no room.
	earlierWaits bool
	// slotTimeMs is the moving average of the time that a request occupies a slot,
	// scaled to an engine of speed 1.
	slotTimeMs float64
	// meanSpeed is the mean of the estimated speeds, as of speedsAveragedAt.
	meanSpeed        float64
	speedsAveragedAt time.Duration
	random           *rand.Rand
	// quietUntil holds the ends of the quiet times by process.
	quietUntil map[Process]time.Duration
	allocation allocation
	versions   versionState
	shares     teamShares
	tiers      tierState
	// overdue lists the upstreams of requests that became overdue.
	overdue []string
	// calibration and limitMoves are used if limits are learned.
	calibration worklimit.Calibration
	limitMoves  []LimitMove
	// link bounds what is placed in other regions; nil for no bound. linkNeeded is true if an
	// upstream is there, and linkShut if no queued request may cross the link to it.
	link                 *RegionLink
	linkNeeded, linkShut bool
}

// PeerState is the load and the demand that a peer reports, for itself or as the
// sum of another failure domain.
type PeerState struct {
	// RemoteDomain is true for the sum of another failure domain.
	RemoteDomain bool
	// Demand is the capacity, in requests, that the sender needs within an
	// allocation interval.
	Demand int
	Loads  map[string]Load
}

// peerRecord holds the last known state of a peer.
type peerRecord struct {
	reported     time.Duration
	remoteDomain bool
	demand       int
	loads        map[string]Load
}

// NewPool returns a pool without upstreams. random must be seeded differently at
// each instance.
func NewPool(service Service, location Location, tuning Tuning, random *rand.Rand) *Pool {
	return &Pool{random: random, service: service, location: location, tuning: tuning, upstreams: map[string]*upstream{}, peers: map[string]peerRecord{}, quietUntil: map[Process]time.Duration{}, shares: newTeamShares(), tiers: newTierState(), slotTimeMs: initialSlotTimeMs, meanSpeed: defaultSpeed}
}

// SetService updates the description of the service.
func (p *Pool) SetService(service Service) {
	p.service = service
	for _, u := range p.upstreams {
		u.applyService(service)
	}
}

// SetUpstream adds or updates an upstream. A new incarnation or address discards
// what is known of the former process, except its quiet time.
func (p *Pool) SetUpstream(info UpstreamInfo) {
	u := p.upstreams[info.ID]
	if u == nil || u.info.Incarnation != info.Incarnation || u.info.Address != info.Address {
		u = &upstream{info: info, assumedSpeed: p.meanSpeed}
		for _, report := range p.peers {
			u.addPeerLoad(report, info.ID)
		}
		p.applyQuiet(u)
		p.upstreams[info.ID] = u
		p.sortUpstreams()
	}
	moved := u.info.Version != info.Version
	u.info = info
	u.applyService(p.service)
	if moved {
		p.countVersions()
	}
}

func (u *upstream) applyService(service Service) {
	u.engine, u.tokensPerEvent = service.Engine, service.TokensPerEvent
	u.slots = max(1, service.Slots)
	if u.info.Slots > 0 {
		u.slots = u.info.Slots
	}
}

// RemoveUpstream removes an upstream.
func (p *Pool) RemoveUpstream(id string) {
	delete(p.upstreams, id)
	p.sortUpstreams()
}

func (p *Pool) sortUpstreams() {
	p.sorted = p.sorted[:0]
	for _, u := range p.upstreams {
		p.sorted = append(p.sorted, u)
	}
	slices.SortFunc(p.sorted, func(a, b *upstream) int { return compareStrings(a.info.ID, b.info.ID) })
	p.countVersions()
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// SetPeer replaces the state of a peer.
func (p *Pool) SetPeer(now time.Duration, peer string, state PeerState) {
	p.dropPeer(peer)
	p.UpdatePeer(now, peer, state)
}

// UpdatePeer applies a partial report: it replaces the demand and the loads of the
// upstreams that the report names.
func (p *Pool) UpdatePeer(now time.Duration, peer string, state PeerState) {
	report := p.peers[peer]
	if report.loads == nil {
		report.loads = map[string]Load{}
	}
	if report.remoteDomain != state.RemoteDomain && len(report.loads) > 0 {
		p.dropPeer(peer)
		report.loads = map[string]Load{}
	}
	report.reported, report.remoteDomain, report.demand = now, state.RemoteDomain, state.Demand
	for id, load := range state.Loads {
		u := p.upstreams[id]
		if u != nil {
			u.removePeerLoad(report, id)
		}
		report.loads[id] = load
		if u != nil {
			u.addPeerLoad(report, id)
		}
	}
	p.peers[peer] = report
}

func (p *Pool) dropPeer(peer string) {
	report := p.peers[peer]
	for id := range report.loads {
		if u := p.upstreams[id]; u != nil {
			u.removePeerLoad(report, id)
		}
	}
	delete(p.peers, peer)
}

// expirePeers removes peers whose last report is older than ReportTimeout, and
// returns the age of the oldest remaining report.
func (p *Pool) expirePeers(now time.Duration) (oldest time.Duration) {
	for peer, report := range p.peers {
		age := now - report.reported
		if age > p.tuning.ReportTimeout {
			p.dropPeer(peer)
			continue
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// Scope selects the instances whose loads are summed up.
type Scope int

// Scopes.
const (
	// OwnLoad is the load of this instance.
	OwnLoad Scope = iota
	// DomainLoad adds the loads of the peers of its failure domain.
	DomainLoad
	// FleetLoad adds the loads of all peers.
	FleetLoad
)

// CollectLoads writes the load of the instances in scope at each upstream to dst.
func (p *Pool) CollectLoads(now time.Duration, dst map[string]Load, scope Scope) {
	for id, u := range p.upstreams {
		if load, found := u.loadOf(scope, p.reportsEjection(now, u)); found {
			dst[id] = load
		}
	}
}

// loadOf returns the load of the instances in scope, and false if there is neither a
// load nor an estimate of the speed.
func (u *upstream) loadOf(scope Scope, ejected bool) (Load, bool) {
	sum := loadSum{}
	sum.add(Load{InFlight: len(u.requests), PendingPrefillTokens: u.pendingPrefillTokens(), Speed: u.speed, Samples: u.samples, Ejected: ejected})
	switch scope {
	case OwnLoad:
	case DomainLoad:
		sum.merge(u.domainLoad)
	case FleetLoad:
		sum.merge(u.peerLoad)
	}
	if scope != OwnLoad {
		granted, tokens := u.grantedLoad()
		sum.inFlight, sum.pendingPrefillTokens = sum.inFlight+granted, sum.pendingPrefillTokens+tokens
	}
	if sum.inFlight == 0 && sum.samples == 0 && sum.ejections == 0 {
		return Load{}, false
	}
	load := Load{InFlight: sum.inFlight, PendingPrefillTokens: sum.pendingPrefillTokens, Samples: sum.samples, Ejected: sum.ejections > 0}
	if sum.samples > 0 {
		load.Speed = sum.speed / sum.samples
	}
	return load, true
}

// Demand returns the capacity, in requests, that this instance needs within an
// allocation interval. With includePeers, the demand of the peers of its failure
// domain is added.
func (p *Pool) Demand(includePeers bool) int {
	demand := p.demand()
	for _, report := range p.peers {
		if includePeers && !report.remoteDomain {
			demand += report.demand
		}
	}
	return demand
}

// Submit adds a request to the queue.
func (p *Pool) Submit(request *Request) {
	p.queue = append(p.queue, request)
	p.allocation.submitted++
	p.tiers.recordAsked(request.Arrived, request.Tier, p.engineTimeMs(request))
}

// Dequeue removes a request from the queue and reports whether it was queued.
func (p *Pool) Dequeue(key uint64) bool {
	for i, r := range p.queue {
		if r.Key == key {
			p.queue = slices.Delete(p.queue, i, i+1)
			return true
		}
	}
	return false
}

// QueueLength returns the length of the queue.
func (p *Pool) QueueLength() int { return len(p.queue) }

// RecordFirstOutput records that the first output of a request has arrived.
func (p *Pool) RecordFirstOutput(upstreamID string, key uint64) {
	if request := p.findRequest(upstreamID, key); request != nil {
		request.hasOutput = true
	}
}

func (p *Pool) findRequest(upstreamID string, key uint64) *runningRequest {
	u := p.upstreams[upstreamID]
	if u == nil {
		return nil
	}
	for i := range u.requests {
		if u.requests[i].key == key {
			return &u.requests[i]
		}
	}
	return nil
}

// Result describes a finished request.
type Result struct {
	Outcome Outcome
	// EventInterval is the typical interval between two events of a stream, from its
	// shortest intervals; 0 if unknown.
	EventInterval time.Duration
	// TotalTime is the time to the complete answer; 0 if unknown.
	TotalTime time.Duration
	// QuietTime is the time for which the upstream wants no request of this instance.
	QuietTime time.Duration
	// Process is the process that the request was sent to. If it is empty, that of the
	// record is meant.
	Process Process
}

// Finish removes a request from its upstream and updates the estimates of the
// upstream's speed and failure rate.
func (p *Pool) Finish(now time.Duration, upstreamID string, key uint64, result Result) {
	u := p.upstreams[upstreamID]
	if result.Process == (Process{}) && u != nil {
		result.Process = u.info.Process()
	}
	if result.QuietTime > 0 {
		p.SetQuiet(now, result.Process, result.QuietTime)
	}
	if u == nil {
		return
	}
	running := len(u.requests)
	found := false
	for i := range u.requests {
		if u.requests[i].key == key {
			u.requests = slices.Delete(u.requests, i, i+1)
			found = true
			break
		}
	}
	if !found {
		// The upstream was restarted after the request was placed.
		return
	}
	u.recordRelease(now)
	p.observe(now, u, running, result)
}

// observe updates the estimates of an upstream by the result of a request. running is
// the number of this instance's requests there, the finished one included.
func (p *Pool) observe(now time.Duration, u *upstream, running int, result Result) {
	switch result.Outcome {
	case Answered:
		u.recordAnswer(now)
		p.updateEstimates(u, running, result)
		p.learnFromAnswer(now, u, result)
	case Failed:
		p.recordFailedAnswer(now, u)
	case Rejected:
		u.fullUntil = now + rejectionBackoff
	case Unreachable, Broken:
		u.observeFailure(now, true)
		if result.Outcome == Broken && u.isolatedLoss(now) {
			return
		}
		u.backOff(now)
	case Overdue:
		u.observeOverdue()
	case Cancelled, NotSent:
	}
}

func (p *Pool) updateEstimates(u *upstream, running int, result Result) {
	if u.engine && result.TotalTime > 0 {
		p.slotTimeMs += slotTimeWeight * (toMs(result.TotalTime)*u.estimatedSpeed() - p.slotTimeMs)
	}
	switch {
	case u.engine && result.EventInterval > 0:
		inFlight, _ := u.load()
		step := p.tuning.DecodeStepMs + p.tuning.DecodeStepMsPerRequest*float64(max(running, inFlight))
		u.observeSpeed(step * float64(max(1, u.tokensPerEvent)) / toMs(result.EventInterval))
	case !u.engine && result.TotalTime > 0:
		u.observeSpeed(p.tuning.PlainServiceMs / toMs(result.TotalTime))
	}
}
