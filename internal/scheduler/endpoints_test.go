package scheduler

import (
	"testing"
	"time"
)

func TestDrainingAndRemovedServersGetNothing(t *testing.T) {
	for name, update := range map[string]EndpointUpdate{
		"draining":        {Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}},
		"removed":         {Kind: Delta, Servers: []Server{{ID: 1, State: Removed}}},
		"not in snapshot": {Kind: Snapshot, Servers: []Server{{ID: 2, Shard: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, nil)
			gateway.step(update)
			gateway.step(EndpointUpdate{Kind: WatchFailed}) // changes nothing
			actions := append(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)), gateway.advance(time.Second)...)
			if len(sentIDs(actions)) != 0 || len(rejectedIDs(actions)) != 1 {
				t.Errorf("sent %v, rejected %v", sentIDs(actions), rejectedIDs(actions))
			}
		})
	}
}

// Nothing is sent by a list that may no longer be used, and queued requests are sent as soon as it is renewed.
func TestNothingIsSentByExpiredEndpoints(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	validUntil := gateway.now + 10*time.Second
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}, ValidUntil: validUntil})
	gateway.now = validUntil - 1
	sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1)))
	if len(sent) != 1 {
		t.Fatalf("sent %v in the last moment of a valid list", sent)
	}
	gateway.step(attemptServed(sent[0], ms))
	gateway.now = validUntil
	if sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1))); len(sent) != 0 {
		t.Errorf("sent %v by an expired list", sent)
	}
	if sent := sentIDs(gateway.step(EndpointUpdate{Kind: Heartbeat, ValidUntil: validUntil + time.Second})); len(sent) != 1 {
		t.Errorf("sent %v once the list was renewed", sent)
	}
	gateway.now = validUntil + time.Second
	last := gateway.newArrival("read", "gold", 1, 2, 1)
	actions := append(gateway.step(last), gateway.advance(5*time.Second)...)
	if sends := actionsOf[Send](actions); len(sends) != 0 {
		t.Errorf("sent %v by a list that has expired again", sends)
	}
	rejects := 0
	for _, reject := range actionsOf[Reject](actions) {
		if reject.ID == last.ID {
			rejects++
		}
		if reject.Reason != ReasonEndpointsExpired {
			t.Errorf("rejected with reason %v", reject.Reason)
		}
	}
	if rejects != 1 {
		t.Errorf("%d rejects", rejects)
	}
}
