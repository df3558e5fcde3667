// Package shutdown sheds load during a graceful shutdown, so that clients use the gateway until it exits.
//
// Clients open no new connections to a gateway that is shutting down. If a client has a request and finds every open connection
// busy, it considers the gateway down, although the gateway could serve requests for seconds more. Rejecting one request at once
// keeps a connection idle for the requests that follow.
//
// Package shutdown owns no goroutine, performs no I/O and reads no clock. All times are in milliseconds on one clock that
// never runs backwards.
package shutdown

import "math"

const (
	// averagingTimeMs is the time constant of the exponential moving averages. They cover a few seconds of traffic, which is
	// as long as a shutdown takes.
	averagingTimeMs = 1000
	// rejectionTimeMs is how long a rejected request occupies its connection: a round trip and two scheduling delays of a
	// busy machine.
	rejectionTimeMs = 2
)

// AdmissionPacer decides which requests to reject during a graceful shutdown, from moving averages of the arrival rate
// and the service time. The zero value is ready to use. An AdmissionPacer is not safe for concurrent use.
type AdmissionPacer struct {
	// arrivals and completions are exponentially decayed counts of requests and of responses, and serviceMs is the decayed sum
	// of the service times of these responses.
	arrivals, completions, serviceMs float64
	// firstMs is the time of the first observation, and updatedMs is the time of the last decay. Both are valid if started is set.
	firstMs, updatedMs float64
	started            bool
}

// RecordArrival counts a request that arrived at nowMs.
func (p *AdmissionPacer) RecordArrival(nowMs float64) {
	p.decay(nowMs)
	p.arrivals++
}

// RecordCompletion counts a response that was complete at nowMs, serviceMs after its request arrived. A negative service
// time is counted as 0. Responses to requests that were rejected because of ShouldReject must not be recorded.
func (p *AdmissionPacer) RecordCompletion(nowMs, serviceMs float64) {
	p.decay(nowMs)
	p.completions++
	p.serviceMs += max(0, serviceMs)
}

// ShouldReject reports whether to reject the request that has just arrived. open is the number of open client connections,
// busy is the number of those that carry a request, including this one, and remainingMs is the time until the gateway exits.
//
// A request is rejected if the rejection is expected to save more requests than the one that it costs. Let r be the arrival
// rate, s the mean service time, and i the number of idle connections, open-busy:
//   - The first of the busy connections becomes idle after s/busy on average. Another request arrives before that with probability
//     1-exp(-r*s/busy).
//   - That request would be rejected as well. All i idle connections are therefore in use at once only if i requests arrive
//     within the time of one rejection, which has the probability (r*rejectionTimeMs)^i/i!.
//   - When no connection is idle, clients consider the gateway down. It then loses those of the r*remainingMs further requests
//     that it would have served over open-1 connections. Their number follows from Erlang's loss formula.
//
// If only one connection is open, no request is rejected, because no other connection could serve any.
func (p *AdmissionPacer) ShouldReject(nowMs float64, open, busy int, remainingMs float64) bool {
	p.decay(nowMs)
	windowMs := p.averagingWindowMs(nowMs)
	if open < 2 || busy < 1 || remainingMs <= 0 || windowMs <= 0 || p.completions == 0 {
		return false
	}
	ratePerMs, serviceMs := p.arrivals/windowMs, p.serviceMs/p.completions
	exhaustion := -math.Expm1(-ratePerMs * serviceMs / float64(busy)) // probability that no connection is idle
	for i := 1; i <= open-busy; i++ {
		if exhaustion *= min(1, ratePerMs*rejectionTimeMs/float64(i)); exhaustion*ratePerMs*remainingMs <= 1 {
			return false
		}
	}
	return exhaustion*ratePerMs*remainingMs*(1-erlangLoss(open-1, ratePerMs*serviceMs)) > 1
}

// decay applies the decay of the moving averages up to nowMs.
func (p *AdmissionPacer) decay(nowMs float64) {
	if !p.started {
		p.started, p.firstMs, p.updatedMs = true, nowMs, nowMs
	}
	elapsedMs := nowMs - p.updatedMs
	if !(elapsedMs > 0) {
		return
	}
	factor := math.Exp(-elapsedMs / averagingTimeMs)
	p.arrivals *= factor
	p.completions *= factor
	p.serviceMs *= factor
	p.updatedMs = nowMs
}

// averagingWindowMs returns the length of the time that the decayed counts represent. Some seconds after the first observation
// it is nearly averagingTimeMs.
func (p *AdmissionPacer) averagingWindowMs(nowMs float64) float64 {
	return averagingTimeMs * -math.Expm1(-(nowMs-p.firstMs)/averagingTimeMs)
}

// erlangLoss computes Erlang's loss formula (Erlang B): the fraction of requests that find all connections busy. offeredLoad is
// the arrival rate multiplied by the mean service time.
func erlangLoss(connections int, offeredLoad float64) float64 {
	blockedFraction := 1.0
	for i := 1; i <= connections; i++ {
		blockedFraction = offeredLoad * blockedFraction / (float64(i) + offeredLoad*blockedFraction)
	}
	return blockedFraction
}
