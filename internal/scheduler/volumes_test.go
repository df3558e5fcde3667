package scheduler

import (
	"fmt"
	"math"
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
	if sent := sentIDs(gateway.step(events...)); len(sent) != 0 {
		t.Errorf("sent %v from a bucket that a predecessor may have emptied", sent)
	}
	if sent := sentIDs(gateway.advance(1000 * ms)); len(sent) != 3 { // 20 units per second: 6 at 0.3, 0.6 and 0.9 s
		t.Errorf("sent %d in a second, want 3", len(sent))
	}
}

// A gateway that carries all requests of a volume may use all of its reserve; absurd and absent reports leave the even part.
func TestReservePartFollowsForeignUnits(t *testing.T) {
	for name, test := range map[string]struct {
		foreignUnits float64
		min, max     float64
	}{
		"alone":    {0, 60, 100},
		"a part":   {18, 5, 30},
		"absurd":   {1e300, 24, 26},
		"nan":      {math.NaN(), 24, 26},
		"negative": {-5, 24, 26},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.ReportsForeignUnits, s.Gateways = true, 8 })
			for k := range 40 {
				arrival := gateway.newArrival("read", "reserved", 3, 2, uint64(k))
				arrival.Gateways = 4
				if len(sentIDs(gateway.step(arrival))) == 0 {
					t.Fatal("not sent")
				}
				gateway.now += 20 * ms
				end := attemptServed(arrival.ID, 20*ms)
				end.ForeignUnits = test.foreignUnits
				gateway.step(end)
			}
			if rate := gateway.scheduler.volumes[3].reserve.rate; !(rate >= test.min && rate <= test.max) {
				t.Errorf("reserve of this gateway is %.1f of 100, want %v to %v", rate, test.min, test.max)
			}
		})
	}
}

// A volume whose requests come through more gateways than first known has a smaller part of its limit in each.
func TestLimitFollowsGatewayCount(t *testing.T) {
	gateway := newTestGateway(t, nil)
	arrival, plan := gateway.newArrival("read", "capped", 1, 1, 1), gateway.scheduler.plans["capped"]
	volume := gateway.scheduler.volumeFor(&arrival, plan)
	arrival.Gateways = 2
	if gateway.scheduler.volumeFor(&arrival, plan); volume.limit.rate != 10 || volume.limit.capacity != 12 {
		t.Errorf("two gateways: rate %v, capacity %v", volume.limit.rate, volume.limit.capacity)
	}
	arrival.Gateways = 1
	if gateway.scheduler.volumeFor(&arrival, plan); volume.limit.rate != 10 {
		t.Errorf("one again: rate %v", volume.limit.rate)
	}
}

// The requests of a volume come unevenly through one to three of 300 gateways and ask for three times its limit. Together the
// gateways keep the limit's bucket above -LimitOverdraft and send most of what the limit allows.
func TestLimitOverFewOfManyGateways(t *testing.T) {
	for gateways := 1; gateways <= 3; gateways++ {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			simulation := newLimitSimulation(t, gateways)
			simulation.run(20 * time.Second)
		})
	}
}

// limitSimulation is a fleet through which a volume asks for three times its limit.
type limitSimulation struct {
	*simulatedFleet
	plan      Plan
	shards    int
	random    *rand.Rand
	lastID    RequestID
	units     map[RequestID]float64
	bucket    tokenBucket // the whole limit of the volume
	sentUnits float64
}

// newLimitSimulation returns a simulation of a volume whose requests come through the given number of gateways.
func newLimitSimulation(t *testing.T, gateways int) *limitSimulation {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.Shards = simulatedGateways, 20
	plan := &settings.Plans[3]
	plan.LimitBurst, plan.LimitOverdraft = 2*6*float64(gateways), 6
	random := rand.New(rand.NewPCG(uint64(gateways), 5))
	simulation := &limitSimulation{
		simulatedFleet: newSimulatedFleet(t, gateways, settings, func(int) uint64 { return random.Uint64() }),
		plan:           *plan, shards: settings.Shards, random: random, units: map[RequestID]float64{},
		bucket: newFullTokenBucket(plan.Limit, plan.LimitBurst, time.Hour),
	}
	for _, scheduler := range simulation.schedulers {
		scheduler.Step(time.Hour, []Event{endpointList(settings.Shards)})
	}
	return simulation
}

// run simulates a period and checks the use of the limit.
func (s *limitSimulation) run(period time.Duration) {
	s.t.Helper()
	for ; s.now < time.Hour+period; s.now += 5 * ms {
		if s.random.Float64() < 3*s.plan.Limit/3.5*0.005 { // requests of 1 to 6 units
			s.drawArrival()
		}
		for gateway, scheduler := range s.schedulers {
			for _, send := range actionsOf[Send](s.step(gateway)) {
				s.bucket.consume(s.now, s.units[send.ID])
				s.sentUnits += s.units[send.ID]
				scheduler.Step(s.now, []Event{sendServed(send, 5*ms)})
			}
		}
		if s.bucket.tokens < -s.plan.LimitOverdraft {
			s.t.Fatalf("the limit's bucket is at %.1f, %v after the start", s.bucket.tokens, s.now-time.Hour)
		}
	}
	if limit := s.plan.Limit * period.Seconds(); s.sentUnits < 0.8*limit {
		s.t.Errorf("%.0f units sent in %v, want most of %.0f", s.sentUnits, period, limit)
	}
}

// drawArrival delivers a request of the volume to a random gateway.
func (s *limitSimulation) drawArrival() {
	s.lastID++
	units := float64(1 + s.random.IntN(6))
	s.units[s.lastID] = units
	gateways := len(s.schedulers)
	s.deliver(s.random.IntN(gateways), RequestArrived{ID: s.lastID, Class: "read", Plan: s.plan.Name, Volume: 7, Key: uint64(s.lastID),
		Remaining: time.Second, Units: units, Shard: s.random.IntN(s.shards), Gateways: gateways})
}

// requestQuota sends a request of volume 7 and returns the demands that follow.
func (g *testGateway) requestQuota(units float64) []QuotaDemand {
	arrival := g.newArrival("read", "capped", 7, units, 1)
	arrival.Gateways = 2
	return actionsOf[QuotaDemand](append(g.step(arrival), g.advance(10*ms)...))
}

// A volume starts with the part of its limit that no gateway leases out, reports its demand and keeps to the shares it gets.
func TestQuotaLeases(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.QuotaLeases, s.InitialQuotaShare = true, 0.5 })
	first := gateway.requestQuota(1)
	if len(first) != 1 || !first[0].First || first[0].Volume != 7 || first[0].Gateways != 2 {
		t.Fatalf("demand %+v of a new volume", first)
	}
	volume := gateway.scheduler.volumes[7]
	if volume.limit.rate != 5 || volume.limit.capacity != 6 { // half of an even part of 20 and 24
		t.Errorf("starts with %v units per second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
	demands := 0
	for range 100 { // a second at 100 units per second, five times the limit
		for _, demand := range gateway.requestQuota(1) {
			if demands++; demand.First {
				t.Error("a further demand is marked as the first")
			}
		}
	}
	if demands < 5 || demands > 11 {
		t.Errorf("%d demands in a second", demands)
	}
	if share := volume.quotaDemand(7).Share; share < 2 || share > 5 {
		t.Errorf("demand for %.2f of the limit, want about 3", share)
	}
	gateway.step(QuotaShare{Volume: 7, Share: 0.9}, QuotaShare{Volume: 99, Share: 1})
	if volume.limit.rate != 18 || volume.limit.capacity != 24*0.9 {
		t.Errorf("with a share of nine tenths: %v units per second, up to %v", volume.limit.rate, volume.limit.capacity)
	}
	gateway.advance(3 * time.Second)
	if gateway.step(QuotaShare{Volume: 7, Share: 0.1}); volume.limit.available(gateway.now) > 2.4+1e-9 {
		t.Errorf("%v units are left of a share whose bucket holds 2.4", volume.limit.tokens)
	}
}

// Without quota leases there is no demand, and the even part of the limit is in force from the start.
func TestNoQuotaLeases(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.InitialQuotaShare = 0.5 })
	if demands := actionsOf[QuotaDemand](gateway.step(gateway.newArrival("read", "capped", 7, 1, 1))); len(demands) != 0 {
		t.Errorf("demands %v", demands)
	}
	if limit := gateway.scheduler.volumes[7].limit; limit.rate != 20 || limit.capacity != 24 {
		t.Errorf("%v units per second, up to %v", limit.rate, limit.capacity)
	}
}
