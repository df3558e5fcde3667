package lifecycle_test

import (
	"testing"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// timerScheduler asks for one timer and waits for its time and for nothing else, as the real scheduler does.
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

// timerEnvironment records the time of the last timer.
type timerEnvironment struct {
	fakeEnvironment
	timerMs float64
}

func (e *timerEnvironment) SetTimer(atMs float64) { e.timerMs = atMs }

// A time since the epoch loses some hundred nanoseconds as float64 milliseconds. A timer that fires at the time that was asked
// for is never seen as one that is too early; one that is too early by more is.
func TestTimerIsNotEarlyByRounding(t *testing.T) {
	roundedDown := 0
	for i := range time.Duration(2000) {
		decisions, environment := &timerScheduler{at: 1_796_000_000_123_456_789 + 7*i}, &timerEnvironment{}
		manager := lifecycle.New(lifecycle.Options{Scheduler: decisions, Environment: environment})
		manager.UpdateEndpoints(lifecycle.EndpointUpdate{})
		manager.Step(1.796e12)
		if time.Duration(environment.timerMs*1e6) < decisions.at {
			roundedDown++
		}
		onTime := i%2 == 0
		manager.TimerFired()
		if onTime {
			manager.Step(environment.timerMs)
		} else {
			manager.Step(environment.timerMs - 0.01)
		}
		if decisions.reached != onTime {
			t.Fatalf("asked for %d, at %v ms: reached is %v", decisions.at, environment.timerMs, decisions.reached)
		}
	}
	if roundedDown == 0 {
		t.Error("no time was rounded down")
	}
}
