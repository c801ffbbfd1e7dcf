// Package chart reads state charts and runs state machines from them. A chart is
// a text file that defines states, the flags of each state, and the events that
// lead from one state to another.
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
var chartFiles embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// stateDef is the definition of a state.
type stateDef struct {
	name    State
	initial bool
	final   bool
	flags   map[string]bool
}

// transition says that event leads from one state to another.
type transition struct {
	event    Event
	from, to State
}

// Chart is a validated state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name        string
	flags       []string
	states      []stateDef
	byName      map[State]*stateDef
	transitions []transition
	events      map[Event]bool
	initial     State
	// machine is shared by all machines of the chart: the current state is in the
	// Machine that is passed to it as the context.
	machine *stateless.StateMachine
}

// Load returns the embedded chart with the given name.
func Load(name string) (*Chart, error) {
	text, err := chartFiles.ReadFile("charts/" + name + ".chart")
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", name, err)
	}
	return Parse(name, string(text))
}

// Names returns the names of the embedded charts, sorted.
func Names() []string {
	entries, err := chartFiles.ReadDir("charts")
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

// Parse reads and validates a chart. Its lines are 'chart NAME', 'flags FLAG...',
// 'state NAME [initial] [final] FLAG=yes|no...' and 'on EVENT FROM... -> TO'; #
// begins a comment. The error lists every problem, one per line.
func Parse(name, text string) (*Chart, error) {
	c := &Chart{byName: map[State]*stateDef{}, events: map[Event]bool{}}
	var problems []error
	scanner := bufio.NewScanner(strings.NewReader(text))
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(strings.SplitN(scanner.Text(), "#", 2)[0])
		if len(fields) == 0 {
			continue
		}
		if err := c.parseLine(fields); err != nil {
			problems = append(problems, fmt.Errorf("chart %s: line %d: %w", name, line, err))
		}
	}
	if err := scanner.Err(); err != nil {
		problems = append(problems, fmt.Errorf("chart %s: %w", name, err))
	}
	for i := range c.states {
		c.byName[c.states[i].name] = &c.states[i]
	}
	for _, err := range c.check() {
		problems = append(problems, fmt.Errorf("chart %s: %w", name, err))
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	c.machine = c.buildMachine()
	return c, nil
}

func (c *Chart) parseLine(fields []string) error {
	switch fields[0] {
	case "chart":
		if len(fields) != 2 || c.name != "" {
			return errors.New("expected one line 'chart NAME'")
		}
		c.name = fields[1]
	case "flags":
		c.flags = append(c.flags, fields[1:]...)
	case "state":
		return c.parseState(fields[1:])
	case "on":
		return c.parseTransition(fields[1:])
	default:
		return fmt.Errorf("unknown word %q, expected chart, flags, state or on", fields[0])
	}
	return nil
}

func (c *Chart) parseState(fields []string) error {
	if len(fields) == 0 {
		return errors.New("a state needs a name")
	}
	def := stateDef{name: State(fields[0]), flags: map[string]bool{}}
	for _, field := range fields[1:] {
		key, value, hasValue := strings.Cut(field, "=")
		switch {
		case field == "initial":
			def.initial = true
		case field == "final":
			def.final = true
		case hasValue && (value == "yes" || value == "no"):
			def.flags[key] = value == "yes"
		default:
			return fmt.Errorf("state %s: %q is not initial, final or FLAG=yes|no", def.name, field)
		}
	}
	c.states = append(c.states, def)
	return nil
}

func (c *Chart) parseTransition(fields []string) error {
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
	var problems []error
	if c.name == "" {
		problems = append(problems, errors.New("no line 'chart NAME'"))
	}
	problems = append(problems, c.checkStates()...)
	problems = append(problems, c.checkTransitions()...)
	if len(problems) > 0 {
		return problems
	}
	return c.checkReachability()
}

func (c *Chart) checkStates() []error {
	var problems []error
	seen := map[State]bool{}
	initialCount := 0
	for _, state := range c.states {
		if seen[state.name] {
			problems = append(problems, fmt.Errorf("state %s is defined twice", state.name))
		}
		seen[state.name] = true
		if state.initial {
			initialCount++
			c.initial = state.name
		}
		for _, flag := range c.flags {
			if _, ok := state.flags[flag]; !ok {
				problems = append(problems, fmt.Errorf("state %s does not set the flag %s", state.name, flag))
			}
		}
		if len(state.flags) > len(c.flags) {
			problems = append(problems, fmt.Errorf("state %s sets a flag that the line 'flags' does not declare", state.name))
		}
	}
	if initialCount != 1 {
		problems = append(problems, fmt.Errorf("%d initial states, expected 1", initialCount))
	}
	return problems
}

func (c *Chart) checkTransitions() []error {
	var problems []error
	type source struct {
		event Event
		from  State
	}
	seen := map[source]bool{}
	for _, t := range c.transitions {
		for _, state := range []State{t.from, t.to} {
			if c.byName[state] == nil {
				problems = append(problems, fmt.Errorf("event %s: unknown state %s", t.event, state))
			}
		}
		if seen[source{t.event, t.from}] {
			problems = append(problems, fmt.Errorf("event %s has two targets from state %s", t.event, t.from))
		}
		seen[source{t.event, t.from}] = true
		if from := c.byName[t.from]; from != nil && from.final {
			problems = append(problems, fmt.Errorf("event %s leaves the final state %s", t.event, t.from))
		}
	}
	return problems
}

// checkReachability finds states that cannot be reached from the initial state,
// and states from which no final state can be reached if the chart has any.
func (c *Chart) checkReachability() []error {
	var problems []error
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
	fromInitial, toFinal := reachableFrom(forward, c.initial), reachableFrom(backward, finals...)
	for _, state := range c.states {
		if !fromInitial[state.name] {
			problems = append(problems, fmt.Errorf("state %s is unreachable", state.name))
		}
		if len(finals) > 0 && !toFinal[state.name] {
			problems = append(problems, fmt.Errorf("state %s has no way to a final state", state.name))
		}
	}
	return problems
}

// reachableFrom returns the states that can be reached from start, start included.
func reachableFrom(edges map[State][]State, start ...State) map[State]bool {
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

func (c *Chart) buildMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return ctx.(*Machine).state, nil
		},
		func(ctx context.Context, state stateless.State) error {
			ctx.(*Machine).state = state
			return nil
		},
		stateless.FiringImmediate)
	errNotPermitted := errors.New("event is not permitted in the current state")
	machine.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error {
		return errNotPermitted
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

// DeclaresFlag reports whether the chart declares the flag.
func (c *Chart) DeclaresFlag(flag string) bool {
	for _, declared := range c.flags {
		if declared == flag {
			return true
		}
	}
	return false
}

// Require returns an error that lists those of the events, flags and states that
// the chart does not define. Code that uses a chart calls it at start-up with
// the names that it relies on.
func (c *Chart) Require(events []Event, flags []string, states ...State) error {
	var problems []error
	for _, event := range events {
		if !c.events[event] {
			problems = append(problems, fmt.Errorf("chart %s: no event %s", c.name, event))
		}
	}
	for _, flag := range flags {
		if !c.DeclaresFlag(flag) {
			problems = append(problems, fmt.Errorf("chart %s: no flag %s", c.name, flag))
		}
	}
	for _, state := range states {
		if c.byName[state] == nil {
			problems = append(problems, fmt.Errorf("chart %s: no state %s", c.name, state))
		}
	}
	return errors.Join(problems...)
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

// Markdown returns a page with the diagrams and flags of all embedded charts.
func Markdown() (string, error) {
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
