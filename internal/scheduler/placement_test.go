package scheduler

import (
	"testing"
	"time"
)

// placementGateway is a gateway that only gets new objects.
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

// place sends new objects one by one, ends each at once with the status that its server responds with, and returns how many went to each
// server.
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
			t.Fatalf("probes %v", probes)
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

// allSucceed is the response of servers that execute every request.
func allSucceed(ServerID) Status { return StatusOK }

// Many gateways with hardly any requests in flight must not choose the same shard as the least loaded one, nor a server that is
// starting, unresponsive or failing.
func TestNewObjectsSpreadOverServers(t *testing.T) {
	const gateways, shards, unfit = 200, 20, 3 // servers 1 to 3 are unfit
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
		scheduler.Step(now, []Event{arrival}) // server 2 owes its response for long
		now += 900 * ms
		scheduler.servers[3].connectFailures = 1
		arrival.ID, arrival.Shard = 2, -1
		for _, send := range actionsOf[Send](scheduler.Step(now, []Event{arrival})) {
			placed[send.Server-1]++
		}
	}
	for i, count := range placed {
		if fair := gateways / (shards - unfit); i < unfit && count > 0 || i >= unfit && (count < fair/4 || count > 3*fair) {
			t.Errorf("server %d got %d of %d new objects: %v", i+1, count, gateways, placed)
		}
	}
}

// New objects stay on servers that the gateway knows, since a connection to a new one costs a handshake. A server that has responded
// with an error gets none until its cooldown is over.
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
		t.Errorf("%d new objects went to a server that fails them", placed[failing])
	}
	gateway.now += errorCooldown
	if placed := gateway.place(t, 200, allSucceed); placed[failing] == 0 {
		t.Errorf("the server got none after its cooldown: %v", placed)
	}
}

// 300 gateways place a hundred new objects each on 200 servers: they connect to minKnownServers servers each, which are spread
// evenly.
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
		t.Errorf("%d connections from %d gateways, at most %d wanted", connections, simulatedGateways, simulatedGateways*minKnownServers)
	}
	for id, count := range perServer {
		if mean := simulatedGateways * minKnownServers / settings.Shards; count > 3*mean {
			t.Errorf("server %d got %d connections, the mean is %d", id, count, mean)
		}
	}
}
