package scheduler

import (
	"math"
	"testing"
	"time"
)

func TestSlowStartBudget(t *testing.T) {
	const now = time.Hour
	checkLevel := func(t *testing.T, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("level is %v, want %v", got, want)
		}
	}
	t.Run("bucket fills up to its capacity", func(t *testing.T) {
		budget := slowStartBudget{phase: 0.5, updatedAt: now}
		checkLevel(t, budget.replenish(now+time.Second, 2, 5), 2)
		budget.consume(3)
		checkLevel(t, budget.replenish(now+time.Second, 2, 5), -1)
		checkLevel(t, budget.replenish(now+time.Minute, 2, 5), 5)
	})
	t.Run("phase sets the time of the first token", func(t *testing.T) {
		budget := slowStartBudget{phase: 0.75, updatedAt: now}
		checkLevel(t, budget.replenishTokens(now, 1, 2, 0.5), 0.5-1.5)
		checkLevel(t, budget.replenishTokens(now+time.Second, 1, 2, 0.5), 0)
	})
	t.Run("unused tokens expire", func(t *testing.T) {
		budget := slowStartBudget{updatedAt: now}
		checkLevel(t, budget.replenishTokens(now+500*ms, 1, 2, 0.5), 0.5)
		checkLevel(t, budget.replenishTokens(now+600*ms, 1, 2, 0.5), 0.6-2)
	})
	t.Run("tokens with a long lifetime accumulate", func(t *testing.T) {
		budget := slowStartBudget{updatedAt: now}
		checkLevel(t, budget.replenishTokens(now+time.Minute, 1, 2, 6), 6)
	})
}

func TestSlowStartTokenLifetime(t *testing.T) {
	last := math.Inf(1)
	for _, demand := range []float64{0, 0.1, 1, 10, 100} {
		lifetime := slowStartTokenLifetime(demand, 0.1)
		if lifetime > last || lifetime < minTokenLifetime {
			t.Errorf("token lifetime is %v at a demand of %v and %v at a lower demand, want at most the latter and at least minTokenLifetime",
				lifetime, demand, last)
		}
		last = lifetime
	}
}

// While a new server replaces the running one, both hold the shard. The running server must get the requests that it has capacity
// for, not the starting one.
func TestReplacementKeepsRunningServerInUse(t *testing.T) {
	gateway := newTestGateway(t, nil)
	// Server 3 starts more than OverloadWindow after the gateway's own start. Within that time, slow start would keep the request
	// from server 3 anyway (see newSlowStartBudget).
	gateway.advance(2 * time.Second)
	gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 3, Shard: 0, StartedAt: gateway.now}}})
	for _, send := range actionsOf[Send](gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))) {
		if send.Server != 1 {
			t.Errorf("request was sent to the starting server %d, want server 1", send.Server)
		}
	}
}

func TestSlowStartOfOneGateway(t *testing.T) {
	t.Run("nothing is sent right after the gateway's own start", func(t *testing.T) {
		gateway := newTestGateway(t, nil)
		gateway.restartServer()
		if sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))); len(sent) != 0 {
			t.Errorf("sent %v right after the start, want none", sent)
		}
	})
	t.Run("a gateway with a low baseline sends its equal share, one request at a time", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 0.1 })
		gateway.advance(2 * time.Second)
		gateway.restartServer()
		sends, units := 0, 0.0
		for k := range 400 { // for 4 s, more requests arrive than may be sent; the rest stays queued up to the objective of 2 s
			gateway.now += 10 * ms
			for _, id := range sentIDs(gateway.step(gateway.newArrival("bulk", "gold", 1, 2, uint64(k)))) {
				sends, units = sends+1, units+2
				gateway.step(attemptServed(id, 5*ms))
			}
		}
		// The equal share is half of 12 units per second at the start and 1.7 times that after 4 s (see slowStartAllowance). A burst is
		// allowed in addition.
		if units < 18 || units > 42 {
			t.Errorf("%d requests with %.0f units were sent within 4 s, want 18 to 42 units: about 6 to 10 per second and a burst",
				sends, units)
		}
	})
	t.Run("neither earlier sends nor fast responses widen the bound", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 100 })
		gateway.serveReads(20*time.Second, 20*ms, 30*ms, StatusOK)
		gateway.restartServer()
		if sends := gateway.serveReads(time.Second, 10*ms, 30*ms, StatusOK); sends < 2 || sends > 4 { // the equal share is 3 requests
			t.Errorf("%d requests were sent in the first second, want 2 to 4: the equal share of 6 units and a burst", sends)
		}
	})
	t.Run("one of many gateways sends its equal share, however fast the responses are", func(t *testing.T) {
		fast, slow := sendToStartingServer(t, 5*ms), sendToStartingServer(t, 100*ms)
		if fast < 1 || fast > 3 || slow < 1 || slow > fast {
			t.Errorf("%d and %d of 24 requests were sent with responses of 5 ms and 100 ms, want 1 to 3, and not more with 100 ms",
				fast, slow)
		}
	})
	t.Run("a surge does not raise the bound", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 2 })
		gateway.restartServer()
		sends := gateway.serveReads(4*time.Second, 10*ms, 500*ms, StatusOK) // a request of 2 units arrives every 10 ms
		if units := 2 * sends; units > 30 {
			t.Errorf("%d units were sent within 4 s, want at most 30", units)
		}
	})
}

// sendToStartingServer simulates one of 80 gateways for 12 s with a request of 2 units every 500 ms for a server that has just
// started. The equal share of the gateway grows from 0.15 to 0.52 units per second. It returns the number of sends.
func sendToStartingServer(t *testing.T, latency time.Duration) (sends int) {
	t.Helper()
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 80 })
	gateway.restartServer()
	var pending []pendingEnd
	for k := range 1200 {
		gateway.now += 10 * ms
		events := []Event{TimerFired{}}
		for len(pending) > 0 && pending[0].at <= gateway.now {
			events, pending = append(events, pending[0].end), pending[1:]
		}
		if k%50 == 0 {
			events = append(events, gateway.newArrival("bulk", "gold", 1, 2, uint64(k)))
		}
		for _, id := range sentIDs(gateway.step(events...)) {
			sends++
			pending = append(pending, pendingEnd{gateway.now + latency, attemptServed(id, latency)})
		}
	}
	return sends
}
