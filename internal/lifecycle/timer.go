package lifecycle

import (
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// timerRoundingError exceeds what a time loses on its way to a timer and back as float64 milliseconds since the epoch.
const timerRoundingError = time.Microsecond

// setTimer schedules the scheduler's next TimerFired event.
func (m *Manager) setTimer(at time.Duration) {
	m.timerAt = at
	m.environment.SetTimer(clock.Ms(at))
}

// TimerFired reports that the time of Environment.SetTimer has come.
func (m *Manager) TimerFired() {
	m.timerFired = true
	m.pendingEvents = append(m.pendingEvents, scheduler.TimerFired{})
}

// stepTime returns the time of a step. The step of a timer is never before the time that the scheduler asked for: rounding
// can make it a few hundred nanoseconds too early, and the scheduler, which then still waits for that time, would not ask for
// another timer. Its queued requests would wait until something else happens.
func (m *Manager) stepTime(nowMs float64) time.Duration {
	now := clock.Duration(nowMs)
	if m.timerFired && now < m.timerAt && m.timerAt-now < timerRoundingError {
		now = m.timerAt
	}
	m.timerFired = false
	return now
}
