package simulation

import (
	"net/http"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
)

// simulatedGateway is one gateway over its restarts, with the fake of discovery that it watches.
type simulatedGateway struct {
	index     int
	discovery *http.Server

	// The fields below are guarded by simulation.mu.

	gateway          *gateway.Gateway // the present incarnation; nil if its settings were rejected
	killed           bool
	stoppingSince    time.Time             // of a graceful shutdown; zero if there is none
	startedAt        time.Time             // of the present incarnation
	notifiedAt       map[*server]time.Time // when the present incarnation was notified that a server is not ready
	discoveryDown    bool
	watches          map[chan struct{}]bool // open watches; closing the channel resets the watch
	lastWatchEndedAt time.Time
	updated          chan struct{} // closed and replaced at each change of the endpoint list
	openClients      int           // connections of clients
}

// startGateway starts an incarnation of a gateway, with an endpoint list that may be out of date.
func (s *simulation) startGateway(g *simulatedGateway) {
	document := s.prepareStart(g)
	var started *gateway.Gateway
	cfg, err := config.Parse(document)
	if err == nil {
		started, err = gateway.New(cfg, &config.Edge{}, clock.NewSystem(), gateway.Network{Listen: s.network.Listen, Dial: s.network.Dial})
	}
	if err == nil {
		s.mu.Lock()
		g.gateway = started
		s.mu.Unlock()
		err = started.Start()
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.result.CrashedGateways++
		s.violation("gateway %d does not start: %v", g.index, err)
	}
}

// prepareStart resets what is known of the last incarnation and returns the settings of the next.
func (s *simulation) prepareStart(g *simulatedGateway) []byte {
	const maxMissedUpdates = 3
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g.killed, g.stoppingSince, g.startedAt, g.lastWatchEndedAt = false, time.Time{}, now, now
	g.notifiedAt = map[*server]time.Time{}
	if s.deployment.Push && !g.discoveryDown {
		s.markNotified(g)
	}
	knownVersion := min(max(s.deployment.Shards, len(s.updates)-maxMissedUpdates), len(s.updates))
	return s.deployment.settingsFor(g.index, s.deployment.Seed+uint64(g.index), s.snapshot(g, knownVersion))
}

// checkRunning records a gateway of which a part has ended by itself. It is called before the simulation ends that gateway.
func (s *simulation) checkRunning(index int, g *gateway.Gateway) {
	select {
	case err := <-g.Failures():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.result.CrashedGateways++
		s.violation("gateway %d: a part has ended by itself: %v", index, err)
	default:
	}
}

// stopGateways ends all gateways and their fakes of discovery at the end of a run.
func (s *simulation) stopGateways() {
	for _, g := range s.gateways {
		if g.gateway != nil {
			s.checkRunning(g.index, g.gateway)
			g.gateway.Close()
		}
		g.discovery.Close()
	}
}
