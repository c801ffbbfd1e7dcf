// Package bench simulates the placement of package sched and the admission of
// package admission in virtual time, with modelled engines and generated
// arrivals. A run is a pure function of its configuration, which includes the
// seed.
package bench

import (
	"container/heap"
	"time"
)

// event is a function that the event loop calls at a virtual time.
type event struct {
	due      time.Duration
	sequence uint64
	run      func()
}

// eventLoop runs events in the order of their virtual times. Events at the same
// time run in the order in which they were scheduled.
type eventLoop struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

func (l *eventLoop) scheduleAfter(delay time.Duration, run func()) {
	l.scheduleAt(l.now+max(0, delay), run)
}

func (l *eventLoop) scheduleAt(due time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{due: due, sequence: l.sequence, run: run})
}

// run processes events until none is left or done returns true.
func (l *eventLoop) run(done func() bool) {
	for len(l.events) > 0 && !done() {
		next := heap.Pop(&l.events).(event)
		l.now = next.due
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
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
