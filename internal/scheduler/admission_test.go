package scheduler

import (
	"testing"
	"time"
)

func TestShortRemainingTimeIsNotAnOldRetry(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)) // shows the usual TTL
	gateway.server(1).congestion.window = 1                   // the next one must wait
	short, retry := gateway.newArrival("read", "gold", 1, 2, 6), gateway.newArrival("read", "gold", 1, 2, 7)
	short.Remaining, retry.Remaining = 150*ms, 2*time.Second
	if rejected := rejectedIDs(gateway.step(short, retry)); len(rejected) != 1 || rejected[0] != retry.ID {
		t.Errorf("rejected %v, want only the retry that has missed its objective (%d)", rejected, retry.ID)
	}
}

// A client's retry that has missed its objective is rejected at once, also by a server that has been idle.
func TestLateRetryIsRejectedAtOnce(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	checkRejected := func(when string) {
		t.Helper()
		late := gateway.newArrival("read", "gold", 1, 2, 9)
		late.Remaining -= time.Second // its objective was 400 ms
		if rejected := rejectedIDs(gateway.step(late)); len(rejected) != 1 {
			t.Errorf("%s: rejected %v, want %d at once", when, rejected, late.ID)
		}
	}
	checkRejected("after other requests")
	gateway.advance(3 * time.Second)
	checkRejected("idle server")
}

// Frontends may give requests of a class different TTLs: a shorter one is no sign of a retry where the gateway knows better, and a
// longer one says nothing of the others.
func TestFirstAttemptWithOtherRemainingTime(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	long := gateway.newArrival("read", "gold", 1, 2, 9)
	long.Remaining, long.IsFirstAttempt = 3*long.Remaining, true
	ordinary := gateway.newArrival("read", "gold", 1, 2, 10)
	short := gateway.newArrival("read", "gold", 1, 2, 11)
	short.Remaining, short.IsFirstAttempt = short.Remaining/2, true
	if sent := sentIDs(gateway.step(long, ordinary, short)); len(sent) != 3 {
		t.Errorf("sent %v, want all three", sent)
	}
}
