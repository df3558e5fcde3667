package scheduler

// admit queues a request in the flow of its volume at its shard, or rejects it if it cannot be scheduled at all. A request whose ID
// is in use is ignored.
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

// planFor returns the plan of a request, or nil if the settings have none of its name.
func (s *Scheduler) planFor(arrival *RequestArrived) *Plan {
	if len(s.settings.Plans) == 1 {
		return &s.settings.Plans[0]
	}
	return s.plans[arrival.Plan]
}

// isValid reports whether the values of a request are in range.
func (s *Scheduler) isValid(arrival *RequestArrived) bool {
	return arrival.Shard >= -1 && arrival.Shard < len(s.shards) && arrival.Remaining > 0 && arrival.ClientDelay >= 0 &&
		validUnits(arrival.Units)
}

// setDeadlines sets the expiry and the latency objective of a request.
//
// The objective counts from the client's first attempt. The age of a retry is estimated as the difference between the longest
// remaining time that a request of its class has had when its client sent it, and that of the request. If the age is not less than
// the latter, the request is taken for the first attempt of a client with a short deadline: a retry that old could hardly meet its
// objective.
func (s *Scheduler) setDeadlines(request *request) {
	request.expiresAt = s.now + request.Remaining
	request.objectiveAt = s.now + request.class.LatencyObjective
	if !request.IsFirstAttempt {
		total := request.Remaining + request.ClientDelay
		longest := max(s.longestRemaining[request.class], total)
		s.longestRemaining[request.class] = longest
		if age := longest - total; age < total {
			request.objectiveAt -= age
		}
	}
	if s.shutdownDeadline != 0 {
		request.expiresAt = min(request.expiresAt, s.shutdownDeadline)
	}
	request.objectiveAt = min(request.objectiveAt, request.expiresAt)
}

// shardFor returns the shard of a request, or nil if no shard has a server for a new object.
func (s *Scheduler) shardFor(arrival *RequestArrived) *shard {
	if arrival.Shard == -1 {
		return s.leastLoadedShard()
	}
	return s.shards[arrival.Shard]
}

// recordDemand counts a request for slow start and for quota leases.
func (s *Scheduler) recordDemand(request *request, plan *Plan) {
	if duration := s.settings.SlowStartDuration; duration > 0 {
		request.shard.demand.add(s.now, duration, request.Units)
	}
	if s.settings.QuotaLeases && plan.Limit > 0 && request.volume.recordDemand(s.now, request.Units) {
		s.emit(request.volume.quotaDemand(request.Volume))
	}
}
