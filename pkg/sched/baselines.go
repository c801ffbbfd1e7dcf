package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// A baseline is a simple balancer: it sends each request at once to one of the
// upstreams that serve it, and the engines queue. It has what a simple
// balancer has: health checks (withdrawn, leaving and broken upstreams get
// nothing), and a bound on all that is outstanding, equal to the requests that
// the product's own policy admits (the sum of the request limits and the
// length of its queue). It knows no tiers, teams, prefixes or deadlines.
type baseline func(p *Pool, upstreams []*upstream) *upstream

var baselines = map[string]baseline{
	PolicyRandom:     chooseRandom,
	PolicyRoundRobin: chooseRoundRobin,
	PolicyLeastLoad:  chooseLeastLoad,
	PolicyPowerOfTwo: choosePowerOfTwo,
}

func chooseRandom(p *Pool, upstreams []*upstream) *upstream {
	return upstreams[p.config.Random.IntN(len(upstreams))]
}

func chooseRoundRobin(p *Pool, upstreams []*upstream) *upstream {
	p.turn++
	return upstreams[p.turn%len(upstreams)]
}

// chooseLeastLoad takes the lowest load as reported; ties are broken at random.
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

// choosePowerOfTwo draws two and takes the one with fewer requests in flight
// by its own count, which is fresher than any report.
func choosePowerOfTwo(p *Pool, upstreams []*upstream) *upstream {
	a := chooseRandom(p, upstreams)
	b := chooseRandom(p, upstreams)
	if b.requests < a.requests {
		return b
	}
	return a
}

// acquireBaseline grants or refuses at once.
func (p *Pool) acquireBaseline(now time.Time, request Request, m *model, d *Decisions) {
	usable := p.scratch[:0]
	limit := p.config.QueueRequests
	for _, u := range m.upstreams {
		if !u.open() {
			continue
		}
		limit += u.maxRequests
		if now.UnixNano() >= u.avoidUntil {
			usable = append(usable, u)
		}
	}
	p.scratch = usable
	if len(usable) == 0 {
		d.refuse(request, errkind.NoUpstream, "no upstream for "+request.Work.Model+" takes new work")
		return
	}
	if len(p.grants) >= limit {
		d.refuse(request, errkind.Overloaded, "too many requests in flight")
		return
	}
	p.prefixes.match(&request.Work)
	c := p.candidate(now, &request)
	p.grant(now, &request, m, placement{best: p.baseline(p, usable)}, &c, d)
}
