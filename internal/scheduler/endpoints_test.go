package scheduler

import (
	"testing"
	"time"
)

func TestDrainingAndRemovedServersGetNothing(t *testing.T) {
	for name, l := range map[string]EndpointUpdate{
		"draining":     {Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}},
		"gone":         {Kind: Delta, Servers: []Server{{ID: 1, State: Removed}}},
		"not in whole": {Kind: Snapshot, Servers: []Server{{ID: 2, Shard: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, nil)
			gateway.step(l)
			gateway.step(EndpointUpdate{Kind: WatchFailed}) // a broken list changes nothing
			a := gateway.newArrival("read", "gold", 1, 2, 5)
			got := append(gateway.step(a), gateway.advance(time.Second)...)
			if len(sentIDs(got)) != 0 || len(rejectedIDs(got)) != 1 {
				t.Errorf("sent %v, refused %v", sentIDs(got), rejectedIDs(got))
			}
		})
	}
}

// Nothing is sent by a list that may no longer be used, and queued requests are sent as soon as it is renewed.
func TestNothingIsSentByExpiredEndpoints(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	nodes := []Server{{ID: 1}, {ID: 2, Shard: 1}}
	until := gateway.now + 10*time.Second
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: nodes, ValidUntil: until})
	gateway.now = until - 1
	sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1)))
	if len(sent) != 1 {
		t.Fatalf("sent %v in the last moment of a list that holds", sent)
	}
	gateway.step(AttemptEnded{ID: sent[0], Server: 1, Status: StatusOK, Latency: ms, RequestDone: true})
	gateway.now = until
	if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1))); len(got) != 0 {
		t.Errorf("sent %v by an expired list", got)
	}
	if got := sentIDs(gateway.step(EndpointUpdate{Kind: Heartbeat, ValidUntil: until + time.Second})); len(got) != 1 {
		t.Errorf("sent %v once the list was renewed", got)
	}
	gateway.now = until + time.Second
	last := gateway.newArrival("read", "gold", 1, 2, 1)
	refusals := 0
	for _, a := range append(gateway.step(last), gateway.advance(5*time.Second)...) {
		switch a := a.(type) {
		case Send:
			t.Errorf("sent to %d by a list that has expired again", a.Server)
		case Reject:
			if a.ID == last.ID {
				refusals++
			}
			if a.Reason != ReasonEndpointsExpired {
				t.Errorf("refused for %v", a.Reason)
			}
		}
	}
	if refusals != 1 {
		t.Errorf("%d refusals", refusals)
	}
}
