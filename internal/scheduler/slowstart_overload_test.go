package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Gateways that do not coordinate must not overload a server that restarts, even with a backlog of requests and with some gateways
// stalled: in no OverloadWindow may they send more than OverloadMultiple times what the server can execute in that time. The full
// capacity of the server is 80 units per second. After the restart, the server has only the fraction InitialCapacity of it,
// the least that a starting server has according to the settings. The capacity then grows over SlowStartDuration.
func TestGatewaysDoNotOverloadStartingServer(t *testing.T) {
	for gateways, seeds := range map[int]uint64{1: 40, 5: 40, 120: 40, 300: 10} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d/%d", gateways, seed), func(t *testing.T) {
				simulation := newOverloadSimulation(t, gateways, seed)
				simulation.run()
				simulation.checkUtilization()
			})
		}
	}
}

const (
	// overloadCapacity is the server's full capacity in units per second.
	overloadCapacity = 80.0
	// overloadVolumes is the number of volumes.
	overloadVolumes = 8
	// overloadMeanUnits is the mean size of a request.
	overloadMeanUnits = 3.5
	// overloadStep is the time between two steps of the simulation.
	overloadStep = 4 * ms
)

// overloadSimulation is a fleet with one server that restarts.
type overloadSimulation struct {
	*simulatedFleet
	settings     Settings
	random       *rand.Rand
	restartAt    time.Duration
	stalledUntil []time.Duration // time at which the last stall of a gateway ends, by gateway
	pending      [][]pendingEnd  // pending ends of attempts, by gateway

	nextID       RequestID
	units        map[RequestID]float64 // size of each request
	serverIdleAt time.Duration         // time at which the server has executed all attempts sent so far
	window       unitsWindow           // units sent since the restart

	unitsBeforeRestart, unitsAfterRestart float64 // units sent by all gateways
	allowedUnits                          float64 // sum of the slow-start allowance since the restart
}

// newOverloadSimulation returns a simulation before the restart.
func newOverloadSimulation(t *testing.T, gateways int, seed uint64) *overloadSimulation {
	t.Helper()
	settings := propertySettings(1)
	settings.Gateways, settings.Shards, settings.PollEndpoints = gateways, 1, false
	settings.OverloadWindow, settings.SlowStartUnits = time.Second, 12
	settings.Plans[1].Rate = 0.6 * overloadCapacity / overloadVolumes // a normal load of 60% of the capacity
	random := rand.New(rand.NewPCG(seed, 11))
	fleet := newSimulatedFleet(t, gateways, settings, func(int) uint64 { return random.Uint64() })
	fleet.deliverAll(EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1, Shard: 0}}})
	return &overloadSimulation{
		simulatedFleet: fleet,
		settings:       settings,
		random:         random,
		restartAt:      fleet.now + 30*time.Second,
		stalledUntil:   make([]time.Duration, gateways),
		pending:        make([][]pendingEnd, gateways),
		nextID:         1,
		units:          map[RequestID]float64{},
		serverIdleAt:   fleet.now,
		window:         unitsWindow{length: settings.OverloadWindow},
	}
}

// run simulates 30 s before and 12 s after the restart.
func (s *overloadSimulation) run() {
	for ; s.now < s.restartAt+12*time.Second; s.now += overloadStep {
		capacity := s.capacity()
		if s.now == s.restartAt {
			s.deliverAll(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, Shard: 0, StartedAt: s.now}}})
		}
		s.drawArrivals()
		for gateway := range s.schedulers {
			if s.now < s.stalledUntil[gateway] {
				continue
			}
			if s.random.IntN(1500) == 0 {
				s.stalledUntil[gateway] = s.now + time.Duration(1000+s.random.IntN(1000))*ms
			}
			s.deliverEnds(gateway)
			for _, send := range actionsOf[Send](s.step(gateway)) {
				s.serve(gateway, send, capacity)
			}
		}
	}
}

// restarted reports whether the server has restarted.
func (s *overloadSimulation) restarted() bool { return s.now >= s.restartAt }

// capacity returns the server's current capacity in units per second and adds this step's allowance to allowedUnits.
func (s *overloadSimulation) capacity() float64 {
	rate := overloadCapacity
	if s.restarted() {
		age := float64(s.now-s.restartAt) / float64(s.settings.SlowStartDuration)
		rate *= s.settings.InitialCapacity + (1-s.settings.InitialCapacity)*age
		allowance := s.settings.SlowStartUnits * (1 + (1/s.settings.InitialCapacity-1)*age)
		s.allowedUnits += allowance * overloadStep.Seconds() / s.settings.OverloadWindow.Seconds()
	}
	return rate
}

// drawArrivals draws the requests of a step: the normal load, and after the restart a backlog of retries at twice the server's full
// capacity. The requests of a volume arrive at a fixed group of gateways.
func (s *overloadSimulation) drawArrivals() {
	load := 0.6
	if s.restarted() {
		load = 2
	}
	gateways := len(s.schedulers)
	for range int(overloadStep / ms) {
		if s.random.Float64() >= load*overloadCapacity/overloadMeanUnits*0.001 {
			continue
		}
		volume, volumeGateways := s.random.IntN(overloadVolumes), max(gateways/overloadVolumes, min(gateways, 14))
		gateway := (volume*volumeGateways + s.random.IntN(volumeGateways)) % gateways
		arrival := RequestArrived{ID: s.nextID, Class: "all", Plan: "large", Volume: VolumeID(volume), Key: uint64(s.nextID),
			Remaining: 4 * time.Second, Units: float64(1 + s.random.IntN(6)), Gateways: volumeGateways}
		s.units[s.nextID] = arrival.Units
		s.nextID++
		s.deliver(gateway, arrival)
	}
}

// deliverEnds delivers the ends of attempts that are due.
func (s *overloadSimulation) deliverEnds(gateway int) {
	s.pending[gateway] = slices.DeleteFunc(s.pending[gateway], func(pending pendingEnd) bool {
		if pending.at > s.now {
			return false
		}
		pending.end.Latency += s.now - pending.at
		s.deliver(gateway, pending.end)
		return true
	})
}

// serve queues an attempt at the server and checks that the server is not overloaded.
func (s *overloadSimulation) serve(gateway int, send Send, capacity float64) {
	units := s.units[send.ID]
	s.serverIdleAt = max(s.serverIdleAt, s.now) + time.Duration(units/capacity*float64(time.Second))
	s.pending[gateway] = append(s.pending[gateway], pendingEnd{s.serverIdleAt, attemptServed(send.ID, s.serverIdleAt-s.now)})
	if !s.restarted() {
		s.unitsBeforeRestart += units
		return
	}
	s.unitsAfterRestart += units
	bound := s.settings.OverloadMultiple * capacity * s.settings.OverloadWindow.Seconds()
	if sum := s.window.add(s.now, units); sum > bound {
		s.t.Fatalf("the starting server got %.0f units within %v, %v after its start, want at most %.0f",
			sum, s.settings.OverloadWindow, s.now-s.restartAt, bound)
	}
}

// checkUtilization checks that the server is not left idle: the gateways send it at least 40 percent of its capacity before the
// restart, and after it at least usedFraction of the slow-start allowance. They cannot use all of the allowance, because a
// gateway can use its equal share only when it has requests.
func (s *overloadSimulation) checkUtilization() {
	s.t.Helper()
	usedFraction := 0.15
	if len(s.schedulers) == 300 {
		usedFraction = 0.06 // a gateway has a request only every seven windows, too rarely to use most of its equal share
	}
	if s.unitsBeforeRestart < 0.4*overloadCapacity*30 || s.unitsAfterRestart < usedFraction*s.allowedUnits {
		s.t.Errorf("%.0f units were sent before the restart and %.0f of %.0f allowed ones after it, want more: see checkUtilization",
			s.unitsBeforeRestart, s.unitsAfterRestart, s.allowedUnits)
	}
	s.t.Logf("%.0f units were sent before the restart and %.0f of %.0f allowed ones after it",
		s.unitsBeforeRestart, s.unitsAfterRestart, s.allowedUnits)
}
