package scheduler

import (
	"testing"
	"time"
)

// placementGateway is a gateway whose requests are all for new objects.
type placementGateway struct {
	scheduler *Scheduler
	now       time.Duration
	lastID    RequestID
}

// newPlacementGateway returns a gateway that knows one server for each shard.
func newPlacementGateway(t *testing.T, settings Settings, seed uint64) *placementGateway {
	t.Helper()
	gateway := &placementGateway{scheduler: newScheduler(t, settings, seed), now: time.Hour}
	gateway.scheduler.Step(gateway.now, []Event{endpointList(settings.Shards)})
	return gateway
}

// place lets requests for new objects arrive one by one and ends each after 5 ms with the status that statusOf returns for its
// server. It returns the number of requests that each server got.
func (g *placementGateway) place(t *testing.T, count int, statusOf func(ServerID) Status) map[ServerID]int {
	t.Helper()
	placed := map[ServerID]int{}
	for range count {
		g.now += 20 * ms
		g.lastID++
		arrival := RequestArrived{ID: g.lastID, Class: "read", Plan: "gold", Remaining: 3 * time.Second, Units: 1, Shard: -1, Gateways: 1}
		actions := g.scheduler.Step(g.now, []Event{arrival})
		g.now += 5 * ms
		if probes := actionsOf[ProbeServer](actions); len(probes) > 0 {
			t.Fatalf("scheduler emitted probes %v, want none", probes)
		}
		for _, send := range actionsOf[Send](actions) {
			placed[send.Server]++
			end := sendServed(send, 5*ms)
			end.Status = statusOf(send.Server)
			g.scheduler.Step(g.now, []Event{end})
		}
	}
	return placed
}

// allSucceed is the statusOf function of servers that execute every request.
func allSucceed(ServerID) Status { return StatusOK }

// Gateways with hardly any requests in flight must not all choose the same shard as the least loaded one for a new object. They must
// not choose a server that is in slow start (server 1) or unresponsive (server 2), or to which connects fail (server 3).
func TestNewObjectsSpreadOverServers(t *testing.T) {
	const gateways, shards, ineligible = 200, 20, 3 // servers 1 to 3 must not get new objects
	placed := make([]int, shards)
	for seed := range uint64(gateways) {
		settings := testSettings()
		settings.Gateways, settings.Shards = gateways, shards
		scheduler := newScheduler(t, settings, seed)
		endpoints := endpointList(shards)
		endpoints.Servers[0].StartedAt = time.Hour
		scheduler.Step(time.Hour, []Event{endpoints})
		now := time.Hour + 5*time.Second
		arrival := RequestArrived{ID: 1, Class: "read", Plan: "gold", Remaining: time.Second, Units: 1, Shard: 1, Gateways: 1}
		scheduler.Step(now, []Event{arrival}) // server 2 does not respond and becomes unresponsive
		now += 900 * ms
		scheduler.servers[3].connectFailures = 1
		arrival.ID, arrival.Shard = 2, -1
		for _, send := range actionsOf[Send](scheduler.Step(now, []Event{arrival})) {
			placed[send.Server-1]++
		}
	}
	for i, count := range placed {
		if mean := gateways / (shards - ineligible); i < ineligible && count > 0 || i >= ineligible && (count < mean/4 || count > 3*mean) {
			t.Errorf("server %d got %d of %d new objects, want none at servers 1 to 3 and an even spread over the rest: %v",
				i+1, count, gateways, placed)
		}
	}
}

// A gateway places new objects on servers that have responded to it before, since the first request to another server costs a
// handshake. A server that has responded with an error gets no new objects until errorCooldown has passed.
func TestNewObjectsStayOnKnownServers(t *testing.T) {
	settings := testSettings()
	settings.Shards = 60
	gateway := newPlacementGateway(t, settings, 1)
	placed := gateway.place(t, 200, allSucceed)
	if len(placed) != minKnownServers {
		t.Errorf("200 new objects went to %d servers, want %d: %v", len(placed), minKnownServers, placed)
	}
	var failing ServerID
	for id := range placed {
		failing = max(failing, id)
	}
	placed = gateway.place(t, 100, func(id ServerID) Status {
		if id == failing {
			return StatusError
		}
		return StatusOK
	})
	if placed[failing] != 1 {
		t.Errorf("%d new objects went to a server that responds with errors, want 1, whose error starts the cooldown", placed[failing])
	}
	gateway.now += errorCooldown
	if placed := gateway.place(t, 200, allSucceed); placed[failing] == 0 {
		t.Errorf("the server got no new objects after its cooldown: %v", placed)
	}
}

// 300 gateways place 100 new objects each on 200 servers. Each gateway connects to at most minKnownServers servers, and no server
// gets many more connections than the mean.
func TestNewObjectsOpenFewConnections(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.Shards, settings.PollEndpoints = simulatedGateways, 200, true
	connections, perServer := 0, map[ServerID]int{}
	for seed := range uint64(simulatedGateways) {
		for id := range newPlacementGateway(t, settings, seed).place(t, 100, allSucceed) {
			connections++
			perServer[id]++
		}
	}
	if connections > simulatedGateways*minKnownServers {
		t.Errorf("%d connections from %d gateways, want at most %d", connections, simulatedGateways, simulatedGateways*minKnownServers)
	}
	for id, count := range perServer {
		if mean := simulatedGateways * minKnownServers / settings.Shards; count > 3*mean {
			t.Errorf("server %d got %d connections, want at most 3 times the mean of %d", id, count, mean)
		}
	}
}
