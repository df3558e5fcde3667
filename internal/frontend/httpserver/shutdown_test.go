package httpserver

import (
	"net"
	"net/http"
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// Clients regard a gateway that is shutting down as unavailable if they find all its connections busy. During a shutdown, a request
// on the last idle connection must therefore be rejected at once, so that the connection becomes idle again. Before the shutdown and
// in the first newConnsExpectedMs milliseconds of it, no request must be rejected: clients can then still open new connections.
func TestShutdownKeepsConnectionIdle(t *testing.T) {
	h := newTestHandler(nil)
	h.Conns = &ConnTracker{SheddingThreshold: 9, Clock: h.manualClock, Metrics: metrics.New()}
	var conns []net.Conn
	for range 4 {
		serverSide, clientSide := net.Pipe()
		defer serverSide.Close()
		defer clientSide.Close()
		conn := &clientConn{Conn: serverSide, tracker: h.Conns}
		h.Conns.ConnState(conn, http.StateNew)
		conns = append(conns, conn)
	}
	h.loop.onSubmit = func(r *lifecycle.Request) { // each request takes 30 ms
		h.manualClock.Advance(30)
		r.Respond(lifecycle.Response{Body: []byte("data")})
	}
	// rejected makes the given number of connections busy, handles a request and returns how many requests were rejected: 0 or 1.
	rejected := func(busy int) int64 {
		t.Helper()
		for i, conn := range conns {
			state := http.StateIdle
			if i < busy {
				state = http.StateActive
			}
			h.Conns.ConnState(conn, state)
		}
		before := h.Metrics.Get(requestsRejectedShutdown)
		code := h.serve(newRequest(nil)).Code
		count := h.Metrics.Get(requestsRejectedShutdown) - before
		if (code == http.StatusServiceUnavailable) != (count == 1) {
			t.Fatalf("got status %d, but %d requests were counted as rejected", code, count)
		}
		return count
	}
	for range 50 {
		if rejected(4) != 0 {
			t.Fatal("a request was rejected before the shutdown")
		}
	}
	h.BeginShutdown(h.manualClock.NowMs() + 3500)
	if rejected(4) != 0 {
		t.Error("a request was rejected while new connections are still expected")
	}
	h.manualClock.Advance(newConnsExpectedMs)
	if submitted := len(h.loop.submitted); rejected(4) != 1 || len(h.loop.submitted) != submitted {
		t.Error("a request on the last idle connection was not rejected, or was submitted")
	}
	if rejected(1) != 0 {
		t.Error("a request was rejected although three connections are idle")
	}
}

// During a shutdown, the remaining time of a request must end at respondByMs at the latest, because the gateway must have responded
// to all requests by then. After DisableKeepAlives, the server must close the connection after the response.
func TestShutdownLimitsRemainingTime(t *testing.T) {
	h := newTestHandler(respondWith(lifecycle.Response{Body: []byte("x")}))
	h.BeginShutdown(h.manualClock.NowMs() + 100)
	for _, connection := range []string{"", "close"} {
		w := h.serve(newRequest(nil))
		r := h.loop.submitted[len(h.loop.submitted)-1]
		if r.RemainingMs != 100 || w.Code != 200 || w.Header().Get("Connection") != connection {
			t.Errorf("got remaining time %v ms, status %d, Connection %q; want 100 ms, status 200 and the header of the test case",
				r.RemainingMs, w.Code, w.Header().Get("Connection"))
		}
		h.DisableKeepAlives()
	}
}
