package scheduler

import "time"

// mayRetry reports whether a request may be sent again: the retry is safe, MaxAttempts is not reached, no attempt is outstanding.
func (s *Scheduler) mayRetry(request *request) bool {
	return request.isSafeToRetry(s.now) && len(request.attempts) < s.settings.MaxAttempts && request.outstanding == 0
}

// isSafeToRetry reports whether another attempt that starts now is certain to have no additional effect.
func (r *request) isSafeToRetry(now time.Duration) bool {
	return !r.mayHaveExecuted || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && now < r.retryStartDeadline()
}

// retryStartDeadline returns the clock time before which the first byte of a retry must be sent, or 0 if there is none. Servers drop
// duplicates only during the DedupWindow, which begins with the first attempt that may have been executed. The limit applies to the
// first byte, because a retry may have to wait for its connection.
func (r *request) retryStartDeadline() time.Duration {
	if !r.mayHaveExecuted || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return r.mayHaveExecutedSince + r.class.DedupWindow
}

// retryOrEnd queues a request again after a failed attempt. It ends the request if the attempt has timed out, or if a retry is
// not allowed or would come too late.
func (s *Scheduler) retryOrEnd(request *request, server *serverEntry, status Status) {
	request.retryNotBefore = s.now + server.congestion.latency/4
	if request.Shard == -1 && !request.mayHaveExecuted { // a new object that no server can have stored yet may go to another shard
		if shard := s.shardForNewObject(); shard != nil {
			request.shard = shard
		}
	}
	inTime := request.retryNotBefore+s.latencyThreshold/2 <= request.objectiveAt
	if status != StatusTimedOut && inTime && s.mayRetry(request) && s.retryBudget.allowsRetry(s.now) {
		s.enqueue(request)
	} else {
		s.rejectOrFail(request, ReasonRetryNotAllowed)
	}
}

// retryAfter returns how long a rejected client should wait before it retries: until the server has probably completed the
// requests that it has now, and until the volume's limit has tokens for the request. The wait for the server is at most twice the
// latency threshold, so that the client does not miss its objective by the wait alone. The result is at most MaxRetryAfter.
func (s *Scheduler) retryAfter(request *request) time.Duration {
	wait := s.latencyThreshold
	for _, server := range request.shard.servers {
		wait = min(max(wait, server.expectedLatency(s.now, s.latencyThreshold)), 2*s.latencyThreshold)
	}
	if volume := request.volume; volume.plan.Limit > 0 {
		wait = max(wait, volume.limit.waitFor(s.now, request.Units))
	}
	return min(wait, s.settings.MaxRetryAfter)
}
