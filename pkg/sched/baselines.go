package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// A baselinePolicy is a simple load balancer for comparison: it sends each
// request at once to one of the upstreams that serve it, and engines do the
// queueing. Absent, leaving and recently failed upstreams get nothing, as with
// health checks. The number of outstanding requests is bounded by what the
// default policy admits: the sum of the request limits and the queue length.
// Tiers, teams, prefixes and deadlines are ignored.
type baselinePolicy func(p *Pool, upstreams []*upstream) *upstream

var baselinePolicies = map[string]baselinePolicy{
	PolicyRandom:     chooseRandom,
	PolicyRoundRobin: chooseRoundRobin,
	PolicyLeastLoad:  chooseLeastLoad,
	PolicyPowerOfTwo: choosePowerOfTwo,
}

func chooseRandom(p *Pool, upstreams []*upstream) *upstream {
	return upstreams[p.config.Random.IntN(len(upstreams))]
}

func chooseRoundRobin(p *Pool, upstreams []*upstream) *upstream {
	p.rotation++
	return upstreams[p.rotation%len(upstreams)]
}

// chooseLeastLoad chooses the lowest reported load, with ties broken at random.
func chooseLeastLoad(p *Pool, upstreams []*upstream) *upstream {
	var best *upstream
	ties := 0
	for _, u := range upstreams {
		load := u.load.Running + u.load.Waiting
		switch {
		case best == nil || load < best.load.Running+best.load.Waiting:
			best = u
			ties = 1
		case load == best.load.Running+best.load.Waiting:
			ties++
			if p.config.Random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

// choosePowerOfTwo draws two upstreams and chooses the one with fewer granted
// requests. The pool's own count is fresher than any load report.
func choosePowerOfTwo(p *Pool, upstreams []*upstream) *upstream {
	a := chooseRandom(p, upstreams)
	b := chooseRandom(p, upstreams)
	if b.requests < a.requests {
		return b
	}
	return a
}

// acquireBaseline grants or refuses a request at once.
func (p *Pool) acquireBaseline(now time.Time, request Request, m *model, d *Decisions) {
	usable := p.usableScratch[:0]
	limit := p.config.MaxQueuedRequests
	for _, u := range m.upstreams {
		if !u.eligible() {
			continue
		}
		limit += u.maxRequests
		if now.UnixNano() >= u.backoffUntil {
			usable = append(usable, u)
		}
	}
	p.usableScratch = usable
	if len(usable) == 0 {
		d.refuse(request, errkind.NoUpstream, "no upstream that serves "+request.Work.Model+" accepts new requests")
		return
	}
	if len(p.grants) >= limit {
		d.refuse(request, errkind.Overloaded, "too many requests in flight")
		return
	}
	p.prefixes.match(&request.Work)
	c := p.newCandidate(now, &request)
	p.issueGrant(now, &request, m, placement{best: p.baselinePolicy(p, usable)}, &c, d)
}
