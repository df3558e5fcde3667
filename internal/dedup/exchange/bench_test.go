package exchange

import (
	"fmt"
	"runtime"
	"testing"

	"gaugerelay/internal/scheduler"
)

// benchmarkResponseBytes is the size of each response in the benchmark.
const benchmarkResponseBytes = 32

// writeClient sends writes to a store and completes them immediately.
type writeClient struct {
	store     *Store
	nowMs     float64
	copy      TransmissionID // id of the latest transmission
	execution ID             // id of the exchange that was executed last
}

// write performs a write from its first transmission to the delivery of its response.
func (c *writeClient) write(device, key string) {
	class := Class{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupShard, DedupWindowMs: 1}
	c.copy++
	for _, action := range c.store.Step(c.nowMs, TransmissionReceived{Transmission: c.copy, Device: device, Key: key, Class: class,
		RemainingMs: 1000, Shard: 1, ResendHistory: ResendHistory{AgeMs: -1}}) {
		if start, ok := action.(StartExecution); ok {
			c.execution = start.ID
		}
	}
	c.store.Step(c.nowMs, ExecutionEnded{ID: c.execution, ExecutionNumber: 1, ResponseBytes: benchmarkResponseBytes,
		MayHaveExecuted: true, FirstAttemptMs: c.nowMs, Shard: 1})
	c.store.Step(c.nowMs, ResponseWritten{Transmission: c.copy})
}

// BenchmarkExchange measures a write from its first transmission until it is forgotten, with 1e3 to 1e5 other exchanges in
// the store. The metric B/device is the memory for one device with one exchange, without body and response.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkExchange(b, n) })
	}
}

func benchmarkExchange(b *testing.B, deviceCount int) {
	settings := testSettings()
	settings.MaxExchanges, settings.MaxDevices, settings.MaxStoredBytes, settings.RetentionMs =
		2*deviceCount, 2*deviceCount, 1<<30, float64(deviceCount)
	store, err := New(settings)
	if err != nil {
		b.Fatal(err)
	}
	devices := make([]string, deviceCount)
	for i := range devices {
		devices[i] = fmt.Sprint("device-", i)
	}
	client := &writeClient{store: store}
	before := heapBytes()
	for _, device := range devices {
		client.write(device, "k")
	}
	storedBytes := float64(heapBytes()-before) / float64(deviceCount)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		client.nowMs++ // one exchange expires for each new one, so the number in the store stays constant
		client.write(devices[i%deviceCount], fmt.Sprint("k", i))
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
