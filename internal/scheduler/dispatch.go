package scheduler

import "time"

// queueTimeoutFactor is how many times the expected latency must be left until a queued request's objective for it to be sent.
const queueTimeoutFactor = 0.6

// dispatch sends queued requests of a shard while the windows of its servers have room, and ends those that can no longer meet
// their objective.
func (s *Scheduler) dispatch(shard *shard) {
	latency := s.responseLatency(shard)
	for _, server := range shard.servers { // the longest running first; the next one gets what exceeds its capacity
		server.detectLostAttempts(s.now, s.latencyThreshold, max(1, s.settings.MeanUnits))
		for {
			flow, request := s.selectNext(shard, server, latency)
			if request == nil || !s.hasCapacity(server, request) {
				break
			}
			s.send(server, flow, request)
		}
	}
	for _, flow := range shard.flows {
		for len(flow.queue) > 0 && !s.canMeetObjective(flow.queue[0], latency) {
			s.expireOrForward(flow, flow.queue[0])
		}
	}
}

// responseLatency returns how long a response of the fastest server of a shard takes.
func (s *Scheduler) responseLatency(shard *shard) time.Duration {
	fastest := s.latencyThreshold
	for i, server := range shard.servers {
		latency := server.expectedLatency(s.now, s.latencyThreshold)
		if server.responsiveness(s.now, s.latencyThreshold) == trialDue { // a longer latency would expire every queued request before the trial
			latency = time.Duration(float64(server.congestion.latency) / queueTimeoutFactor)
		}
		if i == 0 || latency < fastest {
			fastest = latency
		}
	}
	return fastest
}

// canMeetObjective reports whether a queued request is still worth sending to a server that responds after the given latency.
func (s *Scheduler) canMeetObjective(request *request, latency time.Duration) bool {
	factor := queueTimeoutFactor
	if request.volume.withinReserve(s.now, request.Units) {
		factor = s.reservedQueueTimeoutFactor
	}
	return request.objectiveAt >= s.now+time.Duration(factor*float64(latency))
}

// expireOrForward rejects a queued request that can no longer meet its latency objective. A first attempt that a slow client link
// has delayed is forwarded instead if its deadline leaves time for it and a fast server has spare capacity. A client's retry is
// not forwarded: under overload it would take the capacity of a first attempt.
func (s *Scheduler) expireOrForward(flow *flow, request *request) {
	delayedByLink := request.ClientDelay > s.latencyThreshold && len(request.attempts) == 0
	if delayedByLink && request.expiresAt > s.now+s.latencyThreshold {
		for _, server := range request.shard.servers {
			fast := server.expectedLatency(s.now, s.latencyThreshold) <= s.latencyThreshold
			if fast && s.authorizeSend(server, request) && s.hasCapacity(server, request) {
				s.send(server, flow, request)
				return
			}
		}
	}
	s.rejectOrFail(request, ReasonObjectiveMissed)
}

// send starts an attempt and charges it to the volume, the flow, the server and the retry budget.
func (s *Scheduler) send(server *serverEntry, flow *flow, request *request) {
	request.dequeue()
	if len(request.attempts) == 0 {
		flow.volume.limit.consume(s.now, request.Units)
	} else {
		s.retryBudget.recordRetry(s.now)
	}
	s.chargeFlow(flow, request)
	attempt := &attempt{request: request, server: server, sentAt: s.now}
	request.attempts = append(request.attempts, attempt)
	request.outstanding++
	flow.outstanding++
	server.recordSend(s.now, attempt)
	s.consumeSlowStart(server, request.Units)
	s.emit(Send{ID: request.ID, Server: server.ID, StartDeadline: request.retryStartDeadline()})
}
