// Package httpserver is the HTTP frontend: it parses clients' requests, submits them to the event loop, and writes the one
// response to each. It makes no scheduling decisions.
//
// A Handler serves the requests. A ConnTracker owns the client connections below the http.Server. Its invariants:
//
//   - A request that was accepted gets its response, unless its client disconnects first.
//   - A connection is shed only while nothing of a request has been read from it.
//   - A connection that has been closed is reset only if its client keeps sending for gracefulclose.TimeoutMs, or if too many
//     connections wait for their clients' ends.
//
// Handlers run on the http.Server's goroutines, one for each connection. The package starts one goroutine of its own for each
// connection that is closed before its client has ended it; that goroutine ends with the connection.
package httpserver

import (
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/shutdown"
	"gaugerelay/internal/socketstate"
)

// networkMarginMs is subtracted from the time that is left for a request, because the client counts that time from sending
// the request to receiving the response.
const networkMarginMs = 10

// Names of counters.
const (
	requestsAbandoned        = "requests_abandoned"
	requestsRejectedShutdown = "requests_rejected_shutdown"
)

// Loop is the event loop as a Handler uses it. Its methods do not block.
type Loop interface {
	frontend.Loop
	// Ready reports whether requests can be served.
	Ready() bool
}

// Handler is the http.Handler of clients, or of devices on poor links. The exported fields are set before use. The methods
// may be called from any goroutine.
type Handler struct {
	Loop     Loop
	Upstream lifecycle.Upstream
	Clock    clock.Clock
	Metrics  *metrics.Registry
	Settings *scheduler.Settings
	// ServesDevices makes each request a copy of an exchange of the device that X-Device-Id names.
	ServesDevices bool
	// FleetStatus serves what this gateway knows of its fleet; nil if it is in none.
	FleetStatus http.HandlerFunc
	// GatewayName names this gateway to devices. It changes with each start.
	GatewayName string
	// Conns, if not nil, makes the handler keep client connections free during a shutdown once no new ones are expected.
	Conns *ConnTracker
	// PauseDetector gives the earliest time at which a request that is read after a pause of this process may have arrived. A
	// nil one reports no pause.
	PauseDetector *clock.PauseDetector

	pacerMu sync.Mutex
	pacer   shutdown.AdmissionPacer

	keepFreeFromMs     atomic.Uint64 // bits of the float64 from when on connections are kept free; 0 before a shutdown
	respondByMs        atomic.Uint64 // bits of the float64 by when the last response must be written; 0 before a shutdown
	keepAlivesDisabled atomic.Bool
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler, which closes the connection without a response, if
// the client no longer waits for one.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedMs := h.PauseDetector.EarliestArrival(h.Clock.NowMs())
	if conn := clientConnOf(r.Context()); conn != nil {
		if conn.wasShed() { // the client sees its connection closed and sends the request again
			panic(http.ErrAbortHandler)
		}
		clientWaits := func() bool { return r.Context().Err() == nil && !socketstate.PeerClosed(conn.Conn) }
		defer conn.trackResponse(clientWaits)()
	}
	if h.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	respondByMs := math.Float64frombits(h.respondByMs.Load())
	if h.serveStatus(w, r, respondByMs) {
		return
	}
	if h.ServesDevices {
		w.Header().Set("X-Gateway", h.GatewayName)
		defer func() { h.sentAfter(r.Context()).Store(math.Float64bits(h.Clock.NowMs())) }()
	}
	h.serveRequest(w, r, arrivedMs, respondByMs)
}

// serveStatus serves the paths that report the gateway's state. It returns false for other paths.
func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request, respondByMs float64) bool {
	switch r.URL.Path {
	case "/ready":
		if respondByMs != 0 || !h.Loop.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return true
		}
		_, _ = io.WriteString(w, "ready\n") // a client that has disconnected needs no response
		return true
	case "/fleet":
		if h.FleetStatus != nil {
			h.FleetStatus(w, r)
			return true
		}
	case "/metrics":
		if !h.ServesDevices { // counters are for operators
			h.Metrics.WriteText(w)
			return true
		}
	}
	return false
}

// serveRequest parses a request, submits it, and writes its response.
func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request, arrivedMs, respondByMs float64) {
	request, err := h.parseRequest(r)
	if err != nil {
		h.rejectMalformed(w, err)
		return
	}
	// The server's time to read the request ends here. Its deadline would also end the server's watch for a disconnect, and
	// with that cancel a request that only waits for its response. The error is ignored: on a connection that is closed the
	// request is canceled anyway, and a ResponseWriter without deadlines has none to clear.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	responses := make(chan lifecycle.Response, 1) // buffers the only response, so that the loop never waits
	request.Respond = func(response lifecycle.Response) { responses <- response }
	request.ClientDelayMs = h.Clock.NowMs() - arrivedMs
	request.RemainingMs -= request.ClientDelayMs
	if !h.ServesDevices { // the deduplicator knows the links of devices
		request.RemainingMs -= networkMarginMs
		h.watchDisconnect(r, request)
	}
	if respondByMs != 0 { // requests that are still open at that time are lost
		request.RemainingMs = min(request.RemainingMs, respondByMs-h.Clock.NowMs())
	}
	if h.rejectsForShutdown(arrivedMs, respondByMs) {
		h.Metrics.Add(requestsRejectedShutdown, 1)
		writeRejection(w, h.inboxRetryAfterMs())
		return
	}
	defer h.recordLatency(arrivedMs)
	if !h.Loop.Submit(request) {
		h.rejectInboxFull(w, r, request)
		return
	}
	h.awaitResponse(w, r, request, responses)
}

// watchDisconnect makes the client's disconnect known to the request. It aborts the handler if the client has already
// disconnected: then the request was unread for longer than its client waited. Requests of devices go on without their clients.
func (h *Handler) watchDisconnect(r *http.Request, request *lifecycle.Request) {
	conn := clientConnOf(r.Context())
	if conn == nil {
		return
	}
	request.ClientDisconnected = func() bool { return socketstate.PeerClosed(conn.Conn) }
	if request.ClientDisconnected() {
		h.Metrics.Add(requestsAbandoned, 1)
		panic(http.ErrAbortHandler)
	}
}

// awaitResponse writes the response to a submitted request, unless its client disconnects first.
func (h *Handler) awaitResponse(w http.ResponseWriter, r *http.Request, request *lifecycle.Request, responses <-chan lifecycle.Response) {
	overdue := make(chan struct{})
	// A request that took all its time to get here is answered at once, and the guard must not race that.
	stop := h.Clock.AfterFunc(max(0, request.RemainingMs)+frontend.ResponseGraceMs, func() { close(overdue) })
	defer stop()
	select {
	case response := <-responses:
		h.writeResponse(w, r, request, response)
	case <-r.Context().Done():
		h.Loop.Cancel(request)
		panic(http.ErrAbortHandler) // returning would write an empty 200, which no server has sent
	case <-overdue:
		select {
		case response := <-responses: // it has arrived in this moment
			h.writeResponse(w, r, request, response)
			return
		default:
		}
		// The loop is stalled. It may have forwarded the request, so this is a failure, not a rejection.
		h.Metrics.Add(frontend.AnswersByGuard, 1)
		h.Loop.Cancel(request)
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	}
}
