package httpclient

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
)

// delayRecorder is a clock that reports the durations of timers of less than 100 ms. Only the timer for the reuse delay is that short.
type delayRecorder struct {
	*clock.Manual
	delays chan float64
}

func (r delayRecorder) AfterFunc(ms float64, f func()) func() {
	stop := r.Manual.AfterFunc(ms, f)
	if ms < 100 {
		r.delays <- ms
	}
	return stop
}

// TestReuseDelayIsLongerAfterUnsolicitedData guards against a second copy of a response that comes later than the reuse delay. A server
// that has sent unsolicited data gets a longer delay, on all its connections and for a time.
func TestReuseDelayIsLongerAfterUnsolicitedData(t *testing.T) {
	const delayMs = 5
	copies := make(chan bool, 1) // whether the server sends a second copy right behind its next response
	addr := testbed.Serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			response := reusableFramings["length"]("its")
			if <-copies {
				response += response
			}
			testbed.TryWrite(c, response)
		}
	})
	c := newTestClient()
	recorder := delayRecorder{c.now, make(chan float64, 1)}
	c.clock, c.options.ReuseDelayMs = recorder, delayMs
	defer c.Close()
	request := func(copied bool, wantDelayMs float64) {
		t.Helper()
		copies <- copied
		c.Start(c.attemptAt(addr, getRequest()))
		if wantDelayMs > 0 {
			if got := <-recorder.delays; got != wantDelayMs {
				t.Fatalf("the request waits for %v ms, want %v", got, wantDelayMs)
			}
			c.now.Advance(wantDelayMs)
		}
		if result := <-c.results.attempts; result.Status != scheduler.StatusOK {
			t.Fatalf("got %+v, want StatusOK", result)
		}
	}
	request(false, 0)
	request(false, delayMs)
	request(true, delayMs)
	request(false, 0) // on another connection
	request(false, unsolicitedDelayFactor*delayMs)
	c.now.Advance(unsolicitedMemoryMs)
	request(false, 0) // the delay is over
	request(false, delayMs)
}

// TestUnsolicitedSendersAreBounded checks that no more than maxUnsolicitedSenders servers are remembered, and each for a limited time.
func TestUnsolicitedSendersAreBounded(t *testing.T) {
	var senders unsolicitedSenders
	for i := range 2 * maxUnsolicitedSenders {
		senders.record(fmt.Sprint("server", i), 0)
	}
	latest := fmt.Sprint("server", 2*maxUnsolicitedSenders-1)
	if n := len(senders.until); n > maxUnsolicitedSenders || senders.delayFactor(latest, unsolicitedMemoryMs-1) == 1 {
		t.Errorf("%d servers are remembered, want at most maxUnsolicitedSenders, and the latest among them", n)
	}
	if factor := senders.delayFactor(latest, unsolicitedMemoryMs); factor != 1 {
		t.Errorf("factor %v after the memory has ended, want 1", factor)
	}
}
