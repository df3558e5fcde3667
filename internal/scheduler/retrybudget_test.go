package scheduler

import (
	"testing"
	"time"
)

func TestRetriesStayWithinBudget(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = 3, 0.1, 5*time.Second })
	further := 0
	for k := range 40 {
		a := gateway.newArrival("bulk", "gold", 1, 2, uint64(k))
		gateway.step(a)
		gateway.now += 5 * ms
		gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusError, Latency: 5 * ms})
		for _, id := range sentIDs(gateway.advance(50 * ms)) {
			if id == a.ID {
				further++
				gateway.step(AttemptEnded{ID: a.ID, Attempt: 1, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
			}
		}
	}
	if further < 3 || further > 7 {
		t.Errorf("%d further attempts for 40 requests, want 3 to 7", further)
	}
}
