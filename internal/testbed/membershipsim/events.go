package membershipsim

import (
	"container/heap"

	"gaugerelay/internal/membership"
)

// event is the arrival of a message at a member, or the expiry of the member's timer.
type event struct {
	atMs    float64
	order   int                // sequence number; events of the same time are processed in the order of these numbers
	member  int                // number of the member that the event concerns
	isTimer bool               // whether the event is the expiry of the timer
	message membership.Message // arriving message; valid only if isTimer is false
}

// eventQueue holds future events, earliest first.
type eventQueue struct {
	events    eventHeap
	lastOrder int
}

func (q *eventQueue) push(e event) {
	q.lastOrder++
	e.order = q.lastOrder
	heap.Push(&q.events, e)
}

// popUntil removes and returns the earliest event. It returns false if there is no event or the earliest one is later than atMs.
func (q *eventQueue) popUntil(atMs float64) (event, bool) {
	if len(q.events) == 0 || q.events[0].atMs > atMs {
		return event{}, false
	}
	return heap.Pop(&q.events).(event), true
}

// eventHeap implements heap.Interface. Events are ordered by time, then by sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].atMs < h[j].atMs || h[i].atMs == h[j].atMs && h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
