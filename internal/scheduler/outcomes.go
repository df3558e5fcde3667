package scheduler

// recordAttemptEnd applies the end of an attempt. If the attempt's request is not finished and has no other outstanding attempt, it
// is retried or ended.
func (s *Scheduler) recordAttemptEnd(ended *AttemptEnded) {
	request, attempt := s.outstandingAttempt(ended)
	if attempt == nil {
		return
	}
	s.endAttempt(attempt, ended)
	switch ended.Status {
	case StatusOK:
		if s.settings.ReportsForeignUnits {
			request.volume.recordUsage(s.now, request.Units, ended.ForeignUnits)
		}
	case StatusError:
		request.recordPossibleExecution(attempt)
	case StatusTimedOut, StatusConnectionReset, StatusCanceled: // the server may still be executing the attempt
		request.recordPossibleExecution(attempt)
		s.keyOrder.startCooldown(s.now, request)
	}
	request.finished = request.finished || ended.RequestDone
	switch {
	case request.finished:
		s.releaseIfDone(request)
	case request.outstanding == 0 && !request.queued:
		s.retryOrEnd(request, attempt.server, ended.Status)
	}
}

// outstandingAttempt returns the attempt that an event ends, with its request, or nil if the attempt is unknown or has ended
// before.
func (s *Scheduler) outstandingAttempt(ended *AttemptEnded) (*request, *attempt) {
	request := s.requests[ended.ID]
	if request == nil || ended.Attempt < 0 || ended.Attempt >= len(request.attempts) {
		return nil, nil
	}
	attempt := request.attempts[ended.Attempt]
	if attempt.ended {
		return nil, nil
	}
	return request, attempt
}

// endAttempt updates the state of an attempt and of its server. An error gives no latency sample, because fast errors must not
// enlarge the window. A response in a step that the gateway's own stall has delayed (see detectStall) gives none either, because its
// latency includes the stall.
func (s *Scheduler) endAttempt(attempt *attempt, ended *AttemptEnded) {
	attempt.ended = true
	attempt.request.outstanding--
	if !attempt.lost {
		attempt.releaseSlot()
	}
	server := attempt.server
	if ended.Status == StatusOK && s.lastStallAt != s.now {
		server.congestion.addSample(ended.Latency)
	}
	server.recordAttemptEnd(s.now, s.latencyThreshold, attempt, ended.Status)
}

// rejectOrFail ends a request without a server's response: with a Reject if a retry by the client is harmless, otherwise with a
// Fail.
func (s *Scheduler) rejectOrFail(request *request, reason Reason) {
	if s.endpointsExpired() {
		reason = ReasonEndpointsExpired
	}
	if request.isSafeToReject() {
		s.emit(Reject{ID: request.ID, RetryAfter: s.retryAfter(request), Reason: reason})
	} else {
		s.emit(Fail{ID: request.ID, Reason: reason})
	}
	s.finish(request)
}

// isSafeToReject reports whether a retry by the client is harmless: the request has not been executed, is idempotent, or every
// server drops the retry as a duplicate.
func (r *request) isSafeToReject() bool {
	notExecuted := r.outstanding == 0 && !r.mayHaveExecuted
	return notExecuted || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll
}

// cancel ends a request whose client no longer waits. It cancels the outstanding attempts only if the settings allow it: a server
// that stops executing a canceled attempt is free for other requests, but at other servers a cancellation only costs a connection.
func (s *Scheduler) cancel(id RequestID) {
	request := s.requests[id]
	if request == nil || request.finished {
		return
	}
	if s.settings.AllowCancel {
		s.cancelAttempts(request)
	}
	s.finish(request)
}

// cancelAttempts cancels the outstanding attempts of a request.
func (s *Scheduler) cancelAttempts(request *request) {
	for i, attempt := range request.attempts {
		if !attempt.ended {
			s.emit(CancelAttempt{ID: request.ID, Attempt: i})
		}
	}
}

// expireRequests ends the requests whose deadline has passed and whose response has not started.
func (s *Scheduler) expireRequests() {
	for request := s.deadlines.popExpired(s.now); request != nil; request = s.deadlines.popExpired(s.now) {
		if !request.finished && request.expiresAt != 0 {
			s.rejectOrFail(request, ReasonDeadlineExceeded)
		}
	}
}

// finish ends a request, so that no further attempt is made.
func (s *Scheduler) finish(request *request) {
	request.finished = true
	if request.queued {
		request.dequeue()
	}
	s.releaseIfDone(request)
}

// releaseIfDone drops a finished request without outstanding attempts.
func (s *Scheduler) releaseIfDone(request *request) {
	if request.outstanding > 0 {
		return
	}
	s.keyOrder.remove(s.now, request)
	delete(s.requests, request.ID)
}
