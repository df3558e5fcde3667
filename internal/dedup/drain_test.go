package dedup

import (
	"testing"

	"gaugerelay/internal/lifecycle"
)

// A drain begins no exchange. Those that are known continue, and devices may reconnect for their responses.
func TestDrain(t *testing.T) {
	c := newTestCoordinator(t, nil)
	first := c.send("push", "k", "body")
	c.send("push", "u", "part", part(0))
	c.cancel(first)
	c.Drain(c.nowMs)
	if response := c.send("push", "new", "body").response(t); response.Kind != lifecycle.Rejected || response.RetryAfterMs == 0 {
		t.Errorf("a new request got %+v", response)
	}
	if response := c.send("push", "old", "body", resent(100)).response(t); response.Kind != lifecycle.Failed {
		t.Errorf("an unknown retry got %+v", response)
	}
	joined := c.send("push", "k", "body", resent(10))
	c.send("push", "u", "rest", lastPart(4))
	if len(c.runs) != 2 {
		t.Fatalf("%d runs: an upload that had begun must be completed", len(c.runs))
	}
	c.serve(c.runs[0], 0)
	if joined.response(t).Kind != lifecycle.Served {
		t.Errorf("responses %+v", joined.responses)
	}
}
