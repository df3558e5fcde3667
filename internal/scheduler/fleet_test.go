package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedGateways is the size that the tests of many gateways play: what each does alone must stay small in sum.
const simulatedGateways = 300

// endpointList is a list of one node a shard.
func endpointList(n int) (l EndpointUpdate) {
	l.Kind = CachedSnapshot
	for i := range n {
		l.Servers = append(l.Servers, Server{ID: ServerID(i + 1), Shard: i})
	}
	return l
}

// TestALimitThroughFewOfManyGateways: a volume with a limit comes through one to three of 300 gateways, unevenly,
// and asks for three times its limit. All together keep the limit's store over -LimitDebt, whatever each sends, and
// the volume is served most of what its limit allows through as many gateways as it uses.
func TestALimitThroughFewOfManyGateways(t *testing.T) {
	for hosts := 1; hosts <= 3; hosts++ {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			settings := testSettings()
			settings.Gateways, settings.Shards = simulatedGateways, 20
			plan := &settings.Plans[3]
			plan.LimitBurst, plan.LimitOverdraft = 2*6*float64(hosts), 6
			rnd := rand.New(rand.NewPCG(uint64(hosts), 5))
			schedulers := make([]*Scheduler, hosts)
			for i := range schedulers {
				s, err := New(settings, rnd.Uint64())
				if err != nil {
					t.Fatal(err)
				}
				schedulers[i] = s
				s.Step(time.Hour, []Event{endpointList(settings.Shards)})
			}
			id, units, sent := RequestID(0), map[RequestID]float64{}, 0.0
			store := tokenBucket{rate: plan.Limit, capacity: plan.LimitBurst, tokens: plan.LimitBurst, updatedAt: time.Hour}
			const length = 20 * time.Second
			for now := time.Hour; now < time.Hour+length; now += 5 * ms {
				events := make([][]Event, hosts)
				if rnd.Float64() < 3*plan.Limit/3.5*0.005 {
					id++
					u := float64(1 + rnd.IntN(6))
					units[id] = u
					i := rnd.IntN(hosts)
					events[i] = append(events[i], RequestArrived{ID: id, Class: "read", Plan: plan.Name, Volume: 7, Key: uint64(id),
						TTL: time.Second, Units: u, Shard: rnd.IntN(settings.Shards), Gateways: hosts})
				}
				for i, s := range schedulers {
					for _, a := range s.Step(now, append(events[i], TimerFired{})) {
						if a, ok := a.(Send); ok {
							store.consume(now, units[a.ID])
							sent += units[a.ID]
							s.Step(now, []Event{AttemptEnded{ID: a.ID, Server: a.Server, Status: StatusOK, Latency: 5 * ms, RequestDone: true}})
						}
					}
				}
				if store.tokens < -plan.LimitOverdraft {
					t.Fatalf("the limit's store is at %.1f, %v after the start", store.tokens, now-time.Hour)
				}
			}
			if most := plan.Limit * length.Seconds(); sent < 0.8*most {
				t.Errorf("%.0f units sent in %v, want most of %.0f", sent, length, most)
			}
		})
	}
}

// BenchmarkFleetList is what news of the list costs one gateway: all of 200 nodes, and one of them.
func BenchmarkFleetList(b *testing.B) {
	settings := testSettings()
	settings.Gateways, settings.Shards = simulatedGateways, 200
	for name, nodes := range map[string]int{"whole": 200, "change": 1} {
		b.Run(name, func(b *testing.B) {
			s, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			l := endpointList(200)
			s.Step(time.Hour, []Event{l})
			l.Kind, l.Servers = Delta, l.Servers[:nodes]
			if nodes > 1 {
				l.Kind = Snapshot
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Step(time.Hour, []Event{l})
			}
		})
	}
}

// BenchmarkFleetRequest is what a request costs the module, from its arrival to its answer, with 200 nodes known.
func BenchmarkFleetRequest(b *testing.B) {
	settings := testSettings()
	settings.Gateways, settings.Shards = simulatedGateways, 200
	for name, shard := range map[string]int{"named": 0, "new": -1} {
		b.Run(name, func(b *testing.B) {
			s, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			s.Step(time.Hour, []Event{endpointList(200)})
			now, id := time.Hour, RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				a := RequestArrived{ID: id, Class: "read", Plan: "gold", Volume: VolumeID(id % 20), Key: uint64(id),
					TTL: time.Second, Units: 2, Shard: shard, Gateways: 2}
				if a.Shard == 0 {
					a.Shard = int(id) % 200
				}
				now += 30 * ms
				for _, a := range s.Step(now, []Event{a}) {
					if a, ok := a.(Send); ok {
						s.Step(now+5*ms, []Event{AttemptEnded{ID: a.ID, Server: a.Server, Status: StatusOK, Latency: 5 * ms, RequestDone: true}})
					}
				}
			}
		})
	}
}

// TestAFleetOpensFewConnections: 300 gateways with new objects alone, a hundred each, over 200 nodes. A node that a
// gateway has not sent to before costs a connection; in sum they stay at fewMet for each gateway. None probes.
func TestAFleetOpensFewConnections(t *testing.T) {
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

// TestALongRunKeepsTheTables: 40 minutes with a new volume, node and piece of data every 100 ms. What is kept is
// bounded by the last minute and a quarter, and by what is out.
func TestALongRunKeepsTheTables(t *testing.T) {
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
		if len(s.volumes) > most+1 || len(s.servers) > 4 || len(s.requests) > 20 || len(s.deadlines) > 20 || flows > 100 ||
			len(s.keyQueues) > 100 {
			t.Fatalf("after %v: %d volumes, %d nodes, %d requests, %d expiries, %d flows, %d turns", now-time.Hour,
				len(s.volumes), len(s.servers), len(s.requests), len(s.deadlines), flows, len(s.keyQueues))
		}
	}
	for k := range 20 {
		s.Step(now+time.Duration(k)*time.Second, []Event{TimerFired{}})
	}
	if len(s.requests) != 0 || len(s.deadlines) != 0 {
		t.Errorf("%d requests, %d expiries at the end", len(s.requests), len(s.deadlines))
	}
}

// Parts of a limit that move: a volume starts with what no gateway ever lends, tells what it could use, and is held to
// the part that it is told. Where gateways do not share, nothing of that is there.
func TestPartsOfALimit(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.QuotaLeases, s.InitialQuotaShare = true, 0.5 })
	ask := func(units float64) (demands []QuotaDemand) {
		a := gateway.newArrival("read", "capped", 7, units, 1)
		a.Gateways = 2
		for _, a := range append(gateway.step(a), gateway.advance(10*ms)...) {
			if d, ok := a.(QuotaDemand); ok {
				demands = append(demands, d)
			}
		}
		return demands
	}
	if d := ask(1); len(d) != 1 || !d[0].First || d[0].Volume != 7 || d[0].Gateways != 2 {
		t.Fatalf("told %+v of a new volume", d)
	}
	volume := gateway.scheduler.volumes[7]
	if volume.limit.rate != 5 || volume.limit.capacity != 6 { // half of an even part of 20 and 24
		t.Errorf("starts with %v units a second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
	told := 0
	for range 100 { // a second at 100 units/s, five times the limit
		for _, d := range ask(1) {
			if told++; d.First {
				t.Error("told as new again")
			}
		}
	}
	if told < 5 || told > 11 {
		t.Errorf("told %d times in a second", told)
	}
	if got := volume.quotaDemand(7).Share; got < 2 || got > 5 {
		t.Errorf("%.2f of the limit could be used, asked for was about 3", got)
	}
	gateway.step(QuotaShare{Volume: 7, Share: 0.9}, QuotaShare{Volume: 99, Share: 1})
	if volume.limit.rate != 18 || volume.limit.capacity != 24*0.9 {
		t.Errorf("told of nine tenths: %v units a second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
	gateway.advance(3 * time.Second)
	if gateway.step(QuotaShare{Volume: 7, Share: 0.1}); volume.limit.available(gateway.now) > 2.4+1e-9 {
		t.Errorf("%v units are left of a part whose store holds 2.4", volume.limit.tokens)
	}
	plain := newTestGateway(t, func(s *Settings) { s.InitialQuotaShare = 0.5 })
	a := plain.newArrival("read", "capped", 7, 1, 1)
	for _, a := range plain.step(a) {
		if _, ok := a.(QuotaDemand); ok {
			t.Error("told though nobody shares")
		}
	}
	if volume := plain.scheduler.volumes[7]; volume.limit.rate != 20 || volume.limit.capacity != 24 {
		t.Errorf("without sharing %v units a second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
}

// A node that several gateways find failing gets one request in a rest, and new objects go elsewhere, for as long as that
// is told.
func TestAShunnedNodeIsTriedALittle(t *testing.T) {
	gateway := newTestGateway(t, nil)
	const rest = 400 * ms
	sends := map[ServerID]int{}
	play := func(d time.Duration, shun bool) {
		clear(sends)
		for end := gateway.now + d; gateway.now < end; {
			events := []Event{TimerFired{}}
			if shun {
				events = append(events, EjectServer{Server: 1, MinInterval: rest}, EjectServer{Server: 99, MinInterval: rest})
			}
			a := gateway.newArrival("read", "gold", int(gateway.lastID%5), 1, uint64(gateway.lastID))
			if a.Shard = int(gateway.lastID % 2); gateway.lastID%4 == 3 {
				a.Shard = -1
			}
			for _, act := range gateway.step(append(events, a)...) {
				if s, ok := act.(Send); ok {
					sends[s.Server]++
					gateway.step(AttemptEnded{ID: s.ID, Server: s.Server, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
				}
			}
			gateway.now += 10 * ms
		}
	}
	play(2*time.Second, false)
	if sends[1] < 50 || sends[2] < 50 {
		t.Fatalf("before: %v", sends)
	}
	play(4*time.Second, true)
	if sends[1] < 5 || sends[1] > int(4*time.Second/rest)+2 || sends[2] < 150 {
		t.Errorf("shunned: %v", sends)
	}
	gateway.advance(rest)
	if play(2*time.Second, false); sends[1] < 50 {
		t.Errorf("afterwards: %v", sends)
	}
}

// What others have measured of a node counts as answers: a gateway that sees few of its own learns that the node has
// become slow, and that it is well again. Of a node that nothing is asked of little is kept.
func TestLatenciesOfOthersCount(t *testing.T) {
	gateway := newTestGateway(t, nil)
	server := gateway.scheduler.servers[1]
	hear := func(d, latency time.Duration) {
		for end := gateway.now + d; gateway.now < end; gateway.now += 100 * ms {
			a := gateway.newArrival("read", "gold", 7, 1, 1) // one request a second keeps the shard busy
			a.Shard = 0
			events := []Event{PeerLatency{Server: 1, Latency: latency}, PeerLatency{Server: 99, Latency: latency}}
			if gateway.now%time.Second == 0 {
				events = append(events, a)
			}
			for _, act := range gateway.step(events...) {
				if s, ok := act.(Send); ok {
					gateway.step(AttemptEnded{ID: s.ID, Server: s.Server, Status: StatusOK, Latency: latency, RequestDone: true})
				}
			}
		}
	}
	hear(3*time.Second, 10*ms)
	if server.latency > 20*ms {
		t.Errorf("L is %v of a quick node", server.latency)
	}
	hear(3*time.Second, 200*ms)
	if server.latency < 100*ms {
		t.Errorf("L is %v of a slow node", server.latency)
	}
	hear(4*time.Second, 10*ms)
	if server.latency > 50*ms {
		t.Errorf("L is %v of one that is quick again", server.latency)
	}
	other := gateway.scheduler.servers[2]
	for range 1000 {
		gateway.step(PeerLatency{Server: 2, Latency: 30 * ms})
	}
	if other.latencySamples > maxPeerSamples || other.latencySum > maxPeerSamples*30*ms {
		t.Errorf("%v answers of %v are kept", other.latencySamples, other.latencySum)
	}
}

// Watches that fall silent are opened anew within two seconds, spread over them: what they miss counts as told 6 s behind
// their last line, and 3 s of that are over. That is no failed call, so it backs nothing off; one that fails does.
func TestSilentWatchesAreOpenedAnewSoon(t *testing.T) {
	const gates = 300
	var asked []time.Duration
	for i := range gates {
		settings := testSettings()
		settings.Gateways, settings.PollEndpoints = gates, true
		s, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		calls := func(until time.Duration) (at []time.Duration) {
			for ; now < until; now += 10 * ms {
				for _, a := range s.Step(now, []Event{TimerFired{}}) {
					if _, ok := a.(WatchEndpoints); ok {
						at = append(at, now)
						now += 10 * ms // what a call takes: those of all gateways take 3 s
						s.Step(now, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
					}
				}
			}
			return at
		}
		if at := calls(time.Hour + 10*time.Second); len(at) != 1 {
			t.Fatalf("%d first calls", len(at))
		}
		s.Step(now, []Event{EndpointUpdate{Kind: WatchIdle}})
		fell := now
		at := calls(now + 3*time.Second)
		if len(at) != 1 || at[0] > fell+idlePollSpread+20*ms {
			t.Fatalf("gateway %d: asked again %v behind the silence", i, at)
		}
		asked = append(asked, at[0]-fell)
	}
	// A few gateways need no spread: their calls take no longer than that together.
	settings := testSettings()
	settings.Gateways, settings.PollEndpoints = 5, true
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Hour, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
	if s.poller.pollLatency != 0 {
		t.Errorf("a list that nobody asked for tells that a call takes %v", s.poller.pollLatency)
	}
	s.Step(time.Hour+time.Minute, []Event{EndpointUpdate{Kind: WatchIdle}})
	if wait := s.poller.nextPollAt - s.now; wait > 5*defaultPollLatency {
		t.Errorf("one of five gateways asks %v behind a silence", wait)
	}
	early := 0
	for _, d := range asked {
		if d < idlePollSpread/2 {
			early++
		}
	}
	if early < gates/3 || early > gates*2/3 {
		t.Errorf("%d of %d ask in the first half of the spread", early, gates)
	}
}

// A gateway without a watch is held to its list for AskWithin from its last call, and four times as long if that call
// failed. However often watches end that had told of nodes, the next call comes within AskWithin of the end, with time
// left for it; and however many calls fail, within four times that of the last one.
func TestCallsBehindWatchesThatEnd(t *testing.T) {
	for _, siblings := range []int{1, 5, 300} {
		for seed := range uint64(40) {
			settings := testSettings()
			settings.Gateways, settings.PollEndpoints, settings.MaxPollInterval = siblings, true, 8*time.Second
			s, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Hour
			next := func(scope UpdateKind) (wait time.Duration) {
				s.Step(now, []Event{EndpointUpdate{Kind: scope}})
				from := now
				for s.poller.nextPollAt > now {
					now = s.poller.nextPollAt
				}
				called := false
				for _, a := range s.Step(now, []Event{TimerFired{}}) {
					if _, ok := a.(WatchEndpoints); ok {
						called = true
					}
				}
				if !called {
					t.Fatal("no call")
				}
				return now - from
			}
			for i := range 12 {
				if wait := next(WatchFailed); wait > 4*settings.MaxPollInterval-settings.MaxPollInterval/2 {
					t.Fatalf("%d gateways: %v behind failed call %d", siblings, wait, i)
				}
			}
			for i := range 12 {
				s.Step(now, []Event{EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}}})
				now += 100 * ms
				if wait := next(WatchClosed); wait > settings.MaxPollInterval/2 {
					t.Fatalf("%d gateways: %v behind end %d of a watch that told", siblings, wait, i)
				}
			}
		}
	}
}
