package shutdown

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// shutdownModel is a minimal model of a graceful shutdown: requests arrive at random, each occupies a connection for a
// random time, and the first that finds every connection busy is the last.
type shutdownModel struct {
	connections int
	ratePerMs   float64 // of arrivals
	serviceMs   float64 // mean
	totalMs     float64 // until the gateway exits
	paced       bool    // whether the pacer's rejections are obeyed
}

// run returns the number of requests that one shutdown serves.
func (m shutdownModel) run(seed uint64) (served int) {
	const startMs = 3000
	rnd := rand.New(rand.NewPCG(seed, 7))
	var pacer AdmissionPacer
	for now := 0.0; now < startMs; now += 1 / m.ratePerMs { // traffic before the shutdown
		pacer.RecordArrival(now)
		pacer.RecordCompletion(now, m.serviceMs)
	}
	type occupancy struct{ endMs, serviceMs float64 }
	var busy []occupancy
	for now := startMs + rnd.ExpFloat64()/m.ratePerMs; now < startMs+m.totalMs; now += rnd.ExpFloat64() / m.ratePerMs {
		busy = slices.DeleteFunc(busy, func(o occupancy) bool {
			if o.endMs <= now && o.serviceMs > 0 {
				pacer.RecordCompletion(o.endMs, o.serviceMs)
			}
			return o.endMs <= now
		})
		if len(busy) == m.connections {
			return served
		}
		pacer.RecordArrival(now)
		serviceMs := rnd.ExpFloat64() * m.serviceMs
		if m.paced && pacer.ShouldReject(now, m.connections, len(busy)+1, startMs+m.totalMs-now) {
			busy = append(busy, occupancy{now + rejectionMs/2, 0})
			continue
		}
		busy = append(busy, occupancy{now + serviceMs, serviceMs})
		served++
	}
	return served
}

// Over many shutdowns the pacer serves more requests wherever connections run short, and never loses many.
func TestPacerServesMoreDuringShutdown(t *testing.T) {
	for _, c := range []struct {
		connections          int
		ratePerMs, serviceMs float64
		leastGain            float64 // served with the pacer, as a multiple of what is served without it
	}{
		{1, 0.01, 40, 0.99}, {2, 0.02, 30, 1.1}, {4, 0.06, 30, 1.4}, {8, 0.15, 30, 1.3}, {15, 0.3, 40, 1.5},
		{30, 0.3, 50, 0.99}, {40, 0.02, 30, 0.99},
	} {
		paced := shutdownModel{c.connections, c.ratePerMs, c.serviceMs, 3000, true}
		unpaced := paced
		unpaced.paced = false
		with, without := 0, 0
		for seed := range uint64(200) {
			with += paced.run(seed)
			without += unpaced.run(seed)
		}
		t.Logf("%d connections, %.0f requests/s of %.0f ms: %d served, %d without the pacer",
			c.connections, 1000*c.ratePerMs, c.serviceMs, with, without)
		if float64(with) < c.leastGain*float64(without) {
			t.Errorf("%d connections: %d served, %d without the pacer, want at least %.2f times as many",
				c.connections, with, without, c.leastGain)
		}
	}
}

// FuzzShouldReject checks that no observation, infinities and NaN included, leads to a rejection that can save nothing.
func FuzzShouldReject(f *testing.F) {
	f.Add(4, 4, 2500.0, 30.0, uint8(50))
	f.Add(1, 1, 2500.0, 30.0, uint8(50))
	f.Add(0, -3, math.Inf(1), math.NaN(), uint8(0))
	f.Fuzz(func(t *testing.T, open, busy int, leftMs, serviceMs float64, requests uint8) {
		var pacer AdmissionPacer
		now := 1e12
		for range requests {
			now += 10
			pacer.RecordArrival(now)
			pacer.RecordCompletion(now, serviceMs)
		}
		open, busy = open%1000, busy%1000
		if !pacer.ShouldReject(now, open, busy, leftMs) {
			return
		}
		if open < 2 || busy < 1 || !(leftMs > 0) || requests == 0 {
			t.Errorf("rejected with %d open, %d busy, %v ms left, %d requests", open, busy, leftMs, requests)
		}
		if idle := open - busy; idle > 20 {
			t.Errorf("rejected with %d idle connections", idle)
		}
		if !(serviceMs > 0) {
			t.Errorf("rejected though the service time is %v ms", serviceMs)
		}
	})
}
