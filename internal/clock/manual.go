package clock

import (
	"slices"
	"sync"
)

// Manual is a clock for tests. Only Advance moves it. It is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	nowMs  float64
	timers []*manualTimer // pending timers in the order of their creation
}

// manualTimer is a pending callback of a Manual clock.
type manualTimer struct {
	dueMs    float64
	callback func()
}

// NewManual returns a clock whose current time is nowMs.
func NewManual(nowMs float64) *Manual { return &Manual{nowMs: nowMs} }

// NowMs implements Clock.
func (m *Manual) NowMs() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nowMs
}

// AfterFunc implements Clock. The callback runs in the goroutine that calls Advance, or in a new goroutine if ms is 0 or
// less.
func (m *Manual) AfterFunc(ms float64, f func()) (stop func()) {
	if ms <= 0 {
		go f()
		return func() {}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	timer := &manualTimer{m.nowMs + ms, f}
	m.timers = append(m.timers, timer)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.remove(timer)
	}
}

// Advance moves the clock forward by ms. It runs the callbacks that become due in the order of their times, and sets the
// clock to the time of each callback before the callback runs. Callbacks may use the clock.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	endMs := m.nowMs + ms
	for timer := m.nextDue(endMs); timer != nil; timer = m.nextDue(endMs) {
		m.nowMs = max(m.nowMs, timer.dueMs)
		m.remove(timer)
		m.mu.Unlock()
		timer.callback()
		m.mu.Lock()
	}
	m.nowMs = endMs
	m.mu.Unlock()
}

// nextDue returns the earliest timer that is due by endMs, or nil. The caller holds m.mu.
func (m *Manual) nextDue(endMs float64) *manualTimer {
	var next *manualTimer
	for _, timer := range m.timers {
		if timer.dueMs <= endMs && (next == nil || timer.dueMs < next.dueMs) {
			next = timer
		}
	}
	return next
}

// remove removes a timer if it is pending. The caller holds m.mu.
func (m *Manual) remove(timer *manualTimer) {
	m.timers = slices.DeleteFunc(m.timers, func(other *manualTimer) bool { return other == timer })
}
