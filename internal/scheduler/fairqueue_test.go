package scheduler

import (
	"testing"
)

// Two volumes with a backlog share a server in proportion to the weights of their plans. The plan named "twice" has twice the
// weight of the plan named "gold".
func TestFairSharesFollowWeights(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.server(1).congestion.window = 1
	var events []Event
	plans := map[RequestID]string{}
	for i := range 60 {
		plan := []string{"gold", "twice"}[i%2]
		arrival := gateway.newArrival("bulk", plan, i%2, 2, uint64(i))
		plans[arrival.ID], events = plan, append(events, arrival)
	}
	counts := map[string]int{}
	sent := sentIDs(gateway.step(events...))
	for len(sent) > 0 && counts["gold"]+counts["twice"] < 24 {
		id := sent[0]
		counts[plans[id]]++
		gateway.now += 5 * ms
		gateway.server(1).congestion.window = 1
		sent = append(sent[1:], sentIDs(gateway.step(attemptServed(id, 5*ms)))...)
	}
	if counts["twice"] < 14 || counts["twice"] > 18 || counts["gold"] < 6 {
		t.Errorf("sent requests by plan: %v, want 6 or more of gold and 14 to 18 of twice", counts)
	}
}

// A request within the reserve of its volume is sent before queued requests of other volumes, even if these arrived earlier.
func TestReservedRequestsAreSentFirst(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.server(1).congestion.window = 1
	first := gateway.newArrival("read", "gold", 1, 2, 1)
	gateway.step(first)
	reserved := gateway.newArrival("read", "reserved", 3, 2, 4)
	gateway.step(gateway.newArrival("read", "twice", 2, 2, 2), gateway.newArrival("read", "twice", 2, 2, 3), reserved)
	gateway.now += 5 * ms
	gateway.server(1).congestion.window = 1
	if sent := sentIDs(gateway.step(attemptServed(first.ID, 5*ms))); len(sent) == 0 || sent[0] != reserved.ID {
		t.Errorf("sent requests %v, want request %d first, since it is within the reserve of its volume", sent, reserved.ID)
	}
}
