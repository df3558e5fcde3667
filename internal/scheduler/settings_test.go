package scheduler

import (
	"math"
	"testing"
	"time"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":   func(s *Settings) { s.Classes = nil },
		"no siblings":  func(s *Settings) { s.Gateways = 0 },
		"no attempts":  func(s *Settings) { s.MaxAttempts = 0 },
		"no aim":       func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"class twice":  func(s *Settings) { s.Classes[1].Name = s.Classes[0].Name },
		"plan twice":   func(s *Settings) { s.Plans[1].Name = s.Plans[0].Name },
		"no weight":    func(s *Settings) { s.Plans[0].Weight = 0 },
		"shards below": func(s *Settings) { s.Shards = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			spoil(&settings)
			if _, err := New(settings, 1); err == nil {
				t.Error("accepted")
			}
		})
	}
}

// Settings that are absent or as small as they can be must not make a decision senseless.
func TestOptionalSettingsMayBeAbsent(t *testing.T) {
	cold := func(gateway *testGateway) (sends int) { // a node that has just started, asked for a request of each volume
		gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 9, Shard: 0, StartedAt: gateway.now}}})
		for range 100 {
			a := gateway.newArrival("read", "gold", 1+gateway.nextVolume(), 2, 1)
			for range sentIDs(append(gateway.step(a), gateway.advance(20*ms)...)) {
				sends++
				gateway.step(AttemptEnded{ID: a.ID, Server: 9, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
			}
		}
		return sends
	}
	for name, c := range map[string]func(*Settings){
		"start capacity":       func(s *Settings) { s.InitialCapacity = 0 },
		"the cold rule's time": func(s *Settings) { s.OverloadWindow = 0 },
		"what cold nodes bear": func(s *Settings) { s.SlowStartUnits, s.InitialCapacity = 0, 0 },
		"worth, classes'": func(s *Settings) {
			for i := range s.Classes {
				s.Classes[i].PriorityWeight = 0
			}
		},
		"worth, plans'": func(s *Settings) {
			for i := range s.Plans {
				s.Plans[i].PriorityFactor = 0
			}
		},
		"sizes":                 func(s *Settings) { s.MeanUnits, s.MaxUnits, s.MinStepInterval = 0, 0, 0 },
		"worth beyond reserves": func(s *Settings) { s.FairShareWeight, s.SurplusWeight = 0, 0 },
	} {
		gateway := newTestGateway(t, c)
		if n := cold(gateway); n < 2 {
			t.Errorf("%s: %d of 100 sent", name, n)
		}
		for _, volume := range gateway.scheduler.volumes {
			if f := gateway.scheduler.shards[0].flowsByVolume; len(f) > 0 && math.IsNaN(gateway.scheduler.shards[0].virtualTime+volume.reserve.tokens) {
				t.Errorf("%s: a tag or level is no number", name)
			}
		}
	}
	// Without a bound on how long a gateway may go without asking, calls are spread over as long as all take.
	first := map[time.Duration]bool{}
	for seed := range uint64(20) {
		settings := testSettings()
		settings.PollEndpoints, settings.MaxPollInterval, settings.Gateways = true, 0, 300
		s, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Hour, []Event{EndpointUpdate{Kind: CachedSnapshot}})
		first[(s.poller.nextPollAt - time.Hour).Round(time.Second)] = true
	}
	if len(first) < 8 {
		t.Errorf("20 gateways of 300 call within %d different seconds", len(first))
	}
	// A deployment with more shards than any known one has all of them served.
	gateway := newTestGateway(t, func(s *Settings) { s.Shards = 6000 })
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 9, Shard: 5999}, {ID: 10, Shard: 6000}}})
	a := gateway.newArrival("read", "gold", 1, 2, 1)
	a.Shard = 5999
	if got := sentIDs(gateway.step(a)); len(got) != 1 || len(gateway.scheduler.shards) != 6000 {
		t.Errorf("sent %v, %d shards", got, len(gateway.scheduler.shards))
	}
}
