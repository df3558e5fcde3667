package scheduler

import (
	"testing"
	"time"
)

// ms is the unit of most times in the tests.
const ms = time.Millisecond

// testSettings returns settings for two gateways and two shards, with classes and plans for the different rules under test.
func testSettings() Settings {
	return Settings{
		Gateways: 2, Shards: 2, MeanUnits: 2, MaxUnits: 6, FairShareWeight: 0.4, SurplusWeight: 0.1,
		MaxAttempts: 4, AllowCancel: true, ResponseGrace: 8 * ms, DrainGrace: 250 * ms,
		InitialCapacity: 0.2, SlowStartDuration: 18 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second, SlowStartUnits: 12,
		MinStepInterval: 2 * ms, MaxPollInterval: 10 * time.Second,
		Classes: []Class{
			{Name: "read", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 2},
			{Name: "bulk", LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 2,
				Idempotency: NotIdempotent, OrderedByKey: true},
		},
		Plans: []Plan{
			{Name: "gold", Rate: 10, Weight: 1, PriorityFactor: 1},
			{Name: "twice", Rate: 10, Weight: 2, PriorityFactor: 1},
			{Name: "reserved", Rate: 10, Weight: 1, PriorityFactor: 1, Reserve: 100},
			{Name: "capped", Rate: 10, Weight: 1, PriorityFactor: 1, Limit: 20, LimitBurst: 24},
		},
	}
}

// newScheduler returns a scheduler and ends the test if the settings are invalid.
func newScheduler(t testing.TB, settings Settings, seed uint64) *Scheduler {
	t.Helper()
	scheduler, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return scheduler
}

// testGateway drives a scheduler. It has its own clock and request IDs.
type testGateway struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	lastID    RequestID
}

// newTestGateway returns a gateway with server 1 in shard 0 and server 2 in shard 1. change modifies the settings; it may be nil.
func newTestGateway(t *testing.T, change func(*Settings)) *testGateway {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	gateway := &testGateway{t: t, scheduler: newScheduler(t, settings, 1), now: time.Hour}
	gateway.step(EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1, Shard: 0}, {ID: 2, Shard: 1}}})
	return gateway
}

// step passes events to the scheduler at the current time.
func (g *testGateway) step(events ...Event) []Action { return g.scheduler.Step(g.now, events) }

// advance moves the clock forward in steps of 5 ms and returns the actions of all steps.
func (g *testGateway) advance(period time.Duration) (all []Action) {
	for end := g.now + period; g.now < end; {
		g.now += 5 * ms
		all = append(all, g.step(TimerFired{})...)
	}
	return all
}

// newArrival returns a request for shard 0 with a new ID and the deadline of its class.
func (g *testGateway) newArrival(class, plan string, volume int, units float64, key uint64) RequestArrived {
	g.lastID++
	remaining := g.scheduler.classes[class].Deadline
	return RequestArrived{
		ID: g.lastID, Class: class, Plan: plan, Volume: VolumeID(volume), Key: key, Remaining: remaining, Units: units, Gateways: 1,
	}
}

// nextVolume returns one of seven volumes in turn, selected by the last ID.
func (g *testGateway) nextVolume() int { return int(g.lastID % 7) }

// server returns the state of a server.
func (g *testGateway) server(id ServerID) *serverEntry { return g.scheduler.servers[id] }

// restartServer delivers an update that reports a restart of server 1 at the current time.
func (g *testGateway) restartServer() {
	g.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: g.now}}})
}

// serveReads delivers a read every interval for a period and ends each attempt with the status after the latency. It returns the
// number of sends.
func (g *testGateway) serveReads(period, interval, latency time.Duration, status Status) (sends int) {
	g.t.Helper()
	type pendingRead struct {
		id RequestID
		at time.Duration
	}
	var pending []pendingRead
	for end, step := g.now+period, 0; g.now < end; step++ {
		g.now += 5 * ms
		var events []Event
		for len(pending) > 0 && pending[0].at <= g.now {
			id := pending[0].id
			events = append(events, AttemptEnded{ID: id, Attempt: len(g.scheduler.requests[id].attempts) - 1, Server: 1, Status: status,
				Latency: latency, RequestDone: status == StatusOK})
			pending = pending[1:]
		}
		if step%max(1, int(interval/(5*ms))) == 0 {
			events = append(events, g.newArrival("read", "gold", 1, 2, uint64(g.lastID)+1000))
		}
		for _, id := range sentIDs(g.step(append(events, TimerFired{})...)) {
			pending = append(pending, pendingRead{id, g.now + latency})
			sends++
		}
	}
	return sends
}

// attemptServed returns the successful end of a request's first attempt at server 1.
func attemptServed(id RequestID, latency time.Duration) AttemptEnded {
	return AttemptEnded{ID: id, Server: 1, Status: StatusOK, Latency: latency, RequestDone: true}
}

// sendServed returns the successful end of a request's first attempt.
func sendServed(send Send, latency time.Duration) AttemptEnded {
	return AttemptEnded{ID: send.ID, Server: send.Server, Status: StatusOK, Latency: latency, RequestDone: true}
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) (found []A) {
	for _, action := range actions {
		if action, ok := action.(A); ok {
			found = append(found, action)
		}
	}
	return found
}

// sentIDs returns the IDs of the requests that the actions send.
func sentIDs(actions []Action) (ids []RequestID) {
	for _, send := range actionsOf[Send](actions) {
		ids = append(ids, send.ID)
	}
	return ids
}

// rejectedIDs returns the IDs of the requests that the actions reject.
func rejectedIDs(actions []Action) (ids []RequestID) {
	for _, reject := range actionsOf[Reject](actions) {
		ids = append(ids, reject.ID)
	}
	return ids
}

// failedIDs returns the IDs of the requests that the actions fail.
func failedIDs(actions []Action) (ids []RequestID) {
	for _, fail := range actionsOf[Fail](actions) {
		ids = append(ids, fail.ID)
	}
	return ids
}

// endpointList returns an update with servers 1 to n, one for each shard.
func endpointList(n int) EndpointUpdate {
	update := EndpointUpdate{Kind: CachedSnapshot}
	for i := range n {
		update.Servers = append(update.Servers, Server{ID: ServerID(i + 1), Shard: i})
	}
	return update
}
