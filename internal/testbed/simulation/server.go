package simulation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	serverConcurrency = 4  // requests that a server works on at once
	serverQueueLimit  = 30 // requests at a server beyond which it rejects
)

// server is one incarnation of a storage server. Each gateway reaches it at an address of its own.
type server struct {
	index     int
	name      string
	shard     int
	zone      string
	startedAt time.Time // zero for one that has run since long before the simulation
	listeners []*http.Server
	slots     chan struct{}

	// The fields below are guarded by simulation.mu.

	listed          bool // whether discovery has published it
	draining        bool
	stopped         bool
	frozen          chan struct{} // while it does not respond: closed when it does again
	queued          int
	slowStartSends  []slowStartSend      // within the overload window
	servedElsewhere map[uint64][]float64 // units by volume and gateway that were not reported to the gateway yet
}

// slowStartSend is a request that reached a server during its slow start.
type slowStartSend struct {
	at    time.Time
	units float64
}

// startServer starts a server for all gateways. s.mu must be held.
func (s *simulation) startServer(name string, shard int, startedAt time.Time) *server {
	srv := &server{index: len(s.servers), name: name, shard: shard, zone: s.deployment.Zones[shard%len(s.deployment.Zones)],
		startedAt: startedAt, slots: make(chan struct{}, serverConcurrency), servedElsewhere: map[uint64][]float64{}}
	s.servers = append(s.servers, srv)
	for i := range s.deployment.Gateways {
		listener, err := s.network.Listen(serverAddr(i, srv.index))
		if err != nil {
			panic(err)
		}
		handler := func(w http.ResponseWriter, r *http.Request) { s.serve(srv, s.gateways[i], w, r) }
		httpServer := &http.Server{Handler: http.HandlerFunc(handler)}
		srv.listeners = append(srv.listeners, httpServer)
		go func() { _ = httpServer.Serve(listener) }() // It always ends with the error of Close.
	}
	return srv
}

// startedMs returns the server's start in Unix milliseconds, 0 if it was long ago.
func (srv *server) startedMs() float64 {
	if srv.startedAt.IsZero() {
		return 0
	}
	return float64(srv.startedAt.UnixMilli())
}

// stop closes the server's listeners and connections.
func (srv *server) stop() {
	for _, listener := range srv.listeners {
		listener.Close()
	}
}

// capacityFraction returns the fraction of its capacity that a server has, which grows during its slow start.
func (s *simulation) capacityFraction(srv *server, now time.Time) float64 {
	if srv.startedAt.IsZero() {
		return 1
	}
	progress := min(1, float64(now.Sub(srv.startedAt).Milliseconds())/s.deployment.SlowStartMs)
	return s.deployment.InitialCapacity + (1-s.deployment.InitialCapacity)*progress
}

// serve handles a request at a server and checks the rules as it arrives.
func (s *simulation) serve(srv *server, g *simulatedGateway, w http.ResponseWriter, r *http.Request) {
	firstByteAt := time.Now()
	if r.Header.Get("X-Correlation-Id") == "" {
		s.mu.Lock()
		s.violation("%s: a request without an id", srv.name)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // The request is incomplete: nothing of it is done.
	}
	task, admitted := s.admit(srv, g, r, string(body), firstByteAt)
	if !admitted {
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.process(task, w, r)
}

// serverTask is a request that a server has admitted.
type serverTask struct {
	server  *server
	gateway *simulatedGateway
	request *request
	frozen  chan struct{} // closed when the server responds again; nil if it does
	outcome float64       // drawn from [0, 1): which fault the request meets, and whether a load report is sent
	noise   float64       // drawn factor on the service time
}

// admit checks a complete request against the rules and decides whether the server works on it.
func (s *simulation) admit(srv *server, g *simulatedGateway, r *http.Request, body string, firstByteAt time.Time) (serverTask, bool) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.requests[id]
	if request == nil || request.class.write && body != request.body() {
		s.violation("%s: a request that no client sent so: %q", srv.name, id)
		panic(http.ErrAbortHandler)
	}
	attempt := s.recordArrival(srv, g, request, firstByteAt)
	context.AfterFunc(r.Context(), func() { // Canceled, or responded to.
		s.mu.Lock()
		defer s.mu.Unlock()
		attempt.inFlight = false
	})
	task := serverTask{server: srv, gateway: g, request: request, frozen: srv.frozen, outcome: s.serverRandom.Float64(),
		noise: 0.3 + 1.4*s.serverRandom.Float64()}
	if srv.queued >= serverQueueLimit || srv.draining && s.deployment.DrainingServersReject ||
		request.shard >= 0 && request.shard != srv.shard {
		attempt.mayHaveExecuted, attempt.inFlight = false, false
		s.result.RejectedAttempts++
		return task, false
	}
	srv.queued++
	return task, true
}

// process works on an admitted request and responds, unless it meets a fault.
func (s *simulation) process(task serverTask, w http.ResponseWriter, r *http.Request) {
	const errorRate, resetRate = 0.02, 0.01
	srv := task.server
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		srv.queued--
	}()
	srv.slots <- struct{}{}
	defer func() { <-srv.slots }()
	if task.frozen != nil {
		<-task.frozen
	}
	if s.deployment.ServersHonorCancel && r.Context().Err() != nil {
		return
	}
	time.Sleep(s.serviceTime(task))
	switch {
	case task.outcome < errorRate:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case task.outcome < errorRate+resetRate:
		panic(http.ErrAbortHandler)
	}
	s.respond(task, w)
}

// serviceTime returns how long a server works on a request.
func (s *simulation) serviceTime(task serverTask) time.Duration {
	msPerUnit := max(s.deployment.ServiceTimeMs, 4000/s.deployment.Capacity)
	atFullCapacity := time.Duration(task.request.units * task.noise * msPerUnit * float64(time.Millisecond))
	return time.Duration(float64(atFullCapacity) / s.capacityFraction(task.server, time.Now()))
}

// respond sends the response with the load reports that the deployment has.
func (s *simulation) respond(task serverTask, w http.ResponseWriter) {
	if elsewhere := s.recordServed(task); s.deployment.ReportsServedElsewhere && elsewhere > 0 {
		w.Header().Set("X-Served-Elsewhere", strconv.FormatFloat(elsewhere, 'f', -1, 64))
	}
	if len(s.deployment.ReportFields) > 0 && task.outcome < 0.5 {
		var report []string
		for _, field := range s.deployment.ReportFields {
			report = append(report, fmt.Sprintf("%q:%.1f", field, 20*task.outcome))
		}
		w.Header().Set("X-Backend-Load", "{"+strings.Join(report, ",")+"}")
	}
	_, _ = fmt.Fprintf(w, "%s from %s", task.request.id, task.server.name) // The gateway may have closed the connection.
}

// recordServed adds a request's units to what is to be reported to the other gateways, and returns the units of its volume
// that were served for others since the last report to its own gateway.
func (s *simulation) recordServed(task serverTask) (elsewhere float64) {
	volumeID := task.request.volume.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	units := task.server.servedElsewhere[volumeID]
	if units == nil {
		units = make([]float64, s.deployment.Gateways)
		task.server.servedElsewhere[volumeID] = units
	}
	for i := range units {
		if i != task.gateway.index {
			units[i] += task.request.units
		}
	}
	elsewhere = units[task.gateway.index]
	if s.deployment.ReportsServedElsewhere {
		units[task.gateway.index] = 0
	}
	return elsewhere
}
