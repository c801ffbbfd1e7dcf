package entry

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Events and flags of the instance state chart.
const (
	eventConfigured chart.Event = "configured"
	eventLeave      chart.Event = "leave"
	eventDrain      chart.Event = "drain"
	eventStop       chart.Event = "stop"

	flagReady   = "ready"
	flagAccepts = "accepts"
)

var instanceEvents = []chart.Event{eventConfigured, eventLeave, eventDrain, eventStop}

// Leave makes the instance unready. It still serves requests, since the load
// balancer sends them until it notices.
func (e *Entry) Leave() { e.instanceMachine.Fire(eventLeave) }

// Drain leaves, waits for the load balancer delay, refuses waiting and new
// requests as not run, and returns when no request is in flight. Dispatched
// requests run to their end, however long that takes. If ctx ends first, it
// returns the error of ctx.
func (e *Entry) Drain(ctx context.Context) error {
	e.Leave()
	timer := e.Clock.NewTimer(e.Settings.Drain.BalancerDelay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
		return ctx.Err()
	}
	drained := e.refuseWaiting()
	select {
	case <-drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	e.instanceMachine.Fire(eventStop)
	return nil
}

// refuseWaiting stops accepting requests and refuses those not yet dispatched.
// The returned channel is closed when no request is in flight.
func (e *Entry) refuseWaiting() <-chan struct{} {
	e.mu.Lock()
	e.instanceMachine.Fire(eventDrain)
	drained := make(chan struct{})
	var waiting []*request
	for req := range e.inFlight {
		if req.stateMachine.HasFlag(flagWaiting) {
			waiting = append(waiting, req)
		}
	}
	if len(e.inFlight) == 0 {
		close(drained)
	} else {
		e.drained = drained
	}
	e.mu.Unlock()
	for _, req := range waiting {
		req.refuse(errkind.New(errkind.ShuttingDown, "the instance is leaving"))
	}
	return drained
}
