package lifecycle

import (
	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

const (
	// maxExecutedRequests bounds the number of requests that executedRequests remembers. Beyond it, the oldest are forgotten.
	maxExecutedRequests = 8192
	// maxRetentionMs bounds the time for which executedRequests remembers a request, in milliseconds.
	maxRetentionMs = 30_000
	// repetitionMarginMs is the time before the end of the deduplication window, in milliseconds, by which the attempts of a repeated
	// request must have begun.
	repetitionMarginMs = 50
)

// executedRequest is a request that has ended and that a server may have executed.
type executedRequest struct {
	clientID       string
	effect         effect
	shard          int     // shard of the first attempt that may have been executed
	firstAttemptMs float64 // time of that attempt
	forgetAtMs     float64
}

// effect identifies what a request with an idempotency key does. Requests with the same key for other data are different requests.
type effect struct {
	class          string
	volume, key    uint64
	idempotencyKey string
}

// effectOf returns the effect of a request.
func effectOf(request *Request) effect {
	return effect{class: request.Class, volume: request.Volume, key: request.Key, idempotencyKey: request.IdempotencyKey}
}

// executedRequests remembers the requests that have ended, and that servers may have executed, by the id of their client and by their effect.
// A client's retry has a fresh id by the protocol, but a client that has left may also send an id again, and the request must not run twice
// for either. Requests that may run any number of times are not remembered.
type executedRequests struct {
	classes     map[string]*scheduler.Class
	retentionMs float64
	byClientID  map[string]*executedRequest
	byEffect    map[effect]*executedRequest // the earliest one of each effect, for requests with a key
	oldestFirst []*executedRequest
	open        map[effect]*requestState // the earliest open request of each effect, for requests with a key
}

// newExecutedRequests returns an empty memory for requests of the given classes.
func newExecutedRequests(classes []scheduler.Class) *executedRequests {
	e := &executedRequests{classes: map[string]*scheduler.Class{}, byClientID: map[string]*executedRequest{},
		byEffect: map[effect]*executedRequest{}, open: map[effect]*requestState{}}
	for i := range classes {
		class := &classes[i]
		e.classes[class.Name] = class
		e.retentionMs = min(maxRetentionMs, max(e.retentionMs, clock.Ms(class.DedupWindow+class.Deadline)))
	}
	return e
}

// begin records that a request has been accepted.
func (e *executedRequests) begin(state *requestState) {
	if state.request.IdempotencyKey == "" {
		return
	}
	if identity := effectOf(state.request); e.open[identity] == nil {
		e.open[identity] = state
	}
}

// end records that the state of a request is released.
func (e *executedRequests) end(state *requestState) {
	if identity := effectOf(state.request); e.open[identity] == state {
		delete(e.open, identity)
	}
}

// earliestRun returns the shard and the time of the first attempt that may have executed the effect of a request and that servers still
// recognize. ok is false if there is none.
func (e *executedRequests) earliestRun(nowMs float64, request *Request) (run executedRequest, ok bool) {
	identity := effectOf(request)
	if ended := e.byEffect[identity]; ended != nil && e.windowLeftMs(nowMs, ended) > 0 {
		return *ended, true
	}
	state := e.open[identity]
	if state == nil {
		return executedRequest{}, false
	}
	first := state.firstPossiblyExecuted()
	if first == nil {
		return executedRequest{}, false
	}
	run = executedRequest{effect: identity, shard: first.server.Shard, firstAttemptMs: first.sentMs}
	return run, e.windowLeftMs(nowMs, &run) > 0
}

// remember records a request that has ended, unless another one with its id is remembered.
func (e *executedRequests) remember(nowMs float64, request *Request, first *attemptState) {
	class := e.classes[request.Class]
	if request.ClientID == "" || class == nil || class.Idempotency == scheduler.Idempotent || e.byClientID[request.ClientID] != nil {
		return
	}
	e.forget(nowMs)
	entry := &executedRequest{clientID: request.ClientID, effect: effectOf(request), shard: first.server.Shard,
		firstAttemptMs: first.sentMs, forgetAtMs: nowMs + e.retentionMs}
	e.byClientID[entry.clientID] = entry
	e.oldestFirst = append(e.oldestFirst, entry)
	if earlier := e.byEffect[entry.effect]; request.IdempotencyKey != "" && (earlier == nil || e.windowLeftMs(nowMs, earlier) <= 0) {
		e.byEffect[entry.effect] = entry
	}
}

// forget forgets the requests whose time is over, and the oldest ones if there are too many.
func (e *executedRequests) forget(nowMs float64) {
	for len(e.oldestFirst) > 0 && (e.oldestFirst[0].forgetAtMs <= nowMs || len(e.oldestFirst) >= maxExecutedRequests) {
		oldest := e.oldestFirst[0]
		delete(e.byClientID, oldest.clientID)
		if e.byEffect[oldest.effect] == oldest {
			delete(e.byEffect, oldest.effect)
		}
		e.oldestFirst[0] = nil
		e.oldestFirst = e.oldestFirst[1:]
	}
}

// admission says where and for how long a request may run.
type admission struct {
	shard       int
	remainingMs float64
}

// admit returns where and for how long a request may run. ok is false if it must not be accepted. If its id is that of a remembered request,
// and servers recognize the repetition, it may run only where and only as long as they do. The request itself is not changed, since its
// frontend reads it.
func (e *executedRequests) admit(nowMs float64, request *Request) (admitted admission, ok bool) {
	e.forget(nowMs)
	admitted = admission{shard: request.Shard, remainingMs: request.RemainingMs}
	earlier, class := e.byClientID[request.ClientID], e.classes[request.Class]
	if class == nil || class.Idempotency == scheduler.Idempotent {
		return admitted, true
	}
	if earlier == nil {
		return e.admitRetry(nowMs, request, class), true
	}
	sameKey := class.Idempotency == scheduler.IdempotentWithKey && request.IdempotencyKey == earlier.effect.idempotencyKey
	windowLeftMs := e.windowLeftMs(nowMs, earlier)
	if !sameKey || windowLeftMs <= 0 {
		return admission{}, false
	}
	admitted.remainingMs = min(admitted.remainingMs, windowLeftMs)
	switch {
	case class.DedupScope == scheduler.DedupAll:
	case class.DedupScope == scheduler.DedupShard && (request.Shard == anyShard || request.Shard == earlier.shard):
		admitted.shard = earlier.shard
	default:
		return admission{}, false
	}
	return admitted, true
}

// windowLeftMs returns the time for which servers still recognize repetitions of a remembered request, less a margin. It may be negative.
func (e *executedRequests) windowLeftMs(nowMs float64, earlier *executedRequest) float64 {
	window := e.classes[earlier.effect.class].DedupWindow
	return earlier.firstAttemptMs + clock.Ms(window) - repetitionMarginMs - nowMs
}

// admitRetry returns where and for how long a request with a fresh id may run. If servers still recognize an earlier run of its effect, it
// runs only as long as they do, and at the same shard unless all servers recognize it or the client names another shard. Otherwise it is a
// new request.
func (e *executedRequests) admitRetry(nowMs float64, request *Request, class *scheduler.Class) admission {
	admitted := admission{shard: request.Shard, remainingMs: request.RemainingMs}
	if class.Idempotency != scheduler.IdempotentWithKey || request.IdempotencyKey == "" {
		return admitted
	}
	earlier, ok := e.earliestRun(nowMs, request)
	if !ok {
		return admitted
	}
	admitted.remainingMs = min(admitted.remainingMs, e.windowLeftMs(nowMs, &earlier))
	if class.DedupScope != scheduler.DedupAll && request.Shard == anyShard {
		admitted.shard = earlier.shard
	}
	return admitted
}

// anyShard is the Request.Shard of a new object.
const anyShard = -1
