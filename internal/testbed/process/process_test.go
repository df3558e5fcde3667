package process

import (
	"testing"
	"time"
)

// A process that was away between two moments is known to have been.
func TestAway(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	p := &Process{away: []span{{at(10), at(20)}, {at(30), time.Time{}}}}
	for _, c := range []struct {
		from, to int
		want     bool
	}{{1, 9, false}, {1, 11, true}, {12, 13, true}, {19, 25, true}, {21, 29, false}, {25, 31, true}, {99, 100, true}} {
		if got := p.InterruptedDuring(at(c.from), at(c.to)); got != c.want {
			t.Errorf("%d to %d: %v", c.from, c.to, got)
		}
	}
}
