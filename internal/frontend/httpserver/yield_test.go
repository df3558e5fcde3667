package httpserver

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// While the gateway stops, the request that takes the last free connection is refused at once: the next one would find
// none, and its clients would hold the gateway for gone. Before the stop, and while new connections may come, none is.
func TestLastFreeConnectionIsKept(t *testing.T) {
	f, l, now := newFront(nil)
	f.Conns = &ConnTracker{MaxOpen: 9, Clock: now, Metrics: metrics.New()}
	var open []net.Conn
	for range 4 {
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		c := &client{Conn: a, conns: f.Conns}
		f.Conns.ConnState(c, http.StateNew)
		open = append(open, c)
	}
	l.take = func(r *lifecycle.Request) { // 30 ms for each, a hundred requests a second
		now.Advance(30)
		r.Respond(lifecycle.Response{Result: []byte("data")})
	}
	ask := func(busy int) (yielded int64) {
		for i, c := range open {
			state := http.StateIdle
			if i < busy {
				state = http.StateActive
			}
			f.Conns.ConnState(c, state)
		}
		before := f.Metrics.Get("requests_yielded")
		code := serve(f)
		if yielded = f.Metrics.Get("requests_yielded") - before; (code == http.StatusServiceUnavailable) != (yielded == 1) {
			t.Fatalf("answered %d, %d yielded", code, yielded)
		}
		return yielded
	}
	for range 50 {
		if ask(4) != 0 {
			t.Fatal("refused though the gateway does not stop")
		}
	}
	f.Drain(now.NowMs() + 3500)
	if ask(4) != 0 {
		t.Error("refused while new connections may come")
	}
	now.Advance(comingMs)
	if taken := len(l.taken); ask(4) != 1 || len(l.taken) != taken {
		t.Error("the last free connection was taken")
	}
	if ask(1) != 0 {
		t.Error("refused though three connections are free")
	}
}

func serve(f *Handler) int {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, request(nil))
	return w.Code
}
