// Package shutdown sheds load during a graceful shutdown, so that a gateway stays in use until it exits.
//
// Clients open no new connections to a gateway that is shutting down, and they regard it as down after the first request
// for which they find every open connection busy, although it could serve them for seconds more. Rejecting one request
// at once keeps a connection idle for all the requests that follow.
//
// The package is pure: no clock, no I/O, no goroutine. Times are milliseconds of one clock that never runs backwards.
package shutdown

import "math"

const (
	// decayMs is the time constant of the moving averages: a few seconds of traffic, as long as a shutdown takes.
	decayMs = 1000
	// rejectionMs is how long a rejected request occupies its connection: a round trip and two scheduling delays of a
	// busy machine.
	rejectionMs = 2
)

// AdmissionPacer decides which requests to reject during a graceful shutdown, from moving averages of the arrival rate
// and the service time. The zero value is ready to use. It is not safe for concurrent use.
type AdmissionPacer struct {
	// Exponentially decayed counts of requests and of responses, and the decayed sum of the responses' service times.
	arrivals, completions, serviceMs float64
	// firstMs is when the first observation was made, updatedMs when the averages were last decayed.
	firstMs, updatedMs float64
	started            bool
}

// RecordArrival counts a request that arrived at nowMs.
func (p *AdmissionPacer) RecordArrival(nowMs float64) {
	p.decay(nowMs)
	p.arrivals++
}

// RecordCompletion counts a response that was complete at nowMs, serviceMs after its request arrived. Negative service
// times count as 0. Responses to requests that ShouldReject rejected must not be recorded.
func (p *AdmissionPacer) RecordCompletion(nowMs, serviceMs float64) {
	p.decay(nowMs)
	p.completions++
	p.serviceMs += max(0, serviceMs)
}

// ShouldReject reports whether to reject the request that has just arrived. There are open client connections, of which
// busy carry a request, this one included, and leftMs until the gateway exits.
//
// A rejection pays off if it is expected to save more than the one request. With arrival rate r and mean service time
// s, the first busy connection becomes idle after s/busy, and another request arrives before that with probability
// 1-exp(-r*s/busy). That request would be rejected as well, so the i idle connections run out only if i requests arrive
// within one rejection time: (r*rejectionMs)^i/i!. The loss is then what would be served of r*leftMs with one connection
// less, by Erlang's loss formula. A single connection is never given up, because without it nothing can be served.
func (p *AdmissionPacer) ShouldReject(nowMs float64, open, busy int, leftMs float64) bool {
	p.decay(nowMs)
	window := p.averagingWindowMs(nowMs)
	if open < 2 || busy < 1 || leftMs <= 0 || window <= 0 || p.completions == 0 {
		return false
	}
	rate, serviceMs := p.arrivals/window, p.serviceMs/p.completions
	risk := -math.Expm1(-rate * serviceMs / float64(busy))
	for i := 1; i <= open-busy; i++ {
		if risk *= min(1, rate*rejectionMs/float64(i)); risk*rate*leftMs <= 1 {
			return false
		}
	}
	return risk*rate*leftMs*(1-erlangLoss(open-1, rate*serviceMs)) > 1
}

// decay brings the moving averages up to nowMs.
func (p *AdmissionPacer) decay(nowMs float64) {
	if !p.started {
		p.started, p.firstMs, p.updatedMs = true, nowMs, nowMs
	}
	elapsed := nowMs - p.updatedMs
	if !(elapsed > 0) {
		return
	}
	factor := math.Exp(-elapsed / decayMs)
	p.arrivals *= factor
	p.completions *= factor
	p.serviceMs *= factor
	p.updatedMs = nowMs
}

// averagingWindowMs is the time that the decayed counts stand for: nearly decayMs once the pacer is some seconds old.
func (p *AdmissionPacer) averagingWindowMs(nowMs float64) float64 {
	return decayMs * -math.Expm1(-(nowMs-p.firstMs)/decayMs)
}

// erlangLoss is Erlang's loss formula: the fraction of requests that find all connections busy, where offeredLoad
// requests are in progress on average.
func erlangLoss(connections int, offeredLoad float64) float64 {
	blocked := 1.0
	for i := 1; i <= connections; i++ {
		blocked = offeredLoad * blocked / (float64(i) + offeredLoad*blocked)
	}
	return blocked
}
