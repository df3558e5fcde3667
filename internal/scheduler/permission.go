package scheduler

// This file holds what the rules allow to be sent or repeated now.

// authorizeSend tells whether the rules let a request be sent to a node now.
func (s *Scheduler) authorizeSend(server *serverEntry, request *request) bool {
	if s.endpointsExpired() || request.finished || request.expiresAt <= s.now || len(request.attempts) >= s.settings.MaxAttempts {
		return false
	}
	if len(request.attempts) == 0 {
		if request.volume.plan.Limit > 0 && request.volume.limit.available(s.now) < request.Units {
			return false
		}
	} else if !s.mayRetry(request) || !s.retryBudgetLeft() {
		return false
	} else if request.mayHaveExecuted && request.class.Idempotency == IdempotentWithKey && request.class.DedupScope == DedupZone && server.Zone != request.executionZone {
		return false // the group that drops repeats; all nodes of a shard are one cell
	}
	if s.isOrderedByKey(request) && !s.isHeadOfLine(request) {
		return false
	}
	return s.slowStartAllows(server)
}

// endpointsExpired tells whether the list is too old to send by: any of its nodes may drain, and the news of that counts as
// told.
func (s *Scheduler) endpointsExpired() bool {
	return s.endpointsValidUntil != 0 && s.now >= s.endpointsValidUntil
}

// mayRetry tells whether the class allows another attempt at this node.
func (s *Scheduler) mayRetry(request *request) bool {
	harmless := !request.mayHaveExecuted || request.class.Idempotency == Idempotent ||
		request.class.Idempotency == IdempotentWithKey && s.now < request.retryStartDeadline()
	return harmless && len(request.attempts) < s.settings.MaxAttempts && request.outstanding == 0
}

// retryBudgetLeft tells whether the budget has room for a further attempt.
func (s *Scheduler) retryBudgetLeft() bool {
	if s.settings.RetryBudgetWindow == 0 {
		return true
	}
	for len(s.admittedInWindow) > 0 && s.now-s.admittedInWindow[0] >= s.settings.RetryBudgetWindow {
		s.admittedInWindow = s.admittedInWindow[1:]
	}
	for len(s.retriesInWindow) > 0 && s.now-s.retriesInWindow[0] > s.settings.RetryBudgetWindow {
		s.retriesInWindow = s.retriesInWindow[1:]
	}
	return float64(len(s.retriesInWindow)+1) <= s.settings.RetryBudgetMin+s.settings.RetryBudgetRatio*float64(len(s.admittedInWindow))
}
