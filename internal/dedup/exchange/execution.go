package exchange

import "gaugerelay/internal/scheduler"

// startFirstExecution starts the first execution of an exchange. mayHaveExecuted tells whether an earlier transmission may
// have been executed through another gateway. If so, a rejected execution does not mean that the request was not executed.
func (s *Store) startFirstExecution(exchange *storedExchange, received *TransmissionReceived, budgetMs float64,
	mayHaveExecuted bool) {
	s.setState(exchange, stateRunning)
	exchange.class, exchange.digest, exchange.shard = received.Class, received.Digest, received.Shard
	if mayHaveExecuted {
		firstSentMs := s.nowMs - received.AgeMs
		exchange.mayHaveExecuted = true
		exchange.firstAttemptMs, exchange.latestAttemptMs = firstSentMs, firstSentMs
		exchange.firstAttemptShard = received.Shard
	}
	s.setStoredBytes(exchange, received.BodyBytes, 0, s.reservedResponseBytes(received.Class))
	s.startExecution(exchange, received, budgetMs, received.Shard)
}

// startExecution starts an execution of an exchange for a transmission, which then waits for the response.
func (s *Store) startExecution(exchange *storedExchange, received *TransmissionReceived, budgetMs float64, shard int) {
	s.stats.Executions++
	exchange.executionNumber++
	s.addWaiting(exchange, received)
	s.emit(StartExecution{ID: exchange.id, ExecutionNumber: exchange.executionNumber, Transmission: received.Transmission,
		RemainingMs: budgetMs, ClientDelayMs: exchange.clientDelayMs, Shard: shard})
}

// reservedResponseBytes returns the number of bytes that are reserved for the response at the start of an execution. The
// response to a write must be retained, so its maximum size is reserved. The response to a read is retained only if there is
// capacity when it arrives, so nothing is reserved.
func (s *Store) reservedResponseBytes(class Class) int {
	if class.Idempotency == scheduler.Idempotent {
		return 0
	}
	return s.settings.MaxBodyBytes
}

// repeatBudgetMs returns the longest time that a repeated execution of a failed exchange may take, at most the given budget,
// and whether the exchange may be executed again.
func (s *Store) repeatBudgetMs(exchange *storedExchange, budgetMs float64) (repeatMs float64, allowed bool) {
	if exchange.deadlineMs > s.nowMs {
		budgetMs = min(budgetMs, exchange.deadlineMs-s.nowMs)
	}
	if !exchange.outcomeUnknown() {
		return 0, false
	}
	if exchange.mayHaveExecuted {
		switch exchange.class.Idempotency {
		case scheduler.NotIdempotent:
			return 0, false
		case scheduler.IdempotentWithKey:
			if !exchange.canRepeatInScope() {
				return 0, false
			}
			budgetMs = min(budgetMs, exchange.repeatUntilMs()-s.nowMs-dedupWindowMarginMs)
		}
	}
	return budgetMs, budgetMs >= s.settings.MinExecutionMs
}

// canRepeatInScope reports whether a repeat can be sent to the group of servers that drop it. An execution can be restricted
// to a shard, but not to a zone.
func (e *storedExchange) canRepeatInScope() bool {
	switch e.class.DedupScope {
	case scheduler.DedupZone:
		return false
	case scheduler.DedupShard:
		return e.firstAttemptShard >= 0
	default:
		return true
	}
}

// additionalRepeatBytes returns the number of bytes that a repeated execution stores beyond those stored now.
func (s *Store) additionalRepeatBytes(exchange *storedExchange, received *TransmissionReceived) int {
	wanted := received.BodyBytes + exchange.incompleteUploadBytes() + s.reservedResponseBytes(exchange.class)
	return wanted - exchange.bodyBytes - exchange.uploadBytes - exchange.responseBytes
}

// executeAgain starts a repeated execution of a failed exchange.
func (s *Store) executeAgain(exchange *storedExchange, received *TransmissionReceived, budgetMs float64) {
	s.stats.RepeatedExecutions++
	s.setState(exchange, stateRunning)
	s.setStoredBytes(exchange, received.BodyBytes, exchange.incompleteUploadBytes(), s.reservedResponseBytes(exchange.class))
	if exchange.deadlineMs < s.nowMs { // the previous deadline has passed, and the device waits again
		exchange.deadlineMs = s.nowMs + exchange.device.link.remainingOnArrivalMs(received.RemainingMs)
	}
	shard := exchange.shard
	class := &exchange.class
	if exchange.mayHaveExecuted && class.Idempotency == scheduler.IdempotentWithKey && class.DedupScope == scheduler.DedupShard {
		shard = exchange.firstAttemptShard
	}
	s.startExecution(exchange, received, budgetMs, shard)
}

// onExecutionEnded handles the end of the latest execution of an exchange. The end of an earlier one is ignored.
func (s *Store) onExecutionEnded(ended *ExecutionEnded) {
	exchange := s.exchanges[ended.ID]
	if exchange == nil || exchange.state != stateRunning || exchange.executionNumber != ended.ExecutionNumber {
		return
	}
	exchange.recordAttempts(ended)
	exchange.lastActivityMs = s.nowMs
	waiting := exchange.waiting
	exchange.waiting = nil
	switch {
	case ended.Result == ExecutionServed && !exchange.failureReported:
		s.onServed(exchange, ended, waiting)
	case ended.Result == ExecutionRejected && !exchange.mayHaveExecuted && !exchange.failureReported:
		s.respondAll(waiting, Respond{Kind: ResponseRejected, RetryAfterMs: ended.RetryAfterMs,
			Advice: s.advice(exchange.device)})
		s.forget(exchange)
	default:
		s.onFailed(exchange, ended, waiting)
	}
}

// recordAttempts records when and in which shard the attempts of an execution may have been executed. The first attempt after the
// end of a deduplication window begins a new window.
func (e *storedExchange) recordAttempts(ended *ExecutionEnded) {
	if !ended.MayHaveExecuted {
		return
	}
	windowOver := e.class.Idempotency == scheduler.IdempotentWithKey && ended.FirstAttemptMs >= e.repeatUntilMs()
	if !e.mayHaveExecuted || windowOver {
		e.mayHaveExecuted = true
		e.firstAttemptMs, e.firstAttemptShard = ended.FirstAttemptMs, ended.Shard
	}
	e.latestAttemptMs = max(e.latestAttemptMs, ended.FirstAttemptMs)
}

// onServed stores the response of an execution and sends it to the waiting transmissions. If the response to a read exceeds
// the limits, the exchange is forgotten after that.
func (s *Store) onServed(exchange *storedExchange, ended *ExecutionEnded, waiting []waitingTransmission) {
	advice := s.advice(exchange.device)
	exchange.device.observeResponse(ended.ResponseBytes)
	s.releaseBody(exchange)
	retained := exchange.class.Idempotency != scheduler.Idempotent || s.ensureCapacity(0, ended.ResponseBytes)
	s.setStoredBytes(exchange, 0, exchange.uploadBytes, ended.ResponseBytes)
	s.setState(exchange, stateResponded)
	s.respondAll(waiting, Respond{Kind: ResponseServed, ID: exchange.id, Advice: advice})
	if !retained {
		s.stats.Evicted++
		s.forget(exchange)
		return
	}
	s.armTimer(exchange)
}

// onFailed ends an exchange without a response. It also handles a response that arrives after a failure was reported to a
// transmission, because a reported failure is final.
func (s *Store) onFailed(exchange *storedExchange, ended *ExecutionEnded, waiting []waitingTransmission) {
	if ended.Result == ExecutionServed {
		s.emit(Release{ID: exchange.id, Response: true})
	}
	s.respondAll(waiting, Respond{Kind: ResponseFailed, Advice: s.advice(exchange.device)})
	exchange.failureReported = exchange.failureReported || len(waiting) > 0
	s.setState(exchange, stateFailed)
	if exchange.failureReported {
		s.releaseBody(exchange)
	} else {
		s.setStoredBytes(exchange, exchange.bodyBytes, exchange.uploadBytes, 0) // the body is kept for a repeated execution
	}
	s.armTimer(exchange)
}

// respondAll sends the same response to several transmissions.
func (s *Store) respondAll(transmissions []waitingTransmission, response Respond) {
	for _, waiter := range transmissions {
		s.respond(waiter.id, response)
	}
}
