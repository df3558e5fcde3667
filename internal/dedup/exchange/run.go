package exchange

import "gaugerelay/internal/scheduler"

// startFirstRun runs an exchange that has not run yet. mayHaveExecuted is whether an earlier copy may have executed
// through another gateway, so that a run that is rejected does not mean that nothing executed.
func (s *Store) startFirstRun(exchange *storedExchange, received *CopyReceived, budgetMs float64, mayHaveExecuted bool) {
	s.setState(exchange, stateRunning)
	exchange.class, exchange.digest, exchange.shard = received.Class, received.Digest, received.Shard
	if mayHaveExecuted {
		firstSentMs := s.nowMs - received.AgeMs
		exchange.mayHaveExecuted = true
		exchange.firstAttemptMs, exchange.latestAttemptMs = firstSentMs, firstSentMs
		exchange.firstAttemptShard = received.Shard
	}
	s.setStoredBytes(exchange, received.BodyBytes, 0, s.reservedResponseBytes(received.Class))
	s.startRun(exchange, received, budgetMs, received.Shard)
}

// startRun runs an exchange for a copy that waits for its response.
func (s *Store) startRun(exchange *storedExchange, received *CopyReceived, budgetMs float64, shard int) {
	s.stats.Runs++
	exchange.runNumber++
	s.addWaiting(exchange, received)
	s.emit(StartRun{ID: exchange.id, Run: exchange.runNumber, Copy: received.Copy, RemainingMs: budgetMs,
		ClientDelayMs: exchange.clientDelayMs, Shard: shard})
}

// reservedResponseBytes returns what is reserved for the response of a run. That of a write must be retained, so its bytes
// are reserved from the start; that of a read is retained if there is capacity.
func (s *Store) reservedResponseBytes(class Class) int {
	if class.Idempotency == scheduler.Idempotent {
		return 0
	}
	return s.settings.MaxBodyBytes
}

// rerunBudgetMs returns how long a failed exchange may run once more, at most the given budget, and whether it may run at
// all.
func (s *Store) rerunBudgetMs(exchange *storedExchange, budgetMs float64) (rerunMs float64, allowed bool) {
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
			budgetMs = min(budgetMs, exchange.rerunUntilMs()-s.nowMs-windowMarginMs)
		}
	}
	return budgetMs, budgetMs >= s.settings.MinRunMs
}

// canRepeatInScope reports whether a repeat can be sent to the group of servers that drops it. A run can be bound to a
// shard, but not to a zone.
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

// additionalRerunBytes returns how many bytes another run of an exchange stores beyond those stored now.
func (s *Store) additionalRerunBytes(exchange *storedExchange, received *CopyReceived) int {
	wanted := received.BodyBytes + exchange.incompleteUploadBytes() + s.reservedResponseBytes(exchange.class)
	return wanted - exchange.bodyBytes - exchange.uploadBytes - exchange.responseBytes
}

// rerun runs a failed exchange once more.
func (s *Store) rerun(exchange *storedExchange, received *CopyReceived, budgetMs float64) {
	s.stats.Reruns++
	s.setState(exchange, stateRunning)
	s.setStoredBytes(exchange, received.BodyBytes, exchange.incompleteUploadBytes(), s.reservedResponseBytes(exchange.class))
	if exchange.deadlineMs < s.nowMs { // the device waits again
		exchange.deadlineMs = s.nowMs + exchange.device.link.remainingHereMs(received.RemainingMs)
	}
	shard := exchange.shard
	class := &exchange.class
	if exchange.mayHaveExecuted && class.Idempotency == scheduler.IdempotentWithKey && class.DedupScope == scheduler.DedupShard {
		shard = exchange.firstAttemptShard
	}
	s.startRun(exchange, received, budgetMs, shard)
}

// onRunEnded handles the end of an exchange's run. The end of an earlier run is ignored.
func (s *Store) onRunEnded(ended *RunEnded) {
	exchange := s.exchanges[ended.ID]
	if exchange == nil || exchange.state != stateRunning || exchange.runNumber != ended.Run {
		return
	}
	exchange.recordAttempts(ended)
	exchange.lastActivityMs = s.nowMs
	waiting := exchange.waiting
	exchange.waiting = nil
	switch {
	case ended.Result == RunServed && !exchange.failureReported:
		s.onServed(exchange, ended, waiting)
	case ended.Result == RunRejected && !exchange.mayHaveExecuted && !exchange.failureReported:
		s.respondAll(waiting, Respond{Kind: ResponseRejected, RetryAfterMs: ended.RetryAfterMs,
			Advice: s.advice(exchange.device)})
		s.forget(exchange)
	default:
		s.onFailed(exchange, ended, waiting)
	}
}

// recordAttempts notes when and where a run's attempts may have executed.
func (e *storedExchange) recordAttempts(ended *RunEnded) {
	if !ended.MayHaveExecuted {
		return
	}
	windowOver := e.class.Idempotency == scheduler.IdempotentWithKey && ended.FirstAttemptMs >= e.rerunUntilMs()
	if !e.mayHaveExecuted || windowOver {
		e.mayHaveExecuted = true
		e.firstAttemptMs, e.firstAttemptShard = ended.FirstAttemptMs, ended.Shard
	}
	e.latestAttemptMs = max(e.latestAttemptMs, ended.FirstAttemptMs)
}

// onServed stores the response of a run and sends it to the copies that wait. The response of a read that exceeds the
// limits is forgotten after that.
func (s *Store) onServed(exchange *storedExchange, ended *RunEnded, waiting []waitingCopy) {
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

// onFailed ends an exchange without a response. That includes a response that comes after a copy got to know of a
// failure, which is final.
func (s *Store) onFailed(exchange *storedExchange, ended *RunEnded, waiting []waitingCopy) {
	if ended.Result == RunServed {
		s.emit(Release{ID: exchange.id, Response: true})
	}
	s.respondAll(waiting, Respond{Kind: ResponseFailed, Advice: s.advice(exchange.device)})
	exchange.failureReported = exchange.failureReported || len(waiting) > 0
	s.setState(exchange, stateFailed)
	if exchange.failureReported {
		s.releaseBody(exchange)
	} else {
		s.setStoredBytes(exchange, exchange.bodyBytes, exchange.uploadBytes, 0) // the body may be run once more
	}
	s.armTimer(exchange)
}

// respondAll sends one response to several copies.
func (s *Store) respondAll(copies []waitingCopy, response Respond) {
	for _, waiter := range copies {
		s.respond(waiter.id, response)
	}
}
