package scheduler

import (
	"testing"
	"time"
)

// BenchmarkFleetList measures updates of the endpoint list: all of 200 servers, and one of them.
func BenchmarkFleetList(b *testing.B) {
	settings := testSettings()
	settings.Gateways, settings.Shards = simulatedGateways, 200
	for name, nodes := range map[string]int{"whole": 200, "change": 1} {
		b.Run(name, func(b *testing.B) {
			s, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			l := endpointList(200)
			s.Step(time.Hour, []Event{l})
			l.Kind, l.Servers = Delta, l.Servers[:nodes]
			if nodes > 1 {
				l.Kind = Snapshot
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Step(time.Hour, []Event{l})
			}
		})
	}
}

// BenchmarkFleetRequest measures a request from arrival to answer with 200 servers.
func BenchmarkFleetRequest(b *testing.B) {
	settings := testSettings()
	settings.Gateways, settings.Shards = simulatedGateways, 200
	for name, shard := range map[string]int{"named": 0, "new": -1} {
		b.Run(name, func(b *testing.B) {
			s, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			s.Step(time.Hour, []Event{endpointList(200)})
			now, id := time.Hour, RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				a := RequestArrived{ID: id, Class: "read", Plan: "gold", Volume: VolumeID(id % 20), Key: uint64(id),
					TTL: time.Second, Units: 2, Shard: shard, Gateways: 2}
				if a.Shard == 0 {
					a.Shard = int(id) % 200
				}
				now += 30 * ms
				for _, a := range s.Step(now, []Event{a}) {
					if a, ok := a.(Send); ok {
						s.Step(now+5*ms, []Event{AttemptEnded{ID: a.ID, Server: a.Server, Status: StatusOK, Latency: 5 * ms, RequestDone: true}})
					}
				}
			}
		})
	}
}
