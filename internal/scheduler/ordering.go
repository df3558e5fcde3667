package scheduler

import "slices"

// This file holds the order of requests for one key.

func (s *Scheduler) isOrderedByKey(request *request) bool {
	return request.class.OrderedByKey && request.Key != NoKey
}

func (s *Scheduler) enqueueForKey(request *request) {
	queue := s.keyQueues[request.Key]
	if queue == nil {
		queue = &keyQueue{}
		s.keyQueues[request.Key] = queue
	}
	queue.requests = append(queue.requests, request)
}

// isHeadOfLine tells whether every earlier request of the key is over, without an attempt out, and rested.
// The rest binds later requests only, not a request's own further attempts.
func (s *Scheduler) isHeadOfLine(request *request) bool {
	queue := s.keyQueues[request.Key]
	return queue.requests[0] == request && (s.now >= queue.cooldownUntil || len(request.attempts) > 0)
}

// startKeyCooldown notes that an attempt may go on running.
func (s *Scheduler) startKeyCooldown(request *request) {
	if queue := s.keyQueues[request.Key]; s.isOrderedByKey(request) && queue != nil {
		queue.cooldownUntil = max(queue.cooldownUntil, s.now+s.settings.KeyCooldown+s.settings.MinStepInterval)
	}
}

func (s *Scheduler) dequeueForKey(request *request) {
	queue := s.keyQueues[request.Key]
	if i := slices.Index(queue.requests, request); i >= 0 {
		queue.requests = slices.Delete(queue.requests, i, i+1)
	}
	if len(queue.requests) == 0 && s.now >= queue.cooldownUntil {
		delete(s.keyQueues, request.Key)
	}
}
