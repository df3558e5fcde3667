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

// endpointState is a server's state on discovery's wire.
type endpointState string

const (
	stateReady    endpointState = "Ready"
	stateDraining endpointState = "Terminating"
	stateRemoved  endpointState = "Gone"
)

// endpointChange is a published change of the endpoint list. Its version is its index in simulation.updates plus one.
type endpointChange struct {
	server      *server
	state       endpointState
	publishedAt time.Time
}

// endpointUpdate is an update of the endpoint list in discovery's form.
type endpointUpdate struct {
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
	Version int        `json:"version"`
}

// endpoint is a server in discovery's form.
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

// endpointFor returns the changed server as a gateway sees it.
func (c endpointChange) endpointFor(g *simulatedGateway) endpoint {
	return endpoint{ID: c.server.name, Addr: serverAddr(g.index, c.server.index), Zone: c.server.zone, Kind: "k",
		Shard: c.server.shard, State: c.state, Weight: 1, StartedMs: c.server.startedMs()}
}

// publish adds a change to the endpoint list after a delay.
func (s *simulation) publish(srv *server, state endpointState, delayMs float64) {
	time.AfterFunc(clock.Duration(delayMs), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updates = append(s.updates, endpointChange{srv, state, time.Now()})
		srv.listed = true
		for _, g := range s.gateways {
			if s.deployment.Push && !g.discoveryDown {
				s.markNotified(g)
			}
			close(g.updated)
			g.updated = make(chan struct{})
		}
	})
}

// markNotified records that a gateway counts as notified of all changes up to now. s.mu must be held.
func (s *simulation) markNotified(g *simulatedGateway) {
	if g.notifiedAt == nil { // It has not started yet.
		return
	}
	for _, c := range s.updates {
		if _, notified := g.notifiedAt[c.server]; !notified && c.state != stateReady {
			g.notifiedAt[c.server] = time.Now()
		}
	}
}

// snapshot returns the complete endpoint list at a version as a gateway sees it. s.mu must be held.
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

// delta returns the changes after a version as a gateway sees them. s.mu must be held.
func (s *simulation) delta(g *simulatedGateway, after int) *endpointUpdate {
	update := &endpointUpdate{Version: len(s.updates), Servers: []endpoint{}}
	for _, c := range s.updates[after:] {
		update.Servers = append(update.Servers, c.endpointFor(g))
	}
	return update
}

// startDiscovery starts the fake of discovery that a gateway watches.
func (s *simulation) startDiscovery(g *simulatedGateway) {
	listener, err := s.network.Listen(discoveryAddr(g.index))
	if err != nil {
		panic(err)
	}
	g.discovery = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveWatch(g, w, r) })}
	go func() { _ = g.discovery.Serve(listener) }() // It always ends with the error of Close.
}

// serveWatch serves a watch until its client leaves, the watch is reset or discovery goes down.
func (s *simulation) serveWatch(g *simulatedGateway, w http.ResponseWriter, r *http.Request) {
	const pollDelay, heartbeatInterval = 10 * time.Millisecond, 2 * time.Second
	reset := make(chan struct{})
	s.mu.Lock()
	if g.discoveryDown {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	version, _ := strconv.Atoi(r.URL.Query().Get("after")) // Absent: 0.
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
		_, _ = w.Write(message) // A watch that was lost ends by its context.
		w.(http.Flusher).Flush()
		if !waitForUpdate(r.Context(), updated, reset, heartbeatInterval) {
			return
		}
	}
}

// watchState is what an open watch has received.
type watchState struct {
	gateway     *simulatedGateway
	incarnation *gateway.Gateway // that opened it
	version     int
	opening     bool // its first message has not been sent
}

// nextWatchMessage returns the next line of a watch, which is empty for a heartbeat, and the channel that announces the
// update after it.
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
		message, _ = json.Marshal(update) // All drawn numbers are finite.
	}
	return append(message, '\n'), watch.gateway.updated
}

// waitForUpdate waits for the next update or until a heartbeat is due. It returns false if the client has left, and aborts
// the handler if the watch is reset.
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
