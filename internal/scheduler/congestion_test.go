package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// testThreshold is the latency threshold in the tests of congestionControl.
const testThreshold = 60 * ms

// newTestControl returns the congestion control of a new server with an excess window of 12 requests.
func newTestControl() congestionControl {
	var control congestionControl
	control.reset(testThreshold, 12)
	return control
}

func TestCongestionWindows(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		control := newTestControl()
		if control.window != initialWindow || control.excessWindow != 12 || control.latency != testThreshold {
			t.Errorf("%+v", control)
		}
	})
	t.Run("window falls above the threshold and grows below it", func(t *testing.T) {
		slow, fast := newTestControl(), newTestControl()
		slow.updateWindows(0.5, 0.1, 1)
		fast.updateWindows(2, 0.1, 1)
		if slow.window >= initialWindow || fast.window <= initialWindow {
			t.Errorf("window is %v above the threshold and %v below it, want one below and one above the initial window",
				slow.window, fast.window)
		}
	})
	t.Run("windows stay within bounds", func(t *testing.T) {
		control := newTestControl()
		for range 50 {
			control.updateWindows(1e-3, 0, 0.5)
		}
		if control.window != 0.5 || control.excessWindow != 0.5 {
			t.Errorf("window is %v and excess window %v, want the minimum of 0.5 for both", control.window, control.excessWindow)
		}
		for range 50 {
			control.updateWindows(10, 1, 0.5)
		}
		if control.window != maxWindow || control.excessWindow != maxWindow {
			t.Errorf("window is %v and excess window %v, want maxWindow for both", control.window, control.excessWindow)
		}
	})
	t.Run("windows below one grow to one while idle", func(t *testing.T) {
		control := newTestControl()
		control.window = 0.25
		control.growIdle(latencyHalfLife / 4) // a quarter of latencyHalfLife: the window doubles once, since idleDoublings is 4
		if math.Abs(control.window-0.5) > 1e-9 || control.excessWindow != 12 {
			t.Errorf("window is %v and excess window %v, want 0.5 and 12", control.window, control.excessWindow)
		}
		control.growIdle(time.Minute)
		if control.window != 1 {
			t.Errorf("window is %v, want 1", control.window)
		}
	})
}

func TestSmoothedLatency(t *testing.T) {
	t.Run("one sample has a weight of at most one half", func(t *testing.T) {
		control := newTestControl()
		control.addSample(testThreshold + 100*ms)
		control.updateLatency(time.Hour)
		if control.latency != testThreshold+50*ms || control.latencySamples != 0 || control.latencyUpdatedAt != time.Hour {
			t.Errorf("%+v", control)
		}
	})
	t.Run("latency has a lower bound", func(t *testing.T) {
		control := newTestControl()
		for range 100 {
			control.addSample(-time.Second)
		}
		control.updateLatency(time.Hour)
		if control.latency != minLatency {
			t.Errorf("latency is %v, want minLatency", control.latency)
		}
	})
	t.Run("idle latency decays to the threshold", func(t *testing.T) {
		control := newTestControl()
		control.latency, control.latencyUpdatedAt = testThreshold+400*ms, time.Hour
		if got := control.idleLatency(time.Hour+latencyHalfLife, testThreshold); got != testThreshold+200*ms {
			t.Errorf("idle latency is %v after a half-life, want the threshold plus half of the excess over it", got)
		}
	})
}

func TestWindowFollowsLatency(t *testing.T) {
	fast, slow := newTestGateway(t, nil), newTestGateway(t, nil)
	fast.serveReads(3*time.Second, 10*ms, 20*ms, StatusOK)
	slow.serveReads(3*time.Second, 10*ms, 300*ms, StatusOK)
	if large, small := fast.server(1).congestion.window, slow.server(1).congestion.window; large < 2*small || small > 2 {
		t.Errorf("window is %.1f at a latency of 20 ms and %.1f at 300 ms, want at most 2 at 300 ms and twice as much at 20 ms",
			large, small)
	}
}

// Errors may arrive sooner than successful responses. As latency samples, they would enlarge the window of a failing server.
func TestFastErrorsDoNotOpenTheWindow(t *testing.T) {
	gateway := newTestGateway(t, nil)
	congestion := &gateway.server(1).congestion
	before := congestion.latency
	gateway.serveReads(2*time.Second, 10*ms, 5*ms, StatusError)
	if congestion.latency != before || congestion.window > initialWindow {
		t.Errorf("latency is %v after fast errors (%v before), window is %.1f, want no change and no growth",
			congestion.latency, before, congestion.window)
	}
}

// setFractionalWindow sets both windows of a server to the given value, which is below one request. It also records that an attempt
// with the given latency has ended now, so that the pause that fractionalWindowOpen requires begins.
func setFractionalWindow(server *serverEntry, window float64, latency, now time.Duration) {
	server.congestion.window, server.congestion.excessWindow = window, window
	server.congestion.latency, server.lastDuration, server.lastEndedAt = latency, latency, now
}

// With a window of 0.25, one request is in flight for a quarter of the time: after each attempt, the gateway waits for three
// times the duration of that attempt (see fractionalWindowOpen). Requests within the reserve of their volume do not wait.
func TestFractionalWindow(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	server := gateway.server(1)
	setFractionalWindow(server, 0.25, 40*ms, gateway.now)
	ordinary, reserved := gateway.newArrival("bulk", "gold", 1, 2, 5), gateway.newArrival("bulk", "reserved", 3, 2, 6)
	if sent := sentIDs(gateway.step(ordinary)); len(sent) != 0 {
		t.Errorf("sent %v right after a response with a window of 0.25, want none", sent)
	}
	gateway.now += 30 * ms
	if sent := sentIDs(gateway.step(reserved)); len(sent) != 1 || sent[0] != reserved.ID {
		t.Errorf("sent %v, want request %d, since it is within the reserve of its volume", sent, reserved.ID)
	}
	gateway.now += 20 * ms
	gateway.step(attemptServed(reserved.ID, 20*ms))
	server.congestion.window, server.congestion.excessWindow = 0.25, 0.25
	if sent := sentIDs(gateway.advance(150 * ms)); len(sent) != 1 || sent[0] != ordinary.ID {
		t.Errorf("sent %v, want request %d after three times the duration of the last attempt", sent, ordinary.ID)
	}
}

// A window below one must grow back while nothing is in flight (see growIdle). Otherwise it would stay as it is, since windows are
// updated only after responses.
func TestFractionalWindowGrowsWhileIdle(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	setFractionalWindow(gateway.server(1), 0.05, time.Second, gateway.now)
	arrival := gateway.newArrival("bulk", "gold", 1, 2, 5)
	arrival.Remaining = 8 * time.Second
	if sent := sentIDs(append(gateway.step(arrival), gateway.advance(1900*ms)...)); len(sent) != 1 {
		t.Errorf("sent %v within 1.9 s, want one request; with an unchanged window of 0.05 the request would wait 19 s", sent)
	}
}

// The smoothed latency must follow a server that has become slow even if the gateway gets only one response every two seconds.
func TestLatencyFollowsServerWithFewResponses(t *testing.T) {
	gateway := newTestGateway(t, nil)
	for range 3 {
		gateway.advance(2 * time.Second)
		arrival := gateway.newArrival("bulk", "gold", 1, 2, 5)
		gateway.step(arrival)
		gateway.advance(600 * ms)
		gateway.step(attemptServed(arrival.ID, 600*ms))
	}
	gateway.advance(100 * ms)
	if latency := gateway.server(1).congestion.latency; latency < 450*ms {
		t.Errorf("latency is %v after three responses of 600 ms, want at least 450 ms", latency)
	}
}

// After an overload the server has an empty queue, so requests must not be rejected for long because of earlier latencies.
func TestLatencyDecaysWhileIdle(t *testing.T) {
	gateway := newTestGateway(t, nil)
	congestion := &gateway.server(1).congestion
	congestion.latency, congestion.latencyUpdatedAt = time.Second, gateway.now
	if rejected := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))); len(rejected) != 1 {
		t.Fatalf("rejected %v right after responses of 1 s, want the request", rejected)
	}
	gateway.advance(2 * time.Second)
	if sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(sent) != 1 {
		t.Errorf("sent %v two seconds later, want the request", sent)
	}
}

// The latencies of responses that a stalled gateway handles when it resumes include the stall, so they must not count as server
// latency.
func TestStallIsNotServerLatency(t *testing.T) {
	gateway := newTestGateway(t, nil)
	congestion := &gateway.server(1).congestion
	before := congestion.latency
	arrival := gateway.newArrival("bulk", "gold", 1, 2, 5)
	gateway.step(arrival)
	gateway.now += 1800 * ms
	gateway.step(attemptServed(arrival.ID, 1800*ms), TimerFired{})
	gateway.advance(200 * ms)
	if congestion.latency > 2*before {
		t.Errorf("latency was %v before a stall and is %v after it, want at most twice as much", before, congestion.latency)
	}
	if sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(sent) != 1 {
		t.Errorf("sent %v after a stall, want the request", sent)
	}
}

// The baseline rate of the volume covers the first two of twelve requests with 6 units each: its bucket holds 16 units. The others
// are limited by the excess window. At the start the excess window is 24 requests (initialExcessWindow) divided by the number of
// gateways. With two gateways it is 12, so that the window of 8 (initialWindow) is the limit. With 100 gateways it is below one, so
// that none of the others is sent at once.
func TestExcessWindow(t *testing.T) {
	for gateways, want := range map[int]struct{ min, max int }{2: {7, 8}, 100: {1, 5}} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.Gateways = gateways })
			var events []Event
			for k := range 12 {
				events = append(events, gateway.newArrival("bulk", "gold", 1, 6, uint64(k)))
			}
			if sent := len(sentIDs(gateway.step(events...))); sent < want.min || sent > want.max {
				t.Errorf("%d of 12 requests were sent at once, want a number between those in %v", sent, want)
			}
		})
	}
}

// Latencies measured by peers are used like those of the gateway's own responses. Thereby a gateway with few responses detects
// that a server has become slow, and later that the server has recovered. For a server without requests the smoothed latency is
// not updated, so the number of samples that accumulate must be bounded (maxPeerSamples).
func TestPeerLatencies(t *testing.T) {
	gateway := newTestGateway(t, nil)
	congestion := &gateway.server(1).congestion
	gateway.servePeerLatencies(3*time.Second, 10*ms)
	if congestion.latency > 20*ms {
		t.Errorf("latency of a server with responses of 10 ms is %v, want at most 20 ms", congestion.latency)
	}
	gateway.servePeerLatencies(3*time.Second, 200*ms)
	if congestion.latency < 100*ms {
		t.Errorf("latency of a server with responses of 200 ms is %v, want at least 100 ms", congestion.latency)
	}
	gateway.servePeerLatencies(4*time.Second, 10*ms)
	if congestion.latency > 50*ms {
		t.Errorf("latency of a server that has recovered is %v, want at most 50 ms", congestion.latency)
	}
	unused := &gateway.server(2).congestion
	for range 1000 {
		gateway.step(PeerLatency{Server: 2, Latency: 30 * ms})
	}
	if unused.latencySamples > maxPeerSamples || unused.latencySum > maxPeerSamples*30*ms {
		t.Errorf("%v samples with a sum of %v are kept for a server without requests, want at most maxPeerSamples of 30 ms",
			unused.latencySamples, unused.latencySum)
	}
}

// servePeerLatencies delivers a peer's latency of server 1 every 100 ms, and a request every second, which keeps the shard active.
func (g *testGateway) servePeerLatencies(period, latency time.Duration) {
	g.t.Helper()
	for end := g.now + period; g.now < end; g.now += 100 * ms {
		arrival := g.newArrival("read", "gold", 7, 1, 1)
		arrival.Shard = 0
		events := []Event{PeerLatency{Server: 1, Latency: latency}, PeerLatency{Server: 99, Latency: latency}}
		if g.now%time.Second == 0 {
			events = append(events, arrival)
		}
		for _, send := range actionsOf[Send](g.step(events...)) {
			g.step(sendServed(send, latency))
		}
	}
}
