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
	idempotencyKey string
	shard          int     // shard of the first attempt that may have been executed
	firstAttemptMs float64 // time of that attempt
	forgetAtMs     float64
}

// executedRequests remembers the requests that have ended, and that servers may have executed, by the id of their client. Ids are new for
// each request by the protocol, but a client that has left may send one again, and the request must not run twice for it. Requests that
// may run any number of times are not remembered.
type executedRequests struct {
	classes     map[string]*scheduler.Class
	retentionMs float64
	byClientID  map[string]*executedRequest
	oldestFirst []*executedRequest
}

// newExecutedRequests returns an empty memory for requests of the given classes.
func newExecutedRequests(classes []scheduler.Class) *executedRequests {
	e := &executedRequests{classes: map[string]*scheduler.Class{}, byClientID: map[string]*executedRequest{}}
	for i := range classes {
		class := &classes[i]
		e.classes[class.Name] = class
		e.retentionMs = min(maxRetentionMs, max(e.retentionMs, clock.Ms(class.DedupWindow+class.Deadline)))
	}
	return e
}

// remember records a request that has ended, unless another one with its id is remembered.
func (e *executedRequests) remember(nowMs float64, request *Request, first *attemptState) {
	class := e.classes[request.Class]
	if request.ClientID == "" || class == nil || class.Idempotency == scheduler.Idempotent || e.byClientID[request.ClientID] != nil {
		return
	}
	e.forget(nowMs)
	entry := &executedRequest{clientID: request.ClientID, idempotencyKey: request.IdempotencyKey, shard: first.server.Shard,
		firstAttemptMs: first.sentMs, forgetAtMs: nowMs + e.retentionMs}
	e.byClientID[entry.clientID] = entry
	e.oldestFirst = append(e.oldestFirst, entry)
}

// forget forgets the requests whose time is over, and the oldest ones if there are too many.
func (e *executedRequests) forget(nowMs float64) {
	for len(e.oldestFirst) > 0 && (e.oldestFirst[0].forgetAtMs <= nowMs || len(e.oldestFirst) >= maxExecutedRequests) {
		delete(e.byClientID, e.oldestFirst[0].clientID)
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
	if earlier == nil || class == nil || class.Idempotency == scheduler.Idempotent {
		return admitted, true
	}
	sameKey := class.Idempotency == scheduler.IdempotentWithKey && request.IdempotencyKey == earlier.idempotencyKey
	windowLeftMs := earlier.firstAttemptMs + clock.Ms(class.DedupWindow) - repetitionMarginMs - nowMs
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

// anyShard is the Request.Shard of a new object.
const anyShard = -1
