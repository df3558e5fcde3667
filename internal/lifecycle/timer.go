package lifecycle

import (
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// maxTimerRoundingError bounds the rounding error of a timer's time. Environment.SetTimer takes the time as float64 milliseconds
// since the epoch, and the conversion to that form and back rounds it.
const maxTimerRoundingError = time.Microsecond

// setTimer schedules the scheduler's next TimerFired event.
func (m *Manager) setTimer(at time.Duration) {
	m.timerAt = at
	m.environment.SetTimer(clock.Ms(at))
}

// TimerFired records that the timer of Environment.SetTimer has fired.
func (m *Manager) TimerFired() {
	m.timerFired = true
	m.pendingEvents = append(m.pendingEvents, scheduler.TimerFired{})
}

// stepTime returns the time that the scheduler gets in a step. Rounding can make a timer fire a few hundred nanoseconds before
// the time that the scheduler asked for. The scheduler would go on waiting for that time without setting another timer, and its
// queued requests would wait until another event arrives. The step therefore gets the time that the scheduler asked for.
func (m *Manager) stepTime(nowMs float64) time.Duration {
	now := clock.Duration(nowMs)
	if m.timerFired && now < m.timerAt && m.timerAt-now < maxTimerRoundingError {
		now = m.timerAt
	}
	m.timerFired = false
	return now
}
