package simulation

import (
	"net/http"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
)

// simulatedGateway is a gateway with the discovery fake that it watches. It remains the same when the gateway is restarted.
type simulatedGateway struct {
	index     int
	discovery *http.Server

	// The fields below are guarded by simulation.mu.

	gateway          *gateway.Gateway       // current incarnation; nil if its settings were rejected
	killed           bool                   // whether the current incarnation was killed
	stoppingSince    time.Time              // start of the graceful shutdown; zero if none is in progress
	startedAt        time.Time              // when the current incarnation started
	notifiedAt       map[*server]time.Time  // when the current incarnation was notified that a server is no longer ready
	discoveryDown    bool                   // whether the discovery fake refuses watches
	watches          map[chan struct{}]bool // open watches; closing the channel resets the watch
	lastWatchEndedAt time.Time              // when the latest watch ended, or the start of the incarnation
	updated          chan struct{}          // channel that is closed and replaced at each change of the endpoint list
	openClients      int                    // number of client connections
}

// startGateway starts an incarnation of a gateway and records a violation if the start fails.
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
		s.recordViolation("gateway %d failed to start: %v", g.index, err)
	}
}

// prepareStart resets the state of the previous incarnation and returns the settings of the next one. The cached snapshot in the
// settings may be out of date: it lacks up to maxMissedUpdates changes, but not the initial servers.
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

// checkRunning records a violation if a component of a gateway has ended by itself. It must be called before the simulation stops
// that gateway.
func (s *simulation) checkRunning(index int, g *gateway.Gateway) {
	select {
	case err := <-g.Failures():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.result.CrashedGateways++
		s.recordViolation("gateway %d: a component has ended by itself: %v", index, err)
	default:
	}
}

// stopGateways stops all gateways and their discovery fakes at the end of a run.
func (s *simulation) stopGateways() {
	for _, g := range s.gateways {
		if g.gateway != nil {
			s.checkRunning(g.index, g.gateway)
			g.gateway.Close()
		}
		g.discovery.Close()
	}
}
