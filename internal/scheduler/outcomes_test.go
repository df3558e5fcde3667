package scheduler

import (
	"slices"
	"testing"
)

// The outstanding attempts of a request whose client has gone away are canceled once, where that is allowed.
func TestCancelAttemptsOfCanceledRequest(t *testing.T) {
	for _, may := range []bool{true, false} {
		gateway := newTestGateway(t, func(s *Settings) { s.AllowCancel = may })
		a, b := gateway.newArrival("read", "gold", 1, 2, 1), gateway.newArrival("once", "gold", 1, 2, 2)
		gateway.step(a, b)
		gateway.step(AttemptEnded{ID: b.ID, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		var off []CancelAttempt
		for _, act := range append(gateway.step(RequestCanceled{ID: a.ID}, RequestCanceled{ID: b.ID}, RequestCanceled{ID: a.ID}), gateway.advance(50*ms)...) {
			if c, ok := act.(CancelAttempt); ok {
				off = append(off, c)
			}
		}
		if want := []CancelAttempt{{ID: a.ID}}; may && !slices.Equal(off, want) || !may && len(off) > 0 {
			t.Errorf("allowed %v: called off %v", may, off)
		}
		gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusCanceled, Latency: 9 * ms, RequestDone: true})
		if len(gateway.scheduler.requests) != 0 || gateway.scheduler.servers[1].inFlight != 0 {
			t.Errorf("allowed %v: %d requests kept, %d out", may, len(gateway.scheduler.requests), gateway.scheduler.servers[1].inFlight)
		}
	}
}

// A request ends at the client's deadline whatever becomes of its attempt.
func TestRequestExpiresWithoutOutcome(t *testing.T) {
	gateway := newTestGateway(t, nil)
	a, b := gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("read", "gold", 1, 2, 6)
	if len(sentIDs(gateway.step(a, b))) != 2 {
		t.Fatal("not sent")
	}
	got := gateway.advance(2900 * ms)
	if len(failedIDs(got))+len(rejectedIDs(got)) != 0 {
		t.Errorf("answered early: %v", got)
	}
	got = gateway.advance(105 * ms)
	if f, r := failedIDs(got), rejectedIDs(got); len(f) != 1 || f[0] != a.ID || len(r) != 1 || r[0] != b.ID {
		t.Errorf("failed %v, refused %v; want %d failed, as it may have run, and %d refused", f, r, a.ID, b.ID)
	}
}
