package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Gateways that do not coordinate send requests to a server that restarts, under a backlog and with some of them stalled; what all of
// them send it in any OverloadWindow must not overload it. The server does 80 units per second and starts at InitialCapacity, the worst
// case that the settings allow.
func TestGatewaysDoNotOverloadStartingServer(t *testing.T) {
	for gates, seeds := range map[int]uint64{1: 40, 5: 40, 120: 40, 300: 10} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d/%d", gates, seed), func(t *testing.T) { simulateRestart(t, gates, seed) })
		}
	}
}

func simulateRestart(t *testing.T, gates int, seed uint64) {
	const full = 80.0 // units a second
	settings := propertySettings(1)
	settings.Gateways, settings.Shards, settings.PollEndpoints, settings.OverloadWindow, settings.SlowStartUnits = gates, 1, false, time.Second, 12
	settings.Plans[1].Rate = 0.6 * full / 8 // what the volumes are sized for is a usual day's load
	rnd := rand.New(rand.NewPCG(seed, 11))
	now, restart := time.Hour, time.Hour+30*time.Second
	type pending struct {
		at time.Duration
		o  AttemptEnded
	}
	schedulers, asleep, due := make([]*Scheduler, gates), make([]time.Duration, gates), make([][]pending, gates)
	queue := make([][]Event, gates)
	units := map[RequestID]float64{}
	for i := range schedulers {
		s, err := New(settings, rnd.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i] = s
		queue[i] = []Event{EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1, Shard: 0}}}}
	}
	var window []sentUnits
	free, id, warmUnits, coldUnits, borne := now, RequestID(1), 0.0, 0.0, 0.0
	for ; now < restart+12*time.Second; now += 4 * ms {
		cold := now >= restart
		rate := full
		if cold {
			age := float64(now-restart) / float64(settings.SlowStartDuration)
			rate *= settings.InitialCapacity + (1-settings.InitialCapacity)*age
			borne += settings.SlowStartUnits * (1 + (1/settings.InitialCapacity-1)*age) * 0.004 / settings.OverloadWindow.Seconds()
		}
		if now == restart {
			for i := range schedulers {
				queue[i] = append(queue[i], EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, Shard: 0, StartedAt: now}}})
			}
		}
		load := 0.6
		if cold {
			load = 2 // a backlog of repeats
		}
		for range 4 {
			if rnd.Float64() < load*full/3.5*0.001 { // requests of 1 to 6 units
				v, hosts := rnd.IntN(8), max(gates/8, min(gates, 14))
				i := (v*hosts + rnd.IntN(hosts)) % gates // a volume comes through its own gateways, and no others
				a := RequestArrived{ID: id, Class: "all", Plan: "large", Volume: VolumeID(v), Key: uint64(id),
					TTL: 4 * time.Second, Units: float64(1 + rnd.IntN(6)), Gateways: hosts}
				units[id] = a.Units
				queue[i], id = append(queue[i], a), id+1
			}
		}
		for i, s := range schedulers {
			if now < asleep[i] {
				continue
			}
			if rnd.IntN(1500) == 0 {
				asleep[i] = now + time.Duration(1000+rnd.IntN(1000))*ms
			}
			due[i] = slices.DeleteFunc(due[i], func(p pending) bool {
				if p.at <= now {
					p.o.Latency += now - p.at
					queue[i] = append(queue[i], p.o)
				}
				return p.at <= now
			})
			events := append(queue[i], TimerFired{})
			queue[i] = nil
			for _, a := range s.Step(now, events) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				u := units[send.ID]
				free = max(free, now) + time.Duration(u/rate*float64(time.Second))
				due[i] = append(due[i], pending{free, AttemptEnded{ID: send.ID, Server: 1, Status: StatusOK, Latency: free - now, RequestDone: true}})
				if !cold {
					warmUnits += u
					continue
				}
				coldUnits += u
				window = append(window, sentUnits{now, u})
				for now-window[0].at > settings.OverloadWindow {
					window = window[1:]
				}
				sum := 0.0
				for _, w := range window {
					sum += w.units
				}
				if most := settings.OverloadMultiple * rate * settings.OverloadWindow.Seconds(); sum > most {
					t.Fatalf("rule 4: %.0f units within %v, %v after its start; it falls at %.0f",
						sum, settings.OverloadWindow, now-restart, most)
				}
			}
		}
	}
	// Of what the settings let it bear, each gateway has its even part, and uses it as far as it is asked just then.
	least := 0.15
	if gates == 300 {
		least = 0.06 // each is asked for a call in seven windows
	}
	if warmUnits < 0.4*full*30 || coldUnits < least*borne {
		t.Errorf("%.0f units while warm, %.0f of %.0f while cold: too little", warmUnits, coldUnits, borne)
	}
	t.Logf("%.0f units while warm, %.0f of %.0f while cold", warmUnits, coldUnits, borne)
}
