package scheduler

import (
	"testing"
	"time"
)

// A queued request is rejected when the time left until its objective falls below a multiple of the expected latency. The
// multiple is queueTimeoutFactor, 0.6. For a request within the reserve of its volume it is reservedQueueTimeoutFactor: 0.3 to
// 0.6, the higher the larger FairShareWeight is.
func TestQueueTimeoutWithinReserve(t *testing.T) {
	for name, test := range map[string]struct {
		fairShareWeight float64
		within, beyond  time.Duration // time left at the rejection of a request within or beyond the reserve
	}{
		"some weight": {0.3, 36 * ms, 60 * ms},
		"no weight":   {0, 30 * ms, 60 * ms},
		"high weight": {0.9, 60 * ms, 60 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.FairShareWeight = test.fairShareWeight })
			within, beyond := gateway.newArrival("read", "reserved", 1, 2, 1), gateway.newArrival("read", "gold", 2, 2, 2)
			left := timeLeftAtRejection(gateway, within, beyond)
			for id, want := range map[RequestID]time.Duration{within.ID: test.within, beyond.ID: test.beyond} {
				if got := left[id]; got > want || got < want-3*ms {
					t.Errorf("request %d was rejected %v before its objective, want %v or up to 3 ms less", id, got, want)
				}
			}
		})
	}
}

// timeLeftAtRejection lets two requests with an objective of 400 ms arrive for a server that has a latency of 100 ms and gets no
// requests because of a backoff. It returns, for each request, the time left until its objective when it was rejected.
func timeLeftAtRejection(gateway *testGateway, first, second RequestArrived) map[RequestID]time.Duration {
	left := map[RequestID]time.Duration{}
	events := []Event{first, second}
	for startedAt := gateway.now; len(left) < 2 && gateway.now < startedAt+time.Second; gateway.now += ms {
		server := gateway.server(1)
		server.congestion.latency, server.congestion.latencyUpdatedAt = 100*ms, gateway.now
		server.backoffUntil = gateway.now + time.Second
		for _, id := range rejectedIDs(gateway.step(events...)) {
			left[id] = startedAt + 400*ms - gateway.now
		}
		events = nil
	}
	return left
}

// The delay by a slow client link (ClientDelay) does not count as the age of a request (see setDeadlines), so a first attempt that
// the link has delayed is sent to a fast server. A client's retry with the same remaining time has missed its objective and is
// rejected. A delayed request is also rejected if the server is slow.
func TestForwardFirstAttemptDelayedByLink(t *testing.T) {
	for name, test := range map[string]struct {
		clientDelay, latency time.Duration
		sent                 int
	}{
		"delayed by link":           {time.Second, 20 * ms, 1},
		"client's retry":            {0, 20 * ms, 0},
		"hardly delayed by link":    {10 * ms, 20 * ms, 0},
		"slow server":               {2900 * ms, 900 * ms, 0},
		"little time left":          {2950 * ms, 20 * ms, 1},
		"objective missed long ago": {2500 * ms, 20 * ms, 1},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, nil)
			gateway.serveReads(500*ms, 50*ms, test.latency, StatusOK)
			arrival := gateway.newArrival("read", "gold", 1, 2, 9)
			arrival.Remaining -= max(test.clientDelay, time.Second)
			arrival.ClientDelay = test.clientDelay
			actions := gateway.step(arrival)
			if sent, rejected := len(sentIDs(actions)), len(rejectedIDs(actions)); sent != test.sent || sent+rejected != 1 {
				t.Errorf("%d requests sent and %d rejected, want %d sent and the others rejected", sent, rejected, test.sent)
			}
		})
	}
}

// The expected latency is at least the age of the oldest attempt in flight. A request that could not meet its objective at that
// latency is rejected at once.
func TestOldestAttemptRaisesExpectedLatency(t *testing.T) {
	gateway := newTestGateway(t, nil)
	if len(sentIDs(gateway.step(gateway.newArrival("bulk", "gold", 1, 2, 5)))) != 1 {
		t.Fatal("the first request was not sent")
	}
	gateway.server(1).congestion.latency = 200 * ms // the server is unresponsive only after 4 times this latency (unresponsiveFactor)
	gateway.advance(700 * ms)
	if rejected := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(rejected) != 1 {
		t.Errorf("rejected requests %v, want the read with an objective of 400 ms, since the oldest attempt is 700 ms old", rejected)
	}
}
