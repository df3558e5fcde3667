package scheduler

import "time"

// queueTimeoutFactor is the least time left until a queued request's latency objective at which the request is still sent, as a
// multiple of the expected latency.
const queueTimeoutFactor = 0.6

// dispatch sends queued requests of a shard while the windows of its servers have room. It then passes the queued requests that
// can no longer meet their objective to expireOrForward.
func (s *Scheduler) dispatch(shard *shard) {
	latency := s.responseLatency(shard)
	// The servers are in the order of their start. Each gets only the requests for which those before it have no capacity.
	for _, server := range shard.servers {
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

// responseLatency returns the expected latency of the fastest server of a shard, or the latency threshold if the shard has no
// server.
func (s *Scheduler) responseLatency(shard *shard) time.Duration {
	fastest := s.latencyThreshold
	for i, server := range shard.servers {
		latency := server.expectedLatency(s.now, s.latencyThreshold)
		if server.responsiveness(s.now, s.latencyThreshold) == trialDue {
			// The expected latency includes the age of the unanswered attempt. At such a latency all queued requests would be
			// rejected, but the trial needs one of them. With the value below, requests whose objective is at least the smoothed
			// latency away are kept.
			latency = time.Duration(float64(server.congestion.latency) / queueTimeoutFactor)
		}
		if i == 0 || latency < fastest {
			fastest = latency
		}
	}
	return fastest
}

// canMeetObjective reports whether enough time is left until the objective of a queued request to send it to a server with the
// given latency. A request within its volume's reserve may be sent with less time left than others.
func (s *Scheduler) canMeetObjective(request *request, latency time.Duration) bool {
	factor := queueTimeoutFactor
	if request.volume.withinReserve(s.now, request.Units) {
		factor = s.reservedQueueTimeoutFactor
	}
	return request.objectiveAt >= s.now+time.Duration(factor*float64(latency))
}

// expireOrForward ends a queued request that can no longer meet its latency objective. A request that a slow client link has
// delayed (by more than the latency threshold) and that has not been sent yet is sent instead, if its deadline leaves enough time
// and a fast server has spare capacity. Other late requests, such as clients' retries, are not sent: under overload they would
// take capacity from first attempts.
func (s *Scheduler) expireOrForward(flow *flow, request *request) {
	delayedByClientLink := request.ClientDelay > s.latencyThreshold && len(request.attempts) == 0
	if delayedByClientLink && request.expiresAt > s.now+s.latencyThreshold {
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

// send starts an attempt and charges it to the flow and to the server. A first attempt is also charged to the volume's limit, a
// retry to the retry budget.
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
	s.chargeSlowStart(server, request.Units)
	s.emit(Send{ID: request.ID, Server: server.ID, StartDeadline: request.retryStartDeadline()})
}
