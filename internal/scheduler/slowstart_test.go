package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestReplacementKeepsRunningServerInUse(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.advance(2 * time.Second) // the cold node bears the request by now
	gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 3, Shard: 0, StartedAt: gateway.now}}})
	for _, a := range gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)) {
		if a, ok := a.(Send); ok && a.Server != 1 {
			t.Errorf("sent to the cold node %d", a.Server)
		}
	}
}

func TestSlowStartOfOneGateway(t *testing.T) {
	restart := func(gateway *testGateway) {
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: gateway.now}}})
	}
	t.Run("right after the own start nothing", func(t *testing.T) {
		gateway := newTestGateway(t, nil)
		restart(gateway)
		if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))); len(got) != 0 {
			t.Errorf("sent %v", got)
		}
	})
	t.Run("a gateway that nobody asks usually sends its even part, one request at a time", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 0.1 })
		gateway.advance(2 * time.Second)
		restart(gateway)
		sends, units := 0, 0.0
		for k := range 400 { // 4 s of more than it may send, held long enough to wait for its turn
			gateway.now += 10 * ms
			events := []Event{gateway.newArrival("bulk", "gold", 1, 2, uint64(k))}
			for _, id := range sentIDs(gateway.step(events...)) {
				sends, units = sends+1, units+2
				gateway.step(AttemptEnded{ID: id, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
			}
		}
		// Half of 12 units a second when it starts, twice that after 4 s, and a burst.
		if units < 18 || units > 42 {
			t.Errorf("%d requests, %.0f units in 4 s, want about 6 units a second growing slowly", sends, units)
		}
	})
	t.Run("what was sent before does not widen the bound, nor do quick answers", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 100 })
		gateway.serveReads(20*time.Second, 20*ms, 30*ms, StatusOK)
		restart(gateway)
		if n := gateway.serveReads(time.Second, 10*ms, 30*ms, StatusOK); n < 2 || n > 4 { // half of 12 units in a second, and a burst
			t.Errorf("%d sent in the first second", n)
		}
	})
	// asked plays 12 s of a request of 2 units every 500 ms, to a node that has just started, on one of 80 gateways, whose
	// even part is 0.11 to 0.5 units a second.
	asked := func(lat time.Duration) (sends int) {
		gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 80 })
		restart(gateway)
		type pending struct {
			at time.Duration
			o  AttemptEnded
		}
		var out []pending
		for k := range 1200 {
			gateway.now += 10 * ms
			events := []Event{TimerFired{}}
			for len(out) > 0 && out[0].at <= gateway.now {
				events, out = append(events, out[0].o), out[1:]
			}
			if k%50 == 0 {
				events = append(events, gateway.newArrival("bulk", "gold", 1, 2, uint64(k)))
			}
			for _, id := range sentIDs(gateway.step(events...)) {
				sends++
				out = append(out, pending{gateway.now + lat, AttemptEnded{ID: id, Server: 1, Status: StatusOK, Latency: lat, RequestDone: true}})
			}
		}
		return sends
	}
	t.Run("one of many sends its even part, however quick the answers are", func(t *testing.T) {
		if quick, slow := asked(5*ms), asked(100*ms); quick < 1 || quick > 3 || slow < 1 || slow > quick {
			t.Errorf("of 24 requests %d were sent with answers of 5 ms, %d with answers of 100 ms", quick, slow)
		}
	})
	t.Run("a surge does not count as usual", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 2 })
		restart(gateway)
		n := gateway.serveReads(4*time.Second, 10*ms, 500*ms, StatusOK) // 200 units a second
		if units := 2 * n; units > 30 {
			t.Errorf("%d units sent in 4 s", units)
		}
	})
}

// slowStartScenario is a shard whose server restarts, with requests through many gateways that do not coordinate.
type slowStartScenario struct {
	gateways       int
	tolerance      float64       // ColdBears
	demand         float64       // units a second of all
	latency        time.Duration // of answers
	burst          bool          // what is asked comes in bursts, at all gateways at one moment
	delayedUpdates bool          // gateways are told of the start up to 3 s late
}

// run simulates 20 s after the restart. It returns the units of the worst window as a fraction of the rule's bound, and all units sent.
func (p slowStartScenario) run(t *testing.T, seed uint64) (worst, units float64) {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.Shards, settings.MeanUnits, settings.MaxUnits = p.gateways, 1, 2, 6
	settings.SlowStartUnits, settings.InitialCapacity, settings.OverloadWindow, settings.SlowStartDuration, settings.OverloadMultiple = p.tolerance, 0.28, 3*time.Second, 15*time.Second, 2.5
	rnd := rand.New(rand.NewPCG(seed, 77))
	start := time.Hour + 5*time.Second
	schedulers, told := make([]*Scheduler, p.gateways), make([]time.Duration, p.gateways)
	for i := range schedulers {
		s, err := New(settings, rnd.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i], told[i] = s, start
		if p.delayedUpdates {
			told[i] += time.Duration(rnd.Float64() * float64(3*time.Second))
		}
		s.Step(time.Hour, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
	}
	type answer struct {
		gate int
		at   time.Duration
		o    AttemptEnded
	}
	var window []sentUnits
	var due []answer
	id, sum := RequestID(0), 0.0
	for now := start; now < start+20*time.Second; now += 20 * ms {
		events := map[int][]Event{}
		for len(due) > 0 && due[0].at <= now {
			events[due[0].gate] = append(events[due[0].gate], due[0].o)
			due = due[1:]
		}
		n, mean := 0, p.demand/2*0.02
		if p.burst {
			mean = 0
			if now%(2*time.Second) == 0 {
				n = int(p.demand)
			}
		}
		for ; mean > 0 && rnd.Float64() < mean; mean-- {
			n++
		}
		for range n {
			id++
			g := rnd.IntN(p.gateways)
			events[g] = append(events[g], RequestArrived{ID: id, Class: "bulk", Plan: "gold", Volume: VolumeID(rnd.IntN(20)), Key: uint64(id),
				TTL: 4 * time.Second, Units: 2, Gateways: p.gateways})
		}
		for i, s := range schedulers {
			if told[i] != 0 && now >= told[i] {
				told[i] = 0
				events[i] = append(events[i], EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: start}}})
			}
			for _, a := range s.Step(now, append(events[i], TimerFired{})) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				due = append(due, answer{i, now + p.latency, AttemptEnded{ID: send.ID, Server: 1, Status: StatusOK, Latency: p.latency, RequestDone: true}})
				if told[i] != 0 || now-start >= settings.SlowStartDuration {
					continue // who was not told is free
				}
				window = append(window, sentUnits{now, 2})
				units, sum = units+2, sum+2
				for now-window[0].at >= settings.OverloadWindow {
					sum -= window[0].units
					window = window[1:]
				}
				grown := p.tolerance / settings.MeanUnits * (1 + (1/settings.InitialCapacity-1)*float64(now-start)/float64(settings.SlowStartDuration))
				worst = max(worst, sum/settings.MeanUnits/(grown+slowStartSlack(grown)))
			}
		}
	}
	return worst, units
}

// All gateways together keep the bound of a starting server, however many they are and however demand arrives; with ordinary demand they
// use what it bears.
func TestSlowStartBound(t *testing.T) {
	for _, gates := range []int{1, 3, 10, 80} {
		for _, bears := range []float64{2, 10, 51, 400} {
			for _, p := range []slowStartScenario{
				{demand: 0.3, latency: 10 * ms}, {demand: 2, latency: 150 * ms}, {demand: 4, latency: 10 * ms}, {demand: 8, burst: true, latency: 10 * ms},
				{demand: 4, delayedUpdates: true, latency: 10 * ms},
			} {
				p.gateways, p.tolerance, p.demand = gates, bears, p.demand*bears
				t.Run(fmt.Sprintf("%+v", p), func(t *testing.T) {
					t.Parallel()
					seeds := uint64(2)
					if gates > 10 {
						seeds = 1
					}
					for seed := range seeds {
						worst, units := p.run(t, seed)
						if worst > 1 {
							t.Errorf("seed %d: %.2f of the bound", seed, worst)
						}
						if usable := 2 * p.tolerance; p.tolerance > 50 && !p.burst && !p.delayedUpdates && p.demand > 1.9*bears && units < usable {
							t.Errorf("seed %d: only %.0f units of some %.0f that are borne", seed, units, 12*p.tolerance)
						}
					}
				})
			}
		}
	}
}
