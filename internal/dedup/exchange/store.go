package exchange

import (
	"container/list"
	"math"

	"gaugerelay/internal/timerwheel"
)

const (
	wheelTickMs     = 4   // resolution of the timer wheel
	minRetryAfterMs = 100 // shortest delay before a retry that a rejected device is given
)

// Store holds all exchanges. It is not safe for concurrent use: one goroutine must call all its methods.
type Store struct {
	settings Settings

	started      bool
	startedMs    float64 // time of the first step
	nowMs        float64 // time of the current step; never decreases
	shuttingDown bool
	// latestEvictedActivityMs is the latest known creation or attempt time of the evicted writes that may have been executed or
	// whose failure was reported. An exchange whose first transmission was sent before that time may have been evicted although
	// its device can still send transmissions.
	latestEvictedActivityMs float64

	actions []Action // actions of the current step

	exchanges map[ID]*storedExchange
	lastID    ID
	// transmissions holds the exchanges of the transmissions that wait for a response or whose response is being written.
	transmissions map[TransmissionID]ID

	devices     map[string]*trackedDevice
	idleDevices list.List // devices without exchanges, least recently seen first

	wheel     *timerwheel.Wheel[*storedExchange]
	timerAtMs float64 // time at which the timer of the latest SetTimer action fires; 0 if no timer is set

	// The eviction lists. Each exchange is in at most one of them.
	endedReads  list.List // ended reads, oldest first
	openUploads list.List // uploads in stateReceiving, sorted by the time of their last block, oldest first
	endedWrites list.List // writes that were not executed or whose deduplication window has ended, oldest first

	stats Stats
}

// New returns an empty store. It returns an error that wraps ErrOutOfRange for invalid settings.
func New(settings Settings) (*Store, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Store{
		settings:      settings,
		exchanges:     map[ID]*storedExchange{},
		transmissions: map[TransmissionID]ID{},
		devices:       map[string]*trackedDevice{},
	}, nil
}

// Stats returns the statistics after the latest step.
func (s *Store) Stats() Stats {
	stats := s.stats
	stats.Exchanges, stats.Devices = len(s.exchanges), len(s.devices)
	return stats
}

// Step handles events that happened at nowMs and returns the actions that the owner must perform, in order. If nowMs is less
// than at an earlier step, the later of the two times is used.
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

// start initializes the time and the timer wheel at the first step.
func (s *Store) start(nowMs float64) {
	s.started = true
	s.startedMs, s.nowMs, s.latestEvictedActivityMs = nowMs, nowMs, math.Inf(-1)
	s.wheel = timerwheel.New[*storedExchange](nowMs, wheelTickMs)
}

// handle applies one event.
func (s *Store) handle(event Event) {
	switch event := event.(type) {
	case TransmissionReceived:
		s.stats.Transmissions++
		s.onTransmission(&event)
	case BlockReceived:
		s.stats.Transmissions++
		s.onBlock(&event)
	case BodyAssembled:
		s.onBodyAssembled(&event.TransmissionReceived)
	case TransmissionCanceled:
		s.onTransmissionCanceled(event.Transmission)
	case ResponseWritten:
		s.onResponseWritten(&event)
	case LinkMeasured:
		s.onLinkMeasured(&event)
	case ExecutionEnded:
		s.onExecutionEnded(&event)
	case ShutdownStarted:
		s.shuttingDown = true
	case TimerFired:
		s.timerAtMs = 0
	}
}

// emit adds an action to those of the current step.
func (s *Store) emit(action Action) { s.actions = append(s.actions, action) }

// respond emits the only response to a transmission. A transmission that is served stays in the store until the response
// is written or the connection is closed.
func (s *Store) respond(id TransmissionID, response Respond) {
	response.Transmission = id
	if response.Kind != ResponseServed {
		delete(s.transmissions, id)
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

// respondBusy rejects a transmission because a limit of the store is reached or the gateway is shutting down. It must not be
// called if a server may have executed the request.
func (s *Store) respondBusy(id TransmissionID, device *trackedDevice) {
	s.respond(id, Respond{Kind: ResponseBusy, RetryAfterMs: s.retryAfterMs(), Advice: s.advice(device)})
}

// reject responds to a transmission that is not executed. The response is of the given kind, which tells the device that the
// request was not executed. If an earlier transmission may have been executed, the response is ResponseFailed instead.
func (s *Store) reject(id TransmissionID, device *trackedDevice, kind ResponseKind, mayHaveExecuted bool) {
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

// retryAfterMs returns the delay before a retry of a rejected request: the time until the next timer expires, which may free
// capacity. A gateway that is shutting down frees none for new exchanges, so it returns the maximum.
func (s *Store) retryAfterMs() float64 {
	expiryMs, ok := s.wheel.NextExpiry()
	if !ok || s.shuttingDown {
		return s.settings.MaxRetryAfterMs
	}
	return min(max(expiryMs-s.nowMs, minRetryAfterMs), s.settings.MaxRetryAfterMs)
}

// advice returns the advice for a device's link. A nil device stands for one without measurements.
func (s *Store) advice(device *trackedDevice) LinkAdvice {
	if device == nil {
		return (&LinkEstimator{}).Advise(&s.settings.Link)
	}
	return device.link.Advise(&s.settings.Link)
}
