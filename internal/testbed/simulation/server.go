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
	serverConcurrency = 4  // number of requests that a server processes concurrently
	serverQueueLimit  = 30 // number of admitted requests at which a server rejects further ones
)

// server is an incarnation of a storage server. It listens on a different address for each gateway.
type server struct {
	index     int
	name      string
	shard     int
	zone      string
	startedAt time.Time      // start of the server; zero if it was long before the simulation
	listeners []*http.Server // HTTP servers, one for each gateway
	slots     chan struct{}  // semaphore that limits the requests in process to serverConcurrency

	// The fields below are guarded by simulation.mu.

	published         bool // whether discovery has published a state of the server
	draining          bool
	stopped           bool
	frozen            chan struct{}        // channel that is closed at the end of a period without responses; nil outside of such a period
	queued            int                  // number of admitted requests without a response
	slowStartArrivals []slowStartArrival   // arrivals during the slow start, within the latest overload window
	servedElsewhere   map[uint64][]float64 // by volume ID and gateway index: units served for other gateways, not yet reported
}

// slowStartArrival is the arrival of a request at a server during its slow start.
type slowStartArrival struct {
	at    time.Time
	units float64
}

// startServer starts a server with a listener for each gateway. s.mu must be held.
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
		go func() { _ = httpServer.Serve(listener) }() // Serve returns an error when the server is closed.
	}
	return srv
}

// startedMs returns the start of the server in Unix milliseconds, or 0 if it was long before the simulation.
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

// capacityFraction returns the fraction of its full capacity that a server has. The fraction grows during the slow start.
func (s *simulation) capacityFraction(srv *server, now time.Time) float64 {
	if srv.startedAt.IsZero() {
		return 1
	}
	progress := min(1, float64(now.Sub(srv.startedAt).Milliseconds())/s.deployment.SlowStartMs)
	return s.deployment.InitialCapacity + (1-s.deployment.InitialCapacity)*progress
}

// serve handles a request at a server and checks the rules that apply to its arrival.
func (s *simulation) serve(srv *server, g *simulatedGateway, w http.ResponseWriter, r *http.Request) {
	firstByteAt := time.Now()
	if r.Header.Get("X-Correlation-Id") == "" {
		s.mu.Lock()
		s.recordViolation("server %s: received a request without a correlation ID", srv.name)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // The request is incomplete and is not executed.
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
	frozen  chan struct{} // server.frozen at the admission of the request; unless nil, it delays the response until it is closed
	outcome float64       // random number from [0, 1) that selects the fault and whether the response carries a load report
	noise   float64       // random factor of the service time
}

// admit checks the rules that apply to a complete request and decides whether the server processes the request or rejects it.
func (s *simulation) admit(srv *server, g *simulatedGateway, r *http.Request, body string, firstByteAt time.Time) (serverTask, bool) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.requests[id]
	if request == nil || request.class.write && body != request.body() {
		s.recordViolation("server %s: received a request that no client sent, or with another body: correlation ID %q", srv.name, id)
		panic(http.ErrAbortHandler)
	}
	attempt := s.recordArrival(srv, g, request, firstByteAt)
	context.AfterFunc(r.Context(), func() { // r.Context() ends when the attempt was canceled or has its response.
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

// process executes an admitted request and sends the response. A fault can replace the response; servers that honor cancellation
// drop canceled requests.
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

// serviceTime returns the time that a server needs for a request.
func (s *simulation) serviceTime(task serverTask) time.Duration {
	msPerUnit := max(s.deployment.ServiceTimeMs, 4000/s.deployment.Capacity)
	atFullCapacity := time.Duration(task.request.units * task.noise * msPerUnit * float64(time.Millisecond))
	return time.Duration(float64(atFullCapacity) / s.capacityFraction(task.server, time.Now()))
}

// respond sends the response. It adds the units served for other gateways if the deployment reports them, and to about half of the
// responses a load report if the deployment names fields for it.
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
	// A write error is ignored, because the gateway may have closed the connection.
	_, _ = fmt.Fprintf(w, "%s from %s", task.request.id, task.server.name)
}

// recordServed adds a request's units to those that have to be reported to the other gateways. It returns the units of the same
// volume that the server has served for other gateways since its last report to the request's gateway.
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
