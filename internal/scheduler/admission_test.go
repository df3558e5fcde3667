package scheduler

import (
	"testing"
	"time"
)

func TestRequestWithShortDeadlineIsNotTakenForRetry(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)) // has the usual remaining time of its class
	gateway.server(1).congestion.window = 1                   // later requests are queued
	short, retry := gateway.newArrival("read", "gold", 1, 2, 6), gateway.newArrival("read", "gold", 1, 2, 7)
	short.Remaining, retry.Remaining = 150*ms, 2*time.Second
	if rejected := rejectedIDs(gateway.step(short, retry)); len(rejected) != 1 || rejected[0] != retry.ID {
		t.Errorf("rejected requests %v, want only the retry that has missed its objective (%d)", rejected, retry.ID)
	}
}

// A client's retry that has missed its objective is rejected at once, also if the server has been idle.
func TestLateRetryIsRejectedAtOnce(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	checkRejected := func(when string) {
		t.Helper()
		late := gateway.newArrival("read", "gold", 1, 2, 9)
		late.Remaining -= time.Second // more than the objective of 400 ms
		if rejected := rejectedIDs(gateway.step(late)); len(rejected) != 1 {
			t.Errorf("%s: rejected requests %v, want %d at once", when, rejected, late.ID)
		}
	}
	checkRejected("after other requests")
	gateway.advance(3 * time.Second)
	checkRejected("idle server")
}

// Frontends may give requests of a class different remaining times. A known first attempt with a short time must not be taken for a
// retry, and one with a long time must not make other requests look like retries.
func TestFirstAttemptsWithDifferentRemainingTimes(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	long := gateway.newArrival("read", "gold", 1, 2, 9)
	long.Remaining, long.IsFirstAttempt = 3*long.Remaining, true
	ordinary := gateway.newArrival("read", "gold", 1, 2, 10)
	short := gateway.newArrival("read", "gold", 1, 2, 11)
	short.Remaining, short.IsFirstAttempt = short.Remaining/2, true
	if sent := sentIDs(gateway.step(long, ordinary, short)); len(sent) != 3 {
		t.Errorf("sent requests %v, want all three", sent)
	}
}
