package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestLimitIsEmptyAfterStart(t *testing.T) {
	gateway := newTestGateway(t, nil)
	var events []Event
	for k := range 12 {
		events = append(events, gateway.newArrival("bulk", "capped", 1, 6, uint64(k)))
	}
	if got := sentIDs(gateway.step(events...)); len(got) != 0 {
		t.Errorf("sent %v from a bucket that a predecessor may have emptied", got)
	}
	if got := sentIDs(gateway.advance(1000 * ms)); len(got) != 3 { // 20 units a second: 6 at 0.3, 0.6 and 0.9 s
		t.Errorf("sent %d in a second, want 3", len(got))
	}
}

// A gateway that carries all requests of a volume may use all of its reserve; absurd and absent reports leave the even part.
func TestReservePartFollowsForeignUnits(t *testing.T) {
	for name, c := range map[string]struct {
		foreign  float64
		min, max float64
	}{
		"alone":  {0, 60, 100},
		"a part": {18, 5, 30},
		"absurd": {1e300, 24, 26},
		"nan":    {nan(), 24, 26},
		"below":  {-5, 24, 26},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.ReportsForeignUnits, s.Gateways = true, 8 })
			for k := range 40 {
				a := gateway.newArrival("read", "kept", 3, 2, uint64(k))
				a.Gateways = 4
				if len(sentIDs(gateway.step(a))) == 0 {
					t.Fatal("not sent")
				}
				gateway.now += 20 * ms
				gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 20 * ms, ForeignUnits: c.foreign, RequestDone: true})
			}
			if r := gateway.scheduler.volumes[3].reserve.rate; !(r >= c.min && r <= c.max) {
				t.Errorf("reserve of this gateway %.1f of 100, want %v to %v", r, c.min, c.max)
			}
		})
	}
}

// A volume whose requests come through more gateways than first known has a smaller part of its limit in each.
func TestLimitFollowsGatewayCount(t *testing.T) {
	gateway := newTestGateway(t, nil)
	a := gateway.newArrival("read", "capped", 1, 1, 1)
	volume := gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"])
	a.Gateways = 2
	if gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"]); volume.limit.rate != 10 || volume.limit.capacity != 12 {
		t.Errorf("two hosts: rate %v, most %v", volume.limit.rate, volume.limit.capacity)
	}
	a.Gateways = 1
	if gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"]); volume.limit.rate != 10 {
		t.Errorf("one again: rate %v", volume.limit.rate)
	}
}

// The requests of a volume come unevenly through one to three of 300 gateways and ask for three times its limit. Together the gateways keep
// the limit's bucket above -LimitOverdraft and send most of what the limit allows.
func TestLimitOverFewOfManyGateways(t *testing.T) {
	for hosts := 1; hosts <= 3; hosts++ {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			settings := testSettings()
			settings.Gateways, settings.Shards = simulatedGateways, 20
			plan := &settings.Plans[3]
			plan.LimitBurst, plan.LimitOverdraft = 2*6*float64(hosts), 6
			rnd := rand.New(rand.NewPCG(uint64(hosts), 5))
			schedulers := make([]*Scheduler, hosts)
			for i := range schedulers {
				s, err := New(settings, rnd.Uint64())
				if err != nil {
					t.Fatal(err)
				}
				schedulers[i] = s
				s.Step(time.Hour, []Event{endpointList(settings.Shards)})
			}
			id, units, sent := RequestID(0), map[RequestID]float64{}, 0.0
			store := tokenBucket{rate: plan.Limit, capacity: plan.LimitBurst, tokens: plan.LimitBurst, updatedAt: time.Hour}
			const length = 20 * time.Second
			for now := time.Hour; now < time.Hour+length; now += 5 * ms {
				events := make([][]Event, hosts)
				if rnd.Float64() < 3*plan.Limit/3.5*0.005 {
					id++
					u := float64(1 + rnd.IntN(6))
					units[id] = u
					i := rnd.IntN(hosts)
					events[i] = append(events[i], RequestArrived{ID: id, Class: "read", Plan: plan.Name, Volume: 7, Key: uint64(id),
						TTL: time.Second, Units: u, Shard: rnd.IntN(settings.Shards), Gateways: hosts})
				}
				for i, s := range schedulers {
					for _, a := range s.Step(now, append(events[i], TimerFired{})) {
						if a, ok := a.(Send); ok {
							store.consume(now, units[a.ID])
							sent += units[a.ID]
							s.Step(now, []Event{AttemptEnded{ID: a.ID, Server: a.Server, Status: StatusOK, Latency: 5 * ms, RequestDone: true}})
						}
					}
				}
				if store.tokens < -plan.LimitOverdraft {
					t.Fatalf("the limit's store is at %.1f, %v after the start", store.tokens, now-time.Hour)
				}
			}
			if most := plan.Limit * length.Seconds(); sent < 0.8*most {
				t.Errorf("%.0f units sent in %v, want most of %.0f", sent, length, most)
			}
		})
	}
}

// A volume starts with the part of its limit that no gateway leases out, reports its demand and keeps to the shares it gets. Without quota
// leases there is none of that.
func TestQuotaLeases(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.QuotaLeases, s.InitialQuotaShare = true, 0.5 })
	ask := func(units float64) (demands []QuotaDemand) {
		a := gateway.newArrival("read", "capped", 7, units, 1)
		a.Gateways = 2
		for _, a := range append(gateway.step(a), gateway.advance(10*ms)...) {
			if d, ok := a.(QuotaDemand); ok {
				demands = append(demands, d)
			}
		}
		return demands
	}
	if d := ask(1); len(d) != 1 || !d[0].First || d[0].Volume != 7 || d[0].Gateways != 2 {
		t.Fatalf("told %+v of a new volume", d)
	}
	volume := gateway.scheduler.volumes[7]
	if volume.limit.rate != 5 || volume.limit.capacity != 6 { // half of an even part of 20 and 24
		t.Errorf("starts with %v units a second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
	told := 0
	for range 100 { // a second at 100 units/s, five times the limit
		for _, d := range ask(1) {
			if told++; d.First {
				t.Error("told as new again")
			}
		}
	}
	if told < 5 || told > 11 {
		t.Errorf("told %d times in a second", told)
	}
	if got := volume.quotaDemand(7).Share; got < 2 || got > 5 {
		t.Errorf("%.2f of the limit could be used, asked for was about 3", got)
	}
	gateway.step(QuotaShare{Volume: 7, Share: 0.9}, QuotaShare{Volume: 99, Share: 1})
	if volume.limit.rate != 18 || volume.limit.capacity != 24*0.9 {
		t.Errorf("told of nine tenths: %v units a second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
	gateway.advance(3 * time.Second)
	if gateway.step(QuotaShare{Volume: 7, Share: 0.1}); volume.limit.available(gateway.now) > 2.4+1e-9 {
		t.Errorf("%v units are left of a part whose store holds 2.4", volume.limit.tokens)
	}
	plain := newTestGateway(t, func(s *Settings) { s.InitialQuotaShare = 0.5 })
	a := plain.newArrival("read", "capped", 7, 1, 1)
	for _, a := range plain.step(a) {
		if _, ok := a.(QuotaDemand); ok {
			t.Error("told though nobody shares")
		}
	}
	if volume := plain.scheduler.volumes[7]; volume.limit.rate != 20 || volume.limit.capacity != 24 {
		t.Errorf("without sharing %v units a second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
}
