package scheduler

import (
	"testing"
)

func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.KeyCooldown = 200 * ms })
	a, b, c := gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("once", "gold", 1, 2, 6)
	if got := sentIDs(gateway.step(a, b, c)); len(got) != 2 || got[0] != a.ID || got[1] != c.ID {
		t.Fatalf("sent %v, want %d and %d: a key must not block its volume", got, a.ID, c.ID)
	}
	gateway.now += 20 * ms
	got := gateway.step(AttemptEnded{ID: c.ID, Server: 1, Status: StatusOK, RequestDone: true}, AttemptEnded{ID: a.ID, Server: 1, Status: StatusConnectionReset})
	if len(failedIDs(got)) != 1 || len(sentIDs(got)) != 0 {
		t.Fatalf("after a reset: %v", got)
	}
	if got := sentIDs(gateway.advance(150 * ms)); len(got) != 0 {
		t.Errorf("sent %v before the key had rested", got)
	}
	if got := sentIDs(gateway.advance(150 * ms)); len(got) != 1 || got[0] != b.ID {
		t.Errorf("sent %v after the rest, want %d", got, b.ID)
	}
}
