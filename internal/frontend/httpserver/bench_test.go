package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/workbudget"
)

// instantLoop is an event loop that serves each request at once.
type instantLoop struct{}

func (instantLoop) Submit(r *lifecycle.Request) bool {
	r.Respond(lifecycle.Response{Kind: lifecycle.Served, Body: []byte("body")})
	return true
}
func (instantLoop) Cancel(*lifecycle.Request)                                {}
func (instantLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (instantLoop) Ready() bool                                              { return true }

// BenchmarkRequestsOnConnection shows the cost of a request on a kept connection, one at a time, and what the bound on the work of clients
// adds. With more cores than there are, nothing waits.
func BenchmarkRequestsOnConnection(b *testing.B) {
	for _, path := range []struct{ name, request string }{
		{"valid", rawGet(1)}, {"ready", readyRequest}, {"metrics", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		for name, cores := range map[string]float64{"unbounded": 0, "bounded": 1e6} {
			b.Run(path.name+"/"+name, func(b *testing.B) { benchmarkRequests(b, path.request, cores) })
		}
	}
}

// benchmarkRequests sends requests to a server that bounds the work of its clients unless cores is 0.
func benchmarkRequests(b *testing.B, request string, cores float64) {
	ln, settings, counters := testbed.Listen(b), testbed.Settings(4), metrics.New()
	tracker := &ConnTracker{SheddingThreshold: 9, Clock: clock.NewSystem(), Metrics: counters}
	if cores > 0 {
		tracker.Work = workbudget.New(cores, clock.NewSystem(), counters)
	}
	handler := &Handler{Loop: instantLoop{}, Clock: clock.NewSystem(), Metrics: counters, Settings: &settings, Conns: tracker}
	server := &http.Server{Handler: handler, ConnState: tracker.ConnState, ConnContext: tracker.ConnContext}
	testbed.ServeHTTP(b, server, tracker.LimitListener(ln, 9))
	conn := testbed.Dial(b, ln.Addr().String())
	reader := bufio.NewReader(conn)
	for b.Loop() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // an error shows when the next response is read
		_ = response.Body.Close()
	}
}
