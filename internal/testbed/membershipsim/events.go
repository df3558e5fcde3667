package membershipsim

import (
	"container/heap"

	"gaugerelay/internal/membership"
)

// event is the arrival of a message at a member, or the expiry of its timer.
type event struct {
	atMs    float64
	order   int // sequence number; it decides between events of the same time
	member  int
	isTimer bool
	message membership.Message // valid unless isTimer
}

// eventQueue holds future events in the order of their times.
type eventQueue struct {
	events    eventHeap
	lastOrder int
}

func (q *eventQueue) push(e event) {
	q.lastOrder++
	e.order = q.lastOrder
	heap.Push(&q.events, e)
}

// popUntil removes the first event and returns it, unless there is none or it is later than atMs.
func (q *eventQueue) popUntil(atMs float64) (event, bool) {
	if len(q.events) == 0 || q.events[0].atMs > atMs {
		return event{}, false
	}
	return heap.Pop(&q.events).(event), true
}

// eventHeap implements heap.Interface.
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
