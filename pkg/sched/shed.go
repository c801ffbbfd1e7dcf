package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// shedExcess refuses requests until the queue is within its bounds again. The
// lowest tier is refused first; within it, the newest request of the team with
// the most waiting tokens relative to its weight, so that a team that sends too
// much displaces only its own requests.
func (p *Pool) shedExcess(d *Decisions) {
	for p.queue.len() > p.config.MaxQueuedRequests || (p.queue.tokens > p.config.MaxQueuedTokens && p.queue.len() > 1) {
		victim := p.shedVictim()
		p.refuseWaiting(victim, errkind.Overloaded, "the queue of the pool is full", d)
	}
}

func (p *Pool) shedVictim() *queuedRequest {
	var heaviest *flow
	for _, f := range p.queue.lowestWaitingTier().activeFlows {
		if heaviest == nil || float64(f.queuedTokens)/f.weight > float64(heaviest.queuedTokens)/heaviest.weight {
			heaviest = f
		}
	}
	return heaviest.requests.Back().Value.(*queuedRequest)
}

// refuseExpired refuses the waiting requests whose deadline has passed, and
// those that not even an idle upstream could serve before their deadline. A
// request that is late only because of load is left to handleUnmeetable, which
// may keep it in the queue until its deadline.
func (p *Pool) refuseExpired(now time.Time, d *Decisions) {
	for len(p.queue.expiries) > 0 {
		w := p.queue.expiries[0]
		if w.expiresAt.After(now) {
			return
		}
		if now.Before(w.request.Deadline) {
			// Only time is short here, not capacity: refusing lower tiers would
			// not help.
			p.refuseWaiting(w, errkind.DeadlineUnmeetable, "too little time is left before the deadline to process the prompt", d)
			continue
		}
		p.refuseWaiting(w, errkind.DeadlineExceeded, "the deadline passed while the request was queued", d)
	}
}

func (p *Pool) refuseWaiting(w *queuedRequest, kind errkind.Kind, message string, d *Decisions) {
	p.dequeue(w)
	d.refuse(w.request, kind, message)
}

func (d *Decisions) refuse(request Request, kind errkind.Kind, message string) {
	d.Refusals = append(d.Refusals, Refusal{
		RequestID: request.ID,
		Holder:    request.Holder,
		Kind:      kind,
		Message:   message,
	})
}
