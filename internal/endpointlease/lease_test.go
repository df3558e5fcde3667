package endpointlease

import "testing"

var settings = Settings{MaxNotificationDelayMs: 6000, DrainGraceMs: 1000, SendDelayMarginMs: 150}

// length is how long a lease lasts behind what renewed it last.
const length = 6850

func TestLease(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(*Lease)
		want float64
	}{
		{"from the start", func(*Lease) {}, length},
		{"a line on the watch", func(l *Lease) { l.Renew(5000) }, 5000 + length},
		{"an older renewal does not shorten it", func(l *Lease) { l.Renew(5000); l.RecordUnreachable(4000) }, 5000 + length},
		{"nobody was there", func(l *Lease) { l.RecordUnreachable(4000) }, 4000 + length},
		{"turned away", func(l *Lease) { l.RecordRejection(4000) }, 4000 + length},
		{"turned away where calls are answered at once", func(l *Lease) { l.RecordCallLatency(8); l.RecordRejection(4000) }, 4000 + length},
		{"turned away where calls wait for each other", func(l *Lease) { l.RecordCallLatency(1000); l.RecordRejection(4000) }, length},
		{"nobody was there, where calls wait", func(l *Lease) { l.RecordCallLatency(1000); l.RecordUnreachable(4000) }, 4000 + length},
		{"they wait no longer", func(l *Lease) { l.RecordCallLatency(1900); l.RecordCallLatency(8); l.RecordRejection(4000) }, 4000 + length},
	} {
		l := New(settings, 0)
		c.play(l)
		if got := l.ExpiresAtMs(); got != c.want {
			t.Errorf("%s: until %v, want %v", c.name, got, c.want)
		}
	}
	short := settings
	short.DrainGraceMs = 100 // under the margin
	if got := New(short, 0).ExpiresAtMs(); got != 6000 {
		t.Errorf("a short grace: until %v, want 6000", got)
	}
}
