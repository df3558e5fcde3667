package permission

import (
	"math"
	"testing"
)

// Each condition must be checked, with its limit inclusive or exclusive as documented, and the first reason in the order of the
// Denial constants must be reported.
func TestAuthorize(t *testing.T) {
	allowed := Conditions{NowMs: 100, LeaseExpiresAtMs: math.Inf(1), DeadlineMs: 1000}
	for _, test := range []struct {
		name   string
		change func(*Conditions)
		want   Denial
	}{
		{"allowed", func(*Conditions) {}, Allowed},
		{"client canceled", func(c *Conditions) { c.ClientCanceled = true }, ClientCanceled},
		{"server unavailable", func(c *Conditions) { c.ServerUnavailable = true }, ServerUnavailable},
		{"lease about to expire", func(c *Conditions) { c.LeaseExpiresAtMs = 100.1 }, Allowed},
		{"lease expires now", func(c *Conditions) { c.LeaseExpiresAtMs = 100 }, LeaseExpired},
		{"update pending", func(c *Conditions) { c.UpdatePending = true }, UpdatePending},
		{"start deadline about to pass", func(c *Conditions) { c.StartDeadlineMs = 100.1 }, Allowed},
		{"start deadline passes now", func(c *Conditions) { c.StartDeadlineMs = 100 }, StartDeadlineExceeded},
		{"one millisecond left", func(c *Conditions) { c.DeadlineMs = 101 }, Allowed},
		{"less than a millisecond left", func(c *Conditions) { c.DeadlineMs = 100.9 }, DeadlineExceeded},
		{"no time left", func(c *Conditions) { c.DeadlineMs = 50 }, DeadlineExceeded},
		{"first of several reasons", func(c *Conditions) { c.ClientCanceled, c.ServerUnavailable, c.DeadlineMs = true, true, 0 },
			ClientCanceled},
	} {
		t.Run(test.name, func(t *testing.T) {
			conditions := allowed
			test.change(&conditions)
			if got := Authorize(conditions); got != test.want {
				t.Errorf("Authorize() = %v, want %v", got, test.want)
			}
		})
	}
}

func TestRemainingMs(t *testing.T) {
	if got := RemainingMs(Conditions{NowMs: 100.2, DeadlineMs: 300}); got != 199 {
		t.Errorf("RemainingMs() = %v, want 199 (199.8 rounded down)", got)
	}
}

func TestDenialString(t *testing.T) {
	for denial, want := range map[Denial]string{DeadlineExceeded: "deadline_exceeded", Denial(99): "unknown"} {
		if got := denial.String(); got != want {
			t.Errorf("Denial(%d).String() = %q, want %q", uint8(denial), got, want)
		}
	}
}
