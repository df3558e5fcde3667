package exchange

import (
	"container/list"
	"math"

	"gaugerelay/internal/timerwheel"
)

const (
	tickMs          = 4   // of the timer wheel
	minRetryAfterMs = 100 // the shortest time after which a rejected device is asked to retry
)

// Store is the state of all exchanges. It is not safe for concurrent use: one goroutine calls all its methods.
type Store struct {
	settings Settings

	started      bool
	startedMs    float64 // time of the first step
	nowMs        float64 // time of the present step; it never goes back
	shuttingDown bool
	// evictedUntilMs is the latest time at which an evicted exchange that may have executed was active. An exchange that
	// began before it may have been forgotten while its device can still send copies.
	evictedUntilMs float64

	actions []Action // of the present step

	exchanges map[ID]*storedExchange
	lastID    ID
	copies    map[CopyID]ID // copies that wait for a response or are being written one

	devices     map[string]*trackedDevice
	idleDevices list.List // devices without exchanges, the least recently seen first

	wheel     *timerwheel.Wheel[*storedExchange]
	timerAtMs float64 // when the owner's timer fires; 0: none is set

	// Exchanges that may be evicted; each is in at most one of these lists.
	endedReads  list.List // the oldest first
	openUploads list.List // the longest without a block first
	endedWrites list.List // those whose deduplication window is over, the oldest first

	stats Stats
}

// New returns an empty store. It returns an error that wraps ErrOutOfRange for invalid settings.
func New(settings Settings) (*Store, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Store{
		settings:  settings,
		exchanges: map[ID]*storedExchange{},
		copies:    map[CopyID]ID{},
		devices:   map[string]*trackedDevice{},
	}, nil
}

// Stats returns the counts after the latest step.
func (s *Store) Stats() Stats {
	stats := s.stats
	stats.Exchanges, stats.Devices = len(s.exchanges), len(s.devices)
	return stats
}

// Step handles events that happened at nowMs and returns what the owner must do, in order. Time that goes back counts
// as standing still.
func (s *Store) Step(nowMs float64, events ...Event) []Action {
	s.actions = nil
	if !s.started {
		s.start(nowMs)
	}
	s.nowMs = max(s.nowMs, nowMs)
	s.wheel.Advance(s.nowMs, func(timer *timerwheel.Timer[*storedExchange]) { s.onExpiry(timer.Value) })
	for _, event := range events {
		s.handle(event)
	}
	if expiryMs, ok := s.wheel.NextExpiry(); ok && (s.timerAtMs == 0 || expiryMs < s.timerAtMs) {
		s.timerAtMs = expiryMs
		s.emit(SetTimer{expiryMs})
	}
	return s.actions
}

// start sets the clock at the first step.
func (s *Store) start(nowMs float64) {
	s.started = true
	s.startedMs, s.nowMs, s.evictedUntilMs = nowMs, nowMs, math.Inf(-1)
	s.wheel = timerwheel.New[*storedExchange](nowMs, tickMs)
}

// handle updates the state by one event.
func (s *Store) handle(event Event) {
	switch event := event.(type) {
	case CopyReceived:
		s.stats.Copies++
		s.onCopy(&event)
	case BlockReceived:
		s.stats.Copies++
		s.onBlock(&event)
	case BodyAssembled:
		s.onBodyAssembled(&event.CopyReceived)
	case CopyCanceled:
		s.onCopyCanceled(event.Copy)
	case ResponseWritten:
		s.onResponseWritten(&event)
	case LinkMeasured:
		s.onLinkMeasured(&event)
	case RunEnded:
		s.onRunEnded(&event)
	case ShutdownStarted:
		s.shuttingDown = true
	case TimerFired:
		s.timerAtMs = 0
	}
}

// emit records an action of the present step.
func (s *Store) emit(action Action) { s.actions = append(s.actions, action) }

// respond sends the one response to a copy. A copy that is served is remembered until the response is written or its
// connection is closed.
func (s *Store) respond(id CopyID, response Respond) {
	response.Copy = id
	if response.Kind != ResponseServed {
		delete(s.copies, id)
	}
	switch response.Kind {
	case ResponseConflict:
		s.stats.Conflicts++
	case ResponseBusy:
		s.stats.Busy++
	case ResponseTooLate:
		s.stats.TooLate++
	}
	s.emit(response)
}

// respondBusy rejects a copy because of the store's limits. Nothing of its exchange has executed.
func (s *Store) respondBusy(id CopyID, device *trackedDevice) {
	s.respond(id, Respond{Kind: ResponseBusy, RetryAfterMs: s.retryAfterMs(), Advice: s.advice(device)})
}

// reject responds to a copy that is not run with an outcome that promises that nothing executed. Where an earlier copy
// may have executed, nobody can promise that, and the copy fails.
func (s *Store) reject(id CopyID, device *trackedDevice, kind ResponseKind, mayHaveExecuted bool) {
	switch {
	case mayHaveExecuted:
		s.stats.UnknownOutcomeFailed++
		s.respond(id, Respond{Kind: ResponseFailed, Advice: s.advice(device)})
	case kind == ResponseBusy:
		s.respondBusy(id, device)
	default:
		s.respond(id, Respond{Kind: kind, Advice: s.advice(device)})
	}
}

// retryAfterMs returns after how long there may be capacity: when the next timer expires. A gateway that is shutting
// down will not have any.
func (s *Store) retryAfterMs() float64 {
	expiryMs, ok := s.wheel.NextExpiry()
	if !ok || s.shuttingDown {
		return s.settings.MaxRetryAfterMs
	}
	return min(max(expiryMs-s.nowMs, minRetryAfterMs), s.settings.MaxRetryAfterMs)
}

// advice returns how to use a device's link; nil stands for a device of which nothing is known.
func (s *Store) advice(device *trackedDevice) LinkAdvice {
	if device == nil {
		return (&LinkEstimator{}).Advise(&s.settings.Link)
	}
	return device.link.Advise(&s.settings.Link)
}
