package clock

import "sync"

const (
	// heartbeatIntervalMs is the interval at which a PauseDetector reads the clock.
	heartbeatIntervalMs = 100
	// pauseThresholdMs is the delay of a heartbeat from which on it shows a pause.
	pauseThresholdMs = 50
	// backlogMs is how long after a pause the bytes that arrived during it may still be unread.
	backlogMs = 250
)

// PauseDetector detects pauses of the process: it was stopped by a signal or had no processor. Bytes that are read after
// a pause arrived at an unknown time during it, and their sender has been waiting since. The detector's heartbeat runs on
// the clock's timers. It is safe for concurrent use; a nil *PauseDetector reports no pause.
type PauseDetector struct {
	clock Clock

	mu              sync.Mutex
	lastHeartbeatMs float64
	pauseStartMs    float64 // of the last pause
	pauseEndMs      float64 // of the last pause; 0 before the first
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

// RecordStall reports a span in which the process ran but could not accept input. Spans below the threshold of a pause
// are ignored.
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

// EarliestArrival returns the earliest time at which bytes that are read at nowMs may have arrived: nowMs, or the start of
// the pause whose backlog they may belong to.
func (d *PauseDetector) EarliestArrival(nowMs float64) float64 {
	if d == nil {
		return nowMs
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLate(nowMs) { // the heartbeat after the pause has not run yet
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

// isLate reports whether the process was paused between the last heartbeat and nowMs. The caller holds d.mu.
func (d *PauseDetector) isLate(nowMs float64) bool {
	return nowMs-d.lastHeartbeatMs > heartbeatIntervalMs+pauseThresholdMs
}

// observe records that the process runs at nowMs, and the pause before that if there was one. The caller holds d.mu.
func (d *PauseDetector) observe(nowMs float64) {
	if d.isLate(nowMs) {
		// A pause that follows another within backlogMs extends it: the process has hardly run in between.
		if d.pauseEndMs == 0 || d.lastHeartbeatMs-d.pauseEndMs > backlogMs {
			d.pauseStartMs = d.lastHeartbeatMs
		}
		d.pauseEndMs = nowMs
	}
	d.lastHeartbeatMs = nowMs
}
