// Package chart interprets state charts: text files that define states, the
// flags of each state, and the events that lead from one state to another.
package chart

import (
	"bufio"
	"context"
	"embed"
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/qmuntal/stateless"
)

//go:embed charts/*.chart
var files embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

type stateInfo struct {
	name    State
	initial bool
	final   bool
	flags   map[string]bool
}

type transition struct {
	event    Event
	from, to State
}

// Chart is a checked chart. It is immutable and safe for concurrent use.
type Chart struct {
	name        string
	flags       []string
	states      []stateInfo
	byName      map[State]*stateInfo
	transitions []transition
	events      map[Event]bool
	initial     State
	// machine is shared: the state lives in the Machine that is passed as context.
	machine *stateless.StateMachine
}

// Load returns the embedded chart with the given name.
func Load(name string) (*Chart, error) {
	text, err := files.ReadFile("charts/" + name + ".chart")
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", name, err)
	}
	return Parse(name, string(text))
}

// Names returns the names of the embedded charts, sorted.
func Names() []string {
	entries, err := files.ReadDir("charts")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".chart"))
	}
	sort.Strings(names)
	return names
}

// Parse reads and checks a chart. The error lists every fault, one per line.
func Parse(name, text string) (*Chart, error) {
	c := &Chart{byName: map[State]*stateInfo{}, events: map[Event]bool{}}
	var faults []error
	scanner := bufio.NewScanner(strings.NewReader(text))
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(strings.SplitN(scanner.Text(), "#", 2)[0])
		if len(fields) == 0 {
			continue
		}
		if err := c.readLine(fields); err != nil {
			faults = append(faults, fmt.Errorf("chart %s: line %d: %w", name, line, err))
		}
	}
	if err := scanner.Err(); err != nil {
		faults = append(faults, fmt.Errorf("chart %s: %w", name, err))
	}
	for i := range c.states {
		c.byName[c.states[i].name] = &c.states[i]
	}
	for _, err := range c.check() {
		faults = append(faults, fmt.Errorf("chart %s: %w", name, err))
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	c.machine = c.build()
	return c, nil
}

func (c *Chart) readLine(fields []string) error {
	switch fields[0] {
	case "chart":
		if len(fields) != 2 || c.name != "" {
			return errors.New("expected one line 'chart NAME'")
		}
		c.name = fields[1]
	case "flags":
		c.flags = append(c.flags, fields[1:]...)
	case "state":
		return c.readState(fields[1:])
	case "on":
		return c.readTransition(fields[1:])
	default:
		return fmt.Errorf("unknown word %q, expected chart, flags, state or on", fields[0])
	}
	return nil
}

func (c *Chart) readState(fields []string) error {
	if len(fields) == 0 {
		return errors.New("a state needs a name")
	}
	info := stateInfo{name: State(fields[0]), flags: map[string]bool{}}
	for _, field := range fields[1:] {
		key, value, isFlag := strings.Cut(field, "=")
		switch {
		case field == "initial":
			info.initial = true
		case field == "final":
			info.final = true
		case isFlag && (value == "yes" || value == "no"):
			info.flags[key] = value == "yes"
		default:
			return fmt.Errorf("state %s: %q is not initial, final or FLAG=yes|no", info.name, field)
		}
	}
	c.states = append(c.states, info)
	return nil
}

func (c *Chart) readTransition(fields []string) error {
	// EVENT FROM... -> TO
	n := len(fields)
	if n < 4 || fields[n-2] != "->" {
		return errors.New("expected 'on EVENT FROM... -> TO'")
	}
	event, to := Event(fields[0]), State(fields[n-1])
	for _, from := range fields[1 : n-2] {
		c.transitions = append(c.transitions, transition{event, State(from), to})
	}
	c.events[event] = true
	return nil
}

func (c *Chart) check() []error {
	var faults []error
	if c.name == "" {
		faults = append(faults, errors.New("no line 'chart NAME'"))
	}
	faults = append(faults, c.checkStates()...)
	faults = append(faults, c.checkTransitions()...)
	if len(faults) > 0 {
		return faults
	}
	return c.checkReachability()
}

func (c *Chart) checkStates() []error {
	var faults []error
	seen := map[State]bool{}
	initials := 0
	for _, state := range c.states {
		if seen[state.name] {
			faults = append(faults, fmt.Errorf("state %s is defined twice", state.name))
		}
		seen[state.name] = true
		if state.initial {
			initials++
			c.initial = state.name
		}
		for _, flag := range c.flags {
			if _, set := state.flags[flag]; !set {
				faults = append(faults, fmt.Errorf("state %s does not set the flag %s", state.name, flag))
			}
		}
		if len(state.flags) > len(c.flags) {
			faults = append(faults, fmt.Errorf("state %s sets a flag that the line 'flags' does not name", state.name))
		}
	}
	if initials != 1 {
		faults = append(faults, fmt.Errorf("%d initial states, expected 1", initials))
	}
	return faults
}

func (c *Chart) checkTransitions() []error {
	var faults []error
	type source struct {
		event Event
		from  State
	}
	seen := map[source]bool{}
	for _, t := range c.transitions {
		for _, state := range []State{t.from, t.to} {
			if c.byName[state] == nil {
				faults = append(faults, fmt.Errorf("event %s: unknown state %s", t.event, state))
			}
		}
		if seen[source{t.event, t.from}] {
			faults = append(faults, fmt.Errorf("event %s has two targets from state %s", t.event, t.from))
		}
		seen[source{t.event, t.from}] = true
		if from := c.byName[t.from]; from != nil && from.final {
			faults = append(faults, fmt.Errorf("event %s leaves the final state %s", t.event, t.from))
		}
	}
	return faults
}

func (c *Chart) checkReachability() []error {
	var faults []error
	forward, backward := map[State][]State{}, map[State][]State{}
	for _, t := range c.transitions {
		forward[t.from] = append(forward[t.from], t.to)
		backward[t.to] = append(backward[t.to], t.from)
	}
	var finals []State
	for _, state := range c.states {
		if state.final {
			finals = append(finals, state.name)
		}
	}
	fromInitial, toFinal := closure(forward, c.initial), closure(backward, finals...)
	for _, state := range c.states {
		if !fromInitial[state.name] {
			faults = append(faults, fmt.Errorf("state %s is unreachable", state.name))
		}
		if len(finals) > 0 && !toFinal[state.name] {
			faults = append(faults, fmt.Errorf("state %s has no way to a final state", state.name))
		}
	}
	return faults
}

func closure(edges map[State][]State, start ...State) map[State]bool {
	reached := map[State]bool{}
	for queue := start; len(queue) > 0; queue = queue[1:] {
		if reached[queue[0]] {
			continue
		}
		reached[queue[0]] = true
		queue = append(queue, edges[queue[0]]...)
	}
	return reached
}

func (c *Chart) build() *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return ctx.(*Machine).state, nil
		},
		func(ctx context.Context, state stateless.State) error {
			ctx.(*Machine).state = state
			return nil
		},
		stateless.FiringImmediate)
	refused := errors.New("event not possible in this state")
	machine.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error {
		return refused
	})
	for _, state := range c.states {
		machine.Configure(state.name)
	}
	for _, t := range c.transitions {
		if t.from == t.to {
			machine.Configure(t.from).PermitReentry(t.event)
			continue
		}
		machine.Configure(t.from).Permit(t.event, t.to)
	}
	return machine
}

// HasFlag reports whether the chart declares the flag.
func (c *Chart) HasFlag(flag string) bool {
	for _, declared := range c.flags {
		if declared == flag {
			return true
		}
	}
	return false
}

// Require returns an error that names the events, flags and states that code
// uses and the chart lacks, so that a mismatch is found at start.
func (c *Chart) Require(events []Event, flags []string, states ...State) error {
	var faults []error
	for _, event := range events {
		if !c.events[event] {
			faults = append(faults, fmt.Errorf("chart %s: no event %s", c.name, event))
		}
	}
	for _, flag := range flags {
		if !c.HasFlag(flag) {
			faults = append(faults, fmt.Errorf("chart %s: no flag %s", c.name, flag))
		}
	}
	for _, state := range states {
		if c.byName[state] == nil {
			faults = append(faults, fmt.Errorf("chart %s: no state %s", c.name, state))
		}
	}
	return errors.Join(faults...)
}

// Mermaid returns the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var out strings.Builder
	out.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&out, "  [*] --> %s\n", c.initial)
	for _, t := range c.transitions {
		fmt.Fprintf(&out, "  %s --> %s: %s\n", t.from, t.to, t.event)
	}
	for _, state := range c.states {
		if state.final {
			fmt.Fprintf(&out, "  %s --> [*]\n", state.name)
		}
	}
	return out.String()
}

// Document returns all embedded charts as a Markdown page.
func Document() (string, error) {
	var out strings.Builder
	out.WriteString("# State charts\n\nGenerated from pkg/chart/charts by `UPDATE_DOCS=1 go test ./pkg/chart`.\n")
	for _, name := range Names() {
		c, err := Load(name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&out, "\n## %s\n\n```mermaid\n%s```\n", name, c.Mermaid())
		if len(c.flags) == 0 {
			continue
		}
		fmt.Fprintf(&out, "\n| state | %s |\n|---%s|\n", strings.Join(c.flags, " | "), strings.Repeat("|---", len(c.flags)))
		for _, state := range c.states {
			fmt.Fprintf(&out, "| %s |", state.name)
			for _, flag := range c.flags {
				value := "no"
				if state.flags[flag] {
					value = "yes"
				}
				fmt.Fprintf(&out, " %s |", value)
			}
			out.WriteString("\n")
		}
	}
	return out.String(), nil
}
