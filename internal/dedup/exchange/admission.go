package exchange

import "gaugerelay/internal/scheduler"

// dedupWindowMarginMs is how long before the end of the deduplication window a repeated execution must end. An attempt that is
// sent right before the end of the execution then still reaches its server within the window.
const dedupWindowMarginMs = 20

// onTransmission handles a transmission with its entire body.
func (s *Store) onTransmission(received *TransmissionReceived) {
	device := s.findOrAddDevice(received.Device)
	if device == nil {
		s.reject(received.Transmission, nil, ResponseBusy,
			s.earlierMayHaveExecuted(received.Class.Idempotency, &received.ResendHistory))
		return
	}
	device.link.Observe(received.Link)
	exchange := device.exchanges[received.Key]
	if exchange != nil && exchange.state == stateReceiving { // the device now sends the body in one piece, so its blocks are dropped
		s.forget(exchange)
		exchange = nil
	}
	switch {
	case exchange == nil:
		s.beginExchange(device, received)
	case !exchange.matches(received):
		s.respond(received.Transmission, Respond{Kind: ResponseConflict, Advice: s.advice(device)})
	default:
		s.join(exchange, received)
	}
}

// onBodyAssembled handles an upload whose body is complete, in the same way as a transmission with an entire body.
func (s *Store) onBodyAssembled(received *TransmissionReceived) {
	device := s.devices[received.Device]
	var exchange *storedExchange
	if device != nil {
		exchange = device.exchanges[received.Key]
	}
	if exchange == nil || exchange.upload == nil || !exchange.upload.complete {
		s.respond(received.Transmission, Respond{Kind: ResponseIncomplete, Advice: s.advice(device)})
		return
	}
	device.link.Observe(received.Link)
	switch {
	case exchange.state == stateReceiving:
		s.beginUploaded(exchange, received)
	case !exchange.matches(received):
		s.respond(received.Transmission, Respond{Kind: ResponseConflict, Advice: s.advice(device)})
		s.dropUpload(exchange) // the upload differs from the content of the exchange, so no execution may use its bytes
	default:
		s.join(exchange, received)
	}
}

// matches reports whether a transmission has the content of the exchange.
func (e *storedExchange) matches(received *TransmissionReceived) bool {
	return e.digest == received.Digest && e.class.Idempotency == received.Class.Idempotency
}

// earlierMayHaveExecuted reports whether an earlier transmission of an exchange that is not in the store may have been
// executed. None was executed if the device sent all of them to this gateway since its start, less than RetentionMs ago, and
// after latestEvictedActivityMs: if one of them had arrived completely, the exchange would still be in the store. For an
// idempotent request the result is false, because it is safe to execute such a request again.
func (s *Store) earlierMayHaveExecuted(idempotency scheduler.Idempotency, history *ResendHistory) bool {
	if !history.IsRetry || idempotency == scheduler.Idempotent {
		return false
	}
	firstSentMs := s.nowMs - history.AgeMs
	wouldBeKnown := history.SameGateway && history.AgeMs >= 0 && history.AgeMs < s.settings.RetentionMs &&
		firstSentMs > s.startedMs && firstSentMs > s.latestEvictedActivityMs
	return !wouldBeKnown
}

// safeRepeatMs returns the longest safe duration of an execution whose request may already have been executed through another
// gateway. The execution must end before the deduplication window ends, and it must be certain to reach the group of servers
// that drop it as a repeat (Class.DedupScope). An execution can be restricted to a shard, but not to a zone. The result is
// negative if there is no safe duration.
func safeRepeatMs(received *TransmissionReceived) float64 {
	class := &received.Class
	if class.Idempotency != scheduler.IdempotentWithKey || !(received.AgeMs >= 0) || class.DedupScope == scheduler.DedupZone {
		return -1
	}
	if received.Shard < 0 && class.DedupScope != scheduler.DedupAll {
		return -1
	}
	return class.DedupWindowMs - received.AgeMs - dedupWindowMarginMs
}

// beginExchange executes a request whose exchange is not in the store, or rejects it.
func (s *Store) beginExchange(device *trackedDevice, received *TransmissionReceived) {
	mayHaveExecuted := s.earlierMayHaveExecuted(received.Class.Idempotency, &received.ResendHistory)
	if s.shuttingDown {
		s.reject(received.Transmission, device, ResponseBusy, mayHaveExecuted)
		return
	}
	budgetMs := device.executionBudgetMs(received.RemainingMs)
	if mayHaveExecuted {
		budgetMs = min(budgetMs, safeRepeatMs(received))
	}
	if s.tooLate(budgetMs) {
		s.reject(received.Transmission, device, ResponseTooLate, mayHaveExecuted)
		if mayHaveExecuted {
			s.rememberNewFailure(device, received)
		}
		return
	}
	reserved := s.reservedResponseBytes(received.Class)
	added := s.addExchange(device, received.Key, received.BodyBytes+reserved)
	if added == nil {
		s.reject(received.Transmission, device, ResponseBusy, mayHaveExecuted)
		return
	}
	added.deadlineMs = s.nowMs + device.link.remainingOnArrivalMs(received.RemainingMs)
	added.clientDelayMs = received.ClientDelayMs
	s.startFirstExecution(added, received, budgetMs, mayHaveExecuted)
}

// beginUploaded executes an exchange whose upload is complete, or rejects it.
func (s *Store) beginUploaded(exchange *storedExchange, received *TransmissionReceived) {
	device := exchange.device
	mayHaveExecuted := s.earlierMayHaveExecuted(received.Class.Idempotency, &received.ResendHistory)
	untilDeadlineMs := exchange.deadlineMs - s.nowMs - device.link.expectedRoundTripMs(received.RemainingMs)/2
	budgetMs := min(device.executionBudgetMs(received.RemainingMs), untilDeadlineMs)
	if mayHaveExecuted {
		budgetMs = min(budgetMs, safeRepeatMs(received))
	}
	if s.tooLate(budgetMs) {
		s.reject(received.Transmission, device, ResponseTooLate, mayHaveExecuted)
		if mayHaveExecuted {
			s.rememberFailure(exchange, received)
		} else {
			s.forget(exchange)
		}
		return
	}
	s.protectFromEviction(exchange)
	if !s.ensureCapacity(0, s.reservedResponseBytes(received.Class)) {
		s.reject(received.Transmission, device, ResponseBusy, mayHaveExecuted)
		s.updateEvictable(exchange) // the blocks are kept, because the device may send the last one again
		return
	}
	exchange.clientDelayMs = received.ClientDelayMs + (s.nowMs - exchange.createdMs)
	s.startFirstExecution(exchange, received, budgetMs, mayHaveExecuted)
}

// tooLate reports whether the budget is too short for an execution. A budget of NaN is too short.
func (s *Store) tooLate(budgetMs float64) bool { return !(budgetMs >= s.settings.MinExecutionMs) }

// rememberNewFailure adds an exchange in the failed state, if there is capacity for it.
func (s *Store) rememberNewFailure(device *trackedDevice, received *TransmissionReceived) {
	added := s.addExchange(device, received.Key, 0)
	if added == nil {
		return
	}
	added.deadlineMs = s.nowMs + device.link.remainingOnArrivalMs(received.RemainingMs)
	s.rememberFailure(added, received)
}

// rememberFailure records that a device was informed that its exchange failed, so that a delayed earlier transmission is neither
// executed nor gets another response.
func (s *Store) rememberFailure(exchange *storedExchange, received *TransmissionReceived) {
	exchange.class, exchange.digest, exchange.failureReported = received.Class, received.Digest, true
	s.setState(exchange, stateFailed)
	s.releaseBody(exchange)
	s.armTimer(exchange)
}

// join handles a transmission of an exchange whose execution has started or ended.
func (s *Store) join(exchange *storedExchange, received *TransmissionReceived) {
	device := exchange.device
	exchange.lastActivityMs = s.nowMs
	if exchange.deadlineMs > s.nowMs {
		// A transmission that is delayed on the link yields a deadline that is too late, so the earliest deadline is used.
		exchange.deadlineMs = min(exchange.deadlineMs, s.nowMs+device.link.remainingOnArrivalMs(received.RemainingMs))
	}
	switch exchange.state {
	case stateRunning:
		s.stats.Joined++
		s.addWaiting(exchange, received)
	case stateResponded, stateDelivered:
		s.stats.ServedFromCache++
		s.transmissions[received.Transmission] = exchange.id
		s.respond(received.Transmission, Respond{Kind: ResponseServed, ID: exchange.id, Cached: true, Advice: s.advice(device)})
	case stateFailed:
		s.joinFailed(exchange, received)
	}
}

// joinFailed executes a failed exchange again if that is safe and the gateway is not shutting down. Otherwise the transmission
// fails, or is rejected if only capacity is missing and no server can have executed the request.
func (s *Store) joinFailed(exchange *storedExchange, received *TransmissionReceived) {
	device := exchange.device
	budgetMs, ok := s.repeatBudgetMs(exchange, device.executionBudgetMs(received.RemainingMs))
	if ok && !s.shuttingDown {
		s.protectFromEviction(exchange)
		if s.ensureCapacity(0, s.additionalRepeatBytes(exchange, received)) {
			s.executeAgain(exchange, received, budgetMs)
			return
		}
		s.updateEvictable(exchange)
		if !exchange.mayHaveExecuted {
			s.respondBusy(received.Transmission, device)
			return
		}
	}
	if exchange.outcomeUnknown() {
		s.stats.UnknownOutcomeFailed++
		exchange.failureReported = true
		s.releaseBody(exchange)
	}
	s.respond(received.Transmission, Respond{Kind: ResponseFailed, Advice: s.advice(device)})
}
