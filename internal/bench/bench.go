// Package bench runs the decision logic of package sched on virtual time: a
// small event loop, modelled engines and generated arrivals. A run is a pure
// function of its scenario, workload, policy and seed.
package bench

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// loop is the event loop. Events at the same time run in the order in which
// they were scheduled.
type loop struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

func (l *loop) after(delay time.Duration, run func()) { l.at(l.now+max(0, delay), run) }

func (l *loop) at(at time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: at, sequence: l.sequence, run: run})
}

// run processes events until none is left or done says so.
func (l *loop) run(done func() bool) {
	for len(l.events) > 0 && !done() {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
