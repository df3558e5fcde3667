package scheduler

import (
	"testing"
	"time"
)

func TestWindowFollowsLatency(t *testing.T) {
	quick, slow := newTestGateway(t, nil), newTestGateway(t, nil)
	quick.serveReads(3*time.Second, 10*ms, 20*ms, StatusOK)
	slow.serveReads(3*time.Second, 10*ms, 300*ms, StatusOK)
	if w, v := quick.scheduler.servers[1].congestion.window, slow.scheduler.servers[1].congestion.window; w < 2*v || v > 2 {
		t.Errorf("window %.1f at 20 ms, %.1f at 300 ms", w, v)
	}
}

func TestFastErrorsDoNotOpenTheWindow(t *testing.T) {
	gateway := newTestGateway(t, nil)
	before := gateway.scheduler.servers[1].congestion.latency
	gateway.serveReads(2*time.Second, 10*ms, 5*ms, StatusError)
	if gateway.scheduler.servers[1].congestion.latency != before || gateway.scheduler.servers[1].congestion.window > initialWindow {
		t.Errorf("L %v (was %v), window %.1f", gateway.scheduler.servers[1].congestion.latency, before, gateway.scheduler.servers[1].congestion.window)
	}
}

// With a window below one, a request is in flight for that part of the time; requests within their reserve do not wait.
func TestSubunitWindow(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	server := gateway.scheduler.servers[1]
	server.congestion.window, server.congestion.surplusWindow, server.congestion.latency, server.lastDuration, server.lastEndedAt = 0.25, 0.25, 40*ms, 40*ms, gateway.now
	a, kept := gateway.newArrival("bulk", "gold", 1, 2, 5), gateway.newArrival("bulk", "kept", 3, 2, 6)
	if got := sentIDs(gateway.step(a)); len(got) != 0 {
		t.Errorf("sent %v right after an answer with a window of a quarter", got)
	}
	gateway.now += 30 * ms
	if got := sentIDs(gateway.step(kept)); len(got) != 1 || got[0] != kept.ID {
		t.Errorf("sent %v, want the reserved %d", got, kept.ID)
	}
	gateway.now += 20 * ms
	gateway.step(AttemptEnded{ID: kept.ID, Server: 1, Status: StatusOK, Latency: 20 * ms, RequestDone: true})
	server.congestion.window, server.congestion.surplusWindow = 0.25, 0.25
	if got := sentIDs(gateway.advance(150 * ms)); len(got) != 1 || got[0] != a.ID {
		t.Errorf("sent %v, want %d after three times what the last one took", got, a.ID)
	}
}

// A window below one grows back while nothing is in flight, since no answer would ever move it.
func TestSubunitWindowGrowsWhileIdle(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	server := gateway.scheduler.servers[1]
	server.congestion.window, server.congestion.surplusWindow, server.congestion.latency, server.lastDuration, server.lastEndedAt = 0.05, 0.05, time.Second, time.Second, gateway.now
	a := gateway.newArrival("bulk", "gold", 1, 2, 5)
	a.TTL = 8 * time.Second
	if got := sentIDs(append(gateway.step(a), gateway.advance(1900*ms)...)); len(got) != 1 {
		t.Errorf("sent %v within two seconds, want it: a twentieth of a window would wait 19", got)
	}
}

// A gateway that sees one answer in two seconds must follow a server that has become slow.
func TestFewAnswersMoveLatency(t *testing.T) {
	gateway := newTestGateway(t, nil)
	for range 3 {
		gateway.advance(2 * time.Second)
		a := gateway.newArrival("bulk", "gold", 1, 2, 5)
		gateway.step(a)
		gateway.advance(600 * ms)
		gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 600 * ms, RequestDone: true})
	}
	gateway.advance(100 * ms)
	if l := gateway.scheduler.servers[1].congestion.latency; l < 450*ms {
		t.Errorf("L is %v after three answers of 600 ms", l)
	}
}

// After a flood the server is empty, so that requests must not be rejected for long.
func TestLatencyFadesWhileIdle(t *testing.T) {
	gateway := newTestGateway(t, nil)
	server := gateway.scheduler.servers[1]
	server.congestion.latency, server.congestion.latencyUpdatedAt = time.Second, gateway.now
	if got := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))); len(got) != 1 {
		t.Fatalf("refused %v right after answers of a second, want it", got)
	}
	gateway.advance(2 * time.Second)
	if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(got) != 1 {
		t.Errorf("sent %v two seconds later, want it", got)
	}
}

// Answers that a stalled gateway gets when it resumes include its own stall.
func TestStallIsNotServerLatency(t *testing.T) {
	gateway := newTestGateway(t, nil)
	before := gateway.scheduler.servers[1].congestion.latency
	a := gateway.newArrival("bulk", "gold", 1, 2, 5)
	gateway.step(a)
	gateway.now += 1800 * ms
	gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 1800 * ms, RequestDone: true}, TimerFired{})
	gateway.advance(200 * ms)
	if l := gateway.scheduler.servers[1].congestion.latency; l > 2*before {
		t.Errorf("L went from %v to %v over a sleep", before, l)
	}
	if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(got) != 1 {
		t.Errorf("sent %v after a sleep, want it", got)
	}
}

// What a volume requests beyond its baseline rate is sent one at a time where many gateways share the server, and at once where few do.
func TestSurplusWindow(t *testing.T) {
	for siblings, want := range map[int][2]int{2: {7, 8}, 100: {1, 5}} {
		gateway := newTestGateway(t, func(s *Settings) { s.Gateways = siblings })
		var events []Event
		for k := range 12 {
			events = append(events, gateway.newArrival("bulk", "gold", 1, 6, uint64(k)))
		}
		if got := len(sentIDs(gateway.step(events...))); got < want[0] || got > want[1] {
			t.Errorf("%d gateways: %d of 12 sent at once, want %v", siblings, got, want)
		}
	}
}

// Latencies measured by peers count as answers: a gateway with few answers of its own learns that a server has become slow and that it has
// recovered. The samples of a server without requests are bounded.
func TestPeerLatencies(t *testing.T) {
	gateway := newTestGateway(t, nil)
	server := gateway.scheduler.servers[1]
	hear := func(d, latency time.Duration) {
		for end := gateway.now + d; gateway.now < end; gateway.now += 100 * ms {
			a := gateway.newArrival("read", "gold", 7, 1, 1) // one request a second keeps the shard busy
			a.Shard = 0
			events := []Event{PeerLatency{Server: 1, Latency: latency}, PeerLatency{Server: 99, Latency: latency}}
			if gateway.now%time.Second == 0 {
				events = append(events, a)
			}
			for _, act := range gateway.step(events...) {
				if s, ok := act.(Send); ok {
					gateway.step(AttemptEnded{ID: s.ID, Server: s.Server, Status: StatusOK, Latency: latency, RequestDone: true})
				}
			}
		}
	}
	hear(3*time.Second, 10*ms)
	if server.congestion.latency > 20*ms {
		t.Errorf("L is %v of a quick node", server.congestion.latency)
	}
	hear(3*time.Second, 200*ms)
	if server.congestion.latency < 100*ms {
		t.Errorf("L is %v of a slow node", server.congestion.latency)
	}
	hear(4*time.Second, 10*ms)
	if server.congestion.latency > 50*ms {
		t.Errorf("L is %v of one that is quick again", server.congestion.latency)
	}
	other := gateway.scheduler.servers[2]
	for range 1000 {
		gateway.step(PeerLatency{Server: 2, Latency: 30 * ms})
	}
	if other.congestion.latencySamples > maxPeerSamples || other.congestion.latencySum > maxPeerSamples*30*ms {
		t.Errorf("%v answers of %v are kept", other.congestion.latencySamples, other.congestion.latencySum)
	}
}
