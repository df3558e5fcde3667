package clock

import "sync"

const (
	// beatMs is how often a HoldUps looks at the clock.
	beatMs = 100
	// lateMs is how much later than that a look shows that the process was held up.
	lateMs = 50
	// backlogMs behind a hold-up what has come during it may still be read.
	backlogMs = 250
)

// PauseDetector notices when the process was held up: stopped by a signal, or without a processor. What is read then has come
// at an unknown time during the hold-up, and its client has waited since. It is safe for concurrent use; a nil *HoldUps
// knows of none.
type PauseDetector struct {
	clock Clock

	mu     sync.Mutex
	beat   float64 // the last look
	from   float64 // of the last hold-up
	to     float64
	stop   func()
	closed bool
}

// StartPauseDetector looks at the clock regularly until Close.
func StartPauseDetector(c Clock) *PauseDetector {
	h := &PauseDetector{clock: c, beat: c.NowMs()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop = c.AfterFunc(beatMs, h.look)
	return h
}

// Close ends the looking.
func (h *PauseDetector) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.stop()
}

func (h *PauseDetector) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.note(h.clock.NowMs())
	h.stop = h.clock.AfterFunc(beatMs, h.look)
}

// note takes in the time of a look. h.mu is held.
func (h *PauseDetector) note(now float64) {
	if now-h.beat > beatMs+lateMs {
		if h.to == 0 || h.beat-h.to > backlogMs { // else it goes on: the process has hardly run in between
			h.from = h.beat
		}
		h.to = now
	}
	h.beat = now
}

// RecordStall tells of a span in which what came could not be taken, though the process ran.
func (h *PauseDetector) RecordStall(fromMs, toMs float64) {
	if h == nil || toMs-fromMs < lateMs {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if toMs-h.to <= backlogMs && h.to > 0 {
		fromMs = min(fromMs, h.from)
	}
	h.from, h.to = fromMs, max(h.to, toMs)
}

// EarliestArrival is the earliest time at which what is read now may have come.
func (h *PauseDetector) EarliestArrival(nowMs float64) float64 {
	if h == nil {
		return nowMs
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if nowMs-h.beat > beatMs+lateMs { // the look at the end of a hold-up is still to come
		h.note(nowMs)
	}
	if nowMs-h.to <= backlogMs && h.to > 0 {
		return min(nowMs, h.from)
	}
	return nowMs
}
