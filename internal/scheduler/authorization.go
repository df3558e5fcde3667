package scheduler

// authorizeSend reports whether the rules on deadlines, retries, limits, key order and slow start allow a request to be sent to a
// server now. It does not check the server's window: hasCapacity does.
func (s *Scheduler) authorizeSend(server *serverEntry, request *request) bool {
	if s.endpointsExpired() || request.finished || request.expiresAt <= s.now || len(request.attempts) >= s.settings.MaxAttempts {
		return false
	}
	if len(request.attempts) == 0 {
		if !s.withinVolumeLimit(request) {
			return false
		}
	} else if !s.authorizeRetry(server, request) {
		return false
	}
	return s.keyOrder.allows(s.now, request) && s.slowStartAllows(server)
}

// endpointsExpired reports whether the endpoint list is too old for sending requests. From endpointsValidUntil on, this gateway must
// comply with all changes of the list, even with those that have not reached it. It must then send nothing, since any listed server
// may be draining.
func (s *Scheduler) endpointsExpired() bool {
	return s.endpointsValidUntil != 0 && s.now >= s.endpointsValidUntil
}

// withinVolumeLimit reports whether the limit of the request's volume currently allows the units of the request.
func (s *Scheduler) withinVolumeLimit(request *request) bool {
	volume := request.volume
	return volume.plan.Limit == 0 || volume.limit.available(s.now) >= request.Units
}

// authorizeRetry reports whether a request may be retried at a server.
func (s *Scheduler) authorizeRetry(server *serverEntry, request *request) bool {
	return s.mayRetry(request) && s.retryBudget.allowsRetry(s.now) && request.isWithinDedupScope(server)
}

// isWithinDedupScope reports whether a retry at a server stays within the deduplication scope of the request, if the retry depends
// on deduplication. Only DedupZone needs a check: DedupAll covers every server, and DedupShard always holds because a request that
// may have been executed is never moved to another shard.
func (r *request) isWithinDedupScope(server *serverEntry) bool {
	zoneOnly := r.mayHaveExecuted && r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupZone
	return !zoneOnly || server.Zone == r.executionZone
}
