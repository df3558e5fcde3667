package scheduler

import (
	"slices"
	"time"
)

// keyQueue holds the unfinished ordered requests of one key, in order of arrival.
type keyQueue struct {
	requests      []*request
	cooldownUntil time.Duration // clock time before which no request of the key gets its first attempt
}

// keyOrder implements per-key order: the requests of a key run one at a time, in order of arrival. After an attempt that the server
// may still be executing although the gateway no longer observes it, later requests of the key wait for a cooldown.
type keyOrder struct {
	queues   map[uint64]*keyQueue
	cooldown time.Duration // duration of a key's cooldown
}

// isOrderedByKey reports whether a request has to wait for earlier requests of its key.
func (r *request) isOrderedByKey() bool { return r.class.OrderedByKey && r.Key != NoKey }

// enqueue appends a request to the queue of its key. A request that is not ordered is ignored.
func (o *keyOrder) enqueue(request *request) {
	if !request.isOrderedByKey() {
		return
	}
	queue := o.queues[request.Key]
	if queue == nil {
		queue = &keyQueue{}
		o.queues[request.Key] = queue
	}
	queue.requests = append(queue.requests, request)
}

// allows reports whether per-key order allows a request to be sent. An ordered request must be the first in the queue of its key,
// and the cooldown of the key must be over. A request stays in the queue until it has ended and has no outstanding attempt. The
// cooldown does not apply to retries of the request that caused it.
func (o *keyOrder) allows(now time.Duration, request *request) bool {
	if !request.isOrderedByKey() {
		return true
	}
	queue := o.queues[request.Key]
	return queue.requests[0] == request && (now >= queue.cooldownUntil || len(request.attempts) > 0)
}

// startCooldown starts the cooldown of a request's key, because an attempt of the request may still be running at a server. A
// request that is not ordered is ignored.
func (o *keyOrder) startCooldown(now time.Duration, request *request) {
	if !request.isOrderedByKey() {
		return
	}
	if queue := o.queues[request.Key]; queue != nil {
		queue.cooldownUntil = max(queue.cooldownUntil, now+o.cooldown)
	}
}

// remove takes an ended request out of the queue of its key. An empty queue is kept until the cooldown of the key is over.
func (o *keyOrder) remove(now time.Duration, request *request) {
	if !request.isOrderedByKey() {
		return
	}
	queue := o.queues[request.Key]
	if i := slices.Index(queue.requests, request); i >= 0 {
		queue.requests = slices.Delete(queue.requests, i, i+1)
	}
	if len(queue.requests) == 0 && now >= queue.cooldownUntil {
		delete(o.queues, request.Key)
	}
}

// evictIdle drops the empty queues of keys whose cooldown is over.
func (o *keyOrder) evictIdle(now time.Duration) {
	for key, queue := range o.queues {
		if len(queue.requests) == 0 && now >= queue.cooldownUntil {
			delete(o.queues, key)
		}
	}
}
