package scheduler

import (
	"testing"
	"time"
)

// A request that is queued for a busy server is rejected when too little time is left until its objective. A request within its
// reserve may be rejected later, depending on the priority of requests beyond the reserve.
func TestQueueTimeoutWithinReserve(t *testing.T) {
	for name, test := range map[string]struct {
		fairShareWeight float64
		within, beyond  time.Duration // time left until the objective at the rejection, at a latency of 100 ms
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
					t.Errorf("request %d was rejected %v before its objective, want %v", id, got, want)
				}
			}
		})
	}
}

// timeLeftAtRejection queues two requests with an objective of 400 ms for a server with a latency of 100 ms until they are rejected.
// It returns the time left until the objective of each at its rejection.
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

// A request that a slow client link has delayed is sent at once if a fast server has capacity, although its objective is missed. A
// client's retry of the same age is rejected, and so is a delayed request if the server is slow.
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
				t.Errorf("%d requests sent and %d rejected, want %d sent", sent, rejected, test.sent)
			}
		})
	}
}

// The age of the oldest outstanding attempt counts as expected latency. A request that could not meet its objective at that latency
// is rejected at once.
func TestOldestAttemptRaisesExpectedLatency(t *testing.T) {
	gateway := newTestGateway(t, nil)
	if len(sentIDs(gateway.step(gateway.newArrival("bulk", "gold", 1, 2, 5)))) != 1 {
		t.Fatal("the first request was not sent")
	}
	gateway.server(1).congestion.latency = 200 * ms // high enough that the server is not unresponsive yet
	gateway.advance(700 * ms)
	if rejected := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(rejected) != 1 {
		t.Errorf("rejected requests %v, want the read with an objective of 400 ms, since the oldest attempt is 700 ms old", rejected)
	}
}
