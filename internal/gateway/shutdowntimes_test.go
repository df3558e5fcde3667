package gateway

import "testing"

// Whatever the longest deadline of all classes is, the times of a shutdown must meet three conditions. The gateway accepts
// connections for longer than clients open new ones (newConnArrivalMs). Requests that are open when connections begin to close
// have 350 ms (lastRequestsMs) for their responses, or the longest deadline if that is shorter. The program exits before killMs,
// the time at which the platform kills it (see killGraceMs).
func TestShutdownTimes(t *testing.T) {
	for _, longest := range []float64{1, 20, 50, 100, 250, 299, 350, 399, 400, 700, 1200, 3000, 5000, 10_000, 1e12} {
		times, killMs := newShutdownTimes(longest), min(longest, 3000)+700
		if times.acceptUntilMs <= 400 || times.reuseUntilMs < times.acceptUntilMs ||
			times.respondByMs-times.reuseUntilMs < min(longest, 350) ||
			times.exitByMs <= times.respondByMs || times.exitByMs >= killMs {
			t.Errorf("longest deadline %v ms, kill after %v ms: times %+v do not meet the conditions", longest, killMs, times)
		}
	}
	if times := newShutdownTimes(3000); times != (shutdownTimes{600, 3200, 3550, 3625}) {
		t.Errorf("longest deadline 3 s: times are %+v, want 600, 3200, 3550 and 3625 ms", times)
	}
}
