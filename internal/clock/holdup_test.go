package clock

import "testing"

// held is a clock whose timers do not run while it is moved: the process is held up.
type held struct{ *Manual }

func (h held) skip(ms float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now += ms
}

func TestHoldUps(t *testing.T) {
	c := held{NewManual(1000)}
	h := StartPauseDetector(c)
	since := func(want float64, what string) {
		t.Helper()
		if got := h.EarliestArrival(c.NowMs()); got != want {
			t.Errorf("%s: may have come at %v, want %v", what, got, want)
		}
	}
	c.Advance(300)
	c.Advance(60)
	since(1360, "while the process runs")
	c.skip(2000) // held up from some time behind the look at 1300
	since(1300, "read before the look at the end")
	c.Advance(0)
	c.Advance(200)
	since(1300, "read behind it, from the backlog")
	c.Advance(100)
	since(3660, "read once the backlog is over")
	c.skip(149)
	since(3809, "held up for less than counts")
	c.Advance(100)
	c.skip(400)
	c.Advance(100)
	c.skip(400)
	since(3909, "two hold-ups close to each other count as one")
	c.Advance(1000)
	now := c.NowMs()
	h.RecordStall(now-40, now)
	since(now, "could not be taken for a moment")
	h.RecordStall(now-90, now)
	since(now-90, "could not be taken")
	h.RecordStall(now-300, now-200)
	since(now-300, "could not be taken before that either")
	h.Close()
	c.Advance(1000)
	if len(c.timers) != 0 {
		t.Errorf("%d timers are left", len(c.timers))
	}
	var none *PauseDetector
	if none.Close(); none.EarliestArrival(7) != 7 {
		t.Error("none")
	}
}
