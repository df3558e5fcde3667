package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestRetryStaysInDedupZone(t *testing.T) {
	for zone, want := range map[string]int{"za": 1, "zb": 0} {
		gateway := newTestGateway(t, func(s *Settings) {
			s.Classes[1].Idempotency, s.Classes[1].DedupScope, s.Classes[1].DedupWindow = IdempotentWithKey, DedupZone, 5*time.Second
		})
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, Zone: "za"}}})
		a := gateway.newArrival("bulk", "gold", 1, 2, 5)
		gateway.step(a)
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, State: Removed, Zone: "za"}, {ID: 3, Zone: zone}}})
		got := append(gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusError}), gateway.advance(3*time.Second)...)
		if n := len(sentIDs(got)); n != want {
			t.Errorf("successor in %s: %d repeats, want %d", zone, n, want)
		}
	}
}

// A retry of what may have been executed carries the time by which it has to begin, since servers drop duplicates for a while from the
// first attempt on. Other retries have no such time.
func TestRetryStartDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		effect Idempotency
		status Status
		want   bool
	}{
		"may have run": {IdempotentWithKey, StatusError, true},
		"has not run":  {IdempotentWithKey, StatusConnectFailed, false},
		"at will":      {Idempotent, StatusError, false},
	} {
		gateway := newTestGateway(t, func(s *Settings) {
			s.Classes[1].Idempotency, s.Classes[1].DedupScope, s.Classes[1].DedupWindow = c.effect, DedupCell, 5*time.Second
		})
		a := gateway.newArrival("bulk", "gold", 1, 2, 5)
		first, got := gateway.now, gateway.step(a)
		gateway.now += 100 * ms
		got = append(got, gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: c.status})...)
		got = append(got, gateway.advance(2*time.Second)...)
		var before []time.Duration
		for _, a := range got {
			if s, ok := a.(Send); ok {
				before = append(before, s.StartDeadline)
			}
		}
		want := []time.Duration{0, 0}
		if c.want {
			want[1] = first + 5*time.Second
		}
		if !slices.Equal(before, want) {
			t.Errorf("%s: to begin before %v, want %v", name, before, want)
		}
	}
}

// A rejected client is advised to retry soon, while its objective can still be met, and once its limit has room.
func TestRetryAfter(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.MaxRetryAfter = 500 * ms })
	come := map[RequestID]time.Duration{}
	a, b := gateway.newArrival("read", "capped", 1, 6, 1), gateway.newArrival("read", "gold", 2, 6, 2)
	gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"]).limit.tokens = -2 // 8 units short at 20 a second
	b.TTL = ms                                                                           // too late for its node
	for _, act := range append(gateway.step(a, b), gateway.advance(time.Second)...) {
		if r, ok := act.(Reject); ok {
			come[r.ID] = r.RetryAfter
		}
	}
	if len(come) != 2 {
		t.Fatalf("refused: %v", come)
	}
	if c := come[b.ID]; c <= 0 || c > 2*gateway.scheduler.latencyThreshold {
		t.Errorf("late at its node: come back in %v", c)
	}
	if c := come[a.ID]; c <= 0 || c > 400*ms {
		t.Errorf("limit: come back in %v", c)
	}
}
