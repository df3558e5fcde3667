package soak

import (
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// replaceServers replaces one server after the other until stop is closed.
func (r *run) replaceServers(stop <-chan struct{}) {
	for r.options.ReplacementInterval > 0 && r.waitExponential(stop, r.options.ReplacementInterval) {
		if r.replaceServer(stop) != nil {
			return // There is no free address for a new server.
		}
	}
}

// replaceServer drains a server and starts a new one of the same shard. It stops the old server after drainTime, or earlier if
// stop is closed.
func (r *run) replaceServer(stop <-chan struct{}) error {
	old := r.drainServer()
	if err := r.startServer(old.endpoint.Shard, clock.Ms(time.Duration(time.Now().UnixNano()))); err != nil {
		return err
	}
	r.notifyGateway()
	old.http.NotifyDrain()
	drained := time.NewTimer(drainTime)
	select {
	case <-drained.C:
	case <-stop:
	}
	r.removeServer(old)
	r.notifyGateway()
	old.stop()
	return nil
}

// drainServer chooses a ready server at random and marks it as draining.
func (r *run) drainServer() *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen *server
	for _, s := range r.servers {
		if s.endpoint.State == scheduler.Ready && (chosen == nil || r.random.IntN(shardCount) == 0) {
			chosen = s
		}
	}
	chosen.endpoint.State = scheduler.Draining
	return chosen
}

// removeServer removes a server from the endpoint list.
func (r *run) removeServer(old *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range r.servers {
		if s == old {
			r.servers = append(r.servers[:i], r.servers[i+1:]...)
			return
		}
	}
}

// restartGateway restarts the gateway at random intervals until stop is closed. It alternates between a kill and a graceful
// shutdown.
func (r *run) restartGateway(stop <-chan struct{}) {
	for n := 0; r.options.RestartInterval > 0 && r.waitExponential(stop, r.options.RestartInterval); n++ {
		r.mu.Lock()
		old := r.gateway
		r.mu.Unlock()
		if n%2 == 0 {
			old.Close()
		} else {
			old.Shutdown()
		}
		r.resetUpstreamConns()
		time.Sleep(restartTime) // In this time, servers receive the last requests of the ended incarnation.
		r.addCounters(old)
		r.checker.RecordRestart()
		if err := r.startGateway(); err != nil {
			panic(err) // Without a gateway, the run cannot check anything.
		}
		r.mu.Lock()
		r.restarts++
		r.mu.Unlock()
	}
}

// waitExponential waits for an exponentially distributed time. It returns false if stop is closed earlier.
func (r *run) waitExponential(stop <-chan struct{}, mean time.Duration) bool {
	r.mu.Lock()
	duration := time.Duration(r.random.ExpFloat64() * float64(mean))
	r.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
