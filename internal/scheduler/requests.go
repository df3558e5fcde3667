package scheduler

import (
	"slices"
	"time"
)

// attempt is one transmission of a request to a server.
type attempt struct {
	request *request
	server  *serverEntry
	sentAt  time.Duration
	ended   bool
	lost    bool // whether a response is no longer expected; a lost attempt does not count as in flight
}

// releaseSlot stops counting the attempt as in flight at its server and in its flow.
func (a *attempt) releaseSlot() {
	a.server.inFlight--
	a.request.flow().outstanding--
}

// request is an admitted request. The scheduler keeps it until it is finished and has no outstanding attempt.
type request struct {
	RequestArrived
	class                *Class
	volume               *volumeEntry
	shard                *shard
	objectiveAt          time.Duration // clock time by which a response must arrive to meet the latency objective
	expiresAt            time.Duration // clock time of the deadline; 0: none, since the response has started
	retryNotBefore       time.Duration // clock time before which no retry is sent
	attempts             []*attempt
	outstanding          int           // number of attempts that have not ended, including lost ones
	mayHaveExecuted      bool          // whether a server may have executed an attempt that has ended
	mayHaveExecutedSince time.Duration // send time of the earliest attempt that may have been executed
	executionZone        string        // zone of the server that got the earliest attempt that may have been executed
	finished             bool          // whether the request has ended, so that no further attempt is sent
	queued               bool          // whether the queue of its flow contains the request
}

// flow returns the flow of the request's volume at its shard.
func (r *request) flow() *flow { return r.shard.flowsByVolume[r.Volume] }

// dequeue takes the request out of the queue of its flow.
func (r *request) dequeue() {
	flow := r.flow()
	if i := slices.Index(flow.queue, r); i >= 0 {
		flow.queue = slices.Delete(flow.queue, i, i+1)
	}
	r.queued = false
}

// shortenDeadline sets the deadline to the given time and moves a later objective to that time. A request whose response has started
// has no deadline and is left unchanged.
func (r *request) shortenDeadline(latest time.Duration) {
	if r.expiresAt != 0 {
		r.expiresAt, r.objectiveAt = latest, min(r.objectiveAt, latest)
	}
}

// recordPossibleExecution records that an attempt may have been executed. Of several such attempts, the earliest is kept.
func (r *request) recordPossibleExecution(attempt *attempt) {
	if !r.mayHaveExecuted || attempt.sentAt < r.mayHaveExecutedSince {
		r.mayHaveExecuted, r.mayHaveExecutedSince, r.executionZone = true, attempt.sentAt, attempt.server.Zone
	}
}
