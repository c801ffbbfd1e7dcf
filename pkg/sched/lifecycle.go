package sched

import (
	"sync"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
)

// Events and flags of the upstream state chart.
const (
	eventLeave    chart.Event = "leave"
	eventReturn   chart.Event = "return"
	eventWithdraw chart.Event = "withdraw"
	eventRestore  chart.Event = "restore"
	eventRemove   chart.Event = "remove"
	flagPresent               = "present"
	flagEligible              = "eligible"
)

var upstreamEvents = []chart.Event{eventLeave, eventReturn, eventWithdraw, eventRestore, eventRemove}

var loadUpstreamChart = sync.OnceValues(func() (*chart.Chart, error) {
	loaded, err := chart.Load("upstream")
	if err != nil {
		return nil, err
	}
	return loaded, loaded.Require(upstreamEvents, []string{flagPresent, flagEligible})
})

// CheckChart reports errors in the upstream state chart. It is called at
// startup, because New cannot return an error.
func CheckChart() error {
	_, err := loadUpstreamChart()
	return err
}

// lifecycle is the state machine of an upstream. Its flags are cached, because
// every placement decision reads them for every upstream.
type lifecycle struct {
	machine  *chart.Machine
	present  bool
	eligible bool
}

func newLifecycle() lifecycle {
	// CheckChart has already reported an error at startup.
	loaded, _ := loadUpstreamChart()
	created := lifecycle{machine: loaded.NewMachine()}
	created.updateFlags()
	return created
}

// fire applies an event and reports whether the current state accepts it.
func (l *lifecycle) fire(event chart.Event) bool {
	if !l.machine.Fire(event) {
		return false
	}
	l.updateFlags()
	return true
}

func (l *lifecycle) updateFlags() {
	l.present = l.machine.HasFlag(flagPresent)
	l.eligible = l.machine.HasFlag(flagEligible)
}

// setLeaving applies the leaving flag of a load report, and reports whether the
// state changed.
func (l *lifecycle) setLeaving(leaving bool) bool {
	if leaving {
		return l.fire(eventLeave)
	}
	return l.fire(eventReturn)
}
