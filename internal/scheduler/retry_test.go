package scheduler

import (
	"slices"
	"testing"
	"time"
)

// dedupGateway returns a gateway whose class bulk has the given idempotency and deduplication scope, and a deduplication window of
// 5 s.
func dedupGateway(t *testing.T, idempotency Idempotency, scope DedupScope) *testGateway {
	t.Helper()
	return newTestGateway(t, func(s *Settings) {
		bulk := &s.Classes[1]
		bulk.Idempotency, bulk.DedupScope, bulk.DedupWindow = idempotency, scope, 5*time.Second
	})
}

// Server 1 is in zone za and may have executed a request. Only the servers of zone za drop duplicates of this request. When another
// server replaces server 1, a retry must not go to the new server if the new server is in another zone.
func TestRetryStaysInDedupZone(t *testing.T) {
	for zone, want := range map[string]int{"za": 1, "zb": 0} {
		t.Run("successor in "+zone, func(t *testing.T) {
			gateway := dedupGateway(t, IdempotentWithKey, DedupZone)
			gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, Zone: "za"}}})
			arrival := gateway.newArrival("bulk", "gold", 1, 2, 5)
			gateway.step(arrival)
			gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, State: Removed, Zone: "za"}, {ID: 3, Zone: zone}}})
			actions := gateway.step(AttemptEnded{ID: arrival.ID, Server: 1, Status: StatusError})
			actions = append(actions, gateway.advance(3*time.Second)...)
			if retries := len(sentIDs(actions)); retries != want {
				t.Errorf("%d retries sent, want %d", retries, want)
			}
		})
	}
}

// A retry of an IdempotentWithKey request that may have been executed has a start deadline, since servers drop duplicates only
// during the DedupWindow, counted from the first attempt that may have been executed. Other retries have none.
func TestRetryStartDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		idempotency Idempotency
		status      Status
		deadline    time.Duration // start deadline of the retry, counted from the first attempt; 0: none
	}{
		"may have been executed": {IdempotentWithKey, StatusError, 5 * time.Second},
		"not executed":           {IdempotentWithKey, StatusConnectFailed, 0},
		"idempotent":             {Idempotent, StatusError, 0},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := dedupGateway(t, test.idempotency, DedupShard)
			arrival := gateway.newArrival("bulk", "gold", 1, 2, 5)
			firstAt, actions := gateway.now, gateway.step(arrival)
			gateway.now += 100 * ms
			actions = append(actions, gateway.step(AttemptEnded{ID: arrival.ID, Server: 1, Status: test.status})...)
			actions = append(actions, gateway.advance(2*time.Second)...)
			var deadlines []time.Duration
			for _, send := range actionsOf[Send](actions) {
				deadlines = append(deadlines, send.StartDeadline)
			}
			want := []time.Duration{0, 0}
			if test.deadline != 0 {
				want[1] = firstAt + test.deadline
			}
			if !slices.Equal(deadlines, want) {
				t.Errorf("start deadlines %v, want %v", deadlines, want)
			}
		})
	}
}

// RetryAfter of a rejected request is short enough for the client to meet its objective. If the request exceeds its volume's
// limit, RetryAfter may last until the limit allows the request.
func TestRetryAfter(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.MaxRetryAfter = 500 * ms })
	limited, late := gateway.newArrival("read", "capped", 1, 6, 1), gateway.newArrival("read", "gold", 2, 6, 2)
	volume := gateway.scheduler.volumeFor(&limited, gateway.scheduler.plans["capped"])
	volume.limit.tokens = -2 // 8 units are missing for a request of 6; at 20 units per second that takes 400 ms
	late.Remaining = ms      // too little time for the server to respond
	retryAfter := map[RequestID]time.Duration{}
	for _, reject := range actionsOf[Reject](append(gateway.step(limited, late), gateway.advance(time.Second)...)) {
		retryAfter[reject.ID] = reject.RetryAfter
	}
	if len(retryAfter) != 2 {
		t.Fatalf("rejected requests with their RetryAfter: %v, want 2", retryAfter)
	}
	if got := retryAfter[late.ID]; got <= 0 || got > 2*gateway.scheduler.latencyThreshold {
		t.Errorf("request with 1 ms left: RetryAfter is %v, want a positive value up to twice the latency threshold", got)
	}
	if got := retryAfter[limited.ID]; got <= 0 || got > 400*ms {
		t.Errorf("request beyond the limit: RetryAfter is %v, want a positive value up to 400ms", got)
	}
}
