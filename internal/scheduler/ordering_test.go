package scheduler

import (
	"testing"
	"time"
)

// newOrderedRequest returns a request of a class that is ordered by key.
func newOrderedRequest(key uint64) *request {
	return &request{RequestArrived: RequestArrived{Key: key}, class: &Class{OrderedByKey: true}}
}

// orderCooldown is the cooldown in the tests of keyOrder.
const orderCooldown = 200 * ms

// newKeyOrder returns a keyOrder without requests.
func newKeyOrder() *keyOrder {
	return &keyOrder{queues: map[uint64]*keyQueue{}, cooldown: orderCooldown}
}

func TestKeyOrder(t *testing.T) {
	const now = time.Hour
	t.Run("only the first request of a key is allowed", func(t *testing.T) {
		order, first, second, other := newKeyOrder(), newOrderedRequest(5), newOrderedRequest(5), newOrderedRequest(6)
		for _, request := range []*request{first, second, other} {
			order.enqueue(request)
		}
		if !order.allows(now, first) || order.allows(now, second) || !order.allows(now, other) {
			t.Error("want the first request of each key allowed and the second one not allowed")
		}
		order.remove(now, first)
		if !order.allows(now, second) {
			t.Error("the second request is not allowed after the first was removed")
		}
	})
	t.Run("requests that are not ordered are ignored", func(t *testing.T) {
		order := newKeyOrder()
		for _, request := range []*request{newOrderedRequest(NoKey), {RequestArrived: RequestArrived{Key: 5}, class: &Class{}}} {
			order.enqueue(request)
			order.startCooldown(now, request)
			if len(order.queues) != 0 || !order.allows(now, request) {
				t.Errorf("%d queues after a request that is not ordered, want 0 and the request allowed", len(order.queues))
			}
			order.remove(now, request)
		}
	})
}

func TestKeyOrderCooldown(t *testing.T) {
	const now = time.Hour
	t.Run("a cooldown applies to later requests only", func(t *testing.T) {
		order, first, second := newKeyOrder(), newOrderedRequest(5), newOrderedRequest(5)
		order.enqueue(first)
		order.enqueue(second)
		first.attempts = []*attempt{{}}
		order.startCooldown(now, first)
		if !order.allows(now, first) {
			t.Error("a retry of the first request is not allowed during the cooldown")
		}
		order.remove(now, first)
		if order.allows(now+orderCooldown-1, second) || !order.allows(now+orderCooldown, second) {
			t.Error("want the second request allowed from the end of the cooldown on, and not before")
		}
	})
	t.Run("idle queues are dropped after their cooldown", func(t *testing.T) {
		order, request := newKeyOrder(), newOrderedRequest(5)
		order.enqueue(request)
		order.startCooldown(now, request)
		order.remove(now, request)
		order.evictIdle(now + orderCooldown - 1)
		if len(order.queues) != 1 {
			t.Fatal("the queue of the key was dropped during its cooldown")
		}
		order.evictIdle(now + orderCooldown)
		if len(order.queues) != 0 {
			t.Error("the queue of the key was kept after its cooldown")
		}
	})
}

// A request waits until the earlier request of its key has ended. After a connection reset the server may still be executing the
// earlier one, so the later one also waits for KeyCooldown. Requests of other keys do not wait.
func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.KeyCooldown = 200 * ms })
	first, second := gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("once", "gold", 1, 2, 5)
	other := gateway.newArrival("once", "gold", 1, 2, 6)
	if sent := sentIDs(gateway.step(first, second, other)); len(sent) != 2 || sent[0] != first.ID || sent[1] != other.ID {
		t.Fatalf("sent requests %v, want %d and %d: a request must not wait for a request of another key", sent, first.ID, other.ID)
	}
	gateway.now += 20 * ms
	actions := gateway.step(AttemptEnded{ID: other.ID, Server: 1, Status: StatusOK, RequestDone: true},
		AttemptEnded{ID: first.ID, Server: 1, Status: StatusConnectionReset})
	if len(failedIDs(actions)) != 1 || len(sentIDs(actions)) != 0 {
		t.Fatalf("actions after a connection reset: %v, want one Fail and no Send", actions)
	}
	if sent := sentIDs(gateway.advance(150 * ms)); len(sent) != 0 {
		t.Errorf("sent requests %v before the end of the cooldown, want none", sent)
	}
	if sent := sentIDs(gateway.advance(150 * ms)); len(sent) != 1 || sent[0] != second.ID {
		t.Errorf("sent requests %v after the cooldown, want request %d", sent, second.ID)
	}
}
