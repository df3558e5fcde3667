package scheduler

import (
	"testing"
	"time"
)

// benchmarkServers is the number of servers in the benchmarks.
const benchmarkServers = 200

// benchmarkSettings returns the settings of the benchmarks.
func benchmarkSettings() Settings {
	settings := testSettings()
	settings.Gateways, settings.Shards = simulatedGateways, benchmarkServers
	return settings
}

// BenchmarkFleetList measures how long the scheduler takes to apply an endpoint update to a list of benchmarkServers servers: a
// snapshot, or a delta with one entry.
func BenchmarkFleetList(b *testing.B) {
	for name, servers := range map[string]int{"whole": benchmarkServers, "change": 1} {
		b.Run(name, func(b *testing.B) {
			scheduler := newScheduler(b, benchmarkSettings(), 1)
			update := endpointList(benchmarkServers)
			scheduler.Step(time.Hour, []Event{update})
			update.Kind, update.Servers = Delta, update.Servers[:servers]
			if servers > 1 {
				update.Kind = Snapshot
			}
			b.ReportAllocs()
			for b.Loop() {
				scheduler.Step(time.Hour, []Event{update})
			}
		})
	}
}

// BenchmarkFleetRequest measures a request from its arrival to its response, for requests that name a shard and for new objects.
func BenchmarkFleetRequest(b *testing.B) {
	for name, shard := range map[string]int{"named": 0, "new": -1} {
		b.Run(name, func(b *testing.B) {
			scheduler := newScheduler(b, benchmarkSettings(), 1)
			scheduler.Step(time.Hour, []Event{endpointList(benchmarkServers)})
			now, id := time.Hour, RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				arrival := RequestArrived{ID: id, Class: "read", Plan: "gold", Volume: VolumeID(id % 20), Key: uint64(id),
					Remaining: time.Second, Units: 2, Shard: shard, Gateways: 2}
				if arrival.Shard == 0 {
					arrival.Shard = int(id) % benchmarkServers
				}
				now += 30 * ms
				for _, action := range scheduler.Step(now, []Event{arrival}) {
					if send, ok := action.(Send); ok {
						scheduler.Step(now+5*ms, []Event{sendServed(send, 5*ms)})
					}
				}
			}
		})
	}
}
