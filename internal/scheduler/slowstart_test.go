package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartScenario is a shard whose node restarts, asked through many gateways that share nothing.
type slowStartScenario struct {
	gateways       int
	tolerance      float64       // ColdBears
	demand         float64       // units a second of all
	latency        time.Duration // of answers
	burst          bool          // what is asked comes in bursts, at all gateways at one moment
	delayedUpdates bool          // gateways are told of the start up to 3 s late
}

// run plays 20 s behind the restart and tells the worst window as part of the rule's bound, and the units sent.
func (p slowStartScenario) run(t *testing.T, seed uint64) (worst, units float64) {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.Shards, settings.MeanUnits, settings.MaxUnits = p.gateways, 1, 2, 6
	settings.SlowStartUnits, settings.InitialCapacity, settings.OverloadWindow, settings.SlowStartDuration, settings.OverloadMultiple = p.tolerance, 0.28, 3*time.Second, 15*time.Second, 2.5
	rnd := rand.New(rand.NewPCG(seed, 77))
	start := time.Hour + 5*time.Second
	schedulers, told := make([]*Scheduler, p.gateways), make([]time.Duration, p.gateways)
	for i := range schedulers {
		s, err := New(settings, rnd.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i], told[i] = s, start
		if p.delayedUpdates {
			told[i] += time.Duration(rnd.Float64() * float64(3*time.Second))
		}
		s.Step(time.Hour, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
	}
	type answer struct {
		gate int
		at   time.Duration
		o    AttemptEnded
	}
	var window []sentUnits
	var due []answer
	id, sum := RequestID(0), 0.0
	for now := start; now < start+20*time.Second; now += 20 * ms {
		events := map[int][]Event{}
		for len(due) > 0 && due[0].at <= now {
			events[due[0].gate] = append(events[due[0].gate], due[0].o)
			due = due[1:]
		}
		n, mean := 0, p.demand/2*0.02
		if p.burst {
			mean = 0
			if now%(2*time.Second) == 0 {
				n = int(p.demand)
			}
		}
		for ; mean > 0 && rnd.Float64() < mean; mean-- {
			n++
		}
		for range n {
			id++
			g := rnd.IntN(p.gateways)
			events[g] = append(events[g], RequestArrived{ID: id, Class: "bulk", Plan: "gold", Volume: VolumeID(rnd.IntN(20)), Key: uint64(id),
				TTL: 4 * time.Second, Units: 2, Gateways: p.gateways})
		}
		for i, s := range schedulers {
			if told[i] != 0 && now >= told[i] {
				told[i] = 0
				events[i] = append(events[i], EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: start}}})
			}
			for _, a := range s.Step(now, append(events[i], TimerFired{})) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				due = append(due, answer{i, now + p.latency, AttemptEnded{ID: send.ID, Server: 1, Status: StatusOK, Latency: p.latency, RequestDone: true}})
				if told[i] != 0 || now-start >= settings.SlowStartDuration {
					continue // who was not told is free
				}
				window = append(window, sentUnits{now, 2})
				units, sum = units+2, sum+2
				for now-window[0].at >= settings.OverloadWindow {
					sum -= window[0].units
					window = window[1:]
				}
				grown := p.tolerance / settings.MeanUnits * (1 + (1/settings.InitialCapacity-1)*float64(now-start)/float64(settings.SlowStartDuration))
				worst = max(worst, sum/settings.MeanUnits/(grown+slowStartSlack(grown)))
			}
		}
	}
	return worst, units
}

// However many gateways there are, and however much is asked of them in whatever way, all together keep the bound of a
// starting node; and where no more is asked than usual it is used.
func TestSlowStartIsABound(t *testing.T) {
	for _, gates := range []int{1, 3, 10, 80} {
		for _, bears := range []float64{2, 10, 51, 400} {
			for _, p := range []slowStartScenario{
				{demand: 0.3, latency: 10 * ms}, {demand: 2, latency: 150 * ms}, {demand: 4, latency: 10 * ms}, {demand: 8, burst: true, latency: 10 * ms},
				{demand: 4, delayedUpdates: true, latency: 10 * ms},
			} {
				p.gateways, p.tolerance, p.demand = gates, bears, p.demand*bears
				t.Run(fmt.Sprintf("%+v", p), func(t *testing.T) {
					t.Parallel()
					seeds := uint64(2)
					if gates > 10 {
						seeds = 1
					}
					for seed := range seeds {
						worst, units := p.run(t, seed)
						if worst > 1 {
							t.Errorf("seed %d: %.2f of the bound", seed, worst)
						}
						if usable := 2 * p.tolerance; p.tolerance > 50 && !p.burst && !p.delayedUpdates && p.demand > 1.9*bears && units < usable {
							t.Errorf("seed %d: only %.0f units of some %.0f that are borne", seed, units, 12*p.tolerance)
						}
					}
				})
			}
		}
	}
}
