package eventloop

import (
	"context"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// stepper records when it was stepped and asks to be woken at a time.
type stepper struct {
	at    []time.Duration
	wake  time.Duration
	block chan struct{}
}

func (s *stepper) Step(now time.Duration, _ []scheduler.Event) []scheduler.Action {
	if s.block != nil {
		<-s.block
	}
	s.at = append(s.at, now)
	if s.wake == 0 {
		return nil
	}
	at := s.wake
	s.wake = 0
	return []scheduler.Action{scheduler.SetTimer{At: at}}
}

// woken is a running loop whose module was stepped at 100 ms and asks to be woken at 150; end ends it.
func woken() (now *clock.Manual, s *stepper, l *Loop, end func()) {
	now, s = clock.NewManual(100), &stepper{wake: 150 * time.Millisecond}
	l = New(Options{Scheduler: s, Clock: now, Metrics: metrics.New()})
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	l.UpdateEndpoints(lifecycle.EndpointUpdate{})
	l.Sync()
	return now, s, l, func() { cancel(); <-l.done }
}

// The module is woken at the time it asked for, by the one clock.
func TestWake(t *testing.T) {
	now, s, l, end := woken()
	now.Advance(49)
	l.Sync()
	now.Advance(1)
	l.Sync()
	end()
	if len(s.at) != 2 || s.at[1] != 150*time.Millisecond || !l.Ready() {
		t.Errorf("stepped at %v, ready %v", s.at, l.Ready())
	}
	if l.Submit(&lifecycle.Request{}) {
		t.Error("an ended loop took a request")
	}
}

// A wake that comes while what came before it is handled belongs to the same step, and is not too early for it.
func TestWakeDuringAStep(t *testing.T) {
	now, s, l, end := woken()
	l.Post(func(float64) { now.Advance(70) }) // the loop has read the clock, and the wake falls due now
	l.Sync()
	end()
	if len(s.at) != 2 || s.at[1] != 170*time.Millisecond {
		t.Errorf("stepped at %v, want the last at 170 ms", s.at)
	}
}

// Requests leave the last quarter of the inbox to the ends of attempts.
func TestFullInboxTurnsRequestsAwayOnly(t *testing.T) {
	s := &stepper{block: make(chan struct{})}
	l := New(Options{Scheduler: s, Clock: clock.NewManual(0), Metrics: metrics.New()})
	taken := 0
	for l.Submit(&lifecycle.Request{Respond: func(lifecycle.Response) {}}) {
		taken++
	}
	if taken != inboxSize*3/4+1 {
		t.Errorf("%d requests fitted", taken)
	}
	for range inboxSize / 4 / 2 {
		l.Complete(lifecycle.Attempt{Request: &lifecycle.Request{}}, lifecycle.AttemptResult{}) // would block if there were no room
	}
	close(s.block)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	l.Sync()
	if !l.Submit(&lifecycle.Request{Respond: func(lifecycle.Response) {}}) {
		t.Error("no room once it is worked off")
	}
}
