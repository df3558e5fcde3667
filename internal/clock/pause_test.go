package clock

import "testing"

// pausedClock is a manual clock that can also move forward without running its timers, as in a pause of the process.
type pausedClock struct{ *Manual }

func (c pausedClock) pause(ms float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nowMs += ms
}

// TestPauseDetector checks that bytes that are read within 250 ms (backlogMs) after a pause may have arrived since the last
// heartbeat before the pause, and that all other bytes arrive when they are read. Heartbeats are due every 100 ms
// (heartbeatIntervalMs), and one that is more than 50 ms (pauseThresholdMs) late shows a pause. Pauses that are at most
// backlogMs apart count as one.
func TestPauseDetector(t *testing.T) {
	clock := pausedClock{NewManual(1000)}
	detector := StartPauseDetector(clock)
	wantEarliestArrival := func(want float64, when string) {
		t.Helper()
		if got := detector.EarliestArrival(clock.NowMs()); got != want {
			t.Errorf("%s: earliest arrival %v, want %v", when, got, want)
		}
	}
	clock.Advance(300)
	clock.Advance(60)
	wantEarliestArrival(1360, "while the process runs")
	clock.pause(2000) // the last heartbeat before the pause is at 1300
	wantEarliestArrival(1300, "before the first heartbeat after the pause")
	clock.Advance(0)
	clock.Advance(200)
	wantEarliestArrival(1300, "during the backlog")
	clock.Advance(100)
	wantEarliestArrival(3660, "after the backlog")
	clock.pause(149)
	wantEarliestArrival(3809, "after a pause below the threshold")
	clock.Advance(100)
	clock.pause(400)
	clock.Advance(100)
	clock.pause(400)
	wantEarliestArrival(3909, "after two pauses close to each other")
	clock.Advance(1000)
	now := clock.NowMs()
	detector.RecordStall(now-40, now)
	wantEarliestArrival(now, "after a stall below the threshold")
	detector.RecordStall(now-90, now)
	wantEarliestArrival(now-90, "after a stall")
	detector.RecordStall(now-300, now-200)
	wantEarliestArrival(now-300, "after an earlier stall close to it")
	detector.Close()
	clock.Advance(1000)
	if len(clock.timers) != 0 {
		t.Errorf("%d timers are pending after Close, want none", len(clock.timers))
	}
	var none *PauseDetector
	if none.Close(); none.EarliestArrival(7) != 7 {
		t.Error("EarliestArrival(7) of a nil detector is not 7")
	}
}
