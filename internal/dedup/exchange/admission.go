package exchange

import "gaugerelay/internal/scheduler"

// windowMarginMs is how long before the end of its deduplication window a repeat must reach its server.
const windowMarginMs = 20

// onCopy handles a copy with its entire body.
func (s *Store) onCopy(received *CopyReceived) {
	device := s.admitDevice(received.Device)
	if device == nil {
		s.reject(received.Copy, nil, ResponseBusy, s.earlierMayHaveExecuted(received.Class.Idempotency, &received.ResendHistory))
		return
	}
	device.link.Observe(received.Link)
	exchange := device.exchanges[received.Key]
	if exchange != nil && exchange.state == stateReceiving { // the device sends the body in one piece instead
		s.forget(exchange)
		exchange = nil
	}
	switch {
	case exchange == nil:
		s.beginExchange(device, received)
	case !exchange.matches(received):
		s.respond(received.Copy, Respond{Kind: ResponseConflict, Advice: s.advice(device)})
	default:
		s.join(exchange, received)
	}
}

// onBodyAssembled handles an upload whose body is complete, like a copy that came in one piece.
func (s *Store) onBodyAssembled(received *CopyReceived) {
	device := s.devices[received.Device]
	var exchange *storedExchange
	if device != nil {
		exchange = device.exchanges[received.Key]
	}
	if exchange == nil || exchange.upload == nil || !exchange.upload.complete {
		s.respond(received.Copy, Respond{Kind: ResponseIncomplete, Advice: s.advice(device)})
		return
	}
	device.link.Observe(received.Link)
	switch {
	case exchange.state == stateReceiving:
		s.beginUploaded(exchange, received)
	case !exchange.matches(received):
		s.respond(received.Copy, Respond{Kind: ResponseConflict, Advice: s.advice(device)})
		s.dropUpload(exchange) // its bytes must not be taken for the exchange's
	default:
		s.join(exchange, received)
	}
}

// matches reports whether a copy has the content of the exchange.
func (e *storedExchange) matches(received *CopyReceived) bool {
	return e.digest == received.Digest && e.class.Idempotency == received.Class.Idempotency
}

// earlierMayHaveExecuted reports whether an earlier copy of an exchange that the store does not know may have executed.
// None has if all were sent to this gateway since it started and no exchange so recent was evicted or forgotten: the store would know
// the exchange if one of them had arrived completely.
func (s *Store) earlierMayHaveExecuted(idempotency scheduler.Idempotency, history *ResendHistory) bool {
	if !history.IsRetry || idempotency == scheduler.Idempotent {
		return false
	}
	firstSentMs := s.nowMs - history.AgeMs
	wouldBeKnown := history.SameGateway && history.AgeMs >= 0 && history.AgeMs < s.settings.RetentionMs &&
		firstSentMs > s.startedMs && firstSentMs > s.evictedUntilMs
	return !wouldBeKnown
}

// safeRepeatMs returns for how long a request that may have executed through another gateway may run: until its
// deduplication window ends, if the repeat is sure to reach the group of servers that drops it. Otherwise it is negative.
func safeRepeatMs(received *CopyReceived) float64 {
	class := &received.Class
	if class.Idempotency != scheduler.IdempotentWithKey || !(received.AgeMs >= 0) || class.DedupScope == scheduler.DedupZone {
		return -1
	}
	if received.Shard < 0 && class.DedupScope != scheduler.DedupAll {
		return -1
	}
	return class.DedupWindowMs - received.AgeMs - windowMarginMs
}

// beginExchange runs a request that the store does not know, or rejects it.
func (s *Store) beginExchange(device *trackedDevice, received *CopyReceived) {
	mayHaveExecuted := s.earlierMayHaveExecuted(received.Class.Idempotency, &received.ResendHistory)
	if s.shuttingDown {
		s.reject(received.Copy, device, ResponseBusy, mayHaveExecuted)
		return
	}
	budgetMs := device.runBudgetMs(received.RemainingMs)
	if mayHaveExecuted {
		budgetMs = min(budgetMs, safeRepeatMs(received))
	}
	if s.tooLate(budgetMs) {
		s.reject(received.Copy, device, ResponseTooLate, mayHaveExecuted)
		if mayHaveExecuted {
			s.rememberNewFailure(device, received)
		}
		return
	}
	reserved := s.reservedResponseBytes(received.Class)
	added := s.addExchange(device, received.Key, received.BodyBytes+reserved)
	if added == nil {
		s.reject(received.Copy, device, ResponseBusy, mayHaveExecuted)
		return
	}
	added.deadlineMs = s.nowMs + device.link.remainingHereMs(received.RemainingMs)
	added.clientDelayMs = received.ClientDelayMs
	s.startFirstRun(added, received, budgetMs, mayHaveExecuted)
}

// beginUploaded runs an exchange whose upload is complete, or rejects it.
func (s *Store) beginUploaded(exchange *storedExchange, received *CopyReceived) {
	device := exchange.device
	mayHaveExecuted := s.earlierMayHaveExecuted(received.Class.Idempotency, &received.ResendHistory)
	untilDeadlineMs := exchange.deadlineMs - s.nowMs - device.link.expectedRoundTripMs(received.RemainingMs)/2
	budgetMs := min(device.runBudgetMs(received.RemainingMs), untilDeadlineMs)
	if mayHaveExecuted {
		budgetMs = min(budgetMs, safeRepeatMs(received))
	}
	if s.tooLate(budgetMs) {
		s.reject(received.Copy, device, ResponseTooLate, mayHaveExecuted)
		if mayHaveExecuted {
			s.rememberFailure(exchange, received)
		} else {
			s.forget(exchange)
		}
		return
	}
	s.protectFromEviction(exchange)
	if !s.ensureCapacity(0, s.reservedResponseBytes(received.Class)) {
		s.reject(received.Copy, device, ResponseBusy, mayHaveExecuted)
		s.updateEvictable(exchange) // the blocks remain, because the last one may be sent again
		return
	}
	exchange.clientDelayMs = received.ClientDelayMs + (s.nowMs - exchange.createdMs)
	s.startFirstRun(exchange, received, budgetMs, mayHaveExecuted)
}

// tooLate reports whether a run with this budget would have too little time. That includes NaN.
func (s *Store) tooLate(budgetMs float64) bool { return !(budgetMs >= s.settings.MinRunMs) }

// rememberNewFailure adds an exchange that has failed, if there is capacity for it.
func (s *Store) rememberNewFailure(device *trackedDevice, received *CopyReceived) {
	added := s.addExchange(device, received.Key, 0)
	if added == nil {
		return
	}
	added.deadlineMs = s.nowMs + device.link.remainingHereMs(received.RemainingMs)
	s.rememberFailure(added, received)
}

// rememberFailure records that a device got to know that its exchange failed. An earlier copy that arrives later must
// neither run nor get another response.
func (s *Store) rememberFailure(exchange *storedExchange, received *CopyReceived) {
	exchange.class, exchange.digest, exchange.failureReported = received.Class, received.Digest, true
	s.setState(exchange, stateFailed)
	s.releaseBody(exchange)
	s.armTimer(exchange)
}

// join handles a copy of an exchange that has run.
func (s *Store) join(exchange *storedExchange, received *CopyReceived) {
	device := exchange.device
	exchange.lastActivityMs = s.nowMs
	if exchange.deadlineMs > s.nowMs { // the earliest deadline is that of the copy whose link delayed it least
		exchange.deadlineMs = min(exchange.deadlineMs, s.nowMs+device.link.remainingHereMs(received.RemainingMs))
	}
	switch exchange.state {
	case stateRunning:
		s.stats.Joined++
		s.addWaiting(exchange, received)
	case stateResponded, stateDelivered:
		s.stats.ServedFromCache++
		s.copies[received.Copy] = exchange.id
		s.respond(received.Copy, Respond{Kind: ResponseServed, ID: exchange.id, Cached: true, Advice: s.advice(device)})
	case stateFailed:
		s.joinFailed(exchange, received)
	}
}

// joinFailed runs a failed exchange once more where that is safe, and fails the copy otherwise.
func (s *Store) joinFailed(exchange *storedExchange, received *CopyReceived) {
	device := exchange.device
	budgetMs, ok := s.rerunBudgetMs(exchange, device.runBudgetMs(received.RemainingMs))
	if ok && !s.shuttingDown {
		s.protectFromEviction(exchange)
		if s.ensureCapacity(0, s.additionalRerunBytes(exchange, received)) {
			s.rerun(exchange, received, budgetMs)
			return
		}
		s.updateEvictable(exchange)
		if !exchange.mayHaveExecuted {
			s.respondBusy(received.Copy, device)
			return
		}
	}
	if exchange.outcomeUnknown() {
		s.stats.UnknownOutcomeFailed++
		exchange.failureReported = true
		s.releaseBody(exchange)
	}
	s.respond(received.Copy, Respond{Kind: ResponseFailed, Advice: s.advice(device)})
}
