package exchange

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkExchange is a push from its first copy to its being forgotten, with so many others remembered; the metric
// is what one remembered exchange of a device of its own holds, without its bytes.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := testSettings()
			set.MaxExchanges, set.MaxDevices, set.MaxHeldBytes, set.RetentionMs = 2*n, 2*n, 1<<30, float64(n)
			l, err := New(set)
			if err != nil {
				b.Fatal(err)
			}
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("device-", i)
			}
			push := Class{Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindowMs: 1}
			now, copies, runs := 0.0, CopyID(0), ID(0)
			one := func(name, key string) {
				copies++
				for _, a := range l.Step(now, CopyReceived{Copy: copies, Device: name, Key: key, Class: push, RemainingMs: 1000, Shard: 1, ResendHistory: ResendHistory{AgeMs: -1}}) {
					if r, ok := a.(StartRun); ok {
						runs = r.ID
					}
				}
				l.Step(now, RunEnded{ID: runs, Run: 1, ResponseBytes: 32, MayHaveExecuted: true, FirstAttemptMs: now, Shard: 1})
				l.Step(now, ResponseWritten{Copy: copies})
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for _, name := range names {
				one(name, "k")
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now++ // as many are forgotten as come
				one(names[i%n], fmt.Sprint("k", i))
			}
			b.ReportMetric(held, "B/device")
			if l.Stats().Busy > 0 {
				b.Fatalf("%+v", l.Stats())
			}
		})
	}
}
