// Package clock is the gateway's only source of time. Instants and intervals are float64 milliseconds; instants count
// from the Unix epoch.
//
// The package runs no goroutine of its own: callbacks run in goroutines of the runtime's timers, and those of a Manual
// clock in the goroutine that advances it.
package clock

import (
	"context"
	"time"
)

// Clock reads the time and schedules callbacks. Implementations are safe for concurrent use.
type Clock interface {
	// NowMs returns the current time in milliseconds since the Unix epoch. It never runs backwards.
	NowMs() float64
	// AfterFunc calls f once after ms milliseconds, never within the call of AfterFunc itself; a delay of 0 or less is
	// already due. A call of stop prevents the callback if it has not begun.
	AfterFunc(ms float64, f func()) (stop func())
}

// nanosPerMs is the number of nanoseconds, time.Duration's unit, in a millisecond.
const nanosPerMs = 1e6

// Duration converts milliseconds to a time.Duration, truncated to nanoseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * nanosPerMs) }

// Ms converts a time.Duration to milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / nanosPerMs }

// After returns a channel that is closed once ms milliseconds have passed, which for 0 or less is at once. A call of stop
// releases the timer; the channel then stays open unless it has been closed before.
func After(c Clock, ms float64) (elapsed <-chan struct{}, stop func()) {
	channel := make(chan struct{})
	return channel, c.AfterFunc(ms, func() { close(channel) })
}

// WithDeadline returns a context that is canceled with the cause context.DeadlineExceeded when the clock reaches
// deadlineMs. The caller must call cancel to release the timer.
func WithDeadline(c Clock, deadlineMs float64) (ctx context.Context, cancel context.CancelCauseFunc) {
	ctx, cancel = context.WithCancelCause(context.Background())
	stop := c.AfterFunc(deadlineMs-c.NowMs(), func() { cancel(context.DeadlineExceeded) })
	context.AfterFunc(ctx, stop)
	return ctx, cancel
}

// System is the clock of the machine. It reads the wall clock once, at its creation, and advances by the monotonic clock,
// so that a step of the wall clock moves no deadline.
type System struct {
	start   time.Time
	startMs float64
}

// NewSystem returns the clock of the machine.
func NewSystem() *System {
	now := time.Now()
	return &System{start: now, startMs: float64(now.UnixMicro()) / 1e3}
}

// NewSystemWithOffset returns the clock of a machine whose wall clock is wrong by offset when the program starts. It is
// meant for fault injection.
func NewSystemWithOffset(offset time.Duration) *System {
	s := NewSystem()
	s.startMs += Ms(offset)
	return s
}

// NowMs implements Clock.
func (s *System) NowMs() float64 { return s.startMs + Ms(time.Since(s.start)) }

// AfterFunc implements Clock.
func (s *System) AfterFunc(ms float64, f func()) (stop func()) {
	timer := time.AfterFunc(Duration(max(0, ms)), f)
	return func() { timer.Stop() }
}
