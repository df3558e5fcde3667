package simulation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gaugerelay/internal/clock"
)

// faultInjector schedules the faults of a run. It makes all random draws during scheduling, in a fixed order, so that the
// draws do not depend on the course of the run.
type faultInjector struct {
	*simulation
	random *rand.Rand
	faults sync.WaitGroup
}

// injectFaults draws and schedules the faults of a run and waits until they have ended.
func (s *simulation) injectFaults() {
	f := &faultInjector{simulation: s, random: rand.New(rand.NewPCG(s.deployment.Seed, faultStream))}
	s.mu.Lock()
	nextServer := len(s.servers)
	s.mu.Unlock()
	for i := range 1 + f.random.IntN(3) {
		f.scheduleReplacement(nextServer + i)
	}
	for _, g := range s.gateways {
		f.scheduleDiscoveryOutage(g)
		f.scheduleGatewayRestart(g)
	}
	f.scheduleFreeze()
	f.faults.Wait()
}

// after runs a fault after a delay in seconds.
func (f *faultInjector) after(delay float64, fault func()) {
	f.faults.Go(func() {
		time.Sleep(seconds(delay))
		fault()
	})
}

// scheduleReplacement schedules the replacement of a server by one with another name, or its restart under the same name.
func (f *faultInjector) scheduleReplacement(number int) {
	shard, restart := f.random.IntN(f.deployment.Shards), f.random.IntN(3) == 0
	replacement := fmt.Sprintf("r-%d", number)
	f.after(1+8*f.random.Float64(), func() {
		if restart {
			f.restartServer(shard)
		} else {
			f.replaceServer(shard, replacement)
		}
	})
}

// restartServer stops the ready server of a shard immediately and starts a new incarnation of it with the same name.
func (s *simulation) restartServer(shard int) {
	s.mu.Lock()
	old := s.drainReadyServer(shard)
	if old == nil {
		s.mu.Unlock()
		return
	}
	old.stopped = true
	old.stop()
	started := s.startServer(old.name, shard, time.Now())
	s.mu.Unlock()
	s.publish(old, stateRemoved, s.deployment.DiscoveryLagMs)
	s.finishReplacement(old, started)
}

// replaceServer drains the ready server of a shard and starts a server with another name in its place.
func (s *simulation) replaceServer(shard int, name string) {
	s.mu.Lock()
	old := s.drainReadyServer(shard)
	if old == nil {
		s.mu.Unlock()
		return
	}
	started := s.startServer(name, shard, time.Now())
	s.mu.Unlock()
	s.publish(old, stateDraining, s.deployment.DiscoveryLagMs)
	s.publish(old, stateRemoved, s.deployment.DiscoveryLagMs+s.drainTimeMs())
	s.finishReplacement(old, started)
}

// finishReplacement publishes the new server, waits for the drain time and stops the old server.
func (s *simulation) finishReplacement(old, started *server) {
	s.publish(started, stateReady, s.deployment.DiscoveryLagMs+50)
	time.Sleep(clock.Duration(s.drainTimeMs()))
	s.mu.Lock()
	defer s.mu.Unlock()
	old.stopped = true
	old.stop()
}

// drainTimeMs returns how long a draining server keeps running. The server is still running when the drain grace has ended, so that
// it receives the requests that a gateway wrongly sends after the grace, and checkDrain records them as violations.
func (s *simulation) drainTimeMs() float64 {
	return max(3000, s.deployment.DiscoveryLagMs+s.deployment.DrainGraceMs+2500)
}

// drainReadyServer starts the drain of the ready server of a shard and returns the server, or nil if there is none. s.mu must be
// held.
func (s *simulation) drainReadyServer(shard int) *server {
	ready := s.readyServer(shard)
	if ready != nil {
		s.result.DrainedServers++
		ready.draining = true
	}
	return ready
}

// readyServer returns the server that started last among the ready servers of a shard, or nil if there is none. s.mu must be held.
func (s *simulation) readyServer(shard int) *server {
	var ready *server
	for _, srv := range s.servers {
		if srv.shard == shard && srv.published && !srv.draining && !srv.stopped {
			ready = srv
		}
	}
	return ready
}

// scheduleDiscoveryOutage schedules, with probability 1/2, an outage of a gateway's discovery fake: the open watches are
// reset, and in some outages the fake also refuses new watches for up to two seconds.
func (f *faultInjector) scheduleDiscoveryOutage(g *simulatedGateway) {
	if f.random.IntN(2) != 0 {
		return
	}
	delay, duration := 1+9*f.random.Float64(), 2*f.random.Float64()*float64(f.random.IntN(2))
	f.after(delay, func() {
		f.mu.Lock()
		g.discoveryDown = duration > 0
		for reset := range g.watches {
			close(reset)
		}
		f.mu.Unlock()
		time.Sleep(seconds(duration))
		f.mu.Lock()
		defer f.mu.Unlock()
		g.discoveryDown = false
		if f.deployment.Push {
			f.markNotified(g)
		}
	})
}

// scheduleGatewayRestart schedules a restart of a gateway: with probability 1/3 after a kill, and with probability 1/3 after a
// graceful shutdown.
func (f *faultInjector) scheduleGatewayRestart(g *simulatedGateway) {
	delay, downtime := 2+8*f.random.Float64(), 0.2+2*f.random.Float64()
	switch f.random.IntN(3) {
	case 0:
		f.after(delay, func() { f.killGateway(g, seconds(downtime)) })
	case 1:
		f.after(delay, func() { f.shutDownGateway(g) })
	}
}

// killGateway kills a gateway and starts it again after downtime. A gateway whose settings were rejected is not running, so it
// is neither killed nor started.
func (s *simulation) killGateway(g *simulatedGateway, downtime time.Duration) {
	s.mu.Lock()
	g.killed = true
	old := g.gateway
	s.mu.Unlock()
	if old == nil {
		return
	}
	s.checkRunning(g.index, old)
	old.Close()
	time.Sleep(downtime)
	s.startGateway(g)
}

// shutDownGateway shuts a gateway down gracefully and starts it again. A gateway whose settings were rejected is not running, so
// it is neither shut down nor started.
func (s *simulation) shutDownGateway(g *simulatedGateway) {
	s.mu.Lock()
	g.stoppingSince = time.Now()
	old := g.gateway
	s.mu.Unlock()
	if old == nil {
		return
	}
	s.checkRunning(g.index, old)
	old.Shutdown()
	s.startGateway(g)
}

// scheduleFreeze schedules, with probability 1/2, a period in which a server does not respond. The longer of the two possible
// freeze durations exceeds the time that a graceful shutdown of a gateway may take.
func (f *faultInjector) scheduleFreeze() {
	if f.random.IntN(2) != 0 {
		return
	}
	shard, duration := f.random.IntN(f.deployment.Shards), 1500*time.Millisecond
	if f.random.IntN(2) == 0 {
		duration = 6 * time.Second
	}
	f.after(2+6*f.random.Float64(), func() {
		f.mu.Lock()
		srv := f.servers[shard]
		srv.frozen = make(chan struct{})
		f.mu.Unlock()
		time.Sleep(duration)
		f.mu.Lock()
		defer f.mu.Unlock()
		close(srv.frozen)
		srv.frozen = nil
	})
}
