package endpointlease

import "testing"

var testSettings = Settings{MaxNotificationDelayMs: 6000, DrainGraceMs: 1000, SendDelayMarginMs: 150}

// leaseMs is the time from the last renewal to the expiry of a lease with testSettings: the notification delay, plus the grace
// period of a drain, minus the margin for a delayed send.
const leaseMs = 6850

// A lease starts again whenever the gateway is known to have missed no change. A rejected call proves that only if the latest
// response did not indicate congestion (see RecordRejection).
func TestExpiry(t *testing.T) {
	for _, test := range []struct {
		name   string
		record func(*Lease)
		want   float64
	}{
		{"new", func(*Lease) {}, leaseMs},
		{"message on the watch", func(l *Lease) { l.Renew(5000) }, 5000 + leaseMs},
		{"earlier renewal does not shorten it", func(l *Lease) { l.Renew(5000); l.RecordUnreachable(4000) }, 5000 + leaseMs},
		{"unreachable", func(l *Lease) { l.RecordUnreachable(4000) }, 4000 + leaseMs},
		{"rejected", func(l *Lease) { l.RecordRejection(4000) }, 4000 + leaseMs},
		{"rejected without congestion", func(l *Lease) { l.RecordCallLatency(8); l.RecordRejection(4000) }, 4000 + leaseMs},
		{"rejected under congestion", func(l *Lease) { l.RecordCallLatency(1000); l.RecordRejection(4000) }, leaseMs},
		{"unreachable under congestion", func(l *Lease) { l.RecordCallLatency(1000); l.RecordUnreachable(4000) }, 4000 + leaseMs},
		{"rejected after congestion", func(l *Lease) { l.RecordCallLatency(1900); l.RecordCallLatency(8); l.RecordRejection(4000) },
			4000 + leaseMs},
		{"rejected after a silent watch", func(l *Lease) { l.Renew(1000); l.RecordSilentWatch(); l.RecordRejection(4000) }, 1000 + leaseMs},
		{"unreachable after a silent watch", func(l *Lease) { l.Renew(1000); l.RecordSilentWatch(); l.RecordUnreachable(4000) },
			1000 + leaseMs},
		{"rejected, then unreachable after a silent watch", func(l *Lease) {
			l.Renew(1000)
			l.RecordSilentWatch()
			l.RecordRejection(4000)
			l.RecordUnreachable(9000)
		}, 1000 + leaseMs},
		{"rejected before the silence", func(l *Lease) { l.RecordRejection(4000); l.RecordSilentWatch() }, 4000 + leaseMs},
		{"unconfirmed update after a silent watch",
			func(l *Lease) { l.Renew(1000); l.RecordSilentWatch(); l.Renew(0); l.RecordRejection(4000) }, 1000 + leaseMs},
		{"list after a silent watch", func(l *Lease) { l.Renew(1000); l.RecordSilentWatch(); l.Renew(9000) }, 9000 + leaseMs},
		{"rejected after the list after a silent watch",
			func(l *Lease) { l.RecordSilentWatch(); l.Renew(9000); l.RecordRejection(12000) }, 12000 + leaseMs},
	} {
		t.Run(test.name, func(t *testing.T) {
			lease := New(testSettings, 0)
			test.record(lease)
			if got := lease.ExpiresAtMs(); got != test.want {
				t.Errorf("the lease expires at %v ms, want %v ms", got, test.want)
			}
		})
	}
}

// A grace period that is shorter than the margin for a delayed send must not shorten the lease below the notification delay.
func TestExpiryWithGraceBelowMargin(t *testing.T) {
	settings := testSettings
	settings.DrainGraceMs = 100
	if got := New(settings, 0).ExpiresAtMs(); got != 6000 {
		t.Errorf("the lease expires at %v ms, want 6000 ms", got)
	}
}
