package lifecycle_test

import (
	"testing"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// timerScheduler sets one timer, and records whether its time was reached when the timer fired. Like the real scheduler, it does
// not set another one if the timer fires too early.
type timerScheduler struct {
	at      time.Duration
	reached bool
}

func (s *timerScheduler) Step(now time.Duration, events []scheduler.Event) []scheduler.Action {
	if _, ok := events[0].(scheduler.TimerFired); ok {
		s.reached = now >= s.at
		return nil
	}
	return []scheduler.Action{scheduler.SetTimer{At: s.at}}
}

// timerEnvironment records the time of the last timer that was set.
type timerEnvironment struct {
	fakeEnvironment
	timerMs float64
}

func (e *timerEnvironment) SetTimer(atMs float64) { e.timerMs = atMs }

// A time since the epoch is rounded by some hundred nanoseconds when it is converted to float64 milliseconds. If a timer fires at
// the rounded time, the scheduler must get at least the time that it asked for: it would otherwise wait without a timer. If a
// timer fires even earlier, the scheduler must get the actual time.
func TestTimerIsNotEarlyByRounding(t *testing.T) {
	roundedDown := 0
	for i := range time.Duration(2000) {
		fakeScheduler, environment := &timerScheduler{at: 1_796_000_000_123_456_789 + 7*i}, &timerEnvironment{}
		manager := lifecycle.New(lifecycle.Options{Scheduler: fakeScheduler, Environment: environment})
		manager.UpdateEndpoints(lifecycle.EndpointUpdate{})
		manager.Step(1.796e12)
		if time.Duration(environment.timerMs*1e6) < fakeScheduler.at {
			roundedDown++
		}
		onTime := i%2 == 0
		manager.TimerFired()
		if onTime {
			manager.Step(environment.timerMs)
		} else {
			manager.Step(environment.timerMs - 0.01)
		}
		if fakeScheduler.reached != onTime {
			t.Fatalf("timer for %d ns, set for %v ms: reached is %v, want the opposite",
				fakeScheduler.at, environment.timerMs, fakeScheduler.reached)
		}
	}
	if roundedDown == 0 {
		t.Error("no time was rounded down, so the test covers nothing")
	}
}
