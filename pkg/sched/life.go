package sched

import (
	"sync"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
)

// Events and flags of the upstream chart.
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

// CheckChart reports what is wrong with the upstream chart. It is called at
// start, because New cannot fail.
func CheckChart() error {
	_, err := loadUpstreamChart()
	return err
}

// life is the state of an upstream. The flags are kept beside the machine,
// because every decision reads them for every upstream.
type life struct {
	machine  *chart.Machine
	present  bool
	eligible bool
}

func newLife() life {
	// CheckChart has reported an error at start.
	loaded, _ := loadUpstreamChart()
	l := life{machine: loaded.New()}
	l.read()
	return l
}

// fire applies an event and reports whether the state allows it.
func (l *life) fire(event chart.Event) bool {
	if !l.machine.Fire(event) {
		return false
	}
	l.read()
	return true
}

func (l *life) read() {
	l.present = l.machine.Is(flagPresent)
	l.eligible = l.machine.Is(flagEligible)
}

// report applies what a load report says about leaving, and reports whether
// the state has changed.
func (l *life) report(leaving bool) bool {
	if leaving {
		return l.fire(eventLeave)
	}
	return l.fire(eventReturn)
}
