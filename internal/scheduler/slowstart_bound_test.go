package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// For any number of gateways and any arrival pattern, the units that all gateways together send to a starting server in any
// OverloadWindow stay within the bound of slow start: the allowance plus slowStartSlack. With ordinary demand, the gateways also use
// at least a sixth of the allowance. Demand is ordinary if it is steady and at least about twice the allowance at the start, if that
// allowance is more than 50 units, and if all gateways are informed of the restart at once (see check).
func TestSlowStartBound(t *testing.T) {
	for _, gateways := range []int{1, 3, 10, 80} {
		for _, tolerance := range []float64{2, 10, 51, 400} {
			for _, scenario := range []slowStartScenario{
				{demand: 0.3, latency: 10 * ms},
				{demand: 2, latency: 150 * ms},
				{demand: 4, latency: 10 * ms},
				{demand: 8, bursts: true, latency: 10 * ms},
				{demand: 4, delayedUpdates: true, latency: 10 * ms},
			} {
				scenario.gateways, scenario.tolerance, scenario.demand = gateways, tolerance, scenario.demand*tolerance
				t.Run(fmt.Sprintf("%+v", scenario), func(t *testing.T) {
					t.Parallel()
					seeds := uint64(2)
					if gateways > 10 {
						seeds = 1
					}
					for seed := range seeds {
						scenario.check(t, seed)
					}
				})
			}
		}
	}
}

const (
	// slowStartStep is the time between two steps of the simulation.
	slowStartStep = 20 * ms
	// slowStartRequestUnits is the size of each request.
	slowStartRequestUnits = 2
)

// slowStartScenario is a shard whose server restarts, with requests through many gateways that do not coordinate. The names of the
// fields are part of the names of the subtests.
type slowStartScenario struct {
	gateways       int
	tolerance      float64       // allowance of the server at its start: Settings.SlowStartUnits
	demand         float64       // units per second over all gateways
	latency        time.Duration // latency of all responses
	bursts         bool          // whether requests arrive in bursts at all gateways at once
	delayedUpdates bool          // whether the gateways get the update that reports the restart up to 3 s late
}

// check simulates the scenario and checks the bound and, with ordinary demand, the use of the allowance.
func (s slowStartScenario) check(t *testing.T, seed uint64) {
	t.Helper()
	simulation := newSlowStartSimulation(t, s, seed)
	simulation.run()
	worst, units := simulation.worst, simulation.units
	t.Logf("seed %d: the largest sum over a window is %.2f of the bound, %.0f units were sent", seed, worst, units)
	if worst > 1 {
		t.Errorf("seed %d: the largest sum over a window is %.2f of the bound, want at most 1", seed, worst)
	}
	ordinary := s.tolerance > 50 && !s.bursts && !s.delayedUpdates && s.demand > 1.9*s.tolerance
	if ordinary && units < 2*s.tolerance {
		t.Errorf("seed %d: %.0f units were sent, want at least a sixth of the about %.0f that are allowed",
			seed, units, 12*s.tolerance)
	}
}

// gatewayEnd is the end of an attempt that is to be delivered to a gateway at a given time.
type gatewayEnd struct {
	gateway int
	pendingEnd
}

// slowStartSimulation simulates a scenario.
type slowStartSimulation struct {
	*simulatedFleet
	slowStartScenario
	settings   Settings
	random     *rand.Rand
	restartAt  time.Duration
	informedAt []time.Duration // by gateway: time at which it gets the update that reports the restart; 0: it has got the update
	pending    []gatewayEnd
	nextID     RequestID

	window unitsWindow
	units  float64 // units sent during SlowStartDuration by gateways that have been informed of the restart
	worst  float64 // largest sum over a window, as a fraction of the bound
}

// newSlowStartSimulation returns a simulation at the time of the restart.
func newSlowStartSimulation(t *testing.T, scenario slowStartScenario, seed uint64) *slowStartSimulation {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.Shards, settings.MeanUnits, settings.MaxUnits = scenario.gateways, 1, 2, 6
	settings.SlowStartUnits, settings.InitialCapacity, settings.SlowStartDuration = scenario.tolerance, 0.28, 15*time.Second
	settings.OverloadWindow, settings.OverloadMultiple = 3*time.Second, 2.5
	simulation := &slowStartSimulation{
		slowStartScenario: scenario, settings: settings, random: rand.New(rand.NewPCG(seed, 77)),
		restartAt: time.Hour + 5*time.Second, informedAt: make([]time.Duration, scenario.gateways),
		window: unitsWindow{length: settings.OverloadWindow - 1}, // units exactly as old as OverloadWindow are not included
	}
	simulation.simulatedFleet = newSimulatedFleet(t, scenario.gateways, settings, simulation.drawGateway)
	for _, scheduler := range simulation.schedulers {
		scheduler.Step(simulation.now, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
	}
	simulation.now = simulation.restartAt
	return simulation
}

// drawGateway draws a gateway's seed and the time at which it is informed of the restart.
func (s *slowStartSimulation) drawGateway(gateway int) (seed uint64) {
	seed = s.random.Uint64()
	s.informedAt[gateway] = s.restartAt
	if s.delayedUpdates {
		s.informedAt[gateway] += time.Duration(s.random.Float64() * float64(3*time.Second))
	}
	return seed
}

// run simulates 20 s after the restart.
func (s *slowStartSimulation) run() {
	for ; s.now < s.restartAt+20*time.Second; s.now += slowStartStep {
		for len(s.pending) > 0 && s.pending[0].at <= s.now {
			s.deliver(s.pending[0].gateway, s.pending[0].end)
			s.pending = s.pending[1:]
		}
		for range s.drawArrivalCount() {
			s.drawArrival()
		}
		for gateway := range s.schedulers {
			if s.informedAt[gateway] != 0 && s.now >= s.informedAt[gateway] {
				s.informedAt[gateway] = 0
				s.deliver(gateway, EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: s.restartAt}}})
			}
			for _, send := range actionsOf[Send](s.step(gateway)) {
				s.serve(gateway, send)
			}
		}
	}
}

// drawArrivalCount draws how many requests arrive in a step.
func (s *slowStartSimulation) drawArrivalCount() (count int) {
	if s.bursts {
		if s.now%(2*time.Second) == 0 {
			count = int(s.demand)
		}
		return count
	}
	for mean := s.demand / slowStartRequestUnits * 0.02; mean > 0 && s.random.Float64() < mean; mean-- {
		count++
	}
	return count
}

// drawArrival delivers a request to a random gateway.
func (s *slowStartSimulation) drawArrival() {
	s.nextID++
	gateway := s.random.IntN(s.gateways)
	s.deliver(gateway, RequestArrived{
		ID: s.nextID, Class: "bulk", Plan: "gold", Volume: VolumeID(s.random.IntN(20)), Key: uint64(s.nextID),
		Remaining: 4 * time.Second, Units: slowStartRequestUnits, Gateways: s.gateways,
	})
}

// serve responds to an attempt after the latency and compares the units sent with the bound. The bound does not apply to a gateway
// that has not been informed of the restart.
func (s *slowStartSimulation) serve(gateway int, send Send) {
	s.pending = append(s.pending, gatewayEnd{gateway, pendingEnd{s.now + s.latency, attemptServed(send.ID, s.latency)}})
	age := s.now - s.restartAt
	if s.informedAt[gateway] != 0 || age >= s.settings.SlowStartDuration {
		return
	}
	s.units += slowStartRequestUnits
	sum := s.window.add(s.now, slowStartRequestUnits)
	growth := 1 + (1/s.settings.InitialCapacity-1)*float64(age)/float64(s.settings.SlowStartDuration)
	allowance := s.tolerance / s.settings.MeanUnits * growth // allowance in requests of mean size
	s.worst = max(s.worst, sum/s.settings.MeanUnits/(allowance+slowStartSlack(allowance)))
}
