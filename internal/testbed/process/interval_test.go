package process

import (
	"testing"
	"time"
)

// TestInterruptedDuring checks which time spans overlap an interruption from 10 s to 20 s or one that began at 30 s and has not
// ended.
func TestInterruptedDuring(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	p := &Process{interruptions: []Interval{{at(10), at(20)}, {at(30), time.Time{}}}}
	for _, test := range []struct {
		from, to int
		want     bool
	}{{1, 9, false}, {1, 11, true}, {12, 13, true}, {19, 25, true}, {21, 29, false}, {25, 31, true}, {99, 100, true}} {
		if got := p.InterruptedDuring(at(test.from), at(test.to)); got != test.want {
			t.Errorf("InterruptedDuring(%d s, %d s) = %v, want the opposite", test.from, test.to, got)
		}
	}
}
