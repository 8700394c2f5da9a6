package state

import (
	"container/heap"
	"time"
)

// notQueued is the place of a request that is not in the queue.
const notQueued = -1

// dueQueue is a heap of requests by the time they are due. A request may be due
// later than its time in the queue, but not earlier.
type dueQueue []*run

// Len implements heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueQueue) Less(i, j int) bool { return q[i].queuedFor.Before(q[j].queuedFor) }

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	r := x.(*run)
	r.place = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.place = notQueued
	return r
}

// schedule queues a request for the time it is due, unless it is queued for an earlier one.
func (c *Counts) schedule(r *run) {
	due := c.due(r)
	switch {
	case r.place == notQueued:
		r.queuedFor = due
		heap.Push(&c.queue, r)
	case due.Before(r.queuedFor):
		r.queuedFor = due
		heap.Fix(&c.queue, r.place)
	}
}

// forget removes a request, so that an ended one takes no memory until it would be due.
func (c *Counts) forget(r *run) {
	delete(c.runs, r.flow)
	if r.place != notQueued {
		heap.Remove(&c.queue, r.place)
	}
}

// nextDue takes a request that is due out of the queue, or returns nil when there is none.
func (c *Counts) nextDue(now time.Time) *run {
	for len(c.queue) > 0 && !c.queue[0].queuedFor.After(now) {
		r := heap.Pop(&c.queue).(*run)
		if !c.due(r).After(now) {
			return r
		}
		c.schedule(r)
	}
	return nil
}
