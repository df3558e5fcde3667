package scheduler

import (
	"testing"
	"time"
)

// setDeadlines takes a request with less remaining time than others of its class for a retry. It estimates the age of the request
// from the difference and makes the objective earlier by this age. It treats the request as a first attempt, however, if the age is
// not below the request's remaining time. Here one request has 150 ms left and an estimated age of 2850 ms, so it is treated as a
// first attempt and must not be rejected. The other has 2 s left and an estimated age of 1 s, more than its objective of 400 ms, so
// it must be rejected.
func TestRequestWithShortDeadlineIsNotTakenForRetry(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)) // sets the longest remaining time of the class to 3 s
	gateway.server(1).congestion.window = 1                   // the first request fills the window, so the next ones are queued
	short, retry := gateway.newArrival("read", "gold", 1, 2, 6), gateway.newArrival("read", "gold", 1, 2, 7)
	short.Remaining, retry.Remaining = 150*ms, 2*time.Second
	if rejected := rejectedIDs(gateway.step(short, retry)); len(rejected) != 1 || rejected[0] != retry.ID {
		t.Errorf("rejected requests %v, want only the retry that has missed its objective (%d)", rejected, retry.ID)
	}
}

// A client's retry whose estimated age (see setDeadlines) exceeds its objective is rejected at once, even if the server is idle.
func TestLateRetryIsRejectedAtOnce(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	checkRejected := func(when string) {
		t.Helper()
		late := gateway.newArrival("read", "gold", 1, 2, 9)
		late.Remaining -= time.Second // an estimated age of 1 s, more than the objective of 400 ms
		if rejected := rejectedIDs(gateway.step(late)); len(rejected) != 1 {
			t.Errorf("%s: rejected requests %v, want request %d at once", when, rejected, late.ID)
		}
	}
	checkRejected("after other requests")
	gateway.advance(3 * time.Second)
	checkRejected("idle server")
}

// Frontends may give requests of a class different remaining times. setDeadlines must not take a request with IsFirstAttempt and a
// short remaining time for a retry. A request with IsFirstAttempt and a long remaining time must not raise the longest remaining
// time of the class, from which the age of other requests is estimated: the others would look like retries.
func TestFirstAttemptsWithDifferentRemainingTimes(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	long := gateway.newArrival("read", "gold", 1, 2, 9)
	long.Remaining, long.IsFirstAttempt = 3*long.Remaining, true
	ordinary := gateway.newArrival("read", "gold", 1, 2, 10)
	short := gateway.newArrival("read", "gold", 1, 2, 11)
	short.Remaining, short.IsFirstAttempt = short.Remaining/2, true
	if sent := sentIDs(gateway.step(long, ordinary, short)); len(sent) != 3 {
		t.Errorf("sent requests %v, want all three requests", sent)
	}
}
