package scheduler

import (
	"slices"
	"time"
)

// attempt is one send of a request to a server.
type attempt struct {
	request *request
	server  *serverEntry
	sentAt  time.Duration
	ended   bool
	lost    bool // its response is no longer expected, so it does not count as in flight
}

// releaseSlot stops counting the attempt as in flight at its server and in its flow.
func (a *attempt) releaseSlot() {
	a.server.inFlight--
	a.request.flow().outstanding--
}

// request is an admitted request. It is kept until it is finished and has no outstanding attempt.
type request struct {
	RequestArrived
	class                *Class
	volume               *volumeEntry
	shard                *shard
	objectiveAt          time.Duration // when its latency objective is missed
	expiresAt            time.Duration // when the client stops waiting; 0: its response has started
	retryNotBefore       time.Duration
	attempts             []*attempt
	outstanding          int  // attempts that have not ended, including lost ones
	mayHaveExecuted      bool // by an ended attempt
	mayHaveExecutedSince time.Duration
	executionZone        string // zone of the server that may have executed it first
	finished             bool   // nothing more is sent for it
	queued               bool   // in the queue of its flow
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

// shortenDeadline makes the request end by a time, unless its response has started.
func (r *request) shortenDeadline(latest time.Duration) {
	if r.expiresAt != 0 {
		r.expiresAt, r.objectiveAt = latest, min(r.objectiveAt, latest)
	}
}

// recordPossibleExecution notes that an attempt may have been executed.
func (r *request) recordPossibleExecution(attempt *attempt) {
	if !r.mayHaveExecuted || attempt.sentAt < r.mayHaveExecutedSince {
		r.mayHaveExecuted, r.mayHaveExecutedSince, r.executionZone = true, attempt.sentAt, attempt.server.Zone
	}
}
