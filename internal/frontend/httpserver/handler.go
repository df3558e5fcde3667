// Package httpserver is the HTTP frontend: it parses clients' requests, submits them to the event loop, and writes one response
// to each. It makes no scheduling decisions.
//
// A Handler serves the requests. A ConnTracker owns the client connections of the http.Server and keeps these invariants:
//
//   - A request that was accepted gets its response, unless its client disconnects first.
//   - A connection is shed only if no part of a request has been read from it since its last response.
//   - A connection that the gateway closes is reset only if its client keeps sending for gracefulclose.TimeoutMs, or if too many
//     connections wait for their clients to close.
//
// Handlers run on the http.Server's goroutines, one for each connection. The package starts a goroutine for each connection that
// the gateway closes before the client has closed its side. The goroutine ends when the connection is closed.
package httpserver

import (
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/shutdown"
	"gaugerelay/internal/socketstate"
	"gaugerelay/internal/workbudget"
)

// networkMarginMs is the part of a request's remaining time, in milliseconds, that is reserved for the network: the client
// measures that time from sending the request to receiving the response.
const networkMarginMs = 10

// Names of counters.
const (
	requestsAbandoned         = "requests_abandoned"
	requestsRejectedShutdown  = "requests_rejected_shutdown"
	requestsRejectedPipelined = "requests_rejected_pipelined"
)

// Loop is the part of the event loop that a Handler uses. Its methods do not block.
type Loop interface {
	frontend.Loop
	// Ready reports whether requests can be served.
	Ready() bool
}

// Handler is the http.Handler that serves either clients or devices on poor links. The exported fields are set before use. The
// methods may be called from any goroutine.
type Handler struct {
	Loop     Loop
	Upstream lifecycle.Upstream
	Clock    clock.Clock
	Metrics  *metrics.Registry
	Settings *scheduler.Settings
	// ServesDevices makes the handler treat each request as a transmission of an exchange of the device in X-Device-Id.
	ServesDevices bool
	// FleetStatus serves this gateway's view of its fleet. It is nil if the gateway is not part of a fleet.
	FleetStatus http.HandlerFunc
	// Responses holds the bodies of responses to devices until they have read them. It is not used if ServesDevices is not set.
	Responses *responsebuffer.Set
	// GatewayName identifies this gateway to devices. It changes with each start.
	GatewayName string
	// Conns counts the open and the busy connections. If it is not nil, the handler rejects some requests during a shutdown, once no
	// new connections are expected, so that a connection stays idle (see shouldRejectForShutdown).
	Conns *ConnTracker
	// PauseDetector returns the earliest time at which a request can have arrived if this process paused before it read the
	// request. If PauseDetector is nil, no pause is assumed.
	PauseDetector *clock.PauseDetector

	pacerMu sync.Mutex
	pacer   shutdown.AdmissionPacer

	// Times of Clock in milliseconds, as the bits of a float64. They are 0 before a shutdown.
	rejectFromMs atomic.Uint64 // from this time on, requests may be rejected to keep a connection idle
	respondByMs  atomic.Uint64 // by this time, the last response must have been written

	keepAlivesDisabled atomic.Bool
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if the client no longer waits for a response on this
// connection. The server then closes the connection without a response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedMs := h.PauseDetector.EarliestArrival(h.Clock.NowMs())
	conn := clientConnOf(r.Context())
	if conn != nil {
		if conn.wasShed() { // the client sees the connection closed and sends the request again
			panic(http.ErrAbortHandler)
		}
		arrivedMs = conn.earliestArrival(arrivedMs)
		conn.recordRequestID(r)
		conn.expectBody(r.ContentLength)
		clientWaiting := func() bool { return r.Context().Err() == nil && !socketstate.PeerClosed(conn.Conn) }
		defer conn.trackResponse(clientWaiting)()
	}
	// Bytes after a body whose length is not known may have been read with the body, unseen by conn.head.
	if h.keepAlivesDisabled.Load() || r.ContentLength < 0 {
		w.Header().Set("Connection", "close")
	}
	if conn != nil && conn.head.hasAmbiguousLength(r.ProtoAtLeast(1, 1)) { // on every path: the rest of the body must not be read as a request
		h.rejectMalformed(w, r, errLengthRequired)
		return
	}
	if r.ContentLength == 0 && !h.take(r) {
		h.rejectEvicted(w)
		return
	}
	respondByMs := math.Float64frombits(h.respondByMs.Load())
	if h.serveStatus(w, r, respondByMs) {
		return
	}
	if h.ServesDevices {
		w.Header().Set("X-Gateway", h.GatewayName)
		defer func() { h.earliestSend(r.Context()).Store(math.Float64bits(h.Clock.NowMs())) }()
	}
	h.serveRequest(w, r, arrivedMs, respondByMs)
}

// serveStatus serves the paths that report the gateway's state: /ready, /fleet and /metrics. It returns false for other paths.
func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request, respondByMs float64) bool {
	switch r.URL.Path {
	case "/ready":
		if !h.awaitWork(w, r, workbudget.Request) {
			return true
		}
		if respondByMs != 0 || !h.Loop.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return true
		}
		_, _ = io.WriteString(w, "ready\n") // a client that has disconnected needs no response
		return true
	case "/fleet":
		if h.FleetStatus != nil {
			if h.awaitWork(w, r, workbudget.Request+workbudget.Report) {
				h.FleetStatus(w, r)
			}
			return true
		}
	case "/metrics":
		if !h.ServesDevices { // the counters are for operators and are not shown to devices
			if h.awaitWork(w, r, workbudget.Request+workbudget.Report) {
				h.Metrics.WriteText(w)
			}
			return true
		}
	}
	return false
}

// serveRequest parses a request, submits it, and writes its response.
func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request, arrivedMs, respondByMs float64) {
	request, err := h.parseRequest(r)
	if errors.Is(err, errEvicted) {
		h.rejectEvicted(w)
		return
	}
	if err != nil {
		h.rejectMalformed(w, r, err)
		return
	}
	// The request has been read, so the read deadline is cleared. If it expired, the server's read that detects a disconnect
	// would fail, and the server would cancel a request that only waits for its response. The error is ignored: if the
	// connection is closed, the request is canceled anyway, and a ResponseWriter without deadlines has none to clear.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	responses := make(chan lifecycle.Response, 1) // has room for the only response, so that the event loop never blocks
	request.Respond = func(response lifecycle.Response) { responses <- response }
	request.ClientDelayMs = h.Clock.NowMs() - arrivedMs
	request.RemainingMs -= request.ClientDelayMs
	if !h.ServesDevices { // for devices, the deduplicator subtracts the time that the link takes
		request.RemainingMs -= networkMarginMs
		h.watchDisconnect(r, request)
	}
	if respondByMs != 0 { // requests that are still open at respondByMs would get no response
		request.RemainingMs = min(request.RemainingMs, respondByMs-h.Clock.NowMs())
	}
	if h.shouldRejectForShutdown(arrivedMs, respondByMs) {
		h.Metrics.Add(requestsRejectedShutdown, 1)
		writeRejection(w, h.inboxRetryAfterMs())
		return
	}
	if conn := clientConnOf(r.Context()); conn != nil && conn.mustYield() {
		h.Metrics.Add(requestsRejectedPipelined, 1)
		writeRejection(w, h.inboxRetryAfterMs())
		return
	}
	defer h.recordLatency(arrivedMs)
	workOf(r).Charge(workbudget.Submission)
	if !h.Loop.Submit(request) {
		h.rejectInboxFull(w, r, request)
		return
	}
	h.awaitResponse(w, r, request, responses)
}

// take records that a request has been read completely. It returns false if the request must be rejected to make room for others.
func (h *Handler) take(r *http.Request) bool {
	conn := clientConnOf(r.Context())
	return conn == nil || conn.take()
}

// watchDisconnect sets request.ClientDisconnected. If the client has already disconnected, because the request stayed unread for
// longer than the client waited, it panics with http.ErrAbortHandler. It must not be called for requests of devices, which
// continue after a disconnect.
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

// pendingRequest is a submitted request.
type pendingRequest struct {
	*lifecycle.Request
	submittedAt time.Time // when the request had been read
	deadlineMs  float64   // time of Handler.Clock in milliseconds until which the client waits for the response
}

// awaitResponse writes the response to a submitted request, unless its client disconnects first.
func (h *Handler) awaitResponse(w http.ResponseWriter, r *http.Request, request *lifecycle.Request, responses <-chan lifecycle.Response) {
	// The event loop responds at once to a request that has no time left. The grace time is added to 0 rather than to a negative
	// remaining time, so that the response guard does not preempt that response.
	remainingMs := max(0, request.RemainingMs)
	pending := &pendingRequest{Request: request, submittedAt: time.Now(), deadlineMs: h.Clock.NowMs() + remainingMs}
	guardExpired, stop := clock.After(h.Clock, remainingMs+frontend.ResponseGraceMs)
	defer stop()
	select {
	case response := <-responses:
		h.writeResponse(w, r, pending, response)
	case <-r.Context().Done():
		h.Loop.Cancel(request)
		panic(http.ErrAbortHandler) // returning would write an empty 200 response, which no server has sent
	case <-guardExpired:
		select {
		case response := <-responses: // the response arrived when the guard expired
			h.writeResponse(w, r, pending, response)
			return
		default:
		}
		// The event loop is stalled. It may have forwarded the request, so the request fails and is not rejected.
		h.Metrics.Add(frontend.ResponsesByGuard, 1)
		h.Loop.Cancel(request)
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	}
}
