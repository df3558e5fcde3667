package exchange

import (
	"fmt"
	"runtime"
	"testing"

	"gaugerelay/internal/scheduler"
)

// benchmarkResponseBytes is the size of each response of the benchmark.
const benchmarkResponseBytes = 32

// pushClient sends writes to a store and completes them at once.
type pushClient struct {
	store *Store
	nowMs float64
	copy  CopyID
	run   ID
}

// push takes a write from its first copy to the delivery of its response.
func (c *pushClient) push(device, key string) {
	class := Class{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupShard, DedupWindowMs: 1}
	c.copy++
	for _, action := range c.store.Step(c.nowMs, CopyReceived{Copy: c.copy, Device: device, Key: key, Class: class,
		RemainingMs: 1000, Shard: 1, ResendHistory: ResendHistory{AgeMs: -1}}) {
		if run, ok := action.(StartRun); ok {
			c.run = run.ID
		}
	}
	c.store.Step(c.nowMs, RunEnded{ID: c.run, Run: 1, ResponseBytes: benchmarkResponseBytes, MayHaveExecuted: true,
		FirstAttemptMs: c.nowMs, Shard: 1})
	c.store.Step(c.nowMs, ResponseWritten{Copy: c.copy})
}

// BenchmarkExchange measures a write from its first copy until it is forgotten, while so many others are remembered.
// The metric B/device is the memory of one remembered exchange of a device of its own, without body and response.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkExchange(b, n) })
	}
}

func benchmarkExchange(b *testing.B, n int) {
	settings := testSettings()
	settings.MaxExchanges, settings.MaxDevices, settings.MaxStoredBytes, settings.RetentionMs = 2*n, 2*n, 1<<30, float64(n)
	store, err := New(settings)
	if err != nil {
		b.Fatal(err)
	}
	devices := make([]string, n)
	for i := range devices {
		devices[i] = fmt.Sprint("device-", i)
	}
	client := &pushClient{store: store}
	before := heapBytes()
	for _, device := range devices {
		client.push(device, "k")
	}
	storedBytes := float64(heapBytes()-before) / float64(n)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		client.nowMs++ // as many are forgotten as arrive
		client.push(devices[i%n], fmt.Sprint("k", i))
	}
	b.ReportMetric(storedBytes, "B/device")
	if store.Stats().Busy > 0 {
		b.Fatalf("%+v", store.Stats())
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
