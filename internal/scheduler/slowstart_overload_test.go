package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Gateways that do not coordinate send requests to a server that restarts, under a backlog and with some of them stalled; what all
// of them send it in any OverloadWindow must not overload it. The server does 80 units per second and starts at InitialCapacity,
// the worst case that the settings allow.
func TestGatewaysDoNotOverloadStartingServer(t *testing.T) {
	for gateways, seeds := range map[int]uint64{1: 40, 5: 40, 120: 40, 300: 10} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d/%d", gateways, seed), func(t *testing.T) {
				simulation := newOverloadSimulation(t, gateways, seed)
				simulation.run()
				simulation.checkUse()
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
	overloadStep      = 4 * ms
)

// overloadSimulation is a fleet with one server that restarts.
type overloadSimulation struct {
	*simulatedFleet
	settings     Settings
	random       *rand.Rand
	restartAt    time.Duration
	stalledUntil []time.Duration // by gateway
	pending      [][]pendingEnd  // by gateway

	nextID     RequestID
	units      map[RequestID]float64
	serverIdle time.Duration // when the server has worked off what it has
	window     unitsWindow   // sent since the restart

	runningUnits, startingUnits float64 // sent before and after the restart
	toleratedUnits              float64 // that the settings let the server bear after the restart
}

// newOverloadSimulation returns a simulation before the restart.
func newOverloadSimulation(t *testing.T, gateways int, seed uint64) *overloadSimulation {
	t.Helper()
	settings := propertySettings(1)
	settings.Gateways, settings.Shards, settings.PollEndpoints = gateways, 1, false
	settings.OverloadWindow, settings.SlowStartUnits = time.Second, 12
	settings.Plans[1].Rate = 0.6 * overloadCapacity / overloadVolumes // the load of a usual day
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
		serverIdle:     fleet.now,
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

// starting reports whether the server has restarted.
func (s *overloadSimulation) starting() bool { return s.now >= s.restartAt }

// capacity returns the server's capacity now in units per second, and counts what it tolerates in this step.
func (s *overloadSimulation) capacity() float64 {
	rate := overloadCapacity
	if s.starting() {
		age := float64(s.now-s.restartAt) / float64(s.settings.SlowStartDuration)
		rate *= s.settings.InitialCapacity + (1-s.settings.InitialCapacity)*age
		tolerated := s.settings.SlowStartUnits * (1 + (1/s.settings.InitialCapacity-1)*age)
		s.toleratedUnits += tolerated * overloadStep.Seconds() / s.settings.OverloadWindow.Seconds()
	}
	return rate
}

// drawArrivals draws the requests of a step: of a usual day, and of a backlog of retries after the restart. A volume comes through
// its own gateways and no others.
func (s *overloadSimulation) drawArrivals() {
	load := 0.6
	if s.starting() {
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
	s.serverIdle = max(s.serverIdle, s.now) + time.Duration(units/capacity*float64(time.Second))
	s.pending[gateway] = append(s.pending[gateway], pendingEnd{s.serverIdle, attemptServed(send.ID, s.serverIdle-s.now)})
	if !s.starting() {
		s.runningUnits += units
		return
	}
	s.startingUnits += units
	bound := s.settings.OverloadMultiple * capacity * s.settings.OverloadWindow.Seconds()
	if sum := s.window.add(s.now, units); sum > bound {
		s.t.Fatalf("rule 4: %.0f units within %v, %v after its start; it fails at %.0f",
			sum, s.settings.OverloadWindow, s.now-s.restartAt, bound)
	}
}

// checkUse checks that the server is not left idle: each gateway uses its equal share of what the server tolerates as far as it has
// requests just then.
func (s *overloadSimulation) checkUse() {
	s.t.Helper()
	usedFraction := 0.15
	if len(s.schedulers) == 300 {
		usedFraction = 0.06 // each gateway has a request in seven windows
	}
	if s.runningUnits < 0.4*overloadCapacity*30 || s.startingUnits < usedFraction*s.toleratedUnits {
		s.t.Errorf("%.0f units before the restart, %.0f of %.0f after it: too little", s.runningUnits, s.startingUnits, s.toleratedUnits)
	}
	s.t.Logf("%.0f units before the restart, %.0f of %.0f after it", s.runningUnits, s.startingUnits, s.toleratedUnits)
}
