package scheduler

import (
	"container/heap"
	"math"
	"time"
)

// This file holds what becomes of a request when an attempt or its time ends.

// recordOutcome books the end of an attempt and decides what becomes of its request.
func (s *Scheduler) recordOutcome(outcome *AttemptEnded) {
	request := s.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) || request.attempts[outcome.Attempt].ended {
		return
	}
	attempt := request.attempts[outcome.Attempt]
	server := attempt.server
	attempt.ended, request.outstanding = true, request.outstanding-1
	if !attempt.lost {
		server.inFlight--
		request.shard.flowsByVolume[request.Volume].outstanding--
	}
	server.lastEndedAt, server.lastDuration = s.now, s.now-attempt.sentAt
	s.recordServerOutcome(server, attempt, outcome)
	if outcome.Status == StatusOK {
		s.recordVolumeUsage(request.volume, request.Units, outcome)
	}
	switch outcome.Status {
	case StatusError, StatusTimedOut, StatusConnectionReset, StatusCanceled:
		if !request.mayHaveExecuted || attempt.sentAt < request.mayHaveExecutedSince {
			request.mayHaveExecuted, request.mayHaveExecutedSince, request.executionZone = true, attempt.sentAt, server.Zone
		}
	}
	if outcome.Status == StatusTimedOut || outcome.Status == StatusConnectionReset || outcome.Status == StatusCanceled {
		s.startKeyCooldown(request)
	}
	if request.finished = request.finished || outcome.RequestDone; request.finished {
		s.releaseIfDone(request)
		return
	}
	if request.outstanding > 0 || request.queued {
		return
	}
	// Another attempt, if the rules allow one and the aim can still be met.
	request.retryNotBefore = s.now + server.latency/4
	if request.Shard == -1 && !request.mayHaveExecuted { // a new object that nobody has yet may go elsewhere
		if shard := s.leastLoadedShard(); shard != nil {
			request.shard = shard
		}
	}
	if outcome.Status != StatusTimedOut && request.retryNotBefore+s.latencyThreshold/2 <= request.objectiveAt && s.mayRetry(request) && s.retryBudgetLeft() {
		s.enqueue(request)
	} else {
		s.rejectOrFail(request, ReasonRetryNotAllowed)
	}
}

// recordVolumeUsage takes in what an answer tells of its volume's use through other gateways.
func (s *Scheduler) recordVolumeUsage(volume *volumeEntry, units float64, outcome *AttemptEnded) {
	if s.settings.ReportsForeignUnits && outcome.ForeignUnits >= 0 && outcome.ForeignUnits < 1e9 { // told, and not absurd
		fade := math.Exp2(-float64(s.now-volume.usageUpdatedAt) / float64(2*latencyHalfLife))
		volume.localUnits, volume.foreignUnits, volume.usageUpdatedAt = fade*volume.localUnits+units, fade*volume.foreignUnits+outcome.ForeignUnits, s.now
	}
}

// rejectOrFail ends a request: refused where that is true to its effect, else failed.
func (s *Scheduler) rejectOrFail(request *request, reason Reason) {
	if s.endpointsExpired() {
		reason = ReasonEndpointsExpired
	}
	if request.class.Idempotency == Idempotent || request.outstanding == 0 && !request.mayHaveExecuted ||
		request.class.Idempotency == IdempotentWithKey && request.class.DedupScope == DedupAll {
		s.emit(Reject{ID: request.ID, RetryAfter: s.retryAfter(request), Reason: reason})
	} else {
		s.emit(Fail{ID: request.ID, Reason: reason})
	}
	s.finish(request)
}

// retryAfter is when a refused client does well to try again: one that comes while its node is still working
// off what it has is refused again, but much later than that its aim has passed; and the volume's limit must
// have room by then.
func (s *Scheduler) retryAfter(request *request) time.Duration {
	wait := s.latencyThreshold
	for _, server := range request.shard.servers {
		wait = min(max(wait, s.expectedLatency(server)), 2*s.latencyThreshold)
	}
	if volume := request.volume; volume.plan.Limit > 0 {
		short := request.Units - volume.limit.available(s.now)
		wait = max(wait, time.Duration(short/volume.limit.rate*float64(time.Second)))
	}
	return min(wait, s.settings.MaxRetryAfter)
}

// cancelAttempts gives up the attempts of a request for which nobody waits any more: where a node stops work that is
// given up, it is free for others. Elsewhere that costs a connection.
func (s *Scheduler) cancelAttempts(request *request) {
	for i, attempt := range request.attempts {
		if s.settings.AllowCancel && !attempt.ended {
			s.emit(CancelAttempt{ID: request.ID, Attempt: i})
		}
	}
}

// finish marks a request as over: nothing more is sent for it.
func (s *Scheduler) finish(request *request) {
	request.finished = true
	if request.queued {
		request.dequeue()
	}
	s.releaseIfDone(request)
}

// releaseIfDone forgets a request that is over and has nothing out.
func (s *Scheduler) releaseIfDone(request *request) {
	if request.outstanding > 0 {
		return
	}
	if s.isOrderedByKey(request) {
		s.dequeueForKey(request)
	}
	delete(s.requests, request.ID)
}

// expireRequests answers whatever is still open when its client's time is up.
func (s *Scheduler) expireRequests() {
	for len(s.deadlines) > 0 && s.deadlines[0].at <= s.now {
		request := heap.Pop(&s.deadlines).(deadline).request
		if !request.finished && request.expiresAt != 0 {
			s.rejectOrFail(request, ReasonDeadlineExceeded)
		}
	}
}

// shortenDeadlines moves the ends of all requests that have longer to where the gateway ends. It guards against those
// that were taken before and are out for longer than that: their clients would get no answer.
func (s *Scheduler) shortenDeadlines(at time.Duration) {
	s.shutdownDeadline = at
	for i := range s.deadlines { // later ones become equal, so the heap keeps its order
		if e := &s.deadlines[i]; e.at > at {
			e.at = at
			if e.request.expiresAt != 0 {
				e.request.expiresAt, e.request.objectiveAt = at, min(e.request.objectiveAt, at)
			}
		}
	}
}
