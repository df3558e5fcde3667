package scheduler

import (
	"testing"
	"time"
)

// Many gateways with hardly any requests in flight must not choose the same shard as the least loaded one, nor a server that is starting,
// unresponsive or failing.
func TestNewObjectsSpreadOverServers(t *testing.T) {
	const gates, shards, bad = 200, 20, 3
	got := make([]int, shards)
	for seed := range uint64(gates) {
		settings := testSettings()
		settings.Gateways, settings.Shards = gates, shards
		s, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		l := endpointList(shards)
		l.Servers[0].StartedAt = time.Hour
		s.Step(time.Hour, []Event{l})
		now := time.Hour + 5*time.Second
		a := RequestArrived{ID: 1, Class: "read", Plan: "gold", TTL: time.Second, Units: 1, Shard: 1, Gateways: 1}
		s.Step(now, []Event{a}) // node 2 owes an answer for long
		now += 900 * ms
		s.servers[3].connectFailures = 1
		a.ID, a.Shard = 2, -1
		for _, a := range s.Step(now, []Event{a}) {
			if a, ok := a.(Send); ok {
				got[a.Server-1]++
			}
		}
	}
	for i, n := range got {
		if fair := gates / (shards - bad); i < bad && n > 0 || i >= bad && (n < fair/4 || n > 3*fair) {
			t.Errorf("node %d got %d of %d new objects: %v", i+1, n, gates, got)
		}
	}
}

// New objects stay on servers that the gateway knows, since a connection to a new one costs a handshake. A server that has answered with an
// error gets none until its cooldown is over.
func TestNewObjectsStayOnKnownServers(t *testing.T) {
	settings := testSettings()
	settings.Shards = 60
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, id := time.Hour, RequestID(0)
	s.Step(now, []Event{endpointList(settings.Shards)})
	fine := func(ServerID) Status { return StatusOK }
	got := placeNewObjects(t, s, &now, &id, 200, fine)
	if len(got) != minKnownServers {
		t.Errorf("200 new objects went to %d nodes, want %d: %v", len(got), minKnownServers, got)
	}
	var bad ServerID
	for n := range got {
		bad = max(bad, n)
	}
	errs := placeNewObjects(t, s, &now, &id, 100, func(n ServerID) Status {
		if n == bad {
			return StatusError
		}
		return StatusOK
	})
	if errs[bad] != 1 {
		t.Errorf("%d new objects went to a node that fails them", errs[bad])
	}
	now += errorCooldown
	if got := placeNewObjects(t, s, &now, &id, 200, fine); got[bad] == 0 {
		t.Errorf("the node that has rested got none: %v", got)
	}
}

// 300 gateways place a hundred new objects each on 200 servers: they connect to minKnownServers servers each, which are spread evenly.
func TestNewObjectsOpenFewConnections(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.Shards, settings.PollEndpoints = simulatedGateways, 200, true
	dials, perNode := 0, map[ServerID]int{}
	for seed := range uint64(simulatedGateways) {
		s, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		now, id := time.Hour, RequestID(0)
		s.Step(now, []Event{endpointList(settings.Shards)})
		for n := range placeNewObjects(t, s, &now, &id, 100, func(ServerID) Status { return StatusOK }) {
			dials++
			perNode[n]++
		}
	}
	if dials > simulatedGateways*minKnownServers {
		t.Errorf("%d connections from %d gateways, at most %d wanted", dials, simulatedGateways, simulatedGateways*minKnownServers)
	}
	for n, c := range perNode {
		if mean := simulatedGateways * minKnownServers / settings.Shards; c > 3*mean {
			t.Errorf("node %d got %d connections, the mean is %d", n, c, mean)
		}
	}
}
