package incarnation

import (
	"fmt"
	"testing"
)

const hourMs = 3_600_000.0

// TestClockSkewDoesNotEndSlowStart guards against a slow start that ends early because this gateway's clock is wrong, so that a
// server appears to have started long ago. With each of the skews below, a server that starts while the list is watched must
// not appear to have started before the last time at which a complete list did not contain it. Its start time must not change
// later on.
func TestClockSkewDoesNotEndSlowStart(t *testing.T) {
	for _, skewMs := range []float64{0, 5000, -5000, hourMs, -hourMs} {
		t.Run(fmt.Sprintf("skew %v ms", skewMs), func(t *testing.T) { checkSkew(t, skewMs) })
	}
}

// checkSkew checks the start times of servers at a gateway whose clock is off by skewMs.
func checkSkew(t *testing.T, skewMs float64) {
	t.Helper()
	nowMs := 100*hourMs + skewMs // current time on this gateway's clock
	var tracker Tracker
	old := tracker.StartedAtMs("old", 99.5*hourMs, nowMs)
	if old > nowMs || skewMs == 0 && old != 99.5*hourMs {
		t.Errorf("a server of the first list started at %v ms, want at most %v ms, without skew 0.5 h before that", old, nowMs)
	}
	tracker.MarkComplete(nowMs)
	nowMs += 2000 // a server starts 1.5 s later and is listed 0.5 s after that
	young := tracker.StartedAtMs("young", 100*hourMs+1500, nowMs)
	if ageMs := nowMs - young; ageMs < 0 || ageMs > 2000 || skewMs == 0 && ageMs != 500 {
		t.Errorf("a server that started 0.5 s ago is %v ms old, want 0 to 2000 ms, and without skew 500 ms", ageMs)
	}
	tracker.MarkComplete(nowMs + hourMs)
	if again := tracker.StartedAtMs("young", 100*hourMs+1500, nowMs+hourMs); again != young {
		t.Errorf("the same incarnation started at %v ms, and in a later call at %v ms, want the same time", young, again)
	}
	if tracker.StartedAtMs("long ago", 0, nowMs) != 0 {
		t.Error("the start time 0 is not returned unchanged")
	}
	restarted := tracker.StartedAtMs("young", 101*hourMs+1000, nowMs+hourMs+1000)
	if ageMs := nowMs + hourMs + 1000 - restarted; ageMs < 0 || ageMs > 2000 {
		t.Errorf("a server that has just restarted is %v ms old, want 0 to 2000 ms", ageMs)
	}
}

// Servers that are replaced by servers with new names must not make the tracker grow without bound.
func TestIncarnationsAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range 3 * maxIncarnations {
		tracker.StartedAtMs(fmt.Sprint(i), 1000, 2000)
	}
	if len(tracker.incarnations) > maxIncarnations {
		t.Errorf("%d incarnations are kept, want at most %d", len(tracker.incarnations), maxIncarnations)
	}
}
