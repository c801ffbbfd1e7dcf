package sched

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// shed makes the queue keep its bounds after a request was added. The lowest
// tier is refused first. Within it, the newest request of the team that has
// the most tokens waiting for its weight is refused, so that a team that sends
// too much displaces its own requests only.
func (p *Pool) shed(d *Decisions) {
	for p.queue.len() > p.config.QueueRequests || (p.queue.tokens > p.config.QueueTokens && p.queue.len() > 1) {
		victim := p.victim()
		p.refuseWaiting(victim, errkind.Overloaded, "the queue is full", d)
	}
}

func (p *Pool) victim() *waiting {
	var heaviest *account
	for _, a := range p.queue.lowest().active {
		if heaviest == nil || float64(a.tokens)/a.weight > float64(heaviest.tokens)/heaviest.weight {
			heaviest = a
		}
	}
	return heaviest.recent.Back().Value.(*waiting)
}

// expire refuses the waiting requests whose deadline can no longer be met.
// A request that not even an idle upstream could serve in time is refused as
// unmeetable. One that is late because of load is refused early only if no
// request of a lower tier waits; otherwise it keeps its place up to its
// deadline, so that it is not refused for capacity before a lower tier.
func (p *Pool) expire(now time.Time, d *Decisions) {
	for len(p.queue.deadlines) > 0 {
		w := p.queue.deadlines[0]
		if w.giveUp.After(now) {
			return
		}
		if now.Before(w.request.Deadline) {
			// Time alone is short here, not capacity: shedding lower tiers
			// would not help.
			p.refuseWaiting(w, errkind.DeadlineUnmeetable, "too little time is left for the prompt", d)
			continue
		}
		p.refuseWaiting(w, errkind.DeadlineExceeded, "the deadline passed in the queue", d)
	}
}

func (p *Pool) refuseWaiting(w *waiting, kind errkind.Kind, message string, d *Decisions) {
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
