package entry

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Events and flags of the instance chart that the code uses.
const (
	eventConfigured chart.Event = "configured"
	eventLeave      chart.Event = "leave"
	eventDrain      chart.Event = "drain"
	eventStop       chart.Event = "stop"

	flagReady   = "ready"
	flagAccepts = "accepts"
)

var instanceEvents = []chart.Event{eventConfigured, eventLeave, eventDrain, eventStop}

// Leave turns readiness off; requests are still served, because the load
// balancer sends them until it has seen it.
func (e *Entry) Leave() { e.instanceMachine.Fire(eventLeave) }

// Drain leaves and returns when no request is held any more. After the
// balancer's delay, requests that wait and requests that still come are
// refused as not run; requests that run are left to run to their end, however
// long it takes. An error is that of ctx, with requests still held.
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

// refuseWaiting closes the door and refuses what waits. The channel is closed
// when no request is held.
func (e *Entry) refuseWaiting() <-chan struct{} {
	e.mu.Lock()
	e.instanceMachine.Fire(eventDrain)
	drained := make(chan struct{})
	var waiting []*request
	for req := range e.inFlight {
		if req.stateMachine.Is(flagWaiting) {
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
