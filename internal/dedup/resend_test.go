package dedup

import (
	"testing"

	"gaugerelay/internal/lifecycle"
)

// A copy joins the run of an earlier one and gets its response, also after it; a copy with another content never runs.
func TestResentCopies(t *testing.T) {
	c := newTestCoordinator(t, nil)
	first := c.send("push", "k", "body")
	second := c.send("push", "k", "body")
	changed := c.send("push", "k", "changed")
	if len(c.runs) != 1 || changed.response(t).Kind != lifecycle.Conflict {
		t.Fatalf("%d runs, the changed copy got %+v", len(c.runs), changed.responses)
	}
	if run := c.runs[0]; !hasBody(run, "body") || !run.IsFirstAttempt || run.RemainingMs >= 2500 {
		t.Errorf("run as %+v", run)
	}
	c.cancel(first)
	c.advance(100)
	c.serve(c.runs[0], 90)
	late := c.send("push", "k", "body", resent(100))
	if response := late.response(t); string(response.Body.([]byte)) != testResult || !response.Cached || response.ETag == 0 ||
		second.response(t).ETag != response.ETag {
		t.Errorf("a late copy got %+v", response)
	}
	if len(first.responses) != 0 || len(c.runs) != 1 {
		t.Errorf("%d runs; the canceled copy got %+v", len(c.runs), first.responses)
	}
	c.advance(6000) // until its window and retention are over
	c.checkEmpty()
	if c.send("push", "k", "body"); len(c.runs) != 2 {
		t.Error("a forgotten request does not run as a new one")
	}
}

// If no copy got to know of a failure, the next one runs again inside of the window and in the shard of the first
// attempt, and fails otherwise. A failure that a copy got to know is final.
func TestCopyAfterFailure(t *testing.T) {
	const noRun = -2
	for name, c := range map[string]struct {
		class           string
		mayHaveExecuted bool
		waitMs          float64
		reported        bool
		shard           int // of the second run
	}{
		"inside of the window":         {"push", true, 500, false, 3},
		"after the window":             {"push", true, 3100, false, noRun},
		"failure reported":             {"push", true, 500, true, noRun},
		"not executed":                 {"push", false, 500, false, unknownShard},
		"deduplicated in a zone":       {"zoned", true, 500, false, noRun},
		"not idempotent, executed":     {"once", true, 500, false, noRun},
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
			coordinator.runs[0].Respond(lifecycle.Response{Kind: lifecycle.Failed, MayHaveExecuted: c.mayHaveExecuted,
				FirstAttemptMs: coordinator.nowMs - 10, Shard: attemptShard})
			coordinator.advance(c.waitMs)
			second := coordinator.send(c.class, "k", "body", resent(c.waitMs), shard(unknownShard))
			if c.shard == noRun {
				if len(coordinator.runs) != 1 || second.response(t).Kind != lifecycle.Failed {
					t.Errorf("%d runs, responses %+v", len(coordinator.runs), second.responses)
				}
				return
			}
			checkSecondRun(t, coordinator, second, c.shard)
			windowEndMs := float64(testStartMs + 10 + testDedupWindowMs)
			latestMs := coordinator.nowMs + coordinator.runs[1].RemainingMs
			if c.mayHaveExecuted && c.class == "push" && latestMs > windowEndMs {
				t.Errorf("it may be sent until %v, the window ends at %v", latestMs, windowEndMs)
			}
			// The second run did not execute, but the first may have.
			coordinator.runs[1].Respond(lifecycle.Response{Kind: lifecycle.Rejected})
			if kind := second.response(t).Kind; (kind == lifecycle.Failed) != c.mayHaveExecuted {
				t.Errorf("response %v", kind)
			}
		})
	}
}

// checkSecondRun checks that a copy runs again in a shard, under another id.
func checkSecondRun(t *testing.T, c *testCoordinator, sent *sentCopy, shard int) {
	t.Helper()
	if len(c.runs) != 2 || c.runs[1].Shard != shard || c.runs[1].ClientID == c.runs[0].ClientID {
		t.Fatalf("%d runs, responses %+v", len(c.runs), sent.responses)
	}
}

// A gateway that has restarted does not know what an earlier copy of a retry did.
func TestRetryAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		options []option
		runs    bool
	}{
		"inside of the window":   {[]option{resent(1000)}, true},
		"after the window":       {[]option{resent(2990)}, false},
		"of unknown age":         {[]option{resent(-1)}, false},
		"in an unknown shard":    {[]option{resent(1000), shard(unknownShard)}, false},
		"no retry":               {[]option{shard(unknownShard)}, true},
		"idempotent":             {[]option{resent(-1), class("pull")}, true},
		"deduplicated in a zone": {[]option{resent(100), class("zoned")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := newTestCoordinator(t, nil)
			sent := coordinator.send("push", "k", "body", c.options...)
			if !c.runs {
				if len(coordinator.runs) != 0 || sent.response(t).Kind != lifecycle.Failed {
					t.Fatalf("%d runs, responses %+v", len(coordinator.runs), sent.responses)
				}
				// A first copy that was only slow must not run after that.
				late := coordinator.send("push", "k", "body", class(sent.Class), shard(sent.Shard))
				if len(coordinator.runs) != 0 || late.response(t).Kind != lifecycle.Failed {
					t.Errorf("a late first copy: %d runs, responses %+v", len(coordinator.runs), late.responses)
				}
				return
			}
			if len(coordinator.runs) != 1 {
				t.Fatalf("%d runs, responses %+v", len(coordinator.runs), sent.responses)
			}
			if sent.IsRetry && sent.Class == "push" {
				coordinator.runs[0].Respond(lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 50})
				if sent.response(t).Kind != lifecycle.Failed {
					t.Errorf("what may have executed elsewhere got %+v", sent.responses)
				}
			}
		})
	}
}
