package scheduler

import (
	"math"
	"testing"
	"time"
)

// Events that name unknown requests or servers are ignored, and requests that the settings do not cover are rejected.
func TestUnexpectedEvents(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(AttemptEnded{ID: 99, Status: StatusOK}, RequestCanceled{ID: 99}, ResponseStarted{ID: 99}, ProbeEnded{Server: 77},
		TimerFired{})
	arrival := gateway.newArrival("read", "gold", 1, 2, 5)
	if sent := sentIDs(gateway.step(arrival, arrival)); len(sent) != 1 {
		t.Errorf("two requests with the same ID were sent %d times, want once", len(sent))
	}
	gateway.step(AttemptEnded{ID: arrival.ID, Attempt: 3, Status: StatusOK}, AttemptEnded{ID: arrival.ID, Attempt: -1, Status: StatusOK})
	for name, invalidate := range map[string]func(*RequestArrived){
		"class":                 func(a *RequestArrived) { a.Class = "none" },
		"plan":                  func(a *RequestArrived) { a.Plan = "none" },
		"shard above":           func(a *RequestArrived) { a.Shard = 7 },
		"shard below":           func(a *RequestArrived) { a.Shard = -2 },
		"no time left":          func(a *RequestArrived) { a.Remaining = 0 },
		"negative client delay": func(a *RequestArrived) { a.ClientDelay = -1 },
		"too many units":        func(a *RequestArrived) { a.Units = minImplausibleUnits },
	} {
		t.Run(name, func(t *testing.T) {
			arrival := gateway.newArrival("read", "gold", 1, 2, 5)
			invalidate(&arrival)
			if rejected := rejectedIDs(gateway.step(arrival)); len(rejected) != 1 || rejected[0] != arrival.ID {
				t.Errorf("after the arrival of %+v the rejected requests are %v, want that request", arrival, rejected)
			}
		})
	}
	gateway.now -= time.Second
	gateway.step(TimerFired{}) // must not panic if the clock runs backwards
}

// Values that are out of range must not cause a panic, and requests with such values are rejected.
func TestInvalidValues(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.ReportsForeignUnits, s.UsagePeriod = true, time.Second })
	for _, units := range []float64{math.NaN(), -1, 1e300} {
		if rejected := rejectedIDs(gateway.step(gateway.newArrival("read", "capped", 1, units, 5))); len(rejected) != 1 {
			t.Errorf("after a request of %v units the rejected requests are %v, want that request", units, rejected)
		}
	}
	for _, gateways := range []int{0, -3, 99} {
		arrival := gateway.newArrival("read", "gold", 40+gateways, 2, 5)
		arrival.Gateways = gateways
		gateway.step(arrival)
		if got := gateway.scheduler.volumes[arrival.Volume].gateways; got != 2 {
			t.Errorf("a volume with %d gateways is treated as having %v, want all 2 gateways", gateways, got)
		}
	}
	arrival := gateway.newArrival("read", "gold", 1, 2, 5)
	gateway.step(arrival, AttemptEnded{ID: arrival.ID, LoadReport: []float64{math.NaN(), -1, 1e300, 4, 5, 6}, VolumeUsage: math.NaN(),
		HasVolumeUsage: true, Latency: -time.Hour, Status: StatusOK, RequestDone: true})
	var servers []Server
	for id := range 60 {
		servers = append(servers, Server{ID: ServerID(id), Shard: id % 2, StartedAt: gateway.now + time.Duration(id)*time.Second})
	}
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: servers})
	gateway.now += time.Hour
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5), TimerFired{})
	if latency := gateway.server(1).congestion.latency; latency <= 0 {
		t.Errorf("latency is %v, want a positive value", latency)
	}
}

// A server hangs under load while a poll of discovery has failed and the gateway has just started. Requests must end by their
// deadline, and the server must get few of them.
func TestUnresponsiveServerWhileDiscoveryFails(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	gateway.step(EndpointUpdate{Kind: WatchFailed})
	sends := gateway.serveReads(3*time.Second, 5*ms, time.Hour, StatusOK)
	overdue := 0
	for _, request := range gateway.scheduler.requests {
		if !request.finished && request.expiresAt < gateway.now {
			overdue++
		}
	}
	if overdue != 0 || sends > 30 {
		t.Errorf("%d requests are overdue and %d were sent to an unresponsive server, want none and at most 30", overdue, sends)
	}
}

// Removed servers, idle flows and idle volumes are dropped, and shards without flows are not kept among the active ones.
func TestEvictIdleState(t *testing.T) {
	gateway := newTestGateway(t, nil)
	scheduler := gateway.scheduler
	for k := range 200 {
		id := ServerID(1000 + k)
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: id, Shard: 0}}})
		arrival := gateway.newArrival("bulk", "gold", k, 2, uint64(k))
		for _, id := range sentIDs(append(gateway.step(arrival), gateway.advance(50*ms)...)) {
			gateway.step(AttemptEnded{ID: id, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		}
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: id, Shard: 0, State: Removed}}})
	}
	gateway.advance(30 * time.Second)
	servers, flows := len(scheduler.servers), len(scheduler.shards[0].flows)
	active, requests := len(scheduler.activeShards), len(scheduler.requests)
	if servers != 2 || flows != 0 || active != 0 || requests != 0 {
		t.Errorf("%d servers, %d flows, %d active shards and %d requests are kept, want 2 servers and nothing else",
			servers, flows, active, requests)
	}
	if len(scheduler.volumes) != 200 {
		t.Errorf("%d volumes are kept, want the 200 whose last request is less than volumeIdleTimeout ago", len(scheduler.volumes))
	}
	// The state of a volume must be kept while the bucket of its limit is not full (see isIdle): new state would allow the volume
	// more than its limit. The low rate below keeps the bucket from filling.
	gateway.step(gateway.newArrival("bulk", "capped", 999, 20, 1))
	gateway.now += volumeIdleTimeout + time.Second
	limit := &scheduler.volumes[999].limit
	limit.rate, limit.capacity, limit.updatedAt = 0.001, 1e9, gateway.now
	gateway.step(gateway.newArrival("bulk", "gold", 1, 2, 1), TimerFired{})
	if len(scheduler.volumes) != 2 || scheduler.volumes[999] == nil {
		t.Errorf("%d volumes are kept, want the one with a request and the one whose limit's bucket is not full",
			len(scheduler.volumes))
	}
}

// With a new volume, server and key every 100 ms for 40 minutes, the state must stay bounded: it may hold only what is outstanding
// and what was used within the last 75 s (the sum of volumeIdleTimeout and evictionInterval).
func TestStateIsBoundedOverLongRun(t *testing.T) {
	settings := testSettings()
	scheduler := newScheduler(t, settings, 1)
	now := time.Hour
	scheduler.Step(now, []Event{endpointList(2)})
	attempts := map[RequestID]int{}
	for k := range 40 * 60 * 10 {
		now += 100 * ms
		events := []Event{replaceServer(k), newKeyArrival(settings, k), TimerFired{}}
		for actions := scheduler.Step(now, events); len(actions) > 0; actions = actions[1:] {
			send, ok := actions[0].(Send)
			if !ok {
				continue
			}
			status := []Status{StatusOK, StatusOK, StatusError, StatusConnectionReset, StatusTimedOut}[k%5]
			end := AttemptEnded{ID: send.ID, Attempt: attempts[send.ID], Server: send.Server, Status: status, Latency: 5 * ms,
				RequestDone: status == StatusOK}
			attempts[send.ID]++
			actions = append(actions, scheduler.Step(now+5*ms, []Event{end})...)
		}
		checkStateSize(t, scheduler, now)
	}
	for k := range 20 {
		scheduler.Step(now+time.Duration(k)*time.Second, []Event{TimerFired{}})
	}
	if len(scheduler.requests) != 0 || len(scheduler.deadlines.entries) != 0 {
		t.Errorf("%d requests and %d deadlines are kept at the end, want none",
			len(scheduler.requests), len(scheduler.deadlines.entries))
	}
}

// replaceServer returns an update in which the k-th server replaces the one before it.
func replaceServer(k int) EndpointUpdate {
	next, last := ServerID(10+k), ServerID(10+k-1)
	if k == 0 {
		last = 0
	}
	return EndpointUpdate{Kind: Delta, Servers: []Server{{ID: next, Shard: 0}, {ID: last, Shard: 0, State: Removed}}}
}

// newKeyArrival returns the k-th request, with a volume and a key of its own.
func newKeyArrival(settings Settings, k int) RequestArrived {
	class := []string{"read", "bulk", "once"}[k%3]
	return RequestArrived{ID: RequestID(k + 1), Class: class, Plan: settings.Plans[k%4].Name, Volume: VolumeID(k), Key: uint64(k),
		Remaining: time.Second, Units: 2, Shard: k % 2, Gateways: 1}
}

// checkStateSize checks that the state is bounded in a run with a new volume every 100 ms.
func checkStateSize(t *testing.T, scheduler *Scheduler, now time.Duration) {
	t.Helper()
	flows := 0
	for _, shard := range scheduler.shards {
		flows += len(shard.flows)
	}
	maxVolumes := int((volumeIdleTimeout+volumeIdleTimeout/4)/(100*ms)) + 1
	volumes, servers, requests := len(scheduler.volumes), len(scheduler.servers), len(scheduler.requests)
	deadlines, keys := len(scheduler.deadlines.entries), len(scheduler.keyOrder.queues)
	if volumes > maxVolumes || servers > 4 || requests > 20 || deadlines > 20 || flows > 100 || keys > 100 {
		t.Fatalf("state is too large after %v: %d volumes, %d servers, %d requests, %d deadlines, %d flows, %d keys", now-time.Hour,
			volumes, servers, requests, deadlines, flows, keys)
	}
}
