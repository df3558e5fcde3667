package scheduler

import (
	"container/heap"
	"time"
)

// deadline is an entry of a deadlineHeap.
type deadline struct {
	at      time.Duration // clock time at which the request expires
	request *request
}

// deadlineHeap is a priority queue of the deadlines of requests, earliest first. A request that ends before its deadline stays in
// the heap until the deadline.
type deadlineHeap struct{ entries deadlineEntries }

// add inserts the deadline of a request.
func (h *deadlineHeap) add(at time.Duration, request *request) {
	heap.Push(&h.entries, deadline{at: at, request: request})
}

// next returns the earliest deadline. ok is false if the heap is empty.
func (h *deadlineHeap) next() (at time.Duration, ok bool) {
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].at, true
}

// popExpired removes the earliest deadline and returns its request if the deadline has been reached. Otherwise popExpired returns
// nil.
func (h *deadlineHeap) popExpired(now time.Duration) *request {
	if len(h.entries) == 0 || h.entries[0].at > now {
		return nil
	}
	return heap.Pop(&h.entries).(deadline).request
}

// shortenTo moves each deadline that is later than the given time to that time, together with the expiry and the objective of the
// request. The heap order is preserved, because all moved deadlines become equal and none of the others is later.
func (h *deadlineHeap) shortenTo(latest time.Duration) {
	for i := range h.entries {
		if entry := &h.entries[i]; entry.at > latest {
			entry.at = latest
			entry.request.shortenDeadline(latest)
		}
	}
}

// deadlineEntries implements heap.Interface.
type deadlineEntries []deadline

func (e deadlineEntries) Len() int           { return len(e) }
func (e deadlineEntries) Less(i, j int) bool { return e[i].at < e[j].at }
func (e deadlineEntries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *deadlineEntries) Push(x any)        { *e = append(*e, x.(deadline)) }
func (e *deadlineEntries) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
