package chart

import (
	"context"
	"fmt"
	"sync"

	"github.com/qmuntal/stateless"
)

// Machine is a state machine that follows a chart. Its methods are safe for
// concurrent use: if several events exclude each other, exactly one is accepted.
type Machine struct {
	// Context makes the Machine usable as the context through which the shared
	// state machine accesses its state, without an allocation per event.
	context.Context
	chart *Chart
	mu    sync.Mutex
	state stateless.State
}

// NewMachine returns a machine in the initial state of the chart.
func (c *Chart) NewMachine() *Machine {
	return &Machine{Context: context.Background(), chart: c, state: c.initial}
}

// Fire applies the event if the current state permits it, and reports whether it
// did.
func (m *Machine) Fire(event Event) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fire(event)
}

// FireIf applies the event if the current state permits it and check returns
// nil. No other event is applied in between. check must not use the machine.
func (m *Machine) FireIf(event Event, check func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if permitted, err := m.chart.machine.CanFireCtx(m, event); err != nil || !permitted {
		return fmt.Errorf("chart %s: event %s is not permitted in state %s", m.chart.name, event, m.state)
	}
	if err := check(); err != nil {
		return err
	}
	m.fire(event)
	return nil
}

func (m *Machine) fire(event Event) bool {
	return m.chart.machine.FireCtx(m, event) == nil
}

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, _ := m.state.(State)
	return state
}

// HasFlag reports whether the current state has the flag set.
func (m *Machine) HasFlag(flag string) bool {
	return m.chart.byName[m.State()].flags[flag]
}

// Final reports whether the current state is final.
func (m *Machine) Final() bool {
	return m.chart.byName[m.State()].final
}
