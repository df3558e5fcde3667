package shutdown

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// play is the plainest model of a stop: requests come by chance, each takes a connection for a time drawn by chance, and
// the first that finds none is the last of all. It returns how many are served.
func play(seed uint64, open int, ratePerMs, tookMs, leftMs float64, guarded bool) (served int) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var p AdmissionPacer
	for now := 0.0; now < 3000; now += 1 / ratePerMs { // what was seen before
		p.RecordArrival(now)
		p.RecordCompletion(now, tookMs)
	}
	type end struct{ at, took float64 }
	var busy []end
	for now := 3000 + rnd.ExpFloat64()/ratePerMs; now < 3000+leftMs; now += rnd.ExpFloat64() / ratePerMs {
		busy = slices.DeleteFunc(busy, func(e end) bool {
			if e.at <= now && e.took > 0 {
				p.RecordCompletion(e.at, e.took)
			}
			return e.at <= now
		})
		if len(busy) == open {
			return served
		}
		p.RecordArrival(now)
		took := rnd.ExpFloat64() * tookMs
		if guarded && p.ShouldReject(now, open, len(busy)+1, 3000+leftMs-now) {
			busy = append(busy, end{now + turnMs/2, 0})
			continue
		}
		busy = append(busy, end{now + took, took})
		served++
	}
	return served
}

// Over many stops the guard serves more than none does, wherever connections run short, and never loses much.
func TestStopsServeMore(t *testing.T) {
	for _, c := range []struct {
		open             int
		rate, took, gain float64 // requests per ms; the least served, as a multiple of what is without
	}{
		{1, 0.01, 40, 0.99}, {2, 0.02, 30, 1.1}, {4, 0.06, 30, 1.4}, {8, 0.15, 30, 1.3}, {15, 0.3, 40, 1.5},
		{30, 0.3, 50, 0.99}, {40, 0.02, 30, 0.99},
	} {
		with, without := 0, 0
		for seed := range uint64(200) {
			with += play(seed, c.open, c.rate, c.took, 3000, true)
			without += play(seed, c.open, c.rate, c.took, 3000, false)
		}
		t.Logf("%d connections, %.0f requests/s of %.0f ms: %d served, %d without", c.open, 1000*c.rate, c.took, with, without)
		if float64(with) < c.gain*float64(without) {
			t.Errorf("%d connections: %d served, without %d, at least %.2f times are wanted", c.open, with, without, c.gain)
		}
	}
}

// What is told may be anything: no figure makes the answer depend on something that is no number, and where nothing can
// be saved nothing is refused.
func FuzzRefuse(f *testing.F) {
	f.Add(4, 4, 2500.0, 30.0, uint8(50))
	f.Add(1, 1, 2500.0, 30.0, uint8(50))
	f.Add(0, -3, math.Inf(1), math.NaN(), uint8(0))
	f.Fuzz(func(t *testing.T, open, busy int, leftMs, tookMs float64, requests uint8) {
		var p AdmissionPacer
		now := 1e12
		for range requests {
			now += 10
			p.RecordArrival(now)
			p.RecordCompletion(now, tookMs)
		}
		if !p.ShouldReject(now, open%1000, busy%1000, leftMs) {
			return
		}
		if open%1000 < 2 || busy%1000 < 1 || !(leftMs > 0) || requests == 0 {
			t.Errorf("refused with %d open, %d busy, %v ms left, %d requests", open, busy, leftMs, requests)
		}
		if free := open%1000 - busy%1000; free > 20 {
			t.Errorf("refused with %d free", free)
		}
		if !(tookMs > 0) {
			t.Errorf("refused though answers take %v ms", tookMs)
		}
	})
}
