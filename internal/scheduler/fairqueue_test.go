package scheduler

import (
	"testing"
)

func TestFairSharesFollowWeights(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.scheduler.servers[1].congestion.window = 1
	var events []Event
	plan := map[RequestID]string{}
	for k := range 60 {
		p := []string{"gold", "twice"}[k%2]
		a := gateway.newArrival("bulk", p, k%2, 2, uint64(k))
		plan[a.ID], events = p, append(events, a)
	}
	count := map[string]int{}
	sent := sentIDs(gateway.step(events...))
	for len(sent) > 0 && count["gold"]+count["twice"] < 24 {
		id := sent[0]
		count[plan[id]]++
		gateway.now += 5 * ms
		gateway.scheduler.servers[1].congestion.window = 1
		sent = append(sent[1:], sentIDs(gateway.step(AttemptEnded{ID: id, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true}))...)
	}
	if count["twice"] < 14 || count["twice"] > 18 || count["gold"] < 6 {
		t.Errorf("sent %v, want about 1 to 2", count)
	}
}

func TestReservedRequestsAreSentFirst(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.scheduler.servers[1].congestion.window = 1
	first := gateway.newArrival("read", "gold", 1, 2, 1)
	gateway.step(first)
	gateway.step(gateway.newArrival("read", "twice", 2, 2, 2), gateway.newArrival("read", "twice", 2, 2, 3), gateway.newArrival("read", "kept", 3, 2, 4))
	gateway.now += 5 * ms
	gateway.scheduler.servers[1].congestion.window = 1
	got := sentIDs(gateway.step(AttemptEnded{ID: first.ID, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true}))
	if len(got) == 0 || got[0] != 4 {
		t.Errorf("sent %v, want the reserved 4 first", got)
	}
}
