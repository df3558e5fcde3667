// Package clock is the gateway's source of time, except for deadlines of connections and a few timeouts, which use package time.
// Instants and intervals are float64 milliseconds; instants count from the Unix epoch.
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
	// AfterFunc calls f once after ms milliseconds, or as soon as possible if ms is 0 or less. It does not wait for f, so its
	// caller may hold a lock that f acquires. Calling stop prevents the call of f, unless f has already been called.
	AfterFunc(ms float64, f func()) (stop func())
}

// nanosPerMs is the number of nanoseconds, time.Duration's unit, in a millisecond.
const nanosPerMs = 1e6

// Duration converts milliseconds to a time.Duration, truncated to nanoseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * nanosPerMs) }

// Ms converts a time.Duration to milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / nanosPerMs }

// After returns a channel that is closed after ms milliseconds, or as soon as possible if ms is 0 or less. Calling stop
// releases the timer: a channel that is still open then stays open.
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

// System is the system clock. It reads the wall clock only when it is created, and advances by the monotonic clock, so that
// steps of the wall clock do not move deadlines.
type System struct {
	start   time.Time
	startMs float64
}

// NewSystem returns a system clock that starts at the current wall time.
func NewSystem() *System {
	now := time.Now()
	return &System{start: now, startMs: float64(now.UnixMicro()) / 1e3}
}

// NewSystemWithOffset returns a system clock that starts at the current wall time plus offset, as if the wall clock were
// wrong. It is meant for fault injection.
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
