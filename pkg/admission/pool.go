package admission

import (
	"slices"
	"time"
)

// Service describes the upstreams of a pool.
type Service struct {
	Name string
	// Engine is true for model engines.
	Engine bool
	// Slots is the number of requests that an upstream runs at once, if the
	// upstreams do not say so themselves.
	Slots int
	// EventTokens is the number of tokens in an engine's first output.
	EventTokens int
}

// Location is where an instance stands.
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
	// order lists the upstreams by name, so that equal choices are stable.
	order   []*upstream
	waiting []*Request
}

// NewPool returns a pool without upstreams.
func NewPool(service Service, location Location, tuning Tuning) *Pool {
	return &Pool{service: service, location: location, tuning: tuning, upstreams: map[string]*upstream{}}
}

// SetService changes what is known of the service.
func (p *Pool) SetService(service Service) {
	p.service = service
	for _, u := range p.upstreams {
		u.describe(service)
	}
}

// SetUpstream adds an upstream or changes what it says of itself.
func (p *Pool) SetUpstream(info Info) {
	u := p.upstreams[info.ID]
	if u == nil || u.info.Incarnation != info.Incarnation || u.info.Address != info.Address {
		u = &upstream{info: info, peers: map[string]peerLoad{}}
		p.upstreams[info.ID] = u
		p.sort()
	}
	u.info = info
	u.describe(p.service)
}

func (u *upstream) describe(service Service) {
	u.engine, u.stride = service.Engine, service.EventTokens
	u.slots = max(1, service.Slots)
	if u.info.Slots > 0 {
		u.slots = u.info.Slots
	}
}

// RemoveUpstream forgets an upstream.
func (p *Pool) RemoveUpstream(id string) {
	delete(p.upstreams, id)
	p.sort()
}

func (p *Pool) sort() {
	p.order = p.order[:0]
	for _, u := range p.upstreams {
		p.order = append(p.order, u)
	}
	slices.SortFunc(p.order, func(a, b *upstream) int { return compareStrings(a.info.ID, b.info.ID) })
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

// SetPeerLoad replaces what a peer has at this pool's upstreams.
func (p *Pool) SetPeerLoad(now time.Duration, peer string, loads map[string]Load) {
	for id, u := range p.upstreams {
		if load, found := loads[id]; found {
			u.peers[peer] = peerLoad{load: load, reported: now}
		} else {
			delete(u.peers, peer)
		}
	}
}

// OwnLoad returns what this instance has at each upstream and knows of it.
func (p *Pool) OwnLoad(into map[string]Load) {
	for id, u := range p.upstreams {
		if len(u.flights) == 0 && u.samples == 0 {
			continue
		}
		into[id] = Load{InFlight: len(u.flights), AwaitedTokens: u.awaited(), Speed: u.speed, Samples: u.samples}
	}
}

// Submit adds a request to the queue.
func (p *Pool) Submit(request *Request) { p.waiting = append(p.waiting, request) }

// Withdraw removes a request from the queue; it reports whether it was there.
func (p *Pool) Withdraw(key uint64) bool {
	for i, r := range p.waiting {
		if r.Key == key {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			return true
		}
	}
	return false
}

// Waiting is the length of the queue.
func (p *Pool) Waiting() int { return len(p.waiting) }

// FirstOutput notes that a request has had its first output.
func (p *Pool) FirstOutput(upstreamID string, key uint64) {
	if f := p.flight(upstreamID, key); f != nil {
		f.output = true
	}
}

func (p *Pool) flight(upstreamID string, key uint64) *flight {
	u := p.upstreams[upstreamID]
	if u == nil {
		return nil
	}
	for i := range u.flights {
		if u.flights[i].key == key {
			return &u.flights[i]
		}
	}
	return nil
}

// Result is what a finished request showed.
type Result struct {
	Outcome Outcome
	// EventGap is the shortest usual time between two events of a stream, and
	// Total the time to the whole answer of a plain service; 0 if unknown.
	EventGap time.Duration
	Total    time.Duration
}

// Finish ends a request at an upstream.
func (p *Pool) Finish(now time.Duration, upstreamID string, key uint64, result Result) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return
	}
	running := len(u.flights)
	found := false
	for i := range u.flights {
		if u.flights[i].key == key {
			u.flights = slices.Delete(u.flights, i, i+1)
			found = true
			break
		}
	}
	if !found {
		// The upstream has started anew since.
		return
	}
	switch result.Outcome {
	case Answered:
		u.pauses = 0
		u.observeFailure(now, false)
		p.learn(now, u, running, result)
	case Failed:
		u.pauses = 0
		u.observeFailure(now, true)
	case Rejected:
		u.fullUntil = now + fullPause
	case Unreachable, Broken:
		u.observeFailure(now, true)
		u.pause(now)
	case Cancelled, Withdrawn:
	}
}

func (p *Pool) learn(now time.Duration, u *upstream, running int, result Result) {
	switch {
	case u.engine && result.EventGap > 0:
		inFlight, _, _ := u.load(now, p.tuning.PeerTimeout)
		step := p.tuning.StepMs + p.tuning.StepMsPerRequest*float64(max(running, inFlight))
		u.observeSpeed(step * float64(max(1, u.stride)) / toMs(result.EventGap))
	case !u.engine && result.Total > 0:
		u.observeSpeed(p.tuning.PlainMs / toMs(result.Total))
	}
}
