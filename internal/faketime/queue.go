// Package faketime provides an event queue for simulations that run in fake time.
package faketime

import (
	"container/heap"
	"time"
)

// Queue is an event queue ordered by time. Callbacks with equal times run in the order
// in which they were scheduled. The zero value is an empty queue.
type Queue struct {
	events       events
	lastSequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	callback func()
}

// Schedule adds a callback to run at a time.
func (q *Queue) Schedule(at time.Time, callback func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at: at, sequence: q.lastSequence, callback: callback})
}

// RunUntil runs the callbacks that are due up to and including end, also those
// scheduled while it runs. It sets now to the time of each callback before running
// it, and to end when it returns.
func (q *Queue) RunUntil(now *time.Time, end time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		*now = e.at
		e.callback()
	}
	*now = end
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
