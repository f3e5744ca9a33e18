package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in virtual time. Events with the same time run in the order in
// which they were scheduled.
type clock struct {
	now    time.Duration
	count  uint64
	events eventHeap
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules f to run after delay.
func (c *clock) after(delay time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), sequence: c.count, run: f})
}

// step runs the next event and reports whether there was one.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.run()
	return true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last].run = nil
	*h = (*h)[:last]
	return popped
}
