package scheduler

import (
	"testing"
	"time"
)

// Events that name unknown requests or servers are ignored, and requests that the settings do not cover are rejected.
func TestUnexpectedEvents(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(AttemptEnded{ID: 99, Status: StatusOK}, RequestCanceled{ID: 99}, ResponseStarted{ID: 99}, ProbeEnded{Server: 77}, TimerFired{})
	a := gateway.newArrival("read", "gold", 1, 2, 5)
	if got := sentIDs(gateway.step(a, a)); len(got) != 1 {
		t.Errorf("a repeated id was sent %d times", len(got))
	}
	gateway.step(AttemptEnded{ID: a.ID, Attempt: 3, Status: StatusOK}, AttemptEnded{ID: a.ID, Attempt: -1, Status: StatusOK})
	for _, bad := range []func(*RequestArrived){func(arrival *RequestArrived) { arrival.Class = "none" }, func(arrival *RequestArrived) { arrival.Plan = "none" },
		func(arrival *RequestArrived) { arrival.Shard = 7 }, func(arrival *RequestArrived) { arrival.Shard = -2 }, func(arrival *RequestArrived) { arrival.TTL = 0 }} {
		a := gateway.newArrival("read", "gold", 1, 2, 5)
		bad(&a)
		if got := rejectedIDs(gateway.step(a)); len(got) != 1 || got[0] != a.ID {
			t.Errorf("%+v: refused %v", a, got)
		}
	}
	gateway.now -= time.Second
	gateway.step(TimerFired{}) // a clock that stands still or slips must not panic
}

// Values that are out of range must not panic, and requests with such values are rejected.
func TestInvalidValues(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.ReportsForeignUnits, s.UsagePeriod = true, time.Second })
	for _, units := range []float64{nan(), -1, 1e300} {
		a := gateway.newArrival("read", "capped", 1, units, 5)
		if got := rejectedIDs(gateway.step(a)); len(got) != 1 {
			t.Errorf("%v units: refused %v", units, got)
		}
	}
	for _, hosts := range []int{0, -3, 99} {
		a := gateway.newArrival("read", "gold", 40+hosts, 2, 5)
		a.Gateways = hosts
		gateway.step(a)
		if h := gateway.scheduler.volumes[a.Volume].gateways; h != 2 {
			t.Errorf("hosts %d read as %v, want all siblings", hosts, h)
		}
	}
	a := gateway.newArrival("read", "gold", 1, 2, 5)
	gateway.step(a, AttemptEnded{ID: a.ID, LoadReport: []float64{nan(), -1, 1e300, 4, 5, 6}, VolumeUsage: nan(), HasVolumeUsage: true,
		Latency: -time.Hour, Status: StatusOK, RequestDone: true})
	var nodes []Server
	for k := range 60 {
		nodes = append(nodes, Server{ID: ServerID(k), Shard: k % 2, StartedAt: gateway.now + time.Duration(k)*time.Second})
	}
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: nodes})
	gateway.now += time.Hour
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5), TimerFired{})
	if l := gateway.scheduler.servers[1].congestion.latency; l <= 0 {
		t.Errorf("L is %v", l)
	}
}

// A server hangs under load while polls of discovery fail, and the gateway itself has just started.
func TestUnresponsiveServerWhileDiscoveryFails(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	gateway.step(EndpointUpdate{Kind: WatchFailed})
	sends := gateway.serveReads(3*time.Second, 5*ms, time.Hour, StatusOK)
	open := 0
	for _, request := range gateway.scheduler.requests {
		if !request.finished && request.expiresAt < gateway.now {
			open++
		}
	}
	if open != 0 || sends > 30 {
		t.Errorf("%d overdue, %d sent to a silent node", open, sends)
	}
}

// Removed servers, idle flows and idle volumes are dropped, and idle shards are not visited.
func TestEvictIdleState(t *testing.T) {
	gateway := newTestGateway(t, nil)
	for k := range 200 {
		id := ServerID(1000 + k)
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: id, Shard: 0}}})
		a := gateway.newArrival("bulk", "gold", k, 2, uint64(k))
		for _, id := range sentIDs(append(gateway.step(a), gateway.advance(50*ms)...)) {
			gateway.step(AttemptEnded{ID: id, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		}
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: id, Shard: 0, State: Removed}}})
	}
	gateway.advance(30 * time.Second)
	if len(gateway.scheduler.servers) != 2 || len(gateway.scheduler.shards[0].flows) != 0 || len(gateway.scheduler.activeShards) != 0 || len(gateway.scheduler.requests) != 0 {
		t.Errorf("%d nodes, %d flows, %d busy shards, %d requests kept", len(gateway.scheduler.servers), len(gateway.scheduler.shards[0].flows),
			len(gateway.scheduler.activeShards), len(gateway.scheduler.requests))
	}
	if len(gateway.scheduler.volumes) != 200 {
		t.Errorf("%d volumes are known, want 200 that have asked a while ago", len(gateway.scheduler.volumes))
	}
	// The books of one whose limit is not full yet must stay: a new one's would let it ask for more.
	slow := gateway.newArrival("bulk", "capped", 999, 20, 1)
	gateway.step(slow)
	gateway.now += volumeIdleTimeout + time.Second
	limit := &gateway.scheduler.volumes[999].limit
	limit.rate, limit.capacity, limit.updatedAt = 0.001, 1e9, gateway.now
	gateway.step(gateway.newArrival("bulk", "gold", 1, 2, 1), TimerFired{})
	if len(gateway.scheduler.volumes) != 2 || gateway.scheduler.volumes[999] == nil {
		t.Errorf("%d volumes are known, want the one that asks and the one in debt", len(gateway.scheduler.volumes))
	}
}

// Forty minutes with a new volume, server and key every 100 ms: the state is bounded by what is outstanding and by what the last minute
// and a quarter has used.
func TestStateIsBoundedOverLongRun(t *testing.T) {
	settings := testSettings()
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	s.Step(now, []Event{endpointList(2)})
	last, attempts := ServerID(0), map[RequestID]int{}
	for k := range 40 * 60 * 10 {
		now += 100 * ms
		n := ServerID(10 + k)
		news := EndpointUpdate{Kind: Delta, Servers: []Server{{ID: n, Shard: 0}, {ID: last, Shard: 0, State: Removed}}}
		last = n
		class := []string{"read", "bulk", "once"}[k%3]
		a := RequestArrived{ID: RequestID(k + 1), Class: class, Plan: settings.Plans[k%4].Name, Volume: VolumeID(k), Key: uint64(k),
			TTL: time.Second, Units: 2, Shard: k % 2, Gateways: 1}
		for todo := s.Step(now, []Event{news, a, TimerFired{}}); len(todo) > 0; todo = todo[1:] {
			if a, ok := todo[0].(Send); ok {
				status := []Status{StatusOK, StatusOK, StatusError, StatusConnectionReset, StatusTimedOut}[k%5]
				todo = append(todo, s.Step(now+5*ms, []Event{AttemptEnded{ID: a.ID, Attempt: attempts[a.ID], Server: a.Server,
					Status: status, Latency: 5 * ms, RequestDone: status == StatusOK}})...)
				attempts[a.ID]++
			}
		}
		flows := 0
		for _, shard := range s.shards {
			flows += len(shard.flows)
		}
		most := int((volumeIdleTimeout + volumeIdleTimeout/4) / (100 * ms))
		if len(s.volumes) > most+1 || len(s.servers) > 4 || len(s.requests) > 20 || len(s.deadlines.entries) > 20 || flows > 100 ||
			len(s.keyOrder.queues) > 100 {
			t.Fatalf("after %v: %d volumes, %d nodes, %d requests, %d expiries, %d flows, %d turns", now-time.Hour,
				len(s.volumes), len(s.servers), len(s.requests), len(s.deadlines.entries), flows, len(s.keyOrder.queues))
		}
	}
	for k := range 20 {
		s.Step(now+time.Duration(k)*time.Second, []Event{TimerFired{}})
	}
	if len(s.requests) != 0 || len(s.deadlines.entries) != 0 {
		t.Errorf("%d requests, %d expiries at the end", len(s.requests), len(s.deadlines.entries))
	}
}
