package soak

import (
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// replaceServers replaces servers, one after the other, until stop is closed.
func (r *run) replaceServers(stop <-chan struct{}) {
	for r.options.ReplacementInterval > 0 && r.pause(stop, r.options.ReplacementInterval) {
		if r.replaceServer(stop) != nil {
			return // No address is left for another server.
		}
	}
}

// replaceServer drains a server, starts another one of its shard, and stops the old one a little later.
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
	r.unlistServer(old)
	r.notifyGateway()
	old.stop()
	return nil
}

// drainServer draws a ready server and marks it as draining.
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

// unlistServer removes a server from the endpoint list.
func (r *run) unlistServer(old *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range r.servers {
		if s == old {
			r.servers = append(r.servers[:i], r.servers[i+1:]...)
			return
		}
	}
}

// restartGateway kills or gracefully stops the gateway, in turn, and starts it again, until stop is closed.
func (r *run) restartGateway(stop <-chan struct{}) {
	for n := 0; r.options.RestartInterval > 0 && r.pause(stop, r.options.RestartInterval); n++ {
		r.mu.Lock()
		old := r.gateway
		r.mu.Unlock()
		if n%2 == 0 {
			old.Close()
		} else {
			old.Shutdown()
		}
		r.resetUpstreamConns()
		time.Sleep(restartTime) // Requests that it sent last still reach the servers.
		r.collectCounters(old)
		r.checker.RecordRestart()
		if err := r.startGateway(); err != nil {
			panic(err) // Without a gateway the run shows nothing.
		}
		r.mu.Lock()
		r.restarts++
		r.mu.Unlock()
	}
}

// pause waits for an exponentially distributed time. It returns false if stop is closed before.
func (r *run) pause(stop <-chan struct{}, mean time.Duration) bool {
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
