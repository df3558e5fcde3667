package shutdown

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// shutdownModel is a minimal model of a graceful shutdown: requests arrive at random times, and each occupies a connection
// for a random time. The first request that finds every connection busy ends the traffic, because its client then considers the
// gateway down.
type shutdownModel struct {
	connections int
	ratePerMs   float64 // arrival rate of requests
	serviceMs   float64 // mean service time
	durationMs  float64 // time from the start of the shutdown until the gateway exits
	paced       bool    // whether requests are rejected according to the pacer
}

// run returns the number of requests that are served during one shutdown.
func (m shutdownModel) run(seed uint64) (served int) {
	const startMs = 3000
	random := rand.New(rand.NewPCG(seed, 7))
	var pacer AdmissionPacer
	for nowMs := 0.0; nowMs < startMs; nowMs += 1 / m.ratePerMs { // traffic before the shutdown
		pacer.RecordArrival(nowMs)
		pacer.RecordCompletion(nowMs, m.serviceMs)
	}
	type occupancy struct{ endMs, serviceMs float64 } // serviceMs is 0 for a rejected request
	var busy []occupancy
	for nowMs := startMs + random.ExpFloat64()/m.ratePerMs; nowMs < startMs+m.durationMs; nowMs += random.ExpFloat64() / m.ratePerMs {
		busy = slices.DeleteFunc(busy, func(o occupancy) bool {
			if o.endMs <= nowMs && o.serviceMs > 0 {
				pacer.RecordCompletion(o.endMs, o.serviceMs)
			}
			return o.endMs <= nowMs
		})
		if len(busy) == m.connections {
			return served
		}
		pacer.RecordArrival(nowMs)
		serviceMs := random.ExpFloat64() * m.serviceMs
		if m.paced && pacer.ShouldReject(nowMs, m.connections, len(busy)+1, startMs+m.durationMs-nowMs) {
			busy = append(busy, occupancy{nowMs + rejectionTimeMs/2, 0})
			continue
		}
		busy = append(busy, occupancy{nowMs + serviceMs, serviceMs})
		served++
	}
	return served
}

// Over many shutdowns, more requests must be served with the pacer than without it if there are few connections for the traffic,
// and nearly as many otherwise.
func TestPacerServesMoreDuringShutdown(t *testing.T) {
	for _, c := range []struct {
		connections          int
		ratePerMs, serviceMs float64
		minGain              float64 // minimum ratio of requests served with the pacer to requests served without it
	}{
		{1, 0.01, 40, 0.99}, {2, 0.02, 30, 1.1}, {4, 0.06, 30, 1.4}, {8, 0.15, 30, 1.3}, {15, 0.3, 40, 1.5},
		{30, 0.3, 50, 0.99}, {40, 0.02, 30, 0.99},
	} {
		paced := shutdownModel{c.connections, c.ratePerMs, c.serviceMs, 3000, true}
		unpaced := paced
		unpaced.paced = false
		servedPaced, servedUnpaced := 0, 0
		for seed := range uint64(200) {
			servedPaced += paced.run(seed)
			servedUnpaced += unpaced.run(seed)
		}
		t.Logf("%d connections, %.0f requests/s of %.0f ms: %d requests served with the pacer, %d without it",
			c.connections, 1000*c.ratePerMs, c.serviceMs, servedPaced, servedUnpaced)
		if float64(servedPaced) < c.minGain*float64(servedUnpaced) {
			t.Errorf("%d connections: %d requests served with the pacer, %d without it, want at least %.2f times as many with it",
				c.connections, servedPaced, servedUnpaced, c.minGain)
		}
	}
}

// FuzzShouldReject checks that ShouldReject admits a request if its rejection cannot save any other request. The remaining
// time and the service times may have any value, including infinities and NaN.
func FuzzShouldReject(f *testing.F) {
	f.Add(4, 4, 2500.0, 30.0, uint8(50))
	f.Add(1, 1, 2500.0, 30.0, uint8(50))
	f.Add(0, -3, math.Inf(1), math.NaN(), uint8(0))
	f.Fuzz(func(t *testing.T, open, busy int, remainingMs, serviceMs float64, requests uint8) {
		var pacer AdmissionPacer
		nowMs := 1e12
		for range requests {
			nowMs += 10
			pacer.RecordArrival(nowMs)
			pacer.RecordCompletion(nowMs, serviceMs)
		}
		open, busy = open%1000, busy%1000
		if !pacer.ShouldReject(nowMs, open, busy, remainingMs) {
			return
		}
		if open < 2 || busy < 1 || !(remainingMs > 0) || requests == 0 {
			t.Errorf("rejected with %d open and %d busy connections, %v ms remaining and %d earlier requests, want admitted",
				open, busy, remainingMs, requests)
		}
		if idle := open - busy; idle > 20 {
			t.Errorf("rejected with %d idle connections, want admitted with more than 20", idle)
		}
		if !(serviceMs > 0) {
			t.Errorf("rejected with a service time of %v ms, want admitted unless it is positive", serviceMs)
		}
	})
}
