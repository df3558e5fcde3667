package scheduler

// recordAttemptEnd takes in the end of an attempt and decides what becomes of its request.
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
	case StatusTimedOut, StatusConnectionReset, StatusCanceled: // it may even go on running
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

// outstandingAttempt returns the request and the attempt that have ended, or nil if the attempt is unknown or had ended before.
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

// endAttempt updates the state of an attempt and of its server. Errors give no latency sample, since fast errors must not open the
// window, nor does a response in a step that came late.
func (s *Scheduler) endAttempt(attempt *attempt, ended *AttemptEnded) {
	attempt.ended = true
	attempt.request.outstanding--
	if !attempt.lost {
		attempt.releaseSlot()
	}
	server := attempt.server
	if ended.Status == StatusOK && s.stalledAt != s.now {
		server.congestion.addSample(ended.Latency)
	}
	server.recordAttemptEnd(s.now, s.latencyThreshold, attempt, ended.Status)
}

// rejectOrFail ends a request without a response: with a Reject where a retry by the client is harmless, else with a Fail.
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

// isSafeToReject reports whether a retry by the client has no further effect: the request has not been executed, is idempotent, or
// any server drops the retry as a duplicate.
func (r *request) isSafeToReject() bool {
	notExecuted := r.outstanding == 0 && !r.mayHaveExecuted
	return notExecuted || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll
}

// cancel ends a request whose client no longer waits. It cancels its outstanding attempts only where the settings allow that: servers
// that stop canceled work are free for other requests, while at others a cancellation only costs a connection.
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

// expireRequests ends the requests whose deadline has passed, unless their response has started.
func (s *Scheduler) expireRequests() {
	for request := s.deadlines.popExpired(s.now); request != nil; request = s.deadlines.popExpired(s.now) {
		if !request.finished && request.expiresAt != 0 {
			s.rejectOrFail(request, ReasonDeadlineExceeded)
		}
	}
}

// finish ends a request: nothing more is sent for it.
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
