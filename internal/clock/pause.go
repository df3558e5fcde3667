package clock

import "sync"

const (
	// heartbeatIntervalMs is the interval at which a PauseDetector reads the clock.
	heartbeatIntervalMs = 100
	// pauseThresholdMs is the delay of a heartbeat beyond which the process is taken to have been paused.
	pauseThresholdMs = 50
	// backlogMs is the time after a pause within which bytes that arrived during the pause may still be unread.
	backlogMs = 250
)

// PauseDetector detects pauses of the process, in which it is stopped by a signal or gets no processor time. Bytes that are
// read after a pause may have arrived at any time during it, and their sender has been waiting since then. The detector's
// heartbeat uses the timers of the clock. It is safe for concurrent use. A nil *PauseDetector reports no pauses.
type PauseDetector struct {
	clock Clock

	mu              sync.Mutex
	lastHeartbeatMs float64
	pauseStartMs    float64 // start of the last pause
	pauseEndMs      float64 // end of the last pause; 0 if there was none
	stopHeartbeat   func()
	closed          bool
}

// StartPauseDetector returns a detector that runs until Close.
func StartPauseDetector(clock Clock) *PauseDetector {
	d := &PauseDetector{clock: clock, lastHeartbeatMs: clock.NowMs()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopHeartbeat = clock.AfterFunc(heartbeatIntervalMs, d.heartbeat)
	return d
}

// Close stops the heartbeat. It may be called more than once.
func (d *PauseDetector) Close() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.stopHeartbeat()
}

// RecordStall records a period in which the process ran but did not read input, as if it were a pause. Periods shorter than
// pauseThresholdMs are ignored.
func (d *PauseDetector) RecordStall(startMs, endMs float64) {
	if d == nil || endMs-startMs < pauseThresholdMs {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pauseEndMs > 0 && endMs-d.pauseEndMs <= backlogMs {
		startMs = min(startMs, d.pauseStartMs)
	}
	d.pauseStartMs, d.pauseEndMs = startMs, max(d.pauseEndMs, endMs)
}

// EarliestArrival returns the earliest time at which bytes that are read at nowMs may have arrived. This is the start of the
// last pause if they may have arrived during it, and nowMs otherwise.
func (d *PauseDetector) EarliestArrival(nowMs float64) float64 {
	if d == nil {
		return nowMs
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLate(nowMs) { // the process was paused, and no heartbeat has recorded the pause yet
		d.observe(nowMs)
	}
	if d.pauseEndMs > 0 && nowMs-d.pauseEndMs <= backlogMs {
		return min(nowMs, d.pauseStartMs)
	}
	return nowMs
}

// heartbeat reads the clock and schedules the next heartbeat.
func (d *PauseDetector) heartbeat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.observe(d.clock.NowMs())
	d.stopHeartbeat = d.clock.AfterFunc(heartbeatIntervalMs, d.heartbeat)
}

// isLate reports whether the next heartbeat is so late at nowMs that the process must have been paused. The caller holds
// d.mu.
func (d *PauseDetector) isLate(nowMs float64) bool {
	return nowMs-d.lastHeartbeatMs > heartbeatIntervalMs+pauseThresholdMs
}

// observe records that the process is running at nowMs, and the preceding pause if there was one. The caller holds d.mu.
func (d *PauseDetector) observe(nowMs float64) {
	if d.isLate(nowMs) {
		// A pause that begins within backlogMs after another one counts as part of it, since the process has hardly run in
		// between.
		if d.pauseEndMs == 0 || d.lastHeartbeatMs-d.pauseEndMs > backlogMs {
			d.pauseStartMs = d.lastHeartbeatMs
		}
		d.pauseEndMs = nowMs
	}
	d.lastHeartbeatMs = nowMs
}
