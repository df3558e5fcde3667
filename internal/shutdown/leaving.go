// Package leaving decides which requests a gateway that was told to stop refuses at once, so that it stays in use
// until it ends.
//
// Clients open no new connections to such a gateway, and the first request that finds all of those that are open busy
// has none to go by: from then on its clients hold the gateway for gone, though it could serve them for seconds. One
// request that is refused at once leaves a connection free for all that come after it.
//
// The package is pure: no clock, no I/O, no goroutine. Times are milliseconds. A Pace is not safe for concurrent use.
package shutdown

import "math"

const (
	// fadeMs is how long ago what is counted weighs 1/e: some seconds' traffic, as a stop takes that long.
	fadeMs = 1000
	// turnMs is how long a connection is busy with a request that is refused at once: the way there and back, and
	// two turns of a busy machine.
	turnMs = 2
)

// AdmissionPacer is how requests come and how long they take, as a front has seen it lately.
type AdmissionPacer struct {
	came, done, spentMs float64 // faded
	since, at           float64
	begun               bool
}

func (p *AdmissionPacer) fade(nowMs float64) {
	if !p.begun {
		p.begun, p.since, p.at = true, nowMs, nowMs
	}
	if past := nowMs - p.at; past > 0 {
		f := math.Exp(-past / fadeMs)
		p.came, p.done, p.spentMs, p.at = p.came*f, p.done*f, p.spentMs*f, nowMs
	}
}

// RecordArrival counts a request.
func (p *AdmissionPacer) RecordArrival(nowMs float64) {
	p.fade(nowMs)
	p.came++
}

// RecordCompletion counts an answer that was not given by this package's word, and how long it took.
func (p *AdmissionPacer) RecordCompletion(nowMs, tookMs float64) {
	p.fade(nowMs)
	p.done++
	p.spentMs += max(0, tookMs)
}

// ShouldReject tells whether the request that has just come is better refused at once, with open connections of clients, of
// which busy have a request, this one's included, and leftMs until the gateway ends.
//
// It is when that saves more than the one request. Let requests come at a rate of r and take s. Until the first of the
// busy connections is free again, in s/busy, more come with probability 1-exp(-r*s/busy). Each of them would be refused
// as well, and the i idle connections run out only if i come inside one such turn: (r*turn)^i/i!. What is lost then is
// what would be served of r*left, on one connection less: Erlang's loss formula tells the part. With one connection
// alone nothing would be, so it is used for as long as it goes well.
func (p *AdmissionPacer) ShouldReject(nowMs float64, open, busy int, leftMs float64) bool {
	p.fade(nowMs)
	seen := fadeMs * -math.Expm1(-(nowMs-p.since)/fadeMs)
	if open < 2 || busy < 1 || leftMs <= 0 || seen <= 0 || p.done == 0 {
		return false
	}
	rate, took := p.came/seen, p.spentMs/p.done
	risk := -math.Expm1(-rate * took / float64(busy))
	for i := 1; i <= open-busy; i++ {
		if risk *= min(1, rate*turnMs/float64(i)); risk*rate*leftMs <= 1 {
			return false
		}
	}
	return risk*rate*leftMs*(1-blocked(open-1, rate*took)) > 1
}

// blocked is Erlang's loss formula: the part of requests that find all of n connections busy, where load are on
// their way in the mean.
func blocked(n int, load float64) float64 {
	b := 1.0
	for i := 1; i <= n; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b
}
