package scheduler

import (
	"testing"
	"time"
)

// newOrderedRequest returns a request that is ordered by a key.
func newOrderedRequest(key uint64) *request {
	return &request{RequestArrived: RequestArrived{Key: key}, class: &Class{OrderedByKey: true}}
}

// orderCooldown is the cooldown in the tests of keyOrder.
const orderCooldown = 200 * ms

// newKeyOrder returns an order without requests.
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
			t.Error("wrong order")
		}
		order.remove(now, first)
		if !order.allows(now, second) {
			t.Error("the second request is not allowed after the first")
		}
	})
	t.Run("requests without order are ignored", func(t *testing.T) {
		order := newKeyOrder()
		for _, request := range []*request{newOrderedRequest(NoKey), {RequestArrived: RequestArrived{Key: 5}, class: &Class{}}} {
			order.enqueue(request)
			order.startCooldown(now, request)
			if len(order.queues) != 0 || !order.allows(now, request) {
				t.Errorf("%d queues", len(order.queues))
			}
			order.remove(now, request)
		}
	})
}

func TestKeyOrderCooldown(t *testing.T) {
	const now = time.Hour
	t.Run("a cooldown binds later requests only", func(t *testing.T) {
		order, first, second := newKeyOrder(), newOrderedRequest(5), newOrderedRequest(5)
		order.enqueue(first)
		order.enqueue(second)
		first.attempts = []*attempt{{}}
		order.startCooldown(now, first)
		if !order.allows(now, first) {
			t.Error("the retry of the first request is not allowed")
		}
		order.remove(now, first)
		if order.allows(now+orderCooldown-1, second) || !order.allows(now+orderCooldown, second) {
			t.Error("the second request does not wait for the end of the cooldown")
		}
	})
	t.Run("idle queues are dropped after their cooldown", func(t *testing.T) {
		order, request := newKeyOrder(), newOrderedRequest(5)
		order.enqueue(request)
		order.startCooldown(now, request)
		order.remove(now, request)
		order.evictIdle(now + orderCooldown - 1)
		if len(order.queues) != 1 {
			t.Fatal("dropped in its cooldown")
		}
		order.evictIdle(now + orderCooldown)
		if len(order.queues) != 0 {
			t.Error("kept after its cooldown")
		}
	})
}

func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.KeyCooldown = 200 * ms })
	first, second := gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("once", "gold", 1, 2, 5)
	other := gateway.newArrival("once", "gold", 1, 2, 6)
	if sent := sentIDs(gateway.step(first, second, other)); len(sent) != 2 || sent[0] != first.ID || sent[1] != other.ID {
		t.Fatalf("sent %v, want %d and %d: a key must not block its volume", sent, first.ID, other.ID)
	}
	gateway.now += 20 * ms
	actions := gateway.step(AttemptEnded{ID: other.ID, Server: 1, Status: StatusOK, RequestDone: true},
		AttemptEnded{ID: first.ID, Server: 1, Status: StatusConnectionReset})
	if len(failedIDs(actions)) != 1 || len(sentIDs(actions)) != 0 {
		t.Fatalf("after a reset: %v", actions)
	}
	if sent := sentIDs(gateway.advance(150 * ms)); len(sent) != 0 {
		t.Errorf("sent %v before the end of the cooldown", sent)
	}
	if sent := sentIDs(gateway.advance(150 * ms)); len(sent) != 1 || sent[0] != second.ID {
		t.Errorf("sent %v after the cooldown, want %d", sent, second.ID)
	}
}
