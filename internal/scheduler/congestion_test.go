package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// controlThreshold is the latency threshold in the tests of congestionControl.
const controlThreshold = 60 * ms

// newControl returns the congestion control of a new server with a surplus window of 12.
func newControl() congestionControl {
	var control congestionControl
	control.reset(controlThreshold, 12)
	return control
}

func TestCongestionWindows(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		control := newControl()
		if control.window != initialWindow || control.surplusWindow != 12 || control.latency != controlThreshold {
			t.Errorf("%+v", control)
		}
	})
	t.Run("window falls above the threshold and grows below it", func(t *testing.T) {
		slow, fast := newControl(), newControl()
		slow.updateWindows(0.5, 0.1, 1)
		fast.updateWindows(2, 0.1, 1)
		if slow.window >= initialWindow || fast.window <= initialWindow {
			t.Errorf("windows %v and %v", slow.window, fast.window)
		}
	})
	t.Run("windows stay within bounds", func(t *testing.T) {
		control := newControl()
		for range 50 {
			control.updateWindows(1e-3, 0, 0.5)
		}
		if control.window != 0.5 || control.surplusWindow != 0.5 {
			t.Errorf("windows %v and %v, want the smallest", control.window, control.surplusWindow)
		}
		for range 50 {
			control.updateWindows(10, 1, 0.5)
		}
		if control.window != maxWindow || control.surplusWindow != maxWindow {
			t.Errorf("windows %v and %v, want the largest", control.window, control.surplusWindow)
		}
	})
	t.Run("subunit windows grow to one while idle", func(t *testing.T) {
		control := newControl()
		control.window = 0.25
		control.growIdle(latencyHalfLife / 4) // one doubling
		if math.Abs(control.window-0.5) > 1e-9 || control.surplusWindow != 12 {
			t.Errorf("windows %v and %v", control.window, control.surplusWindow)
		}
		control.growIdle(time.Minute)
		if control.window != 1 {
			t.Errorf("window %v", control.window)
		}
	})
}

func TestSmoothedLatency(t *testing.T) {
	t.Run("one sample weighs at most half", func(t *testing.T) {
		control := newControl()
		control.addSample(controlThreshold + 100*ms)
		control.updateLatency(time.Hour)
		if control.latency != controlThreshold+50*ms || control.latencySamples != 0 || control.latencyUpdatedAt != time.Hour {
			t.Errorf("%+v", control)
		}
	})
	t.Run("latency has a lower bound", func(t *testing.T) {
		control := newControl()
		for range 100 {
			control.addSample(-time.Second)
		}
		control.updateLatency(time.Hour)
		if control.latency != minLatency {
			t.Errorf("latency %v", control.latency)
		}
	})
	t.Run("idle latency fades to the threshold", func(t *testing.T) {
		control := newControl()
		control.latency, control.latencyUpdatedAt = controlThreshold+400*ms, time.Hour
		if got := control.idleLatency(time.Hour+latencyHalfLife, controlThreshold); got != controlThreshold+200*ms {
			t.Errorf("%v after a half-life", got)
		}
	})
}

func TestWindowFollowsLatency(t *testing.T) {
	fast, slow := newTestGateway(t, nil), newTestGateway(t, nil)
	fast.serveReads(3*time.Second, 10*ms, 20*ms, StatusOK)
	slow.serveReads(3*time.Second, 10*ms, 300*ms, StatusOK)
	if w, v := fast.server(1).congestion.window, slow.server(1).congestion.window; w < 2*v || v > 2 {
		t.Errorf("window %.1f at 20 ms, %.1f at 300 ms", w, v)
	}
}

func TestFastErrorsDoNotOpenTheWindow(t *testing.T) {
	gateway := newTestGateway(t, nil)
	congestion := &gateway.server(1).congestion
	before := congestion.latency
	gateway.serveReads(2*time.Second, 10*ms, 5*ms, StatusError)
	if congestion.latency != before || congestion.window > initialWindow {
		t.Errorf("latency %v (was %v), window %.1f", congestion.latency, before, congestion.window)
	}
}

// setSubunitWindow makes the windows of a server smaller than one request, as if an attempt had just ended.
func setSubunitWindow(server *serverEntry, window float64, latency, now time.Duration) {
	server.congestion.window, server.congestion.surplusWindow = window, window
	server.congestion.latency, server.lastDuration, server.lastEndedAt = latency, latency, now
}

// With a window below one, a request is in flight for that part of the time; requests within their reserve do not wait.
func TestSubunitWindow(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	server := gateway.server(1)
	setSubunitWindow(server, 0.25, 40*ms, gateway.now)
	ordinary, reserved := gateway.newArrival("bulk", "gold", 1, 2, 5), gateway.newArrival("bulk", "reserved", 3, 2, 6)
	if sent := sentIDs(gateway.step(ordinary)); len(sent) != 0 {
		t.Errorf("sent %v right after a response with a window of a quarter", sent)
	}
	gateway.now += 30 * ms
	if sent := sentIDs(gateway.step(reserved)); len(sent) != 1 || sent[0] != reserved.ID {
		t.Errorf("sent %v, want the reserved %d", sent, reserved.ID)
	}
	gateway.now += 20 * ms
	gateway.step(attemptServed(reserved.ID, 20*ms))
	server.congestion.window, server.congestion.surplusWindow = 0.25, 0.25
	if sent := sentIDs(gateway.advance(150 * ms)); len(sent) != 1 || sent[0] != ordinary.ID {
		t.Errorf("sent %v, want %d after three times the last duration", sent, ordinary.ID)
	}
}

// A window below one grows back while nothing is in flight, since no response would ever move it.
func TestSubunitWindowGrowsWhileIdle(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	setSubunitWindow(gateway.server(1), 0.05, time.Second, gateway.now)
	arrival := gateway.newArrival("bulk", "gold", 1, 2, 5)
	arrival.Remaining = 8 * time.Second
	if sent := sentIDs(append(gateway.step(arrival), gateway.advance(1900*ms)...)); len(sent) != 1 {
		t.Errorf("sent %v within two seconds, want it: a twentieth of a window would wait 19", sent)
	}
}

// A gateway that sees one response in two seconds must follow a server that has become slow.
func TestFewResponsesMoveLatency(t *testing.T) {
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
		t.Errorf("latency is %v after three responses of 600 ms", latency)
	}
}

// After a flood the server is empty, so that requests must not be rejected for long.
func TestLatencyFadesWhileIdle(t *testing.T) {
	gateway := newTestGateway(t, nil)
	congestion := &gateway.server(1).congestion
	congestion.latency, congestion.latencyUpdatedAt = time.Second, gateway.now
	if rejected := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))); len(rejected) != 1 {
		t.Fatalf("rejected %v right after responses of a second, want it", rejected)
	}
	gateway.advance(2 * time.Second)
	if sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(sent) != 1 {
		t.Errorf("sent %v two seconds later, want it", sent)
	}
}

// Responses that a stalled gateway gets when it resumes include its own stall.
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
		t.Errorf("latency went from %v to %v over a stall", before, congestion.latency)
	}
	if sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(sent) != 1 {
		t.Errorf("sent %v after a stall, want it", sent)
	}
}

// What a volume requests beyond its baseline rate is sent one at a time where many gateways share the server, and at once where few
// do.
func TestSurplusWindow(t *testing.T) {
	for gateways, want := range map[int]struct{ min, max int }{2: {7, 8}, 100: {1, 5}} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.Gateways = gateways })
			var events []Event
			for k := range 12 {
				events = append(events, gateway.newArrival("bulk", "gold", 1, 6, uint64(k)))
			}
			if sent := len(sentIDs(gateway.step(events...))); sent < want.min || sent > want.max {
				t.Errorf("%d of 12 sent at once, want %v", sent, want)
			}
		})
	}
}

// Latencies measured by peers count as responses: a gateway with few responses of its own learns that a server has become slow and that
// it has recovered. The samples of a server without requests are bounded.
func TestPeerLatencies(t *testing.T) {
	gateway := newTestGateway(t, nil)
	congestion := &gateway.server(1).congestion
	gateway.servePeerLatencies(3*time.Second, 10*ms)
	if congestion.latency > 20*ms {
		t.Errorf("latency is %v of a fast server", congestion.latency)
	}
	gateway.servePeerLatencies(3*time.Second, 200*ms)
	if congestion.latency < 100*ms {
		t.Errorf("latency is %v of a slow server", congestion.latency)
	}
	gateway.servePeerLatencies(4*time.Second, 10*ms)
	if congestion.latency > 50*ms {
		t.Errorf("latency is %v of a server that is fast again", congestion.latency)
	}
	unused := &gateway.server(2).congestion
	for range 1000 {
		gateway.step(PeerLatency{Server: 2, Latency: 30 * ms})
	}
	if unused.latencySamples > maxPeerSamples || unused.latencySum > maxPeerSamples*30*ms {
		t.Errorf("%v samples with a sum of %v are kept", unused.latencySamples, unused.latencySum)
	}
}

// servePeerLatencies lets a peer's latency of server 1 arrive every 100 ms, and a request every second, which keeps the shard
// active.
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
