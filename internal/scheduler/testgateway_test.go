package scheduler

import (
	"testing"
	"time"
)

// ms is the unit of most times in the tests.
const ms = time.Millisecond

// testGateway drives a scheduler with a clock and request IDs of its own.
type testGateway struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	lastID    RequestID
}

// testSettings returns settings for two gateways and two shards, with a class and a plan for each subject.
func testSettings() Settings {
	return Settings{Gateways: 2, Shards: 2, MeanUnits: 2, MaxUnits: 6, FairShareWeight: 0.4, SurplusWeight: 0.1, MaxAttempts: 4,
		AllowCancel: true, ResponseGrace: 8 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2, SlowStartDuration: 18 * time.Second,
		OverloadMultiple: 3, OverloadWindow: time.Second, SlowStartUnits: 12, MinStepInterval: 2 * ms, MaxPollInterval: 10 * time.Second,
		Classes: []Class{
			{Name: "read", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 2},
			{Name: "bulk", LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 2, Idempotency: NotIdempotent, OrderedByKey: true},
		},
		Plans: []Plan{{Name: "gold", Rate: 10, Weight: 1, PriorityFactor: 1}, {Name: "twice", Rate: 10, Weight: 2, PriorityFactor: 1},
			{Name: "kept", Rate: 10, Weight: 1, PriorityFactor: 1, Reserve: 100},
			{Name: "capped", Rate: 10, Weight: 1, PriorityFactor: 1, Limit: 20, LimitBurst: 24}}}
}

// newTestGateway returns a gateway whose scheduler knows server 1 of shard 0 and server 2 of shard 1. change may be nil.
func newTestGateway(t *testing.T, change func(*Settings)) *testGateway {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{t: t, scheduler: s, now: time.Hour}
	gateway.step(EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1, Shard: 0}, {ID: 2, Shard: 1}}})
	return gateway
}

// step passes events to the scheduler at the current time.
func (g *testGateway) step(events ...Event) []Action { return g.scheduler.Step(g.now, events) }

// advance lets time pass in steps of 5 ms and returns the actions of all of them.
func (g *testGateway) advance(d time.Duration) (all []Action) {
	for end := g.now + d; g.now < end; {
		g.now += 5 * ms
		all = append(all, g.step(TimerFired{})...)
	}
	return all
}

// newArrival returns a request with a new ID for shard 0.
func (g *testGateway) newArrival(class, plan string, volume int, units float64, key uint64) RequestArrived {
	g.lastID++
	ttl := g.scheduler.classes[class].Deadline
	return RequestArrived{ID: g.lastID, Class: class, Plan: plan, Volume: VolumeID(volume), Key: key, TTL: ttl, Units: units, Gateways: 1}
}

// nextVolume returns one of seven volumes by the last ID.
func (g *testGateway) nextVolume() int { return int(g.lastID % 7) }

// sentIDs returns the requests that are sent.
func sentIDs(actions []Action) (ids []RequestID) {
	for _, a := range actions {
		if a, ok := a.(Send); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// rejectedIDs returns the requests that are rejected.
func rejectedIDs(actions []Action) (ids []RequestID) {
	for _, a := range actions {
		if a, ok := a.(Reject); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// failedIDs returns the requests that fail.
func failedIDs(actions []Action) (ids []RequestID) {
	for _, a := range actions {
		if a, ok := a.(Fail); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// serveReads lets a read arrive in every interval for a time and ends each attempt after a latency with a status. It returns the number
// of sends.
func (g *testGateway) serveReads(d, every, lat time.Duration, status Status) (sends int) {
	type open struct {
		id RequestID
		at time.Duration
	}
	var out []open
	for end, k := g.now+d, 0; g.now < end; k++ {
		g.now += 5 * ms
		var events []Event
		for len(out) > 0 && out[0].at <= g.now {
			request := g.scheduler.requests[out[0].id]
			events = append(events, AttemptEnded{ID: out[0].id, Attempt: len(request.attempts) - 1, Server: 1, Status: status,
				Latency: lat, RequestDone: status == StatusOK})
			out = out[1:]
		}
		if k%max(1, int(every/(5*ms))) == 0 {
			events = append(events, g.newArrival("read", "gold", 1, 2, uint64(g.lastID)+1000))
		}
		for _, id := range sentIDs(g.step(append(events, TimerFired{})...)) {
			out = append(out, open{id, g.now + lat})
			sends++
		}
	}
	return sends
}

// endpointList returns a list of servers 1 to n, one for each shard.
func endpointList(n int) (l EndpointUpdate) {
	l.Kind = CachedSnapshot
	for i := range n {
		l.Servers = append(l.Servers, Server{ID: ServerID(i + 1), Shard: i})
	}
	return l
}

// placeNewObjects sends new objects one by one, ends each at once with the status that its server answers, and returns how many went to
// each server.
func placeNewObjects(t *testing.T, s *Scheduler, now *time.Duration, id *RequestID, count int, answer func(ServerID) Status) map[ServerID]int {
	t.Helper()
	got := map[ServerID]int{}
	for range count {
		*now += 20 * ms
		*id++
		a := RequestArrived{ID: *id, Class: "read", Plan: "gold", TTL: 3 * time.Second, Units: 1, Shard: -1, Gateways: 1}
		for _, a := range s.Step(*now, []Event{a}) {
			switch a := a.(type) {
			case ProbeServer:
				t.Fatal("a probe")
			case Send:
				got[a.Server]++
				s.Step(*now+5*ms, []Event{AttemptEnded{ID: a.ID, Server: a.Server, Status: answer(a.Server), Latency: 5 * ms, RequestDone: true}})
			}
		}
		*now += 5 * ms
	}
	return got
}

// nan returns a value that is not a number.
func nan() float64 { z := 0.0; return z / z }
