package dedup

import (
	"testing"

	"gaugerelay/internal/lifecycle"
)

// During a drain, no exchange is added: a new request is rejected, and a retry fails, because the gateway does not know whether
// an earlier transmission was executed. Existing exchanges continue, and devices may reconnect to get their responses.
func TestDrain(t *testing.T) {
	c := newTestCoordinator(t, nil)
	first := c.send("push", "k", "body")
	c.send("push", "u", "part", blockAt(0))
	c.cancel(first)
	c.Drain(c.nowMs)
	if response := c.send("push", "new", "body").response(t); response.Kind != lifecycle.Rejected || response.RetryAfterMs == 0 {
		t.Errorf("a new request got %+v, want a rejection with a retry delay", response)
	}
	if response := c.send("push", "old", "body", resent(100)).response(t); response.Kind != lifecycle.Failed {
		t.Errorf("a retry of an unknown exchange got %+v, want a failure", response)
	}
	joined := c.send("push", "k", "body", resent(10))
	c.send("push", "u", "rest", lastBlockAt(4))
	if len(c.executed) != 2 {
		t.Fatalf("got %d executions, want 2: an upload that started before the drain must be executed", len(c.executed))
	}
	c.serve(c.executed[0], 0)
	if joined.response(t).Kind != lifecycle.Served {
		t.Errorf("the retry during the execution got %+v, want the response of the execution", joined.responses)
	}
}
