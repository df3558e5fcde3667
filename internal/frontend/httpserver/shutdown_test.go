package httpserver

import (
	"net"
	"net/http"
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// During a shutdown the request that takes the last free connection is rejected at once: the next one would find none, and its
// clients would consider the gateway down. Before the shutdown, and while new connections may arrive, none is.
func TestLastFreeConnectionIsKept(t *testing.T) {
	h := newTestHandler(nil)
	h.Conns = &ConnTracker{MaxOpen: 9, Clock: h.now, Metrics: metrics.New()}
	var conns []net.Conn
	for range 4 {
		ours, theirs := net.Pipe()
		defer ours.Close()
		defer theirs.Close()
		conn := &clientConn{Conn: ours, tracker: h.Conns}
		h.Conns.ConnState(conn, http.StateNew)
		conns = append(conns, conn)
	}
	h.loop.onSubmit = func(r *lifecycle.Request) { // 30 ms for each, a hundred requests a second
		h.now.Advance(30)
		r.Respond(lifecycle.Response{Body: []byte("data")})
	}
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
		n := h.Metrics.Get(requestsRejectedShutdown) - before
		if (code == http.StatusServiceUnavailable) != (n == 1) {
			t.Fatalf("answered %d, %d rejected", code, n)
		}
		return n
	}
	for range 50 {
		if rejected(4) != 0 {
			t.Fatal("rejected before the shutdown")
		}
	}
	h.BeginShutdown(h.now.NowMs() + 3500)
	if rejected(4) != 0 {
		t.Error("rejected while new connections may arrive")
	}
	h.now.Advance(newConnsExpectedMs)
	if submitted := len(h.loop.submitted); rejected(4) != 1 || len(h.loop.submitted) != submitted {
		t.Error("the last free connection was taken")
	}
	if rejected(1) != 0 {
		t.Error("rejected though three connections are free")
	}
}

// During a shutdown a request is answered before the program ends, and in the end its connection is closed.
func TestDrain(t *testing.T) {
	h := newTestHandler(respondWith(lifecycle.Response{Body: []byte("x")}))
	h.BeginShutdown(h.now.NowMs() + 100)
	for _, connection := range []string{"", "close"} {
		w := h.serve(newRequest(nil))
		r := h.loop.submitted[len(h.loop.submitted)-1]
		if r.RemainingMs != 100 || w.Code != 200 || w.Header().Get("Connection") != connection {
			t.Errorf("%v left, %d, connection %q", r.RemainingMs, w.Code, w.Header().Get("Connection"))
		}
		h.DisableKeepAlives()
	}
}
