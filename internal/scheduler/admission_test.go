package scheduler

import (
	"testing"
	"time"
)

func TestShortTTLIsNotAnOldRetry(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)) // shows the usual TTL
	gateway.scheduler.servers[1].congestion.window = 1        // the next one must wait
	short, repeat := gateway.newArrival("read", "gold", 1, 2, 6), gateway.newArrival("read", "gold", 1, 2, 7)
	short.TTL, repeat.TTL = 150*ms, 2*time.Second
	if got := rejectedIDs(gateway.step(short, repeat)); len(got) != 1 || got[0] != repeat.ID {
		t.Errorf("refused %v, want only the repeat past its aim (%d)", got, repeat.ID)
	}
}

// A client's retry that has missed its objective is rejected at once, also by a server that has been idle.
func TestLateRetryIsRejectedAtOnce(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	late := gateway.newArrival("read", "gold", 1, 2, 9)
	late.TTL -= time.Second // a client's repeat, past its aim of 400 ms
	if got := rejectedIDs(gateway.step(late)); len(got) != 1 {
		t.Errorf("refused %v, want %d at once", got, late.ID)
	}
	gateway.advance(3 * time.Second)
	late = gateway.newArrival("read", "gold", 1, 2, 9)
	late.TTL -= time.Second
	if got := rejectedIDs(gateway.step(late)); len(got) != 1 {
		t.Errorf("refused %v, want %d: a node left alone is no reason either", got, late.ID)
	}
}

// Frontends may give requests of a class different TTLs: a shorter one is no sign of a retry where the gateway knows better, and a longer
// one says nothing of the others.
func TestFirstAttemptWithOtherTTL(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	long := gateway.newArrival("read", "gold", 1, 2, 9)
	long.TTL, long.IsFirstAttempt = 3*long.TTL, true
	plain := gateway.newArrival("read", "gold", 1, 2, 10)
	short := gateway.newArrival("read", "gold", 1, 2, 11)
	short.TTL, short.IsFirstAttempt = short.TTL/2, true
	if sent := sentIDs(gateway.step(long, plain, short)); len(sent) != 3 {
		t.Errorf("sent %v, want all three", sent)
	}
}
