package scheduler

import (
	"testing"
	"time"
)

func TestRetryBudget(t *testing.T) {
	const now = time.Hour
	t.Run("zero value allows all", func(t *testing.T) {
		var budget retryBudget
		for range 100 {
			budget.recordArrival(now)
			budget.recordRetry(now)
		}
		if !budget.allowsRetry(now) || len(budget.arrivals)+len(budget.retries) != 0 {
			t.Errorf("%+v", budget)
		}
	})
	t.Run("constant and ratio", func(t *testing.T) {
		budget := retryBudget{window: 5 * time.Second, minimum: 2, ratio: 0.1}
		for range 10 {
			budget.recordArrival(now)
		}
		for range 3 {
			if !budget.allowsRetry(now) {
				t.Fatalf("retry denied after %d retries, want 3 allowed", len(budget.retries))
			}
			budget.recordRetry(now)
		}
		if budget.allowsRetry(now) {
			t.Error("a fourth retry is allowed for 10 requests, want a constant of 2 plus a tenth of the requests")
		}
	})
	t.Run("window slides", func(t *testing.T) {
		budget := retryBudget{window: 5 * time.Second, minimum: 0, ratio: 1}
		budget.recordArrival(now)
		if !budget.allowsRetry(now+5*time.Second-1) || budget.allowsRetry(now+5*time.Second) {
			t.Error("want an arrival to count until its age reaches the window, and no longer")
		}
		budget = retryBudget{window: 5 * time.Second, minimum: 1}
		budget.recordRetry(now)
		if budget.allowsRetry(now+5*time.Second) || !budget.allowsRetry(now+5*time.Second+1) {
			t.Error("want a retry to count until its age exceeds the window, and no longer")
		}
	})
}

// 40 requests whose first attempts all fail get at most RetryBudgetMin retries plus the fraction RetryBudgetRatio of the requests.
func TestRetriesStayWithinBudget(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) {
		s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = 3, 0.1, 5*time.Second
	})
	retries := 0
	for key := range 40 {
		arrival := gateway.newArrival("bulk", "gold", 1, 2, uint64(key))
		gateway.step(arrival)
		gateway.now += 5 * ms
		gateway.step(AttemptEnded{ID: arrival.ID, Server: 1, Status: StatusError, Latency: 5 * ms})
		for _, id := range sentIDs(gateway.advance(50 * ms)) {
			if id == arrival.ID {
				retries++
				gateway.step(AttemptEnded{ID: id, Attempt: 1, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
			}
		}
	}
	if retries < 3 || retries > 7 {
		t.Errorf("%d retries sent for 40 requests, want 3 to 7: RetryBudgetMin, plus up to a tenth of the requests", retries)
	}
}
