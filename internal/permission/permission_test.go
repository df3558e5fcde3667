package permission

import (
	"math"
	"testing"
)

func TestMayBegin(t *testing.T) {
	open := Conditions{NowMs: 100, LeaseExpiresAtMs: math.Inf(1), DeadlineMs: 1000}
	for _, c := range []struct {
		name   string
		change func(*Conditions)
		want   Denial
	}{
		{"nothing against it", func(*Conditions) {}, Allowed},
		{"client gone", func(f *Conditions) { f.ClientCanceled = true }, ClientCanceled},
		{"server closed", func(f *Conditions) { f.ServerUnavailable = true }, ServerUnavailable},
		{"list valid for a moment more", func(f *Conditions) { f.LeaseExpiresAtMs = 100.1 }, Allowed},
		{"list expired in this moment", func(f *Conditions) { f.LeaseExpiresAtMs = 100 }, LeaseExpired},
		{"news unread", func(f *Conditions) { f.UpdatePending = true }, UpdatePending},
		{"window open for a moment more", func(f *Conditions) { f.StartDeadlineMs = 100.1 }, Allowed},
		{"window over in this moment", func(f *Conditions) { f.StartDeadlineMs = 100 }, StartDeadlineExceeded},
		{"a millisecond left", func(f *Conditions) { f.DeadlineMs = 101 }, Allowed},
		{"less than a millisecond left", func(f *Conditions) { f.DeadlineMs = 100.9 }, DeadlineExceeded},
		{"no time left", func(f *Conditions) { f.DeadlineMs = 50 }, DeadlineExceeded},
		{"several", func(f *Conditions) { f.ClientCanceled, f.ServerUnavailable, f.DeadlineMs = true, true, 0 }, ClientCanceled},
	} {
		f := open
		c.change(&f)
		if got := Authorize(f); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := RemainingMs(Conditions{NowMs: 100.2, DeadlineMs: 300}); got != 199 {
		t.Errorf("left: %v, want 199", got)
	}
	if Denial(99).String() != "unknown" || DeadlineExceeded.String() != "time_up" {
		t.Error("names of denials")
	}
}
