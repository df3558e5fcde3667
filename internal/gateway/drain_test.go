package gateway

import (
	"io"
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

// While the program stops, new connections are taken at first and kept ones nearly to the end; then each answer
// closes its own.
func TestDrainKeepsServing(t *testing.T) {
	ln := testbed.Listen(t)
	front := &httpserver.Handler{Clock: clock.NewManual(0), Loop: ready{}, Metrics: metrics.New()}
	conns := &httpserver.ConnTracker{MaxOpen: 9, Clock: clock.NewManual(0), Metrics: metrics.New()}
	server := &http.Server{Handler: front, ConnState: conns.ConnState}
	go server.Serve(conns.LimitListener(ln, 9))
	defer server.Close()
	url := "http://" + ln.Addr().String() + "/metrics"
	get := func(c *http.Client) error {
		resp, err := c.Get(url)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return err
	}
	kept := &http.Client{Transport: &http.Transport{}}
	if err := get(kept); err != nil {
		t.Fatal(err)
	}
	step, over := 0, make(chan time.Time)
	close(over)
	drain(ln, front, conns, stopTimesFor(3000), func(float64) <-chan time.Time {
		step++
		fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		old, young := get(kept), get(fresh)
		for step < 3 { // the server takes up a connection's rest behind the answer's last byte: wait until it has
			if open, busy := conns.Count(); open == 1 && busy == 0 {
				break
			}
			runtime.Gosched()
		}
		if wantYoung := step == 1; old != nil || (young == nil) != wantYoung {
			if step < 3 {
				t.Errorf("step %d: a kept connection: %v, a new one: %v", step, old, young)
			}
		}
		if step == 3 { // the connection has just been closed
			if old == nil {
				t.Error("kept beyond the end")
			}
			return nil
		}
		return over
	})
	if step != 3 {
		t.Errorf("%d steps", step)
	}
}

// ready is a loop that is never asked for more.
type ready struct{}

func (ready) Submit(*lifecycle.Request) bool                           { return false }
func (ready) Cancel(*lifecycle.Request)                                {}
func (ready) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (ready) Ready() bool                                              { return true }

// Whatever the longest deadline is, new connections are accepted for as long as they come, what is out when connections
// begin to close has its whole time or 0.35 s, and the program has ended before the platform may kill it.
func TestStopTimes(t *testing.T) {
	for _, longest := range []float64{1, 20, 50, 100, 250, 299, 350, 399, 400, 700, 1200, 3000, 5000, 10_000, 1e12} {
		s, kill := stopTimesFor(longest), min(longest, 3000)+700
		if s.accept <= 400 || s.close < s.accept || s.answer-s.close < min(longest, 350) || s.leave <= s.answer || s.leave >= kill {
			t.Errorf("longest %v, killed at %v: %+v", longest, kill, s)
		}
	}
	if s := stopTimesFor(3000); s != (stopTimes{600, 3200, 3550, 3625}) {
		t.Errorf("for 3 s: %+v", s)
	}
}
