package scheduler

import (
	"math"
	"testing"
	"time"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":             func(s *Settings) { s.Classes = nil },
		"no gateways":            func(s *Settings) { s.Gateways = 0 },
		"no attempts":            func(s *Settings) { s.MaxAttempts = 0 },
		"no latency objective":   func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"duplicate class":        func(s *Settings) { s.Classes[1].Name = s.Classes[0].Name },
		"duplicate plan":         func(s *Settings) { s.Plans[1].Name = s.Plans[0].Name },
		"no weight":              func(s *Settings) { s.Plans[0].Weight = 0 },
		"negative shard count":   func(s *Settings) { s.Shards = -1 },
		"no deadline":            func(s *Settings) { s.Classes[0].Deadline = 0 },
		"negative fair share":    func(s *Settings) { s.FairShareWeight = -0.1 },
		"negative volume limits": func(s *Settings) { s.Plans[0].Limit = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			invalidate(&settings)
			if _, err := New(settings, 1); err == nil {
				t.Error("accepted")
			}
		})
	}
}

// Requests are sent, and no internal value is NaN, if optional settings are absent or as small as possible.
func TestOptionalSettingsMayBeAbsent(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"initial capacity": func(s *Settings) { s.InitialCapacity = 0 },
		"overload window":  func(s *Settings) { s.OverloadWindow = 0 },
		"slow start units": func(s *Settings) { s.SlowStartUnits, s.InitialCapacity = 0, 0 },
		"priorities of classes": func(s *Settings) {
			for i := range s.Classes {
				s.Classes[i].PriorityWeight = 0
			}
		},
		"priorities of plans": func(s *Settings) {
			for i := range s.Plans {
				s.Plans[i].PriorityFactor = 0
			}
		},
		"sizes":                     func(s *Settings) { s.MeanUnits, s.MaxUnits, s.MinStepInterval = 0, 0, 0 },
		"priorities beyond reserve": func(s *Settings) { s.FairShareWeight, s.SurplusWeight = 0, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, change)
			if sends := serveStartingServer(gateway); sends < 2 {
				t.Errorf("%d of 100 requests sent, want at least 2", sends)
			}
			shard := gateway.scheduler.shards[0]
			for _, volume := range gateway.scheduler.volumes {
				if len(shard.flowsByVolume) > 0 && math.IsNaN(shard.virtualTime+volume.reserve.tokens) {
					t.Error("the virtual time of the shard or the level of a reserve is NaN, want numbers")
				}
			}
		})
	}
}

// serveStartingServer lets 100 requests of several volumes arrive for a server that has just started. It returns how many were sent.
func serveStartingServer(gateway *testGateway) (sends int) {
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 9, Shard: 0, StartedAt: gateway.now}}})
	for range 100 {
		arrival := gateway.newArrival("read", "gold", 1+gateway.nextVolume(), 2, 1)
		for range sentIDs(append(gateway.step(arrival), gateway.advance(20*ms)...)) {
			sends++
			gateway.step(AttemptEnded{ID: arrival.ID, Server: 9, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		}
	}
	return sends
}

// Without a MaxPollInterval, the first polls of all gateways are spread over about the time that discovery needs for them (see
// fleetPollTime): defaultPollLatency for each of 300 gateways, which is 18 s.
func TestFirstPollWithoutMaxPollInterval(t *testing.T) {
	seconds := map[time.Duration]bool{}
	for seed := range uint64(20) {
		settings := testSettings()
		settings.PollEndpoints, settings.MaxPollInterval, settings.Gateways = true, 0, 300
		scheduler := newScheduler(t, settings, seed)
		scheduler.Step(time.Hour, []Event{EndpointUpdate{Kind: CachedSnapshot}})
		seconds[(scheduler.poller.nextPollAt - time.Hour).Round(time.Second)] = true
	}
	if len(seconds) < 8 {
		t.Errorf("the first polls of 20 of 300 gateways fall into %d different seconds, want at least 8", len(seconds))
	}
}

// If the settings have more than maxShards shards, all of them get requests. Entries for shards beyond those of the settings are
// ignored.
func TestMoreShardsThanMaxShards(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Shards = 6000 })
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 9, Shard: 5999}, {ID: 10, Shard: 6000}}})
	arrival := gateway.newArrival("read", "gold", 1, 2, 1)
	arrival.Shard = 5999
	if sent := sentIDs(gateway.step(arrival)); len(sent) != 1 || len(gateway.scheduler.shards) != 6000 {
		t.Errorf("sent requests %v with %d shards, want 1 request and 6000 shards", sent, len(gateway.scheduler.shards))
	}
}
