package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The bucket of a volume's limit is empty when the gateway starts, since the gateway's previous process may have used it up.
func TestLimitIsEmptyAfterStart(t *testing.T) {
	gateway := newTestGateway(t, nil)
	var events []Event
	for key := range 12 {
		events = append(events, gateway.newArrival("bulk", "capped", 1, 6, uint64(key)))
	}
	if sent := sentIDs(gateway.step(events...)); len(sent) != 0 {
		t.Errorf("sent requests %v right after the start, want none: a previous process may have emptied the bucket", sent)
	}
	// The bucket fills at 20 units per second, so it holds the 6 units of a request after 0.3 s, 0.6 s and 0.9 s.
	if sent := sentIDs(gateway.advance(1000 * ms)); len(sent) != 3 {
		t.Errorf("sent %d requests in a second, want 3", len(sent))
	}
}

// A gateway's share of a reserve follows its part of the usage that servers report (see updateUsageBasedRates): a gateway that
// receives all requests of a volume may use most of the volume's reserve. Implausible reports leave the share at the equal share,
// a quarter.
func TestReserveShareFollowsForeignUnits(t *testing.T) {
	for name, test := range map[string]struct {
		foreignUnits float64
		min, max     float64
	}{
		"alone":      {0, 60, 100},
		"small part": {18, 5, 30},
		"absurd":     {1e300, 24, 26},
		"nan":        {math.NaN(), 24, 26},
		"negative":   {-5, 24, 26},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.ReportsForeignUnits, s.Gateways = true, 8 })
			for key := range 40 {
				arrival := gateway.newArrival("read", "reserved", 3, 2, uint64(key))
				arrival.Gateways = 4
				if len(sentIDs(gateway.step(arrival))) == 0 {
					t.Fatal("request within the reserve was not sent")
				}
				gateway.now += 20 * ms
				end := attemptServed(arrival.ID, 20*ms)
				end.ForeignUnits = test.foreignUnits
				gateway.step(end)
			}
			if rate := gateway.scheduler.volumes[3].reserve.rate; !(rate >= test.min && rate <= test.max) {
				t.Errorf("this gateway has %.1f of the reserve of 100 units per second, want %v to %v", rate, test.min, test.max)
			}
		})
	}
}

// If a volume's requests come through more gateways than known at first, each gateway gets a smaller share of the limit. The share
// does not grow back if a later request has a lower RequestArrived.Gateways.
func TestLimitFollowsGatewayCount(t *testing.T) {
	gateway := newTestGateway(t, nil)
	arrival, plan := gateway.newArrival("read", "capped", 1, 1, 1), gateway.scheduler.plans["capped"]
	volume := gateway.scheduler.volumeFor(&arrival, plan)
	arrival.Gateways = 2
	if gateway.scheduler.volumeFor(&arrival, plan); volume.limit.rate != 10 || volume.limit.capacity != 12 {
		t.Errorf("limit of one of two gateways: rate %v, capacity %v, want 10 and 12", volume.limit.rate, volume.limit.capacity)
	}
	arrival.Gateways = 1
	if gateway.scheduler.volumeFor(&arrival, plan); volume.limit.rate != 10 {
		t.Errorf("limit after a request that names one gateway: rate %v, want 10", volume.limit.rate)
	}
}

// The requests of a volume come through one to three of 300 gateways at random and exceed its limit threefold. Together, the gateways
// keep the level of the bucket of the whole limit at -LimitOverdraft or above and send most of what the limit allows.
func TestLimitAcrossFewOfManyGateways(t *testing.T) {
	for gateways := 1; gateways <= 3; gateways++ {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			simulation := newLimitSimulation(t, gateways)
			simulation.run(20 * time.Second)
		})
	}
}

// limitSimulation is a fleet that receives three times as many units of a volume as the volume's limit allows.
type limitSimulation struct {
	*simulatedFleet
	plan      Plan
	shards    int
	random    *rand.Rand
	lastID    RequestID
	units     map[RequestID]float64
	bucket    tokenBucket // bucket of the volume's whole limit
	sentUnits float64
}

// newLimitSimulation returns a simulation in which the given number of gateways receive requests of the volume.
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

// run simulates a period. It checks the level of the bucket after each step and the units sent at the end.
func (s *limitSimulation) run(period time.Duration) {
	s.t.Helper()
	for ; s.now < time.Hour+period; s.now += 5 * ms {
		if s.random.Float64() < 3*s.plan.Limit/3.5*0.005 { // a request has 1 to 6 units, 3.5 in the mean
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
			s.t.Fatalf("the level of the limit's bucket is %.1f at %v after the start, want -LimitOverdraft or more",
				s.bucket.tokens, s.now-time.Hour)
		}
	}
	if limit := s.plan.Limit * period.Seconds(); s.sentUnits < 0.8*limit {
		s.t.Errorf("%.0f units sent in %v, want at least 80 percent of %.0f", s.sentUnits, period, limit)
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

// demandsAfterArrival lets a request of volume 7 arrive and returns the demands that the scheduler emits within 10 ms.
func (g *testGateway) demandsAfterArrival(units float64) []QuotaDemand {
	arrival := g.newArrival("read", "capped", 7, units, 1)
	arrival.Gateways = 2
	return actionsOf[QuotaDemand](append(g.step(arrival), g.advance(10*ms)...))
}

// Until the first QuotaShare of a volume, a gateway may use the fraction InitialQuotaShare of its equal share of the volume's limit.
// It reports its demand. Each QuotaShare that it receives replaces the part of the limit that it may use.
func TestQuotaLeases(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.QuotaLeases, s.InitialQuotaShare = true, 0.5 })
	first := gateway.demandsAfterArrival(1)
	if len(first) != 1 || !first[0].First || first[0].Volume != 7 || first[0].Gateways != 2 {
		t.Fatalf("demands %+v for a new volume, want one with First set, volume 7 and 2 gateways", first)
	}
	volume := gateway.scheduler.volumes[7]
	if volume.limit.rate != 5 || volume.limit.capacity != 6 { // InitialQuotaShare times the equal share of 10 and 12
		t.Errorf("limit at the start: %v units per second with a capacity of %v, want 5 and 6", volume.limit.rate, volume.limit.capacity)
	}
	demands := 0
	for range 100 { // 1 s at 100 units per second, which is five times the limit
		for _, demand := range gateway.demandsAfterArrival(1) {
			if demands++; demand.First {
				t.Error("a later demand has First set")
			}
		}
	}
	if demands < 5 || demands > 11 {
		t.Errorf("%d demands in a second, want 5 to 11", demands)
	}
	if share := volume.quotaDemand(7).Share; share < 2 || share > 5 {
		t.Errorf("demand is %.2f times the limit, want 2 to 5", share)
	}
	gateway.step(QuotaShare{Volume: 7, Share: 0.9}, QuotaShare{Volume: 99, Share: 1})
	if volume.limit.rate != 18 || volume.limit.capacity != 24*0.9 {
		t.Errorf("limit with a share of 0.9: %v units per second with a capacity of %v, want 18 and 21.6",
			volume.limit.rate, volume.limit.capacity)
	}
	gateway.advance(3 * time.Second)
	if gateway.step(QuotaShare{Volume: 7, Share: 0.1}); volume.limit.available(gateway.now) > 2.4+1e-9 {
		t.Errorf("limit with a share of 0.1: %v units are available, want at most the capacity of 2.4", volume.limit.tokens)
	}
}

// Without quota leases the scheduler reports no demand and ignores InitialQuotaShare: the gateway may use its equal share of the
// limit from the start. Here that is the whole limit, since one gateway receives the requests of the volume.
func TestNoQuotaLeases(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.InitialQuotaShare = 0.5 })
	if demands := actionsOf[QuotaDemand](gateway.step(gateway.newArrival("read", "capped", 7, 1, 1))); len(demands) != 0 {
		t.Errorf("demands %v without quota leases, want none", demands)
	}
	if limit := gateway.scheduler.volumes[7].limit; limit.rate != 20 || limit.capacity != 24 {
		t.Errorf("limit: %v units per second with a capacity of %v, want 20 and 24", limit.rate, limit.capacity)
	}
}
