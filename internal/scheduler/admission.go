package scheduler

// admit queues a request in the flow of its volume at its shard, or rejects it if it cannot be scheduled. A request whose ID is in
// use is ignored, but it counts for the retry budget like every arrival.
func (s *Scheduler) admit(arrival *RequestArrived) {
	s.retryBudget.recordArrival(s.now)
	if s.requests[arrival.ID] != nil {
		return
	}
	class, plan := s.classes[arrival.Class], s.planFor(arrival)
	if class == nil || plan == nil || !s.isValid(arrival) {
		s.emit(Reject{ID: arrival.ID, Reason: ReasonInvalidRequest})
		return
	}
	request := &request{RequestArrived: *arrival, class: class}
	s.setDeadlines(request)
	if request.shard = s.shardFor(arrival); request.shard == nil {
		s.emit(Reject{ID: arrival.ID, Reason: ReasonNoServer})
		return
	}
	request.volume = s.volumeFor(arrival, plan)
	s.recordDemand(request, plan)
	s.requests[arrival.ID] = request
	s.deadlines.add(request.expiresAt, request)
	s.keyOrder.enqueue(request)
	s.enqueue(request)
}

// planFor returns the plan of a request, or nil if the settings have no plan of that name. If the settings
// have a single plan, that plan applies to all requests.
func (s *Scheduler) planFor(arrival *RequestArrived) *Plan {
	if len(s.settings.Plans) == 1 {
		return &s.settings.Plans[0]
	}
	return s.plans[arrival.Plan]
}

// isValid reports whether all values of a request are in range.
func (s *Scheduler) isValid(arrival *RequestArrived) bool {
	return arrival.Shard >= -1 && arrival.Shard < len(s.shards) && arrival.Remaining > 0 && arrival.ClientDelay >= 0 &&
		validUnits(arrival.Units)
}

// setDeadlines sets the expiry and the latency objective of a request.
//
// The objective of a first attempt is measured from its arrival at the gateway. The objective of a client's retry is earlier by
// the age of the request: the time from the client's first attempt to the retry. The age of a request without IsFirstAttempt is
// estimated from the remaining time that the request had when its client sent it. The estimate is the longest such time of the
// class, among requests without IsFirstAttempt, minus that of this request. If the estimated age is not below the remaining time
// that this request had when it was sent, the request is treated as a first attempt with a short deadline: a retry of that age could
// hardly meet its objective.
//
// The objective is never later than the expiry. During a shutdown, the expiry is never later than the deadline of the shutdown.
func (s *Scheduler) setDeadlines(request *request) {
	request.expiresAt = s.now + request.Remaining
	request.objectiveAt = s.now + request.class.LatencyObjective
	if !request.IsFirstAttempt {
		remainingAtClient := request.Remaining + request.ClientDelay
		longest := max(s.longestRemaining[request.class], remainingAtClient)
		s.longestRemaining[request.class] = longest
		if age := longest - remainingAtClient; age < remainingAtClient {
			request.objectiveAt -= age
		}
	}
	if s.shutdownDeadline != 0 {
		request.expiresAt = min(request.expiresAt, s.shutdownDeadline)
	}
	request.objectiveAt = min(request.objectiveAt, request.expiresAt)
}

// shardFor returns the shard of a request. It returns nil for a new object if no shard has a server.
func (s *Scheduler) shardFor(arrival *RequestArrived) *shard {
	if arrival.Shard == -1 {
		return s.shardForNewObject()
	}
	return s.shards[arrival.Shard]
}

// recordDemand adds a request to the demand that slow start and quota leases use, and emits a QuotaDemand if one is due.
func (s *Scheduler) recordDemand(request *request, plan *Plan) {
	if duration := s.settings.SlowStartDuration; duration > 0 {
		request.shard.demand.add(s.now, duration, request.Units)
	}
	if s.settings.QuotaLeases && plan.Limit > 0 && request.volume.recordDemand(s.now, request.Units) {
		s.emit(request.volume.quotaDemand(request.Volume))
	}
}
