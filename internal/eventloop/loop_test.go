package eventloop

import (
	"context"
	"testing"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

// timerScheduler records the times of its steps, and asks once for a timer.
type timerScheduler struct {
	stepTimes []time.Duration
	timerAt   time.Duration // 0: none
	blocked   chan struct{} // steps wait until it is closed; nil: they do not
}

func (s *timerScheduler) Step(now time.Duration, _ []scheduler.Event) []scheduler.Action {
	if s.blocked != nil {
		<-s.blocked
	}
	s.stepTimes = append(s.stepTimes, now)
	if s.timerAt == 0 {
		return nil
	}
	at := s.timerAt
	s.timerAt = 0
	return []scheduler.Action{scheduler.SetTimer{At: at}}
}

// runningLoop is a loop that has stepped at 100 ms, and whose scheduler has asked for a timer at 150 ms.
type runningLoop struct {
	*Loop
	clock     *clock.Manual
	decisions *timerScheduler
	cancel    context.CancelFunc
}

// startLoop starts a loop. The caller ends it with end.
func startLoop(t *testing.T) *runningLoop {
	t.Helper()
	l := &runningLoop{clock: clock.NewManual(100), decisions: &timerScheduler{timerAt: 150 * time.Millisecond}}
	l.Loop = New(Options{Scheduler: l.decisions, Clock: l.clock, Metrics: metrics.New()})
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	go l.Run(ctx)
	l.UpdateEndpoints(lifecycle.EndpointUpdate{})
	l.Sync()
	return l
}

// end ends the loop and waits for it.
func (l *runningLoop) end() {
	l.cancel()
	<-l.done
}

// The scheduler's timer fires at the time that it asked for, by the loop's clock.
func TestTimerFires(t *testing.T) {
	l := startLoop(t)
	l.clock.Advance(49)
	l.Sync()
	l.clock.Advance(1)
	l.Sync()
	l.end()
	if times := l.decisions.stepTimes; len(times) != 2 || times[1] != 150*time.Millisecond || !l.Ready() {
		t.Errorf("stepped at %v, ready is %v", times, l.Ready())
	}
	if l.Submit(&lifecycle.Request{}) {
		t.Error("an ended loop accepted a request")
	}
}

// A timer that fires while earlier tasks are handled belongs to the same step, and is not too early for it.
func TestTimerFiresDuringStep(t *testing.T) {
	l := startLoop(t)
	l.Post(func(float64) { l.clock.Advance(70) }) // the loop has read the clock, and the timer fires now
	l.Sync()
	l.end()
	if times := l.decisions.stepTimes; len(times) != 2 || times[1] != 170*time.Millisecond {
		t.Errorf("stepped at %v, want the last at 170 ms", times)
	}
}

// Requests leave the last quarter of the inbox to the ends of attempts.
func TestFullInboxRejectsRequestsOnly(t *testing.T) {
	decisions := &timerScheduler{blocked: make(chan struct{})}
	l := New(Options{Scheduler: decisions, Clock: clock.NewManual(0), Metrics: metrics.New()})
	accepted := 0
	for l.Submit(&lifecycle.Request{Respond: func(lifecycle.Response) {}}) {
		accepted++
	}
	if accepted != inboxSize*3/4+1 {
		t.Errorf("%d requests were accepted", accepted)
	}
	for range inboxSize / 4 / 2 {
		// Complete would block if there were no room.
		l.Complete(lifecycle.Attempt{Request: &lifecycle.Request{}}, lifecycle.AttemptResult{})
	}
	close(decisions.blocked)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	l.Sync()
	if !l.Submit(&lifecycle.Request{Respond: func(lifecycle.Response) {}}) {
		t.Error("no room after the inbox was handled")
	}
}
