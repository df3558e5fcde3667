package endpointlease

import "testing"

var settings = Settings{NotifyWithinMs: 6000, GraceMs: 1000, MarginMs: 150}

// length is how long a lease lasts behind what renewed it last.
const length = 6850

func TestLease(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(*Lease)
		want float64
	}{
		{"from the start", func(*Lease) {}, length},
		{"a line on the watch", func(l *Lease) { l.Heard(5000) }, 5000 + length},
		{"an older renewal does not shorten it", func(l *Lease) { l.Heard(5000); l.Unreachable(4000) }, 5000 + length},
		{"nobody was there", func(l *Lease) { l.Unreachable(4000) }, 4000 + length},
		{"turned away", func(l *Lease) { l.Refused(4000) }, 4000 + length},
		{"turned away where calls are answered at once", func(l *Lease) { l.Answered(8); l.Refused(4000) }, 4000 + length},
		{"turned away where calls wait for each other", func(l *Lease) { l.Answered(1000); l.Refused(4000) }, length},
		{"nobody was there, where calls wait", func(l *Lease) { l.Answered(1000); l.Unreachable(4000) }, 4000 + length},
		{"they wait no longer", func(l *Lease) { l.Answered(1900); l.Answered(8); l.Refused(4000) }, 4000 + length},
	} {
		l := New(settings, 0)
		c.play(l)
		if got := l.UntilMs(); got != c.want {
			t.Errorf("%s: until %v, want %v", c.name, got, c.want)
		}
	}
	short := settings
	short.GraceMs = 100 // under the margin
	if got := New(short, 0).UntilMs(); got != 6000 {
		t.Errorf("a short grace: until %v, want 6000", got)
	}
}
