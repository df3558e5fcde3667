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
	t.Run("earliest first", func(t *testing.T) {
		heap := newHeap(5, 1, 4, 2, 3)
		if at, ok := heap.next(); at != 1 || !ok {
			t.Errorf("next deadline is %v, %v, want 1ns, true", at, ok)
		}
		if expired := popAll(heap, 3); !slices.Equal(expired, []time.Duration{1, 2, 3}) {
			t.Errorf("expired deadlines %v, want 1, 2 and 3 ns", expired)
		}
		if at, ok := heap.next(); at != 4 || !ok {
			t.Errorf("next deadline is %v, %v, want 4ns, true", at, ok)
		}
	})
	t.Run("empty", func(t *testing.T) {
		heap := newHeap()
		if _, ok := heap.next(); ok || heap.popExpired(time.Hour) != nil {
			t.Error("an empty heap returned a deadline")
		}
	})
	t.Run("shortened", func(t *testing.T) {
		heap := newHeap(5, 1, 4, 2, 3)
		heap.shortenTo(3)
		if expired := popAll(heap, 3); !slices.Equal(expired, []time.Duration{1, 2, 3, 3, 3}) {
			t.Errorf("expired deadlines %v, want 1 and 2 ns, then three times 3 ns", expired)
		}
	})
	t.Run("a started response has no deadline", func(t *testing.T) {
		heap := newHeap(5)
		request := heap.entries[0].request
		request.expiresAt = 0 // no deadline, because the response has started
		heap.shortenTo(3)
		if request.expiresAt != 0 || request.objectiveAt != 5 {
			t.Errorf("request expires at %v and has its objective at %v, want 0s and 5ns", request.expiresAt, request.objectiveAt)
		}
	})
}
