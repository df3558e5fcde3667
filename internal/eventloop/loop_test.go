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

// timerScheduler records the times of its steps, and sets one timer.
type timerScheduler struct {
	stepTimes []time.Duration
	timerAt   time.Duration // time of the timer that the next step sets; 0 means none
	blocked   chan struct{} // steps block until this channel is closed; nil means that they do not block
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

// runningLoop is a loop that has stepped at 100 ms, and whose scheduler has set a timer for 150 ms.
type runningLoop struct {
	*Loop
	clock     *clock.Manual
	scheduler *timerScheduler
	cancel    context.CancelFunc
}

// startLoop starts a loop. The caller must call end.
func startLoop(t *testing.T) *runningLoop {
	t.Helper()
	l := &runningLoop{clock: clock.NewManual(100), scheduler: &timerScheduler{timerAt: 150 * time.Millisecond}}
	l.Loop = New(Options{Scheduler: l.scheduler, Clock: l.clock, Metrics: metrics.New()})
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	go l.Run(ctx)
	l.UpdateEndpoints(lifecycle.EndpointUpdate{})
	l.Sync()
	return l
}

// end stops the loop and waits until it has ended.
func (l *runningLoop) end() {
	l.cancel()
	<-l.done
}

// The scheduler's timer must fire at the requested time on the loop's clock, and not before.
func TestTimerFires(t *testing.T) {
	l := startLoop(t)
	l.clock.Advance(49)
	l.Sync()
	l.clock.Advance(1)
	l.Sync()
	l.end()
	if times := l.scheduler.stepTimes; len(times) != 2 || times[1] != 150*time.Millisecond || !l.Ready() {
		t.Errorf("the scheduler stepped at %v, ready is %v, want a second step at 150 ms and a ready loop", times, l.Ready())
	}
	if l.Submit(&lifecycle.Request{}) {
		t.Error("an ended loop accepted a request")
	}
}

// A timer that fires while the tasks of a step are handled is part of that step. The time of the step must not be before the
// time of the timer, because the scheduler would then regard the timer as too early.
func TestTimerFiresDuringStep(t *testing.T) {
	l := startLoop(t)
	l.Post(func(float64) { l.clock.Advance(70) }) // the timer fires after the loop has read the clock for this step
	l.Sync()
	l.end()
	if times := l.scheduler.stepTimes; len(times) != 2 || times[1] != 170*time.Millisecond {
		t.Errorf("the scheduler stepped at %v, want a second and last step at 170 ms", times)
	}
}

// Requests must leave the last quarter of the inbox to other tasks, such as the ends of attempts. If requests filled the inbox,
// the goroutines that report the ends of attempts would have to wait for room.
func TestFullInboxRejectsRequestsOnly(t *testing.T) {
	fakeScheduler := &timerScheduler{blocked: make(chan struct{})}
	l := New(Options{Scheduler: fakeScheduler, Clock: clock.NewManual(0), Metrics: metrics.New()})
	accepted := 0
	for l.Submit(&lifecycle.Request{Respond: func(lifecycle.Response) {}}) {
		accepted++
	}
	if accepted != inboxSize*3/4+1 {
		t.Errorf("%d requests were accepted, want three quarters of the inbox and one more", accepted)
	}
	for range inboxSize / 4 / 2 {
		// Complete would block if the inbox had no room.
		l.Complete(lifecycle.Attempt{Request: &lifecycle.Request{}}, lifecycle.AttemptResult{})
	}
	close(fakeScheduler.blocked)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	l.Sync()
	if !l.Submit(&lifecycle.Request{Respond: func(lifecycle.Response) {}}) {
		t.Error("a request was rejected after the loop had handled the inbox")
	}
}
