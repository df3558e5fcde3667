package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestDeadlineHeap(t *testing.T) {
	newHeap := func(deadlines ...time.Duration) *deadlineHeap {
		heap := &deadlineHeap{}
		for i, at := range deadlines {
			heap.add(at, &request{RequestArrived: RequestArrived{ID: RequestID(i)}, expiresAt: at, objectiveAt: at})
		}
		return heap
	}
	popAll := func(heap *deadlineHeap, now time.Duration) (expired []time.Duration) {
		for request := heap.popExpired(now); request != nil; request = heap.popExpired(now) {
			expired = append(expired, request.expiresAt)
		}
		return expired
	}
	t.Run("soonest first", func(t *testing.T) {
		heap := newHeap(5, 1, 4, 2, 3)
		if at, ok := heap.next(); at != 1 || !ok {
			t.Errorf("next is %v, %v", at, ok)
		}
		if expired := popAll(heap, 3); !slices.Equal(expired, []time.Duration{1, 2, 3}) {
			t.Errorf("expired %v", expired)
		}
		if at, ok := heap.next(); at != 4 || !ok {
			t.Errorf("next is %v, %v", at, ok)
		}
	})
	t.Run("empty", func(t *testing.T) {
		heap := newHeap()
		if _, ok := heap.next(); ok || heap.popExpired(time.Hour) != nil {
			t.Error("an empty heap has a deadline")
		}
	})
	t.Run("shortened", func(t *testing.T) {
		heap := newHeap(5, 1, 4, 2, 3)
		heap.shortenTo(3)
		if expired := popAll(heap, 3); !slices.Equal(expired, []time.Duration{1, 2, 3, 3, 3}) {
			t.Errorf("expired %v", expired)
		}
	})
	t.Run("a started response has no deadline", func(t *testing.T) {
		heap := newHeap(5)
		request := heap.entries[0].request
		request.expiresAt = 0
		heap.shortenTo(3)
		if request.expiresAt != 0 || request.objectiveAt != 5 {
			t.Errorf("expires at %v, objective at %v", request.expiresAt, request.objectiveAt)
		}
	})
}
