package incarnation

import (
	"fmt"
	"testing"
)

const hour = 3_600_000.0

// However far this gateway's clock is off, a server that starts while the list is followed is taken for as young as it is,
// but for what the list may be late by; and it stays the same incarnation.
func TestASteppedClockEndsNoSlowStart(t *testing.T) {
	for _, off := range []float64{0, 5000, -5000, hour, -hour} {
		now := 100*hour + off // on this gateway's clock
		var tracker Tracker
		old := tracker.StartedAtMs("old", 99.5*hour, now)
		if old > now || off == 0 && old != 99.5*hour {
			t.Errorf("off by %v: a server of the first list has run since %v, it is %v", off, old, now)
		}
		tracker.MarkComplete(now)
		now += 2000 // a server starts 1.5 s later, and the list tells of it 0.5 s behind that
		young := tracker.StartedAtMs("young", 100*hour+1500, now)
		if age := now - young; age < 0 || age > 2000 || off == 0 && age != 500 {
			t.Errorf("off by %v: a server that started 0.5 s ago is %v ms old", off, age)
		}
		tracker.MarkComplete(now + hour)
		if again := tracker.StartedAtMs("young", 100*hour+1500, now+hour); again != young {
			t.Errorf("off by %v: the same incarnation has run since %v, then %v", off, young, again)
		}
		if tracker.StartedAtMs("long ago", 0, now) != 0 {
			t.Error("long ago is no time")
		}
		restarted := tracker.StartedAtMs("young", 101*hour+1000, now+hour+1000)
		if age := now + hour + 1000 - restarted; age < 0 || age > 2000 {
			t.Errorf("off by %v: a server that has restarted just now is %v ms old", off, age)
		}
	}
}

func TestIncarnationsAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range 3 * mostKept {
		tracker.StartedAtMs(fmt.Sprint(i), 1000, 2000)
	}
	if len(tracker.known) > mostKept {
		t.Errorf("%d are kept", len(tracker.known))
	}
}
