package gateway

import "testing"

// Whatever the longest deadline is, connections are accepted for as long as new ones arrive, requests that are open when
// connections begin to close have their whole time or 350 ms, and the program exits before the platform may kill it.
func TestShutdownTimes(t *testing.T) {
	for _, longest := range []float64{1, 20, 50, 100, 250, 299, 350, 399, 400, 700, 1200, 3000, 5000, 10_000, 1e12} {
		times, killMs := newShutdownTimes(longest), min(longest, 3000)+700
		if times.acceptUntilMs <= 400 || times.reuseUntilMs < times.acceptUntilMs ||
			times.respondByMs-times.reuseUntilMs < min(longest, 350) ||
			times.exitByMs <= times.respondByMs || times.exitByMs >= killMs {
			t.Errorf("longest %v, killed at %v: %+v", longest, killMs, times)
		}
	}
	if times := newShutdownTimes(3000); times != (shutdownTimes{600, 3200, 3550, 3625}) {
		t.Errorf("for 3 s: %+v", times)
	}
}
