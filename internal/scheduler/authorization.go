package scheduler

// authorizeSend reports whether the rules let a request be sent to a server now. Whether the server has capacity for it is left to
// hasCapacity.
func (s *Scheduler) authorizeSend(server *serverEntry, request *request) bool {
	if s.endpointsExpired() || request.finished || request.expiresAt <= s.now || len(request.attempts) >= s.settings.MaxAttempts {
		return false
	}
	if len(request.attempts) == 0 {
		if !s.withinLimit(request) {
			return false
		}
	} else if !s.authorizeRetry(server, request) {
		return false
	}
	return s.keyOrder.allows(s.now, request) && s.slowStartAllows(server)
}

// endpointsExpired reports whether the endpoint list is too old to send by: a server in it may be draining, and that change counts
// as notified although it has not arrived.
func (s *Scheduler) endpointsExpired() bool {
	return s.endpointsValidUntil != 0 && s.now >= s.endpointsValidUntil
}

// withinLimit reports whether the volume's limit has room for a request.
func (s *Scheduler) withinLimit(request *request) bool {
	volume := request.volume
	return volume.plan.Limit == 0 || volume.limit.available(s.now) >= request.Units
}

// authorizeRetry reports whether a request may be sent to a server again.
func (s *Scheduler) authorizeRetry(server *serverEntry, request *request) bool {
	return s.mayRetry(request) && s.retryBudget.allowsRetry(s.now) && request.isWithinDedupScope(server)
}

// isWithinDedupScope reports whether a server drops the request as a duplicate, if that is needed. Only DedupZone is checked: a
// request that may have been executed stays with its shard, which satisfies DedupShard.
func (r *request) isWithinDedupScope(server *serverEntry) bool {
	zoneOnly := r.mayHaveExecuted && r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupZone
	return !zoneOnly || server.Zone == r.executionZone
}
