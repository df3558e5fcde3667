package scheduler

import (
	"testing"
	"time"
)

// A request that is queued for a busy server is rejected when the time left until its objective is no longer worth an attempt. Within its
// reserve that is later, by what requests beyond the reserve are worth.
func TestQueueTimeoutWithinReserve(t *testing.T) {
	for _, c := range []struct {
		fairWorth      float64
		inside, beyond time.Duration // of an L of 100 ms
	}{{0.3, 36 * ms, 60 * ms}, {0, 30 * ms, 60 * ms}, {0.9, 60 * ms, 60 * ms}} {
		gateway := newTestGateway(t, func(s *Settings) { s.FairShareWeight = c.fairWorth })
		inside, beyond := gateway.newArrival("read", "kept", 1, 2, 1), gateway.newArrival("read", "gold", 2, 2, 2)
		given := map[RequestID]time.Duration{}
		for began := gateway.now; len(given) < 2 && gateway.now < began+time.Second; gateway.now += ms {
			server := gateway.scheduler.servers[1]
			server.congestion.latency, server.congestion.latencyUpdatedAt, server.backoffUntil = 100*ms, gateway.now, gateway.now+time.Second
			var events []Event
			if gateway.now == began {
				events = []Event{inside, beyond}
			}
			for _, id := range rejectedIDs(gateway.step(events...)) {
				given[id] = began + 400*ms - gateway.now
			}
		}
		for id, want := range map[RequestID]time.Duration{inside.ID: c.inside, beyond.ID: c.beyond} {
			if got := given[id]; got > want || got < want-3*ms {
				t.Errorf("worth %v: request %d given up %v before its aim, want %v", c.fairWorth, id, got, want)
			}
		}
	}
}

// A request that a slow client link has delayed is sent at once if a fast server has capacity, although its objective is missed. A client's
// retry of the same age, or a slow server, still leads to a rejection.
func TestForwardFirstAttemptDelayedByLink(t *testing.T) {
	for name, c := range map[string]struct {
		came, latency time.Duration
		want          int
	}{
		"the link":               {time.Second, 20 * ms, 1},
		"an earlier try":         {0, 20 * ms, 0},
		"a little of it":         {10 * ms, 20 * ms, 0},
		"the link, a slow node":  {2900 * ms, 900 * ms, 0},
		"the link, time for one": {2950 * ms, 20 * ms, 1},
		"the link, its aim over": {2500 * ms, 20 * ms, 1},
	} {
		gateway := newTestGateway(t, nil)
		gateway.serveReads(500*ms, 50*ms, c.latency, StatusOK)
		r := gateway.newArrival("read", "gold", 1, 2, 9)
		r.TTL, r.ClientDelay = r.TTL-max(c.came, time.Second), c.came
		got := gateway.step(r)
		if sent, refused := len(sentIDs(got)), len(rejectedIDs(got)); sent != c.want || sent+refused != 1 {
			t.Errorf("%s: %d sent, %d refused, want %d sent", name, sent, refused, c.want)
		}
	}
}

// A request that cannot meet its objective behind a long outstanding attempt is rejected at once.
func TestOldestAttemptRaisesExpectedLatency(t *testing.T) {
	gateway := newTestGateway(t, nil)
	if len(sentIDs(gateway.step(gateway.newArrival("bulk", "gold", 1, 2, 5)))) != 1 {
		t.Fatal("not sent")
	}
	gateway.scheduler.servers[1].congestion.latency = 200 * ms // so that the node is not silent yet
	gateway.advance(700 * ms)
	if got := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(got) != 1 {
		t.Errorf("refused %v, want the read with an aim of 400 ms while 700 ms are owed", got)
	}
}
