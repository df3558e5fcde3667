package simulation

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/gateway"
)

// endpointState is the state of a server in the messages of discovery.
type endpointState string

const (
	stateReady    endpointState = "Ready"
	stateDraining endpointState = "Terminating"
	stateRemoved  endpointState = "Gone"
)

// endpointChange is a published change of a server's state. Version n of the endpoint list consists of the first n changes in
// simulation.updates.
type endpointChange struct {
	server      *server
	state       endpointState
	publishedAt time.Time
}

// endpointUpdate is an update of the endpoint list as discovery sends it.
type endpointUpdate struct {
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
	Version int        `json:"version"`
}

// endpoint is a server as discovery describes it.
type endpoint struct {
	Addr      string        `json:"addr"`
	Shard     int           `json:"cell"`
	ID        string        `json:"id"`
	Kind      string        `json:"kind"`
	StartedMs float64       `json:"started_ms"`
	State     endpointState `json:"state"`
	Weight    float64       `json:"weight"`
	Zone      string        `json:"zone"`
}

// endpointFor returns the changed server with the address at which the gateway reaches it.
func (c endpointChange) endpointFor(g *simulatedGateway) endpoint {
	return endpoint{ID: c.server.name, Addr: serverAddr(g.index, c.server.index), Zone: c.server.zone, Kind: "k",
		Shard: c.server.shard, State: c.state, Weight: 1, StartedMs: c.server.startedMs()}
}

// publish adds a change to the endpoint list after a delay and wakes the open watches. If discovery pushes updates, each gateway
// whose discovery is not down is then treated as having been notified.
func (s *simulation) publish(srv *server, state endpointState, delayMs float64) {
	time.AfterFunc(clock.Duration(delayMs), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updates = append(s.updates, endpointChange{srv, state, time.Now()})
		srv.published = true
		for _, g := range s.gateways {
			if s.deployment.Push && !g.discoveryDown {
				s.markNotified(g)
			}
			close(g.updated)
			g.updated = make(chan struct{})
		}
	})
}

// markNotified records that a gateway has been notified of all changes published so far. The drain grace of a server that is no longer
// ready starts now, unless the gateway had already been notified that the server is no longer ready. s.mu must be held.
func (s *simulation) markNotified(g *simulatedGateway) {
	if g.notifiedAt == nil { // The gateway has not been started yet.
		return
	}
	for _, c := range s.updates {
		if _, notified := g.notifiedAt[c.server]; !notified && c.state != stateReady {
			g.notifiedAt[c.server] = time.Now()
		}
	}
}

// snapshot returns the complete endpoint list of a version for a gateway. The removal of a server does not remove a later incarnation
// with the same name. s.mu must be held.
func (s *simulation) snapshot(g *simulatedGateway, version int) *endpointUpdate {
	latest := map[string]endpoint{}
	for _, c := range s.updates[:version] {
		e := c.endpointFor(g)
		if c.state != stateRemoved {
			latest[e.ID] = e
		} else if known, ok := latest[e.ID]; ok && known.StartedMs == e.StartedMs {
			delete(latest, e.ID)
		}
	}
	update := &endpointUpdate{Version: version, Full: true, Servers: []endpoint{}}
	for _, e := range latest {
		update.Servers = append(update.Servers, e)
	}
	return update
}

// delta returns the changes after a version for a gateway. s.mu must be held.
func (s *simulation) delta(g *simulatedGateway, after int) *endpointUpdate {
	update := &endpointUpdate{Version: len(s.updates), Servers: []endpoint{}}
	for _, c := range s.updates[after:] {
		update.Servers = append(update.Servers, c.endpointFor(g))
	}
	return update
}

// startDiscovery starts the discovery fake that serves the watches of a gateway.
func (s *simulation) startDiscovery(g *simulatedGateway) {
	listener, err := s.network.Listen(discoveryAddr(g.index))
	if err != nil {
		panic(err)
	}
	g.discovery = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveWatch(g, w, r) })}
	go func() { _ = g.discovery.Serve(listener) }() // Serve returns an error when the server is closed.
}

// serveWatch serves a watch until its client disconnects or a fault resets the watch. It refuses the watch while discovery is
// down.
func (s *simulation) serveWatch(g *simulatedGateway, w http.ResponseWriter, r *http.Request) {
	const pollDelay, heartbeatInterval = 10 * time.Millisecond, 2 * time.Second
	reset := make(chan struct{})
	s.mu.Lock()
	if g.discoveryDown {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	version, _ := strconv.Atoi(r.URL.Query().Get("after")) // Atoi returns 0 if the parameter is absent.
	watch := watchState{gateway: g, incarnation: g.gateway, version: version, opening: true}
	g.watches[reset] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(g.watches, reset)
		g.lastWatchEndedAt = time.Now()
	}()
	if !s.deployment.Push {
		time.Sleep(pollDelay)
	}
	for {
		message, updated := s.nextWatchMessage(&watch)
		_, _ = w.Write(message) // If the connection was lost, the request's context ends the watch.
		w.(http.Flusher).Flush()
		if !waitForUpdate(r.Context(), updated, reset, heartbeatInterval) {
			return
		}
	}
}

// watchState is the state of an open watch.
type watchState struct {
	gateway     *simulatedGateway
	incarnation *gateway.Gateway // incarnation of the gateway that opened the watch
	version     int              // version of the endpoint list that the gateway has
	opening     bool             // whether the watch has not sent its first message yet
}

// nextWatchMessage returns the next line that a watch sends, and the channel that is closed at the next change of the endpoint list.
// The line of a heartbeat is empty. If the current incarnation of the gateway opened the watch, the gateway is marked as notified.
func (s *simulation) nextWatchMessage(watch *watchState) (message []byte, updated chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var update *endpointUpdate
	latest := len(s.updates)
	switch {
	case watch.version > latest || watch.opening && watch.version == 0:
		update = s.snapshot(watch.gateway, latest)
	case watch.version < latest || watch.opening:
		update = s.delta(watch.gateway, watch.version)
	}
	watch.version, watch.opening = latest, false
	if watch.gateway.gateway == watch.incarnation {
		s.markNotified(watch.gateway)
	}
	if update != nil {
		message, _ = json.Marshal(update) // Marshal cannot fail because all numbers are finite.
	}
	return append(message, '\n'), watch.gateway.updated
}

// waitForUpdate waits for the next update or until a heartbeat is due. It returns false if the client has disconnected. It panics
// with http.ErrAbortHandler if the watch is reset.
func waitForUpdate(ctx context.Context, updated, reset chan struct{}, heartbeat time.Duration) bool {
	select {
	case <-updated:
	case <-time.After(heartbeat):
	case <-reset:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		return false
	}
	return true
}
