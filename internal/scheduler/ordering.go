package scheduler

import (
	"slices"
	"time"
)

// keyQueue holds the unfinished ordered requests of one key, in order of arrival.
type keyQueue struct {
	requests      []*request
	cooldownUntil time.Duration // later requests are not sent before
}

// keyOrder holds the order of requests by key: one runs at a time, and a key cools down after an attempt that may go on running
// at a server unobserved.
type keyOrder struct {
	queues   map[uint64]*keyQueue
	cooldown time.Duration
}

// isOrderedByKey reports whether a request has to wait for earlier ones of its key.
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

// allows reports whether a request may be sent: it is not ordered, or every earlier request of its key has ended without an
// outstanding attempt and the key is not cooling down. The cooldown does not bind the retries of the request that caused it.
func (o *keyOrder) allows(now time.Duration, request *request) bool {
	if !request.isOrderedByKey() {
		return true
	}
	queue := o.queues[request.Key]
	return queue.requests[0] == request && (now >= queue.cooldownUntil || len(request.attempts) > 0)
}

// startCooldown records that an attempt of an ordered request may still be running.
func (o *keyOrder) startCooldown(now time.Duration, request *request) {
	if !request.isOrderedByKey() {
		return
	}
	if queue := o.queues[request.Key]; queue != nil {
		queue.cooldownUntil = max(queue.cooldownUntil, now+o.cooldown)
	}
}

// remove takes an ended request out of the queue of its key. The queue stays while the key cools down.
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

// evictIdle drops empty queues whose keys have cooled down.
func (o *keyOrder) evictIdle(now time.Duration) {
	for key, queue := range o.queues {
		if len(queue.requests) == 0 && now >= queue.cooldownUntil {
			delete(o.queues, key)
		}
	}
}
