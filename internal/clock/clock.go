// Package clock is the program's one source of time: milliseconds as a float64, counted from the Unix epoch.
package clock

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Clock tells the time and calls back later.
type Clock interface {
	// NowMs never runs backwards.
	NowMs() float64
	// AfterFunc calls f once, in its own goroutine or the test's, when ms have passed. stop prevents that.
	AfterFunc(ms float64, f func()) (stop func())
}

// Duration turns milliseconds into a time.Duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// Ms turns a time.Duration into milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / 1e6 }

// WithDeadline returns a context that ends with context.DeadlineExceeded as its cause when the clock shows ms.
func WithDeadline(c Clock, ms float64) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	stop := c.AfterFunc(ms-c.NowMs(), func() { cancel(context.DeadlineExceeded) })
	context.AfterFunc(ctx, stop)
	return ctx, cancel
}

// System is the machine's clock: the wall clock at the start, advanced by the monotonic one, so that a
// step of the wall clock moves no deadline.
type System struct {
	start   time.Time
	startMs float64
}

// NewSystem returns the machine's clock.
func NewSystem() *System {
	now := time.Now()
	return &System{start: now, startMs: float64(now.UnixMicro()) / 1e3}
}

// NewSystemWithOffset returns the machine's clock as it is where the wall clock is off by a time at the start. For tests.
func NewSystemWithOffset(off time.Duration) *System {
	s := NewSystem()
	s.startMs += Ms(off)
	return s
}

// NowMs implements Clock.
func (s *System) NowMs() float64 { return s.startMs + Ms(time.Since(s.start)) }

// AfterFunc implements Clock.
func (s *System) AfterFunc(ms float64, f func()) func() {
	t := time.AfterFunc(Duration(max(0, ms)), f)
	return func() { t.Stop() }
}

// Manual is a clock that stands still until a test moves it.
type Manual struct {
	mu     sync.Mutex
	now    float64
	timers []*timer
}

type timer struct {
	at float64
	f  func()
}

// NewManual returns a clock that shows ms.
func NewManual(ms float64) *Manual { return &Manual{now: ms} }

// NowMs implements Clock.
func (m *Manual) NowMs() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// AfterFunc implements Clock.
func (m *Manual) AfterFunc(ms float64, f func()) func() {
	if ms <= 0 { // already due
		go f()
		return func() {}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &timer{m.now + ms, f}
	m.timers = append(m.timers, t)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.timers = slices.DeleteFunc(m.timers, func(x *timer) bool { return x == t })
	}
}

// Advance moves the clock and runs what falls due on the way, in order.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	end := m.now + ms
	for {
		var next *timer
		for _, t := range m.timers {
			if t.at <= end && (next == nil || t.at < next.at) {
				next = t
			}
		}
		if next == nil {
			break
		}
		m.now = max(m.now, next.at)
		m.timers = slices.DeleteFunc(m.timers, func(x *timer) bool { return x == next })
		m.mu.Unlock()
		next.f()
		m.mu.Lock()
	}
	m.now = end
	m.mu.Unlock()
}
