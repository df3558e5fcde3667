package gateway

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// readyLoop is an event loop that is ready and accepts no requests.
type readyLoop struct{}

func (readyLoop) Submit(*lifecycle.Request) bool                           { return false }
func (readyLoop) Cancel(*lifecycle.Request)                                {}
func (readyLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (readyLoop) Ready() bool                                              { return true }

// get makes a request and discards the response.
func get(t *testing.T, client *http.Client, url string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = send(client, request)
	return err
}

// waitForIdle waits until one connection is open and idle. The server updates the state of a connection only after it has sent
// the last byte of a response.
func waitForIdle(conns *httpserver.ConnTracker) {
	for {
		if open, busy := conns.Count(); open == 1 && busy == 0 {
			return
		}
		runtime.Gosched()
	}
}

// The steps of a drain, in order. The frontend calls clientFrontend.after exactly once at the start of each step.
const (
	stepAccepting = iota + 1
	stepReusing
	stepClosing
)

// While the frontend drains, it accepts new connections only at first. It serves open connections until shortly before the end.
// Then it closes idle connections at once, and each of the others after its next response.
func TestClientFrontendServesWhileDraining(t *testing.T) {
	listener := testbed.Listen(t)
	frontend := &clientFrontend{
		listener: listener,
		handler:  &httpserver.Handler{Clock: clock.NewManual(0), Loop: readyLoop{}, Metrics: metrics.New()},
		conns:    &httpserver.ConnTracker{SheddingThreshold: 9, Clock: clock.NewManual(0), Metrics: metrics.New()},
	}
	server := &http.Server{Handler: frontend.handler, ConnState: frontend.conns.ConnState}
	go func() { _ = server.Serve(frontend.conns.LimitListener(listener, 9)) }() // returns when the server is closed
	defer server.Close()
	url := "http://" + listener.Addr().String() + "/metrics"
	kept := &http.Client{Transport: &http.Transport{}}
	if err := get(t, kept, url); err != nil {
		t.Fatal(err)
	}
	step, elapsed := 0, make(chan time.Time)
	close(elapsed)
	frontend.after = func(float64) <-chan time.Time {
		step++
		fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		keptErr, freshErr := get(t, kept, url), get(t, fresh, url)
		if step == stepClosing { // ConnTracker.Drain has closed the kept connection, which was idle
			if keptErr == nil {
				t.Error("the kept connection is open in the last step of the drain, want it closed as idle")
			}
			return nil
		}
		waitForIdle(frontend.conns)
		if keptErr != nil || (freshErr == nil) != (step == stepAccepting) {
			t.Errorf("step %d: request on the kept connection: error %v; request on a new connection: error %v", step, keptErr, freshErr)
		}
		return elapsed
	}
	frontend.drain(newShutdownTimes(3000))
	if step != stepClosing {
		t.Errorf("drain ended after %d steps, want 3", step)
	}
}
