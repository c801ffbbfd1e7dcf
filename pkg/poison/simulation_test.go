package poison_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/poison"
)

// stream describes the requests of a simulation. A share of the sound prompts, half if not
// stated, and all deadly ones have the same first part.
type stream struct {
	name                   string
	instances, engineCount int
	// soundPerS and deadlyPerS are the rates of sound and of deadly prompts.
	soundPerS, deadlyPerS float64
	firstShare            float64
	// deadly holds the middle parts of deadly prompts, by kind of prompt; the last of each
	// crashes engines. sound holds those of sound prompts.
	deadly [][]string
	sound  [][]string
	// soundBefore holds the middle parts of sound prompts before the first deadly one, if
	// they differ.
	soundBefore [][]string
	// outage is the time after calm in which every request crashes its engine.
	outage time.Duration
	// deadlyShare is the share of the engines that the deadly parts crash.
	deadlyShare float64
	// otherCrashesPerS is the rate of crashes for other reasons.
	otherCrashesPerS float64
	// burst is the number of deadly prompts at the start, burstInterval apart.
	burst int
	// calm is the time before the first deadly prompt, and deadlyFor that in which they come.
	calm, deadlyFor time.Duration
}

// outcome holds the counts of a simulation.
type outcome struct {
	sound, soundRefused int
	// shared and sharedRefused count the sound prompts with the first part from 8 s after
	// the fifth crash on.
	shared, sharedRefused int
	deadlySent            int
	// late is the number of requests with one deadly part that were sent later than
	// simulatedContact after the fifth crash by it.
	late int
	// lost is the number of runs in which more than half of the prompts in shared were
	// refused.
	lost int
}

func (o outcome) String() string {
	return fmt.Sprintf("%d of %d sound refused (first part, from 8 s after the fifth crash on: %d of %d, more than half in %d runs), %d deadly sent, %d late",
		o.soundRefused, o.sound, o.sharedRefused, o.shared, o.lost, o.deadlySent, o.late)
}

// add adds the counts of another run; late is that of the worst one.
func (o outcome) add(other outcome) outcome {
	o.sound += other.sound
	o.soundRefused += other.soundRefused
	o.shared += other.shared
	o.sharedRefused += other.sharedRefused
	o.deadlySent += other.deadlySent
	o.lost += other.lost
	o.late = max(o.late, other.late)
	return o
}

// event is something that happens at a time of a simulation.
type event struct {
	at     time.Duration
	number int
	do     func()
}

// eventQueue orders events by their time. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].number < q[j].number)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulatedRequest is a request that runs on an engine.
type simulatedRequest struct {
	instance int
	traits   []poison.Trait
	broken   bool
}

// simulatedEngine is an engine, with the requests whose answers have not begun.
type simulatedEngine struct {
	number  int
	process uint32
	up      bool
	running []*simulatedRequest
}

// simulation plays a stream of requests on virtual time, at instances that learn of each
// other's evidence after 20 ms to 1 s.
type simulation struct {
	stream
	random    *rand.Rand
	now       time.Duration
	queue     eventQueue
	events    int
	detectors []*poison.Detector
	cursors   []poison.Cursor
	reporting []bool
	engines   []*simulatedEngine
	processes uint32
	prompts   int
	// crashes counts the crashes by deadly part. fifthAt holds the times of the fifth ones,
	// and late the requests later than simulatedContact after them.
	crashes, late map[string]int
	fifthAt       map[string]time.Duration
	outcome       outcome
}

const (
	simulatedContact  = 5 * time.Second
	simulatedDownTime = 3 * time.Second
	burstInterval     = 125 * time.Millisecond
	// reportDelay is the time from a change to the report of it, and reportTransit the
	// longest time until the others have it.
	reportDelay   = 20 * time.Millisecond
	reportTransit = time.Second
)

func simulate(s stream, seed uint64) outcome {
	sim := &simulation{stream: s, random: rand.New(rand.NewPCG(seed, 33))}
	for range s.instances {
		sim.detectors = append(sim.detectors, poison.NewDetector(func(block time.Duration) time.Duration {
			return time.Duration(sim.random.Int64N(int64(block/3) + 1))
		}))
	}
	sim.crashes, sim.late, sim.fifthAt = map[string]int{}, map[string]int{}, map[string]time.Duration{}
	sim.cursors, sim.reporting = make([]poison.Cursor, s.instances), make([]bool, s.instances)
	for i := range s.engineCount {
		sim.engines = append(sim.engines, &simulatedEngine{number: i})
		sim.startEngine(sim.engines[i])
	}
	end := s.calm + s.deadlyFor
	sim.repeat(0, s.soundPerS, end, sim.sendSound)
	for i := range s.burst {
		sim.at(s.calm+time.Duration(i)*burstInterval, sim.sendDeadly)
	}
	sim.repeat(s.calm, s.deadlyPerS, end, sim.sendDeadly)
	sim.repeat(s.calm, s.otherCrashesPerS, end, func() { sim.crash(sim.engines[sim.random.IntN(len(sim.engines))]) })
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.do()
	}
	for _, late := range sim.late {
		sim.outcome.late = max(sim.outcome.late, late)
	}
	if sim.outcome.shared >= 10 && 2*sim.outcome.sharedRefused > sim.outcome.shared {
		sim.outcome.lost = 1
	}
	return sim.outcome
}

func (s *simulation) at(at time.Duration, do func()) {
	s.events++
	heap.Push(&s.queue, event{at: at, number: s.events, do: do})
}

// repeat does something at random times of the given rate.
func (s *simulation) repeat(from time.Duration, perS float64, end time.Duration, do func()) {
	if perS == 0 {
		return
	}
	at := from + time.Duration(s.random.ExpFloat64()/perS*float64(time.Second))
	if at < end {
		s.at(at, func() {
			do()
			s.repeat(s.now, perS, end, do)
		})
	}
}

func (s *simulation) prompt(first string, middle []string) []poison.Trait {
	s.prompts++
	own := "own " + strconv.Itoa(s.prompts)
	return append(append(parts(first), parts(middle...)...), part(own), content(own))
}

func (s *simulation) sendSound() {
	first := "first"
	if s.random.Float64() >= s.firstShare {
		first = fmt.Sprint("other ", s.random.IntN(19))
	}
	var middle []string
	middles := s.sound
	if s.now < s.calm && len(s.soundBefore) > 0 {
		middles = s.soundBefore
	}
	if len(middles) > 0 {
		middle = middles[s.random.IntN(len(middles))]
	}
	i := s.random.IntN(s.instances)
	traits := s.prompt(first, middle)
	refused := s.admit(i, traits)
	inOutage := s.now < s.calm+s.outage
	if s.now >= s.calm && !inOutage {
		s.outcome.sound++
	}
	compared := first == "first" && s.fifthOver(8*time.Second)
	if compared {
		s.outcome.shared++
	}
	switch {
	case refused && inOutage:
	case refused:
		s.outcome.soundRefused++
		if compared {
			s.outcome.sharedRefused++
		}
	default:
		s.run(i, traits, "")
	}
}

func (s *simulation) sendDeadly() {
	i := s.random.IntN(s.instances)
	middle := s.deadly[s.random.IntN(len(s.deadly))]
	part := middle[len(middle)-1]
	traits := s.prompt("first", middle)
	if s.admit(i, traits) {
		return
	}
	s.outcome.deadlySent++
	if fifth := s.fifthAt[part]; fifth > 0 && s.now > fifth+simulatedContact {
		s.late[part]++
	}
	s.run(i, traits, part)
}

// fifthOver reports whether the fifth crash by a deadly part was longer ago.
func (s *simulation) fifthOver(ago time.Duration) bool {
	for _, at := range s.fifthAt {
		if s.now > at+ago {
			return true
		}
	}
	return false
}

func (s *simulation) admit(i int, traits []poison.Trait) (refused bool) {
	defer s.report(i)
	return s.detectors[i].Admit(s.now, traits).Blocked
}

// run runs a request, with a deadly part unless that is empty, at a random engine. Its answer begins after 60 to 300 ms.
func (s *simulation) run(i int, traits []poison.Trait, deadly string) {
	var up []*simulatedEngine
	for _, engine := range s.engines {
		if engine.up {
			up = append(up, engine)
		}
	}
	if len(up) == 0 {
		return
	}
	engine := up[s.random.IntN(len(up))]
	request := &simulatedRequest{instance: i, traits: traits}
	engine.running = append(engine.running, request)
	s.at(s.now+60*time.Millisecond+time.Duration(s.random.IntN(240))*time.Millisecond, func() {
		switch {
		case request.broken:
		case s.now >= s.calm && s.now < s.calm+s.outage:
			s.crash(engine)
		case deadly != "" && float64(engine.number) < s.deadlyShare*float64(len(s.engines)):
			if s.crashes[deadly]++; s.crashes[deadly] == 5 {
				s.fifthAt[deadly] = s.now
			}
			s.crash(engine)
		default:
			engine.running = slices.DeleteFunc(engine.running, func(r *simulatedRequest) bool { return r == request })
			s.detectors[i].RecordAnswer(s.now, service, traits)
			s.report(i)
		}
	})
}

// crash ends an engine and what runs on it.
func (s *simulation) crash(engine *simulatedEngine) {
	if !engine.up {
		return
	}
	engine.up = false
	process := engine.process
	for _, request := range engine.running {
		request.broken = true
		s.at(s.now+time.Duration(s.random.IntN(20))*time.Millisecond, func() {
			s.detectors[request.instance].RecordCrash(s.now, process, request.traits)
			s.report(request.instance)
		})
	}
	s.at(s.now+simulatedDownTime, func() { s.startEngine(engine) })
}

func (s *simulation) startEngine(engine *simulatedEngine) {
	s.processes++
	engine.process, engine.up, engine.running = s.processes, true, nil
}

// report sends what has changed at an instance to the others.
func (s *simulation) report(i int) {
	if s.reporting[i] {
		return
	}
	s.reporting[i] = true
	s.at(s.now+reportDelay, func() {
		s.reporting[i] = false
		suspicions := s.detectors[i].Export(s.now, &s.cursors[i], false, true)
		if len(suspicions) == 0 {
			return
		}
		for j := range s.detectors {
			if j == i {
				continue
			}
			sentAt := s.now
			s.at(s.now+time.Duration(s.random.Int64N(int64(reportTransit))), func() {
				for _, reported := range suspicions {
					reported.Age += s.now - sentAt
					if s.detectors[j].Merge(s.now, "peer", reported) {
						s.report(j)
					}
				}
			})
		}
	})
}

var (
	onePart  = [][]string{{"deadly"}}
	twoParts = [][]string{{"deadly"}, {"deadly too"}}
	// nested has sound prompts with all parts of the deadly ones but the deadly part.
	nested      = [][]string{{"middle", "deadly"}}
	nestedSound = [][]string{{"middle"}, {"middle 2"}, {"middle 3"}}
	// beside has deadly prompts with several parts beside the deadly one.
	beside = [][]string{{"middle", "deadly"}, {"middle 2", "deadly"}}
	// turned has a part that sound prompts had before.
	turned       = [][]string{{"middle", "turned"}, {"middle 2", "turned"}}
	turnedBefore = [][]string{{"middle"}, {"middle 2"}, {"middle 3"}, {"middle", "turned"}, {"middle 3", "turned"}}
)

// streams lists the simulated loads: one request in ten seconds to fifty a second, at 1 to
// 300 instances.
func streams() []stream {
	rate := func(name string, instances int, soundPerS, deadlyPerS float64, deadlyFor time.Duration) stream {
		return stream{name: name, instances: instances, engineCount: 18, soundPerS: soundPerS, deadlyPerS: deadlyPerS,
			deadly: onePart, deadlyShare: 1, firstShare: 0.5, calm: 30 * time.Second, deadlyFor: deadlyFor}
	}
	with := func(s stream, name string, change func(*stream)) stream {
		s.name = name
		change(&s)
		return s
	}
	base := rate("", 6, 60, 2, 37*time.Second)
	return []stream{
		rate("one in 10 s, 1 instance", 1, 0.1, 0.1, 100*time.Second),
		rate("one in 10 s, 6 instances", 6, 0.1, 0.1, 100*time.Second),
		rate("one in 10 s, 300 instances", 300, 0.1, 0.1, 100*time.Second),
		rate("deadly ones only, one in 10 s, 6 instances", 6, 0, 0.1, 100*time.Second),
		rate("one a second, 6 instances", 6, 1, 1, 40*time.Second),
		rate("one a second, 300 instances", 300, 1, 1, 40*time.Second),
		rate("50 a second, 2.5 deadly, 1 instance", 1, 50, 2.5, 30*time.Second),
		rate("50 a second, 2.5 deadly, 6 instances", 6, 50, 2.5, 30*time.Second),
		rate("50 a second, 2.5 deadly, 300 instances", 300, 50, 2.5, 30*time.Second),
		with(base, "review/3: burst, one a second shares the first part", func(s *stream) { s.soundPerS, s.firstShare, s.burst = 61, 1.0/61, 6 }),
		with(base, "burst, 2 a second", func(s *stream) { s.soundPerS, s.burst = 2, 6 }),
		with(base, "burst, 60 a second", func(s *stream) { s.burst = 6 }),
		with(base, "two deadly parts, one a second", func(s *stream) { s.deadly, s.soundPerS, s.deadlyPerS = twoParts, 1, 1 }),
		with(base, "two deadly parts, burst", func(s *stream) { s.deadly, s.soundPerS, s.burst = twoParts, 2, 6 }),
		with(base, "two deadly parts, 60 a second, 300 instances", func(s *stream) { s.deadly, s.instances = twoParts, 300 }),
		with(base, "sound prompts share all other parts, burst", func(s *stream) { s.deadly, s.sound, s.soundPerS, s.burst = nested, nestedSound, 2, 6 }),
		with(base, "the same without calm before", func(s *stream) {
			s.deadly, s.sound, s.soundPerS, s.burst, s.calm = nested, nestedSound, 2, 6, 0
		}),
		with(base, "two deadly parts, burst, without calm before", func(s *stream) { s.deadly, s.soundPerS, s.burst, s.calm = twoParts, 2, 6, 0 }),
		with(base, "several parts beside the deadly one, without calm before", func(s *stream) {
			s.deadly, s.sound, s.soundPerS, s.burst, s.calm = beside, nestedSound, 2, 6, 0
		}),
		with(base, "a sound part turns deadly, one a second", func(s *stream) {
			s.deadly, s.sound, s.soundBefore, s.soundPerS, s.deadlyPerS = turned, nestedSound, turnedBefore, 1, 1
		}),
		with(base, "a sound part turns deadly, 60 a second, 300 instances", func(s *stream) {
			s.deadly, s.sound, s.soundBefore, s.instances, s.burst = turned, nestedSound, turnedBefore, 300, 6
		}),
		with(base, "outage of 12 s, 10 a second", func(s *stream) { s.outage, s.soundPerS, s.deadlyPerS = 12*time.Second, 10, 0 }),
		with(base, "outage of 12 s, one a second", func(s *stream) { s.outage, s.soundPerS, s.deadlyPerS = 12*time.Second, 1, 0 }),
		with(base, "outage of 30 s, one a second", func(s *stream) { s.outage, s.soundPerS, s.deadlyPerS = 30*time.Second, 1, 0 }),
		with(base, "deadly on half of the engines", func(s *stream) { s.deadlyShare, s.soundPerS, s.deadlyPerS = 0.5, 10, 2 }),
		with(base, "other crashes, one in 2 s, 60 a second", func(s *stream) { s.otherCrashesPerS, s.deadlyPerS = 0.5, 0 }),
		with(base, "other crashes, 2 a second, 10 a second", func(s *stream) { s.otherCrashesPerS, s.deadlyPerS, s.soundPerS = 2, 0, 10 }),
		with(base, "other crashes and a deadly part, 10 a second", func(s *stream) { s.otherCrashesPerS, s.soundPerS = 1, 10 }),
	}
}

// Load patterns: the streams above. The rule: three deadly requests at most are sent later
// than contact_ms after the fifth crash, and sound requests are served. Guards against a
// first part that is refused for the crashes of another one, and against a part that is
// found out too late since each instance counts its own evidence.
func TestSimulatedStreams(t *testing.T) {
	for _, s := range streams() {
		seeds := uint64(10)
		if s.instances > 100 && s.soundPerS > 10 {
			seeds = 3
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var total outcome
			for seed := range seeds {
				total = total.add(simulate(s, seed))
			}
			t.Logf("%s: %s", s.name, total)
			if total.late > 3 && s.deadlyShare == 1 {
				t.Errorf("%d deadly requests were sent later than %s after the fifth crash in a run", total.late, simulatedContact)
			}
			if float64(total.soundRefused) > 0.05*float64(total.sound) {
				t.Errorf("%d of %d sound requests were refused", total.soundRefused, total.sound)
			}
			if total.lost > 0 {
				t.Errorf("more than half of the sound requests with the first part were refused later than 8 s after the fifth crash in %d of %d runs", total.lost, seeds)
			}
		})
	}
}
