package scheduler

import (
	"testing"
	"time"
)

// A server gets no requests once an update reports it as draining or removed, or a snapshot does not contain it. A failed watch must
// not change this.
func TestDrainingAndRemovedServersGetNothing(t *testing.T) {
	for name, update := range map[string]EndpointUpdate{
		"draining":        {Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}},
		"removed":         {Kind: Delta, Servers: []Server{{ID: 1, State: Removed}}},
		"not in snapshot": {Kind: Snapshot, Servers: []Server{{ID: 2, Shard: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, nil)
			gateway.step(update)
			gateway.step(EndpointUpdate{Kind: WatchFailed}) // must not change the endpoint list
			actions := append(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)), gateway.advance(time.Second)...)
			if len(sentIDs(actions)) != 0 || len(rejectedIDs(actions)) != 1 {
				t.Errorf("sent %v and rejected %v, want the request rejected and not sent", sentIDs(actions), rejectedIDs(actions))
			}
		})
	}
}

// Once ValidUntil of the last endpoint update has been reached, nothing is sent. Queued requests are sent as soon as an update has a
// later ValidUntil.
func TestExpiredEndpointListBlocksSends(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	validUntil := gateway.now + 10*time.Second
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}, ValidUntil: validUntil})
	gateway.now = validUntil - 1
	sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1)))
	if len(sent) != 1 {
		t.Fatalf("sent %v just before the list expires, want one request", sent)
	}
	gateway.step(attemptServed(sent[0], ms))
	gateway.now = validUntil
	if sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1))); len(sent) != 0 {
		t.Errorf("sent %v while the list has expired, want none", sent)
	}
	if sent := sentIDs(gateway.step(EndpointUpdate{Kind: Heartbeat, ValidUntil: validUntil + time.Second})); len(sent) != 1 {
		t.Errorf("sent %v when the list was renewed, want the queued request", sent)
	}
	gateway.now = validUntil + time.Second
	last := gateway.newArrival("read", "gold", 1, 2, 1)
	actions := append(gateway.step(last), gateway.advance(5*time.Second)...)
	if sends := actionsOf[Send](actions); len(sends) != 0 {
		t.Errorf("sent %v after the list has expired again, want none", sends)
	}
	rejects := 0
	for _, reject := range actionsOf[Reject](actions) {
		if reject.ID == last.ID {
			rejects++
		}
		if reject.Reason != ReasonEndpointsExpired {
			t.Errorf("rejected with reason %v, want that of ReasonEndpointsExpired", reject.Reason)
		}
	}
	if rejects != 1 {
		t.Errorf("the last request was rejected %d times, want once", rejects)
	}
}
