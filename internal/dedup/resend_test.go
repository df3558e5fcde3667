package dedup

import (
	"testing"

	"gaugerelay/internal/lifecycle"
)

// A repeated transmission joins the execution in progress or gets the retained response. A transmission with the same key but
// another content is never executed.
func TestRepeatedTransmissions(t *testing.T) {
	c := newTestCoordinator(t, nil)
	first := c.send("push", "k", "body")
	second := c.send("push", "k", "body")
	changed := c.send("push", "k", "changed")
	if len(c.executed) != 1 || changed.response(t).Kind != lifecycle.Conflict {
		t.Fatalf("got %d executions, want 1; the changed transmission got %+v, want a conflict", len(c.executed), changed.responses)
	}
	if execution := c.executed[0]; !hasBody(execution, "body") || !execution.IsFirstAttempt || execution.RemainingMs >= 2500 {
		t.Errorf("the execution has the request %+v, want its body, IsFirstAttempt and less than 2500 ms remaining", execution)
	}
	c.cancel(first)
	c.advance(100)
	c.serve(c.executed[0], 90)
	late := c.send("push", "k", "body", resent(100))
	if response := late.response(t); string(response.Body.([]byte)) != testResult || !response.Cached || response.ETag == 0 ||
		second.response(t).ETag != response.ETag {
		t.Errorf("a transmission after the response got %+v, want the cached response", response)
	}
	if len(first.responses) != 0 || len(c.executed) != 1 {
		t.Errorf("got %d executions, want 1; the canceled transmission got %+v, want no response", len(c.executed), first.responses)
	}
	c.advance(6000) // until the deduplication window and the retention have ended
	c.checkEmpty()
	if c.send("push", "k", "body"); len(c.executed) != 2 {
		t.Error("a forgotten request is not executed as a new one")
	}
}

// If an execution failed and the failure was not reported to any transmission, the next transmission starts a second execution,
// provided that this is safe: no server can have executed the request, the request is idempotent, or the deduplication window has
// not ended and the second execution goes to the shard of the first attempt, whose servers drop a repeat. Otherwise the
// transmission fails. A failure that was reported to a transmission is final.
func TestTransmissionAfterFailure(t *testing.T) {
	const noExecution = -2
	for name, c := range map[string]struct {
		class           string
		mayHaveExecuted bool
		waitMs          float64
		reported        bool
		shard           int // shard of the second execution; noExecution: the second transmission fails
	}{
		"inside of the window":         {"push", true, 500, false, 3},
		"after the window":             {"push", true, 3100, false, noExecution},
		"failure reported":             {"push", true, 500, true, noExecution},
		"not executed":                 {"push", false, 500, false, unknownShard},
		"deduplicated in a zone":       {"zoned", true, 500, false, noExecution},
		"not idempotent, executed":     {"once", true, 500, false, noExecution},
		"not idempotent, not executed": {"once", false, 500, false, unknownShard},
		"idempotent":                   {"pull", true, 500, false, unknownShard},
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := newTestCoordinator(t, nil)
			first := coordinator.send(c.class, "k", "body", shard(unknownShard))
			if !c.reported {
				coordinator.cancel(first)
			}
			attemptShard := unknownShard
			if c.mayHaveExecuted {
				attemptShard = 3
			}
			coordinator.advance(20)
			coordinator.executed[0].Respond(lifecycle.Response{Kind: lifecycle.Failed, MayHaveExecuted: c.mayHaveExecuted,
				FirstAttemptMs: coordinator.nowMs - 10, Shard: attemptShard})
			coordinator.advance(c.waitMs)
			second := coordinator.send(c.class, "k", "body", resent(c.waitMs), shard(unknownShard))
			if c.shard == noExecution {
				if len(coordinator.executed) != 1 || second.response(t).Kind != lifecycle.Failed {
					t.Errorf("got %d executions, want 1; the second transmission got %+v, want a failure",
						len(coordinator.executed), second.responses)
				}
				return
			}
			checkSecondExecution(t, coordinator, second, c.shard)
			windowEndMs := float64(testStartMs + 10 + testDedupWindowMs)
			latestMs := coordinator.nowMs + coordinator.executed[1].RemainingMs
			if c.mayHaveExecuted && c.class == "push" && latestMs > windowEndMs {
				t.Errorf("a repeat may be sent until %v, but the deduplication window ends at %v", latestMs, windowEndMs)
			}
			// No server executed the request in the second execution, but one may have done so in the first.
			coordinator.executed[1].Respond(lifecycle.Response{Kind: lifecycle.Rejected})
			if kind := second.response(t).Kind; (kind == lifecycle.Failed) != c.mayHaveExecuted {
				t.Errorf("the second transmission got a response of kind %v, want a failure if and only if the request may have been executed",
					kind)
			}
		})
	}
}

// checkSecondExecution checks that a transmission started a second execution in the given shard, with another id.
func checkSecondExecution(t *testing.T, c *testCoordinator, sent *sentTransmission, shard int) {
	t.Helper()
	if len(c.executed) != 2 || c.executed[1].Shard != shard || c.executed[1].ClientID == c.executed[0].ClientID {
		t.Fatalf("got %d executions, want two, the second in the expected shard with its own id; responses %+v",
			len(c.executed), sent.responses)
	}
}

// A gateway that has restarted does not know whether an earlier transmission of a retried request was executed. It executes
// the retry only if the request is idempotent or servers are certain to drop a repeat (see safeRepeatMs in package exchange).
func TestRetryAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		options  []option
		executed bool
	}{
		"inside of the window":   {[]option{resent(1000)}, true},
		"after the window":       {[]option{resent(2990)}, false}, // the last 10 ms of testDedupWindowMs are too short for an execution
		"of unknown age":         {[]option{resent(-1)}, false},
		"in an unknown shard":    {[]option{resent(1000), shard(unknownShard)}, false},
		"no retry":               {[]option{shard(unknownShard)}, true},
		"idempotent":             {[]option{resent(-1), class("pull")}, true},
		"deduplicated in a zone": {[]option{resent(100), class("zoned")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := newTestCoordinator(t, nil)
			sent := coordinator.send("push", "k", "body", c.options...)
			if !c.executed {
				if len(coordinator.executed) != 0 || sent.response(t).Kind != lifecycle.Failed {
					t.Fatalf("got %d executions, want none; the retry got %+v, want a failure", len(coordinator.executed), sent.responses)
				}
				// A delayed first transmission must not be executed after the retry has failed.
				late := coordinator.send("push", "k", "body", class(sent.Class), shard(sent.Shard))
				if len(coordinator.executed) != 0 || late.response(t).Kind != lifecycle.Failed {
					t.Errorf("after a delayed first transmission: got %d executions, want none; responses %+v, want a failure",
						len(coordinator.executed), late.responses)
				}
				return
			}
			if len(coordinator.executed) != 1 {
				t.Fatalf("got %d executions, want 1; responses %+v", len(coordinator.executed), sent.responses)
			}
			if sent.IsRetry && sent.Class == "push" {
				coordinator.executed[0].Respond(lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 50})
				if sent.response(t).Kind != lifecycle.Failed {
					t.Errorf("a request that may have been executed through another gateway got %+v, want a failure", sent.responses)
				}
			}
		})
	}
}
